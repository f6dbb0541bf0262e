"""Types of the inputs, decisions and status of `ShardScheduler`."""

from datetime import timedelta
from enum import Enum

import msgspec

from hornbeamramp.ids import AttemptId, JobId, TeamId, UpstreamId
from hornbeamramp.jobs import BatchJob, GangJob, Job, ServiceJob
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band, RefusalReason, UpstreamState

__all__ = [
    "Admitted",
    "Cancellation",
    "CancellationKind",
    "Checkpoint",
    "Decision",
    "EndEffect",
    "Refusal",
    "SchedulerStatus",
    "Start",
    "Stop",
    "TaskEnd",
    "Throttle",
    "UNBOUNDED_RUN",
    "UpstreamStatus",
]


class Admitted(msgspec.Struct, frozen=True):
    """The job is queued."""

    expected_wait: timedelta


class Refusal(msgspec.Struct, frozen=True):
    """The job was refused and did not run. ``retry_after`` is ``None`` if a retry is pointless."""

    reason: RefusalReason
    detail: str
    retry_after: timedelta | None = None


class Start(msgspec.Struct, frozen=True):
    """Start a task. Its resources are already reserved in the ledger.

    `expected_run`
        Expected run time on this upstream; `UNBOUNDED_RUN` for a task of a service.
    """

    attempt_id: AttemptId
    job: BatchJob | ServiceJob | GangJob | Job
    task: int
    upstream_id: UpstreamId
    resources: Resources
    expected_run: timedelta


class Throttle(msgspec.Struct, frozen=True):
    """Limit a running task to ``resources``."""

    attempt_id: AttemptId
    upstream_id: UpstreamId
    resources: Resources


class Checkpoint(msgspec.Struct, frozen=True):
    """Checkpoint and stop a running task; it is queued again when its end is reported."""

    attempt_id: AttemptId
    upstream_id: UpstreamId


class Stop(msgspec.Struct, frozen=True):
    """Stop a running task."""

    attempt_id: AttemptId
    upstream_id: UpstreamId


UNBOUNDED_RUN = timedelta(days=3650)
"""Expected run time of a task that runs until it is stopped."""

Decision = Start | Throttle | Checkpoint | Stop


class TaskEnd(Enum):
    """How an attempt ended, as reported to the scheduler. Each frees the attempt's resources."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    NOT_STARTED = "not_started"
    LOST = "lost"


class EndEffect(Enum):
    """Effect of the end of an attempt on its task and job.

    `JOB_DONE`
        All tasks of the job succeeded.
    `TASK_DONE`
        This task succeeded; other tasks of the job still run or wait.
    `RETRY`
        The task is queued again.
    `JOB_FAILED`
        The job failed; its other attempts must be stopped.
    `JOB_CANCELLED`
        The last attempt of a cancelled job ended.
    `IGNORED`
        The attempt was not known, or its job has failed or was cancelled and either other attempts
        of the job still run or the job was reported as failed before.
    """

    JOB_DONE = "job_done"
    TASK_DONE = "task_done"
    RETRY = "retry"
    JOB_FAILED = "job_failed"
    JOB_CANCELLED = "job_cancelled"
    IGNORED = "ignored"


class CancellationKind(Enum):
    QUEUED = "queued"
    RUNNING = "running"
    UNKNOWN = "unknown"


class Cancellation(msgspec.Struct, frozen=True):
    """Effect of a cancellation: removed from the queue, or attempts that must be stopped.

    `ran`
        Whether an earlier attempt of a job that was removed from the queue may have run. Such a
        job must not be reported as not run.
    """

    kind: CancellationKind
    stop: list[Stop] = []
    ran: bool = False


class UpstreamStatus(msgspec.Struct, frozen=True):
    id: UpstreamId
    state: UpstreamState
    free: Resources
    tasks: int
    reason: str = ""


class SchedulerStatus(msgspec.Struct, frozen=True):
    """Snapshot for operators. ``refused`` counts refusals by reason since the scheduler started."""

    queued_by_band: dict[Band, int]
    running: int
    used_by_team: dict[TeamId, Resources]
    refused: dict[RefusalReason, int]
    upstreams: list[UpstreamStatus]
    at_fault: list[JobId] = []
