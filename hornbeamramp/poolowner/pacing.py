"""Throttles best-effort tasks that slow down latency-sensitive tasks on the same worker.

Each run list of a worker reports the tail latency of its latency-sensitive tasks. When that of one
task approaches its target, all best-effort tasks of the worker are paused; once it is well below
the target, their speed is restored step by step.
"""

from collections.abc import Iterable
from datetime import timedelta

from hornbeamramp.fleet import Attempt, AttemptPhase, WorkerSession

__all__ = ["Pacer", "is_best_effort", "is_latency_sensitive"]

# Shares of a response time target: best-effort tasks are paused at the upper one and resumed at the
# lower one. The gap prevents oscillation between the two.
PAUSE_SHARE = 0.85
RESUME_SHARE = 0.6
# Speed restored at a time, and the interval between such steps. It is longer than the 0.5 s that a
# worker's measurement covers and the 2 s within which a new one is certain to arrive.
RESUME_STEP_PERCENT = 25
RESUME_INTERVAL = timedelta(seconds=2.5)
FULL_PERCENT = 100


def is_latency_sensitive(attempt: Attempt) -> bool:
    """Returns whether a run has a target for its response times."""
    return attempt.task.unit.step.spec.response_target_ms > 0


def is_best_effort(attempt: Attempt) -> bool:
    """Returns whether a run uses only processors that others leave idle."""
    return attempt.task.unit.step.spec.fills


class Pacer:
    """Decides the pace of the best-effort tasks of each worker."""

    def __init__(self) -> None:
        self._percent_by_worker: dict[str, int] = {}
        self._changed_at: dict[str, timedelta] = {}

    def percent(self, session: WorkerSession, now: timedelta) -> int:
        """Updates and returns the pace of a worker's best-effort tasks, 0 to 100 percent."""
        worker = session.worker
        percent = self._percent_by_worker.get(worker, FULL_PERCENT)
        highest_share = max(
            (
                attempt.load / attempt.task.unit.step.spec.response_target_ms
                for attempt in session.attempt_by_key.values()
                if is_latency_sensitive(attempt) and attempt.phase is AttemptPhase.RUNNING
            ),
            default=0.0,
        )
        is_due = now - self._changed_at.get(worker, timedelta.min) >= RESUME_INTERVAL
        if highest_share >= PAUSE_SHARE:
            self._set_percent(worker, 0, now)
        elif highest_share <= RESUME_SHARE and percent < FULL_PERCENT and is_due:
            self._set_percent(worker, min(percent + RESUME_STEP_PERCENT, FULL_PERCENT), now)
        return self._percent_by_worker.get(worker, FULL_PERCENT)

    def _set_percent(self, worker: str, percent: int, now: timedelta) -> None:
        self._percent_by_worker[worker] = percent
        self._changed_at[worker] = now

    def changes(
        self, sessions: Iterable[WorkerSession], now: timedelta
    ) -> list[tuple[Attempt, int]]:
        """Returns the runs whose pace has to change, with their new pace in percent."""
        changes = []
        for session in sessions:
            best_effort = [
                attempt
                for attempt in session.attempt_by_key.values()
                if is_best_effort(attempt) and attempt.phase is AttemptPhase.RUNNING
            ]
            if best_effort:
                percent = self.percent(session, now)
                changes += [(a, percent) for a in best_effort if a.pace_percent != percent]
        return changes
