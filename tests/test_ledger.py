"""Tests of the ledger: capacity is never allocated twice."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamramp.ids import AttemptId, UpstreamId
from hornbeamramp.ledger import Ledger, Reservation
from hornbeamramp.resources import Resources

UPSTREAM = UpstreamId("u")
CAPACITY = Resources(4000, 4096, 2, 4, 8)


@pytest.fixture
def ledger():
    result = Ledger()
    result.set_capacity(UPSTREAM, CAPACITY)
    return result


def test_reservation_can_not_be_made_outside_the_ledger():
    with pytest.raises(TypeError):
        Reservation(object(), UPSTREAM, AttemptId("a"), (1, 0, 0, 0, 0))


@pytest.mark.parametrize(
    "resources",
    [
        Resources(4001, 0, 0, 1, 1),
        Resources(0, 4097, 0, 1, 1),
        Resources(0, 0, 3, 1, 1),
        Resources(0, 0, 0, 5, 1),
        Resources(0, 0, 0, 1, 9),
    ],
)
def test_no_resource_is_overbooked(ledger, resources):
    assert ledger.reserve(UPSTREAM, AttemptId("a"), resources).is_err()
    assert ledger.free(UPSTREAM) == CAPACITY.as_tuple()


def test_second_release_has_no_effect(ledger):
    first = ledger.reserve(UPSTREAM, AttemptId("a"), Resources(1000, 1000)).ok_value
    ledger.reserve(UPSTREAM, AttemptId("b"), Resources(1000, 1000))
    assert ledger.release(first)
    assert not ledger.release(first)
    assert ledger.allocated(UPSTREAM) == (1000, 1000, 0, 1, 1)


def test_an_attempt_holds_capacity_once(ledger):
    assert ledger.reserve(UPSTREAM, AttemptId("a"), Resources(1, 1)).is_ok()
    assert ledger.reserve(UPSTREAM, AttemptId("a"), Resources(1, 1)).is_err()


def test_release_after_the_upstream_was_removed_has_no_effect(ledger):
    reservation = ledger.reserve(UPSTREAM, AttemptId("a"), Resources(1, 1)).ok_value
    assert ledger.remove_upstream(UPSTREAM) == ["a"]
    ledger.set_capacity(UPSTREAM, CAPACITY)
    assert not ledger.release(reservation)
    assert ledger.free(UPSTREAM) == CAPACITY.as_tuple()


def test_hold_beyond_the_capacity_leaves_zero_free(ledger):
    overcommitted = ledger.reserve_unchecked(
        UPSTREAM, AttemptId("x"), Resources(9000, 9000, 9, 9, 9)
    ).ok_value
    assert ledger.free(UPSTREAM) == (0, 0, 0, 0, 0)
    assert ledger.reserve(UPSTREAM, AttemptId("a"), Resources(0, 0, 0, 0, 1)).is_err()
    ledger.release(overcommitted)
    assert ledger.free(UPSTREAM) == CAPACITY.as_tuple()


def test_measured_use_is_granted_before_new_reservations(ledger):
    first = ledger.reserve(UPSTREAM, AttemptId("a"), Resources(1000, 1000)).ok_value
    second = ledger.reserve(UPSTREAM, AttemptId("b"), Resources(3000, 1000)).ok_value
    ledger.grow(first, Resources(2500, 500))
    assert first.amount[:2] == (1000, 1000)
    ledger.release(second)
    assert first.amount[:2] == (2500, 1000)
    assert ledger.free(UPSTREAM)[0] == 1500


def test_shrink_never_raises_a_reservation(ledger):
    first = ledger.reserve(UPSTREAM, AttemptId("a"), Resources(1000, 1000)).ok_value
    ledger.shrink(first, Resources(500, 3000, 1))
    assert first.amount == (500, 1000, 0, 1, 1)


AMOUNTS = st.builds(Resources, *[st.integers(0, high) for high in (3000, 3000, 2, 3, 5)])


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["reserve", "release", "grow", "shrink"]), st.integers(0, 9), AMOUNTS
        ),
        max_size=60,
    )
)
def test_allocated_never_exceeds_the_capacity(operations):
    ledger = Ledger()
    ledger.set_capacity(UPSTREAM, CAPACITY)
    reservation_by_number = {}
    for operation, number, resources in operations:
        if operation == "reserve":
            reserved = ledger.reserve(UPSTREAM, AttemptId(str(number)), resources)
            if reserved.is_ok():
                reservation_by_number[number] = reserved.ok_value
        elif number in reservation_by_number:
            if operation == "release":
                ledger.release(reservation_by_number[number])
            else:
                getattr(ledger, operation)(reservation_by_number[number], resources)
        sums = [0] * 5
        for reservation in ledger.reservations(UPSTREAM):
            sums = [a + b for a, b in zip(sums, reservation.amount, strict=True)]
        assert tuple(sums) == ledger.allocated(UPSTREAM)
        assert Resources(*sums).fits_in(CAPACITY)
