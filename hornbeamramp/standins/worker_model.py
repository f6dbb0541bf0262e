"""Simulated worker without sockets: runs tasks as timers under leases within its capacity.

State is updated lazily: each method first ends the tasks that are due and records their exact end
times, so the log is correct whenever it is read.
"""

import asyncio
import hashlib
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.ids import AttemptId, Epoch, ShardId
from hornbeamramp.jobs import TaskResult, payload_digest
from hornbeamramp.resources import ZERO, Resources
from hornbeamramp.standins.worker_task import Simulation, WorkerTask, read_simulation
from hornbeamramp.states import Capability, TaskState
from hornbeamramp.upstreams.base import (
    ListedTask,
    StartReply,
    StartRequest,
    UpstreamShape,
    UsageReport,
)

__all__ = ["LogEntry", "WorkerLog", "WorkerModel", "expected_answer"]

ENDED_TASK_RETENTION = timedelta(seconds=60)
# Tasks on a broken machine usually fail fast.
FAILED_TASK_RUN_TIME = timedelta(milliseconds=5)
MAX_REFUSED_IDS = 100_000


def expected_answer(payload: bytes) -> bytes:
    """Returns the result payload of a task with this payload; it is unique to the payload."""
    return b"answer:" + hashlib.sha256(payload).hexdigest().encode()


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A start, an end or a throttling of a task.

    `at_ms`
        Boot time in milliseconds; comparable between processes on one machine.
    `event`
        ``start``, ``end`` or ``throttle``.
    `reason`
        For ends: ``finished``, ``failed``, ``lease``, ``stopped`` or ``checkpointed``.
    `allocated`
        Total allocated after the event.
    """

    at_ms: float
    event: str
    attempt_id: AttemptId
    job_id: str
    shard: str
    owner: str
    epoch: int
    resources: Resources
    allocated: Resources
    reason: str = ""


class WorkerLog(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the response to ``GET /v1/log``.

    `overbooking_attempts`
        Starts and throttle requests refused because they exceed the capacity.
    `refusals`
        Number of refusals by reply; those of throttle requests count as ``refused_full``.
    """

    upstream_id: str
    capacity: Resources
    overbooking_attempts: int
    refusals: dict[StartReply, int]
    entries: list[LogEntry]


