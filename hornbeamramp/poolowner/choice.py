"""Chooses workers for a unit. Reads the free resources of the sessions and changes nothing."""

import heapq
from collections import Counter
from collections.abc import Iterable, Sequence

from hornbeamramp.fleet import WorkerSession
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.capacity import Capacity, FreeResources
from hornbeamramp.poolowner.jobs import StepRun, Unit
from hornbeamramp.poolowner.pacing import is_latency_sensitive
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.resources import Resources
from hornbeamramp.workload import MAX_TASKS, URGENT

__all__ = [
    "MIN_GANG_SPEED",
    "choose_each",
    "choose_workers",
    "could_all_run",
    "could_ever_run",
    "count_tasks",
    "count_tasks_of_size",
    "gang_groups",
    "is_spread",
    "prefers_one_rack",
]

# Relative speed below which a worker is slow for a gang, which is as slow as its slowest member.
MIN_GANG_SPEED = 0.75
# No capacity is held.
EMPTY = Capacity()


def could_ever_run(step: StepRun, session: WorkerSession) -> bool:
    """Returns whether an empty worker could run a task of the step."""
    capacity = session.listing.capacity
    size = step.size
    label = step.spec.required_label
    return (
        (not label or label in session.listing.labels)
        and size.processors_milli <= capacity.processors_milli
        and size.memory_mib <= capacity.memory_mib
        and size.accelerators <= capacity.accelerators
    )


def could_all_run(unit: Unit, sessions: Iterable[WorkerSession]) -> bool:
    """Returns whether these workers could run all tasks of the unit at once if they were empty."""
    return _holds_all(unit, [s for s in sessions if could_ever_run(unit.step, s)])


def _holds_all(unit: Unit, sessions: list[WorkerSession]) -> bool:
    tasks = sum(count_tasks(unit.step, EMPTY.total(session)) for session in sessions)
    return tasks >= len(unit.tasks)


def count_tasks(step: StepRun, available: FreeResources) -> int:
    """Returns how many tasks of the step fit into these resources of a worker that runs none."""
    return count_tasks_of_size(step.size, available, step.spec.max_per_worker or MAX_TASKS)


def count_tasks_of_size(size: Resources, available: FreeResources, limit: int = MAX_TASKS) -> int:
    """Returns how many tasks of a size, at most ``limit``, fit into these resources."""
    counts = [
        have // need
        for have, need in zip(
            available, (size.processors_milli, size.memory_mib, size.accelerators), strict=True
        )
        if need
    ]
    return max(min(*counts, limit) if counts else limit, 0)


def prefers_one_rack(step: StepRun) -> bool:
    """Returns whether the tasks of a step take longer if they run on more than one rack."""
    return step.is_gang and step.spec.same_rack


def is_spread(unit: Unit) -> bool:
    """Returns whether a gang that prefers one rack is placed on several, where it takes longer."""
    if not prefers_one_rack(unit.step):
        return False
    return len({attempt.session.listing.rack for attempt in unit.attempts()}) > 1


def _racks(unit: Unit, sessions: list[WorkerSession]) -> list[list[WorkerSession]]:
    """Returns the groups of workers of which one is to take all tasks of the unit."""
    if not prefers_one_rack(unit.step):
        return [sessions]
    by_rack: dict[str, list[WorkerSession]] = {}
    for session in sessions:
        by_rack.setdefault(session.listing.rack, []).append(session)
    return [group for _, group in sorted(by_rack.items())]


def gang_groups(
    unit: Unit, sessions: Iterable[WorkerSession], speeds: WorkerSpeeds, capacity: Capacity
) -> list[list[WorkerSession]]:
    """Returns the groups of workers of which one may take a gang, in the order to try them in.

    The best workers of a group come first. Slow workers are used only if the others would be too
    few even when empty: the other members would wait for those on slow workers, with all their
    capacity. A gang that prefers one rack has several as its last group, if it may spread.
    """
    usable = [session for session in sessions if could_ever_run(unit.step, session)]
    fast = [s for s in usable if speeds.speed(UpstreamId(s.worker)) >= MIN_GANG_SPEED]
    groups = [group for group in _racks(unit, fast) if _holds_all(unit, group)]
    if not groups and len(fast) < len(usable):
        groups = [group for group in _racks(unit, usable) if _holds_all(unit, group)]
    ordered = [_best_first(unit, group, speeds) for group in groups]
    if prefers_one_rack(unit.step) and unit.step.rack_wait.may_spread:
        candidates = fast if _holds_all(unit, fast) else usable
        racks = [_best_first(unit, rack, speeds) for rack in _racks(unit, candidates)]
        ordered.append(_fewest_racks(unit, racks, capacity))
    return ordered


