"""Quarantines workers on which tasks of several jobs fail in a row or a task stalls.

Tasks with a fault of their own fail on every worker, so only failures of several jobs in a row
count against a worker. A quarantined worker is used again after a limited time.
"""

from collections.abc import Iterable
from datetime import timedelta

from hornbeamramp.fleet import Attempt, AttemptPhase, RunOutcome, WorkerSession
from hornbeamramp.ids import JobId, UpstreamId

__all__ = ["WorkerHealth", "stalled_attempts"]

# Number of jobs whose tasks have to fail on a worker, without a success in between, before it is
# quarantined. One task in twenty fails for reasons of its own, so three in a row happen by chance
# about once in several thousand.
QUARANTINE_FAILED_JOBS = 3
# First and longest duration of a quarantine, which doubles while the worker goes on failing.
MIN_QUARANTINE = timedelta(seconds=2)
MAX_QUARANTINE = timedelta(seconds=8)
# A task without progress for this long has stalled: even one ten times longer than usual (about a
# minute) gains at least 1% a second.
STALL_TIMEOUT = timedelta(seconds=3)
# Progress of a task that has done all its work. The members of a gang end together, so on workers
# of unlike speed some stay at it for as long as the others need.
DONE_PERCENT = 100.0


class WorkerHealth:
    """Recent failures and quarantines of workers."""

    def __init__(self) -> None:
        self._failed_jobs_by_worker: dict[UpstreamId, set[JobId]] = {}
        self._next_quarantine_by_worker: dict[UpstreamId, timedelta] = {}
        self._quarantined_until: dict[UpstreamId, timedelta] = {}

    def record_end(self, attempt: Attempt, outcome: RunOutcome, now: timedelta) -> None:
        """Records the end of a run. Only successes and failures count for or against the worker."""
        worker = UpstreamId(attempt.session.worker)
        if outcome is RunOutcome.DONE:
            self._failed_jobs_by_worker.pop(worker, None)
            self._next_quarantine_by_worker.pop(worker, None)
        elif outcome is RunOutcome.FAILED:
            jobs = self._failed_jobs_by_worker.setdefault(worker, set())
            jobs.add(attempt.task.unit.step.key.job_id)
            if len(jobs) >= QUARANTINE_FAILED_JOBS:
                self._quarantine(worker, now)

    def record_stall(self, attempt: Attempt, now: timedelta) -> None:
        """Quarantines the worker of a stalled run."""
        self._quarantine(UpstreamId(attempt.session.worker), now)

    def _quarantine(self, worker: UpstreamId, now: timedelta) -> None:
        if self.is_quarantined(worker, now):
            return
        duration = self._next_quarantine_by_worker.get(worker, MIN_QUARANTINE)
        self._quarantined_until[worker] = now + duration
        self._next_quarantine_by_worker[worker] = min(2 * duration, MAX_QUARANTINE)

    def is_quarantined(self, worker: UpstreamId, now: timedelta) -> bool:
        """Returns whether a worker must not get new tasks now."""
        until = self._quarantined_until.get(worker)
        return until is not None and now < until

    def forget(self, worker: UpstreamId) -> None:
        """Drops the failures and the quarantine of a worker that has left."""
        for by_worker in (
            self._failed_jobs_by_worker,
            self._next_quarantine_by_worker,
            self._quarantined_until,
        ):
            by_worker.pop(worker, None)


def stalled_attempts(sessions: Iterable[WorkerSession]) -> list[Attempt]:
    """Returns the runs on reachable workers that have made no progress for `STALL_TIMEOUT`, by the
    newest run lists.

    Long-running and best-effort tasks are left out, and so are members of a gang that are done with
    their work and wait for slower members.
    """
    return [
        attempt
        for session in sessions
        if session.reachable
        for attempt in session.attempt_by_key.values()
        if attempt.phase is AttemptPhase.RUNNING
        and not attempt.stop_wanted
        and not attempt.task.unit.step.spec.long_running
        and not attempt.task.unit.step.spec.fills
        and session.time_without_progress(attempt) > STALL_TIMEOUT
        and not _waits_for_gang(attempt)
    ]


def _waits_for_gang(attempt: Attempt) -> bool:
    """Returns whether a run has done all its work while another member of its gang has not."""
    if attempt.percent < DONE_PERCENT:
        return False
    return any(member.percent < DONE_PERCENT for member in attempt.task.unit.attempts())
