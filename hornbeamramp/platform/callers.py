"""HTTP server for callers, for the platform's readiness probe and for metrics."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from datetime import timedelta

import logbook
import msgspec
from aiohttp import web
from result import Err

from hornbeamramp import instruments
from hornbeamramp.accounts import Access, AccessProblem
from hornbeamramp.guarded_http import Guard, GuardedServer, RequestRefusedError, refusal_response
from hornbeamramp.ids import NO_ACCOUNT, JobId
from hornbeamramp.listener_bounds import PROBE_BOUNDS, caller_bounds
from hornbeamramp.platform.decoding import decode_job
from hornbeamramp.platform.key_checks import KeyChecks
from hornbeamramp.platform.settings import LimitSettings
from hornbeamramp.telemetry import prometheus_text
from hornbeamramp.vm import (
    AccessDeniedError,
    CallerService,
    CancelResult,
    Node,
    UnavailableError,
)
from hornbeamramp.workload import ClusterConfig, RefusalKind, RequestLimits, RouteMatch

__all__ = ["CallerServer"]

JOB_ID = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)
# Time for which a caller waits if its request has no Deadline-Ms header.
DEFAULT_CALLER_TIMEOUT = timedelta(seconds=3)
# Longest wait of a request, whatever its Deadline-Ms header says.
MAX_CALLER_TIMEOUT = timedelta(minutes=1)
# Subtracted from the caller's deadline for the transmission of the response.
RESPONSE_MARGIN = timedelta(milliseconds=200)
# A request that its handler has not answered by its deadline, or by the time at which the server
# stops, is answered this much later without it.
HANDLER_MARGIN = timedelta(milliseconds=100)
# Idle connections stay open this long, and longer where the configuration says so; closing one
# earlier may lose a request already in flight.
KEEPALIVE_TIMEOUT = timedelta(seconds=75)
# Requests to the readiness probe and for metrics, which have no bodies.
PROBE_LIMITS = RequestLimits(max_header_bytes=8192, max_body_bytes=0)
DEFAULT_LIMITS = RequestLimits()
METRICS_PATH = "/metrics"
# Period at which a draining server checks whether callers are still connected.
DRAIN_POLL_INTERVAL = timedelta(milliseconds=100)
# Time for which connections may stay open after the last response was due.
CLOSE_TIMEOUT = timedelta(milliseconds=100)
# Delay after which a caller whose key could not be checked should come back: the configuration has
# been read again by then, or the VM reports itself as not ready.
KEY_CHECK_RETRY_AFTER = timedelta(seconds=1)
# The account sent too much; every other refusal is a failure on this side.
STATUS_BY_REFUSAL_KIND = {
    RefusalKind.UNAVAILABLE: 503,
    RefusalKind.BEYOND_SHARE: 429,
    RefusalKind.BEYOND_QUOTA: 429,
}
# Requests that take longer are logged. Most callers wait 3 s.
SLOW_REQUEST = timedelta(seconds=1)
# Iterations of the event loop from the arrival of a request until its handler runs.
HANDLER_START_ITERATIONS = 3

_log = logbook.Logger("callers")


class _OpenRequest:
    """A request that has no response yet.

    `timeout`
        Ends the handler. It is moved forward when the server stops.
    """

    def __init__(self, request: web.BaseRequest, now: timedelta) -> None:
        self.request = request
        self.started_at = now
        self.timeout: asyncio.Timeout | None = None


class CallerServer:
    """Serves one VM's callers. While draining, each response closes its connection.

    Each request is answered within the time that its caller waits, and before the server stops.
    What is held of requests that are being read, and how many connections are open, follow from the
    memory and the descriptors of the process.
    """

    def __init__(
        self, node: Node, service: CallerService, limits: LimitSettings | None = None
    ) -> None:
        self._node = node
        self._clock = node.clock
        self._service = service
        self._key_checks = KeyChecks(node)
        self._bounds = caller_bounds(limits or LimitSettings())
        self._runner: web.ServerRunner | None = None
        self._ready_runner: web.ServerRunner | None = None
        self._metrics_runner: web.ServerRunner | None = None
        self._open_requests: set[_OpenRequest] = set()
        # Boot time by which all responses are due; ``None`` until the server drains.
        self._stops_at: timedelta | None = None

    @property
    def is_draining(self) -> bool:
        return self._stops_at is not None

    async def start(self, frontend: str, ready: str, metrics: str) -> None:
        """Listens on the three addresses, each ``host:port``. Raises ``OSError``."""
        guard = Guard("callers", self._bounds, self._request_limits)
        self._runner = _runner(GuardedServer(self._on_request, guard, self._idle_timeout))
        self._ready_runner = _runner(_probe_server("ready", self._on_ready))
        self._metrics_runner = _runner(_probe_server("metrics", _on_metrics))
        listeners = (
            (self._runner, frontend),
            (self._ready_runner, ready),
            (self._metrics_runner, metrics),
        )
        for runner, address in listeners:
            await runner.setup()
            host, _, port = address.rpartition(":")
            await web.TCPSite(runner, host, int(port)).start()

    def _request_limits(self) -> RequestLimits:
        config = self._node.config
        return DEFAULT_LIMITS if config is None else config.request_limits

    def _idle_timeout(self) -> timedelta:
        return max(KEEPALIVE_TIMEOUT, self._request_limits().idle_timeout)

    def begin_drain(self, stops_at: timedelta) -> None:
        """Reports this VM as not ready, and limits all requests to a boot time."""
        self._stops_at = stops_at
        self._service.limit_waits(stops_at)
        for open_request in self._open_requests:
            self._limit(open_request)

    async def drain(self, until: timedelta) -> None:
        """Serves open connections until none is left, or until a boot time."""
        while self._open_requests or self._open_connections():
            if self._clock.boot_time() >= until:
                _log.info(
                    "drain ends with {} requests and {} connections open",
                    len(self._open_requests),
                    len(self._open_connections()),
                )
                return
            await self._clock.sleep(DRAIN_POLL_INTERVAL)

    async def close(self) -> None:
        """Closes idle connections, and the others once they have their response. Requests that
        have none when the server stops are logged and cut off."""
        for site in self._runner.sites if self._runner is not None else ():
            await site.stop()
        await self._close_idle_connections()
        stops_at = self._clock.boot_time() if self._stops_at is None else self._stops_at
        while self._open_requests and self._clock.boot_time() < stops_at + 2 * HANDLER_MARGIN:
            await self._clock.sleep(HANDLER_MARGIN / 4)
        for open_request in self._open_requests:
            method, path = open_request.request.method, open_request.request.path
            age = self._clock.boot_time() - open_request.started_at
            _log.error(
                "caller request {} {} is cut off unanswered after {}",
                method,
                path,
                age,
                extra={"event": "request_unanswered"},
            )
            instruments.unanswered_requests.add(1, {"method": method})
        for runner in (self._runner, self._ready_runner, self._metrics_runner):
            if runner is not None:
                await runner.cleanup()

    async def _close_idle_connections(self) -> None:
        # Requests that have arrived are read first, as a closed connection drops them.
        await _let_handlers_start()
        for connection in self._idle_connections():
            connection.close()
        # A request that has been read is still handled on a connection closed in this way.
        await _let_handlers_start()
        for connection in self._idle_connections():
            connection.force_close()

    def _idle_connections(self) -> list[web.RequestHandler]:
        busy = {open_request.request.protocol for open_request in self._open_requests}
        return [connection for connection in self._open_connections() if connection not in busy]

    def _open_connections(self) -> list[web.RequestHandler]:
        if self._runner is None or self._runner.server is None:
            return []
        return self._runner.server.connections

    async def _on_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        is_ready = self._node.is_ready and not self.is_draining
        return web.Response(status=200 if is_ready else 503)

    async def _on_request(self, request: web.BaseRequest) -> web.StreamResponse:
        open_request = _OpenRequest(request, self._clock.boot_time())
        self._open_requests.add(open_request)
        try:
            response = await self._answer(open_request)
        except BaseException as error:
            # Of a request whose answer is never sent, this is the last line.
            _log.info(
                "caller request {} {} ended without an answer after {}: {!r}",
                request.method,
                request.path,
                self._clock.boot_time() - open_request.started_at,
                error,
                extra={"event": "request_unanswered"},
            )
            raise
        finally:
            self._open_requests.discard(open_request)
        elapsed = (self._clock.boot_time() - open_request.started_at).total_seconds()
        instruments.requests.add(1, {"method": request.method, "status": response.status})
        instruments.request_time.record(elapsed, {"method": request.method})
        if elapsed >= SLOW_REQUEST.total_seconds():
            _log.info(
                "caller request {} {} answered {} after {:.3f} s",
                request.method,
                request.path,
                response.status,
                elapsed,
                extra={"event": "request_slow", "status": response.status},
            )
        if self.is_draining:
            response.force_close()
        return response

    async def _answer(self, open_request: _OpenRequest) -> web.StreamResponse:
        """Returns the handler's response, or one in its place if it fails or takes too long."""
        request = open_request.request
        limit = (_caller_timeout(request) + HANDLER_MARGIN).total_seconds()
        is_read = False
        try:
            async with asyncio.timeout(limit) as open_request.timeout:
                self._limit(open_request)
                await request.read()
                is_read = True
                return await self._handle(request)
        except RequestRefusedError as error:
            return refusal_response(error.refusal)
        except TimeoutError:
            if not is_read:
                response = _unavailable("the request did not arrive in time", timedelta(seconds=1))
                response.force_close()
                return response
            _log.warning("caller request {} {}: no result in time", request.method, request.path)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            _log.exception("caller request {} {}: wait cancelled", request.method, request.path)
        except Exception:
            if not is_read:
                raise
            _log.exception("caller request {} {} failed", request.method, request.path)
        return _json(504, {"error": "the outcome of the request is unknown"})

    def _limit(self, open_request: _OpenRequest) -> None:
        """Ends a request's handler before the server stops."""
        timeout = open_request.timeout
        if self._stops_at is None or timeout is None or timeout.expired():
            return
        left = self._stops_at + HANDLER_MARGIN - self._clock.boot_time()
        stops_at = asyncio.get_running_loop().time() + left.total_seconds()
        timeout.reschedule(min(timeout.when() or stops_at, stops_at))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        config = self._node.config
        if config is None:
            return _unavailable("no configuration yet", timedelta(seconds=1))
        timeout = _caller_timeout(request)
        route_match = _match(config, request)
        if route_match is None:
            return _json(404, {"error": "no such queue"})
        decided = self._key_checks.decide(config, route_match.queue, request)
        if decided == Err(AccessProblem.UNPROVED_CONFIG):
            asked_at = self._clock.boot_time()
            await self._key_checks.renew_proof(timeout)
            timeout = max(timeout - (self._clock.boot_time() - asked_at), timedelta(0))
            config = self._node.config or config
            route_match = _match(config, request)
            if route_match is None:
                return _json(404, {"error": "no such queue"})
            decided = self._key_checks.decide(config, route_match.queue, request)
        if isinstance(decided, Err):
            problem = decided.err_value
            self._key_checks.record_refusal(config, route_match.queue, problem)
            if problem is AccessProblem.UNPROVED_CONFIG:
                response = _unavailable(problem.value, KEY_CHECK_RETRY_AFTER)
                # An open connection stays with this VM; another one may have a newer proof.
                response.force_close()
                return response
            return _json(401, {"error": problem.value})
        access = decided.ok_value
        try:
            if request.method == "GET" and not route_match.path_suffix:
                return _json(
                    200, {"pending": await self._service.pending(route_match.queue, timeout)}
                )
            if not JOB_ID.fullmatch(route_match.path_suffix):
                return _json(404, {"error": "the job id must be 16 hexadecimal digits"})
            return await self._handle_job(request, route_match, timeout, access)
        except AccessDeniedError as error:
            instruments.refused_access.add(1, {"reason": "other_account"})
            _log.info("caller request {} {} refused: {}", request.method, request.path, error)
            return _json(403, {"error": str(error)})
        except UnavailableError as error:
            _log.info(
                "caller request {} {} could not be answered: {}",
                request.method,
                request.path,
                error,
            )
            if error.may_have_run:
                return _json(504, {"error": str(error)})
            return _unavailable(str(error), timedelta(seconds=1))

    async def _handle_job(
        self,
        request: web.BaseRequest,
        route_match: RouteMatch,
        timeout: timedelta,
        access: Access | None,
    ) -> web.StreamResponse:
        job_id = JobId(route_match.path_suffix)
        if request.method == "POST":
            return await self._submit(request, route_match, job_id, timeout, access)
        if request.method == "GET":
            phase = await self._service.phase(route_match.queue, job_id, timeout, access)
            if phase is None:
                _log_unknown(request, job_id, route_match)
                return _json(410, {"error": "no such job"})
            return _json(200, {"state": phase.value})
        if request.method == "DELETE":
            fields = {"event": "job_cancel_requested", "job": job_id}
            _log.info("{}: cancellation requested by a caller", job_id, extra=fields)
            outcome = await self._service.cancel(route_match.queue, job_id, timeout, access)
            if outcome is CancelResult.ABSENT:
                _log_unknown(request, job_id, route_match)
            return _json(200 if outcome is CancelResult.CANCELLED else 410, {})
        return _json(405, {"error": f"method {request.method} is not known"})

    async def _submit(
        self,
        request: web.BaseRequest,
        route_match: RouteMatch,
        job_id: JobId,
        timeout: timedelta,
        access: Access | None,
    ) -> web.StreamResponse:
        job = decode_job(await request.read())
        if isinstance(job, Err):
            _log.info("{} refused: malformed job: {}", job_id, job.err_value)
            return _json(400, {"error": job.err_value})
        account = NO_ACCOUNT if access is None else access.account
        submitted = await self._service.submit(
            route_match.queue, job_id, job.ok_value, timeout, account
        )
        if submitted.refusal:
            _log.info("{} refused: {}", job_id, submitted.refusal)
            status = STATUS_BY_REFUSAL_KIND[submitted.kind]
            return _refused(status, submitted.refusal, submitted.retry_after)
        return _json(200, {})


