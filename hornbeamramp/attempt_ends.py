"""What follows from the end of an attempt: the job's end, a retry, and what is learned from it."""

from collections import deque

from hornbeamramp.deadlines import Deadlines
from hornbeamramp.decisions import Ended, Stop, TaskEnd
from hornbeamramp.dispatcher import Dispatcher
from hornbeamramp.estimates import Estimates
from hornbeamramp.ids import JobId
from hornbeamramp.job_queue import JobQueue
from hornbeamramp.jobs import GangJob
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.shares import ShareBook
from hornbeamramp.task_table import Attempt, JobState, TaskTable
from hornbeamramp.upstream_pool import UpstreamPool

__all__ = ["AttemptEnds"]

# A task that fails this often ends its job, even in a pool with too few upstreams to tell a faulty
# job from a faulty upstream.
MOST_FAILURES = 6
# Retries up to this many attempts are immediate; later ones are delayed, doubling each time.
IMMEDIATE_ATTEMPTS = 3
FIRST_DELAY = 0.1
LONGEST_DELAY = 10.0
# A task that ran at least this many seconds is retried at once, however often it ran before.
LONG_RUN = 60.0


class AttemptEnds:
    """Handles ends of attempts. ``at_fault`` lists the latest jobs found to be faulty."""

    def __init__(
        self,
        tasks: TaskTable,
        shares: ShareBook,
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

    def end(self, attempt: Attempt, end: TaskEnd, usage: Resources | None, now: float) -> Ended:
        """Frees the attempt's capacity and returns what follows for its job."""
        state = attempt.state
        self._learn(attempt, end, usage, now)
        self.free(attempt, now)
        if end is not TaskEnd.NOT_STARTED:
            state.ran = True
        if state.cancelled or state.failed:
            if not state.over:
                return Ended.IGNORED
            self.forget(state)
            return Ended.JOB_CANCELLED if state.cancelled else Ended.IGNORED
        faulty = self._note_health(attempt, end, now)
        if state.standing and state.job.idempotent:
            return self._retry(attempt, end, now)
        if end is TaskEnd.SUCCEEDED:
            if state.over:
                self.forget(state)
                return Ended.JOB_DONE
            self._gang_may_start(state)
            return Ended.TASK_DONE
        if end is TaskEnd.NOT_STARTED:
            return self._retry(attempt, end, now)
        if faulty or not state.job.idempotent:
            return self._fail(state, faulty)
        if end is TaskEnd.FAILED:
            state.failures += 1
            if state.failures >= MOST_FAILURES:
                return self._fail(state, faulty)
        return self._retry(attempt, end, now)

    def settle(self, state: JobState, missing: list[int]) -> Ended:
        """Queues the missing tasks of an adopted job, or ends the job if that is not safe."""
        if missing and state.job.idempotent:
            self._dispatcher.requeue(state, missing)
            return Ended.RETRY
        if missing:
            return self._fail(state, faulty=False)
        if state.over:
            self.forget(state)
            return Ended.JOB_DONE
        return Ended.TASK_DONE

    def free(self, attempt: Attempt, now: float) -> None:
        """Frees what an attempt holds and forgets it; without effect the second time."""
        state = attempt.state
        if attempt.id not in self._tasks.attempt_by_id:
            return
        self._tasks.remove(attempt)
        self._shares.give_back(state.flow, attempt.counted, now)
        if isinstance(state.job, GangJob):
            state.flow.gang_tasks -= 1
        if attempt.stopping:
            self._shares.note_stopping(state.flow, -self._shares.share_of(attempt.counted))
        self._pool.ledger.release(attempt.reservation)
        self._queue.account_changed(state.flow.account, now)
        if state.tasks_by_rack is not None:
            shape = self._pool.index.shape_by_id.get(attempt.upstream_id)
            if shape is not None and state.tasks_by_rack.get(shape.rack):
                state.tasks_by_rack[shape.rack] -= 1

    def recall(self, attempt: Attempt, now: float) -> None:
        """Takes back a start that `decide` has not returned yet; the task is queued again."""
        self.free(attempt, now)
        if not (attempt.state.cancelled or attempt.state.failed):
            self._retry(attempt, TaskEnd.NOT_STARTED, now)

    def recount(self, attempt: Attempt, now: float) -> None:
        """Brings the shares in line with what the attempt holds after that changed."""
        amount: Vector = attempt.reservation.amount
        if amount != attempt.counted:
            self._shares.give_back(attempt.state.flow, attempt.counted, now)
            self._shares.take(attempt.state.flow, amount, now)
            attempt.counted = amount
            self._queue.account_changed(attempt.state.flow.account, now)

    def forget(self, state: JobState) -> None:
        """Forgets a job that has ended."""
        if self._tasks.job_by_id.pop(state.job.id, None) is not None:
            state.flow.states -= 1
        self._deadlines.discard(state)
        self._pool.health.forget_job(state.job.id)

    def _learn(self, attempt: Attempt, end: TaskEnd, usage: Resources | None, now: float) -> None:
        job = attempt.state.job
        peak = attempt.peak
        if usage is not None:
            used = usage.as_tuple()
            peak = used if peak is None else tuple(map(max, peak, used))
        if peak is not None and end is not TaskEnd.NOT_STARTED:
            self._estimates.observe_usage(job.route, job.team, Resources(*peak))
        if end is TaskEnd.SUCCEEDED and not attempt.state.standing and not attempt.slowed:
            shape = self._pool.index.shape_by_id.get(attempt.upstream_id)
            if shape is not None:
                run = attempt.elapsed(now) * shape.speed
                self._estimates.observe_run(job.route, job.team, run)

    def _note_health(self, attempt: Attempt, end: TaskEnd, now: float) -> bool:
        """Counts the end for or against the upstream. Returns whether the job is at fault."""
        health, upstream_id, state = self._pool.health, attempt.upstream_id, attempt.state
        job_id = state.job.id
        changed = False
        bad = end in (TaskEnd.FAILED, TaskEnd.LOST, TaskEnd.NOT_STARTED)
        if bad:
            if state.avoid is None:
                state.avoid = set()
            state.avoid.add(upstream_id)
        if upstream_id in health.quarantined and not attempt.probe:
            # Only the probe decides; but a job that fails here may be faulty.
            if end is TaskEnd.FAILED:
                health.note_failed_on(upstream_id, job_id)
        elif end is TaskEnd.SUCCEEDED:
            changed = health.succeeded(upstream_id, now)
        elif bad:
            blamed = job_id if end is TaskEnd.FAILED else None
            changed = health.failed(upstream_id, blamed, now)
            if changed:
                self._dispatcher.give_up_holds(upstream_id, now)
        elif attempt.probe:
            health.probe_ended(upstream_id, now)
        if changed:
            self._pool.capacity_changed(upstream_id)
        if end is not TaskEnd.FAILED or not health.is_faulty(job_id):
            return False
        for released in health.retract_failures(job_id, now):
            self._pool.capacity_changed(released)
        return True

    def _retry(self, attempt: Attempt, end: TaskEnd, now: float) -> Ended:
        state = attempt.state
        if isinstance(state.job, GangJob) and state.job.idempotent:
            # The tasks of a gang run at the same time or not at all.
            for sibling in list((state.live or {}).values()):
                if sibling.id not in self._tasks.attempt_by_id:
                    continue
                if not sibling.emitted:
                    self.recall(sibling, now)
                elif not sibling.stopping:
                    self._dispatcher.order(Stop(sibling.id, sibling.upstream_id), sibling)
        self._requeue(attempt, end, now)
        return Ended.RETRY

    def _requeue(self, attempt: Attempt, end: TaskEnd, now: float) -> None:
        state = attempt.state
        budgeted = end in (TaskEnd.FAILED, TaskEnd.LOST) and not state.standing
        delay = 0.0
        attempts = self._tasks.attempts(state, attempt.task)
        ordered = attempt.stopping and not budgeted
        if attempts > IMMEDIATE_ATTEMPTS and not ordered and attempt.elapsed(now) < LONG_RUN:
            doublings = min(attempts - IMMEDIATE_ATTEMPTS - 1, 10)
            delay = min(FIRST_DELAY * 2**doublings, LONGEST_DELAY)
        if delay or budgeted:
            self._dispatcher.retry(state, attempt.task, now + delay, budgeted, now)
        else:
            self._dispatcher.requeue(state, [attempt.task])

    def _gang_may_start(self, state: JobState) -> None:
        if isinstance(state.job, GangJob) and state.pending:
            self._dispatcher.requeue(state, [])

    def _fail(self, state: JobState, faulty: bool) -> Ended:
        if faulty:
            self.at_fault.append(state.job.id)
        state.failed = True
        self._dispatcher.drop(state)
        for attempt in list((state.live or {}).values()):
            if not attempt.emitted:
                self.free(attempt, attempt.placed_at)
            elif not attempt.stopping:
                self._dispatcher.order(Stop(attempt.id, attempt.upstream_id), attempt)
        if not state.live:
            self.forget(state)
        return Ended.JOB_FAILED
