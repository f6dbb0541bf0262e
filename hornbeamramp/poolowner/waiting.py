"""Why tasks that could run don't: the reason each step waits for, and how long a job waited for it.

The scheduler names a reason in each pass; time is added only when the reason changes.
"""

from datetime import timedelta
from enum import Enum

__all__ = ["StepWait", "WaitReason", "WaitTimes"]


class WaitReason(Enum):
    """What a step needs before its next unit can be placed.

    `ADVICE`
        An answer of the advice service that grants workers.
    `TICKET`
        A valid ticket of a granted worker that has free capacity.
    `CAPACITY`
        Free capacity on a granted worker.
    `GANG`
        Free capacity for all members of a gang at the same time.
    `END`
        The end of earlier runs, which is not known yet, or of those that are being stopped.
    `WORKER`
        A worker that may run the step at all.
    `QUOTA`
        Room within the quota of the job's client account.
    `OWNER`
        The claim's certainty: nothing is placed while it has run out or the store is away.
    """

    ADVICE = "advice"
    TICKET = "ticket"
    CAPACITY = "capacity"
    GANG = "gang"
    END = "end"
    WORKER = "worker"
    QUOTA = "quota"
    OWNER = "owner"


class WaitTimes:
    """Times for which the steps of one job waited, by reason.

    `total_by_reason`
        Sums over the steps of the job.
    """

    __slots__ = ("total_by_reason",)

    def __init__(self) -> None:
        self.total_by_reason: dict[WaitReason, timedelta] = {}

    def add(self, reason: WaitReason, duration: timedelta) -> None:
        self.total_by_reason[reason] = self.total_by_reason.get(reason, timedelta(0)) + duration

    def as_milliseconds(self) -> dict[str, int]:
        """Returns the times in whole milliseconds by the names of the reasons."""
        return {
            reason.value: round(total / timedelta(milliseconds=1))
            for reason, total in self.total_by_reason.items()
        }


class StepWait:
    """What one step waits for now. ``reason`` is ``None`` while it does not wait.

    `since`
        Boot time from which on the step has been waiting for this reason.
    `is_logged`
        Whether this wait has been written to the log.
    """

    __slots__ = ("_times", "is_logged", "reason", "since")

    def __init__(self, times: WaitTimes) -> None:
        self._times = times
        self.reason: WaitReason | None = None
        self.since = timedelta(0)
        self.is_logged = False

    def set(self, reason: WaitReason | None, now: timedelta) -> None:
        """Records what the step waits for from now on; ``None`` if it does not wait any more."""
        if reason is self.reason:
            return
        if self.reason is not None:
            self._times.add(self.reason, now - self.since)
        self.reason, self.since, self.is_logged = reason, now, False
