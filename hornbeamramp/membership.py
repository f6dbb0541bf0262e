"""Cluster membership: member records in the store, heartbeats between peers, member states."""

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
from hornbeamramp.messages import Heartbeat, HeartbeatReply, ShardHeartbeat
from hornbeamramp.peers import PeerCaller
from hornbeamramp.platforms.base import Platform, WatchResult
from hornbeamramp.settings import Settings
from hornbeamramp.states import MemberState, Step

__all__ = ["HeartbeatContent", "Member", "MemberRecord", "Membership", "member_key"]

log = logbook.Logger("member")

PREFIX = "members/"
# With long polling, an idle watch costs 0.05 store calls per second.
WATCH_WAIT = timedelta(seconds=20)
WATCH_RETRY = timedelta(seconds=1)
VM_LIST_INTERVAL = timedelta(seconds=10)
# In heartbeat intervals: two lost heartbeats in a row make a member suspect, four make it dead.
SUSPECT_AFTER_INTERVALS = 2.5
DEAD_AFTER_INTERVALS = 4.5
# In each round, heartbeats go to this many members of each other data centre.
REMOTE_PEERS_PER_ROUND = 2
# A member without a store record is removed after it has been silent for this long. While this
# process has no store lease of its own, none is removed.
FORGET_AFTER = timedelta(seconds=60)

HeartbeatContent = Callable[[], tuple[Revision, dict[ShardId, ShardHeartbeat]]]


class MemberRecord(msgspec.Struct, frozen=True):
    """Value of ``members/{dc}/{vm}``. ``lease`` is the store lease of the key."""

    vm: VmId
    data_centre: DataCentreId
    caller_address: str
    peer_address: str
    size: float
    lease: LeaseId


