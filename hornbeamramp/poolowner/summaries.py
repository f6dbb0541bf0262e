"""Fields of the log lines from which `hornbeamramp report` explains a day.

One line for each accepted and each ended job, and one each second for the state of a pool.
"""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from hornbeamramp.durations import to_ms
from hornbeamramp.fleet import Attempt, AttemptPhase, RunOutcome, WorkerSession
from hornbeamramp.ids import NO_ACCOUNT, PoolName
from hornbeamramp.poolowner.jobs import Job, StepRun
from hornbeamramp.poolowner.lateness import TOO_LATE_FACTOR, on_time_limit_ms
from hornbeamramp.workload import JobPhase, Queue

__all__ = [
    "accepted_fields",
    "end_fields",
    "lost_work",
    "pool_fields",
    "run_end_fields",
    "running_fields",
    "takeover_fields",
]

# Work on an accelerator in core-seconds, as the platform prices it.
CORES_PER_ACCELERATOR = 8


def _cores(processors_milli: float, accelerators: float) -> float:
    return processors_milli / 1000 + CORES_PER_ACCELERATOR * accelerators


def accepted_fields(job: Job) -> dict[str, Any]:
    """Returns what is known of a job when it is accepted.

    ``work`` is in core-seconds by the submitter's estimates, ``width`` the tasks of its widest
    step, ``long_running`` the number of tasks that don't end by themselves. A job of a client
    account has its ``account``, and whether it ``is_beyond_share``.
    """
    record = job.record
    spec = record.spec
    account: dict[str, Any] = {}
    if record.account != NO_ACCOUNT:
        account = {"account": record.account, "is_beyond_share": record.is_beyond_share}
    work = sum(
        step.count * _cores(step.processors_milli, step.accelerators) * step.estimate_ms / 1000
        for step in spec.steps
    )
    return {
        "event": "job_accepted",
        "job": record.job_id,
        "queue": record.queue,
        "data_centre": job.data_centre,
        "work": round(work, 1),
        "width": max(step.count for step in spec.steps),
        "is_gang": any(step.gang for step in spec.steps),
        "long_running": sum(step.count for step in spec.steps if step.long_running),
        **account,
    }


def end_fields(job: Job, queue: Queue | None) -> dict[str, Any]:
    """Returns how a job ended, what it waited for (ms), and the work it lost (core-seconds).

    ``result`` is on_time, late or too_late for a job that completed, otherwise its phase. Jobs with
    times and those that last have no limit. ``late_done`` is the number of its units that were done
    by an end listed after their runs had been given up.
    """
    record = job.record
    elapsed_ms = job.ended_ms - record.accepted_ms
    is_limited = not record.spec.repetitions and not any(
        step.long_running for step in record.spec.steps
    )
    result = job.phase.value
    if job.phase is JobPhase.COMPLETED and is_limited:
        limit_ms = on_time_limit_ms(record, job.critical_path, queue and queue.advice)
        if elapsed_ms <= limit_ms:
            result = "on_time"
        else:
            result = "late" if elapsed_ms <= TOO_LATE_FACTOR * limit_ms else "too_late"
    return {
        **accepted_fields(job),
        "event": "job_ended",
        "result": result,
        "elapsed_ms": elapsed_ms,
        "waits": job.wait_times.as_milliseconds(),
        "lost_work": {
            outcome.value: round(work, 1) for outcome, work in job.lost_work_by_outcome.items()
        },
        "late_done": job.late_done,
    }


def takeover_fields(pool: PoolName, jobs: Iterable[Job]) -> dict[str, Any]:
    """Returns what a new owner recovered: open jobs with their ids, ended jobs, and runs that may
    be going on, of them those on workers that are not listed.

    A job that was accepted before and is missing here has been lost. Runs on workers that are not
    listed hold up their tasks for the longest lease that the former owner can have given.
    """
    jobs = list(jobs)
    open_jobs = [job for job in jobs if not job.is_ended]
    attempts = [attempt for job in open_jobs for attempt in job.attempts()]
    return {
        "event": "pool_taken",
        "pool": pool,
        "jobs_open": len(open_jobs),
        "jobs_ended": len(jobs) - len(open_jobs),
        "runs": len(attempts),
        "runs_unlisted": sum(not attempt.session.is_listed for attempt in attempts),
        "open_jobs": " ".join(job.record.job_id for job in open_jobs),
    }


def run_end_fields(
    attempt: Attempt, outcome: RunOutcome, now: timedelta, taken_at: timedelta
) -> dict[str, Any]:
    """Returns how a run ended.

    ``unconfirmed_ms`` is the time since the worker last confirmed it, before an end that is
    concluded from the worker's silence or restart. For a run that a former owner started and no
    worker has confirmed since, it is the time since the takeover.
    """
    fields = {"event": "run_ended", "task": attempt.name, "run": attempt.run}
    step = attempt.task.unit.step
    confirmed_at = attempt.confirmed_at
    # An order without an answer is stopped at once, so this one has been restored.
    if attempt.phase is AttemptPhase.UNCERTAIN and not attempt.stop_wanted:
        confirmed_at = taken_at
    if outcome in (RunOutcome.LAPSED, RunOutcome.LOST) and confirmed_at is not None:
        fields["unconfirmed_ms"] = to_ms(now - confirmed_at)
    if step.spec.long_running:
        fields |= {"long_running": 1, "waits": step.job.wait_times.as_milliseconds()}
    return fields


def running_fields(attempt: Attempt) -> dict[str, Any]:
    """Returns the fields of the line that a task runs. ``waits`` are those of its job so far."""
    return {
        "event": "run_running",
        "task": attempt.name,
        "run": attempt.run,
        "waits": attempt.task.unit.step.job.wait_times.as_milliseconds(),
    }


def lost_work(attempt: Attempt, now: timedelta) -> float:
    """Returns the work in core-seconds that an ended run has done since it started."""
    if attempt.started_at is None:
        return 0.0
    elapsed_s = (now - attempt.started_at).total_seconds()
    return elapsed_s * _cores(attempt.size.processors_milli, attempt.size.accelerators)


def pool_fields(
    sessions: Iterable[WorkerSession], waiting: Iterable[StepRun], lag: timedelta, cpu_s: float
) -> dict[str, Any]:
    """Returns the state of a pool: cores by queue and free, waiting tasks by reason.

    `lag`
        Longest delay of the event loop since the line before.
    `cpu_s`
        Processor time of the process since the line before, in seconds.
    """
    cores_by_queue: Counter[str] = Counter()
    total = used = 0.0
    workers = 0
    for session in sessions:
        if not session.usable:
            continue
        workers += 1
        capacity = session.listing.capacity
        total += _cores(capacity.processors_milli, capacity.accelerators)
        for attempt in session.attempt_by_key.values():
            cores = _cores(attempt.size.processors_milli, attempt.size.accelerators)
            used += cores
            cores_by_queue[attempt.task.unit.step.job.record.queue] += cores
    tasks_by_reason: Counter[str] = Counter()
    for step in waiting:
        if step.wait.reason is not None:
            tasks_by_reason[step.wait.reason.value] += sum(len(u.tasks) for u in step.waiting)
    return {
        "event": "pool",
        "workers": workers,
        "cores": round(total),
        "free": round(total - used),
        "used": {queue: round(cores) for queue, cores in cores_by_queue.items()},
        "waiting": dict(tasks_by_reason),
        "lag_ms": to_ms(lag),
        "cpu_s": round(cpu_s, 3),
    }
