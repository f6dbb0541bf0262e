"""Tests of the configuration store: races, lost replies, restored stores, deltas and forks."""

import asyncio
from datetime import timedelta

import msgspec
import pytest
from result import Ok

from hornbeamramp.clock import ManualClock
from hornbeamramp.config_head import RECENT_MAX_BYTES, ConfigHead, ConfigState, merge
from hornbeamramp.configuration import (
    ConfigurationStore,
    DanglingReference,
    MalformedProposal,
    StoreOutage,
    VersionConflict,
)
from hornbeamramp.errors import UnreachableError
from hornbeamramp.ids import ChangeId, DataCentreId, PoolName, Revision, RouteName, VmId
from hornbeamramp.messages import ConfigDeltaReply, ConfigDeltaRequest
from hornbeamramp.platforms.memory import MemoryPlatform, StoreMode
from hornbeamramp.states import Step
from hornbeamramp.tables import Change, Pool, PoolUpstream, Quota, Route

SECOND = timedelta(seconds=1)


def pool(name="gates", policy="default") -> Pool:
    return Pool(PoolName(name), policy=policy)


def route(name="weigh", pool_name="gates", run_ms=1000) -> Route:
    return Route(RouteName(name), PoolName(pool_name), run_ms=run_ms)


@pytest.fixture
def members(store: MemoryPlatform, clock: ManualClock) -> list[ConfigurationStore]:
    return [ConfigurationStore(store, clock, VmId(f"vm{n}")) for n in range(3)]


async def run_with_clock(clock, coroutine, step=SECOND):
    """Runs the coroutine while the clock advances."""
    task = asyncio.ensure_future(coroutine)
    for _ in range(20):
        await clock.advance(step)
        if task.done():
            break
    return await asyncio.wait_for(task, 5)


def peer_call(config):
    async def call(request):
        return config.on_config_delta(request)

    return call


def head_of(store) -> ConfigHead:
    entry = next(entry for entry in store.entries() if entry.key == "config/head")
    return msgspec.msgpack.decode(entry.value, type=ConfigHead)


async def make_changes(config, count, prefix="fill") -> None:
    """Makes ``count`` changes to one row."""
    _, version = config.tables.row("pools", "gates")
    for number in range(count):
        row = pool(policy=f"{prefix}{number}")
        change = (await config.propose("pools", "gates", row, version, f"{prefix}{number}")).ok()
        version = change.revision


def test_of_two_operators_one_wins_and_the_other_gets_the_row(store, members, run):
    # Guards against a lost update: both operators told that their change was accepted.
    async def scenario():
        first, second, _ = members
        await first.propose("pools", "gates", pool(), None, "c0")
        results = await asyncio.gather(
            first.propose("pools", "gates", pool(policy="a"), Revision(1), ChangeId("c1")),
            second.propose("pools", "gates", pool(policy="b"), Revision(1), ChangeId("c2")),
        )
        (won,) = [result.ok() for result in results if result.is_ok()]
        (lost,) = [result.err() for result in results if result.is_err()]
        assert lost == VersionConflict(won.pool, Revision(2))

    run(scenario())


def test_changes_to_different_rows_both_get_through(store, members, run):
    # Guards against refusing a change because a change to another row replaced the head.
    async def scenario():
        results = await asyncio.gather(
            *(
                members[n % 3].propose("pools", f"p{n}", pool(f"p{n}"), None, ChangeId(f"c{n}"))
                for n in range(9)
            )
        )
        assert all(result.is_ok() for result in results)
        assert sorted(result.ok().revision for result in results) == list(range(1, 10))

    run(scenario())


def test_concurrent_changes_can_not_leave_a_dangling_reference(store, members, run):
    # Guards against a route to a missing pool: the pool is deleted while the route is created.
    async def scenario():
        first, second, _ = members
        await first.propose("pools", "gates", pool(), None, "c0")
        results = await asyncio.gather(
            first.propose("pools", "gates", None, Revision(1), ChangeId("c1")),
            second.propose("routes", "weigh", route(), None, ChangeId("c2")),
        )
        assert [result.is_ok() for result in results].count(True) == 1
        (refusal,) = [result.err() for result in results if result.is_err()]
        assert isinstance(refusal, DanglingReference) and refusal.names == ["weigh"]

    run(scenario())


