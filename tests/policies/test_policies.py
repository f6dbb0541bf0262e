"""Tests of placement by kind of job and of the baseline policies."""

import pytest

from hornbeamramp.decisions import TaskEnd
from hornbeamramp.jobs import GangJob, ServiceJob
from hornbeamramp.plugins import PluginNotFoundError
from hornbeamramp.policies import POLICIES, PlacementPolicy
from hornbeamramp.resources import Resources
from tests.builders import GPU_MACHINE, fill, make_job, make_scheduler, make_shape, starts


def placed(scheduler, limit=1000):
    return [start.upstream_id for start in starts(scheduler.decide(limit))]


def test_registry_finds_all_policies():
    assert set(POLICIES.names()) == {"default", "fifo_first_fit", "random"}
    for name in POLICIES.names():
        assert issubclass(POLICIES.find(name), PlacementPolicy)


def test_unknown_policy_of_a_pool_is_an_error(clock):
    with pytest.raises(PluginNotFoundError):
        make_scheduler(clock, policy="missing")


def test_fast_upstreams_are_preferred(clock):
    shapes = [make_shape("slow", speed=0.5), make_shape("fast", speed=2.0), make_shape("mid")]
    scheduler = make_scheduler(clock, shapes)
    scheduler.submit(make_job(1, tasks=5))
    assert placed(scheduler) == ["fast"] * 4 + ["mid"]


def test_the_run_time_depends_on_the_upstream(clock):
    scheduler = make_scheduler(clock, [make_shape("fast", speed=2.0)])
    scheduler.submit(make_job(1, run=4.0))
    (start,) = starts(scheduler.decide(1))
    assert start.expected_run.total_seconds() == 2.0


def test_processor_work_stays_off_accelerators_while_it_fits_elsewhere(clock):
    shapes = [make_shape("gpu", GPU_MACHINE, speed=5.0), make_shape("cpu", speed=0.5)]
    scheduler = make_scheduler(clock, shapes)
    scheduler.submit(make_job(1, tasks=5))
    assert placed(scheduler) == ["cpu"] * 4 + ["gpu"]


def test_accelerator_work_goes_to_accelerators(clock):
    shapes = [make_shape("gpu", GPU_MACHINE), make_shape("cpu", speed=9.0)]
    scheduler = make_scheduler(clock, shapes)
    scheduler.submit(make_job(1, resources=Resources(1000, 1000, 1)))
    assert placed(scheduler) == ["gpu"]


def test_small_tasks_leave_a_large_block_for_a_gang(clock):
    scheduler = make_scheduler(clock, 2)
    fill(scheduler, 4)
    scheduler.submit(make_job("gang", GangJob, resources=Resources(4000, 4096, 0, 4)))
    assert len(placed(scheduler)) == 1


def test_tasks_of_a_service_are_spread_over_racks(clock):
    shapes = [make_shape(f"u{i}", rack=f"rack{i // 4}") for i in range(16)]
    scheduler = make_scheduler(clock, shapes)
    scheduler.submit(make_job("service", ServiceJob, tasks=8))
    racks = [int(upstream_id[1:]) // 4 for upstream_id in placed(scheduler)]
    assert sorted(racks) == [0, 0, 1, 1, 2, 2, 3, 3]


def test_the_spread_counts_tasks_that_ended(clock):
    shapes = [make_shape(f"u{i}", rack=f"rack{i}") for i in range(3)]
    scheduler = make_scheduler(clock, shapes)
    scheduler.submit(make_job("service", ServiceJob, tasks=3))
    first, *_ = starts(scheduler.decide(10))
    scheduler.ended(first.attempt_id, TaskEnd.SUCCEEDED, None)
    assert placed(scheduler) == [first.upstream_id]


@pytest.mark.parametrize("policy", ["fifo_first_fit", "random"])
def test_baselines_serve_in_order_of_arrival(clock, policy):
    scheduler = make_scheduler(clock, 1, policy=policy)
    for i, band in enumerate([3, 0, 2, 1]):
        scheduler.submit(make_job(i, band=band))
    assert [start.job.id for start in starts(scheduler.decide(10))] == ["0", "1", "2", "3"]


@pytest.mark.parametrize("policy", ["default", "fifo_first_fit", "random"])
def test_gangs_are_placed_as_a_whole_or_not_at_all(clock, policy):
    scheduler = make_scheduler(clock, 2, policy=policy)
    scheduler.submit(make_job("fill", tasks=5))
    assert len(placed(scheduler)) == 5
    scheduler.submit(make_job("gang", GangJob, tasks=4))
    assert placed(scheduler) == []
