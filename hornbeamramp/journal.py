"""Journal of a shard in the platform's store: group commit, fencing by epoch, compaction."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Literal

import logbook
import msgspec
from result import Err, Ok, Result

from hornbeamramp.clock import Clock
from hornbeamramp.errors import ConflictError, StoreUnavailableError
from hornbeamramp.ids import Epoch, ShardId
from hornbeamramp.journal_records import (
    JournalHead,
    JournalRecord,
    JournalState,
    KeyRecorded,
)
from hornbeamramp.journal_segments import SEGMENT_BYTES, JournalSegments, decode_head
from hornbeamramp.platforms.base import Platform
from hornbeamramp.states import Step

__all__ = ["Fenced", "Journal", "JournalError", "JournalUnavailable", "RecordTooLarge"]

log = logbook.Logger("journal")

MAX_INLINE_BYTES = 16 * 1024
MAX_BATCH_BYTES = 256 * 1024
MAX_PENDING_BYTES = 4 * 1024 * 1024
MAX_CHECKPOINT_BYTES = 8 * 1024 * 1024
# Compaction rewrites the checkpoint, so it waits until the segments are at least as large.
MIN_COMPACTION_BYTES = 8 * MAX_INLINE_BYTES
MAX_PUT_ATTEMPTS = 4
MAX_CLAIM_ATTEMPTS = 20
FULL_COMPACT_INTERVAL = timedelta(minutes=1)
RETRY_DELAY = timedelta(milliseconds=50)

_encode = msgspec.msgpack.Encoder().encode


class JournalUnavailable(msgspec.Struct, frozen=True):
    """The store did not confirm the write.

    `outcome`
        ``not_run`` if the record is not in the journal and will not be; ``unknown`` if it may be.
    """

    outcome: Literal["not_run", "unknown"]
    message: str


class Fenced(msgspec.Struct, frozen=True):
    """Another owner opened the journal with ``epoch``.

    `outcome`
        ``not_run`` if the record is not in the journal and will not be; ``unknown`` if it may
        have been written just before.
    """

    epoch: Epoch
    message: str
    outcome: Literal["not_run", "unknown"] = "not_run"


class RecordTooLarge(msgspec.Struct, frozen=True):
    """The record has ``size`` bytes, more than a segment holds. It is not in the journal."""

    size: int
    limit: int = SEGMENT_BYTES


JournalError = JournalUnavailable | Fenced | RecordTooLarge


class _Pending(msgspec.Struct):
    record: JournalRecord
    raw: msgspec.Raw
    done: asyncio.Future[Result[None, JournalError]]


class _FencedError(Exception):
    """The head in the store was written by another owner."""


class Journal:
    """Journal of one shard, for its owner.

    `platform`
        Store; its calls count against the process's budget.
    `clock`
        Source of time for retention and retries.
    `shard`
        Shard whose journal this is.

    `state` is the state replayed from the durable records.
    """

    def __init__(self, platform: Platform, clock: Clock, shard: ShardId) -> None:
        self._platform = platform
        self._clock = clock
        self._shard = shard
        self._key = f"journal/{shard}"
        self._segments = JournalSegments(platform, self._key)
        self._writer_id = ""
        self._next_number = 0
        self._head = JournalHead(Epoch(0), "")
        self._version: int | None = None
        self._pending: list[_Pending] = []
        self._pending_bytes = 0
        self._writer: asyncio.Task[None] | None = None
        self._head_lock = asyncio.Lock()
        self._fenced: Fenced | None = Fenced(Epoch(0), "the journal is not open")
        # Heads whose put was not answered: each may still take effect until the version changes.
        self._unresolved_by_write_id: dict[str, list[JournalRecord]] = {}
        self._must_read = False
        self._compacted_at: timedelta | None = None
        self.state = JournalState()

    async def open(self, epoch: Epoch) -> list[JournalRecord]:
        """Claims the journal for ``epoch`` and returns its records in order.

        After this, appends by an owner with a lower epoch fail. Raises `ConflictError` if the
        journal has a higher epoch, `StoreUnavailableError` if the store does not answer and
        `ProtocolError` if a record is missing or malformed. May be called again after an error.
        """
        async with self._head_lock:
            self._writer_id = uuid.uuid4().hex
            self._next_number = 0
            head, version = await self._claim(epoch)
            records = await self._segments.load(head)
            self._head, self._version = head, version
            self._unresolved_by_write_id.clear()
            self._must_read = False
            self.state = JournalState.replay(records, self._clock.now())
            self._fenced = None
        log.info(
            "opened the journal of {} with epoch {}, {} records", self._shard, epoch, len(records)
        )
        return records

    async def append(self, record: JournalRecord) -> Result[None, JournalError]:
        """Writes the record and returns when it is durable.

        Records that arrive during a write are written together in the next one. The record of a
        cancelled call may still be written.
        """
        if self._fenced is not None:
            return Err(self._fenced)
        if isinstance(record, KeyRecorded) and record.recorded_at is None:
            record = msgspec.structs.replace(record, recorded_at=self._clock.now())
        raw = msgspec.Raw(_encode(record))
        if len(raw) > SEGMENT_BYTES:
            return Err(RecordTooLarge(len(raw)))
        if self._pending_bytes + len(raw) > MAX_PENDING_BYTES:
            return Err(JournalUnavailable("not_run", "too many records wait to be written"))
        if self._is_full():
            await self._compact_full()
            if self._is_full():
                return Err(JournalUnavailable("not_run", "the journal is full"))
        pending = _Pending(record, raw, asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        self._pending_bytes += len(raw)
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_pending())
        return await pending.done

    async def check(self) -> Result[None, JournalError]:
        """Reads the head and writes the journal back if the store holds an older one.

        To be called when the store is available again after an outage.
        """
        async with self._head_lock:
            if self._fenced is not None:
                return Err(self._fenced)
            try:
                await self._resolve()
            except _FencedError:
                return Err(self._fenced)
            except StoreUnavailableError as error:
                return Err(JournalUnavailable("not_run", error.message))
            return Ok(None)

    async def close(self) -> None:
        """Waits for the outstanding writes, then refuses further appends."""
        if self._writer is not None:
            await self._writer
        self._fenced = self._fenced or Fenced(self._head.epoch, "the journal is closed")

    async def _claim(self, epoch: Epoch) -> tuple[JournalHead, int]:
        for attempt in range(MAX_CLAIM_ATTEMPTS):
            entry = await self._platform.get(self._key)
            head = JournalHead(Epoch(0), "") if entry is None else decode_head(entry)
            if head.epoch > epoch:
                message = f"{self._key}: has epoch {head.epoch}, not {epoch}"
                raise ConflictError(Step.JOURNAL, "store", message, entry and entry.version)
            claimed = msgspec.structs.replace(head, epoch=epoch, write_id=self._new_write_id())
            try:
                version = await self._platform.put(
                    self._key, _encode(claimed), entry.version if entry else None
                )
                return claimed, version
            except ConflictError:
                # The old owner appended in between; its records are part of the journal.
                continue
            except StoreUnavailableError as error:
                if not error.sent or attempt + 1 == MAX_CLAIM_ATTEMPTS:
                    raise
        message = f"{self._key}: changed at each of {MAX_CLAIM_ATTEMPTS} attempts"
        raise ConflictError(Step.JOURNAL, "store", message, None)

    async def _write_pending(self) -> None:
        while self._pending:
            batch = self._take_batch()
            try:
                async with self._head_lock:
                    result = await self._commit(batch)
            except Exception as error:
                log.exception("write to the journal of {} failed", self._shard)
                result = Err(JournalUnavailable("unknown", repr(error)))
            for pending in batch:
                if not pending.done.done():
                    pending.done.set_result(result)
            if result.is_ok() and self._is_compaction_due():
                async with self._head_lock:
                    await self._compact()

    def _take_batch(self) -> list[_Pending]:
        count, size = 0, 0
        for pending in self._pending:
            if count and size + len(pending.raw) > MAX_BATCH_BYTES:
                break
            count, size = count + 1, size + len(pending.raw)
        batch, self._pending = self._pending[:count], self._pending[count:]
        self._pending_bytes -= size
        return batch

    async def _commit(self, batch: list[_Pending]) -> Result[None, JournalError]:
        raws = [pending.raw for pending in batch]

        async def build() -> JournalHead:
            records, segments = [*self._head.records, *raws], self._head.segments
            if sum(len(raw) for raw in records) > MAX_INLINE_BYTES:
                segments = [*segments, *await self._segments.write(records)]
                records = []
            return msgspec.structs.replace(
                self._head, write_id=self._new_write_id(), records=records, segments=segments
            )

        return await self._replace_head(build, [pending.record for pending in batch])

    async def _replace_head(
        self, build: Callable[[], Awaitable[JournalHead]], records: list[JournalRecord]
    ) -> Result[None, JournalError]:
        """Replaces the head by the one that ``build`` derives from it, which adds ``records``.

        After a put without an answer the head is read back. The same head is put again only at
        the same version, so that at most one of the puts takes effect.
        """
        if self._fenced is not None:
            return Err(self._fenced)
        head: JournalHead | None = None
        base_version: int | None = None
        message = ""
        for attempt in range(MAX_PUT_ATTEMPTS):
            if attempt:
                await self._clock.sleep(RETRY_DELAY * 2 ** (attempt - 1))
            try:
                if self._must_read:
                    await self._resolve()
                if head is not None and self._head.write_id == head.write_id:
                    return Ok(None)
                if head is None or base_version != self._version:
                    if head is not None:
                        self._segments.discard(head)
                    base_version, head = self._version, await build()
            except _FencedError:
                if head is not None and head.write_id in self._unresolved_by_write_id:
                    # The put may have taken effect before the other owner opened the journal.
                    return Err(msgspec.structs.replace(self._fenced, outcome="unknown"))
                return Err(self._fenced)
            except StoreUnavailableError as error:
                message = error.message
                if head is None or head.write_id not in self._unresolved_by_write_id:
                    return Err(JournalUnavailable("not_run", message))
                continue
            try:
                version = await self._platform.put(self._key, _encode(head), base_version)
            except ConflictError:
                self._must_read = True
            except StoreUnavailableError as error:
                message = error.message
                if error.sent:
                    self._unresolved_by_write_id[head.write_id] = records
                    self._must_read = True
                elif head.write_id not in self._unresolved_by_write_id:
                    self._segments.discard(head)
                    return Err(JournalUnavailable("not_run", message))
            else:
                self._adopt(head, version, records)
                return Ok(None)
        self._segments.discard(head)
        if head.write_id in self._unresolved_by_write_id:
            return Err(JournalUnavailable("unknown", message))
        return Err(JournalUnavailable("not_run", "the head changed at each attempt"))

    async def _resolve(self) -> None:
        """Reads the head back and adopts it, or writes it back if the store lost it.

        Raises `_FencedError` if another owner wrote it and `StoreUnavailableError`.
        """
        entry = await self._platform.get(self._key)
        if entry is not None and entry.version == self._version:
            self._must_read = bool(self._unresolved_by_write_id)
            return
        head = JournalHead(Epoch(0), "") if entry is None else decode_head(entry)
        if head.write_id in self._unresolved_by_write_id:
            records = self._unresolved_by_write_id[head.write_id]
            self._adopt(head, entry.version, records)
            return
        is_own_head = head.write_id.startswith(self._writer_id)
        if head.epoch > self._head.epoch or (head.epoch == self._head.epoch and not is_own_head):
            self._fenced = Fenced(head.epoch, f"{self._key} has another owner")
            log.warning(
                "the journal of {} was opened by another owner with epoch {}",
                self._shard,
                head.epoch,
            )
            raise _FencedError
        log.warning("the store holds an older journal of {}; writing it back", self._shard)
        # Earlier puts expect a version that no longer exists, so none of them can take effect.
        self._unresolved_by_write_id.clear()
        await self._write_back(entry.version if entry else None)

    async def _write_back(self, expected: int | None) -> None:
        head = await self._build_checkpoint()
        self._must_read = True
        self._unresolved_by_write_id[head.write_id] = []
        try:
            version = await self._platform.put(self._key, _encode(head), expected)
        except ConflictError as error:
            raise StoreUnavailableError(Step.JOURNAL, "store", error.message) from error
        finally:
            self._segments.discard(head)
        self._adopt(head, version, [])

    def _adopt(self, head: JournalHead, version: int, records: list[JournalRecord]) -> None:
        self._head, self._version = head, version
        self._unresolved_by_write_id.clear()
        self._must_read = False
        for record in records:
            self.state.apply(record)

    def _is_compaction_due(self) -> bool:
        size = sum(ref.size for ref in self._head.segments)
        return size >= max(MIN_COMPACTION_BYTES, sum(ref.size for ref in self._head.checkpoint))

    def _is_full(self) -> bool:
        return sum(ref.size for ref in self._head.checkpoint) > MAX_CHECKPOINT_BYTES

    async def _compact_full(self) -> None:
        """Drops records past retention. At most once a minute, as it rewrites the journal."""
        async with self._head_lock:
            now = self._clock.boot_time()
            if self._compacted_at is None or now - self._compacted_at >= FULL_COMPACT_INTERVAL:
                self._compacted_at = now
                await self._compact()

    async def _compact(self) -> None:
        old = self._head
        result = await self._replace_head(self._build_checkpoint, [])
        if isinstance(result, Err):
            log.warning("compaction of {} failed: {}", self._shard, result.err_value)
            return
        self._segments.discard(old)
        await self._segments.delete_unused(self._head)

    async def _build_checkpoint(self) -> JournalHead:
        self.state.prune(self._clock.now())
        raws = [msgspec.Raw(_encode(record)) for record in self.state.to_records()]
        checkpoint = await self._segments.write(raws)
        return JournalHead(self._head.epoch, self._new_write_id(), checkpoint=checkpoint)

    def _new_write_id(self) -> str:
        self._next_number += 1
        return f"{self._writer_id}-{self._next_number}"
