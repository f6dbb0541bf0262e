"""Records of jobs in the store: for each job, one as submitted and one of its progress.

Both are encoded as msgpack. Each commit that concerns a job rewrites its progress record: before a
task is started, before a worker may forget the end of a task, and before a cancellation is
acknowledged.
"""

import msgspec

from hornbeamramp.ids import JobId, PoolName, RouteName, UpstreamId, VmId
from hornbeamramp.workload import JobPhase, JobSpec

__all__ = [
    "CELL_PREFIX",
    "chain_key",
    "JobProgress",
    "JobRecord",
    "OpenTask",
    "StepGrants",
    "decode_progress",
    "decode_record",
    "encode",
    "job_key",
    "job_prefix",
    "owner_key",
    "owner_prefix",
    "progress_key",
    "progress_prefix",
    "vm_key",
    "vm_prefix",
]

ROOT = "hbr/"
# Prefix of the owner and VM records, which every process watches. Keys that change with each commit
# have other prefixes, so that the watch does not report them.
CELL_PREFIX = f"{ROOT}cell/"


class JobRecord(msgspec.Struct, frozen=True):
    """A job as accepted. ``accepted_ms`` is Unix time; the limits are those of its queue at that
    time."""

    job_id: JobId
    queue: RouteName
    accepted_ms: int
    priority: int
    max_attempts: int
    stretch: float
    target_ms: int
    spec: JobSpec


class OpenTask(msgspec.Struct, frozen=True, array_like=True):
    """A task that has been placed and is not done. ``worker`` is empty while it waits to be placed
    again."""

    occurrence: int
    step: int
    index: int
    run: int
    failures: int
    worker: UpstreamId
    checkpoint: str


class StepGrants(msgspec.Struct, frozen=True, array_like=True):
    """The advice service's answer for a step: workers asked about, and those that may run it."""

    occurrence: int
    step: int
    asked: tuple[UpstreamId, ...]
    granted: tuple[UpstreamId, ...]


class JobProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of a job. ``done`` has rows of occurrence, step and indices of completed tasks."""

    phase: JobPhase = JobPhase.QUEUED
    done: tuple[tuple[int, int, tuple[int, ...]], ...] = ()
    open_tasks: tuple[OpenTask, ...] = ()
    grants: tuple[StepGrants, ...] = ()
    ended_ms: int = 0


encode = msgspec.msgpack.encode
decode_record = msgspec.msgpack.Decoder(JobRecord).decode
decode_progress = msgspec.msgpack.Decoder(JobProgress).decode


def owner_prefix() -> str:
    return f"{CELL_PREFIX}owner/"


def owner_key(pool: PoolName) -> str:
    return f"{owner_prefix()}{pool}"


def chain_key(pool: PoolName) -> str:
    """Returns the key that each commit of a pool's owner rewrites, conditional on its revision."""
    return f"{ROOT}chain/{pool}"


def vm_prefix() -> str:
    return f"{CELL_PREFIX}vm/"


def vm_key(vm: VmId) -> str:
    return f"{vm_prefix()}{vm}"


def job_prefix(pool: PoolName) -> str:
    return f"{ROOT}job/{pool}/"


def job_key(pool: PoolName, job_id: JobId) -> str:
    return f"{job_prefix(pool)}{job_id}"


def progress_prefix(pool: PoolName) -> str:
    return f"{ROOT}progress/{pool}/"


def progress_key(pool: PoolName, job_id: JobId) -> str:
    return f"{progress_prefix(pool)}{job_id}"
