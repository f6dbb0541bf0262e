"""Upstreams of a simulated cell: workers that log each attempt, and adapters with faults."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from hornbeamramp.clock import ManualClock
from hornbeamramp.errors import UnreachableError
from hornbeamramp.ids import AttemptId, RackId, UpstreamId
from hornbeamramp.jobs import TaskResult
from hornbeamramp.resources import Resources
from hornbeamramp.standins.worker_model import WorkerModel
from hornbeamramp.states import Capability, Step, TaskState
from hornbeamramp.upstreams import StartReply, StartRequest, UpstreamAdapter, UpstreamShape
from tests.support.runtime import spawn_detached

if TYPE_CHECKING:
    from tests.support.vm import Vm

__all__ = ["ALL_CAPABILITIES", "CellWorker", "FaultyUpstream", "UpstreamFaults"]

LATENCY = timedelta(milliseconds=1)
CALL_TIMEOUT = timedelta(seconds=2)
DUPLICATE_DELAY = timedelta(milliseconds=700)
ALL_CAPABILITIES = frozenset(Capability)
WORKER_CAPACITY = Resources(processors_milli=4000, memory_mib=8192, slots=4, connections=16)


@dataclass
class UpstreamFaults:
    """Faults between one process and one worker. A count is the number of next messages it hits.

    `starts_delayed_by`
        Delay of starts only; they take effect even after the process has stopped waiting.
    `silent`
        Number of connections that take a request and never deliver it.
    """

    cut: bool = False
    delay: timedelta = timedelta(0)
    starts_delayed_by: timedelta = timedelta(0)
    drop_requests: int = 0
    drop_replies: int = 0
    drop_start_replies: int = 0
    duplicate_starts: int = 0
    crossed_answers: int = 0
    truncated_answers: int = 0
    silent: int = 0

    def consume(self, name: str) -> bool:
        """Returns whether the fault hits this message, and decrements its count."""
        remaining = getattr(self, name)
        setattr(self, name, max(remaining - 1, 0))
        return remaining > 0


class CellWorker(WorkerModel):
    """Worker that refuses no start for lack of capacity or because it is leaving.

    A real worker refuses such a start and so hides an overcommitment or a start on a leaving
    worker; here the log shows both. `payload_by_attempt` has the payloads, which the log lacks.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        clock: ManualClock,
        capabilities: frozenset[Capability] = ALL_CAPABILITIES,
        capacity: Resources = WORKER_CAPACITY,
    ) -> None:
        shape = UpstreamShape(UpstreamId(name), RackId(name), capacity, capabilities=capabilities)
        super().__init__(shape, clock)
        self.name = name
        self.data_centre = data_centre
        self.is_up = True
        self.leaving_since: timedelta | None = None
        self.payload_by_attempt: dict[AttemptId, bytes] = {}

    def start(self, request: StartRequest, late: bool = False) -> StartReply:
        self.payload_by_attempt[request.attempt_id] = request.payload
        return super().start(request, late)

    def die(self) -> None:
        """Ends all tasks and forgets them, the fences and the refused ids."""
        now = self._end_due_tasks()
        for task in list(self._running_by_id.values()):
            self._end(task, now, TaskState.STOPPED, "died")
        self._ended_by_id.clear()
        self._refused_ids.clear()
        self._fence_by_shard.clear()
        self.is_up = False

    def leave(self) -> None:
        """Makes the worker report itself as leaving."""
        self.leaving = True
        self.leaving_since = self._clock.boot_time()

    def _refusal(self, request: StartRequest, late: bool) -> StartReply | None:
        refusal = super()._refusal(request, late)
        if refusal in (StartReply.REFUSED_FULL, StartReply.REFUSED_LEAVING):
            return None
        return refusal


