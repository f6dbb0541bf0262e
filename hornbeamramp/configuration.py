"""Configuration kept in one head record (first version)."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from hornbeamramp.errors import ConflictError, StoreUnavailableError
from hornbeamramp.ids import ChangeId, Revision
from hornbeamramp.messages import ConfigDeltaReply, ConfigDeltaRequest
from hornbeamramp.states import JobState
from hornbeamramp.tables import Change, Tables, check_join

__all__ = [
    "BrokenJoin",
    "ConfigurationStore",
    "MalformedProposal",
    "ProposalError",
    "StoreUnavailable",
    "VersionConflict",
]

HEAD = "config/head"


class VersionConflict(msgspec.Struct, frozen=True):
    current: object = None
    version: Revision | None = None


class BrokenJoin(msgspec.Struct, frozen=True):
    message: str
    names: list[str]


class StoreUnavailable(msgspec.Struct, frozen=True):
    message: str
    outcome: JobState


class MalformedProposal(msgspec.Struct, frozen=True):
    message: str


ProposalError = VersionConflict | BrokenJoin | StoreUnavailable | MalformedProposal


class ConfigurationStore:
    def __init__(self, platform, clock, vm) -> None:
        self.tables = Tables()
        self._platform, self._clock = platform, clock
        self._ready = asyncio.Event()
        self._subscribers: list[Callable] = []

    def subscribe(self, callback: Callable) -> None:
        self._subscribers.append(callback)

    async def wait_ready(self) -> None:
        await self._ready.wait()

    async def run(self) -> None:
        after = 0
        while True:
            try:
                result = await self._platform.watch(HEAD, after, timedelta(seconds=20))
            except StoreUnavailableError:
                await self._clock.sleep(timedelta(seconds=1))
                continue
            after = result.revision
            for entry in result.changed:
                self._apply(msgspec.json.decode(entry.value, type=Tables))
            self._ready.set()

    def _apply(self, tables: Tables) -> None:
        if tables.revision > self.tables.revision:
            self.tables = tables
            for callback in self._subscribers:
                callback(tables)

    async def propose(self, table, name, row, if_match, change_id) -> Result:
        while True:
            entry = await self._platform.get(HEAD)
            tables = msgspec.json.decode(entry.value, type=Tables) if entry else Tables()
            versions = (
                tables.route_version_by_name if table == "routes" else tables.pool_version_by_name
            )
            if versions.get(name) != if_match:
                rows = tables.route_by_name if table == "routes" else tables.pool_by_name
                return Err(VersionConflict(rows.get(name), versions.get(name)))
            change = Change(
                ChangeId(change_id),
                Revision(tables.revision + 1),
                table,
                name,
                **{"route" if table == "routes" else "pool": row},
            )
            changed = tables.apply(change)
            joined = check_join(changed.route_by_name, changed.pool_by_name)
            if joined.is_err():
                return Err(BrokenJoin(joined.err_value.message, joined.err_value.names))
            try:
                value = msgspec.json.encode(changed)
                await self._platform.put(HEAD, value, entry.version if entry else None)
            except ConflictError:
                continue
            self._apply(changed)
            return Ok(change)

    async def on_config_delta(self, request: ConfigDeltaRequest) -> ConfigDeltaReply:
        return ConfigDeltaReply(self.tables.revision, [], self.tables)
