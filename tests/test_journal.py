"""Tests of the shard journal: group commit, fencing, lost answers, compaction, retention."""

import asyncio
from datetime import timedelta

import pytest
from result import Ok

from hornbeamramp.errors import ConflictError, ProtocolError, StoreUnavailableError
from hornbeamramp.ids import (
    AttemptId,
    Epoch,
    JobId,
    PoolName,
    RouteName,
    ShardId,
    TeamId,
    UpstreamId,
)
from hornbeamramp.jobs import BatchJob, Completed, NotRun, Unknown
from hornbeamramp.journal import Fenced, Journal, JournalUnavailable, RecordTooLarge
from hornbeamramp.journal_records import (
    JobAccepted,
    JobEnded,
    JobForgotten,
    JournalState,
    KeyRecorded,
    StartIntent,
)
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.states import RefusalReason

SHARD = ShardId("tickets@gebze")
SECOND = timedelta(seconds=1)


def make_job(number: int, size: int = 100) -> BatchJob:
    return BatchJob(
        id=JobId(f"j{number}"),
        route=RouteName("weigh"),
        pool=PoolName("tickets"),
        team=TeamId("yard"),
        payload=b"x" * size,
    )


def accepted(clock, number, size=100) -> JobAccepted:
    return JobAccepted(make_job(number, size), clock.now())


def completed(clock, number) -> JobEnded:
    return JobEnded(Completed(JobId(f"j{number}"), [], "gebze"), clock.now())


async def opened(store, clock, epoch=1) -> Journal:
    journal = Journal(store, clock, SHARD)
    await journal.open(Epoch(epoch))
    return journal


async def with_time(clock, coroutine, step=SECOND):
    """Runs the coroutine while the clock moves."""
    task = asyncio.create_task(coroutine)
    for _ in range(20):
        await clock.advance(step)
        if task.done():
            break
    return await asyncio.wait_for(task, 5)


async def replayed(store, clock, epoch=99) -> JournalState:
    records = await Journal(store, clock, SHARD).open(Epoch(epoch))
    return JournalState.replay(records)


def test_concurrent_appends_share_few_writes(store, clock, run):
    # Guards the store's write rate: a write per record would exceed it at peak.
    async def scenario():
        journal = await opened(store, clock)
        before = store.calls_by_name["put"]
        results = await asyncio.gather(
            *(journal.append(accepted(clock, number, 0)) for number in range(50))
        )
        assert results == [Ok(None)] * 50
        assert store.calls_by_name["put"] - before <= 2
        assert len((await replayed(store, clock)).live_job_by_id) == 50

    run(scenario())


def test_records_are_replayed_in_order_over_many_segments(store, clock, run):
    # Guards recovery: records left out or mixed up when the inline part moves to a segment.
    async def scenario():
        journal = await opened(store, clock)
        for number in range(40):
            assert (await journal.append(accepted(clock, number, 2_000))).is_ok()
        assert any("/segment/" in entry.key for entry in store.entries())
        records = await Journal(store, clock, SHARD).open(Epoch(2))
        assert [record.job.id for record in records] == [f"j{n}" for n in range(40)]

    run(scenario())


def test_append_of_the_old_owner_fails_after_a_claim(store, clock, run):
    # Guards against two owners: a paused owner must not add to its successor's journal.
    async def scenario():
        old = await opened(store, clock, 1)
        await old.append(accepted(clock, 1))
        new = await opened(store, clock, 2)
        assert JobId("j1") in new.state.live_job_by_id
        result = await with_time(clock, old.append(accepted(clock, 2)))
        assert result.err_value.epoch == 2 and isinstance(result.err_value, Fenced)
        puts = store.calls_by_name["put"]
        assert isinstance((await old.append(accepted(clock, 3))).err_value, Fenced)
        assert store.calls_by_name["put"] == puts
        assert (await new.append(accepted(clock, 4))).is_ok()
        assert set((await replayed(store, clock)).live_job_by_id) == {"j1", "j4"}

    run(scenario())


def test_append_between_read_and_claim_is_replayed(store, clock, run):
    # Guards against a claim that overwrites a record the old owner reported as durable.
    async def scenario():
        old = await opened(store, clock, 1)
        new = Journal(store, clock, SHARD)
        for number in range(20):
            appended, _ = await asyncio.gather(
                old.append(accepted(clock, number)), asyncio.sleep(0)
            )
            assert appended.is_ok()
        append = asyncio.create_task(old.append(accepted(clock, 20)))
        await asyncio.sleep(0)
        records = await new.open(Epoch(2))
        await clock.advance(5 * SECOND)
        held = {record.job.id for record in records}
        assert (await append).is_ok() == ("j20" in held)
        assert {f"j{n}" for n in range(20)} <= held

    run(scenario())


