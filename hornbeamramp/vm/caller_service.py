"""Callers' requests on any VM: each goes to the owner of its queue's pool, wherever that is."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum
from typing import Any, TypeVar

import logbook
import msgspec

from hornbeamramp.durations import to_ms
from hornbeamramp.errors import SchedulerError, StoreUnavailableError, UnreachableError
from hornbeamramp.ids import JobId, PoolName
from hornbeamramp.poolowner import PoolOwner, retry_delay
from hornbeamramp.rpc import PeerServer
from hornbeamramp.states import Step
from hornbeamramp.statestore import ClaimLostError, decode_progress, job_key, progress_key
from hornbeamramp.vm.messages import (
    AdviseRequest,
    CancelJobReply,
    CancelJobRequest,
    CountJobsReply,
    CountJobsRequest,
    JobPhaseReply,
    JobPhaseRequest,
    SubmitJobReply,
    SubmitJobRequest,
)
from hornbeamramp.vm.node import Node
from hornbeamramp.workload import JobPhase, JobSpec, Queue

__all__ = ["CallerService", "Cancelled", "Submitted", "UnavailableError"]

# Longest wait of one call to an owner; a commit takes some 25 ms, and with a slow store 600 ms
# behind the one under way.
OWNER_CALL_TIMEOUT = timedelta(milliseconds=700)
# How long a request waits for an owner: the lease of one that has failed (1.4 s), and the time in
# which another VM claims the pool and reads its records.
OWNER_PATIENCE = timedelta(milliseconds=2000)
PAUSE = timedelta(milliseconds=50)
# A takeover that takes longer than the patience above is about to end.
OWNER_RETRY_AFTER = timedelta(seconds=1)
# A VM that has just started has the configuration within a second.
CONFIG_RETRY_AFTER = timedelta(seconds=1)
# A VM that is cut off reports itself as not ready. The platform leaves it out after two missed
# probes, a second apart.
ISOLATED_RETRY_AFTER = timedelta(seconds=2)
# Calls that have failed for this long, with another VM's help too, mean an outage. Each of them has
# taken up to a second and a half already.
STORE_OUTAGE = timedelta(milliseconds=300)

_log = logbook.Logger("callers")

T = TypeVar("T")


class UnavailableError(Exception):
    """Nobody could answer in time. ``may_have_run`` tells whether an owner may have acted."""

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class Submitted(msgspec.Struct, frozen=True):
    """``refusal`` is empty if the job is recorded; else it is certain that it never runs."""

    refusal: str = ""
    retry_after: timedelta = timedelta(0)


class Cancelled(Enum):
    CANCELLED = "cancelled"
    ABSENT = "absent"


class CallerService:
    """Handles requests of callers, and those that other VMs hand on."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._handle(node.server)

    def _handle(self, server: PeerServer) -> None:
        server.handle(SubmitJobRequest, self._on_submit)
        server.handle(JobPhaseRequest, self._on_phase)
        server.handle(CancelJobRequest, self._on_cancel)
        server.handle(CountJobsRequest, self._on_count)
        server.handle(AdviseRequest, self._node.advice_queue.serve)

    # Requests of callers

    async def submit(
        self, queue: Queue, job_id: JobId, spec: JobSpec, patience: timedelta
    ) -> Submitted:
        """Has a job recorded. Raises `UnavailableError`; the job may be recorded then only if the
        error says so."""
        if self._node.isolation.is_isolated:
            return Submitted("this VM is cut off from the others", ISOLATED_RETRY_AFTER)
        if self._is_store_out():
            return Submitted("the store can't be reached", retry_delay(queue, spec))
        if self._node.config is None:
            return Submitted("there is no configuration yet", CONFIG_RETRY_AFTER)
        version = self._node.config.version
        request = SubmitJobRequest(queue.pool, queue.name, version, job_id, spec)
        try:
            reply, was_unclear = await self._ask_owner(request, self._on_submit, patience)
        except UnavailableError as error:
            if error.may_have_run:
                raise
            return Submitted(str(error), OWNER_RETRY_AFTER)
        if reply.refusal and was_unclear:
            raise UnavailableError(reply.refusal, True)
        return Submitted(reply.refusal, timedelta(milliseconds=reply.retry_after_ms))

    def _is_store_out(self) -> bool:
        since = self._node.store.failing_since
        return since is not None and self._node.clock.boot_time() - since > STORE_OUTAGE

    async def phase(self, queue: Queue, job_id: JobId, patience: timedelta) -> JobPhase | None:
        """Returns a job's phase, ``None`` if there is no such job. Raises `UnavailableError`."""
        request = JobPhaseRequest(queue.pool, job_id)
        try:
            reply, _ = await self._ask_owner(request, self._on_phase, patience)
            if reply.phase is not None:
                return reply.phase
        except UnavailableError as error:
            _log.info("{}: phase read from the store: {}", job_id, error)
        return await self._recorded_phase(queue.pool, job_id)

    async def _recorded_phase(self, pool: PoolName, job_id: JobId) -> JobPhase | None:
        try:
            progress = await self._node.store.get(progress_key(pool, job_id))
            if progress is not None:
                return decode_progress(progress.value).phase
            record = await self._node.store.get(job_key(pool, job_id))
        except StoreUnavailableError as error:
            raise UnavailableError(str(error), False) from error
        return None if record is None else JobPhase.QUEUED

    async def cancel(self, queue: Queue, job_id: JobId, patience: timedelta) -> Cancelled:
        """Cancels a job. Raises `UnavailableError`."""
        request = CancelJobRequest(queue.pool, job_id)
        reply, _ = await self._ask_owner(request, self._on_cancel, patience)
        if reply.is_known:
            return Cancelled.CANCELLED
        # A former owner that has not noticed its loss doesn't know the newest jobs.
        if await self._recorded_phase(queue.pool, job_id) is not None:
            raise UnavailableError("the job is known to another owner", False)
        return Cancelled.ABSENT

    async def pending(self, queue: Queue, patience: timedelta) -> int:
        """Returns how many jobs no task has started of. Raises `UnavailableError`."""
        request = CountJobsRequest(queue.pool, queue.name)
        reply, _ = await self._ask_owner(request, self._on_count, patience)
        return reply.pending

    async def _ask_owner(
        self,
        request: Any,
        local: Callable[[Any], Awaitable[Any]],
        patience: timedelta,
    ) -> tuple[Any, bool]:
        """Returns the owner's reply, and whether an earlier try may have taken effect."""
        clock = self._node.clock
        end = clock.boot_time() + patience
        unowned_until = clock.boot_time() + OWNER_PATIENCE
        was_unclear = False
        problem = "the pool has no owner"
        while clock.boot_time() < end:
            record = self._node.owner_record(request.pool)
            timeout = min(OWNER_CALL_TIMEOUT, end - clock.boot_time())
            try:
                if request.pool in self._node.owner_by_pool:
                    async with asyncio.timeout(timeout.total_seconds()):
                        reply = await local(request)
                elif record is not None:
                    reply = await self._node.peers.call(
                        record.address, request, timeout, Step.FORWARD
                    )
                else:
                    reply = None
            except TimeoutError:
                was_unclear, problem, reply = True, "the owner did not answer in time", None
            except ClaimLostError as error:
                was_unclear, problem, reply = True, str(error), None
            except UnreachableError as error:
                was_unclear = was_unclear or error.sent
                problem, reply = str(error), None
            except SchedulerError as error:
                was_unclear, problem, reply = True, str(error), None
            if reply is not None and reply.is_owner:
                return reply, was_unclear
            if clock.boot_time() > unowned_until or self._node.isolation.is_isolated:
                break
            await self._node.wait_for_cell(PAUSE)
        raise UnavailableError(problem, was_unclear)

    # Requests for pools that this VM owns

    def _owner(self, pool: PoolName) -> PoolOwner | None:
        owner = self._node.owner_by_pool.get(pool)
        return owner if owner is not None and owner.is_ready else None

    async def _on_submit(self, request: SubmitJobRequest) -> SubmitJobReply:
        try:
            await self._node.reach_config(request.config_version)
        except StoreUnavailableError as error:
            _log.info("configuration {} not reached: {}", request.config_version, error)
            return SubmitJobReply(False)
        owner = self._owner(request.pool)
        if owner is None or not owner.may_order():
            return SubmitJobReply(False)
        assert self._node.config is not None
        queue = self._node.config.queue_by_name.get(request.queue)
        if queue is None:
            return SubmitJobReply(True, "the queue is no longer configured", 1000)
        refusal = await owner.accept(request.job_id, queue, request.spec)
        if refusal is None:
            return SubmitJobReply(True)
        retry_after_ms = to_ms(refusal.retry_after)
        return SubmitJobReply(True, refusal.reason, retry_after_ms)

    async def _on_phase(self, request: JobPhaseRequest) -> JobPhaseReply:
        owner = self._owner(request.pool)
        phase = None if owner is None else owner.phase(request.job_id)
        return JobPhaseReply(owner is not None, phase)

    async def _on_cancel(self, request: CancelJobRequest) -> CancelJobReply:
        owner = self._owner(request.pool)
        if owner is None or not owner.may_order():
            return CancelJobReply(False)
        return CancelJobReply(True, await owner.cancel(request.job_id))

    async def _on_count(self, request: CountJobsRequest) -> CountJobsReply:
        owner = self._owner(request.pool)
        if owner is None:
            return CountJobsReply(False)
        return CountJobsReply(True, owner.pending(request.queue))
