"""Placement within the quotas of accounts, by load: an account floods a pool with far more than its
quota, and others have a part of theirs."""

import asyncio
from collections import Counter
from datetime import timedelta

import msgspec
import pytest

from hornbeamramp.accounts.quotas import Allotment, QuotaRecord
from hornbeamramp.accounts.usage import AccountUsage
from hornbeamramp.fleet import WorkerSession
from hornbeamramp.ids import AccountId, PoolName
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.placer import ALLOTMENT_TIME, Placer
from hornbeamramp.poolowner.quota_keeper import QuotaKeeper
from hornbeamramp.poolowner.waiting import WaitReason
from hornbeamramp.statestore import Item
from hornbeamramp.statestore.records import encode, quota_key
from hornbeamramp.workload import (
    AccountQuota,
    ClientAccount,
    ClusterConfig,
    Pool,
    StepSpec,
)
from tests.poolowner.builders import record, running, session
from tests.poolowner.test_placer import Owner, placed_on

POOL = PoolName("pool")
HOT, STEADY = AccountId("hot"), AccountId("steady")
ALLOTTED = (4000, 0, 0)
TASKS = StepSpec(9, 1000, 100, estimate_ms=500)
GANG = StepSpec(6, 1000, 100, estimate_ms=500, gang=True)


class StoredAllotments:
    """Copy of the quota records with that of the pool."""

    def __init__(self, on_change):
        self._on_change = on_change
        allotments = {account: Allotment(ALLOTTED) for account in (HOT, STEADY)}
        key = quota_key(POOL)
        self.item_by_key = {key: Item(key, encode(QuotaRecord(1, allotments)), 7, 7)}

    async def refresh(self):
        self._on_change(set(self.item_by_key))


class LimitedOwner(Owner):
    """Fake owner of a pool whose accounts have quotas, and an allotment of 4 cores each."""

    pool = POOL
    token = 5

    def __init__(self, workers):
        self.usage = AccountUsage()
        super().__init__([session(f"w{n:03}", usage=self.usage) for n in range(workers)])
        accounts = (ClientAccount(a, quota=AccountQuota(8000)) for a in (HOT, STEADY))
        self.config = ClusterConfig(
            1, {}, {POOL: Pool(POOL)}, account_by_id={a.id: a for a in accounts}
        )
        self.job_by_id = {}
        self.keeper = QuotaKeeper(
            self,
            self.usage,
            None,
            lambda prefix, on_change: StoredAllotments(on_change),
            self.clock,
            timedelta(seconds=10),
        )
        self.placer = Placer(self, self.launcher, self.clock, quotas=self.keeper)
        asyncio.run(self.keeper.load())

    def wake(self):
        pass

    def send(self, account, *steps, name="batch", priority=2):
        job_record = record(*steps, priority=priority, queue=name, accepted_ms=self.now_ms())
        job = Job(msgspec.structs.replace(job_record, account=account))
        job.open_occurrence(0)
        self.placer.add(job.ready_steps())
        return job.steps_by_occurrence[0][0]


def test_as_many_tasks_start_as_the_allotment_has_room_for():
    owner = LimitedOwner(4)
    hot, steady = owner.send(HOT, TASKS), owner.send(STEADY, TASKS)
    owner.placer.schedule()
    assert len(placed_on(hot)) == len(placed_on(steady)) == 4
    assert hot.wait.reason is WaitReason.QUOTA
    assert owner.usage.used(HOT) == (4000, 400, 0)


def test_account_without_quota_is_not_limited():
    owner = LimitedOwner(4)
    other = owner.send(AccountId("other"), TASKS)
    owner.placer.schedule()
    assert len(placed_on(other)) == 9


def test_gang_without_room_for_all_members_starts_none_and_keeps_no_capacity():
    owner = LimitedOwner(1)
    gang = owner.send(HOT, GANG, name="gate", priority=0)
    owner.grant(gang, "w000")
    steady = owner.send(STEADY, TASKS)
    owner.placer.schedule()
    assert placed_on(gang) == []
    assert gang.wait.reason is WaitReason.QUOTA
    assert len(placed_on(steady)) == 4


def test_step_without_room_asks_for_no_advice_and_preempts_nothing():
    """Advice is the scarce resource of all, and a run stopped for a task that can't start is lost
    work."""
    owner = LimitedOwner(1)
    [worker] = owner.session_by_worker.values()
    first = owner.send(HOT, TASKS)
    owner.placer.schedule()
    assert len(placed_on(first)) == 4
    whole = StepSpec(1, 4000, 100, estimate_ms=5000, checkpointing=True)
    victim = running(worker, whole, priority=2)
    second = owner.send(HOT, TASKS, name="gate", priority=0)
    owner.placer.schedule()
    assert owner.launcher.asked == []
    assert not victim.stop_wanted
    assert second.wait.reason is WaitReason.QUOTA


