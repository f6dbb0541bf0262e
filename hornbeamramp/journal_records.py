"""Records of a shard's journal, the state replayed from them, and their form in the store."""

from collections.abc import Iterable
from datetime import datetime, timedelta

import msgspec

from hornbeamramp.ids import AttemptId, DataCentreId, Epoch, JobId, UpstreamId
from hornbeamramp.jobs import BatchJob, GangJob, NotRun, Outcome, ServiceJob

__all__ = [
    "ANSWER_RETENTION",
    "KEY_RETENTION",
    "JobAccepted",
    "JobEnded",
    "JobForgotten",
    "JournalHead",
    "JournalRecord",
    "JournalState",
    "KeyRecorded",
    "Segment",
    "SegmentRef",
    "StartIntent",
]

ANSWER_RETENTION = timedelta(minutes=10)
# A repeated request must not run again after its answer is dropped, so keys are kept longer.
KEY_RETENTION = timedelta(hours=24)


class JobAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """A job was accepted for later execution. ``accepted_at`` is in UTC."""

    job: BatchJob | ServiceJob | GangJob
    accepted_at: datetime


class StartIntent(msgspec.Struct, frozen=True, tag="intent"):
    """An attempt of a non-idempotent job is about to be sent to an upstream."""

    job_id: JobId
    attempt_id: AttemptId
    upstream_id: UpstreamId


class JobEnded(msgspec.Struct, frozen=True, tag="ended"):
    """A job has its outcome. ``ended_at`` is in UTC and starts the retention of the answer."""

    outcome: Outcome
    ended_at: datetime


class KeyRecorded(msgspec.Struct, frozen=True, tag="key"):
    """An idempotency key was taken by a job.

    `digest`
        `Job.digest` of the job, to distinguish a repeated request from a different one.
    `sent_to`
        Data centre that runs the job, ``None`` if it is the key's home.
    `recorded_at`
        Time in UTC; `Journal.append` fills it in if it is ``None``.
    `ended`
        Whether the job completed or its outcome is unknown. Set by compaction.
    """

    key: str
    job_id: JobId
    digest: str
    sent_to: DataCentreId | None = None
    recorded_at: datetime | None = None
    ended: bool = False


class JobForgotten(msgspec.Struct, frozen=True, tag="forgotten"):
    """The job, its intents and its answer are no longer kept.

    Its idempotency key is released too, unless the job may have run: then the key record stays
    for its own retention, so that a repeated request does not run the job again.
    """

    job_id: JobId


JournalRecord = JobAccepted | StartIntent | JobEnded | KeyRecorded | JobForgotten


class JournalState(msgspec.Struct):
    """State replayed from the records of a journal.

    `live_job_by_id`
        Accepted jobs without an outcome.
    `intents_by_job_id`
        Intents of jobs without an outcome.
    `answer_by_job_id`
        Outcomes within their retention.
    `key_record_by_key`
        Idempotency keys within their retention.
    """

    live_job_by_id: dict[JobId, JobAccepted] = {}
    intents_by_job_id: dict[JobId, list[StartIntent]] = {}
    answer_by_job_id: dict[JobId, JobEnded] = {}
    key_record_by_key: dict[str, KeyRecorded] = {}
    key_by_job_id: dict[JobId, str] = {}

    @classmethod
    def replay(
        cls, records: Iterable[JournalRecord], now: datetime | None = None
    ) -> "JournalState":
        """Returns the state after ``records``; with ``now``, without records past retention."""
        state = cls()
        for record in records:
            state.apply(record)
        if now is not None:
            state.prune(now)
        return state

    def apply(self, record: JournalRecord) -> None:
        """Applies one record. Applying a record twice has the effect of applying it once."""
        if isinstance(record, JobAccepted):
            if record.job.id not in self.answer_by_job_id:
                self.live_job_by_id[record.job.id] = record
        elif isinstance(record, StartIntent):
            intents = self.intents_by_job_id.setdefault(record.job_id, [])
            if record not in intents:
                intents.append(record)
        elif isinstance(record, JobEnded):
            self._end(record)
        elif isinstance(record, KeyRecorded):
            self.key_record_by_key[record.key] = record
            self.key_by_job_id[record.job_id] = record.key
        else:
            self._forget(record.job_id)

    def prune(self, now: datetime) -> None:
        """Drops answers and key records past their retention."""
        for job_id, answer in list(self.answer_by_job_id.items()):
            if now - answer.ended_at >= ANSWER_RETENTION:
                del self.answer_by_job_id[job_id]
        for record in list(self.key_record_by_key.values()):
            in_use = (
                record.job_id in self.live_job_by_id
                or record.job_id in self.intents_by_job_id
                or record.job_id in self.answer_by_job_id
            )
            expired = record.recorded_at is None or now - record.recorded_at >= KEY_RETENTION
            if expired and not in_use:
                self._release_key(record.job_id)

    def to_records(self) -> list[JournalRecord]:
        """Returns the shortest list of records that replays to this state."""
        return [
            *self.live_job_by_id.values(),
            *(intent for intents in self.intents_by_job_id.values() for intent in intents),
            *self.answer_by_job_id.values(),
            *self.key_record_by_key.values(),
        ]

    def _end(self, record: JobEnded) -> None:
        job_id = record.outcome.job_id
        self.live_job_by_id.pop(job_id, None)
        self.intents_by_job_id.pop(job_id, None)
        self.answer_by_job_id[job_id] = record
        if isinstance(record.outcome, NotRun):
            # The caller was told that nothing ran, so the key is released for a retry.
            self._release_key(job_id)
        else:
            self._mark_key_ended(job_id)

    def _forget(self, job_id: JobId) -> None:
        may_have_run = job_id in self.intents_by_job_id
        self.live_job_by_id.pop(job_id, None)
        self.intents_by_job_id.pop(job_id, None)
        self.answer_by_job_id.pop(job_id, None)
        if may_have_run:
            self._mark_key_ended(job_id)
        key = self.key_by_job_id.get(job_id)
        if key is not None and not self.key_record_by_key[key].ended:
            self._release_key(job_id)

    def _mark_key_ended(self, job_id: JobId) -> None:
        key = self.key_by_job_id.get(job_id)
        if key is not None:
            record = self.key_record_by_key[key]
            self.key_record_by_key[key] = msgspec.structs.replace(record, ended=True)

    def _release_key(self, job_id: JobId) -> None:
        key = self.key_by_job_id.pop(job_id, None)
        if key is not None:
            self.key_record_by_key.pop(key, None)


class SegmentRef(msgspec.Struct, frozen=True):
    """A stored segment: its key and its size in bytes."""

    key: str
    size: int


class Segment(msgspec.Struct, frozen=True):
    """Records moved out of the head, in order."""

    records: list[msgspec.Raw]


class JournalHead(msgspec.Struct, frozen=True):
    """Head record of a shard's journal, replaced only by compare-and-swap.

    The journal is the checkpoint, then the segments, then the inline records. ``write_id`` is
    unique to each write, so that a writer that got no answer recognises its own head.
    """

    epoch: Epoch
    write_id: str
    records: list[msgspec.Raw] = []
    segments: list[SegmentRef] = []
    checkpoint: list[SegmentRef] = []
