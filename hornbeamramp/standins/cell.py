"""A cell of real processes on loopback: stand-in platform, stand-in upstreams, entry processes.

Used by the demonstration, by tests with real processes and by measurements. The processes are
children of the program that uses the cell; `LocalCell.stop` ends them all.
"""

import asyncio
import contextlib
import json
import re
import secrets
import signal
import ssl
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from hornbeamramp.admin_client import AdminClient

__all__ = ["EntryHandle", "LocalCell", "Program", "WorkerSpec"]

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


class Program:
    """A child process whose standard output is read line by line."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path) -> None:
        self.process = process
        self.log = log

    @classmethod
    async def start(cls, arguments: list[str], log: Path) -> "Program":
        """Starts ``python -m ARGUMENTS``; standard error goes to ``log``."""
        with log.open("ab") as stderr_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr_file,
            )
        return cls(process, log)

    async def read_match(self, pattern: str) -> re.Match[str]:
        """Reads the next line of output and returns its match with ``pattern``.

        Raises ``RuntimeError`` with the end of the log if the line does not match or the output has
        ended, and ``TimeoutError`` after 30 s without a line.
        """
        assert self.process.stdout is not None
        line = await asyncio.wait_for(self.process.stdout.readline(), START_TIMEOUT_S)
        match = re.search(pattern, line.decode())
        if match is None:
            raise RuntimeError(f"unexpected output {line!r}\n{self.log.read_text()[-2000:]}")
        return match

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal; does nothing if the process has ended."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    async def stop(self) -> int:
        """Ends the process with SIGTERM, or SIGKILL after 20 s, and returns its exit status.

        A process paused by SIGSTOP is continued first.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


class WorkerSpec:
    """A stand-in worker.

    ``options`` are further settings of ``hornbeamramp.standins.upstream --worker``. ``address`` is
    set when the worker listens.
    """

    def __init__(self, id: str, data_centre: str, pool: str, **options: str) -> None:
        self.id = id
        self.data_centre = data_centre
        self.pool = pool
        self.options = options
        self.address = ""

    def to_argument(self) -> str:
        options = {"id": self.id, **self.options}
        return ",".join(f"{name}={value}" for name, value in options.items())


class EntryHandle:
    """An entry process of the cell.

    ``scheme`` is ``http`` or ``https``; ``callers``, ``peers`` and ``admin`` are the ports of its
    listeners, 0 until it listens.
    """

    def __init__(self, vm: str, data_centre: str, program: Program, scheme: str) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self.program = program
        self.scheme = scheme
        self.callers = 0
        self.peers = 0
        self.admin = 0

    async def wait_listening(self) -> None:
        match = await self.program.read_match(r"callers=(\d+) peers=(\d+) admin=(\d+)")
        self.callers, self.peers, self.admin = (int(port) for port in match.groups())

    @property
    def url(self) -> str:
        return f"{self.scheme}://127.0.0.1:{self.callers}"


