"""Command line: ``python -m tests.soak [--seeds N] [--first SEED] [--seconds S]``."""

import shutil
import sys
from pathlib import Path

from cyclopts import App

from tests.soak.run import play

app = App(name="tests.soak", help="Soak of real processes under random faults.")


@app.default
def main(
    seeds: int = 10, first: int = 1, seconds: float = 20.0, folder: Path = Path("build/soak")
) -> None:
    """Plays seeds one after the other; the logs of those that fail are kept.

    Parameters
    ----------
    seeds
        How many to play.
    first
        The first seed.
    seconds
        For how long faults are injected.
    folder
        Where the VMs' logs go.
    """
    failed = []
    for seed in range(first, first + seeds):
        logs = folder.resolve() / f"seed-{seed}"
        shutil.rmtree(logs, ignore_errors=True)
        outcome = play(seed, seconds, logs)
        print(
            f"seed {seed}: {outcome.accepted} accepted, {outcome.refused} refused, "
            f"{outcome.starts} starts, {outcome.faults} faults, {len(outcome.problems)} problems",
            flush=True,
        )
        for problem in outcome.problems:
            print(f"  {problem}", flush=True)
        if outcome.problems:
            failed.append(seed)
        else:
            shutil.rmtree(logs)
    if failed:
        sys.exit(f"failed seeds: {failed}")


if __name__ == "__main__":
    app()
