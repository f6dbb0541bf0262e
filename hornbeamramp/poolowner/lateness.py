"""What a job can still be for its caller: in time, late, or too late to be of use.

A job is in time within its queue's stretch times its longest chain of work, plus the queue's
target. Durations are the submitter's estimates, corrected by what runs of the same image took.
Long-running tasks are of use from whenever they begin.
"""

from datetime import timedelta
from enum import IntEnum
from functools import cached_property
from typing import NamedTuple

import msgspec

from hornbeamramp.durations import to_ms
from hornbeamramp.statestore import JobRecord
from hornbeamramp.workload import AdviceTiming, JobSpec, Queue, StepSpec

__all__ = ["CriticalPath", "Lateness", "LatenessLevel", "estimate_lateness", "retry_delay"]

# Beyond this many times the time in which a job counts as in time, its answer is worth nothing to
# its caller (the users' rule on what a job earns).
TOO_LATE_FACTOR = 3.0
# Workers named in the question that each step's time allows for (the users' rule).
WORKERS_PER_ADVICE_REQUEST = 30


# Part of the time in which a job counts as in time after which a refused caller should return: late
# enough for an outage to have ended by one of its tries, and early enough for the job to matter.
RETRY_SHARE = 0.25
# Outages of the store last some five seconds, and callers try a few times only.
MIN_RETRY_DELAY = timedelta(seconds=2)
MAX_RETRY_DELAY = timedelta(seconds=5)


class LatenessLevel(IntEnum):
    """What can still be reached, the best first."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Lateness(msgspec.Struct, frozen=True):
    """A step's outlook, and the latest Unix time in ms at which it can begin to keep it."""

    level: LatenessLevel
    latest_start_ms: float


class PathLength(NamedTuple):
    """Steps that follow one another: their declared durations in ms, and how many they are."""

    work_ms: float
    steps: int


class CriticalPath(msgspec.Struct, frozen=True, dict=True):
    """The longest way through a job's steps; ``remaining_by_step`` begins with each of them."""

    remaining_by_step: tuple[PathLength, ...]

    @cached_property
    def longest(self) -> PathLength:
        return max(self.remaining_by_step)

    @classmethod
    def of(cls, steps: tuple[StepSpec, ...]) -> "CriticalPath":
        """Returns the chain of a job's steps; each comes after those it names."""
        remaining = [PathLength(float(step.estimate_ms), 1) for step in steps]
        for number in range(len(steps) - 1, -1, -1):
            successor = remaining[number]
            for earlier in steps[number].after:
                own_ms = steps[earlier].estimate_ms
                length = PathLength(own_ms + successor.work_ms, successor.steps + 1)
                remaining[earlier] = max(remaining[earlier], length)
        return cls(tuple(remaining))


def retry_delay(queue: Queue, spec: JobSpec) -> timedelta:
    """Returns when a caller should return who was refused for want of the store."""
    if any(step.long_running for step in spec.steps):
        return MIN_RETRY_DELAY
    work = timedelta(milliseconds=CriticalPath.of(spec.steps).longest.work_ms)
    on_time_limit = queue.stretch * work + queue.target
    return min(max(RETRY_SHARE * on_time_limit, MIN_RETRY_DELAY), MAX_RETRY_DELAY)


def estimate_lateness(
    record: JobRecord,
    critical_path: CriticalPath,
    step: int,
    since_ms: float,
    now_ms: float,
    duration_ratio: float,
    timing: AdviceTiming | None,
) -> Lateness:
    """Returns what a step's job can still reach if the step begins now.

    `since_ms`
        Unix time from which the job's time counts.
    `duration_ratio`
        Duration of runs over their declared duration.
    """
    if record.spec.steps[step].long_running:
        return Lateness(LatenessLevel.ON_TIME, since_ms)
    advice_ms = 0.0
    if timing is not None:
        advice_ms = to_ms(timing.base + WORKERS_PER_ADVICE_REQUEST * timing.per_worker)

    def duration_ms(length: PathLength) -> float:
        return length.work_ms * duration_ratio + length.steps * advice_ms

    on_time_limit_ms = record.stretch * duration_ms(critical_path.longest) + record.target_ms
    remaining_ms = duration_ms(critical_path.remaining_by_step[step])
    for level, limit_ms in (
        (LatenessLevel.ON_TIME, on_time_limit_ms),
        (LatenessLevel.LATE, TOO_LATE_FACTOR * on_time_limit_ms),
    ):
        latest_start_ms = since_ms + limit_ms - remaining_ms
        if now_ms <= latest_start_ms:
            return Lateness(level, latest_start_ms)
    return Lateness(LatenessLevel.TOO_LATE, since_ms)
