"""Discrete-event simulation that drives a `ShardScheduler` with a `ManualClock`.

Decisions are carried out on fake upstreams. Events are job arrivals, task ends, cancellations and
usage reports, which arrive two seconds after the task starts.
"""

import heapq
from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta
from typing import Any

from hornbeamramp.bench.fake_fleet import Attempt, FakeFleet
from hornbeamramp.bench.tally import ClassTally, Observations
from hornbeamramp.bench.workload import SECOND_US, SimulatedJob
from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Checkpoint, Decision, EndEffect, Start, Stop, TaskEnd, Throttle
from hornbeamramp.ids import AttemptId, JobId, UpstreamId
from hornbeamramp.states import JobKind
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["DECIDE_DELAY_US", "FLOOD", "Driver"]

FLOOD = "flood"
"""Key of the `ClassTally` that counts the jobs of a flood."""

DECIDE_DELAY_US = 2000
"""Delay from an event to the next `decide`, in microseconds; coalesces simultaneous events."""

TICK_INTERVAL_US = 100_000
STOP_DELAY_US = 20_000
THROTTLE_DELAY_US = 20_000
CHECKPOINT_DELAY_US = 50_000
FAILURE_DELAY_US = 10_000
USAGE_LAG_US = 2 * SECOND_US
SAMPLE_INTERVAL_US = SECOND_US
DECIDE_LIMIT = 256
MAX_DECIDE_CALLS = 50

_ENDED, _USAGE, _CANCEL, _THROTTLED, _DECIDE, _TICK, _SAMPLE = range(7)