class FaultyUpstream(UpstreamAdapter):
    """Adapter of one process to one worker, with faults."""

    name = "cell"

    def __init__(self, vm: "Vm", worker: CellWorker, clock: ManualClock) -> None:
        self._vm = vm
        self._worker = worker
        self._clock = clock

    @property
    def _faults(self) -> UpstreamFaults:
        return self._vm.upstream_faults(self._worker.name)

    async def shape(self):
        return await self._call(Step.RECOVER, self._worker.shape)

    async def list_tasks(self):
        self._vm.cell.report_step(Step.RECOVER, self._vm)
        return await self._call(Step.RECOVER, self._worker.list_tasks)

    async def start(self, request, *, check=None):
        if check is not None and not check():
            raise UnreachableError(Step.START, self._worker.name, "not the owner", sent=False)
        self._vm.cell.report_step(Step.START, self._vm)
        # No await between the check and here: later delays are those of the network.
        not_after = self._clock.boot_time() + request.not_after
        faults = self._faults

        def effect() -> StartReply:
            return self._worker.start(request, late=self._clock.boot_time() > not_after)

        if faults.consume("duplicate_starts"):
            spawn_detached(self._repeat_start(effect))
        lose_reply = faults.consume("drop_start_replies")
        return await self._call(Step.START, effect, faults.starts_delayed_by, lose_reply)

    async def result(self, attempt_id, wait):
        async def effect():
            await self._wait_for_end(attempt_id, wait)
            return self._worker.result(attempt_id)

        answer = await self._call(Step.ANSWER, effect, wait=wait)
        if not isinstance(answer, TaskResult):
            return answer
        self._vm.cell.report_step(Step.ANSWER, self._vm)
        if self._faults.consume("crossed_answers"):
            answer = self._worker.other_result(attempt_id) or answer
        if self._faults.consume("truncated_answers"):
            payload = answer.payload[:-3]
            answer = TaskResult(
                answer.attempt_id, answer.upstream_id, payload, answer.length, answer.digest
            )
        return answer

    async def renew(self, attempt_ids, epoch, lease):
        return await self._call(Step.RENEW, lambda: self._worker.renew(attempt_ids, epoch, lease))

    async def stop(self, attempt_id):
        return await self._call(Step.CANCEL, lambda: self._worker.stop(attempt_id))

    async def checkpoint(self, attempt_id):
        return await self._call(Step.RUN, lambda: self._worker.checkpoint(attempt_id))

    async def throttle(self, attempt_id, resources):
        return await self._call(Step.RUN, lambda: self._worker.throttle(attempt_id, resources))

    async def fence(self, shard, epoch):
        return await self._call(Step.CLAIM, lambda: self._worker.fence(shard, epoch))

    async def usage(self):
        return await self._call(Step.RUN, self._worker.usage)

    async def _call(
        self,
        step: Step,
        effect: Callable[[], Any],
        delay: timedelta = timedelta(0),
        lose_reply: bool = False,
        wait: timedelta = timedelta(0),
    ) -> Any:
        self._vm.record_call(f"{step.value} at {self._worker.name}")
        reply = spawn_detached(self._deliver(step, effect, delay, lose_reply))
        reply.add_done_callback(lambda done: done.cancelled() or done.exception())
        expiry = asyncio.ensure_future(self._clock.sleep(CALL_TIMEOUT + wait))
        try:
            await asyncio.wait({reply, expiry}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            expiry.cancel()
        await self._vm.pause.wait_until_resumed()
        if not reply.done():
            raise UnreachableError(step, self._worker.name, "no answer in time")
        return reply.result()

    async def _deliver(self, step, effect, delay: timedelta, lose_reply: bool) -> Any:
        faults = self._faults
        if not self._worker.is_up:
            raise UnreachableError(step, self._worker.name, "connection refused", sent=False)
        await self._clock.sleep(LATENCY + faults.delay + delay)
        if faults.cut or faults.consume("drop_requests") or faults.consume("silent"):
            await asyncio.Event().wait()
        if not self._worker.is_up:
            raise UnreachableError(step, self._worker.name, "connection reset")
        answer = effect()
        if asyncio.iscoroutine(answer):
            answer = await answer
        if faults.cut or lose_reply or faults.consume("drop_replies"):
            await asyncio.Event().wait()
        if not self._worker.is_up:
            raise UnreachableError(step, self._worker.name, "connection reset")
        await self._clock.sleep(LATENCY)
        return answer

    async def _repeat_start(self, effect: Callable[[], Any]) -> None:
        await self._clock.sleep(DUPLICATE_DELAY)
        if self._worker.is_up:
            effect()

    async def _wait_for_end(self, attempt_id: AttemptId, wait: timedelta) -> None:
        deadline = self._clock.boot_time() + wait
        while True:
            task = self._worker.task(attempt_id)
            now = self._clock.boot_time()
            if task is None or task.state is not TaskState.RUNNING or now >= deadline:
                return
            ended = asyncio.ensure_future(task.ended.wait())
            pause = asyncio.ensure_future(self._clock.sleep(min(task.ends_at(), deadline) - now))
            await asyncio.wait({ended, pause}, return_when=asyncio.FIRST_COMPLETED)
            ended.cancel()
            pause.cancel()
