"""Which VM owns a pool once others have come back."""

import asyncio
from itertools import pairwise

import pytest

from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.ids import PoolName
from hornbeamramp.states import Step
from hornbeamramp.statestore.records import owner_key
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import POOL, ModelCell, job
from tests.model.virtual_time import run_in_virtual_time

OTHER_POOL = PoolName("artwork")
SMALL, LARGE, LARGER = 0.4, 2.0, 2.4
JOB = "00000000000000c1"
LATER_JOB = "00000000000000c2"


# Guards against a pool that stays for hours with a VM too small for it, which took it while all
# larger ones were down: its callers get no answers in time, and its lasting tasks lapse.
def test_small_vm_hands_its_pool_over_to_a_larger_one_that_is_back():
    async def scenario():
        async with ModelCell(vms=1, size_by_vm={"vm0": SMALL, "vm1": LARGE}) as cell:
            cell.fleet.duration = lambda task, step: 20.0
            assert not (await cell.submit(JOB, job(StepSpec(4, 1000, 100)))).refusal
            await asyncio.sleep(2)
            await cell.start_vm("vm1")
            await asyncio.sleep(10)
            assert cell.owner_vm().name == "vm1"
            assert not (await cell.submit(LATER_JOB, job())).refusal
            await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
            await cell.wait_for_phase(LATER_JOB, JobPhase.COMPLETED)
            runs = {run for _, _, task, run in cell.fleet.starts if task.startswith(JOB)}
            assert runs == {1}

    run_in_virtual_time(scenario())


def test_pool_stays_with_its_owner_while_no_other_vm_is_much_larger():
    async def scenario():
        sizes = {"vm0": LARGE, "vm1": LARGER}
        async with ModelCell(vms=1, size_by_vm=sizes) as cell:
            token = cell.owner_vm().owner.token
            await cell.start_vm("vm1")
            await asyncio.sleep(30)
            assert cell.owner_vm().name == "vm0"
            assert cell.owner_vm().owner.token == token

    run_in_virtual_time(scenario())


async def owner_changes(cell, pools, seconds):
    """Returns the times at which each of the pools got a new owner, and the owners' names."""
    changes_by_pool = {pool: [] for pool in pools}
    token_by_pool = dict.fromkeys(pools, 0)
    end = cell.clock.boot_time().total_seconds() + seconds
    while (now := cell.clock.boot_time().total_seconds()) < end:
        for vm in cell.vm_by_name.values():
            for pool in pools:
                owner = None if vm.store.is_closed else vm.owner_of(pool)
                if owner is not None and owner.token > token_by_pool[pool]:
                    token_by_pool[pool] = owner.token
                    changes_by_pool[pool].append((now, vm.name))
        await asyncio.sleep(0.02)
    return changes_by_pool


async def start_cut_off_from_store(cell, name):
    """Starts a VM that registers, and whose commits fail from then on while its lease goes on."""
    vm = await cell.start_vm(name)
    await asyncio.sleep(2)
    assert vm.node.lease.is_valid

    async def fail(txn):
        await asyncio.sleep(0.6)
        raise StoreUnavailableError(Step.JOURNAL, "store", "no answer")

    vm.store.commit = fail
    cell.network.unreachable_addresses.add(vm.address)
    return vm


async def wait_for_release(cell, name):
    async with asyncio.timeout(15):
        while True:
            if cell.vm_by_name[name].owner is None:
                return
            await asyncio.sleep(0.005)


# Guards against pools that move back and forth, each time with a pause for their callers.
@pytest.mark.parametrize(
    "sizes",
    [(1.0, 1.0, 1.0), (SMALL, SMALL, LARGE), (SMALL, LARGE, LARGER), (1.0, LARGE, 1.0), (1.0, 1.9)],
)
def test_two_pools_move_at_most_once_each(sizes):
    async def scenario():
        size_by_vm = {f"vm{number}": size for number, size in enumerate(sizes)}
        cell = ModelCell(vms=1, size_by_vm=size_by_vm)
        cell.pools.append(OTHER_POOL)
        cell.configure()
        async with cell:
            await asyncio.sleep(1)
            for name in list(size_by_vm)[1:]:
                await cell.start_vm(name)
            changes_by_pool = await owner_changes(cell, cell.pools, 60)
        for changes in changes_by_pool.values():
            assert 1 <= len(changes) <= 2
            assert not changes[1:] or changes[-1][0] < 30

    run_in_virtual_time(scenario())


