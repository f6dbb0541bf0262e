"""In-memory store that follows the platform's documentation, with faults to inject."""

import asyncio
import random
from datetime import timedelta

from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError
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

__all__ = ["ModelStore", "StoreView"]

CALL_LATENCY = timedelta(milliseconds=4)
CALL_TIMEOUT = timedelta(milliseconds=800)


class ModelStore:
    """Items, leases and the history of changes. `StoreView` is one VM's client of it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.revision = 1
        self.item_by_key: dict[str, Item] = {}
        self.history: list[Change] = []
        self.compacted_revision = 0
        self._ttl_by_lease: dict[int, timedelta] = {}
        self._expiry_by_lease: dict[int, timedelta] = {}
        self._next_lease = 100
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item unconditionally, as operators and workers do."""
        self.revision += 1
        self._put(key, value, lease)
        self._notify()

    def remove(self, key: str) -> None:
        if key in self.item_by_key:
            self.revision += 1
            self._remove(key)
            self._notify()

    def compact_history(self) -> None:
        self.compacted_revision = self.revision
        self.history.clear()
        self._notify()

    def revoke(self, lease: int) -> None:
        """Removes the keys of a lease without ending the lease."""
        for key in [k for k, item in self.item_by_key.items() if item.lease == lease]:
            self.remove(key)

    def expire_leases(self) -> None:
        now = self.clock.boot_time()
        for lease, expiry in list(self._expiry_by_lease.items()):
            if expiry <= now:
                self.end_lease(lease)

    def grant_lease(self, ttl: timedelta) -> int:
        self._next_lease += 1
        self._ttl_by_lease[self._next_lease] = ttl
        self.renew_lease(self._next_lease)
        return self._next_lease

    def renew_lease(self, lease: int) -> None:
        if lease not in self._ttl_by_lease:
            raise LeaseLostError
        self._expiry_by_lease[lease] = self.clock.boot_time() + self._ttl_by_lease[lease]

    def end_lease(self, lease: int) -> None:
        self._ttl_by_lease.pop(lease, None)
        self._expiry_by_lease.pop(lease, None)
        self.revoke(lease)

    def commit(self, txn: Txn) -> int:
        self.expire_leases()
        for key, revision in txn.revision_by_key.items():
            item = self.item_by_key.get(key)
            if (0 if item is None else item.revision) != revision:
                current = [self.item_by_key.get(key) for key in txn.revision_by_key]
                raise TxnConflictError({item.key: item for item in current if item is not None})
        if any(put.lease and put.lease not in self._ttl_by_lease for put in txn.puts):
            raise LeaseLostError
        self.revision += 1
        for put in txn.puts:
            self._put(put.key, put.value, put.lease)
        for key in txn.deletes:
            self._remove(key)
        self._notify()
        return self.revision

    def _put(self, key: str, value: bytes, lease: int) -> None:
        previous = self.item_by_key.get(key)
        created = self.revision if previous is None else previous.created
        item = Item(key, value, self.revision, created, lease)
        self.item_by_key[key] = item
        self.history.append(Change(key, self.revision, item))

    def _remove(self, key: str) -> None:
        if self.item_by_key.pop(key, None) is not None:
            self.history.append(Change(key, self.revision, None))

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class StoreView(StateStore):
    """One VM's view of the store.

    `is_down`
        Calls time out without any effect.
    `commit_delay`
        Extra latency of commits.
    `lost_share`, `late_share`
        Shares of commits that get no answer and take effect at once, or seconds later.
    """

    def __init__(self, store: ModelStore, seed: str = "") -> None:
        self._store = store
        self._random = random.Random(seed)
        self.is_down = False
        self.lost_share = 0.0
        self.late_share = 0.0
        self.delay = CALL_LATENCY
        self.commit_delay = timedelta(0)
        self.is_closed = False

    async def get(self, key: str) -> Item | None:
        await self._reach()
        return self._store.item_by_key.get(key)

    async def range(self, prefix: str) -> tuple[list[Item], int]:
        await self._reach()
        items = [self._store.item_by_key[k] for k in sorted(self._store.item_by_key)]
        return [item for item in items if item.key.startswith(prefix)], self._store.revision

    async def watch(self, prefix: str, after: int, wait: timedelta) -> WatchReply:
        await self._reach()
        end = self._store.clock.boot_time() + wait
        while True:
            self._store.expire_leases()
            if after < self._store.compacted_revision:
                raise WatchGapError(prefix)
            changes = [
                change
                for change in self._store.history
                if change.revision > after and change.key.startswith(prefix)
            ]
            remaining = end - self._store.clock.boot_time()
            if changes or remaining <= timedelta(0):
                await self._reach()
                return WatchReply(tuple(changes), self._store.revision)
            try:
                # Leases expire only when a call checks them, so a waiting watch checks them too.
                async with asyncio.timeout(min(remaining.total_seconds(), 0.1)):
                    await self._store.changed.wait()
            except TimeoutError:
                continue

    async def commit(self, txn: Txn) -> int:
        entries = len(txn.revision_by_key) + len(txn.puts) + len(txn.deletes)
        assert entries <= self.max_entries, f"{entries} entries in a transaction"
        await self._reach()
        await self._store.clock.sleep(self.commit_delay)
        draw = self._random.random()
        if draw < self.late_share:
            asyncio.get_running_loop().call_later(
                self._random.uniform(1.0, 6.0), self._commit_late, txn
            )
            await self._time_out()
        revision = self._store.commit(txn)
        if draw < self.late_share + self.lost_share:
            await self._time_out()
        return revision

    def _commit_late(self, txn: Txn) -> None:
        try:
            self._store.commit(txn)
        except (TxnConflictError, LeaseLostError):
            return

    async def grant_lease(self, ttl: timedelta) -> int:
        await self._reach()
        return self._store.grant_lease(ttl)

    async def renew_lease(self, lease: int) -> None:
        await self._reach()
        self._store.expire_leases()
        self._store.renew_lease(lease)

    async def end_lease(self, lease: int) -> None:
        await self._reach()
        self._store.end_lease(lease)

    async def _reach(self) -> None:
        self._store.calls += 1
        if self.is_closed:
            await asyncio.Event().wait()
        if self.is_down:
            await self._time_out()
        await self._store.clock.sleep(self.delay)
        self._store.expire_leases()

    async def _time_out(self) -> None:
        await self._store.clock.sleep(CALL_TIMEOUT)
        raise StoreUnavailableError(Step.JOURNAL, "store", "no answer")
