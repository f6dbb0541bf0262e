"""Launches placed units: requests advice, records the placement and sends the start orders."""

import asyncio
import math
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import logbook

from hornbeamramp import instruments
from hornbeamramp.clock import Clock
from hornbeamramp.fleet import Attempt, AttemptPhase, StartOrder, StartReply, WorkerSession
from hornbeamramp.fleet.base import FencedError, InstanceMismatchError
from hornbeamramp.ids import RouteName, UpstreamId
from hornbeamramp.poolowner.advice import (
    START_MARGIN,
    TICKET_MARGIN,
    AdviceSource,
    AdviceUnavailableError,
)
from hornbeamramp.poolowner.capacity import Capacity
from hornbeamramp.poolowner.choice import count_tasks
from hornbeamramp.poolowner.jobs import StepRun, Unit
from hornbeamramp.poolowner.journal import Journal
from hornbeamramp.poolowner.lateness import LatenessLevel
from hornbeamramp.statestore import ClaimLostError
from hornbeamramp.workload import URGENT, Queue

if TYPE_CHECKING:
    from hornbeamramp.poolowner.owner import PoolOwner

__all__ = ["Launcher"]

# The platform's time limit for a job allows for one advice request about 30 workers per step.
MAX_WORKERS_PER_ADVICE_REQUEST = 30
# Gangs need more workers, and a second request takes far longer than another 30 workers in one.
MAX_WORKERS_PER_GANG_REQUEST = 60
# Most requests made at the same time for one gang, by as many VMs.
MAX_ADVICE_REQUESTS_PER_GANG = 6
# Granted room that the first requests for a gang aim at, as a multiple of what it needs. Gangs of
# others use most of it, and a gang waits for seconds if it can't choose among many workers.
NAMED_ROOM_FACTOR = 6
# Share of the workers named that is granted, before the first answer for a queue.
INITIAL_GRANTED_SHARE = 0.5
# Weight of one answer in the share granted for a queue.
GRANTED_SHARE_WEIGHT = 0.2
# Steps of a pool that renew their tickets while they wait for capacity. Each uses up to half of one
# VM's share of the advice service, so on many VMs their number is a share of these.
MIN_PREFETCHING_STEPS = 3
PREFETCHING_STEPS_PER_VM = 0.25
# Answers to advice requests that take at least this are recorded, so that a successor does not
# repeat them. For shorter ones, the write costs more than another request.
MIN_RECORDED_DURATION = timedelta(milliseconds=50)
# Deferrals of advice requests, which rank one as if it had arrived later: the first if no free
# capacity depends on the answer, the second if the job is too late for its caller. Slow requests
# take about half a second.
PREFETCH_DEFERRAL = timedelta(milliseconds=500)
TOO_LATE_DEFERRAL = timedelta(seconds=2)
# Requests of jobs beyond their accounts' shares rank behind those that are made within this time
# after them. Urgent ones are not even made before the job has this age, while others wait. Together
# that is less than the 3 s within which a job has to start while there is room.
BEYOND_SHARE_DEFERRAL = timedelta(seconds=1)
# Requests for a long-running task that has to start again rank as if they had arrived earlier: it
# has to be at work within 3 s, whatever else waits.
RESTART_PRECEDENCE = timedelta(seconds=5)
# Delay after an advice request that got no answer.
ADVICE_RETRY_DELAY = timedelta(milliseconds=200)
# Delay before a refused start is retried, so that the worker's next list has arrived.
START_RETRY_DELAY = timedelta(milliseconds=150)

_log = logbook.Logger("launch")


