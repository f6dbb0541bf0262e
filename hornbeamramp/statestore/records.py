"""Records of jobs in the store: for each job, one as submitted and its progress.

Both are encoded as msgpack. Each commit that concerns a job writes its progress again: before a
task is started, before a worker may forget the end of a task, and before a cancellation is
acknowledged. The store limits the keys of a commit, so the progress of all jobs that have not ended
goes into one record, a progress group. Of all that is stored for a job, the progress with the
highest store revision counts.
"""

import hashlib
import re
from collections.abc import Callable
from typing import TypeVar

import msgspec

from hornbeamramp.accounts.quotas import QuotaRecord
from hornbeamramp.ids import (
    NO_ACCOUNT,
    AccountId,
    JobId,
    PoolName,
    QueueAddress,
    RouteName,
    UpstreamId,
    VmId,
)
from hornbeamramp.workload import JobPhase, JobSpec

__all__ = [
    "AddressPools",
    "CELL_PREFIX",
    "address_key",
    "address_prefix",
    "chain_key",
    "JobProgress",
    "GROUPED_FORMAT",
    "JobRecord",
    "LEARNED_VERSION",
    "LearnedRecord",
    "LearnedTerm",
    "OpenTask",
    "ProgressGroup",
    "RefusedId",
    "StepGrants",
    "decode_address_pools",
    "decode_group",
    "decode_learned",
    "decode_progress",
    "decode_quota",
    "decode_record",
    "decode_refused",
    "encode",
    "group_key",
    "group_prefix",
    "group_token",
    "job_key",
    "job_prefix",
    "learned_key",
    "owner_key",
    "owner_prefix",
    "progress_key",
    "progress_prefix",
    "quota_key",
    "quota_prefix",
    "refused_key",
    "refused_prefix",
    "vm_key",
    "vm_prefix",
]

ROOT = "hbr/"
_GROUP_NAME = re.compile(r"([0-9]{1,20})-[0-9]{1,20}")
# Version of the records from which on processes read progress groups. Earlier ones would start the
# tasks of these jobs again, so groups are written only while no such process is alive.
GROUPED_FORMAT = 2
# Version of the records of learned durations. Others are ignored.
LEARNED_VERSION = 1
# Prefix of the owner, VM and address records, which every process watches. Keys that change with
# each commit have other prefixes, so that the watch does not report them.
CELL_PREFIX = f"{ROOT}cell/"


class JobRecord(msgspec.Struct, frozen=True):
    """A job as accepted. ``accepted_ms`` is Unix time; the limits are those of its queue at that
    time. ``account`` is the client account whose key its caller sent; ``is_beyond_share`` tells
    whether the account had sent more jobs than its weight allows."""

    job_id: JobId
    queue: RouteName
    accepted_ms: int
    priority: int
    max_attempts: int
    stretch: float
    target_ms: int
    spec: JobSpec
    account: AccountId = NO_ACCOUNT
    is_beyond_share: bool = False


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


class ProgressGroup(msgspec.Struct, frozen=True, array_like=True):
    """Encoded progress of the jobs of one commit, so that each can be decoded by itself."""

    progress_by_job: dict[JobId, bytes]


class RefusedId(msgspec.Struct, frozen=True):
    """An id that was cancelled while no job had it. Its job is refused until a Unix time."""

    until_ms: int


class LearnedTerm(msgspec.Struct, frozen=True, array_like=True):
    """A term of the expected durations, in thousandths. ``task_variance`` is -1 if not known."""

    mean: int
    steps: int
    step_variance: int
    task_variance: int


class LearnedRecord(msgspec.Struct, frozen=True):
    """What an owner has learned of durations, by the digest of what a term is about, and of the
    speeds of workers, as logarithms in thousandths. It is advice: a job never depends on it."""

    term_by_key: dict[int, LearnedTerm]
    log_speed_by_worker: dict[UpstreamId, int]
    version: int = LEARNED_VERSION


class AddressPools(msgspec.Struct, frozen=True):
    """The pools whose owners have recorded jobs that callers sent to an address."""

    address: QueueAddress
    pools: tuple[PoolName, ...]


T = TypeVar("T")


def _decoder(record_type: type[T]) -> Callable[[bytes], T]:
    """Returns a function that decodes a record, and raises `msgspec.MsgspecError` if it can't."""
    decoder = msgspec.msgpack.Decoder(record_type)

    def decode(value: bytes) -> T:
        try:
            return decoder.decode(value)
        except RecursionError as error:
            raise msgspec.DecodeError("nested too deeply") from error

    return decode


encode = msgspec.msgpack.encode
decode_address_pools = _decoder(AddressPools)
decode_group = _decoder(ProgressGroup)
decode_learned = _decoder(LearnedRecord)
decode_record = _decoder(JobRecord)
decode_progress = _decoder(JobProgress)
decode_quota = _decoder(QuotaRecord)
decode_refused = _decoder(RefusedId)


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


def address_prefix() -> str:
    return f"{CELL_PREFIX}address/"


def address_key(address: QueueAddress) -> str:
    """Returns the key of an address's record. Addresses may be longer than the store's keys."""
    return f"{address_prefix()}{hashlib.sha256(address.encode()).hexdigest()}"


def job_prefix(pool: PoolName) -> str:
    return f"{ROOT}job/{pool}/"


def job_key(pool: PoolName, job_id: JobId) -> str:
    return f"{job_prefix(pool)}{job_id}"


def group_prefix(pool: PoolName) -> str:
    return f"{ROOT}group/{pool}/"


def group_key(pool: PoolName, token: int, number: int) -> str:
    """Returns the key of the group of an owner's commit. Each key is written once."""
    return f"{group_prefix(pool)}{token}-{number}"


def group_token(pool: PoolName, key: str) -> int | None:
    """Returns the token in the key of a pool's group, ``None`` if it is the key of no group."""
    match = _GROUP_NAME.fullmatch(key.removeprefix(group_prefix(pool)))
    return None if match is None else int(match[1])


def learned_key(pool: PoolName) -> str:
    return f"{ROOT}learned/{pool}"


def progress_prefix(pool: PoolName) -> str:
    return f"{ROOT}progress/{pool}/"


def progress_key(pool: PoolName, job_id: JobId) -> str:
    return f"{progress_prefix(pool)}{job_id}"


def quota_prefix() -> str:
    return f"{ROOT}quota/"


def quota_key(pool: PoolName) -> str:
    """Returns the key of a pool's allotments of the accounts' quotas."""
    return f"{quota_prefix()}{pool}"


def refused_prefix(pool: PoolName) -> str:
    return f"{ROOT}refused/{pool}/"


def refused_key(pool: PoolName, job_id: JobId) -> str:
    return f"{refused_prefix(pool)}{job_id}"
