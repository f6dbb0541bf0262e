"""Tests of the rate limit for store calls: rate, burst, priority of renewals, refusals, counts."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.store_budget import BudgetedPlatform

SECOND = timedelta(seconds=1)


def test_calls_stay_within_rate_and_burst(store, clock, run):
    # Guards the store against a process that exceeds its share of the call rate.
    async def scenario():
        platform = BudgetedPlatform(store, clock, 10, burst=5, longest_wait=100 * SECOND)
        calls = [asyncio.create_task(platform.get("a")) for _ in range(100)]
        await clock.advance(timedelta(0))
        assert store.calls_by_name["get"] == 5
        for second in range(1, 6):
            await clock.advance(SECOND)
            assert 5 + 10 * second - 1 <= store.calls_by_name["get"] <= 5 + 10 * second
        await clock.advance(10 * SECOND)
        assert all(call.done() for call in calls)
        await clock.advance(100 * SECOND)
        await asyncio.gather(*(platform.get("a") for _ in range(5)))
        assert platform.calls_by_kind == {"get": 105}

    run(scenario())


def test_renewals_go_before_waiting_calls_and_are_never_refused(store, clock, run):
    # Guards against a process lease that expires behind a backlog of journal writes.
    async def scenario():
        platform = BudgetedPlatform(store, clock, 10, burst=1, longest_wait=2 * SECOND)
        lease = await store.grant_lease(6 * SECOND)
        calls = [asyncio.create_task(platform.get("a")) for _ in range(21)]
        await clock.advance(timedelta(0))
        renewal = asyncio.create_task(platform.renew_lease(lease))
        with pytest.raises(StoreUnavailableError) as raised:
            await platform.get("a")
        assert not raised.value.sent
        await clock.advance(timedelta(milliseconds=110))
        assert renewal.done() and renewal.result()
        assert sum(call.done() for call in calls) == 1
        assert platform.refused_by_kind == {"get": 1}
        await clock.advance(3 * SECOND)
        assert all(call.done() for call in calls)

    run(scenario())


def test_cancelled_calls_take_no_budget(store, clock, run):
    # Guards against tokens spent on calls whose callers gave up while they waited.
    async def scenario():
        platform = BudgetedPlatform(store, clock, 1, burst=1, longest_wait=100 * SECOND)
        calls = [asyncio.create_task(platform.get("a")) for _ in range(10)]
        await clock.advance(timedelta(0))
        for call in calls[1:9]:
            call.cancel()
        await clock.advance(1.1 * SECOND)
        assert calls[9].done() and not calls[9].cancelled()

    run(scenario())


def test_every_method_counts_and_a_watch_counts_once(store, clock, run):
    # Guards against a method that bypasses the budget.
    async def scenario():
        platform = BudgetedPlatform(store, clock, 100)
        version = await platform.put("a", b"1", None)
        await platform.get("a")
        await platform.list_prefix("a")
        watch = asyncio.create_task(platform.watch("b", 0, 5 * SECOND))
        await clock.advance(6 * SECOND)
        assert (await watch).changed == []
        await platform.delete("a", version)
        lease = await platform.grant_lease(SECOND)
        await platform.renew_lease(lease)
        await platform.revoke_lease(lease)
        await platform.list_vms()
        await platform.close()
        assert set(platform.calls_by_kind.values()) == {1} and len(platform.calls_by_kind) == 9

    run(scenario())


@pytest.mark.parametrize(("rate", "burst"), [(0, 1), (-1, 1), (1, 0)])
def test_invalid_options_are_refused(store, clock, rate, burst):
    # Guards against a budget that never lets a call through.
    with pytest.raises(ValueError, match="must be"):
        BudgetedPlatform(store, clock, rate, burst)