class Launcher:
    """Starts placed units. A unit that can't be started returns to its step's queue."""

    def __init__(
        self, owner: "PoolOwner", advice: AdviceSource, clock: Clock, journal: Journal
    ) -> None:
        self._owner = owner
        self._advice = advice
        self._clock = clock
        self._journal = journal
        self._granted_share_by_queue: dict[RouteName, float] = {}
        self._launches_in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def wait_idle(self) -> None:
        """Returns once no launch is in flight."""
        await self._idle.wait()

    def max_prefetching_steps(self) -> int:
        """Returns how many steps may renew tickets while they wait for capacity."""
        return max(MIN_PREFETCHING_STEPS, int(PREFETCHING_STEPS_PER_VM * self._advice.parallelism))

    def may_ask(self, step: StepRun) -> bool:
        """Returns whether an advice request for the step would be sent soon.

        While there is a backlog, only urgent and long-running steps may ask, those beyond their
        accounts' shares after a while. Others wait in the placer, so that their requests are made
        for the capacity that is free by then.
        """
        if self._advice.backlog < 1 or step.spec.long_running:
            return True
        job = step.job.record
        if job.priority != URGENT:
            return False
        age = timedelta(milliseconds=self._owner.now_ms() - job.accepted_ms)
        return not job.is_beyond_share or age >= BEYOND_SHARE_DEFERRAL

    def request_advice(self, step: StepRun, queue: Queue, sessions: list[WorkerSession]) -> None:
        """Requests advice on which of the first of these workers may run the step.

        For a gang, as many are named as give it a choice, in several requests at the same time.
        """
        candidates = sessions[: self._workers_to_name(step, queue, sessions)]
        step.grants.is_pending = True
        self._owner.spawn(self._ask_and_launch(step, queue, candidates, []))

    def _workers_to_name(self, step: StepRun, queue: Queue, candidates: list[WorkerSession]) -> int:
        if not step.is_gang or not candidates:
            return MAX_WORKERS_PER_ADVICE_REQUEST
        empty = Capacity()
        tasks_per_worker = max(count_tasks(step, empty.total(s)) for s in candidates)
        share = self._granted_share_by_queue.get(queue.name, INITIAL_GRANTED_SHARE)
        needed = NAMED_ROOM_FACTOR * step.spec.count / tasks_per_worker / max(share, 0.01)
        named = max(math.ceil(needed), MAX_WORKERS_PER_ADVICE_REQUEST)
        return min(named, MAX_ADVICE_REQUESTS_PER_GANG * MAX_WORKERS_PER_GANG_REQUEST)

    def renew_and_launch(
        self, step: StepRun, queue: Queue, units: list[Unit], sessions: list[WorkerSession]
    ) -> None:
        """Renews the tickets of workers, then launches the units with capacity reserved on them."""
        needed = {attempt.session.worker for unit in units for attempt in unit.attempts()}
        sessions = sorted(sessions, key=lambda s: s.worker not in needed)
        if units and step.is_gang:
            # Its only unit has its workers; tickets of others would be of no use.
            sessions = sessions[: len(needed)]
        step.grants.is_pending = True
        self._owner.spawn(self._ask_and_launch(step, queue, sessions, units))

    def prefetch_tickets(
        self, step: StepRun, queue: Queue, sessions: list[WorkerSession], required: int = 1
    ) -> None:
        """Renews the tickets of a step that waits for capacity, unless those it needs would still
        be usable when the answer arrives.

        `required`
            Number of the first sessions whose tickets are needed; for a step that is no gang, the
            number of tickets needed on any of them.
        """
        answer_expected_at = self._clock.boot_time() + self.request_time(step, queue, len(sessions))
        needed = sessions[:required] if step.is_gang else sessions
        usable = sum(
            step.grants.has_ticket(UpstreamId(session.worker), answer_expected_at)
            for session in needed
        )
        if usable < required:
            self.renew_and_launch(step, queue, [], sessions)

    @staticmethod
    def request_time(
        step: StepRun, queue: Queue, workers: int = MAX_WORKERS_PER_GANG_REQUEST
    ) -> timedelta:
        """Returns how long the advice service takes for a step, for as many of the workers as one
        request names at most."""
        assert queue.advice is not None
        named = min(workers, _max_request_size(step))
        return queue.advice.base + named * queue.advice.per_worker

    async def _ask_and_launch(
        self, step: StepRun, queue: Queue, sessions: list[WorkerSession], units: list[Unit]
    ) -> None:
        # A gang needs the tickets of all its workers at the same time.
        limit = MAX_ADVICE_REQUESTS_PER_GANG if step.is_gang else 1
        sessions = sessions[: limit * _max_request_size(step)]
        worker_ids = [UpstreamId(session.worker) for session in sessions]
        has_capacity = bool(units) or any(session.fits(step.size) for session in sessions)
        try:
            await self._ask_all(step, queue, worker_ids, _deferral(step, has_capacity))
        except Exception:
            # Units with reserved capacity are launched or queued again below.
            _log.exception("{}: advice request failed unexpectedly", step.key)
            step.grants.not_before = self._clock.boot_time() + ADVICE_RETRY_DELAY
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

    async def _ask_all(
        self, step: StepRun, queue: Queue, worker_ids: list[UpstreamId], deferral: timedelta
    ) -> None:
        """Requests advice on all the workers, in requests of equal size at the same time."""
        requests = math.ceil(len(worker_ids) / _max_request_size(step))
        await asyncio.gather(
            *(
                self._ask(step, queue, worker_ids[number::requests], deferral)
                for number in range(requests)
            )
        )

    async def _ask(
        self, step: StepRun, queue: Queue, worker_ids: list[UpstreamId], deferral: timedelta
    ) -> None:
        assert queue.advice is not None
        asked_at = self._clock.boot_time()
        priority = URGENT if _is_restart(step) else step.job.record.priority
        try:
            advice = await self._advice.ask(step.key, worker_ids, queue.advice, priority, deferral)
        except AdviceUnavailableError as error:
            step.grants.not_before = self._clock.boot_time() + ADVICE_RETRY_DELAY
            _log.info("{}: advice request failed: {}", step.key, error)
            return
        received_at = self._clock.boot_time()
        asked_before = len(step.grants.asked)
        step.grants.add(worker_ids, advice, received_at)
        if queue.advice.base >= MIN_RECORDED_DURATION and len(step.grants.asked) > asked_before:
            step.grants.is_recorded = True
            self._journal.mark_dirty(step.job)
        elapsed = received_at - asked_at
        instruments.advice_time.record(elapsed.total_seconds())
        granted = len(advice.ticket_by_worker)
        if len(step.grants.asked) > asked_before:
            self._record_granted_share(queue, granted / len(worker_ids))
        _log.info(
            "{}: advice service granted {} of {} workers after {}",
            step.key,
            granted,
            len(worker_ids),
            elapsed,
        )

    def _record_granted_share(self, queue: Queue, share: float) -> None:
        before = self._granted_share_by_queue.get(queue.name, INITIAL_GRANTED_SHARE)
        self._granted_share_by_queue[queue.name] = before + GRANTED_SHARE_WEIGHT * (share - before)

    async def launch(self, step: StepRun, units: list[Unit]) -> None:
        """Records the placement of units with reserved capacity, then starts them."""
        self._launches_in_flight += 1
        self._idle.clear()
        try:
            self._journal.mark_dirty(step.job)
            await self._journal.wait_recorded()
            _log.info(
                "{} run {} placed on {}",
                step.key,
                [unit.run for unit in units],
                [attempt.session.worker for unit in units for attempt in unit.attempts()],
                extra=_restart_fields(units),
            )
            queue = self._owner.queue_of(step.job)
            if queue is not None and queue.advice is not None:
                expiring = [unit for unit in units if not self._has_tickets(unit, START_MARGIN)]
                if expiring:
                    self._owner.spawn(self._renew_and_start(step, queue, expiring))
                units = [unit for unit in units if unit not in expiring]
            await self._start_units(units)
        except ClaimLostError as error:
            _log.info("{}: placement discarded, ownership claim lost: {}", step.key, error)
        except Exception:
            # Without this, units that have not been ordered would keep their capacity for good.
            _log.exception("{}: launch failed unexpectedly, placing its units again", step.key)
            for unit in units:
                if all(a.phase is AttemptPhase.RESERVED for a in unit.attempts()):
                    self._requeue(unit)
        finally:
            self._launches_in_flight -= 1
            if not self._launches_in_flight:
                self._idle.set()

    async def _renew_and_start(self, step: StepRun, queue: Queue, units: list[Unit]) -> None:
        """Starts units whose tickets expired while the placement was recorded.

        This happens with a slow store. The units keep their reserved capacity, so no second commit
        is needed.
        """
        workers = {attempt.session.worker for unit in units for attempt in unit.attempts()}
        worker_ids = [UpstreamId(worker) for worker in sorted(workers)]
        try:
            await self._ask_all(step, queue, worker_ids, timedelta(0))
        except Exception:
            _log.exception("{}: renewal of tickets failed unexpectedly", step.key)
        finally:
            ready = [unit for unit in units if self._has_tickets(unit, START_MARGIN)]
            for unit in units:
                if unit not in ready:
                    self._requeue(unit)
        await self._start_units(ready)

    async def _start_units(self, units: list[Unit]) -> None:
        await asyncio.gather(*(self._start_unit(unit) for unit in units))

    def _requeue(self, unit: Unit) -> None:
        """Releases reserved capacity and queues the unit again; its run number is not reused."""
        for task in unit.tasks:
            if task.attempt is not None and task.attempt.phase is AttemptPhase.RESERVED:
                task.attempt.session.release(task.attempt)
                task.attempt = None
        self._owner.lifecycle.retry(unit)

    async def _start_unit(self, unit: Unit) -> None:
        attempts = [a for a in unit.attempts() if a.phase is AttemptPhase.RESERVED]
        if unit.step.job.is_ended or unit.is_done or not self._owner.may_order():
            self._requeue(unit)
            return
        replies = await asyncio.gather(*(self._start(attempt) for attempt in attempts))
        if all(reply is StartReply.STARTED for reply in replies):
            return
        for attempt, reply in zip(attempts, replies, strict=True):
            if reply is None:
                # The outcome is unknown. A stop ends the run, or prevents a later start.
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
        except InstanceMismatchError:
            reply = StartReply.INSTANCE_MISMATCH
        instruments.starts.add(1, {"reply": "no_answer" if reply is None else reply.value})
        if reply is StartReply.STARTED:
            self._owner.lifecycle.mark_started(step.job)
            self._owner.lifecycle.log_running(attempt)
            if step.job.is_ended and attempt.task.attempt is attempt:
                session.stop(attempt)
        else:
            _log.info(
                "start of {} run {} on {} not confirmed, reply: {}",
                attempt.name,
                attempt.run,
                session.worker,
                reply,
            )
        if reply is StartReply.TICKET_INVALID:
            step.grants.drop_ticket(UpstreamId(session.worker))
        return reply


def _restart_fields(units: list[Unit]) -> dict[str, Any]:
    """Returns the run numbers of the tasks that are placed again, by task."""
    runs = {task.name: unit.run for unit in units if unit.run > 1 for task in unit.tasks}
    return {"event": "placed_again", "runs": runs} if runs else {}


def _max_request_size(step: StepRun) -> int:
    """Returns how many workers one advice request for a step names at most."""
    return MAX_WORKERS_PER_GANG_REQUEST if step.is_gang else MAX_WORKERS_PER_ADVICE_REQUEST


def _deferral(step: StepRun, has_capacity: bool) -> timedelta:
    """Returns how much later than its arrival an advice request is ranked."""
    if has_capacity and _is_restart(step):
        return -RESTART_PRECEDENCE
    if step.lateness.level is LatenessLevel.TOO_LATE:
        return TOO_LATE_DEFERRAL
    deferral = timedelta(0) if has_capacity else PREFETCH_DEFERRAL
    return deferral + BEYOND_SHARE_DEFERRAL if step.job.record.is_beyond_share else deferral


def _is_restart(step: StepRun) -> bool:
    """Returns whether tasks of a step that lasts have to start again."""
    return step.spec.long_running and any(unit.run > 0 for unit in step.units)
