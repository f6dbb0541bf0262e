"""Logs the state of an owned pool, the steps that wait long with the reason why, and what the
oldest jobs do."""

import heapq
import time
from datetime import timedelta
from typing import TYPE_CHECKING

import logbook

from hornbeamramp import instruments
from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.loop_lag import longest_lag
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.journal import Journal
from hornbeamramp.poolowner.placer import Placer
from hornbeamramp.poolowner.summaries import pool_fields

if TYPE_CHECKING:
    from hornbeamramp.poolowner.owner import PoolOwner

__all__ = ["PoolMonitor"]

# Period of the line with the state of the pool.
STATE_PERIOD = timedelta(seconds=1)
# Waits shorter than this are not logged by themselves: every job has some.
MIN_LOGGED_WAIT = timedelta(seconds=1)
# Most waits logged in one period, the first in the order of placement.
MAX_LOGGED_WAITS = 20
# Most accounts named in the line with the state of the pool, those furthest above their shares.
MAX_LOGGED_ACCOUNTS = 5
# Period of the lines on the oldest jobs, and most jobs and runs of a job named in one period. Jobs
# that last or have times are open for long, and are left out.
OLD_JOBS_PERIOD = timedelta(seconds=5)
MAX_OLD_JOBS = 3
MAX_RUNS_OF_OLD_JOB = 3

_log = logbook.Logger("owner")


class PoolMonitor:
    """Observes one pool; changes nothing."""

    def __init__(self, owner: "PoolOwner", placer: Placer, journal: Journal, clock: Clock) -> None:
        self._owner = owner
        self._placer = placer
        self._journal = journal
        self._clock = clock
        self._old_jobs_logged_at = clock.boot_time()

    async def run(self) -> None:
        """Logs until cancelled."""
        while True:
            started_cpu = time.process_time()
            longest = await longest_lag(self._clock, STATE_PERIOD)
            self._log_state(longest, time.process_time() - started_cpu)
            self._log_waits()
            if self._clock.boot_time() - self._old_jobs_logged_at >= OLD_JOBS_PERIOD:
                self._old_jobs_logged_at = self._clock.boot_time()
                self._log_old_jobs()

    def _log_state(self, lag: timedelta, cpu_s: float) -> None:
        instruments.jobs_open.set(self._owner.count_open_jobs(), {"pool": self._owner.pool})
        waiting = self._placer.waiting_steps()
        fields = pool_fields(self._owner.session_by_worker.values(), waiting, lag, cpu_s)
        counts = self._journal.take_counts()
        fields["journal"] = {
            "commits": counts.commits,
            "records": counts.records,
            "longest_ms": to_ms(counts.longest),
            "waiting": counts.waiting,
        }
        if self._owner.shares.is_used:
            fields["accounts"] = {
                "above_share": self._owner.shares.above_share(MAX_LOGGED_ACCOUNTS),
                "waiting_beyond_share": sum(
                    sum(len(unit.tasks) for unit in step.waiting)
                    for step in waiting
                    if step.job.record.is_beyond_share
                ),
            }
        durations, headroom = self._placer.durations, self._placer.headroom
        fields["durations"] = {"runs": durations.runs, "terms": durations.terms}
        fields["headroom"] = headroom.kept_tasks
        instruments.headroom.set(headroom.kept_tasks, {"pool": self._owner.pool})
        _log.info(
            "pool {}: {} of {} cores free on {} workers, {} steps wait",
            self._owner.pool,
            fields["free"],
            fields["cores"],
            fields["workers"],
            len(waiting),
            extra={"pool": self._owner.pool, **fields},
        )

    def _log_waits(self) -> None:
        now = self._clock.boot_time()
        logged = 0
        for step in self._placer.waiting_steps():
            wait = step.wait
            if wait.reason is None or wait.is_logged or now - wait.since < MIN_LOGGED_WAIT:
                continue
            wait.is_logged = True
            _log.info(
                "{} waits for {} since {}: {} tasks, {} of {} workers granted",
                step.key,
                wait.reason.value,
                now - wait.since,
                sum(len(unit.tasks) for unit in step.waiting),
                len(step.grants.granted),
                len(step.grants.asked),
            )
            logged += 1
            if logged == MAX_LOGGED_WAITS:
                return

    def _log_old_jobs(self) -> None:
        """Logs what the oldest jobs do: one that waits for its own runs has no waiting step."""
        open_jobs = (job for job in self._owner.job_by_id.values() if _ends_by_itself(job))
        for job in heapq.nsmallest(MAX_OLD_JOBS, open_jobs, key=lambda j: j.record.accepted_ms):
            runs = sorted(job.attempts(), key=lambda attempt: attempt.percent)
            _log.info(
                "{} open for {} s; done of its steps: {}; {} runs, the last: {}",
                job.record.job_id,
                (self._owner.now_ms() - job.record.accepted_ms) // 1000,
                [
                    f"{sum(unit.is_done for unit in step.units)}/{len(step.units)}"
                    for step in job.steps()
                ],
                len(runs),
                [
                    f"{run.name} run {run.run} on {run.session.worker} {run.phase.value}"
                    f" at {run.percent:.0f}%"
                    for run in runs[:MAX_RUNS_OF_OLD_JOB]
                ],
                extra={"event": "job_open", "job": job.record.job_id},
            )


def _ends_by_itself(job: Job) -> bool:
    spec = job.record.spec
    return not (job.is_ended or spec.repetitions or any(step.long_running for step in spec.steps))
