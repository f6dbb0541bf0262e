"""Whether preferring upstreams that recently ran the same route would pay.

`ShardScheduler` has no such option. This is a stand-alone greedy model, not a measurement of the
scheduler: workers with slots, one queue served in order, Poisson arrivals over routes, and a cold
start when a worker's cache of recently run routes does not hold the task's route. One placement
takes the least loaded worker; the other takes the least loaded among the warm ones with a free
slot, and else the least loaded of all.
"""

import heapq
import random
from collections import OrderedDict, deque

import msgspec

from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.tally import percentile

__all__ = ["Model", "measure", "simulate"]


class Model(msgspec.Struct, frozen=True):
    """Parameters of the model; times in milliseconds.

    `cached`
        Routes a worker keeps warm, the least recently run is dropped first.
    `load`
        Offered load without cold starts.
    """

    workers: int = 20
    slots: int = 8
    routes: int = 12
    cached: int = 4
    run_ms: float = 1200.0
    load: float = 0.7
    cold_ms: float = 0.0
    arrivals: int = 40_000


class Outcome(msgspec.Struct):
    """Waits in milliseconds, share of cold starts and tasks completed per second."""

    waits: list[float]
    cold: float
    rate: float


def simulate(model: Model, warm_first: bool, seed: int) -> Outcome:
    """Runs the model; ``warm_first`` is whether placement prefers warm workers."""
    rng = random.Random(f"{seed}/affinity")
    free = [model.slots] * model.workers
    warm: list[OrderedDict[int, None]] = [OrderedDict() for _ in free]
    queue: deque[tuple[float, int, float]] = deque()
    ends: list[tuple[float, int]] = []
    waits: list[float] = []
    cold = 0
    gap = model.run_ms / (model.load * model.workers * model.slots)
    weights = [1 / (n + 1) for n in range(model.routes)]
    now = 0.0

    def place(arrived: float, route: int, run: float) -> bool:
        nonlocal cold
        order = max(range(model.workers), key=free.__getitem__)
        if free[order] == 0:
            return False
        if warm_first:
            candidates = [w for w in range(model.workers) if free[w] and route in warm[w]]
            if candidates:
                order = max(candidates, key=free.__getitem__)
        cache = warm[order]
        is_cold = route not in cache
        cold += is_cold
        cache[route] = None
        cache.move_to_end(route)
        if len(cache) > model.cached:
            cache.popitem(last=False)
        free[order] -= 1
        heapq.heappush(ends, (now + run + (model.cold_ms if is_cold else 0.0), order))
        waits.append(now - arrived)
        return True

    def finish_until(limit: float) -> None:
        nonlocal now
        while ends and ends[0][0] <= limit:
            now, worker = heapq.heappop(ends)
            free[worker] += 1
            if queue and place(*queue[0]):
                queue.popleft()

    arrival = 0.0
    for _ in range(model.arrivals):
        arrival += rng.expovariate(1 / gap)
        route = rng.choices(range(model.routes), weights)[0]
        run = rng.lognormvariate(0, 0.5) * model.run_ms / 1.1331
        finish_until(arrival)
        now = arrival
        if queue or not place(arrival, route, run):
            queue.append((arrival, route, run))
    finish_until(float("inf"))
    return Outcome(waits, cold / model.arrivals, model.arrivals / (now / 1000))


def measure(options: Options) -> list[Figure]:
    """Returns waits and cold starts of both placements at loads 0.7, 0.9 and saturation."""
    arrivals = 3000 if options.quick else 40_000
    figures: list[Figure] = []
    for load in (0.7, 0.9, 1.5):
        for cold_ms in (50.0, 200.0, 800.0):
            case = f"stand-alone model, load {load}, cold start {cold_ms:.0f} ms"
            for policy, warm_first in (("least loaded", False), ("warm first", True)):
                model = Model(load=load, cold_ms=cold_ms, arrivals=arrivals)
                outcome = simulate(model, warm_first, options.seed)

                def add(name: str, value: float, unit: str, policy: str = policy) -> None:
                    figures.append(
                        Figure("affinity", case, name, value, unit, policy)  # noqa: B023
                    )

                if load < 1:
                    add("wait mean", sum(outcome.waits) / len(outcome.waits), "ms")
                    add("wait p99", percentile(outcome.waits, 0.99), "ms")
                else:
                    add("tasks completed", outcome.rate, "1/s")
                add("cold starts", 100 * outcome.cold, "%")
                add("cold start time per task", outcome.cold * cold_ms, "ms")
    return figures
