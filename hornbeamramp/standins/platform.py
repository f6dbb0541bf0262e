"""Stand-in for the platform's service: a `MemoryPlatform` that serves the platform HTTP protocol.

Run as ``python -m hornbeamramp.standins.platform --address 127.0.0.1:0``. Prints one line
``listening on IP:PORT`` and ends on SIGTERM. In addition to the protocol, it serves
``POST /v1/faults`` (body `PlatformFaults`, replaces all faults) and ``GET /v1/calls`` (response
`PlatformCalls`).
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import cyclopts
import msgspec
import uvloop
from aiohttp import web

from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.errors import ConflictError, StoreUnavailableError
from hornbeamramp.ids import LeaseId
from hornbeamramp.platforms.base import ListedVm
from hornbeamramp.platforms.http import (
    ETAG,
    LEASE_HEADER,
    VALUE_LIMIT_BYTES,
    LeaseReply,
    ListReply,
    VmsReply,
)
from hornbeamramp.platforms.memory import MemoryPlatform, StoreMode
from hornbeamramp.standins.serving import (
    BODY_LIMIT_BYTES,
    Listener,
    json_response,
    run_until_signal,
)
from hornbeamramp.states import Step
from hornbeamramp.token_bucket import TokenBucket

__all__ = ["PlatformCalls", "PlatformFaults", "PlatformServer", "RateLimit"]

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/faults``. Omitted fields except ``vms`` are reset to their defaults.

    `mode`
        ``up``; ``down`` (connections are closed without a response and no call takes effect);
        ``slow``; ``lose_answers`` (calls take effect, then the connection is closed).
    `delay_ms`
        Delay of each call in mode ``slow``, in milliseconds.
    `answers_to_lose`
        Number of the next writes whose responses are lost in mode ``up``.
    `reads_per_second`, `writes_per_second`
        Rate limits; calls above them are rejected with status 429 and have no effect. ``None`` for
        no limit.
    `vms`
        The new list of VMs, or ``None`` to leave the list unchanged.
    """

    mode: StoreMode = StoreMode.UP
    delay_ms: int = 500
    answers_to_lose: int = 0
    reads_per_second: float | None = None
    writes_per_second: float | None = None
    vms: list[ListedVm] | None = None


class PlatformCalls(msgspec.Struct, frozen=True):
    """Body of the response to ``GET /v1/calls``.

    `calls`
        Number of calls within the rate limits, by operation. A watch counts when it begins to wait.
    `limited`
        Number of calls rejected with status 429, by kind: ``read`` or ``write``.
    """

    calls: dict[str, int]
    limited: dict[str, int]


class RateLimit:
    """Token bucket. ``rate`` is in calls per second, or ``None`` for no limit.

    It holds the tokens of one second, at least one.
    """

    def __init__(self, rate: float | None, clock: Clock) -> None:
        self._clock = clock
        self._bucket = None
        if rate is not None:
            now = clock.boot_time().total_seconds()
            self._bucket = TokenBucket(rate, max(rate, 1.0), now)

    def take(self) -> bool:
        """Takes the token of one call; false if the rate is exceeded."""
        if self._bucket is None:
            return True
        return self._bucket.take(self._clock.boot_time().total_seconds())


