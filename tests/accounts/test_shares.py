"""Which jobs are within their account's share, and the order of accounts by use for weight."""

from datetime import timedelta

import pytest

from hornbeamramp.accounts.shares import MAX_RETURN_DELAY, AccountShares
from hornbeamramp.accounts.usage import AccountUsage
from hornbeamramp.ids import NO_ACCOUNT, AccountId
from hornbeamramp.resources import Resources
from hornbeamramp.workload import ClientAccount

STUDIO, SCHOOL, STRANGER = AccountId("studio"), AccountId("school"), AccountId("stranger")
POOL = (16_000, 64_000, 8)


def at(seconds):
    return timedelta(seconds=100 + seconds)


class Accounts:
    """Configured accounts with weights that a test may change, and what they use."""

    def __init__(self, **weights):
        self.by_id = {}
        self.usage = AccountUsage()
        self.shares = AccountShares(lambda: self.by_id, self.usage)
        self.configure(**weights)

    def configure(self, **weights):
        self.by_id = {name: ClientAccount(AccountId(name), w) for name, w in weights.items()}

    def take(self, account, seconds, jobs=1):
        """Returns how many of some jobs at one moment are within the share."""
        return sum(self.shares.take(account, at(seconds)) for _ in range(jobs))


def test_jobs_up_to_the_weight_are_within_the_share_for_any_time():
    accounts = Accounts(studio=2.0)
    assert all(accounts.take(STUDIO, number / 2) for number in range(200))


def test_flood_has_no_claim_beyond_a_few_seconds_worth():
    """Guards against a flood that counts as within the share for as long as it lasts."""
    accounts = Accounts(studio=2.0)
    within = sum(accounts.take(STUDIO, number / 12) for number in range(12 * 7))
    assert within == pytest.approx(2 * (3 + 7), abs=1)


def test_account_has_its_claim_again_after_a_flood():
    accounts = Accounts(studio=2.0)
    accounts.take(STUDIO, 0, jobs=100)
    assert accounts.take(STUDIO, 1, jobs=100) == 2


def test_flood_of_one_account_leaves_the_claim_of_another():
    accounts = Accounts(studio=2.0, school=1.0)
    accounts.take(STUDIO, 0, jobs=100)
    assert accounts.take(SCHOOL, 0)


def test_small_account_may_send_two_jobs_at_once():
    assert Accounts(studio=0.1).take(STUDIO, 0, jobs=5) == 2


def test_account_without_weight_is_never_within_its_share():
    assert Accounts(studio=0.0).take(STUDIO, 0, jobs=5) == 0


def test_account_that_is_no_longer_configured_has_no_claim():
    assert Accounts(studio=1.0).take(STRANGER, 0) == 0


@pytest.mark.parametrize("weights", [{}, {"studio": 1.0}])
def test_jobs_without_an_account_are_within_a_share(weights):
    """Guards against public queues, and cells without client accounts, served as if beyond it."""
    assert Accounts(**weights).take(NO_ACCOUNT, 0, jobs=1000) == 1000


def test_everything_is_within_a_share_without_configured_accounts():
    assert Accounts().take(STUDIO, 0, jobs=1000) == 1000


def test_changed_weight_counts_from_the_next_job_on():
    accounts = Accounts(studio=1.0)
    accounts.take(STUDIO, 0, jobs=10)
    accounts.configure(studio=10.0)
    assert accounts.take(STUDIO, 0) == 0
    assert accounts.take(STUDIO, 1, jobs=100) == 10
    accounts.configure(studio=1.0)
    assert accounts.take(STUDIO, 30, jobs=100) == 3


def test_successor_restores_what_is_left_of_the_share():
    """Guards against a takeover in a flood that gives the flooding account a new claim."""
    accounts = Accounts(studio=2.0)
    for _ in range(6):
        accounts.shares.restore(STUDIO, at(-0.5))
    assert accounts.take(STUDIO, 0, jobs=10) == 1
    assert Accounts(studio=2.0).take(STUDIO, 0, jobs=10) == 6


