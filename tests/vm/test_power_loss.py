"""All VMs lose power at once: what callers were told, the store alone has to keep."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import ModelCell, job
from tests.model.virtual_time import run_in_virtual_time

LASTING = job(StepSpec(1, 500, 100, long_running=True))
KINDS = (
    job(),
    job(StepSpec(2, 500, 100), StepSpec(1, 500, 100, after=(0,))),
    job(StepSpec(3, 500, 100, gang=True)),
    LASTING,
    job(StepSpec(1, 500, 100), repetitions=3, start_at_ms=1_767_225_600_000, interval_ms=1000),
)
JOBS = 40


async def lose_power(cell):
    vms = list(cell.vm_by_name.values())
    await asyncio.gather(*(vm.kill() for vm in vms))
    await asyncio.sleep(0.5)
    await asyncio.gather(*(cell.start_vm(vm.name) for vm in vms))


# The delays reach from before the first commit to after the first starts; commits take 4 ms.
@pytest.mark.parametrize("commit_delay_s", [0.0, 0.1])
@pytest.mark.parametrize("delay_s", [0.005, 0.025, 0.029, 0.033, 0.04, 0.06, 0.15, 0.3, 0.8, 2.0])
def test_accepted_jobs_run_after_all_vms_lost_power(delay_s, commit_delay_s):
    """Guards against accepted jobs of which something was only in memory: all are known, each ends
    once, and long-running ones are at work, whichever commits were in flight."""

    async def scenario():
        accepted = set()

        async def hand_in(cell, number):
            vms = list(cell.vm_by_name.values())
            job_id, spec = f"{number:016x}", KINDS[number % len(KINDS)]
            queue = ("gate", "batch")[number % 2]
            reply = await cell.submit(job_id, spec, queue, vms[number % len(vms)])
            if reply is not None and not reply.refusal:
                accepted.add(job_id)

        async with ModelCell(vms=3, workers=8) as cell:
            for vm in cell.vm_by_name.values():
                vm.store.commit_delay = timedelta(seconds=commit_delay_s)
            calls = [asyncio.create_task(hand_in(cell, number)) for number in range(JOBS)]
            await asyncio.sleep(delay_s)
            before = set(accepted)
            # Calls to processes that are gone get no answer.
            for call in calls:
                call.cancel()
            await lose_power(cell)
            await cell.wait_for_owner()
            for job_id in before:
                assert await cell.phase(job_id) is not None
            await asyncio.gather(*(hand_in(cell, number) for number in range(JOBS)))
            assert len(accepted) == JOBS
            for job_id in sorted(accepted):
                is_lasting = cell.fleet.spec_by_job[job_id] is LASTING
                await cell.wait_for_phase(
                    job_id, JobPhase.RUNNING if is_lasting else JobPhase.COMPLETED, 60
                )
            at_work = [t for w in cell.fleet.worker_by_name.values() for t in w.run_by_task]
            assert len(at_work) == JOBS // len(KINDS)
            cell.fleet.check_repeated_starts()
            return [v for v in cell.fleet.violations if v.rule != "GANG"]

    assert run_in_virtual_time(scenario()) == []
