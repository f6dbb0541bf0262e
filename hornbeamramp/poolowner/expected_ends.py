"""Estimates when runs end, from their progress or, before that is known, their usual duration."""

from datetime import timedelta

from hornbeamramp.fleet import Attempt, AttemptPhase
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.choice import is_spread
from hornbeamramp.poolowner.jobs import Unit
from hornbeamramp.poolowner.learned_durations import LearnedDurations

__all__ = ["NEVER", "ExpectedEnds"]

NEVER = timedelta.max

# Below this progress, the end of a run can't be estimated from it.
MIN_PERCENT = 10.0


class ExpectedEnds:
    """Expected ends of runs as of one moment.

    `now`
        Boot time of that moment.
    """

    def __init__(self, durations: LearnedDurations, now: timedelta) -> None:
        self.now = now
        self._durations = durations
        self._end_by_gang: dict[Unit, timedelta] = {}
        self._end_by_attempt: dict[Attempt, timedelta] = {}

    def end(self, attempt: Attempt) -> timedelta:
        """Returns the boot time at which a run is expected to end, or `NEVER` if it isn't known."""
        if attempt.stop_wanted:
            return self.now
        end = self._end_by_attempt.get(attempt)
        if end is None:
            end = self._end_by_attempt[attempt] = self._estimate(attempt)
        return end

    def _estimate(self, attempt: Attempt) -> timedelta:
        unit: Unit = attempt.task.unit
        if unit.step.spec.long_running:
            return NEVER
        if not unit.step.is_gang:
            return self._end_of_work(attempt)
        # The members of a gang end together, with the slowest of them.
        end = self._end_by_gang.get(unit)
        if end is None:
            end = max(self._end_of_work(member) for member in unit.attempts())
            self._end_by_gang[unit] = end
        return end

    def ends_within(self, attempt: Attempt, time: timedelta) -> bool:
        """Returns whether a run is expected to end within ``time``."""
        return self.end(attempt) < self.now + time

    def _end_of_work(self, attempt: Attempt) -> timedelta:
        if attempt.phase is not AttemptPhase.RUNNING or attempt.started_at is None:
            return NEVER
        if (
            attempt.percent >= MIN_PERCENT
            and attempt.progress_at is not None
            and not attempt.resumed
        ):
            return attempt.started_at + (attempt.progress_at - attempt.started_at) * (
                100 / attempt.percent
            )
        step = attempt.task.unit.step
        worker = UpstreamId(attempt.session.worker)
        elapsed = self.now - attempt.started_at
        factor = self._durations.cross_rack_factor if is_spread(attempt.task.unit) else 1.0
        if attempt.resumed:
            return attempt.started_at + factor * self._durations.duration(step, worker)
        duration = self._durations.duration_of_running(step, worker, elapsed / factor)
        return attempt.started_at + factor * duration
