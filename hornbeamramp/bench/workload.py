"""Fleets and streams of jobs generated from the tables in `_shapes`.

Each stream has its own random generator, seeded with the stream's name, so that adding a flood
does not change the arrivals of other job classes. Times are integer microseconds from the start of
a run.
"""

import heapq
import math
import random
from collections.abc import Iterator
from datetime import timedelta
from itertools import accumulate
from typing import NamedTuple

from hornbeamramp.bench._shapes import JOB_CLASSES, SPEEDS, CellShape, JobClass
from hornbeamramp.ids import DataCentreId, JobId, PoolName, RackId, RouteName, TeamId, UpstreamId
from hornbeamramp.jobs import BatchJob, GangJob, Job, ServiceJob
from hornbeamramp.resources import Resources
from hornbeamramp.states import JobKind
from hornbeamramp.tables import Pool, PoolUpstream, Quota
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = [
    "POOL",
    "SECOND_US",
    "Misdeclaration",
    "SimulatedJob",
    "class_rates",
    "flood",
    "flood_rate",
    "fleet",
    "fleet_capacity",
    "pool",
    "quotas",
    "service_counts",
    "steady",
]

SECOND_US = 1_000_000
POOL = PoolName("cell")
DATA_CENTRE = DataCentreId("dc1")
_JOB_TYPES = {JobKind.BATCH: BatchJob, JobKind.SERVICE: ServiceJob, JobKind.GANG: GangJob}


class Misdeclaration(NamedTuple):
    """Range of the factors by which declared sizes and run times differ from the actual ones."""

    lowest: float = 1.0
    highest: float = 1.0


EXACT = Misdeclaration()


class SimulatedJob:
    """A job with its actual run times and usage, which the scheduler does not see.

    `runs_us`
        Remaining run time of each task on an upstream of speed 1.0, in microseconds.
    `usage`
        Actual resource usage of each task.
    `lifetime_us`
        For services, time from submission until the caller cancels; otherwise 0.
    `flooding`
        Whether the job belongs to a flood.
    """

    __slots__ = ("arrival_us", "flooding", "job", "job_class", "lifetime_us", "runs_us", "usage")

    def __init__(
        self,
        arrival_us: int,
        job: Job,
        job_class: JobClass,
        runs_us: list[int],
        usage: Resources,
        lifetime_us: int,
        flooding: bool,
    ) -> None:
        self.arrival_us = arrival_us
        self.job = job
        self.job_class = job_class
        self.runs_us = runs_us
        self.usage = usage
        self.lifetime_us = lifetime_us
        self.flooding = flooding


def fleet(shape: CellShape) -> list[UpstreamShape]:
    """Returns the upstreams of a shape."""
    return [
        UpstreamShape(
            UpstreamId(f"{worker_class.name}-{n:03d}"),
            RackId(f"{worker_class.name}-rack-{n // worker_class.per_rack:03d}"),
            Resources(
                worker_class.processors * 1000,
                worker_class.memory_mib,
                worker_class.accelerators,
                worker_class.slots,
                worker_class.connections,
            ),
            SPEEDS[n % len(SPEEDS)],
        )
        for worker_class in shape.workers
        for n in range(worker_class.count)
    ]


def fleet_capacity(upstreams: list[UpstreamShape]) -> list[int]:
    """Returns the fleet's total of each resource, in the order of `Resources.as_tuple`."""
    return [
        sum(column) for column in zip(*(u.resources.as_tuple() for u in upstreams), strict=True)
    ]


def team_names(shape: CellShape) -> list[TeamId]:
    return [TeamId(f"team-{n:03d}") for n in range(shape.teams)]


def quotas(shape: CellShape) -> dict[TeamId, Quota]:
    """Returns quotas with weights 1, 2 and 4 in turn and the shape's limit."""
    totals = fleet_capacity(fleet(shape))
    limit = Resources(*(math.ceil(total * shape.limit_share) for total in totals))
    return {team: Quota((1.0, 2.0, 4.0)[n % 3], limit) for n, team in enumerate(team_names(shape))}


