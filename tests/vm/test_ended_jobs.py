"""What an owner keeps of jobs that have ended: callers may ask for them for minutes."""

import asyncio
import gc

import pytest

from hornbeamramp.poolowner.jobs import Task
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import REQUEST_TIMEOUT, ModelCell, job
from tests.model.virtual_time import run_in_virtual_time

TASKS = 20
IDS = [f"{number:016x}" for number in range(1, 6)]


def kept_tasks():
    gc.collect()
    return sum(isinstance(kept, Task) for kept in gc.get_objects())


# Guards against owners that run out of memory, or stand still for garbage collections, on long
# days: a VM with a small share of a core missed its lease and its callers' deadlines.
@pytest.mark.parametrize("end", [JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED])
def test_owner_keeps_no_tasks_of_ended_jobs(end):
    async def scenario():
        async with ModelCell(vms=1) as cell:
            cell.fleet.fails = lambda worker, order: end is JobPhase.FAILED
            await cell.wait_for_owner()
            before = kept_tasks()
            spec = job(StepSpec(TASKS, 100, 10, estimate_ms=100), StepSpec(1, 100, 10, after=(0,)))
            for job_id in IDS:
                assert not (await cell.submit(job_id, spec)).refusal
            if end is JobPhase.CANCELLED:
                vm = cell.owner_vm()
                for job_id in IDS:
                    await vm.service.cancel(cell.queues["batch"], job_id, REQUEST_TIMEOUT)
            for job_id in IDS:
                await cell.wait_for_phase(job_id, end)
            await asyncio.sleep(5)
            assert kept_tasks() == before
            assert [await cell.phase(job_id) for job_id in IDS] == [end] * len(IDS)
            assert not (await cell.submit(IDS[0], spec)).refusal

    run_in_virtual_time(scenario())


# Guards against capacity that is given to another task while a stop of an ended job's run has no
# answer.
def test_tasks_are_kept_while_their_runs_may_go_on():
    async def scenario():
        async with ModelCell(vms=1, workers=1) as cell:
            vm = await cell.wait_for_owner()
            before = kept_tasks()
            spec = job(StepSpec(TASKS, 100, 10, estimate_ms=60_000))
            assert not (await cell.submit(IDS[0], spec)).refusal
            await asyncio.sleep(2)
            [worker] = cell.fleet.worker_by_name.values()
            worker.unreachable_from = {vm.name}
            await vm.service.cancel(cell.queues["batch"], IDS[0], REQUEST_TIMEOUT)
            await cell.wait_for_phase(IDS[0], JobPhase.CANCELLED)
            await asyncio.sleep(2)
            assert kept_tasks() == before + TASKS
            worker.unreachable_from = set()
            await asyncio.sleep(5)
            assert kept_tasks() == before
            assert not cell.fleet.violations

    run_in_virtual_time(scenario())
