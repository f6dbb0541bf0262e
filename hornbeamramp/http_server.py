"""HTTP listeners of an entry process: routes, problem details and limits of requests."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus

from aiohttp import hdrs, web

from hornbeamramp.guarded_http import (
    Guard,
    GuardedServer,
    ListenerBounds,
    Refusal,
    RequestRefusedError,
    TlsListener,
    refusal_response,
)
from hornbeamramp.problems import PROBLEM_TYPE, problem, problem_body
from hornbeamramp.settings import LimitSettings, TlsSettings
from hornbeamramp.workload import RequestLimits

__all__ = ["HttpApp", "HttpServer", "parse_address"]

KEEPALIVE_TIMEOUT = timedelta(seconds=75)
STOP_TIMEOUT_S = 1.0

Handler = Callable[..., Awaitable[web.Response]]
Check = Callable[[web.BaseRequest], Awaitable[web.Response | None]]


def parse_address(address: str) -> tuple[str, int]:
    """Splits ``ip:port``. Raises ``ValueError`` if it is malformed."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"not an ip:port address: {address!r}")
    return host.strip("[]"), int(port)


class HttpApp:
    """Handlers by path and method. A handler is called once the whole request is there.

    `on_error`
        Returns the response in place of a handler's that failed.
    `check`
        Returns a response in place of the handler's, before the body is read, or ``None``.
    """

    def __init__(
        self,
        limits: LimitSettings,
        on_error: Callable[[web.BaseRequest, Exception], web.Response],
        check: Check | None = None,
    ) -> None:
        self.limits = limits
        self._router = web.UrlDispatcher()
        self._on_error = on_error
        self._check = check

    def add_route(self, handler: Handler, path: str, method: str = hdrs.METH_GET) -> None:
        """Adds a handler, which gets the request and the parts of its path by name."""
        self._router.add_route(method, path, handler)

    async def respond(self, request: web.BaseRequest) -> web.Response:
        """Returns the response to a request."""
        refused = None if self._check is None else await self._check(request)
        if refused is not None:
            return refused
        try:
            async with asyncio.timeout(self.limits.request_timeout_ms / 1000):
                await request.read()
        except RequestRefusedError as error:
            return refusal_response(error.refusal, describe_refusal)
        except TimeoutError:
            response = _not_run(HTTPStatus.REQUEST_TIMEOUT, "the body did not arrive in time")
            response.force_close()
            return response
        match = await self._router.resolve(request)
        mismatch = match.http_exception
        if isinstance(mismatch, web.HTTPMethodNotAllowed):
            allowed = ", ".join(sorted(mismatch.allowed_methods))
            detail = f"method {request.method} is not allowed for {request.path}"
            return _not_run(HTTPStatus.METHOD_NOT_ALLOWED, detail, {hdrs.ALLOW: allowed})
        if mismatch is not None:
            return _not_run(HTTPStatus.NOT_FOUND, f"nothing is served at {request.path}")
        try:
            return await match.handler(request, **match)
        except Exception as error:
            return self._on_error(request, error)


def _not_run(
    status: HTTPStatus, detail: str, headers: dict[str, str] | None = None
) -> web.Response:
    return problem(status, detail, headers, outcome="not_run")


def describe_refusal(refusal: Refusal) -> tuple[str, bytes]:
    """Returns media type and body of the response to a refused request."""
    detail = f"the request is refused: {refusal.value.replace('_', ' ')}"
    return PROBLEM_TYPE, problem_body(refusal.status, detail, outcome="not_run")


class HttpServer:
    """One application on one address.

    `name`
        Name of the listener in metrics and logs.
    `address`
        ``ip:port`` to listen on; port 0 chooses a free port, see `port`.
    `tls`
        Key files, or ``None`` for plain HTTP.
    """

    def __init__(
        self,
        name: str,
        app: HttpApp,
        address: str,
        bounds: ListenerBounds,
        tls: TlsSettings | None = None,
    ) -> None:
        limits = RequestLimits(
            max_header_bytes=app.limits.header_bytes,
            max_body_bytes=app.limits.body_bytes,
            header_timeout=timedelta(milliseconds=app.limits.request_timeout_ms),
        )
        self._guard = Guard(name, bounds, lambda: limits, describe_refusal)
        self._app = app
        self._address = address
        self._tls = tls
        self._http: GuardedServer | None = None
        self._listener: asyncio.Server | TlsListener | None = None
        self.port = 0

    async def start(self) -> None:
        """Binds and starts serving. Raises ``OSError`` if the address can't be bound."""
        host, port = parse_address(self._address)
        self._http = GuardedServer(self._app.respond, self._guard, lambda: KEEPALIVE_TIMEOUT)
        context = None if self._tls is None else _ssl_context(self._tls)
        self._listener = await self._http.listen(host, port, context)
        self.port = self._listener.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return 0 if self._http is None else len(self._http.connections)

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self._listener is not None:
            self._listener.close()

    async def stop(self) -> None:
        """Closes the listener and all idle connections, and the others after a second."""
        self.stop_listening()
        if self._http is not None:
            await self._http.shutdown(STOP_TIMEOUT_S)


def _ssl_context(tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context
