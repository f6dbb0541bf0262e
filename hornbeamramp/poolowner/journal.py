"""Group commit of job records: one transaction at a time, with all changes since the last one.

The progress of jobs that have not ended goes into one record of the commit, a progress group. A job
that changes moves to the newest group, and a group that no job is left in is deleted. The final
progress of a job has a key of its own, by which any VM finds it.
"""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

import logbook

from hornbeamramp import instruments
from hornbeamramp.clock import Clock
from hornbeamramp.ids import JobId, PoolName, QueueAddress
from hornbeamramp.poolowner.address_pools import AddressRecords, InsertConditions
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.learned_record import LearnedRecorder
from hornbeamramp.statestore import (
    ClaimLostError,
    KeysChangedError,
    PoolClaim,
    ProgressGroup,
    Put,
    StateStore,
    group_key,
    job_key,
    progress_key,
)
from hornbeamramp.statestore.records import RefusedId, encode, refused_key
from hornbeamramp.workload import JobPhase

__all__ = ["CommitCounts", "Journal"]

# Delay before each commit, in which changes are collected, as a share of the time of the last one.
# Each job waits for two or three commits: to be accepted, placed and completed.
GROUP_COMMIT_SHARE = 1 / 8
MIN_GROUP_COMMIT_DELAY = timedelta(milliseconds=5)
MAX_GROUP_COMMIT_DELAY = timedelta(milliseconds=50)
# Delay if a new job is the first change after a pause. The advice for an urgent job arrives within
# it (15 ms), so that one commit both accepts and places the job, however slow the store is.
ACCEPT_DELAY = timedelta(milliseconds=20)

# Size from which on a progress group takes no more jobs. The store takes values of up to 1 MiB, and
# a value is to be sent within a commit's usual time on a link of 100 Mbit/s.
MAX_GROUP_BYTES = 256 * 1024
# Most progress groups in the store. Beyond it, the jobs left in the oldest one are written again.
# A new owner reads all of them.
MAX_GROUPS = 64

# Advisory records wait while commits take longer, so that they don't delay those behind them.
MAX_COMMIT_WITH_ADVISORY = timedelta(milliseconds=100)

# Transaction entries of a new job, and of the address of the jobs in a commit.
ENTRIES_PER_INSERT = 2
ENTRIES_PER_ADDRESS = 1

_log = logbook.Logger("journal")


class CommitCounts(NamedTuple):
    """Commits of a period, the records they wrote, the longest of them, and the jobs and changes
    that wait for the next one."""

    commits: int
    records: int
    longest: timedelta
    waiting: int


class _Insert(NamedTuple):
    """A job whose record waits for its commit, and what its acceptance waits for."""

    job: Job
    address: QueueAddress
    recorded: asyncio.Future[None]


class _Refusal(NamedTuple):
    """An id to be refused from now on, and what its cancellation waits for."""

    put: Put
    recorded: asyncio.Future[None]


class _Batch:
    """Changes of one commit.

    `puts`
        Records of their progress.
    `group`
        Key of the record with the progress of the jobs in ``grouped``; empty without any.
    """

    def __init__(self) -> None:
        self.sequence_by_job: dict[Job, int] = {}
        self.phase_by_job: dict[Job, JobPhase] = {}
        self.grouped: set[Job] = set()
        self.group = ""
        self.puts: list[Put] = []


