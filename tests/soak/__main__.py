"""Command line: ``python -m tests.soak [--seeds N] [--first SEED] [--seconds S]
[--planned] [--moves] [--restarts] [--pacing] [--accounts] [--crowds]``."""

import shutil
import sys
from pathlib import Path

from cyclopts import App

from tests.soak.run import run_seed

app = App(name="tests.soak", help="Soak of real processes under random faults.")


@app.default
def main(
    seeds: int = 10,
    first: int = 1,
    seconds: float = 20.0,
    folder: Path = Path("build/soak"),
    planned: bool = False,
    moves: bool = False,
    restarts: bool = False,
    pacing: bool = False,
    accounts: bool = False,
    crowds: bool = False,
) -> None:
    """Runs seeds one after another and keeps the logs of those that fail.

    Parameters
    ----------
    seeds
        Number of seeds.
    first
        The first seed.
    seconds
        Duration of the fault injection.
    folder
        Folder for the logs of the VMs.
    planned
        Inject only planned work, and check that each request is answered.
    moves
        Move a queue between two pools, with callers that give up, cancel and send again.
    restarts
        Restart workers under their ids and delay their answers, with the same callers.
    pacing
        Run best-effort tasks beside tasks that serve, on workers that refuse orders on pace.
    accounts
        Replace keys of client accounts, with callers that go on sending the revoked ones.
    crowds
        Send crowds of requests that stop short to the ports of VMs.
    """
    failed = []
    for seed in range(first, first + seeds):
        logs = folder.resolve() / f"seed-{seed}"
        shutil.rmtree(logs, ignore_errors=True)
        outcome = run_seed(seed, seconds, logs, planned, moves, restarts, pacing, accounts, crowds)
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