class Driver:
    """Runs a stream of jobs against a scheduler in simulated time.

    `scheduler`
        A `ShardScheduler` whose clock is ``clock``; the driver adds the upstreams.
    `failing`
        Upstreams on which each task fails after 10 ms.
    `count_from_us`, `count_to_us`
        Bounds of the measurement window, in microseconds; only jobs that arrive in it are counted.
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
        self.sim_job_by_id: dict[JobId, SimulatedJob] = {}
        self.attempt_by_id: dict[AttemptId, Attempt] = {}
        self._clock = clock
        self._count_from_us, self._count_to_us = count_from_us, count_to_us
        self._events: list[tuple[int, int, int, Any]] = []
        self._sequence = 0
        self._decide_pending = False
        self._tallies: dict[str, ClassTally] = defaultdict(ClassTally)
        self._started_by_job: dict[JobId, list[bool]] = {}
        self._attempts_by_job: dict[JobId, dict[AttemptId, Attempt]] = defaultdict(dict)
        self._reported_not_run: set[JobId] = set()
        self._finished_jobs: set[JobId] = set()
        self._executed_tasks: set[tuple[JobId, int]] = set()
        self._gangs_waiting: dict[JobId, SimulatedJob] = {}
        self._starts = self._starts_on_failing = self._completed_tasks = 0
        self._queued_tasks = self._peak_queued = 0
        for upstream in upstreams:
            scheduler.add_upstream(upstream)
        self._arrivals: Iterator[SimulatedJob] = iter(())
        self._next_arrival: SimulatedJob | None = None
        self._push(0, _TICK, None)
        self._push(SAMPLE_INTERVAL_US, _SAMPLE, None)

    def run(self, arrivals: Iterable[SimulatedJob], until_us: int) -> Observations:
        """Submits ``arrivals``, sorted by time, up to ``until_us`` and returns the observations."""
        self.set_arrivals(arrivals)
        self.advance(until_us)
        return self.observe()

    def set_arrivals(self, arrivals: Iterable[SimulatedJob]) -> None:
        """Replaces the jobs still to be submitted; ``arrivals`` is sorted by arrival time."""
        self._arrivals = iter(arrivals)
        self._next_arrival = next(self._arrivals, None)

    def advance(self, until_us: int) -> None:
        """Runs the simulation up to ``until_us``, in microseconds from the start."""
        while True:
            event_us = self._events[0][0]
            sim_job = self._next_arrival
            if sim_job is not None and sim_job.arrival_us <= event_us:
                if sim_job.arrival_us >= until_us:
                    break
                self._set_time(sim_job.arrival_us)
                self.submit(sim_job)
                self._next_arrival = next(self._arrivals, None)
                continue
            if event_us >= until_us:
                break
            at_us, _, kind, payload = heapq.heappop(self._events)
            self._set_time(at_us)
            self._handle(kind, payload)
        self._set_time(until_us)

    def submit(self, sim_job: SimulatedJob) -> bool:
        """Submits a job now and returns whether it was admitted."""
        job = sim_job.job
        counted = self._count_from_us <= self.now_us < self._count_to_us
        tally = self._tally(sim_job)
        result = self.scheduler.submit(job)
        tally.submitted += counted
        if result.is_err():
            self._reported_not_run.add(job.id)
            if counted:
                tally.refused[result.unwrap_err().reason] += 1
            return False
        self.sim_job_by_id[job.id] = sim_job
        self._started_by_job[job.id] = [False] * job.tasks
        self._queued_tasks += job.tasks
        self._peak_queued = max(self._peak_queued, self._queued_tasks)
        if sim_job.job_class.kind is JobKind.GANG:
            self._gangs_waiting[job.id] = sim_job
        if sim_job.lifetime_us:
            self._push(self.now_us + sim_job.lifetime_us, _CANCEL, job.id)
        self._schedule_decide()
        return True

    def cancel(self, job_id: JobId) -> None:
        """Cancels a job now and stops its running attempts."""
        sim_job = self.sim_job_by_id.get(job_id)
        if sim_job is None or job_id in self._finished_jobs:
            return
        cancellation = self.scheduler.cancel(job_id)
        if self._is_counted(sim_job):
            self._tally(sim_job).cancelled += 1
        self._finish(sim_job)
        for stop in cancellation.stop:
            self._apply_stop(stop)
        if not self._attempts_by_job.get(job_id):
            self._reported_not_run.add(job_id)
        self._schedule_decide()

    def decide(self) -> int:
        """Applies decisions until `decide` returns less than a full batch; returns their number.

        Stops after `MAX_DECIDE_CALLS` calls.
        """
        total = 0
        for _ in range(MAX_DECIDE_CALLS):
            decisions = self.scheduler.decide(DECIDE_LIMIT)
            for decision in decisions:
                self.apply(decision)
            total += len(decisions)
            if len(decisions) < DECIDE_LIMIT:
                break
        return total

    def apply(self, decision: Decision) -> None:
        """Carries out one decision on its fake upstream."""
        if isinstance(decision, Start):
            self._apply_start(decision)
        elif isinstance(decision, Throttle):
            self._apply_throttle(decision)
        elif isinstance(decision, Checkpoint):
            self._push_end(decision.attempt_id, CHECKPOINT_DELAY_US, TaskEnd.CHECKPOINTED)
        else:
            self._apply_stop(decision)

    def _set_time(self, at_us: int) -> None:
        self.now_us = self.fleet.now_us = at_us
        self._clock.set(timedelta(microseconds=at_us))

    def _push(self, at_us: int, kind: int, payload: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_us, self._sequence, kind, payload))

    def _schedule_decide(self) -> None:
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
            self._push(self.now_us + TICK_INTERVAL_US, _TICK, None)
        else:
            self._sample()
            self._push(self.now_us + SAMPLE_INTERVAL_US, _SAMPLE, None)

    def _expire(self) -> None:
        for job_id in self.scheduler.expire():
            sim_job = self.sim_job_by_id[job_id]
            self._tally(sim_job).expired += self._is_counted(sim_job)
            self._reported_not_run.add(job_id)
            self._finish(sim_job)

    def _is_counted(self, sim_job: SimulatedJob) -> bool:
        return self._count_from_us <= sim_job.arrival_us < self._count_to_us

    def _tally(self, sim_job: SimulatedJob) -> ClassTally:
        return self._tallies[FLOOD if sim_job.flooding else sim_job.job_class.name]

    def _apply_start(self, start: Start) -> None:
        job, task = start.job, start.task
        sim_job = self.sim_job_by_id.get(job.id)
        if sim_job is None or job.id in self._reported_not_run or job.id in self._finished_jobs:
            self.fleet.record_violation("started_after_not_run", start.attempt_id)
            if sim_job is None:
                return
        attempts = self._attempts_by_job[job.id]
        if any(other.task == task for other in attempts.values()):
            self.fleet.record_violation("two_places", start.attempt_id)
        if not job.idempotent and (job.id, task) in self._executed_tasks:
            self.fleet.record_violation("ran_twice", start.attempt_id)
        upstream = self.fleet.upstream_by_id[start.upstream_id]
        attempt = Attempt(start.attempt_id, sim_job, task, upstream, self.now_us)
        self.fleet.allocate(attempt, start.resources)
        self.fleet.add_usage(attempt)
        attempts[attempt.id] = attempt
        self.attempt_by_id[attempt.id] = attempt
        self._starts += 1
        self._record_wait(sim_job, task)
        self.scheduler.started(attempt.id)
        self._schedule_end(attempt)
        self._push(self.now_us + USAGE_LAG_US, _USAGE, attempt)

    def _record_wait(self, sim_job: SimulatedJob, task: int) -> None:
        started = self._started_by_job.get(sim_job.job.id)
        if started is None or started[task]:
            return
        started[task] = True
        self._queued_tasks -= 1
        self._gangs_waiting.pop(sim_job.job.id, None)
        if self._is_counted(sim_job):
            wait = (self.now_us - sim_job.arrival_us) / SECOND_US
            tally = self._tally(sim_job)
            tally.waits.append(wait)
            tally.waits_by_team[sim_job.job.team].append(wait)

    def _schedule_end(self, attempt: Attempt) -> None:
        upstream = attempt.upstream
        if upstream.failing:
            self._starts_on_failing += 1
            self._push_end(attempt.id, FAILURE_DELAY_US, TaskEnd.FAILED)
            return
        if attempt.sim_job.lifetime_us:
            return
        # If tasks use more processors than the machine has, they slow down in proportion.
        slowdown = max(1.0, upstream.actual_usage[0] / max(1, upstream.capacity[0]))
        run_us = attempt.sim_job.runs_us[attempt.task] * slowdown / upstream.shape.speed
        self._push_end(attempt.id, int(run_us), TaskEnd.SUCCEEDED)

    def _push_end(self, attempt_id: AttemptId, delay_us: int, end: TaskEnd) -> None:
        attempt = self.attempt_by_id.get(attempt_id)
        if attempt is None:
            self.fleet.record_violation("unknown_attempt", attempt_id)
            return
        if attempt.stopping:
            return
        attempt.version += 1
        attempt.stopping = end is not TaskEnd.SUCCEEDED
        attempt.end_us = self.now_us + delay_us
        self._push(attempt.end_us, _ENDED, (attempt, attempt.version, end))

    def _apply_stop(self, stop: Stop) -> None:
        if stop.attempt_id in self.attempt_by_id:
            self._push_end(stop.attempt_id, STOP_DELAY_US, TaskEnd.STOPPED)

    def _apply_throttle(self, throttle: Throttle) -> None:
        attempt = self.attempt_by_id.get(throttle.attempt_id)
        if attempt is None:
            self.fleet.record_violation("unknown_attempt", throttle.attempt_id)
            return
        self._push(self.now_us + THROTTLE_DELAY_US, _THROTTLED, throttle)

    def _throttle(self, throttle: Throttle) -> None:
        attempt = self.attempt_by_id.get(throttle.attempt_id)
        if attempt is None:
            return
        before, after = attempt.allocated[0], throttle.resources.processors_milli
        self.fleet.throttle(attempt, throttle.resources)
        self.scheduler.throttled(attempt.id)
        if attempt.end_us is not None and not attempt.stopping and before != after:
            remaining_us = (attempt.end_us - self.now_us) * before / max(1, after)
            self._push_end(attempt.id, int(remaining_us), TaskEnd.SUCCEEDED)
        self._schedule_decide()

    def _end(self, attempt: Attempt, end: TaskEnd) -> None:
        sim_job, job_id = attempt.sim_job, attempt.sim_job.job.id
        tally = self._tally(sim_job)
        self._release(attempt)
        ran_us = self.now_us - attempt.start_us
        if end is TaskEnd.CHECKPOINTED:
            progress_us = int(ran_us * attempt.upstream.shape.speed)
            sim_job.runs_us[attempt.task] = max(1000, sim_job.runs_us[attempt.task] - progress_us)
        elif not sim_job.job.idempotent:
            self._executed_tasks.add((job_id, attempt.task))
        overlap = min(self.now_us, self._count_to_us) - max(attempt.start_us, self._count_from_us)
        if overlap > 0:
            tally.running_us += overlap
        counted = self._is_counted(sim_job)
        if (
            end in (TaskEnd.CHECKPOINTED, TaskEnd.STOPPED)
            and job_id not in self._finished_jobs
            and counted
        ):
            tally.preempted += 1
        if end is TaskEnd.SUCCEEDED:
            self._completed_tasks += 1
        effect = self.scheduler.ended(attempt.id, end, attempt.usage())
        if effect is EndEffect.JOB_DONE:
            self._finish(sim_job)
            if counted:
                tally.completed += 1
                is_late = self.now_us - sim_job.arrival_us > sim_job.job_class.deadline_ms * 1000
                tally.on_time += not (is_late and sim_job.job_class.deadline_ms)
        elif effect is EndEffect.JOB_FAILED:
            self._finish(sim_job)
            tally.failed += counted
            for other in list(self._attempts_by_job.get(job_id, {})):
                self._push_end(other, STOP_DELAY_US, TaskEnd.STOPPED)
        self._schedule_decide()

    def _release(self, attempt: Attempt) -> None:
        self.fleet.release(attempt)
        del self.attempt_by_id[attempt.id]
        attempts = self._attempts_by_job[attempt.sim_job.job.id]
        attempts.pop(attempt.id, None)
        if not attempts:
            del self._attempts_by_job[attempt.sim_job.job.id]

    def _finish(self, sim_job: SimulatedJob) -> None:
        job_id = sim_job.job.id
        self._finished_jobs.add(job_id)
        started = self._started_by_job.pop(job_id, None)
        self._gangs_waiting.pop(job_id, None)
        if started is not None:
            self._queued_tasks -= started.count(False)

    def _sample(self) -> None:
        if self._count_from_us <= self.now_us < self._count_to_us:
            self.fleet.sample(self._gangs_waiting.values())

    def observe(self) -> Observations:
        """Returns the observations so far.

        Must be called only once, as it adds the run time of tasks still running to the tallies.
        """
        self.fleet.check()
        for attempt in self.attempt_by_id.values():
            overlap = min(self.now_us, self._count_to_us) - max(
                attempt.start_us, self._count_from_us
            )
            if overlap > 0:
                self._tally(attempt.sim_job).running_us += overlap
        for job_id, started in self._started_by_job.items():
            sim_job = self.sim_job_by_id[job_id]
            unstarted = started.count(False)
            if unstarted and self._is_counted(sim_job):
                tally = self._tally(sim_job)
                wait = (self.now_us - sim_job.arrival_us) / SECOND_US
                tally.unstarted_tasks += unstarted
                tally.waits.extend([wait] * unstarted)
                tally.waits_by_team[sim_job.job.team].extend([wait] * unstarted)
        fleet = self.fleet
        samples = max(1, fleet.samples)
        return Observations(
            by_class=dict(self._tallies),
            window_us=self._count_to_us - self._count_from_us,
            violations=fleet.violations,
            first_violation=fleet.first_violation,
            starts=self._starts,
            starts_on_failing=self._starts_on_failing,
            overuse_us=fleet.overuse_us,
            busy_us=fleet.busy_us,
            allocated_shares=[total / samples for total in fleet.allocated_shares],
            stranded_accelerators=fleet.stranded_accelerators / samples,
            waiting_gang_fits=fleet.waiting_gang_fits / samples,
            peak_queued=self._peak_queued,
            completed_tasks=self._completed_tasks,
        )
