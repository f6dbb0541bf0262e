"""Load generator for the caller API.

Sends jobs at a fixed rate regardless of response times (open loop), and prints counts and latencies
by outcome. Run as ``python -m hornbeamramp.standins.load --address 127.0.0.1:PORT --route tickets=3
--route imaging=1,tasks=2 --rate 50 --duration 10``.

Outcomes: ``completed``, ``failed`` (completed with failed tasks), ``accepted`` (202), ``not_run``,
``unknown``, ``mismatched`` (a result that does not belong to the payload, or a wrong number of
results), ``invalid`` (any other status or body), ``unreachable`` (no complete response),
``timeout`` and ``skipped`` (not sent because of the concurrency limit).
"""

import asyncio
import itertools
import math
import random
import uuid
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Literal

import aiohttp
import cyclopts
import msgspec
import uvloop

from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.resources import Resources
from hornbeamramp.standins.worker_model import expected_answer

__all__ = [
    "LoadPlan",
    "LoadReport",
    "LoadRow",
    "RouteLoad",
    "classify",
    "parse_route",
    "render_table",
    "run_load",
]


class RouteLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs for one route.

    `weight`
        Share of the jobs, relative to the other routes.
    `run_ms`
        Declared run time in milliseconds, or ``None`` for the route's default.
    `idempotent`
        Value sent with each job, or ``None`` for the route's default.
    `keyed`
        Whether each job has its own ``Idempotency-Key``.
    `respond_async`
        Whether the jobs request an immediate 202 response instead of waiting for the results.
    `resources`
        Resources sent with each job, or ``None`` for the route's default.
    """

    name: str
    weight: float = 1.0
    tasks: int = 1
    run_ms: int | None = None
    idempotent: bool | None = None
    keyed: bool = False
    respond_async: bool = False
    team: str = "load"
    resources: Resources | None = None


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a load run.

    `addresses`
        ``ip:port`` of the entry VMs, used round-robin.
    `rate`
        Jobs per second.
    `duration`
        Length of the run in seconds.
    `concurrency`
        Maximum number of outstanding jobs; jobs above it are counted as skipped.
    `deadline_ms`
        Deadline of each job in milliseconds, or ``None``.
    `timeout`
        Longest time to wait for a response, in seconds.
    `payload_bytes`
        Size of the random payload, which is sent as a base64 string.
    `seed`
        Seed for the choice of routes and for the payloads.
    """

    addresses: list[str]
    routes: list[RouteLoad]
    rate: float
    duration: float
    concurrency: int = 1000
    deadline_ms: int | None = None
    timeout: float = 30.0
    payload_bytes: int = 64
    seed: int = 1


class LoadRow(msgspec.Struct, frozen=True):
    """Count and latencies in milliseconds of one outcome on one route.

    ``detail`` is the reason or status in the response. Latency is measured from the time at which
    the job was due, so that a late send counts towards it.
    """

    route: str
    outcome: str
    detail: str
    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class LoadReport(msgspec.Struct, frozen=True):
    """Result of a run.

    ``due`` is the number of jobs; ``elapsed`` is in seconds, from the first job due to the last
    response.
    """

    due: int
    elapsed: float
    rows: list[LoadRow]


class _Answer(msgspec.Struct, frozen=True):
    upstream: str
    payload_base64: bytes = b""


class _CompletedBody(msgspec.Struct, frozen=True):
    id: str
    state: Literal["completed", "failed"]
    data_centre: str
    answers: list[_Answer]


class _ProblemBody(msgspec.Struct, frozen=True):
    outcome: str
    reason: str = ""


def classify(status: int, body: bytes, payload: bytes, tasks: int) -> tuple[str, str]:
    """Returns outcome and detail of a response, see the module docstring.

    ``payload`` is the JSON text of the payload as sent, ``tasks`` the number of tasks of the job.
    """
    try:
        if status == 202:
            return "accepted", ""
        if status in (200, 201):
            # 201 means that a service has started; its tasks have no results yet.
            expected_count = tasks if status == 200 else 0
            document = msgspec.json.decode(body, type=_CompletedBody)
            return _classify_completed(document, payload, expected_count)
        problem = msgspec.json.decode(body, type=_ProblemBody)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return "invalid", str(status)
    if problem.outcome in ("not_run", "unknown"):
        return problem.outcome, problem.reason or str(status)
    return "invalid", str(status)


