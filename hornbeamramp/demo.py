"""Demonstration: runs jobs of every kind on a cell of three data centres on loopback."""

import asyncio
import base64
import json
import time
from typing import Any

from rich.console import Console
from rich.table import Table

from hornbeamramp.standins.cell import EntryHandle, LocalCell, WorkerSpec
from hornbeamramp.standins.worker_model import expected_answer

__all__ = ["run_demo"]

DATA_CENTRES = ["gebze", "dilovasi", "tuzla"]

ROUTES = [
    {"name": "weigh-ticket", "pool": "ticket", "band": 0, "run_ms": 40},
    {"name": "settlement", "pool": "ticket", "band": 2, "run_ms": 80, "idempotent": False},
    {"name": "gate-watcher", "pool": "ticket", "kind": "service", "band": 1},
    {
        "name": "render",
        "pool": "imaging",
        "band": 3,
        "run_ms": 200,
        "resources": {"processors_milli": 16000, "memory_mib": 16384, "accelerators": 1},
    },
    {
        "name": "sorting-gang",
        "pool": "imaging",
        "kind": "gang",
        "band": 2,
        "run_ms": 150,
        "resources": {"processors_milli": 8000, "memory_mib": 8192, "accelerators": 2},
    },
]

# Label, route, further fields of the request body, request headers.
JOBS: list[tuple[str, str, dict[str, Any], dict[str, str]]] = [
    ("weigh ticket", "weigh-ticket", {"deadline_ms": 2000}, {}),
    ("settlement", "settlement", {}, {"Idempotency-Key": "settlement-1"}),
    ("settlement again", "settlement", {}, {"Idempotency-Key": "settlement-1"}),
    ("render", "render", {}, {}),
    ("gang of 4", "sorting-gang", {"tasks": 4}, {}),
    ("render, later", "render", {}, {"Prefer": "respond-async"}),
    ("gate watcher", "gate-watcher", {"tasks": 2}, {}),
]


def demo_workers() -> list[WorkerSpec]:
    """Returns two ticket workers and two imaging workers for each data centre."""
    workers = []
    for data_centre in DATA_CENTRES:
        for number in (1, 2):
            rack = f"{data_centre}-rack-{number}"
            name = f"{data_centre}-ticket-{number}"
            workers.append(WorkerSpec(name, data_centre, "ticket", rack=rack))
            workers.append(
                WorkerSpec(
                    f"{data_centre}-imaging-{number}",
                    data_centre,
                    "imaging",
                    rack=rack,
                    processors="128",
                    memory_mib="262144",
                    accelerators="8",
                    speed="1.5" if number == 2 else "1.0",
                )
            )
    return workers


async def run_demo(verbose: bool) -> int:
    """Runs the demonstration and returns the exit status: 0 if every answer was right, else 1.

    With ``verbose`` it also prints the owner of each shard.
    """
    console = Console()
    console.print("starting 6 entry processes, 12 workers and the platform on loopback")
    cell = LocalCell(DATA_CENTRES, 2, demo_workers())
    async with cell:
        await cell.put_tables(ROUTES)
        await cell.wait_serving()
        status = (await cell.admin_client().status()).unwrap()
        owner_by_shard = {shard["shard"]: shard["owner"] for shard in status["shards"]}
        rows = [
            await _run_job(cell, owner_by_shard, number, job) for number, job in enumerate(JOBS)
        ]
        rows.append(await _cancel_service(cell, rows))
        _print_rows(console, rows)
        if verbose:
            for shard, owner in sorted(owner_by_shard.items()):
                console.print(f"{shard} is owned by {owner}")
    wrong = [row for row in rows if not row["right"]]
    console.print("all answers are right" if not wrong else f"{len(wrong)} answers are WRONG")
    return 1 if wrong else 0


async def _run_job(
    cell: LocalCell,
    owner_by_shard: dict[str, str],
    number: int,
    job: tuple[str, str, dict[str, Any], dict[str, str]],
) -> dict[str, Any]:
    label, route, fields, headers = job
    entry = _non_owner_entry(cell, owner_by_shard, route, number)
    body = {"route": route, "payload": {"demo": label.removesuffix(" again")}, **fields}
    started_at = time.monotonic()
    status, answer = await cell.submit(entry, body, headers)
    if status == 202:
        status, answer = await _poll_until_finished(cell, entry, answer["id"])
    elapsed_ms = (time.monotonic() - started_at) * 1000
    tasks = fields.get("tasks", 1)
    right = status == 201 if route == "gate-watcher" else _is_right(status, answer, body, tasks)
    return {
        "label": label,
        "entry": entry.vm,
        "status": status,
        "id": answer.get("id", ""),
        "upstreams": ", ".join(sorted(x["upstream"] for x in answer.get("answers", []))),
        "detail": answer.get("detail", answer.get("state", "")),
        "ms": elapsed_ms,
        "right": right,
        "handle": entry,
    }


def _non_owner_entry(
    cell: LocalCell, owner_by_shard: dict[str, str], route: str, number: int
) -> EntryHandle:
    """Returns an entry process that owns no shard of the route's pool, or any if all own one.

    A job sent to it has to be forwarded to the owner.
    """
    pool = next(row["pool"] for row in ROUTES if row["name"] == route)
    owners_of_pool = {
        owner for shard, owner in owner_by_shard.items() if shard.startswith(f"{pool}@")
    }
    candidates = [entry for entry in cell.entries if entry.vm not in owners_of_pool] or cell.entries
    return candidates[number % len(candidates)]


async def _poll_until_finished(
    cell: LocalCell, entry: EntryHandle, job_id: str
) -> tuple[int, dict[str, Any]]:
    for _ in range(200):
        status, answer = await cell.request("GET", f"{entry.url}/v1/jobs/{job_id}")
        if status != 200 or answer["state"] in ("completed", "failed"):
            return status, answer
        await asyncio.sleep(0.05)
    return 0, {"detail": "no answer within 10 s"}


async def _cancel_service(cell: LocalCell, rows: list[dict[str, Any]]) -> dict[str, Any]:
    row = rows[-1]
    started_at = time.monotonic()
    url = f"{row['handle'].url}/v1/jobs/{row['id']}"
    status, answer = await cell.request("DELETE", url)
    return {
        **row,
        "label": "stop the watcher",
        "status": status,
        "detail": answer.get("state", answer.get("detail", "")),
        "ms": (time.monotonic() - started_at) * 1000,
        "right": status == 202,
    }


def _is_right(status: int, answer: dict[str, Any], body: dict[str, Any], tasks: int) -> bool:
    payload = json.dumps(body["payload"]).encode()
    expected = base64.b64encode(expected_answer(payload)).decode()
    answers = [row.get("payload_base64") for row in answer.get("answers", [])]
    return status == 200 and answers == [expected] * tasks


def _print_rows(console: Console, rows: list[dict[str, Any]]) -> None:
    table = Table()
    for heading in ("job", "entry VM", "status", "answered by", "state", "ms", "right"):
        table.add_column(heading)
    for row in rows:
        table.add_row(
            row["label"],
            row["entry"],
            str(row["status"]),
            row["upstreams"] or "-",
            str(row["detail"]),
            f"{row['ms']:.0f}",
            "yes" if row["right"] else "NO",
        )
    console.print(table)
