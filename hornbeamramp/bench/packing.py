"""Use of each resource at saturation, and room that gangs and accelerator work leave unused.

The bound of a resource is its use if the offered mix ran at the rate at which the scarcest
resource of the fleet is used up, with every resource divisible over the whole fleet. Shedding
changes the mix, so a resource that is not the scarcest can lie above its bound.
"""

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES, CellShape
from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.runs import POLICIES, Run, run_all, violation_figures
from hornbeamramp.bench.workload import (
    class_rates,
    fleet,
    fleet_capacity,
    resources_of,
    service_counts,
)

__all__ = ["bounds", "measure"]

RESOURCE_NAMES = ("processors", "memory", "accelerators", "slots", "connections")
SATURATING_LOAD = 1.5


def bounds(shape: CellShape) -> list[float]:
    """Returns the bound of the use of each resource, as shares of the fleet."""
    totals = fleet_capacity(fleet(shape))
    standing = [0.0] * len(totals)
    for name, count in service_counts(shape).items():
        for n, amount in enumerate(resources_of(JOB_CLASSES[name]).as_tuple()):
            standing[n] += count * amount
    demand = [0.0] * len(totals)
    for name, rate in class_rates(shape, load=1.0).items():
        row = JOB_CLASSES[name]
        for n, amount in enumerate(resources_of(row).as_tuple()):
            demand[n] += rate * amount * row.run_ms / 1000
    scale = min((t - s) / d for t, s, d in zip(totals, standing, demand, strict=True) if d)
    return [
        (s + d * scale) / t if t else 0.0 for t, s, d in zip(totals, standing, demand, strict=True)
    ]


def measure(options: Options) -> list[Figure]:
    """Returns use at an offered load of 1.5, as percentages of the fleet."""
    shapes = ["kaya_tickets", "kaya_imaging", "hsinchu_orders", "hsinchu_design"]
    shapes += [] if options.quick else ["kaya", "hsinchu", "cell"]
    specs = []
    for name in shapes:
        warm, window = (5, 10) if options.quick else (60, 60)
        if name == "cell":
            warm, window = 30, 20
        specs += [
            Run(name, policy, options.seed, warm, window, 0, SATURATING_LOAD) for policy in POLICIES
        ]
    figures = []
    for spec, observed in zip(specs, run_all(specs), strict=True):
        limits = bounds(SHAPES[spec.shape])

        def add(name: str, value: float, unit: str = "%", policy: str = spec.policy) -> None:
            figures.append(Figure("packing", spec.shape, name, value, unit, policy))  # noqa: B023

        for resource, used, limit in zip(RESOURCE_NAMES, observed.used, limits, strict=True):
            if limit and resource != "connections":
                add(f"{resource} in use", 100 * used)
                add(f"{resource} in use", 100 * limit, policy="bound")
        add("scarcest resource in use", 100 * max(observed.used))
        add("scarcest resource in use", 100 * max(limits), policy="bound")
        if limits[2]:
            add("accelerators blocked by other work", 100 * observed.stranded_accelerators)
        if "gang_render" in SHAPES[spec.shape].mix:
            add("time with room for a waiting gang", 100 * observed.idle_gang_room)
            gangs = observed.by_class.get("gang_render")
            add("gang tasks' running time", gangs.running_us / 1e6 if gangs else 0.0, "s")
        tasks = observed.completed_tasks / (spec.warm + spec.window)
        add("tasks completed", tasks, "1/s")
        figures += violation_figures("packing", spec.shape, spec.policy, observed)
    return figures
