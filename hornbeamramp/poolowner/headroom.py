"""Keeps room for short urgent steps that can't wait for other runs to end.

Load: short steps that are due within a second or two of their arrival, in waves, beside batch work
that runs for many seconds and fills every gap. A wave would wait until batch runs have ended or are
stopped, which takes as long as the short steps have. Batch work has slack, so it leaves the room
that short steps have lately had in use at a time.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from weakref import WeakSet

from hornbeamramp.fleet import WorkerSession
from hornbeamramp.poolowner.capacity import Capacity
from hornbeamramp.poolowner.choice import count_tasks_of_size
from hornbeamramp.poolowner.jobs import StepRun
from hornbeamramp.poolowner.lateness import LatenessLevel
from hornbeamramp.resources import Resources
from hornbeamramp.workload import URGENT

__all__ = ["Headroom"]

# A step that has less time than this can't wait for room: a run has to be found, stopped, and its
# end reported, and tickets may run out meanwhile.
FREEING_TIME_MS = 1000.0
# Period of the samples of how many tasks of short steps want to run at a time, and number of
# samples kept: demand of the last ten seconds, so that room is kept from one wave to the next.
SAMPLE_INTERVAL = timedelta(milliseconds=250)
SAMPLES = 40
# Share of the samples whose demand finds room.
SERVED_QUANTILE = 0.9
# Most of the pool's processors that are kept free.
MAX_SHARE = 0.1


class Headroom:
    """Room for short urgent steps of one pool.

    `is_enabled`
        Without it nothing is kept.
    """

    def __init__(self, is_enabled: bool = True) -> None:
        self._is_enabled = is_enabled
        self._seen: WeakSet[StepRun] = WeakSet()
        self._short: list[StepRun] = []
        self._wanted_samples: deque[int] = deque(maxlen=SAMPLES)
        self._sampled_at: timedelta | None = None
        self._size = Resources(0, 0, 0, 0, 0)
        self._kept_tasks = 0

    @property
    def kept_tasks(self) -> int:
        """Number of tasks of short steps for which room is to be free."""
        return self._kept_tasks

    def update(self, steps: Iterable[StepRun], now: timedelta, now_ms: float) -> None:
        """Notes the steps that wait and, once in a period, how many short tasks want to run."""
        if not self._is_enabled:
            return
        for step in steps:
            if step not in self._seen:
                self._seen.add(step)
                if _is_short(step, now_ms):
                    self._short.append(step)
        if self._sampled_at is not None and now - self._sampled_at < SAMPLE_INTERVAL:
            return
        self._sampled_at = now
        self._short = [step for step in self._short if _wants_room(step)]
        wanted = placed = 0
        for step in self._short:
            for unit in step.units:
                wanted += not unit.is_done
                placed += unit.is_placed
        if self._short:
            self._size = _mean_size(self._short)
        self._wanted_samples.append(wanted)
        ordered = sorted(self._wanted_samples)
        usual_peak = ordered[math.ceil(SERVED_QUANTILE * len(ordered)) - 1]
        self._kept_tasks = max(usual_peak - placed, 0)

    def is_to_be_left(self, step: StepRun, now_ms: float) -> bool:
        """Returns whether a step leaves the room: it is less urgent, and would not be late by
        waiting. Long-running tasks are missed at once, and gangs keep room of their own."""
        if self._kept_tasks == 0 or step.job.record.priority <= URGENT:
            return False
        if step.spec.long_running or step.is_gang:
            return False
        slack_ms = step.lateness.latest_start_ms - now_ms
        return step.lateness.level is not LatenessLevel.ON_TIME or slack_ms > FREEING_TIME_MS

    def hold(
        self,
        capacity: Capacity,
        sessions: Iterable[WorkerSession],
        is_slow: Callable[[WorkerSession], bool],
        now: timedelta,
    ) -> Capacity:
        """Returns a capacity in which the room is held on workers that have it free, the fast and
        emptiest first."""
        held = Capacity()
        sessions = list(sessions)
        processors = sum(s.listing.capacity.processors_milli for s in sessions)
        missing = self._kept_tasks
        if self._size.processors_milli:
            missing = min(missing, int(MAX_SHARE * processors / self._size.processors_milli))
        counted = [
            (is_slow(session), -count_tasks_of_size(self._size, capacity.free(session)), session)
            for session in sessions
        ]
        counted.sort(key=lambda entry: entry[:2])
        for _, negative_count, session in counted:
            if missing <= 0:
                break
            count = min(-negative_count, missing)
            if count > 0:
                held.hold(session.worker, self._size, count, now)
                missing -= count
        return held


def _is_short(step: StepRun, now_ms: float) -> bool:
    """Returns whether an urgent step that has just become ready can't wait for room."""
    return (
        step.job.record.priority == URGENT
        and not step.spec.long_running
        and not step.is_gang
        and step.lateness.level is LatenessLevel.ON_TIME
        and step.lateness.latest_start_ms - now_ms < FREEING_TIME_MS
    )


def _wants_room(step: StepRun) -> bool:
    """Returns whether a short step still wants room and can make use of it."""
    return (
        not step.job.is_ended
        and not step.is_done
        and step.is_feasible
        and step.lateness.level is not LatenessLevel.TOO_LATE
    )


def _mean_size(steps: Iterable[StepRun]) -> Resources:
    processors = memory = accelerators = tasks = 0
    for step in steps:
        count = len(step.units)
        processors += count * step.size.processors_milli
        memory += count * step.size.memory_mib
        accelerators += count * step.size.accelerators
        tasks += count
    return Resources(
        math.ceil(processors / tasks),
        math.ceil(memory / tasks),
        math.ceil(accelerators / tasks),
        0,
        0,
    )
