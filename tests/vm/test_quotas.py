"""Quotas of client accounts over two pools, each with an owner of its own.

The load: one account sends far more than its quota to one pool or to both, others a part of theirs.
What counts is what runs on the workers, as they see it.
"""

import asyncio
import random

import msgspec
import pytest

from hornbeamramp.ids import AccountId, PoolName, RouteName
from hornbeamramp.statestore.records import quota_key, quota_prefix
from hornbeamramp.workload import AccountQuota, ClientAccount, JobPhase, RefusalKind, StepSpec
from tests.model.cell import POOL, REQUEST_TIMEOUT, ModelCell, job, queue
from tests.model.store import StoreView
from tests.model.virtual_time import run_in_virtual_time
from tests.vm.test_guarantees_under_faults import Faults

OTHER_POOL = PoolName("artwork")
HOT, STEADY = AccountId("hot"), AccountId("steady")
QUOTA = AccountQuota(16_000, 0, 4)
# Time in which an account with under half of its quota in use gets room.
MAX_WAIT_S = 3.0
# First records are written, and allotments may be raised from then on.
START_UP_S = 2.5
# Limit of a wait for a start, after which a test fails.
MAX_START_S = 20.0
SMALL = StepSpec(6, 1000, 100)


class TwoPools(ModelCell):
    """A cell whose queue "art" belongs to a second pool, with four workers in each pool."""

    def __init__(self, quota=QUOTA, **fields):
        super().__init__(vms=4, workers=8, **fields)
        art = msgspec.structs.replace(queue("art", 2, advice=False), pool=OTHER_POOL)
        self.queues[RouteName("art")] = art
        self.pools.append(OTHER_POOL)
        for number in range(4, 8):
            self.list_worker(f"w{number}", pool=OTHER_POOL)
        self._jobs = 0
        self.set_quota(quota)

    def set_quota(self, quota):
        accounts = (ClientAccount(account, quota=quota) for account in (HOT, STEADY))
        self.account_by_id = {account.id: account for account in accounts}
        self.fleet.quota_by_account = dict.fromkeys(self.account_by_id, quota)
        self.configure()

    async def wait_until_shared(self):
        """Waits until both owners may raise their allotments."""
        await asyncio.sleep(START_UP_S)

    async def send(self, account, spec, queue_name="batch", vm=None):
        """Submits a job of an account and returns its id."""
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        result = await self.submit(job_id, spec, queue_name, vm, account)
        return job_id if result is not None and not result.refusal else None

    async def flood(self, account, queue_name, spec, interval_s=0.1, vm=None):
        """Submits jobs of an account until cancelled."""
        while True:
            await self.send(account, spec, queue_name, vm)
            await asyncio.sleep(interval_s)

    async def time_until_start(self, account, spec, queue_name="batch"):
        """Submits a job, and returns how long it takes until one of its tasks starts."""
        sent_at = self.clock.boot_time().total_seconds()
        job_id = await self.send(account, spec, queue_name)
        async with asyncio.timeout(MAX_START_S):
            while True:
                starts = [at_s for at_s, _, task, _ in self.fleet.starts if job_id in task]
                if starts:
                    return starts[0] - sent_at
                await asyncio.sleep(0.02)

    def owner_name(self, pool):
        return next(n for n, vm in self.vm_by_name.items() if vm.owner_of(pool) is not None)


def play(scenario, **fields):
    """Runs a scenario on a cell, and checks what its workers have seen."""

    async def run():
        async with TwoPools(**fields) as cell:
            await cell.wait_until_shared()
            result = await scenario(cell)
            assert [v for v in cell.fleet.violations if v.rule != "GANG"] == []
            return result

    return run_in_virtual_time(run())


def test_flood_in_both_pools_stays_within_the_quota_and_uses_it():
    """Guards against owners that each give the whole quota, and against a quota that is a wall."""

    async def scenario(cell):
        floods = [asyncio.create_task(cell.flood(HOT, q, job(SMALL))) for q in ("batch", "art")]
        await asyncio.sleep(3)
        used = []
        for _ in range(100):
            used.append(cell.fleet.used_by(HOT)[0])
            await asyncio.sleep(0.05)
        for flood in floods:
            flood.cancel()
        assert max(used) <= QUOTA.processors_milli
        assert sum(used) / len(used) > 0.7 * QUOTA.processors_milli
        pools = {worker < "w4" for at_s, worker, *_ in cell.fleet.starts if at_s > 5}
        assert pools == {True, False}

    play(scenario)