def test_open_with_a_lower_epoch_fails(store, clock, run):
    # Guards against an owner whose claim was overtaken.
    async def scenario():
        await opened(store, clock, 5)
        with pytest.raises(ConflictError):
            await opened(store, clock, 4)

    run(scenario())


def test_lost_answer_is_resolved_by_the_write_id(store, clock, run):
    # Guards against a record written twice, and against a durable record reported as unknown.
    async def scenario():
        journal = await opened(store, clock)
        store.answers_to_lose = 1
        puts = store.calls_by_name["put"]
        assert await with_time(clock, journal.append(accepted(clock, 1))) == Ok(None)
        assert store.calls_by_name["put"] == puts + 1
        assert journal.state == await replayed(store, clock)

    run(scenario())


def test_store_that_is_down_reports_not_run_at_once(store, clock, run):
    # Guards the caller's immediate answer: with no write sent, the record can't be in the store.
    async def scenario():
        journal = await opened(store, clock)
        store.mode = StoreMode.DOWN
        result = await journal.append(accepted(clock, 1))
        assert result.err_value.outcome == "not_run"
        store.mode = StoreMode.UP
        assert (await journal.append(accepted(clock, 2))).is_ok()
        assert set((await replayed(store, clock)).live_job_by_id) == {"j2"}

    run(scenario())


def test_unresolved_write_is_unknown_and_later_appends_go_on(store, clock, run):
    # Guards against "not run" for a write that took effect, and against an owner that fences
    # itself because it meets its own head.
    async def scenario():
        journal = await opened(store, clock)
        store.mode = StoreMode.LOSE_ANSWERS
        result = await with_time(clock, journal.append(accepted(clock, 1)))
        assert isinstance(result.err_value, JournalUnavailable)
        assert result.err_value.outcome == "unknown"
        store.mode = StoreMode.UP
        assert await with_time(clock, journal.append(accepted(clock, 2))) == Ok(None)
        assert set((await replayed(store, clock)).live_job_by_id) == {"j1", "j2"}

    run(scenario())


def test_lost_answer_followed_by_a_claim_is_unknown(store, clock, run):
    # Guards against "not in the journal" for a record that the next owner has taken over.
    async def scenario():
        old = await opened(store, clock, 1)
        store.mode = StoreMode.LOSE_ANSWERS
        append = asyncio.create_task(old.append(accepted(clock, 1)))
        for _ in range(5):
            await asyncio.sleep(0)
        store.mode = StoreMode.UP
        new = await opened(store, clock, 2)
        assert JobId("j1") in new.state.live_job_by_id
        await clock.advance(SECOND)
        error = (await append).err_value
        assert isinstance(error, Fenced) and error.outcome == "unknown"

    run(scenario())


def test_store_that_returns_older_gets_the_journal_back(store, clock, run):
    # Guards durable records against a store restored to an earlier state, or to nothing.
    async def scenario():
        journal = await opened(store, clock)
        await journal.append(accepted(clock, 1))
        saved = store.entries()
        await journal.append(accepted(clock, 2))
        store.restore(saved)
        assert await journal.check() == Ok(None)
        assert set((await replayed(store, clock, 1)).live_job_by_id) == {"j1", "j2"}
        await journal.open(Epoch(2))
        store.restore([])
        assert await with_time(clock, journal.append(accepted(clock, 3))) == Ok(None)
        assert set((await replayed(store, clock)).live_job_by_id) == {"j1", "j2", "j3"}

    run(scenario())


def test_compaction_bounds_what_the_store_holds(store, clock, run):
    # Guards the store's size: ended jobs and expired answers must not pile up.
    async def scenario():
        journal = await opened(store, clock)
        for number in range(400):
            await journal.append(accepted(clock, number, 2_000))
            await journal.append(completed(clock, number))
            await clock.advance(30 * SECOND)
        await journal.close()
        held = sum(len(entry.value) for entry in store.entries())
        assert held < 400_000
        keys = {entry.key for entry in store.entries()}
        head = journal._head
        assert keys == {f"journal/{SHARD}", *(r.key for r in [*head.checkpoint, *head.segments])}
        state = JournalState.replay(await Journal(store, clock, SHARD).open(Epoch(2)), clock.now())
        assert not state.live_job_by_id and len(state.answer_by_job_id) == 19

    run(scenario())


