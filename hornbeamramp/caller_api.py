"""HTTP API for callers: submit, look up and cancel jobs."""

import base64
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import logbook
import msgspec
from aiohttp import hdrs, web
from opentelemetry import propagate, trace

from hornbeamramp.clock import Clock
from hornbeamramp.errors import SchedulerError
from hornbeamramp.forwarding import Forwarder
from hornbeamramp.http_server import HttpApp
from hornbeamramp.ids import JobId, RouteName, TeamId
from hornbeamramp.job_ids import shard_of
from hornbeamramp.jobs import (
    BatchJob,
    Completed,
    GangJob,
    Job,
    NotRun,
    Outcome,
    ServiceJob,
    TaskResult,
    Unknown,
)
from hornbeamramp.problems import (
    json_response,
    not_run_response,
    problem,
    unknown_response,
)
from hornbeamramp.resources import Resources
from hornbeamramp.settings import Settings
from hornbeamramp.states import JobKind, JobState, RefusalReason
from hornbeamramp.tables import Route, Tables
from hornbeamramp.telemetry import Metrics

__all__ = ["JobBody", "RequestCount", "caller_app"]

MAX_KEY_LENGTH = 200
JOB_TYPE_BY_KIND = {
    JobKind.BATCH: BatchJob,
    JobKind.SERVICE: ServiceJob,
    JobKind.GANG: GangJob,
}

