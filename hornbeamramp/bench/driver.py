"""Event loop that drives a `ShardScheduler` with a `ManualClock` and fake upstreams.

Events are arrivals, ends of tasks, cancels and usage reports, which lag by two seconds.
"""

import heapq
from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta
from typing import Any

from hornbeamramp.bench.fake_fleet import Attempt, FakeFleet
from hornbeamramp.bench.tally import ClassTally, Observations
from hornbeamramp.bench.workload import SECOND, Work
from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Checkpoint, Decision, EndEffect, Start, Stop, TaskEnd, Throttle
from hornbeamramp.ids import AttemptId, JobId, UpstreamId
from hornbeamramp.states import JobKind
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["DECIDE_DELAY_US", "FLOOD", "Driver"]

FLOOD = "flood"
"""Name under which the jobs of a flood are counted."""

DECIDE_DELAY_US = 2000
"""Delay from an event to the next `decide`, in microseconds; coalesces simultaneous events."""

TICK_US = 100_000
STOP_DELAY_US = 20_000
THROTTLE_DELAY_US = 20_000
CHECKPOINT_DELAY_US = 50_000
FAILURE_DELAY_US = 10_000
USAGE_LAG_US = 2 * SECOND
SAMPLE_US = SECOND
DECIDE_LIMIT = 256
MAX_ROUNDS = 50

_ENDED, _USAGE, _CANCEL, _THROTTLED, _DECIDE, _TICK, _SAMPLE = range(7)


