"""Random faults while workers restart within seconds and answers overtake one another.

Guards against a task that runs on two workers at once: an answer that is read late says nothing
about orders that took effect after it was written. ``python -m tests.vm.test_delayed_answers
[--seeds N] [--first SEED]`` plays other seeds.
"""

import asyncio
import random
import sys

import pytest
from cyclopts import App

from hornbeamramp.workload import StepSpec
from tests.model.cell import ModelCell, job, random_spec
from tests.model.virtual_time import run_in_virtual_time
from tests.vm.test_guarantees_under_faults import Callers, Faults, settle

SEEDS = (*range(24), 1051, 2059, 3033)
PLAY_TIME_S = 18.0
# With the short one, many orders arrive between the writing and the reading of a run list. With the
# long one, connections are opened after a restart that began after their orders were given.
MAX_ORDER_DELAYS_S = (0.05, 0.25)
# Longer than the time limit of a call (0.3 s), so that some answers are too late to be read.
MAX_ANSWER_DELAY_S = 0.32
# Each of them failed before starts went only to boots that are known.
CUT_SEEDS = (5, 8, 106, 116, 121, 130, 134)
# Between the lease that an owner orders (6 s) and the longest one that a worker grants (10 s), so
# that a run with the longer one goes on for some time after the other is over.
MIN_CUT_S, MAX_CUT_S = 6.5, 9.5
# Time after a restart within which the first start is waited for.
FIRST_START_LIMIT_MS = 500

app = App(help="Delayed answers beside random faults in virtual time.")


class DelayedCell(ModelCell):
    """A cell in which orders to workers and their answers are delayed."""

    async def start_vm(self, name):
        vm = await super().start_vm(name)
        vm.workers.max_order_delay_s = MAX_ORDER_DELAYS_S[self.seed % 2]
        vm.workers.max_answer_delay_s = MAX_ANSWER_DELAY_S
        return vm


