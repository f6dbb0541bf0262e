"""Sessions with running tasks, and records of jobs, for tests of decisions."""

import itertools
from datetime import timedelta

import logbook

from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import ManualClock
from hornbeamramp.fleet import Attempt, AttemptPhase, WorkerListing, WorkerSession
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.resources import Resources
from hornbeamramp.statestore import JobRecord
from tests.model.cell import job

__all__ = ["record", "running", "session"]

_numbers = itertools.count(1)

CAPACITY = Resources(8000, 8000, 4, 0, 0)


def record(*steps, priority=0, queue="gate", accepted_ms=0, stretch=2.0, target_ms=1000, **fields):
    """Returns the record of a job with the given steps."""
    return JobRecord(
        job_id=f"{next(_numbers):016x}",
        queue=queue,
        accepted_ms=accepted_ms,
        priority=priority,
        max_attempts=2,
        stretch=stretch,
        target_ms=target_ms,
        spec=job(*steps, **fields),
    )


def session(name, rack="r0", capacity=CAPACITY):
    """Returns the session of an idle worker that can be used."""
    clock = ManualClock()
    clock.set(timedelta(seconds=100))
    listing = WorkerListing(name, "pool", name, "gebze", False, capacity, ("a", rack))
    background = BackgroundTasks("test", logbook.Logger("test"))
    made = WorkerSession(
        listing, None, clock, None, background, timedelta(seconds=13), timedelta(seconds=10)
    )
    made.reachable = True
    made.now = clock.boot_time()
    return made


def running(on, step, priority=0, percent=10.0, age_s=5.0):
    """Adds a running task of a new job to a session."""
    owner_job = Job(record(step, priority=priority))
    owner_job.open_occurrence(0)
    step_run = owner_job.steps_by_occurrence[0][0]
    task = step_run.units[0].tasks[0]
    attempt = Attempt(task, task.name, 1, step_run.size, on)
    attempt.phase = AttemptPhase.RUNNING
    attempt.percent = percent
    attempt.started_at = on.now - timedelta(seconds=age_s)
    on.reserve(attempt)
    task.attempt = attempt
    return attempt
