"""Tests of shard ownership with a manual clock: claims, crashes, hand-over, outages, partitions."""

import asyncio

import pytest

from hornbeamramp.ids import ShardId
from hornbeamramp.messages import AskOwnerRequest, HandOverRequest
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.states import ProofKind
from tests.cell import SECOND, SHARD, Cell, Process, start_processes

TTL = 6 * SECOND


def test_first_process_serves_at_once(in_cell):
    """Guards against a new shard that waits for a lease which never existed."""

    async def scenario(cell):
        cell.start("a")
        assert await cell.wait_until_served(3 * SECOND) < 3 * SECOND
        assert cell.process_by_vm["a"].events == [("gained", SHARD, 1)]

    in_cell(scenario)


@pytest.mark.parametrize("count", [2, 3, 6])
def test_killed_owner_is_replaced_within_ttl_and_two_seconds(in_cell, count):
    """Guards against a shard that stays without an owner after a crash."""

    async def scenario(cell):
        names = [f"vm{i}" for i in range(count)]
        await start_processes(cell, *names)
        cell.kill(cell.serving()[0])
        assert await cell.wait_until_served(TTL + 2 * SECOND) <= TTL + 2 * SECOND

    in_cell(scenario)


def test_hand_over_takes_less_than_a_second(in_cell):
    """Guards against a graceful shutdown that makes callers wait until the lease expires."""

    async def scenario(cell):
        await start_processes(cell, "a", "b", "c")
        owner = cell.process_by_vm[cell.serving()[0]]
        began = cell.clock.boot_time()
        leaving = asyncio.ensure_future(owner.ownership.hand_over_all())
        await cell.advance(SECOND / 10)
        await cell.wait_until_served(SECOND)
        assert cell.clock.boot_time() - began < SECOND
        assert leaving.done()
        assert cell.serving() != [owner.vm]
        assert ("lost", SHARD) in owner.events

    in_cell(scenario)


def owner_and_others(cell: Cell) -> tuple[Process, list[Process]]:
    owner = cell.process_by_vm[cell.serving()[0]]
    return owner, [p for p in cell.process_by_vm.values() if p is not owner]


def test_store_outage_with_peers_keeps_the_owner(in_cell):
    """Guards against a shard that loses its owner or changes its epoch in a long store outage."""

    async def scenario(cell):
        await start_processes(cell, "a", "b", "c")
        owner, _ = owner_and_others(cell)
        cell.store.mode = StoreMode.DOWN
        for _ in range(600):
            await cell.advance(SECOND / 10)
            assert cell.serving() == [owner.vm]
        assert owner.ownership.proof(SHARD).kind is ProofKind.PEERS
        cell.store.mode = StoreMode.UP
        for _ in range(200):
            await cell.advance(SECOND / 10)
            assert cell.serving() == [owner.vm]
        assert owner.ownership.proof(SHARD).kind is ProofKind.STORE
        assert owner.events == [("gained", SHARD, 1)]

    in_cell(scenario)


def test_store_outage_keeps_a_single_owner(in_cell):
    """Guards against a partitioned data centre with one entry VM that stops serving."""

    async def scenario(cell):
        await start_processes(cell, "a")
        cell.store.mode = StoreMode.DOWN
        for _ in range(600):
            await cell.advance(SECOND / 10)
            assert cell.serving() == ["a"]
        proof = cell.process_by_vm["a"].ownership.proof(SHARD)
        assert proof.kind is ProofKind.ALONE

    in_cell(scenario)


def test_owner_cut_from_the_store_keeps_its_shard_by_promises(in_cell):
    """Guards against an unnecessary move of a shard while its owner answers its peers."""

    async def scenario(cell):
        await start_processes(cell, "a", "b", "c")
        owner, _ = owner_and_others(cell)
        owner.store.cut = True
        await cell.advance(40 * SECOND)
        assert cell.serving() == [owner.vm]

    in_cell(scenario)


