"""Unfinished jobs and live attempts of a scheduler, with their state."""

from typing import TYPE_CHECKING

from hornbeamramp.ids import AttemptId, Epoch, JobId, RackId, UpstreamId
from hornbeamramp.jobs import GangJob, Job, ServiceJob, attempt_id
from hornbeamramp.ledger import Reservation, Vector
from hornbeamramp.states import Band

if TYPE_CHECKING:
    from hornbeamramp.flows import Flow
    from hornbeamramp.holds import Hold
    from hornbeamramp.job_queue import Lane

__all__ = ["Attempt", "JobState", "TaskTable"]


class Attempt:
    """A live attempt. Times are seconds of boot time.

    `run`
        Expected run time on its upstream in seconds.
    """

    __slots__ = (
        "counted_amount",
        "emitted",
        "guaranteed",
        "id",
        "throttled_at",
        "throttled_to",
        "overdue",
        "peak",
        "placed_at",
        "probe",
        "reservation",
        "run",
        "was_throttled",
        "started_at",
        "state",
        "stopping",
        "task",
        "upstream_id",
    )

    def __init__(
        self,
        id: AttemptId,
        state: "JobState",
        task: int,
        reservation: Reservation,
        run: float,
        placed_at: float,
    ) -> None:
        self.id = id
        self.state = state
        self.task = task
        self.reservation = reservation
        self.upstream_id = reservation.upstream_id
        self.run = run
        self.placed_at = placed_at
        self.started_at: float | None = None
        self.peak: Vector | None = None
        # Amount that `FairShares` counts as in use for the attempt.
        self.counted_amount = reservation.amount
        # Whether `decide` has returned the start.
        self.emitted = False
        # Whether the attempt was told to stop.
        self.stopping = False
        # Whether it was started for the guaranteed share of its band.
        self.guaranteed = False
        # Whether it was told to stop but its end was not reported in time.
        self.overdue = False
        # Size of a throttle that was ordered but has not taken effect, and when it was ordered.
        self.throttled_to: Vector | None = None
        self.throttled_at = 0.0
        # Whether it was ever throttled; its run time is then no basis for estimates.
        self.was_throttled = False
        self.probe = False

    def elapsed(self, now: float) -> float:
        """Returns the seconds since the attempt started."""
        return now - (self.placed_at if self.started_at is None else self.started_at)

    def expected_end(self, now: float) -> float:
        """Returns when the attempt is expected to end; infinity for a service.

        An attempt that exceeds its expected run time is expected to take half as long again.
        """
        if self.state.is_service:
            return float("inf")
        elapsed = self.elapsed(now)
        return now + (self.run - elapsed if self.run > elapsed else max(elapsed * 0.5, 0.1))

    def preemptible(self) -> bool:
        """Tells whether the attempt may be stopped for urgent work.

        Work of a band's guaranteed share is exempt, or urgent work would take the share back.
        """
        return not (self.stopping or self.guaranteed) and self.state.preemptible

    def throttleable(self) -> bool:
        """Tells whether the attempt may be throttled for urgent work."""
        return not self.stopping and self.throttled_to is None and self.state.throttleable


