"""Logs why a VM isn't ready, and when its event loop stands still: it answers nobody then."""

import time
from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp import instruments
from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.loop_lag import longest_lag

__all__ = ["ReadinessMonitor"]

# Period of the checks.
PERIOD = timedelta(seconds=1)
# Delays of the event loop that are logged. The platform's readiness probe and callers notice them.
MIN_LOGGED_LAG = timedelta(milliseconds=250)

_log = logbook.Logger("readiness")


class ReadinessMonitor:
    """Observes one VM; changes nothing.

    `unready_reasons`
        Returns why the VM isn't ready; empty if it is.
    """

    def __init__(self, unready_reasons: Callable[[], list[str]], clock: Clock) -> None:
        self._unready_reasons = unready_reasons
        self._clock = clock
        self._reasons: list[str] = []

    async def run(self) -> None:
        """Logs until cancelled."""
        while True:
            started_cpu = time.process_time()
            lag = await longest_lag(self._clock, PERIOD)
            instruments.loop_lag.record(max(lag, timedelta(0)).total_seconds())
            if lag >= MIN_LOGGED_LAG:
                _log.warning(
                    "event loop {} late, {:.3f} s of processor time in the last second or more",
                    lag,
                    time.process_time() - started_cpu,
                    extra={"event": "loop_late", "lag_ms": to_ms(lag)},
                )
            self.check()

    def check(self) -> None:
        """Logs the reasons if they have changed since the last check."""
        reasons = self._unready_reasons()
        if reasons == self._reasons:
            return
        self._reasons = reasons
        fields = {"event": "readiness", "is_ready": not reasons}
        if reasons:
            _log.warning("not ready: {}", ", ".join(reasons), extra=fields)
        else:
            _log.info("ready", extra=fields)
