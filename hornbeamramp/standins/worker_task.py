"""A task of the simulated worker: its progress, lease and simulated behaviour."""

import asyncio
from datetime import timedelta

import msgspec

from hornbeamramp.ids import Epoch
from hornbeamramp.resources import Resources
from hornbeamramp.states import TaskState
from hornbeamramp.upstreams.base import ListedTask, StartRequest, UsageReport

__all__ = ["Simulation", "WorkerTask", "read_simulation"]


class Simulation(msgspec.Struct, frozen=True):
    """Actual behaviour of a task.

    `run`
        Run time at speed 1.0, or ``None`` for the declared one.
    `usage`
        Resources in use while it runs.
    `fails`
        Whether it fails at the end of its run time.
    """

    run: timedelta | None
    usage: Resources
    fails: bool = False


class _SimulateField(msgspec.Struct, frozen=True):
    run_ms: float | None = None
    usage: Resources | None = None
    fails: bool = False


class _SimulatedPayload(msgspec.Struct, frozen=True):
    simulate: _SimulateField


def read_simulation(payload: bytes, declared: Resources) -> Simulation:
    """Returns the behaviour of a task with this payload.

    A JSON object with a field ``simulate`` (``run_ms`` in milliseconds at speed 1.0, ``usage`` as
    resources, ``fails``) overrides the declared values; with any other payload the task behaves as
    declared.
    """
    if b'"simulate"' not in payload:
        return Simulation(None, declared)
    try:
        field = msgspec.json.decode(payload, type=_SimulatedPayload).simulate
    except (msgspec.ValidationError, msgspec.DecodeError):
        return Simulation(None, declared)
    run = None if field.run_ms is None else timedelta(milliseconds=field.run_ms)
    return Simulation(run, field.usage or declared, field.fails)


class WorkerTask:
    """A task under a lease. Work is measured as run time at speed 1.0."""

    def __init__(
        self, request: StartRequest, simulation: Simulation, speed: float, now: timedelta
    ) -> None:
        self.request = request
        self.state = TaskState.RUNNING
        self.resources = request.resources
        self.started_at = now
        self.ended_at: timedelta | None = None
        self.ended = asyncio.Event()
        self._simulation = simulation
        self._speed = speed
        self._work = request.run if simulation.run is None else simulation.run
        self._lease_expires_at = now + request.lease
        self._renewed_at = now
        self._epoch = request.labels.epoch
        # For each change of the rate: its time, the work done before it, the rate after it.
        self._rate_changes: list[tuple[timedelta, timedelta, float]] = [(now, timedelta(0), speed)]

    def ends_at(self) -> timedelta:
        """Returns the boot time at which the task finishes or its lease expires, if earlier."""
        return min(self._finishes_at(), self._lease_expires_at)

    def scheduled_end(self) -> tuple[TaskState, str]:
        """Returns the state after the end at `ends_at` and the reason for it."""
        if self._lease_expires_at < self._finishes_at():
            return TaskState.STOPPED, "lease"
        if self._simulation.fails:
            return TaskState.FAILED, "failed"
        return TaskState.SUCCEEDED, "finished"

    def end(self, at: timedelta, state: TaskState) -> None:
        """Marks the task as ended and wakes the waiters."""
        self.state = state
        self.ended_at = at
        self.ended.set()

    def renew(self, now: timedelta, lease: timedelta, epoch: Epoch) -> None:
        """Sets the lease to expire ``lease`` from now; raises the task's epoch to ``epoch``."""
        self._lease_expires_at = now + lease
        self._renewed_at = now
        self._epoch = max(self._epoch, epoch)

    def throttle(self, now: timedelta, resources: Resources) -> None:
        """Changes the allocation; the task's rate changes in proportion to its processors."""
        declared = self.request.resources.processors_milli
        share = resources.processors_milli / declared if declared else 1.0
        self._rate_changes.append((now, self._work_at(now), self._speed * share))
        self.resources = resources

    def to_listed_task(self, now: timedelta, include_labels: bool) -> ListedTask:
        """Returns the row of the task list; ``lease_left`` of an ended task is 0."""
        left = self._lease_expires_at - now if self.state is TaskState.RUNNING else timedelta(0)
        labels = msgspec.structs.replace(self.request.labels, epoch=self._epoch)
        return ListedTask(
            self.request.attempt_id,
            self.state,
            self.resources,
            left,
            now - self._renewed_at,
            labels if include_labels else None,
        )

    def was_running(self, at: timedelta) -> bool:
        """Returns whether the task was running at boot time ``at``."""
        return self.started_at <= at and (self.ended_at is None or at < self.ended_at)

    def usage(self, at: timedelta) -> UsageReport:
        """Returns resource usage and progress (0 to 1) at boot time ``at``."""
        is_open_ended = self.request.is_service or not self._work
        progress = 0.0 if is_open_ended else min(self._work_at(at) / self._work, 1.0)
        return UsageReport(self.request.attempt_id, self._simulation.usage, progress)

    def _finishes_at(self) -> timedelta:
        since, done, rate = self._rate_changes[-1]
        never = timedelta.max
        if self.request.is_service and not self._simulation.fails:
            return never
        return since + max(self._work - done, timedelta(0)) / rate if rate > 0 else never

    def _work_at(self, at: timedelta) -> timedelta:
        current = self._rate_changes[0]
        for candidate in self._rate_changes:
            if candidate[0] <= at:
                current = candidate
        since, done, rate = current
        return done + max(at - since, timedelta(0)) * rate
