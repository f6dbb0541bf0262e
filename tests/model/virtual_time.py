"""Event loop whose time jumps to the next timer, and a clock of that time."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from hornbeamramp.clock import Clock

__all__ = ["LoopClock", "run_in_virtual_time", "stand_still"]

START_TIME = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Reports no I/O events, and advances the loop's time by the requested timeout."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is scheduled")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def pass_time(self, seconds: float) -> None:
        self._virtual_selector.elapsed += seconds

    def time(self) -> float:
        return self._virtual_selector.elapsed


def stand_still(seconds: float) -> None:
    """Lets time pass during which the running virtual-time loop does nothing else."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, _VirtualTimeLoop)
    loop.pass_time(seconds)


class LoopClock(Clock):
    """Clock that reads the time of the running event loop."""

    def now(self) -> datetime:
        return START_TIME + self.boot_time()

    def boot_time(self) -> timedelta:
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: timedelta) -> None:
        await asyncio.sleep(max(duration.total_seconds(), 0.0))


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a new virtual-time loop and returns its result."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(coroutine)
