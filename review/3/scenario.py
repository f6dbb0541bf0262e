"""A client that leaves and cancels its job, while the job waits behind a commit whose answer is
lost."""

import asyncio
import json
from pathlib import Path

from standins.cell import Cell, run_case

PREFIX = "/orders/"
JOB, OTHER = "0f85c0e7a21d94b3", "1185c0e7a21d94b3"
SERVICE = "service"
# Half of the objective of `gate-fis`, 250 ms.
PATIENCE_MS = 125
CANCEL_S = 3.0


async def scenario(cell: Cell, has_trouble: bool) -> list[str]:
    for number in (1, 2, 3):
        await cell.add_worker(f"i-{number}", SERVICE)
    cell.configure(1, [{"name": "r-orders", "prefix": PREFIX, "service": SERVICE}], [SERVICE])
    for vm in cell.vms:
        cell.start_vm(vm)
    await cell.wait_ready(cell.vms)
    await asyncio.sleep(4)
    first, second, third = cell.vms
    step = {"count": 2, "cpu": 500, "mem-mb": 256, "estimated-ms": 6000}
    job = {"spec": json.dumps({"ms": 6000}), "steps": [step, {**step, "after": [0]}]}
    if has_trouble:
        # The disruption: the store does the writes, and the answer of one in three is lost.
        cell.store.lose_answer_of = 3
        cell.record("answers of the store are lost", one_in=3)
    other = asyncio.create_task(cell.call(first, "POST", PREFIX + OTHER, job))
    await asyncio.sleep(0.06)
    await cell.call(second, "POST", PREFIX + JOB, job, deadline_ms=PATIENCE_MS)
    # The client has left, or has its answer; it doesn't want the job any more.
    cancelled = await cell.call(third, "DELETE", PREFIX + JOB)
    cancelled_at = cell.log[-1]["at"]
    assert cancelled.status in (200, 410), "the cancelling was not acknowledged"
    await asyncio.sleep(1.5)
    cell.store.lose_answer_of = 0
    cell.record("answers of the store arrive again", lost=cell.store.lost_answers)
    assert (await other).status == 200, "the other job was not accepted"
    await asyncio.sleep(15)
    await cell.call(third, "GET", PREFIX + JOB)
    return [
        f"{row['at']}: {row['task']} is started {row['at'] - cancelled_at:.1f} s after its job's "
        f"cancelling was acknowledged with {cancelled.status}"
        for row in cell.log
        if row["event"] == "start"
        and row["task"].startswith(JOB)
        and row["at"] > cancelled_at + CANCEL_S
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, scenario)
