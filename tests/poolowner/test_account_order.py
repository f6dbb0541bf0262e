"""Order of placement, advice, preemption and admission of jobs of client accounts, by load."""

from datetime import timedelta

import pytest

from hornbeamramp.accounts.shares import AccountShares
from hornbeamramp.accounts.usage import AccountUsage
from hornbeamramp.ids import AccountId
from hornbeamramp.poolowner import launch
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.placer import Placer
from hornbeamramp.poolowner.preemption import is_preemptible
from hornbeamramp.resources import Resources
from hornbeamramp.workload import ClientAccount, StepSpec
from tests.poolowner.builders import record, running, session
from tests.poolowner.test_placer import Owner, placed_on

STUDIO, SCHOOL = AccountId("studio"), AccountId("school")
ACCOUNTS = {account: ClientAccount(account, 1.0) for account in (STUDIO, SCHOOL)}
WHOLE = StepSpec(1, 8000, 100, estimate_ms=5000)
SMALL = StepSpec(1, 1000, 100, estimate_ms=5000)
RESUMABLE = StepSpec(1, 8000, 100, estimate_ms=60_000, checkpointing=True)
# On time until 7 s after their acceptance, late until 31 s.
LATE_S, TOO_LATE_S = 7.0, 31.0


class SharedOwner(Owner):
    """Fake owner of a pool whose jobs belong to client accounts."""

    def __init__(self, *workers, accounts=ACCOUNTS):
        super().__init__([session(name) for name in workers])
        self.usage = AccountUsage()
        shares = AccountShares(lambda: accounts, self.usage)
        self.placer = Placer(self, self.launcher, self.clock, shares)

    def submit(self, *steps, account=STUDIO, is_beyond_share=False, **fields):
        """Opens the first steps of a job of an account."""
        job_record = record(
            *steps,
            queue=fields.pop("name", "batch"),
            priority=fields.pop("priority", 2),
            accepted_ms=self.now_ms() - int(1000 * fields.pop("age_s", 0.0)),
            account=account,
            is_beyond_share=is_beyond_share,
        )
        job = Job(job_record)
        job.open_occurrence(0)
        self.placer.add(job.ready_steps())
        return job.steps_by_occurrence[0][0]

    def order(self):
        """Returns the steps that wait, in the order of a pass."""
        self.placer.schedule()
        return self.placer.waiting_steps()


@pytest.fixture
def owner():
    """Returns the owner of a pool that is full of work that can't be preempted."""
    owner = SharedOwner("w0", "w1")
    for worker in owner.session_by_worker.values():
        running(worker, WHOLE, priority=0)
    return owner


def test_what_is_beyond_a_share_comes_after_all_useful_work_within_one(owner):
    """Guards against a flood that makes the jobs of others late, then too late."""
    too_late = owner.submit(WHOLE, account=SCHOOL, age_s=TOO_LATE_S)
    beyond_late = owner.submit(WHOLE, is_beyond_share=True, age_s=LATE_S)
    beyond = owner.submit(WHOLE, is_beyond_share=True, priority=0)
    beyond_too_late = owner.submit(WHOLE, is_beyond_share=True, priority=0, age_s=TOO_LATE_S)
    late = owner.submit(WHOLE, account=SCHOOL, age_s=LATE_S)
    on_time = owner.submit(WHOLE, account=SCHOOL)
    assert owner.order() == [on_time, late, beyond, beyond_late, too_late, beyond_too_late]


def test_what_is_beyond_a_share_gets_the_room_that_nobody_else_wants():
    owner = SharedOwner("w0", "w1")
    steps = [owner.submit(WHOLE, is_beyond_share=True) for _ in range(2)]
    owner.placer.schedule()
    assert {worker for step in steps for worker in placed_on(step)} == {"w0", "w1"}


def test_account_that_uses_the_least_for_its_weight_comes_first(owner):
    """Guards against long jobs of one account, all within its share, that keep the room from the
    others: an account that sends few jobs may use all of a pool."""
    owner.usage.add(STUDIO, Resources(14_000, 100, 0))
    first = owner.submit(WHOLE, account=STUDIO, age_s=1.0)
    second = owner.submit(WHOLE, account=SCHOOL)
    assert owner.order() == [second, first]


def test_accounts_within_their_shares_keep_the_order_of_the_latest_start(owner):
    owner.usage.add(STUDIO, Resources(8_000, 100, 0))
    owner.usage.add(SCHOOL, Resources(2_000, 100, 0))
    second = owner.submit(WHOLE, account=SCHOOL)
    first = owner.submit(WHOLE, account=STUDIO, age_s=1.0)
    assert owner.order() == [first, second]


