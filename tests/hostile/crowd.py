"""A crowd of callers that keep their connections open, and a VM's process under its settings."""

import asyncio
import contextlib
import json
import os
import threading
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from pathlib import Path

import msgspec

from hornbeamramp.errors import UnreachableError
from hornbeamramp.ids import VmId
from hornbeamramp.rpc import PeerClient
from hornbeamramp.states import Step
from hornbeamramp.vm.messages import REPLY_TYPE_BY_REQUEST_TYPE, PingRequest
from tests.model.cell import job
from tests.soak.callers import encode_job
from tests.soak.cell import HOST, SoakCell, SoakVm
from tests.soak.kept_connections import Connection

__all__ = [
    "MAX_FDS",
    "MEMORY_MB",
    "PEER_PORT",
    "PROMPT_ATTEMPTS",
    "Crowd",
    "Gauge",
    "HostileCell",
    "head",
]

# Settings of the VM's process, and with them the bounds of all tests here.
MEMORY_MB = 112
MAX_FDS = 600
# Time for a crowd to send what it has; members that are held up then stay as they are.
SEND_TIMEOUT_S = 20.0
# Deadline that keeps a request open beyond the end of a test.
LONG_DEADLINE_MS = 60_000
# Requests of an ordinary caller until one is answered: many beside a crowd that is to be refused or
# waited for, a few where the crowd must not hold up others at all.
ORDINARY_ATTEMPTS = 40
PROMPT_ATTEMPTS = 3
ORDINARY_PAUSE_S = 0.5
ORDINARY_DEADLINE_S = 3.0
DESCRIPTOR_PERIOD_S = 0.01
# A process that uses less of a processor than this has nothing left to parse.
IDLE_SHARE = 0.2
IDLE_CHECK_PERIOD_S = 1.0
IDLE_CHECKS = 60
PEER_PORT = 7380

Behaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def head(method: str = "POST", path: str = f"/batch/{'c' * 16}", *lines: str) -> bytes:
    """Returns the head of a request whose caller waits long, with more header lines."""
    first = f"{method} {path} HTTP/1.1"
    fields = (f"Host: {HOST}", f"Deadline-Ms: {LONG_DEADLINE_MS}", *lines)
    return "\r\n".join((first, *fields, "", "")).encode()


