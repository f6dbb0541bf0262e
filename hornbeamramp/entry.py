"""One entry process: wires the parts together, starts them and shuts them down gracefully."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import logbook
import msgspec

from hornbeamramp import messages
from hornbeamramp.admin_api import admin_app
from hornbeamramp.caller_api import caller_app
from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.cluster_status import ClusterStatus
from hornbeamramp.configuration import ConfigurationStore
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.forwarding import Forwarder
from hornbeamramp.http_server import HttpServer
from hornbeamramp.ids import Revision, ShardId, UpstreamId, VmId, shard_id
from hornbeamramp.logs import setup_logs
from hornbeamramp.membership import Membership
from hornbeamramp.ownership import Ownership
from hornbeamramp.platforms import PLATFORMS, Platform
from hornbeamramp.rpc import PeerClient, PeerServer
from hornbeamramp.settings import Settings
from hornbeamramp.shards import OwnedShards, UpstreamWitness
from hornbeamramp.store_budget import BudgetedPlatform
from hornbeamramp.telemetry import Metrics, setup_telemetry

__all__ = ["EntryProcess", "serve"]

VM_LIST_INTERVAL = timedelta(seconds=3)
DRAIN_POLL = timedelta(milliseconds=50)
DRAIN_LIMIT = timedelta(minutes=10)
RPC_GRACE = timedelta(seconds=5)

_log = logbook.Logger("entry")


class EntryProcess:
    """Everything that one entry process runs.

    `platform`
        Platform to use instead of the one named in the settings, for tests.
    """

    def __init__(
        self, settings: Settings, clock: Clock | None = None, platform: Platform | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.metrics = Metrics()
        self.platform = BudgetedPlatform(
            platform or _open_platform(settings, self.clock),
            self.clock,
            settings.platform.calls_per_second,
        )
        self.peer_client = PeerClient(settings.vm, settings.data_centre, settings.tls)
        self.peer_server = PeerServer(
            settings.peer_address, settings.vm, settings.data_centre, settings.tls
        )
        self._wired = asyncio.Event()
        self._ready = False
        self._refusing = False
        self._requests = 0
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        """Binds the listeners, joins the members and begins to serve.

        Raises ``OSError`` if an address can't be bound.
        """
        self._add_handlers()
        await self.peer_server.start()
        self._wire()
        self._wired.set()
        self._run(self.configuration.run())
        self._run(self.membership.run())
        self._run(self.ownership.run())
        self._run(self._follow_vm_list())
        self._run(self._become_ready())
        await self._start_http()
        _log.info(
            "listening for callers on {}, peers on {}",
            self.caller_server.port,
            self.peer_server.port,
        )

    async def stop(self) -> None:
        """Shuts down without cutting off a request in flight.

        Not ready first, a pause for the balancer, shards handed over, answers finished.
        """
        _log.info("shutting down")
        self._ready = False
        self.membership.set_leaving()
        await self.clock.sleep(timedelta(milliseconds=self.settings.timing.drain_ms))
        self._refusing = True
        self.caller_server.stop_listening()
        await self.ownership.hand_over_all()
        await self._wait_for_requests()
        await self.peer_server.stop(RPC_GRACE)
        await self.caller_server.stop()
        if self.admin_server is not None:
            await self.admin_server.stop()
        await self._end()
        _log.info("shut down")

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for shard in list(self.shards.owner_by_shard):
            await self.shards.lost(shard)
        with contextlib.suppress(StoreUnavailableError):
            await self.membership.lease.revoke()
        await self.peer_client.close()
        await self.platform.close()

    def _wire(self) -> None:
        # The bound port is published, so that settings may name port 0.
        host = self.settings.peer_address.rpartition(":")[0]
        settings = msgspec.structs.replace(
            self.settings, peer_address=f"{host}:{self.peer_server.port}"
        )
        self.configuration = ConfigurationStore(self.platform, self.clock, settings.vm)
        self.membership = Membership(
            settings, self.platform, self.peer_client, self.clock, self._beat_content
        )
        self.shards = OwnedShards(
            settings,
            self.clock,
            self.platform,
            self.metrics,
            lambda: self.configuration.tables,
            lambda shard: self.ownership.may_start(shard),
        )
        self.ownership = Ownership(
            self.membership,
            self.platform,
            self.peer_client,
            self.clock,
            settings.timing,
            self._own_shards,
            self.shards.gained,
            self.shards.lost,
            UpstreamWitness(settings, self.clock, lambda: self.configuration.tables),
        )
        self.forwarder = Forwarder(
            settings, self.clock, self, self.peer_client.call, self._handle_locally
        )
        self.cluster_status = ClusterStatus(
            settings,
            self.configuration,
            self.membership,
            self.ownership,
            self.shards,
            self.platform,
            self.peer_client.call,
            lambda: self._ready,
        )
        self.configuration.subscribe(lambda _: self.shards.tables_changed())

    def _add_handlers(self) -> None:
        server = self.peer_server
        server.handle(messages.Heartbeat, self._late(lambda r: self.membership.on_heartbeat(r)))
        server.handle(messages.SubmitRequest, self._late(lambda r: self.shards.submit(r)))
        server.handle(messages.ResolveRequest, self._late(lambda r: self.shards.resolve(r)))
        server.handle(messages.GetJobRequest, self._late(lambda r: self.shards.get_job(r)))
        server.handle(messages.CancelRequest, self._late(lambda r: self.shards.cancel(r)))
        server.handle(
            messages.AskOwnerRequest, self._late(lambda r: self.ownership.on_ask_owner(r))
        )
        server.handle(messages.PromiseRequest, self._late(lambda r: self.ownership.on_promise(r)))
        server.handle(
            messages.HandOverRequest, self._late(lambda r: self.ownership.on_hand_over(r))
        )
        server.handle(
            messages.ConfigDeltaRequest,
            self._late(lambda r: self.configuration.on_config_delta(r)),
        )
        server.handle(messages.StatusRequest, self._late(lambda r: self.cluster_status.reply(r)))

    def _late(self, handler: Callable[[Any], Any]) -> Callable[[Any], Awaitable[Any]]:
        """Returns a handler that waits until the parts are wired; the port is bound before."""

        async def handle(request: Any) -> Any:
            await self._wired.wait()
            reply = handler(request)
            return await reply if asyncio.iscoroutine(reply) else reply

        return handle

    async def _handle_locally(self, request: Any) -> Any:
        if isinstance(request, messages.SubmitRequest):
            return await self.shards.submit(request)
        if isinstance(request, messages.ResolveRequest):
            return await self.shards.resolve(request)
        if isinstance(request, messages.GetJobRequest):
            return await self.shards.get_job(request)
        return await self.shards.cancel(request)

    # What the forwarder asks about peers.

    def owner_of(self, shard: ShardId) -> VmId | None:
        return self.ownership.owner_of(shard)

    def address_of(self, vm: VmId) -> str | None:
        member = self.membership.by_id.get(vm)
        return member.peer_address if member is not None and member.peer_address else None

    def beat_of(self, shard: ShardId) -> messages.ShardBeat | None:
        beat = self.membership.beat_of(shard)
        return None if beat is None else beat[0]

    # Content of the parts' callbacks.

    def _beat_content(self) -> tuple[Revision, dict[ShardId, messages.ShardBeat]]:
        return self.configuration.tables.revision, self.shards.beats()

    def _own_shards(self) -> list[ShardId]:
        own = self.settings.data_centre
        return [
            shard_id(pool.name, own)
            for pool in self.configuration.tables.pool_by_name.values()
            if own in pool.data_centres()
        ]

    # Background work.

    async def _become_ready(self) -> None:
        await self.configuration.wait_ready()
        self._ready = True
        _log.info("ready with revision {}", self.configuration.tables.revision)

    async def _follow_vm_list(self) -> None:
        """Gives upstreams that the platform lists as leaving no new work."""
        while True:
            with contextlib.suppress(StoreUnavailableError):
                listed = await self.platform.list_vms()
                self.shards.vms_leaving({UpstreamId(vm.vm_id) for vm in listed if vm.leaving})
            await self.clock.sleep(VM_LIST_INTERVAL)

    async def _wait_for_requests(self) -> None:
        give_up_at = self.clock.boot_time() + DRAIN_LIMIT
        while self.caller_requests.count > 0 and self.clock.boot_time() < give_up_at:
            await self.clock.sleep(DRAIN_POLL)

    async def _start_http(self) -> None:
        app, self.caller_requests = caller_app(
            self.settings,
            self.clock,
            self.metrics,
            self.forwarder,
            lambda: self.configuration.tables,
            lambda: self._ready,
            lambda: self._refusing,
        )
        self.caller_server = HttpServer(app, self.settings.caller_address, self.settings.tls)
        await self.caller_server.start()
        self.admin_server: HttpServer | None = None
        admin = self.settings.admin
        if admin is not None:
            token = _read_token(admin.token_file)
            app = admin_app(
                self.settings,
                token,
                self.configuration,
                self.cluster_status.document,
                self.cluster_status.in_force,
            )
            self.admin_server = HttpServer(app, admin.address, self.settings.tls)
            await self.admin_server.start()

    def _run(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(_report_failure)
        self._tasks.append(task)


async def serve(settings: Settings) -> None:
    """Runs an entry process until SIGTERM or SIGINT, then shuts it down gracefully."""
    setup_logs(settings.log)
    setup_telemetry(settings)
    process = EntryProcess(settings)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await process.start()
    admin = process.admin_server.port if process.admin_server is not None else 0
    print(
        f"listening callers={process.caller_server.port} peers={process.peer_server.port} "
        f"admin={admin}",
        flush=True,
    )
    await ended.wait()
    await process.stop()


def _open_platform(settings: Settings, clock: Clock) -> Platform:
    adapter = PLATFORMS.find(settings.platform.adapter)
    timeout = timedelta(milliseconds=settings.platform.timeout_ms)
    return adapter(settings.platform.address, timeout=timeout, clock=clock)


def _read_token(path: str) -> str:
    token = Path(path).read_text().strip()
    if not token:
        raise ValueError(f"{path}: the token file is empty")
    return token


def _report_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("a part of the process failed: {!r}", task.exception())
