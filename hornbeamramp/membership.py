"""Members of the cell: records in the store, heartbeats between peers, states."""

import asyncio
import math
from collections.abc import Callable
from datetime import timedelta

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.errors import (
    ConflictError,
    ProtocolError,
    StoreUnavailableError,
    UnreachableError,
)
from hornbeamramp.ids import DataCentreId, LeaseId, Revision, ShardId, VmId
from hornbeamramp.lease import ProcessLease
from hornbeamramp.messages import Heartbeat, HeartbeatReply, ShardBeat
from hornbeamramp.peers import PeerCaller
from hornbeamramp.platforms.base import Platform, WatchResult
from hornbeamramp.settings import Settings
from hornbeamramp.states import MemberState, Step

__all__ = ["BeatContent", "Member", "MemberRecord", "Membership", "member_key"]

log = logbook.Logger("member")

PREFIX = "members/"
# A long poll makes the idle watch cost 0.05 calls per second.
WATCH_WAIT = timedelta(seconds=20)
WATCH_RETRY = timedelta(seconds=1)
VM_LIST_INTERVAL = timedelta(seconds=10)
# Two lost heartbeats in a row make a member suspect, four make it dead.
SUSPECT_AFTER_BEATS = 2.5
DEAD_AFTER_BEATS = 4.5
# Heartbeats of one round go to this many members of each other data centre.
REMOTE_PEERS_PER_ROUND = 2
FORGET_AFTER = timedelta(seconds=60)

BeatContent = Callable[[], tuple[Revision, dict[ShardId, ShardBeat]]]


class MemberRecord(msgspec.Struct, frozen=True):
    """Value of ``members/{dc}/{vm}``. ``lease`` is the lease that it was written under."""

    vm: VmId
    data_centre: DataCentreId
    caller_address: str
    peer_address: str
    size: float
    lease: LeaseId


class Member(msgspec.Struct):
    """What this process knows about a member, itself included.

    `peer_address`
        ``None`` if only a heartbeat of the member arrived and no record.
    `lease`
        Lease of its record in the store, ``None`` once the record has gone.
    `heard_at`
        Boot time of this machine at the last sign of life.
    """

    vm: VmId
    data_centre: DataCentreId
    heard_at: timedelta
    caller_address: str | None = None
    peer_address: str | None = None
    size: float = 0.0
    lease: LeaseId | None = None
    state: MemberState = MemberState.ALIVE
    leaving: bool = False
    listed_leaving: bool = False
    revision: Revision = Revision(0)
    beat_by_shard: dict[ShardId, ShardBeat] = {}


def member_key(data_centre: DataCentreId, vm: VmId) -> str:
    """Returns the store key of a member record."""
    return f"{PREFIX}{data_centre}/{vm}"


