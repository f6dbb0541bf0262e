"""A cell of membership and ownership processes in one event loop, with faults.

Tests inject faults of the network, the store and the upstreams, and pause processes. Time passes
only by `ManualClock.advance`.
"""

import asyncio
from datetime import timedelta

from hornbeamramp.clock import Clock, ManualClock
from hornbeamramp.errors import StoreUnavailableError, UnreachableError
from hornbeamramp.ids import DataCentreId, Epoch, Revision, ShardId, VmId
from hornbeamramp.membership import Membership
from hornbeamramp.messages import (
    AskOwnerRequest,
    HandOverRequest,
    Heartbeat,
    PromiseRequest,
    ShardHeartbeat,
)
from hornbeamramp.ownership import Ownership
from hornbeamramp.platforms.memory import MemoryPlatform
from hornbeamramp.settings import PlatformSettings, Settings, TimingSettings
from hornbeamramp.states import Step
from tests.fake_upstreams import Pause, UpstreamAccess, Upstreams

SECOND = timedelta(seconds=1)
STORE_TIMEOUT = timedelta(seconds=1)
DC = DataCentreId("gebze")
SHARD = ShardId("weigh@gebze")


class ProcessClock(Clock):
    """Clock of one process; its sleeps do not end while the process is paused.

    `rate`
        Its speed relative to the cell's clock.
    """

    def __init__(self, clock: ManualClock, pause: Pause, rate: float = 1.0) -> None:
        self._clock = clock
        self._pause = pause
        self._rate = rate

    def now(self):
        return self._clock.now()

    def boot_time(self) -> timedelta:
        return self._clock.boot_time() * self._rate

    async def sleep(self, duration: timedelta) -> None:
        await self._clock.sleep(duration / self._rate)
        await self._pause.wait_until_resumed()


class StoreAccess:
    """Access of one process to the store, with faults. Unanswered calls fail after a second.

    `cut`
        Calls get no answer and have no effect.
    `lose_answers`
        Number of the next calls that take effect and get no answer.
    `delay`
        Time until a call takes effect, even if the process has stopped waiting by then.
    """

    def __init__(self, store: MemoryPlatform, clock: ManualClock, pause: Pause) -> None:
        self._store = store
        self._clock = clock
        self._pause = pause
        self.cut = False
        self.lose_answers = 0
        self.delay = timedelta(0)

    def __getattr__(self, name):
        async def call(*arguments):
            try:
                return await self._answer(name, arguments)
            finally:
                await self._pause.wait_until_resumed()

        return call

    async def _answer(self, name: str, arguments: tuple):
        if name == "watch":
            result = None if self.cut else await self._store.watch(*arguments)
        else:
            effect = asyncio.ensure_future(self._take_effect(name, arguments, self.delay))
            expiry = asyncio.ensure_future(self._clock.sleep(STORE_TIMEOUT))
            await asyncio.wait({effect, expiry}, return_when=asyncio.FIRST_COMPLETED)
            expiry.cancel()
            if effect.done() and not self.cut and self.lose_answers == 0:
                return effect.result()
            effect.add_done_callback(lambda task: task.cancelled() or task.exception())
            self.lose_answers = max(self.lose_answers - 1, 0)
            result = None
        if result is None or self.cut:
            await self._clock.sleep(STORE_TIMEOUT)
            raise StoreUnavailableError(Step.RENEW, "store", f"{name}: no answer")
        return result

    async def _take_effect(self, name: str, arguments: tuple, delay: timedelta):
        if self.cut:
            raise StoreUnavailableError(Step.RENEW, "store", f"{name}: cut off", sent=False)
        if delay:
            await self._clock.sleep(delay)
        return await getattr(self._store, name)(*arguments)


