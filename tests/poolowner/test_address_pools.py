"""One id stays one job when owners of several pools record it, in whatever order they commit."""

import asyncio
import random
from datetime import timedelta

import msgspec
import pytest

from hornbeamramp.ids import PoolName, QueueAddress
from hornbeamramp.poolowner import AddressRecords
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.journal import Journal
from hornbeamramp.statestore import (
    AddressPools,
    OwnerRecord,
    PoolClaim,
    address_key,
    decode_address_pools,
    job_key,
)
from hornbeamramp.workload import StepSpec
from tests.model.store import ModelStore, StoreView
from tests.model.virtual_time import LoopClock, run_in_virtual_time
from tests.poolowner.builders import record

ADDRESS = QueueAddress("kaya/gate/")
POOLS = [PoolName("first"), PoolName("second"), PoolName("third")]
TTL = timedelta(seconds=600)


class Pools:
    """The journals of the owners of three pools, each in a process of its own."""

    def __init__(self, watches=True):
        self.clock = LoopClock()
        self.store = ModelStore(self.clock)
        self.watched_item = self.store.item_by_key.get if watches else lambda key: None
        self.journal_by_pool = {}
        self.view_by_pool = {}
        self.recorded = []
        self.closed = []
        self._tasks = []

    async def add(self, pool):
        """Adds a new owner of a pool."""
        self.view_by_pool[pool] = view = StoreView(self.store, pool)
        lease = self.store.grant_lease(TTL)
        claim = PoolClaim(view, self.clock, pool, OwnerRecord(pool, pool, pool, 0), lease)
        assert await claim.acquire()
        journal = Journal(
            pool,
            claim,
            view,
            self.clock,
            lambda job: self.recorded.append((pool, job.record.job_id)),
            lambda: True,
            AddressRecords(self.watched_item),
        )
        self.journal_by_pool[pool] = journal
        self._tasks.append(asyncio.create_task(journal.run()))
        return journal

    async def send(self, pool, job_record, address=ADDRESS):
        """Sends a job to a pool, and returns it once the owner has accepted it."""
        journal = self.journal_by_pool[pool]
        job = Job(job_record)
        journal.insert(job, address)
        await journal.wait_inserted(job_record.job_id)
        return job

    def pools_with(self, job_record):
        return [p for p in POOLS if job_key(p, job_record.job_id) in self.store.item_by_key]

    def pools_of(self, address=ADDRESS):
        return decode_address_pools(self.store.item_by_key[address_key(address)].value).pools


def with_pools(scenario, **options):
    async def run():
        pools = Pools(**options)
        for pool in POOLS:
            await pools.add(pool)
        try:
            await scenario(pools)
        finally:
            for task in pools._tasks:
                task.cancel()

    run_in_virtual_time(run())


def new_record():
    return record(StepSpec(1, 1000, 100))


@pytest.mark.parametrize("watches", [True, False])
def test_job_recorded_in_another_pool_is_not_recorded_again(watches):
    """Guards against a second run by an owner that has never seen the former pool in use."""

    async def scenario(pools):
        job_record = new_record()
        await pools.send(POOLS[0], job_record)
        for pool in (*POOLS[1:], POOLS[0]):
            again = await pools.send(pool, job_record)
            assert again.is_ended
            assert pools.pools_with(job_record) == [POOLS[0]]
        assert pools.recorded == [(POOLS[0], job_record.job_id)]
        other = new_record()
        assert not (await pools.send(POOLS[1], other)).is_ended
        assert pools.pools_with(other) == [POOLS[1]]
        assert pools.pools_of() == (POOLS[0], POOLS[1])

    with_pools(scenario, watches=watches)


@pytest.mark.parametrize("seed", range(20))
def test_owners_that_accept_the_same_jobs_at_once_record_each_in_one_pool(seed):
    """Guards against two owners that each find no other record before either has written one, also
    when answers of the store are lost or late."""

    async def scenario(pools):
        rng = random.Random(seed)
        for view in pools.view_by_pool.values():
            view.commit_delay = timedelta(milliseconds=rng.choice((0, 20, 200)))
            view.lost_share, view.late_share = rng.choice(((0.0, 0.0), (0.3, 0.0), (0.2, 0.2)))
        addresses = [QueueAddress(f"kaya/{n}/") for n in range(4)]
        sent = [(new_record(), rng.choice(addresses)) for _ in range(40)]

        async def send(pool, job_record, address):
            await asyncio.sleep(rng.uniform(0, 1.0))
            return await pools.send(pool, job_record, address)

        jobs = await asyncio.gather(*(send(pool, *job) for job in sent for pool in POOLS))
        for number, (job_record, address) in enumerate(sent):
            (pool,) = pools.pools_with(job_record)
            assert pool in pools.pools_of(address)
            accepted = jobs[3 * number : 3 * number + 3]
            assert sum(not job.is_ended for job in accepted) == 1
        assert len(pools.recorded) == len(sent)

    with_pools(scenario)


@pytest.mark.parametrize("length", [16, 40])
def test_jobs_of_an_address_with_many_pools_are_recorded(length):
    """Guards against jobs that are never recorded, as a commit can't hold what they depend on."""

    async def scenario(pools):
        names = tuple(PoolName(f"p{number}") for number in range(length))
        value = msgspec.msgpack.encode(AddressPools(ADDRESS, names))
        pools.store.put(address_key(ADDRESS), value)
        latest = record(StepSpec(1, 1000, 100))
        pools.store.put(job_key(names[-1], latest.job_id), b"")
        assert (await pools.send(POOLS[0], latest)).is_ended
        jobs = await asyncio.gather(*(pools.send(POOLS[0], new_record()) for _ in range(20)))
        assert not any(job.is_ended for job in jobs)
        assert pools.pools_of() == (*names[-15:], POOLS[0])

    with_pools(scenario)


def test_new_jobs_at_many_addresses_are_recorded():
    """Guards against commits with more entries than the store takes."""

    async def scenario(pools):
        for pool in POOLS:
            jobs = [
                pools.send(pool, new_record(), QueueAddress(f"kaya/{n % 50}/")) for n in range(100)
            ]
            assert not any(job.is_ended for job in await asyncio.gather(*jobs))
        assert len(pools.recorded) == 300

    with_pools(scenario)


@pytest.mark.parametrize("value", [None, b"", b"\xff", msgspec.msgpack.encode([1])])
def test_odd_or_missing_record_of_an_address_stops_no_commit(value):
    """Guards against jobs that are never recorded, as another writer changed the record."""

    async def scenario(pools):
        await pools.send(POOLS[0], new_record())
        if value is None:
            pools.store.remove(address_key(ADDRESS))
        else:
            pools.store.put(address_key(ADDRESS), value)
        for pool in POOLS:
            job_record = new_record()
            assert not (await pools.send(pool, job_record)).is_ended
            assert pools.pools_with(job_record) == [pool]
        assert pools.pools_of() == tuple(POOLS)

    with_pools(scenario)


def test_jobs_of_an_unmoved_queue_cost_one_entry_a_commit():
    """Guards against a smaller number of jobs in each commit, which all callers would wait for."""

    async def scenario(pools):
        await pools.send(POOLS[0], new_record())
        before = pools.store.calls
        await asyncio.gather(*(pools.send(POOLS[0], new_record()) for _ in range(14)))
        assert pools.store.calls == before + 1

    with_pools(scenario)