def _classify_completed(
    body: _CompletedBody, payload: bytes, expected_count: int
) -> tuple[str, str]:
    if body.state == "failed":
        return "failed", ""
    answer = expected_answer(payload)
    if len(body.answers) != expected_count:
        return "mismatched", f"{len(body.answers)} answers instead of {expected_count}"
    if any(row.payload_base64 != answer for row in body.answers):
        return "mismatched", "payload"
    return "completed", ""


class _LoadRun:
    def __init__(self, plan: LoadPlan, clock: Clock) -> None:
        self._plan = plan
        self._clock = clock
        self._random = random.Random(plan.seed)
        self._addresses = itertools.cycle(plan.addresses)
        self._latencies_by_row: dict[tuple[str, str, str], list[float]] = {}

    async def run(self) -> LoadReport:
        plan = self._plan
        job_count = max(int(plan.rate * plan.duration), 1)
        weights = [route.weight for route in plan.routes]
        timeout = aiohttp.ClientTimeout(total=plan.timeout)
        connector = aiohttp.TCPConnector(limit=0)
        started_at = self._now_s()
        pending: set[asyncio.Task[None]] = set()
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            for number in range(job_count):
                due_at = started_at + number / plan.rate
                await asyncio.sleep(max(due_at - self._now_s(), 0.0))
                route = self._random.choices(plan.routes, weights)[0]
                payload = msgspec.json.encode(self._random.randbytes(plan.payload_bytes))
                if len(pending) >= plan.concurrency:
                    self._record(route, "skipped", "", due_at)
                    continue
                task = asyncio.create_task(self._send(session, route, payload, due_at))
                pending.add(task)
                task.add_done_callback(pending.discard)
            await asyncio.gather(*pending)
        return LoadReport(job_count, round(self._now_s() - started_at, 3), self._rows())

    async def _send(
        self, session: aiohttp.ClientSession, route: RouteLoad, payload: bytes, due_at: float
    ) -> None:
        url = f"http://{next(self._addresses)}/v1/jobs"
        try:
            async with session.post(
                url, data=self._body(route, payload), headers=_headers(route)
            ) as response:
                body = await response.read()
                outcome, detail = classify(response.status, body, payload, route.tasks)
        except TimeoutError:
            outcome, detail = "timeout", ""
        except (aiohttp.ClientError, OSError) as error:
            outcome, detail = "unreachable", type(error).__name__
        self._record(route, outcome, detail, due_at)

    def _body(self, route: RouteLoad, payload: bytes) -> bytes:
        fields = {
            "route": route.name,
            "payload": msgspec.Raw(payload),
            "tasks": route.tasks,
            "team": route.team,
            "deadline_ms": self._plan.deadline_ms,
            "run_ms": route.run_ms,
            "idempotent": route.idempotent,
            "resources": route.resources,
        }
        return msgspec.json.encode({k: v for k, v in fields.items() if v is not None})

    def _record(self, route: RouteLoad, outcome: str, detail: str, due_at: float) -> None:
        latency_ms = (self._now_s() - due_at) * 1000
        key = (route.name, outcome, detail)
        self._latencies_by_row.setdefault(key, []).append(latency_ms)

    def _rows(self) -> list[LoadRow]:
        return [
            LoadRow(
                *key,
                len(latencies),
                _percentile(latencies, 0.5),
                _percentile(latencies, 0.99),
                round(max(latencies), 1),
            )
            for key, latencies in sorted(self._latencies_by_row.items())
        ]

    def _now_s(self) -> float:
        return self._clock.boot_time().total_seconds()


async def run_load(plan: LoadPlan, clock: Clock | None = None) -> LoadReport:
    """Sends the jobs of ``plan`` and returns the report once all are answered or timed out.

    Raises ``ValueError`` if the plan has no route or no address, or its rate is not positive.
    """
    if not plan.routes or not plan.addresses or plan.rate <= 0:
        raise ValueError("load plan without a route, an address or a rate above 0")
    return await _LoadRun(plan, clock or SystemClock()).run()


