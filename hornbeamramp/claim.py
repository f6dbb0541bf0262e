"""The claim of a shard: evidence, compare-and-swap, fence.

Steps and the combinations of failures that they cover are described in docs/ownership.md.
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
from hornbeamramp.shard_state import Attempt, ShardState

__all__ = ["Claimed", "Claimer"]

log = logbook.Logger("owner")


class Claimed(msgspec.Struct, frozen=True):
    """A completed claim. ``fenced`` tells whether every upstream took the fence."""

    epoch: Epoch
    record: ShardRecord
    fenced: bool


class Claimer:
    """Claims shards for one process.

    `membership`, `platform`, `records`, `clock`, `timing`
        Lease and members, store, shard records, source of time, intervals.
    `collector`
        Collects evidence against the owner on record.
    `witness`
        Upstreams to fence, or ``None``.
    `note`
        Takes in each record read or written.
    """

    def __init__(
        self,
        membership: Membership,
        platform: Platform,
        records: ShardRecords,
        collector: EvidenceCollector,
        witness: ShardObserver | None,
        clock: Clock,
        timing: TimingSettings,
        note: Callable[[ShardId, StoredRecord], None],
    ) -> None:
        self._membership = membership
        self._platform = platform
        self._records = records
        self._collector = collector
        self._witness = witness
        self._clock = clock
        self._note = note
        self._term = timedelta(milliseconds=timing.lease_ttl_ms)

    def has_given_up(self, state: ShardState, record: ShardRecord) -> bool:
        """Returns whether this process wrote the record and has since stopped to own it."""
        return self._records.is_own(record) and record.epoch <= state.given_up

    async def claim(
        self, state: ShardState, handed_over: HandOverRequest | None = None
    ) -> Claimed | None:
        """Claims a shard if its owner on record has stopped, else returns ``None``.

        Raises `StoreUnavailableError` and `ProtocolError`; the record may then be written, and
        the next call goes on from there.
        """
        stored = await self._records.read(state.id)
        if stored is not None:
            self._note(state.id, stored)
        state.drop_failed_attempts()
        attempt = state.attempt()
        if attempt is not None:
            return await self._confirm(state, attempt, stored.record)
        previous = stored.record if stored else None
        evidence = await self._evidence(state, previous, handed_over)
        lease = self._membership.lease
        if evidence is None or lease.id is None:
            return None
        members = frozenset(previous.members) if previous else frozenset()
        if evidence.new_members:
            members = self._membership.roster()
        # Otherwise the members on record stay until this claim is complete, so that a later
        # claimant reaches whoever may have given a promise to the previous owner.
        epoch = Epoch(max(previous.epoch if previous else 0, evidence.highest_epoch) + 1)
        record = self._records.new(epoch, lease.id, members)
        expected = stored.version if stored else None
        attempt = Attempt(epoch, previous, expected, evidence)
        state.attempt_by_write[record.write_id] = attempt
        written = await self._records.write(state.id, record, expected)
        if written is None:
            state.attempt_by_write.pop(record.write_id, None)
            return None
        self._note(state.id, written)
        return await self._confirm(state, attempt, record)

    async def _evidence(
        self, state: ShardState, record: ShardRecord | None, handed_over: HandOverRequest | None
    ) -> Evidence | None:
        if record is None or record.released or self.has_given_up(state, record):
            return Evidence(new_members=True)
        if handed_over is not None:
            if (handed_over.owner, handed_over.epoch) == (record.owner, record.epoch):
                return Evidence(new_members=True)
            return None
        if await self._lease_lives(record):
            return None
        since = state.claimable_since
        waited = self._clock.boot_time() - since if since is not None else timedelta(0)
        return await self._collector.collect(state.id, record, waited)

    async def _lease_lives(self, record: ShardRecord) -> bool:
        """Returns whether the store still holds the member record under the lease on record."""
        key = member_key(self._membership.data_centre, record.owner)
        entry = await self._platform.get(key)
        if entry is None:
            return False
        return msgspec.json.decode(entry.value, type=MemberRecord).lease == record.lease

    async def _confirm(
        self, state: ShardState, attempt: Attempt, record: ShardRecord
    ) -> Claimed | None:
        """Completes the evidence of a claim whose record is written."""
        if self._has_lapsed(attempt.evidence):
            evidence = await self._collector.collect(state.id, attempt.previous, 2 * self._term)
            if evidence is None:
                return None
            attempt.evidence = evidence
        fenced = await self._fence(state.id, attempt.epoch)
        if attempt.evidence.must_fence:
            # The previous owner's last look at the upstreams may be as recent as the fence.
            await self._clock.sleep(self._term)
        if self._has_lapsed(attempt.evidence):
            return None
        if state.stored is None or state.stored.record.write_id != record.write_id:
            return None
        return Claimed(attempt.epoch, record, fenced)

    def _has_lapsed(self, evidence: Evidence) -> bool:
        return evidence.until is not None and self._clock.boot_time() >= evidence.until

    async def _fence(self, shard: ShardId, epoch: Epoch) -> bool:
        if self._witness is None:
            return False
        try:
            return await self._witness.fence(shard, epoch)
        except SchedulerError as error:
            log.warning("upstreams of {} not fenced: {}", shard, error.message)
            return False
