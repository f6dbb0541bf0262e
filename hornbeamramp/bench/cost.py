"""Processor time and memory of decisions, by the number of upstreams and of queued jobs.

Times are processor time of the measuring thread. The jobs are those of the cell of section 1.7 of
the design page, without deadlines, so that admission does not keep the queue short.

A step ends one task, calls `decide` once and submits one job. Each action that `decide` returns
counts as one decision. "Decisions with start and end reports" divides them by the time of `decide`,
`started` and `ended`; "submits included" adds `submit`. Resources that `ended` releases are
assigned by the next `decide`. The reports of stopped and checkpointed tasks are not timed.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator
from datetime import timedelta
from itertools import islice

import msgspec

from hornbeamramp.bench._shapes import SHAPES, CellShape
from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.runs import POLICIES
from hornbeamramp.bench.tally import percentile
from hornbeamramp.bench.workload import SECOND_US, fleet, pool, quotas, steady
from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Checkpoint, Start, Stop, TaskEnd
from hornbeamramp.jobs import Job, ServiceJob
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["LoadedScheduler", "endless_jobs", "first_jobs", "measure", "sample_upstreams"]

RATE_GOAL_PER_S = 5000.0
P99_GOAL_MS = 2.0
DECIDE_LIMIT = 16
MAX_SETTLING_CALLS = 100


def sample_upstreams(shape: CellShape, count: int) -> list[UpstreamShape]:
    """Returns ``count`` upstreams, with the worker classes in the proportions of the shape."""
    upstreams = fleet(shape)
    return [upstreams[n * len(upstreams) // count] for n in range(count)]


def endless_jobs(shape: CellShape, seed: int) -> Iterator[Job]:
    """Yields an endless stream of the shape's jobs without deadlines; services are left out."""
    for sim_job in steady(shape, seed, 10**15):
        if not isinstance(sim_job.job, ServiceJob):
            yield msgspec.structs.replace(sim_job.job, deadline=None)


def first_jobs(shape: CellShape, seed: int, count: int) -> list[Job]:
    """Returns the first ``count`` of `endless_jobs`."""
    return list(islice(endless_jobs(shape, seed), count))


class LoadedScheduler:
    """A scheduler whose upstreams are full and whose queue has about ``queued`` jobs.

    Times are in nanoseconds of processor time.
    """

    def __init__(self, shape: CellShape, policy: str, upstreams: int, queued: int, seed: int):
        self.clock = ManualClock()
        self.scheduler = ShardScheduler(pool(shape, policy), self.clock, quotas(shape))
        for upstream in sample_upstreams(shape, upstreams):
            self.scheduler.add_upstream(upstream)
        self.running: list[Start] = []
        self.submit_ns: list[int] = []
        self.decide_ns: list[int] = []
        self.report_ns = 0
        self.decisions = 0
        self.refused = 0
        self._random = random.Random(seed)
        self._now_us = 0
        self._jobs = endless_jobs(shape, seed)
        for _ in range(8 * upstreams):
            self.submit()
        self._decide_until_idle()
        # A snapshot costs time in proportion to the upstreams, so it is taken once per round and
        # not after each submission. Admission refuses some jobs, so the queue may stay shorter
        # than requested.
        remaining_tries = 2 * queued
        while (missing := queued - self.queued()) > 0 and remaining_tries > 0:
            for _ in range(missing):
                self.submit()
            remaining_tries -= missing
        # Urgent jobs in the new queue preempt running ones; the measurement starts afterwards.
        self._decide_until_idle()
        self.initial_queued = self.queued()
        self.submit_ns.clear()
        self.decide_ns.clear()
        self.report_ns = self.decisions = 0

    def _decide_until_idle(self) -> None:
        for _ in range(MAX_SETTLING_CALLS):
            if not self.decide(256):
                return

    def queued(self) -> int:
        return sum(self.scheduler.snapshot().queued_by_band.values())

    def submit(self) -> None:
        """Submits the next job."""
        job = next(self._jobs)
        start_ns = time.thread_time_ns()
        result = self.scheduler.submit(job)
        self.submit_ns.append(time.thread_time_ns() - start_ns)
        self.refused += result.is_err()

    def decide(self, limit: int) -> int:
        """Calls `decide` once, reports its starts and stops, and returns how many it decided."""
        start_ns = time.thread_time_ns()
        decisions = self.scheduler.decide(limit)
        self.decide_ns.append(time.thread_time_ns() - start_ns)
        start_ns = time.thread_time_ns()
        for decision in decisions:
            if isinstance(decision, Start):
                self.scheduler.started(decision.attempt_id)
        self.report_ns += time.thread_time_ns() - start_ns
        self.running += [d for d in decisions if isinstance(d, Start)]
        self.decisions += len(decisions)
        stopping = {d.attempt_id: d for d in decisions if isinstance(d, Stop | Checkpoint)}
        if stopping:
            self.running = [s for s in self.running if s.attempt_id not in stopping]
            for attempt_id, decision in stopping.items():
                kind = TaskEnd.STOPPED if isinstance(decision, Stop) else TaskEnd.CHECKPOINTED
                self.scheduler.ended(attempt_id, kind, None)
        return len(decisions)

    def step(self) -> None:
        """Ends one running task, calls `decide` once and submits one job."""
        self._now_us += SECOND_US // 270
        self.clock.set(timedelta(microseconds=self._now_us))
        if self.running:
            n = self._random.randrange(len(self.running))
            self.running[n], self.running[-1] = self.running[-1], self.running[n]
            start = self.running.pop()
            start_ns = time.thread_time_ns()
            self.scheduler.ended(start.attempt_id, TaskEnd.SUCCEEDED, start.job.resources)
            self.report_ns += time.thread_time_ns() - start_ns
        self.decide(DECIDE_LIMIT)
        self.submit()


