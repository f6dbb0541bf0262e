"""Stand-in for upstreams: simulated workers that serve the upstream HTTP protocol.

Run as ``python -m hornbeamramp.standins.upstream --worker id=w1,address=127.0.0.1:0,rack=r1``;
``--worker`` may be repeated, and each worker has its own listener. Prints one line
``listening on IP:PORT as ID`` for each and ends on SIGTERM. In addition to the protocol, each
worker serves ``POST /v1/faults`` (body `UpstreamFaults`, replaces all faults), ``GET /v1/log``
(response `WorkerLog`) and ``GET /v1/traceparents`` (trace contexts of the latest starts).

Settings of ``--worker``: ``id``, ``address``, ``rack``, ``processors`` (cores), ``memory_mib``,
``accelerators``, ``slots``, ``connections``, ``speed``, ``capabilities`` (joined by ``+``, or
``none``), ``usage_lag_ms``.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, TypeVar

import cyclopts
import msgspec
import uvloop
from aiohttp import web

from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.ids import AttemptId, RackId, UpstreamId
from hornbeamramp.jobs import TaskResult
from hornbeamramp.resources import Resources
from hornbeamramp.standins.faults import FaultInjector, UpstreamFaults
from hornbeamramp.standins.serving import (
    BODY_LIMIT_BYTES,
    Listener,
    json_response,
    run_until_signal,
)
from hornbeamramp.standins.worker_model import WorkerModel, expected_answer
from hornbeamramp.states import Capability, TaskState
from hornbeamramp.upstreams.base import StartReply, StartRequest, UpstreamShape, UsageReport
from hornbeamramp.upstreams.wire import (
    TIME_HEADER,
    FenceBody,
    RenewalBody,
    RenewalReply,
    ResultReply,
    StartBody,
    StartReplyBody,
    StopReply,
    TaskRow,
    TasksReply,
    from_ms,
    to_ms,
)

__all__ = ["UpstreamFaults", "UpstreamServer", "expected_answer", "parse_worker"]

T = TypeVar("T")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
MAX_TRACEPARENTS = 100
MAX_RESULT_WAIT = timedelta(seconds=60)


class UpstreamServer:
    """HTTP server of a `WorkerModel`.

    `shape`
        Shape of the worker.
    `address`
        ``ip:port`` to listen on; port 0 selects a free one.
    `clock`
        Source of time (default: `SystemClock`).
    `usage_lag`
        Age of the usage reports (default: 2 s).
    """

    def __init__(
        self,
        shape: UpstreamShape,
        address: str,
        clock: Clock | None = None,
        usage_lag: timedelta = timedelta(seconds=2),
    ) -> None:
        self._clock = clock or SystemClock()
        self.model = WorkerModel(shape, self._clock, usage_lag)
        application = web.Application(
            client_max_size=BODY_LIMIT_BYTES, middlewares=[self._apply_faults]
        )
        application.add_routes(
            [
                web.get("/v1/worker", self._get_shape),
                web.get("/v1/tasks", self._list_tasks),
                web.put("/v1/tasks/{attempt}", self._start),
                web.get("/v1/tasks/{attempt}", self._get_result),
                web.delete("/v1/tasks/{attempt}", self._stop),
                web.post("/v1/tasks/{attempt}/checkpoint", self._checkpoint),
                web.post("/v1/tasks/{attempt}/throttle", self._throttle),
                web.post("/v1/renewals", self._renew),
                web.post("/v1/fence", self._fence),
                web.get("/v1/usage", self._get_usage),
                web.post("/v1/faults", self._set_faults),
                web.get("/v1/log", self._get_log),
                web.get("/v1/traceparents", self._list_traceparents),
            ]
        )
        self._listener = Listener(application, address, cancel_handlers=True)
        self._faults = FaultInjector()
        self._traceparents: deque[str] = deque(maxlen=MAX_TRACEPARENTS)

    @property
    def address(self) -> str:
        """``ip:port``, with the actual port once started."""
        return self._listener.address

    async def start(self) -> None:
        """Starts to listen. Raises ``OSError`` if the address is in use."""
        await self._listener.start()

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        await self._listener.stop()

    def set_faults(self, faults: UpstreamFaults, exempt: Any = None) -> None:
        """Replaces all faults. `Silence.EXISTING` does not affect the connection ``exempt``."""
        self.model.fail_all = faults.fail_tasks
        self.model.leaving = faults.leaving
        connections = [c for c in self._listener.connections() if c is not exempt]
        self._faults.set(faults, connections)

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path in ("/v1/faults", "/v1/log"):
            return await handler(request)
        await self._faults.before_request(request)
        try:
            response = await handler(request)
        except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
            response = json_response({"title": str(error), "status": 400}, 400)
        response.headers[TIME_HEADER] = str(self._now_ms())
        return await self._faults.after_request(request, response)

    async def _get_shape(self, request: web.Request) -> web.Response:
        return json_response(self.model.shape())

    async def _list_tasks(self, request: web.Request) -> web.Response:
        rows = [
            TaskRow(
                attempt_id=task.attempt_id,
                state=task.state,
                resources=task.resources,
                lease_left_ms=to_ms(task.lease_left),
                renewed_ago_ms=to_ms(task.renewed_ago),
                labels=task.labels,
            )
            for task in self.model.list_tasks()
        ]
        return json_response(TasksReply(rows))

    async def _start(self, request: web.Request) -> web.Response:
        body = await _read_body(request, StartBody)
        start = StartRequest(
            attempt_id=_attempt_id(request),
            payload=body.payload,
            resources=body.resources,
            lease=from_ms(body.lease_ms),
            run=from_ms(body.run_ms),
            not_after=timedelta(0),
            labels=body.labels,
            is_service=body.is_service,
        )
        if "traceparent" in request.headers:
            self._traceparents.append(request.headers["traceparent"])
        reply = self.model.start(start, late=self._now_ms() > body.not_after_at_ms)
        return json_response(StartReplyBody(reply), 200 if reply is StartReply.STARTED else 409)

    async def _get_result(self, request: web.Request) -> web.Response:
        attempt = _attempt_id(request)
        wait = from_ms(int(request.query.get("wait_ms", "0")))
        await self.model.wait_for_end(attempt, min(wait, MAX_RESULT_WAIT))
        result = self.model.result(attempt)
        if result is None:
            return _not_found()
        if isinstance(result, TaskResult):
            result = self._faults.apply_to_result(result, self.model.other_result(attempt))
        return json_response(self._result_reply(attempt, result))

    def _result_reply(self, attempt: AttemptId, result: TaskResult | TaskState) -> ResultReply:
        upstream = self.model.shape().id
        if isinstance(result, TaskState):
            return ResultReply(attempt_id=attempt, upstream_id=upstream, state=result)
        return ResultReply(
            attempt_id=result.attempt_id,
            upstream_id=upstream,
            state=TaskState.SUCCEEDED,
            payload=result.payload,
            length=result.length,
            digest=result.digest,
        )

    async def _stop(self, request: web.Request) -> web.Response:
        state = self.model.stop(_attempt_id(request))
        return _not_found() if state is None else json_response(StopReply(state))

    async def _checkpoint(self, request: web.Request) -> web.Response:
        done = self.model.checkpoint(_attempt_id(request))
        return web.Response(status=204) if done else _not_found()

    async def _throttle(self, request: web.Request) -> web.Response:
        done = self.model.throttle(_attempt_id(request), await _read_body(request, Resources))
        return web.Response(status=204) if done else _not_found()

    async def _renew(self, request: web.Request) -> web.Response:
        body = await _read_body(request, RenewalBody)
        renewed = self.model.renew(body.attempts, body.epoch, from_ms(body.lease_ms))
        return json_response(RenewalReply(renewed))

    async def _fence(self, request: web.Request) -> web.Response:
        body = await _read_body(request, FenceBody)
        return web.Response(status=204 if self.model.fence(body.shard, body.epoch) else 501)

    async def _get_usage(self, request: web.Request) -> web.Response:
        reports: list[UsageReport] = self.model.usage()
        return json_response(reports)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = await _read_body(request, UpstreamFaults)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            return json_response({"title": str(error), "status": 400}, 400)
        self.set_faults(faults, exempt=request.protocol)
        return web.Response(status=204)

    async def _get_log(self, request: web.Request) -> web.Response:
        return json_response(self.model.log())

    async def _list_traceparents(self, request: web.Request) -> web.Response:
        """Returns the W3C trace contexts of the last 100 starts that carried one."""
        return json_response(list(self._traceparents))

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


async def _read_body(request: web.Request, kind: type[T]) -> T:
    return msgspec.json.decode(await request.read(), type=kind)


def _attempt_id(request: web.Request) -> AttemptId:
    return AttemptId(request.match_info["attempt"])


def _not_found() -> web.Response:
    return json_response({"title": "no such running task", "status": 404}, 404)


def parse_worker(text: str) -> tuple[UpstreamShape, str, timedelta]:
    """Returns shape, address and usage lag from a ``--worker`` value.

    Raises ``ValueError`` on an unknown or missing setting.
    """
    settings = dict(part.partition("=")[::2] for part in text.split(","))
    address = settings.pop("address", "127.0.0.1:0")
    lag = from_ms(int(settings.pop("usage_lag_ms", "2000")))
    names = settings.pop("capabilities", "fence+not_after+labels")
    resources = Resources(
        processors_milli=round(float(settings.pop("processors", "16")) * 1000),
        memory_mib=int(settings.pop("memory_mib", "65536")),
        accelerators=int(settings.pop("accelerators", "0")),
        slots=int(settings.pop("slots", "8")),
        connections=int(settings.pop("connections", "64")),
    )
    if "id" not in settings:
        raise ValueError(f"--worker without an id: {text!r}")
    shape = UpstreamShape(
        id=UpstreamId(settings.pop("id")),
        rack=RackId(settings.pop("rack", "rack-1")),
        resources=resources,
        speed=float(settings.pop("speed", "1.0")),
        capabilities=frozenset(Capability(n) for n in names.split("+") if n not in ("", "none")),
    )
    if settings:
        raise ValueError(f"unknown --worker settings: {', '.join(sorted(settings))}")
    return shape, address, lag


async def _serve(workers: list[tuple[UpstreamShape, str, timedelta]]) -> None:
    servers = []
    for shape, address, lag in workers:
        server = UpstreamServer(shape, address, usage_lag=lag)
        await server.start()
        servers.append(server)
        print(f"listening on {server.address} as {shape.id}", flush=True)
    await run_until_signal()
    await asyncio.gather(*(server.stop() for server in servers))


def main(*, worker: list[str]) -> None:
    """Run stand-in workers until SIGTERM.

    Parameters
    ----------
    worker
        id=w1,address=127.0.0.1:0,rack=r1 and further settings; may be repeated.
    """
    try:
        workers = [parse_worker(text) for text in worker]
    except ValueError as error:
        raise SystemExit(f"error: {error}") from error
    uvloop.run(_serve(workers))


if __name__ == "__main__":
    cyclopts.run(main)
