"""Pace of best-effort tasks that share a worker with latency-sensitive tasks."""

from datetime import timedelta

from hornbeamramp.fleet import RunPace
from hornbeamramp.poolowner.pacing import Pacer
from hornbeamramp.workload import StepSpec
from tests.poolowner.builders import running, session

LATENCY_SENSITIVE = StepSpec(1, 1000, 100, long_running=True, response_target_ms=100)
BEST_EFFORT = StepSpec(1, 4000, 100, fills=True)


def worker_with(load):
    worker = session("w0")
    latency_sensitive = running(worker, LATENCY_SENSITIVE)
    latency_sensitive.load = load
    best_effort = running(worker, BEST_EFFORT)
    return worker, latency_sensitive, best_effort


def paces(pacer, worker, seconds=0.0):
    changes = pacer.changes([worker], worker.now + timedelta(seconds=seconds))
    for attempt, percent in changes:
        attempt.pace.begin_order()
        attempt.pace.confirm_order(percent, worker.now + timedelta(seconds=seconds))
    return [percent for _, percent in changes]


def test_best_effort_tasks_are_paused_before_the_target_is_exceeded():
    worker, _, _ = worker_with(load=90)
    assert paces(Pacer(), worker) == [0]


def test_best_effort_tasks_are_not_paced_far_below_the_target():
    worker, _, _ = worker_with(load=40)
    assert paces(Pacer(), worker) == []


def test_paused_tasks_are_resumed_step_by_step():
    pacer = Pacer()
    worker, latency_sensitive, _ = worker_with(load=120)
    assert paces(pacer, worker) == [0]
    latency_sensitive.load = 30
    assert paces(pacer, worker, 1.0) == []
    assert [paces(pacer, worker, 3.0 * n) for n in (1, 2, 3, 4)] == [[25], [50], [75], [100]]


def test_pace_without_answer_is_sent_again():
    pacer = Pacer()
    worker, _, best_effort = worker_with(load=120)
    assert paces(pacer, worker) == [0]
    best_effort.pace.begin_order()
    best_effort.pace.fail_order(worker.now, may_take_effect=True)
    assert paces(pacer, worker) == []
    assert paces(pacer, worker, 0.5) == [0]


def test_one_order_at_a_time_is_sent_for_a_run():
    """Guards against two orders on one run whose effects overtake each other."""
    pacer = Pacer()
    worker, _, best_effort = worker_with(load=120)
    best_effort.pace.begin_order()
    assert paces(pacer, worker, 5.0) == []
    best_effort.pace.confirm_order(100, worker.now)
    assert paces(pacer, worker, 5.0) == [0]


def test_refused_order_is_not_repeated_once_another_was_confirmed():
    """Guards against needless orders: a refused one can't take effect later."""
    pacer = Pacer()
    worker, latency_sensitive, best_effort = worker_with(load=120)
    best_effort.pace.begin_order()
    best_effort.pace.fail_order(worker.now, may_take_effect=False)
    assert paces(pacer, worker, 0.5) == [0]
    latency_sensitive.load = 70
    assert [paces(pacer, worker, seconds) for seconds in (3, 5, 7)] == [[], [], []]


def test_order_is_repeated_while_an_earlier_one_may_take_effect():
    pacer = Pacer()
    worker, latency_sensitive, best_effort = worker_with(load=120)
    best_effort.pace.begin_order()
    best_effort.pace.fail_order(worker.now, may_take_effect=True)
    assert paces(pacer, worker, 1.0) == [0]
    latency_sensitive.load = 70
    sent = [paces(pacer, worker, seconds) for seconds in (2.0, 3.0, 4.0, 5.0, 14.9, 17.0)]
    assert sent == [[], [0], [], [0], [0], []]


def test_pause_is_ordered_again_while_a_task_stays_over_its_target():
    """Guards against a pause that the worker has confirmed and that is not in force (HARM)."""
    pacer = Pacer()
    worker, _, _ = worker_with(load=120)
    assert [paces(pacer, worker, seconds) for seconds in (0.0, 1.9, 2.0)] == [[0], [], [0]]


def test_runs_that_a_former_owner_may_have_paused_are_resumed_step_by_step():
    pacer = Pacer()
    worker, _, best_effort = worker_with(load=40)
    best_effort.pace = RunPace(None)
    assert [paces(pacer, worker, 3.0 * n) for n in range(4)] == [[25], [50], [75], [100]]


def test_pace_of_a_former_owner_is_lifted_at_once_if_no_other_task_is_there():
    worker = session("w0")
    running(worker, BEST_EFFORT).pace = RunPace(None)
    assert paces(Pacer(), worker) == [100]


def test_worker_without_latency_sensitive_tasks_runs_best_effort_tasks_at_full_speed():
    worker = session("w0")
    running(worker, BEST_EFFORT)
    assert paces(Pacer(), worker) == []
