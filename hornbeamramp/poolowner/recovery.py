"""Recovery of a new owner: reads the pool's job records.

A worker that is no longer listed but may still run tasks gets a placeholder listing.
"""

import asyncio
from datetime import timedelta

import logbook
import msgspec
from result import Err

from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import DataCentreId, JobId, PoolName, UpstreamId
from hornbeamramp.poolowner.learned_record import decode_item
from hornbeamramp.resources import ZERO
from hornbeamramp.statestore import (
    Item,
    JobProgress,
    JobRecord,
    LearnedRecord,
    StateStore,
    decode_group,
    decode_progress,
    decode_record,
    job_key,
    job_prefix,
)
from hornbeamramp.statestore.records import (
    decode_refused,
    group_prefix,
    group_token,
    learned_key,
    progress_prefix,
    refused_prefix,
)
from hornbeamramp.workload import TERMINAL_PHASES, check_job

__all__ = ["PoolRecords", "StoredJob", "placeholder_listing", "read_jobs"]

# Highest run number and number of failures in a record: run numbers count the starts of one task.
MAX_COUNT = 2**31
# Most that a takeover is prolonged by the read of learned durations, after the other records.
MAX_LEARNED_WAIT = timedelta(milliseconds=100)

_log = logbook.Logger("recovery")


class StoredJob(msgspec.Struct, frozen=True):
    """A job as stored. ``group`` is the key of the group with its progress, or empty."""

    record: JobRecord
    progress: JobProgress
    group: str


class PoolRecords(msgspec.Struct, frozen=True):
    """The jobs of a pool, the keys of all its progress groups, and its refused ids, with the Unix
    times until which they are.

    `learned`
        What former owners have learned of durations; ``None`` if nothing is known.
    """

    jobs: list[StoredJob]
    groups: list[str]
    refused_until_ms_by_id: dict[JobId, int]
    learned: LearnedRecord | None = None


class _StoredProgress(msgspec.Struct, frozen=True):
    """Encoded progress, and the store revision that wrote it."""

    value: bytes
    revision: int
    group: str = ""


async def read_jobs(store: StateStore, pool: PoolName) -> PoolRecords:
    """Returns the pool's jobs. Only its owner writes them, so reads after the claim are consistent.

    Jobs of which a record can't be read are logged and left out: without its progress, a job would
    run again. Records that no owner can have written are ignored. Raises `StoreUnavailableError`.
    """
    # Concurrently, as each call to a slow store prolongs the takeover.
    reading_learned = asyncio.ensure_future(store.get(learned_key(pool)))
    try:
        (progress_items, _), (group_items, _), (job_items, _), (refused_items, _) = (
            await asyncio.gather(
                store.range(progress_prefix(pool)),
                store.range(group_prefix(pool)),
                store.range(job_prefix(pool)),
                store.range(refused_prefix(pool)),
            )
        )
        learned = await _learned(pool, reading_learned)
    finally:
        reading_learned.cancel()
    progress_by_id = {
        _job_id(item): _StoredProgress(item.value, item.revision) for item in progress_items
    }
    groups = [item for item in group_items if _is_group(pool, item)]
    unknown_revision = 0
    undecodable = set()
    for item in groups:
        try:
            group = decode_group(item.value)
        except msgspec.MsgspecError as error:
            _log.error("{}: progress of some jobs can't be decoded: {}", item.key, error)
            # Each group is written once, so what its owner wrote there is as old as the key.
            unknown_revision = max(unknown_revision, item.created)
            undecodable.add(item.key)
            continue
        for job_id, value in group.progress_by_job.items():
            known = progress_by_id.get(job_id)
            if known is None or known.revision < item.revision:
                progress_by_id[job_id] = _StoredProgress(value, item.revision, item.key)
    jobs = []
    for item in job_items:
        stored = progress_by_id.get(_job_id(item))
        try:
            record = _check_record(pool, item.key, decode_record(item.value))
            progress = JobProgress() if stored is None else decode_progress(stored.value)
            _check_progress(record, progress)
        except ValueError as error:
            _log.error("{}: record of the job can't be read, job left out: {}", item.key, error)
            continue
        revision = item.revision if stored is None else stored.revision
        if revision < unknown_revision and progress.phase not in TERMINAL_PHASES:
            _log.error("{}: newer progress may be undecodable, job left out", item.key)
            continue
        jobs.append(StoredJob(record, progress, "" if stored is None else stored.group))
    # Those that can't be decoded are kept: without them, the next owner would run the jobs again
    # that are left out now.
    return PoolRecords(
        jobs,
        [item.key for item in groups if item.key not in undecodable],
        {_job_id(item): _refused_until_ms(item) for item in refused_items},
        learned,
    )


