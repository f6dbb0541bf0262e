"""Tests of the calls that the owner of a shard makes on its scheduler."""

from datetime import timedelta

import pytest
from result import Err, Ok

from hornbeamramp.decisions import CancellationKind, EndEffect, Start, TaskEnd
from hornbeamramp.ids import Epoch, JobId, PoolName, RackId, RouteName, TeamId, UpstreamId
from hornbeamramp.jobs import BatchJob, GangJob, ServiceJob
from hornbeamramp.resources import Resources
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.states import RefusalReason, UpstreamState
from hornbeamramp.tables import Pool
from hornbeamramp.upstreams.base import UpstreamShape
from tests.builders import advance, finish, make_job, make_scheduler, make_shape, starts

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
    assert scheduler.ended(start.attempt_id, TaskEnd.SUCCEEDED, None) is EndEffect.JOB_DONE
    assert scheduler.ended(start.attempt_id, TaskEnd.SUCCEEDED, None) is EndEffect.IGNORED
    assert scheduler.snapshot().running == 0


def test_gang_that_does_not_fit_starts_no_task(scheduler):
    scheduler.submit(job(1, tasks=5))
    assert len(scheduler.decide(10)) == 5
    scheduler.submit(job(2, GangJob, tasks=4))
    assert scheduler.decide(10) == []


def test_service_task_is_queued_again_until_cancelled(scheduler):
    scheduler.submit(job(1, ServiceJob))
    (start,) = scheduler.decide(10)
    assert scheduler.ended(start.attempt_id, TaskEnd.FAILED, None) is EndEffect.RETRY
    (retry,) = scheduler.decide(10)
    assert retry.attempt_id != start.attempt_id
    cancellation = scheduler.cancel(JobId("j1"))
    assert cancellation.kind is CancellationKind.RUNNING
    assert [s.attempt_id for s in cancellation.stop] == [retry.attempt_id]
    assert scheduler.ended(retry.attempt_id, TaskEnd.STOPPED, None) is EndEffect.JOB_CANCELLED


def test_job_that_never_fits_is_refused(scheduler):
    refused = scheduler.submit(job(1, resources=Resources(5000, 1)))
    assert isinstance(refused, Err)
    assert refused.err_value.reason is RefusalReason.NEVER_RUNS


def test_lost_attempt_of_a_job_that_is_not_idempotent_fails_it(scheduler):
    scheduler.submit(job(1, idempotent=False))
    (start,) = scheduler.decide(10)
    assert scheduler.ended(start.attempt_id, TaskEnd.LOST, None) is EndEffect.JOB_FAILED
    assert scheduler.decide(10) == []


def test_queued_job_expires_at_its_deadline(scheduler, clock):
    scheduler.submit(job(1, tasks=8))
    scheduler.decide(10)
    scheduler.submit(job(2, deadline=timedelta(seconds=2)))
    clock.set(timedelta(seconds=3))
    assert scheduler.expire() == [JobId("j2")]


def test_a_job_that_had_an_attempt_does_not_expire_as_not_run(clock):
    scheduler = make_scheduler(clock, 1)
    scheduler.submit(make_job(1, deadline=2.0))
    (start,) = starts(scheduler.decide(1))
    finish(scheduler, start, TaskEnd.FAILED)
    advance(clock, 3.0)
    assert scheduler.expire() == []
    assert len(starts(scheduler.decide(1))) == 1


def test_cancel_tells_whether_an_earlier_attempt_ran(clock):
    scheduler = make_scheduler(clock, 1)
    scheduler.submit(make_job(1))
    (start,) = starts(scheduler.decide(1))
    finish(scheduler, start, TaskEnd.FAILED)
    assert scheduler.cancel("1").ran
    scheduler.submit(make_job(2))
    assert not scheduler.cancel("2").ran
    assert scheduler.cancel("2").kind is CancellationKind.UNKNOWN


@pytest.mark.parametrize("end", [TaskEnd.FAILED, TaskEnd.LOST, TaskEnd.STOPPED])
def test_work_that_must_run_once_is_not_attempted_again(clock, end):
    scheduler = make_scheduler(clock, 4)
    scheduler.submit(make_job(1, idempotent=False))
    (start,) = starts(scheduler.decide(1))
    assert finish(scheduler, start, end) is EndEffect.JOB_FAILED
    assert scheduler.decide(10) == []


