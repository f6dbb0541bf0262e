"""Status document for operators, assembled from this process and its peers."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.configuration import ConfigurationStore
from hornbeamramp.errors import SchedulerError
from hornbeamramp.ids import DataCentreId, Revision, VmId, shard_id
from hornbeamramp.membership import Membership
from hornbeamramp.messages import StatusReply, StatusRequest
from hornbeamramp.ownership import Ownership
from hornbeamramp.settings import Settings
from hornbeamramp.shards import OwnedShards
from hornbeamramp.states import MemberState, Step, UpstreamState
from hornbeamramp.store_budget import BudgetedPlatform
from hornbeamramp.telemetry import Metrics, Reading

__all__ = ["ClusterStatus"]

PEER_TIMEOUT = timedelta(seconds=2)
APPLIED_POLL_INTERVAL = timedelta(milliseconds=50)


class ClusterStatus:
    """Builds the document of ``GET /v1/status`` and tells where a revision is applied."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        configuration: ConfigurationStore,
        membership: Membership,
        ownership: Ownership,
        shards: OwnedShards,
        platform: BudgetedPlatform,
        call: Callable[[str, Any, timedelta, Step], Awaitable[Any]],
        is_ready: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._configuration = configuration
        self._membership = membership
        self._ownership = ownership
        self._shards = shards
        self._platform = platform
        self._call = call
        self._is_ready = is_ready

    def local_status(self) -> dict[str, Any]:
        """Returns the state of this process."""
        return {
            "vm": self._settings.vm,
            "data_centre": self._settings.data_centre,
            "ready": self._is_ready(),
            "revision": self._configuration.tables.revision,
            "shards": self._shards.status(),
            "store_calls": dict(self._platform.calls_by_kind),
        }

    def register_metrics(self, metrics: Metrics) -> None:
        """Registers the metrics that are read from the state of this process."""
        metrics.observe("revision", lambda: [(self._configuration.tables.revision, {})])
        metrics.observe("members", self._read_members)
        metrics.observe("shards_owned", lambda: [(len(self._shards.owner_by_shard), {})])
        metrics.observe("upstreams_set_aside", self._read_inactive_upstreams)
        metrics.observe("store_calls", self._read_store_calls)

    def _read_members(self) -> list[Reading]:
        states = [self._membership.state_of(vm) for vm in self._membership.by_id]
        return [(states.count(state), {"state": state.value}) for state in MemberState]

    def _read_inactive_upstreams(self) -> list[Reading]:
        readings = []
        for shard in self._shards.status():
            states = [upstream["state"] for upstream in shard["upstreams"]]
            for state in UpstreamState:
                if state is not UpstreamState.ACTIVE:
                    labels = {"shard": shard["shard"], "state": state.value}
                    readings.append((states.count(state.value), labels))
        return readings

    def _read_store_calls(self) -> list[Reading]:
        return [(n, {"kind": kind}) for kind, n in self._platform.calls_by_kind.items()]

    async def on_status(self, request: StatusRequest) -> StatusReply:
        """Handles a peer's status request."""
        return StatusReply(msgspec.json.encode(self.local_status()))

    async def document(self) -> dict[str, Any]:
        """Returns the state of the whole cell, without details of peers that do not answer."""
        local = self.local_status()
        peers = await self._request_peer_statuses()
        detail_by_shard = {
            detail["shard"]: detail
            for document in (local, *peers.values())
            for detail in document["shards"]
        }
        return {
            "vm": local["vm"],
            "revision": local["revision"],
            "data_centres": self._data_centres(),
            "members": self._members(),
            "shards": self._shard_rows(detail_by_shard),
            "processes": [local, *peers.values()],
        }

    async def wait_applied(self, revision: Revision, wait: timedelta) -> dict[str, bool]:
        """Tells for each data centre whether all reachable members have applied ``revision``.

        Returns once all have, or after ``wait``.
        """
        deadline = self._clock.boot_time() + wait
        while True:
            result = self._applied_by_data_centre(revision)
            if all(result.values()) or self._clock.boot_time() >= deadline:
                return result
            await self._clock.sleep(APPLIED_POLL_INTERVAL)

    def _applied_by_data_centre(self, revision: Revision) -> dict[str, bool]:
        revisions = self._membership.revision_by_vm()
        result: dict[str, bool] = {}
        for vm, member in self._membership.by_id.items():
            if self._membership.state_of(vm) is MemberState.DEAD:
                continue
            applied = revisions.get(vm, Revision(0)) >= revision
            result[member.data_centre] = result.get(member.data_centre, True) and applied
        return result

    async def _request_peer_statuses(self) -> dict[VmId, dict[str, Any]]:
        vms = [
            vm
            for vm in self._membership.by_id
            if vm != self._settings.vm
            and self._membership.state_of(vm) not in (MemberState.DEAD, None)
        ]
        replies = await asyncio.gather(*(self._request_status(vm) for vm in vms))
        return {vm: reply for vm, reply in zip(vms, replies, strict=True) if reply is not None}

    async def _request_status(self, vm: VmId) -> dict[str, Any] | None:
        address = self._membership.by_id[vm].peer_address
        try:
            reply = await self._call(address, StatusRequest(), PEER_TIMEOUT, Step.ANSWER)
        except SchedulerError:
            return None
        return msgspec.json.decode(reply.document, type=dict[str, Any])

    def _members(self) -> list[dict[str, Any]]:
        revisions = self._membership.revision_by_vm()
        rows = []
        for vm, member in sorted(self._membership.by_id.items()):
            state = self._membership.state_of(vm)
            rows.append(
                {
                    "vm": vm,
                    "data_centre": member.data_centre,
                    "state": state.value if state is not None else "unknown",
                    "revision": revisions.get(vm, 0),
                }
            )
        return rows

    def _data_centres(self) -> dict[DataCentreId, dict[str, Any]]:
        result: dict[DataCentreId, dict[str, Any]] = {}
        for row in self._members():
            if row["state"] not in (MemberState.ALIVE.value, MemberState.LEAVING.value):
                continue
            summary = result.setdefault(
                row["data_centre"], {"members": 0, "least_revision": row["revision"]}
            )
            summary["members"] += 1
            summary["least_revision"] = min(summary["least_revision"], row["revision"])
        for data_centre, summary in result.items():
            summary["serving"] = self._is_serving(data_centre)
        return result

    def _is_serving(self, data_centre: DataCentreId) -> bool:
        pools = self._configuration.tables.pool_by_name.values()
        shards = [
            shard_id(pool.name, data_centre) for pool in pools if data_centre in pool.data_centres()
        ]
        return all(self._ownership.owner_of(shard) is not None for shard in shards)

    def _shard_rows(self, detail_by_shard: dict[str, Any]) -> list[dict[str, Any]]:
        rows = []
        for pool in self._configuration.tables.pool_by_name.values():
            for data_centre in sorted(pool.data_centres()):
                shard = shard_id(pool.name, data_centre)
                detail = detail_by_shard.get(shard)
                rows.append(
                    {
                        "shard": shard,
                        "owner": self._ownership.owner_of(shard),
                        "epoch": detail["epoch"] if detail else None,
                        "detail": detail,
                    }
                )
        return rows
