"""A worker restarts, is told to start a task before its holder knows, and is cut off at once."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.world import Run, Worker, World  # noqa: E402

HOST = "review.example"
WORKERS = 12
# Workers of the zone that is cut off.
CUT_WORKERS = 3
UP_S = 7.0
DOWN_S = 0.1
# The cut may last 6.3 s; the rest is for the end of it.
CUT_S = 6.0
WORK_S = 14.0
ROUNDS = 5


async def main(trouble: bool) -> int:
    runs_at_once = []
    cut_from: list[float] = []
    is_new_boot = False

    def running(task: str) -> list[str]:
        return [
            f"run {w.run_by_task[task].number} on {w.name}"
            for w in world.worker_by_name.values()
            if w.is_up and task in w.run_by_task
        ]

    def on_start(worker: Worker, run: Run) -> None:
        if is_new_boot and not cut_from:
            # The answer to this start is the first that is lost.
            cut_from.append(world.record.now())
            for each in in_zone:
                each.cut()
        if len(running(run.task)) > 1:
            runs_at_once.append(run.task)
            world.record.write(f"BROKEN: two runs of {run.task}: {running(run.task)}")

    async with World(Path(__file__).parent, vms=3) as world:
        world.on_start = on_start
        world.plan = lambda w, r: (WORK_S, "done")
        for number in range(WORKERS):
            zone = "izmit" if number < CUT_WORKERS else "dilovasi"
            await world.add_worker(f"w{number:02}", "tickets", "a", f"r{number // 4}", zone)
        in_zone = [w for w in world.worker_by_name.values() if w.zone == "izmit"]
        route = {
            "name": "batch",
            "host": HOST,
            "prefix": "/batch/",
            "service": "tickets",
            "priority": 2,
            "max-attempts": 3,
            "stretch": 4.0,
            "target-completion-ms": 3000,
        }
        services = [{"name": "tickets", "admission-check": False}]
        world.configure({"version": 3, "services": services, "routes": [route]})
        await world.start_vms()
        if not await world.wait_ready():
            return 2
        step = {"count": 1, "cpu": 3300, "mem-mb": 12000, "estimated-ms": int(WORK_S * 1000)}
        body = {"spec": "batch", "steps": [step]}
        worker = world.worker_by_name["w00"]
        came = 0
        for number in range(ROUNDS):
            await asyncio.sleep(UP_S)
            cut_from.clear()
            if trouble:
                await worker.crash()
                await asyncio.sleep(DOWN_S)
                await worker.boot()
                is_new_boot = True
            path = f"/batch/{0xA700 + number:016x}"
            if not await world.client.submit(world.vms, HOST, path, body):
                return 2
            await asyncio.sleep(0.5)
            is_new_boot = False
            if cut_from:
                came += 1
                await asyncio.sleep(CUT_S - 0.5)
                await asyncio.gather(*(each.heal() for each in in_zone))
                await asyncio.sleep(2.0)
            await world.client.call(world.vms[0], "DELETE", HOST, path)
            if runs_at_once:
                break
        if trouble and not came:
            world.record.write("no start came to a new boot")
            return 2
        world.record.write(f"{len(runs_at_once)} times two runs of one task")
    return 1 if runs_at_once else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(os.environ.get("TROUBLE", "1") != "0")))
