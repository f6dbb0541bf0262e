"""Random faults at random times; checks the guarantees on what workers and callers observed."""

import asyncio
import random
from datetime import timedelta

import pytest

from hornbeamramp.vm import CancelResult, UnavailableError
from hornbeamramp.workload import TERMINAL_PHASES, JobPhase
from tests.model.cell import REQUEST_TIMEOUT, ModelCell, random_spec
from tests.model.virtual_time import run_in_virtual_time

SEEDS = range(24)
FAULT_TIME_S = 25.0
# A task waits up to 11 s for an unreachable worker; the rest is for running the jobs.
SETTLE_S = 60.0
# From this time after the faults on, no step whose turn has come is idle for longer than that while
# less than half of the room is in use.
FINISH_TIME, MAX_IDLE_TIME = timedelta(seconds=14), timedelta(seconds=3)


class Faults:
    """Applies random faults to a cell for ``FAULT_TIME_S``, and ends each after a random time."""

    def __init__(self, cell, rng):
        self.cell = cell
        self.rng = rng

    async def run(self):
        kinds = [
            self.kill_vm,
            self.kill_owner,
            self.cut_store,
            self.cut_owner_and_revoke,
            self.store_down,
            self.lose_answers,
            self.freeze_owner,
            self.crash_worker,
            self.cut_worker,
            self.delay_orders,
            self.compact_history,
            self.drain_worker,
        ]
        end = self.cell.clock.boot_time() + timedelta(seconds=FAULT_TIME_S)
        async with asyncio.TaskGroup() as group:
            while self.cell.clock.boot_time() < end:
                group.create_task(self.rng.choice(kinds)())
                await asyncio.sleep(self.rng.uniform(0.2, 3.0))

    async def pause(self, longest=6.0):
        await asyncio.sleep(self.rng.uniform(0.1, longest))

    def any_vm(self):
        return self.rng.choice(sorted(self.cell.vm_by_name))

    def owner_name(self):
        owner = self.cell.owner_vm()
        return owner.name if owner is not None else self.any_vm()

    async def kill_vm(self):
        await self.cell.restart_vm(self.any_vm(), self.rng.uniform(0.3, 4.0))

    async def kill_owner(self):
        await self.cell.restart_vm(self.owner_name(), self.rng.uniform(0.3, 4.0))

    async def cut_store(self):
        vm = self.cell.vm_by_name[self.owner_name()]
        vm.store.is_down = True
        await self.pause()
        vm.store.is_down = False

    async def cut_owner_and_revoke(self):
        vm = self.cell.vm_by_name[self.owner_name()]
        vm.store.is_down = True
        self.cell.store.revoke(vm.node.lease.lease_id)
        await self.pause()
        vm.store.is_down = False

    async def store_down(self):
        vms = list(self.cell.vm_by_name.values())
        for vm in vms:
            vm.store.is_down = True
        await self.pause(4.0)
        for vm in vms:
            vm.store.is_down = False

    async def lose_answers(self):
        vms = list(self.cell.vm_by_name.values())
        for vm in vms:
            vm.store.lost_share, vm.store.late_share = 0.3, 0.1
        await self.pause()
        for vm in vms:
            vm.store.lost_share = vm.store.late_share = 0.0

    async def freeze_owner(self):
        """Delays all messages of the owner to workers, some of them after its last check of the
        lease."""
        vm = self.cell.vm_by_name[self.owner_name()]
        if vm.workers.frozen is None:
            vm.workers.frozen = asyncio.Event()
            vm.store.is_down = True
            await self.pause()
            vm.store.is_down = False
            thaw_event, vm.workers.frozen = vm.workers.frozen, None
            thaw_event.set()

    async def crash_worker(self):
        worker = self.rng.choice(list(self.cell.fleet.worker_by_name.values()))
        if worker.is_up:
            worker.crash()
            await self.pause()
            worker.reboot()
            self.cell.list_worker(worker.name)

    async def cut_worker(self):
        worker = self.rng.choice(list(self.cell.fleet.worker_by_name.values()))
        disconnected_vms = (
            set(self.cell.vm_by_name) if self.rng.random() < 0.5 else {self.owner_name()}
        )
        worker.unreachable_from |= disconnected_vms
        await self.pause(9.0)
        worker.unreachable_from -= disconnected_vms

    async def delay_orders(self):
        vms = list(self.cell.vm_by_name.values())
        for vm in vms:
            vm.workers.late_share = 0.2
        await self.pause()
        for vm in vms:
            vm.workers.late_share = 0.0

    async def compact_history(self):
        self.cell.store.compact_history()

    async def drain_worker(self):
        name = self.rng.choice(sorted(self.cell.fleet.worker_by_name))
        self.cell.list_worker(name, draining=True)
        await self.pause(3.0)
        self.cell.list_worker(name)


