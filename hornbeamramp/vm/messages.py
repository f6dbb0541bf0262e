"""Messages between entry VMs about jobs of owned pools, carried by `hornbeamramp.rpc`."""

import msgspec

from hornbeamramp.accounts import Access
from hornbeamramp.ids import (
    NO_ACCOUNT,
    UNKNOWN_DATA_CENTRE,
    AccountId,
    DataCentreId,
    JobId,
    PoolName,
    RouteName,
    UpstreamId,
)
from hornbeamramp.messages import HelloReply, HelloRequest
from hornbeamramp.vm.relay import RelayReply, RelayRequest
from hornbeamramp.workload import JobPhase, JobSpec, RefusalKind, StepKey

__all__ = [
    "REPLY_TYPE_BY_REQUEST_TYPE",
    "AdviseReply",
    "AdviseRequest",
    "CancelJobReply",
    "CancelJobRequest",
    "CountJobsReply",
    "CountJobsRequest",
    "JobPhaseReply",
    "JobPhaseRequest",
    "PingReply",
    "PingRequest",
    "SubmitJobReply",
    "SubmitJobRequest",
]


class SubmitJobRequest(msgspec.Struct, frozen=True):
    """Submits a job to the owner of its queue's pool.

    `config_version`
        Version of the configuration by which the sender chose the queue and its pool.
    `data_centre`
        That of the sender, where the caller's request arrived.
    `account`
        The client account whose key the sender has checked.
    """

    pool: PoolName
    queue: RouteName
    config_version: int
    job_id: JobId
    spec: JobSpec
    data_centre: DataCentreId = UNKNOWN_DATA_CENTRE
    account: AccountId = NO_ACCOUNT


class SubmitJobReply(msgspec.Struct, frozen=True):
    """``refusal`` is empty if the job is recorded; otherwise ``kind`` counts.

    `is_owner`
        False if nothing was done: the VM does not own the pool for certain, or could not read a
        configuration as new as the sender's.
    `has_moved`
        Whether the owner refused a job that it doesn't know, as the queue has moved to another pool
        by its configuration.
    `is_denied`
        Whether a job of another client account has the id; nothing was done.
    `is_elsewhere`
        Whether the job was found recorded in another pool, or by another owner.
    """

    is_owner: bool
    refusal: str = ""
    retry_after_ms: int = 0
    has_moved: bool = False
    kind: RefusalKind = RefusalKind.UNAVAILABLE
    is_denied: bool = False
    is_elsewhere: bool = False


class JobPhaseRequest(msgspec.Struct, frozen=True):
    """``access`` is what the caller may see, ``None`` for all jobs."""

    pool: PoolName
    job_id: JobId
    access: Access | None = None


class JobPhaseReply(msgspec.Struct, frozen=True):
    """``phase`` is ``None`` if the owner has no such job, or if ``is_denied`` as it belongs to
    another client account."""

    is_owner: bool
    phase: JobPhase | None = None
    is_denied: bool = False


class CancelJobRequest(msgspec.Struct, frozen=True):
    """``access`` is what the caller may cancel, ``None`` for all jobs."""

    pool: PoolName
    job_id: JobId
    access: Access | None = None


class CancelJobReply(msgspec.Struct, frozen=True):
    """Nothing was done if ``is_denied``, as the job belongs to another client account."""

    is_owner: bool
    is_known: bool = False
    is_denied: bool = False


class CountJobsRequest(msgspec.Struct, frozen=True):
    """Asks for the number of jobs of a queue of which no task has started."""

    pool: PoolName
    queue: RouteName


class CountJobsReply(msgspec.Struct, frozen=True):
    is_owner: bool
    pending: int = 0


class AdviseRequest(msgspec.Struct, frozen=True):
    """Asks another VM to call the advice service, which serves one call at a time for each VM.

    `extra_wait_ms`
        How much longer than usual the request may wait for its turn, beside ``timeout_ms``.
    """

    step: StepKey
    workers: tuple[UpstreamId, ...]
    priority: int
    timeout_ms: int
    extra_wait_ms: int = 0


class AdviseReply(msgspec.Struct, frozen=True):
    """``problem`` is empty if there is advice; the tickets are valid for ``validity_ms``.

    `busy_ms`
        If not 0, the VM has refused the request, as it is busy for this long.
    """

    problem: str = ""
    ticket_by_worker: dict[UpstreamId, str] = {}
    validity_ms: int = 0
    busy_ms: int = 0


class PingRequest(msgspec.Struct, frozen=True):
    """Checks that the VM is reachable."""


class PingReply(msgspec.Struct, frozen=True):
    pass


REPLY_TYPE_BY_REQUEST_TYPE: dict[type, type] = {
    HelloRequest: HelloReply,
    SubmitJobRequest: SubmitJobReply,
    JobPhaseRequest: JobPhaseReply,
    CancelJobRequest: CancelJobReply,
    CountJobsRequest: CountJobsReply,
    AdviseRequest: AdviseReply,
    PingRequest: PingReply,
    RelayRequest: RelayReply,
}
