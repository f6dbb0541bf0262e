"""Reads and writes of the configuration's head and snapshots in the platform's store."""

import logbook
import msgspec

from hornbeamramp.config_head import (
    RING_BYTES,
    ConfigHead,
    ConfigSnapshot,
    ConfigState,
    SnapshotRef,
)
from hornbeamramp.errors import ConflictError, ProtocolError, StoreUnavailableError
from hornbeamramp.ids import Revision
from hornbeamramp.platforms.base import Entry, Platform
from hornbeamramp.states import Step

__all__ = ["HEAD_KEY", "ConfigRecords", "decode_head"]

log = logbook.Logger("config")

HEAD_KEY = "config/head"
# Ring kept when a snapshot is written: lets members that were away for a short time catch up.
KEPT_RING_BYTES = RING_BYTES // 4

_encode = msgspec.msgpack.Encoder().encode
_head_decoder = msgspec.msgpack.Decoder(ConfigHead)
_snapshot_decoder = msgspec.msgpack.Decoder(ConfigSnapshot)


def decode_head(entry: Entry) -> ConfigHead:
    """Returns the head in ``entry``. Raises `ProtocolError` if it is malformed."""
    return _decode(_head_decoder, entry)


def _decode(decoder: msgspec.msgpack.Decoder, entry: Entry):
    try:
        return decoder.decode(entry.value)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        message = f"{entry.key} is malformed: {error}"
        raise ProtocolError(Step.CHANGE_APPLIED, "store", message) from error


class ConfigRecords:
    """Head and snapshots in the store.

    `platform`
        Store of the records.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def load(self, head: ConfigHead, known: ConfigState) -> ConfigState:
        """Returns the state at ``head``; reads the snapshot only if ``known`` does not lead there.

        Raises `StoreUnavailableError`, and `ProtocolError` if the records do not fit.
        """
        order = (head.revision, head.digest)
        state = known.extend(head.recent)
        if state is not None and state.order == order:
            return state
        base = ConfigState()
        if head.snapshot is not None:
            entry = await self._platform.get(head.snapshot.key())
            if entry is None:
                message = f"{head.snapshot.key()} is missing"
                raise ProtocolError(Step.CHANGE_APPLIED, "store", message)
            tables = _decode(_snapshot_decoder, entry).tables
            base = ConfigState(tables, (), tables.digest)
        state = base.extend(head.recent)
        if state is None or state.order != order:
            message = f"the changes of revision {head.revision} have a gap"
            raise ProtocolError(Step.CHANGE_APPLIED, "store", message)
        return ConfigState(state.tables, tuple(head.recent), head.base_digest)

    async def build_head(self, state: ConfigState, old: ConfigHead) -> ConfigHead:
        """Returns the head for ``state``, after writing a snapshot if the ring is full.

        Raises `StoreUnavailableError`.
        """
        ring = state.keep_from(Revision(old.revision - len(old.recent)))
        snapshot, old_snapshot = old.snapshot, old.old_snapshot
        reach = snapshot or SnapshotRef(Revision(0), "")
        size = sum(len(_encode(change)) for change in ring.recent)
        if size > RING_BYTES or ring.digest_at(reach.revision) != reach.digest:
            ring = state.trim(KEPT_RING_BYTES)
            snapshot = SnapshotRef(state.tables.revision, state.tables.digest)
            old_snapshot = old.snapshot
            await self._put_snapshot(snapshot, state)
        return ConfigHead(
            state.tables.revision,
            state.tables.digest,
            ring.base_digest,
            list(ring.recent),
            snapshot,
            old_snapshot,
        )

    async def _put_snapshot(self, snapshot: SnapshotRef, state: ConfigState) -> None:
        value = _encode(ConfigSnapshot(state.tables))
        try:
            try:
                await self._platform.put(snapshot.key(), value, None)
            except StoreUnavailableError as error:
                if not error.sent:
                    raise
                await self._platform.put(snapshot.key(), value, None)
        except ConflictError:
            # The key contains the digest, so the stored snapshot is the same.
            log.debug("snapshot of revision {} exists", snapshot.revision)

    async def delete_old_snapshot(self, old: ConfigHead, new: ConfigHead) -> None:
        """Deletes the snapshot that ``new`` no longer refers to. Errors leave it in place."""
        if old.old_snapshot is None or old.old_snapshot in (new.snapshot, new.old_snapshot):
            return
        try:
            entry = await self._platform.get(old.old_snapshot.key())
            if entry is not None:
                await self._platform.delete(entry.key, entry.version)
        except (ConflictError, StoreUnavailableError) as error:
            log.debug("an old snapshot was not deleted: {}", error)