class Gauge:
    """Measures a process from a thread of its own, which the crowd's event loop doesn't hold up.

    `peak_descriptors`
        Most open descriptors that were seen.
    """

    def __init__(self, pid: int) -> None:
        self.peak_descriptors = 0
        self._process = Path(f"/proc/{pid}")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._count, daemon=True)

    def __enter__(self) -> "Gauge":
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopped.set()
        self._thread.join()

    @property
    def is_running(self) -> bool:
        """Tells whether the process lives; a zombie doesn't."""
        try:
            return (self._process / "stat").read_text().rpartition(")")[2].split()[0] != "Z"
        except FileNotFoundError:
            return False

    @property
    def peak_memory_mb(self) -> float:
        """Peak of the resident memory, in MiB. Raises ``OSError`` if the process has ended."""
        lines = (self._process / "status").read_text().splitlines()
        return next(int(x.split()[1]) / 1024 for x in lines if x.startswith("VmHWM:"))

    def check(self, memory_mb: int, max_fds: int) -> None:
        """Asserts that the process lives and has stayed within its memory and descriptors."""
        assert self.is_running
        print(
            f"peak {self.peak_memory_mb:.0f} MiB of {memory_mb},"
            f" {self.peak_descriptors} descriptors of {max_fds}"
        )
        assert self.peak_memory_mb < memory_mb
        assert self.peak_descriptors < max_fds

    async def wait_until_idle(self) -> None:
        """Returns once the process has dealt with what it was sent, or after a limited time."""
        for _ in range(IDLE_CHECKS):
            before = self._processor_ticks()
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)
            used_s = (self._processor_ticks() - before) / os.sysconf("SC_CLK_TCK")
            if used_s < IDLE_SHARE * IDLE_CHECK_PERIOD_S:
                return

    def _processor_ticks(self) -> int:
        fields = (self._process / "stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])

    def _count(self) -> None:
        while not self._stopped.wait(DESCRIPTOR_PERIOD_S):
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                count = sum(1 for _ in (self._process / "fd").iterdir())
                self.peak_descriptors = max(self.peak_descriptors, count)


class Crowd:
    """Connections to one address that stay open, as far as this side decides, until `close`."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._members: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, count: int, pieces: Iterable[bytes]) -> None:
        """Opens ``count`` connections, each of which sends the pieces and then waits."""
        pieces = list(pieces)

        async def send_pieces(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                # Members take turns, so that all are under way at the same time.
                await asyncio.sleep(0)

        await self.act(count, send_pieces)

    async def act(self, count: int, behaviour: Behaviour) -> None:
        """Opens ``count`` connections and runs a behaviour on each, for a limited time."""
        sending = [asyncio.create_task(self._act(behaviour)) for _ in range(count)]
        _, held_up = await asyncio.wait(sending, timeout=SEND_TIMEOUT_S)
        for task in held_up:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)

    async def _act(self, behaviour: Behaviour) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(self._host, self._port)
            self._members.append((reader, writer))
            await behaviour(reader, writer)

    def at(self, port: int) -> str:
        """Returns the address of another listener of the same process."""
        return f"{self._host}:{port}"

    def take_over(self, *crowds: "Crowd") -> None:
        """Has the connections of other crowds closed with those of this one."""
        for crowd in crowds:
            self._members.extend(crowd._members)

    async def close(self) -> None:
        for _, writer in self._members:
            writer.transport.abort()


class HostileCell(SoakCell):
    """One VM under the settings of this module, and one worker."""

    def __init__(self, folder: Path) -> None:
        limits = f"[limits]\nmemory-mb = {MEMORY_MB}\nmax-fds = {MAX_FDS}\n"
        super().__init__(folder, 0, vms=1, workers=1, more_settings=limits)

    @property
    def vm(self) -> SoakVm:
        return self.vm_by_name["vm0"]

    async def is_ordinary_request_answered(self, attempts: int = ORDINARY_ATTEMPTS) -> bool:
        """Tells whether a job is accepted from an ordinary caller, which repeats its request."""
        body = msgspec.json.encode(encode_job(job()))
        for number in range(attempts):
            with contextlib.suppress(OSError, EOFError):
                connection = await Connection.open(self.vm.frontend)
                try:
                    async with asyncio.timeout(2 * ORDINARY_DEADLINE_S):
                        path = f"/batch/{number:016x}"
                        response = await connection.request("POST", path, ORDINARY_DEADLINE_S, body)
                finally:
                    connection.close()
                if response.status == 200:
                    assert json.loads(response.body) == {}
                    return True
            await asyncio.sleep(ORDINARY_PAUSE_S)
        return False

    async def is_call_answered(self) -> bool:
        """Tells whether a call of another VM is answered, which repeats it."""
        client = PeerClient(VmId("vm1"), self.vm.zone, None, REPLY_TYPE_BY_REQUEST_TYPE)
        timeout = timedelta(seconds=ORDINARY_DEADLINE_S)
        try:
            for _ in range(ORDINARY_ATTEMPTS):
                with contextlib.suppress(UnreachableError):
                    address = f"{self.vm.ip}:{PEER_PORT}"
                    await client.call(address, PingRequest(), timeout, Step.FORWARD)
                    return True
                await asyncio.sleep(ORDINARY_PAUSE_S)
            return False
        finally:
            await client.close()

    async def is_answered(self, address: str, path: str) -> bool:
        """Tells whether a GET to another listener is answered with 200, after repetitions."""
        for _ in range(ORDINARY_ATTEMPTS):
            with contextlib.suppress(OSError, EOFError):
                connection = await Connection.open(address)
                try:
                    async with asyncio.timeout(2 * ORDINARY_DEADLINE_S):
                        response = await connection.request("GET", path, ORDINARY_DEADLINE_S)
                finally:
                    connection.close()
                if response.status == 200:
                    return True
            await asyncio.sleep(ORDINARY_PAUSE_S)
        return False
