"""Fields of the log lines on runs that are given up, and on those that a worker has in spite of it.

`hornbeamramp report --overlaps` reads them.
"""

from datetime import timedelta
from typing import Any

from hornbeamramp.durations import to_ms
from hornbeamramp.fleet.attempt import Attempt
from hornbeamramp.fleet.base import EndedRun, EndProof, RunOutcome

__all__ = ["given_up_fields", "late_end_fields", "orphan_end_fields", "orphan_fields"]


def given_up_fields(
    attempt: Attempt, outcome: RunOutcome, proof: EndProof, age: timedelta, boot_ms: int | None
) -> dict[str, Any]:
    """Returns why a run counts as ended without a report.

    `age`
        Time since the call was sent that gave the proof, or since the lease was over.
    `boot_ms`
        Boot of the worker that gave the proof.
    """
    return {
        "event": "run_given_up",
        "task": attempt.name,
        "run": attempt.run,
        "worker": attempt.session.worker,
        "outcome": outcome.value,
        "proof": proof.value,
        "proof_age_ms": to_ms(age),
        "phase": attempt.phase.value,
        "ordered_boot": attempt.ordered_boot_ms,
        "answered_boot": boot_ms or 0,
    }


def orphan_fields(worker: str, boot_ms: int | None, task: str, run: int) -> dict[str, Any]:
    """Returns which boot of a worker lists a run that belongs to no attempt."""
    return {
        "event": "run_orphaned",
        "task": task,
        "run": run,
        "worker": worker,
        "boot": boot_ms,
    }


def orphan_end_fields(worker: str, boot_ms: int | None, end: EndedRun) -> dict[str, Any]:
    """Returns how such a run ended."""
    return {
        **orphan_fields(worker, boot_ms, end.task, end.run),
        "event": "orphan_ended",
        "outcome": end.outcome.value,
    }


def late_end_fields(worker: str, end: EndedRun) -> dict[str, Any]:
    """Returns how a run ended of which the owner has no attempt any more."""
    return {
        "event": "late_end",
        "task": end.task,
        "run": end.run,
        "worker": worker,
        "outcome": end.outcome.value,
    }
