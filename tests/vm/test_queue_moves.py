"""Jobs of a queue that a new configuration sends to another pool."""

import asyncio
from datetime import timedelta

import msgspec
import pytest

from hornbeamramp.ids import JobId, PoolName, RouteName
from hornbeamramp.statestore import job_key
from hornbeamramp.vm import CancelResult
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import POOL, REQUEST_TIMEOUT, ModelCell, job
from tests.model.virtual_time import run_in_virtual_time

NEW_POOL = PoolName("proofs")
NEW_POOL_WORKERS = ("w2", "w3")
BATCH = RouteName("batch")
JOB = "a" * 16
LASTING = job(StepSpec(2, 1000, 100, long_running=True))


class MovingCell(ModelCell):
    """A cell with two pools, of which the queue ``batch`` uses the first until it is moved."""

    def __init__(self, **options):
        super().__init__(**options)
        self.pools = [POOL, NEW_POOL]
        self.configure()
        for name in NEW_POOL_WORKERS:
            self.list_worker(name)

    def list_worker(self, name, draining=False, pool=POOL):
        super().list_worker(name, draining, NEW_POOL if name in NEW_POOL_WORKERS else pool)

    async def __aenter__(self):
        await super().__aenter__()
        await asyncio.sleep(2)
        assert any(vm.owner_of(NEW_POOL) for vm in self.vm_by_name.values())
        return self

    def move(self, pool=NEW_POOL):
        self.queues[BATCH] = msgspec.structs.replace(self.queues[BATCH], pool=pool)
        self.configure()

    def replace_route(self, name, pool=NEW_POOL):
        """Sends the address of the queue ``batch`` to another pool, under another name."""
        self.queues[name] = msgspec.structs.replace(self.queues.pop(BATCH), name=name, pool=pool)
        self.queue_by_job[JobId(JOB)] = name
        self.configure()

    def remove_route(self):
        """Removes the queue ``batch`` from the configuration, and returns it."""
        removed = self.queues.pop(BATCH)
        self.configure()
        return removed

    async def restart(self, vm_name):
        await self.restart_vm(vm_name, 0.5)
        await asyncio.sleep(3)
        return self.vm_by_name[vm_name]

    def starts(self):
        return len(self.fleet.starts)

    async def cancel(self, job_id, vm):
        return await vm.service.cancel(self.queues[BATCH], JobId(job_id), REQUEST_TIMEOUT)

    def stored_in(self, job_id):
        keys = self.store.item_by_key
        return [pool for pool in (POOL, NEW_POOL) if job_key(pool, JobId(job_id)) in keys]

    def running(self):
        return sum(len(w.run_by_task) for w in self.fleet.worker_by_name.values())


def in_cell(scenario, **options):
    async def run():
        async with MovingCell(**options) as cell:
            await scenario(cell)
            assert cell.fleet.violations == []

    run_in_virtual_time(run())


VMS = pytest.mark.parametrize("vm_name", ["vm0", "vm1", "vm2"])


@VMS
def test_job_is_found_after_its_queue_moved_to_another_pool(vm_name):
    """Guards against a 410 for an accepted job, as only the new pool was asked."""

    async def scenario(cell):
        vm = cell.vm_by_name[vm_name]
        assert not (await cell.submit(JOB, LASTING, vm=vm)).refusal
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        cell.move()
        await asyncio.sleep(1)
        assert await cell.phase(JOB, vm) is JobPhase.RUNNING
        assert await cell.cancel(JOB, vm) is CancelResult.CANCELLED
        cell.fleet.cancelled_at[JobId(JOB)] = cell.clock.boot_time().total_seconds()
        assert await cell.phase(JOB, vm) is JobPhase.CANCELLED
        await asyncio.sleep(1)
        assert cell.running() == 0
        assert await cell.cancel("b" * 16, vm) is CancelResult.ABSENT
        absent = vm.service.phase(cell.queues[BATCH], JobId("b" * 16), REQUEST_TIMEOUT)
        assert await absent is None

    in_cell(scenario)


@VMS
@pytest.mark.parametrize("delay_s", [0.0, 0.01, 1.0])
def test_job_sent_again_after_its_queue_moved_stays_one_job(vm_name, delay_s):
    """Guards against a second job of the same id in the new pool, whose tasks run twice."""

    async def scenario(cell):
        vm = cell.vm_by_name[vm_name]
        assert not (await cell.submit(JOB, LASTING)).refusal
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        cell.move()
        await asyncio.sleep(delay_s)
        for _ in range(2):
            reply = await cell.submit(JOB, LASTING, vm=vm)
            assert reply is not None and not reply.refusal
        await asyncio.sleep(3)
        assert cell.stored_in(JOB) == [POOL]
        assert cell.running() == 2
        assert not (await cell.submit("b" * 16, job(), vm=vm)).refusal
        assert cell.stored_in("b" * 16) == [NEW_POOL]

    in_cell(scenario)


