"""Places the waiting units of an owned pool: orders them, chooses workers and preempts runs."""

from collections import Counter
from collections.abc import Collection, Iterable
from datetime import timedelta
from typing import TYPE_CHECKING

import logbook
import msgspec

from hornbeamramp import instruments
from hornbeamramp.clock import Clock
from hornbeamramp.fleet import Attempt, RunOutcome, WorkerSession
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.choice import choose_workers, could_all_run, could_ever_run
from hornbeamramp.poolowner.health import WorkerHealth
from hornbeamramp.poolowner.jobs import StepRun, Unit
from hornbeamramp.poolowner.lateness import Lateness, LatenessLevel, estimate_lateness
from hornbeamramp.poolowner.launch import Launcher
from hornbeamramp.poolowner.preemption import choose_victims, expected_slots
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.resources import Resources

if TYPE_CHECKING:
    from hornbeamramp.poolowner.owner import PoolOwner

__all__ = ["Placer"]

# Steps of a pool that renew their tickets while they wait for capacity. Each uses up to half of one
# VM's share of the advice service.
MAX_PREFETCHING_STEPS = 3
# Most tasks of one step for which runs are preempted at a time. With more, victims would be chosen
# before the worker's next list shows what the earlier stops have freed.
MAX_TASKS_PER_PREEMPTION = 16
# Minimum time between two searches for victims for one step; stopped runs end within 200 ms.
PREEMPTION_INTERVAL = timedelta(milliseconds=100)

_log = logbook.Logger("owner")


class _Workers(msgspec.Struct, frozen=True):
    """Workers of one scheduling pass.

    `usable_by_id`
        Workers on which runs may be placed.
    `with_capacity`
        Those of them with free capacity for the smallest waiting size in each resource.
    """

    usable_by_id: dict[UpstreamId, WorkerSession]
    with_capacity: list[WorkerSession]


