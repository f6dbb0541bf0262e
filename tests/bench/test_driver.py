"""The driver's fake upstreams notice each breach of a guarantee, and the scheduler makes none."""

import pytest

from hornbeamramp.bench import driver as driver_module
from hornbeamramp.bench.fake_fleet import FakeFleet
from hornbeamramp.bench.runs import POLICIES, Run, run
from hornbeamramp.bench.workload import SECOND
from hornbeamramp.decisions import Stop


def test_allocating_more_than_a_machine_has_is_noticed(script):
    """Guards against a driver that would accept an overcommitted machine (G1)."""
    slots = script.upstreams[0].resources.slots
    for _ in range(slots):
        script.start(script.work("weigh_ticket"), 1)
    assert not script.driver.fleet.violations
    script.start(script.work("weigh_ticket"), 1)
    assert script.driver.fleet.violations["overcommit"] == 1


def test_running_a_task_in_two_places_is_noticed(script):
    """Guards against a driver that would accept a doubled weigh ticket (G2)."""
    ticket = script.work("weigh_ticket")
    script.start(ticket, 1, upstream=0)
    script.start(ticket, 2, upstream=1)
    assert script.driver.fleet.violations["two_places"] == 1


def test_starting_a_cancelled_job_is_noticed(script):
    """Guards against a driver that would accept work told to be not run (G4)."""
    ticket = script.work("weigh_ticket")
    script.driver.cancel(ticket.job.id)
    script.start(ticket, 1)
    assert script.driver.fleet.violations["started_after_not_run"] == 1


def test_restarting_non_idempotent_work_is_noticed(script):
    """Guards against a driver that would accept a settlement that is paid twice (G5)."""
    settlement = script.work("settlement")
    attempt_id = script.start(settlement, 1)
    upstream_id = script.upstreams[0].id
    script.scheduler.decisions = [Stop(attempt_id, upstream_id)]
    script.driver.decide()
    script.driver.advance(SECOND)
    assert not script.driver.attempt_by_id
    script.start(settlement, 2)
    assert script.driver.fleet.violations["ran_twice"] == 1


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize("shape", ["kaya", "hsinchu"])
def test_no_machine_is_ever_allocated_more_than_it_has(shape, policy, monkeypatch):
    """Guards against overcommitting a machine at any moment of a saturated run (G1)."""
    checked = []
    hold = FakeFleet.hold

    def checking_hold(fleet, attempt, resources):
        hold(fleet, attempt, resources)
        upstream = attempt.upstream
        pairs = list(zip(upstream.held, upstream.shape.resources.as_tuple(), strict=True))
        assert all(0 <= held <= has for held, has in pairs)
        checked.append(attempt.id)

    monkeypatch.setattr(driver_module.FakeFleet, "hold", checking_hold)
    observed = run(Run(shape, policy, 1, 0, 15, 0, load=1.5))
    assert len(checked) > 200
    assert observed.violations == {}, observed.first_violation


@pytest.mark.parametrize("case", [{"off": (0.1, 10.0)}, {"failing_every": 20}])
@pytest.mark.parametrize("shape", ["kaya", "hsinchu"])
def test_no_guarantee_is_breached_under_faults(shape, case):
    """Guards against breaches that only wrong declarations or failing upstreams provoke."""
    observed = run(Run(shape, "default", 1, 0, 10, 5, **case))
    assert observed.violations == {}, observed.first_violation


@pytest.mark.parametrize("flooder", ["weigh_ticket", "settlement", "gate_watcher", "load_sort"])
def test_no_guarantee_is_breached_under_a_flood(flooder):
    """Guards against breaches that only preemption under overload provokes."""
    observed = run(Run("kaya", "default", 1, 3, 5, 5, flooder=flooder, factor=10.0))
    assert observed.violations == {}, observed.first_violation
    assert observed.by_class["flood"].submitted > 10