def test_order_without_accounts_is_that_of_the_latest_start():
    owner = SharedOwner("w0", accounts={})
    running(owner.session_by_worker["w0"], WHOLE, priority=0)
    owner.usage.add(STUDIO, Resources(8_000, 100, 0))
    second = owner.submit(WHOLE, account=SCHOOL)
    first = owner.submit(WHOLE, account=STUDIO, age_s=1.0)
    assert owner.order() == [first, second]
    assert owner.placer._shares._levels_at is None


@pytest.mark.parametrize(
    ("priority", "is_beyond", "victim_priority", "victim_is_beyond", "is_stopped"),
    [
        (0, False, 2, False, True),
        (2, False, 2, False, False),
        (0, True, 2, False, False),
        (2, False, 2, True, True),
        (2, False, 1, True, False),
        (0, True, 2, True, True),
        (2, True, 2, True, False),
    ],
)
def test_nothing_within_a_share_is_stopped_for_what_is_beyond_one(
    priority, is_beyond, victim_priority, victim_is_beyond, is_stopped
):
    """Guards against urgent jobs of a flood that stop the batch work of others, and against long
    work beyond a share that keeps its room while others wait for some."""
    worker = session("w0")
    victim = running(worker, RESUMABLE, priority=victim_priority)
    victim.task.unit.step.job.record = record(
        RESUMABLE, priority=victim_priority, is_beyond_share=victim_is_beyond
    )
    job = record(WHOLE, priority=priority, is_beyond_share=is_beyond)
    assert is_preemptible(victim, job, worker.now) is is_stopped


def test_account_above_its_share_preempts_nothing():
    owner = SharedOwner("w0", "w1")
    victims = [running(w, RESUMABLE, priority=2) for w in owner.session_by_worker.values()]
    owner.usage.add(STUDIO, Resources(16_000, 100, 0))
    owner.usage.add(SCHOOL, Resources(1_000, 100, 0))
    accounts = {STUDIO: ClientAccount(STUDIO, 1.0), SCHOOL: ClientAccount(SCHOOL, 9.0)}
    owner.placer._shares._accounts = lambda: accounts
    owner.submit(WHOLE, account=STUDIO, priority=1)
    owner.placer.schedule()
    assert not any(victim.stop_wanted for victim in victims)
    owner.submit(WHOLE, account=SCHOOL, priority=1)
    owner.clock.set(owner.clock.boot_time() + timedelta(milliseconds=100))
    owner.placer.schedule()
    assert any(victim.stop_wanted for victim in victims)


def test_account_above_its_share_leaves_room_for_urgent_tasks_of_others():
    """Guards against one account that fills all fast workers: short urgent tasks of the others were
    late on slow ones, though they waited for nothing."""
    owner = SharedOwner("w0")
    worker = owner.session_by_worker["w0"]
    running(worker, StepSpec(1, 6000, 100), priority=0)
    owner.usage.add(STUDIO, Resources(6000, 100, 0))
    owner.usage.add(SCHOOL, Resources(100, 100, 0))
    accounts = {STUDIO: ClientAccount(STUDIO, 1.0), SCHOOL: ClientAccount(SCHOOL, 9.0)}
    owner.placer._shares._accounts = lambda: accounts
    batch = owner.submit(SMALL, account=STUDIO)
    urgent = owner.submit(SMALL, account=SCHOOL, priority=0)
    owner.placer.schedule()
    assert placed_on(urgent) == ["w0"]
    assert placed_on(batch) == []


def test_headroom_is_not_kept_while_half_of_the_pool_is_free():
    """Guards against a wide task that never runs on an idle worker as it needs all of it."""
    owner = SharedOwner("w0", "w1")
    owner.usage.add(STUDIO, Resources(7000, 100, 0))
    owner.usage.add(SCHOOL, Resources(100, 100, 0))
    accounts = {STUDIO: ClientAccount(STUDIO, 1.0), SCHOOL: ClientAccount(SCHOOL, 9.0)}
    owner.placer._shares._accounts = lambda: accounts
    running(owner.session_by_worker["w0"], StepSpec(1, 7000, 100), priority=0)
    step = owner.submit(WHOLE, account=STUDIO)
    owner.placer.schedule()
    assert placed_on(step) == ["w1"]


class Backlogged:
    """Advice source at which requests wait."""

    backlog = 1


