"""Durable state in the platform's store: the store's interface, pool ownership, and records."""

from hornbeamramp.statestore.base import (
    Change,
    Item,
    LeaseLostError,
    Put,
    StateStore,
    Txn,
    TxnConflictError,
    WatchGapError,
    WatchReply,
)
from hornbeamramp.statestore.claim import ClaimLostError, KeysExistError, OwnerRecord, PoolClaim
from hornbeamramp.statestore.records import (
    JobProgress,
    JobRecord,
    OpenTask,
    StepGrants,
    decode_progress,
    decode_record,
    job_key,
    job_prefix,
    owner_key,
    progress_key,
)

__all__ = [
    "Change",
    "ClaimLostError",
    "Item",
    "JobProgress",
    "JobRecord",
    "KeysExistError",
    "LeaseLostError",
    "OpenTask",
    "StepGrants",
    "OwnerRecord",
    "PoolClaim",
    "Put",
    "StateStore",
    "Txn",
    "TxnConflictError",
    "WatchGapError",
    "WatchReply",
    "decode_progress",
    "decode_record",
    "job_key",
    "job_prefix",
    "owner_key",
    "progress_key",
]
