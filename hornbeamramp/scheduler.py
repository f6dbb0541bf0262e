"""Scheduling decisions for one shard, as plain code with a clock and without sockets."""

import heapq
from collections.abc import Mapping
from datetime import timedelta

from result import Err, Ok, Result

from hornbeamramp.clock import Clock
from hornbeamramp.decisions import (
    Admitted,
    Cancellation,
    CancellationKind,
    Decision,
    Ended,
    Refusal,
    SchedulerStatus,
    Start,
    Stop,
    TaskEnd,
    UpstreamStatus,
)
from hornbeamramp.ids import AttemptId, Epoch, JobId, TeamId, UpstreamId
from hornbeamramp.jobs import GangJob, Job, ServiceJob, attempt_id
from hornbeamramp.ledger import Ledger, Reservation
from hornbeamramp.resources import ZERO, Resources
from hornbeamramp.states import Band, RefusalReason, UpstreamState
from hornbeamramp.tables import Pool, Quota
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["ShardScheduler"]

FIRST_EPOCH = Epoch(1)
MAX_ATTEMPTS = 3


class _JobState:
    __slots__ = ("cancelled", "deadline", "done", "job", "live", "number", "pending", "sequence")

    def __init__(self, job: Job, sequence: int, deadline: timedelta | None) -> None:
        self.job = job
        self.sequence = sequence
        self.deadline = deadline
        self.pending = list(range(job.tasks))
        self.number = [0] * job.tasks
        self.live: dict[AttemptId, tuple[int, Reservation | None]] = {}
        self.done = 0
        self.cancelled = False


