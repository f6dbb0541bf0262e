"""Clock interface, the system clock and a manual clock for tests."""

import asyncio
import heapq
import itertools
import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """Source of time for all waits and measurements."""

    @abstractmethod
    def now(self) -> datetime:
        """Returns the wall-clock time in UTC. For display and records only."""

    @abstractmethod
    def boot_time(self) -> timedelta:
        """Returns the time since boot, suspension included. Leases and proofs use this."""

    @abstractmethod
    async def sleep(self, duration: timedelta) -> None:
        """Returns after ``duration``."""


class SystemClock(Clock):
    """Clock of the operating system.

    `boot_time` reads CLOCK_BOOTTIME: CLOCK_MONOTONIC stops while a VM is suspended, so a lease
    measured with it would appear valid after it has expired in the store.
    """

    def now(self) -> datetime:
        return datetime.now(UTC)

    def boot_time(self) -> timedelta:
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, duration: timedelta) -> None:
        await asyncio.sleep(max(duration.total_seconds(), 0.0))


class ManualClock(Clock):
    """Clock that only moves in `advance` and `set`. Sleepers wake in order of their wake time."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta(0)
        self._sequence = itertools.count()
        self._sleepers: list[tuple[timedelta, int, asyncio.Future[None]]] = []

    def now(self) -> datetime:
        return self._start + self._elapsed

    def boot_time(self) -> timedelta:
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        if duration <= timedelta(0):
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self._elapsed + duration, next(self._sequence), future))
        await future

    def set(self, elapsed: timedelta) -> None:
        """Sets the time without waking sleepers, for code that never sleeps."""
        self._elapsed = elapsed

    async def advance(self, duration: timedelta) -> None:
        """Moves the time forward and wakes each sleeper at its wake time."""
        target = self._elapsed + duration
        await self._run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= target:
            wake_at, _, future = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, wake_at)
            if not future.done():
                future.set_result(None)
            await self._run_ready_tasks()
        self._elapsed = target
        await self._run_ready_tasks()

    @staticmethod
    async def _run_ready_tasks() -> None:
        # Tasks that depend on a woken sleeper may need several iterations of the event loop.
        for _ in range(20):
            await asyncio.sleep(0)
