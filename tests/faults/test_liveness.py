"""Properties that the design page states beyond G1 to G8."""

from hornbeamramp.jobs import Completed
from tests.support.cell import SECOND, run_cell


def test_running_task_survives_the_death_of_its_owner():
    """Guards against a task whose lease expires before a new owner can renew it."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        call = cell.other_vm(owner).submit(cell.job(run=20 * SECOND))
        await cell.advance(2 * SECOND)
        owner.kill()
        assert isinstance(await cell.wait_for_outcome(call), Completed)
        assert len(cell.checker.runs()) == 1, cell.checker.runs()

    run_cell(scenario)


def test_job_past_its_deadline_gets_an_outcome_without_upstreams():
    """Guards against a call that stays open after its deadline while a start is unanswered."""

    async def scenario(cell):
        for vm in cell.vm.values():
            for worker in cell.worker:
                vm.upstream_faults(worker).cut = True
        call = cell.vm["gebze-0"].submit(cell.job(deadline=3 * SECOND))
        await cell.advance(30 * SECOND)
        assert call.answered

    run_cell(scenario)