def test_job_sent_by_several_vms_while_its_queue_moves_stays_one_job():
    """Guards against one owner that accepts a job by the old configuration, while another does by
    the new one."""

    async def scenario(cell):
        for number in range(60):
            job_id = f"{number:016x}"
            is_in_old = cell.queues[BATCH].pool == POOL
            cell.fleet.spec_by_job[JobId(job_id)] = LASTING
            cell.queue_by_job[JobId(job_id)] = BATCH
            cell.move(NEW_POOL if is_in_old else POOL)

            async def send(vm, delay_s, job_id=job_id):
                await asyncio.sleep(delay_s)
                # By the configuration that the VM has then.
                queue = vm.node.config.queue_by_name[BATCH]
                return await vm.service.submit(queue, JobId(job_id), LASTING, REQUEST_TIMEOUT)

            vms = list(cell.vm_by_name.values())
            delays = (0.004 * (number % 4), 0.002 * (number % 7), 0.001 * (number % 9))
            cell.vm_by_name["vm1"].store.delay = timedelta(milliseconds=4 * (number % 5))
            replies = await asyncio.gather(
                *(send(vms[(number + k) % 3], delay) for k, delay in enumerate(delays))
            )
            assert any(not reply.refusal for reply in replies)
            assert len(cell.stored_in(job_id)) == 1
            await cell.cancel(job_id, vms[0])

    in_cell(scenario)


@VMS
@pytest.mark.parametrize("spec", [job(StepSpec(2, 1000, 100)), LASTING], ids=["ended", "lasting"])
def test_job_sent_again_to_a_vm_that_started_after_the_move_stays_one_job(vm_name, spec):
    """Guards against a second run of a job whose queue has moved, as a VM that started since then
    did not know of the former pool."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, spec)).refusal
        await cell.wait_for_phase(JOB, JobPhase.RUNNING if spec is LASTING else JobPhase.COMPLETED)
        cell.move()
        vm = await cell.restart(vm_name)
        starts = cell.starts()
        reply = await cell.submit(JOB, spec, vm=vm)
        assert reply is not None and not reply.refusal
        await asyncio.sleep(3)
        assert cell.stored_in(JOB) == [POOL]
        assert cell.starts() == starts

    in_cell(scenario)


def test_job_sent_again_after_all_vms_lost_power_stays_one_job():
    """Guards against what only the processes' memory tells of former pools."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, job())).refusal
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
        cell.move()
        await asyncio.gather(*(cell.restart(name) for name in list(cell.vm_by_name)))
        starts = cell.starts()
        for vm in cell.vm_by_name.values():
            reply = await cell.submit(JOB, job(), vm=vm)
            assert reply is not None and not reply.refusal
        await asyncio.sleep(3)
        assert cell.stored_in(JOB) == [POOL]
        assert cell.starts() == starts

    in_cell(scenario)


def test_job_sent_again_after_its_route_was_replaced_stays_one_job():
    """Guards against a second run after a route gave way to one of another name at its address."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, job())).refusal
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
        starts = cell.starts()
        cell.replace_route(RouteName("batch-2"))
        await asyncio.sleep(1)
        reply = await cell.submit(JOB, job(), "batch-2")
        assert reply is not None and not reply.refusal
        await asyncio.sleep(3)
        assert cell.stored_in(JOB) == [POOL]
        assert cell.starts() == starts

    in_cell(scenario)


def test_job_sent_again_after_its_route_was_removed_and_added_again_stays_one_job():
    """Guards against a second run after a route came back with another pool."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, job())).refusal
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
        starts = cell.starts()
        removed = cell.remove_route()
        await asyncio.sleep(1)
        await asyncio.gather(*(cell.restart(name) for name in list(cell.vm_by_name)))
        cell.queues[BATCH] = removed
        cell.move()
        await asyncio.sleep(1)
        for vm in cell.vm_by_name.values():
            reply = await cell.submit(JOB, job(), vm=vm)
            assert reply is not None and not reply.refusal
            assert await cell.phase(JOB, vm) is JobPhase.COMPLETED
        await asyncio.sleep(3)
        assert cell.stored_in(JOB) == [POOL]
        assert cell.starts() == starts

    in_cell(scenario)


