"""Fleets and streams of jobs generated from the tables in `_shapes`.

Each stream has a random generator of its own, seeded with its name, so that adding a flood leaves
the arrivals of all other kinds unchanged. Times are integer microseconds from the start of a run.
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
    "SECOND",
    "Misdeclaration",
    "Work",
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

SECOND = 1_000_000
POOL = PoolName("cell")
DATA_CENTRE = DataCentreId("dc1")
_JOB_TYPES = {JobKind.BATCH: BatchJob, JobKind.SERVICE: ServiceJob, JobKind.GANG: GangJob}


class Misdeclaration(NamedTuple):
    """Range of the factors by which declared sizes and run times differ from the actual ones."""

    lowest: float = 1.0
    highest: float = 1.0


EXACT = Misdeclaration()


class Work:
    """A job with what the scheduler is not told: actual run times and actual use per task.

    `runs_us`
        Run time left of each task on an upstream of speed 1.0, in microseconds.
    `usage`
        What each task actually uses.
    `lifetime_us`
        For services, time from submission until the caller cancels; otherwise 0.
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
            UpstreamId(f"{row.name}-{n:03d}"),
            RackId(f"{row.name}-rack-{n // row.per_rack:03d}"),
            Resources(
                row.processors * 1000, row.memory_mib, row.accelerators, row.slots, row.connections
            ),
            SPEEDS[n % len(SPEEDS)],
        )
        for row in shape.workers
        for n in range(row.count)
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
    """Returns the pool row of a shape with the named placement policy."""
    upstreams = [PoolUpstream(u.id, DATA_CENTRE, "127.0.0.1:0") for u in fleet(shape)]
    return Pool(POOL, upstreams, quotas(shape), policy=policy)


def resources_of(job_class: JobClass) -> Resources:
    return Resources(job_class.processors_milli, job_class.memory_mib, job_class.accelerators)


def saturation_rate(shape: CellShape, mix: dict[str, float], reserved: float = 0.0) -> float:
    """Returns the task starts per second at which the fleet's scarcest resource is used up.

    Treats each resource as divisible over the whole fleet, so it is an upper bound. ``reserved``
    is the share of the fleet that services take.
    """
    totals = fleet_capacity(fleet(shape))
    weight = sum(mix.values())
    demand = [0.0] * len(totals)
    for name, share in mix.items():
        row = JOB_CLASSES[name]
        for n, amount in enumerate(resources_of(row).as_tuple()):
            demand[n] += share / weight * amount * row.run_ms / 1000
    return min(
        total * (1 - reserved) / need for total, need in zip(totals, demand, strict=True) if need
    )


def class_rates(shape: CellShape, load: float | None = None) -> dict[str, float]:
    """Returns task starts per second by job class, services excluded.

    ``load`` overrides the load of the shape.
    """
    weight = sum(shape.mix.values())
    total = shape.starts_per_second
    if load is not None or not total:
        reserved = sum(shape.services.values())
        total = saturation_rate(shape, shape.mix, reserved) * (load or shape.load)
    return {name: total * share / weight for name, share in shape.mix.items()}


def service_counts(shape: CellShape) -> dict[str, int]:
    """Returns the number of standing tasks by job class."""
    slots = fleet_capacity(fleet(shape))[3]
    return {name: round(slots * share) for name, share in shape.services.items()}


