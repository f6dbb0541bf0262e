"""Tests of the shard journal: group commit, fencing, lost replies, compaction, retention."""

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


async def open_journal(store, clock, epoch=1) -> Journal:
    journal = Journal(store, clock, SHARD)
    await journal.open(Epoch(epoch))
    return journal


async def advance_until_done(clock, coroutine, step=SECOND):
    """Runs the coroutine while the clock moves."""
    task = asyncio.create_task(coroutine)
    for _ in range(20):
        await clock.advance(step)
        if task.done():
            break
    return await asyncio.wait_for(task, 5)


async def load_state(store, clock, epoch=99) -> JournalState:
    records = await Journal(store, clock, SHARD).open(Epoch(epoch))
    return JournalState.replay(records)


def test_concurrent_appends_share_few_writes(store, clock, run):
    # Guards against a write per record, which would exceed the store's write rate at peak.
    async def scenario():
        journal = await open_journal(store, clock)
        puts_before = store.calls_by_name["put"]
        results = await asyncio.gather(
            *(journal.append(accepted(clock, number, 0)) for number in range(50))
        )
        assert results == [Ok(None)] * 50
        assert store.calls_by_name["put"] - puts_before <= 2
        assert len((await load_state(store, clock)).live_job_by_id) == 50

    run(scenario())


def test_records_are_replayed_in_order_over_many_segments(store, clock, run):
    # Guards against records lost or reordered when the inline records move to a segment.
    async def scenario():
        journal = await open_journal(store, clock)
        for number in range(40):
            assert (await journal.append(accepted(clock, number, 2_000))).is_ok()
        assert any("/segment/" in entry.key for entry in store.entries())
        records = await Journal(store, clock, SHARD).open(Epoch(2))
        assert [record.job.id for record in records] == [f"j{n}" for n in range(40)]

    run(scenario())


def test_append_of_the_old_owner_fails_after_a_claim(store, clock, run):
    # Guards against two writers: a paused owner that appends to its successor's journal.
    async def scenario():
        old = await open_journal(store, clock, 1)
        await old.append(accepted(clock, 1))
        new = await open_journal(store, clock, 2)
        assert JobId("j1") in new.state.live_job_by_id
        result = await advance_until_done(clock, old.append(accepted(clock, 2)))
        assert result.err_value.epoch == 2 and isinstance(result.err_value, Fenced)
        puts = store.calls_by_name["put"]
        assert isinstance((await old.append(accepted(clock, 3))).err_value, Fenced)
        assert store.calls_by_name["put"] == puts
        assert (await new.append(accepted(clock, 4))).is_ok()
        assert set((await load_state(store, clock)).live_job_by_id) == {"j1", "j4"}

    run(scenario())


def test_append_between_read_and_claim_is_replayed(store, clock, run):
    # Guards against a claim that overwrites a record the old owner reported as durable.
    async def scenario():
        old = await open_journal(store, clock, 1)
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
        recorded_ids = {record.job.id for record in records}
        assert (await append).is_ok() == ("j20" in recorded_ids)
        assert {f"j{n}" for n in range(20)} <= recorded_ids

    run(scenario())


def test_open_with_a_lower_epoch_fails(store, clock, run):
    # Guards against a late claim by an owner that a higher epoch has superseded.
    async def scenario():
        await open_journal(store, clock, 5)
        with pytest.raises(ConflictError):
            await open_journal(store, clock, 4)

    run(scenario())


def test_lost_answer_is_resolved_by_the_write_id(store, clock, run):
    # Guards against a record written twice, and against a durable record reported as unknown.
    async def scenario():
        journal = await open_journal(store, clock)
        store.answers_to_lose = 1
        puts = store.calls_by_name["put"]
        assert await advance_until_done(clock, journal.append(accepted(clock, 1))) == Ok(None)
        assert store.calls_by_name["put"] == puts + 1
        assert journal.state == await load_state(store, clock)

    run(scenario())


def test_store_that_is_down_reports_not_run_at_once(store, clock, run):
    # Guards against a late or "unknown" result when no write was sent, so that the record can't
    # be in the store.
    async def scenario():
        journal = await open_journal(store, clock)
        store.mode = StoreMode.DOWN
        result = await journal.append(accepted(clock, 1))
        assert result.err_value.outcome == "not_run"
        store.mode = StoreMode.UP
        assert (await journal.append(accepted(clock, 2))).is_ok()
        assert set((await load_state(store, clock)).live_job_by_id) == {"j2"}

    run(scenario())


def test_unresolved_write_is_unknown_and_later_appends_go_on(store, clock, run):
    # Guards against "not run" for a write that took effect, and against an owner that considers
    # itself fenced when it reads its own head.
    async def scenario():
        journal = await open_journal(store, clock)
        store.mode = StoreMode.LOSE_ANSWERS
        result = await advance_until_done(clock, journal.append(accepted(clock, 1)))
        assert isinstance(result.err_value, JournalUnavailable)
        assert result.err_value.outcome == "unknown"
        store.mode = StoreMode.UP
        assert await advance_until_done(clock, journal.append(accepted(clock, 2))) == Ok(None)
        assert set((await load_state(store, clock)).live_job_by_id) == {"j1", "j2"}

    run(scenario())


def test_lost_answer_followed_by_a_claim_is_unknown(store, clock, run):
    # Guards against "not in the journal" for a record that the next owner has taken over.
    async def scenario():
        old = await open_journal(store, clock, 1)
        store.mode = StoreMode.LOSE_ANSWERS
        append = asyncio.create_task(old.append(accepted(clock, 1)))
        for _ in range(5):
            await asyncio.sleep(0)
        store.mode = StoreMode.UP
        new = await open_journal(store, clock, 2)
        assert JobId("j1") in new.state.live_job_by_id
        await clock.advance(SECOND)
        error = (await append).err_value
        assert isinstance(error, Fenced) and error.outcome == "unknown"

    run(scenario())


