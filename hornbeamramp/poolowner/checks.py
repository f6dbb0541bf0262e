"""Periodic checks of runs: stalled tasks, pace of best-effort tasks, and draining workers."""

from typing import TYPE_CHECKING

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.fleet import AttemptPhase
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.health import stalled_attempts
from hornbeamramp.poolowner.pacing import Pacer
from hornbeamramp.poolowner.placer import Placer

if TYPE_CHECKING:
    from hornbeamramp.poolowner.owner import PoolOwner

__all__ = ["RunChecks"]

_log = logbook.Logger("owner")


class RunChecks:
    """Checks all runs of a pool for conditions that no event reports, and acts on them."""

    def __init__(self, owner: "PoolOwner", placer: Placer, clock: Clock) -> None:
        self._owner = owner
        self._placer = placer
        self._clock = clock
        self._pacer = Pacer()

    def run(self) -> None:
        """Runs all checks once, unless the owner's claim may have run out.

        A successor may have taken over the runs, and their state here may be old.
        """
        if not self._owner.may_order():
            return
        self._end_lapsed_runs()
        self._evacuate_draining_workers()
        self._pace_best_effort_tasks()
        self._restart_stalled()

    def _end_lapsed_runs(self) -> None:
        """Ends runs on unreachable workers once their leases have lapsed; the sessions would notice
        it only after their next failed call."""
        for session in list(self._owner.session_by_worker.values()):
            if not session.reachable:
                session.end_lapsed_runs()

    def _restart_stalled(self) -> None:
        """Stops stalled runs; their tasks start again, preferably on another worker."""
        now = self._clock.boot_time()
        for attempt in stalled_attempts(self._owner.session_by_worker.values()):
            _log.warning(
                "{} run {} on {} stalled at {}%, stopping it",
                attempt.name,
                attempt.run,
                attempt.session.worker,
                attempt.percent,
            )
            self._placer.health.record_stall(attempt, now)
            attempt.task.unit.avoided_workers.add(UpstreamId(attempt.session.worker))
            attempt.session.stop(attempt)

    def _pace_best_effort_tasks(self) -> None:
        now = self._clock.boot_time()
        for attempt, percent in self._pacer.changes(self._owner.session_by_worker.values(), now):
            _log.info(
                "{} on {}: pace of best-effort run set to {}%",
                attempt.name,
                attempt.session.worker,
                percent,
            )
            self._owner.spawn(attempt.session.pace(attempt, percent))

    def _evacuate_draining_workers(self) -> None:
        """Stops long-running tasks on draining workers, which would end them anyway, so that they
        start elsewhere."""
        for session in self._owner.session_by_worker.values():
            if not session.listing.draining:
                continue
            for attempt in list(session.attempt_by_key.values()):
                if (
                    attempt.task.unit.step.spec.long_running
                    and attempt.phase is AttemptPhase.RUNNING
                ):
                    session.stop(attempt)
