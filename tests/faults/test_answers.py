"""Answers that belong to another request or are truncated."""

import pytest

from hornbeamramp.jobs import Completed
from tests.support.cell import SECOND, run_cell


def corrupt_answers(cell, vm) -> None:
    for worker in cell.worker:
        vm.upstream_faults(worker).crossed_answers = 2
        vm.upstream_faults(worker).truncated_answers = 2


@pytest.mark.fault(fault="answer crossed or cut short", step="answer")
def test_wrong_answers_are_discarded_and_asked_for_again():
    """Guards against a caller that gets another caller's answer, or a truncated one (G3)."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        corrupt_answers(cell, owner)
        calls = [cell.other_vm(owner).submit(cell.job()) for _ in range(4)]
        await cell.advance(10 * SECOND)
        assert all(isinstance(call.outcome, Completed) for call in calls)
        assert len(cell.checker.runs()) == 4

    run_cell(scenario)


@pytest.mark.fault(fault="answer crossed or cut short", step="drain")
@pytest.mark.fault(fault="answer crossed or cut short", step="recover")
def test_wrong_answers_of_adopted_tasks_are_discarded():
    """Guards against a new owner that accepts a wrong answer for a task it adopted (G3)."""

    async def scenario(cell):
        owner = cell.owner_in("gebze")
        other = cell.other_vm(owner)
        calls = [other.submit(cell.job(run=5 * SECOND)) for _ in range(3)]
        await cell.advance(SECOND)
        corrupt_answers(cell, other)
        owner.stop()
        await cell.advance(20 * SECOND)
        assert all(isinstance(call.outcome, Completed) for call in calls)
        runs = cell.checker.runs()
        assert len(runs) == 3 and {run.owner for run in runs} == {owner.name}

    run_cell(scenario)
