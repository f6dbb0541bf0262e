"""Tests of the retry budget and of delayed retries."""

from hornbeamramp.decisions import EndEffect, TaskEnd
from hornbeamramp.retries import RetryBudget
from tests.builders import advance, finish, make_job, make_scheduler, starts


def test_retries_are_bounded_by_starts():
    """Guards against retries that exceed a fixed ratio of starts plus a fixed rate."""
    budget = RetryBudget(tokens_per_start=0.2, tokens_per_second=1.0, burst=10.0)
    assert [budget.take(0.0) for _ in range(11)] == [True] * 10 + [False]
    for _ in range(10):
        budget.earn()
    assert [budget.take(0.0) for _ in range(3)] == [True, True, False]
    assert budget.take(1.0)


def test_retries_beyond_the_budget_wait_and_are_not_lost(clock):
    """Guards against tasks that are dropped when the retry budget is exhausted."""
    scheduler = make_scheduler(clock, 100)
    for i in range(150):
        scheduler.submit(make_job(i))
    for start in starts(scheduler.decide(1000)):
        assert finish(scheduler, start, TaskEnd.LOST) is EndEffect.RETRY
    start_count = len(starts(scheduler.decide(1000)))
    assert 100 <= start_count < 140
    for _ in range(150):
        advance(clock, 0.5)
        start_count += len(starts(scheduler.decide(1000)))
    assert start_count == 150


def test_later_retries_of_a_short_task_are_delayed(clock):
    """Guards against a repeatedly refused task that takes up every scheduling decision."""
    scheduler = make_scheduler(clock, 1)
    scheduler.submit(make_job("refused"))
    start_count = 0
    for _ in range(100):
        for start in starts(scheduler.decide(10)):
            start_count += 1
            finish(scheduler, start, TaskEnd.NOT_STARTED)
        advance(clock, 0.01)
    assert 3 < start_count < 10