# Guards against jobs that are lost or run twice as their owner hands the pool over, and against
# requests that aren't answered meanwhile.
@pytest.mark.parametrize("seed", range(5))
def test_jobs_accepted_during_a_handover_run_once(seed):
    async def scenario():
        sizes = {"vm0": SMALL, "vm1": LARGE}
        async with ModelCell(vms=1, size_by_vm=sizes, seed=seed) as cell:
            await cell.start_vm("vm1")
            small = cell.vm_by_name["vm0"]
            jobs = [f"{number:016x}" for number in range(240)]
            submissions = []
            for job_id in jobs:
                submissions.append(asyncio.create_task(cell.submit(job_id, job(), vm=small)))
                await asyncio.sleep(0.05)
            for result in await asyncio.gather(*submissions):
                assert result is not None
                assert not result.refusal
            assert cell.owner_vm().name == "vm1"
            for job_id in jobs:
                await cell.wait_for_phase(job_id, JobPhase.COMPLETED)
            tasks = [task for _, _, task, _ in cell.fleet.starts]
            assert len(tasks) == len(set(tasks)) == len(jobs)
            assert not cell.fleet.violations

    run_in_virtual_time(scenario())


# Guards against a pool that stays without an owner, or changes it all the time, as the VM that
# should get it can't claim it.
@pytest.mark.parametrize("other_small_vms", [0, 2])
def test_pool_gets_an_owner_soon_if_the_larger_vm_can_not_claim_it(other_small_vms):
    async def scenario():
        sizes = {"vm0": SMALL, "vm1": LARGE, "vm2": SMALL, "vm3": SMALL}
        async with ModelCell(vms=1, size_by_vm=sizes) as cell:
            for number in range(other_small_vms):
                await cell.start_vm(f"vm{2 + number}")
            await start_cut_off_from_store(cell, "vm1")
            await wait_for_release(cell, "vm0")
            released_at = cell.clock.boot_time().total_seconds()
            changes = (await owner_changes(cell, [POOL], 26))[POOL]
            assert changes[0][0] - released_at < 2
            assert all(name != "vm1" for _, name in changes)
            assert len(changes) <= 1 + other_small_vms
            times = [at for at, _ in changes]
            assert all(later - at >= 6 for at, later in pairwise(times))
            assert not (await cell.submit(JOB, job(), vm=cell.owner_vm())).refusal
            await cell.wait_for_phase(JOB, JobPhase.COMPLETED, vm=cell.owner_vm())

    run_in_virtual_time(scenario())


# Guards against a pool without an owner, and against runs that are repeated.
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.2])
def test_pool_gets_an_owner_soon_if_the_larger_vm_dies_during_the_handover(delay_s):
    async def scenario():
        async with ModelCell(vms=1, size_by_vm={"vm0": SMALL, "vm1": LARGE}) as cell:
            cell.fleet.duration = lambda task, step: 20.0
            assert not (await cell.submit(JOB, job(StepSpec(4, 1000, 100)))).refusal
            await cell.start_vm("vm1")
            await wait_for_release(cell, "vm0")
            await asyncio.sleep(delay_s)
            await cell.vm_by_name["vm1"].kill()
            started = cell.clock.boot_time().total_seconds()
            assert (await cell.wait_for_owner(5)).name == "vm0"
            # The lease of the VM that died lasts for 1.4 s.
            assert cell.clock.boot_time().total_seconds() - started < 3
            await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
            assert {run for _, _, _, run in cell.fleet.starts} == {1}

    run_in_virtual_time(scenario())


def fail_releases(store):
    commit = store.commit

    async def commit_or_fail(txn):
        if owner_key(POOL) not in txn.deletes:
            return await commit(txn)
        await asyncio.sleep(0.6)
        raise StoreUnavailableError(Step.JOURNAL, "store", "no answer")

    store.commit = commit_or_fail


# Guards against a pool that nobody can claim, as the release of its claim never took effect.
def test_pool_goes_on_soon_if_the_release_of_its_claim_fails():
    async def scenario():
        sizes = {"vm1": LARGE} | {f"vm{number}": SMALL for number in (0, *range(2, 12))}
        async with ModelCell(vms=1, size_by_vm=sizes) as cell:
            for name in list(sizes)[:1] + list(sizes)[2:]:
                await cell.start_vm(name)
            for vm in cell.vm_by_name.values():
                fail_releases(vm.store)
            await wait_for_release(cell, "vm0")
            # The VM's own call and a relayed one take up to 1.5 s.
            assert (await cell.wait_for_owner(2.5)).name == "vm0"

    run_in_virtual_time(scenario())
