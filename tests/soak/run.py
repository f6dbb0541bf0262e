"""Runs one seed of the soak and judges it from what workers, store and callers saw."""

import asyncio
import random
from pathlib import Path

import msgspec

from tests.soak.callers import Callers
from tests.soak.cell import SoakCell
from tests.soak.faults import Faults

__all__ = ["Outcome", "play"]

# Longest wait of a task on an unseen worker (11 s) and of a takeover, then the work itself.
SETTLE_S = 60.0


class Outcome(msgspec.Struct, frozen=True):
    """What one seed gave; ``problems`` is empty if all promises were kept."""

    seed: int
    accepted: int
    refused: int
    starts: int
    faults: int
    problems: tuple[str, ...]


def play(seed: int, seconds: float, folder: Path) -> Outcome:
    """Plays a seed for ``seconds`` of faults. The folder keeps the VMs' logs."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(_play(seed, seconds, folder))


async def _play(seed: int, seconds: float, folder: Path) -> Outcome:
    luck = random.Random(seed)
    async with SoakCell(folder, seed) as cell:
        callers, faults = Callers(cell, luck), Faults(cell, random.Random(seed + 1))
        await asyncio.gather(callers.run(seconds), faults.run(seconds))
        await callers.settle(SETTLE_S)
        cell.fleet.judge_ends()
        # A gang may be left incomplete when orders are lost; the rule asks for calm there.
        broken = [str(v) for v in cell.fleet.violations if v.rule != "GANG"]
        ends = [problem for vm in cell.vm_by_name.values() for problem in vm.problems]
        return Outcome(
            seed,
            len(callers.accepted),
            len(cell.fleet.refused),
            len(cell.fleet.starts),
            len(faults.injected),
            (*broken, *callers.problems, *ends),
        )
