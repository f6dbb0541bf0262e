"""State transitions of jobs: opening of steps, ends of runs, retries and the end of the job."""

from typing import TYPE_CHECKING

import logbook

from hornbeamramp import instruments
from hornbeamramp.fleet import Attempt, AttemptPhase, EndedRun, RunOutcome
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.jobs import Job, StepRun, Task, Unit
from hornbeamramp.poolowner.journal import Journal
from hornbeamramp.poolowner.placer import Placer
from hornbeamramp.poolowner.summaries import (
    end_fields,
    lost_work,
    run_end_fields,
    running_fields,
)
from hornbeamramp.poolowner.waiting import WaitReason
from hornbeamramp.workload import JobPhase

if TYPE_CHECKING:
    from hornbeamramp.poolowner.owner import PoolOwner

__all__ = ["JobLifecycle"]

_log = logbook.Logger("owner")


class JobLifecycle:
    """Applies state changes to the jobs of a pool and marks them for recording in the journal."""

    def __init__(self, owner: "PoolOwner", placer: Placer, journal: Journal) -> None:
        self._owner = owner
        self._placer = placer
        self._journal = journal

    def open_due(self, job: Job) -> None:
        """Opens occurrences that are due, and steps whose predecessors are done."""
        if job.is_ended:
            return
        spec = job.record.spec
        now_ms = self._owner.now_ms()
        for occurrence in range(spec.occurrences):
            if spec.due_ms(occurrence) > now_ms:
                break
            job.open_occurrence(occurrence)
        self._open_ready(job)

    def _open_ready(self, job: Job) -> None:
        if self._placer.add(job.ready_steps()):
            self._owner.wake()

    def mark_started(self, job: Job) -> None:
        """Marks a queued job as running, as one of its tasks has started."""
        if job.phase is JobPhase.QUEUED:
            job.phase = JobPhase.RUNNING
            self._journal.mark_dirty(job)
            wait_s = (self._owner.now_ms() - job.record.accepted_ms) / 1000
            instruments.first_start_time.record(wait_s, {"queue": job.record.queue})

    def log_running(self, attempt: Attempt) -> None:
        """Logs that a long-running task runs; the end of the time in which it was away."""
        if attempt.task.unit.step.spec.long_running:
            _log.info(
                "{} run {} on {} is running",
                attempt.name,
                attempt.run,
                attempt.session.worker,
                extra=running_fields(attempt),
            )

    def apply_end(self, attempt: Attempt, outcome: RunOutcome, checkpoint: str) -> None:
        """Applies the end of a run: completes its unit or queues it again, and ends the job if all
        its tasks are done or the unit has failed too often."""
        task: Task = attempt.task
        unit = task.unit
        job = unit.step.job
        task.attempt = None
        self._owner.wake()
        instruments.run_ends.add(1, {"how": outcome.value})
        self._placer.record_end(attempt, outcome)
        if job.is_ended:
            return
        if checkpoint:
            unit.checkpoint = checkpoint
        if outcome is RunOutcome.DONE and not unit.step.spec.long_running:
            unit.mark_done()
        elif outcome is RunOutcome.FAILED:
            _count_failure(unit, attempt)
        elif outcome in (RunOutcome.LAPSED, RunOutcome.LOST):
            unit.avoided_workers.add(UpstreamId(attempt.session.worker))
        if outcome is not RunOutcome.DONE or unit.step.spec.long_running:
            if not checkpoint and outcome is not RunOutcome.DONE:
                lost = lost_work(attempt, self._owner.boot_time())
                job.lost_work_by_outcome[outcome] = (
                    job.lost_work_by_outcome.get(outcome, 0.0) + lost
                )
            _log.info(
                "{} run {} on {} ended {} at {}%, failures {}",
                task.name,
                attempt.run,
                attempt.session.worker,
                outcome.value,
                attempt.percent,
                unit.failures,
                extra=run_end_fields(
                    attempt, outcome, self._owner.boot_time(), self._owner.taken_at
                ),
            )
        self._journal.mark_dirty(job)
        if not unit.is_done:
            # Members that are stopped, as others of their gang could not start, have done no work.
            if outcome not in (RunOutcome.STOPPED, RunOutcome.GANG_INCOMPLETE):
                unit.step.rack_wait.begin(self._owner.boot_time())
            self.retry(unit)
        self._open_next(unit.step)

    def _open_next(self, step: StepRun) -> None:
        """Ends a job that is complete, or opens the steps that had to wait for one."""
        job = step.job
        if job.is_complete():
            self.finish(job, JobPhase.COMPLETED)
        elif step.is_done:
            self._open_ready(job)

    def apply_late_end(self, task: Task, end: EndedRun) -> None:
        """Applies an end that a worker lists of a run that had been given up.

        The worker was cut off while the lease expired. Work that it had done before that is done,
        whatever has been started since: the later runs are stopped, and what follows may begin.
        An end in failure is not counted. Its run counted as lapsed, and a former owner may have
        counted it already.
        """
        unit = task.unit
        step = unit.step
        if step.job.is_ended or unit.is_done or step.spec.long_running or end.run > unit.run:
            return
        if end.outcome is not RunOutcome.DONE:
            if end.checkpoint and end.run == unit.run and not unit.is_placed:
                unit.checkpoint = end.checkpoint
                self._journal.mark_dirty(step.job)
            return
        later = unit.attempts()
        _log.info(
            "{} run {} had ended done, {} later runs are stopped",
            task.name,
            end.run,
            len(later),
            extra={"event": "late_done", "task": task.name, "run": end.run, "later": len(later)},
        )
        unit.mark_done()
        step.job.late_done += 1
        step.unqueue(unit)
        for attempt in later:
            # Those that have only been reserved are released instead of being started.
            if attempt.phase is not AttemptPhase.RESERVED:
                attempt.session.stop(attempt)
        self._journal.mark_dirty(step.job)
        self._owner.wake()
        self._open_next(step)

    def retry(self, unit: Unit) -> None:
        """Queues a unit again once it has no runs left; the remaining runs of a broken gang are
        stopped first."""
        job = unit.step.job
        if job.is_ended or unit.is_done:
            return
        if unit.is_placed:
            unit.step.wait.set(WaitReason.END, self._owner.boot_time())
            for attempt in unit.attempts():
                if attempt.phase is not AttemptPhase.RESERVED:
                    attempt.session.stop(attempt)
            return
        if not unit.step.spec.long_running and unit.failures >= self._max_attempts(job):
            self.finish(job, JobPhase.FAILED)
            return
        self._placer.queue(unit)
        self._owner.wake()

    def _max_attempts(self, job: Job) -> int:
        queue = self._owner.queue_of(job)
        return job.record.max_attempts if queue is None else queue.max_attempts

    def finish(self, job: Job, phase: JobPhase) -> None:
        """Ends a job and stops its runs, which hold capacity until workers report their ends."""
        job.close(phase, self._owner.now_ms())
        self._journal.mark_dirty(job)
        instruments.jobs_ended.add(1, {"phase": phase.value})
        elapsed_ms = job.ended_ms - job.record.accepted_ms
        now = self._owner.boot_time()
        for step in job.steps():
            step.wait.set(None, now)
        _log.info(
            "job {} {} after {} ms",
            job.record.job_id,
            phase.value,
            elapsed_ms,
            extra=end_fields(job, self._owner.queue_of(job)),
        )
        for attempt in list(job.attempts()):
            if attempt.phase is not AttemptPhase.RESERVED:
                attempt.session.stop(attempt)


def _count_failure(unit: Unit, attempt: Attempt) -> None:
    """Counts a failed run, once for all members of a gang."""
    unit.avoided_workers.add(UpstreamId(attempt.session.worker))
    if unit.failed_run == attempt.run:
        return
    unit.failed_run = attempt.run
    unit.failures += 1
