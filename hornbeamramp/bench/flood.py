"""What other work keeps while one kind arrives far in excess of the fleet's capacity.

Jobs with an end keep the share that they complete on time; services keep the share of running
time, each relative to the same arrivals without the flood. Jobs of the flooding kind itself are
not judged.
"""

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES
from hornbeamramp.bench.driver import DECIDE_DELAY_US
from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.runs import POLICIES, Run, run_all, violation_figures
from hornbeamramp.bench.tally import ClassTally, Observations, percentile
from hornbeamramp.states import JobKind

__all__ = ["FACTORS", "kept", "measure"]

FACTORS = (10.0, 100.0)
KEPT_GOAL = 0.95
CELLS = ("kaya", "hsinchu")


def kept(name: str, flooded: ClassTally, unflooded: ClassTally) -> float:
    """Returns the share of its unflooded figure that job class ``name`` keeps."""
    if JOB_CLASSES[name].kind is JobKind.SERVICE:
        return flooded.running_us / unflooded.running_us if unflooded.running_us else 1.0
    return flooded.on_time / unflooded.on_time if unflooded.on_time else 1.0


def measure(options: Options) -> list[Figure]:
    """Returns, for each flooding job class, the least share kept and the longest p99 wait."""
    warm, window, drain = (3, 3, 3) if options.quick else (20, 20, 30)
    cells = CELLS[:1] if options.quick else CELLS
    factors = FACTORS[:1] if options.quick else FACTORS
    policies = POLICIES
    specs = []
    for cell in cells:
        shape = SHAPES[cell]
        base = [Run(cell, policy, options.seed, warm, window, drain) for policy in policies]
        specs += base
        for flooder in (*shape.mix, *shape.services):
            for factor in factors:
                specs += [
                    Run(
                        cell,
                        policy,
                        options.seed,
                        warm,
                        window,
                        drain,
                        flooder=flooder,
                        factor=factor,
                    )
                    for policy in policies
                ]
    results = run_all(specs)
    unflooded = {
        (spec.shape, spec.policy): observed
        for spec, observed in zip(specs, results, strict=True)
        if not spec.flooder
    }
    figures: list[Figure] = []
    for spec, observed in zip(specs, results, strict=True):
        if spec.flooder:
            figures += _figures(spec, observed, unflooded[spec.shape, spec.policy])
    return figures


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
