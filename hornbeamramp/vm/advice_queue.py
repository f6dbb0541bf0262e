"""Calls to the advice service: one at a time on each VM, spread over all VMs by their backlog."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.errors import SchedulerError
from hornbeamramp.ids import UpstreamId, VmId
from hornbeamramp.poolowner import Advice, AdviceSource, AdviceUnavailableError
from hornbeamramp.rpc import PeerClient
from hornbeamramp.states import Step
from hornbeamramp.vm.adapter import AdviceClient
from hornbeamramp.vm.messages import AdviseReply, AdviseRequest
from hornbeamramp.workload import AdviceTerms, StepKey

__all__ = ["AdviceQueue", "SpreadAdvice"]

# A call may wait in the service behind others; beyond its own cost this much is allowed.
CALL_SLACK = timedelta(milliseconds=1500)
# Time for which a VM whose call failed gets none.
VM_PAUSE = timedelta(seconds=1)
# Calls above this cost leave a third of the VMs to cheap ones, which are the urgent ones.
COSTLY_CALL = timedelta(milliseconds=100)

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
        validity_ms = advice.validity // timedelta(milliseconds=1)
        return AdviseReply("", advice.ticket_by_worker, validity_ms)


class SpreadAdvice(AdviceSource):
    """Sends each question to the VM with the least outstanding work.

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
        self._backlog_by_vm: dict[VmId, timedelta] = {}
        self._paused_until: dict[VmId, timedelta] = {}

    async def ask(
        self, step: StepKey, workers: list[UpstreamId], terms: AdviceTerms, priority: int
    ) -> Advice:
        cost = terms.base + len(workers) * terms.per_worker
        vm, address = self._choose(cost)
        self._backlog_by_vm[vm] = self._backlog_by_vm.get(vm, timedelta(0)) + cost
        timeout = cost + CALL_SLACK
        try:
            if vm == self._own_vm:
                return await self._queue.ask(step, workers, priority, timeout)
            return await self._ask_peer(vm, address, step, workers, priority, timeout)
        finally:
            self._backlog_by_vm[vm] -= cost

    def _choose(self, cost: timedelta) -> tuple[VmId, str]:
        now = self._clock.boot_time()
        addresses = {**self._addresses(), self._own_vm: ""}
        open_vms = sorted(
            vm for vm in addresses if self._paused_until.get(vm, timedelta(0)) <= now
        ) or [self._own_vm]
        if cost > COSTLY_CALL and len(open_vms) > 2:
            open_vms = open_vms[: len(open_vms) - len(open_vms) // 3]
        else:
            # Cheap calls look first where no costly one goes.
            open_vms.reverse()
        vm = min(open_vms, key=lambda vm: self._backlog_by_vm.get(vm, timedelta(0)))
        return vm, addresses[vm]

    async def _ask_peer(
        self,
        vm: VmId,
        address: str,
        step: StepKey,
        workers: list[UpstreamId],
        priority: int,
        timeout: timedelta,
    ) -> Advice:
        timeout_ms = timeout // timedelta(milliseconds=1)
        request = AdviseRequest(step, tuple(workers), priority, timeout_ms)
        limit = timeout + self._backlog_by_vm[vm]
        try:
            reply = await self._peers.call(address, request, limit, Step.ADMIT)
        except SchedulerError as error:
            self._paused_until[vm] = self._clock.boot_time() + VM_PAUSE
            raise AdviceUnavailableError(str(error)) from error
        if reply.problem:
            raise AdviceUnavailableError(f"{vm}: {reply.problem}")
        return Advice(reply.ticket_by_worker, timedelta(milliseconds=reply.validity_ms))
