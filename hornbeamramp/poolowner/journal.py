"""Group commit of job records: one transaction at a time, with all changes since the last one."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import logbook

from hornbeamramp import instruments
from hornbeamramp.clock import Clock
from hornbeamramp.ids import JobId, PoolName
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.statestore import (
    ClaimLostError,
    KeysExistError,
    PoolClaim,
    Put,
    StateStore,
    job_key,
    progress_key,
)
from hornbeamramp.statestore.records import encode
from hornbeamramp.workload import JobPhase

__all__ = ["CommitCounts", "Journal"]

# Delay before each commit, in which changes are collected. The advice for an urgent job arrives
# within it (15 ms), so that one commit both accepts and places the job. Each store call has a cost,
# and all VMs share the store's write rate; 20 ms are a fiftieth of the shortest job's duration.
GROUP_COMMIT_DELAY = timedelta(milliseconds=20)

_log = logbook.Logger("journal")


class CommitCounts(NamedTuple):
    """Commits of a period, the records they wrote, the longest of them, and the jobs and changes
    that wait for the next one."""

    commits: int
    records: int
    longest: timedelta
    waiting: int


class Journal:
    """Writes the records of jobs in the order in which they were marked dirty."""

    def __init__(
        self,
        pool: PoolName,
        claim: PoolClaim,
        store: StateStore,
        clock: Clock,
        on_insert: Callable[[Job], None],
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._on_insert = on_insert
        self._claim = claim
        self._max_entries = store.max_entries - claim.own_entries
        self._last_sequence = 0
        self._sequence_by_job: dict[Job, int] = {}
        self._in_flight: dict[Job, int] = {}
        self._insert_by_id: dict[JobId, tuple[Job, asyncio.Future[None]]] = {}
        self._purged: list[JobId] = []
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self._claim_error: ClaimLostError | None = None
        self._counts = CommitCounts(0, 0, timedelta(0), 0)

    def take_counts(self) -> CommitCounts:
        """Returns the counts since the last call."""
        counts, self._counts = self._counts, CommitCounts(0, 0, timedelta(0), 0)
        return counts._replace(waiting=self._waiting_entries())

    def mark_dirty(self, job: Job) -> None:
        """Schedules a job's progress for the next commit with free entries."""
        self._last_sequence += 1
        self._sequence_by_job.setdefault(job, self._last_sequence)
        self._wake.set()

    def insert(self, job: Job) -> None:
        """Schedules a job's record for a commit, no later than its progress.

        ``on_insert`` is called with the job when its record is in the store. If the store already
        has a record of this id, the job is closed. Raises `ClaimLostError`.
        """
        if self._claim_error is not None:
            raise self._claim_error
        future = asyncio.get_running_loop().create_future()
        self._insert_by_id[job.record.job_id] = (job, future)
        self._wake.set()

    async def wait_inserted(self, job_id: JobId) -> None:
        """Returns once the record of an inserted job is in the store. Raises `ClaimLostError`."""
        _, future = self._insert_by_id[job_id]
        await asyncio.shield(future)

    def is_inserting(self, job_id: JobId) -> bool:
        """Returns whether a job's record waits for its commit or may be committed already."""
        return job_id in self._insert_by_id

    def purge(self, job_id: JobId) -> None:
        """Deletes the records of a job whose retention has passed."""
        self._purged.append(job_id)
        self._wake.set()

    async def wait_recorded(self) -> None:
        """Returns once all changes marked so far are in the store. Raises `ClaimLostError`."""
        if self._claim_error is not None:
            raise self._claim_error
        if self._sequence_by_job or self._in_flight:
            future = asyncio.get_running_loop().create_future()
            self._waiters.append((self._last_sequence, future))
            self._wake.set()
            await future

    async def run(self) -> None:
        """Commits until the claim is lost; raises `ClaimLostError` then.

        After an unexpected error, whether the last commit took effect is unknown. The claim counts
        as lost then, so that the next owner goes by what is in the store.
        """
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._sequence_by_job or self._insert_by_id or self._purged:
                    # A commit that is full gains nothing by waiting.
                    if self._waiting_entries() < self._max_entries:
                        await self._clock.sleep(GROUP_COMMIT_DELAY)
                    await self._commit_batch()
        except ClaimLostError as error:
            self._fail(error)
            raise
        except Exception as error:
            _log.exception("{}: commits failed unexpectedly", self._pool)
            lost = ClaimLostError(f"unexpected error: {error!r}")
            self._fail(lost)
            raise lost from error

    def _waiting_entries(self) -> int:
        return len(self._sequence_by_job) + len(self._insert_by_id)

    async def _commit_batch(self) -> None:
        free = self._max_entries
        inserts = dict(list(self._insert_by_id.items())[: free // 2])
        free -= 2 * len(inserts)
        unrecorded = {job for i, (job, _) in self._insert_by_id.items() if i not in inserts}
        dirty = dict(
            [item for item in self._sequence_by_job.items() if item[0] not in unrecorded][:free]
        )
        free -= len(dirty)
        purged = self._purged[: free // 2]
        puts = [
            Put(job_key(self._pool, job_id), encode(job.record))
            for job_id, (job, _) in inserts.items()
        ]
        phase_by_job = {job: job.phase for job in dirty}
        for job in dirty:
            del self._sequence_by_job[job]
            puts.append(Put(progress_key(self._pool, job.record.job_id), encode(job.progress())))
        deletes = [key(self._pool, job_id) for job_id in purged for key in (job_key, progress_key)]
        self._in_flight = dirty
        started = self._clock.boot_time()
        try:
            await self._claim.commit(
                puts, deletes, [job_key(self._pool, job_id) for job_id in inserts]
            )
        except KeysExistError as conflict:
            # Sorted by sequence number, so that earlier changes are committed first and no waiter
            # starves.
            self._sequence_by_job = {**self._sequence_by_job, **dirty}
            self._sequence_by_job = dict(
                sorted(self._sequence_by_job.items(), key=lambda item: item[1])
            )
            self._drop_existing(conflict, inserts)
            return
        finally:
            self._in_flight = {}
        elapsed = self._clock.boot_time() - started
        instruments.commit_time.record(elapsed.total_seconds())
        counts = self._counts
        self._counts = CommitCounts(
            counts.commits + 1, counts.records + len(puts), max(counts.longest, elapsed), 0
        )
        for job, phase in phase_by_job.items():
            job.recorded_phase = phase
        for job_id, (job, future) in inserts.items():
            del self._insert_by_id[job_id]
            self._on_insert(job)
            if not future.done():
                future.set_result(None)
        self._purged = self._purged[len(purged) :]
        self._resolve_waiters()

    def _drop_existing(
        self,
        conflict: KeysExistError,
        inserts: dict[JobId, tuple[Job, asyncio.Future[None]]],
    ) -> None:
        for job_id, (job, future) in inserts.items():
            if job_key(self._pool, job_id) in conflict.item_by_key:
                _log.info("{}: duplicate insert dropped, the job is already recorded", job_id)
                del self._insert_by_id[job_id]
                # Releases capacity reserved before the record was written, and writes no progress.
                job.close(JobPhase.CANCELLED, 0)
                self._sequence_by_job.pop(job, None)
                if not future.done():
                    future.set_result(None)
        self._resolve_waiters()

    def _resolve_waiters(self) -> None:
        oldest = min(self._sequence_by_job.values(), default=self._last_sequence + 1)
        remaining = []
        for sequence, future in self._waiters:
            if sequence >= oldest:
                remaining.append((sequence, future))
            elif not future.done():
                future.set_result(None)
        self._waiters = remaining

    def _fail(self, error: ClaimLostError) -> None:
        self._claim_error = error
        futures = [future for _, future in self._insert_by_id.values()]
        futures += [future for _, future in self._waiters]
        for future in futures:
            if not future.done():
                future.set_exception(error)
                # Marks the exception as retrieved: the caller may have given up waiting.
                future.exception()
        self._insert_by_id.clear()
        self._waiters.clear()
