"""From a choice of workers to running tasks: advice, the record of the placement, the orders."""

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

import logbook

from hornbeamramp import instruments
from hornbeamramp.clock import Clock
from hornbeamramp.fleet import Attempt, AttemptPhase, StartOrder, StartReply, WorkerSession
from hornbeamramp.fleet.base import FencedError, OtherBootError
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.advice import (
    START_MARGIN,
    TICKET_MARGIN,
    AdviceSource,
    AdviceUnavailableError,
)
from hornbeamramp.poolowner.choice import could_ever_run
from hornbeamramp.poolowner.jobs import StepRun, Unit
from hornbeamramp.poolowner.journal import Journal
from hornbeamramp.poolowner.lateness import LatenessLevel
from hornbeamramp.statestore import ClaimLostError
from hornbeamramp.workload import URGENT, Queue

if TYPE_CHECKING:
    from hornbeamramp.poolowner.owner import PoolOwner

__all__ = ["Launcher"]

# Most workers named in one question: the platform's bound on a job's time counts one question
# about 30 workers for each step.
MAX_WORKERS_PER_ADVICE_REQUEST = 30
# Questions from this cost on are not asked again by a successor: their answers are recorded. For
# cheaper ones a write costs more than a question.
MIN_RECORDED_COST = timedelta(milliseconds=50)
# By how long questions count as younger if no free capacity waits for their answer, and if it comes
# too late for the job's caller. Costly questions take about half a second.
PREFETCH_DEFERRAL = timedelta(milliseconds=500)
TOO_LATE_DEFERRAL = timedelta(seconds=2)
# Pause after a question without an answer.
ADVICE_RETRY_DELAY = timedelta(milliseconds=200)
# Pause before a refused start is tried again, so that the worker's next list has come.
START_RETRY_DELAY = timedelta(milliseconds=150)

_log = logbook.Logger("launch")