def pool(shape: CellShape, policy: str) -> Pool:
    """Returns the pool of a shape with the named placement policy."""
    upstreams = [PoolUpstream(u.id, DATA_CENTRE, "127.0.0.1:0") for u in fleet(shape)]
    return Pool(POOL, upstreams, quotas(shape), policy=policy)


def resources_of(job_class: JobClass) -> Resources:
    return Resources(job_class.processors_milli, job_class.memory_mib, job_class.accelerators)


def saturation_rate(shape: CellShape, mix: dict[str, float], service_share: float = 0.0) -> float:
    """Returns the task starts per second at which the fleet's scarcest resource is exhausted.

    Treats each resource as divisible over the whole fleet, so it is an upper bound.
    ``service_share`` is the share of the fleet that services occupy.
    """
    totals = fleet_capacity(fleet(shape))
    weight = sum(mix.values())
    demand = [0.0] * len(totals)
    for name, share in mix.items():
        job_class = JOB_CLASSES[name]
        for n, amount in enumerate(resources_of(job_class).as_tuple()):
            demand[n] += share / weight * amount * job_class.run_ms / 1000
    return min(
        total * (1 - service_share) / required
        for total, required in zip(totals, demand, strict=True)
        if required
    )


def class_rates(shape: CellShape, load: float | None = None) -> dict[str, float]:
    """Returns task starts per second by job class, services excluded.

    ``load`` overrides the load of the shape.
    """
    weight = sum(shape.mix.values())
    total = shape.starts_per_second
    if load is not None or not total:
        service_share = sum(shape.services.values())
        total = saturation_rate(shape, shape.mix, service_share) * (load or shape.load)
    return {name: total * share / weight for name, share in shape.mix.items()}


def service_counts(shape: CellShape) -> dict[str, int]:
    """Returns the number of running service tasks by job class."""
    slots = fleet_capacity(fleet(shape))[3]
    return {name: round(slots * share) for name, share in shape.services.items()}


class _JobGenerator:
    """Generates the jobs of one stream."""

    def __init__(
        self,
        shape: CellShape,
        job_class: JobClass,
        stream: str,
        seed: int,
        misdeclaration: Misdeclaration,
    ) -> None:
        self.random = random.Random(f"{seed}/{shape.name}/{job_class.name}/{stream}")
        self._class = job_class
        self._misdeclaration = misdeclaration
        self._stream = stream
        self._teams = team_names(shape)
        # A team's share of the jobs is proportional to 1/sqrt(rank); of 180 teams, the busiest
        # submits 4%.
        self._team_weights = list(accumulate((n + 1) ** -0.5 for n in range(shape.teams)))
        self._mu = math.log(job_class.run_ms * 1000) - job_class.sigma**2 / 2
        self._usage = resources_of(job_class)
        self._max_declared = Resources(
            min(w.processors for w in shape.workers) * 1000,
            min(w.memory_mib for w in shape.workers),
        )
        self._count = 0

    def generate(self, arrival_us: int) -> SimulatedJob:
        job_class, rng = self._class, self.random
        runs_us = [
            max(1000, int(rng.lognormvariate(self._mu, job_class.sigma)))
            for _ in range(job_class.tasks)
        ]
        team = rng.choices(self._teams, cum_weights=self._team_weights)[0]
        declared, declared_ms = self._usage, float(job_class.run_ms)
        if self._misdeclaration != (1.0, 1.0):
            declared, declared_ms = self._misdeclare()
        lifetime_us = runs_us[0] if job_class.kind is JobKind.SERVICE else 0
        job = _JOB_TYPES[job_class.kind](
            id=JobId(f"{job_class.name}-{self._stream}-{self._count}"),
            route=RouteName(job_class.name),
            pool=POOL,
            team=team,
            band=job_class.band,
            tasks=job_class.tasks,
            resources=declared,
            deadline=(
                timedelta(milliseconds=job_class.deadline_ms) if job_class.deadline_ms else None
            ),
            declared_run=timedelta(milliseconds=declared_ms),
            idempotent=job_class.idempotent,
        )
        self._count += 1
        flooding = self._stream == "flood"
        return SimulatedJob(arrival_us, job, job_class, runs_us, self._usage, lifetime_us, flooding)

    def _misdeclare(self) -> tuple[Resources, float]:
        low, high = math.log(self._misdeclaration.lowest), math.log(self._misdeclaration.highest)
        size_factor = math.exp(self.random.uniform(low, high))
        run_factor = math.exp(self.random.uniform(low, high))
        # Capped at the smallest worker: admission would refuse a larger job as infeasible, and
        # refusals of infeasible jobs are not what the runs measure.
        declared = Resources(
            max(
                1,
                min(
                    int(self._usage.processors_milli * size_factor),
                    self._max_declared.processors_milli,
                ),
            ),
            max(1, min(int(self._usage.memory_mib * size_factor), self._max_declared.memory_mib)),
            self._usage.accelerators,
        )
        return declared, self._class.run_ms * run_factor