class JobState:
    """A job that has not ended.

    `amount`, `run`
        Expected size and run time in seconds of a task, fixed when the job is queued.
    `next_task`, `requeued_tasks`
        Tasks to be placed: those from ``next_task`` on and those in ``requeued_tasks``.
    `lane`
        Where the job is queued, or ``None``.
    """

    __slots__ = (
        "adopted",
        "requeued_tasks",
        "amount",
        "avoid",
        "cancelled",
        "deadline",
        "delayed",
        "failed",
        "failures",
        "flow",
        "holds",
        "job",
        "order_key",
        "lane",
        "throttleable",
        "live_by_task",
        "next_task",
        "attempt_number_by_task",
        "preemptible",
        "rack_position",
        "ran",
        "run",
        "sequence",
        "is_service",
        "submitted",
        "tasks_by_rack",
    )

    def __init__(self, job: Job, flow: "Flow", sequence: int, now: float) -> None:
        self.job = job
        self.flow = flow
        self.sequence = sequence
        self.submitted = now
        self.deadline = None if job.deadline is None else now + job.deadline.total_seconds()
        self.amount: Vector = (0, 0, 0, 0, 0)
        self.run = 0.0
        self.order_key = 0.0
        self.next_task = 0
        self.requeued_tasks: list[int] | None = None
        self.lane: Lane | None = None
        self.live_by_task: dict[int, Attempt] | None = None
        self.holds: list[Hold] | None = None
        self.attempt_number_by_task: dict[int, int] | None = None
        self.tasks_by_rack: dict[RackId, int] | None = None
        self.rack_position = 0
        self.avoid: set[UpstreamId] | None = None
        # Number of tasks that wait for a delayed retry.
        self.delayed = 0
        self.failures = 0
        # Whether any attempt may have run.
        self.ran = False
        self.cancelled = False
        self.failed = False
        self.adopted = False
        self.is_service = isinstance(job, ServiceJob)
        batch = not isinstance(job, GangJob | ServiceJob)
        self.throttleable = batch and job.band >= Band.NORMAL
        self.preemptible = self.throttleable and job.idempotent

    @property
    def is_finished(self) -> bool:
        """Whether no task runs or waits. An adopted job may have running tasks not yet listed."""
        return not (self.live_by_task or self.holds or self.delayed or self.pending or self.adopted)

    @property
    def pending(self) -> int:
        """Number of tasks to be placed."""
        return (
            self.job.tasks
            - self.next_task
            + (len(self.requeued_tasks) if self.requeued_tasks else 0)
        )

    def is_expired(self, now: float) -> bool:
        """Tells whether the deadline has passed and no attempt may have run."""
        return (
            self.deadline is not None
            and self.deadline <= now
            and not (self.ran or self.live_by_task)
        )

    def take_task(self) -> int:
        """Removes and returns the next task to be placed."""
        if self.requeued_tasks:
            return self.requeued_tasks.pop()
        task = self.next_task
        self.next_task += 1
        return task

    def put_back(self, task: int) -> None:
        """Returns a task to those to be placed."""
        if self.requeued_tasks is None:
            self.requeued_tasks = []
        self.requeued_tasks.append(task)

    def drop_pending(self) -> None:
        """Discards all tasks to be placed and ends an adoption."""
        self.next_task = self.job.tasks
        self.requeued_tasks = None
        self.adopted = False


class TaskTable:
    """Jobs by id and live attempts by id and by upstream."""

    def __init__(self, epoch: Epoch) -> None:
        self._epoch = epoch
        self.job_by_id: dict[JobId, JobState] = {}
        self.attempt_by_id: dict[AttemptId, Attempt] = {}
        self.attempts_by_upstream: dict[UpstreamId, dict[AttemptId, Attempt]] = {}

    def next_attempt_id(self, state: JobState, task: int) -> AttemptId:
        """Returns the id of the next attempt of a task and counts it."""
        if state.attempt_number_by_task is None:
            state.attempt_number_by_task = {}
        number = state.attempt_number_by_task[task] = state.attempt_number_by_task.get(task, 0) + 1
        return attempt_id(state.job.id, task, self._epoch, number)

    def attempts(self, state: JobState, task: int) -> int:
        """Returns the number of attempts of a task so far."""
        return state.attempt_number_by_task.get(task, 0) if state.attempt_number_by_task else 0

    def add(self, attempt: Attempt) -> None:
        state = attempt.state
        if state.live_by_task is None:
            state.live_by_task = {}
        state.live_by_task[attempt.task] = attempt
        self.attempt_by_id[attempt.id] = attempt
        self.attempts_by_upstream.setdefault(attempt.upstream_id, {})[attempt.id] = attempt

    def remove(self, attempt: Attempt) -> None:
        if attempt.state.live_by_task is not None:
            attempt.state.live_by_task.pop(attempt.task, None)
        self.attempt_by_id.pop(attempt.id, None)
        on_upstream = self.attempts_by_upstream.get(attempt.upstream_id)
        if on_upstream is not None:
            on_upstream.pop(attempt.id, None)
            if not on_upstream:
                del self.attempts_by_upstream[attempt.upstream_id]

    def on_upstream(self, upstream_id: UpstreamId) -> list[Attempt]:
        """Returns the live attempts on an upstream."""
        return list(self.attempts_by_upstream.get(upstream_id, {}).values())
