"""A worker is lost, and no rack can hold a gang any more that wants one: it never runs."""

import asyncio
import sys
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))
from cell3 import Cell, Client, main  # noqa: E402

RACKS = {"r1": 3, "r2": 2, "r3": 2}
JOB = "00000000000000a1"
WORK_S = 4.0


async def run(record, trouble):
    async with Cell(record) as cell, aiohttp.ClientSession() as session:
        client = Client(cell, session)
        route = {"name": "renders", "prefix": "/renders/", "service": "room", "priority": 1}
        route |= {"max-attempts": 3, "stretch": 2.2, "target-completion-ms": 1000}
        cell.configure([route], ["room"])
        for rack, count in RACKS.items():
            for number in range(count):
                name = f"{rack}-w{number}"
                await cell.add_worker(name, "room", cpu=128_000, mem=262_144, gpu=8, rack=rack)
        await cell.start_vms()
        if trouble:
            cell.fleet.by_name["r1-w0"].vanish()
            record.write("worker r1-w0 is lost for good")
            await asyncio.sleep(8.0)
        step = {"count": 3, "cpu": 62_000, "mem-mb": 90_000, "gpu": 8, "gang": True}
        step |= {"same-rack": True, "estimated-ms": int(1000 * WORK_S)}
        if not await client.submit("/renders/", JOB, {"spec": "r", "steps": [step]}):
            return None
        await asyncio.sleep(10.0)
        longest = idle = 0.0
        for _ in range(300):
            await asyncio.sleep(0.1)
            if len(cell.fleet.done()) == 3:
                break
            idle = 0.0 if cell.fleet.running(JOB) else idle + 0.1
            longest = max(longest, idle)
        state = await client.state("/renders/", JOB)
        record.write(f"state {state}; nothing of it ran for {longest:.1f} s on end")
        return longest < 3.0


main(run)
