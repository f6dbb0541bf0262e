"""Fake upstreams that track their own allocations.

The allocations are tracked independently of the scheduler's ledger, and each violation of a
scheduling guarantee is recorded.
"""

from collections import Counter
from collections.abc import Collection

import msgspec

from hornbeamramp.bench.workload import SECOND_US, SimulatedJob
from hornbeamramp.ids import AttemptId, UpstreamId
from hornbeamramp.resources import Resources
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["Attempt", "FakeFleet", "FakeUpstream"]

SMALLEST_ACCELERATOR_TASK = (4000, 4096)
"""Processors (milli) and memory (MiB) of the smallest task of the job mixes that uses an
accelerator."""


class FakeUpstream:
    """Capacity of an upstream, its allocations and the actual usage of its tasks."""

    __slots__ = ("actual_usage", "allocated", "capacity", "failing", "shape")

    def __init__(self, shape: UpstreamShape, failing: bool) -> None:
        self.shape = shape
        self.capacity = shape.resources.as_tuple()
        self.allocated = [0] * len(self.capacity)
        self.actual_usage = [0] * len(self.capacity)
        self.failing = failing

    def is_overcommitted(self) -> bool:
        """Returns whether the allocations exceed the capacity of any resource."""
        return any(h > c for h, c in zip(self.allocated, self.capacity, strict=True))

    def is_overused(self) -> bool:
        """Returns whether the actual usage exceeds the capacity in processors or memory."""
        return any(a > c for a, c in zip(self.actual_usage[:2], self.capacity[:2], strict=True))

    def fit_count(self, amounts: tuple[int, ...]) -> int:
        """Returns how many tasks of this size fit into the unallocated resources."""
        return min(
            (c - h) // a
            for c, h, a in zip(self.capacity, self.allocated, amounts, strict=True)
            if a
        )


class Attempt:
    """A running task. End events whose version differs from ``version`` are superseded."""

    __slots__ = (
        "end_us",
        "allocated",
        "id",
        "live",
        "start_us",
        "stopping",
        "task",
        "throttled_to",
        "upstream",
        "version",
        "sim_job",
    )

    def __init__(
        self,
        attempt_id: AttemptId,
        sim_job: SimulatedJob,
        task: int,
        upstream: FakeUpstream,
        start_us: int,
    ) -> None:
        self.id = attempt_id
        self.sim_job = sim_job
        self.task = task
        self.upstream = upstream
        self.allocated: tuple[int, ...] = (0,) * 5
        self.start_us = start_us
        self.end_us: int | None = None
        self.version = 0
        self.live = True
        self.stopping = False
        self.throttled_to: int | None = None

    def usage(self) -> Resources:
        """Returns the actual usage of the task, limited by its throttle."""
        usage = self.sim_job.usage
        if self.throttled_to is None or usage.processors_milli <= self.throttled_to:
            return usage
        return msgspec.structs.replace(usage, processors_milli=self.throttled_to)


class FakeFleet:
    """All upstreams of a run, with sums over samples from which mean usage is computed.

    `failing`
        Upstreams on which each task fails.
    """

    def __init__(self, shapes: list[UpstreamShape], failing: Collection[UpstreamId] = ()) -> None:
        self.upstream_by_id = {s.id: FakeUpstream(s, s.id in failing) for s in shapes}
        self.violations: Counter[str] = Counter()
        self.first_violation = ""
        self.now_us = 0
        self.busy_us = self.overuse_us = 0
        self.samples = 0
        self.allocated_shares = [0.0] * 5
        self.stranded_accelerators = self.waiting_gang_fits = 0.0
        self._totals = [sum(c) for c in zip(*(s.resources.as_tuple() for s in shapes), strict=True)]

    def record_violation(self, kind: str, detail: object) -> None:
        """Records a violation of a scheduling guarantee."""
        self.violations[kind] += 1
        if not self.first_violation:
            self.first_violation = f"{kind} at {self.now_us / SECOND_US:.3f} s: {detail}"

    def allocate(self, attempt: Attempt, resources: Resources) -> None:
        """Sets the allocation of a new or running attempt to ``resources``."""
        upstream, allocated = attempt.upstream, resources.as_tuple()
        for n, amount in enumerate(allocated):
            upstream.allocated[n] += amount - attempt.allocated[n]
        attempt.allocated = allocated
        if upstream.is_overcommitted():
            self.record_violation("overcommit", f"{attempt.id} on {upstream.shape.id}")

    def throttle(self, attempt: Attempt, resources: Resources) -> None:
        """Sets the allocation of a running attempt to ``resources`` and caps its processors."""
        self.allocate(attempt, resources)
        attempt.throttled_to = resources.processors_milli

    def add_usage(self, attempt: Attempt) -> None:
        """Adds the actual usage of a new attempt to that of its upstream."""
        actual_usage = attempt.upstream.actual_usage
        for n, amount in enumerate(attempt.sim_job.usage.as_tuple()):
            actual_usage[n] += amount

    def release(self, attempt: Attempt) -> None:
        """Frees the allocation and the actual usage of an ended attempt."""
        upstream = attempt.upstream
        ran_us = self.now_us - attempt.start_us
        self.busy_us += ran_us
        if upstream.is_overused():
            self.overuse_us += ran_us
        for n, amount in enumerate(attempt.allocated):
            upstream.allocated[n] -= amount
        for n, amount in enumerate(attempt.sim_job.usage.as_tuple()):
            upstream.actual_usage[n] -= amount
        attempt.live = False

    def check(self) -> None:
        """Records a violation for each upstream with allocations above its capacity or below 0."""
        for upstream in self.upstream_by_id.values():
            if upstream.is_overcommitted() or min(upstream.allocated) < 0:
                self.record_violation("overcommit", upstream.shape.id)

    def fits(self, resources: Resources, tasks: int) -> bool:
        """Returns whether all tasks of a gang would fit into the resources unallocated now."""
        amounts, fit_total = resources.as_tuple(), 0
        for upstream in self.upstream_by_id.values():
            fit_total += upstream.fit_count(amounts)
            if fit_total >= tasks:
                return True
        return False

    def sample(self, gangs_waiting: Collection[SimulatedJob]) -> None:
        """Adds the current state to the sums behind the time averages."""
        self.samples += 1
        stranded = accelerators = 0
        allocated = [0] * 5
        processors, memory = SMALLEST_ACCELERATOR_TASK
        for upstream in self.upstream_by_id.values():
            for n, amount in enumerate(upstream.allocated):
                allocated[n] += amount
            if upstream.capacity[2]:
                accelerators += upstream.capacity[2]
                free = upstream.capacity[2] - upstream.allocated[2]
                usable = upstream.fit_count((processors, memory, 1, 1, 1))
                stranded += free - max(0, min(free, usable))
        for n, total in enumerate(self._totals):
            self.allocated_shares[n] += allocated[n] / total if total else 0.0
        self.stranded_accelerators += stranded / accelerators if accelerators else 0.0
        self.waiting_gang_fits += any(
            self.fits(w.job.resources, w.job.tasks) for w in gangs_waiting
        )
