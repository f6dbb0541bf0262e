"""Callers' requests on any VM: each is forwarded to the VM that owns its queue's pool."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from enum import Enum
from typing import Any, TypeVar

import logbook
import msgspec

from hornbeamramp.accounts import Access, needs_key
from hornbeamramp.durations import to_ms
from hornbeamramp.errors import SchedulerError, StoreUnavailableError, UnreachableError
from hornbeamramp.ids import NO_ACCOUNT, AccountId, JobId, PoolName
from hornbeamramp.poolowner import PoolOwner, retry_delay
from hornbeamramp.rpc import PeerServer
from hornbeamramp.states import Step
from hornbeamramp.statestore import (
    ClaimLostError,
    JobRecord,
    decode_progress,
    decode_record,
    job_key,
    progress_key,
)
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
from hornbeamramp.workload import JobPhase, JobSpec, Queue, RefusalKind

__all__ = [
    "AccessDeniedError",
    "CallerService",
    "CancelResult",
    "SubmitResult",
    "UnavailableError",
]

# A commit takes some 25 ms, and 600 ms with a slow store, as it waits for the commit in progress.
OWNER_CALL_TIMEOUT = timedelta(milliseconds=700)
# How long a request waits while its pool has no owner: the lease of a failed owner (1.4 s), and the
# time in which another VM claims the pool and reads its records.
OWNER_WAIT_TIMEOUT = timedelta(milliseconds=2000)
OWNER_POLL_PERIOD = timedelta(milliseconds=50)
# Added to the time-out of a call to an owner, whose own time-out tells whether the request was
# sent. The handshake with a VM that does not answer may take longer than the call's time-out.
OWNER_CALL_MARGIN = timedelta(milliseconds=100)
# Part of a state query's time that is left for the store if the owner does not answer: two reads,
# which take some 4 ms each.
STORE_READ_TIME = timedelta(milliseconds=300)
# Delay before a read that the store has refused is repeated: it counts calls by the second.
READ_RETRY_DELAY = timedelta(milliseconds=100)
# A takeover that takes longer than ``OWNER_WAIT_TIMEOUT`` usually ends within a second more.
OWNER_RETRY_AFTER = timedelta(seconds=1)
# A VM that has just started reads the configuration within a second.
CONFIG_RETRY_AFTER = timedelta(seconds=1)
# An isolated VM fails its readiness probe. The platform stops sending it callers after two failed
# probes, one second apart.
ISOLATED_RETRY_AFTER = timedelta(seconds=2)
# How often a job is sent on to the pool of a newer configuration.
MAX_MOVES_PER_REQUEST = 3

_log = logbook.Logger("callers")

T = TypeVar("T")


class UnavailableError(Exception):
    """A request could not be answered in time.

    `may_have_run`
        Tells whether an owner may have carried out the request.
    """

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class AccessDeniedError(Exception):
    """A job belongs to another client account than its caller; nothing was done."""

    def __init__(self, job_id: JobId) -> None:
        super().__init__(f"job {job_id} belongs to another account")


class SubmitResult(msgspec.Struct, frozen=True):
    """``refusal`` is empty if the job is recorded; otherwise it is certain that it never runs."""

    refusal: str = ""
    retry_after: timedelta = timedelta(0)
    kind: RefusalKind = RefusalKind.UNAVAILABLE


class CancelResult(Enum):
    CANCELLED = "cancelled"
    ABSENT = "absent"


class CallerService:
    """Handles requests of callers, and those that other VMs forward."""

    def __init__(self, node: Node) -> None:
        self._node = node
        # Boot time by which all requests are to end, as the process stops; ``None`` until then.
        self._stops_at: timedelta | None = None
        self._register_handlers(node.server)

    def _register_handlers(self, server: PeerServer) -> None:
        server.handle(SubmitJobRequest, self._on_submit)
        server.handle(JobPhaseRequest, self._on_phase)
        server.handle(CancelJobRequest, self._on_cancel)
        server.handle(CountJobsRequest, self._on_count)
        server.handle(AdviseRequest, self._node.advice_queue.serve)

    # Requests of callers

    def limit_waits(self, stops_at: timedelta) -> None:
        """Ends the waits of all requests by a boot time, also of those in progress."""
        self._stops_at = stops_at

    def _time_left(self, deadline: timedelta) -> timedelta:
        end = deadline if self._stops_at is None else min(deadline, self._stops_at)
        return max(end - self._node.clock.boot_time(), timedelta(0))

    async def submit(
        self,
        queue: Queue,
        job_id: JobId,
        spec: JobSpec,
        max_wait: timedelta,
        account: AccountId = NO_ACCOUNT,
    ) -> SubmitResult:
        """Records a job of a client account with the owner of its pool.

        Raises `AccessDeniedError`, and `UnavailableError`; the job may be recorded then only if
        ``may_have_run`` is true.
        """
        if self._node.isolation.is_isolated:
            return SubmitResult("this VM is cut off from the others", ISOLATED_RETRY_AFTER)
        if self._node.is_store_unavailable():
            return SubmitResult("the store can't be reached", retry_delay(queue, spec))
        if self._node.config is None:
            return SubmitResult("there is no configuration yet", CONFIG_RETRY_AFTER)
        deadline = self._node.clock.boot_time() + max_wait
        access = self._submit_access(queue, account)
        result = await self._submit_to_owner(queue, job_id, spec, deadline, account)
        if result.refusal and await self._is_in_former_pool(queue, job_id, deadline, access):
            return SubmitResult()
        return result

    async def _submit_to_owner(
        self,
        queue: Queue,
        job_id: JobId,
        spec: JobSpec,
        deadline: timedelta,
        account: AccountId,
    ) -> SubmitResult:
        """Sends a job to its pool's owner, and on to those of newer configurations.

        Raises `AccessDeniedError` and `UnavailableError`.
        """
        for _ in range(MAX_MOVES_PER_REQUEST):
            # Read together: owners tell by the version which configuration chose the pool.
            assert self._node.config is not None
            version = self._node.config.version
            queue = self._node.config.queue_by_name.get(queue.name, queue)
            request = SubmitJobRequest(
                queue.pool,
                queue.name,
                version,
                job_id,
                spec,
                self._node.identity.data_centre,
                account,
            )
            max_wait = deadline - self._node.clock.boot_time()
            try:
                reply, may_have_run = await self._ask_owner(request, self._on_submit, max_wait)
            except UnavailableError as error:
                if error.may_have_run:
                    raise
                return SubmitResult(str(error), OWNER_RETRY_AFTER)
            if reply.is_denied:
                raise AccessDeniedError(job_id)
            if reply.is_elsewhere:
                await self._check_recorded_job(queue, job_id, deadline, account)
            if not reply.has_moved:
                if reply.refusal and may_have_run:
                    raise UnavailableError(reply.refusal, True)
                retry_after = timedelta(milliseconds=reply.retry_after_ms)
                return SubmitResult(reply.refusal, retry_after, reply.kind)
            try:
                await self._node.ensure_config_version(version + 1)
            except StoreUnavailableError as error:
                _log.info("job {}: newer configuration not read: {}", job_id, error)
        return SubmitResult(reply.refusal, OWNER_RETRY_AFTER)

    async def _check_recorded_job(
        self, queue: Queue, job_id: JobId, deadline: timedelta, account: AccountId
    ) -> None:
        """Raises `AccessDeniedError` if a job that its queue's owner doesn't have is another
        account's. Without an answer, raises `UnavailableError`, as the job may be the caller's."""
        access = self._submit_access(queue, account)
        if access is None:
            return
        pools = [queue.pool, *self._other_pools(queue)]
        try:
            await self._find_phase(queue, pools, job_id, deadline, access)
        except UnavailableError as error:
            raise UnavailableError(str(error), True) from error

    async def _is_in_former_pool(
        self, queue: Queue, job_id: JobId, deadline: timedelta, access: Access | None
    ) -> bool:
        """Returns whether a job is known in a former pool of its queue, as far as can be told.

        Raises `AccessDeniedError`.
        """
        pools = self._former_pools(queue)
        try:
            phase = await self._find_phase(queue, pools, job_id, deadline, access)
        except UnavailableError as error:
            _log.info("job {}: former pools of its queue not asked: {}", job_id, error)
            return False
        return phase is not None

    def _former_pools(self, queue: Queue) -> list[PoolName]:
        """Returns the other pools that record jobs sent to a queue's address."""
        return sorted({*self._node.addresses.get(queue.address).pools} - {queue.pool})

    def _other_pools(self, queue: Queue) -> list[PoolName]:
        """Returns all pools but the queue's. The record of its address may not have arrived yet."""
        configured = set() if self._node.config is None else {*self._node.config.pool_by_name}
        return sorted({*configured, *self._former_pools(queue)} - {queue.pool})

    def _has_owner(self, pool: PoolName) -> bool:
        return pool in self._node.owner_by_pool or self._node.owner_record(pool) is not None

    async def phase(
        self,
        queue: Queue,
        job_id: JobId,
        max_wait: timedelta,
        access: Access | None = None,
    ) -> JobPhase | None:
        """Returns a job's phase, ``None`` if there is no such job.

        Raises `AccessDeniedError` and `UnavailableError`.
        """
        request = JobPhaseRequest(queue.pool, job_id, access)
        deadline = self._node.clock.boot_time() + max_wait
        read_time = min(STORE_READ_TIME, max_wait / 2)
        unanswered = None
        try:
            reply, _ = await self._ask_owner(request, self._on_phase, max_wait, read_time)
            if reply.is_denied:
                raise AccessDeniedError(job_id)
            if reply.phase is not None:
                return reply.phase
        except UnavailableError as error:
            _log.info(
                "job {}: no answer from the pool's owner, phase read from the store: {}",
                job_id,
                error,
            )
            unanswered = error
        phase = None
        try:
            phase = await self._stored_phase(queue.pool, job_id, deadline, access)
        except UnavailableError as error:
            # The owner of another pool may know the job without the store.
            unanswered = error
        if phase is None:
            pools = self._other_pools(queue)
            phase = await self._find_phase(queue, pools, job_id, deadline, access)
        if phase is None and unanswered is not None:
            # Only the owner knows a job that waits to be recorded.
            raise unanswered
        return phase

    async def _find_phase(
        self,
        queue: Queue,
        pools: list[PoolName],
        job_id: JobId,
        deadline: timedelta,
        access: Access | None,
    ) -> JobPhase | None:
        """Returns the phase of a job that may be in some pools.

        Raises `AccessDeniedError` and `UnavailableError`.
        """
        return await _first_found(
            self._phase_elsewhere(queue, pool, job_id, deadline, access) for pool in pools
        )

    async def _phase_elsewhere(
        self,
        queue: Queue,
        pool: PoolName,
        job_id: JobId,
        deadline: timedelta,
        access: Access | None,
    ) -> JobPhase | None:
        """Returns the phase of a job that may be in another pool than its queue's.

        Raises `AccessDeniedError` and `UnavailableError`.
        """
        unanswered = None
        if self._has_owner(pool):
            request = JobPhaseRequest(pool, job_id, access)
            try:
                max_wait = min(OWNER_CALL_TIMEOUT, self._time_left(deadline))
                reply, _ = await self._ask_owner(request, self._on_phase, max_wait)
                if reply.is_denied:
                    raise AccessDeniedError(job_id)
                if reply.phase is not None or pool not in self._former_pools(queue):
                    return reply.phase
            except UnavailableError as error:
                _log.info("job {}: no answer from the owner of {}: {}", job_id, pool, error)
                unanswered = error
        phase = await self._stored_phase(pool, job_id, deadline, access)
        if phase is None and unanswered is not None:
            raise unanswered
        return phase

    async def _stored_phase(
        self, pool: PoolName, job_id: JobId, deadline: timedelta, access: Access | None
    ) -> JobPhase | None:
        """Returns the phase of a job that is recorded in a pool, as far as other VMs than the owner
        know it. Raises `AccessDeniedError` and `UnavailableError`."""
        try:
            async with asyncio.timeout(self._time_left(deadline).total_seconds()):
                while True:
                    try:
                        return await self._read_phase(pool, job_id, access)
                    except StoreUnavailableError as error:
                        if self._node.is_store_unavailable():
                            raise UnavailableError(str(error), False) from error
                        _log.info("job {}: phase not read from {}, again: {}", job_id, pool, error)
                    await self._node.clock.sleep(READ_RETRY_DELAY)
        except TimeoutError as error:
            raise UnavailableError("the store did not answer in time", False) from error
        except msgspec.MsgspecError as error:
            raise UnavailableError(f"the job's record can't be decoded: {error}", False) from error

    async def _read_phase(
        self, pool: PoolName, job_id: JobId, access: Access | None
    ) -> JobPhase | None:
        """Reads the records of a job. Raises `AccessDeniedError`, `StoreUnavailableError` and
        ``MsgspecError``."""
        store = self._node.store
        progress = await store.get(progress_key(pool, job_id))
        if progress is not None and access is None:
            return decode_progress(progress.value).phase
        record = await store.get(job_key(pool, job_id))
        if (
            record is not None
            and access is not None
            and not self._may_access(access, decode_record(record.value))
        ):
            raise AccessDeniedError(job_id)
        if progress is not None:
            return decode_progress(progress.value).phase
        return None if record is None else JobPhase.QUEUED

    def _submit_access(self, queue: Queue, account: AccountId) -> Access | None:
        """Returns what a call that submits a job may access; ``None`` without client accounts."""
        config = self._node.config
        if config is None or not config.account_by_id:
            return None
        return Access(account, is_public=not needs_key(config, queue))

    def _may_access(self, access: Access, record: JobRecord) -> bool:
        config = self._node.config
        job_needs_key = config is not None and needs_key(
            config, config.queue_by_name.get(record.queue)
        )
        return access.includes(record.account, job_needs_key)

    async def cancel(
        self,
        queue: Queue,
        job_id: JobId,
        max_wait: timedelta,
        access: Access | None = None,
    ) -> CancelResult:
        """Cancels a job. Raises `AccessDeniedError` and `UnavailableError`."""
        request = CancelJobRequest(queue.pool, job_id, access)
        deadline = self._node.clock.boot_time() + max_wait
        reply, _ = await self._ask_owner(request, self._on_cancel, max_wait)
        if reply.is_denied:
            raise AccessDeniedError(job_id)
        if reply.is_known:
            return CancelResult.CANCELLED
        # A former owner that has not noticed the takeover lacks the newest jobs.
        if await self._stored_phase(queue.pool, job_id, deadline, access) is not None:
            raise UnavailableError("the job is known to another owner", False)
        cancelled = await _first_found(
            self._cancel_elsewhere(queue, pool, job_id, deadline, access)
            for pool in self._other_pools(queue)
        )
        return cancelled or CancelResult.ABSENT

    async def _cancel_elsewhere(
        self,
        queue: Queue,
        pool: PoolName,
        job_id: JobId,
        deadline: timedelta,
        access: Access | None,
    ) -> CancelResult | None:
        """Cancels a job that may be in another pool than its queue's; returns ``None`` if it isn't
        there. Raises `AccessDeniedError` and `UnavailableError`."""
        unanswered = None
        if self._has_owner(pool):
            request = CancelJobRequest(pool, job_id, access)
            try:
                max_wait = min(OWNER_CALL_TIMEOUT, self._time_left(deadline))
                reply, _ = await self._ask_owner(request, self._on_cancel, max_wait)
                if reply.is_denied:
                    raise AccessDeniedError(job_id)
                if reply.is_known:
                    return CancelResult.CANCELLED
                if pool not in self._former_pools(queue):
                    return None
            except UnavailableError as error:
                _log.info("job {}: no answer from the owner of {}: {}", job_id, pool, error)
                unanswered = error
        if await self._stored_phase(pool, job_id, deadline, access) is not None:
            raise UnavailableError("the job is known to an owner that does not answer", False)
        if unanswered is not None:
            raise unanswered
        return None

    async def pending(self, queue: Queue, max_wait: timedelta) -> int:
        """Returns the number of jobs of which no task has started. Raises `UnavailableError`."""
        pools = [queue.pool, *(pool for pool in self._former_pools(queue) if self._has_owner(pool))]
        replies = await asyncio.gather(
            *(
                self._ask_owner(CountJobsRequest(pool, queue.name), self._on_count, max_wait)
                for pool in pools
            )
        )
        return sum(reply.pending for reply, _ in replies)

    async def _ask_owner(
        self,
        request: Any,
        local_handler: Callable[[Any], Awaitable[Any]],
        max_wait: timedelta,
        reserve: timedelta = timedelta(0),
    ) -> tuple[Any, bool]:
        """Returns the owner's reply, and whether an earlier try may have taken effect.

        Retries until ``max_wait`` or `OWNER_WAIT_TIMEOUT` has passed, this VM is isolated or its
        process stops, and then raises `UnavailableError`. Leaves ``reserve`` of the time.
        """
        clock = self._node.clock
        deadline = clock.boot_time() + max_wait
        owner_wait_end = clock.boot_time() + OWNER_WAIT_TIMEOUT
        may_have_run = False
        problem = "the pool has no owner"
        while (time_left := self._time_left(deadline) - reserve) > timedelta(0):
            record = self._node.owner_record(request.pool)
            timeout = min(OWNER_CALL_TIMEOUT, time_left)
            try:
                if request.pool in self._node.owner_by_pool:
                    async with asyncio.timeout(timeout.total_seconds()):
                        reply = await local_handler(request)
                elif record is not None:
                    address = record.address_for(self._node.identity.vm)
                    async with asyncio.timeout((timeout + OWNER_CALL_MARGIN).total_seconds()):
                        reply = await self._node.peers.call(address, request, timeout, Step.FORWARD)
                else:
                    reply = None
            except TimeoutError:
                may_have_run, problem, reply = True, "the owner did not answer in time", None
            except ClaimLostError as error:
                may_have_run, problem, reply = True, str(error), None
            except UnreachableError as error:
                may_have_run = may_have_run or error.sent
                problem, reply = str(error), None
            except SchedulerError as error:
                may_have_run, problem, reply = True, str(error), None
            if reply is not None and reply.is_owner:
                return reply, may_have_run
            if clock.boot_time() > owner_wait_end or self._node.isolation.is_isolated:
                break
            await self._node.wait_for_cell_change(OWNER_POLL_PERIOD)
        raise UnavailableError(problem, may_have_run)

    # Requests for pools that this VM owns

    def _owner(self, pool: PoolName) -> PoolOwner | None:
        owner = self._node.owner_by_pool.get(pool)
        return owner if owner is not None and owner.is_ready else None

    def _is_denied(self, owner: PoolOwner, job_id: JobId, access: Access | None) -> bool:
        """Returns whether a job that an owner knows is one that its caller may not access."""
        record = None if access is None else owner.record_of(job_id)
        return access is not None and record is not None and not self._may_access(access, record)

    async def _on_submit(self, request: SubmitJobRequest) -> SubmitJobReply:
        try:
            await self._node.ensure_config_version(request.config_version)
        except StoreUnavailableError as error:
            _log.info(
                "store unavailable, configuration version {} not read: {}",
                request.config_version,
                error,
            )
            return SubmitJobReply(False)
        owner = self._owner(request.pool)
        if owner is None or not owner.may_order():
            return SubmitJobReply(False)
        assert self._node.config is not None
        queue = self._node.config.queue_by_name.get(request.queue)
        if queue is None:
            return SubmitJobReply(True, "the queue is no longer configured", 1000)
        if queue.pool != request.pool and not owner.is_known(request.job_id):
            return SubmitJobReply(True, "the queue has moved to another pool", 1000, has_moved=True)
        access = self._submit_access(queue, request.account)
        if self._is_denied(owner, request.job_id, access):
            return SubmitJobReply(True, is_denied=True)
        refusal = await owner.accept(
            request.job_id, queue, request.spec, request.data_centre, request.account
        )
        if refusal is None:
            return SubmitJobReply(True, is_elsewhere=not owner.is_known(request.job_id))
        retry_after_ms = to_ms(refusal.retry_after)
        return SubmitJobReply(True, refusal.reason, retry_after_ms, kind=refusal.kind)

    async def _on_phase(self, request: JobPhaseRequest) -> JobPhaseReply:
        owner = self._owner(request.pool)
        phase = None if owner is None else await owner.phase(request.job_id)
        if owner is not None and self._is_denied(owner, request.job_id, request.access):
            return JobPhaseReply(True, is_denied=True)
        return JobPhaseReply(owner is not None, phase)

    async def _on_cancel(self, request: CancelJobRequest) -> CancelJobReply:
        owner = self._owner(request.pool)
        if owner is None or not owner.may_order():
            return CancelJobReply(False)
        if self._is_denied(owner, request.job_id, request.access):
            return CancelJobReply(True, is_denied=True)
        return CancelJobReply(True, await owner.cancel(request.job_id))

    async def _on_count(self, request: CountJobsRequest) -> CountJobsReply:
        owner = self._owner(request.pool)
        if owner is None:
            return CountJobsReply(False)
        return CountJobsReply(True, owner.pending(request.queue))


async def _first_found(searches: Iterable[Awaitable[T | None]]) -> T | None:
    """Returns a result other than ``None``; without any, raises the error of a failed search."""
    results = await asyncio.gather(*searches, return_exceptions=True)
    errors = [result for result in results if isinstance(result, BaseException)]
    found = [r for r in results if r is not None and not isinstance(r, BaseException)]
    if not found and errors:
        raise errors[0]
    return found[0] if found else None
