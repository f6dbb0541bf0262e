"""Runs the driver with one policy on one shape, alone or in parallel processes."""

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
    SECOND_US,
    Misdeclaration,
    fleet,
    flood,
    pool,
    quotas,
    steady,
)
from hornbeamramp.clock import ManualClock
from hornbeamramp.scheduler import ShardScheduler

__all__ = ["POLICIES", "RunSpec", "new_driver", "run", "run_all", "violation_figures"]

POLICIES = ("default", *BASELINES)
"""The default placement policy and the baselines it is compared with."""

MAX_PROCESSES = 2


class RunSpec(msgspec.Struct, frozen=True):
    """Parameters of one run; times are in seconds of simulated time.

    `warmup_s`, `window_s`, `drain_s`
        Only jobs that arrive in the window are counted; the run continues for ``drain_s`` after it.
    `load`
        Overrides the load of the shape.
    `misdeclaration`
        Lowest and highest factor by which declarations differ from the actual values.
    `failing_every`
        All tasks fail on each upstream whose number is divisible by this; 0 for none.
    `flood_class`, `factor`
        Job class submitted in excess during the window, at ``factor`` times the fleet's capacity;
        an empty class for no flood.
    """

    shape: str
    policy: str
    seed: int
    warmup_s: float
    window_s: float
    drain_s: float
    load: float | None = None
    misdeclaration: tuple[float, float] = EXACT
    failing_every: int = 0
    flood_class: str = ""
    factor: float = 0.0


def new_driver(spec: RunSpec) -> Driver:
    """Returns a driver with a new scheduler and no jobs."""
    shape = SHAPES[spec.shape]
    clock = ManualClock()
    scheduler = ShardScheduler(pool(shape, spec.policy), clock, quotas(shape))
    upstreams = fleet(shape)
    failing = set()
    if spec.failing_every:
        failing = {u.id for n, u in enumerate(upstreams) if n % spec.failing_every == 0}
    window_start_us = int(spec.warmup_s * SECOND_US)
    window_end_us = window_start_us + int(spec.window_s * SECOND_US)
    return Driver(
        scheduler,
        clock,
        upstreams,
        failing=failing,
        count_from_us=window_start_us,
        count_to_us=window_end_us,
    )


def run(spec: RunSpec) -> Observations:
    """Runs ``spec`` and returns its observations."""
    shape = SHAPES[spec.shape]
    window_start_us = int(spec.warmup_s * SECOND_US)
    window_end_us = window_start_us + int(spec.window_s * SECOND_US)
    until_us = window_end_us + int(spec.drain_s * SECOND_US)
    streams = [steady(shape, spec.seed, until_us, spec.load, Misdeclaration(*spec.misdeclaration))]
    if spec.flood_class:
        streams.append(
            flood(shape, spec.flood_class, spec.factor, spec.seed, window_start_us, window_end_us)
        )
    return new_driver(spec).run(
        heapq.merge(*streams, key=lambda sim_job: sim_job.arrival_us), until_us
    )


def run_all(specs: list[RunSpec]) -> list[Observations]:
    """Runs all specs, up to two at a time in child processes; results keep the order of specs."""
    if len(specs) < 2:
        return [run(spec) for spec in specs]
    with ProcessPoolExecutor(MAX_PROCESSES) as executor:
        return list(executor.map(run, specs))


def violation_figures(
    measurement: str, case: str, policy: str, observed: Observations
) -> list[Figure]:
    """Returns the total number of guarantee violations and one figure per kind that occurred."""
    total = sum(observed.violations.values())
    rows = chain([("violations", total)], sorted(observed.violations.items()))
    return [
        Figure(measurement, case, name, count, "", policy, "0", count == 0) for name, count in rows
    ]
