"""Room for urgent work: which tasks to throttle, checkpoint or stop, with the least work lost."""

from collections.abc import Callable, Iterable

import msgspec

from hornbeamramp.decisions import Checkpoint, Decision, Stop, Throttle
from hornbeamramp.flows import Flow, KindUse
from hornbeamramp.ids import UpstreamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.shares import ShareBook
from hornbeamramp.states import Band
from hornbeamramp.task_table import Attempt, JobState, TaskTable
from hornbeamramp.upstream_pool import UpstreamPool

__all__ = ["FailedSearches", "Plan", "plan_tasks", "plan_upstream"]

# Upstreams compared when room is made for one urgent task.
CANDIDATES = 16
# A task that ran for less time than this is stopped; an older one is checkpointed, which costs
# about as much as this many seconds of work.
CHECKPOINT_COST = 2.0
# Seconds between searches of a kind of work that finds no room.
SEARCH_PAUSE = 0.05
PAUSES_KEPT = 1_000
# A throttled task keeps this part of its processors.
THROTTLED_PART = 4
LEAST_PROCESSORS = 100
# Loss of throttling, relative to the cost of a checkpoint of the same task.
THROTTLE_LOSS = 0.1
# Work in the band NORMAL is given up less readily than BULK.
NORMAL_FACTOR = 1.5


class Plan(msgspec.Struct):
    """Room for one more task on an upstream. ``loss`` is in seconds of the whole pool."""

    upstream_id: UpstreamId
    loss: float
    stopped: list[Attempt] = []
    throttled: list[tuple[Attempt, Vector]] = []

    def decisions(self, now: float) -> list[Decision]:
        """Returns the actions that make the room."""
        actions: list[Decision] = []
        for attempt in self.stopped:
            kind = Stop if attempt.elapsed(now) < CHECKPOINT_COST else Checkpoint
            actions.append(kind(attempt.id, attempt.upstream_id))
        for attempt, amount in self.throttled:
            actions.append(Throttle(attempt.id, attempt.upstream_id, Resources(*amount)))
        return actions


class FailedSearches:
    """Pauses the search for room of a kind of work and size of task that found none.

    A failed search looks at many upstreams, and an urgent start may take seconds.
    """

    def __init__(self) -> None:
        self._paused_until: dict[tuple[KindUse, Vector], float] = {}

    def is_paused(self, state: JobState, now: float) -> bool:
        """Tells whether a search for a task of the job would be too soon."""
        return self._paused_until.get((state.flow.kind, state.amount), 0.0) > now

    def note(self, state: JobState, now: float) -> None:
        """Takes note of a search that found no room."""
        if len(self._paused_until) >= PAUSES_KEPT:
            self._paused_until.clear()
        self._paused_until[state.flow.kind, state.amount] = now + SEARCH_PAUSE


def plan_tasks(
    pool: UpstreamPool,
    tasks: TaskTable,
    shares: ShareBook,
    state: JobState,
    count: int,
    now: float,
) -> list[Plan]:
    """Returns the plans with the least loss, one for each task, or fewer than ``count``.

    Compares a number of upstreams in proportion to ``count``, whatever the size of the pool.
    """
    ranked: list[tuple[float, int, Plan]] = []
    amount = state.amount
    beyond = state.flow.flooding() or state.flow.kind.beyond_claim()
    # The attempts of one flow are many, so the claim of each flow is computed once.
    beyond_by_flow: dict[Flow, bool] = {}
    for number, upstream_id in enumerate(pool.index.reclaimable.candidates(amount)):
        if number >= CANDIDATES + 2 * count:
            break
        attempts = tasks.on_upstream(upstream_id)
        if beyond:
            # Urgent work beyond its own learned demand takes no room within that of others; it may
            # be the start of a flood.
            attempts = [a for a in attempts if _is_beyond(a.state.flow, beyond_by_flow)]
        free = pool.unheld_with_pending_releases(upstream_id)
        loss = 0.0
        for plan in plan_upstream(upstream_id, amount, count, free, attempts, shares.share_of, now):
            # Later plans on an upstream rest on earlier ones.
            loss = max(loss, plan.loss)
            ranked.append((loss, len(ranked), plan))
    ranked.sort(key=lambda entry: entry[:2])
    return [plan for _, _, plan in ranked[:count]]


def _is_beyond(flow: Flow, beyond_by_flow: dict[Flow, bool]) -> bool:
    known = beyond_by_flow.get(flow)
    if known is None:
        known = beyond_by_flow[flow] = flow.beyond_claim()
    return known


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
    room = list(free)
    for number in range(count):
        plan = _throttle(upstream_id, amount, room, attempts, share_of) if not number else None
        stop = _stop(upstream_id, amount, room, victims)
        if plan is None or (stop is not None and stop.loss <= plan.loss):
            plan = stop
        if plan is None:
            break
        for attempt in plan.stopped:
            room = [
                have + freed for have, freed in zip(room, attempt.reservation.amount, strict=True)
            ]
        for attempt, left in plan.throttled:
            room[0] += attempt.reservation.amount[0] - left[0]
        taken = set(plan.stopped)
        victims = [pair for pair in victims if pair[1] not in taken]
        room = [have - need for have, need in zip(room, amount, strict=True)]
        plans.append(plan)
        if plan.throttled:
            break
    return plans


def _loss(attempt: Attempt, share_of: Callable[[Vector], float], now: float) -> float:
    factor = NORMAL_FACTOR if attempt.state.job.band == Band.NORMAL else 1.0
    lost = min(max(attempt.elapsed(now), 0.01), CHECKPOINT_COST)
    return lost * share_of(attempt.reservation.amount) * factor


def _missing(amount: Vector, room: list[int]) -> list[int]:
    return [max(need - have, 0) for need, have in zip(amount, room, strict=True)]


def _stop(
    upstream_id: UpstreamId, amount: Vector, room: list[int], victims: list[tuple[float, Attempt]]
) -> Plan | None:
    missing = _missing(amount, room)
    if not any(missing):
        return Plan(upstream_id, 0.0)
    best: Plan | None = None
    for loss, attempt in victims:
        # One victim that is enough by itself, if it costs less than several.
        freed = attempt.reservation.amount
        if all(part >= need for part, need in zip(freed, missing, strict=True)):
            best = Plan(upstream_id, loss, [attempt])
            break
    chosen: list[tuple[float, Attempt]] = []
    sums = [0, 0, 0, 0, 0]
    for loss, attempt in victims:
        freed = attempt.reservation.amount
        useful = zip(freed, missing, sums, strict=True)
        if not any(part and need > have for part, need, have in useful):
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
    room: list[int],
    attempts: list[Attempt],
    share_of: Callable[[Vector], float],
) -> Plan | None:
    missing = _missing(amount, room)
    if not missing[0] or any(missing[1:]):
        return None
    limits: list[tuple[Attempt, Vector]] = []
    loss, freed = 0.0, 0
    ordered = sorted(
        (a for a in attempts if a.limitable()), key=lambda a: (-a.state.job.band, a.id)
    )
    for attempt in ordered:
        held = attempt.reservation.amount
        left = max(held[0] // THROTTLED_PART, LEAST_PROCESSORS)
        if left >= held[0]:
            continue
        limits.append((attempt, (left, *held[1:])))
        freed += held[0] - left
        loss += THROTTLE_LOSS * CHECKPOINT_COST * share_of(held)
        if freed >= missing[0]:
            return Plan(upstream_id, loss, [], limits)
    return None