def measure(options: Options) -> list[Figure]:
    """Returns rates in decisions per second, times in milliseconds and memory in bytes."""
    shape = SHAPES["cell"]
    sizes = (20, 200) if options.quick else (20, 200, 800)
    depths = (100, 1000) if options.quick else (100, 10_000, 100_000)
    budget_s = 0.3 if options.quick else 2.0
    figures: list[Figure] = []
    for upstreams in sizes:
        for queued in depths:
            for policy in POLICIES:
                if policy != "default" and (upstreams, queued) != (sizes[-1], depths[1]):
                    continue
                figures += _times(shape, policy, upstreams, queued, budget_s, options.seed)
    for policy in POLICIES:
        figures += _memory(shape, policy, options)
    return figures


def _times(
    shape: CellShape, policy: str, upstreams: int, queued: int, budget_s: float, seed: int
) -> list[Figure]:
    loaded = LoadedScheduler(shape, policy, upstreams, queued, seed)
    case = f"{upstreams} upstreams, {queued} queued"
    has_goal = upstreams == 800
    gc.collect()
    start_s = time.thread_time()
    steps = 0
    while steps < 10_000 and time.thread_time() - start_s < budget_s:
        loaded.step()
        steps += 1
    figures: list[Figure] = []

    def add(name: str, value: float, unit: str, goal: str = "", met: bool | None = None) -> None:
        if not has_goal:
            goal, met = "", None
        figures.append(Figure("cost", case, name, value, unit, policy, goal, met))

    decide_ns, submit_ns = loaded.decide_ns, loaded.submit_ns
    decision_ns = sum(decide_ns) + loaded.report_ns
    rate = loaded.decisions / (decision_ns / 1e9) if decision_ns else 0.0
    rate_with_submits = (
        loaded.decisions / ((decision_ns + sum(submit_ns)) / 1e9) if decision_ns else 0.0
    )
    add("decisions with start and end reports", rate, "1/s", "> 5000", rate > RATE_GOAL_PER_S)
    add("decisions, submits included", rate_with_submits, "1/s")
    per_decision = sum(decide_ns) / max(1, loaded.decisions) / 1e6
    add("decide per decision", per_decision, "ms")
    for name, values in (("decide call", decide_ns), ("submit", submit_ns)):
        p99 = percentile([float(v) for v in values], 0.99) / 1e6
        add(f"{name} p50", percentile([float(v) for v in values], 0.5) / 1e6, "ms")
        add(f"{name} p99", p99, "ms", "< 2", p99 < P99_GOAL_MS)
        add(f"{name} max", max(values, default=0) / 1e6, "ms")
    add("decisions per decide call", loaded.decisions / max(1, len(decide_ns)), "")
    add("queued jobs reached", loaded.initial_queued, "jobs")
    add("steps measured", steps, "")
    return figures


def _memory(shape: CellShape, policy: str, options: Options) -> list[Figure]:
    low_count, high_count = (100, 400) if options.quick else (1000, 10_000)
    figures: list[Figure] = []

    def add_slope(name: str, low: int, high: int, memory_at) -> None:
        value = (memory_at(high) - memory_at(low)) / (high - low)
        figures.append(Figure("cost", "memory", name, value, "bytes", policy))

    def scheduler_memory(upstreams: int, jobs: list[Job], memory_shape: CellShape = shape) -> int:
        fleet_part = sample_upstreams(shape, upstreams)
        pool_row, quota_rows = pool(memory_shape, policy), quotas(memory_shape)
        gc.collect()
        tracemalloc.start()
        try:
            scheduler = ShardScheduler(pool_row, ManualClock(), quota_rows)
            for upstream in fleet_part:
                scheduler.add_upstream(upstream)
            for job in jobs:
                scheduler.submit(job)
            gc.collect()
            return tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()

    jobs = first_jobs(shape, options.seed, high_count)
    add_slope("per upstream", 200, 800, lambda n: scheduler_memory(n, []))
    add_slope(
        "per queued job, without the job itself",
        low_count,
        high_count,
        lambda n: scheduler_memory(20, jobs[:n]),
    )
    shape_by_team_count = {
        n: msgspec.structs.replace(shape, name=f"cell-{n}-teams", teams=n) for n in (20, 180)
    }
    jobs_by_team_count = {
        n: first_jobs(team_shape, options.seed, 2000)
        for n, team_shape in shape_by_team_count.items()
    }
    add_slope(
        "per team",
        20,
        180,
        lambda n: scheduler_memory(20, jobs_by_team_count[n], shape_by_team_count[n]),
    )

    def job_memory(count: int) -> int:
        gc.collect()
        tracemalloc.start()
        try:
            live_jobs = first_jobs(shape, options.seed, count)
            return tracemalloc.get_traced_memory()[0] if live_jobs else 0
        finally:
            tracemalloc.stop()

    add_slope("per job structure (empty payload)", low_count, high_count, job_memory)
    return figures
