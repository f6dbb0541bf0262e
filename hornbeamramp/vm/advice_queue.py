"""Calls to the advice service: one at a time on each VM, spread over all VMs by their backlog."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.errors import SchedulerError
from hornbeamramp.ids import UpstreamId, VmId
from hornbeamramp.poolowner import Advice, AdviceSource, AdviceUnavailableError
from hornbeamramp.rpc import PeerClient
from hornbeamramp.states import Step
from hornbeamramp.vm.adapter import AdviceClient
from hornbeamramp.vm.messages import AdviseReply, AdviseRequest
from hornbeamramp.workload import AdviceTiming, StepKey

__all__ = ["AdviceQueue", "SpreadAdvice"]

# Beyond a call's own cost: one costly call of another owner before it on the same VM.
CALL_SLACK = timedelta(milliseconds=1000)
# Time for which a VM whose call failed gets none.
VM_PAUSE = timedelta(seconds=2)
# Calls above this cost leave a third of the VMs to cheap ones, which are the urgent ones.
COSTLY_CALL = timedelta(milliseconds=100)
# By how long a question of the next lower priority counts as younger.
AGE_PER_PRIORITY = timedelta(seconds=1)

# How often waiting questions look for a VM again.
RECHECK = timedelta(milliseconds=200)

_log = logbook.Logger("advice")


class AdviceQueue:
    """This VM's calls, in order of priority."""

    def __init__(self, client: AdviceClient) -> None:
        self._client = client
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._is_busy = False

    async def ask(
        self, step: StepKey, workers: list[UpstreamId], priority: int, timeout: timedelta
    ) -> Advice:
        """Raises `AdviceUnavailableError`."""
        if self._is_busy:
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (priority, next(self._sequence), turn))
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self._hand_on()
                raise
        self._is_busy = True
        try:
            return await self._client.ask(step, workers, timeout)
        finally:
            self._hand_on()

    def _hand_on(self) -> None:
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self._is_busy = False

    async def serve(self, request: AdviseRequest) -> AdviseReply:
        """Answers another VM's question."""
        timeout = timedelta(milliseconds=request.timeout_ms)
        try:
            advice = await self.ask(request.step, list(request.workers), request.priority, timeout)
        except AdviceUnavailableError as error:
            return AdviseReply(str(error))
        validity_ms = to_ms(advice.validity)
        return AdviseReply("", advice.ticket_by_worker, validity_ms)


class SpreadAdvice(AdviceSource):
    """Hands questions out to VMs that are free; the rest wait here, the urgent ones first.

    `addresses`
        Returns the addresses of the VMs that are alive.
    `own_vm`
        This VM, which asks by itself.
    """

    def __init__(
        self,
        own_vm: VmId,
        queue: AdviceQueue,
        peers: PeerClient,
        addresses: Callable[[], dict[VmId, str]],
        clock: Clock,
    ) -> None:
        self._own_vm = own_vm
        self._queue = queue
        self._peers = peers
        self._addresses = addresses
        self._clock = clock
        self._sequence = itertools.count()
        self._waiting: list[tuple[timedelta, int, bool, asyncio.Future[VmId]]] = []
        self._busy: set[VmId] = set()
        self._paused_until: dict[VmId, timedelta] = {}

    @property
    def backlog(self) -> int:
        # Those given up by a former owner on this VM stay in the heap until a VM is free.
        return sum(not turn.done() for *_, turn in self._waiting)

    async def ask(
        self,
        step: StepKey,
        workers: list[UpstreamId],
        timing: AdviceTiming,
        priority: int,
        deferral: timedelta,
    ) -> Advice:
        cost = timing.base + len(workers) * timing.per_worker
        vm = await self._take_vm(cost > COSTLY_CALL, priority * AGE_PER_PRIORITY + deferral)
        try:
            if vm == self._own_vm:
                return await self._queue.ask(step, workers, priority, cost + CALL_SLACK)
            return await self._ask_peer(vm, step, workers, priority, cost + CALL_SLACK)
        finally:
            self._busy.discard(vm)
            self._hand_out()

    async def _take_vm(self, is_costly: bool, deferral: timedelta) -> VmId:
        turn: asyncio.Future[VmId] = asyncio.get_running_loop().create_future()
        # A question gains on more urgent ones while it waits, so that none waits for ever.
        due = self._clock.boot_time() + deferral
        heapq.heappush(self._waiting, (due, next(self._sequence), is_costly, turn))
        try:
            while not turn.done():
                self._hand_out()
                # VMs join, leave and end their pauses without telling; so it is looked at again.
                await asyncio.wait({turn}, timeout=RECHECK.total_seconds())
        except asyncio.CancelledError:
            if turn.done():
                self._busy.discard(turn.result())
            turn.cancel()
            raise
        return turn.result()

    def _hand_out(self) -> None:
        now = self._clock.boot_time()
        vms = sorted({*self._addresses(), self._own_vm})
        free = [
            vm
            for vm in vms
            if vm not in self._busy and self._paused_until.get(vm, timedelta(0)) <= now
        ]
        # A third of the VMs serves cheap questions only, which are the urgent ones.
        for_cheap = set(vms[: len(vms) // 3])
        left = []
        while self._waiting:
            entry = heapq.heappop(self._waiting)
            _, _, is_costly, turn = entry
            if turn.done():
                continue
            usable = [vm for vm in free if not (is_costly and vm in for_cheap)]
            if not usable:
                left.append(entry)
                if not free:
                    break
                continue
            vm = usable[0]
            free.remove(vm)
            self._busy.add(vm)
            turn.set_result(vm)
        for entry in left:
            heapq.heappush(self._waiting, entry)

    async def _ask_peer(
        self, vm: VmId, step: StepKey, workers: list[UpstreamId], priority: int, timeout: timedelta
    ) -> Advice:
        timeout_ms = to_ms(timeout)
        request = AdviseRequest(step, tuple(workers), priority, timeout_ms)
        address = self._addresses().get(vm, "")
        try:
            reply = await self._peers.call(address, request, timeout, Step.ADMIT)
        except SchedulerError as error:
            self._paused_until[vm] = self._clock.boot_time() + VM_PAUSE
            raise AdviceUnavailableError(str(error)) from error
        if reply.problem:
            raise AdviceUnavailableError(f"{vm}: {reply.problem}")
        return Advice(reply.ticket_by_worker, timedelta(milliseconds=reply.validity_ms))
