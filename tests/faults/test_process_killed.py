"""A process that is killed while a job runs."""

import pytest

from hornbeamramp.jobs import Completed
from tests.support.cell import SECOND, run_cell


def test_submit_is_answered():
    """Guards against a cell that loses a submit without any fault."""

    async def scenario(cell):
        call = cell.vm["gebze-0"].submit(cell.job())
        assert isinstance(await cell.wait_for_outcome(call), Completed)

    run_cell(scenario)


@pytest.mark.fault(fault="process killed", step="run")
def test_job_of_killed_owner_is_answered_without_two_attempts_at_once():
    """Guards against a job that is lost, or runs twice at once, when its owner is killed."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        call = cell.other_vm(owner).submit(cell.job(run=20 * SECOND))
        await cell.advance(2 * SECOND)
        owner.kill()
        outcome = await cell.wait_for_outcome(call)
        assert isinstance(outcome, Completed), outcome

    run_cell(scenario)


@pytest.mark.fault(fault="process killed", step="recover")
def test_adopted_task_is_renewed_at_once():
    """Guards against an adopted task whose lease expires before the first periodic renewal."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        call = cell.other_vm(owner).submit(cell.job(run=20 * SECOND))
        await cell.advance(2.5 * SECOND)
        owner.kill()
        assert isinstance(await cell.wait_for_outcome(call), Completed)
        assert len(cell.checker.runs()) == 1

    run_cell(scenario)
