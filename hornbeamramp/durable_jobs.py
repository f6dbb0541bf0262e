"""What of a shard's jobs must outlive its owner: journal and idempotency keys together."""

import asyncio
from contextlib import AbstractAsyncContextManager, nullcontext
from datetime import timedelta

import logbook
from result import Err, Ok, Result

from hornbeamramp.clock import Clock
from hornbeamramp.decisions import Start
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.idempotency import AnsweredKey, KeyConflict, KeyTable, KeyTableFull, NewKey
from hornbeamramp.ids import Epoch, JobId, ShardId
from hornbeamramp.jobs import Job, NotRun, Outcome, ServiceJob
from hornbeamramp.journal import Fenced, Journal, JournalError
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
OPEN_PAUSE = timedelta(seconds=1)
RETRY_AFTER = timedelta(seconds=5)

_log = logbook.Logger("journal")


class DurableJobs:
    """Journal of one shard and the state it adds up to.

    Waiting idempotent jobs without a key are not recorded: their acceptance is the answer itself.
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

    @staticmethod
    def is_needed(job: Job) -> bool:
        """Tells whether anything about the job has to be recorded."""
        return (
            not job.idempotent
            or job.asynchronous
            or job.key is not None
            or isinstance(job, ServiceJob)
        )

    @staticmethod
    def must_last(job: Job) -> bool:
        """Tells whether the job may not be accepted without the store."""
        return not job.idempotent or job.asynchronous or isinstance(job, ServiceJob)

    async def open(self, epoch: Epoch) -> None:
        """Takes over the journal under ``epoch`` and loads it, retrying while the store is away.

        Returns without effect if a higher epoch has the journal.
        """
        while True:
            try:
                records = await self._journal.open(epoch)
            except StoreUnavailableError as error:
                _log.warning("{}: can't open the journal: {}", self._shard, error.message)
                await self._clock.sleep(OPEN_PAUSE)
            else:
                self._state = JournalState.replay(records, self._clock.now())
                self._keys = KeyTable(self._clock, self._state)
                self.is_open = True
                return

    def key_lock(self, job: Job) -> AbstractAsyncContextManager[object]:
        """Returns the lock that lets requests with the same key be accepted one at a time."""
        if job.key is None:
            return nullcontext()
        # Locks of the last keys are enough: they only bridge the acceptance itself.
        while len(self._lock_by_key) > 10_000:
            del self._lock_by_key[next(iter(self._lock_by_key))]
        return self._lock_by_key.setdefault(job.key, asyncio.Lock())

    def find_key(self, job: Job) -> Result[JobId | None, NotRun]:
        """Returns the id of the job that has taken the key, if any.

        The error says that the key stands for another request.
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
        ended = self._state.answer_by_job_id.get(job_id)
        return None if ended is None else ended.outcome

    def unfinished_jobs(self) -> list[Job]:
        """Returns accepted jobs without an outcome."""
        return [record.job for record in self._state.live_job_by_id.values()]

    def may_have_run(self, job_id: JobId) -> bool:
        """Tells whether an earlier owner may have started the job, which must not run twice."""
        return job_id in self._state.intents_by_job_id

    async def record_accepted(self, job: Job) -> Result[None, NotRun]:
        """Makes the acceptance durable before the job is queued.

        Without the store an idempotent job whose caller waits is accepted all the same. Its key is
        then kept in memory alone: after the owner's death a repeated request runs it again.
        """
        records: list[JournalRecord] = []
        if job.key is not None:
            taken = self._keys.record(job.key, job.id, job.digest())
            if isinstance(taken, KeyTableFull):
                detail = f"{taken.limit} idempotency keys are in use"
                return Err(NotRun(job.id, RefusalReason.OVERLOAD, detail, RETRY_AFTER))
            now = self._clock.now()
            records.append(KeyRecorded(job.key, job.id, job.digest(), recorded_at=now))
        if job.asynchronous or isinstance(job, ServiceJob):
            records.append(JobAccepted(job, self._clock.now()))
        for result in await asyncio.gather(*(self._append(record) for record in records)):
            if isinstance(result, Err) and self.must_last(job):
                self._keys.release(job.id)
                return Err(_unavailable(job, result.err_value))
        return Ok(None)

    async def record_intent(self, start: Start) -> bool:
        """Makes the intent of a non-idempotent start durable; false if that failed."""
        intent = StartIntent(start.job.id, start.attempt_id, start.upstream_id)
        result = await self._append(intent)
        if isinstance(result, Err):
            _log.warning("{}: intent not recorded: {}", start.attempt_id, result.err_value)
            return False
        self._keys.intend(intent)
        return True

    async def record_ended(self, job: Job, outcome: Outcome) -> None:
        """Records the outcome. Without the store only memory has it."""
        ended = JobEnded(outcome, self._clock.now())
        result = await self._append(ended)
        if isinstance(result, Err):
            _log.warning("{}: outcome not recorded: {}", job.id, result.err_value)
            self._state.apply(ended)
        self._keys.end(outcome)
        self._prune_if_due()

    async def forget(self, job: Job) -> None:
        """Withdraws the acceptance of a job that was refused before it was queued."""
        self._keys.release(job.id)
        await self._append(JobForgotten(job.id))

    async def close(self) -> None:
        """Ends the journal's background work."""
        await self._journal.close()

    def _prune_if_due(self) -> None:
        # Pruning looks at every record, so jobs that end share one pass.
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
            _log.warning("{}: a later owner has the journal", self._shard)
        return result


def _unavailable(job: Job, error: JournalError | str) -> NotRun:
    detail = f"the store can't record the job: {error}"
    return NotRun(job.id, RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER)
