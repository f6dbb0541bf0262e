"""A small deployment on loopback: store, workers, and the project's program on each entry VM."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp

from standins.store import Store
from standins.worker import Worker

__all__ = ["Cell", "Reply", "Vm", "broken_twice", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "q1.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# The program serves its metrics at this port of the VM's address.
METRICS_PORT = 9464
# Ports of a VM, from a free one on: of callers, of the readiness probe, and between the VMs.
PORTS = 18
SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal-ports = [{first}, {last}]
seeds = []
bootstrap = true
heartbeat-ms = 1500
orders = "call"
{advice}
[listen]
frontend = "{ip}:{frontend}"
ready = "{ip}:{ready}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
[bounds]
config-apply-ms = 2000
contact-ms = 3000
grace-s = 6
hold-max-ms = 10000
status_s = 120
lease-ms = 3000
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class Reply:
    """Status and body of a response; status 0 if there was none."""

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body


class Vm:
    """An entry VM. It uses ``PORTS`` consecutive ports from ``port`` on."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.ip, self.port = _free_address()
        self.process: subprocess.Popen[bytes] | None = None


def _free_address() -> tuple[str, int]:
    """Returns a loopback address and the first of a VM's ports, all of which are free."""
    for _ in range(200):
        ip = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        port = random.randint(15_000, 30_000)
        if all(_is_free(ip, number) for number in (METRICS_PORT, *range(port, port + PORTS))):
            return ip, port
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Cell:
    """`log` has one line for each event; each is written to ``record.txt`` at once."""

    def __init__(self, folder: Path, scratch: Path) -> None:
        self.store = Store("127.0.0.1")
        self.advice_address = ""
        self.worker_by_id: dict[str, Worker] = {}
        self.vms = [Vm(f"vm{i}", f"z{i}") for i in (1, 2, 3)]
        self.log: list[dict[str, Any]] = []
        self._scratch = scratch
        self._began = time.monotonic()
        self._record_file = (folder / "record.txt").open("w")
        self._session: aiohttp.ClientSession | None = None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["entry"]["run"])

    def record(self, event: str, **fields: Any) -> None:
        row = {"at": round(time.monotonic() - self._began, 3), "event": event, **fields}
        self.log.append(row)
        self._record_file.write(json.dumps(row) + "\n")
        self._record_file.flush()

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        await self.store.start()

    async def add_worker(self, worker_id: str, service: str, **options: Any) -> Worker:
        worker = Worker(self.store, "127.0.0.1", worker_id, service, self.record, **options)
        self.worker_by_id[worker_id] = worker
        await worker.start()
        return worker

    def configure(self, version: int, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Writes a config as the operator does. Routes need a name, a prefix and a service."""
        defaults = {
            "host": HOST,
            "type": "unsafe",
            "timeout-ms": 3000,
            "target-completion-ms": 3000,
            "priority": 0,
            "max-attempts": 2,
            "stretch": 4.0,
        }
        config = {
            "version": version,
            "routes": [{**defaults, **route} for route in routes],
            "services": [
                {"name": name, "health-path": "/health", "max-connections": 64} for name in services
            ],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144},
        }
        self.store.put("op/config", config)
        self.record("config", version=version, routes={r["name"]: r["service"] for r in routes})

    def start_vm(self, vm: Vm) -> None:
        settings = self._scratch / f"{vm.name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=vm.name,
                ip=vm.ip,
                zone=vm.zone,
                store=self.store.address,
                advice=f'advice = "{self.advice_address}"' if self.advice_address else "",
                frontend=vm.port,
                ready=vm.port + 1,
                first=vm.port + 2,
                last=vm.port + PORTS - 1,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "HORNBEAMRAMP_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        output = (self._scratch / f"{vm.name}.log").open("ab")
        vm.process = subprocess.Popen(
            self._command, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
        )
        self.record("vm started", vm=vm.name)

    async def stop_vm(self, vm: Vm, number: int = signal.SIGTERM, grace_s: float = 6.0) -> None:
        """Sends a signal, and SIGKILL after the grace period, as the platform does."""
        assert vm.process is not None
        self.record("signal", vm=vm.name, number=int(number))
        vm.process.send_signal(number)
        try:
            await asyncio.to_thread(vm.process.wait, grace_s)
        except subprocess.TimeoutExpired:
            vm.process.kill()
            vm.process.wait()
        self.record("vm ended", vm=vm.name, status=vm.process.returncode)

    async def is_ready(self, vm: Vm) -> bool:
        assert self._session is not None
        try:
            async with self._session.get(
                f"http://{vm.ip}:{vm.port + 1}/ready", timeout=aiohttp.ClientTimeout(total=1)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_ready(self, vms: list[Vm], limit_s: float = 25.0) -> None:
        """Raises `TimeoutError` if a VM isn't ready in time."""
        end = time.monotonic() + limit_s
        while not all([await self.is_ready(vm) for vm in vms]):
            if time.monotonic() > end:
                raise TimeoutError("the VMs are not ready")
            await asyncio.sleep(0.1)

    async def call(
        self, vm: Vm, method: str, path: str, body: Any = None, deadline_ms: int = 3000
    ) -> Reply:
        """Sends one request of a client and records it with its answer."""
        assert self._session is not None
        self.record("request", vm=vm.name, method=method, path=path)
        headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
        try:
            async with self._session.request(
                method,
                f"http://{vm.ip}:{vm.port}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000),
            ) as response:
                text = await response.text()
                reply = Reply(response.status, json.loads(text) if text else None)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            reply = Reply(0, repr(error))
        self.record(
            "answer", vm=vm.name, method=method, path=path, status=reply.status, body=reply.body
        )
        return reply

    async def wait_completed(self, vm: Vm, path: str, limit_s: float = 20.0) -> None:
        """Asks for a job's state until it is completed. Raises `TimeoutError`."""
        async with asyncio.timeout(limit_s):
            reply = await self.call(vm, "GET", path)
            while reply.body != {"state": "completed"}:
                await asyncio.sleep(0.3)
                reply = await self.call(vm, "GET", path)

    async def stop(self) -> None:
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
        for worker in self.worker_by_id.values():
            await worker.stop()
        await self.store.stop()
        if self._session is not None:
            await self._session.close()
        self._record_file.close()


def broken_twice(log: list[dict[str, Any]]) -> list[str]:
    """Returns breaches of the rule TWICE, by what the workers have seen.

    A run that overlaps another run of its task, or starts after one whose end ``done`` is taken
    note of at any time.
    """
    noted = {
        (row["task"], row["run"], row["worker"])
        for row in log
        if row["event"] == "noted" and row["how"] == "done"
    }
    breaches = []
    open_runs: dict[str, dict[tuple[int, str], float]] = {}
    done_at: dict[str, list[tuple[int, str, float]]] = {}
    for row in log:
        if row["event"] == "start":
            task = row["task"]
            others = open_runs.setdefault(task, {})
            if others:
                breaches.append(f"{row['at']}: {task} starts on {row['worker']} beside {others}")
            for run, worker, at in done_at.get(task, []):
                if (task, run, worker) in noted:
                    breaches.append(
                        f"{row['at']}: {task} run {row['run']} starts on {row['worker']}, though "
                        f"run {run} ended done on {worker} at {at}"
                    )
            others[row["run"], row["worker"]] = row["at"]
        elif row["event"] == "end":
            open_runs.get(row["task"], {}).pop((row["run"], row["worker"]), None)
            if row["how"] == "done":
                done_at.setdefault(row["task"], []).append((row["run"], row["worker"], row["at"]))
        elif row["event"] == "crash":
            for runs in open_runs.values():
                for key in [key for key in runs if key[1] == row["worker"]]:
                    del runs[key]
    return breaches


def _keep_logs(scratch: Path) -> None:
    """Copies the logs of the VMs to the folder that ``KEEP_LOGS`` names, if it is set."""
    folder = os.environ.get("KEEP_LOGS")
    if folder:
        for log in scratch.glob("*.log"):
            (Path(folder) / log.name).write_bytes(log.read_bytes())


def run_case(folder: Path, scenario: Any, limit_s: float = 110.0) -> None:
    """Runs ``scenario(cell, has_trouble)``, which returns the breaches of the rule, and exits.

    The disruption is left out if the first argument of the program, which ``run.sh`` sets to
    ``TROUBLE``, is 0.
    """
    has_trouble = sys.argv[1:2] != ["0"]

    async def play() -> int:
        with tempfile.TemporaryDirectory() as scratch:
            cell = Cell(folder, Path(scratch))
            try:
                async with asyncio.timeout(limit_s):
                    await cell.start()
                    breaches = await scenario(cell, has_trouble)
                for breach in breaches:
                    cell.record("breach", what=breach)
                cell.record("result", broken=bool(breaches), trouble=has_trouble)
                return EXIT_BROKEN if breaches else EXIT_HELD
            except Exception as error:
                # Of whatever kind: exit status 1 would claim a breach.
                cell.record("could not run", error=repr(error))
                return EXIT_NOT_RUN
            finally:
                await cell.stop()
                _keep_logs(Path(scratch))

    try:
        status = asyncio.run(play())
    except Exception as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        status = EXIT_NOT_RUN
    sys.exit(status)
