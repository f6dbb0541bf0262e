"""Configuration tables in the platform's store: proposals, the watch, deltas between peers."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta

import logbook
import msgspec
from result import Err, Ok, Result

from hornbeamramp.clock import Clock
from hornbeamramp.config_head import (
    RECENT_MAX_BYTES,
    ConfigHead,
    ConfigState,
    merge,
)
from hornbeamramp.config_proposal import (
    DanglingReference,
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
    "ConfigurationStore",
    "DanglingReference",
    "MalformedProposal",
    "ProposalError",
    "StoreOutage",
    "VersionConflict",
]

log = logbook.Logger("config")

WATCH_WAIT = timedelta(seconds=25)
RETRY_DELAY = timedelta(milliseconds=100)
WATCH_RETRY_DELAY = timedelta(seconds=1)
# Each conflict is caused by another proposal that was accepted, so retries make progress overall.
CONFLICT_ATTEMPTS = 30
OUTAGE_ATTEMPTS = 4
UNMERGED_LIMIT = 8

_encode = msgspec.msgpack.Encoder().encode


class _StoredState(msgspec.Struct, frozen=True):
    """Head and state in the store. ``version`` is ``None`` if there is no head."""

    head: ConfigHead
    state: ConfigState
    version: int | None


class ConfigurationStore:
    """Configuration tables of one member, kept in sync with the head in the store.

    `platform`
        Platform with the store; its calls count against the process's budget.
    `clock`
        Clock for the delays between retries.
    `vm`
        Id of this member, for log lines.
    `watch_wait`
        Longest wait of one watch call (default: 25 s).

    `fork_count`
        Number of forks that this member has detected.
    `dropped_changes`
        Latest changes that were dropped when a fork was merged, at most 100.
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
        # Losing states of forks found while the store was unavailable; merged when it is available.
        self._unmerged: list[ConfigState] = []
        self._ready = asyncio.Event()
        self._proposal_lock = asyncio.Lock()
        self._callbacks: list[Callable[[Tables], None]] = []
        self.fork_count = 0
        self.dropped_changes: deque[Change] = deque(maxlen=100)

    @property
    def tables(self) -> Tables:
        """Tables that this member applies."""
        return self._state.tables

    def is_ready(self) -> bool:
        """Tells whether the tables have been loaded from the store or a peer."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Waits until the tables have been loaded from the store or a peer."""
        await self._ready.wait()

    def subscribe(self, callback: Callable[[Tables], None]) -> Callable[[], None]:
        """Calls ``callback`` with the tables after each change.

        Returns a function that ends the subscription. The callback runs in the event loop and must
        not block. Its exceptions are logged.
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

        ``if_match`` is the version to replace, ``None`` if the row must not exist. A repeated
        proposal with the id of an accepted change returns that change.
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
        # Head version and revision of a put without a reply, which may still take effect.
        unresolved: tuple[int | None, Revision] | None = None
        message, outages, conflicts = "", 0, 0
        while outages < OUTAGE_ATTEMPTS and conflicts < CONFLICT_ATTEMPTS:
            if outages:
                await self._clock.sleep(RETRY_DELAY * 2 ** (outages - 1))
            try:
                stored = await self._reconcile(await self._platform.get(HEAD_KEY))
                accepted = stored.state.find(change.id)
                if accepted is not None:
                    return compare_repeated(accepted, change)
                if unresolved is not None and stored.version != unresolved[0]:
                    if stored.state.base_revision >= unresolved[1]:
                        message = "too many later changes to tell"
                        break
                    # The head has changed since without this change, so the version check of the
                    # put fails and the put can't take effect.
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
        """Watches the head in the store and applies its changes until cancelled."""
        available = True
        while True:
            try:
                version = await self._process_head(await self._platform.get(HEAD_KEY))
                available = True
                while True:
                    result = await self._platform.watch(HEAD_KEY, version, self._watch_wait)
                    entry = next((e for e in result.changed if e.key == HEAD_KEY), None)
                    if entry is None:
                        # Reads the head again: a store restored without it reports no change.
                        break
                    version = await self._process_head(entry)
            except (StoreUnavailableError, ProtocolError) as error:
                if available:
                    log.warning("{}: configuration watch failed, retrying: {}", self._vm, error)
                available = False
                await self._clock.sleep(WATCH_RETRY_DELAY)

    def on_config_delta(self, request: ConfigDeltaRequest) -> ConfigDeltaReply:
        """Returns the changes that a peer lacks, or the whole tables."""
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
        """Fetches later changes from a peer and tells whether any were applied.

        ``peer_call`` sends the request; a `SchedulerError` from it is logged.
        """
        tables = self._state.tables
        try:
            reply = await peer_call(ConfigDeltaRequest(tables.revision, tables.digest))
        except SchedulerError as error:
            log.debug("{}: configuration pull from a peer failed: {}", self._vm, error)
            return False
        if reply.tables is None:
            state = self._state.extend(reply.changes)
        else:
            state = ConfigState(reply.tables, tuple(reply.changes), reply.base_digest)
            state = state if state.is_consistent() else None
        if state is None:
            log.warning(
                "{}: rejected configuration delta of a peer at revision {}: gap or digest mismatch",
                self._vm,
                reply.revision,
            )
            return False
        if state.tables.revision > 0:
            self._ready.set()
        return self._adopt(state)

    async def _process_head(self, entry: Entry | None) -> int:
        stored = await self._reconcile(entry)
        if not self._ready.is_set():
            log.info("{}: tables loaded at revision {}", self._vm, self.tables.revision)
            self._ready.set()
        return stored.version or 0

    async def _reconcile(self, entry: Entry | None) -> _StoredState:
        """Brings the head in the store and the state of this member to the same revision.

        Writes the merged state to the store if the store lacks part of it. Raises
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
                # A partly restored store lacks a snapshot, but this member has a later revision.
                head, stored = ConfigHead(), ConfigState()
            target, dropped, unmerged = stored, [], list(self._unmerged)
            for local_state in (self._state, *unmerged):
                merged = merge(target, local_state)
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
            # A peer's reply may have added other states during the calls to the store.
            self._unmerged = [
                local_state for local_state in self._unmerged if local_state not in unmerged
            ]
            self._report_dropped(dropped)
            self._adopt(target)
            return _StoredState(head, target, version)
        raise StoreUnavailableError(
            Step.CHANGE_APPLIED, "store", "the head changed at each attempt", sent=False
        )

    def _adopt(self, state: ConfigState) -> bool:
        """Applies ``state`` if it is later than the current one; tells whether it did."""
        current = self._state
        if state.order <= current.order:
            return False
        merged = merge(state, current)
        digest_at_current = state.digest_at(current.tables.revision)
        if digest_at_current is not None and digest_at_current != current.tables.digest:
            self.fork_count += 1
            log.error(
                "{}: configuration fork at revision {}: keeping the chain that ends at revision {}",
                self._vm,
                current.tables.revision,
                state.tables.revision,
            )
        if merged.state.order != state.order:
            self._unmerged = [*self._unmerged[-UNMERGED_LIMIT:], current]
        self._state = state.trim(RECENT_MAX_BYTES)
        for callback in list(self._callbacks):
            try:
                callback(state.tables)
            except Exception:
                # An error in a subscriber must not stop the member from applying changes.
                log.exception("{}: a subscriber to configuration changes failed", self._vm)
        return True

    def _report_dropped(self, changes: list[Change]) -> None:
        for change in changes:
            if change.id not in {known.id for known in self.dropped_changes}:
                self.dropped_changes.append(change)
                log.error(
                    "{}: fork merge dropped change {} of {}/{}",
                    self._vm,
                    change.id,
                    change.table,
                    change.name,
                )
