"""Ownership of shards: claim, renewal, proofs without the store, hand-over.

The claim and the combinations of failures that it covers are described in docs/ownership.md.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp.callbacks import Callbacks, Gained, Lost
from hornbeamramp.claim import Claimer
from hornbeamramp.clock import Clock
from hornbeamramp.errors import (
    ProtocolError,
    StoreUnavailableError,
)
from hornbeamramp.evidence import EvidenceCollector, ShardWitness, WitnessReport
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
from hornbeamramp.promises import PromiseBook
from hornbeamramp.proofs import PeerProofs
from hornbeamramp.rendezvous import rank
from hornbeamramp.settings import TimingSettings
from hornbeamramp.shard_records import PREFIX, ShardRecords, StoredRecord, decode
from hornbeamramp.shard_state import ShardState
from hornbeamramp.states import ProofKind

__all__ = ["Gained", "Lost", "Ownership", "ShardWitness", "WitnessReport"]

log = logbook.Logger("owner")

WATCH_WAIT = timedelta(seconds=20)
WATCH_RETRY = timedelta(seconds=1)
TICK = timedelta(milliseconds=500)
# Each candidate waits this long for the one ranked before it.
RANK_DELAY = timedelta(seconds=1)
ROSTER_INTERVAL = timedelta(seconds=1)


class Ownership:
    """Claims and keeps the shards of this data centre that this process should serve.

    `membership`, `platform`, `peers`, `clock`, `timing`
        Members and lease, store, caller of peers, source of time, intervals.
    `shards`
        Returns the ids of all shards of this data centre; the list may change at any time.
    `gained`, `lost`
        Called when the process begins and stops to own a shard. `lost` is awaited before the
        shard goes to another process, except where another one has already claimed it.
    `witness`
        Upstreams of the shards (default: none).
    """

    def __init__(
        self,
        membership: Membership,
        platform: Platform,
        peers: PeerCaller,
        clock: Clock,
        timing: TimingSettings,
        shards: Callable[[], list[ShardId]],
        gained: Gained,
        lost: Lost,
        witness: ShardWitness | None = None,
    ) -> None:
        self._membership = membership
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._shards = shards
        self._callbacks = Callbacks(gained, lost)
        self._term = timedelta(milliseconds=timing.lease_ttl_ms)
        self._send_bound = timedelta(milliseconds=timing.send_bound_ms)
        own = membership.by_id[membership.vm]
        self._records = ShardRecords(platform, own.vm, own.peer_address)
        self._book = PromiseBook(clock, self._term)
        collector = EvidenceCollector(membership, peers, clock, timing, self._book, witness)
        self._claimer = Claimer(
            membership, platform, self._records, collector, witness, clock, timing, self._note
        )
        self._proofs = PeerProofs(membership, peers, clock, timing, witness)
        self._shard_by_id: dict[ShardId, ShardState] = {}
        self._record_by_id: dict[ShardId, StoredRecord] = {}
        self._task_by_shard: dict[ShardId, asyncio.Task[None]] = {}
        self._synced = False
        self._closing = False
        membership.listen(self._on_beat)

    # Queries

    @property
    def owned(self) -> dict[ShardId, Epoch]:
        """Epochs of the owned shards. A shard stays owned while its proof has run out."""
        return {s.id: s.epoch for s in self._shard_by_id.values() if s.epoch is not None}

    def proof(self, shard: ShardId) -> OwnershipProof | None:
        """Returns the proof that lasts longest, ``None`` if the shard isn't owned."""
        state = self._shard_by_id.get(shard)
        if state is None or state.epoch is None:
            return None
        lease = self._membership.lease
        proofs = []
        if state.lease is not None and state.lease == lease.id:
            proofs.append(OwnershipProof(ProofKind.STORE, lease.valid_until))
        without_store = self._proofs.find(shard, state.epoch, state.required)
        if without_store is not None:
            proofs.append(without_store)
        return max(proofs, key=lambda proof: proof.valid_until, default=None)

    def may_start(self, shard: ShardId) -> bool:
        """Returns whether a start that is written now reaches the upstream under a valid proof.

        To be called right before the write, with no ``await`` in between.
        """
        proof = self.proof(shard)
        now = self._clock.boot_time()
        if proof is None or now + self._send_bound > proof.valid_until:
            return False
        self._shard_by_id[shard].allowed_at = now
        return True

    def owner_of(self, shard: ShardId) -> VmId | None:
        """Returns the owner by the record or by a later heartbeat, ``None`` if unknown."""
        state = self._shard_by_id.get(shard)
        if state is not None and state.epoch is not None:
            return self._membership.vm
        stored = self._record_by_id.get(shard)
        beat = self._membership.beat_of(shard)
        if stored is None or (beat is not None and beat[0].epoch > stored.record.epoch):
            return beat[1] if beat is not None else None
        return None if stored.record.released else stored.record.owner

    # Running

    async def run(self) -> None:
        """Runs until cancelled: watch, proofs without the store, and one task per shard."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch())
                group.create_task(self._proofs.run(self._unproved))
                group.create_task(self._follow_shards(group))
        finally:
            for state in self._shard_by_id.values():
                if state.gaining is not None:
                    state.gaining.cancel()

    async def _follow_shards(self, group: asyncio.TaskGroup) -> None:
        """Starts a task for each new shard and releases those that are no longer listed."""
        while True:
            wanted = set(self._shards())
            for shard in wanted - self._task_by_shard.keys():
                self._state(shard)
                self._task_by_shard[shard] = group.create_task(self._tend(shard))
            for shard in self._task_by_shard.keys() - wanted:
                self._task_by_shard.pop(shard).cancel()
                await self.release(shard)
            await self._clock.sleep(TICK)

    async def _tend(self, shard: ShardId) -> None:
        """Claims and keeps one shard."""
        state = self._state(shard)
        while True:
            try:
                async with state.lock:
                    await self._step(state)
            except (StoreUnavailableError, ProtocolError) as error:
                log.info("{}: {}", shard, error.message)
            await self._clock.sleep(TICK)

    async def _watch(self) -> None:
        after = 0
        while True:
            # The first call only reads: in an empty store a watch has nothing to return.
            wait = WATCH_WAIT if self._synced else timedelta(0)
            try:
                result = await self._platform.watch(PREFIX, after, wait)
            except StoreUnavailableError:
                await self._clock.sleep(WATCH_RETRY)
                continue
            for entry in result.changed:
                try:
                    self._note(ShardId(entry.key.removeprefix(PREFIX)), decode(entry))
                except ProtocolError as error:
                    log.error("unreadable record: {}", error.message)
            after = result.revision
            self._synced = True

    def _note(self, shard: ShardId, stored: StoredRecord) -> None:
        """Takes in a record read from the store, in whatever order reads return."""
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
            self._step_down(state, f"epoch {record.epoch} is with {record.owner}")

    def _on_beat(self, beat: Heartbeat) -> None:
        for shard, shard_beat in beat.shards.items():
            state = self._shard_by_id.get(shard)
            if state is not None and state.epoch is not None and shard_beat.epoch > state.epoch:
                self._step_down(state, f"{beat.vm} has epoch {shard_beat.epoch}")

    def _state(self, shard: ShardId) -> ShardState:
        if shard not in self._shard_by_id:
            self._shard_by_id[shard] = ShardState(shard)
        return self._shard_by_id[shard]

    def _unproved(self) -> dict[ShardId, tuple[Epoch, frozenset[VmId]]]:
        """Returns the owned shards with their epochs and the members that must promise."""
        return {
            s.id: (s.epoch, s.required) for s in self._shard_by_id.values() if s.epoch is not None
        }

    # Keeping

    async def _step(self, state: ShardState) -> None:
        if state.epoch is None:
            await self._consider_claim(state)
            return
        if self._proofs.superseded(state.id, state.epoch):
            self._step_down(state, "the upstreams show a higher epoch")
            return
        lease = self._membership.lease
        if not lease.is_valid() or self._closing:
            return
        now = self._clock.boot_time()
        stale = state.stored is None or state.stored.record.epoch < state.epoch
        roster = self._membership.roster()
        changed = roster != state.required and now - state.roster_at >= ROSTER_INTERVAL
        if state.lease != lease.id or stale or changed:
            state.roster_at = now
            await self._rewrite(state, lease.id, roster)

    async def _rewrite(self, state: ShardState, lease: LeaseId, roster: frozenset[VmId]) -> None:
        """Writes the record of an owned shard anew, with the current lease and members."""
        stored = await self._records.read(state.id)
        if stored is not None:
            self._note(state.id, stored)
        if state.epoch is None:
            return
        epoch = state.epoch
        # Until the write is confirmed the store may hold either list.
        state.required |= roster
        record = self._records.new(epoch, lease, roster)
        written = await self._records.write(state.id, record, stored.version if stored else None)
        if written is None or state.epoch != epoch:
            return
        self._note(state.id, written)
        state.lease = lease
        state.required = roster

    def _step_down(self, state: ShardState, reason: str) -> None:
        """Stops to own a shard at once; `lost` is called by a task."""
        log.warning("no longer owner of {}: {}", state.id, reason)
        self._give_up(state)

    def _give_up(self, state: ShardState) -> asyncio.Task[None]:
        """Stops to own a shard at once. Returns the task that calls `lost`."""
        state.give_up()
        return self._callbacks.notify_lost(state)

    # Claiming

    async def _consider_claim(self, state: ShardState) -> None:
        lease = self._membership.lease
        now = self._clock.boot_time()
        if not self._synced or not lease.is_valid() or self._closing or now < state.not_before:
            return
        if not self._is_claimable(state):
            state.claimable_since = None
            return
        if state.claimable_since is None:
            state.claimable_since = now
        sizes = {m.vm: m.size for m in self._membership.alive_in(self._membership.data_centre)}
        order = rank(state.id, sizes)
        if self._membership.vm not in order:
            return
        if now - state.claimable_since >= order.index(self._membership.vm) * RANK_DELAY:
            await self._claim(state)

    def _is_claimable(self, state: ShardState) -> bool:
        """Returns whether, by what is known, the shard has no owner."""
        if state.stored is None or state.attempt() is not None:
            return True
        record = state.stored.record
        beat = self._membership.beat_of(state.id)
        if beat is not None and beat[0].epoch > record.epoch:
            return False
        if record.released or self._claimer.has_given_up(state, record):
            return True
        owner = self._membership.by_id.get(record.owner)
        if owner is not None and owner.lease is not None and owner.lease == record.lease:
            return False
        # Incumbents come first when the store returns.
        available = self._membership.lease.store_available_for()
        return available is not None and available >= self._term

    async def _claim(self, state: ShardState, handed_over: HandOverRequest | None = None) -> bool:
        """Claims a shard, with the lock held. Returns whether it is now owned."""
        claimed = await self._claimer.claim(state, handed_over)
        if claimed is None or self._closing:
            return False
        state.own(claimed.epoch, claimed.record)
        self._proofs.note_fence(state.id, claimed.fenced)
        log.info("owner of {} with epoch {}", state.id, state.epoch)
        self._callbacks.notify_gained(state)
        return True

    # Releasing

    async def release(self, shard: ShardId) -> None:
        """Stops to own a shard and marks its record as free. Not claimed again for three TTLs."""
        state = self._state(shard)
        state.not_before = self._clock.boot_time() + 3 * self._term
        if state.epoch is None:
            return
        epoch = state.epoch
        await self._give_up(state)
        # A start written just before may still be on its way.
        await self._clock.sleep(state.allowed_at + self._send_bound - self._clock.boot_time())
        try:
            async with state.lock:
                await self._records.release(shard, epoch)
        except (StoreUnavailableError, ProtocolError) as error:
            log.info("release of {} not written: {}", shard, error.message)

    async def hand_over_all(self) -> None:
        """Releases all shards and tells the best candidate of each. For graceful shutdown."""
        self._closing = True
        await asyncio.gather(*(self._hand_over(shard, e) for shard, e in self.owned.items()))

    async def _hand_over(self, shard: ShardId, epoch: Epoch) -> None:
        await self.release(shard)
        await offer(self._membership, self._peers, shard, epoch)

    # Requests of peers

    def on_ask_owner(self, request: AskOwnerRequest) -> AskOwnerReply:
        """Answers a candidate. Without a proof and without the store the shard is given up."""
        state = self._shard_by_id.get(request.shard)
        if state is not None and state.epoch is not None:
            reaches_store = self._membership.lease.store_available_for() is not None
            proof = self.proof(request.shard)
            proved = proof is not None and self._clock.boot_time() <= proof.valid_until
            if proved or reaches_store:
                return AskOwnerReply(serving=True, epoch=state.epoch)
            self._step_down(state, f"{request.candidate} reaches the store")
        if state is not None and state.is_stopping(self._clock.boot_time(), self._send_bound):
            return AskOwnerReply(serving=True, epoch=state.given_up)
        left, owner = self._book.raise_barrier(request.shard, request.candidate)
        given_up = state.given_up if state is not None else Epoch(0)
        return AskOwnerReply(False, given_up, promised_for=left, promised_to=owner)

    def on_promise(self, request: PromiseRequest) -> PromiseReply:
        """Promises an owner not to claim its shards, except those it has reason to refuse."""
        granted = [
            shard
            for shard, epoch in request.shards.items()
            if self._state(shard).may_promise(request.owner, epoch)
            and self._book.grant(shard, request.owner, epoch, request.duration)
        ]
        return PromiseReply(granted)

    async def on_hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Claims a shard that a leaving owner has released. Accepted once it is claimed."""
        state = self._state(request.shard)
        if self._closing or not self._membership.lease.is_valid():
            return HandOverReply(False)
        try:
            async with state.lock:
                if state.epoch is not None:
                    return HandOverReply(state.epoch > request.epoch)
                return HandOverReply(await self._claim(state, request))
        except (StoreUnavailableError, ProtocolError) as error:
            log.info("{} not taken over: {}", request.shard, error.message)
            return HandOverReply(False)
