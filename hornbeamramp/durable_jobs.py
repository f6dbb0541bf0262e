"""Job state that must survive a change of a shard's owner: journal and idempotency keys."""

import asyncio
from collections.abc import Container
from contextlib import AbstractAsyncContextManager, nullcontext
from datetime import timedelta

import logbook
from result import Err, Ok, Result

from hornbeamramp.clock import Clock
from hornbeamramp.decisions import Start
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.idempotency import AnsweredKey, KeyConflict, KeyTable, KeyTableFull, NewKey
from hornbeamramp.ids import Epoch, JobId, ShardId
from hornbeamramp.jobs import Job, NotRun, Outcome, ServiceJob, Unknown
from hornbeamramp.journal import Fenced, Journal, JournalError, JournalUnavailable
from hornbeamramp.journal_records import (
    JobAccepted,
    JobEnded,
    JobForgotten,
    JournalRecord,
    JournalState,
    KeyRecorded,
    StartIntent,
)
from hornbeamramp.platforms import Platform
from hornbeamramp.states import RefusalReason

__all__ = ["DurableJobs"]

PRUNE_INTERVAL = timedelta(seconds=10)
STORE_RETRY_INTERVAL = timedelta(seconds=1)
RETRY_AFTER = timedelta(seconds=5)

_log = logbook.Logger("journal")


