"""Best-effort tasks beside tasks that serve, and workers that refuse orders on pace."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import aiohttp

from hornbeamramp.ids import JobId
from hornbeamramp.workload import JobSpec, StepSpec
from tests.model.cell import job
from tests.model.fleet import ModelRun, ModelWorker
from tests.soak.callers import Callers, encode_job
from tests.soak.cell import SoakCell
from tests.soak.faults import Faults

__all__ = ["PacedCallers", "PacingFaults"]

SERVING, BEST_EFFORT = "d" * 16, "e" * 16
QUEUE = "batch"
TARGET_MS = 100
IDLE_TAIL_MS, DISTURBED_TAIL_MS = 40, 120
# Longest time over the target on end that the users' rule allows, and the time after the last fault
# from which it holds.
MAX_HARM_S = 4.0
CONTACT_S = 3.0
OBSERVED_S = 12.0
MAX_SUBMISSIONS = 30
# Time at the end of the faults in which the load stays high, so that a pause is in force.
BUSY_S = 5.0


class TailLoad:
    """Tails of the serving tasks, which best-effort tasks disturb while there are many clients."""

    def __init__(self) -> None:
        self.is_busy = False

    def __call__(self, worker: ModelWorker, run: ModelRun) -> float:
        return self.tail_ms(worker) if run.order.task.startswith(SERVING) else 500.0

    def tail_ms(self, worker: ModelWorker) -> float:
        runs = worker.run_by_task.values()
        is_disturbed = any(run.step.fills and run.pace_percent > 0 for run in runs)
        return DISTURBED_TAIL_MS if self.is_busy and is_disturbed else IDLE_TAIL_MS


class PacedCallers(Callers):
    """Submits a serving and a best-effort task for each worker before the other jobs, and checks
    after the faults for how long serving tasks are over their target."""

    def __init__(self, cell: SoakCell, rng: random.Random) -> None:
        super().__init__(cell, rng)
        self._load = TailLoad()
        cell.fleet.load = self._load
        # The other jobs leave room for these.
        self.max_pause_s = 1.0

    async def run(self, seconds: float) -> None:
        count = len(self._cell.fleet.worker_by_name)
        serving = StepSpec(
            count, 1000, 100, long_running=True, response_target_ms=TARGET_MS, max_per_worker=1
        )
        best_effort = StepSpec(count, 1000, 100, estimate_ms=500_000, fills=True, max_per_worker=1)
        async with aiohttp.ClientSession() as session:
            await self._submit(session, SERVING, job(serving))
            await self._submit(session, BEST_EFFORT, job(best_effort))
        await asyncio.gather(super().run(seconds), self._change_load(seconds - BUSY_S))

    async def _submit(self, session: aiohttp.ClientSession, job_id: str, spec: JobSpec) -> None:
        identity = JobId(job_id)
        self._cell.fleet.spec_by_job[identity] = spec
        self._cell.queue_by_job[identity] = self._queue_by_job[job_id] = QUEUE
        for _ in range(MAX_SUBMISSIONS):
            if await self._send(session, "POST", job_id, encode_job(spec)) == 200:
                return
            await asyncio.sleep(0.3)
        self.problems.append(f"{job_id} was not accepted")

    async def _change_load(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            self._load.is_busy = not self._load.is_busy
        self._load.is_busy = True

    async def wait_for_ends(self, seconds: float) -> None:
        await super().wait_for_ends(seconds)
        await asyncio.sleep(CONTACT_S)
        await self._check_tails()

    async def _check_tails(self) -> None:
        loop = asyncio.get_running_loop()
        since_by_worker: dict[str, float] = {}
        longest_by_worker: dict[str, float] = {}
        end = loop.time() + OBSERVED_S
        while loop.time() < end:
            await asyncio.sleep(0.05)
            for name, worker in self._cell.fleet.worker_by_name.items():
                if self._load.tail_ms(worker) <= TARGET_MS:
                    since_by_worker.pop(name, None)
                    continue
                since = since_by_worker.setdefault(name, loop.time())
                longest_by_worker[name] = max(longest_by_worker.get(name, 0.0), loop.time() - since)
        for name, longest_s in longest_by_worker.items():
            if longest_s > MAX_HARM_S:
                self.problems.append(f"HARM: {name} over its target for {longest_s:.1f} s")


class PacingFaults(Faults):
    """Workers that refuse orders on pace for a while, beside takeovers and degraded links."""

    def _choices(self) -> list[Callable[[], Awaitable[None]]]:
        links = [self._worker_link, self._worker_link, self._reset_connections]
        other = [self._kill, self._pause, self._terminate, self._crash_worker]
        return 6 * [self._refuse_pace] + links + other

    async def _refuse_pace(self) -> None:
        workers = list(self._cell.fleet.worker_by_name.values())
        for worker in self._rng.sample(workers, self._rng.randint(1, 3)):
            worker.refuses_pace = True
        await self._sleep_randomly(4.0)
        for worker in workers:
            worker.refuses_pace = False
