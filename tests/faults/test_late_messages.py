"""Messages and starts that arrive long after they were sent."""

import pytest

from hornbeamramp.states import Capability, Step
from tests.support.cell import SECOND, run_cell


@pytest.mark.fault(fault="message late", step="forward")
@pytest.mark.fault(fault="two faults at once", step="forward")
def test_submit_that_arrives_after_it_was_resolved_is_refused():
    """Guards against a late submit that runs after its id was reported as absent (G2, G4)."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        entry = cell.other_vm(owner)
        cell.network.faults(entry.name, owner.name).delay = 10 * SECOND
        entry.submit(cell.job(run=15 * SECOND))
        await cell.advance(SECOND / 10)
        cell.network.heal()
        cell.network.reset(owner)
        await cell.advance(20 * SECOND)
        assert len(cell.checker.runs()) == 1

    run_cell(scenario)


@pytest.mark.fault(fault="message late", step="start")
@pytest.mark.fault(fault="two faults at once", step="start")
def test_start_of_a_dead_owner_is_refused_after_the_next_one_has_fenced():
    """Guards against a start that takes effect after the next owner has restarted the job (G2)."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        for worker in cell.worker:
            owner.upstream_faults(worker).starts_delayed_by = 25 * SECOND
        cell.other_vm(owner).submit(cell.job(run=60 * SECOND))
        await cell.advance(SECOND)
        owner.kill()
        await cell.advance(40 * SECOND)
        assert len(cell.checker.runs()) == 1

    run_cell(scenario, capabilities=frozenset({Capability.FENCE, Capability.LABELS}))


@pytest.mark.fault(fault="process paused beyond the lease", step="journal")
@pytest.mark.fault(fault="lease lapses while paused", step="journal")
@pytest.mark.parametrize(
    "capabilities", [frozenset(), frozenset({Capability.LABELS})], ids=["none", "labels"]
)
def test_start_whose_intent_was_recorded_before_a_pause_is_not_sent_after_it(capabilities):
    """Guards against an owner that starts a task after its proof expired during a pause."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        cell.on_step(Step.JOURNAL, lambda vm: vm.pause.pause())
        cell.other_vm(owner).submit(cell.job(idempotent=False))
        await cell.advance(20 * SECOND)
        assert owner.pause.is_paused
        owner.pause.resume()
        await cell.advance(10 * SECOND)
        assert owner.name not in {run.owner for run in cell.checker.runs()}

    run_cell(scenario, capabilities=capabilities)


@pytest.mark.fault(fault="process killed", step="start")
@pytest.mark.fault(fault="process killed", step="recover")
def test_order_of_a_dead_owner_is_not_reported_as_not_run():
    """Guards against a new owner that reports a started order as never received (G4)."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        call = cell.other_vm(owner).submit(cell.job(run=20 * SECOND, idempotent=False))
        await cell.advance(2 * SECOND)
        owner.kill()
        await cell.wait_for_outcome(call)
        await cell.advance(10 * SECOND)
        assert len(cell.checker.runs()) == 1

    run_cell(scenario)
