"""Relays store calls through another VM while the store can't be reached from this VM or refuses
its calls.

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

# Period of the probes of the direct connection after a failure. Calls are relayed until a probe
# succeeds, as a direct call without an answer would last for the store's time-out.
PROBE_PERIOD = timedelta(seconds=1)
# Time for which no calls are sent through a VM after a relayed call failed.
RELAY_RETRY_DELAY = timedelta(seconds=2)
# Time-out of a relayed call, in addition to the wait that it asks for: the store's own time-out and
# the network delay between the VMs.
RELAY_TIMEOUT = timedelta(milliseconds=1000)
# VMs tried for one call. With more, calls would only fail later when the whole store is down.
MAX_RELAYS_PER_CALL = 2

_log = logbook.Logger("relay")

T = TypeVar("T")


class StoreOperation(Enum):
    GET = "get"
    RANGE = "range"
    WATCH = "watch"
    COMMIT = "commit"
    GRANT = "grant"
    RENEW = "keep"
    END = "end"


class RelayOutcome(Enum):
    DONE = "done"
    CONFLICT = "conflict"
    LEASE_LOST = "lease_lost"
    GAP = "gap"
    UNAVAILABLE = "unavailable"


class RelayRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Asks another VM to make a store call. ``key`` is a key or a prefix."""

    operation: StoreOperation
    key: str = ""
    after: int = 0
    wait_ms: int = 0
    ttl_ms: int = 0
    lease: int = 0
    txn: Txn | None = None


class RelayReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """``number`` is the revision of a commit, the id of a new lease, or the revision from which to
    watch. ``may_apply`` tells whether a call without an answer may still take effect."""

    outcome: RelayOutcome
    problem: str = ""
    may_apply: bool = False
    number: int = 0
    items: tuple[Item, ...] = ()
    changes: tuple[Change, ...] = ()


