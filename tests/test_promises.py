"""Tests of the promises that a process gives to owners."""

from datetime import timedelta

import pytest

from hornbeamramp.ids import ShardId, VmId
from hornbeamramp.promises import PromiseTable

MAX_DURATION = timedelta(seconds=6)
SECOND = timedelta(seconds=1)
SHARD = ShardId("weigh@gebze")
A, B = VmId("a"), VmId("b")


@pytest.fixture
def promises(clock):
    promises = PromiseTable(clock, MAX_DURATION)
    clock.set(MAX_DURATION)
    return promises


def test_nothing_is_promised_or_denied_right_after_the_start(clock):
    """Guards against a restarted process that ignores the promises and barriers it has lost."""
    promises = PromiseTable(clock, MAX_DURATION)
    assert not promises.grant(SHARD, A, 1, MAX_DURATION)
    assert promises.raise_barrier(SHARD, B) == (MAX_DURATION, None)


def test_promise_runs_out(promises, clock):
    """Guards against a claim before, and a refusal after, the end of a promise."""
    assert promises.grant(SHARD, A, 1, 4 * SECOND)
    assert promises.outstanding(SHARD, B) == (4 * SECOND, A)
    assert promises.outstanding(SHARD, A) == (timedelta(0), None)
    clock.set(MAX_DURATION + 4 * SECOND)
    assert promises.outstanding(SHARD, B) == (timedelta(0), None)


def test_barrier_refuses_promises_to_others(promises, clock):
    """Guards against a promise to the previous owner while a candidate completes its claim."""
    promises.raise_barrier(SHARD, B)
    assert not promises.grant(SHARD, A, 1, MAX_DURATION)
    assert promises.grant(SHARD, B, 2, MAX_DURATION)
    clock.set(2 * MAX_DURATION)
    assert promises.grant(SHARD, A, 2, MAX_DURATION)


def test_no_barrier_while_a_promise_runs(promises):
    """Guards against a request of a candidate that blocks the renewal of a promise."""
    promises.grant(SHARD, A, 1, MAX_DURATION)
    assert promises.raise_barrier(SHARD, B) == (MAX_DURATION, A)
    assert promises.grant(SHARD, A, 1, MAX_DURATION)


def test_promise_longer_than_the_term_is_refused(promises):
    """Guards against a promise that outlasts the time in which a restarted process gives none."""
    assert not promises.grant(SHARD, A, 1, MAX_DURATION + SECOND)


def test_older_epoch_gets_no_promise(promises):
    """Guards against a delayed request of an owner that has been replaced."""
    assert promises.grant(SHARD, B, 2, MAX_DURATION)
    assert not promises.grant(SHARD, A, 1, MAX_DURATION)
