"""Scheduling decisions for one shard: synchronous, without I/O, with the clock passed in."""

import heapq
from collections import Counter
from collections.abc import Collection, Mapping
from datetime import timedelta

from result import Err, Ok, Result

from hornbeamramp.admission import DEFAULT_QUEUE_BOUND, Admission
from hornbeamramp.attempt_ends import AttemptEnds
from hornbeamramp.clock import Clock
from hornbeamramp.deadlines import Deadlines
from hornbeamramp.decisions import (
    Admitted,
    Cancellation,
    CancellationKind,
    Decision,
    EndEffect,
    Refusal,
    SchedulerStatus,
    Stop,
    TaskEnd,
)
from hornbeamramp.dispatcher import Dispatcher
from hornbeamramp.estimates import Estimates, Expectation
from hornbeamramp.ids import AttemptId, Epoch, JobId, TeamId, UpstreamId
from hornbeamramp.job_queue import JobQueue, class_key
from hornbeamramp.jobs import GangJob, Job, ServiceJob, split_attempt_id
from hornbeamramp.ledger import Reservation
from hornbeamramp.policies import POLICIES
from hornbeamramp.resources import Resources
from hornbeamramp.shares import FairShares
from hornbeamramp.states import Band, RefusalReason
from hornbeamramp.tables import Pool, Quota
from hornbeamramp.task_table import Attempt, JobState, TaskTable
from hornbeamramp.upstream_pool import UpstreamPool
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["ShardScheduler"]

FIRST_EPOCH = Epoch(1)
NO_QUOTA = Quota()
# Time after a throttle in which usage reports may still show the use before it.
USAGE_LAG_S = 1.0
# Interval at which idle flows are removed.
PRUNE_INTERVAL_S = 10.0


