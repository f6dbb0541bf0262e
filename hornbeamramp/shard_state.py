"""State that a process keeps of one shard of its data centre."""

import asyncio
from datetime import timedelta

import msgspec

from hornbeamramp.evidence import Evidence
from hornbeamramp.ids import Epoch, LeaseId, ShardId, VmId
from hornbeamramp.shard_records import ShardRecord, StoredRecord

__all__ = ["ClaimAttempt", "ShardState"]


class ClaimAttempt(msgspec.Struct):
    """A claim whose record is, or may be, written, but which is not complete.

    To complete it, expired evidence is collected again and the upstreams are fenced.

    `previous`
        Record that the claim replaces; the evidence concerns its owner.
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
        Latest record read from or written to the store.
    `epoch`, `lease`
        Epoch owned by this process, and the lease in its confirmed record; ``None`` if not owned.
    `last_start_allowed_at`
        Boot time at which `Ownership.may_start` last returned true.
    `relinquished_epoch`
        Highest epoch that this process has owned and relinquished. It never owns that epoch again.
    `required_members`
        Members whose promises a proof requires: the union of all member lists that the store may
        hold for the owned epoch.
    `attempt_by_write_id`
        Claims with an unknown outcome, by the write id of their record.
    """

    def __init__(self, shard: ShardId) -> None:
        self.id = shard
        self.lock = asyncio.Lock()
        self.stored: StoredRecord | None = None
        self.epoch: Epoch | None = None
        self.lease: LeaseId | None = None
        self.relinquished_epoch = Epoch(0)
        self.required_members: frozenset[VmId] = frozenset()
        self.rewrite_attempted_at = timedelta(0)
        self.attempt_by_write_id: dict[str, ClaimAttempt] = {}
        self.claimable_since: timedelta | None = None
        self.claim_not_before = timedelta(0)
        self.last_start_allowed_at = timedelta(days=-1)
        self.gained_task: asyncio.Task[None] | None = None
        self.lost_task: asyncio.Task[None] | None = None

    def current_attempt(self) -> ClaimAttempt | None:
        """Returns the claim of this process that wrote the latest known record, if any."""
        return self.attempt_by_write_id.get(self.stored.record.write_id) if self.stored else None

    def drop_failed_attempts(self) -> None:
        """Removes claims that can no longer succeed because another write came first."""
        version = self.stored.version if self.stored else None
        current = self.stored.record.write_id if self.stored else None
        self.attempt_by_write_id = {
            write_id: attempt
            for write_id, attempt in self.attempt_by_write_id.items()
            if write_id == current or attempt.expected == version
        }

    def acquire(self, epoch: Epoch, record: ShardRecord) -> None:
        """Makes this process the owner, by a record that it wrote."""
        self.epoch = epoch
        self.lease = record.lease
        self.required_members = frozenset(record.members)
        self.rewrite_attempted_at = timedelta(0)
        self.attempt_by_write_id = {}

    def relinquish(self) -> None:
        """Ends the ownership of this process."""
        self.relinquished_epoch = max(self.relinquished_epoch, self.epoch)
        self.epoch = None
        self.lease = None
        self.required_members = frozenset()
        self.claimable_since = None

    def is_stopping(self, now: timedelta, send_bound: timedelta) -> bool:
        """Returns whether `lost` still runs, or a start request may still be in transit."""
        is_running = self.lost_task is not None and not self.lost_task.done()
        return is_running or now < self.last_start_allowed_at + send_bound

    def may_promise(self, owner: VmId, epoch: Epoch) -> bool:
        """Returns whether no ownership, claim or record known here conflicts with that owner."""
        if self.epoch is not None or self.attempt_by_write_id:
            return False
        if self.stored is None:
            return True
        record = self.stored.record
        return (record.epoch, record.owner) == (epoch, owner) or record.epoch < epoch