_log = logbook.Logger("entry")
_tracer = trace.get_tracer(__name__)


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/jobs``. Absent resources, run time and idempotence come from the route.

    `payload`
        Any JSON value; passed to the upstream unchanged.
    `deadline_ms`
        Time in milliseconds after which the job is no longer started.
    """

    route: RouteName
    payload: msgspec.Raw = msgspec.Raw(b"null")
    resources: Resources | None = None
    tasks: int = 1
    deadline_ms: int | None = None
    idempotent: bool | None = None
    team: TeamId = TeamId("default")
    run_ms: int | None = None

    def __post_init__(self) -> None:
        if not 1 <= self.tasks <= 1000:
            raise ValueError("tasks must be from 1 to 1000")
        if self.deadline_ms is not None and self.deadline_ms <= 0:
            raise ValueError("deadline_ms must be more than 0")
        if self.run_ms is not None and self.run_ms <= 0:
            raise ValueError("run_ms must be more than 0")


class RequestCount:
    """Number of submit requests in flight."""

    def __init__(self) -> None:
        self.count = 0


def caller_app(
    settings: Settings,
    clock: Clock,
    metrics: Metrics,
    forwarder: Forwarder,
    tables: Callable[[], Tables],
    is_ready: Callable[[], bool],
    is_shutting_down: Callable[[], bool],
) -> tuple[HttpApp, RequestCount]:
    """Returns the application of the callers' listener and its count of submits in flight.

    `is_ready`
        Whether the load balancer may send requests to this VM.
    `is_shutting_down`
        Whether the process is shutting down and rejects new jobs.
    """
    app = HttpApp(settings.limits, _on_exception)
    api = _CallerApi(settings, clock, metrics, forwarder, tables, is_ready, is_shutting_down)
    app.add_route(api.submit, "/v1/jobs", hdrs.METH_POST)
    app.add_route(api.get, "/v1/jobs/{job_id}")
    app.add_route(api.cancel, "/v1/jobs/{job_id}", hdrs.METH_DELETE)
    app.add_route(api.live, "/livez")
    app.add_route(api.ready, "/readyz")
    return app, api.requests


class _CallerApi:
    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        forwarder: Forwarder,
        tables: Callable[[], Tables],
        is_ready: Callable[[], bool],
        is_shutting_down: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._forwarder = forwarder
        self._tables = tables
        self._is_ready = is_ready
        self._is_shutting_down = is_shutting_down
        self.requests = RequestCount()

    async def submit(self, request: web.BaseRequest) -> web.Response:
        """``POST /v1/jobs``."""
        if self._is_shutting_down():
            return _refusal(RefusalReason.SHUTTING_DOWN, "this VM is shutting down", 1)
        if self.requests.count >= self._settings.limits.waiting_requests:
            return _refusal(RefusalReason.OVERLOAD, "too many requests wait on this VM", 1)
        self.requests.count += 1
        started_at = self._clock.boot_time()
        parent = propagate.extract({k.lower(): v for k, v in request.headers.items()})
        try:
            with _tracer.start_as_current_span("caller request", context=parent) as span:
                response, label, route = await self._submit(request)
                span.set_attribute("outcome", label)
        finally:
            self.requests.count -= 1
        self._metrics.requests.add(1, {"route": route, "outcome": label})
        elapsed = self._clock.boot_time() - started_at
        self._metrics.request_time.record(elapsed.total_seconds(), {"route": route})
        if self._is_shutting_down():
            # A further request on this connection would be rejected.
            response.force_close()
        return response

    async def get(self, request: web.BaseRequest, job_id: str) -> web.Response:
        """``GET /v1/jobs/{id}``."""
        if shard_of(JobId(job_id)) is None:
            return _job_not_found(job_id)
        reply = await self._forwarder.get_job(JobId(job_id))
        return _job_response(JobId(job_id), reply.state, reply.outcome)

    async def cancel(self, request: web.BaseRequest, job_id: str) -> web.Response:
        """``DELETE /v1/jobs/{id}``."""
        if shard_of(JobId(job_id)) is None:
            return _job_not_found(job_id)
        reply = await self._forwarder.cancel(JobId(job_id))
        if reply.state is None:
            return _job_not_found(job_id)
        return json_response({"id": job_id, "state": reply.state.value}, status=HTTPStatus.ACCEPTED)

    async def live(self, request: web.BaseRequest) -> web.Response:
        """``GET /livez``."""
        return json_response({"live": True})

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """``GET /readyz``."""
        ready = self._is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return json_response({"ready": ready}, status=status)

    async def _submit(self, request: web.BaseRequest) -> tuple[web.Response, str, str]:
        """Returns the response, and the outcome label and route name for the metrics."""
        try:
            body = msgspec.json.decode(await request.read(), type=JobBody)
        except msgspec.MsgspecError as error:
            return _refusal(RefusalReason.MALFORMED, str(error)), "not_run", ""
        key = request.headers.get("idempotency-key")
        if key is not None and not (1 <= len(key) <= MAX_KEY_LENGTH and key.isascii()):
            detail = f"Idempotency-Key must have from 1 to {MAX_KEY_LENGTH} ASCII characters"
            return _refusal(RefusalReason.MALFORMED, detail), "not_run", ""
        tables = self._tables()
        route = tables.route_by_name.get(body.route)
        if route is None:
            detail = f"no route named {body.route!r}"
            return _refusal(RefusalReason.UNKNOWN_ROUTE, detail), "not_run", ""
        respond_async = "respond-async" in request.headers.get("prefer", "")
        job = _job_from_body(body, route, key, respond_async)
        request["forwarded"] = True
        reply = await self._forwarder.submit(job, tables.pool_by_name[route.pool])
        if reply.accepted is not None:
            return _accepted(reply.accepted), "accepted", route.name
        response, label = _outcome_response(reply.outcome, job)
        return response, label, route.name


def _job_from_body(body: JobBody, route: Route, key: str | None, asynchronous: bool) -> Job:
    deadline = None if body.deadline_ms is None else timedelta(milliseconds=body.deadline_ms)
    return JOB_TYPE_BY_KIND[route.kind](
        id=JobId(""),
        route=route.name,
        pool=route.pool,
        team=body.team,
        band=route.band,
        tasks=body.tasks,
        resources=body.resources or route.resources,
        payload=bytes(body.payload),
        deadline=deadline,
        declared_run=timedelta(milliseconds=body.run_ms or route.run_ms),
        # The caller cannot declare a job idempotent on a route that is not.
        idempotent=route.idempotent and body.idempotent is not False,
        asynchronous=asynchronous,
        key=key,
    )


def _outcome_response(outcome: Outcome | None, job: Job) -> tuple[web.Response, str]:
    if isinstance(outcome, NotRun):
        return not_run_response(outcome), "not_run"
    if isinstance(outcome, Completed):
        status = HTTPStatus.CREATED if isinstance(job, ServiceJob) else HTTPStatus.OK
        return json_response(_completed_body(outcome), status=status), "completed"
    if isinstance(outcome, Unknown):
        return unknown_response(outcome), "unknown"
    return unknown_response(Unknown(job.id, "the owner gave no outcome")), "unknown"


def _job_response(job_id: JobId, state: JobState | None, outcome: Outcome | None) -> web.Response:
    if isinstance(outcome, Completed):
        return json_response(_completed_body(outcome))
    if isinstance(outcome, NotRun):
        return not_run_response(outcome)
    if isinstance(outcome, Unknown):
        return unknown_response(outcome)
    if state is None:
        return _job_not_found(job_id)
    return json_response({"id": job_id, "state": state.value})


def _completed_body(outcome: Completed) -> dict[str, Any]:
    return {
        "id": outcome.job_id,
        "state": "failed" if outcome.failed else "completed",
        "data_centre": outcome.data_centre,
        "answers": [_answer_body(result) for result in outcome.results],
    }


def _answer_body(result: TaskResult) -> dict[str, Any]:
    try:
        payload = {"payload": msgspec.json.decode(result.payload)}
    except msgspec.MsgspecError:
        payload = {"payload_base64": base64.b64encode(result.payload).decode()}
    return {"upstream": result.upstream_id, **payload}


def _job_not_found(job_id: str) -> web.Response:
    return problem(HTTPStatus.NOT_FOUND, f"no job {job_id}")


def _accepted(job_id: JobId) -> web.Response:
    return json_response(
        {"id": job_id, "state": "accepted"},
        status=HTTPStatus.ACCEPTED,
        headers={"Location": f"/v1/jobs/{job_id}", "Preference-Applied": "respond-async"},
    )


def _refusal(reason: RefusalReason, detail: str, retry_after_s: int | None = None) -> web.Response:
    retry_after = None if retry_after_s is None else timedelta(seconds=retry_after_s)
    return not_run_response(NotRun(JobId(""), reason, detail, retry_after))


def _on_exception(request: web.BaseRequest, error: Exception) -> web.Response:
    # The job cannot have run if it was not yet handed to the forwarder.
    was_forwarded = request.get("forwarded", False)
    outcome = "unknown" if was_forwarded else "not_run"
    extra = {"outcome": outcome} if request.method == "POST" else {}
    if isinstance(error, SchedulerError):
        return problem(HTTPStatus.SERVICE_UNAVAILABLE, str(error), {"Retry-After": "1"}, **extra)
    _log.error("unhandled exception in a caller request: {!r}", error)
    return problem(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error", **extra)
