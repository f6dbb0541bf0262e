"""Network between the entry processes of a simulated cell, with faults by pair."""

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
from tests.support.runtime import spawn_outside

if TYPE_CHECKING:
    from tests.support.vm import Vm

__all__ = ["LinkFaults", "PeerNetwork", "PeerPort"]

STEP_BY_REQUEST_TYPE = {
    SubmitRequest: Step.FORWARD,
    CancelRequest: Step.CANCEL,
    HandOverRequest: Step.DRAIN,
    ConfigDeltaRequest: Step.CHANGE_APPLIED,
}
LATENCY = timedelta(milliseconds=1)
DUPLICATE_AFTER = timedelta(milliseconds=700)
# gRPC's keepalive time and timeout, after which a silent connection is given up.
SILENCE_LIMIT = timedelta(seconds=7)
SILENCE_POLL = timedelta(seconds=1)


@dataclass
class LinkFaults:
    """Faults from one sender to one receiver. The counts are those of the next messages.

    `jitter`
        Upper bound of a random delay, drawn from the cell's seed.
    """

    cut: bool = False
    delay: timedelta = timedelta(0)
    jitter: timedelta = timedelta(0)
    drop_requests: int = 0
    drop_replies: int = 0
    duplicates: int = 0

    def take(self, name: str) -> bool:
        """Tells whether the fault hits this message and counts it down."""
        left = getattr(self, name)
        setattr(self, name, max(left - 1, 0))
        return left > 0


class PeerNetwork:
    """Delivers requests to processes by address."""

    def __init__(self, clock: ManualClock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self.vm_by_address: dict[str, Vm] = {}
        self.faults_by_pair: dict[tuple[str, str], LinkFaults] = {}
        self._open: dict[asyncio.Future[Any], tuple[Vm, Step]] = {}

    def faults(self, sender: str, receiver: str) -> LinkFaults:
        return self.faults_by_pair.setdefault((sender, receiver), LinkFaults())

    def cut(self, one: str, other: str, cut: bool = True) -> None:
        """Cuts or heals a pair in both directions."""
        self.faults(one, other).cut = cut
        self.faults(other, one).cut = cut

    def heal(self) -> None:
        self.faults_by_pair.clear()

    def is_silent(self, sender: "Vm", target: "Vm") -> bool:
        pair = (self.faults(sender.name, target.name), self.faults(target.name, sender.name))
        return target.is_lost or target.pause.is_paused or any(link.cut for link in pair)

    def has_calls_to(self, vm: "Vm") -> bool:
        return any(target is vm and not reply.done() for reply, (target, _) in self._open.items())

    def reset(self, vm: "Vm") -> None:
        """Ends the calls to a process whose connections the kernel has closed."""
        for reply, (target, step) in list(self._open.items()):
            if target is vm and not reply.done():
                reply.set_exception(UnreachableError(step, vm.address, "connection reset"))

    async def call(
        self, sender: "Vm", address: str, request: Any, timeout: timedelta, step: Step
    ) -> Any:
        sender.note_call(f"{type(request).__name__} to {address}")
        target = self.vm_by_address.get(address)
        await asyncio.sleep(0)
        if target is None or not (target.listens_to_peers or target.is_lost):
            raise UnreachableError(step, address, "connection refused", sent=False)
        taken = STEP_BY_REQUEST_TYPE.get(type(request))
        if taken is not None:
            sender.cell.took_step(taken, sender)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        reply.add_done_callback(lambda done: done.cancelled() or done.exception())
        self._open[reply] = (target, step)
        spawn_outside(self._deliver(sender, target, request, reply, step))
        try:
            await self._wait(sender, target, reply, timeout)
        finally:
            self._open.pop(reply, None)
        await sender.pause.passed()
        if not reply.done():
            raise UnreachableError(step, address, "no answer in time")
        return reply.result()

    async def _wait(self, sender, target, reply, timeout: timedelta) -> None:
        give_up_at = self._clock.boot_time() + timeout
        silent_since = None
        while not reply.done():
            now = self._clock.boot_time()
            if not self.is_silent(sender, target):
                silent_since = None
            elif silent_since is None:
                silent_since = now
            elif now - silent_since >= SILENCE_LIMIT:
                return
            if now >= give_up_at:
                return
            poll = asyncio.ensure_future(self._clock.sleep(min(give_up_at - now, SILENCE_POLL)))
            await asyncio.wait({reply, poll}, return_when=asyncio.FIRST_COMPLETED)
            poll.cancel()

    async def _deliver(self, sender, target, request, reply, step: Step) -> None:
        out = self.faults(sender.name, target.name)
        await self._travel(out)
        if out.cut or target.is_lost:
            return
        if out.take("drop_requests"):
            await self._find_silent(target, reply, step)
            return
        if out.take("duplicates"):
            spawn_outside(self._deliver_again(target, request))
        task = target.tasks.spawn(target.handle(request))
        await asyncio.wait({task})
        back = self.faults(target.name, sender.name)
        await self._travel(back)
        if back.cut or reply.done() or task.cancelled():
            return
        if back.take("drop_replies"):
            await self._find_silent(target, reply, step)
            return
        if task.exception() is not None:
            message = f"handler failed: {task.exception()!r}"
            reply.set_exception(UnreachableError(step, target.address, message))
            return
        reply.set_result(task.result())

    async def _find_silent(self, target, reply, step: Step) -> None:
        # TCP loses a message only with its connection, which the keepalive then finds silent.
        await self._clock.sleep(SILENCE_LIMIT)
        if not reply.done():
            reply.set_exception(UnreachableError(step, target.address, "keepalive timeout"))

    async def _deliver_again(self, target, request) -> None:
        await self._clock.sleep(DUPLICATE_AFTER)
        if target.listens_to_peers:
            task = target.tasks.spawn(target.handle(request))
            await asyncio.wait({task})
            _ = task.cancelled() or task.exception()

    async def _travel(self, link: LinkFaults) -> None:
        jitter = link.jitter * self._rng.random() if link.jitter else timedelta(0)
        await self._clock.sleep(LATENCY + link.delay + jitter)


class PeerPort:
    """`PeerCaller` of one process."""

    def __init__(self, network: PeerNetwork, vm: "Vm") -> None:
        self._network = network
        self._vm = vm

    async def call(self, address: str, request: Any, timeout: timedelta, step: Step) -> Any:
        return await self._network.call(self._vm, address, request, timeout, step)
