"""Workers: the interface of their client, and one session for each worker of an owned pool."""

from hornbeamramp.fleet.attempt import Attempt, AttemptPhase
from hornbeamramp.fleet.base import (
    CallSeries,
    EndedRun,
    EndProof,
    HoldReply,
    RunningRun,
    RunOutcome,
    StartAnswer,
    StartOrder,
    StartReply,
    WorkerClient,
    WorkerListing,
    WorkerUnreachableError,
)
from hornbeamramp.fleet.pace import FULL_PERCENT, RunPace
from hornbeamramp.fleet.session import SessionOwner, WorkerSession

__all__ = [
    "FULL_PERCENT",
    "Attempt",
    "AttemptPhase",
    "CallSeries",
    "EndProof",
    "EndedRun",
    "HoldReply",
    "RunOutcome",
    "RunPace",
    "RunningRun",
    "SessionOwner",
    "StartAnswer",
    "StartOrder",
    "StartReply",
    "WorkerClient",
    "WorkerListing",
    "WorkerSession",
    "WorkerUnreachableError",
]
