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

__all__ = ["Chain", "Outlook", "Prospect", "prospect", "retry_delay"]

# Beyond this many times the time in which a job counts as in time, its answer is worth nothing to
# its caller (the users' rule on what a job earns).
LATE_FACTOR = 3.0
# Workers named in the question that each step's time allows for (the users' rule).
WORKERS_ASKED = 30


# Part of the time in which a job counts as in time after which a refused caller should return: late
# enough for an outage to have ended by one of its tries, and early enough for the job to matter.
RETURN_SHARE = 0.25
# Outages of the store last some five seconds, and callers try a few times only.
SHORTEST_RETURN = timedelta(seconds=2)
LONGEST_RETURN = timedelta(seconds=5)


class Outlook(IntEnum):
    """What can still be reached, the best first."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Prospect(msgspec.Struct, frozen=True):
    """A step's outlook, and the latest Unix time in ms at which it can begin to keep it."""

    outlook: Outlook
    begin_by_ms: float


class Way(NamedTuple):
    """Steps that follow one another: their declared durations in ms, and how many they are."""

    work_ms: float
    steps: int


class Chain(msgspec.Struct, frozen=True, dict=True):
    """The longest way through a job's steps; ``left_by_step`` begins with each of them."""

    left_by_step: tuple[Way, ...]

    @cached_property
    def longest(self) -> Way:
        return max(self.left_by_step)

    @classmethod
    def of(cls, steps: tuple[StepSpec, ...]) -> "Chain":
        """Returns the chain of a job's steps; each comes after those it names."""
        left = [Way(float(step.estimate_ms), 1) for step in steps]
        for number in range(len(steps) - 1, -1, -1):
            after = left[number]
            for earlier in steps[number].after:
                own_ms = steps[earlier].estimate_ms
                way = Way(own_ms + after.work_ms, after.steps + 1)
                left[earlier] = max(left[earlier], way)
        return cls(tuple(left))


def retry_delay(queue: Queue, spec: JobSpec) -> timedelta:
    """Returns when a caller should return who was refused for want of the store."""
    if any(step.long_running for step in spec.steps):
        return SHORTEST_RETURN
    work = timedelta(milliseconds=Chain.of(spec.steps).longest.work_ms)
    in_time = queue.stretch * work + queue.target
    return min(max(RETURN_SHARE * in_time, SHORTEST_RETURN), LONGEST_RETURN)


def prospect(
    record: JobRecord,
    chain: Chain,
    step: int,
    since_ms: float,
    now_ms: float,
    correction: float,
    timing: AdviceTiming | None,
) -> Prospect:
    """Returns what a step's job can still reach if the step begins now.

    `since_ms`
        Unix time from which the job's time counts.
    `correction`
        Duration of runs over their declared duration.
    """
    if record.spec.steps[step].long_running:
        return Prospect(Outlook.IN_TIME, since_ms)
    advice_ms = 0.0
    if timing is not None:
        advice_ms = to_ms(timing.base + WORKERS_ASKED * timing.per_worker)

    def duration_ms(way: Way) -> float:
        return way.work_ms * correction + way.steps * advice_ms

    in_time_ms = record.stretch * duration_ms(chain.longest) + record.target_ms
    left_ms = duration_ms(chain.left_by_step[step])
    for outlook, limit_ms in (
        (Outlook.IN_TIME, in_time_ms),
        (Outlook.LATE, LATE_FACTOR * in_time_ms),
    ):
        begin_by_ms = since_ms + limit_ms - left_ms
        if now_ms <= begin_by_ms:
            return Prospect(outlook, begin_by_ms)
    return Prospect(Outlook.TOO_LATE, since_ms)
