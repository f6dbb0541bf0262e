"""What other work keeps while one kind arrives far in excess of the fleet's capacity.

Each kind keeps a share of its figure for the same arrivals without the flood: of the jobs
completed on time or, for services and for kinds with few jobs in the window, of the running time.
Jobs of the flooding kind itself are not judged.
"""

import msgspec

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES
from hornbeamramp.bench.driver import DECIDE_DELAY_US
from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.runs import POLICIES, Run, run_all, violation_figures
from hornbeamramp.bench.tally import ClassTally, Observations, percentile
from hornbeamramp.bench.workload import flood_rate
from hornbeamramp.states import JobKind

__all__ = ["FACTORS", "flood_specs", "kept", "measure"]

FACTORS = (10.0, 100.0)
KEPT_GOAL = 0.95
CELLS = ("kaya", "hsinchu")
TIMES = {"kaya": (60, 30, 15), "hsinchu": (120, 90, 45)}
"""Seconds before the window, in it and after it."""

SHORTEST = 2
MOST_JOBS = 15_000
LEAST_JOBS = 20
"""Jobs on time without the flood, below which a kind is judged by its running time."""


def kept(name: str, flooded: ClassTally, unflooded: ClassTally) -> float:
    """Returns the share of its unflooded figure that job class ``name`` keeps."""
    standing = JOB_CLASSES[name].kind is JobKind.SERVICE
    if standing or unflooded.on_time < LEAST_JOBS:
        return flooded.running_us / unflooded.running_us if unflooded.running_us else 1.0
    return flooded.on_time / unflooded.on_time


def flood_specs(cell: str, options: Options) -> list[Run]:
    """Returns the flooded runs of one cell, with all policies.

    The window of a flood is shortened so that it has at most `MOST_JOBS` jobs, but not below
    `SHORTEST` seconds.
    """
    warm, window, drain = (3, 3, 3) if options.quick else TIMES[cell]
    shape = SHAPES[cell]
    specs = []
    for flooder in (*shape.mix, *shape.services):
        for factor in FACTORS[:1] if options.quick else FACTORS:
            jobs = MOST_JOBS / flood_rate(shape, flooder, factor)
            length = min(window, max(SHORTEST, int(jobs)))
            specs += [
                Run(
                    cell,
                    policy,
                    options.seed,
                    warm,
                    length,
                    drain,
                    flooder=flooder,
                    factor=factor,
                )
                for policy in POLICIES
            ]
    return specs


def measure(options: Options) -> list[Figure]:
    """Returns, for each flooding job class, the least share kept and the waits of the others."""
    flooded = [
        s for cell in CELLS[: 1 if options.quick else None] for s in flood_specs(cell, options)
    ]
    base = list(dict.fromkeys(_without_flood(spec) for spec in flooded))
    results = dict(zip(base + flooded, run_all(base + flooded), strict=True))
    figures: list[Figure] = []
    for spec in flooded:
        figures += _figures(spec, results[spec], results[_without_flood(spec)])
    return figures


def _without_flood(spec: Run) -> Run:
    return msgspec.structs.replace(spec, flooder="", factor=0.0)


def _figures(spec: Run, flooded: Observations, unflooded: Observations) -> list[Figure]:
    case = f"{spec.shape} {spec.flooder} x{spec.factor:.0f}"
    figures: list[Figure] = []

    def add(name: str, value: float, unit: str, goal: str = "", met: bool | None = None) -> None:
        detail = not name.startswith(("least", "kinds", "flood"))
        figures.append(Figure("flood", case, name, value, unit, spec.policy, goal, met, detail))

    shares: list[float] = []
    waits_kept = 0
    names = [n for n in JOB_CLASSES if n in unflooded.by_class and n != spec.flooder]
    for name in names:
        after, before = flooded.by_class.get(name, ClassTally()), unflooded.by_class[name]
        share = kept(name, after, before)
        shares.append(share)
        ran = after.running_us / before.running_us if before.running_us else 1.0
        add(f"{name} running time kept", 100 * ran, "%")
        add(f"{name} jobs on time unflooded", before.on_time, "jobs")
        add(f"{name} kept", 100 * share, "%", ">= 95", share >= KEPT_GOAL)
        p99, p99_before = percentile(after.waits, 0.99), percentile(before.waits, 0.99)
        # The driver lets decisions wait up to this long, which is noise on very short waits.
        close = p99 <= 1.05 * p99_before + DECIDE_DELAY_US / 1e6
        waits_kept += close
        add(f"{name} p99 wait", p99, "s", "within 5%", close)
        add(f"{name} p99 wait unflooded", p99_before, "s")
        refused = 100 * sum(after.refused.values()) / max(1, after.submitted)
        add(f"{name} refused", refused, "%")
    least = min(shares, default=1.0)
    fair = sum(share >= KEPT_GOAL for share in shares)
    add("least kept by another kind", 100 * least, "%", ">= 95", least >= KEPT_GOAL)
    add("kinds within 5%", fair, f"of {len(names)}", f"{len(names)}", fair == len(names))
    add(
        "kinds with p99 wait within 5%",
        waits_kept,
        f"of {len(names)}",
        f"{len(names)}",
        waits_kept == len(names),
    )
    own = flooded.by_class.get("flood", ClassTally())
    add("flood submitted", own.submitted, "jobs")
    add("flood refused", 100 * sum(own.refused.values()) / max(1, own.submitted), "%")
    return figures + violation_figures("flood", case, spec.policy, flooded)
