"""The checker detects a violation of each guarantee, and the simulated cell is deterministic."""

from datetime import timedelta

import pytest

from hornbeamramp.ids import AttemptId, Epoch, JobId, ShardId, VmId
from hornbeamramp.jobs import Completed, NotRun, TaskResult
from hornbeamramp.states import RefusalReason
from hornbeamramp.upstreams import StartRequest, TaskLabels
from tests.faults.test_matrix import submit_mixed
from tests.support.cell import SECOND, run_cell


def start_directly(cell, worker: str, job, number: int = 1) -> None:
    """Starts a task at a worker directly, bypassing the scheduler."""
    labels = TaskLabels(JobId("rogue"), ShardId("weigh@gebze"), VmId("rogue"), Epoch(99))
    attempt = AttemptId(f"rogue-{job.payload.decode()}.0.99.{number}")
    lease = 60 * SECOND
    cell.worker[worker].start(
        StartRequest(attempt, job.payload, job.resources, lease, SECOND, lease, labels)
    )


def overbook(cell) -> None:
    for _ in range(5):
        start_directly(cell, "gebze-w0", cell.job())


def run_twice_at_once(cell) -> None:
    job = cell.job()
    start_directly(cell, "gebze-w0", job)
    start_directly(cell, "tuzla-w0", job, number=2)


def return_wrong_answer(cell) -> None:
    call = cell.vm["gebze-0"].submit(cell.job())
    wrong = TaskResult(AttemptId("a.0.1.1"), "gebze-w0", b"other", 5, "")
    call.outcomes.append(Completed(JobId("a"), [wrong], "gebze"))


def run_after_refusal(cell) -> None:
    call = cell.vm["gebze-0"].submit(cell.job())
    call.outcomes.append(NotRun(JobId("a"), RefusalReason.OVERLOAD, ""))
    start_directly(cell, "gebze-w0", call.job)


async def repeat_order(cell) -> None:
    call = cell.vm["gebze-0"].submit(cell.job(idempotent=False))
    await cell.advance(3 * SECOND)
    start_directly(cell, "gebze-w0", call.job, number=2)


async def start_on_leaving(cell) -> None:
    cell.list_as_leaving("gebze-w0")
    await cell.advance(6 * SECOND)
    start_directly(cell, "gebze-w0", cell.job())


async def cut_off_at_shutdown(cell) -> None:
    vm = cell.vm["gebze-0"]
    call = vm.submit(cell.job(run=30 * SECOND))
    vm.stop()
    await cell.advance(3 * SECOND)
    call.lost = True


async def accept_without_effect(cell) -> None:
    cell.checker.record_accepted(1000)
    await cell.clock.advance(19 * SECOND)


@pytest.mark.parametrize(
    ("guarantee", "violate"),
    [
        ("G1", overbook),
        ("G2", run_twice_at_once),
        ("G3", return_wrong_answer),
        ("G4", run_after_refusal),
        ("G5", repeat_order),
        ("G6", start_on_leaving),
        ("G7", cut_off_at_shutdown),
        ("G8", accept_without_effect),
    ],
)
def test_checker_notices_a_violation(guarantee, violate):
    """Guards against a checker that doesn't detect a broken guarantee."""

    async def scenario(cell):
        done = violate(cell)
        if done is not None:
            await done
        with pytest.raises(AssertionError, match=f"^{guarantee}: "):
            cell.checker.check()

    run_cell(scenario)


def test_same_seed_gives_the_same_run():
    """Guards against a failure that can't be reproduced from its seed."""

    async def scenario(cell):
        for sender in cell.vm:
            for receiver in cell.vm:
                cell.network.faults(sender, receiver).jitter = timedelta(milliseconds=300)
        submit_mixed(cell, cell.vm["gebze-0"])
        await cell.advance(5 * SECOND)
        cell.owner_in("gebze").kill()
        await cell.advance(20 * SECOND)
        return [run.__dict__ for run in cell.checker.runs()]

    assert run_cell(scenario, seed=7) == run_cell(scenario, seed=7)
