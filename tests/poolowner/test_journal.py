"""Group commit of a pool's job records, by load."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from hornbeamramp.ids import QueueAddress
from hornbeamramp.poolowner import AddressRecords
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.journal import MAX_GROUPS, Journal
from hornbeamramp.statestore import decode_group, progress_key
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.virtual_time import LoopClock, run_in_virtual_time
from tests.poolowner.builders import record

COMMIT_S = 0.02
ADDRESS = QueueAddress("kaya/gate/")


class Claim:
    """Claim whose commits take 20 ms; records how many records each has."""

    own_entries = 2
    token = 7

    def __init__(self, may_group):
        self.may_group = may_group
        self.sizes = []
        self.value_by_key = {}

    async def commit(self, puts, deletes, revision_by_key):
        assert len(puts) + len(deletes) + len(revision_by_key) <= 30
        self.sizes.append(len(puts))
        self.value_by_key.update({put.key: put.value for put in puts})
        for key in deletes:
            del self.value_by_key[key]
        await asyncio.sleep(COMMIT_S)
        return len(self.sizes)

    def jobs_by_group(self):
        groups = {k: decode_group(v) for k, v in self.value_by_key.items() if "/group/" in k}
        return {key: set(group.progress_by_job) for key, group in groups.items()}


def run_with_journal(scenario, may_group=False):
    async def main():
        claim = Claim(may_group)
        store = SimpleNamespace(max_entries=32)
        journal = Journal(
            "pool",
            claim,
            store,
            LoopClock(),
            lambda job: None,
            lambda: claim.may_group,
            AddressRecords(lambda key: None),
        )
        task = asyncio.create_task(journal.run())
        try:
            await scenario(journal, claim)
        finally:
            task.cancel()

    run_in_virtual_time(main())


def mark(journal, jobs):
    """Marks new jobs as changed and returns them."""
    changed = [Job(record(StepSpec(1, 1000, 100))) for _ in range(jobs)]
    for job in changed:
        journal.mark_dirty(job)
    return changed


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
        await asyncio.sleep(0.004)
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


def test_changes_of_all_jobs_fit_into_one_commit():
    """Guards against starts and ends that wait for seconds in a burst, as a commit holds the
    progress of 30 jobs only (further-grown trouble-1: 227 waiting, 0.4 s for each change)."""

    async def scenario(journal, claim):
        mark(journal, 150)
        await journal.wait_recorded()
        assert claim.sizes == [1]

    run_with_journal(scenario, may_group=True)


def test_groups_without_a_job_are_deleted_and_old_ones_are_emptied():
    """Guards against groups that add up in the store, all of which a new owner has to read."""

    async def scenario(journal, claim):
        lasting = mark(journal, 100)
        await journal.wait_recorded()
        for number in range(300):
            journal.mark_dirty(lasting[number % 90])
            await journal.wait_recorded()
        await asyncio.sleep(0.2)
        groups = claim.jobs_by_group()
        assert len(groups) <= MAX_GROUPS + 2
        assert set().union(*groups.values()) == {job.record.job_id for job in lasting}

    run_with_journal(scenario, may_group=True)


def test_final_progress_has_a_key_of_its_own_and_leaves_the_group():
    async def scenario(journal, claim):
        ended, other = mark(journal, 2)
        await journal.wait_recorded()
        ended.close(JobPhase.COMPLETED, 1)
        journal.mark_dirty(ended)
        journal.mark_dirty(other)
        await journal.wait_recorded()
        mark(journal, 1)
        await journal.wait_recorded()
        assert progress_key("pool", ended.record.job_id) in claim.value_by_key
        newest = list(claim.jobs_by_group().values())
        assert {other.record.job_id} in newest
        assert all(ended.record.job_id not in jobs for jobs in newest)

    run_with_journal(scenario, may_group=True)


def test_groups_are_dissolved_once_an_older_process_may_take_over():
    """Guards against tasks that an owner of an earlier version starts again, as it does not read
    groups."""

    async def scenario(journal, claim):
        jobs = mark(journal, 40)
        await journal.wait_recorded()
        claim.may_group = False
        mark(journal, 1)
        await journal.wait_recorded()
        await asyncio.sleep(0.2)
        mark(journal, 1)
        await journal.wait_recorded()
        assert claim.jobs_by_group() == {}
        keys = {progress_key("pool", job.record.job_id) for job in jobs}
        assert keys <= claim.value_by_key.keys()

    run_with_journal(scenario, may_group=True)


def test_jobs_of_a_former_owner_keep_their_groups_alive():
    async def scenario(journal, claim):
        former = Job(record(StepSpec(1, 1000, 100)))
        claim.value_by_key = {"hbr/group/pool/3-1": b"", "hbr/group/pool/3-2": b""}
        journal.adopt_groups(list(claim.value_by_key), {former: "hbr/group/pool/3-1"})
        mark(journal, 1)
        await journal.wait_recorded()
        assert "hbr/group/pool/3-1" in claim.value_by_key
        assert "hbr/group/pool/3-2" not in claim.value_by_key

    run_with_journal(scenario, may_group=True)


def test_time_to_record_a_job_grows_with_those_that_wait():
    """Guards against jobs that are taken on although recording them takes longer than callers wait:
    in a burst with a slow store, all callers waited for 5 s (large trouble-2)."""

    async def scenario(journal, claim):
        mark(journal, 1)
        await journal.wait_recorded()
        assert journal.insert_queue_time() == timedelta(0)
        for _ in range(45):
            journal.insert(Job(record(StepSpec(1, 1000, 100))), ADDRESS)
        assert journal.insert_queue_time() == timedelta(seconds=3 * COMMIT_S)
        await asyncio.sleep(1)
        assert journal.insert_queue_time() == timedelta(0)

    run_with_journal(scenario, may_group=True)