def test_work_that_must_run_once_is_queued_again_if_it_did_not_start(clock):
    scheduler = make_scheduler(clock, 4)
    scheduler.submit(make_job(1, idempotent=False))
    (start,) = starts(scheduler.decide(1))
    assert finish(scheduler, start, TaskEnd.NOT_STARTED) is EndEffect.RETRY
    (retry,) = starts(scheduler.decide(1))
    assert retry.attempt_id != start.attempt_id
    assert retry.upstream_id != start.upstream_id


def test_a_failed_job_has_its_other_attempts_stopped(clock):
    scheduler = make_scheduler(clock, 4)
    scheduler.submit(make_job(1, tasks=2, idempotent=False))
    first, second = starts(scheduler.decide(2))
    assert finish(scheduler, first, TaskEnd.FAILED) is EndEffect.JOB_FAILED
    assert [a.attempt_id for a in scheduler.decide(10)] == [second.attempt_id]
    assert finish(scheduler, second, TaskEnd.STOPPED) is EndEffect.IGNORED
    assert scheduler.snapshot().running == 0


def test_a_job_that_fails_on_three_upstreams_is_at_fault(clock):
    scheduler = make_scheduler(clock, 10)
    scheduler.submit(make_job("bad"))
    ends = []
    for _ in range(3):
        (start,) = starts(scheduler.decide(1))
        ends.append((finish(scheduler, start, TaskEnd.FAILED), start.upstream_id))
    assert [end for end, _ in ends] == [EndEffect.RETRY, EndEffect.RETRY, EndEffect.JOB_FAILED]
    assert len({upstream_id for _, upstream_id in ends}) == 3
    status = scheduler.snapshot()
    assert status.at_fault == ["bad"]
    assert all(upstream.state is UpstreamState.ACTIVE for upstream in status.upstreams)


def test_an_upstream_that_fails_every_task_gets_one_probe_at_a_time(clock):
    scheduler = make_scheduler(clock, 10)
    faulty_id = None
    for i in range(8):
        scheduler.submit(make_job(i))
        (start,) = starts(scheduler.decide(1))
        faulty_id = faulty_id or start.upstream_id
        end = TaskEnd.FAILED if start.upstream_id == faulty_id else TaskEnd.SUCCEEDED
        if finish(scheduler, start, end) is EndEffect.RETRY:
            (retry,) = starts(scheduler.decide(1))
            finish(scheduler, retry)
    states = {u.id: u.state for u in scheduler.snapshot().upstreams}
    assert states[faulty_id] is UpstreamState.QUARANTINED
    for i in range(20):
        scheduler.submit(make_job(f"a{i}"))
    assert faulty_id not in {start.upstream_id for start in starts(scheduler.decide(100))}
    advance(clock, 6.0)
    for i in range(5):
        scheduler.submit(make_job(f"b{i}"))
    probes = [s for s in starts(scheduler.decide(100)) if s.upstream_id == faulty_id]
    assert len(probes) == 1
    finish(scheduler, probes[0])
    states = {u.id: u.state for u in scheduler.snapshot().upstreams}
    assert states[faulty_id] is UpstreamState.ACTIVE


def test_a_leaving_upstream_gets_no_new_work(clock):
    scheduler = make_scheduler(clock, 2)
    scheduler.set_leaving("u0")
    scheduler.submit(make_job(1, tasks=8))
    assert {start.upstream_id for start in starts(scheduler.decide(10))} == {"u1"}
    scheduler.add_upstream(make_shape("u2", leaving=True))
    assert scheduler.decide(10) == []


def test_attempts_of_a_removed_upstream_are_returned_and_retried(clock):
    scheduler = make_scheduler(clock, [make_shape("fast", speed=2.0), make_shape("slow")])
    scheduler.submit(make_job(1))
    (start,) = starts(scheduler.decide(1))
    assert scheduler.remove_upstream("fast") == [start.attempt_id]
    assert finish(scheduler, start, TaskEnd.LOST) is EndEffect.RETRY
    (retry,) = starts(scheduler.decide(1))
    assert retry.upstream_id == "slow"


