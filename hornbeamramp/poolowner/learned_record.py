"""The record of what an owner has learned, which a successor starts from.

It is advice. It is written only with commits that are made anyway and have an entry left, and a
record that can't be read is ignored.
"""

from datetime import timedelta

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.ids import PoolName
from hornbeamramp.poolowner.learned_durations import LearnedDurations
from hornbeamramp.statestore import Item, LearnedRecord, Put
from hornbeamramp.statestore.records import LEARNED_VERSION, decode_learned, encode, learned_key

__all__ = ["LearnedRecorder", "decode_item"]

# Minimum time between two writes. A successor misses what the last seconds told.
WRITE_INTERVAL = timedelta(seconds=5)
# Largest record that is written or read. 256 terms and 512 workers need less unless ids are long.
MAX_RECORD_BYTES = 32 * 1024

_log = logbook.Logger("owner")


class LearnedRecorder:
    """Decides when the journal writes what has been learned."""

    def __init__(self, pool: PoolName, durations: LearnedDurations, clock: Clock) -> None:
        self._pool = pool
        self._durations = durations
        self._clock = clock
        self._written_at = clock.boot_time()
        self._written_runs = 0
        self._pending_runs = 0

    def due(self) -> Put | None:
        """Returns the record if it has changed since it was last written and the interval has
        passed, otherwise ``None``."""
        runs = self._durations.runs
        now = self._clock.boot_time()
        if runs == self._written_runs or now - self._written_at < WRITE_INTERVAL:
            return None
        self._pending_runs = runs
        value = encode(self._durations.to_record())
        if len(value) > MAX_RECORD_BYTES:
            _log.warning("{}: learned durations take {} bytes, not kept", self._pool, len(value))
            self._written_at = now
            return None
        return Put(learned_key(self._pool), value)

    def mark_written(self) -> None:
        """Notes that the record returned last is in the store."""
        self._written_runs = self._pending_runs
        self._written_at = self._clock.boot_time()


def decode_item(item: Item) -> LearnedRecord | None:
    """Returns a stored record; ``None``, with a log line, if it can't be used."""
    if len(item.value) > MAX_RECORD_BYTES:
        _log.warning("{}: learned durations ignored: {} bytes", item.key, len(item.value))
        return None
    try:
        record = decode_learned(item.value)
    except msgspec.MsgspecError as error:
        _log.warning("{}: learned durations can't be decoded, ignored: {}", item.key, error)
        return None
    if record.version != LEARNED_VERSION:
        _log.warning("{}: learned durations of version {} ignored", item.key, record.version)
        return None
    return record