def _room(step: StepRun, sessions: list[WorkerSession], capacity: Capacity) -> int:
    """Returns how many tasks of the step fit on these workers now."""
    return sum(count_tasks(step, capacity.free(session)) for session in sessions)


def _best_first(
    unit: Unit, group: list[WorkerSession], speeds: WorkerSpeeds
) -> list[WorkerSession]:
    scores = {s.worker: _gang_score(unit, s, speeds) for s in group}
    return sorted(group, key=lambda s: scores[s.worker], reverse=True)


def _fewest_racks(
    unit: Unit, racks: list[list[WorkerSession]], capacity: Capacity
) -> list[WorkerSession]:
    """Returns the workers of all racks, those first that take the unit on the fewest racks.

    The last of these is the one with the least room that suffices, so that the others stay free.
    """
    rooms = [_room(unit.step, rack, capacity) for rack in racks]
    left = sorted(range(len(racks)), key=lambda number: rooms[number], reverse=True)
    missing = len(unit.tasks)
    ordered: list[WorkerSession] = []
    while left:
        enough = [number for number in left if rooms[number] >= missing > 0]
        number = enough[-1] if enough else left[0]
        left.remove(number)
        ordered += racks[number]
        missing -= rooms[number]
    return ordered


def _gang_score(unit: Unit, session: WorkerSession, speeds: WorkerSpeeds) -> tuple[float, ...]:
    worker = UpstreamId(session.worker)
    free = session.free()
    return (
        _is_trusted(unit, worker, speeds),
        _is_data_local(unit.step, session),
        # Packed, so that whole workers stay free for other gangs.
        -free[2] if unit.step.size.accelerators else -free[0],
        round(speeds.speed(worker), 1),
    )


def _is_trusted(unit: Unit, worker: UpstreamId, speeds: WorkerSpeeds) -> bool:
    return worker not in unit.avoided_workers and not speeds.is_suspect(worker)


def _is_data_local(step: StepRun, session: WorkerSession) -> bool:
    return not step.spec.data_rack or step.spec.data_rack in session.listing.labels


def choose_workers(
    unit: Unit,
    sessions: Iterable[WorkerSession],
    speeds: WorkerSpeeds,
    assigned_by_worker: Counter[str],
    capacity: Capacity,
) -> list[WorkerSession] | None:
    """Returns a worker for each task of the unit, or ``None`` if they don't all fit.

    `assigned_by_worker`
        Number of the step's tasks already assigned to each worker.
    `capacity`
        Free capacity of the workers.
    """
    step = unit.step
    if step.spec.gang and not step.spec.long_running and len(unit.tasks) > 1:
        sessions = list(sessions)
        # Most gangs that wait don't fit, which this shows with less work than the groups.
        if sum(count_tasks(step, capacity.free(s)) for s in sessions) < len(unit.tasks):
            return None
        groups = gang_groups(unit, sessions, speeds, capacity)
        if len(groups) > 1:
            # Racks are filled, so that whole ones stay free for other gangs. Several together have
            # the most room, and come last.
            groups.sort(key=lambda group: _room(step, group, capacity))
        for group in groups:
            chosen = _assign_gang(unit, group, capacity)
            if chosen is not None:
                return chosen
        return None
    usable = [session for session in sessions if could_ever_run(step, session)]
    groups = _racks(unit, usable)
    if prefers_one_rack(step) and step.rack_wait.may_spread:
        groups = [*groups, usable]
    for group in groups:
        chosen = _assign(unit, group, speeds, assigned_by_worker, capacity)
        if chosen is not None:
            return chosen
    return None


