"""Ends that workers list after their runs have been given up.

A worker is cut off, its run ends, its lease expires, and the task starts again elsewhere; then the
worker is back.
"""

import asyncio
import random
from collections import Counter

import pytest

from hornbeamramp.fleet import RunOutcome
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import ModelCell, job
from tests.model.virtual_time import run_in_virtual_time
from tests.vm.test_guarantees_under_faults import Callers, settle

JOB = "00000000000000b1"
# A task has to start within this time while there is room.
MAX_WAIT_S = 3.0
FIRST_RUN_S, LATER_RUN_S = 5.0, 60.0
# When the worker is cut off, and is back: its lease of 6 s has expired, and its runs began again.
CUT_AT_S, BACK_AT_S = 4.0, 13.0
SECOND = StepSpec(2, 1000, 100, after=(0,), estimate_ms=1000)


class LateEnd:
    """Plays the cut of the first worker that runs a task of the job's first step."""

    def __init__(self, cell, first, queue="batch", outcome=RunOutcome.DONE):
        self.cell = cell
        self.first = first
        self.queue = queue
        self.outcome = outcome
        self.runs = Counter()
        cell.fleet.duration = self.duration
        cell.fleet.fails = self.fails

    def duration(self, task, step):
        if task.split(".")[2] != "0":
            return 1.0
        self.runs[task] += 1
        return FIRST_RUN_S if self.runs[task] == 1 else LATER_RUN_S

    def fails(self, worker, order):
        is_first = order.task.split(".")[2] == "0" and order.run == 1
        return is_first and self.outcome is RunOutcome.FAILED

    async def play(self, before_return=None):
        cell = self.cell
        await cell.wait_for_owner()
        assert not (await cell.submit(JOB, job(self.first, SECOND), self.queue)).refusal
        await asyncio.sleep(CUT_AT_S)
        workers = [w for w in cell.fleet.worker_by_name.values() if w.run_by_task]
        for worker in workers:
            worker.unreachable_from = set(cell.vm_by_name)
        await asyncio.sleep(BACK_AT_S - CUT_AT_S)
        if before_return is not None:
            await before_return()
        for worker in workers:
            worker.unreachable_from = set()

    def starts_of(self, step):
        return [task for _, _, task, _ in self.cell.fleet.starts if task.split(".")[2] == str(step)]


GANG = StepSpec(2, 1000, 100, gang=True, estimate_ms=5000)
SINGLE = StepSpec(1, 1000, 100, estimate_ms=5000)
CHECKPOINTING = StepSpec(1, 1000, 100, checkpointing=True, estimate_ms=5000)


@pytest.mark.parametrize("queue", ["batch", "gate"])
@pytest.mark.parametrize(
    "first", [SINGLE, GANG, CHECKPOINTING], ids=["single", "gang", "checkpointing"]
)
@pytest.mark.parametrize("is_taken_over", [False, True], ids=["same owner", "takeover"])
def test_work_that_was_done_before_its_lease_expired_is_done(queue, first, is_taken_over):
    """Guards against a step that is done and held open by later runs, so that the next one could
    run and doesn't."""

    async def scenario():
        async with ModelCell(vms=3, workers=6) as cell:
            late = LateEnd(cell, first, queue)

            async def take_over():
                await (await cell.wait_for_owner()).kill()
                await cell.wait_for_owner()
                await asyncio.sleep(1)

            await late.play(take_over if is_taken_over else None)
            assert len(late.starts_of(0)) == 2 * first.count
            await asyncio.sleep(MAX_WAIT_S)
            assert len(late.starts_of(1)) == SECOND.count
            await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
            # The later runs are stopped, and nothing starts twice.
            await asyncio.sleep(1)
            assert not any(w.run_by_task for w in cell.fleet.worker_by_name.values())
            assert len(late.starts_of(0)) == 2 * first.count
            assert len(late.starts_of(1)) == SECOND.count
            cell.fleet.check_repeated_starts()
            assert cell.fleet.violations == []

    run_in_virtual_time(scenario())


