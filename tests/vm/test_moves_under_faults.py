"""Random faults while queues move between pools and callers give up, cancel and send again.

An id is one job in one pool, and no job starts after its cancellation was answered, also with the
answer that there is none.
"""

import asyncio
import random
from datetime import timedelta

import pytest

from hornbeamramp.ids import JobId, RouteName
from hornbeamramp.vm import CancelResult, UnavailableError
from tests.model.cell import REQUEST_TIMEOUT
from tests.model.virtual_time import run_in_virtual_time
from tests.vm.test_guarantees_under_faults import Callers, Faults, settle
from tests.vm.test_queue_moves import BATCH, NEW_POOL, POOL, MovingCell

SEEDS = range(24)
# A VM answers a request without a result this long after its deadline, unless it was killed.
ANSWER_MARGIN = timedelta(milliseconds=100)
QUEUES = ("gate", "batch", "batch", "render")


class MoveFaults(Faults):
    """Moves a queue back and forth all the time, beside the other faults."""

    async def run(self):
        moves = asyncio.create_task(self.move_queue())
        await super().run()
        moves.cancel()

    async def move_queue(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 4.0))
            self.cell.move(POOL if self.cell.queues[BATCH].pool == NEW_POOL else NEW_POOL)


class ImpatientCallers(Callers):
    """Some give up early and cancel what they know nothing of; some send an accepted job again."""

    async def call(self, job_id, spec):
        name = self.rng.choice(QUEUES)
        self.cell.fleet.spec_by_job[JobId(job_id)] = spec
        self.cell.queue_by_job[JobId(job_id)] = name
        results = [await self.send(job_id, name) for _ in range(self.rng.randint(1, 3))]
        if "accepted" in results:
            self.accepted.add(job_id)
            if self.rng.random() < 0.3:
                await asyncio.sleep(self.rng.uniform(0.1, 8.0))
                await self.send(job_id, name)
        elif all(result == "refused" for result in results):
            self.cell.fleet.refused.add(job_id)
        elif self.rng.random() < 0.7:
            await self.give_up(job_id, name)

    async def send(self, job_id, name):
        vm = self.rng.choice(list(self.cell.vm_by_name.values()))
        max_wait = timedelta(seconds=self.rng.choice((0.05, 0.2, 1.0, 3.0)))
        spec = self.cell.fleet.spec_by_job[JobId(job_id)]
        queue = self.queue(vm, name)
        try:
            async with asyncio.timeout((max_wait + ANSWER_MARGIN).total_seconds()):
                result = await vm.service.submit(queue, JobId(job_id), spec, max_wait)
        except TimeoutError:
            return "unknown"
        except UnavailableError as error:
            return "unknown" if error.may_have_run else "refused"
        return "refused" if result.refusal else "accepted"

    def queue(self, vm, name):
        """Returns a queue by the configuration that the VM has."""
        config = vm.node.config
        queues = self.cell.queues if config is None else config.queue_by_name
        return queues[RouteName(name)]

    async def give_up(self, job_id, name):
        self.cancelled.add(job_id)
        for _ in range(3):
            vm = self.rng.choice(list(self.cell.vm_by_name.values()))
            queue = self.queue(vm, name)
            try:
                async with asyncio.timeout((REQUEST_TIMEOUT + ANSWER_MARGIN).total_seconds()):
                    outcome = await vm.service.cancel(queue, JobId(job_id), REQUEST_TIMEOUT)
            except (UnavailableError, TimeoutError):
                await asyncio.sleep(0.3)
                continue
            now = self.cell.clock.boot_time().total_seconds()
            self.cell.fleet.cancelled_at[JobId(job_id)] = now
            if outcome is CancelResult.ABSENT:
                self.cell.fleet.refused.add(job_id)
            return


async def play(seed):
    rng = random.Random(seed)
    async with MovingCell(vms=3, workers=5, seed=seed) as cell:
        cell.fleet.fails = lambda worker, order: random.Random(order.task).random() < 0.03
        callers, faults = ImpatientCallers(cell, rng), MoveFaults(cell, rng)
        await asyncio.gather(callers.run(), faults.run())
        await cell.wait_for_owner()
        await settle(cell, callers)
        cell.fleet.check_repeated_starts()
        assert [v for v in cell.fleet.violations if v.rule != "GANG"] == []
        for job_id in cell.fleet.spec_by_job:
            assert len(cell.stored_in(job_id)) <= 1, f"{job_id} is recorded in two pools"
        return len(callers.accepted), len(callers.cancelled)


@pytest.mark.parametrize("seed", SEEDS)
def test_ids_stay_one_job_and_cancellations_hold_while_queues_move(seed):
    """Guards against jobs that run twice after a move of their queue, and against jobs that run
    after a 410."""
    accepted, _ = run_in_virtual_time(play(seed))
    assert accepted > 5
