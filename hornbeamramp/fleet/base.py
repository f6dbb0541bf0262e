"""Interface of the client that sends orders to workers, and the types of their reports."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum

import msgspec

from hornbeamramp.errors import UnreachableError
from hornbeamramp.ids import DataCentreId, PoolName, UpstreamId
from hornbeamramp.resources import Resources

__all__ = [
    "CallSeries",
    "EndProof",
    "EndedRun",
    "HoldReply",
    "RunOutcome",
    "RunningRun",
    "StartAnswer",
    "StartOrder",
    "StartReply",
    "WorkerClient",
    "WorkerListing",
    "WorkerUnreachableError",
]


class RunOutcome(Enum):
    """How a run of a task ended. LOST is inferred, not reported: the worker has no such run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    LOST = "lost"


class EndProof(Enum):
    """Why a run counts as ended although no worker has reported its end.

    UNLISTED: a list that would contain the run lacks it. RESTARTED: the worker has restarted.
    REPLACED: another worker answers at the address. LEASE_OVER: its lease has certainly expired.
    """

    UNLISTED = "unlisted"
    RESTARTED = "restarted"
    REPLACED = "replaced"
    LEASE_OVER = "lease_over"


class StartReply(Enum):
    """Answer to a start order. Any value but STARTED means that the run was not started."""

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
    """A worker's entry in the list of workers. ``boot_ms`` changes with each boot of the worker."""

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


class StartAnswer(msgspec.Struct, frozen=True):
    """Answer to a start order. ``clock_ms`` is the worker's clock, ``None`` if not told."""

    reply: StartReply
    clock_ms: int | None = None


class RunningRun(msgspec.Struct, frozen=True):
    """A run in progress. ``load`` is the tail of response times in ms for a task with a response
    target, and the thousandths of a core in use for any other."""

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


class EndedRun(msgspec.Struct, frozen=True):
    """A run that ended. ``number`` counts the ended runs of one boot of the worker from 1."""

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


class HoldReply(msgspec.Struct, frozen=True):
    """All runs in progress on a worker, and the ended runs that it has not been told to forget.

    `sent_at`
        Boot time at which the call was written to its connection; ``None`` if not known.
    """

    clock_ms: int
    boot_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    sent_at: timedelta | None = None


class WorkerUnreachableError(UnreachableError):
    """No answer from a worker. If ``sent`` is true, the order may still be carried out later."""


class CallSeries:
    """Hold calls of one session.

    `may_reconnect`
        Whether a call that acknowledges ends or extends the lease may open a connection.
    """

    def __init__(self) -> None:
        self.may_reconnect = False


class FencedError(Exception):
    """The worker has seen a higher fencing token."""


class InstanceMismatchError(Exception):
    """Another worker answers at the address."""


class WorkerClient(ABC):
    """Client for orders to workers.

    Each method raises `WorkerUnreachableError` if there is no answer, `FencedError` and
    `InstanceMismatchError`. ``token`` is the owner's fencing token. ``check`` is called right
    before an order is sent; if it returns false, the order is not sent.
    """

    @abstractmethod
    async def start(
        self,
        worker: WorkerListing,
        order: StartOrder,
        check: Callable[[], bool],
        check_connection: Callable[[timedelta], Awaitable[bool]],
    ) -> StartAnswer:
        """Starts a run. Starting the same run again has no effect.

        ``check_connection`` is awaited with a boot time by which the connection for the order was
        open; if it returns false, the order is not sent."""

    @abstractmethod
    async def stop(self, worker: WorkerListing, task: str, run: int, token: int) -> None:
        """Stops a run. If it has not been started yet, prevents a later start."""

    @abstractmethod
    async def hold(
        self,
        worker: WorkerListing,
        token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait: timedelta,
        series: "CallSeries | None" = None,
    ) -> HoldReply:
        """Extends the lease of all runs to ``deadline_ms`` on the worker's clock, acknowledges the
        ends up to number ``last_seen``, which the worker then forgets, and waits up to ``wait`` for
        another run to end. With ``deadline_ms`` ``None`` the lease is not extended.

        The calls of a series, made one after the other, have a connection of their own. With
        ``last_seen`` or ``deadline_ms`` one is sent only on the connection on which the one before
        was answered, or on any if ``may_reconnect`` is set: both hold for one boot of the worker.
        """

    @abstractmethod
    def end_series(self, series: "CallSeries") -> None:
        """Closes the connection of a series."""

    @abstractmethod
    async def pace(
        self, worker: WorkerListing, task: str, run: int, percent: int, token: int
    ) -> bool:
        """Limits a run to a percentage of its speed, 0 to 100.

        Returns whether the worker has done so; it has done nothing otherwise."""
