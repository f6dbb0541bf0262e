"""Tests of the load generator against a minimal caller API on loopback sockets."""

import asyncio
import base64
import contextlib
import json
import sys

import pytest
from aiohttp import web

from hornbeamramp.resources import Resources
from hornbeamramp.standins.load import (
    LoadPlan,
    RouteLoad,
    classify,
    parse_route,
    render_table,
    run_load,
)
from hornbeamramp.standins.serving import Listener
from hornbeamramp.standins.worker_model import expected_answer


def completed(payload: bytes, count: int = 1, **fields: object) -> bytes:
    answer = base64.b64encode(expected_answer(payload)).decode()
    row = {"upstream": "w1", "payload_base64": answer}
    document = {"id": "x", "state": "completed", "data_centre": "gebze", "answers": [row] * count}
    return json.dumps({**document, **fields}).encode()


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (200, completed(b"p", 2), "completed"),
        (200, completed(b"p", 2, state="failed"), "failed"),
        (200, completed(b"q", 2), "mismatched"),
        (200, completed(b"p", 1), "mismatched"),
        (200, completed(b"p", 2, state="running"), "invalid"),
        (201, completed(b"p", 0), "completed"),
        (201, completed(b"p", 2), "mismatched"),
        (200, b"{}", "invalid"),
        (200, b"", "invalid"),
        (202, b'{"id": "x"}', "accepted"),
        (503, b'{"outcome": "not_run", "reason": "overload"}', "not_run"),
        (504, b'{"outcome": "unknown"}', "unknown"),
        (500, b"oops", "invalid"),
        (400, b'{"outcome": "other"}', "invalid"),
    ],
)
def test_answer_is_classified(status, body, outcome):
    """Guards against counting a wrong, incomplete or malformed response as completed."""
    assert classify(status, body, b"p", 2)[0] == outcome


@contextlib.asynccontextmanager
async def caller_api_server(handler):
    application = web.Application()
    application.add_routes([web.post("/v1/jobs", handler)])
    listener = Listener(application, "127.0.0.1:0", cancel_handlers=True)
    await listener.start()
    try:
        yield listener.address
    finally:
        await listener.stop()


def test_each_job_due_is_counted_once(run):
    """Guards against jobs that are sent but not counted, or counted but not sent."""
    requests = []

    async def handle(request):
        fields = await request.json()
        requests.append((fields, request.headers))
        if fields["route"] == "refused":
            return web.json_response({"outcome": "not_run", "reason": "quota"}, status=503)
        # The payload was sent as a JSON string; encoding it again gives the same text.
        return web.Response(body=completed(json.dumps(fields["payload"]).encode(), fields["tasks"]))

    async def scenario():
        async with caller_api_server(handle) as address:
            routes = [
                RouteLoad(name="gang", tasks=3, keyed=True),
                RouteLoad(name="refused", weight=0.5),
            ]
            plan = LoadPlan(
                addresses=[address], routes=routes, rate=400, duration=0.1, deadline_ms=5
            )
            return await run_load(plan)

    report = run(scenario())
    counts = {(row.route, row.outcome, row.detail): row.count for row in report.rows}
    assert set(counts) == {("gang", "completed", ""), ("refused", "not_run", "quota")}
    assert sum(counts.values()) == report.due == len(requests) == 40
    keys = {headers["Idempotency-Key"] for f, headers in requests if f["route"] == "gang"}
    assert len(keys) == counts["gang", "completed", ""]
    assert all(fields["deadline_ms"] == 5 for fields, _ in requests)
    assert "quota" in render_table(report)


def test_jobs_beyond_the_concurrency_bound_are_counted_as_skipped(run):
    """Guards against a generator that slows down with the server and hides its overload."""

    async def handle(request):
        await asyncio.Event().wait()

    async def scenario():
        async with caller_api_server(handle) as address:
            plan = LoadPlan(
                addresses=[address],
                routes=[RouteLoad(name="r")],
                rate=1e6,
                duration=5e-6,
                concurrency=2,
                timeout=1.0,
            )
            return await run_load(plan)

    counts = {row.outcome: row.count for row in run(scenario()).rows}
    assert counts == {"skipped": 3, "timeout": 2}


def test_unreachable_address_is_counted(run):
    """Guards against an exception that ends the run and loses the counts."""
    # Nothing listens on port 1 of the loopback address; it is reserved.
    plan = LoadPlan(
        addresses=["127.0.0.1:1"], routes=[RouteLoad(name="r")], rate=1e6, duration=2e-6
    )
    assert [(row.outcome, row.count) for row in run(run_load(plan)).rows] == [("unreachable", 2)]


def test_route_argument():
    """Guards against a misspelt field that is ignored, so that the route keeps its defaults."""
    route = parse_route("imaging=0.5,tasks=2,run_ms=100,idempotent=false,keyed=true,memory_mib=7")
    assert route == RouteLoad(
        name="imaging",
        weight=0.5,
        tasks=2,
        run_ms=100,
        idempotent=False,
        keyed=True,
        resources=Resources(memory_mib=7),
    )
    assert parse_route("tickets") == RouteLoad(name="tickets")
    for bad in ("r=x", "r=1,task=2", "r=1,tasks=two"):
        with pytest.raises(ValueError):
            parse_route(bad)


def test_command_prints_json(run):
    """Guards against command-line options that do not reach the plan."""

    async def handle(request):
        return web.Response(status=202, body=b"{}")

    async def scenario():
        async with caller_api_server(handle) as address:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hornbeamramp.standins.load",
                *("--address", address, "--route", "a=1,respond_async=true", "--rate", "100"),
                *("--duration", "0.05", "--json"),
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
            return process.returncode, json.loads(output)

    code, report = run(scenario())
    assert code == 0
    assert [(row["outcome"], row["count"]) for row in report["rows"]] == [("accepted", 5)]
