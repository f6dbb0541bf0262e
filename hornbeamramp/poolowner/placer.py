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
from hornbeamramp.poolowner.capacity import Capacity
from hornbeamramp.poolowner.choice import (
    choose_workers,
    could_all_run,
    could_ever_run,
    count_tasks,
)
from hornbeamramp.poolowner.expected_ends import ExpectedEnds
from hornbeamramp.poolowner.gangs import GangPlan, plan_drain, plan_gang
from hornbeamramp.poolowner.health import WorkerHealth
from hornbeamramp.poolowner.jobs import StepRun, Unit
from hornbeamramp.poolowner.lateness import Lateness, LatenessLevel, estimate_lateness
from hornbeamramp.poolowner.launch import Launcher
from hornbeamramp.poolowner.preemption import choose_victims, expected_slots
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.poolowner.waiting import WaitReason
from hornbeamramp.resources import Resources
from hornbeamramp.workload import Queue

if TYPE_CHECKING:
    from hornbeamramp.poolowner.owner import PoolOwner

__all__ = ["Placer"]

# Share of the pool's processors that gangs may keep from other steps while they wait for runs to
# end that can't be preempted.
MAX_DRAINED_SHARE = 0.25
# Most tasks of one step for which runs are preempted at a time. With more, victims would be chosen
# before the worker's next list shows what the earlier stops have freed.
MAX_TASKS_PER_PREEMPTION = 16
# Minimum time between two searches for victims for one step; stopped runs end within 200 ms.
PREEMPTION_INTERVAL = timedelta(milliseconds=100)

# Room on granted workers to aim for, as a multiple of what a gang needs: other runs use part of it.
GANG_ROOM_FACTOR = 2.5
# Minimum time between two plans for one gang, which look at all runs on its workers.
PLAN_INTERVAL = timedelta(milliseconds=50)

# Runs may use capacity kept for a gang if they would end before its start even if they took longer
# than expected by this factor.
BACKFILL_DURATION_FACTOR = 1.3
# Nothing is kept for gangs.
EMPTY = Capacity()

_log = logbook.Logger("owner")


class _Workers(msgspec.Struct, frozen=True):
    """Workers of one scheduling pass.

    `usable_by_id`
        Workers on which runs may be placed.
    `with_capacity`
        Those of them with free capacity for the smallest waiting size in each resource.
    `capacity`
        What is free on them for the steps not yet considered.
    `spare`
        The same less what gangs kept in the pass before, so that more urgent steps, which come
        first, use other capacity where there is some.
    `drainable_processors_milli`
        Processors that may be kept for gangs that wait for runs to end.
    `expected_ends`
        When the runs on them are expected to end.
    """

    usable_by_id: dict[UpstreamId, WorkerSession]
    with_capacity: list[WorkerSession]
    capacity: Capacity
    spare: Capacity
    drainable_processors_milli: float
    expected_ends: ExpectedEnds

    def for_step(self, step: StepRun, speeds: WorkerSpeeds) -> "_Workers":
        """Returns the workers with the capacity that runs of the step may use, which depends on
        their duration."""
        if step.spec.long_running:
            return self
        duration = timedelta(milliseconds=step.spec.estimate_ms) * speeds.duration_ratio(step)
        end = self.expected_ends.now + BACKFILL_DURATION_FACTOR * duration
        return msgspec.structs.replace(
            self, capacity=self.capacity.for_runs_until(end), spare=self.spare.for_runs_until(end)
        )


