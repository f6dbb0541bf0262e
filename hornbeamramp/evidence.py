"""Evidence that the owner on record can't start work any more.

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
from hornbeamramp.promises import PromiseBook
from hornbeamramp.settings import TimingSettings
from hornbeamramp.shard_records import ShardRecord
from hornbeamramp.states import Step

__all__ = ["Evidence", "EvidenceCollector", "ShardObserver", "UpstreamReport"]

log = logbook.Logger("owner")

ASK_TIMEOUT = timedelta(milliseconds=500)
# Without the consent of a member and the lists of all upstreams only time speaks for a claim.
UNWITNESSED_WAIT = timedelta(seconds=60)


class UpstreamReport(msgspec.Struct, frozen=True):
    """What the upstreams of a shard show.

    `highest_epoch`
        Highest epoch in the labels of listed tasks, 0 if there is none.
    `since_renewal_by_epoch`
        Shortest time since a renewal of a task, for each epoch seen.
    `all_answered`, `answered`
        Whether all known upstreams answered, and how many did.
    `all_labelled`
        Whether all that answered show labels.
    """

    highest_epoch: Epoch
    since_renewal_by_epoch: dict[Epoch, timedelta]
    all_answered: bool
    all_labelled: bool
    answered: int


class ShardObserver(Protocol):
    """The upstreams of a shard as evidence. Both calls should return within one second."""

    async def observe(self, shard: ShardId) -> UpstreamReport:
        """Reads the task lists of all known upstreams."""
        ...

    async def fence(self, shard: ShardId, epoch: Epoch) -> bool:
        """Makes the upstreams refuse starts with an epoch lower than ``epoch``.

        Returns true if every reachable upstream did, false if one of them can't or already has a
        higher fence.
        """
        ...


class Evidence(msgspec.Struct, frozen=True):
    """The owner on record has stopped.

    `until`
        Boot time until which this holds, ``None`` if for good.
    `must_fence`
        It holds only after the upstreams have been fenced and one proof time has passed.
    `new_members`
        Whether the owner stopped by its own word, so that the members on record may be replaced.
    `highest_epoch`
        Highest epoch that the upstreams show.
    """

    until: timedelta | None = None
    must_fence: bool = False
    new_members: bool = False
    highest_epoch: Epoch = Epoch(0)


class EvidenceCollector:
    """Asks the owner on record, its members and the upstreams, for one process.

    `membership`, `peers`, `clock`
        Addresses, caller of peers, source of time.
    `book`
        Promises given by this process.
    `witness`
        Upstreams of the shards; ``None`` if there are none to ask.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerCaller,
        clock: Clock,
        timing: TimingSettings,
        book: PromiseBook,
        witness: ShardObserver | None,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._book = book
        self._witness = witness
        self._term = timedelta(milliseconds=timing.lease_ttl_ms)
        self._margin = timedelta(milliseconds=timing.drift_margin_ms)
        self._renew = timedelta(milliseconds=timing.renew_ms)
        self._task_lease = timedelta(milliseconds=timing.task_lease_ms)

    async def collect(
        self, shard: ShardId, record: ShardRecord, claimable_for: timedelta
    ) -> Evidence | None:
        """Returns evidence that the owner in ``record`` has stopped, ``None`` if there is none.

        The caller has seen that the lease in the record has ended, ``claimable_for`` ago.
        """
        sent = self._clock.boot_time()
        others = [vm for vm in record.members if vm != self._membership.vm]
        replies = await asyncio.gather(
            self._ask(shard, record.owner, record.peer_address),
            self._observe(shard),
            *(self._ask(shard, vm, self._address_of(vm)) for vm in others),
        )
        incumbent, report, member_replies = replies[0], replies[1], replies[2:]
        highest = report.highest_epoch if report else Epoch(0)
        if incumbent is not None:
            if incumbent.serving:
                log.debug("{} still serves {}", record.owner, shard)
                return None
            if incumbent.epoch >= record.epoch:
                return Evidence(new_members=True, highest_epoch=highest)
        consents = [r for r in member_replies if r is not None and not r.promised_for]
        if any(reply.serving for reply in member_replies if reply is not None):
            return None
        if self._membership.vm in record.members:
            left, _ = self._book.raise_barrier(shard, self._membership.vm)
            if left > timedelta(0):
                return None
            consents.append(None)
        if consents:
            if claimable_for < 2 * self._term and self._renewed_within(report, 1.5 * self._renew):
                log.debug("tasks of {} are still renewed", shard)
                return None
            return Evidence(until=sent + self._term - self._margin, highest_epoch=highest)
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
        """Evidence without the consent of a member: none on record, or none reachable."""
        if record.members and claimable_for < 2 * self._term:
            return None
        if self._renewed_within(report, self._task_lease):
            return None
        complete = report is not None and report.all_answered and report.all_labelled
        if not complete:
            if claimable_for < UNWITNESSED_WAIT:
                return None
            log.warning("claiming {} after a wait, without evidence from upstreams", shard)
        highest = report.highest_epoch if report else Epoch(0)
        return Evidence(must_fence=True, highest_epoch=highest)

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
            log.debug("no answer from {} about {}: {}", vm, shard, error.message)
            return None

    async def _observe(self, shard: ShardId) -> UpstreamReport | None:
        if self._witness is None:
            return None
        try:
            return await self._witness.observe(shard)
        except SchedulerError as error:
            log.warning("upstreams of {} not read: {}", shard, error.message)
            return None

    def _address_of(self, vm: VmId) -> str | None:
        member = self._membership.by_id.get(vm)
        return member.peer_address if member else None
