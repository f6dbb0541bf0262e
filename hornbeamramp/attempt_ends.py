"""Handling of the end of an attempt: the job's end, a retry, estimates, upstream health."""

from collections import deque

from hornbeamramp.deadlines import Deadlines
from hornbeamramp.decisions import EndEffect, Stop, TaskEnd
from hornbeamramp.dispatcher import Dispatcher
from hornbeamramp.estimates import Estimates
from hornbeamramp.ids import JobId
from hornbeamramp.job_queue import JobQueue
from hornbeamramp.jobs import GangJob
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.shares import FairShares
from hornbeamramp.task_table import Attempt, JobState, TaskTable
from hornbeamramp.upstream_pool import UpstreamPool

__all__ = ["AttemptEnds"]

# A task that fails this often ends its job, even in a pool with too few upstreams to tell a faulty
# job from a faulty upstream.
MAX_TASK_FAILURES = 6
# Retries up to this many attempts are immediate; later ones are delayed, doubling each time.
MAX_IMMEDIATE_ATTEMPTS = 3
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 10.0
# A task that ran at least this many seconds is retried at once, however often it ran before.
LONG_RUN_S = 60.0


class AttemptEnds:
    """Handles ends of attempts. ``at_fault`` lists the latest jobs found to be faulty."""

    def __init__(
        self,
        tasks: TaskTable,
        shares: FairShares,
        queue: JobQueue,
        estimates: Estimates,
        pool: UpstreamPool,
        dispatcher: Dispatcher,
        deadlines: Deadlines,
    ) -> None:
        self._tasks = tasks
        self._shares = shares
        self._queue = queue
        self._estimates = estimates
        self._pool = pool
        self._dispatcher = dispatcher
        self._deadlines = deadlines
        self.at_fault: deque[JobId] = deque(maxlen=100)

    def end(self, attempt: Attempt, end: TaskEnd, usage: Resources | None, now: float) -> EndEffect:
        """Frees the attempt's capacity and returns what follows for its job."""
        state = attempt.state
        self._update_estimates(attempt, end, usage, now)
        self.free(attempt, now)
        if end is not TaskEnd.NOT_STARTED:
            state.ran = True
        if state.cancelled or state.failed:
            if not state.is_finished:
                return EndEffect.IGNORED
            self.forget(state)
            return EndEffect.JOB_CANCELLED if state.cancelled else EndEffect.IGNORED
        faulty = self._update_health(attempt, end, now)
        if state.is_service and state.job.idempotent:
            return self._retry(attempt, end, now)
        if end is TaskEnd.SUCCEEDED:
            if state.is_finished:
                self.forget(state)
                return EndEffect.JOB_DONE
            self._requeue_pending_gang(state)
            return EndEffect.TASK_DONE
        if end is TaskEnd.NOT_STARTED:
            return self._retry(attempt, end, now)
        if faulty or not state.job.idempotent:
            return self._fail(state, faulty)
        if end is TaskEnd.FAILED:
            state.failures += 1
            if state.failures >= MAX_TASK_FAILURES:
                return self._fail(state, faulty)
        return self._retry(attempt, end, now)

    def reconcile_adopted(self, state: JobState, missing: list[int]) -> EndEffect:
        """Queues the missing tasks of an adopted job, or ends the job if that is not safe."""
        if missing and state.job.idempotent:
            self._dispatcher.requeue(state, missing)
            return EndEffect.RETRY
        if missing:
            return self._fail(state, faulty=False)
        if state.is_finished:
            self.forget(state)
            return EndEffect.JOB_DONE
        return EndEffect.TASK_DONE

    def free(self, attempt: Attempt, now: float) -> None:
        """Releases the capacity of an attempt and removes it; a repeated call has no effect."""
        state = attempt.state
        if attempt.id not in self._tasks.attempt_by_id:
            return
        self._tasks.remove(attempt)
        self._shares.remove_use(state.flow, attempt.counted_amount, now)
        if isinstance(state.job, GangJob):
            state.flow.gang_tasks -= 1
        if attempt.stopping:
            self._shares.note_stopping(state.flow, -self._shares.share_of(attempt.counted_amount))
        self._pool.ledger.release(attempt.reservation)
        self._queue.account_changed(state.flow.account, now)
        if state.tasks_by_rack is not None:
            shape = self._pool.index.shape_by_id.get(attempt.upstream_id)
            if shape is not None and state.tasks_by_rack.get(shape.rack):
                state.tasks_by_rack[shape.rack] -= 1

    def withdraw_start(self, attempt: Attempt, now: float) -> None:
        """Withdraws a start that `decide` has not returned yet and queues the task again."""
        self.free(attempt, now)
        if not (attempt.state.cancelled or attempt.state.failed):
            self._retry(attempt, TaskEnd.NOT_STARTED, now)

    def update_shares(self, attempt: Attempt, now: float) -> None:
        """Updates the shares after the attempt's reservation has changed."""
        amount: Vector = attempt.reservation.amount
        if amount != attempt.counted_amount:
            self._shares.remove_use(attempt.state.flow, attempt.counted_amount, now)
            self._shares.add_use(attempt.state.flow, amount, now)
            attempt.counted_amount = amount
            self._queue.account_changed(attempt.state.flow.account, now)

    def forget(self, state: JobState) -> None:
        """Removes the state of a job that has ended."""
        if self._tasks.job_by_id.pop(state.job.id, None) is not None:
            state.flow.unfinished_jobs -= 1
        self._deadlines.discard(state)
        self._pool.health.forget_job(state.job.id)

    def _update_estimates(
        self, attempt: Attempt, end: TaskEnd, usage: Resources | None, now: float
    ) -> None:
        job = attempt.state.job
        peak = attempt.peak
        if usage is not None:
            used = usage.as_tuple()
            peak = used if peak is None else tuple(map(max, peak, used))
        if peak is not None and end is not TaskEnd.NOT_STARTED:
            self._estimates.observe_usage(job.route, job.team, Resources(*peak))
        if end is TaskEnd.SUCCEEDED and not attempt.state.is_service and not attempt.was_throttled:
            shape = self._pool.index.shape_by_id.get(attempt.upstream_id)
            if shape is not None:
                run = attempt.elapsed(now) * shape.speed
                self._estimates.observe_run(job.route, job.team, run)

    def _update_health(self, attempt: Attempt, end: TaskEnd, now: float) -> bool:
        """Updates the health of the upstream. Returns whether the job is at fault."""
        health, upstream_id, state = self._pool.health, attempt.upstream_id, attempt.state
        job_id = state.job.id
        changed = False
        is_failure = end in (TaskEnd.FAILED, TaskEnd.LOST, TaskEnd.NOT_STARTED)
        if is_failure:
            if state.avoid is None:
                state.avoid = set()
            state.avoid.add(upstream_id)
        if upstream_id in health.quarantined and not attempt.probe:
            # In quarantine only the end of a probe changes the upstream's health, but a job that
            # fails there may be faulty.
            if end is TaskEnd.FAILED:
                health.record_job_failure(upstream_id, job_id)
        elif end is TaskEnd.SUCCEEDED:
            changed = health.succeeded(upstream_id, now)
        elif is_failure:
            failed_job_id = job_id if end is TaskEnd.FAILED else None
            changed = health.failed(upstream_id, failed_job_id, now)
            if changed:
                self._dispatcher.release_holds(upstream_id, now)
        elif attempt.probe:
            health.probe_ended(upstream_id, now)
        if changed:
            self._pool.capacity_changed(upstream_id)
        if end is not TaskEnd.FAILED or not health.is_faulty(job_id):
            return False
        for released in health.retract_failures(job_id, now):
            self._pool.capacity_changed(released)
        return True

    def _retry(self, attempt: Attempt, end: TaskEnd, now: float) -> EndEffect:
        state = attempt.state
        if isinstance(state.job, GangJob) and state.job.idempotent:
            # The tasks of a gang run at the same time or not at all.
            for sibling in list((state.live_by_task or {}).values()):
                if sibling.id not in self._tasks.attempt_by_id:
                    continue
                if not sibling.emitted:
                    self.withdraw_start(sibling, now)
                elif not sibling.stopping:
                    self._dispatcher.enqueue_action(Stop(sibling.id, sibling.upstream_id), sibling)
        self._requeue(attempt, end, now)
        return EndEffect.RETRY

    def _requeue(self, attempt: Attempt, end: TaskEnd, now: float) -> None:
        state = attempt.state
        budgeted = end in (TaskEnd.FAILED, TaskEnd.LOST) and not state.is_service
        delay = 0.0
        attempts = self._tasks.attempts(state, attempt.task)
        stop_ordered = attempt.stopping and not budgeted
        if (
            attempts > MAX_IMMEDIATE_ATTEMPTS
            and not stop_ordered
            and attempt.elapsed(now) < LONG_RUN_S
        ):
            doublings = min(attempts - MAX_IMMEDIATE_ATTEMPTS - 1, 10)
            delay = min(INITIAL_RETRY_DELAY_S * 2**doublings, MAX_RETRY_DELAY_S)
        if delay or budgeted:
            self._dispatcher.retry(state, attempt.task, now + delay, budgeted, now)
        else:
            self._dispatcher.requeue(state, [attempt.task])

    def _requeue_pending_gang(self, state: JobState) -> None:
        if isinstance(state.job, GangJob) and state.pending:
            self._dispatcher.requeue(state, [])

    def _fail(self, state: JobState, faulty: bool) -> EndEffect:
        if faulty:
            self.at_fault.append(state.job.id)
        state.failed = True
        self._dispatcher.drop(state)
        for attempt in list((state.live_by_task or {}).values()):
            if not attempt.emitted:
                self.free(attempt, attempt.placed_at)
            elif not attempt.stopping:
                self._dispatcher.enqueue_action(Stop(attempt.id, attempt.upstream_id), attempt)
        if not state.live_by_task:
            self.forget(state)
        return EndEffect.JOB_FAILED
