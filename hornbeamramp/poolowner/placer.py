"""Places the waiting units of an owned pool: orders them, chooses workers and preempts runs."""

import itertools
import math
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta
from enum import IntEnum
from typing import TYPE_CHECKING

import logbook

from hornbeamramp import instruments
from hornbeamramp.accounts.shares import AccountShares
from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.fleet import Attempt, RunOutcome, WorkerSession
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.backlog import Backlog
from hornbeamramp.poolowner.capacity import Capacity, total_capacity
from hornbeamramp.poolowner.choice import (
    MIN_GANG_SPEED,
    choose_each,
    choose_workers,
    could_all_run,
    could_ever_run,
    count_tasks,
    is_spread,
    prefers_one_rack,
)
from hornbeamramp.poolowner.gangs import GangPlan, plan_drain, plan_gang
from hornbeamramp.poolowner.headroom import Headroom
from hornbeamramp.poolowner.health import WorkerHealth
from hornbeamramp.poolowner.jobs import Job, StepRun, Unit
from hornbeamramp.poolowner.lateness import LatenessLevel, estimate_lateness
from hornbeamramp.poolowner.launch import Launcher
from hornbeamramp.poolowner.learned_durations import MIN_FRACTION, LearnedDurations
from hornbeamramp.poolowner.passes import SOON, SchedulingPass
from hornbeamramp.poolowner.preemption import (
    add_sizes,
    choose_victims,
    expected_slots,
    is_preemptible,
)
from hornbeamramp.poolowner.quota_keeper import QuotaKeeper
from hornbeamramp.poolowner.quota_preemption import choose_own_victims
from hornbeamramp.poolowner.rack_spread import SpreadInputs, is_spread_due
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.poolowner.waiting import WaitReason
from hornbeamramp.resources import Resources
from hornbeamramp.workload import URGENT, AdviceTiming, Queue

if TYPE_CHECKING:
    from hornbeamramp.poolowner.owner import PoolOwner

__all__ = ["Placer"]

# Share of the pool's processors that gangs may keep from other steps while they wait for runs to
# end that can't be preempted. What is kept is idle for seconds.
MAX_DRAINED_SHARE = 0.1
# Most tasks of one step for which runs are preempted at a time. With more, victims would be chosen
# before the worker's next list shows what the earlier stops have freed.
MAX_TASKS_PER_PREEMPTION = 16
# Minimum time between two searches for victims for one step; stopped runs end within 200 ms.
PREEMPTION_INTERVAL = timedelta(milliseconds=100)
# Time within which an allotment is raised if other pools need none of it: two writes to the store,
# one of them of another owner, and the watch that reports it.
ALLOTMENT_TIME = timedelta(milliseconds=200)

# Room on granted workers to aim for, as a multiple of what a gang needs: other gangs use most of
# it, and only what small tasks use can be freed at once.
GANG_ROOM_FACTOR = 7.0
# Most workers whose tickets a gang without a plan keeps valid, with one request at a time.
MAX_TICKETS_WITHOUT_PLAN = 60
# Tickets to renew for a plan, as a multiple of its workers. A request for twice as many workers
# needs twice the VMs, or for narrow gangs up to a third more time.
TICKETS_PER_PLANNED_WORKER = 1.5
# Period of the passes that plan gangs and search for runs to preempt, and most of these for gangs
# and for other steps of each priority, in the order of the steps. They look at all runs of the
# step's workers, and only the steps that come first can get what is freed. Without a number of
# their own, the gangs of a lower priority would get none while many urgent steps wait.
SEARCH_INTERVAL = timedelta(milliseconds=50)
MAX_SEARCHES = 24
# Minimum time between two plans for a gang that had no possible plan, so that those behind it get
# their turn.
FAILED_PLAN_INTERVAL = timedelta(milliseconds=200)
# A plan that has not been renewed for this long is dropped, with the capacity kept for it.
MAX_PLAN_AGE = timedelta(milliseconds=300)
# Lateness and feasibility of steps change slowly, so they are estimated again after this. Between
# two answers of the advice service, a step's feasibility changes only as workers come and go.
LATENESS_INTERVAL = timedelta(milliseconds=250)
FEASIBILITY_INTERVAL = timedelta(seconds=1)
# Tickets for restarts of long-running tasks are requested so early that the answer is expected this
# long before the lease of their runs on an unreachable worker lapses. It covers the wait for a free
# VM, or one request without an answer.
RESTART_LEAD = timedelta(seconds=1.5)
# Candidates beyond this number are of no use: no advice request names more workers.
MAX_UNASKED = 180
# Period in which what waits for room is added up anew for the admission of jobs.
BACKLOG_PERIOD = timedelta(milliseconds=50)
# A job is refused if its wait is longer than its slack by this factor: submitters' estimates are
# rough, and to refuse a job that would have been on time is worse than to accept one that is late.
SURE_FACTOR = 1.5
# Share of a fast worker's processors that accounts above their shares leave free for urgent
# tasks of others, which are short and narrow.
HEADROOM_SHARE = 0.2
# Nothing is kept for gangs.
EMPTY = Capacity()

