"""Jobs, the results of their tasks and the three outcomes reported to callers."""

import hashlib
from datetime import timedelta

import msgspec

from hornbeamramp.ids import (
    AttemptId,
    DataCentreId,
    Epoch,
    JobId,
    PoolName,
    RouteName,
    TeamId,
    UpstreamId,
)
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band, RefusalReason

__all__ = [
    "BatchJob",
    "Completed",
    "GangJob",
    "Job",
    "NotRun",
    "Outcome",
    "ServiceJob",
    "TaskResult",
    "Unknown",
    "attempt_id",
    "payload_digest",
    "split_attempt_id",
]


def payload_digest(payload: bytes) -> str:
    """Returns the SHA-256 digest of ``payload`` as lower-case hexadecimal."""
    return hashlib.sha256(payload).hexdigest()


def attempt_id(job_id: JobId, task: int, epoch: Epoch, number: int) -> AttemptId:
    """Returns the id of one attempt. The epoch keeps ids of different owners distinct."""
    return AttemptId(f"{job_id}.{task}.{epoch}.{number}")


def split_attempt_id(attempt_id: AttemptId) -> tuple[JobId, int, Epoch, int]:
    """Returns job id, task, epoch and number of an attempt id.

    Raises ``ValueError`` if it is malformed.
    """
    parts = attempt_id.rsplit(".", 3)
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        raise ValueError(f"not an attempt id: {attempt_id}")
    return JobId(parts[0]), int(parts[1]), Epoch(int(parts[2])), int(parts[3])


class Job(msgspec.Struct, frozen=True, tag_field="kind", kw_only=True):
    """Work submitted by a caller. Base of `BatchJob`, `ServiceJob` and `GangJob`.

    `resources`
        Resources that each task uses.
    `deadline`
        Time from acceptance until the answer is no longer useful, or ``None``.
    `declared_run`
        Run time of one task on an upstream of speed 1.0, as estimated by the caller.
    `idempotent`
        Whether the job may be retried once an attempt is known to have ended.
    `asynchronous`
        Whether the caller fetches the answer later instead of waiting for it on the connection.
    `key`
        The caller's idempotency key, or ``None``.
    """

    id: JobId
    route: RouteName
    pool: PoolName
    team: TeamId
    band: Band = Band.NORMAL
    tasks: int = 1
    resources: Resources = Resources()
    payload: bytes = b""
    deadline: timedelta | None = None
    declared_run: timedelta = timedelta(seconds=1)
    idempotent: bool = True
    asynchronous: bool = False
    key: str | None = None

    def digest(self) -> str:
        """Returns a digest over the caller's request, without the job id."""
        parts = msgspec.msgpack.encode(
            [self.route, self.team, self.tasks, self.resources, self.payload, self.idempotent]
        )
        return payload_digest(parts)


class BatchJob(Job, tag="batch", frozen=True, kw_only=True):
    """Independent tasks that each end with an answer."""


class ServiceJob(Job, tag="service", frozen=True, kw_only=True):
    """Long-running tasks, spread over racks and restarted when they end, until cancelled."""


class GangJob(Job, tag="gang", frozen=True, kw_only=True):
    """Tasks that must all run at the same time."""


class TaskResult(msgspec.Struct, frozen=True):
    """Answer of one task, with the payload's ``length`` and ``digest`` as sent by the upstream."""

    attempt_id: AttemptId
    upstream_id: UpstreamId
    payload: bytes
    length: int
    digest: str

    def is_intact(self) -> bool:
        """Tells whether the payload has the stated length and digest."""
        return len(self.payload) == self.length and payload_digest(self.payload) == self.digest


class Completed(msgspec.Struct, frozen=True, tag="completed"):
    """The job ended with an answer. ``results`` has one entry per task, in task order."""

    job_id: JobId
    results: list[TaskResult]
    data_centre: DataCentreId
    failed: bool = False


class NotRun(msgspec.Struct, frozen=True, tag="not_run"):
    """No task of the job ran. ``retry_after`` is a hint, ``None`` if a retry can't help."""

    job_id: JobId
    reason: RefusalReason
    detail: str
    retry_after: timedelta | None = None


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """Whether the job ran can't be determined."""

    job_id: JobId
    detail: str


Outcome = Completed | NotRun | Unknown
