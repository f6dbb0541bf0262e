"""Group commit of a pool's job records, by load."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.journal import Journal
from hornbeamramp.workload import StepSpec
from tests.model.virtual_time import LoopClock, run_in_virtual_time
from tests.poolowner.builders import record

COMMIT_S = 0.02


class Claim:
    """Claim whose commits take 20 ms; records how many records each has."""

    own_entries = 2

    def __init__(self):
        self.sizes = []

    async def commit(self, puts, deletes, absent):
        self.sizes.append(len(puts))
        await asyncio.sleep(COMMIT_S)


def run_with_journal(scenario):
    async def main():
        claim = Claim()
        store = SimpleNamespace(max_entries=32)
        journal = Journal("pool", claim, store, LoopClock(), lambda job: None)
        task = asyncio.create_task(journal.run())
        try:
            await scenario(journal, claim)
        finally:
            task.cancel()

    run_in_virtual_time(main())


def mark(journal, jobs):
    for _ in range(jobs):
        journal.mark_dirty(Job(record(StepSpec(1, 1000, 100))))


def test_burst_of_changes_is_committed_without_pauses():
    """Guards against commits that pause to collect changes while more wait than one can hold: in a
    burst, every start and every acceptance waited for them."""

    async def scenario(journal, claim):
        started = asyncio.get_running_loop().time()
        mark(journal, 150)
        await journal.wait_recorded()
        elapsed = asyncio.get_running_loop().time() - started
        assert claim.sizes == [30] * 5
        assert elapsed < 5 * COMMIT_S + 0.025

    run_with_journal(scenario)


def test_few_changes_are_collected_into_one_commit():
    async def scenario(journal, claim):
        mark(journal, 1)
        await asyncio.sleep(0.01)
        mark(journal, 1)
        await journal.wait_recorded()
        assert claim.sizes == [2]

    run_with_journal(scenario)


def test_counts_of_a_period_are_told_once():
    async def scenario(journal, claim):
        mark(journal, 31)
        await journal.wait_recorded()
        counts = journal.take_counts()
        assert (counts.commits, counts.records, counts.waiting) == (2, 31, 0)
        assert counts.longest >= timedelta(seconds=COMMIT_S)
        assert journal.take_counts().commits == 0

    run_with_journal(scenario)
