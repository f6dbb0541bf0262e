"""Builders of worker sessions, running tasks and job records for tests of the pool owner."""

import itertools
from datetime import timedelta

import logbook

from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import ManualClock
from hornbeamramp.fleet import Attempt, AttemptPhase, WorkerListing, WorkerSession
from hornbeamramp.ids import NO_ACCOUNT
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.resources import Resources
from hornbeamramp.statestore import JobRecord
from tests.model.cell import job

__all__ = ["record", "running", "session", "set_progress_age"]

_job_numbers = itertools.count(1)

CAPACITY = Resources(8000, 8000, 4, 0, 0)


class DiscardedTasks(BackgroundTasks):
    """Background tasks of a session that talks to no worker."""

    def spawn(self, coroutine, context=None):
        coroutine.close()


def record(
    *steps,
    priority=0,
    queue="gate",
    accepted_ms=0,
    stretch=2.0,
    target_ms=1000,
    account=NO_ACCOUNT,
    is_beyond_share=False,
    **fields,
):
    """Returns the record of a job with the given steps."""
    return JobRecord(
        job_id=f"{next(_job_numbers):016x}",
        queue=queue,
        accepted_ms=accepted_ms,
        priority=priority,
        max_attempts=2,
        stretch=stretch,
        target_ms=target_ms,
        spec=job(*steps, **fields),
        account=account,
        is_beyond_share=is_beyond_share,
    )


def session(name, rack="r0", capacity=CAPACITY, usage=None):
    """Returns the session of an idle, reachable worker."""
    clock = ManualClock()
    clock.set(timedelta(seconds=100))
    listing = WorkerListing(name, "pool", name, "gebze", False, capacity, ("a", rack))
    background = DiscardedTasks("test", logbook.Logger("test"))
    worker_session = WorkerSession(
        listing, None, clock, None, background, timedelta(seconds=13), timedelta(seconds=10), usage
    )
    worker_session.reachable = True
    worker_session.now = clock.boot_time()
    return worker_session


def running(worker, step, priority=0, percent=10.0, age_s=5.0, account=NO_ACCOUNT):
    """Adds a running task of a new job to a worker's session and returns its attempt."""
    owner_job = Job(record(step, priority=priority))
    owner_job.open_occurrence(0)
    step_run = owner_job.steps_by_occurrence[0][0]
    task = step_run.units[0].tasks[0]
    attempt = Attempt(task, task.name, 1, step_run.size, worker, account)
    attempt.phase = AttemptPhase.RUNNING
    attempt.percent = percent
    attempt.started_at = worker.now - timedelta(seconds=age_s)
    worker.reserve(attempt)
    task.attempt = attempt
    return attempt


def set_progress_age(attempt, age_s):
    """Sets how long before the newest run list of its worker a run last made progress."""
    attempt.progress_clock_ms = attempt.session._worker_clock_ms - 1000 * age_s
