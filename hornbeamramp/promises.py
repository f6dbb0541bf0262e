"""Promises not to claim a shard that this process has given to owners, and claims it allowed."""

from datetime import timedelta

import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.ids import Epoch, ShardId, VmId

__all__ = ["PromiseBook"]


class _Promise(msgspec.Struct):
    owner: VmId
    epoch: Epoch
    until: timedelta


class PromiseBook:
    """Promises and barriers of this process, in memory only.

    A promise tells an owner that this process won't claim or support a claim. A barrier is the
    reverse: once a candidate has been told that no promise is outstanding, other owners get no
    promise for ``term``, so that the candidate can complete its claim.

    A restarted process has forgotten both. For one ``term`` after its start it therefore neither
    gives promises nor says that none is outstanding.

    `clock`
        Source of time.
    `term`
        Longest promise given and length of a barrier.
    """

    def __init__(self, clock: Clock, term: timedelta) -> None:
        self._clock = clock
        self._term = term
        self._forgetful_until = clock.boot_time() + term
        self._promise_by_shard: dict[ShardId, dict[VmId, _Promise]] = {}
        self._barrier_by_shard: dict[ShardId, dict[VmId, timedelta]] = {}

    def grant(self, shard: ShardId, owner: VmId, epoch: Epoch, duration: timedelta) -> bool:
        """Gives a promise from now for ``duration``. Returns false if it can't be given."""
        now = self._clock.boot_time()
        if now < self._forgetful_until or duration > self._term:
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
        """Returns how long promises to others than ``candidate`` still run, and to whom.

        The owner is ``None`` for promises that an earlier process of this VM may have given.
        """
        now = self._clock.boot_time()
        left, owner = max(self._forgetful_until - now, timedelta(0)), None
        for promise in self._promise_by_shard.get(shard, {}).values():
            if promise.owner != candidate and promise.until - now > left:
                left, owner = promise.until - now, promise.owner
        return left, owner

    def raise_barrier(self, shard: ShardId, candidate: VmId) -> tuple[timedelta, VmId | None]:
        """Like `outstanding`; if nothing is, also refuses promises to others for one term."""
        left, owner = self.outstanding(shard, candidate)
        if left <= timedelta(0):
            barriers = self._barrier_by_shard.setdefault(shard, {})
            barriers[candidate] = self._clock.boot_time() + self._term
        return left, owner
