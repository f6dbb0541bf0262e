"""Chooses workers for a unit. Reads the free resources of the sessions and changes nothing."""

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
    step = unit.step
    usable = [session for session in sessions if could_ever_run(step, session)]
    if step.spec.same_rack and step.spec.gang:
        racks = {session.listing.rack for session in usable}
        groups = [[s for s in usable if s.listing.rack == rack] for rack in racks]
    else:
        groups = [usable]
    return any(sum(_max_tasks(step, s) for s in group) >= len(unit.tasks) for group in groups)


def _max_tasks(step: StepRun, session: WorkerSession) -> int:
    """Returns how many tasks of the step fit on the worker when it is empty."""
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

    `assigned_by_worker`
        Number of the step's tasks already assigned to each worker.
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
    available_by_worker: dict[str, FreeResources] = {
        session.worker: session.free() for session in sessions
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
    is_trusted = worker not in unit.avoided_workers and not speeds.is_suspect(worker)
    is_data_local = not step.spec.data_rack or step.spec.data_rack in session.listing.labels
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
