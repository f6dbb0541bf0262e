"""Runs of the driver with one policy on one shape, singly or two at a time."""

import heapq
from concurrent.futures import ProcessPoolExecutor
from itertools import chain

import msgspec

from hornbeamramp.bench._shapes import SHAPES
from hornbeamramp.bench.driver import Driver
from hornbeamramp.bench.figures import Figure
from hornbeamramp.bench.registry import BASELINES
from hornbeamramp.bench.tally import Observations
from hornbeamramp.bench.workload import (
    EXACT,
    SECOND,
    Misdeclaration,
    fleet,
    flood,
    pool,
    quotas,
    steady,
)
from hornbeamramp.clock import ManualClock
from hornbeamramp.scheduler import ShardScheduler

__all__ = ["POLICIES", "Run", "new_driver", "run", "run_all", "violation_figures"]

POLICIES = ("default", *BASELINES)
"""The placement policy and its baselines."""

MAX_PROCESSES = 2


class Run(msgspec.Struct, frozen=True):
    """One run. Times in seconds of simulated time.

    `warm`, `window`, `drain`
        Jobs that arrive in the window are counted; the run goes on for ``drain`` after it.
    `load`
        Overrides the load of the shape.
    `off`
        Factors by which declarations are off.
    `failing_every`
        Each upstream whose number is divisible by this fails all its tasks; 0 for none.
    `flooder`, `factor`
        Job class that floods during the window, at ``factor`` times the fleet's capacity.
    """

    shape: str
    policy: str
    seed: int
    warm: float
    window: float
    drain: float
    load: float | None = None
    off: tuple[float, float] = EXACT
    failing_every: int = 0
    flooder: str = ""
    factor: float = 0.0


def new_driver(spec: Run) -> Driver:
    """Returns a driver with a new scheduler and no jobs yet."""
    shape = SHAPES[spec.shape]
    clock = ManualClock()
    scheduler = ShardScheduler(pool(shape, spec.policy), clock, quotas(shape))
    upstreams = fleet(shape)
    failing = set()
    if spec.failing_every:
        failing = {u.id for n, u in enumerate(upstreams) if n % spec.failing_every == 0}
    begin = int(spec.warm * SECOND)
    end = begin + int(spec.window * SECOND)
    return Driver(
        scheduler, clock, upstreams, failing=failing, count_from_us=begin, count_to_us=end
    )


def run(spec: Run) -> Observations:
    """Runs ``spec`` and returns what was observed."""
    shape = SHAPES[spec.shape]
    begin = int(spec.warm * SECOND)
    end = begin + int(spec.window * SECOND)
    until = end + int(spec.drain * SECOND)
    streams = [steady(shape, spec.seed, until, spec.load, Misdeclaration(*spec.off))]
    if spec.flooder:
        streams.append(flood(shape, spec.flooder, spec.factor, spec.seed, begin, end))
    return new_driver(spec).run(heapq.merge(*streams, key=lambda work: work.arrival_us), until)


def run_all(specs: list[Run]) -> list[Observations]:
    """Runs all specs, two at a time in processes of their own; results in the order of specs."""
    if len(specs) < 2:
        return [run(spec) for spec in specs]
    with ProcessPoolExecutor(MAX_PROCESSES) as executor:
        return list(executor.map(run, specs))


def violation_figures(
    measurement: str, case: str, policy: str, observed: Observations
) -> list[Figure]:
    """Returns the number of breaches of guarantees, and one figure for each kind seen."""
    total = sum(observed.violations.values())
    rows = chain([("violations", total)], sorted(observed.violations.items()))
    return [
        Figure(measurement, case, name, count, "", policy, "0", count == 0) for name, count in rows
    ]
