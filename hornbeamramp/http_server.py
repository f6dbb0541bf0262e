"""Starts Sanic applications on the running event loop, without Sanic's own process manager."""

import asyncio
import contextlib
import socket
import ssl
from typing import Any

from sanic import Request, Sanic
from sanic.exceptions import RequestTimeout

from hornbeamramp.settings import LimitSettings, TlsSettings

__all__ = ["HttpServer", "new_app", "parse_address"]


def parse_address(address: str) -> tuple[str, int]:
    """Splits ``ip:port``. Raises ``ValueError`` if it is malformed."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"not an ip:port address: {address!r}")
    return host.strip("[]"), int(port)


class _BoundedRequest(Request):
    """Request whose body must arrive within the request timeout.

    Sanic's own request timeout covers only the headers.
    """

    async def receive_body(self) -> None:
        try:
            async with asyncio.timeout(self.app.config.REQUEST_TIMEOUT):
                await super().receive_body()
        except TimeoutError as error:
            # The connection is closed without waiting for the rest of the body.
            self.stream.request_body = None
            self.stream.keep_alive = False
            raise RequestTimeout("the body did not arrive in time") from error


def new_app(name: str, limits: LimitSettings) -> Sanic:
    """Returns an application with the limits of the settings and without Sanic's log setup."""
    app = Sanic(name, request_class=_BoundedRequest, configure_logging=False)
    app.config.REQUEST_MAX_SIZE = limits.body_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = limits.header_bytes
    app.config.REQUEST_TIMEOUT = limits.request_timeout_ms / 1000
    # A job may run for hours; its deadline and the owner limit the wait for the response.
    app.config.RESPONSE_TIMEOUT = 86_400
    app.config.KEEP_ALIVE_TIMEOUT = 75
    app.config.GRACEFUL_SHUTDOWN_TIMEOUT = 0.0
    app.config.FALLBACK_ERROR_FORMAT = "json"
    # TouchUp rewrites methods process-wide, which fails for a second application.
    app.config.TOUCHUP = False
    app.config.MOTD = False
    app.config.ACCESS_LOG = False
    return app


class HttpServer:
    """One Sanic application on one address.

    `address`
        ``ip:port`` to listen on; port 0 chooses a free port, see `port`.
    `tls`
        Key files, or ``None`` for plain HTTP.
    """

    def __init__(self, app: Sanic, address: str, tls: TlsSettings | None = None) -> None:
        self._app = app
        self._address = address
        self._tls = tls
        self._server: Any = None
        self.port = 0

    async def start(self) -> None:
        """Binds and starts serving. Raises ``OSError`` if the address can't be bound."""
        host, port = parse_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.bind((host, port))
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        self._server = await self._app.create_server(
            sock=sock, return_asyncio_server=True, ssl=self._ssl_context()
        )
        await self._server.startup()
        await self._server.start_serving()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return 0 if self._server is None else len(self._server.connections)

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Closes the listener and all idle connections."""
        if self._server is None:
            return
        self.stop_listening()
        for connection in list(self._server.connections):
            connection.close_if_idle()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._server.wait_closed(), 1.0)

    def _ssl_context(self) -> ssl.SSLContext | None:
        if self._tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self._tls.certificate_file, self._tls.key_file)
        return context
