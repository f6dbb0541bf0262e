"""The driver detects each violation of a scheduling guarantee, and the scheduler causes none."""

import pytest

from hornbeamramp.bench import driver as driver_module
from hornbeamramp.bench.fake_fleet import FakeFleet
from hornbeamramp.bench.runs import POLICIES, RunSpec, run
from hornbeamramp.bench.workload import SECOND_US
from hornbeamramp.decisions import Stop


def test_allocating_more_than_a_machine_has_is_noticed(harness):
    """Guards against a driver that does not report an overcommitted machine (G1)."""
    slots = harness.upstreams[0].resources.slots
    for _ in range(slots):
        harness.start(harness.submit_job("weigh_ticket"), 1)
    assert not harness.driver.fleet.violations
    harness.start(harness.submit_job("weigh_ticket"), 1)
    assert harness.driver.fleet.violations["overcommit"] == 1


def test_running_a_task_in_two_places_is_noticed(harness):
    """Guards against a driver that does not report two running attempts of one task (G2)."""
    ticket = harness.submit_job("weigh_ticket")
    harness.start(ticket, 1, upstream=0)
    harness.start(ticket, 2, upstream=1)
    assert harness.driver.fleet.violations["two_places"] == 1


def test_starting_a_cancelled_job_is_noticed(harness):
    """Guards against a driver that does not report the start of a job reported as not run (G4)."""
    ticket = harness.submit_job("weigh_ticket")
    harness.driver.cancel(ticket.job.id)
    harness.start(ticket, 1)
    assert harness.driver.fleet.violations["started_after_not_run"] == 1


def test_restarting_non_idempotent_work_is_noticed(harness):
    """Guards against a driver that does not report a second run of a non-idempotent task (G5).

    A settlement run twice would be paid twice.
    """
    settlement = harness.submit_job("settlement")
    attempt_id = harness.start(settlement, 1)
    upstream_id = harness.upstreams[0].id
    harness.scheduler.decisions = [Stop(attempt_id, upstream_id)]
    harness.driver.decide()
    harness.driver.advance(SECOND_US)
    assert not harness.driver.attempt_by_id
    harness.start(settlement, 2)
    assert harness.driver.fleet.violations["ran_twice"] == 1


@pytest.mark.parametrize("policy", POLICIES)
@pytest.mark.parametrize("shape", ["kaya", "hsinchu"])
def test_no_machine_is_ever_allocated_more_than_it_has(shape, policy, monkeypatch):
    """Guards against a machine that is overcommitted at any time of a saturated run (G1)."""
    checked_attempts = []
    allocate = FakeFleet.allocate

    def checking_allocate(fleet, attempt, resources):
        allocate(fleet, attempt, resources)
        upstream = attempt.upstream
        pairs = list(zip(upstream.allocated, upstream.shape.resources.as_tuple(), strict=True))
        assert all(0 <= allocated <= capacity for allocated, capacity in pairs)
        checked_attempts.append(attempt.id)

    monkeypatch.setattr(driver_module.FakeFleet, "allocate", checking_allocate)
    observed = run(RunSpec(shape, policy, 1, 0, 15, 0, load=1.5))
    assert len(checked_attempts) > 200
    assert observed.violations == {}, observed.first_violation


@pytest.mark.parametrize("case", [{"misdeclaration": (0.1, 10.0)}, {"failing_every": 20}])
@pytest.mark.parametrize("shape", ["kaya", "hsinchu"])
def test_no_guarantee_is_breached_under_faults(shape, case):
    """Guards against violations that occur only with wrong declarations or failing upstreams."""
    observed = run(RunSpec(shape, "default", 1, 0, 10, 5, **case))
    assert observed.violations == {}, observed.first_violation


@pytest.mark.parametrize("flood_class", ["weigh_ticket", "settlement", "gate_watcher", "load_sort"])
def test_no_guarantee_is_breached_under_a_flood(flood_class):
    """Guards against violations that occur only with preemption under overload."""
    observed = run(RunSpec("kaya", "default", 1, 3, 5, 5, flood_class=flood_class, factor=10.0))
    assert observed.violations == {}, observed.first_violation
    assert observed.by_class["flood"].submitted > 10
