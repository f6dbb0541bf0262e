"""The life of a shard's jobs: acceptance, starts and ends of attempts, outcome, deadline."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import logbook
from result import Err, Ok, Result

from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.decisions import (
    Cancellation,
    CancellationKind,
    EndEffect,
    Refusal,
    Start,
    Stop,
    TaskEnd,
)
from hornbeamramp.durable_jobs import DurableJobs
from hornbeamramp.ids import AttemptId, DataCentreId, JobId
from hornbeamramp.job_records import JobRecord, JobRecords, task_of
from hornbeamramp.jobs import Completed, Job, NotRun, Outcome, ServiceJob, TaskResult, Unknown
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.states import RefusalReason

__all__ = ["JobLifecycle"]

# Recovery lasts up to the lease of a task if an upstream can't be listed.
SETTLE_PATIENCE = timedelta(seconds=20)
SETTLE_POLL = timedelta(milliseconds=50)
RETRY_AFTER_STORE = timedelta(seconds=5)

_log = logbook.Logger("owner")


class JobLifecycle:
    """Decides the fate of each job of a shard from what scheduler, journal and upstreams tell.

    `durable`
        The shard's journal and key records.
    `stop`
        Carries out a stop at its upstream.
    `wake`
        Makes the owner ask the scheduler for decisions.
    """

    def __init__(
        self,
        data_centre: DataCentreId,
        clock: Clock,
        scheduler: ShardScheduler,
        durable: DurableJobs,
        tasks: BackgroundTasks,
        stop: Callable[[Stop], None],
        wake: Callable[[], None],
    ) -> None:
        self.records = JobRecords(clock)
        self._data_centre = data_centre
        self._clock = clock
        self._scheduler = scheduler
        self._durable = durable
        self._tasks = tasks
        self._stop = stop
        self._wake = wake
        # Set once the journal has been merged with what the upstreams run.
        self._settled = asyncio.Event()
        # Jobs with a lost attempt, which end as unknown if their deadline passes in the queue.
        self._lost_jobs: set[JobId] = set()
        # Jobs whose acceptance is being recorded: they have no record yet, but may run.
        self._in_acceptance: set[JobId] = set()

    def is_settled(self) -> bool:
        """Tells whether journal and upstreams have been merged after the claim."""
        return self._settled.is_set()

    def is_in_acceptance(self, job_id: JobId) -> bool:
        """Tells whether the acceptance of a job is being recorded."""
        return job_id in self._in_acceptance

    async def accept(self, job: Job) -> Result[JobRecord, NotRun | Unknown]:
        """Queues a job, after making durable what must outlive this owner."""
        if self._durable.is_needed(job):
            self._in_acceptance.add(job.id)
            try:
                return await self._accept_durable(job)
            finally:
                self._in_acceptance.discard(job.id)
        return self._enqueue(job)

    def cancel(self, record: JobRecord) -> None:
        """Cancels a job: a queued one does not run, a running one is stopped."""
        if record.ended_at is not None:
            return
        cancellation = self._cancel(record)
        if cancellation.kind is CancellationKind.QUEUED:
            self._finish(record, self._cancelled(record, cancellation.ran))

    async def merge_journal(self) -> None:
        """Merges the journal with what the upstreams run, once both are known."""
        for record in self.records.live():
            self._settle(record)
        await self._durable.release_unstarted(self.records)
        for job in self._durable.unfinished_jobs():
            if self.records.get(job.id) is None:
                self._requeue(job)
        self._settled.set()
        self._wake()

    def expire(self) -> None:
        """Ends jobs whose deadline has passed in the queue."""
        for job_id in self._scheduler.expire():
            record = self.records.get(job_id)
            if record is not None:
                detail = "the deadline passed before the job was started"
                self._finish(record, NotRun(job_id, RefusalReason.EXPIRED, detail))
        self._expire_lost()
        self._wake()

    async def _accept_durable(self, job: Job) -> Result[JobRecord, NotRun | Unknown]:
        # Until then a running attempt of the same job, or its key, may not be known yet.
        if not await self._is_settled_within(SETTLE_PATIENCE):
            detail = "the shard's journal is not loaded"
            reason = RefusalReason.STORE_UNAVAILABLE
            return Err(NotRun(job.id, reason, detail, RETRY_AFTER_STORE))
        async with self._durable.key_lock(job):
            known = self._durable.find_key(job)
            if isinstance(known, Err):
                return known
            known_id = known.ok_value or job.id
            record = self.records.get(known_id)
            if record is not None:
                return Ok(record)
            if known_id != job.id:
                return Ok(self._answered(job, known_id))
            refusal = self._scheduler.check(job)
            if refusal is not None:
                return Err(_refused(job, refusal))
            recorded = await self._durable.record_accepted(job)
            if isinstance(recorded, Err):
                return recorded
            accepted = self._enqueue(job)
            if isinstance(accepted, Err):
                uncertain = await self._durable.forget(job)
                return accepted if uncertain is None else Err(uncertain)
            return accepted

    async def _is_settled_within(self, patience: timedelta) -> bool:
        if self._settled.is_set():
            return True
        give_up_at = self._clock.boot_time() + patience
        while not self._settled.is_set() and self._clock.boot_time() < give_up_at:
            await self._clock.sleep(SETTLE_POLL)
        return self._settled.is_set()

    def _answered(self, job: Job, known_id: JobId) -> JobRecord:
        """Returns a record with the answer that an idempotency key already has."""
        record = JobRecord(job)
        lost = Unknown(known_id, "the answer to the first request with this key is gone")
        record.answer(self._durable.answer(known_id) or lost)
        return record

    def _enqueue(self, job: Job) -> Result[JobRecord, NotRun]:
        admitted = self._scheduler.submit(job)
        if isinstance(admitted, Err):
            return Err(_refused(job, admitted.err_value))
        record = self.records.create(job)
        record.enter_queue(self._clock.boot_time())
        self._wake()
        return Ok(record)

    def recorded_outcome(self, job_id: JobId) -> Outcome | None:
        """Returns what the journal tells about a job that no upstream and no record knows."""
        if self._durable.may_have_run(job_id):
            detail = "its start was on record, but no upstream knows the attempt"
            return Unknown(job_id, detail)
        return self._durable.answer(job_id)

    def _cancel(self, record: JobRecord) -> Cancellation:
        cancellation = self._scheduler.cancel(record.job.id)
        for stop in cancellation.stop:
            self._stop(stop)
        self._wake()
        return cancellation

    def _cancelled(self, record: JobRecord, ran: bool) -> Outcome:
        if ran:
            return Completed(record.job.id, [], self._data_centre, failed=True)
        return NotRun(record.job.id, RefusalReason.CANCELLED, "cancelled")

    def started(self, attempt_id: AttemptId) -> None:
        """Takes note that an upstream started an attempt. A service is answered by that."""
        self._scheduler.started(attempt_id)
        record = self._record_of(attempt_id)
        if record is None:
            return
        record.running_tasks.add(task_of(attempt_id))
        if isinstance(record.job, ServiceJob) and len(record.running_tasks) == record.job.tasks:
            record.answer(Completed(record.job.id, [], self._data_centre))

    def ended(self, attempt_id: AttemptId, end: TaskEnd, result: TaskResult | None) -> None:
        """Takes note of the end of an attempt and of what follows for its job."""
        ended = self._scheduler.ended(attempt_id, end, None)
        self._wake()
        record = self._record_of(attempt_id)
        if record is None:
            return
        record.upstream_by_attempt.pop(attempt_id, None)
        if result is not None:
            record.result_by_task[task_of(attempt_id)] = result
        elif ended is not EndEffect.TASK_DONE:
            record.running_tasks.discard(task_of(attempt_id))
        if end is TaskEnd.LOST:
            record.lost = True
            record.uncertain = not record.job.idempotent
            self._lost_jobs.add(record.job.id)
        if record.intent_failed and ended is EndEffect.RETRY:
            self._refuse_without_store(record)
        else:
            self._conclude(record, ended)

    async def record_intent(self, start: Start) -> bool:
        """Makes the intent of a non-idempotent start durable; false if that failed."""
        recorded = await self._durable.record_intent(start)
        record = self.records.get(start.job.id)
        if record is not None:
            record.intent_failed = not recorded
        return recorded

    def _refuse_without_store(self, record: JobRecord) -> None:
        """Ends a non-idempotent job at once, as its start can't be recorded."""
        cancellation = self._cancel(record)
        if cancellation.kind is CancellationKind.QUEUED and not cancellation.ran:
            detail = "the store can't record the start of a non-idempotent job"
            outcome = NotRun(
                record.job.id, RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER_STORE
            )
            self._finish(record, outcome)

    def _conclude(self, record: JobRecord, ended: EndEffect) -> None:
        job = record.job
        if ended is EndEffect.JOB_DONE:
            results = [record.result_by_task[task] for task in sorted(record.result_by_task)]
            self._finish(record, Completed(job.id, results, self._data_centre))
        elif ended is EndEffect.JOB_FAILED:
            if record.uncertain:
                self._finish(record, Unknown(job.id, "an attempt was lost at its upstream"))
            else:
                self._finish(record, Completed(job.id, [], self._data_centre, failed=True))
        elif ended is EndEffect.JOB_CANCELLED:
            self._finish(record, Completed(job.id, [], self._data_centre, failed=True))

    def _finish(self, record: JobRecord, outcome: Outcome) -> None:
        if record.ended_at is not None:
            return
        self._tasks.spawn(self._durable_finish(record, outcome))

    async def _durable_finish(self, record: JobRecord, outcome: Outcome) -> None:
        # An answer that must be repeatable is in the journal before the caller sees it. With the
        # store away the caller still gets it; the journal then holds the intent alone. That an
        # accepted job was not run is not reported before it is recorded.
        if self._durable.is_needed(record.job):
            reportable = await self._durable.record_ended(record.job, outcome)
            if not reportable:
                return
        self.records.end(record, outcome)

    def _record_of(self, attempt_id: AttemptId) -> JobRecord | None:
        return self.records.get(attempt_id.rsplit(".", 3)[0])

    def _settle(self, record: JobRecord) -> None:
        """Queues or ends an adopted job whose other tasks no upstream runs."""
        ended = self._scheduler.settle(record.job.id, record.result_by_task.keys())
        if ended is EndEffect.JOB_FAILED:
            record.uncertain = True
        self._conclude(record, ended)

    def _requeue(self, job: Job) -> None:
        if self._durable.may_have_run(job.id):
            record = self.records.create(job)
            self._finish(record, self.recorded_outcome(job.id))
            return
        accepted = self._enqueue(job)
        if isinstance(accepted, Err):
            _log.warning("{}: an accepted job was refused: {}", job.id, accepted.err_value.detail)
            self._finish(self.records.create(job), accepted.err_value)

    def _expire_lost(self) -> None:
        """Ends jobs past their deadline whose last attempt was lost and that wait for another."""
        for job_id in list(self._lost_jobs):
            record = self.records.get(job_id)
            if record is None or record.ended_at is not None:
                self._lost_jobs.discard(job_id)
            elif record.is_expired(self._clock.boot_time()) and not record.upstream_by_attempt:
                self._lost_jobs.discard(job_id)
                self._cancel(record)
                detail = "the deadline passed after an attempt was lost at its upstream"
                self._finish(record, Unknown(job_id, detail))


def _refused(job: Job, refusal: Refusal) -> NotRun:
    return NotRun(job.id, refusal.reason, refusal.detail, refusal.retry_after)