class LocalCell:
    """Processes of one cell.

    `data_centres`
        Names of the data centres.
    `entries_per_data_centre`
        Number of entry processes in each data centre.
    `workers`
        Stand-in workers; those of one data centre share a process.
    `timing`
        Timing settings of the entry processes, in milliseconds.
    `settings`
        Further settings of the entry processes, by section. With ``tls``, the clients of the cell
        trust its ``ca_file``.
    """

    def __init__(
        self,
        data_centres: list[str],
        entries_per_data_centre: int,
        workers: list[WorkerSpec],
        timing: dict[str, int] | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.data_centres = data_centres
        self.workers = workers
        self.entries: list[EntryHandle] = []
        self.program_by_data_centre: dict[str, Program] = {}
        self.platform: Program | None = None
        self.platform_address = ""
        self._entries_per_data_centre = entries_per_data_centre
        self._timing = timing or {}
        self._settings = settings or {}
        tls = self._settings.get("tls")
        self._ca_file = None if tls is None else Path(tls["ca_file"])
        self._ssl_context = (
            None if tls is None else ssl.create_default_context(cafile=tls["ca_file"])
        )
        self._directory = tempfile.TemporaryDirectory(prefix="hornbeamramp-")
        self.path = Path(self._directory.name)
        self.token = secrets.token_hex(16)
        (self.path / "token").write_text(self.token)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "LocalCell":
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Starts all processes and waits until every entry process is ready."""
        self._session = aiohttp.ClientSession()
        try:
            await self._start_platform()
            await asyncio.gather(*(self._start_workers(name) for name in self.data_centres))
            for data_centre in self.data_centres:
                for number in range(1, self._entries_per_data_centre + 1):
                    await self._launch_entry(f"{data_centre}-{number}", data_centre)
            await asyncio.gather(*(entry.wait_listening() for entry in self.entries))
            await asyncio.gather(*(self.wait_ready(entry) for entry in self.entries))
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        """Ends all processes and removes the settings files."""
        programs = [entry.program for entry in self.entries]
        await asyncio.gather(*(program.stop() for program in programs))
        remaining = [*self.program_by_data_centre.values()]
        if self.platform is not None:
            remaining.append(self.platform)
        await asyncio.gather(*(program.stop() for program in remaining))
        if self._session is not None:
            await self._session.close()
        self._directory.cleanup()

    async def add_entry(
        self, vm: str, data_centre: str, settings: dict[str, Any] | None = None
    ) -> EntryHandle:
        """Starts another entry process and waits until it is ready.

        ``settings`` override those of the cell, by section.
        """
        entry = await self._launch_entry(vm, data_centre, settings)
        await entry.wait_listening()
        await self.wait_ready(entry)
        return entry

    def admin_client(self, entry: EntryHandle | None = None) -> AdminClient:
        """Returns a client of the admin API of an entry process, by default the first."""
        entry = entry or self.entries[0]
        url = f"{entry.scheme}://127.0.0.1:{entry.admin}"
        return AdminClient(url, self.token, self._ca_file)

    async def put_tables(
        self, routes: list[dict[str, Any]], pool_options: dict[str, dict[str, Any]] | None = None
    ) -> None:
        """Creates a row for each pool that has workers, with ``pool_options``, then the routes."""
        client = self.admin_client()
        for pool in sorted({worker.pool for worker in self.workers}):
            upstreams = [
                {"id": w.id, "data_centre": w.data_centre, "address": w.address}
                for w in self.workers
                if w.pool == pool
            ]
            row = {"upstreams": upstreams, **(pool_options or {}).get(pool, {})}
            (await client.put_row("pools", pool, row, None)).unwrap()
        for route in routes:
            (await client.put_row("routes", route["name"], route, None)).unwrap()

    async def wait_serving(self) -> None:
        """Waits until every shard has an owner that has recovered.

        Raises ``RuntimeError`` if that takes longer than about 60 s.
        """
        client = self.admin_client()
        for _ in range(600):
            status = (await client.status()).unwrap()
            shards = status["shards"]
            if shards and all(x["detail"] and x["detail"]["recovered"] for x in shards):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"shards without a recovered owner: {json.dumps(status)[:4000]}")

    async def submit(
        self,
        entry: EntryHandle,
        body: dict[str, Any],
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> tuple[int, dict[str, Any]]:
        """Posts a job and returns the status and the body of the response."""
        return await self.request("POST", f"{entry.url}/v1/jobs", body, headers, timeout_s)

    async def request(
        self,
        method: str,
        url: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request and returns the status and the JSON body of the response."""
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self._session.request(
            method, url, json=body, headers=headers, timeout=timeout, ssl=self._ssl_context or True
        ) as response:
            return response.status, json.loads(await response.read() or b"{}")

    async def wait_ready(self, entry: EntryHandle) -> None:
        """Waits until ``/readyz`` of the entry process answers 200."""
        for _ in range(600):
            status, _ = await self.request("GET", f"{entry.url}/readyz")
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"entry {entry.vm} is not ready\n{entry.program.log.read_text()}")

    async def worker_logs(self) -> list[dict[str, Any]]:
        """Returns the log of each worker, with every start and end as the worker recorded it."""
        logs = []
        for worker in self.workers:
            _, log = await self.request("GET", f"http://{worker.address}/v1/log")
            logs.append(log)
        return logs

    async def platform_faults(self, **faults: Any) -> None:
        """Replaces the faults of the stand-in platform, see `PlatformFaults`."""
        await self.request("POST", f"http://{self.platform_address}/v1/faults", faults)

    async def _start_platform(self) -> None:
        arguments = ["hornbeamramp.standins.platform", "--address", "127.0.0.1:0"]
        self.platform = await Program.start(arguments, self.path / "platform.log")
        match = await self.platform.read_match(r"listening on (\S+)")
        self.platform_address = match.group(1)

    async def _start_workers(self, data_centre: str) -> None:
        workers = [worker for worker in self.workers if worker.data_centre == data_centre]
        if not workers:
            return
        arguments = ["hornbeamramp.standins.upstream"]
        for worker in workers:
            arguments += ["--worker", worker.to_argument()]
        program = await Program.start(arguments, self.path / f"upstreams-{data_centre}.log")
        self.program_by_data_centre[data_centre] = program
        for worker in workers:
            match = await program.read_match(r"listening on (\S+) as (\S+)")
            worker.address = match.group(1)

    async def _launch_entry(
        self, vm: str, data_centre: str, overrides: dict[str, Any] | None = None
    ) -> EntryHandle:
        settings = {
            "vm": vm,
            "data_centre": data_centre,
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform": {"address": self.platform_address},
            "admin": {"address": "127.0.0.1:0", "token_file": str(self.path / "token")},
            "timing": self._timing,
            "data_centres": {
                name: {"distance_ms": {o: 1 for o in self.data_centres if o != name}}
                for name in self.data_centres
            },
            **self._settings,
            **(overrides or {}),
        }
        file = self.path / f"{vm}.yaml"
        # JSON is a subset of YAML.
        file.write_text(json.dumps(settings))
        arguments = ["hornbeamramp", "serve", "--config", str(file)]
        program = await Program.start(arguments, self.path / f"{vm}.log")
        scheme = "http" if self._ssl_context is None else "https"
        entry = EntryHandle(vm, data_centre, program, scheme)
        self.entries.append(entry)
        return entry
