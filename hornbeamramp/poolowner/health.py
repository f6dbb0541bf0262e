"""Finds workers that fail all they start or on which tasks stand still, from what ends and when.

Tasks that fail by themselves fail on every worker, so only failures of several jobs in a row count
against a worker. A worker that is set aside is tried again after a while.
"""

from collections.abc import Iterable
from datetime import timedelta

from hornbeamramp.fleet import Attempt, AttemptPhase, RunOutcome, WorkerSession
from hornbeamramp.ids import JobId, UpstreamId

__all__ = ["WorkerHealth", "stalled"]

# Failures of this many jobs in a row, without a success between, set a worker aside. One task in
# twenty fails by itself, so three in a row are a matter of one in some thousand.
FAILING_JOBS = 3
# Time for which a worker is set aside at first and at most; doubled while it goes on failing.
SHORTEST_PAUSE = timedelta(seconds=2)
LONGEST_PAUSE = timedelta(seconds=8)
# A task without progress for this long stands still. Lists come every two seconds at least, and a
# task ten times longer than usual (about a minute) still shows a percent a second.
STALL_TIME = timedelta(seconds=3)


class WorkerHealth:
    """What recent ends say of each worker."""

    def __init__(self) -> None:
        self._failing_jobs: dict[UpstreamId, set[JobId]] = {}
        self._pause_by_worker: dict[UpstreamId, timedelta] = {}
        self._aside_until: dict[UpstreamId, timedelta] = {}

    def note_end(self, attempt: Attempt, how: RunOutcome, now: timedelta) -> None:
        """Notes how a run ended; only successes and failures say something of the worker."""
        worker = UpstreamId(attempt.session.worker)
        if how is RunOutcome.DONE:
            self._failing_jobs.pop(worker, None)
            self._pause_by_worker.pop(worker, None)
        elif how is RunOutcome.FAILED:
            jobs = self._failing_jobs.setdefault(worker, set())
            jobs.add(attempt.task.unit.step.key.job_id)
            if len(jobs) >= FAILING_JOBS:
                self._set_aside(worker, now)

    def note_stall(self, attempt: Attempt, now: timedelta) -> None:
        """Notes a task that stands still."""
        self._set_aside(UpstreamId(attempt.session.worker), now)

    def _set_aside(self, worker: UpstreamId, now: timedelta) -> None:
        if self.is_aside(worker, now):
            return
        pause = self._pause_by_worker.get(worker, SHORTEST_PAUSE)
        self._aside_until[worker] = now + pause
        self._pause_by_worker[worker] = min(2 * pause, LONGEST_PAUSE)

    def is_aside(self, worker: UpstreamId, now: timedelta) -> bool:
        """Tells whether a worker gets no new tasks now."""
        until = self._aside_until.get(worker)
        return until is not None and now < until

    def forget(self, worker: UpstreamId) -> None:
        """Drops what is known of a worker that has left."""
        for by_worker in (self._failing_jobs, self._pause_by_worker, self._aside_until):
            by_worker.pop(worker, None)


def stalled(sessions: Iterable[WorkerSession], now: timedelta) -> list[Attempt]:
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
        and now - attempt.progress_at > STALL_TIME
    ]
