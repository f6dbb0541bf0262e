"""In-memory platform for tests and for the HTTP server of the stand-in platform."""

import asyncio
from datetime import timedelta
from enum import Enum

from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.errors import ConflictError, StoreUnavailableError
from hornbeamramp.ids import LeaseId, VmId
from hornbeamramp.platforms.base import Entry, ListedVm, Platform, WatchResult
from hornbeamramp.states import Step

__all__ = ["MemoryPlatform", "StoreMode"]

VALUE_LIMIT_BYTES = 1_000_000
PEER = "store"
# Time to live of an ended lease that is re-created because a restored entry refers to it.
RESTORED_LEASE_TTL = timedelta(seconds=6)


class StoreMode(Enum):
    """Failure mode of the store.

    `LOSE_ANSWERS`
        Calls take effect and then fail as if their answer had been lost.
    """

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


class MemoryPlatform(Platform):
    """Key-value store, leases, watches and list of VMs in the memory of one process.

    `clock`
        Source of time for leases (default: `SystemClock`).
    `mode`
        Current `StoreMode`; assign to inject a failure (default: ``UP``).
    `delay`
        Delay added to each call in mode ``SLOW`` (default: 500 ms).
    `answers_to_lose`
        Number of subsequent writes whose answers are lost in mode ``UP`` (default: 0).
    """

    name = "memory"

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._entry_by_key: dict[str, Entry] = {}
        self._deleted_at_by_key: dict[str, int] = {}
        self._revision = 0
        self._next_lease = 1
        self._ttl_by_lease: dict[LeaseId, timedelta] = {}
        self._ends_at_by_lease: dict[LeaseId, timedelta] = {}
        self._changed = asyncio.Event()
        self.mode = StoreMode.UP
        self.delay = timedelta(milliseconds=500)
        self.answers_to_lose = 0
        self.calls_by_name: dict[str, int] = {}
        self.vm_by_id: dict[VmId, ListedVm] = {}

    async def get(self, key: str) -> Entry | None:
        await self._begin("get")
        self._finish(write=False)
        return self._entry_by_key.get(key)

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: LeaseId | None = None
    ) -> int:
        await self._begin("put")
        if len(value) > VALUE_LIMIT_BYTES:
            raise ValueError(f"value of {key!r} is larger than {VALUE_LIMIT_BYTES} bytes")
        self._check_version(key, expected)
        if lease is not None and lease not in self._ends_at_by_lease:
            raise ConflictError(Step.RENEW, PEER, f"lease {lease} has ended", None)
        self._revision += 1
        self._entry_by_key[key] = Entry(key, value, self._revision, lease)
        self._deleted_at_by_key.pop(key, None)
        self._notify()
        version = self._revision
        self._finish(write=True)
        return version

    async def delete(self, key: str, expected: int) -> None:
        await self._begin("delete")
        self._check_version(key, expected)
        self._remove(key)
        self._finish(write=True)

    async def list_prefix(self, prefix: str) -> list[Entry]:
        await self._begin("list")
        self._finish(write=False)
        return [self._entry_by_key[k] for k in sorted(self._entry_by_key) if k.startswith(prefix)]

    async def watch(self, prefix: str, after: int, wait: timedelta) -> WatchResult:
        await self._begin("watch")
        deadline = self._clock.boot_time() + wait
        while True:
            self._expire_leases()
            result = self._changes(prefix, after)
            remaining = deadline - self._clock.boot_time()
            if result.changed or result.deleted or remaining <= timedelta(0):
                self._finish(write=False)
                return result
            await self._wait_for_change(remaining)

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        await self._begin("grant_lease")
        lease = LeaseId(f"lease-{self._next_lease}")
        self._next_lease += 1
        self._ttl_by_lease[lease] = ttl
        self._ends_at_by_lease[lease] = self._clock.boot_time() + ttl
        self._finish(write=True)
        return lease

    async def renew_lease(self, lease: LeaseId) -> bool:
        await self._begin("renew_lease")
        if lease not in self._ends_at_by_lease:
            self._finish(write=True)
            return False
        self._ends_at_by_lease[lease] = self._clock.boot_time() + self._ttl_by_lease[lease]
        self._finish(write=True)
        return True

    async def revoke_lease(self, lease: LeaseId) -> None:
        await self._begin("revoke_lease")
        self._end_lease(lease)
        self._finish(write=True)

    async def list_vms(self) -> list[ListedVm]:
        await self._begin("list_vms")
        self._finish(write=False)
        return list(self.vm_by_id.values())

    def restore(self, entries: list[Entry]) -> None:
        """Replaces the contents by ``entries``, as if the store were restored from an older backup.

        Versions keep increasing, so a compare-and-swap with an earlier version fails. Ended leases
        of the entries are re-created, and end unless they are renewed.
        """
        self._entry_by_key.clear()
        for entry in entries:
            self._revision += 1
            restored = Entry(entry.key, entry.value, self._revision, entry.lease)
            self._entry_by_key[entry.key] = restored
            if entry.lease is not None and entry.lease not in self._ends_at_by_lease:
                self._ttl_by_lease[entry.lease] = RESTORED_LEASE_TTL
                self._ends_at_by_lease[entry.lease] = self._clock.boot_time() + RESTORED_LEASE_TTL
        self._notify()

    def entries(self) -> list[Entry]:
        """Returns all entries; not counted as a call."""
        return list(self._entry_by_key.values())

    async def _begin(self, name: str) -> None:
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        # Yields to the event loop, as a real call would, so that concurrent callers interleave.
        await asyncio.sleep(0)
        if self.mode is StoreMode.SLOW:
            await self._clock.sleep(self.delay)
        if self.mode is StoreMode.DOWN:
            raise StoreUnavailableError(Step.RENEW, PEER, f"{name}: the store is down", sent=False)
        self._expire_leases()

    def _finish(self, write: bool) -> None:
        is_answer_lost = self.mode is StoreMode.LOSE_ANSWERS
        if write and self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            is_answer_lost = True
        if is_answer_lost:
            raise StoreUnavailableError(Step.RENEW, PEER, "the answer was lost")

    def _check_version(self, key: str, expected: int | None) -> None:
        current = self._entry_by_key.get(key)
        version = current.version if current else None
        if version != expected:
            message = f"{key}: version is {version}, expected {expected}"
            raise ConflictError(Step.CHANGE_ACCEPTED, PEER, message, version)

    def _changes(self, prefix: str, after: int) -> WatchResult:
        changed = [
            entry
            for key, entry in sorted(self._entry_by_key.items())
            if key.startswith(prefix) and entry.version > after
        ]
        deleted = [
            key
            for key, revision in sorted(self._deleted_at_by_key.items())
            if key.startswith(prefix) and revision > after
        ]
        return WatchResult(self._revision, changed, deleted if after else [])

    async def _wait_for_change(self, max_wait: timedelta) -> None:
        # Leases also end without a call, so waits in short steps and checks them after each.
        step = min(max_wait, timedelta(milliseconds=100))
        change = asyncio.ensure_future(self._changed.wait())
        timer = asyncio.ensure_future(self._clock.sleep(step))
        _, pending = await asyncio.wait({change, timer}, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()

    def _expire_leases(self) -> None:
        now = self._clock.boot_time()
        for lease in [lease for lease, ends_at in self._ends_at_by_lease.items() if ends_at <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: LeaseId) -> None:
        self._ends_at_by_lease.pop(lease, None)
        self._ttl_by_lease.pop(lease, None)
        for key in [k for k, entry in self._entry_by_key.items() if entry.lease == lease]:
            self._remove(key)

    def _remove(self, key: str) -> None:
        self._revision += 1
        del self._entry_by_key[key]
        self._deleted_at_by_key[key] = self._revision
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
