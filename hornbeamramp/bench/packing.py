"""Utilisation of each resource at saturation, and unused accelerators and gang capacity.

The bound of a resource is its utilisation if the offered mix ran at the rate at which the scarcest
resource of the fleet is exhausted, with every resource divisible over the whole fleet. Load
shedding changes the mix, so a resource that is not the scarcest can exceed its bound.
"""

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES, CellShape
from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.runs import POLICIES, RunSpec, run_all, violation_figures
from hornbeamramp.bench.workload import (
    class_rates,
    fleet,
    fleet_capacity,
    resources_of,
    service_counts,
)

__all__ = ["measure", "use_bounds"]

RESOURCE_NAMES = ("processors", "memory", "accelerators", "slots", "connections")
SATURATING_LOAD = 1.5


def use_bounds(shape: CellShape) -> list[float]:
    """Returns the bound on the utilisation of each resource, as a share of the fleet."""
    totals = fleet_capacity(fleet(shape))
    service_use = [0.0] * len(totals)
    for name, count in service_counts(shape).items():
        for n, amount in enumerate(resources_of(JOB_CLASSES[name]).as_tuple()):
            service_use[n] += count * amount
    demand = [0.0] * len(totals)
    for name, rate in class_rates(shape, load=1.0).items():
        job_class = JOB_CLASSES[name]
        for n, amount in enumerate(resources_of(job_class).as_tuple()):
            demand[n] += rate * amount * job_class.run_ms / 1000
    max_load = min((t - s) / d for t, s, d in zip(totals, service_use, demand, strict=True) if d)
    return [
        (s + d * max_load) / t if t else 0.0
        for t, s, d in zip(totals, service_use, demand, strict=True)
    ]


def measure(options: Options) -> list[Figure]:
    """Returns utilisation at an offered load of 1.5, as percentages of the fleet."""
    shapes = ["kaya_tickets", "kaya_imaging", "hsinchu_orders", "hsinchu_design"]
    shapes += [] if options.quick else ["kaya", "hsinchu", "cell"]
    specs = []
    for name in shapes:
        warmup_s, window_s = (5, 10) if options.quick else (60, 60)
        if name == "cell":
            warmup_s, window_s = 30, 20
        specs += [
            RunSpec(name, policy, options.seed, warmup_s, window_s, 0, SATURATING_LOAD)
            for policy in POLICIES
        ]
    figures = []
    for spec, observed in zip(specs, run_all(specs), strict=True):
        bounds = use_bounds(SHAPES[spec.shape])

        def add(name: str, value: float, unit: str = "%", policy: str = spec.policy) -> None:
            figures.append(Figure("packing", spec.shape, name, value, unit, policy))  # noqa: B023

        for resource, used, bound in zip(
            RESOURCE_NAMES, observed.allocated_shares, bounds, strict=True
        ):
            if bound and resource != "connections":
                add(f"{resource} in use", 100 * used)
                add(f"{resource} in use", 100 * bound, policy="bound")
        add("scarcest resource in use", 100 * max(observed.allocated_shares))
        add("scarcest resource in use", 100 * max(bounds), policy="bound")
        if bounds[2]:
            add("accelerators blocked by other work", 100 * observed.stranded_accelerators)
        if "gang_render" in SHAPES[spec.shape].mix:
            add("time with room for a waiting gang", 100 * observed.waiting_gang_fits)
            gang_tally = observed.by_class.get("gang_render")
            add("gang tasks' running time", gang_tally.running_us / 1e6 if gang_tally else 0.0, "s")
        tasks = observed.completed_tasks / (spec.warmup_s + spec.window_s)
        add("tasks completed", tasks, "1/s")
        figures += violation_figures("packing", spec.shape, spec.policy, observed)
    return figures