class Network:
    """Connects processes by address. Can cut pairs, delay or repeat messages and drop replies."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.process_by_address: dict[str, Process] = {}
        self.cut: set[frozenset[VmId]] = set()
        self.delay_by_pair: dict[frozenset[VmId], timedelta] = {}
        self.duplicate = False
        self.drop_replies: set[frozenset[VmId]] = set()

    async def call(self, sender: "Process", address: str, request, timeout: timedelta, step: Step):
        target = self.process_by_address.get(address)
        reply = asyncio.get_running_loop().create_future()
        delivery = asyncio.ensure_future(self._deliver(sender, target, request, reply))
        expiry = asyncio.ensure_future(self._clock.sleep(timeout))
        await asyncio.wait({reply, expiry}, return_when=asyncio.FIRST_COMPLETED)
        expiry.cancel()
        await sender.pause.wait_until_resumed()
        if not reply.done():
            # The request may still arrive, so its delivery is not cancelled.
            sender.pending_deliveries.add(delivery)
            raise UnreachableError(step, address, "no answer in time")
        return reply.result()

    async def _deliver(self, sender, target, request, reply: asyncio.Future) -> None:
        if target is None:
            return
        pair = frozenset((sender.vm, target.vm))
        if pair in self.cut:
            return
        for _ in range(2 if self.duplicate else 1):
            await self._clock.sleep(self.delay_by_pair.get(pair, timedelta(0)))
            await target.pause.wait_until_resumed()
            if not target.is_running:
                return
            answer = await target.handle(request)
            await target.pause.wait_until_resumed()
            if pair not in self.cut and pair not in self.drop_replies and not reply.done():
                reply.set_result(answer)


class Peers:
    """`PeerCaller` of one process."""

    def __init__(self, network: Network, process: "Process") -> None:
        self._network = network
        self._process = process

    async def call(self, address: str, request, timeout: timedelta, step: Step):
        return await self._network.call(self._process, address, request, timeout, step)


class Process:
    """One entry process: membership and ownership, wired as `entry.py` does."""

    def __init__(
        self, cell: "Cell", name: str, data_centre: DataCentreId, size: float, rate: float
    ) -> None:
        self.vm = VmId(name)
        self.cell = cell
        self.pause = Pause()
        self.pending_deliveries: set[asyncio.Future] = set()
        self.is_running = True
        self.revision = Revision(1)
        self.events: list[tuple] = []
        self.clock = ProcessClock(cell.clock, self.pause, rate)
        self.store = StoreAccess(cell.store, cell.clock, self.pause)
        settings = Settings(
            vm=self.vm,
            data_centre=data_centre,
            caller_address=f"{name}:80",
            peer_address=f"{name}:90",
            platform=PlatformSettings(address="memory"),
            size=size,
            timing=cell.timing,
        )
        peers = Peers(cell.network, self)
        self.membership = Membership(
            settings, self.store, peers, self.clock, self._heartbeat_content
        )
        self.ownership = Ownership(
            self.membership,
            self.store,
            peers,
            self.clock,
            cell.timing,
            lambda: [s for s in cell.shards if s.endswith("@" + data_centre)],
            self._gained,
            self._lost,
            UpstreamAccess(cell.upstreams, self.pause) if cell.upstreams else None,
        )
        cell.network.process_by_address[f"{name}:90"] = self
        self._tasks = [
            asyncio.ensure_future(self.membership.run()),
            asyncio.ensure_future(self.ownership.run()),
        ]

    def _heartbeat_content(self) -> tuple[Revision, dict[ShardId, ShardHeartbeat]]:
        heartbeats = {s: ShardHeartbeat(e, True) for s, e in self.ownership.owned.items()}
        return self.revision, heartbeats

    async def _gained(self, shard: ShardId, epoch: Epoch) -> None:
        self.events.append(("gained", shard, epoch))

    async def _lost(self, shard: ShardId) -> None:
        self.events.append(("lost", shard))

    async def handle(self, request):
        match request:
            case Heartbeat():
                return self.membership.on_heartbeat(request)
            case AskOwnerRequest():
                return self.ownership.on_ask_owner(request)
            case PromiseRequest():
                return self.ownership.on_promise(request)
            case HandOverRequest():
                return await self.ownership.on_hand_over(request)
        raise AssertionError(f"unexpected request {request!r}")

    def may_start(self, shard: ShardId = SHARD) -> bool:
        """Returns what the process would find now. A paused process may check when it resumes."""
        return self.is_running and self.ownership.may_start(shard)

    def kill(self) -> None:
        self.is_running = False
        for task in self._tasks:
            task.cancel()
        self.pause.resume()

    def failures(self) -> list[BaseException]:
        """Returns the errors that ended any of the process's main tasks."""
        return [
            t.exception() for t in self._tasks if t.done() and not t.cancelled() and t.exception()
        ]


