"""Estimates of run times and sizes of tasks, learned for each route and team.

Declared values are off by up to ten times either way, and usage reports lag behind and cover few
tasks at first. Estimates are therefore medians and upper quantiles over the latest samples, bounded
relative to the declared values.
"""

from collections import deque
from statistics import median

import msgspec

from hornbeamramp.ids import RouteName, TeamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources

__all__ = ["Estimates", "Expectation"]

# Latest samples kept for each route and team.
MAX_SAMPLES = 32
# With fewer samples, the median is blended with the declared value.
MIN_RUN_SAMPLES = 3
# Sizes need more samples than run times: an underestimated size overloads an upstream.
MIN_SIZE_SAMPLES = 8
# Largest factor between an estimate and its declared value. Declared values are off by up to ten
# times; the rest is margin.
MAX_DECLARATION_ERROR = 20.0
PROCESSOR_MARGIN = 1.15
# Larger than for processors: a task short of processors runs slower, one short of memory is killed.
MEMORY_MARGIN = 1.25


class Expectation(msgspec.Struct, frozen=True):
    """Expected run time and size of a task.

    `run`
        Run time in seconds on an upstream of speed 1.0.
    `amount`
        Size in the order of `Resources.as_tuple`. Slots, connections and accelerators are as
        declared.
    `learned`
        Whether ``run`` is based on enough samples to refuse work because of it.
    """

    run: float
    amount: Vector
    learned: bool


class _Samples:
    __slots__ = ("memory", "processors", "run", "run_median", "size")

    def __init__(self) -> None:
        self.run: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.processors: deque[int] = deque(maxlen=MAX_SAMPLES)
        self.memory: deque[int] = deque(maxlen=MAX_SAMPLES)
        self.run_median: float | None = None
        self.size: tuple[float, float] | None = None

    def median_run(self) -> float:
        if self.run_median is None:
            self.run_median = median(self.run)
        return self.run_median

    def upper_size(self) -> tuple[float, float]:
        if self.size is None:
            sorted_processors = sorted(self.processors)
            processors = sorted_processors[(len(sorted_processors) * 9) // 10] * PROCESSOR_MARGIN
            self.size = (processors, max(self.memory) * MEMORY_MARGIN)
        return self.size


class Estimates:
    """Estimates by route and team.

    For a team with too few run times, the run time is estimated from those of all teams on the
    route. Sizes are learned from the team's own samples only; with too few, they are as declared.
    """

    def __init__(self) -> None:
        self._by_team: dict[tuple[RouteName, TeamId], _Samples] = {}
        self._by_route: dict[RouteName, _Samples] = {}
        # Caches the last result, as jobs of a route and team mostly declare the same values.
        self._latest_by_key: dict[
            tuple[RouteName, TeamId], tuple[Resources, float, Expectation]
        ] = {}

    def expect(
        self, route: RouteName, team: TeamId, declared: Resources, declared_run: float
    ) -> Expectation:
        """Returns the expected run time and size of a task.

        `declared_run`
            Declared run time in seconds on an upstream of speed 1.0.
        """
        latest = self._latest_by_key.get((route, team))
        if latest is not None and latest[1] == declared_run and latest[0] == declared:
            return latest[2]
        samples = self._by_team.get((route, team))
        run, learned = self._expect_run(samples, declared_run)
        if not learned:
            run, learned = self._expect_run(self._by_route.get(route), declared_run)
        amount = declared.as_tuple()
        if samples is not None and len(samples.memory) >= MIN_SIZE_SAMPLES:
            processors, memory = samples.upper_size()
            amount = (
                _clamp_to_declared(processors, amount[0]),
                _clamp_to_declared(memory, amount[1]),
                *amount[2:],
            )
        expectation = Expectation(run, amount, learned)
        self._latest_by_key[(route, team)] = (declared, declared_run, expectation)
        return expectation

    def observe_run(self, route: RouteName, team: TeamId, run: float) -> None:
        """Adds the run time of a task that succeeded, in seconds at speed 1.0."""
        for samples in self._samples_to_update(route, team):
            samples.run.append(max(run, 0.0))
            samples.run_median = None

    def observe_usage(self, route: RouteName, team: TeamId, usage: Resources) -> None:
        """Adds the highest measured use of a task."""
        for samples in self._samples_to_update(route, team):
            samples.processors.append(usage.processors_milli)
            samples.memory.append(usage.memory_mib)
            samples.size = None

    def _samples_to_update(self, route: RouteName, team: TeamId) -> tuple[_Samples, _Samples]:
        # Results cached for other teams from the route's samples stay until those teams declare
        # other values or get samples of their own.
        self._latest_by_key.pop((route, team), None)
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
        lowest, highest = declared / MAX_DECLARATION_ERROR, declared * MAX_DECLARATION_ERROR
        observed = min(max(observed, lowest), highest)
        if len(samples.run) >= MIN_RUN_SAMPLES:
            return observed, True
        # One or two samples may be outliers, so take the geometric mean with the declared value.
        return (observed * declared) ** 0.5, False


def _clamp_to_declared(observed: float, declared: int) -> int:
    lowest = max(int(declared / MAX_DECLARATION_ERROR), min(declared, 1))
    highest = int(declared * MAX_DECLARATION_ERROR)
    return min(max(int(observed), lowest), highest)
