"""Pace of a run, as far as the pool's owner knows it.

Run lists don't report it. Only a positive answer to the newest order confirms the pace, and an
order without an answer may take effect seconds later, after a newer one that was answered.
"""

from datetime import timedelta

__all__ = ["FULL_PERCENT", "RunPace"]

# Pace of a run when it starts.
FULL_PERCENT = 100
# Pause after an order that was not confirmed. A run gets two orders a second at most.
RETRY_PAUSE = timedelta(milliseconds=500)
# Interval at which a confirmed order is repeated while an earlier one may still take effect. It
# leaves half of the 4 s for which a task may be over its target.
REPEAT_INTERVAL = timedelta(seconds=2)
# Time within which an order without an answer is expected to take effect, if at all.
MAX_ORDER_DELAY = timedelta(seconds=15)


class RunPace:
    """The pace of one run. Its orders are sent one at a time.

    `percent`
        Percentage of its speed to which the run is known to be limited; ``None`` if unknown.
    """

    def __init__(self, percent: int | None = FULL_PERCENT) -> None:
        self.percent = percent
        self._is_order_pending = False
        # Boot times: of the end of the newest order, until which none is sent after a failure, and
        # until which an earlier order may take effect.
        self._order_ended_at = timedelta.min
        self._retry_at = timedelta.min
        self._settled_at = timedelta.min

    def is_due(self, percent: int, now: timedelta, has_no_effect: bool = False) -> bool:
        """Returns whether an order for this pace has to be sent.

        `has_no_effect`
            The load on the worker is as if the pace were not in force.
        """
        if self._is_order_pending or now < self._retry_at:
            return False
        if self.percent != percent:
            return True
        may_have_changed = has_no_effect or now < self._settled_at
        return may_have_changed and now - self._order_ended_at >= REPEAT_INTERVAL

    def begin_order(self) -> None:
        """Records that an order is sent. Until it is confirmed, the pace is unknown."""
        self._is_order_pending = True
        self.percent = None

    def confirm_order(self, percent: int, now: timedelta) -> None:
        """Records that the worker has carried the order out."""
        self._is_order_pending = False
        self.percent = percent
        self._order_ended_at = now

    def fail_order(self, now: timedelta, may_take_effect: bool) -> None:
        """Records that the worker has not confirmed the order, and whether it may still follow."""
        self._is_order_pending = False
        self._order_ended_at = now
        self._retry_at = now + RETRY_PAUSE
        if may_take_effect:
            self._settled_at = now + MAX_ORDER_DELAY
