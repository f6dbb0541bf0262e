"""Event loop whose time jumps to the next timer, and the clock that reads it."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from hornbeamramp.clock import Clock

__all__ = ["LoopClock", "run_in_virtual_time"]

START = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.SelectSelector):
    """Reports no event, and moves the loop's time by the time it was to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("all tasks wait for something that can't happen")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.elapsed


class LoopClock(Clock):
    """Clock of the running virtual-time loop."""

    def now(self) -> datetime:
        return START + self.boot_time()

    def boot_time(self) -> timedelta:
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: timedelta) -> None:
        await asyncio.sleep(max(duration.total_seconds(), 0.0))


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a loop of its own and returns its result."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(coroutine)