@pytest.mark.parametrize(
    ("spec", "is_beyond", "may_ask"),
    [
        (SMALL, False, True),
        (SMALL, True, False),
        (StepSpec(1, 1000, long_running=True), True, True),
    ],
)
def test_urgent_jobs_beyond_a_share_wait_for_advice_like_others(owner, spec, is_beyond, may_ask):
    """Guards against a flood of short urgent jobs that takes all calls of the advice service."""
    launcher = launch.Launcher(owner, Backlogged(), owner.clock, None)
    step = owner.submit(spec, priority=0, is_beyond_share=is_beyond)
    assert launcher.may_ask(step) is may_ask


def test_urgent_jobs_beyond_a_share_may_ask_after_a_while(owner):
    """Guards against a job that starts nothing for over 3 s on an idle pool, as the advice service
    is always busy for others."""
    launcher = launch.Launcher(owner, Backlogged(), owner.clock, None)
    assert launcher.may_ask(owner.submit(SMALL, priority=0, is_beyond_share=True, age_s=1.0))


def test_advice_beyond_a_share_is_asked_later_by_a_bounded_time(owner):
    within, beyond = owner.submit(SMALL), owner.submit(SMALL, is_beyond_share=True)
    for has_capacity in (True, False):
        difference = launch._deferral(beyond, has_capacity) - launch._deferral(within, has_capacity)
        assert difference == launch.BEYOND_SHARE_DEFERRAL


def excess_wait(owner, *steps, priority=2, **fields):
    """Returns the excess wait of a new job beyond its account's share."""
    job = Job(
        record(
            *steps,
            priority=priority,
            queue="batch",
            accepted_ms=owner.now_ms(),
            account=STUDIO,
            is_beyond_share=True,
            **fields,
        )
    )
    job.open_occurrence(0)
    return owner.placer.excess_wait(job)


def wait_for(owner, count, **fields):
    """Lets jobs that each take both workers for 5 s wait for room."""
    for _ in range(count):
        owner.submit(StepSpec(2, 8000, 100, estimate_ms=5000), **fields)
    owner.placer.schedule()


def test_job_that_can_not_be_on_time_behind_the_work_within_shares_is_refused(owner):
    """Guards against accepted jobs of a flood that hold room and are late in any case. The job
    would be on time if it started within 6 s; the pool needs 10 s or more for what waits."""
    wait_for(owner, 2, account=SCHOOL)
    assert excess_wait(owner, WHOLE) == timedelta(seconds=10 - 6)


def test_job_that_may_still_be_on_time_is_accepted(owner):
    """Guards against wrong refusals for want of exact estimates: 5 s of work wait, and 9 s would be
    too long for certain."""
    wait_for(owner, 1, account=SCHOOL)
    assert excess_wait(owner, WHOLE) == timedelta(0)


def test_job_is_accepted_while_there_is_room():
    """Guards against refusals for work that waits for anything but room."""
    owner = SharedOwner("w0", "w1")
    for _ in range(5):
        owner.submit(StepSpec(2, 8000, 100, estimate_ms=5000), account=SCHOOL, name="gate")
    owner.placer.schedule()
    assert excess_wait(owner, WHOLE) == timedelta(0)


def test_less_urgent_work_beyond_shares_does_not_count_as_ahead(owner):
    wait_for(owner, 10, is_beyond_share=True, priority=2)
    assert excess_wait(owner, WHOLE, priority=1) == timedelta(0)
    assert excess_wait(owner, WHOLE, priority=2) > timedelta(0)


def test_work_that_is_too_late_does_not_count_as_ahead(owner):
    wait_for(owner, 10, account=SCHOOL, age_s=TOO_LATE_S)
    assert excess_wait(owner, WHOLE) == timedelta(0)


def test_jobs_for_another_resource_do_not_wait_for_the_scarce_one(owner):
    """Guards against jobs refused for the wait of others for accelerators."""
    for worker in owner.session_by_worker.values():
        for attempt in list(worker.attempt_by_key.values()):
            worker.release(attempt)
        running(worker, StepSpec(1, 1000, 100, 4), priority=0)
    for _ in range(10):
        owner.submit(StepSpec(2, 1000, 100, 4, estimate_ms=5000), account=SCHOOL)
    owner.placer.schedule()
    assert excess_wait(owner, WHOLE) == timedelta(0)
    assert excess_wait(owner, StepSpec(1, 1000, 100, 1, estimate_ms=5000)) > timedelta(0)


@pytest.mark.parametrize(
    ("spec", "fields"),
    [(StepSpec(1, 8000, 100, long_running=True), {}), (WHOLE, {"repetitions": 2})],
)
def test_jobs_that_last_or_come_due_later_are_accepted(owner, spec, fields):
    wait_for(owner, 10, account=SCHOOL)
    assert excess_wait(owner, spec, **fields) == timedelta(0)
