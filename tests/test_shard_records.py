"""Tests of shard records: compare-and-swap writes and write ids."""

import pytest

from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.ids import ShardId, VmId
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.shard_records import ShardRecords

SHARD = ShardId("weigh@gebze")


def test_lost_answer_is_resolved_by_the_write_id(store, run):
    """Guards against an owner that does not know that its claim took effect."""

    async def scenario():
        records = ShardRecords(store, VmId("a"), "a:90")
        record = records.new(1, None, frozenset())
        store.answers_to_lose = 1
        written = await records.write(SHARD, record, None)
        assert written == await records.read(SHARD)

    run(scenario())


def test_other_writer_wins_over_a_lost_answer(store, run):
    """Guards against mistaking another process's record for one's own."""

    async def scenario():
        first = ShardRecords(store, VmId("a"), "a:90")
        second = ShardRecords(store, VmId("a"), "a:90")
        written = await first.write(SHARD, first.new(1, None, frozenset()), None)
        assert await second.write(SHARD, second.new(1, None, frozenset()), None) is None
        assert first.is_own(written.record)
        assert not second.is_own(written.record)

    run(scenario())


def test_unknown_outcome_is_reported(store, run):
    """Guards against reporting a write as failed that may still take effect."""

    async def scenario():
        records = ShardRecords(store, VmId("a"), "a:90")
        store.mode = StoreMode.DOWN
        with pytest.raises(StoreUnavailableError):
            await records.write(SHARD, records.new(1, None, frozenset()), None)

    run(scenario())


def test_only_the_owner_of_the_epoch_releases(store, run):
    """Guards against a late release that releases the shard of the next owner."""

    async def scenario():
        old = ShardRecords(store, VmId("a"), "a:90")
        new = ShardRecords(store, VmId("b"), "b:90")
        first = await old.write(SHARD, old.new(1, None, frozenset()), None)
        await new.write(SHARD, new.new(2, None, frozenset()), first.version)
        await old.release(SHARD, 1)
        assert not (await new.read(SHARD)).record.released
        await new.release(SHARD, 2)
        assert (await new.read(SHARD)).record.released

    run(scenario())