class RelayedStore(StateStore):
    """Calls the store directly, or through another VM that reaches it.

    `peer_addresses`
        Returns the last known addresses of the other VMs.
    `failing_since`
        Boot time of the first call that failed after the last answer; ``None`` if none did.
    `recovered_at`
        Boot time of the first answer after the latest failed calls; ``None`` if none have failed.
    `last_answer_at`
        Boot time of the last answer, whether direct or relayed.
    """

    def __init__(
        self,
        direct: StateStore,
        peers: PeerClient,
        clock: Clock,
        peer_addresses: Callable[[], dict[VmId, str]],
    ) -> None:
        self._direct = direct
        self._peers = peers
        self._clock = clock
        self._peer_addresses = peer_addresses
        self._is_direct_available = True
        self._direct_restored = asyncio.Event()
        self._probes = BackgroundTasks("relay", _log)
        self._relay_retry_at_by_address: dict[str, timedelta] = {}
        self._last_relay_address = ""
        self.failing_since: timedelta | None = None
        self.recovered_at: timedelta | None = None
        self.last_answer_at = clock.boot_time()
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
        await self._call(RelayRequest(StoreOperation.RENEW, lease=lease), timedelta(0))

    async def end_lease(self, lease: int) -> None:
        await self._call(RelayRequest(StoreOperation.END, lease=lease), timedelta(0))

    async def serve(self, request: RelayRequest) -> RelayReply:
        """Makes a call for another VM, only over the direct connection."""
        if not self._is_direct_available:
            return RelayReply(RelayOutcome.UNAVAILABLE, "the store can't be reached from here")
        try:
            return await _perform(self._direct, request)
        except StoreUnavailableError as error:
            # This VM's own calls tell whether its direct way works. A watch for a VM that has
            # missed much may be too large for this VM's link, on which others succeed.
            return RelayReply(RelayOutcome.UNAVAILABLE, str(error), error.sent)

    async def _call(self, request: RelayRequest, wait: timedelta) -> RelayReply:
        reply = RelayReply(RelayOutcome.UNAVAILABLE, "the direct way failed lately")
        used_direct = self._is_direct_available or not self._relay_addresses()
        if used_direct:
            reply = await self._call_direct(request)
        may_apply = reply.may_apply
        if reply.outcome is RelayOutcome.UNAVAILABLE:
            used_direct = False
            for address in self._relay_addresses():
                reply = await self._call_relay(address, request, wait)
                may_apply = may_apply or reply.may_apply
                if reply.outcome is not RelayOutcome.UNAVAILABLE or self._is_direct_available:
                    break
            if reply.outcome is RelayOutcome.UNAVAILABLE and self._is_direct_available:
                # A probe has reached the store directly meanwhile.
                reply, used_direct = await self._call_direct(request), True
                may_apply = may_apply or reply.may_apply
        path = "direct" if used_direct else "relayed"
        labels = {"operation": request.operation.value, "way": path, "outcome": reply.outcome.value}
        instruments.store_calls.add(1, labels)
        if reply.outcome is not RelayOutcome.UNAVAILABLE:
            self.last_answer_at = self._clock.boot_time()
            if self.failing_since is not None:
                self.failing_since, self.recovered_at = None, self.last_answer_at
        elif self.failing_since is None:
            self.failing_since = self._clock.boot_time()
        return _raise_for_outcome(reply, may_apply)

    async def _call_direct(self, request: RelayRequest) -> RelayReply:
        try:
            return await _perform(self._direct, request)
        except StoreUnavailableError as error:
            if self._is_direct_available:
                _log.info("store unreachable directly, relaying calls through other VMs: {}", error)
                self._is_direct_available = False
                self._direct_restored.clear()
                self._probes.spawn(self._probe())
            return RelayReply(RelayOutcome.UNAVAILABLE, str(error), error.sent)

    async def _probe(self) -> None:
        while not self._is_direct_available:
            await self._clock.sleep(PROBE_PERIOD)
            try:
                await self._direct.get(CELL_PREFIX)
            except StoreUnavailableError as error:
                _log.debug("direct probe of the store failed: {}", error)
                continue
            _log.info("store reachable directly again")
            self._is_direct_available = True
            self._direct_restored.set()

    async def close(self) -> None:
        """Ends the probes."""
        await self._probes.cancel()

    def _relay_addresses(self) -> list[str]:
        now = self._clock.boot_time()
        addresses = sorted(
            address
            for address in self._peer_addresses().values()
            if self._relay_retry_at_by_address.get(address, timedelta(0)) <= now
        )
        # The VM that relayed the last call comes first, as its connection is open.
        addresses.sort(key=lambda address: address != self._last_relay_address)
        return addresses[:MAX_RELAYS_PER_CALL]

    async def _call_relay(self, address: str, request: RelayRequest, wait: timedelta) -> RelayReply:
        call = asyncio.ensure_future(
            self._peers.call(address, request, RELAY_TIMEOUT + wait, Step.JOURNAL)
        )
        restored = asyncio.ensure_future(self._direct_restored.wait())
        try:
            await asyncio.wait({call, restored}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                # If the relaying VM is unreachable too, the call would last until its time-out.
                return RelayReply(RelayOutcome.UNAVAILABLE, "the direct way is back", True)
            reply = call.result()
        except SchedulerError as error:
            reply = RelayReply(RelayOutcome.UNAVAILABLE, str(error), True)
        finally:
            call.cancel()
            restored.cancel()
        if reply.outcome is RelayOutcome.UNAVAILABLE:
            self._relay_retry_at_by_address[address] = self._clock.boot_time() + RELAY_RETRY_DELAY
        elif address != self._last_relay_address:
            _log.info("relaying store calls through {}", address)
            self._last_relay_address = address
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
            case StoreOperation.RENEW:
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


def _raise_for_outcome(reply: RelayReply, may_apply: bool) -> RelayReply:
    """Raises the exception that the outcome stands for, or returns the reply if it is ``DONE``."""
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
