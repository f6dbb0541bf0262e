"""One unexpected error or malformed record, and the parts of a VM that must go on after it.

Each of these ended a background loop for the rest of the process's life, or kept a pool without an
owner, while the VM went on renewing its lease.
"""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.statestore import progress_key
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import POOL, job
from tests.vm.test_cell import in_cell

SECOND = timedelta(seconds=1)
LONG = job(StepSpec(1, 1000, 100, estimate_ms=3000))


def fail_once(target, name):
    """Makes the next call of a method raise an error that the code does not expect."""
    method = getattr(target, name)

    def fail(*arguments, **keywords):
        setattr(target, name, method)
        raise TypeError("unexpected")

    setattr(target, name, fail)


@pytest.mark.parametrize("method", ["_check_jobs", "_apply"], ids=["checks", "run list"])
def test_jobs_complete_after_one_unexpected_error_of_the_owner(method):
    async def scenario(cell):
        vm = await cell.wait_for_owner()
        await cell.submit("a" * 16, LONG)
        if method == "_apply":
            for session in vm.owner.session_by_worker.values():
                fail_once(session, method)
        else:
            fail_once(vm.owner, method)
        await asyncio.sleep(1)
        await cell.submit("b" * 16, job())
        for name in ("a" * 16, "b" * 16):
            await cell.wait_for_phase(name, JobPhase.COMPLETED)
        assert len(cell.fleet.starts) == 2

    in_cell(scenario)


@pytest.mark.parametrize("part", ["start", "advice", "renewal", "record", "stop", "list"])
def test_tasks_end_after_one_unexpected_error_of_a_launch_or_a_stop(part):
    """Guards against one error that leaves a run reserved, ordered or to be stopped for good: its
    capacity was never free again, and its task never started."""

    async def scenario(cell):
        vm = await cell.wait_for_owner()
        launcher = vm.owner._launcher
        if part in ("stop", "list"):
            await cell.submit("a" * 16, job(StepSpec(1, 1000, 100, estimate_ms=60_000)))
            await asyncio.sleep(0.5)
            fail_once(vm.workers, "stop")
            if part == "list":
                vm.workers.late_share = 1.0
            await vm.service.cancel(cell.queues["batch"], "a" * 16, SECOND)
            await asyncio.sleep(0.5)
            vm.workers.late_share = 0.0
        else:
            target, method = {
                "start": (vm.workers, "start"),
                "advice": (launcher._advice, "ask"),
                "renewal": (launcher, "_ask_all"),
                "record": (launcher._journal, "wait_recorded"),
            }[part]
            fail_once(target, method)
            await cell.submit("a" * 16, job(), queue_name="gate")
            await cell.wait_for_phase("a" * 16, JobPhase.COMPLETED)
        await asyncio.sleep(3)
        sessions = vm.owner.session_by_worker.values()
        assert all(session.used == [0, 0, 0] for session in sessions)

    in_cell(scenario)


def test_pool_has_an_owner_again_after_an_unexpected_error_of_a_commit():
    async def scenario(cell):
        vm = await cell.wait_for_owner()
        fail_once(vm.owner._claim, "commit")
        await cell.submit("a" * 16, job())
        await cell.submit("a" * 16, job())
        await cell.wait_for_phase("a" * 16, JobPhase.COMPLETED)

    in_cell(scenario)


@pytest.mark.parametrize("method", ["_register", "_claim_if_unowned"])
def test_vm_claims_pools_after_an_unexpected_error_in_its_claim_loop(method):
    async def scenario(cell):
        [vm] = cell.vm_by_name.values()
        await cell.wait_for_owner()
        fail_once(vm.node, method)
        await asyncio.sleep(1)
        vm.owner.mark_lost("test")
        await asyncio.sleep(1)
        await cell.wait_for_owner(timeout_s=3)

    in_cell(scenario, vms=1)


def test_configuration_is_applied_although_its_first_application_failed():
    """Guards against a version that is never in force on a VM whose watch has passed it."""

    async def scenario(cell):
        for vm in cell.vm_by_name.values():
            fail_once(vm.node.adapter, "decode_config")
        cell.configure()
        await asyncio.sleep(3)
        assert {vm.node.config.version for vm in cell.vm_by_name.values()} == {cell.version}

    in_cell(scenario)


def test_new_worker_is_used_although_the_application_of_the_list_failed():
    async def scenario(cell):
        vm = await cell.wait_for_owner()
        fail_once(vm.owner, "set_workers")
        cell.add_worker("w9")
        await asyncio.sleep(3)
        assert "w9" in vm.owner.session_by_worker

    in_cell(scenario)


def test_lease_is_renewed_after_an_unexpected_error():
    async def scenario(cell):
        [vm] = cell.vm_by_name.values()
        await cell.wait_for_owner()
        token = vm.owner.token
        fail_once(vm.store, "renew_lease")
        await asyncio.sleep(3)
        assert vm.owner is not None and vm.owner.token == token

    in_cell(scenario, vms=1)


def test_undecodable_record_of_one_job_does_not_keep_a_successor_from_taking_the_pool():
    """Guards against one malformed record that leaves a pool without an owner. The job is not run
    again, as its progress is not known."""

    async def scenario(cell):
        for name in ("a" * 16, "b" * 16):
            await cell.submit(name, LONG)
        await asyncio.sleep(0.5)
        cell.store.put(progress_key(POOL, "a" * 16), b"\xc1 not msgpack")
        vm = await cell.wait_for_owner()
        await vm.kill()
        successor = await cell.wait_for_owner(timeout_s=5)
        await cell.wait_for_phase("b" * 16, JobPhase.COMPLETED, vm=successor)
        runs = [run for _, _, task, run in cell.fleet.starts if task.startswith("a" * 16)]
        assert runs == [1]

    in_cell(scenario)


def test_session_of_a_worker_goes_on_after_an_unexpected_error():
    """Guards against runs that lapse on a sound worker whose session has ended."""

    async def scenario(cell):
        vm = await cell.wait_for_owner()
        lasting = job(StepSpec(1, 1000, 100, long_running=True, estimate_ms=1000))
        await cell.submit("a" * 16, lasting)
        await asyncio.sleep(1)
        for session in vm.owner.session_by_worker.values():
            fail_once(session, "_hold_once")
        await asyncio.sleep(12)
        [(_, worker, task, run)] = cell.fleet.starts
        assert cell.fleet.worker_by_name[worker].run_by_task[task].order.run == run

    in_cell(scenario)