def _poisson_arrivals(
    generator: _JobGenerator, jobs_per_second: float, start_us: int, end_us: int
) -> Iterator[SimulatedJob]:
    at_us = float(start_us)
    while True:
        at_us += generator.random.expovariate(jobs_per_second) * SECOND_US
        if at_us >= end_us:
            return
        yield generator.generate(int(at_us))


def _service_arrivals(
    generator: _JobGenerator, count: int, run_ms: int, end_us: int
) -> Iterator[SimulatedJob]:
    for n in range(count):
        yield generator.generate(n * SECOND_US // max(count, 1))
    # Arrivals replace cancelled services, which keeps their number about constant.
    yield from _poisson_arrivals(generator, count / (run_ms / 1000), SECOND_US, end_us)


def steady(
    shape: CellShape,
    seed: int,
    end_us: int,
    load: float | None = None,
    misdeclaration: Misdeclaration = EXACT,
) -> Iterator[SimulatedJob]:
    """Yields the shape's jobs without any flood up to ``end_us``, in order of arrival."""
    streams = []
    for name, rate in class_rates(shape, load).items():
        job_class = JOB_CLASSES[name]
        generator = _JobGenerator(shape, job_class, "steady", seed, misdeclaration)
        streams.append(_poisson_arrivals(generator, rate / job_class.tasks, 0, end_us))
    for name, count in service_counts(shape).items():
        job_class = JOB_CLASSES[name]
        generator = _JobGenerator(shape, job_class, "steady", seed, misdeclaration)
        streams.append(_service_arrivals(generator, count, job_class.run_ms, end_us))
    return heapq.merge(*streams, key=lambda sim_job: sim_job.arrival_us)


def flood(
    shape: CellShape, name: str, factor: float, seed: int, start_us: int, end_us: int
) -> Iterator[SimulatedJob]:
    """Yields jobs of class ``name`` at ``factor`` times the rate the whole fleet can complete."""
    generator = _JobGenerator(shape, JOB_CLASSES[name], "flood", seed, EXACT)
    return _poisson_arrivals(generator, flood_rate(shape, name, factor), start_us, end_us)


def flood_rate(shape: CellShape, name: str, factor: float) -> float:
    """Returns the jobs per second of a flood of class ``name``.

    Services never complete; their rate per minute is ``factor`` times the number of them that fit
    the fleet.
    """
    job_class = JOB_CLASSES[name]
    if job_class.kind is JobKind.SERVICE:
        totals = fleet_capacity(fleet(shape))
        amounts = resources_of(job_class).as_tuple()
        return factor * min(t / a for t, a in zip(totals, amounts, strict=True) if a) / 60
    return factor * saturation_rate(shape, {name: 1.0}) / job_class.tasks
