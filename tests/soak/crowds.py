"""Soak with crowds of callers that keep to no limit, at the ports of random VMs."""

import contextlib
from collections.abc import Awaitable, Callable

from tests.hostile.crowd import PEER_PORT, Crowd, Gauge, head
from tests.soak.cell import SoakVm
from tests.soak.faults import Faults

__all__ = ["CROWD_SETTINGS", "Crowds"]

# The smallest VM of the deployments.
MEMORY_MB = 160
CROWD_SETTINGS = f"[limits]\nmemory-mb = {MEMORY_MB}\nmax-fds = 3075\n"
MAX_MEMBERS = 80
BODY_BYTES = 65_536
HEAD_BYTES = 12_000
CHUNKED = "Transfer-Encoding: chunked"


def _stalled_requests(path: str) -> list[bytes]:
    """Returns requests that stop short of their end, one of each kind."""
    lines = [f"X-{number}: x" for number in range(HEAD_BYTES // 10)]
    return [
        b"GET ",
        b"\r\n" * HEAD_BYTES,
        head("POST", path, *lines)[:-2],
        head("POST", path, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1),
        head("POST", path, CHUNKED) + b"1\r\nx\r\n" * BODY_BYTES,
        head("POST", path, CHUNKED) + b"1\r\nx\r\n0\r\n" + b"X: x\r\n" * 1000,
    ]


class Crowds(Faults):
    """The faults of the soak, and crowds before, during and after them."""

    def _choices(self) -> list[Callable[[], Awaitable[None]]]:
        return super()._choices() + 12 * [self._send_crowd]

    async def _send_crowd(self) -> None:
        vm: SoakVm = self._choose_vm()
        address, path = self._rng.choice(
            [(vm.frontend, f"/batch/{'c' * 16}"), (f"{vm.ip}:{PEER_PORT}", "/Ping")]
        )
        crowd = Crowd(address)
        count = self._rng.randint(1, MAX_MEMBERS)
        try:
            await crowd.send(count, [self._rng.choice(_stalled_requests(path))])
            await self._sleep_randomly(3.0)
            self._check_memory(vm)
        finally:
            await crowd.close()

    def _check_memory(self, vm: SoakVm) -> None:
        # The process may have ended.
        with contextlib.suppress(OSError, StopIteration):
            peak_mb = Gauge(vm.pid).peak_memory_mb
            if peak_mb >= MEMORY_MB:
                vm.problems.append(f"{vm.name} has used {peak_mb:.0f} MiB of {MEMORY_MB}")
