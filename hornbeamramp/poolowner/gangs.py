"""Plans the start of waiting gangs: their workers, the runs to preempt, and the capacity to keep.

A gang starts when all its members fit at the same time. Capacity that is freed for it would be used
up by smaller tasks before the last member fits, so it is kept for the gang (reservation with
backfill): steps that come later in the order may use only what remains. Runs are preempted only
if the whole gang fits once they have ended.
"""

import heapq
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from hornbeamramp.fleet import Attempt, WorkerSession
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.capacity import Capacity, FreeResources
from hornbeamramp.poolowner.choice import count_tasks, gang_groups
from hornbeamramp.poolowner.expected_ends import NEVER
from hornbeamramp.poolowner.jobs import Unit
from hornbeamramp.poolowner.passes import PoolRuns
from hornbeamramp.poolowner.preemption import add_sizes, is_preemptible
from hornbeamramp.poolowner.speeds import WorkerSpeeds

__all__ = ["GangPlan", "plan_gang", "plan_drain"]


class GangPlan(msgspec.Struct, frozen=True):
    """Workers on which a gang is going to start.

    `count_by_worker`
        Number of the gang's members for each worker.
    `starts_at`
        Boot time at which all members are expected to fit.
    `victims`
        Runs to be preempted so that all members fit.
    `is_drain`
        Whether the gang fits only after runs have ended that can't be preempted.
    """

    count_by_worker: dict[UpstreamId, int]
    starts_at: timedelta
    victims: tuple[Attempt, ...] = ()
    is_drain: bool = False


class _Preemption(NamedTuple):
    """Runs of one worker whose end lets one or more further members fit."""

    victims: tuple[Attempt, ...]
    gained: int


def plan_gang(
    unit: Unit,
    sessions: Iterable[WorkerSession],
    capacity: Capacity,
    speeds: WorkerSpeeds,
    runs: PoolRuns,
) -> GangPlan | None:
    """Returns a plan by which the whole gang fits within about `SOON`, or ``None``.

    Prefers the workers of the plan before, for which there are tickets, and plans that preempt the
    fewest runs.
    """
    planned = unit.step.plan.count_by_worker if unit.step.plan is not None else {}
    for group in gang_groups(unit, sessions, speeds, capacity):
        group.sort(key=lambda session: session.worker not in planned)
        plan = _plan_on(unit, group, capacity, runs)
        if plan is not None:
            return plan
    return None


def _plan_on(
    unit: Unit,
    sessions: list[WorkerSession],
    capacity: Capacity,
    runs: PoolRuns,
) -> GangPlan | None:
    step, missing = unit.step, len(unit.tasks)
    count_by_worker: dict[UpstreamId, int] = {}
    available_by_worker: dict[str, FreeResources] = {}
    for session in sessions:
        free, freed = capacity.free(session), runs.freed_soon(session)
        available = (free[0] + freed[0], free[1] + freed[1], free[2] + freed[2])
        available_by_worker[session.worker] = available
        count = min(count_tasks(step, available), missing)
        if count:
            count_by_worker[UpstreamId(session.worker)] = count
            missing -= count
        if not missing:
            return GangPlan(count_by_worker, runs.soon)
    victims: list[Attempt] = []
    # Workers by the number of runs to be preempted for the next member.
    options = []
    for session in sessions:
        preemptions = _preemptions(unit, session, available_by_worker[session.worker], runs)
        if preemptions:
            first = preemptions[0]
            options.append((len(first.victims) / first.gained, session.worker, preemptions))
    heapq.heapify(options)
    while options and missing > 0:
        _, worker, (chosen, *others) = heapq.heappop(options)
        victims += chosen.victims
        count = min(chosen.gained, missing)
        missing -= count
        count_by_worker[UpstreamId(worker)] = count_by_worker.get(UpstreamId(worker), 0) + count
        if others:
            cost = len(others[0].victims) / others[0].gained
            heapq.heappush(options, (cost, worker, others))
    return None if missing else GangPlan(count_by_worker, runs.soon, tuple(victims))


def _preemptions(
    unit: Unit,
    session: WorkerSession,
    available: FreeResources,
    runs: PoolRuns,
) -> list[_Preemption]:
    """Returns the preemptions on a worker in the order in which they add up.

    Runs with the least progress come first.
    """
    step = unit.step
    preemptions = []
    victims: list[Attempt] = []
    before = max(count_tasks(step, available), 0)
    for candidate in runs.preemptible(session, step.job.record):
        victims.append(candidate)
        available = add_sizes(available, [candidate])
        count = count_tasks(step, available)
        if count > before:
            preemptions.append(_Preemption(tuple(victims), count - before))
            victims, before = [], count
    return preemptions


def plan_drain(
    unit: Unit,
    sessions: Iterable[WorkerSession],
    capacity: Capacity,
    speeds: WorkerSpeeds,
    runs: PoolRuns,
) -> GangPlan | None:
    """Returns the plan by which the whole gang fits first once runs have ended that can't be
    preempted, or ``None`` if it never does by what is known of them."""
    groups = gang_groups(unit, sessions, speeds, capacity)
    plans = [_drain(unit, group, capacity, runs) for group in groups]
    return min(
        (plan for plan in plans if plan is not None), key=lambda plan: plan.starts_at, default=None
    )


def _drain(
    unit: Unit, sessions: list[WorkerSession], capacity: Capacity, runs: PoolRuns
) -> GangPlan | None:
    step, expected_ends = unit.step, runs.expected_ends
    job = step.job.record
    # Boot time, worker, and number of further members that fit from then on.
    releases: list[tuple[timedelta, str, int]] = []
    for session in sessions:
        ends: list[tuple[timedelta, Attempt]] = []
        available = capacity.free(session)
        for attempt in session.attempt_by_key.values():
            if is_preemptible(attempt, job, expected_ends.now):
                available = add_sizes(available, [attempt])
            else:
                ends.append((max(expected_ends.end(attempt), expected_ends.now), attempt))
        before = count_tasks(step, available)
        if before:
            releases.append((expected_ends.now, session.worker, before))
        for end, attempt in sorted(ends, key=lambda entry: entry[0]):
            if end == NEVER:
                break
            available = add_sizes(available, [attempt])
            count = count_tasks(step, available)
            if count > before:
                releases.append((end, session.worker, count - before))
                before = count
    missing = len(unit.tasks)
    count_by_worker: dict[UpstreamId, int] = {}
    for end, worker, gained in sorted(releases):
        count = min(gained, missing)
        missing -= count
        count_by_worker[UpstreamId(worker)] = count_by_worker.get(UpstreamId(worker), 0) + count
        if not missing:
            return GangPlan(count_by_worker, end, is_drain=True)
    return None