async def _let_handlers_start() -> None:
    for _ in range(HANDLER_START_ITERATIONS):
        await asyncio.sleep(0)


def _probe_server(
    name: str, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
) -> GuardedServer:
    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        try:
            await request.read()
        except RequestRefusedError as error:
            return refusal_response(error.refusal)
        return await handler(request)

    guard = Guard(name, PROBE_BOUNDS, lambda: PROBE_LIMITS)
    return GuardedServer(answer, guard, lambda: KEEPALIVE_TIMEOUT)


async def _on_metrics(request: web.BaseRequest) -> web.StreamResponse:
    if request.path != METRICS_PATH:
        return web.Response(status=404)
    return web.Response(
        body=prometheus_text(), headers={"Content-Type": "text/plain; version=0.0.4"}
    )


def _match(config: ClusterConfig, request: web.BaseRequest) -> RouteMatch | None:
    return config.match(request.host.rpartition(":")[0] or request.host, request.path)


def _log_unknown(request: web.BaseRequest, job_id: JobId, route_match: RouteMatch) -> None:
    """Logs an answer 410: neither the pool's owner nor the store knows the job."""
    queue = route_match.queue
    _log.info(
        "{}: {} answered 410, not known in pool {} of queue {}",
        job_id,
        request.method,
        queue.pool,
        queue.name,
        extra={"event": "job_unknown", "job": job_id, "queue": queue.name, "pool": queue.pool},
    )


def _runner(server: web.Server) -> web.ServerRunner:
    return web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT.total_seconds())


def _caller_timeout(request: web.BaseRequest) -> timedelta:
    """Returns how long the caller waits, less the margin for the response."""
    try:
        deadline = timedelta(milliseconds=float(request.headers.get("Deadline-Ms", "")))
    except (ValueError, OverflowError):
        deadline = DEFAULT_CALLER_TIMEOUT
    shortest = min(RESPONSE_MARGIN, deadline / 2) if deadline > timedelta(0) else RESPONSE_MARGIN
    return min(max(deadline - RESPONSE_MARGIN, shortest), MAX_CALLER_TIMEOUT)


def _json(status: int, body: dict[str, object]) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )


def _unavailable(error: str, retry_after: timedelta) -> web.Response:
    return _refused(503, error, retry_after)


def _refused(status: int, error: str, retry_after: timedelta) -> web.Response:
    response = _json(status, {"error": error})
    response.headers["Retry-After"] = str(max(round(retry_after.total_seconds()), 1))
    return response