def test_store_that_returns_older_gets_the_journal_back(store, clock, run):
    # Guards against the loss of durable records when the store returns with older or no data.
    async def scenario():
        journal = await open_journal(store, clock)
        await journal.append(accepted(clock, 1))
        saved_entries = store.entries()
        await journal.append(accepted(clock, 2))
        store.restore(saved_entries)
        assert await journal.check() == Ok(None)
        assert set((await load_state(store, clock, 1)).live_job_by_id) == {"j1", "j2"}
        await journal.open(Epoch(2))
        store.restore([])
        assert await advance_until_done(clock, journal.append(accepted(clock, 3))) == Ok(None)
        assert set((await load_state(store, clock)).live_job_by_id) == {"j1", "j2", "j3"}

    run(scenario())


def test_compaction_bounds_what_the_store_holds(store, clock, run):
    # Guards against unbounded growth of the store from ended jobs and expired answers.
    async def scenario():
        journal = await open_journal(store, clock)
        for number in range(400):
            await journal.append(accepted(clock, number, 2_000))
            await journal.append(completed(clock, number))
            await clock.advance(30 * SECOND)
        await journal.close()
        stored_bytes = sum(len(entry.value) for entry in store.entries())
        assert stored_bytes < 400_000
        keys = {entry.key for entry in store.entries()}
        head = journal._head
        assert keys == {f"journal/{SHARD}", *(r.key for r in [*head.checkpoint, *head.segments])}
        state = JournalState.replay(await Journal(store, clock, SHARD).open(Epoch(2)), clock.now())
        assert not state.live_job_by_id and len(state.answer_by_job_id) == 19

    run(scenario())


def test_large_state_is_split_into_values_the_store_takes(store, clock, run):
    # Guards against compaction that writes values above 1 MB, which the store refuses.
    async def scenario():
        journal = await open_journal(store, clock)
        for number in range(4):
            assert (await journal.append(accepted(clock, number, 800_000))).is_ok()
        await journal.close()
        assert len((await load_state(store, clock)).live_job_by_id) == 4
        other = await open_journal(store, clock, 100)
        result = await other.append(accepted(clock, 9, 960_000))
        assert isinstance(result.err_value, RecordTooLarge)

    run(scenario())


def test_missing_segment_is_an_error(store, clock, run):
    # Guards against recovery that loses accepted jobs without an error.
    async def scenario():
        journal = await open_journal(store, clock)
        await journal.append(accepted(clock, 1, 20_000))
        store.restore([entry for entry in store.entries() if "/segment/" not in entry.key])
        with pytest.raises(ProtocolError):
            await open_journal(store, clock, 2)

    run(scenario())


def test_open_while_the_store_is_down_can_be_repeated(store, clock, run):
    # Guards against a claim that an outage of the store leaves impossible to repeat.
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
    # Guards against a new owner that starts a job again that may have been started (G5).
    state = JournalState.replay([intent(1), intent(2), intent(1), completed(clock, 2)])
    assert state.intents_by_job_id == {JobId("j1"): [intent(1)]}


def test_state_drops_answers_after_ten_minutes_and_keeps_the_key(clock):
    # Guards against unbounded answers, and against a second run of a repeated request after its
    # answer was dropped (G5).
    key = KeyRecorded("k", JobId("j1"), "digest", None, clock.now())
    state = JournalState.replay([key, completed(clock, 1)])
    state.prune(clock.now() + timedelta(minutes=9, seconds=59))
    assert JobId("j1") in state.answer_by_job_id
    state.prune(clock.now() + timedelta(minutes=10))
    assert not state.answer_by_job_id and state.key_record_by_key["k"].ended
    state.prune(clock.now() + timedelta(hours=24))
    assert not state.key_record_by_key and not state.key_by_job_id


def test_key_is_free_after_not_run_and_kept_after_forgetting_a_job_that_ran(clock):
    # Guards against a refused retry after "not run", and against a second run after the answer
    # was fetched (G5).
    key = KeyRecorded("k", JobId("j1"), "digest", None, clock.now())
    refused = JobEnded(NotRun(JobId("j1"), RefusalReason.OVERLOAD, "full"), clock.now())
    assert not JournalState.replay([key, refused]).key_record_by_key
    ran = JobEnded(Unknown(JobId("j1"), "lost"), clock.now())
    for records in ([key, ran, JobForgotten(JobId("j1"))], [key, intent(1)]):
        assert "k" in JournalState.replay([*records, JobForgotten(JobId("j1"))]).key_record_by_key
    assert not JournalState.replay([key, JobForgotten(JobId("j1"))]).key_record_by_key


def test_checkpoint_records_replay_to_the_same_state(clock):
    # Guards against a compaction whose checkpoint loses part of the state.
    key = KeyRecorded("k", JobId("j1"), "digest", None, clock.now())
    other = KeyRecorded("l", JobId("j4"), "digest", "tuzla", clock.now())
    records = [accepted(clock, 1), key, intent(1), accepted(clock, 2), completed(clock, 2), other]
    for count in range(len(records) + 1):
        state = JournalState.replay(records[:count])
        assert JournalState.replay(state.to_records()) == state
    state = JournalState.replay([*records, completed(clock, 1)])
    assert JournalState.replay(state.to_records()) == state
