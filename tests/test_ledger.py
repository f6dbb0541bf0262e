"""Tests of the ledger: capacity is never handed out twice."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamramp.ids import AttemptId, UpstreamId
from hornbeamramp.ledger import Ledger, Reservation
from hornbeamramp.resources import Resources

U = UpstreamId("u")
CAPACITY = Resources(4000, 4096, 2, 4, 8)


@pytest.fixture
def ledger():
    result = Ledger()
    result.set_capacity(U, CAPACITY)
    return result


def test_reservation_can_not_be_made_outside_the_ledger():
    with pytest.raises(TypeError):
        Reservation(object(), U, AttemptId("a"), (1, 0, 0, 0, 0))


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
    assert ledger.reserve(U, AttemptId("a"), resources).is_err()
    assert ledger.free(U) == CAPACITY.as_tuple()


def test_second_release_has_no_effect(ledger):
    first = ledger.reserve(U, AttemptId("a"), Resources(1000, 1000)).ok_value
    ledger.reserve(U, AttemptId("b"), Resources(1000, 1000))
    assert ledger.release(first)
    assert not ledger.release(first)
    assert ledger.allocated(U) == (1000, 1000, 0, 1, 1)


def test_an_attempt_holds_capacity_once(ledger):
    assert ledger.reserve(U, AttemptId("a"), Resources(1, 1)).is_ok()
    assert ledger.reserve(U, AttemptId("a"), Resources(1, 1)).is_err()


def test_release_after_the_upstream_was_removed_has_no_effect(ledger):
    reservation = ledger.reserve(U, AttemptId("a"), Resources(1, 1)).ok_value
    assert ledger.remove_upstream(U) == ["a"]
    ledger.set_capacity(U, CAPACITY)
    assert not ledger.release(reservation)
    assert ledger.free(U) == CAPACITY.as_tuple()


def test_hold_beyond_the_capacity_leaves_zero_free(ledger):
    held = ledger.reserve_unchecked(U, AttemptId("x"), Resources(9000, 9000, 9, 9, 9)).ok_value
    assert ledger.free(U) == (0, 0, 0, 0, 0)
    assert ledger.reserve(U, AttemptId("a"), Resources(0, 0, 0, 0, 1)).is_err()
    ledger.release(held)
    assert ledger.free(U) == CAPACITY.as_tuple()


def test_measured_use_is_granted_before_new_reservations(ledger):
    first = ledger.reserve(U, AttemptId("a"), Resources(1000, 1000)).ok_value
    second = ledger.reserve(U, AttemptId("b"), Resources(3000, 1000)).ok_value
    ledger.grow(first, Resources(2500, 500))
    assert first.amount[:2] == (1000, 1000)
    ledger.release(second)
    assert first.amount[:2] == (2500, 1000)
    assert ledger.free(U)[0] == 1500


def test_shrink_never_raises_a_reservation(ledger):
    first = ledger.reserve(U, AttemptId("a"), Resources(1000, 1000)).ok_value
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
def test_allocated_never_exceeds_the_capacity(steps):
    ledger = Ledger()
    ledger.set_capacity(U, CAPACITY)
    by_number = {}
    for name, number, resources in steps:
        if name == "reserve":
            reserved = ledger.reserve(U, AttemptId(str(number)), resources)
            if reserved.is_ok():
                by_number[number] = reserved.ok_value
        elif number in by_number:
            if name == "release":
                ledger.release(by_number[number])
            else:
                getattr(ledger, name)(by_number[number], resources)
        sums = [0] * 5
        for reservation in ledger.reservations(U):
            sums = [a + b for a, b in zip(sums, reservation.amount, strict=True)]
        assert tuple(sums) == ledger.allocated(U)
        assert Resources(*sums).fits_in(CAPACITY)
