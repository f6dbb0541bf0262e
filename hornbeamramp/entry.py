"""An entry process: its listeners, startup and graceful shutdown."""

import asyncio
import signal
from datetime import timedelta
from pathlib import Path
from typing import Any

import logbook
import msgspec

from hornbeamramp.admin_api import admin_app
from hornbeamramp.caller_api import caller_app
from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.entry_parts import REQUEST_TYPES, EntryParts
from hornbeamramp.http_server import HttpServer
from hornbeamramp.listener_bounds import caller_bounds, operator_bounds, peer_bounds
from hornbeamramp.logs import setup_logs
from hornbeamramp.platforms import PLATFORMS, Platform
from hornbeamramp.rpc import PeerClient, PeerServer
from hornbeamramp.settings import Settings
from hornbeamramp.tables import Pool, PoolUpstream
from hornbeamramp.telemetry import Reading, setup_telemetry
from hornbeamramp.upstreams import UPSTREAMS, UpstreamAdapter

__all__ = ["EntryProcess", "serve"]

DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
DRAIN_TIMEOUT = timedelta(minutes=10)
RPC_GRACE = timedelta(seconds=5)
UPSTREAM_TIMEOUT = timedelta(seconds=2)

_log = logbook.Logger("entry")


class EntryProcess:
    """An entry process: its `EntryParts` and the listeners for callers, operators and peers."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.peer_client = PeerClient(settings.vm, settings.data_centre, settings.tls)
        self.peer_server = PeerServer(
            settings.peer_address,
            settings.vm,
            settings.data_centre,
            settings.tls,
            bounds=peer_bounds(settings.limits),
        )
        self._parts_created = asyncio.Event()

    async def start(self) -> None:
        """Binds the listeners, joins the cluster and begins to serve.

        Raises ``OSError`` if an address can't be bound.
        """
        for request_type in REQUEST_TYPES:
            self.peer_server.handle(request_type, self._handle_peer_request)
        await self.peer_server.start()
        # Peers are given the port that was bound, since the settings may have port 0.
        host = self.settings.peer_address.rpartition(":")[0]
        settings = msgspec.structs.replace(
            self.settings, peer_address=f"{host}:{self.peer_server.port}"
        )
        self.parts = EntryParts(
            settings,
            self.clock,
            _open_platform(settings, self.clock),
            self.peer_client,
            lambda pool, upstream: _open_upstream(pool, upstream, self.clock),
        )
        self._parts_created.set()
        self.parts.start()
        await self._start_http()
        _log.info(
            "listening for callers on {}, peers on {}",
            self.caller_server.port,
            self.peer_server.port,
        )

    async def stop(self) -> None:
        """Shuts down without interrupting requests in flight.

        Reports not ready and waits for the load balancer to notice, stops accepting connections,
        hands over the shards, waits for open requests, and closes the remaining listeners.
        """
        _log.info("shutting down")
        self.parts.set_leaving()
        await self.clock.sleep(timedelta(milliseconds=self.settings.timing.drain_ms))
        self.parts.refuses_jobs = True
        self.caller_server.stop_listening()
        await self.parts.ownership.hand_over_all()
        await self._wait_for_requests()
        await self.peer_server.stop(RPC_GRACE)
        await self.caller_server.stop()
        if self.admin_server is not None:
            await self.admin_server.stop()
        await self.parts.close()
        await self.peer_client.close()
        _log.info("shutdown complete")

    async def _handle_peer_request(self, request: Any) -> Any:
        # Requests can arrive before the parts are created, since the port is bound first.
        await self._parts_created.wait()
        return await self.parts.handle(request)

    async def _wait_for_requests(self) -> None:
        deadline = self.clock.boot_time() + DRAIN_TIMEOUT
        while self.caller_requests.count > 0 and self.clock.boot_time() < deadline:
            await self.clock.sleep(DRAIN_POLL_INTERVAL)

    async def _start_http(self) -> None:
        parts = self.parts
        app, self.caller_requests = caller_app(
            self.settings,
            self.clock,
            parts.metrics,
            parts.forwarder,
            lambda: parts.configuration.tables,
            lambda: parts.ready,
            lambda: parts.refuses_jobs,
        )
        settings = self.settings
        bounds = caller_bounds(settings.limits)
        self.caller_server = HttpServer(
            "callers", app, settings.caller_address, bounds, settings.tls
        )
        await self.caller_server.start()
        self.admin_server: HttpServer | None = None
        admin = self.settings.admin
        if admin is not None:
            app = admin_app(
                self.settings,
                _read_token(admin.token_file),
                parts.configuration,
                parts.cluster_status.document,
                parts.cluster_status.wait_applied,
            )
            bounds = operator_bounds(settings.limits)
            self.admin_server = HttpServer("operators", app, admin.address, bounds, settings.tls)
            await self.admin_server.start()
        parts.metrics.observe("connections", self._read_connections)

    def _read_connections(self) -> list[Reading]:
        servers = {"callers": self.caller_server, "admin": self.admin_server}
        return [(s.connections, {"listener": name}) for name, s in servers.items() if s]


async def serve(settings: Settings) -> None:
    """Runs an entry process until SIGTERM or SIGINT, then shuts it down gracefully."""
    setup_logs(settings.log)
    setup_telemetry(settings)
    process = EntryProcess(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await process.start()
    admin = process.admin_server.port if process.admin_server is not None else 0
    print(
        f"listening callers={process.caller_server.port} peers={process.peer_server.port} "
        f"admin={admin}",
        flush=True,
    )
    await stop_requested.wait()
    await process.stop()


def _open_platform(settings: Settings, clock: Clock) -> Platform:
    adapter = PLATFORMS.find(settings.platform.adapter)
    timeout = timedelta(milliseconds=settings.platform.timeout_ms)
    return adapter(settings.platform.address, timeout=timeout, clock=clock)


def _open_upstream(pool: Pool, upstream: PoolUpstream, clock: Clock) -> UpstreamAdapter:
    adapter = UPSTREAMS.find(pool.adapter)
    return adapter(upstream.address, timeout=UPSTREAM_TIMEOUT, clock=clock)


def _read_token(path: str) -> str:
    token = Path(path).read_text().strip()
    if not token:
        raise ValueError(f"{path}: the token file is empty")
    return token
