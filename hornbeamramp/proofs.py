"""Ownership proofs during a store outage, from promises of peers and the upstreams' task lists."""

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

CHECK_INTERVAL = timedelta(milliseconds=500)
PROMISE_TIMEOUT = timedelta(seconds=1)

ProofRequirements = dict[ShardId, tuple[Epoch, frozenset[VmId]]]


class _Grant(msgspec.Struct, frozen=True):
    epoch: Epoch
    members: frozenset[VmId]
    valid_until: timedelta


class PeerProofs:
    """Collects ownership proofs that don't depend on the store, once lease renewals fail.

    A proof requires a promise of every member in the shard's record. If there are upstreams to
    ask, at least one must answer and none may show a higher epoch or fence.

    `membership`, `peers`, `clock`, `timing`
        Addresses and process lease, client for peer calls, clock, intervals.
    `observer`
        Reads and fences the upstreams of a shard; ``None`` if there are none.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerCaller,
        clock: Clock,
        timing: TimingSettings,
        observer: ShardObserver | None,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._observer = observer
        self._lease_ttl = timedelta(milliseconds=timing.lease_ttl_ms)
        self._drift_margin = timedelta(milliseconds=timing.drift_margin_ms)
        self._renew_interval = timedelta(milliseconds=timing.renew_ms)
        self._grant_by_shard: dict[ShardId, _Grant] = {}
        self._fenced: set[ShardId] = set()
        self._highest_by_shard: dict[ShardId, Epoch] = {}

    def find(
        self, shard: ShardId, epoch: Epoch, required_members: frozenset[VmId]
    ) -> OwnershipProof | None:
        """Returns the latest proof for an epoch if all ``required_members`` have promised."""
        grant = self._grant_by_shard.get(shard)
        if grant is None or grant.epoch != epoch or not required_members <= grant.members:
            return None
        kind = ProofKind.PEERS if required_members else ProofKind.ALONE
        return OwnershipProof(kind, grant.valid_until)

    def is_superseded(self, shard: ShardId, epoch: Epoch) -> bool:
        """Returns whether an upstream has shown a higher epoch than ``epoch``."""
        return self._highest_by_shard.get(shard, Epoch(0)) > epoch

    def set_fenced(self, shard: ShardId, fenced: bool) -> None:
        """Stores whether all reachable upstreams accepted the fence of a claim.

        If so, each later proof requires that they accept it again.
        """
        if fenced:
            self._fenced.add(shard)
        else:
            self._fenced.discard(shard)

    async def run(self, requirements: Callable[[], ProofRequirements]) -> None:
        """Collects proofs while the lease has not been renewed in time, until cancelled."""
        while True:
            started_at = self._clock.boot_time()
            if self._is_needed() and requirements():
                await self._collect(requirements())
                await self._clock.sleep(started_at + self._renew_interval - self._clock.boot_time())
            else:
                await self._clock.sleep(CHECK_INTERVAL)

    def _is_needed(self) -> bool:
        lease = self._membership.lease
        renewed_at = lease.valid_until - self._lease_ttl + self._drift_margin
        overdue = self._clock.boot_time() - renewed_at > 1.5 * self._renew_interval
        return overdue or lease.id is None

    async def _collect(self, requirements: ProofRequirements) -> None:
        sent_at = self._clock.boot_time()
        shards_by_member: dict[VmId, dict[ShardId, Epoch]] = {}
        for shard, (epoch, required_members) in requirements.items():
            for vm in required_members:
                shards_by_member.setdefault(vm, {})[shard] = epoch
        replies, latest_flags = await asyncio.gather(
            asyncio.gather(*(self._ask(vm, s) for vm, s in shards_by_member.items())),
            asyncio.gather(*(self._is_latest(s, epoch) for s, (epoch, _) in requirements.items())),
        )
        granted_by_member = dict(zip(shards_by_member, replies, strict=True))
        for (shard, (epoch, required_members)), is_latest in zip(
            requirements.items(), latest_flags, strict=True
        ):
            members = frozenset(vm for vm in required_members if shard in granted_by_member[vm])
            if is_latest and members == required_members:
                valid_until = sent_at + self._lease_ttl - self._drift_margin
                self._grant_by_shard[shard] = _Grant(epoch, members, valid_until)

    async def _ask(self, vm: VmId, shards: dict[ShardId, Epoch]) -> set[ShardId]:
        member = self._membership.by_id.get(vm)
        if member is None or member.peer_address is None:
            return set()
        request = PromiseRequest(self._membership.vm, shards, self._lease_ttl)
        try:
            reply = await self._peers.call(
                member.peer_address, request, PROMISE_TIMEOUT, Step.RENEW
            )
        except (UnreachableError, ProtocolError) as error:
            log.debug("promise request to {} failed: {}", vm, error.message)
            return set()
        return set(reply.granted)

    async def _is_latest(self, shard: ShardId, epoch: Epoch) -> bool:
        """Returns whether an upstream answers and none shows a higher epoch or fence.

        The fence is checked only if the claim was fenced. True if there is no observer.
        """
        if self._observer is None:
            return True
        try:
            report = await self._observer.observe(shard)
            if report.highest_epoch > epoch:
                self._highest_by_shard[shard] = report.highest_epoch
                return False
            if report.answered == 0:
                return False
            return shard not in self._fenced or await self._observer.fence(shard, epoch)
        except SchedulerError as error:
            log.warning("could not read or fence the upstreams of {}: {}", shard, error.message)
            return False
