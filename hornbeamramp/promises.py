"""Promises to owners not to claim their shards, and barriers that protect claims in progress."""

from datetime import timedelta

import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.ids import Epoch, ShardId, VmId

__all__ = ["PromiseTable"]


class _Promise(msgspec.Struct):
    owner: VmId
    epoch: Epoch
    until: timedelta


class PromiseTable:
    """Promises and barriers of this process, in memory only.

    A promise to an owner means that this process neither claims the shard nor approves the claim
    of another. A barrier is the opposite: once a candidate has been told that no promise is
    outstanding, other owners get no promise for ``max_duration``, so that the candidate can
    complete its claim.

    A restart loses both. For ``max_duration`` after its start, a process therefore neither gives
    promises nor reports that none is outstanding.

    `clock`
        Clock by whose boot time promises and barriers expire.
    `max_duration`
        Maximum duration of a promise, and duration of a barrier.
    """

    def __init__(self, clock: Clock, max_duration: timedelta) -> None:
        self._clock = clock
        self._max_duration = max_duration
        self._startup_hold_until = clock.boot_time() + max_duration
        self._promise_by_shard: dict[ShardId, dict[VmId, _Promise]] = {}
        self._barrier_by_shard: dict[ShardId, dict[VmId, timedelta]] = {}

    def grant(self, shard: ShardId, owner: VmId, epoch: Epoch, duration: timedelta) -> bool:
        """Gives ``owner`` a promise for ``duration`` from now. Returns false if it is refused."""
        now = self._clock.boot_time()
        if now < self._startup_hold_until or duration > self._max_duration:
            return False
        barriers = self._barrier_by_shard.get(shard, {})
        if any(until > now for candidate, until in barriers.items() if candidate != owner):
            return False
        promises = self._promise_by_shard.setdefault(shard, {})
        if any(p.epoch > epoch and p.until > now for p in promises.values()):
            return False
        promises[owner] = _Promise(owner, epoch, now + duration)
        return True

    def outstanding(self, shard: ShardId, candidate: VmId) -> tuple[timedelta, VmId | None]:
        """Returns the longest time left of a promise to another than ``candidate``, and its owner.

        The owner is ``None`` for a promise that an earlier process of this VM may have given.
        """
        now = self._clock.boot_time()
        remaining, owner = max(self._startup_hold_until - now, timedelta(0)), None
        for promise in self._promise_by_shard.get(shard, {}).values():
            if promise.owner != candidate and promise.until - now > remaining:
                remaining, owner = promise.until - now, promise.owner
        return remaining, owner

    def raise_barrier(self, shard: ShardId, candidate: VmId) -> tuple[timedelta, VmId | None]:
        """Like `outstanding`; if there is none, refuses promises to others for ``max_duration``."""
        remaining, owner = self.outstanding(shard, candidate)
        if remaining <= timedelta(0):
            barriers = self._barrier_by_shard.setdefault(shard, {})
            barriers[candidate] = self._clock.boot_time() + self._max_duration
        return remaining, owner
