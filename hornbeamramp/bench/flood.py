"""Isolation between job classes while one class arrives far in excess of the fleet's capacity.

Each other class is compared with a run of the same arrivals without the flood: by the jobs
completed on time or, for services and for classes with few jobs in the window, by the running time.
The flooding class itself has no goal.
"""

import msgspec

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES
from hornbeamramp.bench.driver import DECIDE_DELAY_US
from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.runs import POLICIES, RunSpec, run_all, violation_figures
from hornbeamramp.bench.tally import ClassTally, Observations, percentile
from hornbeamramp.bench.workload import flood_rate
from hornbeamramp.states import JobKind

__all__ = ["FACTORS", "flood_specs", "kept_share", "measure"]

FACTORS = (10.0, 100.0)
KEPT_SHARE_GOAL = 0.95
CELLS = ("kaya", "hsinchu")
PHASES_S = {"kaya": (60, 30, 15), "hsinchu": (120, 90, 45)}
"""Warm-up, measurement window and drain of each cell, in seconds."""

MIN_WINDOW_S = 2
MAX_FLOOD_JOBS = 15_000
MIN_ON_TIME_JOBS = 20
"""A job class with fewer jobs on time in the unflooded run is compared by its running time."""


def kept_share(name: str, flooded: ClassTally, unflooded: ClassTally) -> float:
    """Returns job class ``name``'s on-time jobs or running time, relative to the unflooded run."""
    is_service = JOB_CLASSES[name].kind is JobKind.SERVICE
    if is_service or unflooded.on_time < MIN_ON_TIME_JOBS:
        return flooded.running_us / unflooded.running_us if unflooded.running_us else 1.0
    return flooded.on_time / unflooded.on_time


def flood_specs(cell: str, options: Options) -> list[RunSpec]:
    """Returns the flooded runs of one cell for all policies.

    The window is shortened so that the flood has at most `MAX_FLOOD_JOBS` jobs, but not to less
    than `MIN_WINDOW_S` seconds.
    """
    warmup_s, window_s, drain_s = (3, 3, 3) if options.quick else PHASES_S[cell]
    shape = SHAPES[cell]
    specs = []
    for flood_class in (*shape.mix, *shape.services):
        for factor in FACTORS[:1] if options.quick else FACTORS:
            max_window_s = MAX_FLOOD_JOBS / flood_rate(shape, flood_class, factor)
            flood_window_s = min(window_s, max(MIN_WINDOW_S, int(max_window_s)))
            specs += [
                RunSpec(
                    cell,
                    policy,
                    options.seed,
                    warmup_s,
                    flood_window_s,
                    drain_s,
                    flood_class=flood_class,
                    factor=factor,
                )
                for policy in POLICIES
            ]
    return specs


def measure(options: Options) -> list[Figure]:
    """Returns, for each flooding class, the lowest share kept by the others and their waits."""
    flooded_specs = [
        s for cell in CELLS[: 1 if options.quick else None] for s in flood_specs(cell, options)
    ]
    unflooded_specs = list(dict.fromkeys(_without_flood(spec) for spec in flooded_specs))
    observations_by_spec = dict(
        zip(unflooded_specs + flooded_specs, run_all(unflooded_specs + flooded_specs), strict=True)
    )
    figures: list[Figure] = []
    for spec in flooded_specs:
        figures += _figures(
            spec, observations_by_spec[spec], observations_by_spec[_without_flood(spec)]
        )
    return figures


def _without_flood(spec: RunSpec) -> RunSpec:
    return msgspec.structs.replace(spec, flood_class="", factor=0.0)


def _figures(spec: RunSpec, flooded: Observations, unflooded: Observations) -> list[Figure]:
    case = f"{spec.shape} {spec.flood_class} x{spec.factor:.0f}"
    figures: list[Figure] = []

    def add(name: str, value: float, unit: str, goal: str = "", met: bool | None = None) -> None:
        detail = not name.startswith(("least", "kinds", "flood"))
        figures.append(Figure("flood", case, name, value, unit, spec.policy, goal, met, detail))

    shares: list[float] = []
    waits_within_goal = 0
    names = [n for n in JOB_CLASSES if n in unflooded.by_class and n != spec.flood_class]
    for name in names:
        tally, base_tally = flooded.by_class.get(name, ClassTally()), unflooded.by_class[name]
        share = kept_share(name, tally, base_tally)
        shares.append(share)
        running_share = tally.running_us / base_tally.running_us if base_tally.running_us else 1.0
        add(f"{name} running time kept", 100 * running_share, "%")
        add(f"{name} jobs on time unflooded", base_tally.on_time, "jobs")
        add(f"{name} kept", 100 * share, "%", ">= 95", share >= KEPT_SHARE_GOAL)
        p99, base_p99 = percentile(tally.waits, 0.99), percentile(base_tally.waits, 0.99)
        # The driver delays decisions by up to DECIDE_DELAY_US, which dominates very short waits.
        is_within_goal = p99 <= 1.05 * base_p99 + DECIDE_DELAY_US / 1e6
        waits_within_goal += is_within_goal
        add(f"{name} p99 wait", p99, "s", "within 5%", is_within_goal)
        add(f"{name} p99 wait unflooded", base_p99, "s")
        refused = 100 * sum(tally.refused.values()) / max(1, tally.submitted)
        add(f"{name} refused", refused, "%")
    min_share = min(shares, default=1.0)
    kept_count = sum(share >= KEPT_SHARE_GOAL for share in shares)
    add("least kept by another kind", 100 * min_share, "%", ">= 95", min_share >= KEPT_SHARE_GOAL)
    add(
        "kinds within 5%", kept_count, f"of {len(names)}", f"{len(names)}", kept_count == len(names)
    )
    add(
        "kinds with p99 wait within 5%",
        waits_within_goal,
        f"of {len(names)}",
        f"{len(names)}",
        waits_within_goal == len(names),
    )
    flood_class_tally = flooded.by_class.get("flood", ClassTally())
    add("flood submitted", flood_class_tally.submitted, "jobs")
    add(
        "flood refused",
        100 * sum(flood_class_tally.refused.values()) / max(1, flood_class_tally.submitted),
        "%",
    )
    return figures + violation_figures("flood", case, spec.policy, flooded)
