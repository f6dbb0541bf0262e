"""The claim of a pool and its conditional commits when answers are lost or late."""

import asyncio
import json
from datetime import timedelta

import pytest

from hornbeamramp.statestore import ClaimLostError, KeysChangedError, OwnerRecord, PoolClaim, Put
from hornbeamramp.statestore.claim import decode_owner
from tests.model.store import ModelStore, StoreView
from tests.model.virtual_time import LoopClock, run_in_virtual_time

TTL = timedelta(seconds=60)


class StoreFixture:
    def __init__(self):
        self.clock = LoopClock()
        self.store = ModelStore(self.clock)

    def claim(self, boot):
        view = StoreView(self.store, boot)
        identity = OwnerRecord(boot, boot, boot, 0)
        lease = self.store.grant_lease(TTL)
        return PoolClaim(view, self.clock, "pool", identity, lease), view, lease


def run_scenario(scenario):
    async def main():
        await scenario(StoreFixture())

    run_in_virtual_time(main())


def test_only_one_of_two_claims_succeeds():
    async def scenario(fixture):
        first, _, _ = fixture.claim("a")
        second, _, _ = fixture.claim("b")
        assert sorted(await asyncio.gather(first.acquire(), second.acquire())) == [False, True]

    run_scenario(scenario)


def test_token_grows_with_each_owner():
    async def scenario(fixture):
        first, _, lease = fixture.claim("a")
        await first.acquire()
        await first.commit([Put("x", b"1")])
        fixture.store.end_lease(lease)
        second, _, _ = fixture.claim("b")
        await second.acquire()
        assert second.token > first.token

    run_scenario(scenario)


def test_commit_whose_answer_is_lost_takes_effect_once():
    async def scenario(fixture):
        claim, view, _ = fixture.claim("a")
        await claim.acquire()
        view.lost_share = 0.7
        for number in range(10):
            await claim.commit([Put("x", b"%d" % number)])
        assert fixture.store.item_by_key["x"].value == b"9"
        writes = [change for change in fixture.store.history if change.key == "x"]
        assert len(writes) == 10

    run_scenario(scenario)


def test_late_commit_never_undoes_a_later_one():
    async def scenario(fixture):
        claim, view, _ = fixture.claim("a")
        await claim.acquire()
        view.late_share = 0.5
        for number in range(10):
            await claim.commit([Put("x", b"%d" % number)])
        await asyncio.sleep(10.0)
        assert fixture.store.item_by_key["x"].value == b"9"

    run_scenario(scenario)


def test_former_owner_commits_nothing():
    async def scenario(fixture):
        former, _, lease = fixture.claim("a")
        await former.acquire()
        fixture.store.revoke(lease)
        successor, _, _ = fixture.claim("b")
        await successor.acquire()
        with pytest.raises(ClaimLostError):
            await former.commit([Put("x", b"former")])
        assert "x" not in fixture.store.item_by_key

    run_scenario(scenario)


def test_existing_key_is_reported_and_the_next_commit_works():
    async def scenario(fixture):
        claim, _, _ = fixture.claim("a")
        await claim.acquire()
        fixture.store.put("x", b"there")
        with pytest.raises(KeysChangedError) as error:
            await claim.commit([Put("x", b"new")], revision_by_key={"x": 0})
        assert list(error.value.item_by_key) == ["x"]
        await claim.commit([Put("y", b"new")])
        assert fixture.store.item_by_key["x"].value == b"there"

    run_scenario(scenario)


def test_outage_counts_as_over_also_when_the_next_commit_meets_a_conflict():
    """The owner kept refusing jobs as if the store were still unavailable."""

    async def scenario(fixture):
        claim, view, _ = fixture.claim("a")
        await claim.acquire()
        fixture.store.put("x", b"there")
        view.is_down = True
        commit = asyncio.create_task(claim.commit([Put("x", b"new")], revision_by_key={"x": 0}))
        await asyncio.sleep(1.0)
        assert claim.failing_since is not None
        view.is_down = False
        with pytest.raises(KeysChangedError):
            await commit
        assert claim.failing_since is None

    run_scenario(scenario)


def test_callers_are_spread_over_the_ports_of_a_vm():
    record = OwnerRecord("vm1", "boot", "10.0.0.1:7000", 0, ports=8)
    used = {record.address_for(f"frontend-{number}") for number in range(97)}
    assert used == {f"10.0.0.1:{port}" for port in range(7000, 7008)}
    assert OwnerRecord("vm1", "boot", "10.0.0.1:7000", 0).address_for("vm2") == "10.0.0.1:7000"


@pytest.mark.parametrize("address", ["", "10.0.0.1", "10.0.0.1:http"])
def test_record_with_several_ports_and_no_first_one_is_ignored(address):
    """Guards against one malformed record that ends the watch of all."""
    value = json.dumps(
        {"vm": "vm1", "boot": "b", "address": address, "sequence": 0, "ports": 8}
    ).encode()
    assert decode_owner(value) is None
