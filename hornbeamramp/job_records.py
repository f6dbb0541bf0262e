"""Records of a shard's live and ended jobs, kept by its owner with bounded retention."""

import asyncio
from collections import OrderedDict
from datetime import timedelta

from opentelemetry import context, trace

from hornbeamramp.clock import Clock
from hornbeamramp.ids import AttemptId, JobId, UpstreamId
from hornbeamramp.jobs import Completed, Job, NotRun, Outcome, TaskResult, split_attempt_id
from hornbeamramp.states import JobState

__all__ = ["JobRecord", "JobRecords", "state_of", "task_of"]

_tracer = trace.get_tracer(__name__)
# Ended jobs and refused ids are kept for longer than a lost reply takes to be resolved.
RETENTION = timedelta(minutes=10)
RETAINED_JOBS = 50_000


def task_of(attempt_id: AttemptId) -> int:
    """Returns the task index of an attempt id."""
    return split_attempt_id(attempt_id)[1]


def state_of(outcome: Outcome) -> JobState:
    """Returns the state of a job that ended with ``outcome``."""
    if isinstance(outcome, Completed):
        return JobState.COMPLETED
    return JobState.NOT_RUN if isinstance(outcome, NotRun) else JobState.UNKNOWN


class JobRecord:
    """State of one job at its shard's owner.

    `outcome`
        Future that all waiting submits and resolves share.
    `upstream_by_attempt`
        Attempts that may be running.
    `intent_failed`
        Whether the last start could not be recorded in the journal.
    `context`
        Trace context of the submit, parent of the spans of the attempts.
    `expires_at`
        Boot time of the deadline, or ``None``.
    `lost`
        Whether an attempt was lost with its upstream.
    `uncertain`
        Whether a failure can't be distinguished from a success.
    """

    __slots__ = (
        "context",
        "ended_at",
        "expires_at",
        "intent_failed",
        "job",
        "lost",
        "outcome",
        "queue_span",
        "queued_at",
        "result_by_task",
        "running_tasks",
        "uncertain",
        "upstream_by_attempt",
    )

    def __init__(self, job: Job) -> None:
        self.job = job
        self.context = context.get_current()
        self.queue_span: trace.Span | None = None
        self.queued_at: timedelta | None = None
        self.outcome: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.result_by_task: dict[int, TaskResult] = {}
        self.upstream_by_attempt: dict[AttemptId, UpstreamId] = {}
        self.running_tasks: set[int] = set()
        self.expires_at: timedelta | None = None
        self.lost = False
        self.uncertain = False
        self.intent_failed = False
        self.ended_at: timedelta | None = None

    def state(self) -> JobState:
        """Returns the state to report. A service that was answered is running until it ends."""
        if self.ended_at is None:
            return JobState.RUNNING if self.running_tasks else JobState.QUEUED
        return state_of(self.outcome.result())

    def is_expired(self, now: timedelta) -> bool:
        """Returns whether the deadline has passed."""
        return self.expires_at is not None and now > self.expires_at

    def enter_queue(self, now: timedelta) -> None:
        """Begins the queue span."""
        self.queue_span = _tracer.start_span("owner queue", context=self.context)
        self.queued_at = now

    def leave_queue(self, now: timedelta) -> timedelta | None:
        """Ends the queue span and returns the time in the queue; ``None`` after the first call."""
        if self.queued_at is None or self.queue_span is None:
            return None
        waited = now - self.queued_at
        self.queue_span.end()
        self.queue_span = self.queued_at = None
        return waited

    def answer(self, outcome: Outcome) -> None:
        """Sets the outcome for all waiters. Later calls have no effect."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class JobRecords:
    """Records by job id. Ended ones are dropped after 10 minutes or beyond 50,000."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[JobId, JobRecord] = {}
        self._ended: OrderedDict[JobId, timedelta] = OrderedDict()
        self._refused: OrderedDict[JobId, timedelta] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._by_id

    def get(self, job_id: JobId) -> JobRecord | None:
        return self._by_id.get(job_id)

    def live(self) -> list[JobRecord]:
        """Returns the records of jobs that have not ended."""
        return [record for record in self._by_id.values() if record.ended_at is None]

    def create(self, job: Job) -> JobRecord:
        record = JobRecord(job)
        if job.deadline is not None:
            record.expires_at = self._clock.boot_time() + job.deadline
        self._by_id[job.id] = record
        return record

    def discard(self, job_id: JobId) -> None:
        """Removes a job that was refused before it was queued."""
        self._by_id.pop(job_id, None)

    def end(self, record: JobRecord, outcome: Outcome) -> None:
        """Marks the job as ended and answers it."""
        if record.ended_at is not None:
            return
        record.ended_at = self._clock.boot_time()
        record.leave_queue(record.ended_at)
        self._ended[record.job.id] = record.ended_at
        record.answer(outcome)
        self._trim()

    def refuse(self, job_id: JobId) -> None:
        """Records that a submit with this id must be refused."""
        self._refused[job_id] = self._clock.boot_time()
        self._trim()

    def is_refused(self, job_id: JobId) -> bool:
        return job_id in self._refused

    def _trim(self) -> None:
        oldest = self._clock.boot_time() - RETENTION
        while self._ended and (
            next(iter(self._ended.values())) < oldest or len(self._ended) > RETAINED_JOBS
        ):
            self._by_id.pop(self._ended.popitem(last=False)[0], None)
        while self._refused and (
            next(iter(self._refused.values())) < oldest or len(self._refused) > RETAINED_JOBS
        ):
            self._refused.popitem(last=False)
