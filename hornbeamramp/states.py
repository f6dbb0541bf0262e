"""States and reasons shared by several modules."""

from enum import Enum, IntEnum

__all__ = [
    "Band",
    "Capability",
    "JobKind",
    "JobState",
    "MemberState",
    "ProofKind",
    "RefusalReason",
    "Step",
    "TaskState",
    "UpstreamState",
]


class Band(IntEnum):
    """Priority band of a job; a lower value is served first."""

    URGENT = 0
    SERVICE = 1
    NORMAL = 2
    BULK = 3


class JobKind(Enum):
    BATCH = "batch"
    SERVICE = "service"
    GANG = "gang"


class JobState(Enum):
    """State of a job as its shard owner reports it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskState(Enum):
    """State of one attempt at an upstream."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


class MemberState(Enum):
    """State of an entry process as its peers see it."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class UpstreamState(Enum):
    """Whether an upstream may receive new work."""

    ACTIVE = "active"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    UNREACHABLE = "unreachable"


class Capability(Enum):
    """Optional features of an upstream."""

    FENCE = "fence"
    NOT_AFTER = "not_after"
    LABELS = "labels"


class ProofKind(Enum):
    """Kind of proof by which an owner of a shard may start tasks."""

    STORE = "store"
    PEERS = "peers"
    ALONE = "alone"


class RefusalReason(Enum):
    """Why a job was refused before it ran."""

    MALFORMED = "malformed"
    UNKNOWN_ROUTE = "unknown_route"
    NEVER_RUNS = "never_runs"
    QUOTA = "quota"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_OWNER = "no_owner"
    HOME_UNREACHABLE = "home_unreachable"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_REUSED = "key_reused"
    SHUTTING_DOWN = "shutting_down"
    CANCELLED = "cancelled"
    RESOLVED_ABSENT = "resolved_absent"
    EXPIRED = "expired"


class Step(Enum):
    """Steps of a job, a configuration change or a shard at which an error can arise."""

    ACCEPT = "accept"
    FORWARD = "forward"
    ADMIT = "admit"
    JOURNAL = "journal"
    START = "start"
    RUN = "run"
    ANSWER = "answer"
    CANCEL = "cancel"
    CHANGE_ACCEPTED = "change_accepted"
    CHANGE_APPLIED = "change_applied"
    CLAIM = "claim"
    RENEW = "renew"
    RECOVER = "recover"
    DRAIN = "drain"
