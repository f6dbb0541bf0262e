"""Jobs made of steps: groups of identical tasks that start once their predecessors are done."""

from enum import Enum
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from hornbeamramp.ids import JobId

__all__ = [
    "MAX_TASKS",
    "TERMINAL_PHASES",
    "JobPhase",
    "JobSpec",
    "RefusalKind",
    "StepKey",
    "StepSpec",
    "check_job",
    "parse_task_name",
    "task_name",
]

# Limits of a job, so that one caller can't exhaust an owner's memory. The largest known kind of job
# has five steps of 84 tasks.
MAX_STEPS = 64
MAX_TASKS = 20_000
# Most digits of a number in the name of a task.
MAX_NUMBER_DIGITS = 9


class JobPhase(Enum):
    """Phase of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class RefusalKind(Enum):
    """What a job was refused for."""

    UNAVAILABLE = "unavailable"
    BEYOND_SHARE = "beyond share"
    BEYOND_QUOTA = "beyond quota"


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step: ``count`` tasks, each of the given size.

    `processors_milli`, `memory_mib`, `accelerators`
        Size of one task in thousandths of a core, MiB and whole accelerators.
    `estimate_ms`
        The submitter's rough estimate of a task's duration.
    `after`
        Numbers of earlier steps whose tasks must all be done first.
    `gang`
        All tasks run at the same time, end together and share run numbers.
    `same_rack`, `data_rack`
        Racks on which the tasks run at full speed: one common rack, and the rack with this label.
    `max_per_worker`
        Maximum number of tasks of one occurrence of the step on one worker; 0 is no limit.
    `speculative`
        A second copy of a task may run at the same time.
    `long_running`
        The tasks run until the job is cancelled and are restarted however they end.
    `response_target_ms`
        Target for the tail of the response times of a long-running task in ms; 0 is none.
    `fills`
        Best-effort tasks: they use processors that others leave idle, and none are reserved for
        them.
    `max_unavailable`
        Maximum number of tasks of a long-running step that planned work may take down at a time.
    """

    count: int
    processors_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    data_rack: str = ""
    required_label: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    response_target_ms: int = 0
    fills: bool = False
    max_unavailable: int | None = None


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as submitted. Occurrence K is due at ``start_at_ms + K * interval_ms`` (Unix time)."""

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        return max(self.repetitions, 1)

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix time in ms at which an occurrence is due; 0 for jobs without times."""
        return self.start_at_ms + occurrence * self.interval_ms if self.repetitions else 0


class StepKey(NamedTuple):
    """A step of one occurrence of a job."""

    job_id: JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}"


def task_name(key: StepKey, index: int) -> str:
    """Returns the name of a task in start orders and worker lists."""
    return f"{key}.{index}"


def parse_task_name(name: str) -> tuple[StepKey, int] | None:
    """Returns the step and the index of a task by its name, ``None`` if it isn't one."""
    job_id, *numbers = name.split(".")
    if len(numbers) != 3 or not all(n.isascii() and n.isdecimal() for n in numbers):
        return None
    if max(map(len, numbers)) > MAX_NUMBER_DIGITS:
        return None
    occurrence, step, index = map(int, numbers)
    return StepKey(JobId(job_id), occurrence, step), index


def check_job(job: JobSpec) -> Result[JobSpec, str]:
    """Checks what the types can't express: step order, counts and sizes.

    The error starts with the name of the field.
    """
    if not 1 <= len(job.steps) <= MAX_STEPS:
        return Err(f"steps: {len(job.steps)} steps, allowed are 1 to {MAX_STEPS}")
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return Err(f"steps[{number}].count: must be at least 1")
        if min(step.processors_milli, step.memory_mib, step.accelerators) < 0:
            return Err(f"steps[{number}]: sizes must not be negative")
        if any(not 0 <= earlier < number for earlier in step.after):
            return Err(f"steps[{number}].after: names a step that is not an earlier one")
    if sum(step.count for step in job.steps) * job.occurrences > MAX_TASKS:
        return Err(f"steps: more than {MAX_TASKS} tasks")
    return Ok(job)
