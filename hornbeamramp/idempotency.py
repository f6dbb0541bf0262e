"""Idempotency keys: the home data centre of a key and the keys known to a shard's owner."""

import hashlib
from collections.abc import Collection
from datetime import timedelta

import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.ids import DataCentreId, JobId
from hornbeamramp.jobs import Outcome
from hornbeamramp.journal_records import (
    JobEnded,
    JobForgotten,
    JournalState,
    KeyRecorded,
    StartIntent,
)

__all__ = [
    "AnsweredKey",
    "EndedKey",
    "JoinedKey",
    "KeyConflict",
    "KeyMatch",
    "KeyTable",
    "KeyTableFull",
    "NewKey",
    "home_data_centre",
]

KEY_LIMIT = 100_000
PRUNE_INTERVAL = timedelta(seconds=10)


def home_data_centre(key: str, data_centres: Collection[DataCentreId]) -> DataCentreId:
    """Returns the data centre that keeps the record of ``key``, by rendezvous hashing.

    Raises ``ValueError`` if there is no data centre.
    """
    if not data_centres:
        raise ValueError("no data centre serves the pool")
    return max(
        data_centres, key=lambda name: (hashlib.sha256(f"{name}\0{key}".encode()).digest(), name)
    )


class NewKey(msgspec.Struct, frozen=True):
    """No job has taken the key."""


class JoinedKey(msgspec.Struct, frozen=True):
    """The job ``job_id`` has the same body and no outcome yet. See `KeyRecorded.sent_to`."""

    job_id: JobId
    sent_to: DataCentreId | None


class AnsweredKey(msgspec.Struct, frozen=True):
    """A job with the same body has this outcome."""

    outcome: Outcome


class EndedKey(msgspec.Struct, frozen=True):
    """A job with the same body may have run and its answer is no longer kept."""

    job_id: JobId


class KeyConflict(msgspec.Struct, frozen=True):
    """The job ``job_id`` has the key with another body; to be answered with status 422."""

    job_id: JobId


class KeyTableFull(msgspec.Struct, frozen=True):
    """``limit`` keys are kept, so no further one can be recorded."""

    limit: int


KeyMatch = NewKey | JoinedKey | AnsweredKey | EndedKey | KeyConflict


class KeyTable:
    """Idempotency keys whose home is a shard, kept in the memory of the shard's owner.

    A key is taken here before its `KeyRecorded` is durable, so that a concurrent request with
    the same key joins the first one. If the record can't be written, `release` undoes that.

    `clock`
        Source of time for retention.
    `state`
        State of the shard's journal to start from (default: empty).
    `limit`
        Maximum number of keys (default: 100,000).
    """

    def __init__(
        self, clock: Clock, state: JournalState | None = None, limit: int = KEY_LIMIT
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._state = JournalState.replay(state.to_records() if state is not None else ())
        self._pruned_at = clock.boot_time()
        self._state.prune(clock.now())

    def __len__(self) -> int:
        return len(self._state.key_record_by_key)

    def lookup(self, key: str, digest: str) -> KeyMatch:
        """Returns how a request with this key and `Job.digest` matches the known keys."""
        self._prune_if_due()
        record = self._state.key_record_by_key.get(key)
        if record is None:
            return NewKey()
        if record.digest != digest:
            return KeyConflict(record.job_id)
        answer = self._state.answer_by_job_id.get(record.job_id)
        if answer is not None:
            return AnsweredKey(answer.outcome)
        if record.ended:
            return EndedKey(record.job_id)
        return JoinedKey(record.job_id, record.sent_to)

    def record(
        self, key: str, job_id: JobId, digest: str, sent_to: DataCentreId | None = None
    ) -> KeyMatch | KeyTableFull:
        """Takes the key for a job if it is new; returns what `lookup` would have returned."""
        match = self.lookup(key, digest)
        if not isinstance(match, NewKey):
            return match
        if len(self) >= self._limit:
            return KeyTableFull(self._limit)
        self._state.apply(KeyRecorded(key, job_id, digest, sent_to, self._clock.now()))
        return match

    def record_start_intent(self, intent: StartIntent) -> None:
        """Records that the job may run from now on."""
        self._state.apply(intent)

    def end(self, outcome: Outcome) -> None:
        """Stores the outcome of a job and releases its key if the job was not run."""
        if outcome.job_id in self._state.key_by_job_id:
            self._state.apply(JobEnded(outcome, self._clock.now()))

    def release(self, job_id: JobId) -> None:
        """Releases the key of a job that was not recorded or will not run."""
        self._state.apply(JobForgotten(job_id))

    def _prune_if_due(self) -> None:
        # Pruning scans every key, so it runs at most once per interval.
        now = self._clock.boot_time()
        if now - self._pruned_at >= PRUNE_INTERVAL:
            self._pruned_at = now
            self._state.prune(self._clock.now())
