"""The store unavailable, or its answers lost, while an acceptance or an outcome is recorded."""

import pytest

from hornbeamramp.jobs import NotRun
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.states import Step
from tests.support.cell import SECOND, run_cell


@pytest.mark.fault(fault="store answer lost", step="journal")
@pytest.mark.fault(fault="two faults at once", step="journal")
def test_acceptance_that_may_be_in_the_journal_is_not_reported_as_not_run():
    """Guards against "not run" for a job that the next owner finds in the journal (G4)."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")

        def lose_answers(vm) -> None:
            owner.store.answers_to_lose = 1000

        cell.on_step(Step.JOURNAL, lose_answers)
        call = cell.other_vm(owner).submit(cell.job(asynchronous=True))
        await cell.wait_for(lambda: call.answered, 20 * SECOND)
        owner.kill()
        await cell.advance(40 * SECOND)
        assert cell.checker.runs()

    run_cell(scenario)


@pytest.mark.fault(fault="store down", step="cancel")
@pytest.mark.fault(fault="two faults at once", step="cancel")
def test_cancellation_that_is_not_recorded_is_not_reported_as_not_run():
    """Guards against "not run" for a cancelled job that the next owner runs (G4)."""

    async def scenario(cell):
        owner, entry = cell.owner_in("gebze"), cell.other_vm(cell.owner_in("gebze"))
        for _ in range(8):
            entry.submit(cell.job(run=60 * SECOND))
        call = entry.submit(cell.job(asynchronous=True))
        await cell.advance(SECOND)
        assert call.accepted
        owner.store.cut = True
        entry.cancel(call)
        for _ in range(20):
            await cell.advance(SECOND)
            entry.fetch(call)
        owner.kill()
        await cell.advance(60 * SECOND)
        assert any(run.payload == call.job.payload for run in cell.checker.runs())

    run_cell(scenario)


@pytest.mark.fault(fault="store down", step="journal")
def test_refusal_of_an_accepted_job_in_an_outage_stays_a_refusal():
    """Guards against a job that runs after it was refused because the store was down (G4)."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        cell.platform.mode = StoreMode.DOWN
        call = cell.other_vm(owner).submit(cell.job(asynchronous=True))
        assert isinstance(await cell.wait_for_outcome(call), NotRun)
        cell.platform.mode = StoreMode.UP
        owner.kill()
        await cell.advance(40 * SECOND)

    run_cell(scenario)


@pytest.mark.fault(fault="store answer lost", step="start")
@pytest.mark.fault(fault="connection silent", step="journal")
def test_submit_that_is_being_recorded_is_not_resolved_as_absent():
    """Guards against "not run" for a job whose acceptance is still being recorded (G4)."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        entry = cell.other_vm(owner)

        def lose_answers(vm) -> None:
            owner.store.answers_to_lose = 1000

        cell.on_step(Step.JOURNAL, lose_answers)
        call = entry.submit(cell.job(asynchronous=True))
        await cell.advance(SECOND)
        cell.network.reset(owner)
        await cell.advance(2 * SECOND)
        owner.heal()
        await cell.wait_for(lambda: call.answered, 20 * SECOND)
        await cell.advance(30 * SECOND)

    run_cell(scenario)