class PlatformServer:
    """HTTP server of a `MemoryPlatform`.

    `address`
        ``ip:port`` to listen on; port 0 selects a free one.
    `clock`
        Source of time for leases and rate limits (default: `SystemClock`).
    """

    def __init__(self, address: str, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self.platform = MemoryPlatform(self._clock)
        self._rate_limit_by_kind = {
            kind: RateLimit(None, self._clock) for kind in ("read", "write")
        }
        self._limited_calls_by_kind = {"read": 0, "write": 0}
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        read, write = self._read, self._write
        application.add_routes(
            [
                web.get("/v1/kv", read(self._list)),
                web.get("/v1/kv/{key:.+}", read(self._get)),
                web.put("/v1/kv/{key:.+}", write(self._put)),
                web.delete("/v1/kv/{key:.+}", write(self._delete)),
                web.get("/v1/watch", read(self._watch)),
                web.post("/v1/leases", write(self._grant_lease)),
                web.post("/v1/leases/{id}/renew", write(self._renew_lease)),
                web.delete("/v1/leases/{id}", write(self._revoke_lease)),
                web.get("/v1/vms", read(self._list_vms)),
                web.post("/v1/faults", self._set_faults),
                web.get("/v1/calls", self._get_calls),
            ]
        )
        self._listener = Listener(application, address)

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

    def _read(self, handler: Handler) -> Handler:
        return self._with_limit_and_errors("read", handler)

    def _write(self, handler: Handler) -> Handler:
        return self._with_limit_and_errors("write", handler)

    def _with_limit_and_errors(self, kind: str, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            if not self._rate_limit_by_kind[kind].take():
                self._limited_calls_by_kind[kind] += 1
                return _problem(429, f"rate of {kind}s exceeded", {"Retry-After": "1"})
            try:
                return await handler(request)
            except StoreUnavailableError:
                _abort(request)
                return _problem(503, "unavailable")
            except ConflictError as error:
                return _conflict(error)
            except ValueError as error:
                return _problem(400, str(error))

        return handle

    async def _get(self, request: web.Request) -> web.Response:
        entry = await self.platform.get(request.match_info["key"])
        if entry is None:
            return _problem(404, "no such key")
        headers = _etag(entry.version)
        if entry.lease is not None:
            headers[LEASE_HEADER] = entry.lease
        return web.Response(body=entry.value, headers=headers)

    async def _put(self, request: web.Request) -> web.Response:
        value = await request.read()
        if len(value) > VALUE_LIMIT_BYTES:
            return _problem(413, f"value is larger than {VALUE_LIMIT_BYTES} bytes")
        must_be_absent = request.headers.get("If-None-Match") == "*"
        if not must_be_absent and "If-Match" not in request.headers:
            return _problem(428, "If-Match or If-None-Match: * is required")
        expected = None if must_be_absent else _expected_version(request)
        lease = request.headers.get(LEASE_HEADER)
        key = request.match_info["key"]
        version = await self.platform.put(key, value, expected, LeaseId(lease) if lease else None)
        return web.Response(headers=_etag(version))

    async def _delete(self, request: web.Request) -> web.Response:
        await self.platform.delete(request.match_info["key"], _expected_version(request))
        return web.Response(status=204)

    async def _list(self, request: web.Request) -> web.Response:
        entries = await self.platform.list_prefix(request.query.get("prefix", ""))
        return json_response(ListReply(entries))

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        wait = timedelta(milliseconds=int(request.query.get("wait_ms", "0")))
        result = await self.platform.watch(request.query.get("prefix", ""), after, wait)
        return json_response(result)

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read(), type=dict[str, int])["ttl_ms"]
        lease = await self.platform.grant_lease(timedelta(milliseconds=ttl_ms))
        return json_response(LeaseReply(lease), status=201)

    async def _renew_lease(self, request: web.Request) -> web.Response:
        renewed = await self.platform.renew_lease(LeaseId(request.match_info["id"]))
        return web.Response(status=204) if renewed else _problem(404, "the lease has ended")

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        await self.platform.revoke_lease(LeaseId(request.match_info["id"]))
        return web.Response(status=204)

    async def _list_vms(self, request: web.Request) -> web.Response:
        return json_response(VmsReply(await self.platform.list_vms()))

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(await request.read(), type=PlatformFaults)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            return _problem(400, str(error))
        self.platform.mode = faults.mode
        self.platform.delay = timedelta(milliseconds=faults.delay_ms)
        self.platform.answers_to_lose = faults.answers_to_lose
        self._rate_limit_by_kind = {
            "read": RateLimit(faults.reads_per_second, self._clock),
            "write": RateLimit(faults.writes_per_second, self._clock),
        }
        if faults.vms is not None:
            self.platform.vm_by_id = {vm.vm_id: vm for vm in faults.vms}
        if faults.mode is StoreMode.DOWN:
            # Pending watches would otherwise stay connected during the simulated outage.
            self._close_connections(request.protocol)
        return web.Response(status=204)

    async def _get_calls(self, request: web.Request) -> web.Response:
        return json_response(
            PlatformCalls(self.platform.calls_by_name, self._limited_calls_by_kind)
        )

    def _close_connections(self, exempt: Any) -> None:
        for connection in self._listener.connections():
            if connection is not exempt and connection.transport is not None:
                connection.transport.abort()


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _etag(version: int) -> dict[str, str]:
    return {"ETag": f'"{version}"'}


def _expected_version(request: web.Request) -> int:
    match = ETAG.fullmatch(request.headers.get("If-Match", ""))
    if match is None:
        raise ValueError("If-Match must hold one ETag")
    return int(match[1])


def _conflict(error: ConflictError) -> web.Response:
    if error.step is Step.RENEW:
        return _problem(410, error.message)
    headers = {} if error.version is None else _etag(error.version)
    return _problem(412, error.message, headers)


def _problem(status: int, message: str, headers: dict[str, str] | None = None) -> web.Response:
    return json_response({"title": message, "status": status}, status, headers)


async def _serve(address: str) -> None:
    server = PlatformServer(address)
    await server.start()
    print(f"listening on {server.address}", flush=True)
    await run_until_signal()
    await server.stop()


def main(*, address: str) -> None:
    """Run the stand-in platform until SIGTERM.

    Parameters
    ----------
    address
        ip:port to listen on; port 0 selects a free one.
    """
    uvloop.run(_serve(address))


if __name__ == "__main__":
    cyclopts.run(main)
