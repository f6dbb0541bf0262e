"""Typed messages between entry VMs, encoded as msgpack."""

from datetime import timedelta

import msgspec

from hornbeamramp.ids import DataCentreId, Epoch, JobId, Revision, ShardId, VmId
from hornbeamramp.jobs import BatchJob, GangJob, Outcome, ServiceJob
from hornbeamramp.states import Band, JobState, MemberState
from hornbeamramp.tables import Change, Tables

__all__ = [
    "PROTOCOL_VERSION",
    "AskOwnerReply",
    "AskOwnerRequest",
    "CancelReply",
    "CancelRequest",
    "ConfigDeltaReply",
    "ConfigDeltaRequest",
    "GetJobReply",
    "GetJobRequest",
    "HandOverReply",
    "HandOverRequest",
    "Heartbeat",
    "HeartbeatReply",
    "HelloReply",
    "HelloRequest",
    "Misdirected",
    "PromiseReply",
    "PromiseRequest",
    "ResolveReply",
    "ResolveRequest",
    "ShardHeartbeat",
    "StatusReply",
    "StatusRequest",
    "SubmitReply",
    "SubmitRequest",
]

PROTOCOL_VERSION = 1


class HelloRequest(msgspec.Struct, frozen=True):
    """First message on a channel. A peer with another protocol version is rejected."""

    version: int
    vm: VmId
    data_centre: DataCentreId


class HelloReply(msgspec.Struct, frozen=True):
    version: int
    vm: VmId
    data_centre: DataCentreId


class ShardHeartbeat(msgspec.Struct, frozen=True):
    """State of an owned shard in a heartbeat: epoch, serving or not, expected wait by band."""

    epoch: Epoch
    serving: bool
    wait_by_band: dict[Band, timedelta] = {}


class Heartbeat(msgspec.Struct, frozen=True):
    """Heartbeat of a member. Peers without a record of it use ``peer_address`` to reach it."""

    vm: VmId
    data_centre: DataCentreId
    state: MemberState
    revision: Revision
    shards: dict[ShardId, ShardHeartbeat] = {}
    peer_address: str = ""


class HeartbeatReply(msgspec.Struct, frozen=True):
    revision: Revision
    state: MemberState


class SubmitRequest(msgspec.Struct, frozen=True):
    """Submits a job to a shard. The job's ``deadline`` is the time left when this was sent."""

    shard: ShardId
    job: BatchJob | ServiceJob | GangJob


class Misdirected(msgspec.Struct, frozen=True, tag="misdirected"):
    """The receiver does not own the shard. ``owner`` is the owner that it assumes, if any."""

    owner: VmId | None = None
    recovering: bool = False


class SubmitReply(msgspec.Struct, frozen=True):
    """``accepted`` is the id of an asynchronous job once journalled; then there is no outcome."""

    outcome: Outcome | Misdirected | None
    accepted: JobId | None = None


class ResolveRequest(msgspec.Struct, frozen=True):
    """Asks for the state of a submitted job whose reply was lost.

    With ``refuse_unseen``, an owner that has not seen the id first records it as refused.
    """

    shard: ShardId
    job_id: JobId
    refuse_unseen: bool = True
    wait: timedelta = timedelta(0)


class ResolveReply(msgspec.Struct, frozen=True):
    """``state`` is ``None`` if the receiver does not own the shard or is still recovering it.

    `may_repeat`
        Whether an idempotent job may be sent again: no earlier attempt can be running.
    """

    state: JobState | None
    outcome: Outcome | None = None
    may_repeat: bool = False


class GetJobRequest(msgspec.Struct, frozen=True):
    shard: ShardId
    job_id: JobId


class GetJobReply(msgspec.Struct, frozen=True):
    state: JobState | None
    outcome: Outcome | None = None


class CancelRequest(msgspec.Struct, frozen=True):
    shard: ShardId
    job_id: JobId


class CancelReply(msgspec.Struct, frozen=True):
    state: JobState | None
    outcome: Outcome | None = None


class AskOwnerRequest(msgspec.Struct, frozen=True):
    """A candidate asks the recorded owner whether it still serves the shard."""

    shard: ShardId
    candidate: VmId


class AskOwnerReply(msgspec.Struct, frozen=True):
    """``promised_for`` is the time left of a promise that the receiver gave to ``promised_to``."""

    serving: bool
    epoch: Epoch
    promised_for: timedelta = timedelta(0)
    promised_to: VmId | None = None


class PromiseRequest(msgspec.Struct, frozen=True):
    """An owner asks a peer not to claim its shards for ``duration``."""

    owner: VmId
    shards: dict[ShardId, Epoch]
    duration: timedelta


class PromiseReply(msgspec.Struct, frozen=True):
    """``granted`` are the shards that the peer promised not to claim."""

    granted: list[ShardId]


class HandOverRequest(msgspec.Struct, frozen=True):
    """A leaving owner gives a shard to a successor, which claims it without waiting."""

    shard: ShardId
    epoch: Epoch
    owner: VmId


class HandOverReply(msgspec.Struct, frozen=True):
    accepted: bool


class ConfigDeltaRequest(msgspec.Struct, frozen=True):
    """Asks for the changes after ``after``. ``digest`` is that of the sender's last change."""

    after: Revision
    digest: str = ""


class ConfigDeltaReply(msgspec.Struct, frozen=True):
    """The changes after the requested revision, or the whole tables.

    The tables are sent, with the last changes that led to them, if the requested revision is no
    longer kept or is on another chain of changes. Nothing is sent if the receiver has no later
    revision.

    `revision`, `digest`
        Revision and digest of the receiver's last change.
    `base_digest`
        Digest of the revision before the first of ``changes``.
    """

    revision: Revision
    changes: list[Change] = []
    tables: Tables | None = None
    digest: str = ""
    base_digest: str = ""


class StatusRequest(msgspec.Struct, frozen=True):
    pass


class StatusReply(msgspec.Struct, frozen=True):
    """``document`` is the JSON status of the receiver."""

    document: bytes
