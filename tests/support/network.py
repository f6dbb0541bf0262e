"""Network between the entry processes of a simulated cell, with faults for each pair."""

import asyncio
import random
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from hornbeamramp.clock import ManualClock
from hornbeamramp.errors import UnreachableError
from hornbeamramp.messages import (
    CancelRequest,
    ConfigDeltaRequest,
    HandOverRequest,
    SubmitRequest,
)
from hornbeamramp.states import Step
from tests.support.runtime import spawn_detached

if TYPE_CHECKING:
    from tests.support.vm import Vm

__all__ = ["LinkFaults", "PeerNetwork", "VmPeerCaller"]

STEP_BY_REQUEST_TYPE = {
    SubmitRequest: Step.FORWARD,
    CancelRequest: Step.CANCEL,
    HandOverRequest: Step.DRAIN,
    ConfigDeltaRequest: Step.CHANGE_APPLIED,
}
LATENCY = timedelta(milliseconds=1)
DUPLICATE_DELAY = timedelta(milliseconds=700)
# Sum of gRPC's keepalive time and timeout, after which an unresponsive connection is closed.
KEEPALIVE_LIMIT = timedelta(seconds=7)
KEEPALIVE_POLL = timedelta(seconds=1)


@dataclass
class LinkFaults:
    """Faults from one sender to one receiver. A count is the number of next messages it hits.

    `jitter`
        Upper bound of a random delay, drawn from the cell's seed.
    """

    cut: bool = False
    delay: timedelta = timedelta(0)
    jitter: timedelta = timedelta(0)
    drop_requests: int = 0
    drop_replies: int = 0
    duplicates: int = 0

    def consume(self, name: str) -> bool:
        """Returns whether the fault hits this message, and decrements its count."""
        remaining = getattr(self, name)
        setattr(self, name, max(remaining - 1, 0))
        return remaining > 0


class PeerNetwork:
    """Delivers requests to entry processes by address and returns their replies."""

    def __init__(self, clock: ManualClock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self.vm_by_address: dict[str, Vm] = {}
        self.faults_by_pair: dict[tuple[str, str], LinkFaults] = {}
        self._pending_replies: dict[asyncio.Future[Any], tuple[Vm, Step]] = {}

    def faults(self, sender: str, receiver: str) -> LinkFaults:
        return self.faults_by_pair.setdefault((sender, receiver), LinkFaults())

    def cut(self, one: str, other: str, cut: bool = True) -> None:
        """Cuts or reconnects a pair in both directions."""
        self.faults(one, other).cut = cut
        self.faults(other, one).cut = cut

    def heal(self) -> None:
        self.faults_by_pair.clear()

    def is_silent(self, sender: "Vm", target: "Vm") -> bool:
        pair = (self.faults(sender.name, target.name), self.faults(target.name, sender.name))
        return target.is_lost or target.pause.is_paused or any(link.cut for link in pair)

    def has_calls_to(self, vm: "Vm") -> bool:
        return any(
            target is vm and not reply.done()
            for reply, (target, _) in self._pending_replies.items()
        )

    def reset(self, vm: "Vm") -> None:
        """Fails the pending calls to a process as if the kernel had closed its connections."""
        for reply, (target, step) in list(self._pending_replies.items()):
            if target is vm and not reply.done():
                reply.set_exception(UnreachableError(step, vm.address, "connection reset"))

    async def call(
        self, sender: "Vm", address: str, request: Any, timeout: timedelta, step: Step
    ) -> Any:
        sender.record_call(f"{type(request).__name__} to {address}")
        target = self.vm_by_address.get(address)
        await asyncio.sleep(0)
        if target is None or not (target.listens_to_peers or target.is_lost):
            raise UnreachableError(step, address, "connection refused", sent=False)
        reported_step = STEP_BY_REQUEST_TYPE.get(type(request))
        if reported_step is not None:
            sender.cell.report_step(reported_step, sender)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        reply.add_done_callback(lambda done: done.cancelled() or done.exception())
        self._pending_replies[reply] = (target, step)
        spawn_detached(self._deliver(sender, target, request, reply, step))
        try:
            await self._wait(sender, target, reply, timeout)
        finally:
            self._pending_replies.pop(reply, None)
        await sender.pause.wait_until_resumed()
        if not reply.done():
            raise UnreachableError(step, address, "no answer in time")
        return reply.result()

    async def _wait(self, sender, target, reply, timeout: timedelta) -> None:
        deadline = self._clock.boot_time() + timeout
        silent_since = None
        while not reply.done():
            now = self._clock.boot_time()
            if not self.is_silent(sender, target):
                silent_since = None
            elif silent_since is None:
                silent_since = now
            elif now - silent_since >= KEEPALIVE_LIMIT:
                return
            if now >= deadline:
                return
            poll = asyncio.ensure_future(self._clock.sleep(min(deadline - now, KEEPALIVE_POLL)))
            await asyncio.wait({reply, poll}, return_when=asyncio.FIRST_COMPLETED)
            poll.cancel()

    async def _deliver(self, sender, target, request, reply, step: Step) -> None:
        request_faults = self.faults(sender.name, target.name)
        await self._wait_in_transit(request_faults)
        if request_faults.cut or target.is_lost:
            return
        if request_faults.consume("drop_requests"):
            await self._fail_by_keepalive(target, reply, step)
            return
        if request_faults.consume("duplicates"):
            spawn_detached(self._deliver_again(target, request))
        task = target.tasks.spawn(target.handle(request))
        await asyncio.wait({task})
        reply_faults = self.faults(target.name, sender.name)
        await self._wait_in_transit(reply_faults)
        if reply_faults.cut or reply.done() or task.cancelled():
            return
        if reply_faults.consume("drop_replies"):
            await self._fail_by_keepalive(target, reply, step)
            return
        if task.exception() is not None:
            message = f"handler failed: {task.exception()!r}"
            reply.set_exception(UnreachableError(step, target.address, message))
            return
        reply.set_result(task.result())

    async def _fail_by_keepalive(self, target, reply, step: Step) -> None:
        # TCP loses a message only with its connection, whose caller then gets a keepalive timeout.
        await self._clock.sleep(KEEPALIVE_LIMIT)
        if not reply.done():
            reply.set_exception(UnreachableError(step, target.address, "keepalive timeout"))

    async def _deliver_again(self, target, request) -> None:
        await self._clock.sleep(DUPLICATE_DELAY)
        if target.listens_to_peers:
            task = target.tasks.spawn(target.handle(request))
            await asyncio.wait({task})
            _ = task.cancelled() or task.exception()

    async def _wait_in_transit(self, link: LinkFaults) -> None:
        jitter = link.jitter * self._rng.random() if link.jitter else timedelta(0)
        await self._clock.sleep(LATENCY + link.delay + jitter)


class VmPeerCaller:
    """`PeerCaller` of one process."""

    def __init__(self, network: PeerNetwork, vm: "Vm") -> None:
        self._network = network
        self._vm = vm

    async def call(self, address: str, request: Any, timeout: timedelta, step: Step) -> Any:
        return await self._network.call(self._vm, address, request, timeout, step)
