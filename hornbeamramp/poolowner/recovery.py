"""Recovery of a new owner: reads the pool's job records.

A worker that is no longer listed but may still run tasks gets a placeholder listing.
"""

import asyncio

import logbook
import msgspec

from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import DataCentreId, JobId, PoolName, UpstreamId
from hornbeamramp.resources import ZERO
from hornbeamramp.statestore import (
    Item,
    JobProgress,
    JobRecord,
    StateStore,
    decode_group,
    decode_progress,
    decode_record,
    job_prefix,
)
from hornbeamramp.statestore.records import group_prefix, progress_prefix
from hornbeamramp.workload import TERMINAL_PHASES

__all__ = ["PoolRecords", "StoredJob", "placeholder_listing", "read_jobs"]

_log = logbook.Logger("recovery")


class StoredJob(msgspec.Struct, frozen=True):
    """A job as stored. ``group`` is the key of the group with its progress, or empty."""

    record: JobRecord
    progress: JobProgress
    group: str


class PoolRecords(msgspec.Struct, frozen=True):
    """The jobs of a pool, and the keys of all its progress groups."""

    jobs: list[StoredJob]
    groups: list[str]


class _StoredProgress(msgspec.Struct, frozen=True):
    """Encoded progress, and the store revision that wrote it."""

    value: bytes
    revision: int
    group: str = ""


async def read_jobs(store: StateStore, pool: PoolName) -> PoolRecords:
    """Returns the pool's jobs. Only its owner writes them, so reads after the claim are consistent.

    Jobs of which a record can't be decoded are logged and left out: without its progress, a job
    would run again. Raises `StoreUnavailableError`.
    """
    # Concurrently, as each call to a slow store prolongs the takeover.
    (progress_items, _), (group_items, _), (job_items, _) = await asyncio.gather(
        store.range(progress_prefix(pool)),
        store.range(group_prefix(pool)),
        store.range(job_prefix(pool)),
    )
    progress_by_id = {
        _job_id(item): _StoredProgress(item.value, item.revision) for item in progress_items
    }
    unknown_revision = 0
    for item in group_items:
        try:
            group = decode_group(item.value)
        except msgspec.MsgspecError as error:
            _log.error("{}: progress of some jobs can't be decoded: {}", item.key, error)
            unknown_revision = max(unknown_revision, item.revision)
            continue
        for job_id, value in group.progress_by_job.items():
            known = progress_by_id.get(job_id)
            if known is None or known.revision < item.revision:
                progress_by_id[job_id] = _StoredProgress(value, item.revision, item.key)
    jobs = []
    for item in job_items:
        stored = progress_by_id.get(_job_id(item))
        try:
            record = decode_record(item.value)
            progress = JobProgress() if stored is None else decode_progress(stored.value)
        except msgspec.MsgspecError as error:
            _log.error("{}: record of the job can't be decoded, job left out: {}", item.key, error)
            continue
        revision = item.revision if stored is None else stored.revision
        if revision < unknown_revision and progress.phase not in TERMINAL_PHASES:
            _log.error("{}: newer progress may be undecodable, job left out", item.key)
            continue
        jobs.append(StoredJob(record, progress, "" if stored is None else stored.group))
    return PoolRecords(jobs, [item.key for item in group_items])


def _job_id(item: Item) -> JobId:
    return JobId(item.key.rpartition("/")[2])


def placeholder_listing(worker: UpstreamId) -> WorkerListing:
    """Returns a listing without address, for an unlisted worker that may still run tasks."""
    return WorkerListing(worker, PoolName(""), "", DataCentreId(""), True, ZERO)