@pytest.mark.parametrize(("account", "stops"), [(HOT, 4), (AccountId("other"), 9)])
def test_preemption_makes_room_only_for_what_may_start(account, stops):
    owner = LimitedOwner(9)
    for worker in owner.session_by_worker.values():
        for _ in range(8):
            running(worker, StepSpec(1, 1000, 100, checkpointing=True), priority=2)
    step = owner.send(account, TASKS, priority=0)
    owner.placer.schedule()
    stopped = [
        attempt
        for worker in owner.session_by_worker.values()
        for attempt in worker.attempt_by_key.values()
        if attempt.stop_wanted
    ]
    assert step.wait.reason is WaitReason.CAPACITY
    assert len(stopped) == stops


def test_step_that_waits_for_room_keeps_later_steps_of_its_account_from_taking_it():
    """Small tasks would take each bit of room that a gang waits for. They get their turn after two
    seconds, as the gang may never get its room."""
    owner = LimitedOwner(4)
    gang = owner.send(HOT, GANG, priority=0)
    small = owner.send(HOT, StepSpec(1, 1000, 100, estimate_ms=500))
    owner.placer.schedule()
    assert placed_on(gang) == placed_on(small) == []
    owner.clock.set(owner.clock.boot_time() + timedelta(seconds=2.1))
    owner.placer.schedule()
    assert len(placed_on(small)) == 1


@pytest.mark.parametrize("steps", [20, 200])
def test_flood_beyond_the_quota_costs_a_pass_no_look_at_the_workers_per_step(steps, monkeypatch):
    owner = LimitedOwner(120)
    for worker in owner.session_by_worker.values():
        running(worker, StepSpec(1, 7500, 100), priority=0)
    # Small tasks that still fit, so that all workers are looked at for the others.
    owner.send(STEADY, StepSpec(20, 400, 100, estimate_ms=500))
    for _ in range(steps):
        owner.send(HOT, StepSpec(9, 5000, 100, estimate_ms=500))
    owner.placer.schedule()
    looks = Counter()
    free = WorkerSession.free

    def counting(worker):
        looks["workers"] += 1
        return free(worker)

    monkeypatch.setattr(WorkerSession, "free", counting)
    owner.placer.schedule()
    assert looks["workers"] < 3 * len(owner.session_by_worker)


def batch_run(worker, account, percent=10.0):
    """Adds a checkpointing batch run of an account."""
    step = StepSpec(1, 2000, 100, checkpointing=True)
    return running(worker, step, priority=2, percent=percent, account=account)


def wait_for_allotment(owner):
    """Schedules until an allotment would have been raised."""
    owner.placer.schedule()
    asyncio.run(owner.clock.advance(ALLOTMENT_TIME))
    owner.placer.schedule()


def test_batch_runs_of_an_account_give_way_to_its_own_urgent_tasks():
    """Load: an account's batch runs use up its quota while there is room on the workers. Its short
    jobs were late, as they waited for seconds until a run ended."""
    owner = LimitedOwner(3)
    first, second, third = owner.session_by_worker.values()
    half_done, begun = batch_run(first, HOT, 50.0), batch_run(second, HOT, 10.0)
    other = batch_run(third, STEADY)
    step = owner.send(HOT, StepSpec(1, 1000, 100, estimate_ms=500), priority=0)
    owner.placer.schedule()
    assert not begun.stop_wanted
    wait_for_allotment(owner)
    assert step.wait.reason is WaitReason.QUOTA
    assert [run.stop_wanted for run in (half_done, begun, other)] == [False, True, False]


def test_runs_of_equal_priority_are_not_stopped_for_one_another():
    owner = LimitedOwner(2)
    runs = [batch_run(worker, HOT) for worker in owner.session_by_worker.values()]
    owner.send(HOT, StepSpec(1, 1000, 100, estimate_ms=500), priority=2)
    wait_for_allotment(owner)
    assert not any(run.stop_wanted for run in runs)


def test_no_run_is_stopped_where_the_quota_would_still_be_too_small():
    """Guards against work that is thrown away for a task that can't start."""
    owner = LimitedOwner(2)
    runs = [batch_run(worker, HOT) for worker in owner.session_by_worker.values()]
    owner.send(HOT, StepSpec(1, 5000, 100, estimate_ms=500), priority=0)
    wait_for_allotment(owner)
    assert not any(run.stop_wanted for run in runs)