_log = logbook.Logger("owner")


class Placer:
    """Keeps the steps with waiting units, and the health of workers from ended runs.

    `shares`
        The order of client accounts that compete for room.
    `quotas`
        What may start of each client account; ``None`` if nothing is limited.
    `durations`
        Expected durations, which the runs that end correct.
    `headroom`
        Room that batch work leaves for short urgent steps.
    """

    def __init__(
        self,
        owner: "PoolOwner",
        launcher: Launcher,
        clock: Clock,
        shares: AccountShares | None = None,
        quotas: QuotaKeeper | None = None,
        durations: LearnedDurations | None = None,
        headroom: Headroom | None = None,
    ) -> None:
        self._owner = owner
        self._quotas = quotas
        self._shares = AccountShares() if shares is None else shares
        self._launcher = launcher
        self._clock = clock
        self._open_steps: list[StepRun] = []
        # Of the latest scheduling pass.
        self._capacity = Capacity()
        self._current: SchedulingPass | None = None
        self._headroom_held: Capacity | None = None
        self._searched_at: timedelta | None = None
        # By whether steps are gangs, and by their priority.
        self._searches: Counter[tuple[bool, int]] = Counter()
        self._is_searching = False
        self._backlog: Backlog | None = None
        self.durations = durations or LearnedDurations(WorkerSpeeds())
        self.speeds = self.durations.speeds
        self.health = WorkerHealth()
        self.headroom = headroom or Headroom()

    def add(self, steps: Iterable[StepRun]) -> bool:
        """Adds steps whose predecessors are done; returns whether there were any."""
        before = len(self._open_steps)
        for step in steps:
            step.rack_wait.begin(self._clock.boot_time())
            self._open_steps.append(step)
        return len(self._open_steps) > before

    def queue(self, unit: Unit) -> None:
        """Queues a unit again."""
        unit.step.queue(unit)
        if unit.step not in self._open_steps:
            self._open_steps.append(unit.step)

    def record_end(self, attempt: Attempt, outcome: RunOutcome) -> None:
        """Updates the health and speed of the worker on which a run ended."""
        now = self._clock.boot_time()
        worker = UpstreamId(attempt.session.worker)
        was_quarantined = self.health.is_quarantined(worker, now)
        self.health.record_end(attempt, outcome, now)
        if self.health.is_quarantined(worker, now) and not was_quarantined:
            _log.warning("worker {} quarantined: tasks of several jobs failed in a row", worker)
        self._record_duration(attempt, outcome, now)

    def _record_duration(self, attempt: Attempt, outcome: RunOutcome, now: timedelta) -> None:
        """Learns from a run that ended.

        A resumed run does an unknown share of its work, best-effort work may be paced, and the
        members of a gang end with the slowest, which is more than what they have to do. A run
        that is stopped tells its duration by its progress, one that fails or is lost early only
        that it would have taken longer.
        """
        step = attempt.task.unit.step
        if attempt.started_at is None or attempt.resumed or step.is_gang:
            return
        if step.spec.fills or step.spec.long_running:
            return
        elapsed_s = (now - attempt.started_at).total_seconds()
        if outcome is RunOutcome.DONE:
            self.durations.record_run(attempt, elapsed_s, 1.0)
        elif attempt.progress_at is not None and attempt.percent >= 100 * MIN_FRACTION:
            elapsed_s = (attempt.progress_at - attempt.started_at).total_seconds()
            self.durations.record_run(attempt, elapsed_s, attempt.percent / 100)
        else:
            self.durations.record_unfinished(attempt, elapsed_s)

    def forget(self, worker: UpstreamId) -> None:
        """Drops the health and speed of a worker that has left."""
        self.health.forget(worker)
        self.speeds.forget(worker)

    def schedule(self) -> None:
        """Places the units that fit: first those of steps that can still finish on time, then those
        that come late, then those that are too late for their caller, each in order of priority.
        What is beyond its account's share comes after all that is useful and within one.

        While capacity is short, a late step that came before others of a lower priority would make
        them late, too.
        """
        now = self._clock.boot_time()
        if not self._owner.may_place():
            for step in self._open_steps:
                if step.waiting:
                    step.wait.set(WaitReason.OWNER, now)
            return
        for step in self._open_steps:
            if not step.waiting and step.wait.reason is not WaitReason.END:
                step.wait.set(None, now)
        self._open_steps = [
            step for step in self._open_steps if step.waiting and not step.job.is_ended
        ]
        for step in self._open_steps:
            try:
                self._estimate_lateness(step, now)
            except Exception:
                # It keeps its last estimate; the order of the others must not depend on it.
                _log.exception("{}: lateness can't be estimated", step.key)
        self._sort(now)
        self.headroom.update(self._open_steps, now, self._owner.now_ms())
        self._is_searching = self._searched_at is None or now - self._searched_at >= SEARCH_INTERVAL
        if self._is_searching:
            self._searched_at = now
            self._searches.clear()
        current = self._begin_pass(now)
        if self._quotas is not None:
            self._quotas.begin_pass()
        if self._is_searching:
            self._prepare_restarts(current)
        # Long-running tasks are missed as soon as they don't run, so their steps have a limit of
        # their own.
        limit = self._launcher.max_prefetching_steps()
        prefetches_left_by_long_running = {False: limit, True: limit}
        for step in self._open_steps:
            try:
                may_prefetch = prefetches_left_by_long_running[step.spec.long_running] > 0
                reason = self._place(step, current, may_prefetch)
            except Exception:
                # One step must not keep all others from being placed.
                _log.exception("{}: placement failed unexpectedly, trying again", step.key)
                continue
            if not step.waiting:
                step.wait.set(None, now)
                continue
            # Steps that still wait are the next to start when capacity is freed, so they prefetch
            # tickets. Steps that no worker may run don't count: they stay in the queue indefinitely
            # and would use up the limit.
            is_feasible = self._is_feasible(step, now)
            if reason is not WaitReason.QUOTA:
                prefetches_left_by_long_running[step.spec.long_running] -= is_feasible
            step.wait.set(reason if is_feasible else WaitReason.WORKER, now)
        if self._quotas is not None:
            self._quotas.end_pass()

    def _startable(self, step: StepRun) -> int:
        """Returns how many of a step's waiting units its account's quota lets start."""
        return len(step.waiting) if self._quotas is None else self._quotas.count_startable(step)

    def _is_out_of_quota(self, step: StepRun, current: SchedulingPass) -> bool:
        """Returns whether the account has no room for a step's next unit, which is asked for then.

        Such a step keeps no capacity, makes no advice requests, and preempts only runs of its own
        account.
        """
        if self._quotas is None or self._startable(step):
            return False

        def has_capacity() -> bool:
            fits = current.capacity.fits
            return any(fits(session, step.size) for session in current.with_capacity())

        self._quotas.note_short(step, has_capacity)
        step.plan = None
        self._preempt_own(step, current.now)
        return True

    def _preempt_own(self, step: StepRun, now: timedelta) -> None:
        """Preempts less urgent runs of a step's own account, whose quota they use up.

        A larger allotment would come earlier, so they are only stopped once it should have.
        """
        assert self._quotas is not None
        if (
            step.is_gang
            or step.lateness.level is LatenessLevel.TOO_LATE
            or step.wait.reason is not WaitReason.QUOTA
            or now - step.wait.since < ALLOTMENT_TIME
            or not self._may_search(step, now)
        ):
            return
        step.preemption_checked_at = now
        job = step.job.record
        own = [
            attempt
            for session in self._owner.session_by_worker.values()
            for attempt in session.attempt_by_key.values()
            if attempt.account == job.account
        ]
        stopping = add_sizes((0, 0, 0), (attempt for attempt in own if attempt.stop_wanted))
        candidates = [attempt for attempt in own if is_preemptible(attempt, job, now)]
        candidates.sort(key=lambda attempt: attempt.percent)
        tasks = min(len(step.waiting), MAX_TASKS_PER_PREEMPTION)
        room = self._quotas.room(job.account)
        victims = choose_own_victims(step.size, tasks, room, candidates, stopping)
        self._stop_victims(step, victims)

    def _sort(self, now: timedelta) -> None:
        """Puts the open steps into the order of placement."""
        if not self._shares.is_used:
            self._open_steps.sort(key=_sort_key)
            return
        if self._shares.is_comparison_due(now):
            waiting = {step.job.record.account for step in self._open_steps}
            self._shares.compare(waiting, total_capacity(self._usable(now).values()), now)
        self._open_steps.sort(key=lambda step: _shared_sort_key(step, self._shares))

    def excess_wait(self, job: Job) -> timedelta:
        """Returns by how much the room for a new job beyond its account's share comes too late for
        it to be on time, or 0 if that isn't sure."""
        spec = job.record.spec
        if spec.repetitions or any(step.long_running for step in spec.steps):
            return timedelta(0)
        now = self._clock.boot_time()
        if self._backlog is None or now - self._backlog.as_of >= BACKLOG_PERIOD:
            sessions = self._usable(now).values()
            self._backlog = Backlog(self._open_steps, sessions, self.durations, now)
        excess = timedelta(0)
        for step in job.steps_by_occurrence[0]:
            if not step.spec.after:
                self._estimate_lateness(step, now)
                wait = self._backlog.wait_beyond_share(step.size, job.record.priority)
                slack_ms = step.lateness.latest_start_ms - self._owner.now_ms()
                slack = timedelta(milliseconds=max(slack_ms, 0.0))
                if step.lateness.level is LatenessLevel.ON_TIME and wait > SURE_FACTOR * slack:
                    excess = max(excess, wait - slack)
        return excess

    def _prepare_restarts(self, current: SchedulingPass) -> None:
        """Renews tickets for long-running tasks on unreachable workers before their leases lapse.

        Until then they can't be started elsewhere. An advice request after that would add a second
        or more to the time for which their users are without them.
        """
        for step, attempts in _unreachable_long_running(self._owner.session_by_worker.values()):
            queue = self._owner.queue_of(step.job)
            if queue is None or queue.advice is None or step.grants.is_pending:
                continue
            lapses_at = min(attempt.session.runs_end_by() for attempt in attempts)
            ask_from = lapses_at - RESTART_LEAD - self._launcher.request_time(step, queue)
            if current.now < max(ask_from, step.grants.not_before):
                continue
            try:
                sessions = self._restart_workers(step, len(attempts), current)
                if sessions:
                    required = min(len(attempts), len(sessions))
                    self._launcher.prefetch_tickets(step, queue, sessions, required)
            except Exception:
                # Its tickets are requested after the lapse then.
                _log.exception("{}: restart can't be prepared", step.key)

    def _restart_workers(
        self, step: StepRun, tasks: int, current: SchedulingPass
    ) -> list[WorkerSession]:
        """Returns the workers on which tasks of a step may start again, those with room first."""
        capacity, _ = current.capacities_for(step)
        granted = [s for s in current.granted(step) if could_ever_run(step, s)]
        with_room = [session for session in granted if capacity.fits(session, step.size)]
        if len(with_room) < tasks:
            with_room += self._unasked(step, current, True)
        return with_room or granted

    def _usable(self, now: timedelta) -> dict[UpstreamId, WorkerSession]:
        """Returns the workers on which runs may be placed, in order of their ids."""
        return {
            worker: session
            for worker, session in sorted(self._owner.session_by_worker.items())
            if session.usable and not self.health.is_quarantined(worker, now)
        }

    def _begin_pass(self, now: timedelta) -> SchedulingPass:
        usable_by_id = self._usable(now)
        sizes = [step.size for step in self._open_steps]
        current = SchedulingPass(
            usable_by_id,
            sizes,
            self.durations,
            now,
            self._capacity,
            MAX_DRAINED_SHARE,
            self._headroom_for,
        )
        self._headroom_held = None
        self._current = current
        self._capacity = current.capacity
        return current

    def _headroom_for(self, step: StepRun) -> Capacity | None:
        """Returns what a step leaves for short urgent ones. It is chosen in each pass once the
        urgent steps, which come first, have been placed."""
        if not self.headroom.is_to_be_left(step, self._owner.now_ms()):
            return None
        if self._headroom_held is None and self._current is not None:
            current = self._current
            sessions = current.usable_by_id.values()
            self._headroom_held = self.headroom.hold(
                current.capacity, sessions, self._is_slow, current.now
            )
        return self._headroom_held

    def _estimate_lateness(self, step: StepRun, now: timedelta) -> None:
        now_ms = self._owner.now_ms()
        if (
            step.lateness_at is not None
            and now - step.lateness_at < LATENESS_INTERVAL
            and now_ms <= step.lateness.latest_start_ms
        ):
            return
        job = step.job
        queue = self._owner.queue_of(job)
        step.lateness = estimate_lateness(
            record=job.record,
            critical_path=job.critical_path,
            step=step.key.step,
            since_ms=max(job.record.accepted_ms, job.record.spec.due_ms(step.key.occurrence)),
            now_ms=now_ms,
            duration_ratio=self.durations.ratio(step),
            timing=None if queue is None else queue.advice,
        )
        step.lateness_at = now

    def _place(self, step: StepRun, current: SchedulingPass, may_prefetch: bool) -> WaitReason:
        """Launches the units of a step that fit; returns what any others wait for.

        With ``may_prefetch``, tickets are also renewed while there is no capacity, so that freed
        capacity does not stay idle during an advice request.
        """
        if self._is_out_of_quota(step, current):
            return WaitReason.QUOTA
        queue = self._owner.queue_of(step.job)
        shortage = WaitReason.GANG if step.is_gang else WaitReason.CAPACITY
        if queue is None or queue.advice is None:
            self._update_rack_wait(step, current.with_capacity(), current)
            self._launch_on(step, current.with_capacity(), current)
            if step.waiting:
                if self._is_out_of_quota(step, current):
                    return WaitReason.QUOTA
                self._make_room(step, current, None)
            return shortage
        grants = step.grants
        now = current.now
        with_capacity = self._granted_with_capacity(step, current)
        self._update_rack_wait(step, with_capacity, current)
        ticketed = [s for s in with_capacity if grants.has_ticket(UpstreamId(s.worker), now)]
        self._launch_on(step, ticketed, current)
        if not step.waiting:
            return shortage
        if self._is_out_of_quota(step, current):
            return WaitReason.QUOTA
        may_ask = (
            not grants.is_pending and now >= grants.not_before and self._launcher.may_ask(step)
        )
        # Capacity found on granted workers stays reserved while their tickets are renewed.
        reserved = self._reserve(step, with_capacity, current) if may_ask else []
        if reserved:
            self._launcher.renew_and_launch(step, queue, reserved, current.granted(step))
            if step.waiting and self._is_out_of_quota(step, current):
                return WaitReason.QUOTA
            return shortage
        plan = self._make_room(step, current, queue.advice) if grants.granted else None
        if not grants.granted:
            shortage = WaitReason.ADVICE
        elif (step.is_gang and plan is not None) or (
            not step.is_gang and len(with_capacity) > len(ticketed)
        ):
            shortage = WaitReason.TICKET
        if not may_ask:
            return shortage
        if step.is_gang:
            self._ask_for_gang(step, queue, plan, current, may_prefetch)
            return shortage
        unasked = self._unasked(step, current, may_prefetch)
        if unasked:
            self._launcher.request_advice(step, queue, unasked)
        elif grants.granted and may_prefetch:
            granted = self._granted_to_renew(step, queue.advice, current)
            if granted:
                self._launcher.prefetch_tickets(step, queue, granted)
        return shortage

    def _update_rack_wait(
        self, step: StepRun, sessions: list[WorkerSession], current: SchedulingPass
    ) -> None:
        """Decides whether a gang that prefers one rack may start on several of these workers, which
        have capacity."""
        wait = step.rack_wait
        if not prefers_one_rack(step) or (
            wait.checked_at is not None and current.now - wait.checked_at < SEARCH_INTERVAL
        ):
            return
        wait.checked_at, wait.may_spread = current.now, False
        capacity, _ = current.capacities_for(step)
        unit = step.waiting[0]
        usable = [session for session in sessions if could_ever_run(step, session)]
        if sum(count_tasks(step, capacity.free(s)) for s in usable) < len(unit.tasks):
            wait.room_since = None
            return
        if wait.room_since is None:
            wait.room_since = current.now
        # Long-running tasks do no work that could take longer.
        extra = timedelta(0)
        if not step.spec.long_running:
            extra = (self.durations.cross_rack_factor - 1) * self.durations.duration(step)
        slack = timedelta(milliseconds=step.lateness.latest_start_ms - self._owner.now_ms())
        wait.may_spread = is_spread_due(
            SpreadInputs(
                current.now,
                wait.queued_at,
                wait.room_since,
                self._rack_starts_at(step, unit, capacity, current),
                extra,
                current.now + slack,
                current.is_short,
            )
        )

    def _rack_starts_at(
        self, step: StepRun, unit: Unit, capacity: Capacity, current: SchedulingPass
    ) -> timedelta | None:
        """Returns the boot time at which one rack is expected to have room for a gang, ``None`` if
        that isn't known."""
        queue = self._owner.queue_of(step.job)
        needs_grant = queue is not None and queue.advice is not None
        sessions = current.granted(step) if needs_grant else list(current.usable_by_id.values())
        plan = plan_gang(unit, sessions, capacity, self.speeds, current.runs)
        if plan is None:
            plan = plan_drain(unit, sessions, capacity, self.speeds, current.runs)
        return None if plan is None else plan.starts_at

    @staticmethod
    def _granted_to_renew(
        step: StepRun, advice: AdviceTiming, current: SchedulingPass
    ) -> list[WorkerSession]:
        """Returns the granted workers whose tickets are renewed while the step waits for room.

        One request may not name all of them. For steps that preempt runs only where they have a
        ticket, these are the workers that have room or get it by preemption, if there are any.
        """
        granted = current.granted(step)
        if advice.base <= SOON:
            return granted
        job = step.job.record

        def can_have_room(session: WorkerSession) -> bool:
            attempts = session.attempt_by_key.values()
            ending = [a for a in attempts if is_preemptible(a, job, current.now)]
            return count_tasks(step, add_sizes(session.free(), ending)) > 0

        with_room = [s for s in granted if could_ever_run(step, s) and can_have_room(s)]
        return with_room or granted

    @staticmethod
    def _granted_with_capacity(step: StepRun, current: SchedulingPass) -> list[WorkerSession]:
        granted = step.grants.granted
        sessions = [s for s in current.with_capacity() if s.worker in granted]
        if not sessions:
            return []
        capacity, _ = current.capacities_for(step)
        return [session for session in sessions if capacity.fits(session, step.size)]

    def _ask_for_gang(
        self,
        step: StepRun,
        queue: Queue,
        plan: GangPlan | None,
        current: SchedulingPass,
        may_prefetch: bool,
    ) -> None:
        """Asks for more workers until a gang can be planned, then for the tickets of its plan.

        A gang without a plan keeps the tickets of its granted workers valid while it can still be
        on time. Otherwise the room that it finds would be idle until they are renewed.
        """
        if plan is None:
            unasked = []
            if self._granted_room(step, current) < GANG_ROOM_FACTOR * step.spec.count:
                unasked = self._unasked(step, current, True)
            if unasked:
                self._launcher.request_advice(step, queue, unasked)
            elif may_prefetch and step.lateness.level is LatenessLevel.ON_TIME:
                granted = self._preferred_for_gang(step, current)
                self._launcher.prefetch_tickets(step, queue, granted, len(granted))
            return
        granted = current.granted(step)
        # Besides those of the plan, the tickets of others that may have room by then.
        free = current.capacity.free
        sessions = sorted(
            granted, key=lambda s: (s.worker not in plan.count_by_worker, -free(s)[0])
        )[: math.ceil(TICKETS_PER_PLANNED_WORKER * len(plan.count_by_worker))]
        self._launcher.prefetch_tickets(step, queue, sessions, len(plan.count_by_worker))

    def _preferred_for_gang(self, step: StepRun, current: SchedulingPass) -> list[WorkerSession]:
        """Returns granted workers whose tickets a gang without a plan keeps valid: those that are
        fast enough for gangs and have the most free processors first."""
        free = current.capacity.free
        granted = [session for session in current.granted(step) if could_ever_run(step, session)]
        granted.sort(key=lambda session: (self._is_slow(session), -free(session)[0]))
        return granted[:MAX_TICKETS_WITHOUT_PLAN]

    def _is_slow(self, session: WorkerSession) -> bool:
        return self.speeds.speed(UpstreamId(session.worker)) < MIN_GANG_SPEED

    @staticmethod
    def _granted_room(step: StepRun, current: SchedulingPass) -> int:
        """Returns how many of a step's tasks its granted workers could run if they were empty."""
        if step.granted_room is None or step.granted_room[0] != step.grants.version:
            room = sum(count_tasks(step, EMPTY.total(s)) for s in current.granted(step))
            step.granted_room = (step.grants.version, room)
        return step.granted_room[1]

    def _launch_on(
        self, step: StepRun, sessions: list[WorkerSession], current: SchedulingPass
    ) -> None:
        placed = self._reserve(step, sessions, current)
        if placed:
            self._owner.spawn(self._launcher.launch(step, placed))

    def _make_room(
        self, step: StepRun, current: SchedulingPass, advice: AdviceTiming | None
    ) -> GangPlan | None:
        """Preempts runs for a step that does not fit, and keeps capacity for a gang.

        Returns the plan of a gang that is going to fit soon.

        `advice`
            Timing of advice requests; ``None`` if the step may run on all workers.
        """
        needs_grant = advice is not None
        if step.lateness.level is LatenessLevel.TOO_LATE:
            step.plan = None
            return None
        if self._may_search(step, current.now):
            sessions = current.granted(step) if needs_grant else list(current.usable_by_id.values())
            if step.is_gang:
                step.planned_at = current.now
                step.plan = self._plan(step.waiting[0], sessions, current, needs_grant)
            else:
                step.preemption_checked_at = current.now
                if advice is not None and advice.base > SOON:
                    # Room freed before tickets arrive would be idle, or used by other steps.
                    sessions = _with_tickets(step, sessions, current.now)
                if not self._leaves_headroom(step, current):
                    self._preempt(step, sessions, current.now)
        elif step.planned_at is not None and current.now - step.planned_at > MAX_PLAN_AGE:
            step.plan = None
        if step.plan is None:
            return None
        self._hold(step, step.plan, current.capacity)
        return None if step.plan.is_drain else step.plan

    def _may_search(self, step: StepRun, now: timedelta) -> bool:
        """Returns whether to search for room for a step in this pass, and counts the search."""
        kind = (step.is_gang, step.job.record.priority)
        if (
            not self._is_searching
            or self._searches[kind] >= MAX_SEARCHES
            or not self._is_search_due(step, now)
        ):
            return False
        self._searches[kind] += 1
        return True

    @staticmethod
    def _is_search_due(step: StepRun, now: timedelta) -> bool:
        if not step.is_gang:
            checked_at, interval = step.preemption_checked_at, PREEMPTION_INTERVAL
        elif step.plan is None:
            checked_at, interval = step.planned_at, FAILED_PLAN_INTERVAL
        else:
            checked_at, interval = step.planned_at, SEARCH_INTERVAL
        return checked_at is None or now - checked_at >= interval

    def _plan(
        self,
        unit: Unit,
        sessions: list[WorkerSession],
        current: SchedulingPass,
        needs_tickets: bool,
    ) -> GangPlan | None:
        """Returns how a gang may start, and preempts runs for it once it has the tickets.

        Tickets take up to a second. Room freed before they arrive is idle, or used by others, so
        that the gang doesn't fit when they do.
        """
        capacity, _ = current.capacities_for(unit.step)
        if self._leaves_headroom(unit.step, current):
            return None
        ready = sessions
        if needs_tickets:
            ready = _with_tickets(unit.step, sessions, current.now)
        plan = plan_gang(unit, ready, capacity, self.speeds, current.runs)
        if plan is not None:
            self._stop_victims(unit.step, plan.victims)
            return plan
        if len(ready) < len(sessions):
            plan = plan_gang(unit, sessions, capacity, self.speeds, current.runs)
            if plan is not None:
                return plan
        if capacity.held_processors_milli < current.drainable_processors_milli:
            return plan_drain(unit, sessions, capacity, self.speeds, current.runs)
        return None

    @staticmethod
    def _hold(step: StepRun, plan: GangPlan, capacity: Capacity) -> None:
        for worker, count in plan.count_by_worker.items():
            capacity.hold(worker, step.size, count, plan.starts_at)

    def _unasked(
        self, step: StepRun, current: SchedulingPass, may_prefetch: bool
    ) -> list[WorkerSession]:
        """Returns workers to include in a first advice request: those with capacity, or any that
        could run the step if it may prefetch.

        Workers on which the step fits now come first, then those with the most free processors. For
        a gang, which rarely uses slow workers, these come last.
        """
        asked = step.grants.asked
        capacity, spare = current.capacities_for(step)
        if may_prefetch:
            candidates = current.most_free(asked)
        else:
            candidates = [
                session
                for session in current.with_capacity()
                if session.worker not in asked and capacity.fits(session, step.size)
            ]
            candidates.sort(key=lambda session: -spare.free(session)[0])
        fitting: list[WorkerSession] = []
        others: list[WorkerSession] = []
        for session in candidates:
            if not could_ever_run(step, session):
                continue
            (fitting if spare.fits(session, step.size) else others).append(session)
            if len(fitting) >= MAX_UNASKED:
                break
        unasked = fitting + others
        return sorted(unasked, key=self._is_slow) if step.is_gang else unasked

    def waiting_steps(self) -> list[StepRun]:
        """Returns the steps that wait, in the order of the latest pass."""
        return [step for step in self._open_steps if step.waiting]

    def _is_feasible(self, step: StepRun, now: timedelta) -> bool:
        """Returns whether the granted workers could run the step's next unit if they were empty."""
        grants = step.grants
        if not grants.asked:
            return True
        if step.feasibility_at is not None:
            checked_at, version = step.feasibility_at
            if version == grants.version and now - checked_at < FEASIBILITY_INTERVAL:
                return step.is_feasible
        by_worker = self._owner.session_by_worker
        granted = [by_worker[worker] for worker in grants.granted if worker in by_worker]
        step.is_feasible = could_all_run(step.waiting[0], granted)
        step.feasibility_at = (now, grants.version)
        return step.is_feasible

    def _preempt(self, step: StepRun, sessions: Collection[WorkerSession], now: timedelta) -> None:
        """Preempts less urgent runs for the tasks of a step that don't fit."""
        startable = step.waiting[: self._startable(step)]
        waiting_tasks = sum(len(unit.tasks) for unit in startable)
        missing = min(waiting_tasks, MAX_TASKS_PER_PREEMPTION) - expected_slots(step, sessions)
        if missing > 0:
            self._stop_victims(step, choose_victims(step, missing, sessions, now))

    @staticmethod
    def _stop_victims(step: StepRun, victims: Iterable[Attempt]) -> None:
        for victim in victims:
            _log.info(
                "{} on {} at {}% is preempted for {}",
                victim.name,
                victim.session.worker,
                victim.percent,
                step.key,
            )
            instruments.preemptions.add(1)
            victim.session.stop(victim)

    def _reserve(
        self, step: StepRun, sessions: list[WorkerSession], current: SchedulingPass
    ) -> list[Unit]:
        """Takes units off the step's queue and reserves capacity for them, as far as they fit."""
        reserved: list[Unit] = []
        if not sessions:
            return reserved
        assigned_by_worker: Counter[str] = Counter()
        if step.spec.max_per_worker or step.spec.long_running:
            assigned_by_worker.update(
                attempt.session.worker for unit in step.units for attempt in unit.attempts()
            )
        for usable, available in self._choices(step, sessions, current):
            while startable := step.waiting[: self._startable(step)]:
                chosen = self._choose(startable, usable, assigned_by_worker, available)
                if not chosen:
                    break
                for unit, workers in chosen:
                    self._reserve_unit(unit, workers)
                    if is_spread(unit):
                        self._log_spread(unit, current)
                if self._quotas is not None:
                    self._quotas.note_start(step)
                for _, workers in chosen:
                    assigned_by_worker.update(session.worker for session in workers)
                reserved += [unit for unit, _ in chosen]
                current.note_reserved()
        return reserved

    def _choices(
        self, step: StepRun, sessions: list[WorkerSession], current: SchedulingPass
    ) -> Iterator[tuple[list[WorkerSession], Capacity]]:
        """Yields workers to choose from, with their capacity, in the order of preference."""
        capacity, spare = current.capacities_for(step)
        if step.plan is not None:
            # What a gang kept in the pass before is its own.
            yield sessions, capacity
            return
        if self._leaves_headroom(step, current):
            headroom = self._account_headroom(current)
            capacity, spare = headroom.limited_by(capacity), headroom.limited_by(spare)
        if step.job.record.priority == URGENT and not step.is_gang:
            # On a slow worker an urgent task is late, so it rather uses what is kept for gangs.
            fast = [session for session in sessions if not self._is_slow(session)]
            if len(fast) < len(sessions):
                yield fast, spare
                yield fast, capacity
        yield sessions, spare
        yield sessions, capacity

    def _leaves_headroom(self, step: StepRun, current: SchedulingPass) -> bool:
        """Returns whether a step has to leave room for the urgent tasks of other accounts. It
        preempts nothing then, and keeps no room for itself."""
        job = step.job.record
        return (
            job.priority != URGENT
            and not step.spec.long_running
            and self._shares.leaves_headroom(job.account)
            and current.is_short
        )

    def _account_headroom(self, current: SchedulingPass) -> Capacity:
        """Returns the capacity without what is kept on fast workers for urgent tasks.

        If one account fills all of these, the urgent tasks of others run on slow ones, and are
        late.
        """
        if current.account_headroom is None:
            current.account_headroom = Capacity()
            for session in current.usable_by_id.values():
                if not self._is_slow(session):
                    processors = session.listing.capacity.processors_milli
                    size = Resources(int(HEADROOM_SHARE * processors), 0, 0)
                    current.account_headroom.hold(session.worker, size, 1, current.now)
        return current.account_headroom

    def _choose(
        self,
        units: list[Unit],
        sessions: list[WorkerSession],
        assigned_by_worker: Counter[str],
        available: Capacity,
    ) -> list[tuple[Unit, list[WorkerSession]]]:
        """Returns the first of these units of a step with the workers chosen for their tasks."""
        if len(units[0].tasks) == 1 and not units[0].avoided_workers:
            alike = list(itertools.takewhile(lambda unit: not unit.avoided_workers, units))
            workers = choose_each(alike, sessions, self.speeds, assigned_by_worker, available)
            return [(unit, [worker]) for unit, worker in zip(alike, workers, strict=False)]
        chosen = choose_workers(units[0], sessions, self.speeds, assigned_by_worker, available)
        return [] if chosen is None else [(units[0], chosen)]

    @staticmethod
    def _log_spread(unit: Unit, current: SchedulingPass) -> None:
        wait = unit.step.rack_wait
        racks = Counter(attempt.session.listing.rack for attempt in unit.attempts())
        waited_ms = to_ms(current.now - wait.queued_at)
        instruments.gangs_spread.add(1, {"queue": unit.step.job.record.queue})
        _log.info(
            "{} run {} starts on several racks after {} ms: {}",
            unit.step.key,
            unit.run,
            waited_ms,
            dict(racks),
            extra={
                "event": "gang_spread",
                "job": unit.step.job.record.job_id,
                "waited_ms": waited_ms,
                "racks": len(racks),
            },
        )

    @staticmethod
    def _reserve_unit(unit: Unit, workers: list[WorkerSession]) -> None:
        step = unit.step
        step.waiting.remove(unit)
        unit.run += 1
        for task, session in zip(unit.tasks, workers, strict=True):
            task.attempt = Attempt(
                task, task.name, unit.run, step.size, session, step.job.record.account
            )
            task.attempt.checkpoint = unit.checkpoint
            task.attempt.resumed = bool(unit.checkpoint)
            session.reserve(task.attempt)


