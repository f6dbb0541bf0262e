"""One entry VM of a simulated cell: `EntryParts` with simulated store, peers and upstreams."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from hornbeamramp.entry_parts import EntryParts
from hornbeamramp.ids import DataCentreId, JobId, VmId
from hornbeamramp.jobs import Job, NotRun, Outcome
from hornbeamramp.messages import SubmitRequest
from hornbeamramp.settings import DataCentreSettings, PlatformSettings, Settings
from hornbeamramp.states import JobState, RefusalReason, Step
from tests.support.network import VmPeerCaller
from tests.support.runtime import (
    SECOND,
    Pause,
    ProcessClock,
    StoreView,
    VmTaskGroup,
)
from tests.support.workers import FaultyUpstream, UpstreamFaults

if TYPE_CHECKING:
    from tests.support.cell import SimulatedCell

__all__ = ["Call", "Vm"]

STEP_BY_PREFIX = {
    "journal/": Step.JOURNAL,
    "config/head": Step.CHANGE_ACCEPTED,
    "shards/": Step.CLAIM,
}
DRAIN_POLL = timedelta(milliseconds=50)
RPC_GRACE = 5 * SECOND


@dataclass
class Call:
    """A job submitted by a caller, and the replies that the caller received.

    `outcomes`
        Every outcome received, in the reply to the submit or to a later query of the job.
    `lost`
        Whether the connection ended without an answer.
    """

    job: Job
    vm: str
    submitted_at: timedelta
    outcomes: list[Outcome] = field(default_factory=list)
    accepted: JobId | None = None
    lost: bool = False
    answered: bool = False
    cancelled_as_not_run: bool = False
    in_flight_at_stop: bool = False
    error: BaseException | None = None

    @property
    def outcome(self) -> Outcome | None:
        return self.outcomes[0] if self.outcomes else None


class Vm:
    """One run of an entry process. A restart makes a new `Vm` of the same name."""

    def __init__(self, cell: "SimulatedCell", name: str, data_centre: str) -> None:
        self.cell = cell
        self.name = name
        self.data_centre = data_centre
        self.address = f"{name}:90"
        self.pause = Pause()
        self.is_running = True
        self.is_lost = False
        self.was_killed = False
        self.calls_after_end: list[str] = []
        self.listens_to_peers = True
        self.tasks = VmTaskGroup()
        self.calls: list[Call] = []
        self.stopping: asyncio.Task[None] | None = None
        self.clock = ProcessClock(cell.clock, self.pause)
        self.store = StoreView(cell.platform, cell.clock, self.pause, self._on_store_call)
        self._faults_by_worker: dict[str, UpstreamFaults] = {}
        settings = Settings(
            vm=VmId(name),
            data_centre=DataCentreId(data_centre),
            caller_address=f"{name}:80",
            peer_address=self.address,
            platform=PlatformSettings(address="memory"),
            data_centres={
                DataCentreId(dc): DataCentreSettings(
                    distance_ms={DataCentreId(o): 1.0 for o in cell.data_centres if o != dc}
                )
                for dc in cell.data_centres
            },
        )
        self.parts = EntryParts(
            settings,
            self.clock,
            self.store,
            VmPeerCaller(cell.network, self),
            lambda pool, upstream: FaultyUpstream(self, cell.worker[upstream.id], cell.clock),
        )
        self.settings = settings
        self.tasks.run(self.parts.start)

    def upstream_faults(self, worker: str) -> UpstreamFaults:
        return self._faults_by_worker.setdefault(worker, UpstreamFaults())

    def record_call(self, what: str) -> None:
        """Records a call made after the process has ended, for the checker to report."""
        if self.is_running:
            return
        if asyncio.current_task().cancelling():
            # The task was cancelled with its process since its last wait.
            raise asyncio.CancelledError
        self.calls_after_end.append(what)

    def _on_store_call(self, name: str, arguments: tuple) -> None:
        self.record_call(f"{name} at the store")
        if name == "renew_lease":
            self.cell.report_step(Step.RENEW, self)
        for prefix, step in STEP_BY_PREFIX.items():
            if name == "put" and arguments[0].startswith(prefix):
                self.cell.report_step(step, self)

    def heal(self) -> None:
        """Ends all faults between this process and the store or the upstreams."""
        self._faults_by_worker.clear()
        self.store.cut = False
        self.store.delay = timedelta(0)
        self.store.answers_to_lose = 0

    async def handle(self, request: Any) -> Any:
        if isinstance(request, SubmitRequest):
            self.cell.report_step(Step.ADMIT, self)
        await self.pause.wait_until_resumed()
        try:
            return await self.parts.handle(request)
        finally:
            await self.pause.wait_until_resumed()

    def kill(self, lost: bool = False) -> None:
        """Ends the process at once. With ``lost`` the whole VM ends and its address is silent."""
        self.is_running = False
        self.was_killed = True
        self.listens_to_peers = False
        self.is_lost = lost
        self.pause.resume()
        self.tasks.cancel()
        if not lost:
            self.cell.network.reset(self)

    def stop(self) -> asyncio.Task[None]:
        """Begins a graceful shutdown, with the steps of `EntryProcess.stop`."""
        self.stopping = self.tasks.spawn(self._stop())
        return self.stopping

    async def _stop(self) -> None:
        parts = self.parts
        parts.set_leaving()
        await self.clock.sleep(timedelta(milliseconds=self.settings.timing.drain_ms))
        parts.refuses_jobs = True
        for call in self.calls:
            call.in_flight_at_stop = not call.answered
        await parts.ownership.hand_over_all()
        deadline = self.clock.boot_time() + timedelta(minutes=10)
        while any(not c.answered for c in self.calls) and self.clock.boot_time() < deadline:
            await self.clock.sleep(DRAIN_POLL)
        self.listens_to_peers = False
        await self.clock.sleep(RPC_GRACE if self.cell.network.has_calls_to(self) else DRAIN_POLL)
        await parts.close()
        self.is_running = False
        self.cell.network.reset(self)

    # Actions of a caller.

    def submit(self, job: Job) -> Call:
        """Submits a job as a caller; the returned call is updated with the result."""
        call = Call(job, self.name, self.cell.clock.boot_time())
        self.cell.calls.append(call)
        if not self.is_running:
            call.lost = call.answered = True
            return call
        self.calls.append(call)
        task = self.tasks.spawn(self._submit(call))
        task.add_done_callback(lambda done: _record_end(call, done))
        return call

    async def _submit(self, call: Call) -> None:
        self.cell.report_step(Step.ACCEPT, self)
        await self.pause.wait_until_resumed()
        if self.parts.refuses_jobs:
            self._record_outcome(
                call, NotRun(JobId(""), RefusalReason.SHUTTING_DOWN, "shutting down")
            )
            return
        tables = self.parts.configuration.tables
        route = tables.route_by_name.get(call.job.route)
        if route is None:
            self._record_outcome(
                call, NotRun(JobId(""), RefusalReason.UNKNOWN_ROUTE, "no such route")
            )
            return
        reply = await self.parts.forwarder.submit(call.job, tables.pool_by_name[route.pool])
        await self.pause.wait_until_resumed()
        call.answered = True
        if reply.accepted is not None:
            call.accepted = reply.accepted
        elif reply.outcome is not None:
            call.outcomes.append(reply.outcome)

    @staticmethod
    def _record_outcome(call: Call, outcome: Outcome) -> None:
        call.answered = True
        call.outcomes.append(outcome)

    def fetch(self, call: Call) -> asyncio.Task[Any]:
        """Queries the job of an accepted or answered call."""
        return self.tasks.spawn(
            self._query_job(call, self.parts.forwarder.get_job, lambda reply: reply.outcome)
        )

    def cancel(self, call: Call) -> asyncio.Task[Any]:
        """Cancels the job of a call if the caller has received its id."""
        return self.tasks.spawn(
            self._query_job(call, self.parts.forwarder.cancel, lambda reply: reply.outcome)
        )

    async def _query_job(self, call: Call, query: Callable, outcome_of: Callable) -> Any:
        job_id = call.accepted or (call.outcome and call.outcome.job_id)
        if not job_id:
            return None
        await self.pause.wait_until_resumed()
        reply = await query(job_id)
        if outcome_of(reply) is not None:
            call.outcomes.append(outcome_of(reply))
        if reply.state is JobState.NOT_RUN:
            call.cancelled_as_not_run = True
        return reply


def _record_end(call: Call, task: asyncio.Task[None]) -> None:
    if not call.answered:
        call.answered = call.lost = True
    if not task.cancelled() and task.exception() is not None:
        call.error = task.exception()