class Driver:
    """Runs a stream of jobs against a scheduler.

    `scheduler`
        A `ShardScheduler` whose clock is ``clock``; the driver adds the upstreams.
    `failing`
        Upstreams that fail each task after 10 ms.
    `count_from_us`, `count_to_us`
        Window in which jobs must arrive to be counted, in microseconds.
    """

    def __init__(
        self,
        scheduler,
        clock: ManualClock,
        upstreams: list[UpstreamShape],
        *,
        failing: Collection[UpstreamId] = (),
        count_from_us: int = 0,
        count_to_us: int,
    ) -> None:
        self.scheduler = scheduler
        self.fleet = FakeFleet(upstreams, failing)
        self.now_us = 0
        self.work_by_id: dict[JobId, Work] = {}
        self.attempt_by_id: dict[AttemptId, Attempt] = {}
        self._clock = clock
        self._from, self._to = count_from_us, count_to_us
        self._events: list[tuple[int, int, int, Any]] = []
        self._sequence = 0
        self._decide_pending = False
        self._tallies: dict[str, ClassTally] = defaultdict(ClassTally)
        self._started: dict[JobId, list[bool]] = {}
        self._attempts_by_job: dict[JobId, dict[AttemptId, Attempt]] = defaultdict(dict)
        self._not_run: set[JobId] = set()
        self._over: set[JobId] = set()
        self._ran: set[tuple[JobId, int]] = set()
        self._gangs_waiting: dict[JobId, Work] = {}
        self._starts = self._starts_on_failing = self._completed_tasks = 0
        self._queued_tasks = self._peak_queued = 0
        for upstream in upstreams:
            scheduler.add_upstream(upstream)
        self._stream: Iterator[Work] = iter(())
        self._next: Work | None = None
        self._push(0, _TICK, None)
        self._push(SAMPLE_US, _SAMPLE, None)

    def run(self, arrivals: Iterable[Work], until_us: int) -> Observations:
        """Feeds ``arrivals`` (in order) and runs up to ``until_us``; returns what was observed."""
        self.feed(arrivals)
        self.advance(until_us)
        return self.observe()

    def feed(self, arrivals: Iterable[Work]) -> None:
        """Sets the jobs to submit, in order of arrival, in place of any that are left."""
        self._stream = iter(arrivals)
        self._next = next(self._stream, None)

    def advance(self, until_us: int) -> None:
        """Runs up to ``until_us``, in microseconds from the start."""
        while True:
            event_us = self._events[0][0]
            work = self._next
            if work is not None and work.arrival_us <= event_us:
                if work.arrival_us >= until_us:
                    break
                self._set_time(work.arrival_us)
                self.submit(work)
                self._next = next(self._stream, None)
                continue
            if event_us >= until_us:
                break
            at_us, _, kind, payload = heapq.heappop(self._events)
            self._set_time(at_us)
            self._handle(kind, payload)
        self._set_time(until_us)

    def submit(self, work: Work) -> bool:
        """Submits a job now and tells whether it was admitted."""
        job = work.job
        counted = self._from <= self.now_us < self._to
        tally = self._tally(work)
        result = self.scheduler.submit(job)
        tally.submitted += counted
        if result.is_err():
            self._not_run.add(job.id)
            if counted:
                tally.refused[result.unwrap_err().reason] += 1
            return False
        self.work_by_id[job.id] = work
        self._started[job.id] = [False] * job.tasks
        self._queued_tasks += job.tasks
        self._peak_queued = max(self._peak_queued, self._queued_tasks)
        if work.job_class.kind is JobKind.GANG:
            self._gangs_waiting[job.id] = work
        if work.lifetime_us:
            self._push(self.now_us + work.lifetime_us, _CANCEL, job.id)
        self._want_decision()
        return True

    def cancel(self, job_id: JobId) -> None:
        """Cancels a job now and stops its running attempts."""
        work = self.work_by_id.get(job_id)
        if work is None or job_id in self._over:
            return
        cancellation = self.scheduler.cancel(job_id)
        if self._is_counted(work):
            self._tally(work).cancelled += 1
        self._finish(work)
        for stop in cancellation.stop:
            self._apply_stop(stop)
        if not self._attempts_by_job.get(job_id):
            self._not_run.add(job_id)
        self._want_decision()

    def decide(self) -> int:
        """Calls `decide` until nothing is left to decide; returns the number of decisions."""
        total = 0
        for _ in range(MAX_ROUNDS):
            decisions = self.scheduler.decide(DECIDE_LIMIT)
            for decision in decisions:
                self.apply(decision)
            total += len(decisions)
            if len(decisions) < DECIDE_LIMIT:
                break
        return total

    def apply(self, decision: Decision) -> None:
        """Carries out one decision at the fake upstream it names."""
        if isinstance(decision, Start):
            self._apply_start(decision)
        elif isinstance(decision, Throttle):
            self._apply_throttle(decision)
        elif isinstance(decision, Checkpoint):
            self._end_later(decision.attempt_id, CHECKPOINT_DELAY_US, TaskEnd.CHECKPOINTED)
        else:
            self._apply_stop(decision)

    def _set_time(self, at_us: int) -> None:
        self.now_us = self.fleet.now_us = at_us
        self._clock.set(timedelta(microseconds=at_us))

    def _push(self, at_us: int, kind: int, payload: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_us, self._sequence, kind, payload))

    def _want_decision(self) -> None:
        if not self._decide_pending:
            self._decide_pending = True
            self._push(self.now_us + DECIDE_DELAY_US, _DECIDE, None)

    def _handle(self, kind: int, payload) -> None:
        if kind == _ENDED:
            attempt, version, end = payload
            if attempt.live and attempt.version == version:
                self._end(attempt, end)
        elif kind == _DECIDE:
            self._decide_pending = False
            self.decide()
        elif kind == _USAGE:
            if payload.live:
                self.scheduler.report_usage(payload.id, payload.usage())
        elif kind == _THROTTLED:
            self._throttle(payload)
        elif kind == _CANCEL:
            self.cancel(payload)
        elif kind == _TICK:
            self._expire()
            self.decide()
            self._push(self.now_us + TICK_US, _TICK, None)
        else:
            self._sample()
            self._push(self.now_us + SAMPLE_US, _SAMPLE, None)

    def _expire(self) -> None:
        for job_id in self.scheduler.expire():
            work = self.work_by_id[job_id]
            self._tally(work).expired += self._is_counted(work)
            self._not_run.add(job_id)
            self._finish(work)

    def _is_counted(self, work: Work) -> bool:
        return self._from <= work.arrival_us < self._to

    def _tally(self, work: Work) -> ClassTally:
        return self._tallies[FLOOD if work.flooding else work.job_class.name]

    def _apply_start(self, start: Start) -> None:
        job, task = start.job, start.task
        work = self.work_by_id.get(job.id)
        if work is None or job.id in self._not_run or job.id in self._over:
            self.fleet.violate("started_after_not_run", start.attempt_id)
            if work is None:
                return
        attempts = self._attempts_by_job[job.id]
        if any(other.task == task for other in attempts.values()):
            self.fleet.violate("two_places", start.attempt_id)
        if not job.idempotent and (job.id, task) in self._ran:
            self.fleet.violate("ran_twice", start.attempt_id)
        upstream = self.fleet.upstream_by_id[start.upstream_id]
        attempt = Attempt(start.attempt_id, work, task, upstream, self.now_us)
        self.fleet.hold(attempt, start.resources)
        self.fleet.begin(attempt)
        attempts[attempt.id] = attempt
        self.attempt_by_id[attempt.id] = attempt
        self._starts += 1
        self._record_wait(work, task)
        self.scheduler.started(attempt.id)
        self._schedule_end(attempt)
        self._push(self.now_us + USAGE_LAG_US, _USAGE, attempt)

    def _record_wait(self, work: Work, task: int) -> None:
        started = self._started.get(work.job.id)
        if started is None or started[task]:
            return
        started[task] = True
        self._queued_tasks -= 1
        self._gangs_waiting.pop(work.job.id, None)
        if self._is_counted(work):
            wait = (self.now_us - work.arrival_us) / SECOND
            tally = self._tally(work)
            tally.waits.append(wait)
            tally.waits_by_team[work.job.team].append(wait)

    def _schedule_end(self, attempt: Attempt) -> None:
        upstream = attempt.upstream
        if upstream.failing:
            self._starts_on_failing += 1
            self._end_later(attempt.id, FAILURE_DELAY_US, TaskEnd.FAILED)
            return
        if attempt.work.lifetime_us:
            return
        # Processors in use beyond what the machine has slow the task down in proportion.
        slowdown = max(1.0, upstream.actual[0] / max(1, upstream.capacity[0]))
        run_us = attempt.work.runs_us[attempt.task] * slowdown / upstream.shape.speed
        self._end_later(attempt.id, int(run_us), TaskEnd.SUCCEEDED)

    def _end_later(self, attempt_id: AttemptId, delay_us: int, end: TaskEnd) -> None:
        attempt = self.attempt_by_id.get(attempt_id)
        if attempt is None:
            self.fleet.violate("unknown_attempt", attempt_id)
            return
        if attempt.stopping:
            return
        attempt.version += 1
        attempt.stopping = end is not TaskEnd.SUCCEEDED
        attempt.end_us = self.now_us + delay_us
        self._push(attempt.end_us, _ENDED, (attempt, attempt.version, end))

    def _apply_stop(self, stop: Stop) -> None:
        if stop.attempt_id in self.attempt_by_id:
            self._end_later(stop.attempt_id, STOP_DELAY_US, TaskEnd.STOPPED)

    def _apply_throttle(self, throttle: Throttle) -> None:
        attempt = self.attempt_by_id.get(throttle.attempt_id)
        if attempt is None:
            self.fleet.violate("unknown_attempt", throttle.attempt_id)
            return
        self._push(self.now_us + THROTTLE_DELAY_US, _THROTTLED, throttle)

    def _throttle(self, throttle: Throttle) -> None:
        attempt = self.attempt_by_id.get(throttle.attempt_id)
        if attempt is None:
            return
        before, after = attempt.held[0], throttle.resources.processors_milli
        self.fleet.throttle(attempt, throttle.resources)
        self.scheduler.throttled(attempt.id)
        if attempt.end_us is not None and not attempt.stopping and before != after:
            left = (attempt.end_us - self.now_us) * before / max(1, after)
            self._end_later(attempt.id, int(left), TaskEnd.SUCCEEDED)
        self._want_decision()

    def _end(self, attempt: Attempt, end: TaskEnd) -> None:
        work, job_id = attempt.work, attempt.work.job.id
        tally = self._tally(work)
        self._release(attempt)
        ran_us = self.now_us - attempt.start_us
        if end is TaskEnd.CHECKPOINTED:
            done = int(ran_us * attempt.upstream.shape.speed)
            work.runs_us[attempt.task] = max(1000, work.runs_us[attempt.task] - done)
        elif not work.job.idempotent:
            self._ran.add((job_id, attempt.task))
        overlap = min(self.now_us, self._to) - max(attempt.start_us, self._from)
        if overlap > 0:
            tally.running_us += overlap
        counted = self._is_counted(work)
        if end in (TaskEnd.CHECKPOINTED, TaskEnd.STOPPED) and job_id not in self._over and counted:
            tally.preempted += 1
        if end is TaskEnd.SUCCEEDED:
            self._completed_tasks += 1
        follows = self.scheduler.ended(attempt.id, end, attempt.usage())
        if follows is EndEffect.JOB_DONE:
            self._finish(work)
            if counted:
                tally.completed += 1
                late = self.now_us - work.arrival_us > work.job_class.deadline_ms * 1000
                tally.on_time += not (late and work.job_class.deadline_ms)
        elif follows is EndEffect.JOB_FAILED:
            self._finish(work)
            tally.failed += counted
            for other in list(self._attempts_by_job.get(job_id, {})):
                self._end_later(other, STOP_DELAY_US, TaskEnd.STOPPED)
        self._want_decision()

    def _release(self, attempt: Attempt) -> None:
        self.fleet.release(attempt)
        del self.attempt_by_id[attempt.id]
        attempts = self._attempts_by_job[attempt.work.job.id]
        attempts.pop(attempt.id, None)
        if not attempts:
            del self._attempts_by_job[attempt.work.job.id]

    def _finish(self, work: Work) -> None:
        job_id = work.job.id
        self._over.add(job_id)
        started = self._started.pop(job_id, None)
        self._gangs_waiting.pop(job_id, None)
        if started is not None:
            self._queued_tasks -= started.count(False)

    def _sample(self) -> None:
        if self._from <= self.now_us < self._to:
            self.fleet.sample(self._gangs_waiting.values())

    def observe(self) -> Observations:
        """Returns what was observed so far. To be called once."""
        self.fleet.check()
        for attempt in self.attempt_by_id.values():
            overlap = min(self.now_us, self._to) - max(attempt.start_us, self._from)
            if overlap > 0:
                self._tally(attempt.work).running_us += overlap
        for job_id, started in self._started.items():
            work = self.work_by_id[job_id]
            missing = started.count(False)
            if missing and self._is_counted(work):
                tally = self._tally(work)
                wait = (self.now_us - work.arrival_us) / SECOND
                tally.unstarted_tasks += missing
                tally.waits.extend([wait] * missing)
                tally.waits_by_team[work.job.team].extend([wait] * missing)
        fleet = self.fleet
        samples = max(1, fleet.samples)
        return Observations(
            by_class=dict(self._tallies),
            window_us=self._to - self._from,
            violations=fleet.violations,
            first_violation=fleet.first_violation,
            starts=self._starts,
            starts_on_failing=self._starts_on_failing,
            overuse_us=fleet.overuse_us,
            busy_us=fleet.busy_us,
            used=[total / samples for total in fleet.used],
            stranded_accelerators=fleet.stranded_accelerators / samples,
            idle_gang_room=fleet.idle_gang_room / samples,
            peak_queued=self._peak_queued,
            completed_tasks=self._completed_tasks,
        )