def test_owner_cut_from_store_and_peers_is_replaced(in_cell):
    """Guards against two owners while the first has a proof, and against no owner afterwards."""

    async def scenario(cell):
        await start_processes(cell, "a", "b", "c")
        owner, others = owner_and_others(cell)
        owner.store.cut = True
        await cell.advance(20 * SECOND)
        for other in others:
            cell.cut(owner.vm, other.vm)
        await cell.advance(SECOND)
        assert cell.serving() == [owner.vm]
        await cell.advance(15 * SECOND)
        assert cell.serving() and cell.serving() != [owner.vm]
        cell.heal()
        await cell.advance(5 * SECOND)
        assert owner.events[-1] == ("lost", SHARD)
        assert len(cell.owners()) == 1

    in_cell(scenario)


def test_claim_reads_the_lease_afresh(in_cell):
    """Guards against a claim by a member whose view of the other leases is out of date."""

    async def scenario(cell):
        await start_processes(cell, "a", "b")
        owner, (other,) = owner_and_others(cell)
        cell.cut("a", "b")
        other.membership.by_id[owner.vm].lease = None
        await cell.advance(20 * SECOND)
        assert cell.serving() == [owner.vm]

    in_cell(scenario)


def test_owner_paused_past_its_lease_may_not_start(in_cell):
    """Guards against a start by an owner that was replaced while its process was paused."""

    async def scenario(cell):
        await start_processes(cell, "a", "b")
        owner, _ = owner_and_others(cell)
        owner.pause.pause()
        await cell.advance(TTL + 2 * SECOND)
        successor = cell.serving()
        assert successor and successor != [owner.vm]
        owner.pause.resume()
        assert not owner.may_start()
        await cell.advance(20 * SECOND)
        assert cell.serving() == successor
        assert owner.events[-1] == ("lost", SHARD)

    in_cell(scenario)


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
def test_lost_answers_at_start_lead_to_one_owner(in_cell, lost):
    """Guards against a claim that took effect but is not used because the answer was lost."""

    async def scenario(cell):
        cell.start("a").store.lose_answers = lost
        await cell.wait_until_served(15 * SECOND)
        assert cell.process_by_vm["a"].ownership.owned == {SHARD: 1}

    in_cell(scenario)


def test_lost_answer_of_a_takeover_is_resolved(in_cell):
    """Guards against a takeover that waits for its own lease to end after a lost answer."""

    async def scenario(cell):
        await start_processes(cell, "a", "b")
        owner, (successor,) = owner_and_others(cell)
        cell.kill(owner.vm)
        while not any(e.key == f"members/gebze/{owner.vm}" for e in cell.store.entries()):
            await cell.advance(SECOND / 10)
        put = cell.store.put

        async def put_and_lose(key, *arguments, **options):
            cell.store.put = put
            cell.store.answers_to_lose = 1
            return await put(key, *arguments, **options)

        cell.store.put = put_and_lose
        await cell.wait_until_served(TTL + 3 * SECOND)
        assert successor.ownership.owned == {SHARD: 2}

    in_cell(scenario)


def test_restarted_member_respects_the_promise_it_forgot(in_cell):
    """Guards against a claim by a member that promised not to claim before its restart."""

    async def scenario(cell):
        await start_processes(cell, "a", "b")
        owner, (other,) = owner_and_others(cell)
        owner.store.cut = True
        await cell.advance(20 * SECOND)
        assert owner.ownership.proof(SHARD).kind is ProofKind.PEERS
        cell.kill(other.vm)
        cell.start(other.vm)
        cell.cut(owner.vm, other.vm)
        await cell.advance(2 * TTL)
        assert cell.serving() == [other.vm]

    in_cell(scenario)