class Placer:
    """Keeps the steps with waiting units, and speed and health of workers from ended runs."""

    def __init__(self, owner: "PoolOwner", launcher: Launcher, clock: Clock) -> None:
        self._owner = owner
        self._launcher = launcher
        self._clock = clock
        self._open_steps: list[StepRun] = []
        # Of the latest scheduling pass.
        self._capacity = Capacity()
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
        # The members of a gang end with the slowest, so their duration is not that of a worker.
        is_measure = not attempt.resumed and not attempt.task.unit.step.is_gang
        if outcome is RunOutcome.DONE and attempt.started_at is not None and is_measure:
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
        now = self._clock.boot_time()
        if not self._owner.may_place():
            for step in self._open_steps:
                if step.waiting:
                    step.wait.set(WaitReason.OWNER, now)
            return
        for step in self._open_steps:
            if not step.waiting and step.wait.reason is not WaitReason.END:
                step.wait.set(None, now)
        self._open_steps = [
            step for step in self._open_steps if step.waiting and not step.job.is_ended
        ]
        for step in self._open_steps:
            try:
                step.lateness = self._estimate_lateness(step)
            except Exception:
                # It keeps its last estimate; the order of the others must not depend on it.
                _log.exception("{}: lateness can't be estimated", step.key)
        self._open_steps.sort(key=_sort_key)
        workers = self._usable_workers()
        prefetches_left = self._launcher.max_prefetching_steps()
        for step in self._open_steps:
            try:
                reason = self._place(step, workers, prefetches_left > 0)
            except Exception:
                # One step must not keep all others from being placed.
                _log.exception("{}: placement failed unexpectedly, trying again", step.key)
                continue
            if not step.waiting:
                step.wait.set(None, now)
                continue
            # Steps that still wait are the next to start when capacity is freed, so they prefetch
            # tickets. Steps that no worker may run don't count: they stay in the queue indefinitely
            # and would use up the limit.
            is_feasible = self._is_feasible(step)
            prefetches_left -= is_feasible
            step.wait.set(reason if is_feasible else WaitReason.WORKER, now)

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
        processors = sum(s.listing.capacity.processors_milli for s in usable_by_id.values())
        capacity_before, self._capacity = self._capacity, Capacity()
        return _Workers(
            usable_by_id,
            with_capacity,
            self._capacity,
            capacity_before.limited_by(self._capacity),
            MAX_DRAINED_SHARE * processors,
            ExpectedEnds(self.speeds, now),
        )

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

    def _place(self, step: StepRun, workers: _Workers, may_prefetch: bool) -> WaitReason:
        """Launches the units of a step that fit; returns what any others wait for.

        With ``may_prefetch``, tickets are also renewed while there is no capacity, so that freed
        capacity does not stay idle during an advice request.
        """
        queue = self._owner.queue_of(step.job)
        workers = workers.for_step(step, self.speeds)
        capacity = workers.capacity
        shortage = WaitReason.GANG if step.is_gang else WaitReason.CAPACITY
        if queue is None or queue.advice is None:
            self._launch_on(step, workers.with_capacity, workers)
            if step.waiting:
                self._make_room(step, list(workers.usable_by_id.values()), workers)
            return shortage
        now = self._clock.boot_time()
        grants = step.grants
        # Sorted, so that ties don't depend on the iteration order of a set.
        granted = [
            workers.usable_by_id[worker]
            for worker in sorted(grants.granted)
            if worker in workers.usable_by_id
        ]
        with_capacity = [s for s in granted if capacity.fits(s, step.size)]
        ticketed = [s for s in with_capacity if grants.has_ticket(UpstreamId(s.worker), now)]
        self._launch_on(step, ticketed, workers)
        if not step.waiting:
            return shortage
        may_ask = (
            not grants.is_pending and now >= grants.not_before and self._launcher.may_ask(step)
        )
        # Capacity found on granted workers stays reserved while their tickets are renewed.
        reserved = self._reserve(step, with_capacity, workers) if may_ask else []
        if reserved:
            self._launcher.renew_and_launch(step, queue, reserved, granted)
            return shortage
        plan = self._make_room(step, granted, workers) if granted else None
        if not granted:
            shortage = WaitReason.ADVICE
        elif (step.is_gang and plan is not None) or (
            not step.is_gang and len(with_capacity) > len(ticketed)
        ):
            shortage = WaitReason.TICKET
        if not may_ask:
            return shortage
        if step.is_gang:
            self._ask_for_gang(step, queue, granted, plan, workers)
            return shortage
        unasked = self._unasked(step, workers, may_prefetch)
        if unasked:
            self._launcher.request_advice(step, queue, unasked)
        elif granted and may_prefetch:
            self._launcher.prefetch_tickets(step, queue, granted)
        return shortage

    def _ask_for_gang(
        self,
        step: StepRun,
        queue: Queue,
        granted: list[WorkerSession],
        plan: GangPlan | None,
        workers: _Workers,
    ) -> None:
        """Asks for more workers until a gang can be planned, then for the tickets of its plan."""
        if plan is None:
            room = sum(count_tasks(step, EMPTY.total(session)) for session in granted)
            if room < GANG_ROOM_FACTOR * step.spec.count:
                unasked = self._unasked(step, workers, True)
                if unasked:
                    self._launcher.request_advice(step, queue, unasked)
            return
        # Besides those of the plan, the tickets of others that may have room by then.
        free = workers.capacity.free
        sessions = sorted(
            granted, key=lambda s: (s.worker not in plan.count_by_worker, -free(s)[0])
        )
        self._launcher.prefetch_tickets(step, queue, sessions, len(plan.count_by_worker))

    def _launch_on(self, step: StepRun, sessions: list[WorkerSession], workers: _Workers) -> None:
        placed = self._reserve(step, sessions, workers)
        if placed:
            self._owner.spawn(self._launcher.launch(step, placed))

    def _make_room(
        self, step: StepRun, sessions: list[WorkerSession], workers: _Workers
    ) -> GangPlan | None:
        """Preempts runs for a step that does not fit, and keeps capacity for a gang.

        Returns the plan of a gang that is going to fit soon.
        """
        if not step.is_gang:
            self._preempt(step, sessions)
            return None
        if step.lateness.level is LatenessLevel.TOO_LATE:
            return None
        now = self._clock.boot_time()
        if step.planned_at is None or now - step.planned_at >= PLAN_INTERVAL:
            step.planned_at = now
            step.plan = self._plan(step.waiting[0], sessions, workers)
        if step.plan is None:
            return None
        self._hold(step, step.plan, workers.capacity)
        return None if step.plan.is_drain else step.plan

    def _plan(
        self, unit: Unit, sessions: list[WorkerSession], workers: _Workers
    ) -> GangPlan | None:
        capacity = workers.capacity
        plan = plan_gang(unit, sessions, capacity, self.speeds, workers.expected_ends)
        if plan is not None:
            self._stop_victims(unit.step, plan.victims)
            return plan
        if capacity.held_processors_milli < workers.drainable_processors_milli:
            return plan_drain(unit, sessions, capacity, self.speeds, workers.expected_ends)
        return None

    @staticmethod
    def _hold(step: StepRun, plan: GangPlan, capacity: Capacity) -> None:
        for worker, count in plan.count_by_worker.items():
            capacity.hold(worker, step.size, count, plan.starts_at)

    @staticmethod
    def _unasked(step: StepRun, workers: _Workers, may_prefetch: bool) -> list[WorkerSession]:
        """Returns workers to include in a first advice request: those with capacity, or any that
        could run the step if it may prefetch."""
        asked = step.grants.asked
        if may_prefetch:
            candidates = list(workers.usable_by_id.values())
        else:
            candidates = [s for s in workers.with_capacity if workers.capacity.fits(s, step.size)]
        unasked = [s for s in candidates if s.worker not in asked and could_ever_run(step, s)]
        # Workers on which the step fits now come first, then those with the most free processors.
        spare = workers.spare
        unasked.sort(key=lambda s: (not spare.fits(s, step.size), -spare.free(s)[0]))
        return unasked

    def waiting_steps(self) -> list[StepRun]:
        """Returns the steps that wait, in the order of the latest pass."""
        return [step for step in self._open_steps if step.waiting]

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
        self._stop_victims(step, choose_victims(step, missing, sessions, now))

    @staticmethod
    def _stop_victims(step: StepRun, victims: Iterable[Attempt]) -> None:
        for victim in victims:
            _log.info(
                "{} on {} at {}% is preempted for {}",
                victim.name,
                victim.session.worker,
                victim.percent,
                step.key,
            )
            instruments.preemptions.add(1)
            victim.session.stop(victim)

    def _reserve(
        self, step: StepRun, sessions: list[WorkerSession], workers: _Workers
    ) -> list[Unit]:
        """Takes units off the step's queue and reserves capacity for them, as far as they fit."""
        reserved: list[Unit] = []
        if not sessions:
            return reserved
        assigned_by_worker = Counter(
            attempt.session.worker for unit in step.units for attempt in unit.attempts()
        )
        while step.waiting:
            unit = step.waiting[0]
            # What a gang kept in the pass before is its own.
            chosen = None
            if step.plan is None:
                chosen = choose_workers(
                    unit, sessions, self.speeds, assigned_by_worker, workers.spare
                )
            if chosen is None:
                chosen = choose_workers(
                    unit, sessions, self.speeds, assigned_by_worker, workers.capacity
                )
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