class Placer:
    """Keeps the steps with waiting units, and speed and health of workers from ended runs."""

    def __init__(self, owner: "PoolOwner", launcher: Launcher, clock: Clock) -> None:
        self._owner = owner
        self._launcher = launcher
        self._clock = clock
        self._open_steps: list[StepRun] = []
        self.speeds = WorkerSpeeds()
        self.health = WorkerHealth()

    def add(self, steps: Iterable[StepRun]) -> bool:
        """Adds steps whose predecessors are done; returns whether there were any."""
        before = len(self._open_steps)
        self._open_steps += steps
        return len(self._open_steps) > before

    def queue(self, unit: Unit) -> None:
        """Queues a unit again."""
        unit.step.queue(unit)
        if unit.step not in self._open_steps:
            self._open_steps.append(unit.step)

    def record_end(self, attempt: Attempt, outcome: RunOutcome) -> None:
        """Updates the health and speed of the worker on which a run ended."""
        now = self._clock.boot_time()
        worker = UpstreamId(attempt.session.worker)
        was_quarantined = self.health.is_quarantined(worker, now)
        self.health.record_end(attempt, outcome, now)
        if self.health.is_quarantined(worker, now) and not was_quarantined:
            _log.warning("worker {} quarantined: tasks of several jobs failed in a row", worker)
        if outcome is RunOutcome.DONE and attempt.started_at is not None and not attempt.resumed:
            self.speeds.record_run(attempt, (now - attempt.started_at).total_seconds(), 1.0)

    def forget(self, worker: UpstreamId) -> None:
        """Drops the health and speed of a worker that has left."""
        self.health.forget(worker)
        self.speeds.forget(worker)

    def schedule(self) -> None:
        """Places the units that fit, in order of priority.

        Within a priority, steps that can still finish on time come first. Steps that are too late
        for their caller come after all others, whatever their priority.
        """
        if not self._owner.may_place():
            return
        self._open_steps = [
            step for step in self._open_steps if step.waiting and not step.job.is_ended
        ]
        for step in self._open_steps:
            step.lateness = self._estimate_lateness(step)
        self._open_steps.sort(key=_sort_key)
        workers = self._usable_workers()
        prefetches_left = MAX_PREFETCHING_STEPS
        for step in self._open_steps:
            self._place(step, workers, prefetches_left > 0)
            # Steps that still wait are the next to start when capacity is freed, so they prefetch
            # tickets. Steps that no worker may run don't count: they stay in the queue indefinitely
            # and would use up the limit.
            prefetches_left -= bool(step.waiting and self._is_feasible(step))

    def _usable_workers(self) -> _Workers:
        now = self._clock.boot_time()
        usable_by_id = {
            worker: session
            for worker, session in self._owner.session_by_worker.items()
            if session.usable and not self.health.is_quarantined(worker, now)
        }
        sizes = [step.size for step in self._open_steps]
        smallest = Resources(
            min((size.processors_milli for size in sizes), default=0),
            min((size.memory_mib for size in sizes), default=0),
            min((size.accelerators for size in sizes), default=0),
        )
        with_capacity = [session for session in usable_by_id.values() if session.fits(smallest)]
        return _Workers(usable_by_id, with_capacity)

    def _estimate_lateness(self, step: StepRun) -> Lateness:
        job = step.job
        queue = self._owner.queue_of(job)
        return estimate_lateness(
            record=job.record,
            critical_path=job.critical_path,
            step=step.key.step,
            since_ms=max(job.record.accepted_ms, job.record.spec.due_ms(step.key.occurrence)),
            now_ms=self._owner.now_ms(),
            duration_ratio=self.speeds.duration_ratio(step),
            timing=None if queue is None else queue.advice,
        )

    def _place(self, step: StepRun, workers: _Workers, may_prefetch: bool) -> None:
        """Launches the units of a step that fit.

        With ``may_prefetch``, tickets are also renewed while there is no capacity, so that freed
        capacity does not stay idle during an advice request.
        """
        queue = self._owner.queue_of(step.job)
        if queue is None or queue.advice is None:
            self._launch_on(step, workers.with_capacity)
            if step.waiting:
                self._preempt(step, workers.usable_by_id.values())
            return
        now = self._clock.boot_time()
        grants = step.grants
        # Sorted, so that ties don't depend on the iteration order of a set.
        granted = [
            workers.usable_by_id[worker]
            for worker in sorted(grants.granted)
            if worker in workers.usable_by_id
        ]
        with_capacity = [session for session in granted if session.fits(step.size)]
        self._launch_on(
            step, [s for s in with_capacity if grants.has_ticket(UpstreamId(s.worker), now)]
        )
        if not step.waiting or grants.is_pending or now < grants.not_before:
            return
        if not self._launcher.may_ask(step):
            return
        # Capacity found on granted workers stays reserved while their tickets are renewed.
        reserved = self._reserve(step, with_capacity)
        if reserved:
            self._launcher.renew_and_launch(step, queue, reserved, granted)
            return
        unasked = self._unasked(step, workers, may_prefetch)
        if unasked:
            self._launcher.request_advice(step, queue, unasked)
        elif granted:
            self._preempt(step, granted)
            if may_prefetch:
                self._launcher.prefetch_tickets(step, queue, granted)

    def _launch_on(self, step: StepRun, sessions: list[WorkerSession]) -> None:
        placed = self._reserve(step, sessions)
        if placed:
            self._owner.spawn(self._launcher.launch(step, placed))

    @staticmethod
    def _unasked(step: StepRun, workers: _Workers, may_prefetch: bool) -> list[WorkerSession]:
        """Returns workers to include in a first advice request: those with capacity, or any that
        could run the step if it may prefetch."""
        asked = step.grants.asked
        if may_prefetch:
            candidates = list(workers.usable_by_id.values())
        else:
            candidates = [s for s in workers.with_capacity if s.fits(step.size)]
        return [s for s in candidates if s.worker not in asked and could_ever_run(step, s)]

    def _is_feasible(self, step: StepRun) -> bool:
        """Returns whether the granted workers could run the step's next unit if they were empty."""
        grants = step.grants
        if not grants.asked:
            return True
        by_worker = self._owner.session_by_worker
        granted = [by_worker[worker] for worker in grants.granted if worker in by_worker]
        return could_all_run(step.waiting[0], granted)

    def _preempt(self, step: StepRun, sessions: Collection[WorkerSession]) -> None:
        """Preempts less urgent runs for the tasks of a step that don't fit."""
        now = self._clock.boot_time()
        is_recent = (
            step.preemption_checked_at is not None
            and now - step.preemption_checked_at < PREEMPTION_INTERVAL
        )
        if is_recent or step.lateness.level is LatenessLevel.TOO_LATE:
            return
        step.preemption_checked_at = now
        waiting_tasks = sum(len(unit.tasks) for unit in step.waiting)
        missing = min(waiting_tasks, MAX_TASKS_PER_PREEMPTION) - expected_slots(step, sessions)
        if missing <= 0:
            return
        for victim in choose_victims(step, missing, sessions, now):
            _log.info(
                "{} on {} at {}% is preempted for {}",
                victim.name,
                victim.session.worker,
                victim.percent,
                step.key,
            )
            instruments.preemptions.add(1)
            victim.session.stop(victim)

    def _reserve(self, step: StepRun, sessions: list[WorkerSession]) -> list[Unit]:
        """Takes units off the step's queue and reserves capacity for them, as far as they fit."""
        reserved: list[Unit] = []
        if not sessions:
            return reserved
        assigned_by_worker = Counter(
            attempt.session.worker for unit in step.units for attempt in unit.attempts()
        )
        while step.waiting:
            unit = step.waiting[0]
            chosen = choose_workers(unit, sessions, self.speeds, assigned_by_worker)
            if chosen is None:
                break
            step.waiting.pop(0)
            unit.run += 1
            for task, session in zip(unit.tasks, chosen, strict=True):
                task.attempt = Attempt(task, task.name, unit.run, step.size, session)
                task.attempt.checkpoint = unit.checkpoint
                task.attempt.resumed = bool(unit.checkpoint)
                session.reserve(task.attempt)
                assigned_by_worker[session.worker] += 1
            reserved.append(unit)
        return reserved


def _sort_key(step: StepRun) -> tuple[float, ...]:
    level, priority = step.lateness.level, step.job.record.priority
    return (level is LatenessLevel.TOO_LATE, priority, level, step.lateness.latest_start_ms)
