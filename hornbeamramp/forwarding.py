"""Forwards jobs from the entry VM to the owner of a shard and resolves lost replies."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Protocol

import logbook
import msgspec
from opentelemetry import trace

from hornbeamramp.clock import Clock
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.idempotency import home_data_centre
from hornbeamramp.ids import JobId, ShardId, VmId, shard_id
from hornbeamramp.job_ids import new_job_id, shard_of
from hornbeamramp.jobs import Job, NotRun, Unknown
from hornbeamramp.messages import (
    CancelReply,
    CancelRequest,
    GetJobReply,
    GetJobRequest,
    Misdirected,
    ResolveReply,
    ResolveRequest,
    ShardHeartbeat,
    SubmitReply,
    SubmitRequest,
)
from hornbeamramp.routing import order_shards
from hornbeamramp.settings import Settings
from hornbeamramp.states import RefusalReason, Step
from hornbeamramp.tables import Pool

__all__ = ["Forwarder", "ShardDirectory"]

NO_OWNER_TIMEOUT = timedelta(seconds=12)
RETRY_PAUSE = timedelta(milliseconds=100)
SUBMIT_TIMEOUT = timedelta(hours=1)
RESOLVE_WAIT = timedelta(seconds=10)
RESOLVE_TIMEOUT = timedelta(seconds=12)
RESOLVE_TOTAL_TIMEOUT = timedelta(minutes=5)
# A submit that was lost with its owner and is resolved as absent is sent again at most this often:
# several owners may fail one after the other.
MAX_RESUBMISSIONS = 3
JOB_REQUEST_TIMEOUT = timedelta(seconds=5)

# After these refusals, another data centre may still accept the job.
RETRYABLE_ELSEWHERE = {
    RefusalReason.OVERLOAD,
    RefusalReason.DEADLINE,
    RefusalReason.NO_OWNER,
    RefusalReason.NEVER_RUNS,
    RefusalReason.QUOTA,
    RefusalReason.RESOLVED_ABSENT,
    RefusalReason.SHUTTING_DOWN,
}

_log = logbook.Logger("entry")
_tracer = trace.get_tracer(__name__)


class ShardDirectory(Protocol):
    """Owners and heartbeats of shards and addresses of VMs, as known to this VM."""

    def owner_of(self, shard: ShardId) -> VmId | None:
        """Returns the VM that owns the shard, as far as is known."""

    def address_of(self, vm: VmId) -> str | None:
        """Returns the peer address of a VM."""

    def heartbeat_of(self, shard: ShardId) -> ShardHeartbeat | None:
        """Returns the latest heartbeat entry of the shard."""


class Forwarder:
    """Forwards requests to the owner of a shard and gives each submit exactly one outcome.

    `call`
        ``call(address, request, timeout, step)`` of the client for peer calls.
    `handle_locally`
        Handles a request for a shard that this process owns.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        directory: ShardDirectory,
        call: Callable[[str, Any, timedelta, Step], Awaitable[Any]],
        handle_locally: Callable[[Any], Awaitable[Any]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._directory = directory
        self._call = call
        self._handle_locally = handle_locally

    async def submit(self, job: Job, pool: Pool) -> SubmitReply:
        """Runs the job in the best data centre and returns its final outcome.

        ``job.id`` is replaced by an id that names the shard. A refused job is forwarded to the
        next data centre; a job with an idempotency key goes to the key's home data centre only.
        """
        data_centres = pool.data_centres()
        if not data_centres:
            return SubmitReply(
                NotRun(job.id, RefusalReason.NEVER_RUNS, f"pool {pool.name} has no upstreams")
            )
        if job.key is not None:
            home = home_data_centre(job.key, sorted(data_centres))
            return await self._submit_to_home(job, shard_id(pool.name, home))
        shards = order_shards(
            self._settings, pool.name, data_centres, job.band, self._directory.heartbeat_of
        )
        refusal = self._refuse_by_expected_wait(job, shards)
        if refusal is not None:
            return SubmitReply(refusal)
        reply = SubmitReply(NotRun(job.id, RefusalReason.NO_OWNER, "no data centre serves it"))
        for index, shard in enumerate(shards):
            no_owner_timeout = NO_OWNER_TIMEOUT if index == len(shards) - 1 else timedelta(0)
            reply = await self._submit_to(job, shard, no_owner_timeout)
            if not _may_try_elsewhere(reply):
                return reply
        return reply

    async def get_job(self, job_id: JobId) -> GetJobReply:
        """Returns the state of a job, as reported by its shard's owner."""
        return await self._ask(job_id, lambda shard: GetJobRequest(shard, job_id), Step.ANSWER)

    async def cancel(self, job_id: JobId) -> CancelReply:
        """Cancels a job at its shard's owner."""
        return await self._ask(job_id, lambda shard: CancelRequest(shard, job_id), Step.CANCEL)

    def _refuse_by_expected_wait(self, job: Job, shards: list[ShardId]) -> NotRun | None:
        """Refuses a job here if its expected wait exceeds its deadline at every shard."""
        if job.deadline is None:
            return None
        waits = []
        for shard in shards:
            shard_heartbeat = self._directory.heartbeat_of(shard)
            if shard_heartbeat is None:
                return None
            waits.append(shard_heartbeat.wait_by_band.get(job.band, timedelta(0)))
        shortest_wait = min(waits)
        if shortest_wait <= job.deadline:
            return None
        detail = f"the expected wait of {shortest_wait.total_seconds():.1f} s is past the deadline"
        return NotRun(job.id, RefusalReason.DEADLINE, detail, retry_after=shortest_wait)

    async def _submit_to_home(self, job: Job, shard: ShardId) -> SubmitReply:
        reply = await self._submit_to(job, shard, NO_OWNER_TIMEOUT)
        outcome = reply.outcome
        if isinstance(outcome, NotRun) and outcome.reason is RefusalReason.NO_OWNER:
            detail = f"the home of the idempotency key, {shard}, can't be reached"
            return SubmitReply(
                NotRun(job.id, RefusalReason.HOME_UNREACHABLE, detail, timedelta(seconds=5))
            )
        return reply

    async def _submit_to(
        self, job: Job, shard: ShardId, no_owner_timeout: timedelta
    ) -> SubmitReply:
        """Sends the job to one shard. The reply's outcome is final for that shard.

        A submit that was lost with its owner and is resolved as absent is sent again with a new
        id, at most ``MAX_RESUBMISSIONS`` times.
        """
        started_at = self._clock.boot_time()
        sent_job = msgspec.structs.replace(job, id=new_job_id(shard))
        lost_submits = 0
        while True:
            waited = self._clock.boot_time() - started_at
            reply = await self._send_submit(shard, _with_remaining_deadline(sent_job, waited))
            if reply is not None:
                lost_submits += 1
                if not _is_absent(reply) or lost_submits > MAX_RESUBMISSIONS:
                    return reply
                sent_job = msgspec.structs.replace(job, id=new_job_id(shard))
            elif waited >= _limited_by_deadline(no_owner_timeout, job.deadline):
                detail = f"{shard} has no owner that answers"
                return SubmitReply(
                    NotRun(sent_job.id, RefusalReason.NO_OWNER, detail, timedelta(seconds=5))
                )
            await self._clock.sleep(RETRY_PAUSE)

    async def _send_submit(self, shard: ShardId, job: Job) -> SubmitReply | None:
        """Returns the outcome of one submit, or ``None`` if no owner has accepted it."""
        owner = self._directory.owner_of(shard)
        if owner is None:
            return None
        request = SubmitRequest(shard, job)
        try:
            with _tracer.start_as_current_span("forward") as span:
                span.set_attribute("shard", shard)
                span.set_attribute("owner", owner)
                reply = await self._send(owner, request, SUBMIT_TIMEOUT, Step.FORWARD)
        except UnreachableError as error:
            return await self._resolve(shard, job) if error.sent else None
        except ProtocolError as error:
            _log.warning("malformed submit reply from {}: {}", error.peer, error.message)
            return await self._resolve(shard, job)
        if not isinstance(reply.outcome, Misdirected):
            return reply
        return await self._resolve(shard, job) if reply.outcome.recovering else None

    async def _resolve(self, shard: ShardId, job: Job) -> SubmitReply:
        """Asks the current owner for the outcome of a submit until it is known."""
        give_up_at = self._clock.boot_time() + RESOLVE_TOTAL_TIMEOUT
        request = ResolveRequest(shard, job.id, refuse_unseen=True, wait=RESOLVE_WAIT)
        _log.info("{}: submit reply lost; asking the shard's owner for the outcome", job.id)
        while self._clock.boot_time() < give_up_at:
            reply = await self._try_resolve(shard, request)
            if reply is not None and reply.may_repeat and job.idempotent:
                absent = "its owner died and no attempt runs any more"
                return SubmitReply(NotRun(job.id, RefusalReason.RESOLVED_ABSENT, absent))
            if reply is not None and reply.outcome is not None:
                return SubmitReply(reply.outcome)
            if reply is not None and reply.state is not None and job.asynchronous:
                return SubmitReply(None, accepted=job.id)
            await self._clock.sleep(RETRY_PAUSE)
        return SubmitReply(Unknown(job.id, f"no owner of {shard} could tell its fate"))

    async def _try_resolve(self, shard: ShardId, request: ResolveRequest) -> ResolveReply | None:
        owner = self._directory.owner_of(shard)
        if owner is None:
            return None
        try:
            return await self._send(owner, request, RESOLVE_TIMEOUT, Step.FORWARD)
        except (UnreachableError, ProtocolError):
            return None

    async def _ask(self, job_id: JobId, request_for: Callable[[ShardId], Any], step: Step) -> Any:
        """Sends a request about a job to its owner.

        Raises ``KeyError`` for a malformed id and `UnreachableError` if no owner answers.
        """
        shard = shard_of(job_id)
        if shard is None:
            raise KeyError(job_id)
        owner = self._directory.owner_of(shard)
        if owner is None:
            raise UnreachableError(step, shard, "the shard has no owner", sent=False)
        return await self._send(owner, request_for(shard), JOB_REQUEST_TIMEOUT, step)

    async def _send(self, owner: VmId, request: Any, timeout: timedelta, step: Step) -> Any:
        if owner == self._settings.vm:
            return await self._handle_locally(request)
        address = self._directory.address_of(owner)
        if address is None:
            raise UnreachableError(step, owner, "the owner's address is not known", sent=False)
        return await self._call(address, request, timeout, step)


def _may_try_elsewhere(reply: SubmitReply) -> bool:
    return isinstance(reply.outcome, NotRun) and reply.outcome.reason in RETRYABLE_ELSEWHERE


def _is_absent(reply: SubmitReply) -> bool:
    outcome = reply.outcome
    return isinstance(outcome, NotRun) and outcome.reason is RefusalReason.RESOLVED_ABSENT


def _with_remaining_deadline(job: Job, waited: timedelta) -> Job:
    if job.deadline is None:
        return job
    return msgspec.structs.replace(job, deadline=max(job.deadline - waited, timedelta(0)))


def _limited_by_deadline(no_owner_timeout: timedelta, deadline: timedelta | None) -> timedelta:
    return no_owner_timeout if deadline is None else min(no_owner_timeout, deadline)
