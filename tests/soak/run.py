"""Runs one seed of the soak test and checks what workers, store and callers observed."""

import asyncio
import random
from pathlib import Path

import msgspec

from tests.soak.accounts import KeyedCallers, ReplacedKeys
from tests.soak.callers import Callers
from tests.soak.cell import GRACE_S, SoakCell
from tests.soak.crowds import CROWD_SETTINGS, Crowds
from tests.soak.faults import Faults, PlannedWork, WorkerRestarts
from tests.soak.kept_connections import KeptConnectionCallers
from tests.soak.moves import ImpatientCallers, MovingQueues
from tests.soak.pacing import PacedCallers, PacingFaults

__all__ = ["Outcome", "run_seed"]

# Covers a task's maximum wait for an unreachable worker (11 s), a takeover, and the tasks' runs.
END_TIMEOUT_S = 60.0


class Outcome(msgspec.Struct, frozen=True):
    """Result of one seed; ``problems`` is empty if all guarantees held."""

    seed: int
    accepted: int
    refused: int
    starts: int
    faults: int
    problems: tuple[str, ...]


def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    planned: bool = False,
    moves: bool = False,
    restarts: bool = False,
    pacing: bool = False,
    accounts: bool = False,
    crowds: bool = False,
) -> Outcome:
    """Runs a seed with ``seconds`` of faults. The VMs' logs are written to ``folder``.

    `planned`
        Injects only planned work and checks that each request is answered.
    `moves`
        Moves a queue between two pools, with callers that give up, cancel and send again.
    `restarts`
        Restarts workers under their ids and delays their answers, with the same callers.
    `pacing`
        Runs best-effort tasks beside tasks that serve, on workers that refuse orders on pace.
    `accounts`
        Replaces keys of client accounts, with callers that go on sending the revoked ones.
    `crowds`
        Sends crowds of requests that stop short to the ports of VMs of the smallest size.
    """
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(
        _run_seed(seed, seconds, folder, planned, moves, restarts, pacing, accounts, crowds)
    )


async def _run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    planned: bool,
    moves: bool,
    restarts: bool,
    pacing: bool,
    accounts: bool,
    crowds: bool,
) -> Outcome:
    rng, fault_rng = random.Random(seed), random.Random(seed + 1)
    settings = CROWD_SETTINGS if crowds else ""
    async with SoakCell(
        folder, seed, moves=moves, accounts=accounts, more_settings=settings
    ) as cell:
        callers: Callers
        faults: Faults
        if planned:
            callers, faults = KeptConnectionCallers(cell, rng), PlannedWork(cell, fault_rng)
            for vm in cell.vm_by_name.values():
                vm.stop_timeout_s = GRACE_S
        elif moves:
            callers, faults = ImpatientCallers(cell, rng), MovingQueues(cell, fault_rng)
        elif restarts:
            callers, faults = ImpatientCallers(cell, rng), WorkerRestarts(cell, fault_rng)
            # Many starts on workers that are not full.
            callers.max_pause_s, cell.fleet.duration_s = 0.15, 0.15
        elif pacing:
            callers, faults = PacedCallers(cell, rng), PacingFaults(cell, fault_rng)
        elif accounts:
            callers, faults = KeyedCallers(cell, rng), ReplacedKeys(cell, fault_rng)
        elif crowds:
            callers, faults = Callers(cell, rng), Crowds(cell, fault_rng)
        else:
            callers, faults = Callers(cell, rng), Faults(cell, fault_rng)
        await asyncio.gather(callers.run(seconds), faults.run(seconds))
        await callers.wait_for_ends(END_TIMEOUT_S)
        cell.log_starts_and_ends()
        cell.fleet.check_repeated_starts()
        # Lost start orders may leave a gang incomplete; the GANG rule holds only without faults.
        violations = [str(v) for v in cell.fleet.violations if v.rule != "GANG"]
        process_problems = [problem for vm in cell.vm_by_name.values() for problem in vm.problems]
        return Outcome(
            seed,
            len(callers.accepted),
            len(cell.fleet.refused),
            len(cell.fleet.starts),
            len(faults.injected),
            (*violations, *callers.problems, *process_problems),
        )
