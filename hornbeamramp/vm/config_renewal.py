"""Renews the proof of how fresh the configuration is, for calls that need it."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import logbook

from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError

__all__ = ["ConfigRenewal"]

# Longest time for which a call waits for a renewal. A slow store takes up to 0.4 s; most callers
# have time for another VM if this one refuses them then.
MAX_WAIT = timedelta(milliseconds=500)
# Least time between the starts of two renewals.
MIN_INTERVAL = timedelta(milliseconds=250)

_log = logbook.Logger("node")


class ConfigRenewal:
    """Reads the configuration again for calls whose keys can't be checked otherwise.

    All calls share one read at a time, and reads that fail at once are spaced. So the load on the
    store doesn't grow with the number of calls, also while it is away.

    `read`
        Reads the configuration; raises `StoreUnavailableError`.
    `is_hopeless`
        Tells whether a read is so likely to fail that calls shouldn't wait for it.
    """

    def __init__(
        self,
        read: Callable[[], Awaitable[None]],
        is_hopeless: Callable[[], bool],
        clock: Clock,
        background: BackgroundTasks,
    ) -> None:
        self._read = read
        self._is_hopeless = is_hopeless
        self._clock = clock
        self._background = background
        self._renewal: asyncio.Task[None] | None = None
        self._next_start = timedelta(0)

    def start(self) -> None:
        """Starts a renewal, unless one is in progress or was started right before."""
        now = self._clock.boot_time()
        if self._renewal is None and now >= self._next_start:
            self._next_start = now + MIN_INTERVAL
            self._renewal = self._background.spawn(self._renew())

    async def wait(self, timeout: timedelta) -> None:
        """Starts a renewal and waits until it has ended, at most ``timeout``.

        Returns at once if the read is hopeless. The proof may still be too old afterwards.
        """
        self.start()
        if self._renewal is not None and not self._is_hopeless():
            await asyncio.wait({self._renewal}, timeout=min(timeout, MAX_WAIT).total_seconds())

    async def _renew(self) -> None:
        try:
            await self._read()
        except StoreUnavailableError as error:
            _log.info("configuration not read again for callers' keys: {}", error)
        finally:
            self._renewal = None