class Launcher:
    """Starts placed units. A unit that can't be started goes back to its step's queue."""

    def __init__(
        self, owner: "PoolOwner", advice: AdviceSource, clock: Clock, journal: Journal
    ) -> None:
        self._owner = owner
        self._advice = advice
        self._clock = clock
        self._journal = journal
        self._launches_in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def wait_idle(self) -> None:
        """Returns once no order waits for its answer."""
        await self._idle.wait()

    def may_ask(self, step: StepRun) -> bool:
        """Tells whether a question about the step would be sent soon. The less urgent wait here
        rather than behind others, so that they are asked with the room there is then."""
        return self._advice.backlog < 1 or step.job.record.priority == URGENT

    def request_advice(self, step: StepRun, queue: Queue, sessions: list[WorkerSession]) -> None:
        """Asks which of these workers may run the step, those with most room first."""
        candidates = [session for session in sessions if could_ever_run(step, session)]
        candidates.sort(key=lambda s: (not s.fits(step.size), -s.free()[0]))
        step.grants.is_pending = True
        self._owner.spawn(self._ask_and_launch(step, queue, candidates, []))

    def renew_and_launch(
        self, step: StepRun, queue: Queue, units: list[Unit], sessions: list[WorkerSession]
    ) -> None:
        """Renews the tickets of workers, then starts the units that hold room on them."""
        needed = {attempt.session.worker for unit in units for attempt in unit.attempts()}
        sessions = sorted(sessions, key=lambda s: s.worker not in needed)
        step.grants.is_pending = True
        self._owner.spawn(self._ask_and_launch(step, queue, sessions, units))

    def prefetch_tickets(self, step: StepRun, queue: Queue, sessions: list[WorkerSession]) -> None:
        """Renews the tickets of a step without room, if they end before an answer would come."""
        assert queue.advice is not None
        cost = queue.advice.base + len(sessions) * queue.advice.per_worker
        answer_expected_at = self._clock.boot_time() + cost
        if any(step.grants.has_ticket(UpstreamId(s.worker), answer_expected_at) for s in sessions):
            return
        self.renew_and_launch(step, queue, [], sessions)

    async def _ask_and_launch(
        self, step: StepRun, queue: Queue, sessions: list[WorkerSession], units: list[Unit]
    ) -> None:
        sessions = sessions[:MAX_WORKERS_PER_ADVICE_REQUEST]
        worker_ids = [UpstreamId(session.worker) for session in sessions]
        has_capacity = bool(units) or any(session.fits(step.size) for session in sessions)
        try:
            await self._ask(step, queue, worker_ids, _deferral(step, has_capacity))
        finally:
            step.grants.is_pending = False
            ready = [unit for unit in units if self._has_tickets(unit)]
            for unit in units:
                if unit not in ready:
                    self._requeue(unit)
            self._owner.wake()
        if ready:
            await self.launch(step, ready)

    def _has_tickets(self, unit: Unit, margin: timedelta = TICKET_MARGIN) -> bool:
        now = self._clock.boot_time()
        grants = unit.step.grants
        return all(
            grants.has_ticket(UpstreamId(attempt.session.worker), now, margin)
            for attempt in unit.attempts()
        )

    async def _ask(
        self, step: StepRun, queue: Queue, worker_ids: list[UpstreamId], deferral: timedelta
    ) -> None:
        assert queue.advice is not None
        asked_at = self._clock.boot_time()
        priority = step.job.record.priority
        try:
            advice = await self._advice.ask(step.key, worker_ids, queue.advice, priority, deferral)
        except AdviceUnavailableError as error:
            step.grants.not_before = self._clock.boot_time() + ADVICE_RETRY_DELAY
            _log.info("{}: no advice: {}", step.key, error)
            return
        received_at = self._clock.boot_time()
        asked_before = len(step.grants.asked)
        step.grants.add(worker_ids, advice, received_at)
        if queue.advice.base >= MIN_RECORDED_COST and len(step.grants.asked) > asked_before:
            step.grants.is_recorded = True
            self._journal.mark_dirty(step.job)
        elapsed = received_at - asked_at
        instruments.advice_time.record(elapsed.total_seconds())
        granted = len(advice.ticket_by_worker)
        _log.info(
            "{}: {} of {} workers granted after {}", step.key, granted, len(worker_ids), elapsed
        )

    async def launch(self, step: StepRun, units: list[Unit]) -> None:
        """Starts units whose tasks have reserved room."""
        self._launches_in_flight += 1
        self._idle.clear()
        try:
            self._journal.mark_dirty(step.job)
            await self._journal.recorded()
            _log.info(
                "{} run {} placed on {}",
                step.key,
                [unit.run for unit in units],
                [attempt.session.worker for unit in units for attempt in unit.attempts()],
            )
            queue = self._owner.queue_of(step.job)
            if queue is not None and queue.advice is not None:
                expiring = [unit for unit in units if not self._has_tickets(unit, START_MARGIN)]
                if expiring:
                    self._owner.spawn(self._renew_and_start(step, queue, expiring))
                units = [unit for unit in units if unit not in expiring]
            await self._start_units(units)
        except ClaimLostError as error:
            _log.info("{}: placement dropped: {}", step.key, error)
        finally:
            self._launches_in_flight -= 1
            if not self._launches_in_flight:
                self._idle.set()

    async def _renew_and_start(self, step: StepRun, queue: Queue, units: list[Unit]) -> None:
        """Starts recorded units whose tickets have run out while they were recorded, as they do
        with a slow store. Their room stays taken, so no second commit is needed."""
        workers = {attempt.session.worker for unit in units for attempt in unit.attempts()}
        worker_ids = [UpstreamId(worker) for worker in sorted(workers)]
        try:
            await self._ask(step, queue, worker_ids[:MAX_WORKERS_PER_ADVICE_REQUEST], timedelta(0))
        finally:
            ready = [unit for unit in units if self._has_tickets(unit, START_MARGIN)]
            for unit in units:
                if unit not in ready:
                    self._requeue(unit)
        await self._start_units(ready)

    async def _start_units(self, units: list[Unit]) -> None:
        await asyncio.gather(*(self._start_unit(unit) for unit in units))

    def _requeue(self, unit: Unit) -> None:
        """Gives reserved room back; the run number stays used up."""
        for task in unit.tasks:
            if task.attempt is not None and task.attempt.phase is AttemptPhase.RESERVED:
                task.attempt.session.release(task.attempt)
                task.attempt = None
        self._owner.lifecycle.retry(unit)

    async def _start_unit(self, unit: Unit) -> None:
        attempts = [a for a in unit.attempts() if a.phase is AttemptPhase.RESERVED]
        if unit.step.job.is_ended or not self._owner.may_order():
            self._requeue(unit)
            return
        replies = await asyncio.gather(*(self._start(attempt) for attempt in attempts))
        if all(reply is StartReply.STARTED for reply in replies):
            return
        for attempt, reply in zip(attempts, replies, strict=True):
            if reply is None:
                # Settles the order: it is either carried out and stopped, or never carried out.
                if attempt.task.attempt is attempt:
                    attempt.session.stop(attempt)
            elif reply is not StartReply.STARTED and attempt.task.attempt is attempt:
                attempt.session.release(attempt)
                attempt.task.attempt = None
        await self._clock.sleep(START_RETRY_DELAY)
        if unit.step.spec.gang or not unit.is_placed:
            self._owner.lifecycle.retry(unit)

    async def _start(self, attempt: Attempt) -> StartReply | None:
        step = attempt.task.unit.step
        session = attempt.session
        order = StartOrder(
            task=attempt.name,
            run=attempt.run,
            payload=step.job.record.spec.payload,
            deadline_ms=session.deadline_ms(),
            token=self._owner.token,
            checkpoint=attempt.checkpoint,
            ticket=step.grants.ticket_by_worker.get(UpstreamId(session.worker), ""),
        )
        try:
            reply = await session.start(attempt, order)
        except FencedError:
            self._owner.on_fenced(session)
            return StartReply.FENCED
        except OtherBootError:
            reply = StartReply.OTHER_BOOT
        instruments.starts.add(1, {"reply": "no_answer" if reply is None else reply.value})
        if reply is StartReply.STARTED:
            self._owner.lifecycle.mark_started(step.job)
            if step.job.is_ended and attempt.task.attempt is attempt:
                session.stop(attempt)
        else:
            _log.info(
                "start of {} run {} on {}: {}", attempt.name, attempt.run, session.worker, reply
            )
        if reply is StartReply.TICKET_INVALID:
            step.grants.drop_ticket(UpstreamId(session.worker))
        return reply


def _deferral(step: StepRun, has_capacity: bool) -> timedelta:
    """Returns by how long a question counts as younger."""
    if step.lateness.level is LatenessLevel.TOO_LATE:
        return TOO_LATE_DEFERRAL
    return timedelta(0) if has_capacity else PREFETCH_DEFERRAL