@pytest.mark.parametrize(
    "arguments",
    [
        ("nodes", "gates", pool(), None, "c"),
        ("pools", "gates", route(), None, "c"),
        ("pools", "other", pool(), None, "c"),
        ("pools", "gates", None, None, "c"),
        ("pools", "gates", pool(), None, ""),
        ("pools", "gates", Pool(PoolName("gates"), adapter=3), None, "c"),
        ("pools", "gates", pool(policy="x" * 1_000_000), None, "c"),
    ],
)
def test_malformed_proposals_are_refused(store, members, run, arguments):
    # Guards against malformed rows in the store, which no member could read.
    result = run(members[0].propose(*arguments))
    assert isinstance(result.err_value, MalformedProposal)
    assert store.entries() == []


def test_lost_answer_is_resolved_by_the_change_id(store, clock, members, run):
    # Guards against a change made twice, or reported as failed although it is applied.
    async def scenario():
        store.answers_to_lose = 1
        result = await run_with_clock(
            clock, members[0].propose("pools", "gates", pool(), None, "c0")
        )
        assert result.ok().revision == 1
        assert store.calls_by_name["put"] == 1
        assert (await members[1].propose("pools", "gates", pool(), None, "c0")) == result
        other = await members[1].propose("pools", "gates", pool(policy="x"), None, "c0")
        assert isinstance(other.err_value, MalformedProposal)

    run(scenario())


def test_outage_is_reported_as_not_run_or_unknown(store, clock, members, run):
    # Guards against a wrong outcome, by which operators decide whether to repeat a change.
    async def scenario():
        store.mode = StoreMode.DOWN
        result = await members[0].propose("pools", "gates", pool(), None, "c0")
        assert result.err_value.outcome == "not_run"
        store.mode = StoreMode.UP
        await members[0].propose("pools", "gates", pool(), None, "c1")
        store.answers_to_lose = 1
        proposal = asyncio.create_task(
            members[0].propose("pools", "gates", pool(policy="a"), Revision(1), "c2")
        )
        for _ in range(10):
            await asyncio.sleep(0)
        assert store.answers_to_lose == 0
        store.mode = StoreMode.DOWN
        result = await run_with_clock(clock, proposal)
        assert isinstance(result.err_value, StoreOutage) and result.err_value.outcome == "unknown"
        store.mode = StoreMode.UP
        again = await members[1].propose("pools", "gates", pool(policy="a"), Revision(1), "c2")
        assert again.ok().revision == 2

    run(scenario())


def test_members_follow_the_head_within_seconds(store, clock, members, run):
    # Guards G8: a change must take effect everywhere within seconds.
    async def scenario():
        tasks = [asyncio.create_task(config.run()) for config in members]
        await clock.advance(SECOND)
        assert all(config.is_ready() for config in members)
        seen = []
        members[2].subscribe(lambda tables: 1 / 0)
        members[2].subscribe(lambda tables: seen.append(tables.revision))
        await members[0].propose("pools", "gates", pool(), None, "c0")
        await clock.advance(SECOND)
        assert [config.tables.revision for config in members] == [1, 1, 1]
        assert seen == [1]
        for task in tasks:
            task.cancel()

    run(scenario())


@pytest.mark.parametrize("kept", [0, 1], ids=["missing", "older"])
def test_store_restored_from_an_older_state_gets_the_head_back(store, clock, members, run, kept):
    # Guards G8: an accepted change must not revert when the store is restored.
    async def scenario():
        tasks = [asyncio.create_task(config.run()) for config in members]
        await clock.advance(SECOND)
        await members[0].propose("pools", "gates", pool(), None, "c0")
        saved = store.entries()
        await members[0].propose("routes", "weigh", route(), None, "c1")
        await clock.advance(SECOND)
        store.mode = StoreMode.DOWN
        await clock.advance(30 * SECOND)
        store.restore(saved if kept else [])
        store.mode = StoreMode.UP
        await clock.advance(30 * SECOND)
        assert [config.tables.revision for config in members] == [2, 2, 2]
        assert head_of(store).revision == 2
        assert all(not task.done() for task in tasks)
        for task in tasks:
            task.cancel()

    run(scenario())


def test_proposal_on_an_older_store_comes_after_the_accepted_changes(store, members, run):
    # Guards G8 after a restore that the watch has not noticed yet: the proposer first writes the
    # accepted changes back.
    async def scenario():
        await members[0].propose("pools", "gates", pool(), None, "c0")
        store.restore([])
        change = (await members[0].propose("pools", "yard", pool("yard"), None, "c1")).ok()
        assert change.revision == 2 and set(members[0].tables.pool_by_name) == {"gates", "yard"}

    run(scenario())


