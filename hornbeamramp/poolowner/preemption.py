"""Chooses less urgent runs to preempt for a task; preempted runs resume from a checkpoint."""

from collections.abc import Iterable
from datetime import timedelta

from hornbeamramp.fleet import Attempt, AttemptPhase, WorkerSession
from hornbeamramp.poolowner.capacity import FreeResources
from hornbeamramp.poolowner.choice import could_ever_run, count_tasks
from hornbeamramp.poolowner.jobs import StepRun
from hornbeamramp.statestore import JobRecord

__all__ = ["add_sizes", "choose_victims", "expected_slots", "is_preemptible"]

# Runs younger than this are not preempted, so that each run makes some progress.
MIN_RUN_TIME = timedelta(seconds=1)
# Runs with at least this progress are not preempted: they free their capacity soon in any case.
MAX_VICTIM_PERCENT = 90.0


def is_preemptible(attempt: Attempt, job: JobRecord, now: timedelta) -> bool:
    """Returns whether a run may be preempted for a task of this job."""
    victim_step = attempt.task.unit.step
    return (
        attempt.phase is AttemptPhase.RUNNING
        and not attempt.stop_wanted
        and victim_step.spec.checkpointing
        and not victim_step.spec.long_running
        and not victim_step.spec.gang
        and _takes_precedence(job, victim_step.job.record)
        and attempt.started_at is not None
        and now - attempt.started_at > MIN_RUN_TIME
        and attempt.percent < MAX_VICTIM_PERCENT
    )


def _takes_precedence(job: JobRecord, victim: JobRecord) -> bool:
    """Returns whether a job may have runs of another one stopped. Nothing within a share is stopped
    for what is beyond one; the other way, the same priority suffices."""
    if job.is_beyond_share != victim.is_beyond_share:
        return victim.is_beyond_share and job.priority <= victim.priority
    return job.priority < victim.priority


def expected_slots(step: StepRun, sessions: Iterable[WorkerSession]) -> int:
    """Returns how many tasks of the step fit once the runs being stopped have ended."""
    total = 0
    for session in sessions:
        if could_ever_run(step, session):
            stopping = [a for a in session.attempt_by_key.values() if a.stop_wanted]
            total += _count_fitting(step, session, stopping)
    return total


def add_sizes(free: FreeResources, ending: Iterable[Attempt]) -> FreeResources:
    """Returns what is free once the given runs have ended."""
    processors, memory, accelerators = free
    for attempt in ending:
        processors += attempt.size.processors_milli
        memory += attempt.size.memory_mib
        accelerators += attempt.size.accelerators
    return processors, memory, accelerators


def _count_fitting(step: StepRun, session: WorkerSession, ending: Iterable[Attempt]) -> int:
    return count_tasks(step, add_sizes(session.free(), ending))


def choose_victims(
    step: StepRun, missing: int, sessions: Iterable[WorkerSession], now: timedelta
) -> list[Attempt]:
    """Returns runs to preempt so that up to ``missing`` more tasks of the step fit.

    Prefers workers where the fewest runs have to end for one task, and on a worker the runs with
    the least progress.
    """
    victims: list[Attempt] = []
    options = []
    job = step.job.record
    for session in sessions:
        if not could_ever_run(step, session):
            continue
        candidates = [a for a in session.attempt_by_key.values() if is_preemptible(a, job, now)]
        candidates.sort(key=lambda a: a.percent)
        stopping = [a for a in session.attempt_by_key.values() if a.stop_wanted]
        chosen = _fewest_victims(step, session, candidates, stopping)
        if chosen:
            options.append((len(chosen), session.worker, chosen))
    for _, _, chosen in sorted(options, key=lambda option: option[:2]):
        if missing <= 0:
            break
        victims += chosen
        missing -= 1
    return victims


def _fewest_victims(
    step: StepRun, session: WorkerSession, candidates: list[Attempt], stopping: list[Attempt]
) -> list[Attempt]:
    """Returns the shortest prefix of the candidates whose end lets one more task fit.

    The list is empty if even the end of all candidates frees too little.
    """
    before = _count_fitting(step, session, stopping)
    chosen: list[Attempt] = []
    for candidate in candidates:
        chosen.append(candidate)
        if _count_fitting(step, session, [*stopping, *chosen]) > before:
            return chosen
    return []
