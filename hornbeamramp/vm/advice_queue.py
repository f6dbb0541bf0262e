"""Calls to the advice service: one at a time on each VM, distributed over the free VMs."""

import asyncio
import heapq
import itertools
from collections.abc import Callable, Collection
from datetime import timedelta
from typing import NamedTuple

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

# Added to the expected time of a call to give its time-out. It covers the wait in a VM's queue and
# the calls to VM and service.
CALL_TIMEOUT_SLACK = timedelta(milliseconds=1000)
# Longest expected wait in a VM's queue. A request that would wait for longer is refused at once, so
# that another VM makes the call.
MAX_QUEUE_WAIT = CALL_TIMEOUT_SLACK / 2
# Time for which a VM gets no calls after one to it failed.
FAILED_VM_BACKOFF = timedelta(seconds=2)
# Calls above this cost don't use a sixth of the VMs, or two of a few. Those are reserved for cheap
# calls, which are the urgent ones. All owners reserve the same VMs, without further agreement.
COSTLY_CALL_THRESHOLD = timedelta(milliseconds=100)
RESERVED_SHARE = 1 / 6
MIN_RESERVED_VMS = 2
# With fewer VMs than twice those, a third is reserved.
MAX_RESERVED_SHARE = 1 / 3
# Requests are ordered by age. A request counts as younger by this for each level of its priority,
# of which 0 is the most urgent.
DELAY_PER_PRIORITY_LEVEL = timedelta(seconds=1)

# Period in which waiting requests check again for a free VM.
ASSIGNMENT_RETRY_PERIOD = timedelta(milliseconds=200)

_log = logbook.Logger("advice")

# A waiting request: the time by which it is ranked, a number that makes it unique, and the VM that
# is assigned to it.
_Waiter = tuple[timedelta, int, "asyncio.Future[VmId]"]


class AdviceBusyError(Exception):
    """A VM's queue is too long for a request; the VM has not made the call.

    `free_in`
        Expected time until the VM has made the calls before it.
    """

    def __init__(self, free_in: timedelta) -> None:
        super().__init__(f"busy for {free_in}")
        self.free_in = free_in


class _Turn(NamedTuple):
    """A call that waits in a VM's queue, in order of priority and arrival."""

    priority: int
    sequence: int
    duration: timedelta
    start: "asyncio.Future[None]"


class AdviceQueue:
    """Makes this VM's calls one at a time, in order of priority.

    Owners of several pools share the VMs without knowing of each other's calls.
    """

    def __init__(self, client: AdviceClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._sequence = itertools.count()
        self._waiting: list[_Turn] = []
        self._is_busy = False
        # Boot time by which the call in progress is expected to end.
        self._busy_until = timedelta(0)

    def expected_wait(self, priority: int) -> timedelta:
        """Returns how long a new call of this priority would wait for its turn."""
        if not self._is_busy:
            return timedelta(0)
        remaining = max(self._busy_until - self._clock.boot_time(), timedelta(0))
        return remaining + sum(
            (
                turn.duration
                for turn in self._waiting
                if turn.priority <= priority and not turn.start.done()
            ),
            timedelta(0),
        )

    async def ask(
        self,
        step: StepKey,
        workers: list[UpstreamId],
        priority: int,
        timeout: timedelta,
        max_wait: timedelta = MAX_QUEUE_WAIT,
    ) -> Advice:
        """Waits for this call's turn and makes it.

        Raises `AdviceUnavailableError`, and `AdviceBusyError` at once if the wait is expected to be
        longer than ``max_wait``.
        """
        wait = self.expected_wait(priority)
        if wait > max_wait:
            raise AdviceBusyError(wait)
        duration = max(timeout - CALL_TIMEOUT_SLACK, timedelta(0))
        if self._is_busy:
            start = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, _Turn(priority, next(self._sequence), duration, start))
            try:
                await start
            except asyncio.CancelledError:
                if start.done() and not start.cancelled():
                    self._start_next()
                raise
        else:
            self._begin(duration)
        try:
            return await self._client.ask(step, workers, timeout)
        finally:
            self._start_next()

    def _begin(self, duration: timedelta) -> None:
        self._is_busy = True
        self._busy_until = self._clock.boot_time() + duration

    def _start_next(self) -> None:
        while self._waiting:
            turn = heapq.heappop(self._waiting)
            if not turn.start.done():
                self._begin(turn.duration)
                turn.start.set_result(None)
                return
        self._is_busy = False

    async def serve(self, request: AdviseRequest) -> AdviseReply:
        """Calls the advice service for another VM."""
        timeout = timedelta(milliseconds=request.timeout_ms)
        try:
            advice = await self.ask(
                request.step,
                list(request.workers),
                request.priority,
                timeout,
                MAX_QUEUE_WAIT + timedelta(milliseconds=request.extra_wait_ms),
            )
        except AdviceUnavailableError as error:
            return AdviseReply(str(error))
        except AdviceBusyError as error:
            return AdviseReply(str(error), busy_ms=max(to_ms(error.free_in), 1))
        validity_ms = to_ms(advice.validity)
        return AdviseReply("", advice.ticket_by_worker, validity_ms)