class Membership:
    """Keeps this process a member and knows the others.

    `settings`
        Identity, addresses, size and timing of this process.
    `platform`, `peers`, `clock`
        Store, caller of peers, source of time.
    `content`
        Returns the revision in force and the shards served, for heartbeats.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        peers: PeerCaller,
        clock: Clock,
        content: BeatContent,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._content = content
        self._beat = timedelta(milliseconds=settings.timing.heartbeat_ms)
        self._remote_beat = timedelta(milliseconds=settings.timing.remote_heartbeat_ms)
        self.lease = ProcessLease(platform, clock, settings.timing, self._register)
        self.vm = settings.vm
        self.data_centre = settings.data_centre
        self.leaving = False
        self.by_id: dict[VmId, Member] = {
            settings.vm: Member(
                vm=settings.vm,
                data_centre=settings.data_centre,
                heard_at=clock.boot_time(),
                caller_address=settings.caller_address,
                peer_address=settings.peer_address,
                size=settings.size,
            )
        }
        self._task_by_peer: dict[VmId, asyncio.Task[None]] = {}
        self._beat_listeners: list[Callable[[Heartbeat], None]] = []

    async def run(self) -> None:
        """Runs until cancelled: lease, watch, VM list, and one heartbeat task per peer."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.lease.run())
                group.create_task(self._watch(group))
                group.create_task(self._list_vms())
                group.create_task(self._sweep(group))
        finally:
            self._task_by_peer.clear()

    def add_heartbeat_listener(self, listener: Callable[[Heartbeat], None]) -> None:
        """Calls ``listener`` with each heartbeat that arrives."""
        self._beat_listeners.append(listener)

    def alive_in(self, data_centre: DataCentreId) -> list[Member]:
        """Returns the members of a data centre that can take work, this process included."""
        self._refresh_states()
        return [
            member
            for member in self.by_id.values()
            if member.data_centre == data_centre and member.state is MemberState.ALIVE
        ]

    def roster(self) -> frozenset[VmId]:
        """Returns the other members of this data centre that are registered or were heard of."""
        self._refresh_states()
        return frozenset(
            vm
            for vm in self._peers_in(self.data_centre)
            if vm != self.vm
            and self.by_id[vm].peer_address is not None
            and (self.by_id[vm].lease is not None or self.by_id[vm].state is not MemberState.DEAD)
        )

    def state_of(self, vm: VmId) -> MemberState | None:
        """Returns the state of a member, ``None`` if it is not known."""
        self._refresh_states()
        member = self.by_id.get(vm)
        return member.state if member else None

    def beat_of(self, shard: ShardId) -> tuple[ShardBeat, VmId] | None:
        """Returns the beat of ``shard`` with the highest epoch, and the member that sent it."""
        self._refresh_states()
        best: tuple[ShardBeat, VmId] | None = None
        own = {self.vm: self._content()[1].get(shard)}
        for vm, member in self.by_id.items():
            beat = own[vm] if vm in own else member.beat_by_shard.get(shard)
            if beat is None or member.state is MemberState.DEAD:
                continue
            if best is None or beat.epoch > best[0].epoch:
                best = (beat, vm)
        return best

    def revision_by_vm(self) -> dict[VmId, Revision]:
        """Returns the revision in force at each member, as last heard."""
        revisions = {vm: member.revision for vm, member in self.by_id.items()}
        revisions[self.vm] = self._content()[0]
        return revisions

    def set_leaving(self) -> None:
        """Tells the others with the next heartbeat that this process takes no new work."""
        self.leaving = True
        self._refresh_states()

    def on_heartbeat(self, beat: Heartbeat) -> HeartbeatReply:
        """Takes in a peer's heartbeat."""
        if beat.vm != self.vm:
            member = self.by_id.get(beat.vm)
            if member is None:
                log.info("{} appeared by heartbeat", beat.vm)
                member = Member(beat.vm, beat.data_centre, self._clock.boot_time())
                self.by_id[beat.vm] = member
            if member.lease is None and beat.peer_address:
                # Without the store there is no record to take the address from.
                member.peer_address = beat.peer_address
            member.heard_at = self._clock.boot_time()
            member.revision = beat.revision
            member.leaving = beat.state is MemberState.LEAVING
            member.beat_by_shard = beat.shards
            for listener in self._beat_listeners:
                listener(beat)
        return HeartbeatReply(self._content()[0], self._own_state())

    def _own_state(self) -> MemberState:
        return MemberState.LEAVING if self.leaving else MemberState.ALIVE

    async def _register(self, lease: LeaseId) -> None:
        own = self.by_id[self.vm]
        record = MemberRecord(
            vm=self.vm,
            data_centre=self.data_centre,
            caller_address=self._settings.caller_address,
            peer_address=self._settings.peer_address,
            size=self._settings.size,
            lease=lease,
        )
        key = member_key(self.data_centre, self.vm)
        try:
            await self._platform.put(key, msgspec.json.encode(record), None, lease)
        except ConflictError:
            # A record under another lease must stay: it shows that an earlier process of this VM
            # may still hold shards. It goes when that lease ends.
            entry = await self._platform.get(key)
            if entry is None or msgspec.json.decode(entry.value, type=MemberRecord) != record:
                raise
        own.lease = lease
        log.info("{} registered under {}", self.vm, lease)

    async def _watch(self, group: asyncio.TaskGroup) -> None:
        after = 0
        synced = False
        while True:
            # The first call only reads: in an empty store a watch has nothing to return.
            wait = WATCH_WAIT if synced else timedelta(0)
            try:
                result = await self._platform.watch(PREFIX, after, wait)
            except StoreUnavailableError:
                await self._clock.sleep(WATCH_RETRY)
                continue
            self._take_records(result, everything=not synced)
            self._start_senders(group)
            after = result.revision
            synced = True

    def _start_senders(self, group: asyncio.TaskGroup) -> None:
        """Starts a task for each peer with a known address that has none."""
        for vm in self.by_id.keys() - self._task_by_peer.keys() - {self.vm}:
            if self.by_id[vm].peer_address is not None:
                self._task_by_peer[vm] = group.create_task(self._send_heartbeats(vm))

    def _take_records(self, result: WatchResult, everything: bool) -> None:
        present: set[VmId] = set()
        for entry in result.changed:
            try:
                record = msgspec.json.decode(entry.value, type=MemberRecord)
            except msgspec.DecodeError as error:
                log.error("unreadable record {}: {}", entry.key, error)
                continue
            present.add(record.vm)
            self._take_record(record)
        gone = {VmId(key.rpartition("/")[2]) for key in result.deleted} - present
        if everything:
            gone |= self.by_id.keys() - present
        for vm in gone - {self.vm}:
            # The record ends with the lease; the member itself may live on without the store.
            if vm in self.by_id:
                self.by_id[vm].lease = None

    def _take_record(self, record: MemberRecord) -> None:
        if record.vm == self.vm:
            return
        member = self.by_id.get(record.vm)
        if member is None:
            member = Member(record.vm, record.data_centre, self._clock.boot_time())
            self.by_id[record.vm] = member
            log.info("{} in {} appeared in the store", record.vm, record.data_centre)
        member.caller_address = record.caller_address
        member.peer_address = record.peer_address
        member.size = record.size
        member.lease = record.lease

    async def _list_vms(self) -> None:
        while True:
            try:
                listed = {vm.vm_id: vm for vm in await self._platform.list_vms()}
                for vm, member in self.by_id.items():
                    member.listed_leaving = vm in listed and listed[vm].leaving
            except StoreUnavailableError:
                pass
            await self._clock.sleep(VM_LIST_INTERVAL)

    async def _sweep(self, group: asyncio.TaskGroup) -> None:
        while True:
            await self._clock.sleep(self._beat)
            self._refresh_states()
            self._start_senders(group)
            now = self._clock.boot_time()
            for vm, member in list(self.by_id.items()):
                if vm == self.vm or member.lease is not None or self.lease.id is None:
                    continue
                if now - member.heard_at > FORGET_AFTER:
                    log.info("{} forgotten", vm)
                    del self.by_id[vm]
                    if task := self._task_by_peer.pop(vm, None):
                        task.cancel()

    async def _send_heartbeats(self, vm: VmId) -> None:
        """Sends heartbeats to one peer, one at a time."""
        index = 0
        while True:
            member = self.by_id[vm]
            interval = self._interval_of(member)
            if index == 0 and member.data_centre != self.data_centre:
                # Spreads the peers of a data centre over the rounds.
                await self._clock.sleep(self._phase_of(member))
            index += 1
            sent = self._clock.boot_time()
            timeout = min(interval, self._remote_beat)
            try:
                reply = await self.send_heartbeat(member.peer_address, timeout)
                member.heard_at = max(member.heard_at, sent)
                member.revision = max(member.revision, reply.revision)
                member.leaving = reply.state is MemberState.LEAVING
            except (UnreachableError, ProtocolError) as error:
                log.debug("no heartbeat reply from {}: {}", vm, error.message)
            await self._clock.sleep(sent + interval - self._clock.boot_time())

    async def send_heartbeat(self, address: str, timeout: timedelta) -> HeartbeatReply:
        """Sends a heartbeat to an address, of a member or of a peer named in the settings.

        Raises `UnreachableError` or `ProtocolError`.
        """
        revision, shards = self._content()
        beat = Heartbeat(
            self.vm,
            self.data_centre,
            self._own_state(),
            revision,
            shards,
            self._settings.peer_address,
        )
        return await self._peers.call(address, beat, timeout, Step.FORWARD)

    def _interval_of(self, member: Member) -> timedelta:
        """Returns the time between two heartbeats to a member."""
        if member.data_centre == self.data_centre:
            return self._beat
        rounds = math.ceil(len(self._peers_in(member.data_centre)) / REMOTE_PEERS_PER_ROUND)
        return self._remote_beat * max(rounds, 1)

    def _phase_of(self, member: Member) -> timedelta:
        position = sorted(self._peers_in(member.data_centre)).index(member.vm)
        return self._remote_beat * (position // REMOTE_PEERS_PER_ROUND)

    def _peers_in(self, data_centre: DataCentreId) -> list[VmId]:
        return [vm for vm, peer in self.by_id.items() if peer.data_centre == data_centre]

    def _refresh_states(self) -> None:
        now = self._clock.boot_time()
        for vm, member in self.by_id.items():
            if vm == self.vm:
                member.state = self._own_state()
                continue
            silence = (now - member.heard_at) / self._interval_of(member)
            if silence > DEAD_AFTER_BEATS:
                state = MemberState.DEAD
            elif silence > SUSPECT_AFTER_BEATS:
                state = MemberState.SUSPECT
            elif member.leaving or member.listed_leaving:
                state = MemberState.LEAVING
            else:
                state = MemberState.ALIVE
            if state is not member.state:
                log.info("{} is {}", vm, state.value)
                member.state = state
