"""Calls to the advice service: one at a time on each VM, distributed over the free VMs."""

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

__all__ = ["AdviceQueue", "DistributedAdviceSource"]

# Added to the expected time of a call to give its time-out. It covers one costly call of another
# owner ahead of it in the same VM's queue.
CALL_TIMEOUT_SLACK = timedelta(milliseconds=1000)
# Time for which a VM gets no calls after one to it failed.
FAILED_VM_BACKOFF = timedelta(seconds=2)
# Calls above this cost use only two thirds of the VMs. The others are reserved for cheap calls,
# which are the urgent ones.
COSTLY_CALL_THRESHOLD = timedelta(milliseconds=100)
# Requests are ordered by age. A request counts as younger by this for each level of its priority,
# of which 0 is the most urgent.
DELAY_PER_PRIORITY_LEVEL = timedelta(seconds=1)

# Period in which waiting requests check again for a free VM.
ASSIGNMENT_RETRY_PERIOD = timedelta(milliseconds=200)

_log = logbook.Logger("advice")


class AdviceQueue:
    """Makes this VM's calls one at a time, in order of priority."""

    def __init__(self, client: AdviceClient) -> None:
        self._client = client
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._is_busy = False

    async def ask(
        self, step: StepKey, workers: list[UpstreamId], priority: int, timeout: timedelta
    ) -> Advice:
        """Waits for this call's turn and makes it. Raises `AdviceUnavailableError`."""
        if self._is_busy:
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (priority, next(self._sequence), turn))
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self._start_next()
                raise
        self._is_busy = True
        try:
            return await self._client.ask(step, workers, timeout)
        finally:
            self._start_next()

    def _start_next(self) -> None:
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self._is_busy = False

    async def serve(self, request: AdviseRequest) -> AdviseReply:
        """Calls the advice service for another VM."""
        timeout = timedelta(milliseconds=request.timeout_ms)
        try:
            advice = await self.ask(request.step, list(request.workers), request.priority, timeout)
        except AdviceUnavailableError as error:
            return AdviseReply(str(error))
        validity_ms = to_ms(advice.validity)
        return AdviseReply("", advice.ticket_by_worker, validity_ms)


class DistributedAdviceSource(AdviceSource):
    """Assigns requests to free VMs. The others wait here in order of priority and age.

    `peer_addresses`
        Returns the addresses of the VMs that are alive.
    `own_vm`
        This VM, which calls the advice service itself.
    """

    def __init__(
        self,
        own_vm: VmId,
        queue: AdviceQueue,
        peers: PeerClient,
        peer_addresses: Callable[[], dict[VmId, str]],
        clock: Clock,
    ) -> None:
        self._own_vm = own_vm
        self._queue = queue
        self._peers = peers
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._sequence = itertools.count()
        self._waiting: list[tuple[timedelta, int, bool, asyncio.Future[VmId]]] = []
        self._busy_vms: set[VmId] = set()
        self._backoff_until_by_vm: dict[VmId, timedelta] = {}

    @property
    def parallelism(self) -> int:
        return len({*self._peer_addresses(), self._own_vm})

    @property
    def backlog(self) -> int:
        # Requests cancelled by a former owner on this VM stay in the heap until a VM is free.
        return sum(not assignment.done() for *_, assignment in self._waiting)

    async def ask(
        self,
        step: StepKey,
        workers: list[UpstreamId],
        timing: AdviceTiming,
        priority: int,
        deferral: timedelta,
    ) -> Advice:
        cost = timing.base + len(workers) * timing.per_worker
        vm = await self._acquire_vm(
            cost > COSTLY_CALL_THRESHOLD, priority * DELAY_PER_PRIORITY_LEVEL + deferral
        )
        try:
            if vm == self._own_vm:
                return await self._queue.ask(step, workers, priority, cost + CALL_TIMEOUT_SLACK)
            return await self._ask_peer(vm, step, workers, priority, cost + CALL_TIMEOUT_SLACK)
        finally:
            self._busy_vms.discard(vm)
            self._assign_vms()

    async def _acquire_vm(self, is_costly: bool, deferral: timedelta) -> VmId:
        assignment: asyncio.Future[VmId] = asyncio.get_running_loop().create_future()
        # Ageing: a waiting request eventually precedes newer ones of higher priority, so that none
        # starves.
        sort_time = self._clock.boot_time() + deferral
        heapq.heappush(self._waiting, (sort_time, next(self._sequence), is_costly, assignment))
        try:
            while not assignment.done():
                self._assign_vms()
                # No event signals that a VM joins, leaves or ends its back-off, so this polls.
                await asyncio.wait({assignment}, timeout=ASSIGNMENT_RETRY_PERIOD.total_seconds())
        except asyncio.CancelledError:
            if assignment.done():
                self._busy_vms.discard(assignment.result())
            assignment.cancel()
            raise
        return assignment.result()

    def _assign_vms(self) -> None:
        now = self._clock.boot_time()
        vms = sorted({*self._peer_addresses(), self._own_vm})
        free = [
            vm
            for vm in vms
            if vm not in self._busy_vms and self._backoff_until_by_vm.get(vm, timedelta(0)) <= now
        ]
        # A third of the VMs is reserved for cheap requests, which are the urgent ones.
        reserved_vms = set(vms[: len(vms) // 3])
        unassigned = []
        while self._waiting:
            waiter = heapq.heappop(self._waiting)
            _, _, is_costly, assignment = waiter
            if assignment.done():
                continue
            usable = [vm for vm in free if not (is_costly and vm in reserved_vms)]
            if not usable:
                unassigned.append(waiter)
                if not free:
                    break
                continue
            vm = usable[0]
            free.remove(vm)
            self._busy_vms.add(vm)
            assignment.set_result(vm)
        for waiter in unassigned:
            heapq.heappush(self._waiting, waiter)

    async def _ask_peer(
        self, vm: VmId, step: StepKey, workers: list[UpstreamId], priority: int, timeout: timedelta
    ) -> Advice:
        timeout_ms = to_ms(timeout)
        request = AdviseRequest(step, tuple(workers), priority, timeout_ms)
        address = self._peer_addresses().get(vm, "")
        try:
            reply = await self._peers.call(address, request, timeout, Step.ADMIT)
        except SchedulerError as error:
            self._backoff_until_by_vm[vm] = self._clock.boot_time() + FAILED_VM_BACKOFF
            raise AdviceUnavailableError(str(error)) from error
        if reply.problem:
            raise AdviceUnavailableError(f"{vm}: {reply.problem}")
        return Advice(reply.ticket_by_worker, timedelta(milliseconds=reply.validity_ms))
