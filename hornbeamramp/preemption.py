"""Preemption for urgent work: tasks to throttle, checkpoint or stop with the least work lost."""

from collections.abc import Callable, Iterable

import msgspec

from hornbeamramp.decisions import Checkpoint, Decision, Stop, Throttle
from hornbeamramp.flows import Flow, RouteUse
from hornbeamramp.ids import UpstreamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.shares import FairShares
from hornbeamramp.states import Band
from hornbeamramp.task_table import Attempt, JobState, TaskTable
from hornbeamramp.upstream_pool import UpstreamPool

__all__ = ["FailedSearches", "Plan", "plan_tasks", "plan_upstream"]

# Upstreams compared in a search, in addition to two for each urgent task.
BASE_CANDIDATES = 16
# Cost of a checkpoint as run time of the task. A task that ran for less is stopped instead.
CHECKPOINT_COST_S = 2.0
# Time without further searches for a route, band and task size after a failed one.
SEARCH_PAUSE_S = 0.05
MAX_PAUSES = 1_000
# A throttled task keeps its processors divided by this.
THROTTLE_DIVISOR = 4
MIN_PROCESSORS_MILLI = 100
# Loss of throttling, relative to the cost of a checkpoint of the same task.
THROTTLE_LOSS_FACTOR = 0.1
# Weight of the loss in band NORMAL relative to BULK, so that BULK is preempted first.
NORMAL_BAND_LOSS_FACTOR = 1.5


class Plan(msgspec.Struct):
    """Preemption that frees capacity for one more task on an upstream.

    `loss`
        Work lost, in seconds of the whole pool.
    """

    upstream_id: UpstreamId
    loss: float
    stopped: list[Attempt] = []
    throttled: list[tuple[Attempt, Vector]] = []

    def decisions(self, now: float) -> list[Decision]:
        """Returns the actions that free the capacity."""
        actions: list[Decision] = []
        for attempt in self.stopped:
            kind = Stop if attempt.elapsed(now) < CHECKPOINT_COST_S else Checkpoint
            actions.append(kind(attempt.id, attempt.upstream_id))
        for attempt, amount in self.throttled:
            actions.append(Throttle(attempt.id, attempt.upstream_id, Resources(*amount)))
        return actions


class FailedSearches:
    """Pauses searches for a route, band and task size after one that found no capacity.

    A failed search looks at many upstreams, and an urgent start may take seconds.
    """

    def __init__(self) -> None:
        self._paused_until: dict[tuple[RouteUse, Vector], float] = {}

    def is_paused(self, state: JobState, now: float) -> bool:
        """Tells whether searches for tasks like those of the job are paused."""
        return self._paused_until.get((state.flow.route_use, state.amount), 0.0) > now

    def record_failure(self, state: JobState, now: float) -> None:
        """Pauses searches for tasks like those of the job after one that found no capacity."""
        if len(self._paused_until) >= MAX_PAUSES:
            self._paused_until.clear()
        self._paused_until[state.flow.route_use, state.amount] = now + SEARCH_PAUSE_S


def plan_tasks(
    pool: UpstreamPool,
    tasks: TaskTable,
    shares: FairShares,
    state: JobState,
    count: int,
    now: float,
) -> list[Plan]:
    """Returns the plans with the least loss, one for each task, or fewer than ``count``.

    The number of upstreams compared grows with ``count``, not with the size of the pool.
    """
    ranked: list[tuple[float, int, Plan]] = []
    amount = state.amount
    exceeds_demand = state.flow.flooding() or state.flow.route_use.exceeds_claim()
    # A flow may have many attempts, so its claim is computed only once.
    exceeds_claim_by_flow: dict[Flow, bool] = {}
    for number, upstream_id in enumerate(pool.index.reclaimable.candidates(amount)):
        if number >= BASE_CANDIDATES + 2 * count:
            break
        attempts = tasks.on_upstream(upstream_id)
        if exceeds_demand:
            # Urgent work beyond its own learned demand may be the start of a flood, so it preempts
            # nothing within the learned demand of others.
            attempts = [a for a in attempts if _exceeds_claim(a.state.flow, exceeds_claim_by_flow)]
        free = pool.unheld_with_pending_releases(upstream_id)
        loss = 0.0
        for plan in plan_upstream(upstream_id, amount, count, free, attempts, shares.share_of, now):
            # A plan depends on the earlier plans of its upstream, so it never ranks before them.
            loss = max(loss, plan.loss)
            ranked.append((loss, len(ranked), plan))
    ranked.sort(key=lambda entry: entry[:2])
    return [plan for _, _, plan in ranked[:count]]


