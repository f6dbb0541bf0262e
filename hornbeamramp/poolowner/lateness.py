"""Estimates whether a job can finish on time, late, or too late to be useful to its caller.

A job is on time if it ends within its queue's stretch factor times its critical path, plus the
queue's target. Durations are the submitter's estimates, corrected by the measured durations of runs
of the same image. Long-running tasks are never late: they are useful whenever they start.
"""

from datetime import timedelta
from enum import IntEnum
from functools import cached_property
from typing import NamedTuple

import msgspec

from hornbeamramp.durations import to_ms
from hornbeamramp.statestore import JobRecord
from hornbeamramp.workload import AdviceTiming, JobSpec, Queue, StepSpec

__all__ = [
    "TOO_LATE_FACTOR",
    "CriticalPath",
    "Lateness",
    "LatenessLevel",
    "estimate_lateness",
    "on_time_limit_ms",
    "retry_delay",
]

# Multiple of the on-time limit beyond which a job's result is worth nothing to its caller, by the
# users' rule on what a job earns.
TOO_LATE_FACTOR = 3.0
# Workers in the one advice request that the users' rule includes in the time of each step.
WORKERS_PER_ADVICE_REQUEST = 30
# Share of the on-time limit after which a refused caller should retry: late enough that an outage
# is over at one of its attempts, and early enough for the job still to be useful.
RETRY_SHARE = 0.25
# Outages of the store last about five seconds, and callers retry only a few times.
MIN_RETRY_DELAY = timedelta(seconds=2)
MAX_RETRY_DELAY = timedelta(seconds=5)


class LatenessLevel(IntEnum):
    """Best result that a job can still reach, in ascending order of lateness."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Lateness(msgspec.Struct, frozen=True):
    """Level that a step's job can still reach, and the latest start that keeps it (Unix ms)."""

    level: LatenessLevel
    latest_start_ms: float


class PathLength(NamedTuple):
    """Total estimated duration in ms and number of the steps on a path through a job."""

    work_ms: float
    steps: int


class CriticalPath(msgspec.Struct, frozen=True, dict=True):
    """Critical path of a job; ``remaining_by_step`` holds the longest path from each step on."""

    remaining_by_step: tuple[PathLength, ...]

    @cached_property
    def longest(self) -> PathLength:
        return max(self.remaining_by_step)

    @classmethod
    def of(cls, steps: tuple[StepSpec, ...]) -> "CriticalPath":
        """Returns the critical path of a job's steps; each step follows those in its ``after``."""
        remaining = [PathLength(float(step.estimate_ms), 1) for step in steps]
        for number in range(len(steps) - 1, -1, -1):
            successor = remaining[number]
            for earlier in steps[number].after:
                own_ms = steps[earlier].estimate_ms
                length = PathLength(own_ms + successor.work_ms, successor.steps + 1)
                remaining[earlier] = max(remaining[earlier], length)
        return cls(tuple(remaining))


def retry_delay(
    queue: Queue,
    spec: JobSpec,
    duration_ratio: float = 1.0,
    busy_for: timedelta = timedelta(0),
) -> timedelta:
    """Returns the delay after which a refused caller should retry.

    `duration_ratio`
        Expected duration of the job's work divided by its estimate.
    `busy_for`
        Time for which the job would certainly be refused again.
    """
    if any(step.long_running for step in spec.steps):
        return min(max(MIN_RETRY_DELAY, busy_for), MAX_RETRY_DELAY)
    work = timedelta(milliseconds=CriticalPath.of(spec.steps).longest.work_ms)
    on_time_limit = queue.stretch * duration_ratio * work + queue.target
    return min(max(RETRY_SHARE * on_time_limit, MIN_RETRY_DELAY, busy_for), MAX_RETRY_DELAY)


def on_time_limit_ms(
    record: JobRecord,
    critical_path: CriticalPath,
    timing: AdviceTiming | None,
    duration_ratio: float = 1.0,
) -> float:
    """Returns the time in ms after its acceptance within which a job is on time."""
    duration_ms = _duration_ms(critical_path.longest, timing, duration_ratio)
    return record.stretch * duration_ms + record.target_ms


def _duration_ms(length: PathLength, timing: AdviceTiming | None, duration_ratio: float) -> float:
    advice_ms = 0.0
    if timing is not None:
        advice_ms = to_ms(timing.base + WORKERS_PER_ADVICE_REQUEST * timing.per_worker)
    return length.work_ms * duration_ratio + length.steps * advice_ms


def estimate_lateness(
    record: JobRecord,
    critical_path: CriticalPath,
    step: int,
    since_ms: float,
    now_ms: float,
    duration_ratio: float,
    timing: AdviceTiming | None,
) -> Lateness:
    """Returns the lateness that a step's job can still reach if the step starts now.

    `since_ms`
        Unix time in ms at which the job was accepted or, if later, became due.
    `duration_ratio`
        Measured duration of runs divided by their estimate.
    """
    if record.spec.steps[step].long_running:
        return Lateness(LatenessLevel.ON_TIME, since_ms)
    on_time_ms = on_time_limit_ms(record, critical_path, timing, duration_ratio)
    remaining_ms = _duration_ms(critical_path.remaining_by_step[step], timing, duration_ratio)
    for level, limit_ms in (
        (LatenessLevel.ON_TIME, on_time_ms),
        (LatenessLevel.LATE, TOO_LATE_FACTOR * on_time_ms),
    ):
        latest_start_ms = since_ms + limit_ms - remaining_ms
        if now_ms <= latest_start_ms:
            return Lateness(level, latest_start_ms)
    return Lateness(LatenessLevel.TOO_LATE, since_ms)
