"""Workers: the contract of their client, and one session for each worker of an owned pool."""

from hornbeamramp.fleet.attempt import Attempt, AttemptPhase
from hornbeamramp.fleet.base import (
    EndedRun,
    HoldReply,
    HowEnded,
    RunningRun,
    StartOrder,
    StartReply,
    WorkerClient,
    WorkerListing,
    WorkerUnreachableError,
)
from hornbeamramp.fleet.session import SessionOwner, WorkerSession

__all__ = [
    "Attempt",
    "AttemptPhase",
    "EndedRun",
    "HoldReply",
    "HowEnded",
    "RunningRun",
    "SessionOwner",
    "StartOrder",
    "StartReply",
    "WorkerClient",
    "WorkerListing",
    "WorkerSession",
    "WorkerUnreachableError",
]
