"""Messages of the upstream protocol, shared by the adapter and the stand-in upstream.

They are JSON over HTTP, with durations in whole milliseconds and payloads in base64.
"""

import msgspec

from hornbeamramp.durations import from_ms, to_ms
from hornbeamramp.ids import AttemptId, Epoch, ShardId, UpstreamId
from hornbeamramp.resources import Resources
from hornbeamramp.states import TaskState
from hornbeamramp.upstreams.base import StartReply, TaskLabels

__all__ = [
    "TIME_HEADER",
    "FenceBody",
    "RenewalBody",
    "RenewalReply",
    "ResultReply",
    "StartBody",
    "StartReplyBody",
    "StopReply",
    "TaskRow",
    "TasksReply",
    "from_ms",
    "to_ms",
]

# Header of every answer: the upstream's wall-clock time in milliseconds since 1970. Senders need it
# to express `StartBody.not_after_at_ms` in the upstream's time.
TIME_HEADER = "Upstream-Time-Ms"


class StartBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``PUT /v1/tasks/{attempt}``.

    `not_after_at_ms`
        Time by the upstream's wall clock, in milliseconds since 1970, after which the task must
        not start.
    """

    payload: bytes
    resources: Resources
    lease_ms: int
    run_ms: int
    not_after_at_ms: int
    labels: TaskLabels
    is_service: bool = msgspec.field(default=False, name="standing")


class StartReplyBody(msgspec.Struct, frozen=True):
    """Answer to a start: status 200 if started, else 409."""

    reply: StartReply


class TaskRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row of ``GET /v1/tasks``."""

    attempt_id: AttemptId
    state: TaskState
    resources: Resources
    lease_left_ms: int
    renewed_ago_ms: int
    labels: TaskLabels | None = None


class TasksReply(msgspec.Struct, frozen=True):
    tasks: list[TaskRow]


class ResultReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``GET /v1/tasks/{attempt}``. Only succeeded tasks have the last three fields."""

    attempt_id: AttemptId
    upstream_id: UpstreamId
    state: TaskState
    payload: bytes = b""
    length: int = 0
    digest: str = ""


class RenewalBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/renewals``."""

    attempts: list[AttemptId]
    epoch: Epoch
    lease_ms: int


class RenewalReply(msgspec.Struct, frozen=True):
    renewed: list[AttemptId]


class StopReply(msgspec.Struct, frozen=True):
    """Answer to ``DELETE /v1/tasks/{attempt}``; 404 without a state if the attempt is unknown."""

    state: TaskState


class FenceBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/fence``. Answered with 501 if the upstream does not support fencing."""

    shard: ShardId
    epoch: Epoch
