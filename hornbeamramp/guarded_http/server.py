"""HTTP servers whose connections are read within limits."""

import asyncio
import socket
import ssl
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from aiohttp import web

from hornbeamramp.guarded_http.connections import Guard, GuardedConnection
from hornbeamramp.guarded_http.handshakes import TlsHandshake, TlsListener

__all__ = ["GuardedServer"]

# Connections that the kernel holds until they are accepted.
BACKLOG = 128


class GuardedRequest(web.BaseRequest):
    """A request whose body its connection has gathered."""

    async def read(self) -> bytes:
        """Returns the body. Raises `RequestRefusedError`, and ``OSError`` if the connection ends
        before."""
        connection = self.protocol
        assert isinstance(connection, GuardedConnection)
        return await connection.read_body()


class GuardedServer(web.Server):
    """A server whose connections share a guard. It has no access log.

    ``keepalive_timeout`` returns the time for which a connection may be idle. With
    ``handler_cancellation``, a handler ends with its connection.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        guard: Guard,
        keepalive_timeout: Callable[[], timedelta],
        handler_cancellation: bool = False,
    ) -> None:
        super().__init__(
            handler, request_factory=self._request, handler_cancellation=handler_cancellation
        )
        self._guard = guard
        self._keepalive_timeout = keepalive_timeout

    def __call__(self, handshake: TlsHandshake | None = None) -> GuardedConnection:
        """Returns a new connection, which takes the place of its handshake."""
        return GuardedConnection(
            self,
            self._guard,
            handshake,
            self._keepalive_timeout,
            loop=self._loop,
            access_log=None,
        )

    async def listen(
        self, host: str, port: int, context: ssl.SSLContext | None = None
    ) -> asyncio.Server | TlsListener:
        """Accepts connections at an address, with TLS if there is a context. Raises ``OSError``."""
        if context is None:
            return await self._loop.create_server(self, host, port)
        sock = socket.create_server((host, port), family=_family(host), backlog=BACKLOG)
        sock.setblocking(False)
        return TlsListener(sock, context, self._guard, self)

    def _request(self, message, payload, protocol, writer, task) -> GuardedRequest:
        return GuardedRequest(message, payload, protocol, writer, task, self._loop)


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET
