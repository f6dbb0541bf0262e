"""What a process knows about one shard of its data centre."""

import asyncio
from datetime import timedelta

import msgspec

from hornbeamramp.evidence import Evidence
from hornbeamramp.ids import Epoch, LeaseId, ShardId, VmId
from hornbeamramp.shard_records import ShardRecord, StoredRecord

__all__ = ["Attempt", "ShardState"]


class Attempt(msgspec.Struct):
    """A claim whose record is or may be written while its evidence is not complete.

    `previous`
        Record that the claim replaces; the evidence is about its owner.
    `expected`
        Version of that record, ``None`` if there is none.
    """

    epoch: Epoch
    previous: ShardRecord | None
    expected: int | None
    evidence: Evidence


class ShardState:
    """State of one shard, in memory.

    `stored`
        Latest record seen.
    `epoch`, `lease`
        Epoch owned by this process and the lease on its confirmed record; ``None`` if not owned.
    `allowed_at`
        Boot time at which `Ownership.may_start` last returned true.
    `given_up`
        Highest epoch that this process has owned and stopped to own. It never owns it again.
    `required`
        Every member list that the store may hold for the owned epoch, merged.
    `attempt_by_write`
        Claims without a known outcome.
    """

    def __init__(self, shard: ShardId) -> None:
        self.id = shard
        self.lock = asyncio.Lock()
        self.stored: StoredRecord | None = None
        self.epoch: Epoch | None = None
        self.lease: LeaseId | None = None
        self.given_up = Epoch(0)
        self.required: frozenset[VmId] = frozenset()
        self.roster_at = timedelta(0)
        self.attempt_by_write: dict[str, Attempt] = {}
        self.claimable_since: timedelta | None = None
        self.not_before = timedelta(0)
        self.allowed_at = timedelta(days=-1)
        self.gained_task: asyncio.Task[None] | None = None
        self.lost_task: asyncio.Task[None] | None = None

    def attempt(self) -> Attempt | None:
        """Returns the claim of this process that the latest record seen belongs to."""
        return self.attempt_by_write.get(self.stored.record.write_id) if self.stored else None

    def drop_failed_attempts(self) -> None:
        """Forgets claims that can no longer take effect, as another write came first."""
        version = self.stored.version if self.stored else None
        current = self.stored.record.write_id if self.stored else None
        self.attempt_by_write = {
            write: attempt
            for write, attempt in self.attempt_by_write.items()
            if write == current or attempt.expected == version
        }

    def own(self, epoch: Epoch, record: ShardRecord) -> None:
        """Begins to own the shard by a record of this process."""
        self.epoch = epoch
        self.lease = record.lease
        self.required = frozenset(record.members)
        self.roster_at = timedelta(0)
        self.attempt_by_write = {}

    def give_up(self) -> None:
        """Stops to own the shard."""
        self.given_up = max(self.given_up, self.epoch)
        self.epoch = None
        self.lease = None
        self.required = frozenset()
        self.claimable_since = None

    def is_stopping(self, now: timedelta, send_bound: timedelta) -> bool:
        """Returns whether `lost` still runs or a last start may still be on its way."""
        running = self.lost_task is not None and not self.lost_task.done()
        return running or now < self.allowed_at + send_bound

    def may_promise(self, owner: VmId, epoch: Epoch) -> bool:
        """Returns whether nothing known here speaks against ``owner`` with ``epoch``."""
        if self.epoch is not None or self.attempt_by_write:
            return False
        if self.stored is None:
            return True
        record = self.stored.record
        return (record.epoch, record.owner) == (epoch, owner) or record.epoch < epoch