def test_flood_in_one_pool_may_use_the_whole_quota():
    async def scenario(cell):
        flood = asyncio.create_task(cell.flood(HOT, "batch", job(SMALL)))
        await asyncio.sleep(3)
        used = []
        for _ in range(60):
            used.append(cell.fleet.used_by(HOT)[0])
            await asyncio.sleep(0.05)
        flood.cancel()
        assert max(used) == QUOTA.processors_milli

    play(scenario)


def test_flood_of_one_account_does_not_hold_up_another_in_the_other_pool():
    async def scenario(cell):
        flood = asyncio.create_task(cell.flood(HOT, "batch", job(SMALL)))
        waits = []
        for _ in range(20):
            waits.append(await cell.time_until_start(STEADY, job(SMALL), "art"))
            await asyncio.sleep(0.5)
        flood.cancel()
        assert max(waits) < 0.5

    play(scenario)


def test_account_that_moves_to_the_other_pool_finds_room_there():
    """Guards against an allotment that stays with a pool which no longer needs it."""

    async def scenario(cell):
        flood = asyncio.create_task(cell.flood(HOT, "batch", job(SMALL)))
        await asyncio.sleep(4)
        flood.cancel()
        await asyncio.sleep(0.1)
        assert await cell.time_until_start(HOT, job(SMALL), "art") < MAX_WAIT_S

    play(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_room_is_found_in_time_when_the_owner_of_the_other_pool_dies(seed):
    """Guards against allotments that lie idle with a pool without an owner."""

    async def scenario(cell):
        flood = asyncio.create_task(cell.flood(HOT, "batch", job(SMALL)))
        await asyncio.sleep(3 + 0.17 * seed)
        flood.cancel()
        await cell.vm_by_name[cell.owner_name(POOL)].kill()
        assert await cell.time_until_start(HOT, job(SMALL), "art") < MAX_WAIT_S

    play(scenario, seed=seed)


@pytest.mark.parametrize("queue_name", ["batch", "art"])
@pytest.mark.parametrize("unreachable_s", [2.5, 3.5])
def test_runs_of_jobs_cancelled_before_a_takeover_count(queue_name, unreachable_s):
    """Guards against a new owner that fills the room of runs which their workers have yet to stop:
    the records of ended jobs don't tell of them."""

    async def scenario(cell):
        ids = [await cell.send(HOT, job(StepSpec(4, 1000, 100, estimate_ms=9000))) for _ in "1234"]
        await asyncio.sleep(1)
        owner = cell.vm_by_name[cell.owner_name(POOL)]
        busiest = max(cell.fleet.worker_by_name.values(), key=lambda w: len(w.run_by_task))
        for worker in cell.fleet.worker_by_name.values():
            worker.unreachable_from.add(owner.name)
        busiest.unreachable_from.update(cell.vm_by_name)
        for job_id in ids:
            cell.fleet.cancelled_at[job_id] = cell.clock.boot_time().total_seconds()
            asyncio.create_task(owner.service.cancel(cell.queues["batch"], job_id, REQUEST_TIMEOUT))
        await asyncio.sleep(0.1)
        await owner.kill()
        vm = next(vm for vm in cell.vm_by_name.values() if vm is not owner)
        flood = asyncio.create_task(cell.flood(HOT, queue_name, job(SMALL), vm=vm))
        await asyncio.sleep(unreachable_s)
        assert busiest.run_by_task
        busiest.unreachable_from.clear()
        await asyncio.sleep(3)
        flood.cancel()
        assert any(at_s > 5 for at_s, *_ in cell.fleet.starts)

    play(scenario)


def test_lowered_quota_stops_nothing_and_lets_nothing_start():
    async def scenario(cell):
        lasting = job(StepSpec(10, 1000, 100, long_running=True))
        await cell.send(HOT, lasting, "batch")
        await asyncio.sleep(2)
        assert cell.fleet.used_by(HOT)[0] == 10_000
        cell.set_quota(AccountQuota(6000))
        await asyncio.sleep(2)
        await cell.send(HOT, job(SMALL), "art")
        await asyncio.sleep(5)
        assert cell.fleet.used_by(HOT)[0] == 10_000
        cell.set_quota(AccountQuota(14_000))
        assert await cell.time_until_start(HOT, job(SMALL), "art") < MAX_WAIT_S

    play(scenario)


def test_removed_quota_counts_at_once():
    async def scenario(cell):
        flood = asyncio.create_task(cell.flood(HOT, "batch", job(SMALL)))
        await asyncio.sleep(3)
        cell.set_quota(AccountQuota())
        await asyncio.sleep(2)
        flood.cancel()
        assert cell.fleet.used_by(HOT)[0] > 1.2 * QUOTA.processors_milli

    play(scenario)


def test_job_accepted_before_its_quota_was_lowered_comes_to_its_end():
    async def scenario(cell):
        first = await cell.send(HOT, job(StepSpec(6, 2000, 100, gang=True)), "batch")
        second = await cell.send(HOT, job(StepSpec(3, 5000, 100)), "batch")
        cell.set_quota(AccountQuota(4000))
        await cell.wait_for_phase(first, JobPhase.COMPLETED)
        await cell.wait_for_phase(second, JobPhase.COMPLETED)

    play(scenario)


def test_job_that_can_never_fit_its_quota_is_refused_at_once():
    async def scenario(cell):
        specs = (StepSpec(1, 16_001), StepSpec(17, 1000, gang=True), StepSpec(1, 1000, 100, 5))
        for number, step in enumerate(specs):
            result = await cell.submit(f"{number:016x}", job(step), "batch", account=HOT)
            assert result.kind is RefusalKind.BEYOND_QUOTA
            assert "quota" in result.refusal
        assert not (await cell.submit("f" * 16, job(StepSpec(17, 1000)), account=HOT)).refusal

    play(scenario)


def test_record_of_a_removed_pool_is_deleted_once_nothing_can_run_there():
    """Guards against quota that is lost with a pool, and against room given away while runs of its
    last owner may go on."""

    async def scenario(cell):
        flood = asyncio.create_task(cell.flood(HOT, "art", job(SMALL)))
        await asyncio.sleep(3)
        flood.cancel()
        cell.pools.remove(OTHER_POOL)
        del cell.queues[RouteName("art")]
        cell.configure()
        # Its owner goes on until its VM ends.
        await asyncio.sleep(11)
        await cell.vm_by_name[cell.owner_name(OTHER_POOL)].kill()
        await asyncio.sleep(10)
        assert quota_key(OTHER_POOL) in cell.store.item_by_key
        await asyncio.sleep(6)
        assert quota_key(OTHER_POOL) not in cell.store.item_by_key

    play(scenario)


@pytest.mark.parametrize("seed", range(10))
def test_quota_holds_under_faults(seed):
    """Guards against takeovers, lost answers, late orders and changed quotas that let an account
    use more than it may."""

    async def scenario(cell):
        rng = random.Random(seed)
        floods = [
            asyncio.create_task(cell.flood(account, name, job(step), interval_s))
            for account, name, step, interval_s in (
                (HOT, "batch", SMALL, 0.15),
                (HOT, "art", StepSpec(3, 2000, 100, 1), 0.3),
                (STEADY, "art", StepSpec(2, 2000, 100, gang=True), 0.8),
                (STEADY, "gate", SMALL, 1.5),
            )
        ]
        await Faults(cell, rng).run()
        for flood in floods:
            flood.cancel()
        await asyncio.sleep(15)
        started = len(cell.fleet.starts)
        assert await cell.time_until_start(STEADY, job(SMALL), "art") < 2 * MAX_WAIT_S
        assert started > 100

    play(scenario, seed=seed)


def test_cell_without_quotas_makes_no_calls_for_them(monkeypatch):
    prefixes = []
    watch = StoreView.watch

    async def record_watch(view, prefix, after, wait):
        prefixes.append(prefix)
        return await watch(view, prefix, after, wait)

    monkeypatch.setattr(StoreView, "watch", record_watch)

    async def scenario(cell):
        await cell.send(HOT, job(SMALL))
        await asyncio.sleep(3)
        assert not any(key.startswith(quota_prefix()) for key in cell.store.item_by_key)

    play(scenario, quota=AccountQuota())
    assert prefixes
    assert quota_prefix() not in prefixes


def test_pool_configured_later_shares_the_quota():
    async def scenario(cell):
        third = PoolName("spare")
        cell.pools.append(third)
        cell.configure()
        await asyncio.sleep(1)
        assert await cell.time_until_start(HOT, job(SMALL), "art") < MAX_WAIT_S

    play(scenario)