def parse_route(text: str) -> RouteLoad:
    """Parses a route in the form ``NAME=WEIGHT[,FIELD=VALUE...]``.

    Fields are ``tasks``, ``run_ms``, ``idempotent``, ``keyed``, ``respond_async``, ``team`` and
    the fields of `Resources`. Raises ``ValueError`` on an unknown field or an invalid value.
    """
    head, *field_texts = text.split(",")
    name, _, weight = head.partition("=")
    fields: dict[str, object] = dict(part.partition("=")[::2] for part in field_texts)
    resource_fields = {k: fields.pop(k) for k in Resources.__struct_fields__ if k in fields}
    if resource_fields:
        fields["resources"] = resource_fields
    unknown = set(fields) - set(RouteLoad.__struct_fields__)
    if unknown:
        raise ValueError(f"unknown fields in --route: {', '.join(sorted(unknown))}")
    return msgspec.convert(
        {"name": name, "weight": weight or 1.0, **fields}, RouteLoad, strict=False
    )


def render_table(report: LoadReport) -> str:
    """Returns the report as a plain-text table."""
    titles = ("route", "outcome", "detail", "count", "p50 ms", "p99 ms", "max ms")
    rows = [titles, *(tuple(str(v) for v in msgspec.structs.astuple(r)) for r in report.rows)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(titles))]
    lines = [_align(row, widths) for row in rows]
    counts = Counter[str]()
    for row in report.rows:
        counts[row.outcome] += row.count
    totals = ", ".join(f"{count} {outcome}" for outcome, count in sorted(counts.items()))
    return "\n".join([*lines, f"{report.due} jobs due in {report.elapsed} s: {totals}"])


def _align(row: Iterable[str], widths: Sequence[int]) -> str:
    cells = (
        cell.ljust(width) if index < 3 else cell.rjust(width)
        for index, (cell, width) in enumerate(zip(row, widths, strict=True))
    )
    return "  ".join(cells).rstrip()


def _headers(route: RouteLoad) -> dict[str, str]:
    headers = {"Content-Type": "application/json"}
    if route.keyed:
        headers["Idempotency-Key"] = str(uuid.uuid4())
    if route.respond_async:
        headers["Prefer"] = "respond-async"
    return headers


def _percentile(values: list[float], share: float) -> float:
    """Returns the nearest-rank percentile; ``share`` is from 0 to 1."""
    ordered = sorted(values)
    return round(ordered[max(math.ceil(share * len(ordered)) - 1, 0)], 1)


def main(
    *,
    address: list[str],
    route: list[str],
    rate: float,
    duration: float,
    concurrency: int = 1000,
    deadline_ms: int | None = None,
    timeout: float = 30.0,
    payload_bytes: int = 64,
    seed: int = 1,
    json: bool = False,
) -> None:
    """Send jobs to the caller API and print counts and latencies by outcome.

    Parameters
    ----------
    address
        ip:port of an entry VM; may be repeated.
    route
        NAME=WEIGHT[,tasks=2][,run_ms=100][,idempotent=false][,keyed=true][,respond_async=true]
        [,team=NAME][,processors_milli=1000]...; may be repeated.
    rate
        Jobs per second.
    duration
        Length of the run in seconds.
    concurrency
        Maximum number of outstanding jobs.
    deadline_ms
        Deadline of each job in milliseconds.
    timeout
        Longest wait for a response in seconds.
    payload_bytes
        Size of the payload.
    seed
        Seed for the choice of routes and for the payloads.
    json
        Print JSON instead of a table.
    """
    try:
        plan = LoadPlan(
            addresses=address,
            routes=[parse_route(text) for text in route],
            rate=rate,
            duration=duration,
            concurrency=concurrency,
            deadline_ms=deadline_ms,
            timeout=timeout,
            payload_bytes=payload_bytes,
            seed=seed,
        )
        report = uvloop.run(run_load(plan))
    except ValueError as error:
        raise SystemExit(f"error: {error}") from error
    print(msgspec.json.encode(report).decode() if json else render_table(report))


if __name__ == "__main__":
    cyclopts.run(main)
