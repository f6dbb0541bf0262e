"""Callers of the soak test that use connections until the VM closes them."""

import asyncio
import contextlib
import random
from typing import NamedTuple

import aiohttp
import msgspec

from tests.soak.callers import NO_RESPONSE_ERRORS, Callers
from tests.soak.cell import HOST, SoakCell, SoakVm

__all__ = ["KeptConnectionCallers", "Connection", "Response"]

# A connection may end without a response this soon after the last byte of a request was sent.
LOSS_SLACK_S = 0.2
DEADLINES_S = (1.0, 3.0, 8.0)
# Allowed beyond a deadline for the processor of a busy machine.
DEADLINE_SLACK_S = 0.4
# Time after the deadline for which a response is awaited, to tell late ones from lost ones.
LATE_RESPONSE_S = 5.0
POLLERS_PER_VM = 2
# Period at which the delay of this process's event loop is measured, and the delay that is usual.
LAG_PERIOD_S = 0.02
USUAL_LAG_S = 0.01


class Response(NamedTuple):
    """A complete response. ``is_last`` tells that the VM closes the connection after it."""

    status: int
    body: bytes
    is_last: bool


class Connection:
    """One connection to a VM for one request at a time.

    `sent_at`
        Loop time at which the last byte of the latest request was written.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.sent_at = 0.0

    @classmethod
    async def open(cls, frontend: str) -> "Connection":
        host, _, port = frontend.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def request(
        self, method: str, path: str, deadline_s: float, body: bytes = b""
    ) -> Response:
        """Sends a request. Raises ``OSError`` or ``EOFError`` without a complete response."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: {deadline_s * 1000:.0f}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._writer.write(head.encode() + body)
        self.sent_at = asyncio.get_running_loop().time()
        status_line, *lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        header_by_name = dict(line.lower().split(": ", 1) for line in lines if line)
        content = await self._reader.readexactly(int(header_by_name["content-length"]))
        is_last = header_by_name.get("connection") == "close"
        return Response(int(status_line.split()[1]), content, is_last)

    def close(self) -> None:
        self._writer.close()


class KeptConnectionCallers(Callers):
    """Callers that report each request that ends without a complete response or after its deadline.

    A request counts as lost unless its connection ended within `LOSS_SLACK_S` after it was sent, or
    its VM was killed other than by the platform at the end of the grace period.
    """

    def __init__(self, cell: SoakCell, rng: random.Random) -> None:
        super().__init__(cell, rng)
        self._vm_by_frontend = {vm.frontend: vm for vm in cell.vm_by_name.values()}
        self._idle_by_frontend: dict[str, list[Connection]] = {f: [] for f in self._vm_by_frontend}
        # Sum of the times for which this process did not run, on a busy machine.
        self._lag_s = 0.0

    def _measure_lag(self, due: float) -> None:
        loop = asyncio.get_running_loop()
        self._lag_s += max(loop.time() - due - USUAL_LAG_S, 0.0)
        due = loop.time() + LAG_PERIOD_S
        loop.call_at(due, self._measure_lag, due)

    async def run(self, seconds: float) -> None:
        self._measure_lag(asyncio.get_running_loop().time())
        async with asyncio.TaskGroup() as group:
            pollers = [
                group.create_task(self._poll(vm))
                for vm in self._cell.vm_by_name.values()
                for _ in range(POLLERS_PER_VM)
            ]
            await super().run(seconds)
            for poller in pollers:
                poller.cancel()

    async def _poll(self, vm: SoakVm) -> None:
        """Queries states of jobs on one VM, also while it shuts down."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
            if self._queue_by_job:
                job_id = self._rng.choice(sorted(self._queue_by_job))
                await self._exchange(vm.frontend, "GET", self._path(job_id), b"")

    async def _request(
        self, session: aiohttp.ClientSession, frontend: str, method: str, job_id: str, body: object
    ) -> tuple[int | None, bytes]:
        data = b"" if body is None else msgspec.json.encode(body)
        response = await self._exchange(frontend, method, self._path(job_id), data)
        return (None, b"") if response is None else (response.status, response.body)

    async def _exchange(
        self, frontend: str, method: str, path: str, body: bytes
    ) -> Response | None:
        loop = asyncio.get_running_loop()
        idle = self._idle_by_frontend[frontend]
        try:
            connection = idle.pop() if idle else await Connection.open(frontend)
        except OSError:
            return None
        deadline_s = self._rng.choice(DEADLINES_S)
        lag_before_s = self._lag_s
        try:
            async with asyncio.timeout(deadline_s + LATE_RESPONSE_S):
                response = await connection.request(method, path, deadline_s, body)
        except (*NO_RESPONSE_ERRORS, EOFError) as error:
            connection.close()
            age = loop.time() - connection.sent_at - (self._lag_s - lag_before_s)
            if age > LOSS_SLACK_S and not self._vm_by_frontend[frontend].was_killed:
                self._report(frontend, method, path, f"has no response after {age:.2f} s", error)
            return None
        except asyncio.CancelledError:
            connection.close()
            raise
        age = loop.time() - connection.sent_at - (self._lag_s - lag_before_s)
        if age > deadline_s + DEADLINE_SLACK_S:
            problem = f"was answered {response.status} after {age:.2f} s of {deadline_s:.0f} s"
            self._report(frontend, method, path, problem)
        if response.is_last:
            connection.close()
        else:
            idle.append(connection)
        return response

    def _report(
        self, frontend: str, method: str, path: str, problem: str, error: Exception | None = None
    ) -> None:
        vm = self._vm_by_frontend[frontend]
        cause = "" if error is None else f": {error!r}"
        text = f"{method} {path} at {vm.name} {problem}{cause}"
        self._cell.log_event(text)
        self.problems.append(text)

    async def wait_for_ends(self, seconds: float) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(self._close_idle)
            await super().wait_for_ends(seconds)

    def _close_idle(self) -> None:
        for idle in self._idle_by_frontend.values():
            while idle:
                idle.pop().close()
