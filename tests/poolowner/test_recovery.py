"""What a new owner takes from the records of former owners."""

import asyncio

import pytest

from hornbeamramp.poolowner.recovery import read_jobs
from hornbeamramp.statestore import (
    Item,
    JobProgress,
    ProgressGroup,
    group_key,
    job_key,
    progress_key,
)
from hornbeamramp.statestore.records import encode
from hornbeamramp.workload import JobPhase, StepSpec
from tests.poolowner.builders import record

POOL = "pool"


class Store:
    """Store with given items, which are written in the given order."""

    def __init__(self):
        self.items = []

    def put(self, key, value):
        revision = len(self.items) + 1
        self.items.append(Item(key, value, revision, revision))

    def put_job(self):
        job = record(StepSpec(1, 1000, 100))
        self.put(job_key(POOL, job.job_id), encode(job))
        return job.job_id

    def put_group(self, number, **phase_by_job):
        progress = {job: encode(JobProgress(phase)) for job, phase in phase_by_job.items()}
        self.put(group_key(POOL, 1, number), encode(ProgressGroup(progress)))

    async def get(self, key):
        return next((item for item in self.items if item.key == key), None)

    async def range(self, prefix):
        return [item for item in self.items if item.key.startswith(prefix)], 0


def phases(store):
    records = asyncio.run(read_jobs(store, POOL))
    return {stored.record.job_id: stored.progress.phase for stored in records.jobs}


def test_newest_progress_of_a_job_counts_wherever_it_is():
    """Guards against tasks that start again, as an older record is taken for the newest."""
    store = Store()
    grouped, ended, former = store.put_job(), store.put_job(), store.put_job()
    store.put(progress_key(POOL, former), encode(JobProgress(JobPhase.RUNNING)))
    store.put_group(2, **{grouped: JobPhase.RUNNING, ended: JobPhase.RUNNING})
    store.put_group(1, **{former: JobPhase.QUEUED})
    store.put(progress_key(POOL, ended), encode(JobProgress(JobPhase.COMPLETED)))
    assert phases(store) == {
        grouped: JobPhase.RUNNING,
        ended: JobPhase.COMPLETED,
        former: JobPhase.QUEUED,
    }
    records = asyncio.run(read_jobs(store, POOL))
    assert records.groups == [group_key(POOL, 1, 2), group_key(POOL, 1, 1)]
    assert [bool(stored.group) for stored in records.jobs] == [True, False, True]


def test_undecodable_group_leaves_out_the_jobs_whose_newest_progress_it_may_hold():
    """Guards against a malformed record that makes a successor run done tasks again, or keeps the
    pool without an owner."""
    store = Store()
    unknown, ended, newer = store.put_job(), store.put_job(), store.put_job()
    store.put(progress_key(POOL, ended), encode(JobProgress(JobPhase.COMPLETED)))
    store.put(group_key(POOL, 1, 1), b"\xc1 not msgpack")
    store.put_group(2, **{newer: JobPhase.RUNNING})
    later = store.put_job()
    assert phases(store) == {
        ended: JobPhase.COMPLETED,
        newer: JobPhase.RUNNING,
        later: JobPhase.QUEUED,
    }
    assert unknown not in phases(store)


def test_undecodable_group_is_kept_for_the_next_owner():
    """Guards against an owner that deletes the group as an empty one, after which its successor
    runs the left out jobs again."""
    store = Store()
    unknown = store.put_job()
    store.put(group_key(POOL, 1, 1), b"\xc1 not msgpack")
    store.put_group(2, **{store.put_job(): JobPhase.RUNNING})
    records = asyncio.run(read_jobs(store, POOL))
    assert records.groups == [group_key(POOL, 1, 2)]
    assert unknown not in phases(store)


def test_overwritten_group_leaves_out_only_jobs_that_it_held():
    """Guards against a group overwritten by another writer that makes an owner leave out jobs whose
    progress was recorded after that group."""
    store = Store()
    held = store.put_job()
    store.put(group_key(POOL, 1, 1), b"")
    created = len(store.items)
    later = store.put_job()
    store.items[created - 1] = Item(group_key(POOL, 1, 1), b"\xc1", created + 100, created)
    assert phases(store) == {later: JobPhase.QUEUED}
    assert held not in phases(store)


@pytest.mark.parametrize("name", ["odd", "1-x", "-1", "1-", "1-2-3", "1/2-3", "\u0661-1", "99-1"])
def test_group_that_no_owner_can_have_written_is_neither_used_nor_deleted(name):
    """Guards against a foreign record that makes an owner leave out every job, and against the
    deletion of records of a pool whose name continues this one's."""
    store = Store()
    job_id = store.put_job()
    store.put(f"hbr/group/{POOL}/{name}", b"\xc1")
    assert phases(store) == {job_id: JobPhase.QUEUED}
    assert asyncio.run(read_jobs(store, POOL)).groups == []
