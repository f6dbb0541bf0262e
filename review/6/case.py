"""A new version of the config drops a route while a job that came on it still has tasks to run."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.world import Run, Worker, World  # noqa: E402

HOST = "review.example"
LASTING = "00000000000000b1"
BATCH = "00000000000000b2"
WORKERS = 12
# From here on, a task that lasts has to run again (`LOST`): 6 s after its last run, and 3 s more.
LIMIT_S = 9.0
# Time in which nothing is disturbed any more, by which the bound is exceeded or not.
CALM_S = 30.0


def route(name: str, prefix: str) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "service": "tickets",
        "priority": 1,
        "max-attempts": 3,
        "stretch": 2.2,
        "target-completion-ms": 2500,
        "advice": {"decide-ms": 560, "each-ms": 8.0, "valid-ms": 2000},
    }


def config(version: int, *routes: dict) -> dict:
    services = [{"name": "tickets", "admission-check": False}]
    return {"version": version, "services": services, "routes": list(routes)}


async def main(trouble: bool) -> int:
    started_at: dict[str, float] = {}

    def on_start(worker: Worker, run: Run) -> None:
        started_at[run.task] = world.record.now()

    async with World(Path(__file__).parent, vms=3) as world:
        world.on_start = on_start
        world.plan = lambda w, r: (None, "done") if LASTING in r.task else (2.0, "done")
        world.advice.advised |= {LASTING, BATCH}
        for number in range(WORKERS):
            await world.add_worker(f"w{number:02}", "tickets", "a", f"r{number // 4}")
        watch, other = route("watchers", "/watch/"), route("others", "/other/")
        world.configure(config(3, watch, other))
        await world.start_vms()
        if not await world.wait_ready():
            return 2
        size = {"cpu": 4000, "mem-mb": 8300, "estimated-ms": 2000}
        lasting = {"spec": "watch", "steps": [{"count": 2, "long-running": True, **size}]}
        steps = [{"count": 2, **size}, {"count": 2, "after": [0], **size}]
        batch = {"spec": "batch", "steps": [*steps, {"count": 2, "after": [1], **size}]}
        for job, body in ((LASTING, lasting), (BATCH, batch)):
            if not await world.client.submit(world.vms, HOST, f"/watch/{job}", body):
                return 2
        await asyncio.sleep(3.0)
        if f"{LASTING}.0.0.0" not in started_at:
            return 2
        world.configure(config(7, other) if trouble else config(7, watch, other))
        await asyncio.sleep(4.0)
        ended = fail_one(world)
        failed_at = world.record.now()
        await asyncio.sleep(CALM_S)
        again = started_at.get(ended, 0.0) > failed_at
        late = started_at[ended] - failed_at if again else CALM_S
        late_batch = f"{BATCH}.0.2.0" not in started_at
        world.record.write(
            f"{ended}: {f'started again after {late:.1f} s' if again else 'not started again'};"
            f" last step of {BATCH}: {'never started' if late_batch else 'started'}"
        )
    return 1 if late > LIMIT_S or late_batch else 0


def fail_one(world: World) -> str:
    """Lets one task of the job that lasts fail, as such a task may at any time."""
    for worker in world.worker_by_name.values():
        for task in worker.run_by_task:
            if task.startswith(LASTING):
                worker.end(task, "failed")
                return task
    raise RuntimeError("the job that lasts doesn't run")


if __name__ == "__main__":
    sys.exit(asyncio.run(main(os.environ.get("TROUBLE", "1") != "0")))
