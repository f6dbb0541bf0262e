"""Gangs that prefer one rack, in a pool where none can take them.

A worker takes two members, and a rack has two workers.
"""

import asyncio
from collections import Counter
from datetime import timedelta

import pytest

from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import ModelCell, job
from tests.model.virtual_time import run_in_virtual_time

GANG, OTHER = "00000000000000a1", "00000000000000a2"
# A task has to start within this time while there is room.
MAX_WAIT_S = 3.0


def same_rack(count, **fields):
    return StepSpec(count, 4000, 100, gang=True, same_rack=True, estimate_ms=1000, **fields)


def racks_of(cell, job_id):
    """Returns the numbers of members of a job's gang by rack."""
    return Counter(
        int(worker.name[1:]) // 2
        for worker in cell.fleet.worker_by_name.values()
        for task in worker.run_by_task
        if task.startswith(job_id)
    )


async def start_gang(cell, spec, queue="batch"):
    """Submits a job and returns its members by rack once it may have waited long enough."""
    assert not (await cell.submit(GANG, spec, queue)).refusal
    await asyncio.sleep(MAX_WAIT_S)
    return racks_of(cell, GANG)


@pytest.mark.parametrize("queue", ["batch", "gate", "render"])
@pytest.mark.parametrize("long_running", [False, True], ids=["ends", "lasts"])
def test_gang_runs_after_the_loss_of_a_worker_that_its_rack_needs(queue, long_running):
    """Guards against a gang that never runs, as no rack can hold all of it (review/15)."""

    async def scenario():
        async with ModelCell(vms=2, workers=4) as cell:
            await cell.wait_for_owner()
            cell.fleet.worker_by_name["w0"].crash()
            cell.store.remove("servers/w0")
            cell.fleet.worker_by_name["w2"].crash()
            cell.store.remove("servers/w2")
            await asyncio.sleep(8)
            cell.fleet.duration = lambda task, step: 20.0
            racks = await start_gang(cell, job(same_rack(4, long_running=long_running)), queue)
            assert racks == {0: 2, 1: 2}

    run_in_virtual_time(scenario())


def test_gang_larger_than_any_rack_runs():
    """Guards against a gang that waits for a rack that there never was."""

    async def scenario():
        async with ModelCell(vms=2, workers=6) as cell:
            await cell.wait_for_owner()
            cell.fleet.duration = lambda task, step: 20.0
            racks = await start_gang(cell, job(same_rack(6)))
            assert sorted(racks.values()) == [2, 4]

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("others_estimate_ms", [1000, 60_000], ids=["underestimated", "long"])
def test_gang_does_not_wait_for_racks_that_stay_occupied(others_estimate_ms):
    """Guards against a wait without end for racks that are each half occupied, also where the end
    of the work there was expected soon."""

    async def scenario():
        async with ModelCell(vms=2, workers=6) as cell:
            await cell.wait_for_owner()
            cell.fleet.duration = lambda task, step: 60.0
            fields = {"estimate_ms": others_estimate_ms}
            busy = [StepSpec(1, 8000, 100, required_label=f"rack{n}", **fields) for n in range(3)]
            await cell.submit(OTHER, job(*busy), "batch")
            await asyncio.sleep(1)
            assert racks_of(cell, OTHER) == {0: 1, 1: 1, 2: 1}
            racks = await start_gang(cell, job(same_rack(4)))
            assert sorted(racks.values()) == [2, 2]

    run_in_virtual_time(scenario())


def test_refused_starts_do_not_begin_the_wait_for_a_rack_anew():
    """Guards against a gang that waits for a rack again each time that a start on several fails."""

    async def scenario():
        async with ModelCell(vms=2, workers=4) as cell:
            await cell.wait_for_owner()
            is_valid = cell.fleet.ticket_valid
            refused = []

            def refuse_twice(task, worker, ticket):
                if len(refused) < 6:
                    refused.append(task)
                    return False
                return is_valid(task, worker, ticket)

            cell.fleet.ticket_valid = refuse_twice
            cell.fleet.duration = lambda task, step: 20.0
            racks = await start_gang(cell, job(same_rack(6)), "gate")
            assert sum(racks.values()) == 6
            step = (await cell.wait_for_owner()).owner.job_by_id[GANG].steps_by_occurrence[0][0]
            assert len(refused) == 6 and step.units[0].run > 1
            assert cell.clock.boot_time() - step.rack_wait.queued_at > timedelta(seconds=2.9)

    run_in_virtual_time(scenario())


def test_gang_waits_for_a_rack_that_is_free_soon():
    """Guards against a gang that takes the longer work for want of a moment's patience."""

    async def scenario():
        async with ModelCell(vms=2, workers=4) as cell:
            await cell.wait_for_owner()
            cell.fleet.duration = lambda task, step: 1.0 if step.count == 2 else 20.0
            busy = StepSpec(2, 5000, 100, gang=True, same_rack=False, estimate_ms=1000)
            await cell.submit(OTHER, job(busy), "batch")
            await asyncio.sleep(0.3)
            racks = await start_gang(cell, job(same_rack(3)))
            assert sorted(racks.values()) == [3]

    run_in_virtual_time(scenario())


def test_spread_gang_goes_on_after_a_takeover():
    """Guards against a successor that takes a gang on several racks for broken, or waits for a rack
    for one that has yet to start."""

    async def scenario():
        async with ModelCell(vms=3, workers=6) as cell:
            await cell.wait_for_owner()
            cell.fleet.duration = lambda task, step: 12.0
            racks = await start_gang(cell, job(same_rack(6)))
            assert sum(racks.values()) == 6
            await (await cell.wait_for_owner()).kill()
            await cell.wait_for_phase(GANG, JobPhase.COMPLETED)
            starts = [task for _, _, task, _ in cell.fleet.starts]
            assert len(starts) == 6
            assert cell.fleet.violations == []

    run_in_virtual_time(scenario())
