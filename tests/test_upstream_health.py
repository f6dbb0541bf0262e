"""Tests of quarantine, probes and faulty jobs."""

from hornbeamramp.ids import JobId, UpstreamId
from hornbeamramp.upstream_health import UpstreamHealth

BAD = UpstreamId("u0")


def make_health(count=10):
    health = UpstreamHealth()
    for i in range(count):
        health.add(UpstreamId(f"u{i}"), 0.0)
    return health


def fail(health, upstream_id, times=3, now=0.0):
    return [
        health.failed(upstream_id, JobId(f"{upstream_id}-{now}-{i}"), now) for i in range(times)
    ]


def test_an_upstream_that_fails_every_task_is_quarantined():
    health = make_health()
    assert fail(health, BAD) == [False, False, True]
    assert list(health.quarantined) == [BAD]


def test_failures_all_over_the_pool_quarantine_none():
    """Guards against quarantine of upstreams for faulty jobs: rates are relative to the pool's."""
    health = make_health()
    for second in range(5):
        for i in range(10):
            fail(health, UpstreamId(f"u{i}"), 1, now=second + i / 10)
    assert not health.quarantined


def test_at_most_a_fifth_of_the_pool_is_quarantined():
    health = make_health(10)
    for i in range(10):
        for _ in range(20):
            health.succeeded(UpstreamId(f"u{i}"), 0.0)
    for i in range(6):
        fail(health, UpstreamId(f"u{i}"), 80)
    assert len(health.quarantined) == 2
    assert not make_health(4).quarantined


def test_removing_upstreams_keeps_the_share():
    health = make_health(10)
    fail(health, UpstreamId("u0"))
    for i in range(2, 8):
        health.remove(UpstreamId(f"u{i}"))
    assert health.release_excess() == ["u0"]
    assert not health.quarantined


def test_probes_are_single_and_back_off():
    health = make_health()
    fail(health, BAD)
    assert health.due_probe(4.9) is None
    assert health.due_probe(5.0) == BAD
    health.probe_started(BAD)
    assert health.due_probe(6.0) is None
    health.failed(BAD, JobId("probe"), 6.0)
    assert health.due_probe(15.9) is None
    assert health.due_probe(16.0) == BAD
    health.probe_started(BAD)
    assert health.succeeded(BAD, 17.0)
    assert not health.quarantined


def test_a_probe_without_result_is_repeated():
    health = make_health()
    fail(health, BAD)
    health.probe_started(BAD)
    health.probe_ended(BAD, 7.0)
    assert health.due_probe(7.0) == BAD


def test_a_job_that_fails_on_three_upstreams_is_at_fault_and_its_failures_are_retracted():
    health = make_health()
    for i in range(3):
        fail(health, UpstreamId(f"u{i}"), 2)
    for i in range(3):
        assert not health.is_faulty(JobId("bad"))
        health.failed(UpstreamId(f"u{i}"), JobId("bad"), 1.0)
    assert health.is_faulty(JobId("bad"))
    quarantined = set(health.quarantined)
    released = set(health.retract_failures(JobId("bad"), 1.0))
    assert quarantined == released
    assert not health.quarantined


def test_a_job_counts_once_against_an_upstream():
    health = make_health()
    assert not any(health.failed(BAD, JobId("same"), 0.0) for _ in range(10))
