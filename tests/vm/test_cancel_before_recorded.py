"""Requests about a job that waits to be recorded, as the answer to an earlier commit is missing."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.ids import JobId, RouteName
from hornbeamramp.vm import CancelResult, UnavailableError
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import REQUEST_TIMEOUT, ModelCell, job
from tests.model.virtual_time import run_in_virtual_time
from tests.vm.test_queue_moves import NEW_POOL, POOL, MovingCell

BATCH = RouteName("batch")
EARLIER, JOB = "a" * 16, "b" * 16
SPEC = job(StepSpec(2, 1000, 100), StepSpec(2, 1000, 100, after=(0,)))
# A client that gives up after half of its time.
SHORT_WAIT = timedelta(milliseconds=125)
# The platform's bound on starts after the acknowledgement of a cancellation.
CANCEL_S = 3.0
# How long a POST may be held up by a paused VM.
HELD_UP_S = 7.0
# Cancelled jobs are kept for the time of state queries and a margin.
KEPT_S = 151.0
VMS = pytest.mark.parametrize("vm_name", ["vm0", "vm1", "vm2"])


def in_cell(scenario, cell_type=ModelCell):
    async def run():
        async with cell_type() as cell:
            await scenario(cell)
            assert cell.fleet.violations == []

    run_in_virtual_time(run())


async def leave_unrecorded(cell, vm, delay_s=0.06):
    """Submits a job that waits behind one whose commit gets no answer; its client gives up."""
    owner = next(v for v in cell.vm_by_name.values() if v.owner_of(POOL))
    owner.store.lost_share = 1.0
    cell.fleet.spec_by_job[JobId(JOB)] = SPEC
    cell.queue_by_job[JobId(JOB)] = BATCH
    earlier = asyncio.create_task(cell.submit(EARLIER, SPEC, vm=owner))
    await asyncio.sleep(delay_s)
    with pytest.raises(UnavailableError) as error:
        await vm.service.submit(cell.queues[BATCH], JobId(JOB), SPEC, SHORT_WAIT)
    assert error.value.may_have_run
    return owner, earlier


def starts_of(cell, job_id):
    return [start for start in cell.fleet.starts if start[2].startswith(job_id)]


async def cancel(cell, vm, max_wait=REQUEST_TIMEOUT):
    return await vm.service.cancel(cell.queues[BATCH], JobId(JOB), max_wait)


async def cancel_until_answered(cell, vm):
    while True:
        try:
            return await cancel(cell, vm)
        except UnavailableError:
            await asyncio.sleep(0.1)


async def check_not_run_after(cell, acknowledged_at):
    await asyncio.sleep(20)
    late = [s for s in starts_of(cell, JOB) if s[0] > acknowledged_at + CANCEL_S]
    assert late == []


@VMS
@pytest.mark.parametrize("delay_s", [0.0, 0.06])
def test_cancelled_job_that_waits_to_be_recorded_never_starts(vm_name, delay_s):
    """Guards against a 410 for the cancellation of a job that is recorded and run afterwards."""

    async def scenario(cell):
        vm = cell.vm_by_name[vm_name]
        owner, earlier = await leave_unrecorded(cell, vm, delay_s)
        canceller = cell.vm_by_name["vm2"]
        cancellation = asyncio.create_task(cancel(cell, canceller))
        await asyncio.sleep(0.3)
        owner.store.lost_share = 0.0
        assert await cancellation is CancelResult.CANCELLED
        cell.fleet.cancelled_at[JobId(JOB)] = cell.clock.boot_time().total_seconds()
        assert starts_of(cell, JOB) == []
        assert not (await earlier).refusal
        await check_not_run_after(cell, 0)
        assert await cell.phase(JOB) is JobPhase.CANCELLED
        assert await cell.phase(EARLIER) is JobPhase.COMPLETED
        # It remains one job if it is sent again.
        assert not (await cell.submit(JOB, SPEC)).refusal
        await check_not_run_after(cell, 0)

    in_cell(scenario)


def test_cancellation_without_an_answer_in_time_is_not_answered_as_absent():
    """Guards against a 410 for a client that waits for less time than the commit takes."""

    async def scenario(cell):
        owner, _ = await leave_unrecorded(cell, cell.vm_by_name["vm1"])
        for vm in cell.vm_by_name.values():
            with pytest.raises(UnavailableError):
                await cancel(cell, vm, SHORT_WAIT)
        owner.store.lost_share = 0.0
        assert await cancel(cell, vm) is CancelResult.CANCELLED
        await check_not_run_after(cell, 0)

    in_cell(scenario)


@VMS
def test_job_that_waits_to_be_recorded_is_not_unknown(vm_name):
    """Guards against a 410 for the state of a job that is recorded and run afterwards."""

    async def scenario(cell):
        owner, _ = await leave_unrecorded(cell, cell.vm_by_name["vm1"])
        vm = cell.vm_by_name[vm_name]
        with pytest.raises(UnavailableError):
            await vm.service.phase(cell.queues[BATCH], JobId(JOB), SHORT_WAIT)
        owner.store.lost_share = 0.0
        assert await cell.phase(JOB, vm) is not None
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)

    in_cell(scenario)


@VMS
def test_answer_for_a_job_of_an_owner_that_died_before_it_was_recorded_stays_true(vm_name):
    """Guards against a commit of the dead owner that takes effect after a 410."""

    async def scenario(cell):
        owner, _ = await leave_unrecorded(cell, cell.vm_by_name["vm1"])
        owner.store.late_share = 1.0
        await asyncio.sleep(0.5)
        await cell.restart_vm(owner.name, 0.3)
        vm = cell.vm_by_name[vm_name]
        outcome = await cancel_until_answered(cell, vm)
        await check_not_run_after(cell, cell.clock.boot_time().total_seconds() - CANCEL_S)
        expected = None if outcome is CancelResult.ABSENT else JobPhase.CANCELLED
        assert await cell.phase(JOB) is expected

    in_cell(scenario)


@VMS
@pytest.mark.parametrize("wait_s", [0.0, 0.4])
def test_answer_for_a_job_of_an_owner_that_is_stopped_stays_true(vm_name, wait_s):
    """Guards against a 410 for a job that the owner records while it shuts down."""

    async def scenario(cell):
        owner, _ = await leave_unrecorded(cell, cell.vm_by_name["vm1"])
        release = asyncio.create_task(owner.node.release())
        await asyncio.sleep(wait_s)
        owner.store.lost_share = 0.0
        vm = cell.vm_by_name[vm_name]
        outcome = await cancel_until_answered(cell, vm)
        answered_at = cell.clock.boot_time().total_seconds()
        await release
        await check_not_run_after(cell, answered_at - CANCEL_S)
        expected = None if outcome is CancelResult.ABSENT else JobPhase.CANCELLED
        assert await cell.phase(JOB, vm) is expected

    in_cell(scenario)


@VMS
def test_job_that_waits_to_be_recorded_in_a_former_pool_is_cancelled_there(vm_name):
    """Guards against a 410 by the owner of the new pool after the queue has moved."""

    async def scenario(cell):
        owner, _ = await leave_unrecorded(cell, cell.vm_by_name["vm1"])
        cell.move(NEW_POOL)
        await asyncio.sleep(0.2)
        vm = cell.vm_by_name[vm_name]
        with pytest.raises(UnavailableError):
            await cancel(cell, vm, SHORT_WAIT)
        with pytest.raises(UnavailableError):
            await vm.service.phase(cell.queues[BATCH], JobId(JOB), SHORT_WAIT)
        owner.store.lost_share = 0.0
        outcome = await cancel_until_answered(cell, vm)
        assert outcome is CancelResult.CANCELLED
        await check_not_run_after(cell, 0)

    in_cell(scenario, MovingCell)


@VMS
@pytest.mark.parametrize("disruption", ["none", "owner killed", "power lost", "queue moved"])
def test_submission_that_arrives_after_its_cancellation_is_refused(vm_name, disruption):
    """Guards against a job that runs after a 410, as a VM was paused with its POST meanwhile."""

    async def scenario(cell):
        cell.fleet.spec_by_job[JobId(JOB)] = SPEC
        cell.queue_by_job[JobId(JOB)] = BATCH
        assert await cancel(cell, cell.vm_by_name["vm1"]) is CancelResult.ABSENT
        if disruption == "owner killed":
            await cell.restart_vm(cell.owner_vm().name, 0.3)
        elif disruption == "power lost":
            names = list(cell.vm_by_name)
            await asyncio.gather(*(cell.restart_vm(name, 0.3) for name in names))
        elif disruption == "queue moved":
            cell.move(NEW_POOL)
        await asyncio.sleep(HELD_UP_S)
        reply = await cell.submit(JOB, SPEC, vm=cell.vm_by_name[vm_name])
        assert reply.refusal
        assert reply.retry_after > timedelta(0)
        await check_not_run_after(cell, 0)
        assert await cell.phase(JOB) is None
        await asyncio.sleep(KEPT_S)
        assert not any("refused" in key for key in cell.store.item_by_key)
        assert not (await cell.submit(JOB, SPEC)).refusal

    in_cell(scenario, MovingCell)


def test_cancellation_of_an_unknown_job_is_answered_once_it_is_recorded():
    """Guards against a 410 that the next owner does not know of."""

    async def scenario(cell):
        owner = cell.owner_vm()
        owner.store.is_down = True
        with pytest.raises(UnavailableError):
            await cancel(cell, owner, SHORT_WAIT)
        # Another try while the first one's record waits for its commit.
        with pytest.raises(UnavailableError):
            await cancel(cell, cell.vm_by_name["vm1"], SHORT_WAIT)
        owner.store.is_down = False
        assert await cancel(cell, cell.vm_by_name["vm1"]) is CancelResult.ABSENT
        assert any(JOB in key for key in cell.store.item_by_key)

    in_cell(scenario)


def test_job_that_is_cancelled_again_after_its_refusal_has_ended_stays_refused():
    """Guards against a commit that writes and deletes the same key."""

    async def scenario(cell):
        cell.fleet.spec_by_job[JobId(JOB)] = SPEC
        cell.queue_by_job[JobId(JOB)] = BATCH
        vm = cell.vm_by_name["vm1"]
        assert await cancel(cell, vm) is CancelResult.ABSENT
        for _ in range(40):
            await asyncio.sleep(KEPT_S / 20 + 0.07)
            assert await cancel(cell, vm) is CancelResult.ABSENT
            assert (await cell.submit(JOB, SPEC)).refusal

    in_cell(scenario)
