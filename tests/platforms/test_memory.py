"""Tests of the in-memory platform: compare-and-swap, leases, watches and lost answers."""

from datetime import timedelta

import pytest

from hornbeamramp.errors import ConflictError, StoreUnavailableError
from hornbeamramp.platforms.memory import StoreMode

SECOND = timedelta(seconds=1)


def test_put_with_a_stale_version_fails(store, run):
    async def scenario():
        first = await store.put("a", b"1", None)
        await store.put("a", b"2", first)
        with pytest.raises(ConflictError):
            await store.put("a", b"3", first)
        assert (await store.get("a")).value == b"2"

    run(scenario())


def test_entry_ends_with_its_lease(store, clock, run):
    async def scenario():
        lease = await store.grant_lease(2 * SECOND)
        await store.put("a", b"1", None, lease)
        await clock.advance(SECOND)
        assert await store.renew_lease(lease)
        await clock.advance(1.5 * SECOND)
        assert await store.get("a") is not None
        await clock.advance(SECOND)
        assert await store.get("a") is None
        assert not await store.renew_lease(lease)

    run(scenario())


def test_lost_answer_follows_the_effect(store, run):
    async def scenario():
        store.answers_to_lose = 1
        with pytest.raises(StoreUnavailableError):
            await store.put("a", b"1", None)
        assert (await store.get("a")).value == b"1"

    run(scenario())


def test_store_down_takes_no_effect(store, run):
    async def scenario():
        store.mode = StoreMode.DOWN
        with pytest.raises(StoreUnavailableError):
            await store.put("a", b"1", None)
        store.mode = StoreMode.UP
        assert await store.get("a") is None

    run(scenario())


def test_watch_returns_only_later_changes(store, clock, run):
    async def scenario():
        await store.put("p/a", b"1", None)
        first = await store.watch("p/", 0, SECOND)
        version = await store.put("p/b", b"2", None)
        second = await store.watch("p/", first.revision, SECOND)
        assert [entry.key for entry in second.changed] == ["p/b"]
        await store.delete("p/b", version)
        third = await store.watch("p/", second.revision, SECOND)
        assert third.deleted == ["p/b"]

    run(scenario())
