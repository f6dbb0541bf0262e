"""Tests of the order of queued jobs, of parking and of cancelling."""

import time
import tracemalloc

from hornbeamramp.decisions import CancellationKind
from hornbeamramp.ids import TeamId
from hornbeamramp.jobs import ServiceJob
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band
from hornbeamramp.tables import Quota
from tests.builders import advance, fill, finish, make_job, make_scheduler, starts


def started_ids(scheduler, limit=1000):
    return [start.job.id for start in starts(scheduler.decide(limit))]


def test_more_urgent_bands_come_first(clock):
    scheduler = make_scheduler(clock, 1)
    for band in reversed(Band):
        scheduler.submit(make_job(band.name, band=band))
    assert started_ids(scheduler) == ["URGENT", "SERVICE", "NORMAL", "BULK"]


def test_teams_share_by_weight(clock):
    quotas = {TeamId("heavy"): Quota(weight=3.0), TeamId("light"): Quota(weight=1.0)}
    scheduler = make_scheduler(clock, 10, quotas)
    for i in range(100):
        scheduler.submit(make_job(f"light{i}", team="light"))
    for i in range(100):
        scheduler.submit(make_job(f"heavy{i}", team="heavy"))
    placed = started_ids(scheduler)
    heavy = sum(job_id.startswith("heavy") for job_id in placed)
    assert len(placed) == 40
    assert 28 <= heavy <= 32


def test_the_dominant_resource_counts(clock):
    """A team that uses little memory but many processors is not favoured for its memory."""
    scheduler = make_scheduler(clock, 10)
    for i in range(40):
        processors = Resources(2000, 16)
        scheduler.submit(make_job(f"p{i}", team="p", resources=processors))
        scheduler.submit(make_job(f"m{i}", team="m", resources=Resources(10, 1024)))
    placed = started_ids(scheduler)
    first = placed[:24]
    assert 6 <= sum(job_id.startswith("p") for job_id in first) <= 10


def test_recent_use_counts_and_decays(clock):
    scheduler = make_scheduler(clock, 1)
    past = fill(scheduler, 4, team="past", band=Band.NORMAL)
    advance(clock, 20.0)
    for start in past:
        finish(scheduler, start)
    scheduler.submit(make_job("past", team="past", route="new"))
    scheduler.submit(make_job("fresh", team="fresh", route="new"))
    assert started_ids(scheduler, 1) == ["fresh"]


def test_short_work_comes_first_within_the_age_bound(clock):
    scheduler = make_scheduler(clock, 1)
    blocker = fill(scheduler, 4, band=Band.NORMAL, route="blocker")
    scheduler.submit(make_job("long", run=1000.0, route="long"))
    advance(clock, 1.0)
    scheduler.submit(make_job("short", run=1.0, route="short"))
    finish(scheduler, blocker[0])
    assert started_ids(scheduler) == ["short"]
    advance(clock, 60.0)
    scheduler.submit(make_job("later", run=1.0, route="short"))
    finish(scheduler, blocker[1])
    assert started_ids(scheduler) == ["long"]


def test_a_lower_band_does_not_starve_behind_a_stream_of_urgent_work(clock):
    scheduler = make_scheduler(clock, 1)
    running = fill(scheduler, 4, band=Band.URGENT, team="u")
    for i in range(100):
        scheduler.submit(make_job(f"bulk{i}", band=Band.BULK, team="b"))
    bulk = 0
    for i in range(400):
        scheduler.submit(make_job(f"urgent{i}", band=Band.URGENT, team="u"))
        advance(clock, 0.25)
        if running:
            finish(scheduler, running.pop(0))
        placed = starts(scheduler.decide(1))
        bulk += any(start.job.band == Band.BULK for start in placed)
        running.extend(placed)
    assert 8 <= bulk <= 60


def test_a_team_limit_is_kept_and_frees_up(clock):
    quotas = {TeamId("t"): Quota(limit=Resources(2000, 99999, 9, 99, 99))}
    scheduler = make_scheduler(clock, 2, quotas)
    for i in range(4):
        scheduler.submit(make_job(i))
    scheduler.submit(make_job("other", team="other"))
    placed = starts(scheduler.decide(10))
    assert sorted(start.job.team for start in placed) == ["other", "t", "t"]
    finish(scheduler, next(start for start in placed if start.job.team == "t"))
    assert len(starts(scheduler.decide(10))) == 1


def test_changed_quotas_apply_to_queued_jobs(clock):
    scheduler = make_scheduler(
        clock, 2, {TeamId("t"): Quota(limit=Resources(1000, 99999, 9, 99, 99))}
    )
    for i in range(4):
        scheduler.submit(make_job(i))
    assert len(starts(scheduler.decide(10))) == 1
    scheduler.set_quotas({TeamId("t"): Quota()})
    assert len(starts(scheduler.decide(10))) == 3


def test_a_job_that_does_not_fit_does_not_block_smaller_ones(clock):
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 1, band=Band.URGENT)
    scheduler.submit(make_job("large", resources=Resources(4000, 64), band=Band.URGENT))
    scheduler.submit(make_job("small", band=Band.NORMAL))
    assert started_ids(scheduler) == ["small"]


def test_parked_jobs_are_tried_once_for_each_size(clock):
    """Guards against a rescan of all queued jobs with each call while none of them fits."""
    scheduler = make_scheduler(clock, 1)
    fill(scheduler, 4, band=Band.URGENT)
    for i in range(1000):
        scheduler.submit(make_job(i, team=f"team{i % 50}"))
    scheduler.decide(10)
    calls = 0
    place = scheduler._dispatcher._policy.place

    def count_calls(*arguments):
        nonlocal calls
        calls += 1
        return place(*arguments)

    scheduler._dispatcher._policy.place = count_calls
    for _ in range(100):
        assert scheduler.decide(10) == []
    assert calls == 0


def test_cancelling_most_of_the_queue_is_fast_and_reclaims_memory(clock):
    scheduler = make_scheduler(clock, 1, queue_bound=1_000_000)
    fill(scheduler, 4, "running", band=Band.URGENT)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    count = 20_000
    for i in range(count):
        scheduler.submit(make_job(i, team=f"team{i % 180}", deadline=1e6)).unwrap()
    full = tracemalloc.get_traced_memory()[0] - before
    started_at = time.perf_counter()
    for i in range(count):
        if i % 10:
            assert scheduler.cancel(str(i)).kind is CancellationKind.QUEUED
    elapsed = time.perf_counter() - started_at
    remaining = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert sum(scheduler.snapshot().queued_by_band.values()) == count // 10
    assert remaining < full * 0.3
    assert elapsed / count < 0.001


def test_services_and_their_estimates(clock):
    """Guards against estimates of a route's run time that include how long a service ran."""
    scheduler = make_scheduler(clock, 1)
    scheduler.submit(make_job("service", ServiceJob, route="r"))
    (start,) = starts(scheduler.decide(1))
    advance(clock, 1000.0)
    finish(scheduler, start)
    scheduler.submit(make_job("batch", route="r"))
    batch = next(s for s in starts(scheduler.decide(2)) if s.job.id == "batch")
    assert batch.expected_run.total_seconds() == 1.0