def test_large_state_is_split_into_values_the_store_takes(store, clock, run):
    # Guards compaction of large payloads: values above 1 MB are refused by the store.
    async def scenario():
        journal = await opened(store, clock)
        for number in range(4):
            assert (await journal.append(accepted(clock, number, 800_000))).is_ok()
        await journal.close()
        assert len((await replayed(store, clock)).live_job_by_id) == 4
        other = await opened(store, clock, 100)
        result = await other.append(accepted(clock, 9, 960_000))
        assert isinstance(result.err_value, RecordTooLarge)

    run(scenario())


def test_missing_segment_is_an_error(store, clock, run):
    # Guards recovery against a silent loss of accepted jobs.
    async def scenario():
        journal = await opened(store, clock)
        await journal.append(accepted(clock, 1, 20_000))
        store.restore([entry for entry in store.entries() if "/segment/" not in entry.key])
        with pytest.raises(ProtocolError):
            await opened(store, clock, 2)

    run(scenario())


def test_open_while_the_store_is_down_can_be_repeated(store, clock, run):
    # Guards a claim against an outage in its midst.
    async def scenario():
        journal = Journal(store, clock, SHARD)
        store.mode = StoreMode.DOWN
        with pytest.raises(StoreUnavailableError):
            await journal.open(Epoch(1))
        assert isinstance((await journal.append(accepted(clock, 1))).err_value, Fenced)
        store.mode = StoreMode.UP
        store.answers_to_lose = 1
        assert await journal.open(Epoch(1)) == []
        assert (await journal.append(accepted(clock, 1))).is_ok()

    run(scenario())


def intent(number) -> StartIntent:
    return StartIntent(JobId(f"j{number}"), AttemptId(f"j{number}.0.1.0"), UpstreamId("u1"))


def test_state_keeps_intents_without_an_end(clock):
    # Guards G5: after a takeover the new owner must know which jobs may have been started.
    state = JournalState.replay([intent(1), intent(2), intent(1), completed(clock, 2)])
    assert state.intents_by_job_id == {JobId("j1"): [intent(1)]}


def test_state_drops_answers_after_ten_minutes_and_keeps_the_key(clock):
    # Guards the bound on answers, and G5: a repeated settlement after that must not run.
    key = KeyRecorded("k", JobId("j1"), "digest", None, clock.now())
    state = JournalState.replay([key, completed(clock, 1)])
    state.prune(clock.now() + timedelta(minutes=9, seconds=59))
    assert JobId("j1") in state.answer_by_job_id
    state.prune(clock.now() + timedelta(minutes=10))
    assert not state.answer_by_job_id and state.key_record_by_key["k"].ended
    state.prune(clock.now() + timedelta(hours=24))
    assert not state.key_record_by_key and not state.key_by_job_id


def test_key_is_free_after_not_run_and_kept_after_forgetting_a_job_that_ran(clock):
    # Guards a retry after "not run", and G5 after the answer was fetched.
    key = KeyRecorded("k", JobId("j1"), "digest", None, clock.now())
    refused = JobEnded(NotRun(JobId("j1"), RefusalReason.OVERLOAD, "full"), clock.now())
    assert not JournalState.replay([key, refused]).key_record_by_key
    ran = JobEnded(Unknown(JobId("j1"), "lost"), clock.now())
    for records in ([key, ran, JobForgotten(JobId("j1"))], [key, intent(1)]):
        assert "k" in JournalState.replay([*records, JobForgotten(JobId("j1"))]).key_record_by_key
    assert not JournalState.replay([key, JobForgotten(JobId("j1"))]).key_record_by_key


def test_checkpoint_records_replay_to_the_same_state(clock):
    # Guards compaction: a checkpoint that loses part of the state.
    key = KeyRecorded("k", JobId("j1"), "digest", None, clock.now())
    other = KeyRecorded("l", JobId("j4"), "digest", "tuzla", clock.now())
    records = [accepted(clock, 1), key, intent(1), accepted(clock, 2), completed(clock, 2), other]
    for count in range(len(records) + 1):
        state = JournalState.replay(records[:count])
        assert JournalState.replay(state.to_records()) == state
    state = JournalState.replay([*records, completed(clock, 1)])
    assert JournalState.replay(state.to_records()) == state
