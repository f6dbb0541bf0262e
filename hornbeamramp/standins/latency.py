"""Measures the latency added by each hop: a short task on three paths, compared in one run.

Run as ``python -m hornbeamramp.standins.latency``. Starts a cell of one data centre with two entry
processes and four workers on loopback, and sends the same short task through the entry VM that owns
the shard, through the one that does not, and directly to a worker by the upstream protocol (a start
and a wait for the result). Prints p50 and p99 of each path when idle, and the highest rate, raised
in steps, at which no request fails and p99 is below ten times the idle p99.
"""

import asyncio
import itertools
import json
import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import cyclopts
import msgspec
import uvloop

from hornbeamramp.standins.cell import LocalCell, WorkerSpec

__all__ = ["percentile", "run_latency"]

ROUTE = {"name": "short", "pool": "tickets", "run_ms": 1, "resources": {"processors_milli": 10}}
RATES_PER_S = (25, 50, 100, 200, 400, 800)
STEP_DURATION_S = 3.0
P99_LIMIT_FACTOR = 10.0

Send = Callable[[], Awaitable[bool]]


class PathReport(msgspec.Struct, frozen=True):
    """Results of one path.

    ``rate_under_limit`` is in requests per second, 0 if no step passed. ``steps`` has the rate, the
    p99 in milliseconds and the number of failures of each step.
    """

    path: str = msgspec.field(name="way")
    idle_p50_ms: float
    idle_p99_ms: float
    idle_failed: int
    rate_under_limit: int
    steps: list[dict[str, float]]


def percentile(values: list[float], share: float) -> float:
    """Returns the nearest-rank percentile; ``share`` is from 0 to 1."""
    ordered = sorted(values)
    return round(ordered[max(math.ceil(share * len(ordered)) - 1, 0)], 2)


async def run_latency(requests: int, step_seconds: float = STEP_DURATION_S) -> list[PathReport]:
    """Starts the cell and measures each path; ``requests`` is the number sent to each when idle."""
    workers = [WorkerSpec(f"worker-{n}", "gebze", "tickets") for n in range(1, 5)]
    async with LocalCell(["gebze"], 2, workers) as cell, _session() as session:
        await cell.put_tables([ROUTE])
        await cell.wait_serving()
        status = (await cell.admin_client().status()).unwrap()
        owner = status["shards"][0]["owner"]
        url_by_ownership = {entry.vm == owner: entry.url for entry in cell.entries}
        paths: list[tuple[str, Send]] = [
            ("entry VM that does not own", _through_entry(session, url_by_ownership[False])),
            ("entry VM that owns", _through_entry(session, url_by_ownership[True])),
            ("upstream directly", _to_upstream(session, workers[0].address)),
        ]
        idle = await _measure_idle([send for _, send in paths], requests)
        return [
            await _measure_path(path, send, *idle_result, step_seconds)
            for (path, send), idle_result in zip(paths, idle, strict=True)
        ]


def _session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(connector=connector, timeout=aiohttp.ClientTimeout(total=20))


def _through_entry(session: aiohttp.ClientSession, url: str) -> Send:
    body = {"route": "short", "payload": "x"}

    async def send() -> bool:
        async with session.post(f"{url}/v1/jobs", json=body) as response:
            document: dict[str, Any] = json.loads(await response.read())
            return response.status == 200 and document["state"] == "completed"

    return send


def _to_upstream(session: aiohttp.ClientSession, address: str) -> Send:
    numbers = itertools.count()

    async def send() -> bool:
        # The epoch is above that of any owner, so that no fence in the cell refuses the attempt.
        attempt = f"direct-{next(numbers)}.0.1000.0"
        url = f"http://{address}/v1/tasks/{attempt}"
        labels = {"shard": "direct@gebze", "epoch": 1000, "owner": "direct", "job_id": attempt}
        body = {
            "payload": "eA==",
            "resources": ROUTE["resources"],
            "lease_ms": 6_000,
            "run_ms": ROUTE["run_ms"],
            "not_after_at_ms": int(time.time() * 1000) + 5_000,
            "labels": labels,
        }
        async with session.put(url, json=body) as response:
            await response.read()
            if response.status != 200:
                return False
        async with session.get(f"{url}?wait_ms=5000") as response:
            await response.read()
            return response.status == 200

    return send


async def _measure_idle(sends: list[Send], requests: int) -> list[tuple[list[float], int]]:
    """Returns latencies in milliseconds and failures of each path.

    Requests are sent one at a time, to the paths in turn.
    """
    results: list[tuple[list[float], int]] = []
    latencies: list[list[float]] = [[] for _ in sends]
    failed = [0] * len(sends)
    for send in sends:
        await send()
    for _ in range(requests):
        for index, send in enumerate(sends):
            started_at = time.monotonic()
            failed[index] += not await send()
            latencies[index].append((time.monotonic() - started_at) * 1000)
    for pair in zip(latencies, failed, strict=True):
        results.append(pair)
    return results


async def _measure_path(
    path: str, send: Send, idle: list[float], failed: int, step_seconds: float
) -> PathReport:
    idle_p99 = percentile(idle, 0.99)
    steps = []
    highest_rate = 0
    for rate in RATES_PER_S:
        latencies, step_failed = await _measure_rate(send, rate, step_seconds)
        p99 = percentile(latencies, 0.99)
        steps.append({"rate": rate, "p99_ms": p99, "failed": step_failed})
        if step_failed or p99 >= P99_LIMIT_FACTOR * idle_p99:
            break
        highest_rate = rate
    return PathReport(path, percentile(idle, 0.5), idle_p99, failed, highest_rate, steps)


async def _measure_rate(send: Send, rate: int, seconds: float) -> tuple[list[float], int]:
    """Sends at a fixed rate regardless of response times; returns latencies and failures.

    Latencies are in milliseconds from the time at which the request was due.
    """
    latencies: list[float] = []
    failures = 0
    started_at = time.monotonic()

    async def send_one(due_at: float) -> None:
        nonlocal failures
        try:
            failures += not await send()
        except (aiohttp.ClientError, TimeoutError, OSError):
            failures += 1
        latencies.append((time.monotonic() - due_at) * 1000)

    tasks = []
    for number in range(int(rate * seconds)):
        due_at = started_at + number / rate
        await asyncio.sleep(max(due_at - time.monotonic(), 0.0))
        tasks.append(asyncio.create_task(send_one(due_at)))
    await asyncio.gather(*tasks)
    return latencies, failures


def main(*, requests: int = 200, json: bool = False) -> None:
    """Measure a short task through both kinds of entry VM and directly at the upstream.

    Parameters
    ----------
    requests
        Number of requests on each path when idle.
    json
        Print JSON instead of a table.
    """
    reports = uvloop.run(run_latency(requests))
    if json:
        print(msgspec.json.encode(reports).decode())
        return
    print(f"{'way':28} {'p50 ms':>8} {'p99 ms':>8} {'failed':>7} {'requests/s':>11}")
    for row in reports:
        print(
            f"{row.path:28} {row.idle_p50_ms:8.2f} {row.idle_p99_ms:8.2f} {row.idle_failed:7}"
            f" {row.rate_under_limit:11}"
        )
        steps = ", ".join(
            f"{s['rate']}/s: {s['p99_ms']} ms, {s['failed']} failed" for s in row.steps
        )
        print(f"  p99 by rate: {steps}")


if __name__ == "__main__":
    cyclopts.run(main)
