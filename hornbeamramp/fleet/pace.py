"""Pace of a run, as far as the pool's owner knows it.

Run lists don't report it. Only a positive answer to the newest order confirms the pace.
"""

from datetime import timedelta

__all__ = ["FULL_PERCENT", "RunPace"]

# Pace of a run when it starts.
FULL_PERCENT = 100
# Pause after an order that was not confirmed. A run gets two orders a second at most.
RETRY_PAUSE = timedelta(milliseconds=500)


class RunPace:
    """The pace of one run. Its orders are sent one at a time.

    `percent`
        Percentage of its speed to which the run is known to be limited; ``None`` if unknown.
    """

    def __init__(self, percent: int | None = FULL_PERCENT) -> None:
        self.percent = percent
        self._is_order_pending = False
        # Boot time until which no order is sent after a failure.
        self._retry_at = timedelta.min

    def is_due(self, percent: int, now: timedelta) -> bool:
        """Returns whether an order for this pace has to be sent."""
        return not self._is_order_pending and now >= self._retry_at and self.percent != percent

    def begin_order(self) -> None:
        """Records that an order is sent. Until it is confirmed, the pace is unknown."""
        self._is_order_pending = True
        self.percent = None

    def confirm_order(self, percent: int) -> None:
        """Records that the worker has carried the order out."""
        self._is_order_pending = False
        self.percent = percent

    def fail_order(self, now: timedelta) -> None:
        """Records that the worker has not confirmed the order."""
        self._is_order_pending = False
        self._retry_at = now + RETRY_PAUSE