def test_missing_snapshot_is_replaced_by_a_member_with_a_later_revision(store, clock, members, run):
    # Guards against members that can never again read the tables from a partly restored store.
    async def scenario():
        first, second, _ = members
        await make_changes(first, 600)
        saved = [entry for entry in store.entries() if entry.key == "config/head"]
        await make_changes(first, 1, "last")
        store.restore(saved)
        second_run = asyncio.create_task(second.run())
        await clock.advance(SECOND)
        assert not second.is_ready()
        first_run = asyncio.create_task(first.run())
        await clock.advance(5 * SECOND)
        assert second.is_ready() and second.tables == first.tables
        second_run.cancel()
        first_run.cancel()

    run(scenario())


def test_malformed_head_is_not_overwritten(store, members, run):
    # Guards against overwriting a head that a later version of the program wrote.
    async def scenario():
        await members[0].propose("pools", "gates", pool(), None, "c0")
        entry = await store.get("config/head")
        await store.put("config/head", b"not a head", entry.version)
        result = await members[0].propose("pools", "yard", pool("yard"), None, "c1")
        assert result.err_value.outcome == "not_run"
        assert (await store.get("config/head")).value == b"not a head"

    run(scenario())


async def forked_members(store, members, salt=0):
    """Returns two members with different changes at revision 2, made before and after a restore.

    ``salt`` varies the digests. The store has the change of the second member.
    """
    first, second, _ = members
    await first.propose("pools", "gates", pool(), None, "c0")
    await second.propose("pools", "probe", pool("probe"), Revision(9), "none")
    saved = store.entries()
    await first.propose("pools", "yard", pool("yard"), None, f"c1-{salt}")
    store.restore(saved)
    await second.propose("pools", "mill", pool("mill"), None, "c2")
    assert first.tables.revision == second.tables.revision == 2
    assert first.tables.digest != second.tables.digest
    return first, second


def test_fork_at_the_same_revision_is_merged(store, clock, members, run):
    # Guards G8: two members have different tables at one revision, each as the current ones.
    async def scenario():
        first, second = await forked_members(store, members)
        tasks = [asyncio.create_task(config.run()) for config in members]
        await clock.advance(30 * SECOND)
        assert first.tables == second.tables == members[2].tables
        assert set(first.tables.pool_by_name) == {"gates", "yard", "mill"}
        assert first.fork_count + second.fork_count == 1
        assert not first.dropped_changes and not second.dropped_changes
        for task in tasks:
            task.cancel()

    run(scenario())


@pytest.mark.parametrize("winner_index", [0, 1])
def test_fork_without_the_store_is_resolved_alike_and_merged_later(clock, run, winner_index):
    # Guards against members that exchange their tables endlessly, and against a lost change.
    async def scenario():
        for salt in range(20):
            store = MemoryPlatform(clock)
            members = [ConfigurationStore(store, clock, VmId(f"vm{n}")) for n in range(3)]
            first, second = await forked_members(store, members, salt)
            if winner_index == (first.tables.digest < second.tables.digest):
                break
        winner, loser = members[winner_index], members[1 - winner_index]
        assert winner.tables.digest > loser.tables.digest
        tables = winner.tables
        store.mode = StoreMode.DOWN
        assert not await winner.pull_from(peer_call(loser))
        assert await loser.pull_from(peer_call(winner))
        assert not await loser.pull_from(peer_call(winner))
        assert winner.tables == loser.tables == tables
        assert loser.fork_count == 1
        store.mode = StoreMode.UP
        tasks = [asyncio.create_task(config.run()) for config in members]
        await clock.advance(30 * SECOND)
        assert first.tables == second.tables
        assert set(first.tables.pool_by_name) == {"gates", "yard", "mill"}
        for task in tasks:
            task.cancel()

    run(scenario())


def test_merge_does_not_depend_on_the_side_and_reports_what_it_drops():
    # Guards against members that merge the same fork differently.
    base = ConfigState().append(Change("c0", Revision(0), "pools", "gates", pool=pool()))
    left = base.append(Change("c1", Revision(0), "routes", "weigh", route=route()))
    right = base.append(Change("c2", Revision(0), "pools", "gates"))
    right = right.append(Change("c3", Revision(0), "pools", "yard", pool=pool("yard")))
    one, other = merge(left, right), merge(right, left)
    assert one == other and one.forked
    assert [change.id for change in one.dropped] == ["c1"]
    again = merge(one.state, left)
    assert again.state == one.state


def test_merge_keeps_the_winners_row_if_both_sides_wrote_it():
    # Guards against a merge that reverts a row of the chain that other members already apply.
    base = ConfigState().append(Change("c0", Revision(0), "pools", "gates", pool=pool()))
    lower = base.append(Change("c1", Revision(0), "pools", "gates", pool=pool(policy="lower")))
    higher = base.append(Change("c2", Revision(0), "pools", "gates", pool=pool(policy="higher")))
    higher = higher.append(Change("c3", Revision(0), "pools", "yard", pool=pool("yard")))
    merged = merge(lower, higher)
    assert merged.state == higher and merged.forked
    assert [change.id for change in merged.dropped] == ["c1"]


