"""Command line: ``python -m hornbeamramp.bench [name ...] [--json] [--seed N] [--quick]``."""

import sys
import time
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from hornbeamramp.bench.figures import Figure, Options, missed_goals, render_json, render_table
from hornbeamramp.bench.registry import BASELINES, MEASUREMENTS, measure

app = App(name="hornbeamramp.bench", help="Measurements of scheduling decisions.")


@app.default
def main(
    *names: str,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
    seed: int = 1,
    quick: Annotated[bool, Parameter(negative="")] = False,
    plot: Path | None = None,
) -> None:
    """Runs the named measurements, or all.

    Parameters
    ----------
    as_json
        Print all figures as JSON instead of tables.
    seed
        Seed of all random generators.
    quick
        Run shortened versions.
    plot
        Directory to write PNG files to; without names, nothing else is run.
    """
    options = Options(seed, quick)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        sys.exit(f"no measurement {unknown[0]!r}; known: {', '.join(MEASUREMENTS)}")
    figures: list[Figure] = []
    for name in names or (() if plot else MEASUREMENTS):
        start_s = time.monotonic()
        measured = measure(name, options)
        figures += measured
        if not as_json:
            print(render_table(measured))
            print(f"  ({name}: {time.monotonic() - start_s:.1f} s)", flush=True)
    if as_json:
        print(render_json(figures))
    elif figures:
        non_baseline_misses = [f for f in missed_goals(figures) if f.policy not in BASELINES]
        print(f"\n{len(non_baseline_misses)} figures miss their goal")
        for figure in non_baseline_misses:
            print(f"  {figure.measurement}: {figure.case}: {figure.name} = {figure.value:.4g}")
    if plot is not None:
        from hornbeamramp.bench.plot import write_plots

        for path in write_plots(plot, options):
            print(path)


if __name__ == "__main__":
    app()