def test_crash_of_a_member_in_an_outage_stops_the_shard_until_the_store_returns(in_cell):
    """Guards against a proof without the promise of a member that may be alive but cut off."""

    async def scenario(cell):
        await start_processes(cell, "a", "b", "c")
        owner, others = owner_and_others(cell)
        cell.store.mode = StoreMode.DOWN
        await cell.advance(10 * SECOND)
        cell.kill(others[0].vm)
        await cell.advance(10 * SECOND)
        assert cell.serving() == []
        cell.store.mode = StoreMode.UP
        await cell.wait_until_served(5 * SECOND)
        assert cell.serving() == [owner.vm]

    in_cell(scenario)


def test_late_or_doubled_hand_over_is_refused(in_cell):
    """Guards against a message from an earlier epoch that takes a shard from its owner."""

    async def scenario(cell):
        await start_processes(cell, "a", "b", "c")
        owner, others = owner_and_others(cell)
        cell.network.duplicate = True
        asyncio.ensure_future(owner.ownership.hand_over_all())
        await cell.advance(2 * SECOND)
        successor = cell.process_by_vm[cell.serving()[0]]
        assert successor.ownership.owned == {SHARD: 2}
        third = next(p for p in others if p is not successor)
        reply = await third.ownership.on_hand_over(HandOverRequest(SHARD, 1, owner.vm))
        assert not reply.accepted
        await cell.advance(2 * SECOND)
        assert cell.serving() == [successor.vm]

    in_cell(scenario)


def test_leaving_owner_admits_it_only_after_the_send_bound(in_cell):
    """Guards against a successor that starts work while the last start is still in transit."""

    async def scenario(cell):
        await start_processes(cell, "a", "b")
        owner, (other,) = owner_and_others(cell)
        owner.store.cut = True
        request = AskOwnerRequest(SHARD, other.vm)
        assert owner.may_start()
        asyncio.ensure_future(owner.ownership.release(SHARD))
        await cell.clock.advance(SECOND / 5)
        assert owner.ownership.on_ask_owner(request).serving
        await cell.clock.advance(SECOND / 2)
        reply = owner.ownership.on_ask_owner(request)
        assert (reply.serving, reply.epoch) == (False, 1)

    in_cell(scenario)


def test_released_shard_goes_to_another_member(in_cell):
    """Guards against a process that claims a shard again right after it has released it."""

    async def scenario(cell):
        await start_processes(cell, "a", "b")
        owner, (other,) = owner_and_others(cell)
        release = asyncio.ensure_future(owner.ownership.release(SHARD))
        await cell.advance(4 * SECOND)
        assert release.done()
        assert cell.serving() == [other.vm]
        assert owner.ownership.owner_of(SHARD) == other.vm

    in_cell(scenario)


def test_better_candidate_does_not_move_a_shard(in_cell):
    """Guards against moving a shard only because a new member ranks higher."""

    async def scenario(cell):
        await start_processes(cell, "a")
        for name in "bcdef":
            cell.start(name, size=50.0)
        await cell.advance(20 * SECOND)
        assert cell.serving() == ["a"]

    in_cell(scenario)


def test_pool_that_is_removed_is_released(in_cell):
    """Guards against an owner that keeps a shard whose pool no longer exists."""

    async def scenario(cell):
        await start_processes(cell, "a")
        cell.shards = []
        await cell.advance(2 * SECOND)
        assert cell.process_by_vm["a"].ownership.owned == {}

    in_cell(scenario)


def test_idle_process_makes_fewer_than_one_and_a_half_store_calls_per_second(in_cell):
    """Guards against idle processes that exceed the fleet's budget of store calls."""

    async def scenario(cell):
        cell.shards = [ShardId(f"pool{i}@gebze") for i in range(5)]
        names = ["a", "b", "c", "d", "e", "f"]
        for name in names:
            cell.start(name)
        await cell.advance(20 * SECOND)
        cell.store.calls_by_name.clear()
        await cell.advance(60 * SECOND)
        calls = dict(cell.store.calls_by_name)
        rate = sum(calls.values()) / 60 / len(names)
        print(f"{rate:.3f} store calls per second and process: {calls}")
        assert rate < 1.5

    in_cell(scenario)
