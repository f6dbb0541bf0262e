"""Processor time and memory of decisions, by the number of upstreams and of queued jobs.

Times are processor time of the measuring thread. The jobs are those of the cell of section 1.7
without deadlines, so that admission does not keep the queue short.

A step ends one task, calls `decide` once and submits one job. Each action that `decide` returns
counts as one decision. "Decisions with start and end reports" divides them by the time of `decide`,
`started` and `ended`; "submits included" adds `submit`. What `ended` releases is placed by the next
`decide`. The reports of stopped and checkpointed tasks are not timed.
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
from hornbeamramp.bench.workload import SECOND, fleet, pool, quotas, steady
from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Checkpoint, Start, Stop, TaskEnd
from hornbeamramp.jobs import Job, ServiceJob
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["Loaded", "endless_jobs", "jobs_of", "measure", "some_upstreams"]

RATE_GOAL = 5000.0
P99_GOAL_MS = 2.0
DECIDE_LIMIT = 16
SETTLING_CALLS = 100


def some_upstreams(shape: CellShape, count: int) -> list[UpstreamShape]:
    """Returns ``count`` upstreams of all worker classes of the shape, in its proportions."""
    upstreams = fleet(shape)
    return [upstreams[n * len(upstreams) // count] for n in range(count)]


def endless_jobs(shape: CellShape, seed: int) -> Iterator[Job]:
    """Yields jobs of the shape's mix without deadlines and without services."""
    for work in steady(shape, seed, 10**15):
        if not isinstance(work.job, ServiceJob):
            yield msgspec.structs.replace(work.job, deadline=None)


def jobs_of(shape: CellShape, seed: int, count: int) -> list[Job]:
    """Returns the first ``count`` of `endless_jobs`."""
    return list(islice(endless_jobs(shape, seed), count))


