"""One wide job keeps its owner busy for longer than its lease, and each successor as well."""

import asyncio
import sys
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins3"))
from cell3 import Cell, Client, main  # noqa: E402

ORDINARY = 5
TASKS = 4
# Steps of an ordinary job, one after another: the first runs for 4 s, the others for 1 s.
STEPS = 6
# The program takes up to 20,000 tasks in one job.
COUNT = 12_000
# LOST: for so long, nothing of a job runs though its turn has come.
IDLE_S = 3.0
WATCHED_S = 40.0


def job_id(number):
    return f"{number:016x}"


def left(cell, number):
    """Returns how many tasks of a job have not ended as done."""
    names = {f"{job_id(number)}.0.{step}.{task}" for step in range(STEPS) for task in range(TASKS)}
    return len(names - cell.fleet.done())


async def run(record, trouble):
    async with Cell(record) as cell, aiohttp.ClientSession() as session:
        client = Client(cell, session)
        common = {"max-attempts": 3, "stretch": 4.0, "target-completion-ms": 3000}
        tickets = {"name": "tickets", "prefix": "/tickets/", "service": "desk", **common}
        batch = {"name": "batch", "prefix": "/batch/", "service": "desk", "priority": 2, **common}
        cell.configure([tickets, batch], ["desk"])
        for number in range(6):
            await cell.add_worker(f"w{number}", "desk", rack=f"r{number // 3}")
        await cell.start_vms()
        first = {"count": TASKS, "cpu": 1000, "mem-mb": 512, "estimated-ms": 4000}
        later = [{**first, "estimated-ms": 1000, "after": [step]} for step in range(STEPS - 1)]
        for number in range(ORDINARY):
            job = {"spec": f"ticket {number}", "steps": [first, *later]}
            if not await client.submit("/tickets/", job_id(number), job):
                return None
        await asyncio.sleep(1.0)
        if trouble:
            wide = {"count": COUNT, "cpu": 1, "mem-mb": 1, "estimated-ms": 600}
            await client.submit("/batch/", job_id(0xFF00), {"spec": "w", "steps": [wide]}, tries=1)
        cell.fleet.is_verbose = False
        await asyncio.sleep(4.0)
        idle = dict.fromkeys(range(ORDINARY), 0.0)
        longest = dict(idle)
        before = record.now()
        end = before + WATCHED_S
        while record.now() < end and any(left(cell, number) for number in idle):
            await asyncio.sleep(0.1)
            passed, before = record.now() - before, record.now()
            for number in idle:
                is_idle = left(cell, number) and not cell.fleet.running(job_id(number))
                idle[number] = idle[number] + passed if is_idle else 0.0
                longest[number] = max(longest[number], idle[number])
        for number in idle:
            state = await client.state("/tickets/", job_id(number))
            record.write(
                f"job {job_id(number)}: {state}, {left(cell, number)} of {STEPS * TASKS} tasks "
                f"left, nothing of it ran for {longest[number]:.1f} s on end"
            )
        wide_starts = sum(row[2].startswith(job_id(0xFF00)) for row in cell.fleet.starts)
        record.write(f"{wide_starts} starts of the wide job")
        for vm in cell.vms:
            record.write(f"{vm.name}: peak {vm.peak_mb:.0f} MB, ends {vm.own_ends}")
        return max(longest.values()) < IDLE_S


main(run)