class ShardScheduler:
    """Decides what runs where in one shard. Simple version: bands, first come first served."""

    def __init__(
        self,
        pool: Pool,
        clock: Clock,
        quotas_by_team: Mapping[TeamId, Quota],
        *,
        epoch: Epoch = FIRST_EPOCH,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._quotas_by_team = quotas_by_team
        self._epoch = epoch
        self._ledger = Ledger()
        self._shape_by_id: dict[UpstreamId, UpstreamShape] = {}
        self._leaving: set[UpstreamId] = set()
        self._job_by_id: dict[JobId, _JobState] = {}
        self._job_id_by_attempt: dict[AttemptId, JobId] = {}
        self._unknown: list[tuple[timedelta, Reservation]] = []
        self._queue: list[tuple[int, int, JobId]] = []
        self._sequence = 0
        self._refused: dict[RefusalReason, int] = {}

    def add_upstream(self, shape: UpstreamShape) -> None:
        """Adds an upstream or updates its shape."""
        self._shape_by_id[shape.id] = shape
        self._ledger.set_capacity(shape.id, shape.resources)
        self._leaving.discard(shape.id)
        if shape.leaving:
            self._leaving.add(shape.id)

    def set_leaving(self, upstream_id: UpstreamId) -> None:
        """Places no new work on the upstream from now on."""
        self._leaving.add(upstream_id)

    def remove_upstream(self, upstream_id: UpstreamId) -> list[AttemptId]:
        """Removes an upstream. Returns its attempts, whose end is still to be reported."""
        self._shape_by_id.pop(upstream_id, None)
        self._leaving.discard(upstream_id)
        attempts = self._ledger.remove_upstream(upstream_id)
        return [a for a in attempts if a in self._job_id_by_attempt]

    def hold_unknown(
        self,
        upstream_id: UpstreamId,
        attempt_id: AttemptId,
        resources: Resources,
        until: timedelta,
    ) -> None:
        """Counts capacity as allocated until the boot time ``until``."""
        held = self._ledger.hold(upstream_id, attempt_id, resources)
        if isinstance(held, Ok):
            self._unknown.append((until, held.ok_value))

    def adopt(self, job: Job, attempt_id: AttemptId, upstream_id: UpstreamId) -> None:
        """Takes over a running attempt of an earlier owner."""
        state = self._job_by_id.get(job.id)
        if state is None:
            state = self._new_state(job)
            state.pending = []
            self._job_by_id[job.id] = state
        task = int(attempt_id.rsplit(".", 3)[1])
        held = self._ledger.hold(upstream_id, attempt_id, job.resources)
        state.live[attempt_id] = (task, held.ok_value if isinstance(held, Ok) else None)
        self._job_id_by_attempt[attempt_id] = job.id

    def submit(self, job: Job) -> Result[Admitted, Refusal]:
        """Queues a job or refuses it."""
        if job.id in self._job_by_id:
            return Ok(Admitted(timedelta(0)))
        if not self._shape_by_id:
            return self._refuse(
                RefusalReason.OVERLOAD, "no upstreams known yet", timedelta(seconds=1)
            )
        if not any(job.resources.fits_in(s.resources) for s in self._shape_by_id.values()):
            return self._refuse(RefusalReason.NEVER_RUNS, "a task fits on no upstream of the pool")
        state = self._new_state(job)
        self._job_by_id[job.id] = state
        self._enqueue(state)
        return Ok(Admitted(timedelta(0)))

    def cancel(self, job_id: JobId) -> Cancellation:
        """Removes a queued job, or returns the attempts of a running job to be stopped."""
        state = self._job_by_id.get(job_id)
        if state is None:
            return Cancellation(CancellationKind.UNKNOWN)
        state.cancelled = True
        state.pending = []
        if not state.live:
            del self._job_by_id[job_id]
            return Cancellation(CancellationKind.QUEUED)
        stops = [Stop(a, self._upstream_of(a, r)) for a, (_, r) in state.live.items()]
        return Cancellation(CancellationKind.RUNNING, stops)

    def expire(self) -> list[JobId]:
        """Drops queued jobs whose deadline has passed and returns their ids."""
        now = self._clock.boot_time()
        gone = [
            job_id
            for job_id, state in self._job_by_id.items()
            if state.deadline is not None and state.deadline <= now and not state.live
        ]
        for job_id in gone:
            self._job_by_id.pop(job_id).pending = []
        return gone

    def decide(self, limit: int) -> list[Decision]:
        """Returns at most ``limit`` actions for the owner to carry out."""
        self._release_unknown()
        actions: list[Decision] = []
        skipped: list[tuple[int, int, JobId]] = []
        while self._queue and len(actions) < limit:
            entry = heapq.heappop(self._queue)
            state = self._job_by_id.get(entry[2])
            if state is None or not state.pending:
                continue
            if isinstance(state.job, GangJob):
                self._place_gang(state, actions, limit)
            else:
                while state.pending and len(actions) < limit:
                    start = self._place(state, state.pending[0])
                    if start is None:
                        break
                    state.pending.pop(0)
                    actions.append(start)
            if state.pending:
                skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self._queue, entry)
        return actions

    def started(self, attempt_id: AttemptId) -> None:
        """Reports that the upstream started the attempt."""

    def ended(self, attempt_id: AttemptId, end: TaskEnd, usage: Resources | None = None) -> Ended:
        """Reports the end of an attempt and frees its capacity."""
        job_id = self._job_id_by_attempt.pop(attempt_id, None)
        state = self._job_by_id.get(job_id) if job_id is not None else None
        if state is None or job_id is None:
            return Ended.IGNORED
        task, reservation = state.live.pop(attempt_id)
        if reservation is not None:
            self._ledger.release(reservation)
        if state.cancelled:
            if state.live:
                return Ended.TASK_DONE
            del self._job_by_id[job_id]
            return Ended.JOB_CANCELLED
        job = state.job
        if isinstance(job, ServiceJob) or end is TaskEnd.NOT_STARTED:
            return self._retry(state, task)
        if end is TaskEnd.SUCCEEDED:
            state.done += 1
            if state.live or state.pending:
                return Ended.TASK_DONE
            del self._job_by_id[job_id]
            return Ended.JOB_DONE
        if job.idempotent and state.number[task] < MAX_ATTEMPTS:
            return self._retry(state, task)
        state.pending = []
        state.cancelled = True
        if not state.live:
            del self._job_by_id[job_id]
        return Ended.JOB_FAILED

    def report_usage(self, attempt_id: AttemptId, usage: Resources) -> None:
        """Reports the measured use of a running attempt."""
        job_id = self._job_id_by_attempt.get(attempt_id)
        if job_id is not None:
            reservation = self._job_by_id[job_id].live[attempt_id][1]
            if reservation is not None:
                self._ledger.grow(reservation, usage)

    def expected_wait(self, band: Band) -> timedelta:
        """Returns the expected time in the queue of a job of this band."""
        return timedelta(0)

    def snapshot(self) -> SchedulerStatus:
        """Returns the state for operators."""
        queued = dict.fromkeys(Band, 0)
        used: dict[TeamId, Resources] = {}
        for state in self._job_by_id.values():
            if state.pending:
                queued[state.job.band] += 1
            for _, reservation in state.live.values():
                if reservation is not None:
                    team = state.job.team
                    used[team] = used.get(team, ZERO) + reservation.resources
        return SchedulerStatus(
            queued_by_band=queued,
            running=len(self._job_id_by_attempt),
            used_by_team=used,
            refused=dict(self._refused),
            upstreams=[
                UpstreamStatus(
                    id=upstream_id,
                    state=(
                        UpstreamState.LEAVING
                        if upstream_id in self._leaving
                        else UpstreamState.ACTIVE
                    ),
                    free=Resources(*self._ledger.free(upstream_id)),
                    tasks=self._ledger.count(upstream_id),
                )
                for upstream_id in self._shape_by_id
            ],
        )

    def _new_state(self, job: Job) -> _JobState:
        self._sequence += 1
        deadline = None if job.deadline is None else self._clock.boot_time() + job.deadline
        return _JobState(job, self._sequence, deadline)

    def _enqueue(self, state: _JobState) -> None:
        heapq.heappush(self._queue, (state.job.band, state.sequence, state.job.id))

    def _refuse(
        self, reason: RefusalReason, detail: str, retry_after: timedelta | None = None
    ) -> Err[Refusal]:
        self._refused[reason] = self._refused.get(reason, 0) + 1
        return Err(Refusal(reason, detail, retry_after))

    def _retry(self, state: _JobState, task: int) -> Ended:
        was_queued = bool(state.pending)
        state.pending.append(task)
        if not was_queued:
            self._enqueue(state)
        return Ended.RETRY

    def _place(self, state: _JobState, task: int) -> Start | None:
        job = state.job
        attempt = attempt_id(job.id, task, self._epoch, state.number[task] + 1)
        for upstream_id, shape in self._shape_by_id.items():
            if upstream_id in self._leaving:
                continue
            reserved = self._ledger.reserve(upstream_id, attempt, job.resources)
            if isinstance(reserved, Ok):
                state.number[task] += 1
                state.live[attempt] = (task, reserved.ok_value)
                self._job_id_by_attempt[attempt] = job.id
                run = job.declared_run / shape.speed
                return Start(attempt, job, task, upstream_id, job.resources, run)
        return None

    def _place_gang(self, state: _JobState, actions: list[Decision], limit: int) -> None:
        if len(actions) + len(state.pending) > limit:
            return
        starts: list[Start] = []
        for task in state.pending:
            start = self._place(state, task)
            if start is None:
                for placed in starts:
                    _, reservation = state.live.pop(placed.attempt_id)
                    del self._job_id_by_attempt[placed.attempt_id]
                    state.number[placed.task] -= 1
                    if reservation is not None:
                        self._ledger.release(reservation)
                return
            starts.append(start)
        state.pending = []
        actions.extend(starts)

    def _release_unknown(self) -> None:
        now = self._clock.boot_time()
        for until, reservation in self._unknown:
            if until <= now:
                self._ledger.release(reservation)
        self._unknown = [(u, r) for u, r in self._unknown if u > now]

    @staticmethod
    def _upstream_of(attempt: AttemptId, reservation: Reservation | None) -> UpstreamId:
        return reservation.upstream_id if reservation is not None else UpstreamId("")
