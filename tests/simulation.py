"""Discrete-event simulation of one shard, for tests of waiting times under load."""

import heapq
from collections import defaultdict
from datetime import timedelta
from random import Random
from statistics import mean

from result import Ok

from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Checkpoint, Start, Stop, TaskEnd, Throttle
from hornbeamramp.ids import JobId, PoolName, RackId, RouteName, TeamId, UpstreamId
from hornbeamramp.jobs import BatchJob
from hornbeamramp.resources import Resources
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.states import Band
from hornbeamramp.tables import Pool
from hornbeamramp.upstreams.base import UpstreamShape

MACHINE = Resources(16_000, 65_536, 0, 8, 64)


class Kind:
    """A kind of work: jobs of one route that arrive as a Poisson process.

    `rate`
        Jobs per second, from `start` until `end`.
    `run`
        Declared run time; the actual one is uniform between half and one and a half times of it.
    `kind`
        Class of the jobs.

    Times are in seconds.
    """

    def __init__(
        self,
        name,
        team,
        band,
        rate,
        run,
        resources=Resources(1000, 1024),  # noqa: B008 - frozen
        kind=BatchJob,
        tasks=1,
        idempotent=True,
        start=0.0,
        end=float("inf"),
    ):
        self.name = name
        self.team = team
        self.band = band
        self.rate = rate
        self.run = run
        self.resources = resources
        self.kind = kind
        self.tasks = tasks
        self.idempotent = idempotent
        self.start = start
        self.end = end


class Simulation:
    """Runs kinds of work on a pool of identical upstreams.

    `waits`
        For each job, by kind: time of submission and seconds until its first start.
    `refused`
        Number of refused jobs by kind.
    `preempted`
        Number of preemptions by action: ``Stop``, ``Checkpoint`` or ``Throttle``.
    """

    def __init__(self, kinds, upstreams=20, seed=1, policy="default"):
        self.kinds = kinds
        self.clock = ManualClock()
        self.scheduler = ShardScheduler(Pool(PoolName("p"), policy=policy), self.clock, {})
        for i in range(upstreams):
            shape = UpstreamShape(UpstreamId(f"u{i:03}"), RackId(f"k{i // 4}"), MACHINE)
            self.scheduler.add_upstream(shape)
        self.waits = defaultdict(list)
        self.refused = defaultdict(int)
        self.submitted_at = {}
        self.kind_by_job = {}
        self.ended_by = {}
        self.preempted = defaultdict(int)
        self.events = []
        self.sequence = 0
        self.random_by_kind = {}
        for number, kind in enumerate(kinds):
            self.random_by_kind[kind.name] = Random(seed * 1000 + number)
            self._schedule_arrival(kind, kind.start)

    def run(self, until):
        now = 0.0
        while self.events and self.events[0][0] <= until:
            # Events within a millisecond are handled before the next decision, as an owner does.
            now = self.events[0][0] + 0.001
            self.clock.set(timedelta(seconds=now))
            while self.events and self.events[0][0] <= now:
                _, _, callback, *arguments = heapq.heappop(self.events)
                callback(*arguments)
            for action in self.scheduler.decide(10_000):
                self._apply(action, now)
        return self

    def mean_wait(self, name, since=0.0, until=float("inf")):
        return mean(wait for at, wait in self.waits[name] if since <= at < until)

    def _schedule(self, at, callback, *arguments):
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, callback, *arguments))

    def _schedule_arrival(self, kind, after):
        at = after + self.random_by_kind[kind.name].expovariate(kind.rate)
        if at < kind.end:
            self._schedule(at, self._arrive, kind, at)

    def _arrive(self, kind, at):
        self._schedule_arrival(kind, at)
        self.sequence += 1
        job = kind.kind(
            id=JobId(f"j{self.sequence}"),
            route=RouteName(kind.name),
            pool=PoolName("p"),
            team=TeamId(kind.team),
            band=kind.band,
            tasks=kind.tasks,
            resources=kind.resources,
            declared_run=timedelta(seconds=kind.run),
            idempotent=kind.idempotent,
        )
        if isinstance(self.scheduler.submit(job), Ok):
            self.submitted_at[job.id] = at
            self.kind_by_job[job.id] = kind
        else:
            self.refused[kind.name] += 1

    def _apply(self, action, now):
        if isinstance(action, Start):
            kind = self.kind_by_job[action.job.id]
            submitted = self.submitted_at.pop(action.job.id, None)
            if submitted is not None:
                self.waits[kind.name].append((submitted, now - submitted))
            self.scheduler.started(action.attempt_id)
            run = kind.run * self.random_by_kind[kind.name].uniform(0.5, 1.5)
            self._schedule(now + run, self._end, action.attempt_id, TaskEnd.SUCCEEDED)
        elif isinstance(action, Stop | Checkpoint):
            self.preempted[type(action).__name__] += 1
            stopped = isinstance(action, Stop)
            end = TaskEnd.STOPPED if stopped else TaskEnd.CHECKPOINTED
            self._schedule(now + 0.01, self._end, action.attempt_id, end)
        elif isinstance(action, Throttle):
            self.preempted["Throttle"] += 1
            self._schedule(now + 0.01, self.scheduler.throttled, action.attempt_id)

    def _end(self, attempt_id, end):
        self.scheduler.ended(attempt_id, end, None)


def usual_kinds():
    """Returns kinds of work that together use about 60% of 20 upstreams with 8 slots each."""
    return [
        Kind("ticket", "scale", Band.URGENT, 60.0, 0.3),
        Kind("plate", "gate", Band.URGENT, 20.0, 0.5),
        Kind("quote", "desk", Band.NORMAL, 60.0, 0.2),
        Kind("settlement", "books", Band.NORMAL, 4.0, 5.0, idempotent=False),
        Kind("sort", "yard", Band.BULK, 10.0, 2.0),
        Kind("reconciler", "books", Band.SERVICE, 0.4, 30.0),
    ]
