"""What the runs of an account reserve counts from reservation to release, once."""

from hornbeamramp.accounts.usage import NOTHING, AccountUsage
from hornbeamramp.fleet import Attempt
from hornbeamramp.ids import NO_ACCOUNT, AccountId
from hornbeamramp.resources import Resources
from tests.poolowner.builders import session

STUDIO = AccountId("studio")
SIZE = Resources(1500, 200, 1, 0, 0)


def test_usage_is_the_sum_of_what_was_added_and_not_removed():
    usage = AccountUsage()
    usage.add(STUDIO, SIZE)
    usage.add(STUDIO, SIZE)
    usage.remove(STUDIO, SIZE)
    assert usage.used(STUDIO) == (1500, 200, 1)
    usage.remove(STUDIO, SIZE)
    assert usage.used(STUDIO) == NOTHING
    assert usage.accounts() == []


def test_reservations_without_an_account_are_not_counted():
    usage = AccountUsage()
    usage.add(NO_ACCOUNT, SIZE)
    assert usage.accounts() == []


def test_session_counts_a_run_until_it_is_released_and_releases_it_once():
    """A run released twice, by its end and by a list that lacks it, must not lower the usage."""
    usage = AccountUsage()
    worker = session("w0", usage=usage)
    attempts = [Attempt(None, f"task{n}", 1, SIZE, worker, STUDIO) for n in range(2)]
    for attempt in attempts:
        worker.reserve(attempt)
    assert usage.used(STUDIO) == (3000, 400, 2)
    worker.release(attempts[0])
    worker.release(attempts[0])
    assert usage.used(STUDIO) == (1500, 200, 1)
