"""How long the tasks that wait for room would take the whole pool: the wait of a job behind them.

The estimate is low on purpose. It leaves out steps that wait for anything but room, the later steps
of the jobs, and jobs that are still to come; and it has all workers full all the time.
"""

from collections.abc import Collection, Iterable
from datetime import timedelta

from hornbeamramp.accounts.usage import Amounts
from hornbeamramp.fleet import WorkerSession
from hornbeamramp.poolowner.capacity import total_capacity
from hornbeamramp.poolowner.jobs import StepRun
from hornbeamramp.poolowner.lateness import LatenessLevel
from hornbeamramp.poolowner.learned_durations import LearnedDurations
from hornbeamramp.poolowner.waiting import WaitReason
from hornbeamramp.resources import Resources

__all__ = ["Backlog"]

KINDS = range(3)


class _Waiting:
    """Sums over the tasks that wait for one kind of resource.

    `amount`
        What they need of it.
    `work_s`
        The same times their expected duration in seconds.
    """

    __slots__ = ("amount", "work_s")

    def __init__(self) -> None:
        self.amount = 0
        self.work_s = 0.0


class Backlog:
    """Tasks that wait for room in a pool, as of one scheduling pass, by whether their jobs are
    beyond their accounts' shares, and by priority.

    `sessions`
        The workers on which runs may be placed.
    `as_of`
        Boot time of the sums.
    """

    def __init__(
        self,
        steps: Iterable[StepRun],
        sessions: Collection[WorkerSession],
        durations: LearnedDurations,
        as_of: timedelta,
    ) -> None:
        self.as_of = as_of
        self._capacity = total_capacity(sessions)
        self._free = [0, 0, 0]
        for session in sessions:
            for kind, free in zip(KINDS, session.free(), strict=True):
                self._free[kind] += max(free, 0)
        self._waiting_by_class: dict[tuple[bool, int], list[_Waiting]] = {}
        for step in steps:
            self._add(step, durations)

    def _add(self, step: StepRun, durations: LearnedDurations) -> None:
        # Steps that only some workers may run don't tell how full the others are.
        if (
            step.wait.reason not in (WaitReason.CAPACITY, WaitReason.GANG)
            or step.lateness.level is LatenessLevel.TOO_LATE
            or step.spec.long_running
            or step.spec.required_label
        ):
            return
        size = _amounts(step.size)
        # Only what is scarcest: the others of a task that waits for an accelerator stay unused.
        kind = max(KINDS, key=lambda kind: size[kind] / max(self._capacity[kind], 1))
        tasks = sum(len(unit.tasks) for unit in step.waiting)
        record = step.job.record
        key = (record.is_beyond_share, record.priority)
        sums = self._waiting_by_class.setdefault(key, [_Waiting() for _ in KINDS])[kind]
        sums.amount += tasks * size[kind]
        seconds = durations.duration(step).total_seconds()
        sums.work_s += tasks * size[kind] * seconds

    def wait_beyond_share(self, size: Resources, priority: int) -> timedelta:
        """Returns how long a task of a new job beyond its account's share waits for room, behind
        all that is within one, and what is beyond with the same priority or a more urgent one."""
        needed = _amounts(size)
        longest = 0.0
        for kind in KINDS:
            if not needed[kind] or not self._capacity[kind]:
                continue
            ahead = [
                waiting[kind]
                for (is_beyond_share, waiting_priority), waiting in self._waiting_by_class.items()
                if not is_beyond_share or waiting_priority <= priority
            ]
            amount = sum(waiting.amount for waiting in ahead)
            if amount > self._free[kind]:
                # The first of them take what is free.
                share_left = (amount - self._free[kind]) / amount
                work_s = sum(waiting.work_s for waiting in ahead)
                longest = max(longest, work_s * share_left / self._capacity[kind])
        return timedelta(seconds=longest)


def _amounts(size: Resources) -> Amounts:
    return size.processors_milli, size.memory_mib, size.accelerators
