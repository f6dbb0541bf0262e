"""Reads and writes the configuration's head and snapshots in the platform's store."""

import logbook
import msgspec

from hornbeamramp.config_head import (
    RECENT_MAX_BYTES,
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
# Changes kept in the head when a snapshot is written, so that members that were briefly
# disconnected can catch up without reading the snapshot.
RECENT_BYTES_AFTER_SNAPSHOT = RECENT_MAX_BYTES // 4

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
    """Access to the head and the snapshots in the store.

    `platform`
        Platform with the store.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def load(self, head: ConfigHead, known: ConfigState) -> ConfigState:
        """Returns the state at ``head``; reads the snapshot only if it can't extend ``known``.

        Raises `StoreUnavailableError`, and `ProtocolError` if the records are inconsistent.
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
        """Returns the head for ``state``, after writing a new snapshot if one is needed.

        That is, if the kept changes exceed `RECENT_MAX_BYTES` or do not reach back to the last
        snapshot. Raises `StoreUnavailableError`.
        """
        kept_state = state.drop_through(Revision(old.revision - len(old.recent)))
        snapshot, old_snapshot = old.snapshot, old.old_snapshot
        base_ref = snapshot or SnapshotRef(Revision(0), "")
        size = sum(len(_encode(change)) for change in kept_state.recent)
        if size > RECENT_MAX_BYTES or kept_state.digest_at(base_ref.revision) != base_ref.digest:
            kept_state = state.trim(RECENT_BYTES_AFTER_SNAPSHOT)
            snapshot = SnapshotRef(state.tables.revision, state.tables.digest)
            old_snapshot = old.snapshot
            await self._put_snapshot(snapshot, state)
        return ConfigHead(
            state.tables.revision,
            state.tables.digest,
            kept_state.base_digest,
            list(kept_state.recent),
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
            log.debug("snapshot of revision {} already exists", snapshot.revision)

    async def delete_old_snapshot(self, old: ConfigHead, new: ConfigHead) -> None:
        """Deletes the snapshot that ``new`` no longer refers to. Errors are only logged."""
        if old.old_snapshot is None or old.old_snapshot in (new.snapshot, new.old_snapshot):
            return
        try:
            entry = await self._platform.get(old.old_snapshot.key())
            if entry is not None:
                await self._platform.delete(entry.key, entry.version)
        except (ConflictError, StoreUnavailableError) as error:
            log.debug("old snapshot not deleted: {}", error)
