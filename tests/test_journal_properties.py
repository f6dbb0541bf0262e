"""Property tests of the journal: a durable record is in every later replay until forgotten."""

import asyncio
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from hornbeamramp.clock import ManualClock
from hornbeamramp.errors import ConflictError, StoreUnavailableError
from hornbeamramp.ids import Epoch, JobId, PoolName, RouteName, ShardId, TeamId
from hornbeamramp.jobs import BatchJob, Unknown
from hornbeamramp.journal import Journal
from hornbeamramp.journal_records import JobAccepted, JobEnded, JobForgotten, JournalState
from hornbeamramp.platforms.memory import MemoryPlatform, StoreMode

SHARD = ShardId("tickets@gebze")

steps = st.lists(
    st.one_of(
        st.tuples(st.just("accept"), st.integers(0, 9), st.sampled_from([10, 3000, 20_000])),
        st.tuples(st.just("accept"), st.integers(0, 9), st.just(10)),
        st.tuples(st.just("end"), st.integers(0, 9)),
        st.tuples(st.just("forget"), st.integers(0, 9)),
        st.tuples(st.just("advance"), st.sampled_from([0, 0.05, 0.2, 2, 10])),
        st.tuples(st.just("mode"), st.sampled_from(list(StoreMode))),
        st.tuples(st.just("mode"), st.just(StoreMode.UP)),
        st.tuples(st.just("lose"), st.integers(1, 5)),
        st.tuples(st.just("claim")),
        st.tuples(st.just("save")),
        st.tuples(st.just("restore")),
    ),
    min_size=5,
    max_size=40,
)


class JournalScenario:
    """Runs successive owners of one shard and records the result of each append."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryPlatform(self.clock)
        self.journals = []
        self.epoch = 0
        self.saved_entries = None
        self.restored = False
        # Each entry: index of the journal, record and the task of its append, in order.
        self.appends = []

    async def run_to_end(self, coroutine):
        task = asyncio.create_task(coroutine)
        while not task.done():
            await self.clock.advance(timedelta(milliseconds=100))
        return task.result()

    async def claim(self) -> None:
        # After an outage of the store the current owner checks its journal before another member
        # may claim (design page, 4.2). If the owner fails before that, the loss is permanent.
        if self.restored and (await self.run_to_end(self.journals[-1].check())).is_err():
            return
        self.restored = False
        self.epoch += 1
        journal = Journal(self.store, self.clock, SHARD)
        try:
            await self.run_to_end(journal.open(Epoch(self.epoch)))
        except (StoreUnavailableError, ConflictError):
            return
        self.journals.append(journal)
        self.saved_entries = None

    async def run(self, script) -> None:
        await self.claim()
        for step in script:
            await self.apply_step(*step)
        self.store.mode, self.store.answers_to_lose = StoreMode.UP, 0
        await self.clock.advance(timedelta(seconds=10))
        assert all(task.done() for *_, task in self.appends)
        assert self.journals[-1]._fenced is not None or (
            await self.run_to_end(self.journals[-1].check())
        ) == Ok(None)
        last = Journal(self.store, self.clock, SHARD)
        records = await last.open(Epoch(self.epoch + 1))
        self.check(JournalState.replay(records))

    async def apply_step(self, kind, *arguments) -> None:
        match kind, arguments:
            case "accept", (number, size):
                self.append(JobAccepted(make_job(number, size), self.clock.now()))
            case "end", (number,):
                self.append(JobEnded(Unknown(JobId(f"j{number}"), "test"), self.clock.now()))
            case "forget", (number,):
                self.append(JobForgotten(JobId(f"j{number}")))
            case "advance", (seconds,):
                await self.clock.advance(timedelta(seconds=seconds))
            case "mode", (mode,):
                self.store.mode = mode
            case "lose", (count,):
                self.store.answers_to_lose = count
            case "claim", ():
                await self.claim()
            case "save", ():
                self.saved_entries = self.store.entries()
            case "restore", ():
                # A restore to a state before the current owner's claim is a fault of ownership.
                if self.saved_entries is not None:
                    self.store.restore(self.saved_entries)
                    self.restored = True

    def append(self, record) -> None:
        # The previous owner appends too; its records count if they are reported durable.
        for index, journal in enumerate(self.journals[-2:]):
            if index == 0 and len(self.journals) > 1 and not isinstance(record, JobAccepted):
                continue
            task = asyncio.create_task(journal.append(record))
            self.appends.append((record, task))

    def check(self, state) -> None:
        live, durable_answers, may_be_recorded, not_run = set(), set(), set(), set()
        uncertain = set()
        for record, task in self.appends:
            result = task.result()
            job_id = job_of(record)
            if isinstance(result, Ok):
                if isinstance(record, JobAccepted) and job_id not in durable_answers:
                    live.add(job_id)
                elif isinstance(record, JobEnded):
                    durable_answers.add(job_id)
                    live.discard(job_id)
                elif isinstance(record, JobForgotten):
                    live.discard(job_id)
                    durable_answers.discard(job_id)
            elif result.err_value.outcome == "unknown":
                uncertain.add(job_id)
            if isinstance(record, JobAccepted):
                not_run.add(job_id)
                if isinstance(result, Ok) or job_id in uncertain:
                    may_be_recorded.add(job_id)
        for job_id in live - uncertain:
            assert job_id in state.live_job_by_id, "a durable job was lost"
        for job_id in durable_answers - uncertain:
            assert job_id in state.answer_by_job_id, "a durable answer was lost"
        for job_id in state.live_job_by_id:
            assert (
                job_id not in not_run - may_be_recorded
            ), "reported as not run, yet in the journal"


def job_of(record) -> JobId:
    if isinstance(record, JobAccepted):
        return record.job.id
    return record.outcome.job_id if isinstance(record, JobEnded) else record.job_id


def make_job(number: int, size: int) -> BatchJob:
    return BatchJob(
        id=JobId(f"j{number}"),
        route=RouteName("weigh"),
        pool=PoolName("tickets"),
        team=TeamId("yard"),
        payload=b"x" * size,
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(steps)
def test_durable_records_are_in_every_later_replay(script):
    # Guards against a job that is reported as accepted for later execution and then lost.
    asyncio.run(JournalScenario().run(script))