async def _learned(pool: PoolName, reading: "asyncio.Future[Item | None]") -> LearnedRecord | None:
    """Returns what was learned for a pool, ``None`` if it can't be read in time: it is advice, for
    which a takeover doesn't wait."""
    try:
        async with asyncio.timeout(MAX_LEARNED_WAIT.total_seconds()):
            item = await reading
    except (TimeoutError, StoreUnavailableError) as error:
        _log.warning("{}: learned durations can't be read, starting without: {!r}", pool, error)
        return None
    return None if item is None else decode_item(item)


def _refused_until_ms(item: Item) -> int:
    """Returns until when an id is refused; 0 if that can't be decoded, so that the record goes."""
    try:
        return decode_refused(item.value).until_ms
    except msgspec.MsgspecError as error:
        _log.error("{}: refused id can't be decoded: {}", item.key, error)
        return 0


def _is_group(pool: PoolName, item: Item) -> bool:
    """Returns whether an owner of the pool can have written a group. Its token is older."""
    token = group_token(pool, item.key)
    if token is None or token >= item.created:
        _log.error("{}: ignored, no owner of the pool can have written it", item.key)
        return False
    return True


def _check_record(pool: PoolName, key: str, record: JobRecord) -> JobRecord:
    """Returns the record of a job. Raises `ValueError` if no owner can have written it."""
    if key != job_key(pool, record.job_id):
        raise ValueError(f"it is the record of job {record.job_id}")
    checked = check_job(record.spec)
    if isinstance(checked, Err):
        raise ValueError(checked.err_value)
    return record


def _check_progress(record: JobRecord, progress: JobProgress) -> None:
    """Raises `ValueError` if progress names tasks that the job does not have, or one twice."""
    steps = record.spec.steps
    open_tasks = set()

    def check_step(occurrence: int, step: int) -> None:
        if not (0 <= occurrence < record.spec.occurrences and 0 <= step < len(steps)):
            raise ValueError(f"progress of step {step} of occurrence {occurrence}")

    def check_index(step: int, index: int) -> None:
        if not 0 <= index < steps[step].count:
            raise ValueError(f"progress of task {index} of step {step}")

    for occurrence, step, indices in progress.done:
        check_step(occurrence, step)
        for index in indices:
            check_index(step, index)
    for grants in progress.grants:
        check_step(grants.occurrence, grants.step)
    for task in progress.open_tasks:
        check_step(task.occurrence, task.step)
        check_index(task.step, task.index)
        if not (0 <= task.run <= MAX_COUNT and 0 <= task.failures <= MAX_COUNT):
            raise ValueError(f"run {task.run} of a task, {task.failures} failures")
        key = (task.occurrence, task.step, task.index)
        if key in open_tasks:
            raise ValueError(f"task {key} is open twice")
        open_tasks.add(key)


def _job_id(item: Item) -> JobId:
    return JobId(item.key.rpartition("/")[2])


def placeholder_listing(worker: UpstreamId) -> WorkerListing:
    """Returns a listing without address, for an unlisted worker that may still run tasks."""
    return WorkerListing(worker, PoolName(""), "", DataCentreId(""), True, ZERO)
