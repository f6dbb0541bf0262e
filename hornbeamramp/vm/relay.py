"""The store reached through another VM while it can't be reached from here, or turns this VM away.

A repeated commit is safe, as each is conditional on the one before; see `statestore.claim`.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import TypeVar

import logbook
import msgspec

from hornbeamramp import instruments
from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.errors import SchedulerError, StoreUnavailableError
from hornbeamramp.ids import VmId
from hornbeamramp.rpc import PeerClient
from hornbeamramp.states import Step
from hornbeamramp.statestore import (
    Change,
    Item,
    LeaseLostError,
    StateStore,
    Txn,
    TxnConflictError,
    WatchGapError,
    WatchReply,
)
from hornbeamramp.statestore.records import CELL_PREFIX

__all__ = ["RelayReply", "RelayRequest", "RelayedStore", "StoreOperation"]

# After a failure the direct way is probed this often. Calls are relayed until a probe succeeds, as
# one that gets no answer would wait for the store's time-out.
PROBE_PERIOD = timedelta(seconds=1)
# A VM through which the store wasn't reached is left out for this long.
RELAY_PAUSE = timedelta(seconds=2)
# Longest time of a relayed call beside its wait: the store's own time-out and the way there.
RELAY_TIMEOUT = timedelta(milliseconds=1000)
# VMs tried for one call. More would only lengthen an outage of the whole store.
MAX_RELAYS = 2

_log = logbook.Logger("relay")

T = TypeVar("T")


class StoreOperation(Enum):
    GET = "get"
    RANGE = "range"
    WATCH = "watch"
    COMMIT = "commit"
    GRANT = "grant"
    KEEP = "keep"
    END = "end"


class RelayOutcome(Enum):
    DONE = "done"
    CONFLICT = "conflict"
    LEASE_LOST = "lease_lost"
    GAP = "gap"
    UNAVAILABLE = "unavailable"


class RelayRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A store call for another VM to make. ``key`` is a key or a prefix."""

    operation: StoreOperation
    key: str = ""
    after: int = 0
    wait_ms: int = 0
    ttl_ms: int = 0
    lease: int = 0
    txn: Txn | None = None


class RelayReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """``number`` is the revision of a commit, a new lease, or where to watch from. ``may_apply``
    tells whether a call without answer may still take effect."""

    outcome: RelayOutcome
    problem: str = ""
    may_apply: bool = False
    number: int = 0
    items: tuple[Item, ...] = ()
    changes: tuple[Change, ...] = ()


