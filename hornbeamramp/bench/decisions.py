"""Measures `ShardScheduler` without sockets: decisions a second, latency and memory.

Run ``python -m hornbeamramp.bench.decisions --help``. The pool is kept full: each running task is
ended in a random order, and the scheduler decides what takes its room.
"""

import argparse
import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Sequence
from datetime import timedelta
from random import Random

from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Start, TaskEnd, Throttle
from hornbeamramp.ids import JobId, PoolName, RackId, RouteName, TeamId, UpstreamId
from hornbeamramp.jobs import BatchJob, GangJob, Job, ServiceJob
from hornbeamramp.resources import Resources
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.states import Band
from hornbeamramp.tables import Pool
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["main", "measure"]

SHAPES = [
    (Resources(16_000, 65_536, 0, 8, 64), 1.0),
    (Resources(32_000, 65_536, 0, 8, 64), 1.4),
    (Resources(16_000, 65_536, 0, 8, 64), 0.7),
    (Resources(128_000, 262_144, 8, 8, 64), 1.2),
]
ROUTES = 24
SIZES = [
    Resources(1000, 1024),
    Resources(2000, 4096),
    Resources(4000, 8192),
    Resources(1500, 2048),
    Resources(8000, 16_384, 1),
]


def make_job(number: int, teams: int, random: Random) -> Job:
    """Returns a job of one of the routes, which each have a size, a run time and a band."""
    team = TeamId(f"team{random.randrange(teams)}")
    route = random.randrange(ROUTES)
    random = Random(route)
    choice = route / ROUTES
    kind, band, tasks = BatchJob, Band.NORMAL, 1
    if choice < 0.05:
        kind, tasks = GangJob, 4
    elif choice < 0.1:
        kind, band = ServiceJob, Band.SERVICE
    elif choice < 0.3:
        band = Band.URGENT
    elif choice < 0.6:
        band = Band.BULK
    return kind(
        id=JobId(f"j{number}"),
        route=RouteName(f"route{route}"),
        pool=PoolName("pool"),
        team=team,
        band=band,
        tasks=tasks,
        resources=SIZES[random.randrange(len(SIZES))],
        declared_run=timedelta(seconds=random.choice([0.2, 1.0, 5.0, 30.0])),
    )


def measure(
    upstreams: int, queued: int, teams: int, decisions: int, limit: int, policy: str, seed: int
) -> dict[str, float]:
    """Returns the figures of one run. Latencies are in milliseconds, memory in bytes."""
    random = Random(seed)
    clock = ManualClock()
    scheduler = ShardScheduler(Pool(PoolName("pool"), policy=policy), clock, {}, queue_bound=10**6)
    for i in range(upstreams):
        resources, speed = SHAPES[3 if i % 10 == 9 else i % 3]
        shape = UpstreamShape(UpstreamId(f"u{i}"), RackId(f"rack{i // 4}"), resources, speed)
        scheduler.add_upstream(shape)
    jobs = [make_job(number, teams, random) for number in range(queued)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for job in jobs:
        scheduler.submit(job)
    memory = (tracemalloc.get_traced_memory()[0] - before) / max(queued, 1)
    tracemalloc.stop()
    # A full collection visits every queued job, which takes a tenth of a second and more.
    gc.collect()
    gc.freeze()
    live: list[Start] = []
    latencies: list[float] = []
    started, number, elapsed, spent, submits = 0, queued, 0.0, 0.0, 0.0
    while started < decisions:
        elapsed += 0.002
        clock.set(timedelta(seconds=elapsed))
        at = time.perf_counter()
        actions = scheduler.decide(limit)
        took = time.perf_counter() - at
        latencies.append(took / max(len(actions), 1))
        spent += took
        for action in actions:
            if isinstance(action, Start):
                started += 1
                live.append(action)
            elif not isinstance(action, Throttle):
                continue
        at = time.perf_counter()
        ends = max(len(actions), 1) if len(live) > 6 * upstreams or not actions else 0
        for _ in range(min(ends, len(live))):
            position = random.randrange(len(live))
            live[position], live[-1] = live[-1], live[position]
            scheduler.ended(live.pop().attempt_id, TaskEnd.SUCCEEDED, None)
        spent += time.perf_counter() - at
        fresh = [make_job(number + i, teams, random) for i in range(ends)]
        number += ends
        at = time.perf_counter()
        for job in fresh:
            scheduler.submit(job)
        submits += time.perf_counter() - at
    latencies.sort()
    return {
        "upstreams": upstreams,
        "queued": len(scheduler._queue),
        "running": len(live),
        "decisions_per_second": round(started / spent),
        "with_submits_per_second": round(started / (spent + submits)),
        "p50_ms": round(latencies[len(latencies) // 2] * 1000, 3),
        "p99_ms": round(latencies[len(latencies) * 99 // 100] * 1000, 3),
        "max_ms": round(latencies[-1] * 1000, 3),
        "bytes_per_queued_job": round(memory),
    }


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and prints one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upstreams", type=int, default=800)
    parser.add_argument("--queued", type=int, default=100_000)
    parser.add_argument("--teams", type=int, default=180)
    parser.add_argument("--decisions", type=int, default=20_000)
    parser.add_argument("--limit", type=int, default=1, help="actions for each call of decide")
    parser.add_argument("--policy", default="default")
    parser.add_argument("--seed", type=int, default=1)
    print(json.dumps(measure(**vars(parser.parse_args(arguments)))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