class DistributedAdviceSource(AdviceSource):
    """Assigns requests to free VMs. The others wait here in order of priority and age.

    `peer_addresses`
        Returns the addresses of the VMs that are alive.
    `own_vm`
        This VM, which calls the advice service itself.
    `owner_vms`
        Returns the VMs that own pools. Each begins with other VMs than the others do.
    """

    def __init__(
        self,
        own_vm: VmId,
        queue: AdviceQueue,
        peers: PeerClient,
        peer_addresses: Callable[[], dict[VmId, str]],
        clock: Clock,
        owner_vms: Callable[[], Collection[VmId]] = tuple,
    ) -> None:
        self._own_vm = own_vm
        self._queue = queue
        self._peers = peers
        self._peer_addresses = peer_addresses
        self._owner_vms = owner_vms
        self._clock = clock
        self._sequence = itertools.count()
        # Heaps of waiting requests, by whether they are costly.
        self._waiting: dict[bool, list[_Waiter]] = {False: [], True: []}
        self._backlog = 0
        self._poll_timer: asyncio.TimerHandle | None = None
        self._busy_vms: set[VmId] = set()
        self._backoff_until_by_vm: dict[VmId, timedelta] = {}

    @property
    def parallelism(self) -> int:
        return len({*self._peer_addresses(), self._own_vm})

    @property
    def backlog(self) -> int:
        return self._backlog

    async def ask(
        self,
        step: StepKey,
        workers: list[UpstreamId],
        timing: AdviceTiming,
        priority: int,
        deferral: timedelta,
    ) -> Advice:
        cost = timing.base + len(workers) * timing.per_worker
        # Ageing: a waiting request eventually precedes newer ones of higher priority, so that none
        # starves.
        sort_time = self._clock.boot_time() + priority * DELAY_PER_PRIORITY_LEVEL + deferral
        timeout = cost + CALL_TIMEOUT_SLACK
        extra_wait = timedelta(0)
        while True:
            vm = await self._acquire_vm(cost > COSTLY_CALL_THRESHOLD, sort_time)
            try:
                if vm == self._own_vm:
                    max_wait = MAX_QUEUE_WAIT + extra_wait
                    return await self._queue.ask(step, workers, priority, timeout, max_wait)
                return await self._ask_peer(vm, step, workers, priority, timeout, extra_wait)
            except AdviceBusyError as error:
                _log.debug("{}: {} is {}, trying another VM", step, vm, error)
                self._backoff_until_by_vm[vm] = self._clock.boot_time() + error.free_in
                # The next VM queues the request for longer. Otherwise an owner that always has
                # requests would keep its VMs from all others.
                extra_wait = max(extra_wait, error.free_in)
            finally:
                self._busy_vms.discard(vm)
                self._assign_vms()

    async def _acquire_vm(self, is_costly: bool, sort_time: timedelta) -> VmId:
        assignment: asyncio.Future[VmId] = asyncio.get_running_loop().create_future()
        waiter = (sort_time, next(self._sequence), assignment)
        heapq.heappush(self._waiting[is_costly], waiter)
        self._backlog += 1
        self._assign_vms()
        try:
            return await assignment
        except asyncio.CancelledError:
            if assignment.cancelled():
                # It stays in its heap until it would be its turn.
                self._backlog -= 1
            else:
                self._busy_vms.discard(assignment.result())
                self._assign_vms()
            raise

    def _poll(self) -> None:
        """Assigns VMs that have joined or have ended their back-off, which no event signals."""
        self._poll_timer = None
        self._assign_vms()

    def _next_waiter(self, is_costly: bool) -> _Waiter | None:
        """Returns the first request of a heap that still waits."""
        heap = self._waiting[is_costly]
        while heap and heap[0][2].done():
            heapq.heappop(heap)
        return heap[0] if heap else None

    def _assign_vms(self) -> None:
        if self._backlog and self._poll_timer is None:
            period = ASSIGNMENT_RETRY_PERIOD.total_seconds()
            self._poll_timer = asyncio.get_running_loop().call_later(period, self._poll)
        if not self._backlog:
            return
        now = self._clock.boot_time()
        vms = sorted({*self._peer_addresses(), self._own_vm})
        reserved = vms[: _reserved_count(len(vms))]
        free = [
            vm
            for vm in (*reserved, *self._rotated(vms[len(reserved) :]))
            if vm not in self._busy_vms and self._backoff_until_by_vm.get(vm, timedelta(0)) <= now
        ]
        reserved_vms = set(reserved)
        if len(vms) > 2 * MIN_RESERVED_VMS:
            # Calls of this VM need no call between VMs, so it is the first choice for cheap ones.
            reserved_vms.add(self._own_vm)
            free.sort(key=lambda vm: vm != self._own_vm)
        while free:
            vm_for_costly = next((vm for vm in free if vm not in reserved_vms), None)
            cheap = self._next_waiter(False)
            costly = self._next_waiter(True) if vm_for_costly is not None else None
            if cheap is None and costly is None:
                return
            is_costly = cheap is None or (costly is not None and costly < cheap)
            vm = vm_for_costly if is_costly and vm_for_costly is not None else free[0]
            _, _, assignment = heapq.heappop(self._waiting[is_costly])
            free.remove(vm)
            self._busy_vms.add(vm)
            self._backlog -= 1
            assignment.set_result(vm)

    def _rotated(self, vms: list[VmId]) -> list[VmId]:
        """Returns the VMs from this owner's first one on."""
        owners = sorted({*self._owner_vms(), self._own_vm})
        first = owners.index(self._own_vm) * len(vms) // len(owners)
        return vms[first:] + vms[:first]

    async def _ask_peer(
        self,
        vm: VmId,
        step: StepKey,
        workers: list[UpstreamId],
        priority: int,
        timeout: timedelta,
        extra_wait: timedelta,
    ) -> Advice:
        request = AdviseRequest(step, tuple(workers), priority, to_ms(timeout), to_ms(extra_wait))
        address = self._peer_addresses().get(vm, "")
        try:
            reply = await self._peers.call(address, request, timeout + extra_wait, Step.ADMIT)
        except SchedulerError as error:
            self._backoff_until_by_vm[vm] = self._clock.boot_time() + FAILED_VM_BACKOFF
            raise AdviceUnavailableError(str(error)) from error
        if reply.busy_ms:
            raise AdviceBusyError(timedelta(milliseconds=reply.busy_ms))
        if reply.problem:
            raise AdviceUnavailableError(f"{vm}: {reply.problem}")
        return Advice(reply.ticket_by_worker, timedelta(milliseconds=reply.validity_ms))


def _reserved_count(vms: int) -> int:
    return min(max(int(vms * RESERVED_SHARE), MIN_RESERVED_VMS), int(vms * MAX_RESERVED_SHARE))