def choose_each(
    units: Sequence[Unit],
    sessions: Iterable[WorkerSession],
    speeds: WorkerSpeeds,
    assigned_by_worker: Counter[str],
    capacity: Capacity,
) -> list[WorkerSession]:
    """Returns a worker for each of the first units that fit, as `choose_workers` would one after
    the other.

    All units are single tasks of one step that have avoided no worker yet, so they score each
    worker alike.
    """
    unit, step = units[0], units[0].step
    size, limit = step.size, step.spec.max_per_worker
    count_by_worker = Counter(assigned_by_worker)
    available_by_worker: dict[str, FreeResources] = {}
    by_score: list[tuple[tuple[float, ...], int, WorkerSession]] = []

    def push(session: WorkerSession, order: int) -> None:
        available = available_by_worker[session.worker]
        if (
            size.processors_milli <= available[0]
            and size.memory_mib <= available[1]
            and size.accelerators <= available[2]
            and not (limit and count_by_worker[session.worker] >= limit)
        ):
            score = _score(unit, session, available, speeds, count_by_worker[session.worker])
            heapq.heappush(by_score, (tuple(-part for part in score), order, session))

    for order, session in enumerate(sessions):
        if could_ever_run(step, session):
            available_by_worker[session.worker] = capacity.free(session)
            push(session, order)
    chosen: list[WorkerSession] = []
    while by_score and len(chosen) < len(units):
        _, order, session = heapq.heappop(by_score)
        chosen.append(session)
        count_by_worker[session.worker] += 1
        available = available_by_worker[session.worker]
        available_by_worker[session.worker] = (
            available[0] - size.processors_milli,
            available[1] - size.memory_mib,
            available[2] - size.accelerators,
        )
        push(session, order)
    return chosen


def _assign_gang(
    unit: Unit, sessions: list[WorkerSession], capacity: Capacity
) -> list[WorkerSession] | None:
    """Returns a worker for each member of a gang, filling the workers in the given order."""
    missing = len(unit.tasks)
    chosen: list[WorkerSession] = []
    for session in sessions:
        count = min(count_tasks(unit.step, capacity.free(session)), missing)
        chosen += [session] * count
        missing -= count
        if not missing:
            return chosen
    return None


def _assign(
    unit: Unit,
    sessions: list[WorkerSession],
    speeds: WorkerSpeeds,
    assigned_by_worker: Counter[str],
    capacity: Capacity,
) -> list[WorkerSession] | None:
    step = unit.step
    size, limit = step.size, step.spec.max_per_worker
    available_by_worker: dict[str, FreeResources] = {
        session.worker: capacity.free(session) for session in sessions
    }
    count_by_worker = Counter(assigned_by_worker)
    chosen = []
    for _ in unit.tasks:
        best: WorkerSession | None = None
        best_score: tuple[float, ...] = ()
        for session in sessions:
            available = available_by_worker[session.worker]
            if (
                size.processors_milli > available[0]
                or size.memory_mib > available[1]
                or size.accelerators > available[2]
            ):
                continue
            if limit and count_by_worker[session.worker] >= limit:
                continue
            score = _score(unit, session, available, speeds, count_by_worker[session.worker])
            if best is None or score > best_score:
                best, best_score = session, score
        if best is None:
            return None
        chosen.append(best)
        available = available_by_worker[best.worker]
        available_by_worker[best.worker] = (
            available[0] - size.processors_milli,
            available[1] - size.memory_mib,
            available[2] - size.accelerators,
        )
        count_by_worker[best.worker] += 1
    return chosen


def _score(
    unit: Unit,
    session: WorkerSession,
    available: FreeResources,
    speeds: WorkerSpeeds,
    step_tasks: int,
) -> tuple[float, ...]:
    """Returns the score of a worker for one task; the highest tuple wins."""
    step = unit.step
    worker = UpstreamId(session.worker)
    speed = round(speeds.speed(worker), 1)
    is_trusted = _is_trusted(unit, worker, speeds)
    is_data_local = _is_data_local(step, session)
    if step.spec.fills:
        # Best-effort tasks go where they disturb the fewest latency-sensitive tasks.
        latency_sensitive = sum(
            is_latency_sensitive(attempt) for attempt in session.attempt_by_key.values()
        )
        return (is_trusted, is_data_local, -latency_sensitive, available[1])
    if step.spec.long_running:
        # Spread, so that the loss of one worker ends few of the step's tasks.
        return (is_trusted, is_data_local, -step_tasks, -speed, available[0])
    if step.size.accelerators:
        # Packed, so that whole workers stay free for tasks that need all accelerators.
        return (is_trusted, is_data_local, -available[2], speed, -available[0])
    if step.job.record.priority > URGENT:
        # Slow workers first, so that the fast ones stay free for urgent tasks.
        return (is_trusted, is_data_local, -speed, -available[0])
    return (is_trusted, is_data_local, speed, -available[0])