class DurableJobs:
    """Journal of one shard and the state replayed from it.

    An idempotent job without a key whose caller waits is not recorded: its caller gets no
    acceptance, only the answer.
    """

    def __init__(self, platform: Platform, clock: Clock, shard: ShardId) -> None:
        self._clock = clock
        self._shard = shard
        self._journal = Journal(platform, clock, shard)
        self._state = JournalState()
        self._keys = KeyTable(clock)
        self._pruned_at = clock.boot_time()
        self.is_open = False
        self._lock_by_key: dict[str, asyncio.Lock] = {}
        # Jobs that were not accepted, but may be in the journal until a `JobForgotten` is in it.
        self._withdrawn: dict[JobId, None] = {}
        self._withdrawal_task: asyncio.Task[None] | None = None

    @staticmethod
    def needs_record(job: Job) -> bool:
        """Returns whether anything about the job has to be recorded."""
        return (
            not job.idempotent
            or job.asynchronous
            or job.key is not None
            or isinstance(job, ServiceJob)
        )

    @staticmethod
    def requires_store(job: Job) -> bool:
        """Returns whether the job may not be accepted without the store."""
        return not job.idempotent or job.asynchronous or isinstance(job, ServiceJob)

    async def open(self, epoch: Epoch) -> None:
        """Claims the journal for ``epoch`` and loads it, retrying while the store is unavailable.

        Raises `ConflictError` if the journal has a higher epoch.
        """
        while True:
            try:
                records = await self._journal.open(epoch)
            except StoreUnavailableError as error:
                _log.warning("{}: can't open the journal, retrying: {}", self._shard, error.message)
                await self._clock.sleep(STORE_RETRY_INTERVAL)
            else:
                self._state = JournalState.replay(records, self._clock.now())
                self._keys = KeyTable(self._clock, self._state)
                self.is_open = True
                return

    def key_lock(self, job: Job) -> AbstractAsyncContextManager[object]:
        """Returns the lock that serialises the acceptance of requests with the same key."""
        if job.key is None:
            return nullcontext()
        # Only the latest locks are kept: a lock is needed only during the acceptance itself.
        while len(self._lock_by_key) > 10_000:
            del self._lock_by_key[next(iter(self._lock_by_key))]
        return self._lock_by_key.setdefault(job.key, asyncio.Lock())

    def find_key(self, job: Job) -> Result[JobId | None, NotRun]:
        """Returns the id of the job that holds the key, if any.

        The error means that the key was used for another request.
        """
        if job.key is None:
            return Ok(None)
        match = self._keys.lookup(job.key, job.digest())
        if isinstance(match, NewKey):
            return Ok(None)
        if isinstance(match, AnsweredKey):
            return Ok(match.outcome.job_id)
        if isinstance(match, KeyConflict):
            detail = "the Idempotency-Key was used for another request"
            return Err(NotRun(job.id, RefusalReason.KEY_REUSED, detail))
        return Ok(match.job_id)

    def answer(self, job_id: JobId) -> Outcome | None:
        """Returns the recorded outcome of a job that ended, if it is still kept."""
        if job_id in self._withdrawn:
            return _unknown_outcome(job_id)
        ended = self._state.answer_by_job_id.get(job_id)
        return None if ended is None else ended.outcome

    def unfinished_jobs(self) -> list[Job]:
        """Returns accepted jobs without an outcome."""
        return [record.job for record in self._state.live_job_by_id.values()]

    def may_have_run(self, job_id: JobId) -> bool:
        """Returns whether an earlier owner may have started the job, which must not run twice."""
        return job_id in self._state.intents_by_job_id

    async def release_unstarted(self, known: Container[JobId]) -> None:
        """Releases the keys of jobs that were lost with an earlier owner's queue.

        To be called after recovery; ``known`` are the jobs found at upstreams or in the journal.
        A job with an intent keeps its key, as it may have run. An idempotent job that ran without
        a trace in either loses its key and may run again.
        """
        state = self._state
        unstarted = [
            record.job_id
            for record in state.key_record_by_key.values()
            if not (
                record.ended
                or record.job_id in known
                or record.job_id in state.live_job_by_id
                or record.job_id in state.intents_by_job_id
                or record.job_id in state.answer_by_job_id
            )
        ]
        for job_id in unstarted:
            self._keys.release(job_id)
        await asyncio.gather(*(self._append(JobForgotten(job_id)) for job_id in unstarted))

    async def check(self) -> None:
        """Writes the journal back if the store holds an older one after an outage."""
        if not self.is_open:
            return
        result = await self._journal.check()
        if isinstance(result, Err):
            _log.warning("{}: journal check failed: {}", self._shard, result.err_value)

    async def record_accepted(self, job: Job) -> Result[None, NotRun | Unknown]:
        """Makes the acceptance durable before the job is queued.

        The error is `Unknown` if a later owner may find the job in the journal and run it.

        While the store is unavailable, an idempotent job whose caller waits is accepted anyway.
        Its key is then kept only in memory: if the owner fails, a repeated request runs it again.
        """
        records: list[JournalRecord] = []
        if job.key is not None:
            taken = self._keys.record(job.key, job.id, job.digest())
            if isinstance(taken, KeyTableFull):
                detail = f"{taken.limit} idempotency keys are in use"
                return Err(NotRun(job.id, RefusalReason.OVERLOAD, detail, RETRY_AFTER))
            now = self._clock.now()
            records.append(KeyRecorded(job.key, job.id, job.digest(), recorded_at=now))
        runs_later = job.asynchronous or isinstance(job, ServiceJob)
        if runs_later:
            records.append(JobAccepted(job, self._clock.now()))
        # Written together with the new records, so that no two jobs in the journal share a key.
        earlier = [JobForgotten(job_id) for job_id in self._withdrawn]
        results = await asyncio.gather(*(self._append(record) for record in (*earlier, *records)))
        self._remove_forgotten(earlier, results)
        errors = [result.err_value for result in results[len(earlier) :] if result.is_err()]
        if not errors or not self.requires_store(job):
            return Ok(None)
        self._keys.release(job.id)
        if len(errors) == len(records) and not any(map(_may_be_written, errors)):
            return Err(_unavailable(job, errors[0]))
        self._withdraw(job.id)
        # A later owner runs only jobs recorded as accepted; a key record alone starts nothing.
        return Err(_unknown_outcome(job.id) if runs_later else _unavailable(job, errors[0]))

    async def record_intent(self, start: Start) -> bool:
        """Makes the intent of a non-idempotent start durable; false if that failed."""
        intent = StartIntent(start.job.id, start.attempt_id, start.upstream_id)
        result = await self._append(intent)
        if isinstance(result, Err):
            _log.warning("{}: start intent not recorded: {}", start.attempt_id, result.err_value)
            return False
        self._keys.record_start_intent(intent)
        return True

    async def record_ended(self, job: Job, outcome: Outcome) -> bool:
        """Records the outcome and returns whether it may be reported.

        While the store is unavailable, the outcome is kept only in memory. A later owner would run
        an accepted job again, so its outcome "not run" is reported only once it is recorded.
        """
        ended = JobEnded(outcome, self._clock.now())
        while isinstance(result := await self._append(ended), Err):
            _log.warning("{}: job outcome not recorded: {}", job.id, result.err_value)
            if not isinstance(outcome, NotRun) or job.id not in self._state.live_job_by_id:
                self._state.apply(ended)
                break
            if isinstance(result.err_value, Fenced):
                return False
            await self._clock.sleep(STORE_RETRY_INTERVAL)
        self._keys.end(outcome)
        self._prune_if_due()
        return True

    async def forget(self, job: Job) -> Unknown | None:
        """Withdraws the acceptance of a job that was refused before it was queued.

        Returns the outcome to report if a later owner may still run the job.
        """
        self._keys.release(job.id)
        if isinstance(await self._append(JobForgotten(job.id)), Ok):
            return None
        self._withdraw(job.id)
        return _unknown_outcome(job.id)

    def _withdraw(self, job_id: JobId) -> None:
        self._withdrawn[job_id] = None
        if self._withdrawal_task is None or self._withdrawal_task.done():
            self._withdrawal_task = asyncio.get_running_loop().create_task(self._forget_withdrawn())

    async def _forget_withdrawn(self) -> None:
        while self._withdrawn:
            await self._clock.sleep(STORE_RETRY_INTERVAL)
            records = [JobForgotten(job_id) for job_id in self._withdrawn]
            results = await asyncio.gather(*(self._append(record) for record in records))
            self._remove_forgotten(records, results)
            if any(isinstance(r.err_value, Fenced) for r in results if r.is_err()):
                return

    def _remove_forgotten(
        self, records: list[JobForgotten], results: list[Result[None, JournalError | str]]
    ) -> None:
        for record, result in zip(records, results, strict=False):
            if result.is_ok():
                self._withdrawn.pop(record.job_id, None)

    async def close(self) -> None:
        """Stops the background tasks and closes the journal."""
        if self._withdrawal_task is not None:
            self._withdrawal_task.cancel()
        await self._journal.close()

    def _prune_if_due(self) -> None:
        # Pruning scans every record, so it runs at most once per interval.
        now = self._clock.boot_time()
        if now - self._pruned_at >= PRUNE_INTERVAL:
            self._pruned_at = now
            self._state.prune(self._clock.now())

    async def _append(self, record: JournalRecord) -> Result[None, JournalError | str]:
        if not self.is_open:
            return Err("the journal is not open")
        result = await self._journal.append(record)
        if isinstance(result, Ok):
            self._state.apply(record)
        elif isinstance(result.err_value, Fenced):
            _log.warning("{}: journal is fenced by a later owner", self._shard)
        return result


def _unavailable(job: Job, error: JournalError | str) -> NotRun:
    detail = f"the store can't record the job: {error}"
    return NotRun(job.id, RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER)


def _may_be_written(error: JournalError | str) -> bool:
    return isinstance(error, JournalUnavailable | Fenced) and error.outcome == "unknown"


def _unknown_outcome(job_id: JobId) -> Unknown:
    return Unknown(job_id, "the store did not tell whether the job is recorded")
