"""The claim of a pool and its chain of commits, under answers that are lost or late."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.statestore import ClaimLostError, KeysExistError, OwnerRecord, PoolClaim, Put
from tests.model.store import ModelStore, StoreView
from tests.model.virtual_time import LoopClock, run_in_virtual_time

TTL = timedelta(seconds=60)


class Bench:
    def __init__(self):
        self.clock = LoopClock()
        self.store = ModelStore(self.clock)

    def claim(self, boot):
        view = StoreView(self.store, boot)
        identity = OwnerRecord(boot, boot, boot, 0)
        lease = self.store.grant_lease(TTL)
        return PoolClaim(view, self.clock, "pool", identity, lease), view, lease


def on_bench(scenario):
    async def main():
        await scenario(Bench())

    run_in_virtual_time(main())


def test_only_one_of_two_claims_succeeds():
    async def scenario(bench):
        first, _, _ = bench.claim("a")
        second, _, _ = bench.claim("b")
        assert sorted(await asyncio.gather(first.acquire(), second.acquire())) == [False, True]

    on_bench(scenario)


def test_token_grows_with_each_owner():
    async def scenario(bench):
        first, _, lease = bench.claim("a")
        await first.acquire()
        await first.commit([Put("x", b"1")])
        bench.store.end_lease(lease)
        second, _, _ = bench.claim("b")
        await second.acquire()
        assert second.token > first.token

    on_bench(scenario)


def test_commit_whose_answer_is_lost_takes_effect_once():
    async def scenario(bench):
        claim, view, _ = bench.claim("a")
        await claim.acquire()
        view.lost_share = 0.7
        for number in range(10):
            await claim.commit([Put("x", b"%d" % number)])
        assert bench.store.item_by_key["x"].value == b"9"
        writes = [change for change in bench.store.history if change.key == "x"]
        assert len(writes) == 10

    on_bench(scenario)


def test_late_commit_never_undoes_a_later_one():
    async def scenario(bench):
        claim, view, _ = bench.claim("a")
        await claim.acquire()
        view.late_share = 0.5
        for number in range(10):
            await claim.commit([Put("x", b"%d" % number)])
        await asyncio.sleep(10.0)
        assert bench.store.item_by_key["x"].value == b"9"

    on_bench(scenario)


def test_former_owner_commits_nothing():
    async def scenario(bench):
        former, _, lease = bench.claim("a")
        await former.acquire()
        bench.store.revoke(lease)
        successor, _, _ = bench.claim("b")
        await successor.acquire()
        with pytest.raises(ClaimLostError):
            await former.commit([Put("x", b"former")])
        assert "x" not in bench.store.item_by_key

    on_bench(scenario)


def test_existing_key_is_reported_and_the_next_commit_works():
    async def scenario(bench):
        claim, _, _ = bench.claim("a")
        await claim.acquire()
        bench.store.put("x", b"there")
        with pytest.raises(KeysExistError) as error:
            await claim.commit([Put("x", b"new")], absent=["x"])
        assert list(error.value.item_by_key) == ["x"]
        await claim.commit([Put("y", b"new")])
        assert bench.store.item_by_key["x"].value == b"there"

    on_bench(scenario)


def test_outage_counts_as_over_also_when_the_next_commit_meets_a_conflict():
    """The owner went on refusing jobs as if the store were away."""

    async def scenario(bench):
        claim, view, _ = bench.claim("a")
        await claim.acquire()
        bench.store.put("x", b"there")
        view.is_down = True
        commit = asyncio.create_task(claim.commit([Put("x", b"new")], absent=["x"]))
        await asyncio.sleep(1.0)
        assert claim.failing_since is not None
        view.is_down = False
        with pytest.raises(KeysExistError):
            await commit
        assert claim.failing_since is None

    on_bench(scenario)