class Loaded:
    """A scheduler whose upstreams are full and whose queue has about ``queued`` jobs.

    Times are in nanoseconds of processor time.
    """

    def __init__(self, shape: CellShape, policy: str, upstreams: int, queued: int, seed: int):
        self.clock = ManualClock()
        self.scheduler = ShardScheduler(pool(shape, policy), self.clock, quotas(shape))
        for upstream in some_upstreams(shape, upstreams):
            self.scheduler.add_upstream(upstream)
        self.running: list[Start] = []
        self.submit_ns: list[int] = []
        self.decide_ns: list[int] = []
        self.other_ns = 0
        self.decisions = 0
        self.refused = 0
        self._random = random.Random(seed)
        self._now_us = 0
        self._jobs = endless_jobs(shape, seed)
        for _ in range(8 * upstreams):
            self.submit()
        self._settle()
        # The snapshot takes time in proportion to the upstreams, so it is taken only in between.
        # Admission refuses some jobs, so the queue may stay shorter than asked for.
        tries = 2 * queued
        while (missing := queued - self.queued()) > 0 and tries > 0:
            for _ in range(missing):
                self.submit()
            tries -= missing
        # Urgent jobs of the new queue preempt others; what is measured starts after that.
        self._settle()
        self.reached = self.queued()
        self.submit_ns.clear()
        self.decide_ns.clear()
        self.other_ns = self.decisions = 0

    def _settle(self) -> None:
        for _ in range(SETTLING_CALLS):
            if not self.decide(256):
                return

    def queued(self) -> int:
        return sum(self.scheduler.snapshot().queued_by_band.values())

    def submit(self) -> None:
        """Submits the next job."""
        job = next(self._jobs)
        began = time.thread_time_ns()
        result = self.scheduler.submit(job)
        self.submit_ns.append(time.thread_time_ns() - began)
        self.refused += result.is_err()

    def decide(self, limit: int) -> int:
        """Calls `decide` once, reports its starts and returns the number of decisions."""
        began = time.thread_time_ns()
        decisions = self.scheduler.decide(limit)
        self.decide_ns.append(time.thread_time_ns() - began)
        began = time.thread_time_ns()
        for decision in decisions:
            if isinstance(decision, Start):
                self.scheduler.started(decision.attempt_id)
        self.other_ns += time.thread_time_ns() - began
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
        """Ends one running task, decides what to start and submits one job."""
        self._now_us += SECOND // 270
        self.clock.set(timedelta(microseconds=self._now_us))
        if self.running:
            n = self._random.randrange(len(self.running))
            self.running[n], self.running[-1] = self.running[-1], self.running[n]
            start = self.running.pop()
            began = time.thread_time_ns()
            self.scheduler.ended(start.attempt_id, TaskEnd.SUCCEEDED, start.job.resources)
            self.other_ns += time.thread_time_ns() - began
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
    loaded = Loaded(shape, policy, upstreams, queued, seed)
    case = f"{upstreams} upstreams, {queued} queued"
    goal = upstreams == 800
    gc.collect()
    began = time.thread_time()
    steps = 0
    while steps < 10_000 and time.thread_time() - began < budget_s:
        loaded.step()
        steps += 1
    figures: list[Figure] = []

    def add(name: str, value: float, unit: str, text: str = "", met: bool | None = None) -> None:
        if not goal:
            text, met = "", None
        figures.append(Figure("cost", case, name, value, unit, policy, text, met))

    decide_ns, submit_ns = loaded.decide_ns, loaded.submit_ns
    deciding = sum(decide_ns) + loaded.other_ns
    rate = loaded.decisions / (deciding / 1e9) if deciding else 0.0
    with_submits = loaded.decisions / ((deciding + sum(submit_ns)) / 1e9) if deciding else 0.0
    add("decisions with start and end reports", rate, "1/s", "> 5000", rate > RATE_GOAL)
    add("decisions, submits included", with_submits, "1/s")
    per_decision = sum(decide_ns) / max(1, loaded.decisions) / 1e6
    add("decide per decision", per_decision, "ms")
    for name, values in (("decide call", decide_ns), ("submit", submit_ns)):
        p99 = percentile([float(v) for v in values], 0.99) / 1e6
        add(f"{name} p50", percentile([float(v) for v in values], 0.5) / 1e6, "ms")
        add(f"{name} p99", p99, "ms", "< 2", p99 < P99_GOAL_MS)
        add(f"{name} max", max(values, default=0) / 1e6, "ms")
    add("decisions per decide call", loaded.decisions / max(1, len(decide_ns)), "")
    add("queued jobs reached", loaded.reached, "jobs")
    add("steps measured", steps, "")
    return figures


def _memory(shape: CellShape, policy: str, options: Options) -> list[Figure]:
    few, many = (100, 400) if options.quick else (1000, 10_000)
    figures: list[Figure] = []

    def slope(name: str, low: int, high: int, grow) -> None:
        value = (grow(high) - grow(low)) / (high - low)
        figures.append(Figure("cost", "memory", name, value, "bytes", policy))

    def traced(upstreams: int, jobs: list[Job], of: CellShape = shape) -> int:
        fleet_part = some_upstreams(shape, upstreams)
        pool_row, quota_rows = pool(of, policy), quotas(of)
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

    jobs = jobs_of(shape, options.seed, many)
    slope("per upstream", 200, 800, lambda n: traced(n, []))
    slope("per queued job, without the job itself", few, many, lambda n: traced(20, jobs[:n]))
    teams = {n: msgspec.structs.replace(shape, name=f"cell-{n}-teams", teams=n) for n in (20, 180)}
    by_teams = {n: jobs_of(of, options.seed, 2000) for n, of in teams.items()}
    slope("per team", 20, 180, lambda n: traced(20, by_teams[n], teams[n]))

    def job_memory(count: int) -> int:
        gc.collect()
        tracemalloc.start()
        try:
            kept = jobs_of(shape, options.seed, count)
            return tracemalloc.get_traced_memory()[0] if kept else 0
        finally:
            tracemalloc.stop()

    slope("per job structure (empty payload)", few, many, job_memory)
    return figures