class Journal:
    """Writes the records of jobs in the order in which they were marked dirty."""

    def __init__(
        self,
        pool: PoolName,
        claim: PoolClaim,
        store: StateStore,
        clock: Clock,
        on_insert: Callable[[Job], None],
        may_group: Callable[[], bool],
        addresses: AddressRecords,
        learned: LearnedRecorder | None = None,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._on_insert = on_insert
        self._claim = claim
        self._may_group = may_group
        self._addresses = addresses
        self._learned = learned
        self._commit_number = 0
        # Keys of the groups in the store, in order of age, with the jobs whose progress they hold.
        self._jobs_by_group: dict[str, set[Job]] = {}
        self._group_by_job: dict[Job, str] = {}
        self._max_entries = store.max_entries - claim.own_entries
        self._last_sequence = 0
        self._sequence_by_job: dict[Job, int] = {}
        self._in_flight: dict[Job, int] = {}
        self._insert_by_id: dict[JobId, _Insert] = {}
        self._refusal_by_id: dict[JobId, _Refusal] = {}
        # Keys to be deleted, those of a job together: without its progress, it would run again.
        self._purged: list[tuple[str, ...]] = []
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self._claim_error: ClaimLostError | None = None
        self._counts = CommitCounts(0, 0, timedelta(0), 0)
        self._last_commit = timedelta(0)

    def adopt_groups(self, groups: Iterable[str], group_by_job: dict[Job, str]) -> None:
        """Takes over the groups of former owners, and the jobs whose newest progress is in one."""
        self._jobs_by_group = {group: set() for group in groups}
        for job, group in group_by_job.items():
            self._move(job, group)

    def take_counts(self) -> CommitCounts:
        """Returns the counts since the last call."""
        counts, self._counts = self._counts, CommitCounts(0, 0, timedelta(0), 0)
        return counts._replace(waiting=len(self._sequence_by_job) + len(self._insert_by_id))

    def mark_dirty(self, job: Job) -> None:
        """Schedules a job's progress for the next commit with free entries."""
        self._last_sequence += 1
        self._sequence_by_job.setdefault(job, self._last_sequence)
        self._wake.set()

    def insert(self, job: Job, address: QueueAddress) -> None:
        """Schedules a job's record for a commit, no later than its progress.

        ``on_insert`` is called with the job when its record is in the store. If the store already
        has a record of this id, in this pool or another one of the address to which the job was
        sent, the job is closed. Raises `ClaimLostError`.
        """
        if self._claim_error is not None:
            raise self._claim_error
        future = asyncio.get_running_loop().create_future()
        self._insert_by_id[job.record.job_id] = _Insert(job, address, future)
        self._wake.set()

    async def wait_inserted(self, job_id: JobId) -> None:
        """Returns once no insert of this id waits for its commit. Raises `ClaimLostError`."""
        insert = self._insert_by_id.get(job_id)
        if insert is not None:
            await asyncio.shield(insert.recorded)

    def insert_queue_time(self) -> timedelta:
        """Returns how long the jobs that wait delay the record of a new one.

        By the time of the last commit; zero while the next commit has room for it, however slow the
        last one was.
        """
        inserts_per_commit = (self._max_entries - ENTRIES_PER_ADDRESS) // ENTRIES_PER_INSERT
        return len(self._insert_by_id) // inserts_per_commit * self._last_commit

    def is_inserting(self, job_id: JobId) -> bool:
        """Returns whether a job's record waits for its commit or may be committed already."""
        return job_id in self._insert_by_id

    def inserted_job(self, job_id: JobId) -> Job | None:
        """Returns a job whose record waits for its commit, ``None`` if there is none."""
        insert = self._insert_by_id.get(job_id)
        return None if insert is None else insert.job

    def purge(self, job_id: JobId) -> None:
        """Deletes the records of a job whose retention has passed."""
        self._purged.append((job_key(self._pool, job_id), progress_key(self._pool, job_id)))
        self._wake.set()

    def refuse(self, job_id: JobId, until_ms: int) -> None:
        """Schedules the record of a refused id for a commit. Raises `ClaimLostError`."""
        if self._claim_error is not None:
            raise self._claim_error
        future = asyncio.get_running_loop().create_future()
        put = Put(refused_key(self._pool, job_id), encode(RefusedId(until_ms)))
        self._refusal_by_id[job_id] = _Refusal(put, future)
        self._wake.set()

    async def wait_refused(self, job_id: JobId) -> None:
        """Returns once no refusal of this id waits for its commit. Raises `ClaimLostError`."""
        refusal = self._refusal_by_id.get(job_id)
        if refusal is not None:
            await asyncio.shield(refusal.recorded)

    def purge_refusal(self, job_id: JobId) -> None:
        """Deletes the record of a refused id."""
        self._purged.append((refused_key(self._pool, job_id),))
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

        What waits for a record fails with the same error then, and when this is cancelled.

        After an unexpected error, whether the last commit took effect is unknown. The claim counts
        as lost then, so that the next owner goes by what is in the store.
        """
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                is_first = True
                while self._has_changes():
                    # A commit that is full gains nothing by waiting.
                    if not self._is_full():
                        await self._clock.sleep(self._collection_delay(is_first))
                    is_first = False
                    await self._commit_batch()
        except ClaimLostError as error:
            self._fail(error)
            raise
        except asyncio.CancelledError:
            self._fail(ClaimLostError("the owner has ended"))
            raise
        except Exception as error:
            _log.exception("{}: commits failed unexpectedly", self._pool)
            lost = ClaimLostError(f"unexpected error: {error!r}")
            self._fail(lost)
            raise lost from error

    def _has_changes(self) -> bool:
        return bool(
            self._sequence_by_job or self._insert_by_id or self._refusal_by_id or self._purged
        )

    def _collection_delay(self, is_first: bool) -> timedelta:
        delay = max(GROUP_COMMIT_SHARE * self._last_commit, MIN_GROUP_COMMIT_DELAY)
        if is_first and self._insert_by_id:
            delay = max(delay, ACCEPT_DELAY)
        return min(delay, MAX_GROUP_COMMIT_DELAY)

    def _is_full(self) -> bool:
        entries = ENTRIES_PER_INSERT * len(self._insert_by_id) + len(self._refusal_by_id)
        if self._may_group():
            entries += sum(job.is_ended for job in self._sequence_by_job)
        else:
            entries += len(self._sequence_by_job)
        return entries >= self._max_entries

    def _move(self, job: Job, group: str) -> None:
        """Notes that the newest progress of a job is in a group; in none if it is empty."""
        before = self._group_by_job.pop(job, "")
        if before:
            self._jobs_by_group[before].discard(job)
        if group:
            self._group_by_job[job] = group
            self._jobs_by_group.setdefault(group, set()).add(job)

    def _compact_groups(self) -> None:
        """Schedules the jobs that are left in old groups, so that their number stays bounded, or in
        any group, once a process may take over that can't read them."""
        if self._may_group():
            groups = [jobs for jobs in self._jobs_by_group.values() if jobs]
            left = [job for jobs in groups[: max(len(groups) - MAX_GROUPS, 0)] for job in jobs]
        else:
            left = list(self._group_by_job)
        for job in left:
            if job not in self._sequence_by_job:
                self.mark_dirty(job)

    async def _commit_batch(self) -> None:
        self._compact_groups()
        free = self._max_entries
        inserts, conditions = self._take_inserts()
        puts = conditions.puts + [
            Put(job_key(self._pool, job_id), encode(insert.job.record))
            for job_id, insert in inserts.items()
        ]
        free -= len(puts) + len(conditions.revision_by_key)
        refusals = dict(list(self._refusal_by_id.items())[:free])
        puts += [refusal.put for refusal in refusals.values()]
        free -= len(refusals)
        unrecorded = {insert.job for i, insert in self._insert_by_id.items() if i not in inserts}
        batch = self._take_changes(unrecorded, free)
        puts += batch.puts
        free -= len(batch.puts)
        empty_groups = [group for group, jobs in self._jobs_by_group.items() if not jobs][:free]
        free -= len(empty_groups)
        purged = self._purged[: free // 2]
        written = {put.key for put in puts}
        deletes = [key for keys in purged for key in keys if key not in written]
        learned = self._learned_put(free - len(deletes))
        if learned is not None:
            puts.append(learned)
        self._in_flight = batch.sequence_by_job
        started = self._clock.boot_time()
        try:
            revision = await self._claim.commit(
                puts, deletes + empty_groups, conditions.revision_by_key
            )
        except KeysChangedError as conflict:
            # Sorted by sequence number, so that earlier changes are committed first and no waiter
            # starves.
            self._sequence_by_job = {**self._sequence_by_job, **batch.sequence_by_job}
            self._sequence_by_job = dict(
                sorted(self._sequence_by_job.items(), key=lambda item: item[1])
            )
            conditions.on_changed(conflict.item_by_key)
            self._drop_existing(conflict, inserts, conditions)
            return
        finally:
            self._in_flight = {}
        conditions.on_committed(revision)
        if self._learned is not None and learned is not None:
            self._learned.mark_written()
        elapsed = self._clock.boot_time() - started
        self._last_commit = elapsed
        instruments.commit_time.record(elapsed.total_seconds())
        counts = self._counts
        self._counts = CommitCounts(
            counts.commits + 1,
            counts.records + len(inserts) + len(batch.phase_by_job),
            max(counts.longest, elapsed),
            0,
        )
        for job, phase in batch.phase_by_job.items():
            job.recorded_phase = phase
            self._move(job, batch.group if job in batch.grouped else "")
        for group in empty_groups:
            del self._jobs_by_group[group]
        for job_id, insert in inserts.items():
            del self._insert_by_id[job_id]
            self._on_insert(insert.job)
            if not insert.recorded.done():
                insert.recorded.set_result(None)
        for job_id, refusal in refusals.items():
            del self._refusal_by_id[job_id]
            if not refusal.recorded.done():
                refusal.recorded.set_result(None)
        self._purged = self._purged[len(purged) :]
        self._resolve_waiters()

    def _learned_put(self, free: int) -> Put | None:
        """Returns the record of learned durations if it is due and a commit with ``free`` entries
        has room for it."""
        if self._learned is None or free <= 0 or self._last_commit > MAX_COMMIT_WITH_ADVISORY:
            return None
        return self._learned.due()

    def _take_inserts(self) -> tuple[dict[JobId, _Insert], InsertConditions]:
        """Returns the first new jobs whose records fit into a commit, and what it depends on."""
        conditions = InsertConditions(self._pool, self._addresses)
        inserts: dict[JobId, _Insert] = {}
        free = self._max_entries
        for job_id, insert in self._insert_by_id.items():
            free -= conditions.entries_for(insert.address)
            if free < 0:
                break
            conditions.add(job_id, insert.address)
            inserts[job_id] = insert
        return inserts, conditions

    def _take_changes(self, unrecorded: set[Job], free: int) -> "_Batch":
        """Takes changed jobs, the oldest changes first, whose progress fits into ``free`` records.

        `unrecorded`
            Jobs that are not recorded by then, whose progress has to wait.
        """
        batch = _Batch()
        may_group = self._may_group()
        encoded_by_id: dict[JobId, bytes] = {}
        size = 0
        for job, sequence in list(self._sequence_by_job.items()):
            is_grouped = may_group and not job.is_ended
            has_place = size < MAX_GROUP_BYTES and (encoded_by_id or free > len(batch.puts))
            if job in unrecorded or not (
                has_place if is_grouped else free - bool(encoded_by_id) > len(batch.puts)
            ):
                continue
            value = encode(job.progress())
            if is_grouped:
                encoded_by_id[job.record.job_id] = value
                batch.grouped.add(job)
                size += len(value)
            else:
                batch.puts.append(Put(progress_key(self._pool, job.record.job_id), value))
            del self._sequence_by_job[job]
            batch.sequence_by_job[job] = sequence
            batch.phase_by_job[job] = job.phase
        if encoded_by_id:
            self._commit_number += 1
            batch.group = group_key(self._pool, self._claim.token, self._commit_number)
            batch.puts.append(Put(batch.group, encode(ProgressGroup(encoded_by_id))))
        return batch

    def _drop_existing(
        self,
        conflict: KeysChangedError,
        inserts: dict[JobId, _Insert],
        conditions: InsertConditions,
    ) -> None:
        for job_id, insert in inserts.items():
            keys = [
                key
                for key in conditions.keys_of(job_id, insert.address)
                if key in conflict.item_by_key
            ]
            if keys:
                _log.info("{}: duplicate insert dropped, the job is recorded at {}", job_id, keys)
                del self._insert_by_id[job_id]
                # Releases capacity reserved before the record was written, and writes no progress.
                insert.job.close(JobPhase.CANCELLED, 0)
                self._sequence_by_job.pop(insert.job, None)
                if not insert.recorded.done():
                    insert.recorded.set_result(None)
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
        futures = [insert.recorded for insert in self._insert_by_id.values()]
        futures += [refusal.recorded for refusal in self._refusal_by_id.values()]
        futures += [future for _, future in self._waiters]
        for future in futures:
            if not future.done():
                future.set_exception(error)
                # Marks the exception as retrieved: the caller may have given up waiting.
                future.exception()
        self._insert_by_id.clear()
        self._refusal_by_id.clear()
        self._waiters.clear()
