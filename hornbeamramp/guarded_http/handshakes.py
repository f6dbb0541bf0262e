"""TLS listeners whose connections count from their beginning, not from the end of the handshake."""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Callable

import logbook

from hornbeamramp.guarded_http.connections import Guard, GuardedConnection, Refusal

__all__ = ["TlsHandshake", "TlsListener"]

HANDSHAKE_TIMEOUT_S = 3.0
# Pause after an accept that failed, mostly for want of descriptors.
ACCEPT_RETRY_S = 0.1

_log = logbook.Logger("connections")


class TlsHandshake:
    """A connection that has been accepted and has no HTTP connection yet."""

    def __init__(self, guard: Guard, sock: socket.socket) -> None:
        self._guard = guard
        self._sock = sock

    def evict(self) -> None:
        """Closes the connection for another one's sake."""
        self._guard.count(Refusal.NO_CONNECTION)
        with contextlib.suppress(OSError):
            # Ends the handshake, which closes the socket.
            self._sock.shutdown(socket.SHUT_RDWR)

    def refuse(self, refusal: Refusal) -> None:
        """Never called, as no request is being read."""
        raise NotImplementedError


class TlsListener:
    """Accepts connections at an address.

    `make_connection`
        Returns the HTTP connection that takes the place of a handshake.
    """

    def __init__(
        self,
        sock: socket.socket,
        context: ssl.SSLContext,
        guard: Guard,
        make_connection: Callable[[TlsHandshake], GuardedConnection],
    ) -> None:
        self.sockets = (sock,)
        self._context = context
        self._guard = guard
        self._make_connection = make_connection
        self._accepting = asyncio.get_running_loop().create_task(self._accept(sock))
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Stops accepting connections, and ends their handshakes."""
        for task in (self._accepting, *self._tasks):
            task.cancel()
        for sock in self.sockets:
            sock.close()

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listening)
            except OSError as error:
                _log.warning("can't accept a connection: {}", error)
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            sock.setblocking(False)
            handshake = TlsHandshake(self._guard, sock)
            if not self._guard.open(handshake):
                sock.close()
                continue
            task = loop.create_task(self._shake_hands(handshake, sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _shake_hands(self, handshake: TlsHandshake, sock: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: self._make_connection(handshake),
                sock,
                ssl=self._context,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
            )
        except OSError as error:
            _log.debug("TLS handshake failed: {}", error)
            sock.close()
        finally:
            self._guard.budget.close(handshake)
