"""Waiting time from submission to start, by job class and by team."""

from hornbeamramp.bench._shapes import JOB_CLASSES
from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.runs import POLICIES, RunSpec, run_all, violation_figures
from hornbeamramp.bench.tally import Observations, percentile
from hornbeamramp.states import Band

__all__ = ["URGENT_WAIT_GOAL_S", "measure", "urgent_classes"]

URGENT_WAIT_GOAL_S = 3.5
"""Required time to the first start of urgent jobs (section 1.7 of the design page)."""

SMALL_SHAPES = ("kaya_tickets", "kaya_imaging", "hsinchu_orders", "hsinchu_design")


def urgent_classes(names: list[str]) -> list[str]:
    """Returns the urgent job classes among ``names``."""
    return [n for n in names if n in JOB_CLASSES and JOB_CLASSES[n].band is Band.URGENT]


def measure(options: Options) -> list[Figure]:
    """Returns waits in seconds on the four small shapes and on the cell of section 1.7.

    Each shape is run at its own load (270 task starts per second in the cell) and again close to
    saturation or, in the cell, beyond it, where queues build up.
    """
    specs = []
    for name in (*SMALL_SHAPES, *(() if options.quick else ("cell",))):
        warmup_s, window_s, drain_s = (2, 5, 3) if options.quick else (40, 60, 10)
        for load in (None, 1.1 if name == "cell" else 0.95):
            if name == "cell" and load is not None:
                warmup_s, window_s = 30, 20
            for policy in POLICIES:
                specs.append(RunSpec(name, policy, options.seed, warmup_s, window_s, drain_s, load))
    figures = []
    for spec, observed in zip(specs, run_all(specs), strict=True):
        figures += _figures(spec, observed)
    return figures


def _figures(spec: RunSpec, observed: Observations) -> list[Figure]:
    case = spec.shape if spec.load is None else f"{spec.shape}, load {spec.load}"
    figures: list[Figure] = []

    def add(
        name: str, value: float, unit: str = "s", goal: float | None = None, detail: bool = False
    ) -> None:
        goal_text, met = ("", None) if goal is None else (f"<= {goal}", value <= goal)
        figures.append(Figure("wait", case, name, value, unit, spec.policy, goal_text, met, detail))

    names = [n for n in JOB_CLASSES if n in observed.by_class]
    for name in names:
        tally = observed.by_class[name]
        goal = URGENT_WAIT_GOAL_S if urgent_classes([name]) else None
        add(f"{name} median", percentile(tally.waits, 0.5))
        add(f"{name} p99", percentile(tally.waits, 0.99), goal=goal)
        add(f"{name} worst", max(tally.waits, default=0.0), goal=goal)
        refused = sum(tally.refused.values()) / max(1, tally.submitted)
        add(f"{name} refused", 100 * refused, "%")
        add(f"{name} never started", tally.unstarted_tasks, "tasks")
        for team, waits in sorted(tally.waits_by_team.items()):
            add(f"{name} {team} p99", percentile(waits, 0.99), detail=True)
            add(f"{name} {team} worst", max(waits), detail=True)
    team_p99s = [
        percentile(waits, 0.99)
        for waits in _waits_by_team(observed, urgent_classes(names) or names).values()
    ]
    add("team p99, median team", percentile(team_p99s, 0.5))
    add("team p99, worst team", max(team_p99s, default=0.0))
    add("task starts", observed.starts / (spec.warmup_s + spec.window_s + spec.drain_s), "1/s")
    return figures + violation_figures("wait", case, spec.policy, observed)


def _waits_by_team(observed: Observations, names: list[str]) -> dict[str, list[float]]:
    by_team: dict[str, list[float]] = {}
    for name in names:
        for team, waits in observed.by_class[name].waits_by_team.items():
            by_team.setdefault(team, []).extend(waits)
    return by_team
