"""How long a VM goes by its configuration after the last proof that it is current."""

from datetime import timedelta

import pytest

from hornbeamramp.accounts import ConfigFreshness
from hornbeamramp.clock import ManualClock

BOUND = timedelta(seconds=5)


def seconds(value):
    return timedelta(seconds=value)


def test_nothing_is_proved_before_the_first_answer():
    """Guards against a restarted process that serves keys by a configuration it hasn't read."""
    freshness = ConfigFreshness(BOUND)
    assert freshness.age(seconds(0)) is None
    assert not freshness.is_proved(seconds(0))
    assert not freshness.is_recent(seconds(0))
    assert freshness.needs_renewal(seconds(0))


@pytest.mark.parametrize(
    ("age_s", "is_recent", "needs_renewal", "is_proved"),
    [
        (0.0, True, False, True),
        (0.99, True, False, True),
        (1.0, False, False, True),
        (2.2, False, False, True),
        (2.25, False, True, True),
        (2.99, False, True, True),
        (3.0, False, True, False),
        (60.0, False, True, False),
    ],
)
def test_proof_ages(age_s, is_recent, needs_renewal, is_proved):
    """Guards against calls served after 0.6 of the bound, and against proofs renewed by calls
    though a watch call, two seconds old at most, is about to renew them."""
    freshness = ConfigFreshness(BOUND)
    freshness.record(seconds(100))
    now = seconds(100 + age_s)
    assert freshness.is_recent(now) is is_recent
    assert freshness.needs_renewal(now) is needs_renewal
    assert freshness.is_proved(now) is is_proved


def test_proofs_are_always_valid_without_a_bound():
    freshness = ConfigFreshness(None)
    assert freshness.is_proved(seconds(1000))
    assert not freshness.needs_renewal(seconds(1000))
    assert not freshness.is_recent(seconds(1000))
    assert freshness.max_watch_wait(seconds(1)) == seconds(1)


def test_answer_to_an_earlier_call_proves_nothing_newer():
    """Guards against a slow answer that arrives last and sets the proof back."""
    freshness = ConfigFreshness(BOUND)
    freshness.record(seconds(10))
    freshness.record(seconds(8))
    assert freshness.age(seconds(10)) == seconds(0)


@pytest.mark.parametrize(("bound_s", "wait_s"), [(2, 0.4), (5, 1), (60, 1)])
def test_watch_waits_for_less_than_half_of_a_proof(bound_s, wait_s):
    """Guards against watch calls so long that proofs end between their answers."""
    freshness = ConfigFreshness(seconds(bound_s))
    assert freshness.max_watch_wait(seconds(1)) == seconds(wait_s)
    freshness.record(seconds(0))
    assert not freshness.needs_renewal(2 * seconds(wait_s))


def test_proof_ages_while_the_vm_is_suspended():
    """Guards against a VM that wakes up and serves a key that was revoked meanwhile."""
    clock = ManualClock()
    freshness = ConfigFreshness(BOUND)
    freshness.record(clock.boot_time())
    clock.set(timedelta(minutes=10))
    assert not freshness.is_proved(clock.boot_time())
