"""Shard ownership: claims, record updates, ownership proofs in store outages, and hand-over.

The claim and the combinations of failures that it covers are described in docs/ownership.md.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp.callbacks import Callbacks, GainedCallback, LostCallback
from hornbeamramp.claim import Claimer
from hornbeamramp.clock import Clock
from hornbeamramp.errors import (
    ProtocolError,
    StoreUnavailableError,
)
from hornbeamramp.evidence import EvidenceCollector, ShardObserver, UpstreamReport
from hornbeamramp.handover import offer
from hornbeamramp.ids import Epoch, LeaseId, ShardId, VmId, split_shard_id
from hornbeamramp.lease import OwnershipProof
from hornbeamramp.membership import Membership
from hornbeamramp.messages import (
    AskOwnerReply,
    AskOwnerRequest,
    HandOverReply,
    HandOverRequest,
    Heartbeat,
    PromiseReply,
    PromiseRequest,
)
from hornbeamramp.peers import PeerCaller
from hornbeamramp.platforms.base import Platform
from hornbeamramp.promises import PromiseTable
from hornbeamramp.proofs import PeerProofs
from hornbeamramp.rendezvous import rank
from hornbeamramp.settings import TimingSettings
from hornbeamramp.shard_records import PREFIX, ShardRecords, StoredRecord, decode
from hornbeamramp.shard_state import ShardState
from hornbeamramp.states import ProofKind

__all__ = ["GainedCallback", "LostCallback", "Ownership", "ShardObserver", "UpstreamReport"]

log = logbook.Logger("owner")

WATCH_WAIT = timedelta(seconds=20)
WATCH_RETRY = timedelta(seconds=1)
CHECK_INTERVAL = timedelta(milliseconds=500)
# A candidate waits this long for each candidate that ranks before it, to avoid competing claims.
RANK_DELAY = timedelta(seconds=1)
# Minimum time between two rewrites of a record for a changed member list.
MEMBERS_REWRITE_INTERVAL = timedelta(seconds=1)


class Ownership:
    """Claims the shards of this data centre that this process should serve, and keeps them.

    `membership`, `platform`, `peers`, `clock`, `timing`
        Members and process lease, store, client for peer calls, clock, intervals.
    `shards`
        Returns the ids of all shards of this data centre; the list may change at any time.
    `gained`, `lost`
        Called after the process has become the owner of a shard, and after it has stopped being
        the owner. `lost` is awaited before the shard is released to another process, unless
        another process has already claimed it.
    `observer`
        Reads the task lists of a shard's upstreams and fences them; ``None`` if there are none.
    """

    def __init__(
        self,
        membership: Membership,
        platform: Platform,
        peers: PeerCaller,
        clock: Clock,
        timing: TimingSettings,
        shards: Callable[[], list[ShardId]],
        gained: GainedCallback,
        lost: LostCallback,
        observer: ShardObserver | None = None,
    ) -> None:
        self._membership = membership
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._shards = shards
        self._callbacks = Callbacks(gained, lost)
        self._lease_ttl = timedelta(milliseconds=timing.lease_ttl_ms)
        self._send_bound = timedelta(milliseconds=timing.send_bound_ms)
        own = membership.by_id[membership.vm]
        self._records = ShardRecords(platform, own.vm, own.peer_address)
        self._promises = PromiseTable(clock, self._lease_ttl)
        collector = EvidenceCollector(membership, peers, clock, timing, self._promises, observer)
        self._claimer = Claimer(
            membership,
            platform,
            self._records,
            collector,
            observer,
            clock,
            timing,
            self._apply_record,
        )
        self._proofs = PeerProofs(membership, peers, clock, timing, observer)
        self._shard_by_id: dict[ShardId, ShardState] = {}
        self._record_by_id: dict[ShardId, StoredRecord] = {}
        self._task_by_shard: dict[ShardId, asyncio.Task[None]] = {}
        self._synced = False
        self._closing = False
        membership.add_heartbeat_listener(self._on_heartbeat)

    # Queries

    @property
    def owned(self) -> dict[ShardId, Epoch]:
        """Epoch of each owned shard. A shard remains owned after its proof has expired."""
        return {s.id: s.epoch for s in self._shard_by_id.values() if s.epoch is not None}

    def proof(self, shard: ShardId) -> OwnershipProof | None:
        """Returns the proof with the latest expiry, ``None`` if not owned or without a proof."""
        state = self._shard_by_id.get(shard)
        if state is None or state.epoch is None:
            return None
        lease = self._membership.lease
        proofs = []
        if state.lease is not None and state.lease == lease.id:
            proofs.append(OwnershipProof(ProofKind.STORE, lease.valid_until))
        peer_proof = self._proofs.find(shard, state.epoch, state.required_members)
        if peer_proof is not None:
            proofs.append(peer_proof)
        return max(proofs, key=lambda proof: proof.valid_until, default=None)

    def may_start(self, shard: ShardId) -> bool:
        """Returns whether a start request sent now reaches the upstream before the proof expires.

        Call it right before sending, with no ``await`` in between.
        """
        proof = self.proof(shard)
        now = self._clock.boot_time()
        if proof is None or now + self._send_bound > proof.valid_until:
            return False
        self._shard_by_id[shard].last_start_allowed_at = now
        return True

    def owner_of(self, shard: ShardId) -> VmId | None:
        """Returns the owner, ``None`` if unknown.

        The source is the stored record, or a heartbeat with a higher epoch.
        """
        state = self._shard_by_id.get(shard)
        if state is not None and state.epoch is not None:
            return self._membership.vm
        stored = self._record_by_id.get(shard)
        shard_heartbeat = self._membership.heartbeat_of(shard)
        if stored is None or (
            shard_heartbeat is not None and shard_heartbeat[0].epoch > stored.record.epoch
        ):
            return shard_heartbeat[1] if shard_heartbeat is not None else None
        return None if stored.record.released else stored.record.owner

    # Running

    async def run(self) -> None:
        """Runs the store watch, the proofs from peers and one task per shard, until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch())
                group.create_task(self._proofs.run(self._proof_requirements))
                group.create_task(self._sync_shard_tasks(group))
        finally:
            for state in self._shard_by_id.values():
                if state.gained_task is not None:
                    state.gained_task.cancel()

    async def _sync_shard_tasks(self, group: asyncio.TaskGroup) -> None:
        """Starts a task for each new shard and releases shards that are no longer configured."""
        while True:
            wanted = set(self._shards())
            for shard in wanted - self._task_by_shard.keys():
                self._state(shard)
                self._task_by_shard[shard] = group.create_task(self._manage_shard(shard))
            for shard in self._task_by_shard.keys() - wanted:
                self._task_by_shard.pop(shard).cancel()
                await self.release(shard)
            await self._clock.sleep(CHECK_INTERVAL)

    async def _manage_shard(self, shard: ShardId) -> None:
        """Claims one shard and keeps it, until cancelled."""
        state = self._state(shard)
        while True:
            try:
                async with state.lock:
                    await self._update_ownership(state)
            except (StoreUnavailableError, ProtocolError) as error:
                log.info("{}: claim or record update failed: {}", shard, error.message)
            await self._clock.sleep(CHECK_INTERVAL)

    async def _watch(self) -> None:
        after = 0
        while True:
            # The first call does not wait: on an empty store it would block for all of WATCH_WAIT.
            wait = WATCH_WAIT if self._synced else timedelta(0)
            try:
                result = await self._platform.watch(PREFIX, after, wait)
            except StoreUnavailableError:
                await self._clock.sleep(WATCH_RETRY)
                continue
            for entry in result.changed:
                try:
                    self._apply_record(ShardId(entry.key.removeprefix(PREFIX)), decode(entry))
                except ProtocolError as error:
                    log.error("could not decode shard record: {}", error.message)
            after = result.revision
            self._synced = True

    def _apply_record(self, shard: ShardId, stored: StoredRecord) -> None:
        """Applies a record read from the store; older versions than the known one are ignored."""
        known = self._record_by_id.get(shard)
        if known is not None and known.version >= stored.version:
            return
        self._record_by_id[shard] = stored
        if split_shard_id(shard)[1] != self._membership.data_centre:
            return
        state = self._state(shard)
        state.stored = stored
        state.drop_failed_attempts()
        record = stored.record
        if state.epoch is None or record.epoch < state.epoch:
            return
        if record.epoch > state.epoch or not self._records.is_own(record):
            self._step_down(state, f"epoch {record.epoch} is owned by {record.owner}")

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        for shard, shard_heartbeat in heartbeat.shards.items():
            state = self._shard_by_id.get(shard)
            if (
                state is not None
                and state.epoch is not None
                and shard_heartbeat.epoch > state.epoch
            ):
                self._step_down(state, f"{heartbeat.vm} has epoch {shard_heartbeat.epoch}")

    def _state(self, shard: ShardId) -> ShardState:
        if shard not in self._shard_by_id:
            self._shard_by_id[shard] = ShardState(shard)
        return self._shard_by_id[shard]

    def _proof_requirements(self) -> dict[ShardId, tuple[Epoch, frozenset[VmId]]]:
        """Returns epoch and members whose promises a proof requires, for each owned shard."""
        return {
            s.id: (s.epoch, s.required_members)
            for s in self._shard_by_id.values()
            if s.epoch is not None
        }

    # Keeping owned shards

    async def _update_ownership(self, state: ShardState) -> None:
        if state.epoch is None:
            await self._claim_if_eligible(state)
            return
        if self._proofs.is_superseded(state.id, state.epoch):
            self._step_down(state, "the upstreams show a higher epoch")
            return
        lease = self._membership.lease
        if not lease.is_valid() or self._closing:
            return
        now = self._clock.boot_time()
        stale = state.stored is None or state.stored.record.epoch < state.epoch
        known_peers = self._membership.known_peers()
        changed = (
            known_peers != state.required_members
            and now - state.rewrite_attempted_at >= MEMBERS_REWRITE_INTERVAL
        )
        if state.lease != lease.id or stale or changed:
            state.rewrite_attempted_at = now
            await self._rewrite_record(state, lease.id, known_peers)

    async def _rewrite_record(
        self, state: ShardState, lease: LeaseId, known_peers: frozenset[VmId]
    ) -> None:
        """Rewrites the record of an owned shard with the current lease and members."""
        stored = await self._records.read(state.id)
        if stored is not None:
            self._apply_record(state.id, stored)
        if state.epoch is None:
            return
        epoch = state.epoch
        # Until the write is confirmed, the store may hold either member list, so both must promise.
        state.required_members |= known_peers
        record = self._records.new(epoch, lease, known_peers)
        written = await self._records.write(state.id, record, stored.version if stored else None)
        if written is None or state.epoch != epoch:
            return
        self._apply_record(state.id, written)
        state.lease = lease
        state.required_members = known_peers

    def _step_down(self, state: ShardState, reason: str) -> None:
        """Relinquishes a shard at once and logs why; a task calls `lost`."""
        log.warning("no longer owner of {}: {}", state.id, reason)
        self._relinquish(state)

    def _relinquish(self, state: ShardState) -> asyncio.Task[None]:
        """Relinquishes a shard at once. Returns the task that calls `lost`."""
        state.relinquish()
        return self._callbacks.notify_lost(state)

    # Claiming

    async def _claim_if_eligible(self, state: ShardState) -> None:
        lease = self._membership.lease
        now = self._clock.boot_time()
        if (
            not self._synced
            or not lease.is_valid()
            or self._closing
            or now < state.claim_not_before
        ):
            return
        if not self._is_claimable(state):
            state.claimable_since = None
            return
        if state.claimable_since is None:
            state.claimable_since = now
        size_by_vm = {m.vm: m.size for m in self._membership.alive_in(self._membership.data_centre)}
        order = rank(state.id, size_by_vm)
        if self._membership.vm not in order:
            return
        if now - state.claimable_since >= order.index(self._membership.vm) * RANK_DELAY:
            await self._claim(state)

    def _is_claimable(self, state: ShardState) -> bool:
        """Returns whether the shard has no owner, according to the known record and heartbeats."""
        if state.stored is None or state.current_attempt() is not None:
            return True
        record = state.stored.record
        shard_heartbeat = self._membership.heartbeat_of(state.id)
        if shard_heartbeat is not None and shard_heartbeat[0].epoch > record.epoch:
            return False
        if record.released or self._claimer.has_relinquished(state, record):
            return True
        owner = self._membership.by_id.get(record.owner)
        if owner is not None and owner.lease is not None and owner.lease == record.lease:
            return False
        # After a store outage the recorded owner gets one TTL to renew before others may claim.
        available = self._membership.lease.store_available_for()
        return available is not None and available >= self._lease_ttl

    async def _claim(self, state: ShardState, handed_over: HandOverRequest | None = None) -> bool:
        """Claims a shard. Returns whether it is now owned. The caller holds ``state.lock``."""
        claimed = await self._claimer.claim(state, handed_over)
        if claimed is None or self._closing:
            return False
        state.acquire(claimed.epoch, claimed.record)
        self._proofs.set_fenced(state.id, claimed.fenced)
        log.info("claimed {} with epoch {}", state.id, state.epoch)
        self._callbacks.notify_gained(state)
        return True

    # Releasing

    async def release(self, shard: ShardId) -> None:
        """Relinquishes a shard and marks its record as released.

        This process does not claim it again for three lease TTLs.
        """
        state = self._state(shard)
        state.claim_not_before = self._clock.boot_time() + 3 * self._lease_ttl
        if state.epoch is None:
            return
        epoch = state.epoch
        await self._relinquish(state)
        # A start request sent just before may still be in transit to the upstream.
        await self._clock.sleep(
            state.last_start_allowed_at + self._send_bound - self._clock.boot_time()
        )
        try:
            async with state.lock:
                await self._records.release(shard, epoch)
        except (StoreUnavailableError, ProtocolError) as error:
            log.info("could not mark {} as released in the store: {}", shard, error.message)

    async def hand_over_all(self) -> None:
        """Releases all shards and offers each to the best candidates, for a graceful shutdown."""
        self._closing = True
        await asyncio.gather(*(self._hand_over(shard, e) for shard, e in self.owned.items()))

    async def _hand_over(self, shard: ShardId, epoch: Epoch) -> None:
        await self.release(shard)
        await offer(self._membership, self._peers, shard, epoch)

    # Requests of peers

    def on_ask_owner(self, request: AskOwnerRequest) -> AskOwnerReply:
        """Tells a candidate whether this process still serves the shard.

        If this process owns the shard but has no valid proof and can't reach the store, it
        relinquishes the shard.
        """
        state = self._shard_by_id.get(request.shard)
        if state is not None and state.epoch is not None:
            reaches_store = self._membership.lease.store_available_for() is not None
            proof = self.proof(request.shard)
            has_valid_proof = proof is not None and self._clock.boot_time() <= proof.valid_until
            if has_valid_proof or reaches_store:
                return AskOwnerReply(serving=True, epoch=state.epoch)
            self._step_down(
                state,
                f"no valid proof and store unreachable; candidate {request.candidate} reaches it",
            )
        if state is not None and state.is_stopping(self._clock.boot_time(), self._send_bound):
            return AskOwnerReply(serving=True, epoch=state.relinquished_epoch)
        remaining, owner = self._promises.raise_barrier(request.shard, request.candidate)
        relinquished_epoch = state.relinquished_epoch if state is not None else Epoch(0)
        return AskOwnerReply(False, relinquished_epoch, promised_for=remaining, promised_to=owner)

    def on_promise(self, request: PromiseRequest) -> PromiseReply:
        """Promises an owner not to claim its shards.

        Shards with a conflicting claim, record, promise or barrier are left out, and all shards
        during the first lease TTL after a start or if the duration exceeds one TTL.
        """
        granted = [
            shard
            for shard, epoch in request.shards.items()
            if self._state(shard).may_promise(request.owner, epoch)
            and self._promises.grant(shard, request.owner, epoch, request.duration)
        ]
        return PromiseReply(granted)

    async def on_hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Claims a shard that a leaving owner has released; accepts it only once it is claimed."""
        state = self._state(request.shard)
        if self._closing or not self._membership.lease.is_valid():
            return HandOverReply(False)
        try:
            async with state.lock:
                if state.epoch is not None:
                    return HandOverReply(state.epoch > request.epoch)
                return HandOverReply(await self._claim(state, request))
        except (StoreUnavailableError, ProtocolError) as error:
            log.info("hand-over of {} failed: {}", request.shard, error.message)
            return HandOverReply(False)
