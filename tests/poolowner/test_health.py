"""Quarantine of workers on which tasks fail, and detection of stalled tasks."""

from datetime import timedelta
from types import SimpleNamespace

from hornbeamramp.clock import ManualClock
from hornbeamramp.fleet import RunOutcome
from hornbeamramp.poolowner.checks import RunChecks
from hornbeamramp.poolowner.health import WorkerHealth, stalled_attempts
from hornbeamramp.workload import StepSpec
from tests.poolowner.builders import running, session, set_progress_age

SECOND = timedelta(seconds=1)
SMALL = StepSpec(1, 1000, 100)


def end_runs(health, worker, outcome, jobs, now=SECOND):
    for _ in range(jobs):
        health.record_end(running(worker, SMALL), outcome, now)


def test_worker_that_fails_the_tasks_of_several_jobs_is_quarantined_and_used_again():
    health, worker = WorkerHealth(), session("w0")
    end_runs(health, worker, RunOutcome.FAILED, 3)
    assert health.is_quarantined("w0", 2 * SECOND)
    assert not health.is_quarantined("w0", 4 * SECOND)


def test_worker_that_goes_on_failing_is_quarantined_for_longer():
    health, worker = WorkerHealth(), session("w0")
    end_runs(health, worker, RunOutcome.FAILED, 3)
    end_runs(health, worker, RunOutcome.FAILED, 1, 4 * SECOND)
    assert health.is_quarantined("w0", 7 * SECOND)


def test_job_that_always_fails_quarantines_no_worker():
    health, worker = WorkerHealth(), session("w0")
    failing = running(worker, SMALL)
    for _ in range(10):
        health.record_end(failing, RunOutcome.FAILED, SECOND)
    assert not health.is_quarantined("w0", SECOND)


def test_success_between_failures_clears_a_worker():
    health, worker = WorkerHealth(), session("w0")
    end_runs(health, worker, RunOutcome.FAILED, 2)
    end_runs(health, worker, RunOutcome.DONE, 1)
    end_runs(health, worker, RunOutcome.FAILED, 2)
    assert not health.is_quarantined("w0", SECOND)


def test_task_without_progress_is_stalled_and_one_with_progress_is_not():
    worker = session("w0")
    hung, busy = running(worker, SMALL), running(worker, SMALL)
    set_progress_age(hung, 4)
    set_progress_age(busy, 1)
    assert stalled_attempts([worker]) == [hung]


def test_task_on_an_unreachable_worker_is_left_to_its_lease():
    worker = session("w0")
    set_progress_age(running(worker, SMALL), 9)
    worker.reachable = False
    assert stalled_attempts([worker]) == []


def test_long_running_task_without_progress_is_not_stalled():
    worker = session("w0")
    attempt = running(worker, StepSpec(1, 1000, 100, long_running=True))
    set_progress_age(attempt, 9)
    assert stalled_attempts([worker]) == []


def test_checks_stop_nothing_once_the_claim_may_have_run_out():
    """Guards against an owner that was paused for longer than its lease and stops, on its old view
    of the workers, runs that its successor has adopted."""
    worker = session("w0")
    stopped = []
    worker.stop = stopped.append
    worker.pace = lambda attempt, percent: None
    set_progress_age(running(worker, SMALL), 4)
    owner = SimpleNamespace(session_by_worker={"w0": worker}, may_order=lambda: False)
    placer = SimpleNamespace(health=WorkerHealth())
    checks = RunChecks(owner, placer, ManualClock())
    checks.run()
    assert stopped == []
    owner.may_order = lambda: True
    checks.run()
    assert len(stopped) == 1