class ShardScheduler:
    """Scheduler of one shard. The same calls at the same times give the same decisions.

    `pool`
        Configuration of the pool; its ``policy`` names the placement policy.
    `quotas_by_team`
        Weights and limits; a team without one has weight 1 and no limit.
    `epoch`
        The owner's epoch, part of each attempt id.
    `queue_bound`
        Maximum number of queued jobs.

    Raises `PluginNotFoundError` if the pool's policy is unknown.
    """

    def __init__(
        self,
        pool: Pool,
        clock: Clock,
        quotas_by_team: Mapping[TeamId, Quota],
        *,
        epoch: Epoch = FIRST_EPOCH,
        queue_bound: int = DEFAULT_QUEUE_BOUND,
    ) -> None:
        self._clock = clock
        self._quotas_by_team = quotas_by_team
        self._epoch = epoch
        policy = POLICIES.find(pool.policy)()
        self._tasks = TaskTable(epoch)
        self._shares = FairShares(self._now())
        self._upstreams = UpstreamPool(self._tasks, self._shares)
        self._queue = JobQueue(self._shares, policy.fair)
        self._admission = Admission(self._queue, self._shares, queue_bound)
        self._estimates = Estimates()
        self._dispatcher = Dispatcher(
            self._upstreams, self._tasks, self._queue, self._shares, policy
        )
        self._deadlines = Deadlines()
        self._ends = AttemptEnds(
            self._tasks,
            self._shares,
            self._queue,
            self._estimates,
            self._upstreams,
            self._dispatcher,
            self._deadlines,
        )
        self._unknown_reservation_by_id: dict[AttemptId, Reservation] = {}
        self._unknown_expiry_heap: list[tuple[float, AttemptId]] = []
        self._sequence = 0
        self._prune_at = PRUNE_INTERVAL_S
        self._refused: Counter[RefusalReason] = Counter()

    # Upstreams

    def add_upstream(self, shape: UpstreamShape) -> None:
        """Adds an upstream, or updates shape and leaving state of one that was added before."""
        self._upstreams.add(shape, self._now())
        if shape.leaving:
            self._recall_starts(shape.id)

    def set_leaving(self, upstream_id: UpstreamId) -> None:
        """Stops placement on the upstream and recalls starts that `decide` has not returned yet."""
        self._upstreams.set_leaving(upstream_id)
        self._recall_starts(upstream_id)

    def remove_upstream(self, upstream_id: UpstreamId) -> list[AttemptId]:
        """Removes an upstream and returns its attempts, whose ends must still be reported."""
        self._upstreams.set_leaving(upstream_id)
        self._recall_starts(upstream_id)
        self._upstreams.remove(upstream_id)
        for attempt_id, reservation in list(self._unknown_reservation_by_id.items()):
            if not reservation.active:
                del self._unknown_reservation_by_id[attempt_id]
        return [attempt.id for attempt in self._tasks.on_upstream(upstream_id)]

    def reserve_unknown(
        self,
        upstream_id: UpstreamId,
        attempt_id: AttemptId,
        resources: Resources,
        until: timedelta,
    ) -> None:
        """Reserves capacity for an unknown attempt until the boot time ``until``.

        The reservation may exceed the upstream's shape.
        """
        self._reserve_unknown(upstream_id, attempt_id, resources, until.total_seconds())

    def adopt(self, job: Job, attempt_id: AttemptId, upstream_id: UpstreamId) -> None:
        """Takes over a running attempt of a previous owner, even if it exceeds the shape.

        The job does not end before `reconcile_adopted` is called for it. Raises ``ValueError`` if
        ``attempt_id`` is not an attempt of the job.
        """
        job_id, task, epoch, number = split_attempt_id(attempt_id)
        if job_id != job.id or not 0 <= task < job.tasks:
            raise ValueError(f"not an attempt of job {job.id}: {attempt_id}")
        unknown = self._unknown_reservation_by_id.pop(attempt_id, None)
        if unknown is not None:
            self._upstreams.ledger.release(unknown)
        now = self._now()
        state = self._tasks.job_by_id.get(job.id)
        if state is None:
            state = self._new_state(job, now)
            state.drop_pending()
            state.deadline = None
            state.adopted = True
            self._register(state)
        if attempt_id in self._tasks.attempt_by_id:
            return
        if state.live_by_task and task in state.live_by_task:
            # Second attempt of a task: only the first one's end counts, this one occupies capacity.
            self._reserve_unknown(upstream_id, attempt_id, job.resources, float("inf"))
            return
        self._upstreams.add_placeholder(upstream_id)
        held = self._upstreams.ledger.reserve_unchecked(upstream_id, attempt_id, job.resources)
        reservation = held.unwrap()
        if epoch == self._epoch:
            state.attempt_number_by_task = (state.attempt_number_by_task or {}) | {task: number}
        state.ran = True
        shape = self._upstreams.index.shape_by_id.get(upstream_id)
        run = state.run / shape.speed if shape is not None else state.run
        attempt = Attempt(attempt_id, state, task, reservation, run, now)
        attempt.emitted = True
        self._tasks.add(attempt)
        self._shares.add_use(state.flow, attempt.counted_amount, now)
        if isinstance(job, GangJob):
            state.flow.gang_tasks += 1
        if isinstance(job, ServiceJob) and shape is not None:
            racks = state.tasks_by_rack = state.tasks_by_rack or {}
            racks[shape.rack] = racks.get(shape.rack, 0) + 1

    # Jobs

    def submit(self, job: Job) -> Result[Admitted, Refusal]:
        """Queues a job or refuses it. A job that is queued or running is not queued again."""
        now = self._now()
        self._update_shapes()
        known = self._tasks.job_by_id.get(job.id)
        if known is not None:
            return Ok(Admitted(timedelta(0)))
        state = self._new_state(job, now)
        parked = self._queue.is_parked(class_key(state))
        admitted = self._admission.admit(job, state.flow, self._estimate(job), parked)
        if isinstance(admitted, Err):
            self._refused[admitted.err_value.reason] += 1
            return admitted
        self._register(state)
        self._queue.push(state)
        self._deadlines.add(state)
        return admitted

    def check(self, job: Job) -> Refusal | None:
        """Returns why the job would be refused now, without queueing it."""
        self._update_shapes()
        if job.id in self._tasks.job_by_id:
            return None
        state = self._new_state(job, self._now())
        parked = self._queue.is_parked(class_key(state))
        admitted = self._admission.admit(job, state.flow, self._estimate(job), parked)
        return admitted.err_value if isinstance(admitted, Err) else None

    def reconcile_adopted(self, job_id: JobId, done: Collection[int]) -> EndEffect:
        """Ends the adoption of a job: handles its tasks that no upstream runs any more.

        To be called once the attempts on all upstreams have been listed. ``done`` are the tasks
        whose results are known. Missing tasks of an idempotent job or a service are queued; a
        non-idempotent job fails, because a missing task may have run.
        """
        state = self._tasks.job_by_id.get(job_id)
        if state is None or not state.adopted:
            return EndEffect.IGNORED
        state.adopted = False
        live = state.live_by_task or {}
        missing = [t for t in range(state.job.tasks) if t not in live and t not in done]
        return self._ends.reconcile_adopted(state, missing)

    def cancel(self, job_id: JobId) -> Cancellation:
        """Removes a queued job, or returns the attempts of a running job that must be stopped."""
        state = self._tasks.job_by_id.get(job_id)
        if state is None:
            return Cancellation(CancellationKind.UNKNOWN)
        state.cancelled = True
        self._dispatcher.drop(state)
        stops = []
        for attempt in list((state.live_by_task or {}).values()):
            if attempt.emitted:
                self._dispatcher.note_stopping(attempt)
                stops.append(Stop(attempt.id, attempt.upstream_id))
            else:
                self._ends.free(attempt, self._now())
        if stops:
            return Cancellation(CancellationKind.RUNNING, stops)
        self._ends.forget(state)
        return Cancellation(CancellationKind.QUEUED, ran=state.ran)

    def expire(self) -> list[JobId]:
        """Drops queued jobs whose deadline has passed and returns their ids.

        A job that had an attempt is kept: it may have run, so it can't be reported as not run.
        """
        now = self._now()
        past_deadline = self._dispatcher.past_deadline
        past_deadline.extend(self._deadlines.take_due(now))
        expired_ids = []
        for state in past_deadline:
            is_known = self._tasks.job_by_id.get(state.job.id) is state
            if is_known and state.is_expired(now):
                self._dispatcher.drop(state)
                self._ends.forget(state)
                expired_ids.append(state.job.id)
            elif is_known:
                # A task of the job was started from a hold in the meantime, so the job continues.
                self._dispatcher.requeue(state, [])
        past_deadline.clear()
        return expired_ids

    def decide(self, limit: int) -> list[Decision]:
        """Returns at most ``limit`` actions for the owner to carry out."""
        now = self._now()
        self._update_shapes()
        while self._unknown_expiry_heap and self._unknown_expiry_heap[0][0] <= now:
            self._release_unknown(heapq.heappop(self._unknown_expiry_heap)[1])
        if now >= self._prune_at:
            self._prune_at = now + PRUNE_INTERVAL_S
            self._shares.prune(now)
        return self._dispatcher.decide(limit, now)

    def started(self, attempt_id: AttemptId) -> None:
        """Reports that the upstream started the attempt. Run time counts from here."""
        attempt = self._tasks.attempt_by_id.get(attempt_id)
        if attempt is not None and attempt.started_at is None:
            attempt.started_at = self._now()

    def throttled(self, attempt_id: AttemptId) -> None:
        """Reports that a `Throttle` took effect; the capacity it frees may now be used."""
        attempt = self._tasks.attempt_by_id.get(attempt_id)
        if attempt is None or attempt.throttled_to is None:
            return
        self._upstreams.ledger.shrink(attempt.reservation, Resources(*attempt.throttled_to))
        attempt.throttled_to = None
        self._ends.update_shares(attempt, self._now())

    def ended(
        self, attempt_id: AttemptId, end: TaskEnd, usage: Resources | None = None
    ) -> EndEffect:
        """Reports the end of an attempt, frees its capacity and returns what follows for its job.

        `usage`
            Highest measured use of the attempt, if known.
        """
        now = self._now()
        attempt = self._tasks.attempt_by_id.get(attempt_id)
        if attempt is None:
            self._release_unknown(attempt_id)
            return EndEffect.IGNORED
        return self._ends.end(attempt, end, usage, now)

    def report_usage(self, attempt_id: AttemptId, usage: Resources) -> None:
        """Reports the measured use of a running attempt.

        Raises the reservation to this use where it is larger. While a throttle is pending, a report
        instead shows whether the throttle took effect.
        """
        attempt = self._tasks.attempt_by_id.get(attempt_id)
        if attempt is None:
            return
        measured = usage.as_tuple()
        peak = attempt.peak
        attempt.peak = measured if peak is None else tuple(map(max, peak, measured))
        limit = attempt.throttled_to
        if limit is not None:
            lag_passed = self._now() >= attempt.throttled_at + USAGE_LAG_S
            if lag_passed and measured[0] <= limit[0]:
                self.throttled(attempt_id)
            return
        self._upstreams.ledger.grow(attempt.reservation, usage)
        self._ends.update_shares(attempt, self._now())

    def expected_wait(self, band: Band) -> timedelta:
        """Returns the expected time in the queue of a job of this band."""
        return timedelta(seconds=self._admission.expected_wait(band))

    def set_quotas(self, quotas_by_team: Mapping[TeamId, Quota]) -> None:
        """Applies changed weights and limits. Running tasks above a lowered limit continue."""
        self._quotas_by_team = quotas_by_team
        now = self._now()
        for team, team_use in self._shares.use_by_team.items():
            quota = quotas_by_team.get(team, NO_QUOTA)
            self._queue.set_quota(team_use, quota.weight, quota.limit, now)

    def snapshot(self) -> SchedulerStatus:
        """Returns the state for operators. Takes time in proportion to teams and upstreams."""
        queued = dict(self._queue.jobs_by_band)
        for state in self._dispatcher.unqueued_waiting_jobs():
            queued[state.job.band] += 1
        used = {t: Resources(*u.used) for t, u in self._shares.use_by_team.items() if any(u.used)}
        return SchedulerStatus(
            queued_by_band=queued,
            running=len(self._tasks.attempt_by_id),
            used_by_team=used,
            refused=dict(self._refused),
            upstreams=self._upstreams.statuses(),
            at_fault=list(self._ends.at_fault),
        )

    # Helpers

    def _now(self) -> float:
        return self._clock.boot_time().total_seconds()

    def _estimate(self, job: Job) -> Expectation:
        declared = job.declared_run.total_seconds()
        return self._estimates.expect(job.route, job.team, job.resources, declared)

    def _new_state(self, job: Job, now: float) -> JobState:
        quota = self._quotas_by_team.get(job.team, NO_QUOTA)
        flow = self._shares.flow(job.band, job.team, job.route, quota.weight, quota.limit, now)
        self._sequence += 1
        state = JobState(job, flow, self._sequence, now)
        expectation = self._estimate(job)
        state.run = expectation.run
        state.amount = self._admission.feasible_size(job, flow, expectation.amount)
        return state

    def _register(self, state: JobState) -> None:
        self._tasks.job_by_id[state.job.id] = state
        state.flow.unfinished_jobs += 1

    def _update_shapes(self) -> None:
        changed = self._upstreams.take_changed_shapes()
        if changed is not None:
            self._admission.set_shapes(*changed)
            self._queue.recount()

    def _recall_starts(self, upstream_id: UpstreamId) -> None:
        """Recalls starts on an upstream that `decide` has not returned yet."""
        now = self._now()
        for attempt in self._tasks.on_upstream(upstream_id):
            if not attempt.emitted and attempt.id in self._tasks.attempt_by_id:
                self._ends.withdraw_start(attempt, now)
        self._dispatcher.release_holds(upstream_id, now)

    def _reserve_unknown(
        self, upstream_id: UpstreamId, attempt_id: AttemptId, resources: Resources, until: float
    ) -> None:
        if attempt_id in self._unknown_reservation_by_id or attempt_id in self._tasks.attempt_by_id:
            return
        self._upstreams.add_placeholder(upstream_id)
        held = self._upstreams.ledger.reserve_unchecked(upstream_id, attempt_id, resources)
        self._unknown_reservation_by_id[attempt_id] = held.unwrap()
        heapq.heappush(self._unknown_expiry_heap, (until, attempt_id))

    def _release_unknown(self, attempt_id: AttemptId) -> None:
        reservation = self._unknown_reservation_by_id.pop(attempt_id, None)
        if reservation is not None:
            self._upstreams.ledger.release(reservation)
