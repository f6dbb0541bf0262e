"""Recovery of a new owner: reads the pool's job records.

A worker that is no longer listed but may still run tasks gets a placeholder listing.
"""

import asyncio

import logbook
import msgspec

from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import DataCentreId, PoolName, UpstreamId
from hornbeamramp.resources import ZERO
from hornbeamramp.statestore import (
    JobProgress,
    JobRecord,
    StateStore,
    decode_progress,
    decode_record,
    job_prefix,
)
from hornbeamramp.statestore.records import progress_prefix

__all__ = ["placeholder_listing", "read_jobs"]

_log = logbook.Logger("recovery")


async def read_jobs(store: StateStore, pool: PoolName) -> list[tuple[JobRecord, JobProgress]]:
    """Returns the pool's jobs. Only its owner writes them, so reads after the claim are consistent.

    Jobs whose record can't be decoded are logged and left out.
    """
    # Concurrently, as each call to a slow store prolongs the takeover.
    (progress_items, _), (job_items, _) = await asyncio.gather(
        store.range(progress_prefix(pool)), store.range(job_prefix(pool))
    )
    progress_by_id = {}
    for item in progress_items:
        progress_by_id[item.key.rpartition("/")[2]] = decode_progress(item.value)
    jobs = []
    for item in job_items:
        try:
            record = decode_record(item.value)
        except msgspec.MsgspecError as error:
            _log.error("{}: job record can't be decoded, job left out: {}", item.key, error)
            continue
        jobs.append((record, progress_by_id.get(record.job_id, JobProgress())))
    return jobs


def placeholder_listing(worker: UpstreamId) -> WorkerListing:
    """Returns a listing without address, for an unlisted worker that may still run tasks."""
    return WorkerListing(worker, PoolName(""), "", DataCentreId(""), True, ZERO)
