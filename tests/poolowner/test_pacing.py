"""Filling tasks beside tasks that serve: who is slowed, when, and when not."""

from datetime import timedelta

from hornbeamramp.poolowner.pacing import Pacer
from hornbeamramp.workload import StepSpec
from tests.poolowner.builders import running, session

LATENCY_SENSITIVE = StepSpec(1, 1000, 100, long_running=True, response_target_ms=100)
BEST_EFFORT = StepSpec(1, 4000, 100, fills=True)


def worker_with(load):
    shared = session("w0")
    latency_sensitive = running(shared, LATENCY_SENSITIVE)
    latency_sensitive.load = load
    best_effort = running(shared, BEST_EFFORT)
    return shared, latency_sensitive, best_effort


def paces(pacer, shared, seconds=0.0):
    changes = pacer.changes([shared], shared.now + timedelta(seconds=seconds))
    for attempt, percent in changes:
        attempt.pace_percent = percent
    return [percent for _, percent in changes]


def test_filling_tasks_are_paused_before_the_target_is_passed():
    shared, _, _ = worker_with(load=90)
    assert paces(Pacer(), shared) == [0]


def test_filling_tasks_are_left_alone_far_below_the_target():
    shared, _, _ = worker_with(load=40)
    assert paces(Pacer(), shared) == []


def test_paused_tasks_are_let_go_step_by_step():
    pacer = Pacer()
    shared, latency_sensitive, _ = worker_with(load=120)
    assert paces(pacer, shared) == [0]
    latency_sensitive.load = 30
    assert paces(pacer, shared, 1.0) == []
    assert [paces(pacer, shared, 3.0 * n) for n in (1, 2, 3, 4)] == [[25], [50], [75], [100]]


def test_pace_without_answer_is_sent_again():
    pacer = Pacer()
    shared, _, best_effort = worker_with(load=120)
    assert paces(pacer, shared) == [0]
    best_effort.pace_percent = -1
    assert paces(pacer, shared) == [0]


def test_worker_without_serving_tasks_runs_filling_tasks_at_full_speed():
    alone = session("w0")
    running(alone, BEST_EFFORT)
    assert paces(Pacer(), alone) == []
