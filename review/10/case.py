"""A worker answers one order on pace with 503 and doesn't carry it out."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.world import Run, Worker, World  # noqa: E402

HOST = "review.example"
SERVING = "00000000000000d1"
FILLING = "00000000000000d2"
WORKERS = 7
TARGET_MS = 100
HARM_S = 4.0
CONTACT_S = 3.0
WATCH_S = 30.0


def route(name: str, prefix: str, priority: int) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "service": "tickets",
        "priority": priority,
        "max-attempts": 3,
        "stretch": 2.2,
        "target-completion-ms": 2500,
    }


class Load:
    """The tails of the serving tasks; what fills beside them disturbs them more while clients are
    many."""

    def __init__(self) -> None:
        self.is_busy = False

    def tail_ms(self, worker: Worker) -> int:
        filling = sum(r.pace for r in worker.run_by_task.values() if FILLING in r.task)
        return 40 + int(min(filling, 100) * (0.8 if self.is_busy else 0.1))

    def __call__(self, worker: Worker, run: Run) -> int:
        return self.tail_ms(worker) if SERVING in run.task else 500


async def main(trouble: bool) -> int:
    load = Load()
    shed: list[float] = []
    orders: list[int] = []

    def sheds_pace(worker: Worker, body: dict[str, Any]) -> bool:
        orders.append(body["percent"])
        if not trouble or shed or body["percent"] != 0:
            return False
        shed.append(world.record.now())
        return True

    def plan(worker: Worker, run: Run) -> tuple[float | None, str]:
        return (None, "done") if SERVING in run.task else (500.0, "done")

    def has_fills() -> bool:
        return all(
            any(FILLING in task for task in w.run_by_task) for w in world.worker_by_name.values()
        )

    async with World(Path(__file__).parent, vms=3) as world:
        world.plan, world.load, world.sheds_pace = plan, load, sheds_pace
        for number in range(WORKERS):
            await world.add_worker(f"w{number:02}", "tickets", "a", f"r{number}")
        routes = [route("serving", "/serve/", 0), route("batch", "/batch/", 2)]
        services = [{"name": "tickets", "admission-check": False}]
        world.configure({"version": 3, "services": services, "routes": routes})
        await world.start_vms()
        if not await world.wait_ready():
            return 2
        size = {"cpu": 4000, "mem-mb": 8300, "estimated-ms": 400, "max-per-server": 1}
        serving = {"count": WORKERS, "long-running": True, "target-ms": TARGET_MS, "image": "s"}
        body = {"spec": "serve", "steps": [{**serving, **size}]}
        if not await world.client.submit(world.vms, HOST, f"/serve/{SERVING}", body):
            return 2
        await asyncio.sleep(2.0)
        fill = {"count": WORKERS, "fills": True, "image": "f", **size, "estimated-ms": 500_000}
        body = {"spec": "fill", "steps": [fill]}
        if not await world.client.submit(world.vms, HOST, f"/batch/{FILLING}", body):
            return 2
        await asyncio.sleep(2.0)
        if not has_fills():
            return 2
        load.is_busy = True
        world.record.write("clients are many")
        if not await wait_for(lambda: 0 in orders):
            world.record.write("no order on pace was sent")
            return 2
        # Judged from `contact-ms` after the answer 503, the only trouble.
        calm_from = (shed[0] if shed else world.record.now()) + CONTACT_S
        longest = await longest_harm(world, load, calm_from)
        world.record.write(f"longest time over the target beside tasks that fill: {longest:.1f} s")
    return 1 if longest > HARM_S else 0


async def longest_harm(world: World, load: Load, calm_from: float) -> float:
    """Returns for how long on end a serving task was over its target while what fills beside it
    worked on."""
    since: dict[str, float] = {}
    longest = 0.0
    while world.record.now() < calm_from + WATCH_S:
        await asyncio.sleep(0.05)
        now = world.record.now()
        for name, worker in world.worker_by_name.items():
            if load.tail_ms(worker) <= TARGET_MS or now < calm_from:
                since.pop(name, None)
                continue
            if name not in since:
                since[name] = now
                world.record.write(f"{name}: tail {load.tail_ms(worker)} ms, over the target")
            longest = max(longest, now - since[name])
    return longest


async def wait_for(condition, limit_s: float = 30.0) -> bool:
    for _ in range(int(limit_s / 0.05)):
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False


if __name__ == "__main__":
    sys.exit(asyncio.run(main(os.environ.get("TROUBLE", "1") != "0")))
