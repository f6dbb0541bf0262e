"""Model of the benefit of preferring upstreams that recently ran the same route.

`ShardScheduler` has no such option. This is a stand-alone greedy model, not a measurement of the
scheduler: workers with slots, one FIFO queue, Poisson arrivals over routes, and a cold start when
a worker's cache of recently run routes does not contain the task's route. One placement chooses
the least loaded worker. The other chooses the least loaded of the warm workers with a free slot, or
the least loaded of all if there is none.
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

    `cache_size`
        Number of routes that a worker keeps warm; the least recently run route is evicted first.
    `load`
        Offered load without cold starts, relative to the capacity.
    `cold_start_ms`
        Time that a cold start adds to a task.
    """

    workers: int = 20
    slots: int = 8
    routes: int = 12
    cache_size: int = 4
    run_ms: float = 1200.0
    load: float = 0.7
    cold_start_ms: float = 0.0
    arrivals: int = 40_000


class ModelResult(msgspec.Struct):
    """Waits in milliseconds, share of cold starts and tasks completed per second."""

    waits: list[float]
    cold_start_share: float
    tasks_per_s: float


def simulate(model: Model, warm_first: bool, seed: int) -> ModelResult:
    """Runs the model; ``warm_first`` is whether placement prefers warm workers."""
    rng = random.Random(f"{seed}/affinity")
    free_slots = [model.slots] * model.workers
    cache_by_worker: list[OrderedDict[int, None]] = [OrderedDict() for _ in free_slots]
    queue: deque[tuple[float, int, float]] = deque()
    running: list[tuple[float, int]] = []
    waits: list[float] = []
    cold_starts = 0
    mean_gap_ms = model.run_ms / (model.load * model.workers * model.slots)
    weights = [1 / (n + 1) for n in range(model.routes)]
    now_ms = 0.0

    def place(arrival_ms: float, route: int, task_ms: float) -> bool:
        nonlocal cold_starts
        worker = max(range(model.workers), key=free_slots.__getitem__)
        if free_slots[worker] == 0:
            return False
        if warm_first:
            candidates = [
                w for w in range(model.workers) if free_slots[w] and route in cache_by_worker[w]
            ]
            if candidates:
                worker = max(candidates, key=free_slots.__getitem__)
        cache = cache_by_worker[worker]
        is_cold = route not in cache
        cold_starts += is_cold
        cache[route] = None
        cache.move_to_end(route)
        if len(cache) > model.cache_size:
            cache.popitem(last=False)
        free_slots[worker] -= 1
        heapq.heappush(
            running, (now_ms + task_ms + (model.cold_start_ms if is_cold else 0.0), worker)
        )
        waits.append(now_ms - arrival_ms)
        return True

    def finish_until(until_ms: float) -> None:
        nonlocal now_ms
        while running and running[0][0] <= until_ms:
            now_ms, worker = heapq.heappop(running)
            free_slots[worker] += 1
            if queue and place(*queue[0]):
                queue.popleft()

    arrival_ms = 0.0
    for _ in range(model.arrivals):
        arrival_ms += rng.expovariate(1 / mean_gap_ms)
        route = rng.choices(range(model.routes), weights)[0]
        # 1.1331 is the mean of this log-normal distribution, exp(0.5**2 / 2).
        task_ms = rng.lognormvariate(0, 0.5) * model.run_ms / 1.1331
        finish_until(arrival_ms)
        now_ms = arrival_ms
        if queue or not place(arrival_ms, route, task_ms):
            queue.append((arrival_ms, route, task_ms))
    finish_until(float("inf"))
    return ModelResult(waits, cold_starts / model.arrivals, model.arrivals / (now_ms / 1000))


def measure(options: Options) -> list[Figure]:
    """Returns waits and cold starts of both placements at loads 0.7, 0.9 and 1.5 (saturation)."""
    arrivals = 3000 if options.quick else 40_000
    figures: list[Figure] = []
    for load in (0.7, 0.9, 1.5):
        for cold_start_ms in (50.0, 200.0, 800.0):
            case = f"stand-alone model, load {load}, cold start {cold_start_ms:.0f} ms"
            for policy, warm_first in (("least loaded", False), ("warm first", True)):
                model = Model(load=load, cold_start_ms=cold_start_ms, arrivals=arrivals)
                result = simulate(model, warm_first, options.seed)

                def add(name: str, value: float, unit: str, policy: str = policy) -> None:
                    figures.append(
                        Figure("affinity", case, name, value, unit, policy)  # noqa: B023
                    )

                if load < 1:
                    add("wait mean", sum(result.waits) / len(result.waits), "ms")
                    add("wait p99", percentile(result.waits, 0.99), "ms")
                else:
                    add("tasks completed", result.tasks_per_s, "1/s")
                add("cold starts", 100 * result.cold_start_share, "%")
                add("cold start time per task", result.cold_start_share * cold_start_ms, "ms")
    return figures
