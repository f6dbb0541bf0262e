"""Callers of the soak test: they submit, retry and cancel jobs and check the reported states."""

import asyncio
import random

import aiohttp
import msgspec

from hornbeamramp.ids import JobId
from hornbeamramp.workload import JobSpec
from tests.model.cell import random_spec
from tests.soak.cell import HOST, PREFIX_BY_QUEUE, SoakCell

__all__ = ["Callers", "encode_job"]

DEADLINE_S = 3.0
TERMINAL = {"completed", "failed", "cancelled"}
NO_RESPONSE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


def encode_job(spec: JobSpec) -> dict:
    """Returns a job in the format of the caller API."""
    steps = [
        {
            "count": step.count,
            "cpu": step.processors_milli,
            "mem-mb": step.memory_mib,
            "gpu": step.accelerators,
            "estimated-ms": step.estimate_ms,
            "after": list(step.after),
            "checkpointing": step.checkpointing,
            "gang": step.gang,
            "same-rack": step.same_rack,
            "long-running": step.long_running,
            "target-ms": step.response_target_ms,
            "fills": step.fills,
            "max-per-server": step.max_per_worker,
        }
        for step in spec.steps
    ]
    return {"spec": spec.payload, "steps": steps}


class Callers:
    """Submits jobs over kept connections, and checks the states that are reported of them.

    Requests without a definite response are retried.

    `accepted`, `cancelled`
        Jobs whose acceptance was confirmed, and jobs that may have been cancelled.
    """

    def __init__(self, cell: SoakCell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        self._queue_by_job: dict[str, str] = {}
        # Longest time between two jobs.
        self.max_pause_s = 0.4
        self.accepted: set[str] = set()
        self.cancelled: set[str] = set()
        self.problems: list[str] = []

    async def run(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        number = 0
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            while loop.time() < end:
                number += 1
                group.create_task(self._call(session, f"{number:016x}"))
                await asyncio.sleep(self._rng.uniform(0.05, self.max_pause_s))

    async def _call(self, session: aiohttp.ClientSession, job_id: str) -> None:
        queue = self._rng.choice(sorted(PREFIX_BY_QUEUE))
        spec = random_spec(self._rng)
        identity = JobId(job_id)
        self._cell.fleet.spec_by_job[identity] = spec
        self._cell.queue_by_job[identity] = queue
        self._queue_by_job[job_id] = queue
        is_refused = True
        for _ in range(self._rng.randint(1, 4)):
            status = await self._send(session, "POST", job_id, encode_job(spec))
            if status is not None and 200 <= status < 300:
                self.accepted.add(job_id)
                break
            is_refused = is_refused and status in (401, 429, 503)
            await asyncio.sleep(0.3)
        if job_id not in self.accepted:
            if is_refused:
                self._cell.fleet.refused.add(identity)
        elif self._rng.random() < 0.15:
            await self._cancel(session, job_id)

    async def _cancel(self, session: aiohttp.ClientSession, job_id: str) -> None:
        # A cancellation without a definite response may have taken effect.
        self.cancelled.add(job_id)
        status = await self._send(session, "DELETE", job_id)
        if status == 200:
            now = self._cell.clock.boot_time().total_seconds()
            self._cell.fleet.cancelled_at[JobId(job_id)] = now
        elif status == 410:
            self.problems.append(f"{job_id} was accepted, and its cancellation is answered 410")

    async def _send(
        self, session: aiohttp.ClientSession, method: str, job_id: str, body: object = None
    ) -> int | None:
        vm = self._rng.choice(list(self._cell.vm_by_name.values()))
        status, _ = await self._request(session, vm.frontend, method, job_id, body)
        return status

    async def _request(
        self,
        session: aiohttp.ClientSession,
        frontend: str,
        method: str,
        job_id: str,
        body: object,
        key: str = "",
    ) -> tuple[int | None, bytes]:
        """Returns the status, ``None`` without a response, and the body. ``key`` is sent along if
        it is not empty."""
        path = self._path(job_id)
        deadline_s = self._deadline_s(method)
        headers = {"Host": HOST, "Deadline-Ms": str(int(deadline_s * 1000))}
        if key:
            headers["Api-Key"] = key
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with asyncio.timeout(deadline_s):
                async with session.request(
                    method, f"http://{frontend}{path}", data=data, headers=headers
                ) as response:
                    return response.status, await response.read()
        except NO_RESPONSE_ERRORS:
            return None, b""

    def _deadline_s(self, method: str) -> float:
        return DEADLINE_S

    def _path(self, job_id: str) -> str:
        return f"{PREFIX_BY_QUEUE[self._queue_by_job[job_id]]}{job_id}"

    async def wait_for_ends(self, seconds: float) -> None:
        """Polls all accepted jobs until they have ended, and checks their final states."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        open_jobs = set(self.accepted)
        async with aiohttp.ClientSession() as session:
            while open_jobs and loop.time() < end:
                vm = self._rng.choice(list(self._cell.vm_by_name.values()))
                for job_id in sorted(open_jobs):
                    status, body = await self._request(session, vm.frontend, "GET", job_id, None)
                    if status == 410:
                        self.problems.append(f"{job_id} was accepted and is not known")
                        open_jobs.discard(job_id)
                    elif status == 200:
                        state = msgspec.json.decode(body)["state"]
                        if state in TERMINAL:
                            open_jobs.discard(job_id)
                            self._check_end(job_id, state)
                await asyncio.sleep(0.2)
        if open_jobs:
            self.problems.append(f"accepted and not ended: {sorted(open_jobs)}")

    def _check_end(self, job_id: str, state: str) -> None:
        fleet = self._cell.fleet
        steps = fleet.spec_by_job[JobId(job_id)].steps
        names = [f"{job_id}.0.{n}.{i}" for n, step in enumerate(steps) for i in range(step.count)]
        if state == "completed":
            # The end of one member of a gang counts for all of them.
            enough = any if steps[0].gang else all
            if not enough(name in fleet.done for name in names):
                self.problems.append(f"{job_id} is shown as completed and is not")
        elif state == "failed":
            failed = max(fleet.failed_by_task.get(name, 0) for name in names)
            if failed < fleet.max_attempts:
                self.problems.append(f"{job_id} is shown as failed after {failed} failures")
        elif job_id not in self.cancelled:
            self.problems.append(f"{job_id} is shown as cancelled and was not")
