"""Finds workers that fail all they start or on which tasks stand still, from what ends and when.

Tasks that fail by themselves fail on every worker, so only failures of several jobs in a row count
against a worker. A worker that is set aside is tried again after a while.
"""

from collections.abc import Iterable
from datetime import timedelta

from hornbeamramp.fleet import Attempt, AttemptPhase, HowEnded, WorkerSession
from hornbeamramp.ids import JobId, UpstreamId

__all__ = ["WorkerHealth", "stalled_attempts"]

# Failures of this many jobs in a row, without a success between, set a worker aside. One task in
# twenty fails by itself, so three in a row are a matter of one in some thousand.
QUARANTINE_FAILED_JOBS = 3
# Time for which a worker is set aside at first and at most; doubled while it goes on failing.
MIN_QUARANTINE = timedelta(seconds=2)
MAX_QUARANTINE = timedelta(seconds=8)
# A task without progress for this long stands still. Lists come every two seconds at least, and a
# task ten times longer than usual (about a minute) still shows a percent a second.
STALL_TIMEOUT = timedelta(seconds=3)


class WorkerHealth:
    """What recent ends say of each worker."""

    def __init__(self) -> None:
        self._failed_jobs_by_worker: dict[UpstreamId, set[JobId]] = {}
        self._next_quarantine_by_worker: dict[UpstreamId, timedelta] = {}
        self._quarantined_until: dict[UpstreamId, timedelta] = {}

    def record_end(self, attempt: Attempt, how: HowEnded, now: timedelta) -> None:
        """Notes how a run ended; only successes and failures say something of the worker."""
        worker = UpstreamId(attempt.session.worker)
        if how is HowEnded.DONE:
            self._failed_jobs_by_worker.pop(worker, None)
            self._next_quarantine_by_worker.pop(worker, None)
        elif how is HowEnded.FAILED:
            jobs = self._failed_jobs_by_worker.setdefault(worker, set())
            jobs.add(attempt.task.unit.step.key.job_id)
            if len(jobs) >= QUARANTINE_FAILED_JOBS:
                self._quarantine(worker, now)

    def record_stall(self, attempt: Attempt, now: timedelta) -> None:
        """Notes a task that stands still."""
        self._quarantine(UpstreamId(attempt.session.worker), now)

    def _quarantine(self, worker: UpstreamId, now: timedelta) -> None:
        if self.is_quarantined(worker, now):
            return
        duration = self._next_quarantine_by_worker.get(worker, MIN_QUARANTINE)
        self._quarantined_until[worker] = now + duration
        self._next_quarantine_by_worker[worker] = min(2 * duration, MAX_QUARANTINE)

    def is_quarantined(self, worker: UpstreamId, now: timedelta) -> bool:
        """Tells whether a worker gets no new tasks now."""
        until = self._quarantined_until.get(worker)
        return until is not None and now < until

    def forget(self, worker: UpstreamId) -> None:
        """Drops what is known of a worker that has left."""
        for by_worker in (
            self._failed_jobs_by_worker,
            self._next_quarantine_by_worker,
            self._quarantined_until,
        ):
            by_worker.pop(worker, None)


def stalled_attempts(sessions: Iterable[WorkerSession], now: timedelta) -> list[Attempt]:
    """Returns the runs that have made no progress for too long, on workers that answer."""
    return [
        attempt
        for session in sessions
        if session.reachable
        for attempt in session.attempt_by_key.values()
        if attempt.phase is AttemptPhase.RUNNING
        and not attempt.stop_wanted
        and not attempt.task.unit.step.spec.long_running
        and not attempt.task.unit.step.spec.fills
        and attempt.progress_at is not None
        and now - attempt.progress_at > STALL_TIMEOUT
    ]
