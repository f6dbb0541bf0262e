"""Assembly of an entry process without its listeners."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import logbook

from hornbeamramp import messages
from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.cluster_status import ClusterStatus
from hornbeamramp.configuration import ConfigurationStore
from hornbeamramp.errors import ProtocolError, StoreUnavailableError, UnreachableError
from hornbeamramp.forwarding import Forwarder
from hornbeamramp.ids import Revision, ShardId, UpstreamId, VmId, shard_id
from hornbeamramp.membership import Membership
from hornbeamramp.ownership import Ownership
from hornbeamramp.peers import PeerCaller
from hornbeamramp.platforms import Platform
from hornbeamramp.settings import Settings
from hornbeamramp.shards import OpenUpstream, OwnedShards, UpstreamObserver
from hornbeamramp.states import Step
from hornbeamramp.store_budget import BudgetedPlatform
from hornbeamramp.tables import Tables
from hornbeamramp.telemetry import Metrics

__all__ = ["REQUEST_TYPES", "EntryParts"]

# Shorter than the delay before shards are claimed once the store is available again.
STORE_CHECK_INTERVAL = timedelta(milliseconds=500)
VM_LIST_INTERVAL = timedelta(seconds=3)
SEED_INTERVAL = timedelta(seconds=1)
PULL_TIMEOUT = timedelta(seconds=2)

REQUEST_TYPES: tuple[type, ...] = (
    messages.Heartbeat,
    messages.SubmitRequest,
    messages.ResolveRequest,
    messages.GetJobRequest,
    messages.CancelRequest,
    messages.AskOwnerRequest,
    messages.PromiseRequest,
    messages.HandOverRequest,
    messages.ConfigDeltaRequest,
    messages.StatusRequest,
)

_log = logbook.Logger("entry")


class EntryParts:
    """Membership, ownership, configuration, owned shards and forwarding of one process.

    `platform`
        Platform adapter; wrapped to apply the process's call budget.
    `peers`
        Client for calls to other entry processes.
    `open_upstream`
        Creates the adapter for an upstream of a pool.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: Platform,
        peers: PeerCaller,
        open_upstream: OpenUpstream,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.ready = False
        self.refuses_jobs = False
        self.platform = BudgetedPlatform(platform, clock, settings.platform.calls_per_second)
        self.configuration = ConfigurationStore(self.platform, clock, settings.vm)
        self.membership = Membership(settings, self.platform, peers, clock, self._heartbeat_content)
        self.shards = OwnedShards(
            settings,
            clock,
            self.platform,
            self.metrics,
            lambda: self.configuration.tables,
            lambda shard: self.ownership.may_start(shard),
            open_upstream,
        )
        self.ownership = Ownership(
            self.membership,
            self.platform,
            peers,
            clock,
            settings.timing,
            self._local_shards,
            self.shards.gained,
            self.shards.lost,
            UpstreamObserver(lambda: self.configuration.tables, open_upstream),
        )
        self.forwarder = Forwarder(settings, clock, self, peers.call, self.handle)
        self.cluster_status = ClusterStatus(
            settings,
            clock,
            self.configuration,
            self.membership,
            self.ownership,
            self.shards,
            self.platform,
            peers.call,
            lambda: self.ready,
        )
        self.cluster_status.register_metrics(self.metrics)
        self.configuration.subscribe(self._on_tables_changed)
        self.membership.add_heartbeat_listener(self._on_heartbeat)
        self._peers = peers
        self._pulling = False
        self._handler_by_type = self._build_handlers()
        self._tasks = BackgroundTasks(settings.vm, _log)

    def start(self) -> None:
        """Joins the cluster and begins to serve."""
        for coroutine in (
            self.configuration.run(),
            self.membership.run(),
            self.ownership.run(),
            self._poll_vm_list(),
            self._watch_store_availability(),
            self._set_ready_when_loaded(),
            self._contact_seed_peers(),
        ):
            self._tasks.spawn(coroutine)

    def set_leaving(self) -> None:
        """Tells load balancer and peers that this process is about to stop taking new work."""
        self.ready = False
        self.membership.set_leaving()

    async def close(self) -> None:
        """Stops all tasks and revokes the process lease. Hand over the shards before."""
        await self._tasks.cancel()
        for shard in list(self.shards.owner_by_shard):
            await self.shards.lost(shard)
        with contextlib.suppress(StoreUnavailableError):
            await self.membership.lease.revoke()
        await self.platform.close()

    async def handle(self, request: Any) -> Any:
        """Handles a request of a peer or of this process's own forwarder."""
        reply = self._handler_by_type[type(request)](request)
        return await reply if asyncio.iscoroutine(reply) else reply

    def owner_of(self, shard: ShardId) -> VmId | None:
        """Returns the VM that owns the shard, as far as is known."""
        return self.ownership.owner_of(shard)

    def address_of(self, vm: VmId) -> str | None:
        """Returns the peer address of a VM."""
        member = self.membership.by_id.get(vm)
        return member.peer_address if member is not None and member.peer_address else None

    def heartbeat_of(self, shard: ShardId) -> messages.ShardHeartbeat | None:
        """Returns the latest heartbeat entry of the shard."""
        shard_heartbeat = self.membership.heartbeat_of(shard)
        return None if shard_heartbeat is None else shard_heartbeat[0]

    def _build_handlers(self) -> dict[type, Callable[[Any], Any]]:
        return {
            messages.Heartbeat: self.membership.on_heartbeat,
            messages.SubmitRequest: self.shards.submit,
            messages.ResolveRequest: self.shards.resolve,
            messages.GetJobRequest: self.shards.get_job,
            messages.CancelRequest: self.shards.cancel,
            messages.AskOwnerRequest: self.ownership.on_ask_owner,
            messages.PromiseRequest: self.ownership.on_promise,
            messages.HandOverRequest: self.ownership.on_hand_over,
            messages.ConfigDeltaRequest: self.configuration.on_config_delta,
            messages.StatusRequest: self.cluster_status.on_status,
        }

    def _heartbeat_content(self) -> tuple[Revision, dict[ShardId, messages.ShardHeartbeat]]:
        return self.configuration.tables.revision, self.shards.heartbeats()

    def _local_shards(self) -> list[ShardId]:
        local = self.settings.data_centre
        return [
            shard_id(pool.name, local)
            for pool in self.configuration.tables.pool_by_name.values()
            if local in pool.data_centres()
        ]

    def _on_tables_changed(self, _: Tables) -> None:
        self.shards.tables_changed()

    def _on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Fetches changes that a peer has and this member lacks."""
        if heartbeat.revision > self.configuration.tables.revision and not self._pulling:
            self._pulling = True
            self._tasks.spawn(self._pull_from(heartbeat.vm))

    async def _pull_from(self, vm: VmId) -> None:
        address = self.address_of(vm)
        try:
            if address is not None:
                await self._pull(address)
        finally:
            self._pulling = False

    async def _pull(self, address: str) -> None:
        def call(request: messages.ConfigDeltaRequest) -> Awaitable[messages.ConfigDeltaReply]:
            return self._peers.call(address, request, PULL_TIMEOUT, Step.CHANGE_APPLIED)

        await self.configuration.pull_from(call)

    async def _contact_seed_peers(self) -> None:
        """Sends heartbeats to the seed peers and fetches their tables until a lease is granted."""
        await self.clock.sleep(SEED_INTERVAL)
        while self.membership.lease.id is None and self.settings.seed_peers:
            for address in self.settings.seed_peers:
                try:
                    await self.membership.send_heartbeat(address, PULL_TIMEOUT)
                except (UnreachableError, ProtocolError) as error:
                    _log.debug("heartbeat to seed peer {} failed: {}", address, error.message)
                else:
                    await self._pull(address)
            await self.clock.sleep(SEED_INTERVAL)

    async def _set_ready_when_loaded(self) -> None:
        await self.configuration.wait_ready()
        self.ready = True
        _log.info("ready with configuration revision {}", self.configuration.tables.revision)

    async def _watch_store_availability(self) -> None:
        """Lets the shard owners restore their journals when the store is available again."""
        available = True
        while True:
            await self.clock.sleep(STORE_CHECK_INTERVAL)
            before, available = available, self.membership.lease.store_available_for() is not None
            if available and not before:
                _log.info("the store is available again")
                await self.shards.on_store_available()

    async def _poll_vm_list(self) -> None:
        """Polls the platform's VM list and marks upstreams on leaving VMs: they get no new work."""
        while True:
            with contextlib.suppress(StoreUnavailableError):
                listed = await self.platform.list_vms()
                self.shards.set_upstreams_leaving(
                    {UpstreamId(vm.vm_id) for vm in listed if vm.leaving}
                )
            await self.clock.sleep(VM_LIST_INTERVAL)