def _with_tickets(
    step: StepRun, sessions: Iterable[WorkerSession], now: timedelta
) -> list[WorkerSession]:
    """Returns the workers whose tickets are still valid once runs that are stopped now have
    ended."""
    return [s for s in sessions if step.grants.has_ticket(UpstreamId(s.worker), now, SOON)]


def _unreachable_long_running(
    sessions: Iterable[WorkerSession],
) -> list[tuple[StepRun, list[Attempt]]]:
    """Returns the steps with long-running tasks on unreachable workers, and their runs there."""
    attempts_by_step: dict[StepRun, list[Attempt]] = {}
    for session in sessions:
        if session.reachable:
            continue
        for attempt in session.attempt_by_key.values():
            step: StepRun = attempt.task.unit.step
            if step.spec.long_running and not step.job.is_ended:
                attempts_by_step.setdefault(step, []).append(attempt)
    return list(attempts_by_step.items())


class _Turn(IntEnum):
    """Order of the steps of a pool whose jobs belong to client accounts."""

    ON_TIME = 0
    LATE = 1
    ON_TIME_BEYOND_SHARE = 2
    LATE_BEYOND_SHARE = 3
    TOO_LATE = 4
    TOO_LATE_BEYOND_SHARE = 5


def _turn(step: StepRun) -> _Turn:
    is_beyond_share = step.job.record.is_beyond_share
    if step.lateness.level is LatenessLevel.TOO_LATE:
        return _Turn.TOO_LATE_BEYOND_SHARE if is_beyond_share else _Turn.TOO_LATE
    if is_beyond_share:
        return _Turn(step.lateness.level + _Turn.ON_TIME_BEYOND_SHARE)
    return _Turn(step.lateness.level)


def _shared_sort_key(step: StepRun, shares: AccountShares) -> tuple[float, ...]:
    """Returns the key by which a step is placed while there are client accounts.

    Those of accounts within their shares of the pool come in the order in which they have to start,
    the others behind them by how much more they use.
    """
    record = step.job.record
    level = shares.level(record.account)
    return (_turn(step), record.priority, level, step.lateness.latest_start_ms)


def _sort_key(step: StepRun) -> tuple[float, ...]:
    return (step.lateness.level, step.job.record.priority, step.lateness.latest_start_ms)