def _exceeds_claim(flow: Flow, exceeds_claim_by_flow: dict[Flow, bool]) -> bool:
    cached = exceeds_claim_by_flow.get(flow)
    if cached is None:
        cached = exceeds_claim_by_flow[flow] = flow.exceeds_claim()
    return cached


def plan_upstream(
    upstream_id: UpstreamId,
    amount: Vector,
    count: int,
    free: Vector,
    attempts: Iterable[Attempt],
    share_of: Callable[[Vector], float],
    now: float,
) -> list[Plan]:
    """Returns plans for up to ``count`` tasks of size ``amount``, in the order to apply them.

    `free`
        What is free on the upstream and not held for other work.
    """
    attempts = list(attempts)
    victims = sorted(
        ((_loss(a, share_of, now), a) for a in attempts if a.preemptible()),
        key=lambda pair: (pair[0], pair[1].id),
    )
    plans: list[Plan] = []
    available = list(free)
    for number in range(count):
        plan = _throttle(upstream_id, amount, available, attempts, share_of) if not number else None
        stop = _stop(upstream_id, amount, available, victims)
        if plan is None or (stop is not None and stop.loss <= plan.loss):
            plan = stop
        if plan is None:
            break
        for attempt in plan.stopped:
            available = [
                have + freed
                for have, freed in zip(available, attempt.reservation.amount, strict=True)
            ]
        for attempt, remaining in plan.throttled:
            available[0] += attempt.reservation.amount[0] - remaining[0]
        taken = set(plan.stopped)
        victims = [pair for pair in victims if pair[1] not in taken]
        available = [have - need for have, need in zip(available, amount, strict=True)]
        plans.append(plan)
        if plan.throttled:
            break
    return plans


def _loss(attempt: Attempt, share_of: Callable[[Vector], float], now: float) -> float:
    factor = NORMAL_BAND_LOSS_FACTOR if attempt.state.job.band == Band.NORMAL else 1.0
    lost = min(max(attempt.elapsed(now), 0.01), CHECKPOINT_COST_S)
    return lost * share_of(attempt.reservation.amount) * factor


def _missing(amount: Vector, available: list[int]) -> list[int]:
    return [max(need - have, 0) for need, have in zip(amount, available, strict=True)]


def _stop(
    upstream_id: UpstreamId,
    amount: Vector,
    available: list[int],
    victims: list[tuple[float, Attempt]],
) -> Plan | None:
    missing = _missing(amount, available)
    if not any(missing):
        return Plan(upstream_id, 0.0)
    best: Plan | None = None
    for loss, attempt in victims:
        # A single victim that frees enough, in case it costs less than several.
        freed = attempt.reservation.amount
        if all(part >= need for part, need in zip(freed, missing, strict=True)):
            best = Plan(upstream_id, loss, [attempt])
            break
    chosen: list[tuple[float, Attempt]] = []
    sums = [0, 0, 0, 0, 0]
    for loss, attempt in victims:
        freed = attempt.reservation.amount
        parts = zip(freed, missing, sums, strict=True)
        if not any(part and need > have for part, need, have in parts):
            continue
        chosen.append((loss, attempt))
        sums = [a + b for a, b in zip(sums, freed, strict=True)]
        if all(have >= need for have, need in zip(sums, missing, strict=True)):
            break
    else:
        return best
    for pair in sorted(chosen, key=lambda p: -p[0]):
        freed = pair[1].reservation.amount
        without = [a - b for a, b in zip(sums, freed, strict=True)]
        if all(have >= need for have, need in zip(without, missing, strict=True)):
            chosen.remove(pair)
            sums = without
    loss = sum(pair[0] for pair in chosen)
    if best is not None and best.loss <= loss:
        return best
    return Plan(upstream_id, loss, [attempt for _, attempt in chosen])


def _throttle(
    upstream_id: UpstreamId,
    amount: Vector,
    available: list[int],
    attempts: list[Attempt],
    share_of: Callable[[Vector], float],
) -> Plan | None:
    missing = _missing(amount, available)
    if not missing[0] or any(missing[1:]):
        return None
    limits: list[tuple[Attempt, Vector]] = []
    loss, freed = 0.0, 0
    ordered = sorted(
        (a for a in attempts if a.throttleable()), key=lambda a: (-a.state.job.band, a.id)
    )
    for attempt in ordered:
        held = attempt.reservation.amount
        remaining = max(held[0] // THROTTLE_DIVISOR, MIN_PROCESSORS_MILLI)
        if remaining >= held[0]:
            continue
        limits.append((attempt, (remaining, *held[1:])))
        freed += held[0] - remaining
        loss += THROTTLE_LOSS_FACTOR * CHECKPOINT_COST_S * share_of(held)
        if freed >= missing[0]:
            return Plan(upstream_id, loss, [], limits)
    return None
