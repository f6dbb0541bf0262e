"""Chooses workers for a unit. Plain code over the sessions' ledgers; changes nothing."""

from collections import Counter
from collections.abc import Iterable

from hornbeamramp.fleet import WorkerSession
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.jobs import StepRun, Unit
from hornbeamramp.poolowner.pacing import is_latency_sensitive
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.workload import MAX_TASKS, URGENT

__all__ = ["choose_workers", "could_all_run", "could_ever_run"]

FreeResources = tuple[int, int, int]


def could_ever_run(step: StepRun, session: WorkerSession) -> bool:
    """Tells whether an empty worker could run a task of the step."""
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
    """Tells whether these workers could run all tasks of the unit at once if they were empty."""
    step = unit.step
    usable = [session for session in sessions if could_ever_run(step, session)]
    if step.spec.same_rack and step.spec.gang:
        racks = {session.listing.rack for session in usable}
        groups = [[s for s in usable if s.listing.rack == rack] for rack in racks]
    else:
        groups = [usable]
    return any(sum(_max_tasks(step, s) for s in group) >= len(unit.tasks) for group in groups)


def _max_tasks(step: StepRun, session: WorkerSession) -> int:
    """Returns how many tasks of the step an empty worker holds."""
    capacity, size = session.listing.capacity, step.size
    pairs = (
        (capacity.processors_milli, size.processors_milli),
        (capacity.memory_mib, size.memory_mib),
        (capacity.accelerators, size.accelerators),
    )
    limit = min((have // need for have, need in pairs if need), default=MAX_TASKS)
    return min(limit, step.spec.max_per_worker or limit)


def choose_workers(
    unit: Unit,
    sessions: Iterable[WorkerSession],
    speeds: WorkerSpeeds,
    assigned_by_worker: Counter[str],
) -> list[WorkerSession] | None:
    """Returns a worker for each task of the unit, or ``None`` if they don't all fit.

    ``assigned_by_worker`` holds how many tasks of the step each worker has already.
    """
    step = unit.step
    usable = [session for session in sessions if could_ever_run(step, session)]
    if step.spec.gang and step.spec.same_rack and len(unit.tasks) > 1:
        for rack in sorted({session.listing.rack for session in usable}):
            on_rack = [session for session in usable if session.listing.rack == rack]
            chosen = _assign(unit, on_rack, speeds, assigned_by_worker)
            if chosen is not None:
                return chosen
        return None
    return _assign(unit, usable, speeds, assigned_by_worker)


def _assign(
    unit: Unit,
    sessions: list[WorkerSession],
    speeds: WorkerSpeeds,
    assigned_by_worker: Counter[str],
) -> list[WorkerSession] | None:
    step = unit.step
    size, limit = step.size, step.spec.max_per_worker
    free_by_worker: dict[str, FreeResources] = {
        session.worker: session.free() for session in sessions
    }
    count_by_worker = Counter(assigned_by_worker)
    chosen = []
    for _ in unit.tasks:
        best: WorkerSession | None = None
        best_score: tuple[float, ...] = ()
        for session in sessions:
            free = free_by_worker[session.worker]
            if (
                size.processors_milli > free[0]
                or size.memory_mib > free[1]
                or size.accelerators > free[2]
            ):
                continue
            if limit and count_by_worker[session.worker] >= limit:
                continue
            score = _score(unit, session, free, speeds, count_by_worker[session.worker])
            if best is None or score > best_score:
                best, best_score = session, score
        if best is None:
            return None
        chosen.append(best)
        free = free_by_worker[best.worker]
        free_by_worker[best.worker] = (
            free[0] - size.processors_milli,
            free[1] - size.memory_mib,
            free[2] - size.accelerators,
        )
        count_by_worker[best.worker] += 1
    return chosen


def _score(
    unit: Unit, session: WorkerSession, free: FreeResources, speeds: WorkerSpeeds, step_tasks: int
) -> tuple[float, ...]:
    """Returns the worth of a worker for one task; higher tuples come first."""
    step = unit.step
    worker = UpstreamId(session.worker)
    speed = round(speeds.speed(worker), 1)
    is_trusted = worker not in unit.avoided_workers and not speeds.is_suspect(worker)
    is_data_local = not step.spec.data_rack or step.spec.data_rack in session.listing.labels
    if step.spec.fills:
        # Away from those that they would disturb.
        latency_sensitive = sum(
            is_latency_sensitive(attempt) for attempt in session.attempt_by_key.values()
        )
        return (is_trusted, is_data_local, -latency_sensitive, free[1])
    if step.spec.long_running:
        # Spread, so that the loss of one worker takes few of the step's tasks.
        return (is_trusted, is_data_local, -step_tasks, -speed, free[0])
    if step.size.accelerators:
        # Packed, so that whole workers stay free for tasks that take all accelerators.
        return (is_trusted, is_data_local, -free[2], speed, -free[0])
    if step.job.record.priority > URGENT:
        # Slow workers first: the fast ones are left to those that have the least time.
        return (is_trusted, is_data_local, -speed, -free[0])
    return (is_trusted, is_data_local, speed, -free[0])
