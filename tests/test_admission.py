"""Tests of admission control: which jobs are refused and for what reason."""

import pytest
from result import Ok

from hornbeamramp.ids import TeamId
from hornbeamramp.jobs import GangJob
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band, RefusalReason
from hornbeamramp.tables import Quota
from tests.builders import advance, fill, finish, make_job, make_scheduler, make_shape, starts


def refusal(result):
    return result.unwrap_err()


@pytest.mark.parametrize(
    "job",
    [
        make_job("processors", resources=Resources(4001, 1)),
        make_job("memory", resources=Resources(1, 4097)),
        make_job("accelerators", resources=Resources(1, 1, 1)),
        make_job("gang", GangJob, tasks=9),
        make_job("slots", resources=Resources(1, 1, 0, 5)),
    ],
    ids=lambda job: job.id,
)
def test_a_job_that_never_fits_is_refused_at_once(clock, job):
    refused = refusal(make_scheduler(clock).submit(job))
    assert refused.reason is RefusalReason.NEVER_RUNS
    assert refused.retry_after is None
    assert refused.detail


def test_a_job_is_refused_with_a_retry_time_before_any_upstream_is_known(clock):
    scheduler = make_scheduler(clock, 0)
    refused = refusal(scheduler.submit(make_job(1)))
    assert refused.reason is RefusalReason.OVERLOAD
    assert refused.retry_after is not None
    scheduler.add_upstream(make_shape("u"))
    assert isinstance(scheduler.submit(make_job(1)), Ok)


def test_more_at_once_than_the_limit_of_the_team_is_refused(clock):
    quotas = {TeamId("t"): Quota(limit=Resources(2000, 9999, 9, 9, 9))}
    scheduler = make_scheduler(clock, 2, quotas)
    assert refusal(scheduler.submit(make_job(1, resources=Resources(3000, 1)))).reason is (
        RefusalReason.QUOTA
    )
    assert refusal(scheduler.submit(make_job(2, GangJob, tasks=3))).reason is RefusalReason.QUOTA
    assert isinstance(scheduler.submit(make_job(3, tasks=3)), Ok)


def test_a_deadline_before_the_expected_start_is_refused(clock):
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 4, band=Band.NORMAL, run=10.0)
    for i in range(40):
        scheduler.submit(make_job(i, run=10.0)).unwrap()
    refused = refusal(scheduler.submit(make_job("late", deadline=5)))
    assert refused.reason is RefusalReason.DEADLINE
    assert refused.retry_after is not None
    admitted = scheduler.submit(make_job("patient", deadline=1000)).unwrap()
    assert 50 < admitted.expected_wait.total_seconds() < 200


def test_predicted_wait_agrees_with_the_measured_one(clock):
    scheduler = make_scheduler(clock, 2)
    for i in range(200):
        scheduler.submit(make_job(i, run=1.0))
    predicted = scheduler.submit(make_job("last", run=1.0)).unwrap().expected_wait.total_seconds()
    waited, running = 0.0, []
    while True:
        placed = starts(scheduler.decide(100))
        if any(start.job.id == "last" for start in placed):
            break
        running = placed
        advance(clock, 1.0)
        waited += 1.0
        for start in running:
            finish(scheduler, start)
    assert waited / 2 <= predicted <= waited * 2


def test_least_urgent_work_is_refused_first(clock):
    scheduler = make_scheduler(clock, 1, queue_bound=100)
    fill(scheduler, 4, band=Band.URGENT)
    admitted = dict.fromkeys(Band, 0)
    for i in range(400):
        for band in Band:
            job = make_job(f"{band}-{i}", band=band, team=f"team{i % 20}")
            admitted[band] += isinstance(scheduler.submit(job), Ok)
    assert sum(admitted.values()) <= 100
    assert admitted[Band.URGENT] > admitted[Band.BULK]
    refused = scheduler.submit(make_job("bulk", band=Band.BULK, team="new")).unwrap_err()
    assert refused.reason is RefusalReason.OVERLOAD
    assert refused.retry_after is not None


def test_a_team_that_floods_fills_only_its_share_of_the_queue(clock):
    scheduler = make_scheduler(clock, 1, queue_bound=100)
    fill(scheduler, 4, band=Band.URGENT)
    scheduler.submit(make_job("first", team="quiet"))
    for i in range(500):
        scheduler.submit(make_job(f"f{i}", team="flood", band=Band.URGENT))
    assert sum(scheduler.snapshot().queued_by_band.values()) <= 60
    for i in range(10):
        job = make_job(f"q{i}", team="quiet", band=Band.BULK)
        assert isinstance(scheduler.submit(job), Ok)


def test_a_route_that_floods_leaves_room_for_others_of_its_team(clock):
    scheduler = make_scheduler(clock, 1, queue_bound=100)
    fill(scheduler, 4, band=Band.URGENT)
    for i in range(500):
        scheduler.submit(make_job(f"f{i}", route="flood"))
    assert isinstance(scheduler.submit(make_job("quiet", route="quiet")), Ok)


def test_a_job_that_waits_is_not_queued_twice(clock):
    scheduler = make_scheduler(clock, 1)
    assert isinstance(scheduler.submit(make_job(1)), Ok)
    assert isinstance(scheduler.submit(make_job(1)), Ok)
    assert len(scheduler.decide(10)) == 1
    assert isinstance(scheduler.submit(make_job(1)), Ok)
    assert scheduler.decide(10) == []


def test_an_estimate_above_every_machine_is_lowered_to_one(clock):
    """Guards against sizes learned on a larger machine that fit on none of the remaining ones."""
    scheduler = make_scheduler(clock, 2)
    for i in range(10):
        scheduler.submit(make_job(i))
        (start,) = starts(scheduler.decide(1))
        finish(scheduler, start, usage=Resources(9000, 9000))
    scheduler.submit(make_job("next"))
    (start,) = starts(scheduler.decide(1))
    assert start.resources.fits_in(Resources(4000, 4096, 0, 4, 16))
