"""Choice of workers and of runs to preempt, by load pattern."""

from collections import Counter
from types import SimpleNamespace

import pytest

from hornbeamramp.poolowner.capacity import Capacity
from hornbeamramp.poolowner.choice import choose_workers
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.learned_durations import LearnedDurations
from hornbeamramp.poolowner.preemption import choose_victims
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.workload import StepSpec
from tests.poolowner.builders import record, running, session

SMALL = StepSpec(1, 1000, 100)


def unit(step, priority=0):
    job = Job(record(step, priority=priority))
    job.open_occurrence(0)
    return job.steps_by_occurrence[0][0].units[0]


def choose(step, sessions, priority=0, speeds=None, assigned_by_worker=None):
    chosen = choose_workers(
        unit(step, priority),
        sessions,
        speeds or WorkerSpeeds(),
        assigned_by_worker or {},
        Capacity(),
    )
    return None if chosen is None else [s.worker for s in chosen]


def speeds_of(**speed_by_worker):
    """Returns speeds learned from many runs of one image."""
    speeds = WorkerSpeeds()
    durations = LearnedDurations(speeds)
    step = unit(StepSpec(1, estimate_ms=1000, image="i")).step
    for _ in range(60):
        for worker, speed in speed_by_worker.items():
            attempt = SimpleNamespace(
                task=step.units[0].tasks[0], session=SimpleNamespace(worker=worker)
            )
            durations.record_run(attempt, 1.0 / speed, 1.0)
    return speeds


def test_burst_of_quotes_goes_to_the_fast_workers():
    speeds = speeds_of(slow=0.6, usual=1.0, fast=1.6)
    sessions = [session("slow"), session("usual"), session("fast")]
    assert choose(SMALL, sessions, 0, speeds) == ["fast"]


def test_batch_work_leaves_the_fast_workers_to_urgent_work():
    speeds = speeds_of(slow=0.6, usual=1.0, fast=1.6)
    sessions = [session("slow"), session("usual"), session("fast")]
    assert choose(SMALL, sessions, 2, speeds) == ["slow"]


def test_worker_that_turned_slow_is_the_last_choice():
    speeds = speeds_of(usual=1.0, fine=1.1, stuck=0.15)
    sessions = [session("stuck"), session("usual"), session("fine")]
    assert choose(SMALL, sessions, 2, speeds) != ["stuck"]
    assert choose(SMALL, [session("stuck")], 2, speeds) == ["stuck"]


def test_small_accelerator_tasks_are_packed_so_that_whole_workers_stay_free():
    partly, empty = session("partly"), session("empty")
    running(partly, StepSpec(1, 1000, 100, 1), priority=2)
    assert choose(StepSpec(1, 1000, 100, 1), [empty, partly], 2) == ["partly"]


def test_long_running_tasks_are_spread():
    sessions = [session("w0"), session("w1")]
    step = StepSpec(1, 1000, 100, long_running=True)
    assert choose(step, sessions, 1, assigned_by_worker=Counter({"w0": 1})) == ["w1"]


def test_gang_is_placed_on_one_rack_or_not_at_all():
    step = StepSpec(3, 4000, 100, gang=True, same_rack=True)
    sessions = [session("w0", rack="r0"), session("w1", rack="r1"), session("w2", rack="r1")]
    assert set(choose(step, sessions)) == {"w1", "w2"}
    assert choose(step, sessions[:2]) is None


@pytest.mark.parametrize(
    "step",
    [
        StepSpec(1, 9000, 100),
        StepSpec(1, 1000, 9000),
        StepSpec(1, 1000, 100, 5),
        StepSpec(1, 1000, 100, required_label="b"),
    ],
    ids=["processors", "memory", "accelerators", "label"],
)
def test_task_that_does_not_fit_gets_no_worker(step):
    assert choose(step, [session("w0")]) is None


def test_worker_where_the_task_failed_is_chosen_last():
    step_unit = unit(SMALL)
    step_unit.avoided_workers.add("w0")
    [chosen] = choose_workers(
        step_unit, [session("w0"), session("w1")], WorkerSpeeds(), {}, Capacity()
    )
    assert chosen.worker == "w1"


def victims(step, sessions, priority=0, missing=1):
    run = unit(step, priority).step
    return [v.name for v in choose_victims(run, missing, sessions, sessions[0].now)]


def test_burst_of_quotes_preempts_checkpointing_batch_work_with_the_least_progress():
    full = session("w0")
    batch = StepSpec(1, 4000, 100, checkpointing=True)
    young = running(full, batch, priority=2, percent=10)
    running(full, batch, priority=2, percent=60)
    assert victims(StepSpec(1, 3000, 100), [full]) == [young.name]


@pytest.mark.parametrize(
    ("step", "priority", "percent", "age_s"),
    [
        (StepSpec(1, 8000, 100), 2, 10, 5),
        (StepSpec(1, 8000, 100, checkpointing=True), 0, 10, 5),
        (StepSpec(1, 8000, 100, checkpointing=True, long_running=True), 2, 10, 5),
        (StepSpec(1, 8000, 100, checkpointing=True), 2, 95, 5),
        (StepSpec(1, 8000, 100, checkpointing=True), 2, 10, 0.5),
    ],
    ids=["no-checkpoint", "as-urgent", "long-running", "nearly-done", "just-started"],
)
def test_runs_that_are_not_preempted(step, priority, percent, age_s):
    full = session("w0")
    running(full, step, priority=priority, percent=percent, age_s=age_s)
    assert victims(SMALL, [full]) == []


def test_no_more_is_preempted_than_the_waiting_tasks_need():
    sessions = [session("w0"), session("w1")]
    for full in sessions:
        for _ in range(2):
            running(full, StepSpec(1, 4000, 100, checkpointing=True), priority=2, percent=10)
    assert len(victims(StepSpec(1, 4000, 100), sessions, missing=1)) == 1
