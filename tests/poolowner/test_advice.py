"""Validity of tickets and grants of the advice service."""

from datetime import timedelta

from hornbeamramp.poolowner.advice import Advice, Grants

SECOND = timedelta(seconds=1)


def test_ticket_of_a_slow_request_is_valid_from_its_answer():
    """Guards against counting the validity from the request instead of the answer: a step whose
    requests took longer than the validity never ran."""
    grants = Grants()
    grants.add(["w0", "w1"], Advice({"w0": "t"}, 1.5 * SECOND), 10 * SECOND)
    assert grants.has_ticket("w0", 11 * SECOND)
    assert not grants.has_ticket("w0", 11.4 * SECOND)
    assert not grants.has_ticket("w1", 10 * SECOND)


def test_grant_outlives_its_ticket_and_ends_with_a_later_refusal():
    grants = Grants()
    grants.add(["w0"], Advice({"w0": "t"}, SECOND), SECOND)
    grants.drop_ticket("w0")
    assert "w0" in grants.granted
    grants.add(["w0"], Advice({}, SECOND), 2 * SECOND)
    assert "w0" not in grants.granted
