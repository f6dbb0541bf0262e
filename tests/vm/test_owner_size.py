"""Which VM owns a pool once others have come back."""

import asyncio

import pytest

from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import ModelCell, job
from tests.model.virtual_time import run_in_virtual_time

SMALL, LARGE, LARGER = 0.4, 2.0, 2.4
JOB = "00000000000000c1"
LATER_JOB = "00000000000000c2"


# Guards against a pool that stays for hours with a VM too small for it, which took it while all
# larger ones were down: its callers get no answers in time, and its lasting tasks lapse.
@pytest.mark.known_red
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
