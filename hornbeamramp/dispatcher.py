"""Starts queued jobs: placement, gang reservations, backfill, preemption and probes."""

from collections import deque
from datetime import timedelta

from hornbeamramp.decisions import (
    UNBOUNDED_RUN,
    Decision,
    Start,
    Throttle,
)
from hornbeamramp.holds import Hold
from hornbeamramp.ids import UpstreamId
from hornbeamramp.job_queue import JobQueue
from hornbeamramp.jobs import GangJob, ServiceJob
from hornbeamramp.policies.base import PlacementPolicy, PlacementRequest
from hornbeamramp.policies.gang import fit_count
from hornbeamramp.preemption import FailedSearches, plan_tasks
from hornbeamramp.reservations import predict_placements
from hornbeamramp.resources import Resources
from hornbeamramp.retries import DelayedRetries
from hornbeamramp.shares import FairShares
from hornbeamramp.states import Band
from hornbeamramp.task_table import Attempt, JobState, TaskTable
from hornbeamramp.upstream_pool import UpstreamPool

__all__ = ["Dispatcher"]

# Held upstreams that are tried to backfill one task.
MAX_BACKFILL_CANDIDATES = 16
# A hold for a preemption is released if its capacity is not free within this time.
PREEMPTION_TIMEOUT_S = 10.0
# Bounds of a gang's reservation, which lasts twice the time until its expected start.
MIN_RESERVATION_S = 30.0
MAX_RESERVATION_S = 600.0
# Rate at which lanes are reordered, and the maximum for one call of `decide`.
LANES_REFRESHED_PER_S = 500.0
MAX_LANES_REFRESHED = 64