def test_refused_callers_return_one_after_the_other():
    """Guards against callers that all come back at once, for one token."""
    accounts = Accounts(studio=2.0)
    accounts.take(STUDIO, 0, jobs=10)
    delays = [accounts.shares.return_delay(STUDIO, at(0)).total_seconds() for _ in range(4)]
    assert delays == pytest.approx([0.5, 1.0, 1.5, 2.0])
    assert accounts.take(STUDIO, 0.5) and not accounts.take(STUDIO, 0.6)


def test_refused_callers_are_told_a_bounded_time():
    accounts = Accounts(studio=2.0, school=0.0)
    accounts.take(STUDIO, 0, jobs=10)
    for _ in range(1000):
        delay = accounts.shares.return_delay(STUDIO, at(0))
    assert delay == MAX_RETURN_DELAY
    assert accounts.shares.return_delay(SCHOOL, at(0)) == MAX_RETURN_DELAY


def test_state_of_accounts_that_leave_the_configuration_is_dropped():
    accounts = Accounts(studio=1.0, school=1.0)
    accounts.take(STUDIO, 0, jobs=10)
    accounts.shares.return_delay(STUDIO, at(0))
    accounts.configure(school=1.0)
    accounts.shares.forget_unconfigured()
    assert not accounts.shares._bucket_by_account
    assert not accounts.shares._return_at_by_account


@pytest.mark.parametrize(("cores", "level"), [(0, 0), (4, 0), (5, 1), (8, 1), (9, 2), (16, 2)])
def test_accounts_are_ordered_by_doublings_of_their_share(cores, level):
    """Guards against an order that changes with each start of a run; a quarter of the pool is the
    share here."""
    accounts = Accounts(studio=1.0, school=3.0)
    accounts.usage.add(STUDIO, Resources(1000 * cores, 0, 0))
    accounts.shares.compare([STUDIO, SCHOOL], POOL, at(0))
    assert accounts.shares.level(STUDIO) == level
    assert accounts.shares.level(SCHOOL) == 0


def test_accounts_furthest_above_their_shares_are_listed():
    accounts = Accounts(studio=1.0, school=1.0, library=6.0)
    accounts.usage.add(STUDIO, Resources(4_000, 0, 0))
    accounts.usage.add(SCHOOL, Resources(9_000, 0, 0))
    accounts.shares.compare([AccountId("library")], POOL, at(0))
    assert accounts.shares.above_share(5) == {SCHOOL: 3, STUDIO: 1}
    assert accounts.shares.above_share(1) == {SCHOOL: 3}


def test_scarcest_resource_counts():
    accounts = Accounts(studio=1.0, school=1.0)
    accounts.usage.add(STUDIO, Resources(1000, 1000, 6))
    accounts.shares.compare([STUDIO, SCHOOL], POOL, at(0))
    assert accounts.shares.level(STUDIO) == 1


def test_unused_share_goes_to_those_that_want_room():
    """Guards against accounts held to their share of a pool that nobody else uses."""
    accounts = Accounts(studio=1.0, school=99.0)
    accounts.usage.add(STUDIO, Resources(16_000, 0, 0))
    accounts.shares.compare([STUDIO], POOL, at(0))
    assert accounts.shares.level(STUDIO) == 0
    assert not accounts.shares.leaves_headroom(STUDIO)


def test_accounts_above_their_share_leave_headroom_at_once():
    """Guards against an account that fills the pool between two comparisons."""
    accounts = Accounts(studio=1.0, school=3.0)
    accounts.shares.compare([STUDIO, SCHOOL], POOL, at(0))
    accounts.usage.add(STUDIO, Resources(5_000, 0, 0))
    assert not accounts.shares.leaves_headroom(STUDIO)
    accounts.usage.add(STUDIO, Resources(1_000, 0, 0))
    assert accounts.shares.leaves_headroom(STUDIO)
    assert not accounts.shares.leaves_headroom(SCHOOL)
