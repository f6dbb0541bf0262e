"""The workload generator yields the rates and sizes that the tables specify."""

import pytest

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES, SPEEDS
from hornbeamramp.bench.workload import (
    EXACT,
    SECOND_US,
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
    """Guards against tables that differ from the size stated in the requirements."""
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
    """Guards against an arrival rate that differs from the load named in a figure."""
    shape, seconds = SHAPES[name], 100 if name == "cell" else 1000
    generated = rates(steady(shape, 1, seconds * SECOND_US), seconds)
    for job_class, rate in class_rates(shape).items():
        jobs = rate * seconds / JOB_CLASSES[job_class].tasks
        # Five standard deviations of a Poisson count.
        assert generated[job_class] == pytest.approx(rate, rel=5 / jobs**0.5)


def test_the_mean_run_time_is_the_stated_one():
    """Guards against a log-normal distribution whose mean differs from the specified run time."""
    sim_jobs = [w for w in steady(SHAPES["kaya_tickets"], 1, 400 * SECOND_US) if not w.lifetime_us]
    runs = [run for w in sim_jobs for run in w.runs_us if w.job_class.name == "weigh_ticket"]
    assert len(runs) > 10_000
    mean_us = JOB_CLASSES["weigh_ticket"].run_ms * 1000
    assert sum(runs) / len(runs) == pytest.approx(mean_us, rel=0.03)


def test_services_are_all_submitted_in_the_first_second_and_replaced():
    """Guards against a number of running service tasks that shrinks during a run."""
    shape = SHAPES["kaya"]
    count = service_counts(shape)["gate_watcher"]
    sim_jobs = [w for w in steady(shape, 1, 600 * SECOND_US) if isinstance(w.job, ServiceJob)]
    initial = [w for w in sim_jobs if w.arrival_us < SECOND_US]
    assert len(initial) == count
    assert len(sim_jobs) - count == pytest.approx(count, abs=5 * count**0.5)


def test_a_flood_is_a_multiple_of_the_capacity_and_leaves_the_others_unchanged(rates):
    """Guards against a flood that changes the arrivals of the other job classes.

    A flooded run is comparable with an unflooded one only if those arrivals are the same.
    """
    shape = SHAPES["kaya_tickets"]
    job_class = JOB_CLASSES["weigh_ticket"]
    slots = fleet_capacity(fleet(shape))[3]
    stream = list(flood(shape, "weigh_ticket", 10.0, 1, 5 * SECOND_US, 10 * SECOND_US))
    assert all(5 * SECOND_US <= sim_job.arrival_us < 10 * SECOND_US for sim_job in stream)
    capacity = slots / (job_class.run_ms / 1000)
    assert rates(stream, 5)["weigh_ticket"] == pytest.approx(10 * capacity, rel=0.1)
    unflooded_jobs = [w.job for w in steady(shape, 1, 5 * SECOND_US)]
    flood(shape, "weigh_ticket", 10.0, 1, 0, 5 * SECOND_US)
    assert unflooded_jobs == [w.job for w in steady(shape, 1, 5 * SECOND_US)]
    assert not {w.job.id for w in stream} & {job.id for job in unflooded_jobs}


def test_wrong_declarations_leave_the_actual_work_unchanged_and_still_fit():
    """Guards against misdeclared jobs that are refused as infeasible or that run differently."""
    shape = SHAPES["hsinchu"]
    exact = [w.usage for w in steady(shape, 1, 20 * SECOND_US, misdeclaration=EXACT)]
    misdeclared = list(steady(shape, 1, 20 * SECOND_US, misdeclaration=Misdeclaration(10.0, 10.0)))
    assert {w.usage for w in misdeclared} == set(exact)
    smallest = min(u.resources.processors_milli for u in fleet(shape))
    assert all(w.job.resources.processors_milli <= smallest for w in misdeclared)
    for sim_job in misdeclared:
        declared_ms = sim_job.job.declared_run.total_seconds() * 1000
        assert declared_ms == pytest.approx(10 * sim_job.job_class.run_ms, rel=0.001)
