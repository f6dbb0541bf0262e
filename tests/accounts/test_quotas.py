"""Allotments of quotas: what an owner may start, how allotments follow demand, and what a job may
ask for."""

from datetime import timedelta

import pytest

from hornbeamramp.accounts.quotas import (
    AccountAllotments,
    Allotment,
    Claim,
    Demand,
    QuotaRecord,
    divide,
    fair_part,
    quota_problem,
)
from hornbeamramp.accounts.usage import NOTHING
from hornbeamramp.workload import AccountQuota, StepSpec

CORES = AccountQuota(processors_milli=100)
TASK = (10, 0, 0)
HOT, STEADY = "hot", "steady"


def at(seconds):
    return timedelta(seconds=seconds)


def cores(amount):
    return (amount, 0, 0)


def allotments(quota=CORES, allotted=0, other=None, version=1):
    """Returns what an owner of pool ``p`` knows of one account, with the pool ``o`` beside."""
    own = AccountAllotments("p")
    own.set_quotas(version, {STEADY: quota}, {"p", "o"})
    own.set_own(QuotaRecord(version, {STEADY: Allotment(cores(allotted))}))
    row = Allotment(NOTHING) if other is None else other
    own.set_others({"o": QuotaRecord(version, {STEADY: row})}, 1)
    return own


def demand(used=0, more=0, unit=0):
    return {STEADY: Demand(cores(used), cores(used + more), cores(unit))}


def decided(own, now=0.0, **amounts):
    """Returns the account's row that the owner writes, ``None`` if it writes nothing."""
    record = own.decide(demand(**amounts), at(now))
    return None if record is None else record.by_account.get(STEADY, Allotment(NOTHING))


# What may start


@pytest.mark.parametrize(("used", "fitting"), [(0, 5), (25, 2), (41, 0), (50, 0)])
def test_units_start_only_within_the_allotment(used, fitting):
    own = allotments(allotted=50)
    assert own.count_fitting(STEADY, cores(used), TASK, 1, 9) == fitting


def test_account_without_quota_is_not_limited():
    own = allotments()
    assert own.count_fitting(HOT, cores(500), TASK, 1, 9) == 9


def test_gang_starts_whole_or_not_at_all():
    own = allotments(allotted=50)
    assert own.short_of(STEADY, cores(10), TASK, 5) == (0,)
    assert own.short_of(STEADY, cores(0), TASK, 5) == ()


def test_resource_that_a_task_does_not_need_does_not_hold_it_up():
    """An account without accelerators left must go on with tasks that need none."""
    own = AccountAllotments("p")
    own.set_quotas(1, {STEADY: AccountQuota(100, 0, 4)}, {"p"})
    own.set_own(QuotaRecord(1, {STEADY: Allotment((50, 0, 0))}))
    assert own.short_of(STEADY, (0, 0, 4), (10, 0, 0), 1) == ()
    assert own.short_of(STEADY, (0, 0, 4), (10, 0, 1), 1) == (2,)


def test_raise_counts_once_it_is_written_and_a_cut_at_once():
    own = allotments(allotted=50)
    own.begin_write(QuotaRecord(1, {STEADY: Allotment(cores(80))}))
    assert own.allotted(STEADY) == cores(50)
    own.drop_write()
    own.begin_write(QuotaRecord(1, {STEADY: Allotment(cores(20))}))
    assert own.allotted(STEADY) == cores(20)


def test_lower_of_both_counts_while_the_outcome_of_a_write_is_unknown():
    """Counting the raise would break the quota if it had failed; counting on after a cut, if it
    had not."""
    own = allotments(allotted=50)
    own.begin_write(QuotaRecord(1, {STEADY: Allotment(cores(30))}))
    own.begin_write(QuotaRecord(1, {STEADY: Allotment(cores(80))}))
    assert own.allotted(STEADY) == cores(30)
    own.set_own(QuotaRecord(1, {STEADY: Allotment(cores(80))}))
    assert own.allotted(STEADY) == cores(80)


def test_nothing_starts_beyond_a_lowered_quota_before_all_have_cut_their_allotments():
    own = allotments(allotted=60, other=Allotment(cores(40)))
    own.set_quotas(2, {STEADY: AccountQuota(50)}, {"p", "o"})
    assert own.count_fitting(STEADY, cores(0), TASK, 1, 9) == 1


def test_unit_larger_than_a_lowered_quota_runs_alone():
    """Its job was accepted, and must come to its answer."""
    own = allotments(allotted=100)
    assert own.short_of(STEADY, cores(0), cores(150), 1) == ()
    assert own.short_of(STEADY, cores(1), cores(150), 1) == (0,)
    # A gang of 12 is within the tolerance of a tenth and one task more, one of 13 is not.
    assert own.short_of(STEADY, cores(0), TASK, 12) == ()
    assert own.short_of(STEADY, cores(0), TASK, 13) == (0,)


# How allotments change


