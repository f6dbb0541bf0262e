"""Shard records in the store, written by compare-and-swap and identified by a write id."""

import itertools
import uuid

import msgspec

from hornbeamramp.errors import ConflictError, ProtocolError, StoreUnavailableError
from hornbeamramp.ids import Epoch, LeaseId, ShardId, VmId
from hornbeamramp.platforms.base import Entry, Platform
from hornbeamramp.states import Step

__all__ = ["PREFIX", "ShardRecord", "ShardRecords", "StoredRecord"]

PREFIX = "shards/"


class ShardRecord(msgspec.Struct, frozen=True):
    """Value of ``shards/{pool}@{dc}``.

    `lease`
        Process lease on which the owner's `STORE` proof is based.
    `members`
        Members whose promises the owner needs for a proof without the store. A claim needs the
        approval of at least one of them, or evidence from the upstreams.
    `released`
        Whether the owner has released the shard; any member may then claim it at once.
    `write_id`
        Unique id of this write. The part before the slash identifies the writing process.
    """

    epoch: Epoch
    owner: VmId
    lease: LeaseId | None
    peer_address: str
    members: list[VmId]
    write_id: str
    released: bool = False


class StoredRecord(msgspec.Struct, frozen=True):
    """A shard record with the version under which the store holds it."""

    record: ShardRecord
    version: int


class ShardRecords:
    """Reads and writes shard records for the process at ``peer_address`` on ``vm``."""

    def __init__(self, platform: Platform, vm: VmId, peer_address: str) -> None:
        self._platform = platform
        self._vm = vm
        self._peer_address = peer_address
        self._process = uuid.uuid4().hex
        self._sequence = itertools.count(1)

    def new(
        self,
        epoch: Epoch,
        lease: LeaseId | None,
        members: frozenset[VmId],
        released: bool = False,
    ) -> ShardRecord:
        """Returns a record of this process with a new unique write id."""
        write_id = f"{self._process}/{next(self._sequence)}"
        others = sorted(members - {self._vm})
        return ShardRecord(
            epoch, self._vm, lease, self._peer_address, others, write_id, released=released
        )

    def is_own(self, record: ShardRecord) -> bool:
        """Returns whether this process wrote the record, not an earlier one of the same VM."""
        return record.write_id.startswith(self._process + "/")

    async def read(self, shard: ShardId) -> StoredRecord | None:
        """Returns the record, ``None`` if there is none.

        Raises `StoreUnavailableError`, and `ProtocolError` if the value can't be decoded.
        """
        entry = await self._platform.get(PREFIX + shard)
        return decode(entry) if entry else None

    async def write(
        self, shard: ShardId, record: ShardRecord, expected: int | None
    ) -> StoredRecord | None:
        """Replaces version ``expected``. Returns ``None`` if another write came first.

        If the store's reply is lost, the record is read back and compared by its write id. Raises
        `StoreUnavailableError` if the outcome stays unknown; the write may still take effect.
        """
        try:
            version = await self._platform.put(
                PREFIX + shard, msgspec.json.encode(record), expected
            )
            return StoredRecord(record, version)
        except ConflictError:
            return None
        except StoreUnavailableError:
            current = await self.read(shard)
            if current is not None and current.record.write_id == record.write_id:
                return current
            if (current.version if current else None) != expected:
                return None
            raise

    async def release(self, shard: ShardId, epoch: Epoch) -> None:
        """Marks the record as released if this process wrote it for ``epoch``."""
        stored = await self.read(shard)
        if stored is None or stored.record.epoch != epoch or not self.is_own(stored.record):
            return
        record = self.new(epoch, None, frozenset(stored.record.members), released=True)
        await self.write(shard, record, stored.version)


def decode(entry: Entry) -> StoredRecord:
    """Decodes a store entry. Raises `ProtocolError` if its value is not a shard record."""
    try:
        return StoredRecord(msgspec.json.decode(entry.value, type=ShardRecord), entry.version)
    except msgspec.DecodeError as error:
        raise ProtocolError(Step.CLAIM, "store", f"{entry.key}: {error}") from error
