"""Fake upstreams that keep their own account of what they hold.

The account is independent of the scheduler's ledger; each breach of a guarantee is recorded.
"""

from collections import Counter
from collections.abc import Collection

import msgspec

from hornbeamramp.bench.workload import SECOND, Work
from hornbeamramp.ids import AttemptId, UpstreamId
from hornbeamramp.resources import Resources
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["Attempt", "FakeFleet", "FakeUpstream"]

SMALLEST_ACCELERATOR_TASK = (4000, 4096)
"""Processors (milli) and memory (MiB) of the smallest accelerator task of the job mixes."""


class FakeUpstream:
    """What an upstream has, what it holds and what its tasks actually use."""

    __slots__ = ("actual", "capacity", "failing", "held", "shape")

    def __init__(self, shape: UpstreamShape, failing: bool) -> None:
        self.shape = shape
        self.capacity = shape.resources.as_tuple()
        self.held = [0] * len(self.capacity)
        self.actual = [0] * len(self.capacity)
        self.failing = failing

    def is_overcommitted(self) -> bool:
        """Tells whether more is allocated than the machine has."""
        return any(h > c for h, c in zip(self.held, self.capacity, strict=True))

    def is_overused(self) -> bool:
        """Tells whether the tasks actually use more processors or memory than there are."""
        return any(a > c for a, c in zip(self.actual[:2], self.capacity[:2], strict=True))

    def room_for(self, amounts: tuple[int, ...]) -> int:
        """Returns how many tasks of this size fit into what is not allocated."""
        return min(
            (c - h) // a for c, h, a in zip(self.capacity, self.held, amounts, strict=True) if a
        )


class Attempt:
    """A running task. ``version`` tells the valid end event from superseded ones."""

    __slots__ = (
        "end_us",
        "held",
        "id",
        "live",
        "start_us",
        "stopping",
        "task",
        "throttled_to",
        "upstream",
        "version",
        "work",
    )

    def __init__(
        self, attempt_id: AttemptId, work: Work, task: int, upstream: FakeUpstream, start_us: int
    ) -> None:
        self.id = attempt_id
        self.work = work
        self.task = task
        self.upstream = upstream
        self.held: tuple[int, ...] = (0,) * 5
        self.start_us = start_us
        self.end_us: int | None = None
        self.version = 0
        self.live = True
        self.stopping = False
        self.throttled_to: int | None = None

    def usage(self) -> Resources:
        """Returns what the task actually uses, at most what a throttle leaves it."""
        usage = self.work.usage
        if self.throttled_to is None or usage.processors_milli <= self.throttled_to:
            return usage
        return msgspec.structs.replace(usage, processors_milli=self.throttled_to)


class FakeFleet:
    """All upstreams of a run, with time averages of their use.

    `failing`
        Upstreams that fail each task.
    """

    def __init__(self, shapes: list[UpstreamShape], failing: Collection[UpstreamId] = ()) -> None:
        self.upstream_by_id = {s.id: FakeUpstream(s, s.id in failing) for s in shapes}
        self.violations: Counter[str] = Counter()
        self.first_violation = ""
        self.now_us = 0
        self.busy_us = self.overuse_us = 0
        self.samples = 0
        self.used = [0.0] * 5
        self.stranded_accelerators = self.idle_gang_room = 0.0
        self._totals = [sum(c) for c in zip(*(s.resources.as_tuple() for s in shapes), strict=True)]

    def violate(self, kind: str, detail: object) -> None:
        """Records a breach of a guarantee."""
        self.violations[kind] += 1
        if not self.first_violation:
            self.first_violation = f"{kind} at {self.now_us / SECOND:.3f} s: {detail}"

    def hold(self, attempt: Attempt, resources: Resources) -> None:
        """Allocates ``resources`` to a new attempt, or changes what a running one holds."""
        upstream, held = attempt.upstream, resources.as_tuple()
        for n, amount in enumerate(held):
            upstream.held[n] += amount - attempt.held[n]
        attempt.held = held
        if upstream.is_overcommitted():
            self.violate("overcommit", f"{attempt.id} on {upstream.shape.id}")

    def throttle(self, attempt: Attempt, resources: Resources) -> None:
        """Limits a running attempt to ``resources``."""
        self.hold(attempt, resources)
        attempt.throttled_to = resources.processors_milli

    def begin(self, attempt: Attempt) -> None:
        """Counts the actual use of a new attempt."""
        actual = attempt.upstream.actual
        for n, amount in enumerate(attempt.work.usage.as_tuple()):
            actual[n] += amount

    def release(self, attempt: Attempt) -> None:
        """Frees what an ended attempt held and used."""
        upstream = attempt.upstream
        ran_us = self.now_us - attempt.start_us
        self.busy_us += ran_us
        if upstream.is_overused():
            self.overuse_us += ran_us
        for n, amount in enumerate(attempt.held):
            upstream.held[n] -= amount
        for n, amount in enumerate(attempt.work.usage.as_tuple()):
            upstream.actual[n] -= amount
        attempt.live = False

    def check(self) -> None:
        """Records a violation for each upstream that holds more than it has or less than 0."""
        for upstream in self.upstream_by_id.values():
            if upstream.is_overcommitted() or min(upstream.held) < 0:
                self.violate("overcommit", upstream.shape.id)

    def fits(self, resources: Resources, tasks: int) -> bool:
        """Tells whether all tasks of a gang would fit into what is not allocated now."""
        amounts, room = resources.as_tuple(), 0
        for upstream in self.upstream_by_id.values():
            room += upstream.room_for(amounts)
            if room >= tasks:
                return True
        return False

    def sample(self, gangs_waiting: Collection[Work]) -> None:
        """Adds the state of this moment to the time averages."""
        self.samples += 1
        stranded = accelerators = 0
        held = [0] * 5
        processors, memory = SMALLEST_ACCELERATOR_TASK
        for upstream in self.upstream_by_id.values():
            for n, amount in enumerate(upstream.held):
                held[n] += amount
            if upstream.capacity[2]:
                accelerators += upstream.capacity[2]
                free = upstream.capacity[2] - upstream.held[2]
                usable = upstream.room_for((processors, memory, 1, 1, 1))
                stranded += free - max(0, min(free, usable))
        for n, total in enumerate(self._totals):
            self.used[n] += held[n] / total if total else 0.0
        self.stranded_accelerators += stranded / accelerators if accelerators else 0.0
        self.idle_gang_room += any(self.fits(w.job.resources, w.job.tasks) for w in gangs_waiting)
