"""HTTP server helpers of both stand-ins: listeners on a given or free port, run until SIGTERM."""

import asyncio
import signal
from collections.abc import Mapping
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["Listener", "json_response", "run_until_signal", "split_address"]

# Handlers that never return, as those of silent connections, must not delay the shutdown.
SHUTDOWN_TIMEOUT_S = 0.2
BODY_LIMIT_BYTES = 4 * 1024 * 1024


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of ``ip:port``. Raises ``ValueError`` for any other form."""
    host, separator, port = address.rpartition(":")
    if not (host and separator and port.isdigit()):
        raise ValueError(f"not an address of the form ip:port: {address!r}")
    return host, int(port)


def json_response(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> web.Response:
    """Returns a response with ``value`` as JSON; bytes are encoded as base64."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


class Listener:
    """A web application that listens on one address.

    `application`
        The aiohttp application.
    `address`
        ``ip:port``; port 0 selects a free one, and `address` has the actual port after `start`.
    `cancel_handlers`
        Whether a handler is cancelled when its client disconnects (default: false).
    """

    def __init__(
        self, application: web.Application, address: str, cancel_handlers: bool = False
    ) -> None:
        self._host, self._port = split_address(address)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=cancel_handlers,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            keepalive_timeout=75,
        )
        self.address = address

    async def start(self) -> None:
        """Binds and listens. Raises ``OSError`` if the address is in use."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port, backlog=1024)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    def connections(self) -> list[Any]:
        """Returns the protocol objects of the open connections."""
        server = self._runner.server
        return [] if server is None else server.connections

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        await self._runner.cleanup()


async def run_until_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
