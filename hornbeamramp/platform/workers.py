"""HTTP client for the workers' interface of the platform."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Annotated, Any

import logbook
import msgspec

from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.fleet import (
    CallSeries,
    EndedRun,
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
from hornbeamramp.fleet.base import FencedError, InstanceMismatchError
from hornbeamramp.http_client import HttpClient, HttpReply, RequestFailedError
from hornbeamramp.states import Step

__all__ = ["PlatformWorkers"]

# Workers answer in about 2 ms; a lost packet is retransmitted after about 200 ms.
CALL_TIMEOUT = timedelta(milliseconds=300)

OUTCOME_BY_WIRE_NAME = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    # Another member of the gang ended.
    "broken": RunOutcome.GANG_BROKEN,
    # The other members of the gang did not start in time.
    "alone": RunOutcome.GANG_INCOMPLETE,
}

# Takes about 30 ms to decode. A list of 500 ends and as many runs has less than 100 kB.
MAX_ANSWER_BYTES = 1024 * 1024

_log = logbook.Logger("worker")

REFUSAL_BY_REASON = {
    "fence": StartReply.FENCED,
    "old": StartReply.SUPERSEDED,
    "late": StartReply.PAST_DEADLINE,
    "room": StartReply.NO_ROOM,
    "ticket": StartReply.TICKET_INVALID,
}


# With these, an unhealthy worker has done nothing.
UNHEALTHY_STATUSES = (429, 503)
# With these, a worker has done nothing. After any other but 200, the effect of a call is unknown.
REFUSED_STATUSES = (400, 409, *UNHEALTHY_STATUSES)

# Run and end numbers, clocks and times are sent back to workers or recorded, and time is computed
# with them.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53 - 1)]
# A task's name is ID.K.STEP.INDEX.
TaskName = Annotated[str, msgspec.Meta(max_length=100)]
# Checkpoints are recorded with the progress of other jobs, in values of up to 1 MiB. The workers'
# have 16 characters.
Checkpoint = Annotated[str, msgspec.Meta(max_length=1000)]
# A worker lists up to 500 ends at a time, and runs far fewer tasks than this.
MAX_ROWS = 20_000


class WireRefusal(msgspec.Struct, frozen=True):
    reason: str = ""


class WireClock(msgspec.Struct, frozen=True, rename="kebab"):
    clock_ms: Count | None = None


class WireRunning(msgspec.Struct, frozen=True, array_like=True):
    task: TaskName
    run: Count
    saved: Checkpoint | None
    percent: float
    load: float | None = 0.0

    def decode(self) -> RunningRun:
        return RunningRun(self.task, self.run, self.saved or "", self.percent, self.load or 0.0)


class WireEnded(msgspec.Struct, frozen=True, array_like=True):
    number: Count
    task: TaskName
    run: Count
    how: str
    saved: Checkpoint | None

    def decode(self) -> EndedRun:
        # An unknown outcome still means that the run has ended; without a known result it is lost.
        outcome = OUTCOME_BY_WIRE_NAME.get(self.how, RunOutcome.LOST)
        return EndedRun(self.number, self.task, self.run, outcome, self.saved or "")


class WireHold(msgspec.Struct, frozen=True, rename="kebab"):
    """Answer to a hold call. ``born`` is the Unix time in ms at which the worker started."""

    clock_ms: Count
    running: Annotated[list[WireRunning], msgspec.Meta(max_length=MAX_ROWS)]
    ended: Annotated[list[WireEnded], msgspec.Meta(max_length=MAX_ROWS)]
    born: Count = 0


class PlatformWorkers(WorkerClient):
    """Sends orders over HTTP, with one connection pool for each worker address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._client_by_address: dict[str, HttpClient] = {}
        self._client_by_series: dict[CallSeries, HttpClient] = {}
        self._background = BackgroundTasks("workers", _log)

    async def start(
        self,
        worker: WorkerListing,
        order: StartOrder,
        check: Callable[[], bool],
        check_connection: Callable[[timedelta], Awaitable[bool]],
    ) -> StartAnswer:
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadline-ms": order.deadline_ms,
            "fencing-token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        reply = await self._call(
            worker, "/run-start", body, check=check, check_connection=check_connection
        )
        if reply.status == 200:
            return StartAnswer(StartReply.STARTED, _clock_ms(reply))
        if reply.status in UNHEALTHY_STATUSES:
            return StartAnswer(StartReply.UNHEALTHY)
        if reply.status == 409:
            return StartAnswer(REFUSAL_BY_REASON.get(_reason(reply), StartReply.INVALID))
        if reply.status == 400:
            return StartAnswer(StartReply.INVALID)
        # Nothing is known of whether the worker carried it out.
        raise WorkerUnreachableError(Step.START, worker.worker, f"status {reply.status}")

    async def stop(self, worker: WorkerListing, task: str, run: int, token: int) -> None:
        body = {"task": task, "run": run, "fencing-token": token}
        reply = await self._call(worker, "/run-stop", body)
        self._expect_unfenced(reply)
        # 409 means that the run is not there and can no longer start.
        if reply.status not in (200, 409):
            raise WorkerUnreachableError(Step.CANCEL, worker.worker, f"status {reply.status}")

    async def hold(
        self,
        worker: WorkerListing,
        token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait: timedelta,
        series: CallSeries | None = None,
    ) -> HoldReply:
        body: dict[str, Any] = {"fencing-token": token, "last-seen": last_seen}
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        if wait:
            body["wait-ms"] = to_ms(wait)
        is_of_one_boot = last_seen > 0 or deadline_ms is not None
        may_connect = not is_of_one_boot or series is None or series.may_reconnect
        reply = await self._call(
            worker, "/hold", body, wait, series=series, may_connect=may_connect
        )
        self._expect_unfenced(reply)
        if reply.status != 200:
            raise WorkerUnreachableError(Step.RENEW, worker.worker, f"status {reply.status}")
        try:
            wire = msgspec.json.decode(reply.body, type=WireHold)
            return HoldReply(
                wire.clock_ms,
                wire.born,
                tuple(row.decode() for row in wire.running),
                tuple(row.decode() for row in wire.ended),
                reply.sent_at,
            )
        except (msgspec.MsgspecError, RecursionError) as error:
            raise WorkerUnreachableError(Step.RENEW, worker.worker, str(error)) from error

    async def pace(
        self, worker: WorkerListing, task: str, run: int, percent: int, token: int
    ) -> bool:
        body = {"task": task, "run": run, "percent": percent, "fencing-token": token}
        reply = await self._call(worker, "/pace", body)
        self._expect_unfenced(reply)
        if reply.status == 200:
            return True
        if reply.status in REFUSED_STATUSES:
            return False
        raise WorkerUnreachableError(Step.RUN, worker.worker, f"status {reply.status}")

    async def close(self) -> None:
        """Closes all connections."""
        for client in (*self._client_by_address.values(), *self._client_by_series.values()):
            await client.close()

    def end_series(self, series: CallSeries) -> None:
        client = self._client_by_series.pop(series, None)
        if client is not None:
            self._background.spawn(client.close())

    def _client(self, address: str, series: CallSeries | None) -> HttpClient:
        if series is None:
            client = self._client_by_address.get(address)
            if client is None:
                client = self._client_by_address[address] = self._open_client(address)
            return client
        client = self._client_by_series.get(series)
        if client is None or client.address != address:
            self.end_series(series)
            client = self._client_by_series[series] = self._open_client(address)
        return client

    def _open_client(self, address: str) -> HttpClient:
        return HttpClient(address, CALL_TIMEOUT, self._clock, max_response_bytes=MAX_ANSWER_BYTES)

    def _expect_unfenced(self, reply: HttpReply) -> None:
        if reply.status == 409 and _reason(reply) == "fence":
            raise FencedError

    async def _call(
        self,
        worker: WorkerListing,
        path: str,
        body: dict[str, Any],
        wait: timedelta = timedelta(0),
        check: Callable[[], bool] | None = None,
        series: CallSeries | None = None,
        may_connect: bool = True,
        check_connection: Callable[[timedelta], Awaitable[bool]] | None = None,
    ) -> HttpReply:
        if not worker.address:
            raise WorkerUnreachableError(
                Step.RUN, worker.worker, "the listing has no address", sent=False
            )
        client = self._client(worker.address, series)
        headers = {"Expect-Instance": worker.worker}
        data = msgspec.json.encode(body)
        try:
            reply = await client.request(
                "POST",
                path,
                data,
                headers,
                wait,
                check,
                may_connect=may_connect,
                check_connection=check_connection,
            )
        except RequestFailedError as error:
            raise WorkerUnreachableError(
                Step.RUN, worker.worker, f"{path}: {error}", error.sent
            ) from error
        if reply.status == 421:
            raise InstanceMismatchError(worker.worker)
        return reply


def _clock_ms(reply: HttpReply) -> int | None:
    try:
        return msgspec.json.decode(reply.body, type=WireClock).clock_ms
    except (msgspec.MsgspecError, RecursionError) as error:
        _log.info("clock of a worker can't be decoded: {}", error)
        return None


def _reason(reply: HttpReply) -> str:
    try:
        return msgspec.json.decode(reply.body, type=WireRefusal).reason
    except (msgspec.MsgspecError, RecursionError) as error:
        _log.info("refusal of a worker can't be decoded: {}", error)
        return ""
