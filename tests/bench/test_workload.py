"""The workload generator yields the rates and sizes that the tables state."""

import pytest

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES, SPEEDS
from hornbeamramp.bench.workload import (
    EXACT,
    SECOND,
    Misdeclaration,
    class_rates,
    fleet,
    fleet_capacity,
    flood,
    quotas,
    service_counts,
    steady,
)
from hornbeamramp.jobs import ServiceJob


def test_the_cell_has_the_size_of_section_1_7():
    """Guards against tables that drift from the size stated in the requirements."""
    cell = SHAPES["cell"]
    rates = class_rates(cell)
    running = sum(rate * JOB_CLASSES[name].run_ms / 1000 for name, rate in rates.items())
    services = sum(service_counts(cell).values())
    assert len(fleet(cell)) == 800
    assert len(quotas(cell)) == 180
    assert sum(rates.values()) == pytest.approx(270)
    assert running + services == pytest.approx(4800, rel=0.05)
    assert services / (running + services) == pytest.approx(0.2, rel=0.05)
    assert sum(SPEEDS) / len(SPEEDS) == pytest.approx(1.0)


@pytest.mark.parametrize("name", ["cell", "kaya", "hsinchu"])
def test_the_generated_rates_are_the_stated_ones(name, rates):
    """Guards against arrivals that are slower or faster than the load that a figure names."""
    shape, seconds = SHAPES[name], 100 if name == "cell" else 1000
    found = rates(steady(shape, 1, seconds * SECOND), seconds)
    for job_class, rate in class_rates(shape).items():
        jobs = rate * seconds / JOB_CLASSES[job_class].tasks
        # Five standard deviations of a Poisson count.
        assert found[job_class] == pytest.approx(rate, rel=5 / jobs**0.5)


def test_the_mean_run_time_is_the_stated_one():
    """Guards against a log-normal distribution whose mean is off."""
    works = [w for w in steady(SHAPES["kaya_tickets"], 1, 400 * SECOND) if not w.lifetime_us]
    runs = [run for w in works for run in w.runs_us if w.job_class.name == "weigh_ticket"]
    assert len(runs) > 10_000
    mean_us = JOB_CLASSES["weigh_ticket"].run_ms * 1000
    assert sum(runs) / len(runs) == pytest.approx(mean_us, rel=0.03)


def test_services_are_all_submitted_in_the_first_second_and_replaced():
    """Guards against a number of standing tasks that shrinks during a run."""
    shape = SHAPES["kaya"]
    count = service_counts(shape)["gate_watcher"]
    works = [w for w in steady(shape, 1, 600 * SECOND) if isinstance(w.job, ServiceJob)]
    early = [w for w in works if w.arrival_us < SECOND]
    assert len(early) == count
    assert len(works) - count == pytest.approx(count, abs=5 * count**0.5)


def test_a_flood_is_a_multiple_of_the_capacity_and_leaves_the_others_unchanged(rates):
    """Guards against comparing a flooded run with different arrivals of the other kinds."""
    shape = SHAPES["kaya_tickets"]
    row = JOB_CLASSES["weigh_ticket"]
    slots = fleet_capacity(fleet(shape))[3]
    stream = list(flood(shape, "weigh_ticket", 10.0, 1, 5 * SECOND, 10 * SECOND))
    assert all(5 * SECOND <= work.arrival_us < 10 * SECOND for work in stream)
    capacity = slots / (row.run_ms / 1000)
    assert rates(stream, 5)["weigh_ticket"] == pytest.approx(10 * capacity, rel=0.1)
    before = [w.job for w in steady(shape, 1, 5 * SECOND)]
    flood(shape, "weigh_ticket", 10.0, 1, 0, 5 * SECOND)
    assert before == [w.job for w in steady(shape, 1, 5 * SECOND)]
    assert not {w.job.id for w in stream} & {job.id for job in before}


def test_wrong_declarations_leave_the_actual_work_unchanged_and_still_fit():
    """Guards against a misdeclared job that is refused as infeasible or that runs differently."""
    shape = SHAPES["hsinchu"]
    exact = [w.usage for w in steady(shape, 1, 20 * SECOND, off=EXACT)]
    off = list(steady(shape, 1, 20 * SECOND, off=Misdeclaration(10.0, 10.0)))
    assert {w.usage for w in off} == set(exact)
    smallest = min(u.resources.processors_milli for u in fleet(shape))
    assert all(w.job.resources.processors_milli <= smallest for w in off)
    for work in off:
        declared_ms = work.job.declared_run.total_seconds() * 1000
        assert declared_ms == pytest.approx(10 * work.job_class.run_ms, rel=0.001)
