"""Segments of a journal in the store: values that the journal's head refers to."""

import uuid
from collections.abc import Callable
from typing import TypeVar

import logbook
import msgspec

from hornbeamramp.errors import ConflictError, ProtocolError, StoreUnavailableError
from hornbeamramp.journal_records import JournalHead, JournalRecord, Segment, SegmentRef
from hornbeamramp.platforms.base import Entry, Platform
from hornbeamramp.states import Step

__all__ = ["SEGMENT_BYTES", "JournalSegments", "decode_head"]

log = logbook.Logger("journal")

# Values in the store are at most 1 MB; the rest is reserved for the encoding of the segment.
SEGMENT_BYTES = 950_000

T = TypeVar("T")

_encode = msgspec.msgpack.Encoder().encode
_head_decoder = msgspec.msgpack.Decoder(JournalHead)
_segment_decoder = msgspec.msgpack.Decoder(Segment)
_record_decoder = msgspec.msgpack.Decoder(JournalRecord)


def decode_head(entry: Entry) -> JournalHead:
    """Returns the head in ``entry``. Raises `ProtocolError` if it is malformed."""
    return _decode(_head_decoder.decode, entry.value, entry.key)


def _decode(decode: Callable[[bytes], T], value: bytes, key: str) -> T:
    try:
        return decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ProtocolError(Step.RECOVER, "store", f"{key} is malformed: {error}") from error


class JournalSegments:
    """Writes, reads and deletes the segments of one journal.

    `platform`
        Store of the segments.
    `key`
        Key of the journal's head, prefix of the keys of its segments.
    """

    def __init__(self, platform: Platform, key: str) -> None:
        self._platform = platform
        self._key = key
        self._unused_keys: set[str] = set()

    async def write(self, records: list[msgspec.Raw]) -> list[SegmentRef]:
        """Stores the records in as few segments as their sizes allow.

        Raises `StoreUnavailableError`; the segments written until then are marked for deletion.
        """
        refs: list[SegmentRef] = []
        segment_records: list[msgspec.Raw] = []
        size = 0
        for index, raw in enumerate(records):
            segment_records.append(raw)
            size += len(raw)
            if index + 1 == len(records) or size + len(records[index + 1]) > SEGMENT_BYTES:
                key = f"{self._key}/segment/{uuid.uuid4().hex}"
                try:
                    await self._put(key, _encode(Segment(segment_records)))
                except StoreUnavailableError:
                    self._unused_keys.update([key, *(ref.key for ref in refs)])
                    raise
                refs.append(SegmentRef(key, size))
                segment_records, size = [], 0
        return refs

    async def load(self, head: JournalHead) -> list[JournalRecord]:
        """Returns the records of the whole journal in order.

        Raises `StoreUnavailableError`, and `ProtocolError` if a segment is missing or malformed.
        """
        raws: list[msgspec.Raw] = []
        for ref in [*head.checkpoint, *head.segments]:
            entry = await self._platform.get(ref.key)
            if entry is None:
                raise ProtocolError(Step.RECOVER, "store", f"segment {ref.key} is missing")
            raws += _decode(_segment_decoder.decode, entry.value, ref.key).records
        raws += head.records
        return [_decode(_record_decoder.decode, raw, self._key) for raw in raws]

    def discard(self, head: JournalHead) -> None:
        """Marks the segments of ``head`` for deletion unless a later head refers to them."""
        self._unused_keys.update(ref.key for ref in [*head.checkpoint, *head.segments])

    async def delete_unused(self, head: JournalHead) -> None:
        """Deletes marked segments that ``head`` does not refer to; they stay marked on errors."""
        self._unused_keys -= {ref.key for ref in [*head.checkpoint, *head.segments]}
        try:
            for key in list(self._unused_keys):
                entry = await self._platform.get(key)
                if entry is not None:
                    await self._platform.delete(key, entry.version)
                self._unused_keys.discard(key)
        except (ConflictError, StoreUnavailableError) as error:
            log.debug("unused segments of {} were not deleted: {}", self._key, error)

    async def _put(self, key: str, value: bytes) -> None:
        try:
            await self._platform.put(key, value, None)
        except StoreUnavailableError as error:
            if not error.sent:
                raise
            try:
                await self._platform.put(key, value, None)
            except ConflictError:
                # The key is unique, so the first put took effect.
                return
