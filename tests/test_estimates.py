"""Tests of estimates: the effect of wrong declarations and outliers is bounded."""

import pytest

from hornbeamramp.estimates import Estimates
from hornbeamramp.ids import RouteName, TeamId
from hornbeamramp.resources import Resources

ROUTE, TEAM = RouteName("r"), TeamId("t")
DECLARED = Resources(1000, 1000)


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_run_time_declared_ten_times_off_is_corrected(factor):
    estimates = Estimates()
    for _ in range(5):
        estimates.observe_run(ROUTE, TEAM, 2.0)
    expectation = estimates.expect(ROUTE, TEAM, DECLARED, 2.0 * factor)
    assert expectation.learned
    assert expectation.run == pytest.approx(2.0)


def test_one_outlier_does_not_move_the_median():
    estimates = Estimates()
    for run in (1.0, 1.1, 0.9, 500.0):
        estimates.observe_run(ROUTE, TEAM, run)
    assert 0.9 <= estimates.expect(ROUTE, TEAM, DECLARED, 1.0).run <= 1.1


def test_few_samples_are_blended_and_not_called_learned():
    estimates = Estimates()
    estimates.observe_run(ROUTE, TEAM, 100.0)
    expectation = estimates.expect(ROUTE, TEAM, DECLARED, 1.0)
    assert not expectation.learned
    assert 1.0 < expectation.run < 20.0


def test_estimates_are_bounded_by_the_declaration():
    estimates = Estimates()
    for _ in range(10):
        estimates.observe_run(ROUTE, TEAM, 1e9)
        estimates.observe_usage(ROUTE, TEAM, Resources(10**9, 10**9))
    expectation = estimates.expect(ROUTE, TEAM, DECLARED, 1.0)
    assert expectation.run <= 20.0
    assert expectation.amount[0] <= 20_000
    assert expectation.amount[1] <= 20_000


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_size_declared_ten_times_off_is_corrected(factor):
    estimates = Estimates()
    for _ in range(8):
        estimates.observe_usage(ROUTE, TEAM, Resources(1000, 1000))
    declared = Resources(int(1000 * factor), int(1000 * factor), 1, 2, 3)
    amount = estimates.expect(ROUTE, TEAM, declared, 1.0).amount
    assert 1000 <= amount[0] <= 1300
    assert 1000 <= amount[1] <= 1300
    assert amount[2:] == (1, 2, 3)


def test_size_is_as_declared_until_there_are_enough_reports():
    estimates = Estimates()
    for _ in range(3):
        estimates.observe_usage(ROUTE, TEAM, Resources(10, 10))
    assert estimates.expect(ROUTE, TEAM, DECLARED, 1.0).amount == DECLARED.as_tuple()


def test_a_team_without_samples_gets_those_of_the_route():
    estimates = Estimates()
    for _ in range(5):
        estimates.observe_run(ROUTE, TeamId("other"), 4.0)
    assert estimates.expect(ROUTE, TEAM, DECLARED, 1.0).run == pytest.approx(4.0)
