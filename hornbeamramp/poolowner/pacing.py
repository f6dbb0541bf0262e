"""Throttles best-effort tasks that slow down latency-sensitive tasks on the same worker.

Each run list of a worker reports the tail latency of its latency-sensitive tasks. When that of one
task approaches its target, all best-effort tasks of the worker are paused; once it is well below
the target, their speed is restored step by step.
"""

from collections.abc import Iterable
from datetime import timedelta

from hornbeamramp.fleet import FULL_PERCENT, Attempt, AttemptPhase, WorkerSession

__all__ = ["Pacer", "is_best_effort", "is_latency_sensitive"]

# Shares of a response time target: best-effort tasks are paused at the upper one and resumed at the
# lower one. The gap prevents oscillation between the two.
PAUSE_SHARE = 0.85
RESUME_SHARE = 0.6
# Speed restored at a time, and the interval between such steps. It is longer than the 0.5 s that a
# worker's measurement covers and the 2 s within which a new one is certain to arrive.
RESUME_STEP_PERCENT = 25
RESUME_INTERVAL = timedelta(seconds=2.5)


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
        if worker not in self._percent_by_worker:
            self._set_percent(worker, _initial_percent(session), now)
        percent = self._percent_by_worker[worker]
        highest_share = _highest_share(session)
        is_due = now - self._changed_at[worker] >= RESUME_INTERVAL
        if highest_share >= PAUSE_SHARE:
            self._set_percent(worker, 0, now)
        elif highest_share <= RESUME_SHARE and percent < FULL_PERCENT and is_due:
            self._set_percent(worker, min(percent + RESUME_STEP_PERCENT, FULL_PERCENT), now)
        return self._percent_by_worker[worker]

    def _set_percent(self, worker: str, percent: int, now: timedelta) -> None:
        self._percent_by_worker[worker] = percent
        self._changed_at[worker] = now

    def changes(
        self, sessions: Iterable[WorkerSession], now: timedelta
    ) -> list[tuple[Attempt, int]]:
        """Returns the runs to which an order on their pace is due, with that pace in percent."""
        changes = []
        for session in sessions:
            best_effort = [
                attempt
                for attempt in session.attempt_by_key.values()
                if is_best_effort(attempt) and attempt.phase is AttemptPhase.RUNNING
            ]
            if best_effort:
                percent = self.percent(session, now)
                has_no_effect = percent == 0 and _highest_share(session) >= PAUSE_SHARE
                changes += [
                    (a, percent) for a in best_effort if a.pace.is_due(percent, now, has_no_effect)
                ]
        return changes


def _latency_sensitive(session: WorkerSession) -> list[Attempt]:
    return [
        attempt
        for attempt in session.attempt_by_key.values()
        if is_latency_sensitive(attempt) and attempt.phase is AttemptPhase.RUNNING
    ]


def _highest_share(session: WorkerSession) -> float:
    """Returns the highest tail latency of a worker's tasks, as a share of its target."""
    return max(
        (
            attempt.load / attempt.task.unit.step.spec.response_target_ms
            for attempt in _latency_sensitive(session)
        ),
        default=0.0,
    )


def _initial_percent(session: WorkerSession) -> int:
    """Returns the pace at which a worker's best-effort tasks are taken over or started.

    A former owner may have paused them for the sake of others, so they are resumed step by step.
    """
    has_unknown_pace = any(
        is_best_effort(attempt) and attempt.pace.percent is None
        for attempt in session.attempt_by_key.values()
    )
    is_shared = bool(_latency_sensitive(session))
    return RESUME_STEP_PERCENT if has_unknown_pace and is_shared else FULL_PERCENT