class Cell:
    """Processes, their store, network and upstreams."""

    def __init__(
        self, clock: ManualClock, store: MemoryPlatform, with_upstreams: bool = True
    ) -> None:
        self.clock = clock
        self.store = store
        self.timing = TimingSettings()
        self.network = Network(clock)
        self.upstreams = Upstreams(clock) if with_upstreams else None
        self.shards = [SHARD]
        self.process_by_vm: dict[VmId, Process] = {}
        self.last_allowed_at: dict[tuple[ShardId, Process], timedelta] = {}

    def start(
        self, name: str, data_centre: DataCentreId = DC, size: float = 1.0, rate: float = 1.0
    ) -> Process:
        """Starts a process; one of the same name must have been killed before."""
        process = Process(self, name, data_centre, size, rate)
        self.process_by_vm[process.vm] = process
        return process

    def kill(self, name: str) -> None:
        self.process_by_vm.pop(VmId(name)).kill()

    def cut(self, *names: str) -> None:
        self.network.cut.add(frozenset(names))

    def heal(self) -> None:
        self.network.cut.clear()
        for process in self.process_by_vm.values():
            process.store.cut = False

    def serving(self, shard: ShardId = SHARD) -> list[VmId]:
        """Returns the VMs whose process may start tasks of the shard now."""
        return [vm for vm, p in self.process_by_vm.items() if p.may_start(shard)]

    def owners(self, shard: ShardId = SHARD) -> list[VmId]:
        return [vm for vm, p in self.process_by_vm.items() if shard in p.ownership.owned]

    async def advance(self, duration: timedelta, step: timedelta = SECOND / 10) -> None:
        """Advances the clock and checks after each step that only one process may start tasks."""
        remaining = duration
        while remaining > timedelta(0):
            await self.clock.advance(min(step, remaining))
            remaining -= step
            self.check()

    async def wait_until_served(self, limit: timedelta, shard: ShardId = SHARD) -> timedelta:
        """Advances until a process may start tasks and returns the time taken.

        Fails after ``limit``.
        """
        started_at = self.clock.boot_time()
        while not self.serving(shard):
            assert self.clock.boot_time() - started_at < limit, f"{shard} not served within {limit}"
            await self.advance(SECOND / 10)
        return self.clock.boot_time() - started_at

    def check(self) -> None:
        """Fails if two processes may start tasks, or one while another's start may be in flight."""
        now = self.clock.boot_time()
        send_bound = timedelta(milliseconds=self.timing.send_bound_ms)
        for shard in self.shards:
            for vm in self.serving(shard):
                process = self.process_by_vm[vm]
                for (other_shard, other), at in self.last_allowed_at.items():
                    in_flight = at + send_bound > now and other_shard == shard
                    message = f"{now}: {vm} may start work of {shard}, {other.vm} could at {at}"
                    assert other is process or not in_flight, message
                self.last_allowed_at[shard, process] = now
        for process in self.process_by_vm.values():
            assert not process.failures()

    async def stop(self) -> None:
        for process in list(self.process_by_vm.values()):
            process.kill()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


async def start_processes(cell: Cell, *names: str) -> None:
    """Starts processes and waits until they know each other and exactly one serves the shard."""
    for name in names:
        cell.start(name)
    await cell.advance(10 * SECOND)
    assert len(cell.serving()) == 1
