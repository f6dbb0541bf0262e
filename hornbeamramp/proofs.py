"""Proofs of ownership while the store is away: promises of peers and the view of upstreams."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.errors import ProtocolError, SchedulerError, UnreachableError
from hornbeamramp.evidence import ShardObserver
from hornbeamramp.ids import Epoch, ShardId, VmId
from hornbeamramp.lease import OwnershipProof
from hornbeamramp.membership import Membership
from hornbeamramp.messages import PromiseRequest
from hornbeamramp.peers import PeerCaller
from hornbeamramp.settings import TimingSettings
from hornbeamramp.states import ProofKind, Step

__all__ = ["PeerProofs"]

log = logbook.Logger("owner")

TICK = timedelta(milliseconds=500)
PROMISE_TIMEOUT = timedelta(seconds=1)

Needs = dict[ShardId, tuple[Epoch, frozenset[VmId]]]


class _Granted(msgspec.Struct, frozen=True):
    epoch: Epoch
    members: frozenset[VmId]
    valid_until: timedelta


class PeerProofs:
    """Collects proofs that don't rest on the store, from the moment that renewals fail.

    A proof needs the promise of every member on the shard's record, and, where there are
    upstreams to ask, that none of them shows a higher epoch or fence.

    `membership`, `peers`, `clock`, `timing`
        Addresses and lease, caller of peers, source of time, intervals.
    `witness`
        Upstreams of the shards, or ``None``.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerCaller,
        clock: Clock,
        timing: TimingSettings,
        witness: ShardObserver | None,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._witness = witness
        self._term = timedelta(milliseconds=timing.lease_ttl_ms)
        self._margin = timedelta(milliseconds=timing.drift_margin_ms)
        self._interval = timedelta(milliseconds=timing.renew_ms)
        self._granted_by_shard: dict[ShardId, _Granted] = {}
        self._fenced: set[ShardId] = set()
        self._highest_by_shard: dict[ShardId, Epoch] = {}

    def find(
        self, shard: ShardId, epoch: Epoch, required: frozenset[VmId]
    ) -> OwnershipProof | None:
        """Returns the latest proof for an epoch if all ``required`` members have promised."""
        granted = self._granted_by_shard.get(shard)
        if granted is None or granted.epoch != epoch or not required <= granted.members:
            return None
        kind = ProofKind.PEERS if required else ProofKind.ALONE
        return OwnershipProof(kind, granted.valid_until)

    def superseded(self, shard: ShardId, epoch: Epoch) -> bool:
        """Returns whether an upstream has shown a higher epoch than ``epoch``."""
        return self._highest_by_shard.get(shard, Epoch(0)) > epoch

    def note_fence(self, shard: ShardId, fenced: bool) -> None:
        """Notes at a claim whether all upstreams took the fence. If so, later ones must too."""
        if fenced:
            self._fenced.add(shard)
        else:
            self._fenced.discard(shard)

    async def run(self, needs: Callable[[], Needs]) -> None:
        """Asks for proofs whenever the lease has not been renewed in time, until cancelled."""
        while True:
            began = self._clock.boot_time()
            if self._is_needed() and needs():
                await self._collect(needs())
                await self._clock.sleep(began + self._interval - self._clock.boot_time())
            else:
                await self._clock.sleep(TICK)

    def _is_needed(self) -> bool:
        lease = self._membership.lease
        renewed_at = lease.valid_until - self._term + self._margin
        overdue = self._clock.boot_time() - renewed_at > 1.5 * self._interval
        return overdue or lease.id is None

    async def _collect(self, needs: Needs) -> None:
        sent = self._clock.boot_time()
        shards_by_member: dict[VmId, dict[ShardId, Epoch]] = {}
        for shard, (epoch, required) in needs.items():
            for vm in required:
                shards_by_member.setdefault(vm, {})[shard] = epoch
        replies, shown = await asyncio.gather(
            asyncio.gather(*(self._ask(vm, s) for vm, s in shards_by_member.items())),
            asyncio.gather(*(self._is_latest(s, epoch) for s, (epoch, _) in needs.items())),
        )
        granted_by_member = dict(zip(shards_by_member, replies, strict=True))
        for (shard, (epoch, required)), latest in zip(needs.items(), shown, strict=True):
            members = frozenset(vm for vm in required if shard in granted_by_member[vm])
            if latest and members == required:
                until = sent + self._term - self._margin
                self._granted_by_shard[shard] = _Granted(epoch, members, until)

    async def _ask(self, vm: VmId, shards: dict[ShardId, Epoch]) -> set[ShardId]:
        member = self._membership.by_id.get(vm)
        if member is None or member.peer_address is None:
            return set()
        request = PromiseRequest(self._membership.vm, shards, self._term)
        try:
            reply = await self._peers.call(
                member.peer_address, request, PROMISE_TIMEOUT, Step.RENEW
            )
        except (UnreachableError, ProtocolError) as error:
            log.debug("no promise from {}: {}", vm, error.message)
            return set()
        return set(reply.granted)

    async def _is_latest(self, shard: ShardId, epoch: Epoch) -> bool:
        """Returns whether the upstreams that answer know of no later owner."""
        if self._witness is None:
            return True
        try:
            report = await self._witness.observe(shard)
            if report.highest_epoch > epoch:
                self._highest_by_shard[shard] = report.highest_epoch
                return False
            if report.answered == 0:
                return False
            return shard not in self._fenced or await self._witness.fence(shard, epoch)
        except SchedulerError as error:
            log.warning("upstreams of {} not read: {}", shard, error.message)
            return False
