"""The pool owner's record of one run of a task on a worker."""

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, Any

from hornbeamramp.fleet.pace import RunPace
from hornbeamramp.ids import NO_ACCOUNT, AccountId
from hornbeamramp.resources import Resources

if TYPE_CHECKING:
    from hornbeamramp.fleet.session import WorkerSession

__all__ = ["Attempt", "AttemptPhase"]


class AttemptPhase(Enum):
    """Life cycle of a run as far as the owner knows it.

    RESERVED has capacity but no start order yet; UNCERTAIN may have been started or not.
    """

    RESERVED = "reserved"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    UNCERTAIN = "uncertain"


class Attempt:
    """One run of a task on a worker.

    `task`
        The owner's task object; opaque to sessions.
    `account`
        The client account that the run's capacity is counted for.
    `pace`
        The share of its speed to which the run is limited.
    `resumed`
        The run started from a checkpoint, so its duration is no measure of the worker's speed.
    `confirmed_at`
        Boot time of the latest proof that the run exists or can no longer be started. If a run list
        requested later lacks the run, it is gone.
    `has_begun`
        Its start was confirmed, or the worker has listed it: its order can't take effect again.
    `listed_boot_ms`
        Boot of the worker that has listed the run; ``None`` if none has.
    `ordered_boot_ms`
        Boot of the worker that the owner knew when it sent the start order; 0 if unknown.
    `progress_clock_ms`
        Time on the worker's clock at which the run was last known to make progress.
    """

    __slots__ = (
        "account",
        "checkpoint",
        "confirmed_at",
        "has_begun",
        "listed_boot_ms",
        "load",
        "name",
        "ordered_boot_ms",
        "pace",
        "percent",
        "phase",
        "progress_at",
        "progress_clock_ms",
        "resumed",
        "run",
        "session",
        "size",
        "started_at",
        "stop_wanted",
        "task",
    )

    def __init__(
        self,
        task: Any,
        name: str,
        run: int,
        size: Resources,
        session: "WorkerSession",
        account: AccountId = NO_ACCOUNT,
    ) -> None:
        self.task = task
        self.name = name
        self.run = run
        self.size = size
        self.session = session
        self.account = account
        self.phase = AttemptPhase.RESERVED
        self.checkpoint = ""
        self.percent = 0.0
        self.load = 0.0
        self.confirmed_at: timedelta | None = None
        self.has_begun = False
        self.listed_boot_ms: int | None = None
        self.ordered_boot_ms = 0
        self.started_at: timedelta | None = None
        self.progress_at: timedelta | None = None
        self.progress_clock_ms: int | None = None
        self.stop_wanted = False
        self.resumed = False
        self.pace = RunPace()