def test_unknown_usage_is_held_until_its_time(clock):
    scheduler = make_scheduler(clock, 1)
    scheduler.reserve_unknown("u0", "x.0.1.1", Resources(9000, 9000), timedelta(seconds=10))
    scheduler.submit(make_job(1))
    assert scheduler.decide(1) == []
    assert scheduler.snapshot().upstreams[0].free.processors_milli == 0
    advance(clock, 10.0)
    assert len(starts(scheduler.decide(1))) == 1


def test_an_unknown_hold_becomes_an_adopted_attempt(clock):
    scheduler = make_scheduler(clock, 1, epoch=Epoch(2))
    scheduler.reserve_unknown("u0", "1.0.1.1", SMALL, timedelta(seconds=10))
    scheduler.adopt(make_job(1), "1.0.1.1", "u0")
    advance(clock, 20.0)
    scheduler.decide(1)
    assert scheduler.snapshot().upstreams[0].free.slots == 3
    assert scheduler.reconcile_adopted("1", set()) is EndEffect.TASK_DONE
    assert scheduler.ended("1.0.1.1", TaskEnd.SUCCEEDED, None) is EndEffect.JOB_DONE
    assert scheduler.snapshot().upstreams[0].free.slots == 4


def test_adopted_tasks_are_not_started_again(clock):
    scheduler = make_scheduler(clock, 1, epoch=Epoch(2))
    job = make_job(1, tasks=3)
    scheduler.adopt(job, "1.1.1.1", "u0")
    assert scheduler.decide(10) == []
    assert scheduler.reconcile_adopted("1", {2}) is EndEffect.RETRY
    assert sorted(start.task for start in starts(scheduler.decide(10))) == [0]


def test_an_adopted_job_does_not_end_before_all_upstreams_are_listed(clock):
    """Guards against a job that is reported as done with the results of only some tasks."""
    scheduler = make_scheduler(clock, 1, epoch=Epoch(2))
    scheduler.adopt(make_job(1, tasks=2), "1.0.1.1", "u0")
    assert scheduler.ended("1.0.1.1", TaskEnd.SUCCEEDED, None) is EndEffect.TASK_DONE
    assert scheduler.reconcile_adopted("1", {0}) is EndEffect.RETRY
    assert [start.task for start in starts(scheduler.decide(10))] == [1]


def test_a_missing_task_of_a_non_idempotent_job_is_not_started(clock):
    """Guards against a second run of a settlement that no upstream lists any more."""
    scheduler = make_scheduler(clock, 1, epoch=Epoch(2))
    scheduler.adopt(make_job(1, tasks=2, idempotent=False), "1.0.1.1", "u0")
    assert scheduler.reconcile_adopted("1", set()) is EndEffect.JOB_FAILED
    assert starts(scheduler.decide(10)) == []


def test_adoption_beyond_the_capacity_leaves_zero_free(clock):
    scheduler = make_scheduler(clock, 1)
    scheduler.adopt(make_job(1, resources=Resources(5000, 5000)), "1.0.1.1", "u0")
    assert scheduler.snapshot().upstreams[0].free.processors_milli == 0


def test_an_attempt_of_another_job_is_not_adopted(clock):
    with pytest.raises(ValueError, match="not an attempt"):
        make_scheduler(clock, 1).adopt(make_job(1), "2.0.1.1", "u0")


def test_use_beyond_the_declaration_is_accounted(clock):
    scheduler = make_scheduler(clock, 1)
    scheduler.submit(make_job(1))
    (start,) = starts(scheduler.decide(1))
    scheduler.report_usage(start.attempt_id, Resources(3500, 1024))
    scheduler.submit(make_job(2))
    assert scheduler.decide(1) == []
    finish(scheduler, start)
    assert len(starts(scheduler.decide(1))) == 1


def test_attempt_ids_carry_the_epoch(clock):
    scheduler = make_scheduler(clock, 1, epoch=Epoch(7))
    scheduler.submit(make_job("a.b"))
    (start,) = starts(scheduler.decide(1))
    assert start.attempt_id == "a.b.0.7.1"
