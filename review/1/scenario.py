"""A repeated POST, after its queue has moved to another service, at a VM that was restarted."""

import asyncio
import json
from pathlib import Path

from standins.cell import Cell, broken_twice, run_case

PREFIX = "/orders/"
JOB = "5c0e7a21d94b36f8"
SERVICES = ["old-service", "new-service"]


async def scenario(cell: Cell, has_trouble: bool) -> list[str]:
    for service in SERVICES:
        for number in (1, 2):
            await cell.add_worker(f"i-{service}-{number}", service)
    route = {"name": "r-orders", "prefix": PREFIX}
    cell.configure(1, [{**route, "service": SERVICES[0]}], SERVICES)
    for vm in cell.vms:
        cell.start_vm(vm)
    await cell.wait_ready(cell.vms)
    await asyncio.sleep(3)
    first, second = cell.vms[0], cell.vms[1]
    spec = json.dumps({"ms": 600})
    job = {"spec": spec, "steps": [{"count": 2, "cpu": 500, "mem-mb": 256, "estimated-ms": 600}]}
    accepted = await cell.call(first, "POST", PREFIX + JOB, job)
    assert accepted.status == 200, "the job was not accepted"
    await cell.wait_completed(first, PREFIX + JOB)
    cell.configure(2, [{**route, "service": SERVICES[1]}], SERVICES)
    if has_trouble:
        # The disruption: the platform stops one machine of the system and starts it again.
        await cell.stop_vm(second)
        cell.start_vm(second)
    await asyncio.sleep(2.5)
    await cell.wait_ready(cell.vms)
    # The client's request for the same id arrives again, at another node.
    await cell.call(second, "POST", PREFIX + JOB, job)
    await asyncio.sleep(5)
    await cell.call(first, "GET", PREFIX + JOB)
    return broken_twice(cell.log)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, scenario)
