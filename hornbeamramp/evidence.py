"""Evidence that the recorded owner of a shard can no longer start work.

The rules and the combinations of failures that they cover are listed in docs/ownership.md.
"""

import asyncio
from datetime import timedelta
from typing import Protocol

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.errors import ProtocolError, SchedulerError, UnreachableError
from hornbeamramp.ids import Epoch, ShardId, VmId
from hornbeamramp.membership import Membership
from hornbeamramp.messages import AskOwnerReply, AskOwnerRequest
from hornbeamramp.peers import PeerCaller
from hornbeamramp.promises import PromiseTable
from hornbeamramp.settings import TimingSettings
from hornbeamramp.shard_records import ShardRecord
from hornbeamramp.states import Step

__all__ = ["Evidence", "EvidenceCollector", "ShardObserver", "UpstreamReport"]

log = logbook.Logger("owner")

ASK_TIMEOUT = timedelta(milliseconds=500)
# Minimum wait before a claim without evidence: no member has approved it, and not every upstream
# has answered with a labelled task list.
WAIT_WITHOUT_EVIDENCE = timedelta(seconds=60)


class UpstreamReport(msgspec.Struct, frozen=True):
    """Summary of the task lists of a shard's upstreams.

    `highest_epoch`
        Highest epoch in the labels of listed tasks, 0 if there is none.
    `since_renewal_by_epoch`
        Shortest time since a renewal of a task, for each epoch seen.
    `all_answered`, `answered`
        Whether all known upstreams answered, and how many did.
    `all_labelled`
        Whether all upstreams that answered support task labels.
    """

    highest_epoch: Epoch
    since_renewal_by_epoch: dict[Epoch, timedelta]
    all_answered: bool
    all_labelled: bool
    answered: int


class ShardObserver(Protocol):
    """Reads and fences the upstreams of a shard. Calls should return within one second."""

    async def observe(self, shard: ShardId) -> UpstreamReport:
        """Reads the task lists of all known upstreams."""
        ...

    async def fence(self, shard: ShardId, epoch: Epoch) -> bool:
        """Makes the upstreams refuse starts with an epoch lower than ``epoch``.

        Returns true if every reachable upstream accepted the fence, false if one of them doesn't
        support fences or already has a higher one, or if none was reached.
        """
        ...


class Evidence(msgspec.Struct, frozen=True):
    """Evidence that the recorded owner has stopped.

    `valid_until`
        Boot time at which the evidence expires, ``None`` if never.
    `must_fence`
        Whether the claim is complete only after the upstreams have been fenced and one lease TTL,
        the longest validity of a proof, has passed since.
    `may_replace_members`
        Whether the owner itself confirmed that it has stopped, or none was recorded, so that the
        recorded members may be replaced.
    `highest_epoch`
        Highest epoch that the upstreams show.
    """

    valid_until: timedelta | None = None
    must_fence: bool = False
    may_replace_members: bool = False
    highest_epoch: Epoch = Epoch(0)


class EvidenceCollector:
    """Collects evidence from the recorded owner, the members in its record and the upstreams.

    `membership`, `peers`, `clock`
        Addresses, client for peer calls, clock.
    `promises`
        Promises given by this process.
    `observer`
        Reads the upstreams of a shard; ``None`` if there are none to ask.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerCaller,
        clock: Clock,
        timing: TimingSettings,
        promises: PromiseTable,
        observer: ShardObserver | None,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._promises = promises
        self._observer = observer
        self._lease_ttl = timedelta(milliseconds=timing.lease_ttl_ms)
        self._drift_margin = timedelta(milliseconds=timing.drift_margin_ms)
        self._renew_interval = timedelta(milliseconds=timing.renew_ms)
        self._task_lease_duration = timedelta(milliseconds=timing.task_lease_ms)

    async def collect(
        self, shard: ShardId, record: ShardRecord, claimable_for: timedelta
    ) -> Evidence | None:
        """Returns evidence that the owner in ``record`` has stopped, ``None`` if there is none.

        The caller has checked that the lease in the record has ended. ``claimable_for`` is the
        time since the shard became claimable.
        """
        sent_at = self._clock.boot_time()
        others = [vm for vm in record.members if vm != self._membership.vm]
        replies = await asyncio.gather(
            self._ask(shard, record.owner, record.peer_address),
            self._observe(shard),
            *(self._ask(shard, vm, self._address_of(vm)) for vm in others),
        )
        owner_reply, report, member_replies = replies[0], replies[1], replies[2:]
        highest_epoch = report.highest_epoch if report else Epoch(0)
        if owner_reply is not None:
            if owner_reply.serving:
                log.debug("{} still serves {}; not claiming", record.owner, shard)
                return None
            if owner_reply.epoch >= record.epoch:
                return Evidence(may_replace_members=True, highest_epoch=highest_epoch)
        approvals = [r for r in member_replies if r is not None and not r.promised_for]
        if any(reply.serving for reply in member_replies if reply is not None):
            return None
        if self._membership.vm in record.members:
            remaining, _ = self._promises.raise_barrier(shard, self._membership.vm)
            if remaining > timedelta(0):
                return None
            approvals.append(None)
        if approvals:
            if claimable_for < 2 * self._lease_ttl and self._renewed_within(
                report, 1.5 * self._renew_interval
            ):
                log.debug("task leases of {} are still being renewed; not claiming", shard)
                return None
            return Evidence(
                valid_until=sent_at + self._lease_ttl - self._drift_margin,
                highest_epoch=highest_epoch,
            )
        if any(reply is not None for reply in member_replies):
            return None
        return self._from_upstreams(shard, record, report, claimable_for)

    def _from_upstreams(
        self,
        shard: ShardId,
        record: ShardRecord,
        report: UpstreamReport | None,
        claimable_for: timedelta,
    ) -> Evidence | None:
        """Evidence for a shard of which no member is recorded or none can be reached."""
        if record.members and claimable_for < 2 * self._lease_ttl:
            return None
        if self._renewed_within(report, self._task_lease_duration):
            return None
        complete = report is not None and report.all_answered and report.all_labelled
        if not complete:
            if claimable_for < WAIT_WITHOUT_EVIDENCE:
                return None
            log.warning(
                "claiming {} after the wait, without labelled task lists of all upstreams", shard
            )
        highest_epoch = report.highest_epoch if report else Epoch(0)
        return Evidence(must_fence=True, highest_epoch=highest_epoch)

    @staticmethod
    def _renewed_within(report: UpstreamReport | None, duration: timedelta) -> bool:
        if report is None:
            return False
        return any(since < duration for since in report.since_renewal_by_epoch.values())

    async def _ask(self, shard: ShardId, vm: VmId, address: str | None) -> AskOwnerReply | None:
        if address is None or vm == self._membership.vm:
            return None
        request = AskOwnerRequest(shard, self._membership.vm)
        try:
            return await self._peers.call(address, request, ASK_TIMEOUT, Step.CLAIM)
        except (UnreachableError, ProtocolError) as error:
            log.debug("{} did not answer whether it owns {}: {}", vm, shard, error.message)
            return None

    async def _observe(self, shard: ShardId) -> UpstreamReport | None:
        if self._observer is None:
            return None
        try:
            return await self._observer.observe(shard)
        except SchedulerError as error:
            log.warning("could not read the upstream task lists of {}: {}", shard, error.message)
            return None

    def _address_of(self, vm: VmId) -> str | None:
        member = self._membership.by_id.get(vm)
        return member.peer_address if member else None
