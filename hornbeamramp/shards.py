"""Serves the shards that this process owns, and inspects the upstreams of shards to claim."""

import asyncio
import contextvars
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.durable_jobs import DurableJobs
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.ids import Epoch, ShardId, UpstreamId, split_shard_id
from hornbeamramp.messages import (
    CancelReply,
    CancelRequest,
    GetJobReply,
    GetJobRequest,
    Misdirected,
    ResolveReply,
    ResolveRequest,
    ShardHeartbeat,
    SubmitReply,
    SubmitRequest,
)
from hornbeamramp.owner import ShardOwner
from hornbeamramp.ownership import UpstreamReport
from hornbeamramp.platforms import Platform
from hornbeamramp.settings import Settings
from hornbeamramp.states import Capability, Step
from hornbeamramp.tables import Pool, PoolUpstream, Tables
from hornbeamramp.telemetry import Metrics
from hornbeamramp.upstreams import ListedTask, UpstreamAdapter

__all__ = ["OpenUpstream", "OwnedShards", "UpstreamObserver"]

_log = logbook.Logger("owner")


OpenUpstream = Callable[[Pool, PoolUpstream], UpstreamAdapter]


class OwnedShards:
    """Runs one `ShardOwner` for each shard that this process owns.

    `may_start`
        ``may_start(shard)``: whether a start sent now arrives while this process owns the shard.
    `tables`
        Returns the configuration tables in force.
    `open_upstream`
        Creates the adapter of an upstream of a pool.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: Platform,
        metrics: Metrics,
        tables: Callable[[], Tables],
        may_start: Callable[[ShardId], bool],
        open_upstream: OpenUpstream,
    ) -> None:
        self.owner_by_shard: dict[ShardId, ShardOwner] = {}
        self._settings = settings
        self._clock = clock
        self._platform = platform
        self._metrics = metrics
        self._tables = tables
        self._may_start = may_start
        self._open_upstream = open_upstream
        self._task_by_shard: dict[ShardId, asyncio.Task[None]] = {}

    async def gained(self, shard: ShardId, epoch: Epoch) -> None:
        """Starts to serve a shard that this process has claimed."""
        pool = self._tables().pool_by_name[split_shard_id(shard)[0]]
        owner = ShardOwner(
            shard,
            epoch,
            pool,
            self._settings.vm,
            self._clock,
            self._settings.timing,
            self._metrics,
            lambda: self._may_start(shard),
            lambda upstream: self._open_upstream(pool, upstream),
            DurableJobs(self._platform, self._clock, shard),
        )
        self.owner_by_shard[shard] = owner
        # An empty context keeps the new owner's work out of the trace of the hand-over.
        task = asyncio.get_running_loop().create_task(owner.run(), context=contextvars.Context())
        self._task_by_shard[shard] = task
        _log.info("{}: serving with epoch {}", shard, epoch)

    async def lost(self, shard: ShardId) -> None:
        """Stops serving a shard."""
        owner = self.owner_by_shard.pop(shard, None)
        task = self._task_by_shard.pop(shard, None)
        if owner is not None:
            await owner.close()
            _log.info("{}: no longer serving", shard)
        if task is not None:
            task.cancel()

    def tables_changed(self) -> None:
        """Passes changed pool rows to the shard owners."""
        pool_by_name = self._tables().pool_by_name
        for shard, owner in self.owner_by_shard.items():
            pool = pool_by_name.get(split_shard_id(shard)[0])
            if pool is not None:
                owner.update_pool(pool)

    async def on_store_available(self) -> None:
        """Lets each owner restore its journal before another process may claim the shard."""
        owners = list(self.owner_by_shard.values())
        await asyncio.gather(*(owner.on_store_available() for owner in owners))

    def set_upstreams_leaving(self, upstream_ids: set[UpstreamId]) -> None:
        """Marks upstreams as leaving in all shards, so that they receive no new work."""
        for owner in self.owner_by_shard.values():
            for upstream_id in upstream_ids:
                owner.set_leaving(upstream_id)

    def heartbeats(self) -> dict[ShardId, ShardHeartbeat]:
        """Returns the heartbeat entry of each shard."""
        return {shard: owner.heartbeat() for shard, owner in self.owner_by_shard.items()}

    def status(self) -> list[dict[str, Any]]:
        """Returns the state of each shard for operators."""
        return [owner.status() for owner in self.owner_by_shard.values()]

    async def submit(self, request: SubmitRequest) -> SubmitReply:
        owner = self.owner_by_shard.get(request.shard)
        return SubmitReply(Misdirected()) if owner is None else await owner.submit(request)

    async def resolve(self, request: ResolveRequest) -> ResolveReply:
        owner = self.owner_by_shard.get(request.shard)
        return ResolveReply(None) if owner is None else await owner.resolve(request)

    async def get_job(self, request: GetJobRequest) -> GetJobReply:
        owner = self.owner_by_shard.get(request.shard)
        if owner is None:
            raise UnreachableError(Step.ANSWER, request.shard, "not the owner", sent=False)
        return await owner.get_job(request)

    async def cancel(self, request: CancelRequest) -> CancelReply:
        owner = self.owner_by_shard.get(request.shard)
        if owner is None:
            raise UnreachableError(Step.CANCEL, request.shard, "not the owner", sent=False)
        return await owner.cancel(request)


class UpstreamObserver:
    """Lists and fences upstreams, to find out whether another owner still serves a shard."""

    def __init__(self, tables: Callable[[], Tables], open_upstream: OpenUpstream) -> None:
        self._tables = tables
        self._open_upstream = open_upstream

    async def observe(self, shard: ShardId) -> UpstreamReport:
        """Lists the tasks of all upstreams of the shard and summarises their labels."""
        replies = await self._for_each(shard, _list_upstream)
        listed = [reply for reply in replies if reply is not None]
        renewed_by_epoch: dict[Epoch, timedelta] = {}
        for _, tasks in listed:
            for task in tasks:
                if task.labels is not None and task.labels.shard == shard:
                    epoch = task.labels.epoch
                    known = renewed_by_epoch.get(epoch, task.renewed_ago)
                    renewed_by_epoch[epoch] = min(known, task.renewed_ago)
        return UpstreamReport(
            highest_epoch=max(renewed_by_epoch, default=Epoch(0)),
            since_renewal_by_epoch=renewed_by_epoch,
            all_answered=len(listed) == len(replies),
            all_labelled=all(Capability.LABELS in capabilities for capabilities, _ in listed),
            answered=len(listed),
        )

    async def fence(self, shard: ShardId, epoch: Epoch) -> bool:
        """Fences the shard's upstreams.

        Returns true if at least one was reached and every reached one accepted the fence.
        """
        replies = await self._for_each(shard, lambda adapter: adapter.fence(shard, epoch))
        reached = [reply for reply in replies if reply is not None]
        return bool(reached) and all(reached)

    async def _for_each(self, shard: ShardId, call: Callable[[UpstreamAdapter], Any]) -> list[Any]:
        """Calls every upstream of the shard; the result is ``None`` for one that did not answer."""
        pool_name, data_centre = split_shard_id(shard)
        pool = self._tables().pool_by_name.get(pool_name)
        upstreams = [] if pool is None else pool.upstreams
        calls = [
            self._call(self._open_upstream(pool, upstream), call)
            for upstream in upstreams
            if upstream.data_centre == data_centre
        ]
        return list(await asyncio.gather(*calls))

    @staticmethod
    async def _call(adapter: UpstreamAdapter, call: Callable[[UpstreamAdapter], Any]) -> Any:
        try:
            return await call(adapter)
        except (UnreachableError, ProtocolError):
            return None
        finally:
            await adapter.close()


async def _list_upstream(
    adapter: UpstreamAdapter,
) -> tuple[frozenset[Capability], list[ListedTask]]:
    shape = await adapter.shape()
    return shape.capabilities, await adapter.list_tasks()
