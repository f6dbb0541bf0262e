"""Tests of preemption for urgent work."""

import pytest

from hornbeamramp.decisions import Checkpoint, EndEffect, Stop, TaskEnd, Throttle
from hornbeamramp.jobs import GangJob
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band
from tests.builders import advance, fill, finish, make_job, make_scheduler, make_shape, starts


def test_the_task_with_the_least_work_lost_is_stopped(clock):
    scheduler = make_scheduler(clock)
    fill(scheduler, 7, "old", run=100.0)
    advance(clock, 50.0)
    (young,) = fill(scheduler, 1, "young", run=100.0)
    advance(clock, 0.5)
    scheduler.submit(make_job("urgent", band=Band.URGENT))
    assert scheduler.decide(10) == [Stop(young.attempt_id, young.upstream_id)]


def test_old_tasks_are_checkpointed(clock):
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 4, run=100.0)
    advance(clock, 50.0)
    scheduler.submit(make_job("urgent", band=Band.URGENT))
    (action,) = scheduler.decide(10)
    assert isinstance(action, Checkpoint)


def test_room_is_not_used_before_the_end_is_reported(clock):
    scheduler = make_scheduler(clock, 1)
    placed = {start.attempt_id: start for start in fill(scheduler, 4, run=100.0)}
    scheduler.submit(make_job("urgent", band=Band.URGENT))
    (action,) = scheduler.decide(10)
    assert scheduler.decide(10) == []
    # Other work must not take the freed capacity either, whichever way the attempt ends.
    scheduler.submit(make_job("other", band=Band.SERVICE))
    assert finish(scheduler, placed[action.attempt_id], TaskEnd.STOPPED) is EndEffect.RETRY
    assert [start.job.id for start in starts(scheduler.decide(10))] == ["urgent"]


def test_tasks_that_are_not_idempotent_are_never_stopped(clock):
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 4, idempotent=False)
    scheduler.submit(make_job("urgent", band=Band.URGENT))
    assert scheduler.decide(10) == []


@pytest.mark.parametrize("band", [Band.URGENT, Band.SERVICE])
def test_urgent_and_service_work_is_never_preempted(clock, band):
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 4, band=band)
    scheduler.submit(make_job("urgent", band=Band.URGENT, team="other"))
    assert scheduler.decide(10) == []


def test_lower_bands_do_not_preempt(clock):
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 4)
    scheduler.submit(make_job("service", band=Band.SERVICE))
    scheduler.submit(make_job("normal", band=Band.NORMAL))
    assert scheduler.decide(10) == []


def test_each_urgent_job_gets_room_of_its_own(clock):
    scheduler = make_scheduler(clock, 4)
    fill(scheduler, 16)
    for i in range(6):
        scheduler.submit(make_job(f"urgent{i}", band=Band.URGENT))
    actions = scheduler.decide(100)
    assert len({action.attempt_id for action in actions}) == 6


def test_processors_alone_are_freed_by_throttling(clock):
    scheduler = make_scheduler(clock, 1)
    bulk = fill(scheduler, 2, resources=Resources(2000, 100), run=100.0)
    advance(clock, 50.0)
    scheduler.submit(make_job("urgent", band=Band.URGENT, resources=Resources(1000, 100)))
    (action,) = scheduler.decide(10)
    assert isinstance(action, Throttle)
    assert action.resources.processors_milli < 2000
    assert scheduler.decide(10) == []
    scheduler.throttled(action.attempt_id)
    assert [start.job.id for start in starts(scheduler.decide(10))] == ["urgent"]
    assert action.attempt_id in {start.attempt_id for start in bulk}


def test_a_late_usage_report_confirms_a_throttle(clock):
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 2, resources=Resources(2000, 100), run=100.0)
    advance(clock, 50.0)
    scheduler.submit(make_job("urgent", band=Band.URGENT, resources=Resources(1000, 100)))
    (action,) = scheduler.decide(10)
    scheduler.report_usage(action.attempt_id, Resources(400, 50))
    assert scheduler.decide(10) == []
    advance(clock, 2.0)
    scheduler.report_usage(action.attempt_id, Resources(400, 50))
    assert len(starts(scheduler.decide(10))) == 1


def test_an_urgent_gang_preempts_for_all_its_tasks_at_once(clock):
    scheduler = make_scheduler(clock, 2)
    by_id = {start.attempt_id: start for start in fill(scheduler, 8)}
    scheduler.submit(make_job("gang", GangJob, band=Band.URGENT, tasks=4))
    actions = scheduler.decide(10)
    assert len(actions) == 4
    for action in actions[:3]:
        finish(scheduler, by_id[action.attempt_id], TaskEnd.STOPPED)
        assert starts(scheduler.decide(10)) == []
    finish(scheduler, by_id[actions[3].attempt_id], TaskEnd.STOPPED)
    assert [start.job.id for start in starts(scheduler.decide(10))] == ["gang"] * 4


def test_room_is_given_up_if_the_end_is_never_reported(clock):
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 4)
    scheduler.submit(make_job("urgent", band=Band.URGENT))
    (first,) = scheduler.decide(10)
    advance(clock, 11.0)
    (second,) = scheduler.decide(10)
    assert second.attempt_id != first.attempt_id


def test_a_cancelled_urgent_job_leaves_its_room_to_others(clock):
    scheduler = make_scheduler(clock, [make_shape("u")])
    by_id = {start.attempt_id: start for start in fill(scheduler, 4)}
    scheduler.submit(make_job("urgent", band=Band.URGENT))
    (action,) = scheduler.decide(10)
    scheduler.cancel("urgent")
    scheduler.submit(make_job("other", band=Band.NORMAL))
    finish(scheduler, by_id[action.attempt_id], TaskEnd.STOPPED)
    assert [start.job.id for start in starts(scheduler.decide(10))] == ["other"]


def test_a_job_past_its_deadline_goes_on_if_one_of_its_tasks_got_room(clock):
    scheduler = make_scheduler(clock, 1)
    first, *_ = fill(scheduler, 4)
    scheduler.submit(make_job("urgent", band=Band.URGENT, tasks=6, deadline=5.0))
    scheduler.decide(100)
    advance(clock, 6.0)
    scheduler.decide(100)
    finish(scheduler, first, TaskEnd.STOPPED)
    (start,) = starts(scheduler.decide(100))
    assert start.job.id == "urgent"
    assert scheduler.expire() == []
    assert finish(scheduler, start) is EndEffect.TASK_DONE
    assert {start.job.id for start in starts(scheduler.decide(100))} == {"urgent"}
