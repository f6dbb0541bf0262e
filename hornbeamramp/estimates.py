"""Run times and sizes of tasks, learned for each route and team.

Declared values are off by up to ten times either way, and usage reports lag behind and cover few
tasks at first. Estimates are therefore medians and upper quantiles over the latest samples, bounded
by what was declared.
"""

from collections import deque
from statistics import median

import msgspec

from hornbeamramp.ids import RouteName, TeamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources

__all__ = ["Estimates", "Expectation"]

SAMPLES = 32
# Fewer samples are blended with the declared value.
ENOUGH_SAMPLES = 3
# Sizes need more samples than run times: too small a size overloads a machine.
ENOUGH_SIZES = 8
# Declared values are off by up to ten times; the rest is margin.
LARGEST_ERROR = 20.0
SIZE_MARGIN = 1.15
# A processor that is short slows a task down, memory that is short ends it.
MEMORY_MARGIN = 1.25


class Expectation(msgspec.Struct, frozen=True):
    """What a task is expected to take.

    `run`
        Run time in seconds on an upstream of speed 1.0.
    `amount`
        Size in the order of `Resources.as_tuple`. Slots, connections and accelerators are those
        declared.
    `learned`
        Whether ``run`` rests on enough samples to refuse work because of it.
    """

    run: float
    amount: Vector
    learned: bool


class _Samples:
    __slots__ = ("memory", "processors", "run", "run_median", "size")

    def __init__(self) -> None:
        self.run: deque[float] = deque(maxlen=SAMPLES)
        self.processors: deque[int] = deque(maxlen=SAMPLES)
        self.memory: deque[int] = deque(maxlen=SAMPLES)
        self.run_median: float | None = None
        self.size: tuple[float, float] | None = None

    def median_run(self) -> float:
        if self.run_median is None:
            self.run_median = median(self.run)
        return self.run_median

    def upper_size(self) -> tuple[float, float]:
        if self.size is None:
            ordered = sorted(self.processors)
            processors = ordered[(len(ordered) * 9) // 10] * SIZE_MARGIN
            self.size = (processors, max(self.memory) * MEMORY_MARGIN)
        return self.size


class Estimates:
    """Estimates by route and team. A team without samples gets those of its route."""

    def __init__(self) -> None:
        self._by_team: dict[tuple[RouteName, TeamId], _Samples] = {}
        self._by_route: dict[RouteName, _Samples] = {}
        # Jobs of a route and team mostly declare the same, so the last answer is kept.
        self._latest: dict[tuple[RouteName, TeamId], tuple[Resources, float, Expectation]] = {}

    def expect(
        self, route: RouteName, team: TeamId, declared: Resources, declared_run: float
    ) -> Expectation:
        """Returns the expected run time and size of a task.

        `declared_run`
            Declared run time in seconds on an upstream of speed 1.0.
        """
        latest = self._latest.get((route, team))
        if latest is not None and latest[1] == declared_run and latest[0] == declared:
            return latest[2]
        samples = self._by_team.get((route, team))
        run, learned = self._expect_run(samples, declared_run)
        if not learned:
            run, learned = self._expect_run(self._by_route.get(route), declared_run)
        amount = declared.as_tuple()
        if samples is not None and len(samples.memory) >= ENOUGH_SIZES:
            processors, memory = samples.upper_size()
            amount = (_bounded(processors, amount[0]), _bounded(memory, amount[1]), *amount[2:])
        expectation = Expectation(run, amount, learned)
        self._latest[(route, team)] = (declared, declared_run, expectation)
        return expectation

    def observe_run(self, route: RouteName, team: TeamId, run: float) -> None:
        """Notes the run time of a task that succeeded, in seconds at speed 1.0."""
        for samples in self._samples(route, team):
            samples.run.append(max(run, 0.0))
            samples.run_median = None

    def observe_usage(self, route: RouteName, team: TeamId, usage: Resources) -> None:
        """Notes the highest measured use of a task."""
        for samples in self._samples(route, team):
            samples.processors.append(usage.processors_milli)
            samples.memory.append(usage.memory_mib)
            samples.size = None

    def _samples(self, route: RouteName, team: TeamId) -> tuple[_Samples, _Samples]:
        # The answers of other teams that rest on the route's samples are kept until they
        # declare something else or get samples of their own.
        self._latest.pop((route, team), None)
        by_team = self._by_team.get((route, team))
        if by_team is None:
            by_team = self._by_team[(route, team)] = _Samples()
        by_route = self._by_route.get(route)
        if by_route is None:
            by_route = self._by_route[route] = _Samples()
        return by_team, by_route

    @staticmethod
    def _expect_run(samples: _Samples | None, declared: float) -> tuple[float, bool]:
        if samples is None or not samples.run:
            return declared, False
        observed = samples.median_run()
        lowest, highest = declared / LARGEST_ERROR, declared * LARGEST_ERROR
        observed = min(max(observed, lowest), highest)
        if len(samples.run) >= ENOUGH_SAMPLES:
            return observed, True
        # One or two samples may be outliers: take the geometric mean with the declared value.
        return (observed * declared) ** 0.5, False


def _bounded(observed: float, declared: int) -> int:
    lowest = max(int(declared / LARGEST_ERROR), min(declared, 1))
    highest = int(declared * LARGEST_ERROR)
    return min(max(int(observed), lowest), highest)
