"""Measured figures and their output as JSON and as tables."""

from collections.abc import Iterable

import msgspec

__all__ = ["Figure", "Options", "missed_goals", "render_json", "render_table"]


class Options(msgspec.Struct, frozen=True):
    """Options of a measurement.

    `seed`
        Seed of all random generators.
    `quick`
        Whether to run shortened versions that take seconds.
    """

    seed: int = 1
    quick: bool = False


class Figure(msgspec.Struct, frozen=True):
    """One measured value.

    `case`
        Shape and variant, for example ``kaya weigh_ticket x10``.
    `policy`
        Placement policy, or empty if the value doesn't depend on one.
    `goal`
        Goal as text, empty if there is none; ``met`` is whether the value meets it.
    `detail`
        Whether the value is left out of the printed table (it is in the JSON output).
    """

    measurement: str
    case: str
    name: str
    value: float
    unit: str = ""
    policy: str = ""
    goal: str = ""
    met: bool | None = None
    detail: bool = False


def render_json(figures: Iterable[Figure]) -> str:
    """Returns the figures as a JSON array."""
    return msgspec.json.format(msgspec.json.encode(list(figures))).decode()


def missed_goals(figures: Iterable[Figure]) -> list[Figure]:
    """Returns the figures that miss their goal."""
    return [f for f in figures if f.met is False]


def _number(value: float) -> str:
    if value == int(value) and abs(value) < 1e9:
        return str(int(value))
    return f"{value:.4g}" if abs(value) < 1000 else f"{value:.0f}"


def render_table(figures: Iterable[Figure]) -> str:
    """Returns one table per case with a column per policy; ``!`` marks a missed goal."""
    cases: dict[tuple[str, str], list[Figure]] = {}
    for figure in figures:
        if not figure.detail:
            cases.setdefault((figure.measurement, figure.case), []).append(figure)
    lines: list[str] = []
    for (measurement, case), case_figures in cases.items():
        policies = list(dict.fromkeys(f.policy for f in case_figures))
        rows: dict[tuple[str, str], dict[str, Figure]] = {}
        for figure in case_figures:
            rows.setdefault((figure.name, figure.unit), {})[figure.policy] = figure
        lines.append(f"\n== {measurement}: {case}")
        table = [["figure", *(p or "value" for p in policies), "unit", "goal"]]
        for (name, unit), figure_by_policy in rows.items():
            cells = []
            for policy in policies:
                found = figure_by_policy.get(policy)
                mark = "!" if found is not None and found.met is False else ""
                cells.append("" if found is None else _number(found.value) + mark)
            goal = next((f.goal for f in figure_by_policy.values() if f.goal), "")
            table.append([name, *cells, unit, goal])
        widths = [max(len(row[n]) for row in table) for n in range(len(table[0]))]
        for row in table:
            padded = [
                cell.rjust(width) if 0 < n <= len(policies) else cell.ljust(width)
                for n, (cell, width) in enumerate(zip(row, widths, strict=True))
            ]
            lines.append("  " + "  ".join(padded).rstrip())
    return "\n".join(lines)
