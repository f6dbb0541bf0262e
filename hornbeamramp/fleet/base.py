"""Contract of the client that gives orders to workers, and what workers report."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

from hornbeamramp.errors import UnreachableError
from hornbeamramp.ids import DataCentreId, PoolName, UpstreamId
from hornbeamramp.resources import Resources

__all__ = [
    "EndedRun",
    "HoldReply",
    "RunOutcome",
    "RunningRun",
    "StartOrder",
    "StartReply",
    "WorkerClient",
    "WorkerListing",
    "WorkerUnreachableError",
]


class RunOutcome(Enum):
    """How a run of a task ended. LOST is never reported: the worker no longer knows the run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    LOST = "lost"


class StartReply(Enum):
    """Answer to a start order. All but STARTED mean that the task was not started."""

    STARTED = "started"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    PAST_DEADLINE = "past_deadline"
    NO_ROOM = "no_room"
    TICKET_INVALID = "ticket_invalid"
    UNHEALTHY = "unhealthy"
    INSTANCE_MISMATCH = "other_boot"
    INVALID = "invalid"


class WorkerListing(msgspec.Struct, frozen=True):
    """What a worker says of itself in the list of workers. ``boot_ms`` tells its boots apart."""

    worker: UpstreamId
    pool: PoolName
    address: str
    data_centre: DataCentreId
    draining: bool
    capacity: Resources
    labels: tuple[str, ...] = ()
    boot_ms: int = 0
    drain_remaining: timedelta | None = None

    @property
    def rack(self) -> str:
        return self.labels[-1] if self.labels else ""


class StartOrder(msgspec.Struct, frozen=True):
    """Order to start a run. ``deadline_ms`` is on the worker's clock."""

    task: str
    run: int
    payload: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class RunningRun(msgspec.Struct, frozen=True):
    """A run at work. ``load`` is the tail of response times in ms for a task with a response
    target, and the thousandths of a core in use for any other."""

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


class EndedRun(msgspec.Struct, frozen=True):
    """A run that ended. ``number`` counts the ends of one boot of the worker from 1."""

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


class HoldReply(msgspec.Struct, frozen=True):
    """All that runs on a worker, and the ends that it has not been told to forget."""

    clock_ms: int
    boot_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class WorkerUnreachableError(UnreachableError):
    """No answer from a worker. The order may still be carried out later if ``sent`` is true."""


class FencedError(Exception):
    """The worker has seen a higher fencing token."""


class InstanceMismatchError(Exception):
    """Another worker answers at the address."""


class WorkerClient(ABC):
    """Orders to workers. Each method raises `WorkerUnreachableError` if there is no answer,
    `FencedError` and `InstanceMismatchError`; ``check`` is called right before an order is sent,
    which is not sent if it returns false."""

    @abstractmethod
    async def start(
        self, worker: WorkerListing, order: StartOrder, check: Callable[[], bool]
    ) -> StartReply:
        """Starts a run. Starting the same run again changes nothing."""

    @abstractmethod
    async def stop(self, worker: WorkerListing, task: str, run: int, token: int) -> None:
        """Stops a run, or keeps it from being started later if it is not there yet."""

    @abstractmethod
    async def hold(
        self,
        worker: WorkerListing,
        token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait: timedelta,
    ) -> HoldReply:
        """Extends the lease of all runs to a time on the worker's clock, forgets the ends up to
        ``last_seen`` and waits up to ``wait`` for another end."""

    @abstractmethod
    async def pace(
        self, worker: WorkerListing, task: str, run: int, percent: int, token: int
    ) -> None:
        """Lets a run work at a share of its speed, 0 to 100."""
