"""Measures by how much the event loop runs late."""

from datetime import timedelta

from hornbeamramp.clock import Clock

__all__ = ["longest_lag"]

# Period in which the delay of the event loop is measured.
LAG_PERIOD = timedelta(milliseconds=250)


async def longest_lag(clock: Clock, duration: timedelta) -> timedelta:
    """Waits for ``duration`` and returns the longest delay of the event loop meanwhile."""
    started_at = clock.boot_time()
    longest = timedelta(0)
    while clock.boot_time() - started_at < duration:
        slept_at = clock.boot_time()
        await clock.sleep(LAG_PERIOD)
        longest = max(longest, clock.boot_time() - slept_at - LAG_PERIOD)
    return longest