class WorkerModel:
    """Simulated worker that enforces its capacity, its fences and the leases of its tasks.

    `shape`
        Id, rack, capacity, speed and capabilities.
    `clock`
        Source of time (default: `SystemClock`).
    `usage_lag`
        Age of the usage reports (default: 2 s).
    `fail_all`
        Whether tasks started from now on fail after 5 ms (default: false).
    `leaving`
        Whether the worker refuses starts because it is leaving (default: as in ``shape``).
    """

    def __init__(
        self,
        shape: UpstreamShape,
        clock: Clock | None = None,
        usage_lag: timedelta = timedelta(seconds=2),
    ) -> None:
        self._shape = shape
        self._clock = clock or SystemClock()
        self._usage_lag = usage_lag
        self._running_by_id: dict[AttemptId, WorkerTask] = {}
        self._ended_by_id: dict[AttemptId, WorkerTask] = {}
        self._refused_ids: dict[AttemptId, None] = {}
        self._fence_by_shard: dict[ShardId, Epoch] = {}
        self._allocated = ZERO
        self._entries: list[LogEntry] = []
        self._refusals = dict.fromkeys(StartReply, 0)
        del self._refusals[StartReply.STARTED]
        self.fail_all = False
        self.leaving = shape.leaving

    def shape(self) -> UpstreamShape:
        """Returns the shape, with the current value of `leaving`."""
        return msgspec.structs.replace(self._shape, leaving=self.leaving)

    def start(self, request: StartRequest, late: bool = False) -> StartReply:
        """Starts a task. ``late`` means that the request's not-after time has passed.

        An attempt that is running or still listed gets the reply `STARTED` and is not started
        again.
        """
        now = self._end_due_tasks()
        attempt = request.attempt_id
        if attempt in self._running_by_id or attempt in self._ended_by_id:
            return StartReply.STARTED
        refusal = self._refusal(request, late)
        if refusal is not None:
            self._refusals[refusal] += 1
            return refusal
        simulation = read_simulation(request.payload, request.resources)
        if self.fail_all:
            simulation = Simulation(FAILED_TASK_RUN_TIME, simulation.usage, fails=True)
            speed = 1.0
        else:
            speed = self._shape.speed
        task = WorkerTask(request, simulation, speed, now)
        self._running_by_id[attempt] = task
        self._allocated += request.resources
        self._record(now, "start", task)
        return StartReply.STARTED

    def list_tasks(self) -> list[ListedTask]:
        """Returns running tasks and those that ended within the last 60 s."""
        now = self._end_due_tasks()
        has_labels = Capability.LABELS in self._shape.capabilities
        tasks = [*self._running_by_id.values(), *self._ended_by_id.values()]
        return [task.to_listed_task(now, has_labels) for task in tasks]

    def task(self, attempt_id: AttemptId) -> WorkerTask | None:
        """Returns a running or recently ended task."""
        self._end_due_tasks()
        return self._running_by_id.get(attempt_id) or self._ended_by_id.get(attempt_id)

    def result(self, attempt_id: AttemptId) -> TaskResult | TaskState | None:
        """Returns the result of a succeeded task, else its state; ``None`` if unknown."""
        task = self.task(attempt_id)
        if task is None:
            return None
        if task.state is not TaskState.SUCCEEDED:
            return task.state
        answer = expected_answer(task.request.payload)
        return TaskResult(attempt_id, self._shape.id, answer, len(answer), payload_digest(answer))

    def other_result(self, attempt_id: AttemptId) -> TaskResult | None:
        """Returns the result of the other attempt that succeeded last, ``None`` if there is none.

        Faults deliver it in place of the right result.
        """
        self._end_due_tasks()
        for other, task in reversed(self._ended_by_id.items()):
            if other != attempt_id and task.state is TaskState.SUCCEEDED:
                found = self.result(other)
                return found if isinstance(found, TaskResult) else None
        return None

    async def wait_for_end(self, attempt_id: AttemptId, wait: timedelta) -> None:
        """Waits until the task has ended, is unknown, or ``wait`` has elapsed."""
        deadline = self._clock.boot_time() + wait
        while True:
            task = self.task(attempt_id)
            now = self._clock.boot_time()
            if task is None or task.state is not TaskState.RUNNING or now >= deadline:
                return
            remaining = min(task.ends_at(), deadline) - now
            try:
                async with asyncio.timeout(max(remaining.total_seconds(), 0.001)):
                    await task.ended.wait()
            except TimeoutError:
                continue

    def renew(
        self, attempt_ids: Iterable[AttemptId], epoch: Epoch, lease: timedelta
    ) -> list[AttemptId]:
        """Renews the leases of running tasks and returns the ids of the renewed ones.

        With the capability ``fence``, a renewal with an epoch below the shard's fence has no
        effect. The task's epoch label becomes the highest epoch that renewed it.
        """
        now = self._end_due_tasks()
        renewed = []
        for attempt in attempt_ids:
            task = self._running_by_id.get(attempt)
            if task is None or epoch < self._fence_epoch(task.request.labels.shard):
                continue
            task.renew(now, lease, epoch)
            renewed.append(attempt)
        return renewed

    def stop(self, attempt_id: AttemptId) -> TaskState | None:
        """Stops the task and returns its final state; ``None`` if unknown.

        With the capability ``fence``, an unknown id is recorded and a later start of it is refused.
        """
        now = self._end_due_tasks()
        task = self._running_by_id.get(attempt_id)
        if task is not None:
            self._end(task, now, TaskState.STOPPED, "stopped")
            return task.state
        ended = self._ended_by_id.get(attempt_id)
        if ended is not None:
            return ended.state
        if Capability.FENCE in self._shape.capabilities:
            self._refused_ids[attempt_id] = None
            while len(self._refused_ids) > MAX_REFUSED_IDS:
                del self._refused_ids[next(iter(self._refused_ids))]
        return None

    def checkpoint(self, attempt_id: AttemptId) -> bool:
        """Checkpoints and stops the task; false if it was not running."""
        now = self._end_due_tasks()
        task = self._running_by_id.get(attempt_id)
        if task is None:
            return False
        self._end(task, now, TaskState.CHECKPOINTED, "checkpointed")
        return True

    def throttle(self, attempt_id: AttemptId, resources: Resources) -> bool:
        """Changes the task's allocation; its speed changes in proportion to its processors.

        Returns false if it was not running or ``resources`` exceed what other tasks leave free.
        """
        now = self._end_due_tasks()
        task = self._running_by_id.get(attempt_id)
        if task is None:
            return False
        others = self._allocated - task.resources
        if not (others + resources).fits_in(self._shape.resources):
            self._refusals[StartReply.REFUSED_FULL] += 1
            return False
        self._allocated = others + resources
        task.throttle(now, resources)
        self._record(now, "throttle", task)
        return True

    def fence(self, shard: ShardId, epoch: Epoch) -> bool:
        """Refuses starts and ignores renewals of the shard with an epoch below ``epoch``.

        Returns false without the capability ``fence``.
        """
        if Capability.FENCE not in self._shape.capabilities:
            return False
        self._fence_by_shard[shard] = max(epoch, self._fence_epoch(shard))
        return True

    def usage(self) -> list[UsageReport]:
        """Returns usage and progress, as of ``usage_lag`` ago, of the tasks that ran then."""
        at = self._end_due_tasks() - self._usage_lag
        tasks = [*self._running_by_id.values(), *self._ended_by_id.values()]
        return [task.usage(at) for task in tasks if task.was_running(at)]

    def log(self) -> WorkerLog:
        """Returns all starts, throttlings and ends so far, in order."""
        self._end_due_tasks()
        return WorkerLog(
            upstream_id=self._shape.id,
            capacity=self._shape.resources,
            overbooking_attempts=self._refusals[StartReply.REFUSED_FULL],
            refusals=self._refusals,
            entries=self._entries,
        )

    def _refusal(self, request: StartRequest, late: bool) -> StartReply | None:
        capabilities = self._shape.capabilities
        labels = request.labels
        if Capability.FENCE in capabilities and (
            request.attempt_id in self._refused_ids
            or labels.epoch < self._fence_epoch(labels.shard)
        ):
            return StartReply.REFUSED_FENCED
        if late and Capability.NOT_AFTER in capabilities:
            return StartReply.REFUSED_LATE
        if self.leaving:
            return StartReply.REFUSED_LEAVING
        if not (self._allocated + request.resources).fits_in(self._shape.resources):
            return StartReply.REFUSED_FULL
        return None

    def _fence_epoch(self, shard: ShardId) -> Epoch:
        return self._fence_by_shard.get(shard, Epoch(0))

    def _end_due_tasks(self) -> timedelta:
        now = self._clock.boot_time()
        due = [task for task in self._running_by_id.values() if task.ends_at() <= now]
        for task in sorted(due, key=WorkerTask.ends_at):
            state, reason = task.scheduled_end()
            self._end(task, task.ends_at(), state, reason)
        while self._ended_by_id:
            attempt, oldest = next(iter(self._ended_by_id.items()))
            if oldest.ended_at is None or now - oldest.ended_at <= ENDED_TASK_RETENTION:
                break
            del self._ended_by_id[attempt]
        return now

    def _end(self, task: WorkerTask, at: timedelta, state: TaskState, reason: str) -> None:
        attempt = task.request.attempt_id
        del self._running_by_id[attempt]
        self._ended_by_id[attempt] = task
        self._allocated -= task.resources
        task.end(at, state)
        self._record(at, "end", task, reason)

    def _record(self, at: timedelta, event: str, task: WorkerTask, reason: str = "") -> None:
        labels = task.request.labels
        self._entries.append(
            LogEntry(
                at_ms=at / timedelta(milliseconds=1),
                event=event,
                attempt_id=task.request.attempt_id,
                job_id=labels.job_id,
                shard=labels.shard,
                owner=labels.owner,
                epoch=labels.epoch,
                resources=task.resources,
                allocated=self._allocated,
                reason=reason,
            )
        )
