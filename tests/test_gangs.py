"""Tests of gangs: all-or-nothing starts, reservations and backfill."""

from hornbeamramp.decisions import EndEffect, Stop, TaskEnd
from hornbeamramp.jobs import GangJob
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band
from tests.builders import advance, fill, finish, make_job, make_scheduler, starts

WHOLE_UPSTREAM = Resources(4000, 4096, 0, 4, 4)


def test_starts_beyond_the_limit_follow_in_the_next_calls(clock):
    scheduler = make_scheduler(clock, 2)
    scheduler.submit(make_job("gang", GangJob, tasks=8))
    counts = [len(scheduler.decide(3)) for _ in range(4)]
    assert counts == [3, 3, 2, 0]


def test_a_waiting_gang_is_not_overtaken_forever(clock):
    """Guards against starvation of a gang by small jobs that take each freed slot first."""
    scheduler = make_scheduler(clock, 2)
    running = fill(scheduler, 8, band=Band.NORMAL)
    scheduler.submit(make_job("gang", GangJob, tasks=2, resources=WHOLE_UPSTREAM))
    for number in range(60):
        advance(clock, 0.2)
        scheduler.submit(make_job(f"small{number}", band=Band.NORMAL, run=100.0))
        if running:
            finish(scheduler, running.pop(0))
        placed = starts(scheduler.decide(10))
        if any(start.job.id == "gang" for start in placed):
            return
        running.extend(placed)
    raise AssertionError("the gang did not start")


def test_backfill_ends_before_the_expected_start_of_the_gang(clock):
    scheduler = make_scheduler(clock, 2)
    long, *rest = fill(scheduler, 8, run=20.0, band=Band.NORMAL)
    for start in rest:
        if start.upstream_id == long.upstream_id:
            finish(scheduler, start)
    scheduler.submit(make_job("gang", GangJob, tasks=2, resources=WHOLE_UPSTREAM))
    assert scheduler.decide(10) == []
    scheduler.submit(make_job("long", run=600.0, band=Band.NORMAL, route="long"))
    scheduler.submit(make_job("short", run=5.0, band=Band.NORMAL, route="short"))
    assert [start.job.id for start in starts(scheduler.decide(10))] == ["short"]


def test_a_reservation_is_bounded_in_time(clock):
    scheduler = make_scheduler(clock, 2)
    long, *rest = fill(scheduler, 8, run=5.0, band=Band.NORMAL, idempotent=False)
    scheduler.submit(make_job("gang", GangJob, tasks=2, resources=WHOLE_UPSTREAM))
    scheduler.decide(10)
    for start in rest:
        finish(scheduler, start)
    scheduler.submit(make_job("other", run=600.0, band=Band.NORMAL, route="other"))
    assert scheduler.decide(10) == []
    advance(clock, 31.0)
    assert [start.job.id for start in starts(scheduler.decide(10))] == ["other"]


def test_a_failed_task_stops_the_gang_which_starts_again_as_a_whole(clock):
    scheduler = make_scheduler(clock, 2)
    scheduler.submit(make_job("gang", GangJob, tasks=3))
    first, *rest = starts(scheduler.decide(10))
    assert finish(scheduler, first, TaskEnd.FAILED) is EndEffect.RETRY
    actions = scheduler.decide(10)
    assert all(isinstance(action, Stop) for action in actions)
    assert {action.attempt_id for action in actions} == {start.attempt_id for start in rest}
    finish(scheduler, rest[0], TaskEnd.STOPPED)
    assert scheduler.decide(10) == []
    finish(scheduler, rest[1], TaskEnd.STOPPED)
    assert sorted(start.task for start in starts(scheduler.decide(10))) == [0, 1, 2]


def test_a_task_of_a_gang_that_must_run_once_is_started_again_alone(clock):
    scheduler = make_scheduler(clock, 2)
    scheduler.submit(make_job("gang", GangJob, tasks=3, idempotent=False))
    first, *_ = starts(scheduler.decide(10))
    assert finish(scheduler, first, TaskEnd.NOT_STARTED) is EndEffect.RETRY
    assert [start.task for start in scheduler.decide(10)] == [first.task]


def test_starts_that_were_not_returned_are_taken_back_with_their_upstream(clock):
    scheduler = make_scheduler(clock, 3)
    scheduler.submit(make_job("gang", GangJob, tasks=8))
    emitted = starts(scheduler.decide(1))
    other_ids = {"u0", "u1", "u2"} - {emitted[0].upstream_id}
    for upstream_id in other_ids:
        scheduler.set_leaving(upstream_id)
    (stop,) = scheduler.decide(10)
    assert stop == Stop(emitted[0].attempt_id, emitted[0].upstream_id)
    finish(scheduler, emitted[0], TaskEnd.STOPPED)
    assert scheduler.decide(10) == []
    assert scheduler.snapshot().running == 0