class RelayedStore(StateStore):
    """The store by the direct way, or by a VM that reaches it.

    `addresses`
        Returns the addresses of the other VMs, as last known.
    `failing_since`
        Boot time of the first of the calls that have failed since the last answer.
    `regained_at`
        Boot time of the first answer after failed calls; ``None`` if there were none.
    `last_answer`
        Boot time of the last answer, whichever way it came.
    """

    def __init__(
        self,
        direct: StateStore,
        peers: PeerClient,
        clock: Clock,
        addresses: Callable[[], dict[VmId, str]],
    ) -> None:
        self._direct = direct
        self._peers = peers
        self._clock = clock
        self._addresses = addresses
        self._is_direct = True
        self._regained = asyncio.Event()
        self._probes = BackgroundTasks("relay", _log)
        self._relay_from: dict[str, timedelta] = {}
        self._last_relay = ""
        self.failing_since: timedelta | None = None
        self.regained_at: timedelta | None = None
        self.last_answer = clock.boot_time()
        self.max_entries = direct.max_entries

    async def get(self, key: str) -> Item | None:
        request = RelayRequest(StoreOperation.GET, key)
        reply = await self._call(request, timedelta(0))
        return reply.items[0] if reply.items else None

    async def range(self, prefix: str) -> tuple[list[Item], int]:
        reply = await self._call(RelayRequest(StoreOperation.RANGE, prefix), timedelta(0))
        return list(reply.items), reply.number

    async def watch(self, prefix: str, after: int, wait: timedelta) -> WatchReply:
        wait_ms = to_ms(wait)
        request = RelayRequest(StoreOperation.WATCH, prefix, after, wait_ms)
        reply = await self._call(request, wait)
        return WatchReply(reply.changes, reply.number)

    async def commit(self, txn: Txn) -> int:
        request = RelayRequest(StoreOperation.COMMIT, txn=txn)
        return (await self._call(request, timedelta(0))).number

    async def grant_lease(self, ttl: timedelta) -> int:
        ttl_ms = to_ms(ttl)
        request = RelayRequest(StoreOperation.GRANT, ttl_ms=ttl_ms)
        return (await self._call(request, timedelta(0))).number

    async def renew_lease(self, lease: int) -> None:
        await self._call(RelayRequest(StoreOperation.KEEP, lease=lease), timedelta(0))

    async def end_lease(self, lease: int) -> None:
        await self._call(RelayRequest(StoreOperation.END, lease=lease), timedelta(0))

    async def serve(self, request: RelayRequest) -> RelayReply:
        """Makes a call for another VM, by the direct way only."""
        if not self._is_direct:
            return RelayReply(RelayOutcome.UNAVAILABLE, "the store can't be reached from here")
        return await self._call_direct(request)

    async def _call(self, request: RelayRequest, wait: timedelta) -> RelayReply:
        reply = RelayReply(RelayOutcome.UNAVAILABLE, "the direct way failed lately")
        used_direct = self._is_direct or not self._relays()
        if used_direct:
            reply = await self._call_direct(request)
        may_apply = reply.may_apply
        if reply.outcome is RelayOutcome.UNAVAILABLE:
            used_direct = False
            for address in self._relays():
                reply = await self._call_relay(address, request, wait)
                may_apply = may_apply or reply.may_apply
                if reply.outcome is not RelayOutcome.UNAVAILABLE or self._is_direct:
                    break
            if reply.outcome is RelayOutcome.UNAVAILABLE and self._is_direct:
                # The direct way came back meanwhile.
                reply, used_direct = await self._call_direct(request), True
                may_apply = may_apply or reply.may_apply
        way = "direct" if used_direct else "relayed"
        labels = {"operation": request.operation.value, "way": way, "outcome": reply.outcome.value}
        instruments.store_calls.add(1, labels)
        if reply.outcome is not RelayOutcome.UNAVAILABLE:
            self.last_answer = self._clock.boot_time()
            if self.failing_since is not None:
                self.failing_since, self.regained_at = None, self.last_answer
        elif self.failing_since is None:
            self.failing_since = self._clock.boot_time()
        return _unpack(reply, may_apply)

    async def _call_direct(self, request: RelayRequest) -> RelayReply:
        try:
            return await _perform(self._direct, request)
        except StoreUnavailableError as error:
            if self._is_direct:
                _log.info("store not reached by the direct way: {}", error)
                self._is_direct = False
                self._regained.clear()
                self._probes.spawn(self._probe())
            return RelayReply(RelayOutcome.UNAVAILABLE, str(error), error.sent)

    async def _probe(self) -> None:
        while not self._is_direct:
            await self._clock.sleep(PROBE_PERIOD)
            try:
                await self._direct.get(CELL_PREFIX)
            except StoreUnavailableError as error:
                _log.debug("probe of the direct way: {}", error)
                continue
            _log.info("store reached by the direct way again")
            self._is_direct = True
            self._regained.set()

    async def close(self) -> None:
        """Ends the probes."""
        await self._probes.cancel()

    def _relays(self) -> list[str]:
        now = self._clock.boot_time()
        addresses = sorted(
            address
            for address in self._addresses().values()
            if self._relay_from.get(address, timedelta(0)) <= now
        )
        # The one that served last is tried first: its connection is open.
        addresses.sort(key=lambda address: address != self._last_relay)
        return addresses[:MAX_RELAYS]

    async def _call_relay(self, address: str, request: RelayRequest, wait: timedelta) -> RelayReply:
        call = asyncio.ensure_future(
            self._peers.call(address, request, RELAY_TIMEOUT + wait, Step.JOURNAL)
        )
        regained = asyncio.ensure_future(self._regained.wait())
        try:
            await asyncio.wait({call, regained}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                # A call through a VM that has fallen silent too would wait for its time-out.
                return RelayReply(RelayOutcome.UNAVAILABLE, "the direct way is back", True)
            reply = call.result()
        except SchedulerError as error:
            reply = RelayReply(RelayOutcome.UNAVAILABLE, str(error), True)
        finally:
            call.cancel()
            regained.cancel()
        if reply.outcome is RelayOutcome.UNAVAILABLE:
            self._relay_from[address] = self._clock.boot_time() + RELAY_PAUSE
        elif address != self._last_relay:
            _log.info("store reached through {}", address)
            self._last_relay = address
        return reply


async def _perform(store: StateStore, request: RelayRequest) -> RelayReply:
    done = RelayOutcome.DONE
    try:
        match request.operation:
            case StoreOperation.GET:
                item = await store.get(request.key)
                return RelayReply(done, items=() if item is None else (item,))
            case StoreOperation.RANGE:
                items, as_of = await store.range(request.key)
                return RelayReply(done, items=tuple(items), number=as_of)
            case StoreOperation.WATCH:
                wait = timedelta(milliseconds=request.wait_ms)
                reply = await store.watch(request.key, request.after, wait)
                return RelayReply(done, changes=reply.changes, number=reply.as_of)
            case StoreOperation.COMMIT:
                assert request.txn is not None
                return RelayReply(done, number=await store.commit(request.txn))
            case StoreOperation.GRANT:
                ttl = timedelta(milliseconds=request.ttl_ms)
                return RelayReply(done, number=await store.grant_lease(ttl))
            case StoreOperation.KEEP:
                await store.renew_lease(request.lease)
            case StoreOperation.END:
                await store.end_lease(request.lease)
    except TxnConflictError as conflict:
        return RelayReply(RelayOutcome.CONFLICT, items=tuple(conflict.item_by_key.values()))
    except LeaseLostError:
        return RelayReply(RelayOutcome.LEASE_LOST)
    except WatchGapError:
        return RelayReply(RelayOutcome.GAP)
    return RelayReply(done)


def _unpack(reply: RelayReply, may_apply: bool) -> RelayReply:
    """Raises what the outcome stands for."""
    match reply.outcome:
        case RelayOutcome.CONFLICT:
            raise TxnConflictError({item.key: item for item in reply.items})
        case RelayOutcome.LEASE_LOST:
            raise LeaseLostError
        case RelayOutcome.GAP:
            raise WatchGapError
        case RelayOutcome.UNAVAILABLE:
            raise StoreUnavailableError(Step.JOURNAL, "store", reply.problem, may_apply)
    return reply
