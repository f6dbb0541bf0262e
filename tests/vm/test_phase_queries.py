"""Queries of the phase of accepted jobs while the store refuses reads or is slow."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.accounts import Access
from hornbeamramp.errors import StoreUnavailableError, UnreachableError
from hornbeamramp.ids import AccountId, ApiKey, JobId
from hornbeamramp.states import Step
from hornbeamramp.vm.messages import JobPhaseRequest
from hornbeamramp.workload import ClientAccount, JobPhase, StepSpec
from tests.model.cell import job
from tests.model.virtual_time import run_in_virtual_time
from tests.vm.test_queue_moves import BATCH, MovingCell

JOB = "a" * 16
STUDIO = AccountId("studio")
ACCESS = Access(STUDIO, is_public=False)
# Of the 3 s that callers wait.
MAX_WAIT = timedelta(milliseconds=2800)
# A store that is 60 times slower than its usual 4 ms.
SLOW = timedelta(milliseconds=240)


class QueriedCell(MovingCell):
    """A cell with a client account and an ended job of it."""

    def __init__(self):
        super().__init__(accounts=(ClientAccount(STUDIO, keys=(ApiKey("secret"),)),))

    async def __aenter__(self):
        await super().__aenter__()
        submitted = await self.submit(JOB, job(StepSpec(1, 1000, 100)), account=STUDIO)
        assert submitted is not None and not submitted.refusal
        await self.wait_for_phase(JOB, JobPhase.COMPLETED)
        return self

    async def query(self, vm):
        return await vm.service.phase(self.queues[BATCH], JobId(JOB), MAX_WAIT, ACCESS)

    def refuse_reads(self, seconds):
        """Has the store refuse all VMs' reads for some time, as those beyond its rate limit."""
        end = self.clock.boot_time() + timedelta(seconds=seconds)
        for vm in self.vm_by_name.values():
            vm.store.get = self._refusing(vm.store.get, end)

    def _refusing(self, get, end):
        async def refusing(key):
            if self.clock.boot_time() < end:
                raise StoreUnavailableError(Step.JOURNAL, "store", "status 429", sent=False)
            return await get(key)

        return refusing

    def cut_off_from_owner(self, vm):
        """Has the VM's queries to other VMs stay without an answer, and returns the VM."""
        call = vm.node.peers.call

        async def silent(address, request, timeout, step):
            if not isinstance(request, JobPhaseRequest):
                return await call(address, request, timeout, step)
            await self.clock.sleep(timeout)
            raise UnreachableError(step, address, "no answer", sent=True)

        vm.node.peers.call = silent
        return vm

    def other_vm(self):
        """Returns a VM that doesn't own the pool."""
        return next(vm for vm in self.vm_by_name.values() if vm.owner is None)


def in_cell(scenario):
    async def run():
        async with QueriedCell() as cell:
            await scenario(cell)

    run_in_virtual_time(run())


@pytest.mark.parametrize("refused_s", [0.05, 0.5])
@pytest.mark.parametrize("vm_name", ["vm0", "vm1", "vm2"])
def test_job_of_a_moved_queue_is_found_although_the_store_refuses_some_reads(vm_name, refused_s):
    """Guards against 503 for a job that its former pool's owner knows, with most of the caller's
    time left: the store was read first, at the moment of a refusal, and only once."""

    async def scenario(cell):
        cell.move()
        await asyncio.sleep(1)
        cell.refuse_reads(refused_s)
        assert await cell.query(cell.vm_by_name[vm_name]) is JobPhase.COMPLETED

    in_cell(scenario)


def test_job_is_read_from_the_store_again_after_a_refusal():
    """Guards against 503 after one read of a store that was beyond its rate for a moment."""

    async def scenario(cell):
        vm = cell.cut_off_from_owner(cell.other_vm())
        query = asyncio.create_task(cell.query(vm))
        await asyncio.sleep(1.9)
        cell.refuse_reads(0.65)
        assert await query is JobPhase.COMPLETED

    in_cell(scenario)


def test_job_is_read_from_a_slow_store_in_time():
    """Guards against reads in series that take longer than what is left for the store."""

    async def scenario(cell):
        vm = cell.cut_off_from_owner(cell.other_vm())
        vm.store.delay = SLOW
        assert await cell.query(vm) is JobPhase.COMPLETED

    in_cell(scenario)
