"""What learned durations cost in the store, and what becomes of them in a takeover."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.clock import ManualClock
from hornbeamramp.errors import Step, StoreUnavailableError
from hornbeamramp.poolowner.learned_durations import LearnedDurations
from hornbeamramp.poolowner.learned_record import WRITE_INTERVAL, LearnedRecorder
from hornbeamramp.poolowner.recovery import read_jobs
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.statestore import LearnedRecord, LearnedTerm
from hornbeamramp.statestore.records import encode, learned_key
from hornbeamramp.workload import StepSpec
from tests.model.cell import POOL as CELL_POOL
from tests.model.cell import ModelCell, job
from tests.model.virtual_time import run_in_virtual_time
from tests.poolowner.test_learned_durations import USUAL, attempt_of, step_of
from tests.poolowner.test_recovery import POOL, Store

RECORD = LearnedRecord({17: LearnedTerm(700, 12_000, 90, 40)}, {"w1": -500})


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def durations():
    return LearnedDurations(WorkerSpeeds())


@pytest.fixture
def recorder(clock, durations):
    return LearnedRecorder(POOL, durations, clock)


def end_run(durations):
    step = step_of(StepSpec(1, 1000, 100, estimate_ms=1000))
    durations.record_run(attempt_of(step), 2.0, 1.0)


def read_learned(store):
    return asyncio.run(read_jobs(store, POOL)).learned


def test_record_is_written_once_in_an_interval_and_only_if_it_has_changed(
    clock, durations, recorder
):
    """Guards against a record in each commit, which costs the store and the other commits."""
    clock.set(clock.boot_time() + WRITE_INTERVAL)
    assert recorder.due() is None
    end_run(durations)
    assert recorder.due().key == learned_key(POOL)
    # The commit has failed, so it is due again.
    assert recorder.due() is not None
    recorder.mark_written()
    end_run(durations)
    assert recorder.due() is None
    clock.set(clock.boot_time() + WRITE_INTERVAL)
    assert recorder.due() is not None
    recorder.mark_written()
    clock.set(clock.boot_time() + WRITE_INTERVAL)
    assert recorder.due() is None


def test_successor_reads_what_was_written(clock, durations, recorder):
    """Guards against a record that its own version can't read."""
    end_run(durations)
    clock.set(clock.boot_time() + WRITE_INTERVAL)
    put = recorder.due()
    store = Store()
    store.put(put.key, put.value)
    successor = LearnedDurations(WorkerSpeeds())
    successor.restore(read_learned(store), {USUAL})
    step = step_of(StepSpec(1, 1000, 100, estimate_ms=1000))
    assert successor.ratio(step) == pytest.approx(durations.ratio(step), rel=0.02)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xc1",
        encode({"version": 1}),
        encode({"version": 2, "term_by_key": {}, "log_speed_by_worker": {}}),
        encode(LearnedRecord({1: LearnedTerm("x", 1, 1, 1)}, {})),
        encode(LearnedRecord({}, {"w": 1})) + b"x",
        b"\x91" * 200_000,
    ],
)
def test_unusable_record_is_ignored(value):
    """Guards against a pool without an owner, as what it learned is corrupt, of a later version or
    larger than any that is written."""
    store = Store()
    job_id = store.put_job()
    store.put(learned_key(POOL), value)
    records = asyncio.run(read_jobs(store, POOL))
    assert records.learned is None
    assert [stored.record.job_id for stored in records.jobs] == [job_id]


def test_numbers_out_of_range_do_not_break_estimates():
    """Guards against an owner whose passes fail on what a corrupt record made it expect."""
    term = LearnedTerm(10**15, -5, -1, 10**18)
    step = step_of(StepSpec(1, 1000, 100, estimate_ms=1000))
    durations = LearnedDurations(WorkerSpeeds())
    end_run(durations)
    keys = list(durations.to_record().term_by_key)
    durations.restore(LearnedRecord(dict.fromkeys(keys, term), {"w1": -(10**15)}), {"w1"})
    assert timedelta(0) < durations.duration(step, "w1", 0.9) < timedelta(days=365)


@pytest.mark.parametrize("failure", ["no answer", "refused"])
def test_takeover_does_not_wait_for_what_was_learned(failure):
    """Guards against a takeover held up by a read that it can do without."""
    store = Store()
    store.put_job()

    async def get(key):
        if failure == "refused":
            raise StoreUnavailableError(Step.JOURNAL, "store", "busy")
        await asyncio.sleep(60)

    store.get = get
    records = run_in_virtual_time(read_jobs(store, POOL))
    assert records.learned is None
    assert len(records.jobs) == 1


def test_owner_passes_on_what_it_learned():
    """Guards against a takeover after which short work is ordered by its submitters' estimates."""

    async def scenario():
        async with ModelCell(vms=2) as cell:
            first = await cell.wait_for_owner()
            for number in range(12):
                job_id = f"{number:016x}"
                spec = job(StepSpec(4, 1000, 100, estimate_ms=500))
                await cell.submit(job_id, spec, vm=first)
                await asyncio.sleep(1.0)
            learned = first.owner.durations.to_record()
            assert learned.term_by_key
            await first.kill()
            second = await cell.wait_for_owner()
            assert second is not first
            return learned, second.owner_of(CELL_POOL).durations.to_record()

    learned, taken_over = run_in_virtual_time(scenario())
    assert taken_over.term_by_key.keys() == learned.term_by_key.keys()
