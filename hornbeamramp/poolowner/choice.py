"""Chooses workers for a unit. Plain code over the sessions' ledgers; changes nothing."""

from collections import Counter
from collections.abc import Iterable

from hornbeamramp.fleet import WorkerSession
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.jobs import StepRun, Unit
from hornbeamramp.poolowner.pacing import is_serving
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.workload import MAX_TASKS, URGENT

__all__ = ["choose_workers", "could_all_run", "could_ever_run"]

Room = tuple[int, int, int]


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
    return any(sum(_most_tasks(step, s) for s in group) >= len(unit.tasks) for group in groups)


def _most_tasks(step: StepRun, session: WorkerSession) -> int:
    """Returns how many tasks of the step an empty worker holds."""
    capacity, size = session.listing.capacity, step.size
    pairs = (
        (capacity.processors_milli, size.processors_milli),
        (capacity.memory_mib, size.memory_mib),
        (capacity.accelerators, size.accelerators),
    )
    most = min((have // need for have, need in pairs if need), default=MAX_TASKS)
    return min(most, step.spec.max_per_worker or most)


def choose_workers(
    unit: Unit,
    sessions: Iterable[WorkerSession],
    speeds: WorkerSpeeds,
    count_on: Counter[str],
) -> list[WorkerSession] | None:
    """Returns a worker for each task of the unit, or ``None`` if they don't all fit.

    ``count_on`` holds how many tasks of the step each worker has already.
    """
    step = unit.step
    usable = [session for session in sessions if could_ever_run(step, session)]
    if step.spec.gang and step.spec.same_rack and len(unit.tasks) > 1:
        for rack in sorted({session.listing.rack for session in usable}):
            on_rack = [session for session in usable if session.listing.rack == rack]
            chosen = _fill(unit, on_rack, speeds, count_on)
            if chosen is not None:
                return chosen
        return None
    return _fill(unit, usable, speeds, count_on)


def _fill(
    unit: Unit,
    sessions: list[WorkerSession],
    speeds: WorkerSpeeds,
    count_on: Counter[str],
) -> list[WorkerSession] | None:
    step = unit.step
    size, limit = step.size, step.spec.max_per_worker
    room_by_worker: dict[str, Room] = {session.worker: session.free() for session in sessions}
    count_by_worker = Counter(count_on)
    chosen = []
    for _ in unit.tasks:
        best: WorkerSession | None = None
        best_score: tuple[float, ...] = ()
        for session in sessions:
            room = room_by_worker[session.worker]
            if (
                size.processors_milli > room[0]
                or size.memory_mib > room[1]
                or size.accelerators > room[2]
            ):
                continue
            if limit and count_by_worker[session.worker] >= limit:
                continue
            score = _score(unit, session, room, speeds, count_by_worker[session.worker])
            if best is None or score > best_score:
                best, best_score = session, score
        if best is None:
            return None
        chosen.append(best)
        room = room_by_worker[best.worker]
        room_by_worker[best.worker] = (
            room[0] - size.processors_milli,
            room[1] - size.memory_mib,
            room[2] - size.accelerators,
        )
        count_by_worker[best.worker] += 1
    return chosen


def _score(
    unit: Unit, session: WorkerSession, room: Room, speeds: WorkerSpeeds, same_step: int
) -> tuple[float, ...]:
    """Returns the worth of a worker for one task; higher tuples come first."""
    step = unit.step
    worker = UpstreamId(session.worker)
    speed = round(speeds.speed(worker), 1)
    is_clean = worker not in unit.avoid and not speeds.is_suspect(worker)
    is_near = not step.spec.data_rack or step.spec.data_rack in session.listing.labels
    if step.spec.fills:
        # Away from those that they would disturb.
        serving = sum(is_serving(attempt) for attempt in session.attempt_by_key.values())
        return (is_clean, is_near, -serving, room[1])
    if step.spec.long_running:
        # Spread, so that the loss of one worker takes few of the step's tasks.
        return (is_clean, is_near, -same_step, -speed, room[0])
    if step.size.accelerators:
        # Packed, so that whole workers stay free for tasks that take all accelerators.
        return (is_clean, is_near, -room[2], speed, -room[0])
    if step.job.record.priority > URGENT:
        # Slow workers first: the fast ones are left to those that have the least time.
        return (is_clean, is_near, -speed, -room[0])
    return (is_clean, is_near, speed, -room[0])