class Callers:
    """Submits jobs until the faults end, retries those without a definite answer, cancels some."""

    def __init__(self, cell, rng):
        self.cell = cell
        self.rng = rng
        self.accepted = set()
        self.cancelled = set()

    async def run(self):
        end = self.cell.clock.boot_time() + timedelta(seconds=FAULT_TIME_S)
        number = 0
        async with asyncio.TaskGroup() as group:
            while self.cell.clock.boot_time() < end:
                number += 1
                group.create_task(self.call(f"{number:016x}", random_spec(self.rng)))
                await asyncio.sleep(self.rng.uniform(0.1, 0.6))

    async def call(self, job_id, spec):
        queue = self.rng.choice(["gate", "batch", "render"])
        replies = []
        for _ in range(self.rng.randint(1, 4)):
            vm = self.rng.choice(list(self.cell.vm_by_name.values()))
            reply = await self.cell.submit(job_id, spec, queue, vm)
            replies.append(reply)
            if reply is not None and not reply.refusal:
                self.accepted.add(job_id)
                break
            await asyncio.sleep(0.3)
        if all(reply is not None and reply.refusal for reply in replies):
            self.cell.fleet.refused.add(job_id)
        elif job_id in self.accepted and self.rng.random() < 0.1:
            await self.cancel(job_id, queue)

    async def cancel(self, job_id, queue):
        vm = self.rng.choice(list(self.cell.vm_by_name.values()))
        # Without a definite answer the cancellation may have taken effect.
        self.cancelled.add(job_id)
        try:
            outcome = await vm.service.cancel(self.cell.queues[queue], job_id, REQUEST_TIMEOUT)
        except UnavailableError:
            return
        assert outcome is CancelResult.CANCELLED, f"{job_id} was accepted but is unknown"
        now = self.cell.clock.boot_time().total_seconds()
        self.cell.fleet.cancelled_at[job_id] = now


async def run_seed(seed):
    rng = random.Random(seed)
    async with ModelCell(vms=3, workers=5, granted=0.7, seed=seed) as cell:
        cell.fleet.fails = lambda worker, order: random.Random(order.task).random() < 0.03
        callers, faults = Callers(cell, rng), Faults(cell, rng)
        await asyncio.gather(callers.run(), faults.run())
        await cell.wait_for_owner()
        await settle(cell, callers)
        cell.fleet.check_repeated_starts()
        # The rule for gangs applies only without faults: lost orders may leave a gang incomplete.
        assert [v for v in cell.fleet.violations if v.rule != "GANG"] == []
        return len(callers.accepted), len(cell.fleet.starts)


async def settle(cell, callers):
    """Waits until every accepted job has ended, and checks its final phase."""
    open_jobs = set(callers.accepted)
    began = cell.clock.boot_time()
    idle_since = {}
    while open_jobs and cell.clock.boot_time() < began + timedelta(seconds=SETTLE_S):
        now = cell.clock.boot_time()
        if now >= began + FINISH_TIME:
            has_room = cell.fleet.share_in_use() < 0.5
            idle = cell.fleet.idle_steps(open_jobs - callers.cancelled) if has_room else ()
            idle_since = {step: idle_since.get(step, now) for step in idle}
            late = sorted(step for step, since in idle_since.items() if now - since > MAX_IDLE_TIME)
            assert not late, f"could run and don't: {late}"
        for job_id in sorted(open_jobs):
            try:
                phase = await cell.phase(job_id)
            except UnavailableError:
                # The store may only just be available again; the loop retries.
                continue
            assert phase is not None, f"{job_id} was accepted but is unknown"
            if phase in TERMINAL_PHASES:
                open_jobs.discard(job_id)
                check_end(cell, callers, job_id, phase)
        await asyncio.sleep(0.5)
    assert not open_jobs, f"accepted, but not ended: {sorted(open_jobs)}"


def check_end(cell, callers, job_id, phase):
    spec = cell.fleet.spec_by_job[job_id]
    names = [
        f"{job_id}.0.{number}.{index}"
        for number, step in enumerate(spec.steps)
        for index in range(step.count)
    ]
    if phase is JobPhase.COMPLETED:
        # The end of one member of a gang shows that all have ended.
        combine = any if spec.steps[0].gang else all
        assert combine(name in cell.fleet.done for name in names), f"{job_id}: tasks not done"
    elif phase is JobPhase.FAILED:
        max_attempts = cell.fleet.max_attempts
        assert any(cell.fleet.failed_by_task.get(name, 0) >= max_attempts for name in names)
    else:
        assert job_id in callers.cancelled or job_id not in callers.accepted


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_random_faults(seed):
    accepted, starts = run_in_virtual_time(run_seed(seed))
    assert accepted > 5
    assert starts > 5
