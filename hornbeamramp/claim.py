"""Claims a shard: evidence that its owner has stopped, compare-and-swap of its record, fence.

The steps and the combinations of failures that they cover are described in docs/ownership.md.
"""

from collections.abc import Callable
from datetime import timedelta

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.errors import SchedulerError
from hornbeamramp.evidence import Evidence, EvidenceCollector, ShardObserver
from hornbeamramp.ids import Epoch, ShardId
from hornbeamramp.membership import MemberRecord, Membership, member_key
from hornbeamramp.messages import HandOverRequest
from hornbeamramp.platforms.base import Platform
from hornbeamramp.settings import TimingSettings
from hornbeamramp.shard_records import ShardRecord, ShardRecords, StoredRecord
from hornbeamramp.shard_state import ClaimAttempt, ShardState

__all__ = ["Claimed", "Claimer"]

log = logbook.Logger("owner")


class Claimed(msgspec.Struct, frozen=True):
    """A completed claim.

    `fenced`
        Whether at least one upstream was reached and every reached one accepted the fence.
    """

    epoch: Epoch
    record: ShardRecord
    fenced: bool


class Claimer:
    """Claims shards for one process.

    `membership`, `platform`, `records`, `clock`, `timing`
        Members and process lease, store, shard records, clock, intervals.
    `collector`
        Collects evidence that the recorded owner has stopped.
    `observer`
        Fences the upstreams of a shard; ``None`` if there are none.
    `on_record`
        Called with each record read or written.
    """

    def __init__(
        self,
        membership: Membership,
        platform: Platform,
        records: ShardRecords,
        collector: EvidenceCollector,
        observer: ShardObserver | None,
        clock: Clock,
        timing: TimingSettings,
        on_record: Callable[[ShardId, StoredRecord], None],
    ) -> None:
        self._membership = membership
        self._platform = platform
        self._records = records
        self._collector = collector
        self._observer = observer
        self._clock = clock
        self._on_record = on_record
        self._lease_ttl = timedelta(milliseconds=timing.lease_ttl_ms)

    def has_relinquished(self, state: ShardState, record: ShardRecord) -> bool:
        """Returns whether this process wrote the record and has since relinquished the shard."""
        return self._records.is_own(record) and record.epoch <= state.relinquished_epoch

    async def claim(
        self, state: ShardState, handed_over: HandOverRequest | None = None
    ) -> Claimed | None:
        """Claims a shard if its recorded owner has stopped, else returns ``None``.

        Raises `StoreUnavailableError` and `ProtocolError`. The record may have been written by
        then; the next call continues that claim.
        """
        stored = await self._records.read(state.id)
        if stored is not None:
            self._on_record(state.id, stored)
        state.drop_failed_attempts()
        attempt = state.current_attempt()
        if attempt is not None:
            return await self._confirm(state, attempt, stored.record)
        previous = stored.record if stored else None
        evidence = await self._evidence(state, previous, handed_over)
        lease = self._membership.lease
        if evidence is None or lease.id is None:
            return None
        members = frozenset(previous.members) if previous else frozenset()
        if evidence.may_replace_members:
            members = self._membership.known_peers()
        # Otherwise the recorded members are kept until this claim is complete, so that a later
        # candidate asks every member that may have given a promise to the previous owner.
        epoch = Epoch(max(previous.epoch if previous else 0, evidence.highest_epoch) + 1)
        record = self._records.new(epoch, lease.id, members)
        expected = stored.version if stored else None
        attempt = ClaimAttempt(epoch, previous, expected, evidence)
        state.attempt_by_write_id[record.write_id] = attempt
        written = await self._records.write(state.id, record, expected)
        if written is None:
            state.attempt_by_write_id.pop(record.write_id, None)
            return None
        self._on_record(state.id, written)
        return await self._confirm(state, attempt, record)

    async def _evidence(
        self, state: ShardState, record: ShardRecord | None, handed_over: HandOverRequest | None
    ) -> Evidence | None:
        if record is None or record.released or self.has_relinquished(state, record):
            return Evidence(may_replace_members=True)
        if handed_over is not None:
            if (handed_over.owner, handed_over.epoch) == (record.owner, record.epoch):
                return Evidence(may_replace_members=True)
            return None
        if await self._is_lease_alive(record):
            return None
        since = state.claimable_since
        waited = self._clock.boot_time() - since if since is not None else timedelta(0)
        return await self._collector.collect(state.id, record, waited)

    async def _is_lease_alive(self, record: ShardRecord) -> bool:
        """Returns whether the owner's member record still exists under the lease in ``record``."""
        key = member_key(self._membership.data_centre, record.owner)
        entry = await self._platform.get(key)
        if entry is None:
            return False
        return msgspec.json.decode(entry.value, type=MemberRecord).lease == record.lease

    async def _confirm(
        self, state: ShardState, attempt: ClaimAttempt, record: ShardRecord
    ) -> Claimed | None:
        """Completes a claim whose record is written: renews expired evidence and fences.

        Returns ``None`` if the evidence can't be renewed or expires before the end, or if another
        write has replaced the record.
        """
        if self._has_expired(attempt.evidence):
            evidence = await self._collector.collect(
                state.id, attempt.previous, 2 * self._lease_ttl
            )
            if evidence is None:
                return None
            attempt.evidence = evidence
        fenced = await self._fence(state.id, attempt.epoch)
        if attempt.evidence.must_fence:
            # The previous owner may have checked the upstreams right before the fence; its proof
            # from that check lasts at most one TTL.
            await self._clock.sleep(self._lease_ttl)
        if self._has_expired(attempt.evidence):
            return None
        if state.stored is None or state.stored.record.write_id != record.write_id:
            return None
        return Claimed(attempt.epoch, record, fenced)

    def _has_expired(self, evidence: Evidence) -> bool:
        return evidence.valid_until is not None and self._clock.boot_time() >= evidence.valid_until

    async def _fence(self, shard: ShardId, epoch: Epoch) -> bool:
        if self._observer is None:
            return False
        try:
            return await self._observer.fence(shard, epoch)
        except SchedulerError as error:
            log.warning("could not fence the upstreams of {}: {}", shard, error.message)
            return False
