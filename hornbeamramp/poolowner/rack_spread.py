"""Decides when a gang that prefers one rack starts on several.

On several racks it takes longer by a known factor. It waits for a rack as long as that ends its job
earlier, by what is known of the runs there. While the pool has room, the wait is bounded in any
case: the job would be idle beside idle workers. While room is short, the longer work is at the
expense of others, so that only a job spreads that is on time by it and would not be otherwise.
"""

from datetime import timedelta

import msgspec

__all__ = ["MAX_RACK_WAIT", "RackWait", "SpreadInputs", "is_spread_due"]

# Longest wait for a rack, from when the gang was queued, while the pool has room. Tasks have to
# start within 3 s then, and the start itself may take a request for tickets.
MAX_RACK_WAIT = timedelta(seconds=1.5)
# Shortest wait: orders in flight and workers that are being checked take up racks for a moment.
MIN_RACK_WAIT = timedelta(milliseconds=300)


class RackWait:
    """State of the wait of one step for a rack.

    `queued_at`
        Boot time at which the turn of the step's unit came: its step was opened, or its last run
        ended. A start that is refused doesn't begin the wait anew.
    `room_since`
        Boot time since which all members fit on several racks; ``None`` while they don't.
    `checked_at`
        Boot time of the latest decision.
    `may_spread`
        Whether the gang may start on several racks, by that decision.
    """

    __slots__ = ("checked_at", "may_spread", "queued_at", "room_since")

    def __init__(self) -> None:
        self.begin(timedelta(0))

    def begin(self, now: timedelta) -> None:
        """Begins the wait of a unit whose turn has come."""
        self.queued_at = now
        self.room_since: timedelta | None = None
        self.checked_at: timedelta | None = None
        self.may_spread = False


class SpreadInputs(msgspec.Struct, frozen=True):
    """What a decision depends on; times are boot times.

    `queued_at`, `room_since`
        As in `RackWait`.
    `rack_starts_at`
        When one rack is expected to have room for all members; ``None`` if that isn't known.
    `extra_work`
        How much longer the members take on several racks.
    `latest_start`
        Latest start with which the job keeps the lateness that it can still reach.
    `is_short`
        Whether the pool has too little room for all that may come within seconds.
    """

    now: timedelta
    queued_at: timedelta
    room_since: timedelta
    rack_starts_at: timedelta | None
    extra_work: timedelta
    latest_start: timedelta
    is_short: bool


def is_spread_due(inputs: SpreadInputs) -> bool:
    """Returns whether a gang with room on several racks, and on no single one, starts there."""
    now, extra = inputs.now, inputs.extra_work
    waited = now - inputs.room_since
    if waited < MIN_RACK_WAIT:
        return False
    # Bounds the loss by a wrong estimate: the wait has cost as much as the longer work would have.
    if waited >= extra:
        return True
    if not inputs.is_short and now - inputs.queued_at >= MAX_RACK_WAIT:
        return True
    rack_starts_at = inputs.rack_starts_at
    if rack_starts_at is not None and rack_starts_at <= now + extra:
        return False
    if not inputs.is_short:
        return True
    is_kept_by_waiting = rack_starts_at is not None and rack_starts_at <= inputs.latest_start
    return not is_kept_by_waiting and now + extra <= inputs.latest_start