class RestartFaults(Faults):
    """Restarts workers under their id all the time, beside the other faults."""

    async def run(self):
        kinds = [
            self.kill_vm,
            self.kill_owner,
            self.lose_answers,
            self.freeze_owner,
            self.cut_worker,
            self.delay_orders,
            self.drain_worker,
        ]
        restarts = [asyncio.create_task(self.restart_workers()) for _ in range(2)]
        end = self.cell.clock.boot_time().total_seconds() + PLAY_TIME_S
        async with asyncio.TaskGroup() as group:
            while self.cell.clock.boot_time().total_seconds() < end:
                group.create_task(self.rng.choice(kinds)())
                await asyncio.sleep(self.rng.uniform(1.0, 6.0))
        for task in restarts:
            task.cancel()
        await asyncio.gather(*restarts, return_exceptions=True)

    async def restart_workers(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            workers = [w for w in self.cell.fleet.worker_by_name.values() if w.is_up]
            if workers:
                restart = self.rng.choice((self.restart, self.restart, self.change_address))
                await restart(self.rng.choice(workers))

    async def restart(self, worker):
        """Restarts a worker up to three times. It is listed again some time after each."""
        for _ in range(self.rng.randint(1, 3)):
            if not worker.is_up:
                return
            await self.crash_and_reboot(worker)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def change_address(self, worker):
        """Another worker answers at a worker's address until that one is back there, or at a new
        address that its new entry in the list names."""
        fleet = self.cell.fleet
        former = worker.address
        other = self.rng.choice([n for n in sorted(fleet.worker_by_name) if n != worker.name])
        fleet.name_by_address[former] = other
        await self.crash_and_reboot(worker, moves=self.rng.random() < 0.5)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def crash_and_reboot(self, worker, moves=False):
        worker.closes_connections = self.rng.random() < 0.7
        worker.crash()
        try:
            # Most restarts are too short for the owner to find the worker unreachable.
            await asyncio.sleep(0.05 + 1.95 * self.rng.random() ** 6)
        finally:
            if moves:
                worker.address = f"{worker.name}-{self.rng.getrandbits(32):08x}"
            self.cell.fleet.name_by_address[worker.address] = worker.name
            worker.reboot()
            self.cell.list_worker(worker.name)


class CutFaults(RestartFaults):
    """Cuts half of the restarted workers off from all VMs once they have begun their first run,
    which loses the answer to its start."""

    async def restart(self, worker):
        if worker.unreachable_from:
            return
        await self.crash_and_reboot(worker)
        if self.rng.random() < 0.5 and await self.has_first_start(worker):
            vms = set(self.cell.vm_by_name)
            worker.unreachable_from |= vms
            await asyncio.sleep(self.rng.uniform(MIN_CUT_S, MAX_CUT_S))
            worker.unreachable_from -= vms

    async def has_first_start(self, worker):
        for _ in range(FIRST_START_LIMIT_MS):
            if worker.run_by_task:
                return True
            await asyncio.sleep(0.001)
        return False

    async def restart_workers(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            workers = [w for w in self.cell.fleet.worker_by_name.values() if w.is_up]
            if workers:
                await self.restart(self.rng.choice(workers))


def busy_spec(rng):
    """Returns a job that starts several tasks at once in most cases."""
    if rng.random() < 0.3:
        return random_spec(rng)
    return job(StepSpec(rng.randint(2, 6), 1000, 500, checkpointing=rng.random() < 0.5))


class HastyCallers(Callers):
    """Submits several jobs a second, and cancels a third of them soon after they are accepted."""

    async def run(self):
        end = self.cell.clock.boot_time().total_seconds() + PLAY_TIME_S
        number = 0
        async with asyncio.TaskGroup() as group:
            while self.cell.clock.boot_time().total_seconds() < end:
                number += 1
                group.create_task(self.call(f"{number:016x}", busy_spec(self.rng)))
                await asyncio.sleep(self.rng.uniform(0.02, 0.2))

    async def call(self, job_id, spec):
        await super().call(job_id, spec)
        if job_id in self.accepted - self.cancelled and self.rng.random() < 0.3:
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            await self.cancel(job_id, self.cell.queue_by_job[job_id])


async def play(seed, faults_type=RestartFaults):
    rng = random.Random(seed)
    async with DelayedCell(vms=3, workers=8, granted=0.7, seed=seed) as cell:
        # Short tasks leave room for new ones on most workers, also while ends are not yet known.
        cell.fleet.duration_s = 0.2
        cell.fleet.fails = lambda worker, order: random.Random(order.task).random() < 0.03
        callers, faults = HastyCallers(cell, rng), faults_type(cell, rng)
        await asyncio.gather(callers.run(), faults.run())
        await cell.wait_for_owner()
        await settle(cell, callers)
        cell.fleet.check_repeated_starts()
        # The rule for gangs applies only without faults: lost orders may leave a gang incomplete.
        violations = [v for v in cell.fleet.violations if v.rule != "GANG"]
        # The message is for plays by hand, where pytest doesn't show the values.
        assert violations == [], violations
        return len(callers.accepted), len(cell.fleet.starts)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_while_workers_restart_and_answers_are_late(seed):
    """Guards against runs that are given up, and started elsewhere, by an outdated answer."""
    accepted, starts = run_in_virtual_time(play(seed))
    assert accepted > 5
    assert starts > 5


@pytest.mark.parametrize("seed", CUT_SEEDS)
def test_guarantees_hold_while_restarted_workers_are_cut_off(seed):
    """Guards against a run whose lease is counted on the clock of a boot that is gone: its task
    runs again elsewhere while the new boot still has the longest lease."""
    accepted, starts = run_in_virtual_time(play(seed, CutFaults))
    assert accepted > 5
    assert starts > 5


@app.default
def main(seeds: int = 10, first: int = 1000, cuts: bool = False) -> None:
    """Plays seeds one after another and prints the violations.

    Parameters
    ----------
    seeds
        Number of seeds.
    first
        The first seed.
    cuts
        Whether restarted workers are cut off.
    """
    faults_type = CutFaults if cuts else RestartFaults
    failed = []
    for seed in range(first, first + seeds):
        try:
            accepted, starts = run_in_virtual_time(play(seed, faults_type))
            print(f"seed {seed}: {accepted} accepted, {starts} starts", flush=True)
        except Exception as error:
            failed.append(seed)
            print(f"seed {seed}: {error!r}", flush=True)
    if failed:
        sys.exit(f"failed seeds: {failed}")


if __name__ == "__main__":
    app()
