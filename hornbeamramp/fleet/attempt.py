"""One run of a task on a worker, as its owner knows it."""

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, Any

from hornbeamramp.resources import Resources

if TYPE_CHECKING:
    from hornbeamramp.fleet.session import WorkerSession

__all__ = ["Attempt", "AttemptPhase"]


class AttemptPhase(Enum):
    """What is known of a run."""

    RESERVED = "reserved"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    UNCERTAIN = "uncertain"


class Attempt:
    """One run of a task on a worker.

    `task`
        The owner's task; sessions don't look into it.
    `pace_percent`
        Share of its speed at which the run was last told to work; -1 if that is not known.
    `resumed`
        It began at a checkpoint, so its duration says little of the worker's speed.
    `confirmed_at`
        Boot time of the latest proof that the run is there, or that it can't come any more. A list
        asked for later that lacks the run settles it.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_at",
        "load",
        "name",
        "pace_percent",
        "percent",
        "phase",
        "progress_at",
        "resumed",
        "run",
        "session",
        "size",
        "started_at",
        "stop_wanted",
        "task",
    )

    def __init__(
        self, task: Any, name: str, run: int, size: Resources, session: "WorkerSession"
    ) -> None:
        self.task = task
        self.name = name
        self.run = run
        self.size = size
        self.session = session
        self.phase = AttemptPhase.RESERVED
        self.checkpoint = ""
        self.percent = 0.0
        self.load = 0.0
        self.confirmed_at: timedelta | None = None
        self.started_at: timedelta | None = None
        self.progress_at: timedelta | None = None
        self.stop_wanted = False
        self.resumed = False
        self.pace_percent = 100
