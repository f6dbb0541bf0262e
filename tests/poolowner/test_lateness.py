"""Lateness of jobs, and retry delays of refused callers."""

from datetime import timedelta

import pytest

from hornbeamramp.poolowner.lateness import (
    CriticalPath,
    LatenessLevel,
    estimate_lateness,
    retry_delay,
)
from hornbeamramp.workload import AdviceTiming, StepSpec
from tests.model.cell import job, queue
from tests.poolowner.builders import record

STEPS = (
    StepSpec(1, estimate_ms=1000),
    StepSpec(1, estimate_ms=3000),
    StepSpec(1, estimate_ms=500, after=(0, 1)),
)
ADVICE_TIMING = AdviceTiming(
    timedelta(milliseconds=40), timedelta(milliseconds=2), timedelta(seconds=1)
)


def at(now_ms, step=0, duration_ratio=1.0, timing=None, steps=STEPS):
    """Returns the lateness of a step whose job was accepted at 0, with stretch 2 and target 1 s."""
    job = record(*steps, stretch=2.0, target_ms=1000)
    return estimate_lateness(job, CriticalPath.of(steps), step, 0, now_ms, duration_ratio, timing)


def test_critical_path_is_the_longest_path_through_the_steps():
    critical_path = CriticalPath.of(STEPS)
    assert critical_path.remaining_by_step == ((1500.0, 2), (3500.0, 2), (500.0, 1))
    assert critical_path.longest == (3500.0, 2)


@pytest.mark.parametrize(
    ("now_ms", "level"),
    [
        (4500, LatenessLevel.ON_TIME),
        (4501, LatenessLevel.LATE),
        (20500, LatenessLevel.LATE),
        (20501, LatenessLevel.TOO_LATE),
    ],
)
def test_job_is_late_beyond_its_time_and_too_late_beyond_three_times_that(now_ms, level):
    assert at(now_ms, step=1).level is level


def test_later_steps_have_until_their_own_work_must_begin():
    assert at(0, step=2).latest_start_ms == 7500


def test_durations_are_corrected_by_what_runs_of_the_image_took():
    assert at(0, step=1, duration_ratio=2.0).latest_start_ms == 2 * 7000 + 1000 - 7000


def test_advice_request_for_each_step_counts_as_work():
    assert at(0, step=1, timing=ADVICE_TIMING).latest_start_ms == 2 * 3700 + 1000 - 3700


def test_long_running_tasks_are_never_late():
    steps = (StepSpec(1, long_running=True),)
    assert at(10**9, steps=steps).level is LatenessLevel.ON_TIME


@pytest.mark.parametrize(
    ("steps", "seconds"),
    [
        ((StepSpec(1, estimate_ms=500),), 2.0),
        ((StepSpec(1, estimate_ms=4500),), 2.5),
        ((StepSpec(1, estimate_ms=60_000),), 5.0),
        ((StepSpec(1, long_running=True),), 2.0),
    ],
    ids=["quote", "render", "plan", "reconciler"],
)
def test_retry_delay_of_callers_refused_in_an_outage_depends_on_the_job(steps, seconds):
    """Guards against one delay of 3 s for all jobs, which made every quote too late."""
    gate = queue(advice=False)
    assert retry_delay(gate, job(*steps)).total_seconds() == seconds