def test_free_quota_is_taken_with_one_write():
    row = decided(allotments(), more=90, unit=10)
    assert row.allotted[0] >= 90
    assert row.wanted == NOTHING


def test_what_others_hold_is_asked_for():
    row = decided(allotments(other=Allotment(cores(60))), more=90, unit=10)
    assert row.allotted == cores(40)
    assert row.wanted[0] >= 90


def test_steady_use_needs_no_write_per_task():
    """With one, each start and end of a short task would be a call to the store."""
    own = allotments(allotted=40)
    for tick in range(100):
        record = own.decide(demand(used=20 + 10 * (tick % 3)), at(0.1 * tick))
        assert record is None


def test_idle_allotment_goes_back_after_about_a_second():
    own = allotments(allotted=100)
    assert decided(own, now=0.0, used=90) is None
    rows = [decided(own, now=0.1 * tick, used=0) for tick in range(1, 25)]
    # A quarter stays for a while: it is what both pools may keep without a need.
    assert rows[-1].allotted == cores(25)
    own.set_own(QuotaRecord(1, {STEADY: rows[-1]}))
    for tick in range(250):
        own.set_own(own.decide({}, at(3 + 0.1 * tick)) or own._record)
    assert row_of(own) == Allotment(NOTHING)


def row_of(own):
    return own._record.by_account.get(STEADY, Allotment(NOTHING))


def test_idle_allotment_goes_back_at_once_if_others_want_it():
    own = allotments(allotted=100, other=Allotment(NOTHING, cores(50)))
    assert decided(own, used=20).allotted == cores(20)


def test_pool_above_its_part_shrinks_only_as_its_runs_end():
    own = allotments(allotted=100, other=Allotment(NOTHING, cores(100)))
    assert decided(own, used=100, more=50) is None
    assert decided(own, used=80, more=50).allotted == cores(80)
    assert decided(own, used=30, more=50).allotted == cores(50)


def test_allotment_is_never_below_what_is_used():
    """Others would take what runs still use; for example runs found after a takeover."""
    own = allotments(allotted=10, other=Allotment(cores(90)))
    assert decided(own, used=30).allotted == cores(30)


def test_nothing_is_raised_before_all_pools_have_told_what_they_use():
    """A quota that is new may be in use elsewhere, where no record tells of it yet."""
    own = allotments()
    own.set_quotas(2, {STEADY: CORES, HOT: CORES}, {"p", "o"})
    wanted = {HOT: Demand(NOTHING, cores(50), TASK)}
    assert own.decide(wanted, at(0)).by_account[HOT].allotted == NOTHING
    own.set_others({"o": QuotaRecord(2, {HOT: Allotment(cores(70))})}, 2)
    assert own.decide(wanted, at(0)).by_account[HOT].allotted == cores(30)


def test_nothing_is_raised_beside_a_record_that_cant_be_read():
    own = allotments()
    own.set_others({"o": None}, 2)
    assert decided(own, more=50, unit=10).allotted == NOTHING


def test_pool_added_later_needs_no_record():
    own = allotments()
    own.set_quotas(2, {STEADY: CORES}, {"p", "o", "new"})
    assert decided(own, more=50, unit=10).allotted[0] >= 50


def test_first_record_of_a_pool_raises_nothing_until_others_can_have_read_it():
    own = allotments()
    own.note_created(at(0))
    assert decided(own, now=1.0, more=50, unit=10).allotted == NOTHING
    assert decided(own, now=2.0, more=50, unit=10).allotted[0] >= 50


# Division of what is short


def test_what_a_pool_does_not_need_the_others_have():
    assert divide(100, {"a": 20, "b": 200, "c": 70}) == {"a": 20, "b": 40, "c": 40}
    assert divide(100, {"a": 20, "b": 30}) == {"a": 20, "b": 30}


def test_pool_that_waits_longest_gets_what_its_next_unit_needs():
    """With equal parts of a quota for one and a half units, none could ever start."""
    claims = {
        "a": Claim(cores(50), cores(100), cores(70), since=9),
        "b": Claim(cores(50), cores(100), cores(70), since=5),
    }
    assert fair_part("b", cores(100), claims) == cores(70)
    # What it can't use for a unit of its own is free for the other.
    assert fair_part("a", cores(100), claims) == NOTHING


# What can't ever run


@pytest.mark.parametrize(
    ("step", "problem"),
    [
        (StepSpec(9, 50), ""),
        (StepSpec(2, 50, gang=True), ""),
        (StepSpec(3, 50, gang=True), "step 0: a gang of 3 tasks needs 0.15 cores"),
        (StepSpec(1, 101), "step 0: a task needs 0.101 cores"),
        (StepSpec(1, 101, fills=True), ""),
        (StepSpec(1, 10, 5000, 8), ""),
    ],
)
def test_task_or_gang_beyond_the_quota_is_named(step, problem):
    assert quota_problem(CORES, [step]).startswith(problem)
    assert bool(quota_problem(CORES, [step])) == bool(problem)