class Dispatcher:
    """Decides what starts next. All times are seconds of boot time."""

    def __init__(
        self,
        pool: UpstreamPool,
        tasks: TaskTable,
        queue: JobQueue,
        shares: FairShares,
        policy: PlacementPolicy,
    ) -> None:
        self._pool = pool
        self._ledger = pool.ledger
        self._index = pool.index
        self._health = pool.health
        self._holds = pool.holds
        self._tasks = tasks
        self._queue = queue
        self._shares = shares
        self._policy = policy
        self._retries = DelayedRetries()
        self._outbox: deque[tuple[Decision, Attempt]] = deque()
        self._refreshed_at = 0.0
        self._reserve_after: dict[JobState, float] = {}
        self._failed_searches = FailedSearches()
        # Jobs whose deadline had passed when they were next to be placed.
        self.past_deadline: list[JobState] = []

    def decide(self, limit: int, now: float) -> list[Decision]:
        """Returns at most ``limit`` actions."""
        for state, task in self._retries.take_due(now):
            self.requeue(state, [task])
        for hold in self._holds.expired(now):
            self._release_hold(hold, now)
        if self._policy.fair:
            due = int((now - self._refreshed_at) * LANES_REFRESHED_PER_S)
            if due:
                self._refreshed_at = now
                self._queue.refresh(now, min(due, MAX_LANES_REFRESHED))
        actions: list[Decision] = []
        resume = False
        while len(actions) < limit:
            if self._outbox:
                decision, attempt = self._outbox.popleft()
                if self._is_current(decision, attempt):
                    attempt.emitted = True
                    actions.append(decision)
                resume = False
                continue
            hold = self._holds.next_ready()
            if hold is not None:
                self._start_hold(hold, now)
                resume = False
                continue
            if self._pool.touched:
                self._unpark()
                resume = False
            best = self._queue.peek_best(now, self._may_start, self._may_fit, resume)
            if best is None:
                break
            resume = not self._serve(*best, now)
        return actions

    def enqueue_action(self, decision: Decision, attempt: Attempt) -> None:
        """Queues an action on a live attempt for `decide` to return."""
        if isinstance(decision, Throttle):
            attempt.throttled_to = decision.resources.as_tuple()
            attempt.was_throttled = True
        else:
            self.note_stopping(attempt)
        self._outbox.append((decision, attempt))

    def note_stopping(self, attempt: Attempt) -> None:
        """Records that the attempt was told to stop."""
        if not attempt.stopping:
            attempt.stopping = True
            share = self._shares.share_of(attempt.counted_amount)
            self._shares.note_stopping(attempt.state.flow, share)

    def retry(self, state: JobState, task: int, due: float, budgeted: bool, now: float) -> None:
        """Queues a task again at ``due``; a budgeted retry waits for the retry budget too."""
        if self._retries.add(state, task, due, budgeted, now):
            self.requeue(state, [task])

    def requeue(self, state: JobState, tasks: list[int]) -> None:
        """Queues tasks again. An idempotent gang is queued once all its attempts have ended."""
        for task in tasks:
            state.put_back(task)
        if state.lane is not None:
            self._queue.tasks_added(state, len(tasks))
            return
        gang = isinstance(state.job, GangJob) and state.job.idempotent
        if gang and (state.live_by_task or state.delayed or state.holds):
            return
        if state.pending:
            self._queue.push(state)

    def drop(self, state: JobState) -> None:
        """Removes a job from the queue with its holds and retries."""
        self._queue.cancel(state)
        state.drop_pending()
        state.delayed = 0
        for hold in list(state.holds or ()):
            self._remove_hold(hold)
        self._reserve_after.pop(state, None)

    def release_holds(self, upstream_id: UpstreamId, now: float) -> None:
        """Releases the holds on an upstream that may receive no more work."""
        for hold in self._holds.on_upstream(upstream_id):
            self._release_hold(hold, now, cooldown=False)

    def unqueued_waiting_jobs(self) -> set[JobState]:
        """Returns jobs without an attempt that wait in a hold or for a retry."""
        states = {hold.state for hold in self._holds.all}
        states.update(self._retries.states())
        return {s for s in states if s.lane is None and not s.live_by_task and not s.cancelled}

    # Serving the queue

    def _is_current(self, decision: Decision, attempt: Attempt) -> bool:
        if attempt.id not in self._tasks.attempt_by_id:
            return False
        # An attempt that ends before its start was returned is recalled, not stopped.
        return attempt.emitted or isinstance(decision, Start)

    def _unpark(self) -> None:
        view = self._index.by_speed
        highest = [-1, -1, -1, -1, -1]
        for upstream_id in self._pool.touched:
            for i, have in enumerate(view.available(upstream_id)):
                if have > highest[i]:
                    highest[i] = have
        if self._holds.gang_count:
            # Backfill may use what is free on held upstreams.
            for upstream_id in self._pool.touched:
                for i, have in enumerate(self._ledger.free(upstream_id)):
                    highest[i] = max(highest[i], have)
        self._pool.touched.clear()
        self._queue.unpark(tuple(highest))  # type: ignore[arg-type]

    def _may_start(self, state: JobState) -> bool:
        if isinstance(state.job, GangJob):
            return self._shares.leaves_headroom_for_gang(state.flow, state.amount, state.pending)
        if state.is_service:
            return self._shares.leaves_headroom_for_service(state.flow, state.amount)
        return self._shares.leaves_headroom(state.flow, state.amount)

    def _may_fit(self, state: JobState, first_tier: bool) -> bool:
        """Tells, without a search, whether a placement may succeed."""
        if self._index.by_speed.may_fit(state.amount):
            return True
        if not self._policy.fair:
            return False
        if isinstance(state.job, GangJob) or (first_tier and state.job.band == Band.URGENT):
            return True
        if self._health.quarantined:
            return True
        return not state.is_service and self._holds.gang_count > 0

    def _serve(self, state: JobState, first_tier: bool, guaranteed: bool, now: float) -> bool:
        """Starts tasks of the job or holds capacity for them, unless its deadline has passed.

        If neither is possible, the queue skips the job until capacity or quota is free. Returns
        false if the only change is that the queue skips the job.
        """
        if state.is_expired(now):
            self._queue.cancel(state)
            self.past_deadline.append(state)
            return True
        job = state.job
        gang = isinstance(job, GangJob)
        count = state.pending if gang else 1
        if not state.flow.account.team_use.allows(state.amount, count):
            self._queue.wait_for_quota(state)
            return False
        if not gang and self._start_probe(state, now):
            return True
        chosen = None
        if self._index.by_speed.may_fit(state.amount):
            request = PlacementRequest(
                state.amount,
                count,
                state.avoid or frozenset(),
                state.tasks_by_rack or {},
                state.rack_position,
            )
            chosen = self._policy.place(job, request, self._index)
        if chosen is None and self._policy.fair:
            if not gang and not isinstance(job, ServiceJob):
                chosen = self._backfill(state, now)
            urgent = chosen is None and job.band == Band.URGENT and first_tier
            if urgent and self._preempt(state, count, now):
                return True
            if chosen is None and gang and self._reserve(state, count, now):
                return True
        if chosen is None:
            self._queue.park(state)
            return False
        for attempt in self._start_all(state, self._take_tasks(state, count), chosen, now):
            attempt.guaranteed = guaranteed
        return True

    def _start_all(
        self, state: JobState, tasks: list[int], chosen: list[UpstreamId], now: float
    ) -> list[Attempt]:
        """Reserves capacity for all tasks; if that fails, for none, and queues the job again."""
        attempts: list[Attempt] = []
        for task, upstream_id in zip(tasks, chosen, strict=True):
            attempt_id = self._tasks.next_attempt_id(state, task)
            reserved = self._ledger.reserve_amount(upstream_id, attempt_id, state.amount)
            if reserved.is_err():
                for attempt in attempts:
                    self._ledger.release(attempt.reservation)
                self.requeue(state, tasks)
                if state.lane is not None:
                    self._queue.park(state)
                return []
            speed = self._index.shape_by_id[upstream_id].speed
            reservation = reserved.ok_value
            attempts.append(Attempt(attempt_id, state, task, reservation, state.run / speed, now))
        for attempt in attempts:
            self._emit_start(attempt, now)
        return attempts

    def _emit_start(self, attempt: Attempt, now: float) -> None:
        state = attempt.state
        job, flow, amount = state.job, state.flow, state.amount
        self._tasks.add(attempt)
        self._shares.add_use(flow, amount, now)
        self._queue.charge(job.band, self._shares.share_of(amount) * state.run)
        if self._tasks.attempts(state, attempt.task) == 1:
            self._retries.budget.earn()
        if isinstance(job, GangJob):
            flow.gang_tasks += 1
        run = timedelta(seconds=attempt.run)
        if isinstance(job, ServiceJob):
            run = UNBOUNDED_RUN
            self._count_rack(state, attempt.upstream_id)
        resources = job.resources if job.resources.as_tuple() == amount else Resources(*amount)
        start = Start(attempt.id, job, attempt.task, attempt.upstream_id, resources, run)
        self._outbox.append((start, attempt))

    def _count_rack(self, state: JobState, upstream_id: UpstreamId) -> None:
        view = self._index.by_rack
        rack = self._index.shape_by_id[upstream_id].rack
        if state.tasks_by_rack is None:
            state.tasks_by_rack = {}
        state.tasks_by_rack[rack] = state.tasks_by_rack.get(rack, 0) + 1
        position = view.position_by_id.get(upstream_id, 0)
        end = view.rack_end[position] if position < len(view.rack_end) else 0
        state.rack_position = end if end < len(view.ids) else 0

    def _start_probe(self, state: JobState, now: float) -> bool:
        if not self._health.quarantined or not state.job.idempotent:
            return False
        if isinstance(state.job, ServiceJob) or state.job.band == Band.URGENT:
            return False
        upstream_id = self._health.due_probe(now)
        if upstream_id is None or upstream_id in (state.avoid or ()):
            return False
        if not self._pool.may_probe(upstream_id):
            return False
        if not fit_count(state.amount, self._ledger.free(upstream_id)):
            return False
        for attempt in self._start_all(state, self._take_tasks(state, 1), [upstream_id], now):
            attempt.probe = True
            self._health.probe_started(upstream_id)
        return True

    # Holds

    def _backfill(self, state: JobState, now: float) -> list[UpstreamId] | None:
        if not self._holds.gang_count:
            return None
        tried = 0
        for hold in self._holds.all:
            if not hold.is_gang:
                continue
            for upstream_id in hold.count_by_id:
                tried += 1
                if tried > MAX_BACKFILL_CANDIDATES:
                    return None
                speed = self._index.shape_by_id[upstream_id].speed
                if now + state.run / speed > hold.start_at:
                    continue
                if fit_count(state.amount, self._ledger.free(upstream_id)):
                    return [upstream_id]
        return None

    def _start_hold(self, hold: Hold, now: float) -> None:
        chosen = [u for u, count in hold.count_by_id.items() for _ in range(count)]
        state, tasks = hold.state, hold.tasks
        self._remove_hold(hold)
        if not state.flow.account.team_use.allows(state.amount, len(tasks)):
            self.requeue(state, tasks)
            return
        self._start_all(state, tasks, chosen, now)

    def _release_hold(self, hold: Hold, now: float, cooldown: bool = True) -> None:
        self._remove_hold(hold)
        for upstream_id in hold.count_by_id:
            for attempt in self._tasks.on_upstream(upstream_id):
                attempt.overdue = attempt.stopping
        if hold.is_gang and cooldown:
            # Lets other jobs use the capacity before the gang may reserve it again.
            self._reserve_after[hold.state] = now + MIN_RESERVATION_S
        self.requeue(hold.state, hold.tasks)

    def _remove_hold(self, hold: Hold) -> None:
        self._holds.remove(hold)
        for upstream_id in hold.count_by_id:
            self._index.touch(upstream_id)
            self._holds.touch(upstream_id)
            self._pool.touched.add(upstream_id)

    def _add_hold(self, hold: Hold) -> None:
        self._holds.add(hold)
        for upstream_id in hold.count_by_id:
            self._index.touch(upstream_id)

    def _take_tasks(self, state: JobState, count: int) -> list[int]:
        tasks = [state.take_task() for _ in range(count)]
        self._queue.tasks_taken(state, count)
        return tasks

    # Preemption

    def _preempt(self, state: JobState, count: int, now: float) -> bool:
        if self._failed_searches.is_paused(state, now):
            return False
        plans = plan_tasks(self._pool, self._tasks, self._shares, state, count, now)
        if len(plans) < count:
            self._failed_searches.record_failure(state, now)
            return False
        upstream_ids = [plan.upstream_id for plan in plans]
        tasks = self._take_tasks(state, count)
        for plan in plans:
            attempt_by_id = {a.id: a for a in plan.stopped} | {a.id: a for a, _ in plan.throttled}
            for decision in plan.decisions(now):
                attempt = attempt_by_id[decision.attempt_id]
                self.enqueue_action(decision, attempt)
                attempt.throttled_at = now
        self._add_hold(
            Hold(state, tasks, upstream_ids, now, now + PREEMPTION_TIMEOUT_S, is_gang=False)
        )
        return True

    # Gang reservations

    def _reserve(self, state: JobState, count: int, now: float) -> bool:
        if self._reserve_after.get(state, 0.0) > now:
            return False
        urgent = state.job.band == Band.URGENT
        for hold in self._holds.all:
            if hold.is_gang and (hold.state.job.band == Band.URGENT) == urgent:
                return False
        slots = predict_placements(self._pool, self._tasks, state, count, now)
        if len(slots) < count:
            return False
        slots = slots[:count]
        start_at = slots[-1][0]
        duration = min(max(2 * (start_at - now), MIN_RESERVATION_S), MAX_RESERVATION_S)
        tasks = self._take_tasks(state, count)
        upstream_ids = [upstream_id for _, _, upstream_id in slots]
        self._add_hold(Hold(state, tasks, upstream_ids, start_at, now + duration, is_gang=True))
        return True