class _Maker:
    """Makes the jobs of one stream."""

    def __init__(
        self, shape: CellShape, job_class: JobClass, stream: str, seed: int, off: Misdeclaration
    ) -> None:
        self.random = random.Random(f"{seed}/{shape.name}/{job_class.name}/{stream}")
        self._class = job_class
        self._off = off
        self._stream = stream
        self._teams = team_names(shape)
        # Teams differ in activity as 1/sqrt(rank); at 180 teams the busiest has 4% of the jobs.
        self._team_weights = list(accumulate((n + 1) ** -0.5 for n in range(shape.teams)))
        self._mu = math.log(job_class.run_ms * 1000) - job_class.sigma**2 / 2
        self._usage = resources_of(job_class)
        self._ceiling = Resources(
            min(w.processors for w in shape.workers) * 1000,
            min(w.memory_mib for w in shape.workers),
        )
        self._count = 0

    def make(self, arrival_us: int) -> Work:
        row, rng = self._class, self.random
        runs = [max(1000, int(rng.lognormvariate(self._mu, row.sigma))) for _ in range(row.tasks)]
        team = rng.choices(self._teams, cum_weights=self._team_weights)[0]
        declared, declared_ms = self._usage, float(row.run_ms)
        if self._off != (1.0, 1.0):
            declared, declared_ms = self._misdeclare()
        lifetime = runs[0] if row.kind is JobKind.SERVICE else 0
        job = _JOB_TYPES[row.kind](
            id=JobId(f"{row.name}-{self._stream}-{self._count}"),
            route=RouteName(row.name),
            pool=POOL,
            team=team,
            band=row.band,
            tasks=row.tasks,
            resources=declared,
            deadline=timedelta(milliseconds=row.deadline_ms) if row.deadline_ms else None,
            declared_run=timedelta(milliseconds=declared_ms),
            idempotent=row.idempotent,
        )
        self._count += 1
        flooding = self._stream == "flood"
        return Work(arrival_us, job, row, runs, self._usage, lifetime, flooding)

    def _misdeclare(self) -> tuple[Resources, float]:
        low, high = math.log(self._off.lowest), math.log(self._off.highest)
        size = math.exp(self.random.uniform(low, high))
        run = math.exp(self.random.uniform(low, high))
        # A declaration above the smallest worker would test the refusal of infeasible jobs.
        declared = Resources(
            max(1, min(int(self._usage.processors_milli * size), self._ceiling.processors_milli)),
            max(1, min(int(self._usage.memory_mib * size), self._ceiling.memory_mib)),
            self._usage.accelerators,
        )
        return declared, self._class.run_ms * run


def _poisson(maker: _Maker, jobs_per_second: float, start_us: int, end_us: int) -> Iterator[Work]:
    at = float(start_us)
    while True:
        at += maker.random.expovariate(jobs_per_second) * SECOND
        if at >= end_us:
            return
        yield maker.make(int(at))


def _standing(maker: _Maker, count: int, run_ms: int, end_us: int) -> Iterator[Work]:
    for n in range(count):
        yield maker.make(n * SECOND // max(count, 1))
    # Replaces cancelled services, which keeps their number about constant.
    yield from _poisson(maker, count / (run_ms / 1000), SECOND, end_us)


def steady(
    shape: CellShape,
    seed: int,
    end_us: int,
    load: float | None = None,
    off: Misdeclaration = EXACT,
) -> Iterator[Work]:
    """Yields the shape's normal jobs up to ``end_us``, in order of arrival."""
    streams = []
    for name, rate in class_rates(shape, load).items():
        row = JOB_CLASSES[name]
        maker = _Maker(shape, row, "steady", seed, off)
        streams.append(_poisson(maker, rate / row.tasks, 0, end_us))
    for name, count in service_counts(shape).items():
        row = JOB_CLASSES[name]
        maker = _Maker(shape, row, "steady", seed, off)
        streams.append(_standing(maker, count, row.run_ms, end_us))
    return heapq.merge(*streams, key=lambda work: work.arrival_us)


def flood(
    shape: CellShape, name: str, factor: float, seed: int, start_us: int, end_us: int
) -> Iterator[Work]:
    """Yields jobs of class ``name`` at ``factor`` times what the whole fleet could complete."""
    maker = _Maker(shape, JOB_CLASSES[name], "flood", seed, EXACT)
    return _poisson(maker, flood_rate(shape, name, factor), start_us, end_us)


def flood_rate(shape: CellShape, name: str, factor: float) -> float:
    """Returns the jobs per second of a flood of class ``name``.

    Services never complete; their rate is ``factor`` times the fleet's room for them per minute.
    """
    row = JOB_CLASSES[name]
    if row.kind is JobKind.SERVICE:
        totals = fleet_capacity(fleet(shape))
        amounts = resources_of(row).as_tuple()
        return factor * min(t / a for t, a in zip(totals, amounts, strict=True) if a) / 60
    return factor * saturation_rate(shape, {name: 1.0}) / row.tasks