def test_deltas_are_never_applied_backwards_or_with_a_gap(store, members, run):
    # Guards G8 against delayed, reordered or altered replies of peers.
    async def scenario():
        first, second, third = members
        await make_changes(first, 4)
        changes = list(first._state.recent)

        def answer(*numbers, revision=4):
            async def call(request):
                return ConfigDeltaReply(Revision(revision), [changes[n - 1] for n in numbers])

            return call

        assert not await second.pull_from(answer(2))
        assert not await second.pull_from(answer(1, 3))
        assert second.tables.revision == 0 and not second.is_ready()
        assert await second.pull_from(answer(1, 2, 3))
        assert not await second.pull_from(answer(1, 2))
        assert second.tables.revision == 3
        altered = msgspec.structs.replace(changes[3], pool=pool(policy="altered"))

        async def call(request):
            return ConfigDeltaReply(Revision(4), [altered])

        assert not await second.pull_from(call)
        assert await second.pull_from(answer(4)) and second.tables == first.tables
        whole = third.on_config_delta(ConfigDeltaRequest(Revision(0)))
        assert whole.revision == 0 and whole.tables is None
        assert await third.pull_from(answer(1, 2))
        older = third.on_config_delta(ConfigDeltaRequest(Revision(1), "other chain"))
        assert older.tables.revision == 2

        async def send_older(request):
            return older

        assert not await second.pull_from(send_older)
        assert second.tables == first.tables

    run(scenario())


def test_member_without_the_store_loads_the_tables_from_a_peer(store, members, run):
    # Guards against a new process without tables in a partitioned data centre, and against
    # replies of peers without a bound.
    async def scenario():
        first, second, third = members
        await make_changes(first, 600)
        store.mode = StoreMode.DOWN
        assert first._state.base_revision > 0
        assert await second.pull_from(peer_call(first))
        assert second.is_ready() and second.tables == first.tables
        store.mode = StoreMode.UP
        await make_changes(first, 3, "more")
        store.mode = StoreMode.DOWN
        replies = []

        async def call(request):
            replies.append(second_reply := first.on_config_delta(request))
            return second_reply

        assert await second.pull_from(call)
        assert replies[0].tables is None and len(replies[0].changes) == 3
        assert second.tables == first.tables

        async def unreachable(request):
            raise UnreachableError(Step.CHANGE_APPLIED, "vm9", "timed out")

        assert not await third.pull_from(unreachable)
        assert not third.is_ready()
        waiting = asyncio.create_task(third.wait_ready())
        assert await third.pull_from(peer_call(second))
        await asyncio.wait_for(waiting, 1)

    run(scenario())


def test_recent_changes_are_bounded_and_the_snapshot_covers_the_rest(store, members, run):
    # Guards against a head that makes 2,600 changes a day too costly, and against a new member
    # that can't load the tables from the snapshot and the recent changes.
    async def scenario():
        first, second, _ = members
        largest = 0
        for number in range(60):
            await make_changes(first, 20, f"n{number}-")
            entry = await store.get("config/head")
            largest = max(largest, len(entry.value))
        # A snapshot is written once in many changes, not with each change.
        assert store.calls_by_name["put"] < 1_200 * 1.05
        assert RECENT_MAX_BYTES // 2 < largest < RECENT_MAX_BYTES + 1_000
        assert sum("snapshot" in entry.key for entry in store.entries()) <= 2
        await second.propose("pools", "x", pool("x"), Revision(99), "none")
        assert second.tables == first.tables

    run(scenario())


def test_row_larger_than_the_bound_on_recent_changes_is_accepted(store, clock, members, run):
    # Guards against refusing pools of many upstreams, whose row alone exceeds the bound.
    async def scenario():
        upstreams = [
            PoolUpstream(f"worker-{n:04}", DataCentreId("gebze"), f"10.0.{n // 250}.{n % 250}:9000")
            for n in range(1_500)
        ]
        row = Pool(PoolName("gates"), upstreams, {"yard": Quota(weight=2)})
        store.answers_to_lose = 2
        result = await run_with_clock(clock, members[0].propose("pools", "gates", row, None, "c0"))
        assert isinstance(result, Ok)
        assert await members[1].pull_from(peer_call(members[0]))
        await members[2].propose("pools", "x", pool("x"), Revision(99), "none")
        assert members[0].tables == members[1].tables == members[2].tables

    run(scenario())