def test_task_that_waits_to_start_again_is_done_by_the_late_end():
    """Guards against a second run of work that is known to be done, where there was no room for it
    before."""

    async def scenario():
        async with ModelCell(vms=2, workers=1) as cell:
            late = LateEnd(cell, SINGLE)
            await late.play()
            await asyncio.sleep(MAX_WAIT_S)
            assert len(late.starts_of(0)) == 1
            assert len(late.starts_of(1)) == SECOND.count
            await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
            assert cell.fleet.violations == []

    run_in_virtual_time(scenario())


def test_late_failure_is_not_counted():
    """Guards against a job that is shown as failed by an end that a former owner has counted, or
    whose run had counted as lapsed."""

    async def scenario():
        async with ModelCell(vms=2, workers=4) as cell:
            late = LateEnd(cell, SINGLE, outcome=RunOutcome.FAILED)
            await late.play()
            await asyncio.sleep(MAX_WAIT_S)
            owner = (await cell.wait_for_owner()).owner
            unit = owner.job_by_id[JOB].steps_by_occurrence[0][0].units[0]
            assert (unit.failures, unit.run, unit.is_placed) == (0, 2, True)
            assert late.starts_of(1) == []

    run_in_virtual_time(scenario())


def test_checkpoint_in_a_late_end_is_used_by_a_task_that_waits():
    """Guards against work that is done again although its worker had saved it."""

    async def scenario():
        async with ModelCell(vms=2, workers=1) as cell:
            late = LateEnd(cell, CHECKPOINTING)
            cell.fleet.duration = lambda task, step: LATER_RUN_S
            checkpoints = []
            start = cell.fleet.check_start
            cell.fleet.check_start = lambda worker, order, *late: (
                checkpoints.append(order.checkpoint),
                start(worker, order, *late),
            )
            await late.play()
            await asyncio.sleep(MAX_WAIT_S)
            assert checkpoints == ["", f"saved-{JOB}.0.0.0"]

    run_in_virtual_time(scenario())


def test_late_end_of_a_task_that_lasts_changes_nothing():
    """Guards against a task that lasts and counts as done."""

    async def scenario():
        async with ModelCell(vms=2, workers=4) as cell:
            late = LateEnd(cell, StepSpec(1, 1000, 100, long_running=True))
            await late.play()
            await asyncio.sleep(MAX_WAIT_S)
            assert await cell.phase(JOB) is JobPhase.RUNNING
            assert late.starts_of(1) == []
            assert sum(len(w.run_by_task) for w in cell.fleet.worker_by_name.values()) == 1

    run_in_virtual_time(scenario())


# Longer than the time after the faults in which steps may be idle.
SLOW_RUN_S = 25.0


class CutWorkers:
    """Cuts workers off from all VMs, mostly for longer than the leases of their runs."""

    def __init__(self, cell, rng):
        self.cell = cell
        self.rng = rng

    async def run(self):
        for _ in range(4):
            await asyncio.sleep(self.rng.uniform(1.0, 5.0))
            workers = list(self.cell.fleet.worker_by_name.values())
            cut = self.rng.sample(workers, self.rng.randint(2, 6))
            for worker in cut:
                worker.unreachable_from = set(self.cell.vm_by_name)
            await asyncio.sleep(self.rng.uniform(4.0, 11.0))
            for worker in cut:
                worker.unreachable_from = set()
            if self.rng.random() < 0.5:
                await self.cell.restart_vm((await self.cell.wait_for_owner()).name, 1.0)


async def play_cuts(seed):
    rng = random.Random(seed)
    async with ModelCell(vms=3, workers=20, seed=seed) as cell:
        runs = Counter()

        def duration(task, step):
            """Returns the duration of a run; tasks that start again do so on slow workers."""
            runs[task] += 1
            return rng.uniform(1.0, 6.0) if runs[task] == 1 else SLOW_RUN_S

        cell.fleet.duration = duration
        callers = Callers(cell, rng)
        await asyncio.gather(callers.run(), CutWorkers(cell, rng).run())
        await settle(cell, callers)
        cell.fleet.check_repeated_starts()
        # A cut may leave a gang incomplete.
        assert [v for v in cell.fleet.violations if v.rule != "GANG"] == []


@pytest.mark.parametrize("seed", range(6))
def test_no_step_is_idle_after_cuts_that_last_longer_than_leases(seed):
    """Guards against steps that could run and don't, for whatever cause, once all is calm."""
    run_in_virtual_time(play_cuts(seed))
