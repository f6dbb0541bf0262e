"""Tests of the scheduler's calls as its owner makes them."""

from datetime import timedelta

import pytest
from result import Err, Ok

from hornbeamramp.decisions import CancellationKind, Ended, Start, TaskEnd
from hornbeamramp.ids import JobId, PoolName, RackId, RouteName, TeamId, UpstreamId
from hornbeamramp.jobs import BatchJob, GangJob, ServiceJob
from hornbeamramp.resources import Resources
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.states import RefusalReason
from hornbeamramp.tables import Pool
from hornbeamramp.upstreams.base import UpstreamShape

MACHINE = Resources(4000, 4096, 0, 4, 16)
SMALL = Resources(1000, 1024)


def job(number, kind=BatchJob, **fields):
    fields.setdefault("resources", SMALL)
    fields.setdefault("team", TeamId("t"))
    return kind(id=JobId(f"j{number}"), route=RouteName("r"), pool=PoolName("p"), **fields)


@pytest.fixture
def scheduler(clock):
    result = ShardScheduler(Pool(PoolName("p")), clock, {})
    for i in range(2):
        result.add_upstream(UpstreamShape(UpstreamId(f"u{i}"), RackId(f"k{i}"), MACHINE))
    return result


def test_batch_job_runs_to_its_end(scheduler):
    assert isinstance(scheduler.submit(job(1)), Ok)
    (start,) = scheduler.decide(10)
    assert isinstance(start, Start)
    scheduler.started(start.attempt_id)
    assert scheduler.ended(start.attempt_id, TaskEnd.SUCCEEDED, None) is Ended.JOB_DONE
    assert scheduler.ended(start.attempt_id, TaskEnd.SUCCEEDED, None) is Ended.IGNORED
    assert scheduler.snapshot().running == 0


def test_gang_that_does_not_fit_starts_no_task(scheduler):
    scheduler.submit(job(1, tasks=5))
    assert len(scheduler.decide(10)) == 5
    scheduler.submit(job(2, GangJob, tasks=4))
    assert scheduler.decide(10) == []


def test_service_task_is_queued_again_until_cancelled(scheduler):
    scheduler.submit(job(1, ServiceJob))
    (start,) = scheduler.decide(10)
    assert scheduler.ended(start.attempt_id, TaskEnd.FAILED, None) is Ended.RETRY
    (again,) = scheduler.decide(10)
    assert again.attempt_id != start.attempt_id
    cancellation = scheduler.cancel(JobId("j1"))
    assert cancellation.kind is CancellationKind.RUNNING
    assert [s.attempt_id for s in cancellation.stop] == [again.attempt_id]
    assert scheduler.ended(again.attempt_id, TaskEnd.STOPPED, None) is Ended.JOB_CANCELLED


def test_job_that_never_fits_is_refused(scheduler):
    refused = scheduler.submit(job(1, resources=Resources(5000, 1)))
    assert isinstance(refused, Err)
    assert refused.err_value.reason is RefusalReason.NEVER_RUNS


def test_lost_attempt_of_a_job_that_is_not_idempotent_fails_it(scheduler):
    scheduler.submit(job(1, idempotent=False))
    (start,) = scheduler.decide(10)
    assert scheduler.ended(start.attempt_id, TaskEnd.LOST, None) is Ended.JOB_FAILED
    assert scheduler.decide(10) == []


def test_queued_job_expires_at_its_deadline(scheduler, clock):
    scheduler.submit(job(1, tasks=8))
    scheduler.decide(10)
    scheduler.submit(job(2, deadline=timedelta(seconds=2)))
    clock.set(timedelta(seconds=3))
    assert scheduler.expire() == [JobId("j2")]
