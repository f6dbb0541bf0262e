"""The operators' tables in the platform's store: proposals, the watch, deltas between peers."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta

import logbook
import msgspec
from result import Err, Ok, Result

from hornbeamramp.clock import Clock
from hornbeamramp.config_head import (
    RING_BYTES,
    ConfigHead,
    ConfigState,
    merge,
)
from hornbeamramp.config_proposal import (
    BrokenJoin,
    MalformedProposal,
    ProposalError,
    StoreOutage,
    VersionConflict,
    check_change,
    compare_repeated,
    make_change,
)
from hornbeamramp.config_records import HEAD_KEY, ConfigRecords, decode_head
from hornbeamramp.errors import (
    ConflictError,
    ProtocolError,
    SchedulerError,
    StoreUnavailableError,
)
from hornbeamramp.ids import ChangeId, Revision, VmId
from hornbeamramp.messages import ConfigDeltaReply, ConfigDeltaRequest
from hornbeamramp.platforms.base import Entry, Platform
from hornbeamramp.states import Step
from hornbeamramp.tables import Change, Pool, Route, Tables

__all__ = [
    "BrokenJoin",
    "ConfigurationStore",
    "MalformedProposal",
    "ProposalError",
    "StoreOutage",
    "VersionConflict",
]

log = logbook.Logger("config")

WATCH_WAIT = timedelta(seconds=25)
RETRY_DELAY = timedelta(milliseconds=100)
WATCH_RETRY_DELAY = timedelta(seconds=1)
# Conflicts are other operators' changes; each of them means that one proposal got through.
CONFLICT_ATTEMPTS = 30
OUTAGE_ATTEMPTS = 4
UNMERGED_LIMIT = 8

_encode = msgspec.msgpack.Encoder().encode


class _Stored(msgspec.Struct, frozen=True):
    """What the store holds. ``version`` is ``None`` if there is no head."""

    head: ConfigHead
    state: ConfigState
    version: int | None


class ConfigurationStore:
    """Tables of one member: those in force here, and changes to those in the store.

    `platform`
        Store; its calls count against the process's budget.
    `clock`
        Source of time for retries.
    `vm`
        This member, for the log.
    `watch_wait`
        Longest wait of one watch call (default: 25 s).

    `fork_count`
        Number of forks that this member has seen.
    `dropped_changes`
        Last changes that could not be kept when a fork was merged.
    """

    def __init__(
        self, platform: Platform, clock: Clock, vm: VmId, watch_wait: timedelta = WATCH_WAIT
    ) -> None:
        self._platform = platform
        self._records = ConfigRecords(platform)
        self._clock = clock
        self._vm = vm
        self._watch_wait = watch_wait
        self._state = ConfigState()
        # Losing sides of forks seen without the store, to be merged when it is available.
        self._unmerged: list[ConfigState] = []
        self._ready = asyncio.Event()
        self._proposal_lock = asyncio.Lock()
        self._callbacks: list[Callable[[Tables], None]] = []
        self.fork_count = 0
        self.dropped_changes: deque[Change] = deque(maxlen=100)

    @property
    def tables(self) -> Tables:
        """Tables in force at this member."""
        return self._state.tables

    def is_ready(self) -> bool:
        """Tells whether the tables were loaded from the store or a peer."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Returns once the tables were loaded from the store or a peer."""
        await self._ready.wait()

    def subscribe(self, callback: Callable[[Tables], None]) -> Callable[[], None]:
        """Calls ``callback`` with the tables after each change; returns how to end that.

        The call is made in the event loop and must not block. Its exceptions are logged.
        """
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    async def propose(
        self,
        table: str,
        name: str,
        row: Route | Pool | None,
        if_match: Revision | None,
        change_id: ChangeId,
    ) -> Result[Change, ProposalError]:
        """Writes a row, or deletes it if ``row`` is ``None``.

        ``if_match`` is the version to replace, ``None`` if the row must not exist. A proposal
        with the id of an accepted change returns that change.
        """
        try:
            change = make_change(table, name, row, if_match, change_id)
        except ValueError as error:
            return Err(MalformedProposal(str(error)))
        async with self._proposal_lock:
            return await self._propose(change, if_match)

    async def _propose(
        self, change: Change, if_match: Revision | None
    ) -> Result[Change, ProposalError]:
        # Version and revision of a put without an answer that may still take effect.
        unresolved: tuple[int | None, Revision] | None = None
        message, outages, conflicts = "", 0, 0
        while outages < OUTAGE_ATTEMPTS and conflicts < CONFLICT_ATTEMPTS:
            if outages:
                await self._clock.sleep(RETRY_DELAY * 2 ** (outages - 1))
            try:
                stored = await self._reconcile(await self._platform.get(HEAD_KEY))
                found = stored.state.find(change.id)
                if found is not None:
                    return compare_repeated(found, change)
                if unresolved is not None and stored.version != unresolved[0]:
                    if stored.state.base_revision >= unresolved[1]:
                        message = "too many later changes to tell"
                        break
                    # The head has moved on without the change, so the put can't take effect.
                    unresolved = None
                refusal = check_change(stored.state.tables, change, if_match)
                if refusal is not None:
                    return Err(refusal)
                target = stored.state.append(change)
                head = await self._records.build_head(target, stored.head)
            except (StoreUnavailableError, ProtocolError) as error:
                message = error.message
                if unresolved is None:
                    return Err(StoreOutage("not_run", message))
                outages += 1
                continue
            try:
                await self._platform.put(HEAD_KEY, _encode(head), stored.version)
            except ConflictError as error:
                message = error.message
                conflicts += 1
            except StoreUnavailableError as error:
                message = error.message
                if error.sent:
                    unresolved = (stored.version, target.tables.revision)
                elif unresolved is None:
                    return Err(StoreOutage("not_run", message))
                outages += 1
            else:
                self._adopt(target)
                await self._records.delete_old_snapshot(stored.head, head)
                log.info("revision {}: {}/{} changed", head.revision, change.table, change.name)
                return Ok(target.recent[-1])
        return Err(StoreOutage("not_run" if unresolved is None else "unknown", message))

    async def run(self) -> None:
        """Follows the head in the store until cancelled."""
        available = True
        while True:
            try:
                version = await self._follow(await self._platform.get(HEAD_KEY))
                available = True
                while True:
                    result = await self._platform.watch(HEAD_KEY, version, self._watch_wait)
                    entry = next((e for e in result.changed if e.key == HEAD_KEY), None)
                    if entry is None:
                        # Reads the head: a store restored without it reports no change.
                        break
                    version = await self._follow(entry)
            except (StoreUnavailableError, ProtocolError) as error:
                if available:
                    log.warning("{}: can't follow the tables: {}", self._vm, error)
                available = False
                await self._clock.sleep(WATCH_RETRY_DELAY)

    def on_config_delta(self, request: ConfigDeltaRequest) -> ConfigDeltaReply:
        """Answers a peer with the changes it lacks, or the whole tables."""
        state, tables = self._state, self._state.tables
        reply = ConfigDeltaReply(tables.revision, digest=tables.digest)
        if state.order <= (request.after, request.digest):
            return reply
        changes = state.changes_after(request.after, request.digest)
        if changes is not None:
            return msgspec.structs.replace(reply, changes=changes, base_digest=request.digest)
        return msgspec.structs.replace(
            reply, changes=list(state.recent), base_digest=state.base_digest, tables=tables
        )

    async def pull_from(
        self, peer_call: Callable[[ConfigDeltaRequest], Awaitable[ConfigDeltaReply]]
    ) -> bool:
        """Fetches later changes from a peer and tells whether there were any.

        ``peer_call`` sends the request; a `SchedulerError` from it is logged.
        """
        tables = self._state.tables
        try:
            reply = await peer_call(ConfigDeltaRequest(tables.revision, tables.digest))
        except SchedulerError as error:
            log.debug("{}: no changes from a peer: {}", self._vm, error)
            return False
        if reply.tables is None:
            state = self._state.extend(reply.changes)
        else:
            state = ConfigState(reply.tables, tuple(reply.changes), reply.base_digest)
            state = state if state.is_consistent() else None
        if state is None:
            log.warning("{}: a peer's changes to {} do not fit", self._vm, reply.revision)
            return False
        if state.tables.revision > 0:
            self._ready.set()
        return self._adopt(state)

    async def _follow(self, entry: Entry | None) -> int:
        stored = await self._reconcile(entry)
        if not self._ready.is_set():
            log.info("{}: tables loaded at revision {}", self._vm, self.tables.revision)
            self._ready.set()
        return stored.version or 0

    async def _reconcile(self, entry: Entry | None) -> _Stored:
        """Brings the head in the store and the state of this member to the same point.

        Writes the member's state back if the store lacks part of it. Raises
        `StoreUnavailableError`, and `ProtocolError` if the head can't be read.
        """
        for _ in range(CONFLICT_ATTEMPTS):
            head = ConfigHead() if entry is None else decode_head(entry)
            version = None if entry is None else entry.version
            try:
                stored = await self._records.load(head, self._state)
            except ProtocolError:
                if self._state.order <= (head.revision, head.digest):
                    raise
                # A store restored in part lacks a snapshot; this member has a later revision.
                head, stored = ConfigHead(), ConfigState()
            target, dropped, unmerged = stored, [], list(self._unmerged)
            for known in (self._state, *unmerged):
                merged = merge(target, known)
                target = merged.state
                dropped += merged.dropped
            if target.order != stored.order:
                log.warning(
                    "{}: the store is at revision {}; writing revision {} back",
                    self._vm,
                    stored.tables.revision,
                    target.tables.revision,
                )
                new_head = await self._records.build_head(target, head)
                try:
                    version = await self._platform.put(HEAD_KEY, _encode(new_head), version)
                except ConflictError:
                    entry = await self._platform.get(HEAD_KEY)
                    continue
                head = new_head
            # A reply of a peer may have added others in the meantime.
            self._unmerged = [known for known in self._unmerged if known not in unmerged]
            self._report_dropped(dropped)
            self._adopt(target)
            return _Stored(head, target, version)
        raise StoreUnavailableError(
            Step.CHANGE_APPLIED, "store", "the head changed at each attempt", sent=False
        )

    def _adopt(self, state: ConfigState) -> bool:
        """Puts ``state`` in force if it is later than the present one."""
        ours = self._state
        if state.order <= ours.order:
            return False
        merged = merge(state, ours)
        at_ours = state.digest_at(ours.tables.revision)
        if at_ours is not None and at_ours != ours.tables.digest:
            self.fork_count += 1
            log.error(
                "{}: two chains of changes at revision {}; the one at revision {} is kept",
                self._vm,
                ours.tables.revision,
                state.tables.revision,
            )
        if merged.state.order != state.order:
            self._unmerged = [*self._unmerged[-UNMERGED_LIMIT:], ours]
        self._state = state.trim(RING_BYTES)
        for callback in list(self._callbacks):
            try:
                callback(state.tables)
            except Exception:
                # A subscriber's fault must not keep the member from following the tables.
                log.exception("{}: a subscriber failed", self._vm)
        return True

    def _report_dropped(self, changes: list[Change]) -> None:
        for change in changes:
            if change.id not in {known.id for known in self.dropped_changes}:
                self.dropped_changes.append(change)
                log.error(
                    "{}: change {} of {}/{} lost to another one in a fork",
                    self._vm,
                    change.id,
                    change.table,
                    change.name,
                )
