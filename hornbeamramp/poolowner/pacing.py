"""Slows tasks that fill idle processors where they disturb tasks that serve users.

Each list of a worker tells the tail of the response times of its serving tasks. Near a target all
filling tasks of the worker are paused; well below it they are let go again step by step.
"""

from collections.abc import Iterable
from datetime import timedelta

from hornbeamramp.fleet import Attempt, AttemptPhase, WorkerSession

__all__ = ["Pacer", "is_best_effort", "is_latency_sensitive"]

# Share of a target at which filling tasks are paused, and below which they may work again. The gap
# keeps them from being paused and let go in turns.
PAUSE_SHARE = 0.85
RESUME_SHARE = 0.6
# Part of their speed given back at a time, and the pause between, which is longer than the half
# second that a worker's figure covers and the two seconds after which it surely is a new one.
RESUME_STEP_PERCENT = 25
RESUME_INTERVAL = timedelta(seconds=2.5)
FULL_PERCENT = 100


def is_latency_sensitive(attempt: Attempt) -> bool:
    """Tells whether a run serves users within a response target."""
    return attempt.task.unit.step.spec.response_target_ms > 0


def is_best_effort(attempt: Attempt) -> bool:
    """Tells whether a run uses what others leave over."""
    return attempt.task.unit.step.spec.fills


class Pacer:
    """Decides the pace of the filling tasks of each worker."""

    def __init__(self) -> None:
        self._percent_by_worker: dict[str, int] = {}
        self._changed_at: dict[str, timedelta] = {}

    def percent(self, session: WorkerSession, now: timedelta) -> int:
        """Returns the pace that a worker's filling tasks should have now, 0 to 100."""
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
            self._set(worker, 0, now)
        elif highest_share <= RESUME_SHARE and percent < FULL_PERCENT and is_due:
            self._set(worker, min(percent + RESUME_STEP_PERCENT, FULL_PERCENT), now)
        return self._percent_by_worker.get(worker, FULL_PERCENT)

    def _set(self, worker: str, percent: int, now: timedelta) -> None:
        self._percent_by_worker[worker] = percent
        self._changed_at[worker] = now

    def changes(
        self, sessions: Iterable[WorkerSession], now: timedelta
    ) -> list[tuple[Attempt, int]]:
        """Returns the runs whose pace has to change, with their new pace."""
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
