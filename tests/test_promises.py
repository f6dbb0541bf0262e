"""Tests of the promises that a process gives to owners."""

from datetime import timedelta

import pytest

from hornbeamramp.ids import ShardId, VmId
from hornbeamramp.promises import PromiseTable

TERM = timedelta(seconds=6)
SECOND = timedelta(seconds=1)
SHARD = ShardId("weigh@gebze")
A, B = VmId("a"), VmId("b")


@pytest.fixture
def book(clock):
    book = PromiseTable(clock, TERM)
    clock.set(TERM)
    return book


def test_nothing_is_promised_or_denied_right_after_the_start(clock):
    """Guards against a restarted process that has forgotten its promises and barriers."""
    book = PromiseTable(clock, TERM)
    assert not book.grant(SHARD, A, 1, TERM)
    assert book.raise_barrier(SHARD, B) == (TERM, None)


def test_promise_runs_out(book, clock):
    """Guards against a claim before, and a refusal after, the end of a promise."""
    assert book.grant(SHARD, A, 1, 4 * SECOND)
    assert book.outstanding(SHARD, B) == (4 * SECOND, A)
    assert book.outstanding(SHARD, A) == (timedelta(0), None)
    clock.set(TERM + 4 * SECOND)
    assert book.outstanding(SHARD, B) == (timedelta(0), None)


def test_barrier_refuses_promises_to_others(book, clock):
    """Guards against a promise to the old owner while a candidate completes its claim."""
    book.raise_barrier(SHARD, B)
    assert not book.grant(SHARD, A, 1, TERM)
    assert book.grant(SHARD, B, 2, TERM)
    clock.set(2 * TERM)
    assert book.grant(SHARD, A, 2, TERM)


def test_no_barrier_while_a_promise_runs(book):
    """Guards against a candidate that blocks the renewal of a promise by asking."""
    book.grant(SHARD, A, 1, TERM)
    assert book.raise_barrier(SHARD, B) == (TERM, A)
    assert book.grant(SHARD, A, 1, TERM)


def test_promise_longer_than_the_term_is_refused(book):
    """Guards against a promise that outlasts the silence after a restart."""
    assert not book.grant(SHARD, A, 1, TERM + SECOND)


def test_older_epoch_gets_no_promise(book):
    """Guards against a delayed request of an owner that has been replaced."""
    assert book.grant(SHARD, B, 2, TERM)
    assert not book.grant(SHARD, A, 1, TERM)
