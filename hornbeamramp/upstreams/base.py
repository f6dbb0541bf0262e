"""Interface of upstream adapters."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

from hornbeamramp.ids import AttemptId, Epoch, JobId, RackId, ShardId, UpstreamId, VmId
from hornbeamramp.jobs import TaskResult
from hornbeamramp.plugins import Plugin
from hornbeamramp.resources import Resources
from hornbeamramp.states import Capability, TaskState

__all__ = [
    "ListedTask",
    "StartReply",
    "StartRequest",
    "TaskLabels",
    "UpstreamAdapter",
    "UpstreamShape",
    "UsageReport",
]


class UpstreamShape(msgspec.Struct, frozen=True):
    """Identity and capacity of an upstream, and whether it is leaving.

    `speed`
        Relative speed: a task of run time r takes r / speed.
    """

    id: UpstreamId
    rack: RackId
    resources: Resources
    speed: float = 1.0
    capabilities: frozenset[Capability] = frozenset()
    leaving: bool = False


class TaskLabels(msgspec.Struct, frozen=True):
    """Labels of a start. Upstreams with the capability ``labels`` return them in task lists."""

    job_id: JobId
    shard: ShardId
    owner: VmId
    epoch: Epoch
    job: bytes = b""


class StartRequest(msgspec.Struct, frozen=True):
    """One attempt to start a task.

    `not_after`
        Time limit, counted from sending, after which the upstream must not start the task.
    """

    attempt_id: AttemptId
    payload: bytes
    resources: Resources
    lease: timedelta
    run: timedelta
    not_after: timedelta
    labels: TaskLabels
    is_service: bool = False


class StartReply(Enum):
    """Answer of an upstream to a start."""

    STARTED = "started"
    REFUSED_FULL = "refused_full"
    REFUSED_FENCED = "refused_fenced"
    REFUSED_LATE = "refused_late"
    REFUSED_LEAVING = "refused_leaving"


class ListedTask(msgspec.Struct, frozen=True):
    """A row of an upstream's task list. Ended tasks stay listed for a bounded time."""

    attempt_id: AttemptId
    state: TaskState
    resources: Resources
    lease_left: timedelta
    renewed_ago: timedelta
    labels: TaskLabels | None = None


class UsageReport(msgspec.Struct, frozen=True):
    """Measured usage of a running task, up to several seconds old."""

    attempt_id: AttemptId
    usage: Resources
    progress: float


class UpstreamAdapter(Plugin, ABC):
    """Connection to one upstream.

    Every method raises `UnreachableError` if no answer arrived, with ``sent`` false only if no byte
    of the request was written, and `ProtocolError` on a malformed answer.
    """

    @abstractmethod
    async def shape(self) -> UpstreamShape:
        """Returns the upstream's shape and whether it is leaving."""

    @abstractmethod
    async def list_tasks(self) -> list[ListedTask]:
        """Returns running tasks and those that ended recently."""

    @abstractmethod
    async def start(
        self, request: StartRequest, *, check: Callable[[], bool] | None = None
    ) -> StartReply:
        """Starts a task. A repeated attempt id is answered without a second start.

        ``check`` returns whether the caller may still start work. It is called as late as possible
        before the request is written, and must not block; if it returns false, nothing is sent and
        `UnreachableError` is raised with ``sent`` false. Adapters document what can delay the
        request between the check and the write.
        """

    @abstractmethod
    async def result(self, attempt_id: AttemptId, wait: timedelta) -> TaskResult | TaskState | None:
        """Returns the result, waiting up to ``wait`` for it.

        Returns the `TaskState` if there is no result because the task is running, failed, was
        stopped or was checkpointed, and ``None`` if the attempt is unknown to the upstream.
        """

    @abstractmethod
    async def renew(
        self, attempt_ids: list[AttemptId], epoch: Epoch, lease: timedelta
    ) -> list[AttemptId]:
        """Renews leases and returns the attempts that were renewed."""

    @abstractmethod
    async def stop(self, attempt_id: AttemptId) -> TaskState | None:
        """Stops the task and returns its final state.

        Returns ``None`` if the attempt is unknown to the upstream. With the capability ``fence``,
        an unknown id is first recorded as refused, so that a late start has no effect.
        """

    @abstractmethod
    async def checkpoint(self, attempt_id: AttemptId) -> bool:
        """Checkpoints and stops the task. Returns false if it was not running."""

    @abstractmethod
    async def throttle(self, attempt_id: AttemptId, resources: Resources) -> bool:
        """Limits the task to ``resources``. Returns false if it was not running."""

    @abstractmethod
    async def fence(self, shard: ShardId, epoch: Epoch) -> bool:
        """Makes the upstream refuse later starts of the shard with a lower epoch.

        Returns false if the upstream does not support it.
        """

    @abstractmethod
    async def usage(self) -> list[UsageReport]:
        """Returns the latest usage reports."""

    async def close(self) -> None:  # noqa: B027 - adapters without connections need none
        """Closes the adapter's connections."""