def test_job_sent_again_while_the_store_turns_its_vm_away_stays_one_job():
    """Guards against a VM whose watch has not told it of the former pool."""

    async def scenario(cell):
        vm = cell.vm_by_name["vm1"]
        vm.store.is_down = True
        assert not (await cell.submit(JOB, job(), vm=cell.vm_by_name["vm0"])).refusal
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
        starts = cell.starts()
        cell.move()
        end = cell.clock.boot_time() + timedelta(seconds=4)
        while cell.clock.boot_time() < end:
            await cell.submit(JOB, job(), vm=vm)
            await asyncio.sleep(0.2)
        vm.store.is_down = False
        await asyncio.sleep(3)
        assert cell.stored_in(JOB) == [POOL]
        assert cell.starts() == starts

    in_cell(scenario)


def test_job_sent_again_after_two_moves_stays_one_job():
    """Guards against owners that compare with the pool of the last move only."""

    async def scenario(cell):
        await cell.submit("c" * 16, job())
        cell.move()
        await asyncio.sleep(1)
        assert not (await cell.submit(JOB, job())).refusal
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
        starts = cell.starts()
        cell.move(POOL)
        vm = await cell.restart("vm1")
        reply = await cell.submit(JOB, job(), vm=vm)
        assert reply is not None and not reply.refusal
        await asyncio.sleep(3)
        assert cell.stored_in(JOB) == [NEW_POOL]
        assert cell.starts() == starts

    in_cell(scenario)


def test_new_jobs_are_accepted_while_the_former_pool_has_no_owner():
    """Guards against a refusal of new jobs, as no owner tells whether the former pool has them."""

    async def scenario(cell):
        await cell.submit("c" * 16, job())
        cell.move()
        await asyncio.sleep(1)
        former, current = (
            next(v for v in cell.vm_by_name.values() if v.owner_of(pool))
            for pool in (POOL, NEW_POOL)
        )
        assert former is not current
        await former.kill()
        replies = [await cell.submit(f"{n:016x}", job(), vm=current) for n in range(3)]
        assert all(reply is not None and not reply.refusal for reply in replies)
        assert not any(v.owner_of(POOL) for v in cell.vm_by_name.values() if v is not former)

    in_cell(scenario)


def test_job_is_found_in_its_old_pool_while_that_has_no_owner():
    """Guards against a 410 for a job whose pool is being taken over after its queue has moved."""

    async def scenario(cell):
        owner = await cell.wait_for_owner()
        vm = next(v for v in cell.vm_by_name.values() if not v.owner_of(POOL))
        assert not (await cell.submit(JOB, LASTING, vm=vm)).refusal
        await cell.wait_for_phase(JOB, JobPhase.RUNNING, vm=vm)
        cell.move()
        await asyncio.sleep(1)
        await owner.kill()
        end = cell.clock.boot_time().total_seconds() + 5
        while cell.clock.boot_time().total_seconds() < end:
            assert await cell.phase(JOB, vm) is not None
            reply = await cell.submit(JOB, LASTING, vm=vm)
            assert reply is None or not reply.refusal or "owner" in reply.refusal
            await asyncio.sleep(0.1)
        assert cell.stored_in(JOB) == [POOL]
        assert cell.running() == 2

    in_cell(scenario)


def test_pending_jobs_of_the_old_pool_are_counted():
    """Guards against a count of 0 while jobs accepted before the move have yet to begin."""

    async def scenario(cell):
        wide = job(StepSpec(40, 8000, 100, estimate_ms=5000))
        for number in range(3):
            assert not (await cell.submit(f"{number:016x}", wide)).refusal
        cell.move()
        await asyncio.sleep(1)
        vm = cell.vm_by_name["vm1"]
        assert await vm.service.pending(cell.queues[BATCH], REQUEST_TIMEOUT) == 2

    in_cell(scenario)


def test_vm_that_started_after_the_move_counts_pending_jobs_of_the_old_pool():
    """Guards against a count of 0, as the VM did not know of the former pool."""

    async def scenario(cell):
        wide = job(StepSpec(40, 8000, 100, estimate_ms=60000))
        for number in range(3):
            assert not (await cell.submit(f"{number:016x}", wide)).refusal
        cell.move()
        vm = await cell.restart("vm1")
        other = cell.vm_by_name["vm2"]
        expected = await other.service.pending(cell.queues[BATCH], REQUEST_TIMEOUT)
        assert expected > 0
        assert await vm.service.pending(cell.queues[BATCH], REQUEST_TIMEOUT) == expected

    in_cell(scenario)
