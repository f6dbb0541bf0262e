"""Tests of idempotency keys: home data centre, matches, retention, rebuilding from the journal."""

from datetime import timedelta

import pytest

from hornbeamramp.idempotency import (
    AnsweredKey,
    EndedKey,
    JoinedKey,
    KeyConflict,
    KeyTable,
    KeyTableFull,
    NewKey,
    home_data_centre,
)
from hornbeamramp.ids import (
    AttemptId,
    DataCentreId,
    JobId,
    PoolName,
    RouteName,
    ShardId,
    TeamId,
    UpstreamId,
)
from hornbeamramp.jobs import BatchJob, Completed, NotRun
from hornbeamramp.journal import Journal
from hornbeamramp.journal_records import (
    JobAccepted,
    JobEnded,
    JournalState,
    KeyRecorded,
    StartIntent,
)
from hornbeamramp.states import RefusalReason

DATA_CENTRES = [DataCentreId(name) for name in ("gebze", "dilovasi", "tuzla", "izmit")]
JOB = JobId("j1")
COMPLETED = Completed(JOB, [], DataCentreId("gebze"))


def test_home_is_the_same_for_every_member_and_spread_evenly():
    # Guards against two homes of one key, which would run its job twice (G5).
    homes = [home_data_centre(f"key-{n}", DATA_CENTRES) for n in range(4_000)]
    assert homes == [home_data_centre(f"key-{n}", DATA_CENTRES[::-1]) for n in range(4_000)]
    assert all(800 < homes.count(name) < 1_200 for name in DATA_CENTRES)
    fewer = [home_data_centre(f"key-{n}", DATA_CENTRES[:3]) for n in range(4_000)]
    assert all(a == b for a, b in zip(homes, fewer, strict=True) if a != DATA_CENTRES[3])
    with pytest.raises(ValueError, match="no data centre"):
        home_data_centre("key", [])


def test_same_body_joins_then_gets_the_answer_and_another_body_conflicts(clock):
    # Guards against a repeated request that runs again (G5) or gets another request's answer (G3).
    table = KeyTable(clock)
    assert table.lookup("k", "digest") == NewKey()
    assert table.record("k", JOB, "digest", DATA_CENTRES[1]) == NewKey()
    assert table.record("k", JobId("j2"), "digest") == JoinedKey(JOB, DATA_CENTRES[1])
    assert table.record("k", JobId("j2"), "other") == KeyConflict(JOB)
    table.end(COMPLETED)
    assert table.record("k", JobId("j2"), "digest") == AnsweredKey(COMPLETED)
    assert table.lookup("k", "other") == KeyConflict(JOB)


def test_answer_is_dropped_first_and_the_key_a_day_later(clock):
    # Guards against unbounded memory, and against a second run of a repeated request after the
    # answer was dropped (G5).
    table = KeyTable(clock)
    table.record("k", JOB, "digest")
    table.end(COMPLETED)
    clock.set(timedelta(minutes=10))
    assert table.lookup("k", "digest") == EndedKey(JOB)
    clock.set(timedelta(hours=23, minutes=59))
    assert table.lookup("k", "digest") == EndedKey(JOB)
    clock.set(timedelta(hours=24))
    assert table.lookup("k", "digest") == NewKey() and len(table) == 0


def test_not_run_and_release_free_the_key(clock):
    # Guards against a retry after "not run" that is always answered with the first refusal.
    table = KeyTable(clock)
    table.record("k", JOB, "digest")
    table.end(NotRun(JOB, RefusalReason.OVERLOAD, "full"))
    assert table.record("k", JobId("j2"), "digest") == NewKey()
    table.release(JobId("j2"))
    assert table.lookup("k", "digest") == NewKey()


def test_release_keeps_the_key_of_a_job_that_may_have_run(clock):
    # Guards against a second run of a job with a start intent, which may be running (G5).
    table = KeyTable(clock)
    table.record("k", JOB, "digest")
    table.record_start_intent(StartIntent(JOB, AttemptId("j1.0.1.0"), UpstreamId("u1")))
    table.release(JOB)
    assert table.lookup("k", "digest") == EndedKey(JOB)


def test_number_of_keys_is_bounded(clock):
    # Guards against unbounded memory from a caller that uses a new key for each request.
    table = KeyTable(clock, limit=2)
    assert table.record("a", JobId("j1"), "digest") == NewKey()
    assert table.record("b", JobId("j2"), "digest") == NewKey()
    assert table.record("c", JobId("j3"), "digest") == KeyTableFull(2)
    assert table.record("a", JobId("j3"), "digest") == JoinedKey(JobId("j1"), None)


def test_table_is_rebuilt_from_the_journal(store, clock, run):
    # Guards against a second run of a repeated request after a change of owner (G5).
    async def scenario():
        journal = Journal(store, clock, ShardId("tickets@gebze"))
        await journal.open(1)
        job = BatchJob(
            id=JobId("j2"), route=RouteName("weigh"), pool=PoolName("tickets"), team=TeamId("yard")
        )
        for record in (
            KeyRecorded("k1", JOB, "digest"),
            KeyRecorded("k2", JobId("j2"), job.digest()),
            JobAccepted(job, clock.now()),
            JobEnded(COMPLETED, clock.now()),
        ):
            assert (await journal.append(record)).is_ok()
        records = await Journal(store, clock, ShardId("tickets@gebze")).open(2)
        state = JournalState.replay(records)
        table = KeyTable(clock, state)
        assert table.lookup("k1", "digest") == AnsweredKey(COMPLETED)
        assert table.lookup("k2", job.digest()) == JoinedKey(JobId("j2"), None)
        table.end(NotRun(JobId("j2"), RefusalReason.EXPIRED, "late"))
        assert "k2" in state.key_record_by_key

    run(scenario())
