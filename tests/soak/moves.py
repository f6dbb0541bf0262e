"""Soak with queues that move between pools, and callers that give up, cancel and send again."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp

from hornbeamramp.ids import JobId
from hornbeamramp.statestore import job_key
from tests.soak.callers import DEADLINE_S, Callers, encode_job
from tests.soak.cell import POOLS
from tests.soak.faults import Faults

__all__ = ["ImpatientCallers", "MovingQueues"]

SUBMIT_DEADLINES_S = (0.15, 0.6, DEADLINE_S)
MAX_CANCELLATIONS = 3


class MovingQueues(Faults):
    """The faults of the soak, with a new configuration more often."""

    def _choices(self) -> list[Callable[[], Awaitable[None]]]:
        return super()._choices() + 6 * [self._change_configuration]


class ImpatientCallers(Callers):
    """Some cancel a job of which they know nothing; some send an accepted job again.

    A job whose cancellation was answered 410 is never started, and no id is recorded in two pools.
    """

    def _deadline_s(self, method: str) -> float:
        return self._rng.choice(SUBMIT_DEADLINES_S) if method == "POST" else DEADLINE_S

    async def _call(self, session: aiohttp.ClientSession, job_id: str) -> None:
        await super()._call(session, job_id)
        fleet = self._cell.fleet
        if job_id in self.accepted:
            if self._rng.random() < 0.4:
                await asyncio.sleep(self._rng.uniform(0.0, 6.0))
                body = encode_job(fleet.spec_by_job[JobId(job_id)])
                await self._send(session, "POST", job_id, body)
        elif JobId(job_id) not in fleet.refused:
            await self._give_up(session, job_id)

    async def _give_up(self, session: aiohttp.ClientSession, job_id: str) -> None:
        self.cancelled.add(job_id)
        fleet = self._cell.fleet
        for _ in range(MAX_CANCELLATIONS):
            status = await self._send(session, "DELETE", job_id)
            if status == 410:
                if any(task.startswith(job_id) for _, _, task, _ in fleet.starts):
                    self.problems.append(f"{job_id} has run, and its cancellation is answered 410")
                fleet.refused.add(JobId(job_id))
            if status in (200, 410):
                fleet.cancelled_at[JobId(job_id)] = self._cell.clock.boot_time().total_seconds()
                return
            await asyncio.sleep(0.3)

    async def wait_for_ends(self, seconds: float) -> None:
        await super().wait_for_ends(seconds)
        keys = self._cell.store.item_by_key
        for job_id in self._queue_by_job:
            pools = [pool for pool in POOLS if job_key(pool, job_id) in keys]
            if len(pools) > 1:
                self.problems.append(f"{job_id} is recorded in {pools}")
