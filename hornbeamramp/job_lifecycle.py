"""Lifecycle of a shard's jobs: acceptance, starts and ends of attempts, outcome, deadline."""

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
MERGE_TIMEOUT = timedelta(seconds=20)
MERGE_POLL_INTERVAL = timedelta(milliseconds=50)
STORE_RETRY_AFTER = timedelta(seconds=5)

_log = logbook.Logger("owner")


class JobLifecycle:
    """Carries each job of a shard from acceptance to its outcome.

    Acts on what the scheduler decides, the journal holds and the upstreams report.

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
        self._journal_merged = asyncio.Event()
        # Jobs with a lost attempt, which end as unknown if their deadline passes in the queue.
        self._lost_jobs: set[JobId] = set()
        # Jobs whose acceptance is being recorded: they have no record yet, but may run.
        self._recording_acceptance: set[JobId] = set()

    def is_journal_merged(self) -> bool:
        """Returns whether journal and upstreams have been merged after the claim."""
        return self._journal_merged.is_set()

    def is_recording_acceptance(self, job_id: JobId) -> bool:
        """Returns whether the acceptance of a job is being recorded."""
        return job_id in self._recording_acceptance

    async def accept(self, job: Job) -> Result[JobRecord, NotRun | Unknown]:
        """Queues a job, after recording what must survive a change of owner."""
        if self._durable.needs_record(job):
            self._recording_acceptance.add(job.id)
            try:
                return await self._accept_durable(job)
            finally:
                self._recording_acceptance.discard(job.id)
        return self._enqueue(job)

    def cancel(self, record: JobRecord) -> None:
        """Cancels a job: a queued one does not run, a running one is stopped."""
        if record.ended_at is not None:
            return
        cancellation = self._cancel(record)
        if cancellation.kind is CancellationKind.QUEUED:
            self._finish(record, self._cancelled_outcome(record, cancellation.ran))

    async def merge_journal(self) -> None:
        """Merges the journal with what the upstreams run, once both are known."""
        for record in self.records.live():
            self._reconcile_adopted(record)
        await self._durable.release_unstarted(self.records)
        for job in self._durable.unfinished_jobs():
            if self.records.get(job.id) is None:
                self._requeue(job)
        self._journal_merged.set()
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
        # Before the merge, a running attempt of the same job, or its key, may be unknown.
        if not await self._wait_for_merge(MERGE_TIMEOUT):
            detail = "the shard's journal is not loaded"
            reason = RefusalReason.STORE_UNAVAILABLE
            return Err(NotRun(job.id, reason, detail, STORE_RETRY_AFTER))
        async with self._durable.key_lock(job):
            known = self._durable.find_key(job)
            if isinstance(known, Err):
                return known
            known_id = known.ok_value or job.id
            record = self.records.get(known_id)
            if record is not None:
                return Ok(record)
            if known_id != job.id:
                return Ok(self._answered_record(job, known_id))
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

    async def _wait_for_merge(self, timeout: timedelta) -> bool:
        if self._journal_merged.is_set():
            return True
        deadline = self._clock.boot_time() + timeout
        while not self._journal_merged.is_set() and self._clock.boot_time() < deadline:
            await self._clock.sleep(MERGE_POLL_INTERVAL)
        return self._journal_merged.is_set()

    def _answered_record(self, job: Job, known_id: JobId) -> JobRecord:
        """Returns a record that holds the answer already given for the job's idempotency key."""
        record = JobRecord(job)
        missing = Unknown(known_id, "the answer to the first request with this key is gone")
        record.answer(self._durable.answer(known_id) or missing)
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
        """Returns the outcome that the journal gives for a job without a record or an attempt."""
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

    def _cancelled_outcome(self, record: JobRecord, ran: bool) -> Outcome:
        if ran:
            return Completed(record.job.id, [], self._data_centre, failed=True)
        return NotRun(record.job.id, RefusalReason.CANCELLED, "cancelled")

    def started(self, attempt_id: AttemptId) -> None:
        """Handles the start of an attempt. A service is answered once all its tasks started."""
        self._scheduler.started(attempt_id)
        record = self._record_of(attempt_id)
        if record is None:
            return
        record.running_tasks.add(task_of(attempt_id))
        if isinstance(record.job, ServiceJob) and len(record.running_tasks) == record.job.tasks:
            record.answer(Completed(record.job.id, [], self._data_centre))

    def ended(self, attempt_id: AttemptId, end: TaskEnd, result: TaskResult | None) -> None:
        """Handles the end of an attempt and what follows from it for the job."""
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
            self._end_unrecorded_start(record)
        else:
            self._finish_if_ended(record, ended)

    async def record_intent(self, start: Start) -> bool:
        """Makes the intent of a non-idempotent start durable; false if that failed."""
        recorded = await self._durable.record_intent(start)
        record = self.records.get(start.job.id)
        if record is not None:
            record.intent_failed = not recorded
        return recorded

    def _end_unrecorded_start(self, record: JobRecord) -> None:
        """Ends a non-idempotent job at once, as its start can't be recorded."""
        cancellation = self._cancel(record)
        if cancellation.kind is CancellationKind.QUEUED and not cancellation.ran:
            detail = "the store can't record the start of a non-idempotent job"
            outcome = NotRun(
                record.job.id, RefusalReason.STORE_UNAVAILABLE, detail, STORE_RETRY_AFTER
            )
            self._finish(record, outcome)

    def _finish_if_ended(self, record: JobRecord, ended: EndEffect) -> None:
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
        # An answer that must be repeatable is recorded before the caller gets it. While the store
        # is unavailable the caller still gets it, and the journal holds only the intent. But the
        # outcome "not run" of an accepted job is reported only after it is recorded.
        if self._durable.needs_record(record.job):
            reportable = await self._durable.record_ended(record.job, outcome)
            if not reportable:
                return
        self.records.end(record, outcome)

    def _record_of(self, attempt_id: AttemptId) -> JobRecord | None:
        return self.records.get(attempt_id.rsplit(".", 3)[0])

    def _reconcile_adopted(self, record: JobRecord) -> None:
        """Queues the tasks of an adopted job that no upstream runs, or ends the job."""
        ended = self._scheduler.reconcile_adopted(record.job.id, record.result_by_task.keys())
        if ended is EndEffect.JOB_FAILED:
            record.uncertain = True
        self._finish_if_ended(record, ended)

    def _requeue(self, job: Job) -> None:
        if self._durable.may_have_run(job.id):
            record = self.records.create(job)
            self._finish(record, self.recorded_outcome(job.id))
            return
        accepted = self._enqueue(job)
        if isinstance(accepted, Err):
            _log.warning(
                "{}: accepted job was refused on requeue: {}", job.id, accepted.err_value.detail
            )
            self._finish(self.records.create(job), accepted.err_value)

    def _expire_lost(self) -> None:
        """Ends jobs past their deadline whose last attempt was lost and that wait for a retry."""
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
