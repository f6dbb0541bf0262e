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

    Jobs of which one of the two records can't be decoded are logged and left out: without its
    progress, a job would run again.
    """
    # Concurrently, as each call to a slow store prolongs the takeover.
    (progress_items, _), (job_items, _) = await asyncio.gather(
        store.range(progress_prefix(pool)), store.range(job_prefix(pool))
    )
    progress_item_by_id = {item.key.rpartition("/")[2]: item for item in progress_items}
    jobs = []
    for item in job_items:
        progress_item = progress_item_by_id.get(item.key.rpartition("/")[2])
        try:
            record = decode_record(item.value)
            progress = (
                JobProgress() if progress_item is None else decode_progress(progress_item.value)
            )
        except msgspec.MsgspecError as error:
            _log.error("{}: record of the job can't be decoded, job left out: {}", item.key, error)
            continue
        jobs.append((record, progress))
    return jobs


def placeholder_listing(worker: UpstreamId) -> WorkerListing:
    """Returns a listing without address, for an unlisted worker that may still run tasks."""
    return WorkerListing(worker, PoolName(""), "", DataCentreId(""), True, ZERO)