class Member(msgspec.Struct):
    """State that this process keeps of a member, itself included.

    `peer_address`
        ``None`` if the member is known only by a heartbeat without an address.
    `lease`
        Lease of its record in the store, ``None`` if there is no record.
    `heard_at`
        Boot time of this machine at the last heartbeat received from the member, or at the sending
        of the last heartbeat that it answered, if later; at first, the time of its discovery.
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
    heartbeat_by_shard: dict[ShardId, ShardHeartbeat] = msgspec.field(
        default_factory=dict, name="beat_by_shard"
    )


def member_key(data_centre: DataCentreId, vm: VmId) -> str:
    """Returns the store key of a member record."""
    return f"{PREFIX}{data_centre}/{vm}"


class Membership:
    """Keeps this process registered as a member and tracks the other members.

    `settings`
        Identity, addresses, size and timing of this process.
    `platform`, `peers`, `clock`
        Store, client for peer calls, clock.
    `heartbeat_content`
        Returns the configuration revision in force and the shards served, for heartbeats.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        peers: PeerCaller,
        clock: Clock,
        heartbeat_content: HeartbeatContent,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._heartbeat_content = heartbeat_content
        self._heartbeat_interval = timedelta(milliseconds=settings.timing.heartbeat_ms)
        self._remote_heartbeat_interval = timedelta(
            milliseconds=settings.timing.remote_heartbeat_ms
        )
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
        self._heartbeat_listeners: list[Callable[[Heartbeat], None]] = []

    async def run(self) -> None:
        """Runs lease, store watch, VM listing and one heartbeat task per peer, until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.lease.run())
                group.create_task(self._watch(group))
                group.create_task(self._list_vms())
                group.create_task(self._sweep(group))
        finally:
            self._task_by_peer.clear()

    def add_heartbeat_listener(self, listener: Callable[[Heartbeat], None]) -> None:
        """Registers ``listener`` to be called with each heartbeat received."""
        self._heartbeat_listeners.append(listener)

    def alive_in(self, data_centre: DataCentreId) -> list[Member]:
        """Returns the members of a data centre that can take work, this process included."""
        self._refresh_states()
        return [
            member
            for member in self.by_id.values()
            if member.data_centre == data_centre and member.state is MemberState.ALIVE
        ]

    def known_peers(self) -> frozenset[VmId]:
        """Returns the other members of this data centre that are registered or not dead.

        Members without a known peer address are left out.
        """
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

    def heartbeat_of(self, shard: ShardId) -> tuple[ShardHeartbeat, VmId] | None:
        """Returns the heartbeat entry of ``shard`` with the highest epoch, and its sender."""
        self._refresh_states()
        best: tuple[ShardHeartbeat, VmId] | None = None
        local_heartbeat_by_vm = {self.vm: self._heartbeat_content()[1].get(shard)}
        for vm, member in self.by_id.items():
            shard_heartbeat = (
                local_heartbeat_by_vm[vm]
                if vm in local_heartbeat_by_vm
                else member.heartbeat_by_shard.get(shard)
            )
            if shard_heartbeat is None or member.state is MemberState.DEAD:
                continue
            if best is None or shard_heartbeat.epoch > best[0].epoch:
                best = (shard_heartbeat, vm)
        return best

    def revision_by_vm(self) -> dict[VmId, Revision]:
        """Returns the revision in force at each member, by its last heartbeat."""
        revisions = {vm: member.revision for vm, member in self.by_id.items()}
        revisions[self.vm] = self._heartbeat_content()[0]
        return revisions

    def set_leaving(self) -> None:
        """Marks this process as leaving in its next heartbeats, so that it gets no new work."""
        self.leaving = True
        self._refresh_states()

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Updates the sender's state from its heartbeat and returns the reply."""
        if heartbeat.vm != self.vm:
            member = self.by_id.get(heartbeat.vm)
            if member is None:
                log.info("new member {} discovered by heartbeat", heartbeat.vm)
                member = Member(heartbeat.vm, heartbeat.data_centre, self._clock.boot_time())
                self.by_id[heartbeat.vm] = member
            if member.lease is None and heartbeat.peer_address:
                # Without a store record, the heartbeat is the only source of the address.
                member.peer_address = heartbeat.peer_address
            member.heard_at = self._clock.boot_time()
            member.revision = heartbeat.revision
            member.leaving = heartbeat.state is MemberState.LEAVING
            member.heartbeat_by_shard = heartbeat.shards
            for listener in self._heartbeat_listeners:
                listener(heartbeat)
        return HeartbeatReply(self._heartbeat_content()[0], self._local_state())

    def _local_state(self) -> MemberState:
        return MemberState.LEAVING if self.leaving else MemberState.ALIVE

    async def _register(self, lease: LeaseId) -> None:
        local_member = self.by_id[self.vm]
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
            # A record under another lease must not be replaced: it shows that an earlier process of
            # this VM may still own shards. The store removes it when that lease ends.
            entry = await self._platform.get(key)
            if entry is None or msgspec.json.decode(entry.value, type=MemberRecord) != record:
                raise
        local_member.lease = lease
        log.info("{} registered under lease {}", self.vm, lease)

    async def _watch(self, group: asyncio.TaskGroup) -> None:
        after = 0
        synced = False
        while True:
            # The first call does not wait: on an empty store it would block for all of WATCH_WAIT.
            wait = WATCH_WAIT if synced else timedelta(0)
            try:
                result = await self._platform.watch(PREFIX, after, wait)
            except StoreUnavailableError:
                await self._clock.sleep(WATCH_RETRY)
                continue
            self._apply_records(result, is_full_listing=not synced)
            self._start_senders(group)
            after = result.revision
            synced = True

    def _start_senders(self, group: asyncio.TaskGroup) -> None:
        """Starts a heartbeat task for each peer that has an address and no task yet."""
        for vm in self.by_id.keys() - self._task_by_peer.keys() - {self.vm}:
            if self.by_id[vm].peer_address is not None:
                self._task_by_peer[vm] = group.create_task(self._send_heartbeats(vm))

    def _apply_records(self, result: WatchResult, is_full_listing: bool) -> None:
        present: set[VmId] = set()
        for entry in result.changed:
            try:
                record = msgspec.json.decode(entry.value, type=MemberRecord)
            except msgspec.DecodeError as error:
                log.error("could not decode member record {}: {}", entry.key, error)
                continue
            present.add(record.vm)
            self._apply_record(record)
        removed = {VmId(key.rpartition("/")[2]) for key in result.deleted} - present
        if is_full_listing:
            removed |= self.by_id.keys() - present
        for vm in removed - {self.vm}:
            # The record ends with the lease, but the member may still run without the store.
            if vm in self.by_id:
                self.by_id[vm].lease = None

    def _apply_record(self, record: MemberRecord) -> None:
        if record.vm == self.vm:
            return
        member = self.by_id.get(record.vm)
        if member is None:
            member = Member(record.vm, record.data_centre, self._clock.boot_time())
            self.by_id[record.vm] = member
            log.info("new member {} in {} discovered in the store", record.vm, record.data_centre)
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
            await self._clock.sleep(self._heartbeat_interval)
            self._refresh_states()
            self._start_senders(group)
            now = self._clock.boot_time()
            for vm, member in list(self.by_id.items()):
                if vm == self.vm or member.lease is not None or self.lease.id is None:
                    continue
                if now - member.heard_at > FORGET_AFTER:
                    log.info("member {} removed: no store record and no recent heartbeat", vm)
                    del self.by_id[vm]
                    if task := self._task_by_peer.pop(vm, None):
                        task.cancel()

    async def _send_heartbeats(self, vm: VmId) -> None:
        """Sends heartbeats to one peer, one at a time, until cancelled."""
        index = 0
        while True:
            member = self.by_id[vm]
            interval = self._interval_of(member)
            if index == 0 and member.data_centre != self.data_centre:
                # Distributes the members of a remote data centre over the rounds.
                await self._clock.sleep(self._send_offset_of(member))
            index += 1
            sent_at = self._clock.boot_time()
            timeout = min(interval, self._remote_heartbeat_interval)
            try:
                reply = await self.send_heartbeat(member.peer_address, timeout)
                member.heard_at = max(member.heard_at, sent_at)
                member.revision = max(member.revision, reply.revision)
                member.leaving = reply.state is MemberState.LEAVING
            except (UnreachableError, ProtocolError) as error:
                log.debug("no heartbeat reply from {}: {}", vm, error.message)
            await self._clock.sleep(sent_at + interval - self._clock.boot_time())

    async def send_heartbeat(self, address: str, timeout: timedelta) -> HeartbeatReply:
        """Sends a heartbeat to the address of a member or of a seed peer from the settings.

        Raises `UnreachableError` or `ProtocolError`.
        """
        revision, shards = self._heartbeat_content()
        heartbeat = Heartbeat(
            self.vm,
            self.data_centre,
            self._local_state(),
            revision,
            shards,
            self._settings.peer_address,
        )
        return await self._peers.call(address, heartbeat, timeout, Step.FORWARD)

    def _interval_of(self, member: Member) -> timedelta:
        """Returns the interval of the heartbeats to a member."""
        if member.data_centre == self.data_centre:
            return self._heartbeat_interval
        rounds = math.ceil(len(self._peers_in(member.data_centre)) / REMOTE_PEERS_PER_ROUND)
        return self._remote_heartbeat_interval * max(rounds, 1)

    def _send_offset_of(self, member: Member) -> timedelta:
        position = sorted(self._peers_in(member.data_centre)).index(member.vm)
        return self._remote_heartbeat_interval * (position // REMOTE_PEERS_PER_ROUND)

    def _peers_in(self, data_centre: DataCentreId) -> list[VmId]:
        return [vm for vm, peer in self.by_id.items() if peer.data_centre == data_centre]

    def _refresh_states(self) -> None:
        now = self._clock.boot_time()
        for vm, member in self.by_id.items():
            if vm == self.vm:
                member.state = self._local_state()
                continue
            missed_intervals = (now - member.heard_at) / self._interval_of(member)
            if missed_intervals > DEAD_AFTER_INTERVALS:
                state = MemberState.DEAD
            elif missed_intervals > SUSPECT_AFTER_INTERVALS:
                state = MemberState.SUSPECT
            elif member.leaving or member.listed_leaving:
                state = MemberState.LEAVING
            else:
                state = MemberState.ALIVE
            if state is not member.state:
                log.info("member {} is {}", vm, state.value)
                member.state = state
