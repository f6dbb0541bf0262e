"""Runs one shard: admits jobs, carries out the scheduler's decisions, answers for their fate."""

import asyncio
import contextlib
import contextvars
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import logbook
import msgspec
from result import Err, Ok, Result

from hornbeamramp.attempts import AttemptRunner
from hornbeamramp.clock import Clock
from hornbeamramp.decisions import (
    Cancellation,
    CancellationKind,
    Checkpoint,
    Decision,
    Ended,
    Refusal,
    Start,
    Stop,
    TaskEnd,
    Throttle,
)
from hornbeamramp.durable_jobs import DurableJobs
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.ids import AttemptId, Epoch, JobId, ShardId, UpstreamId, VmId, split_shard_id
from hornbeamramp.job_records import JobRecord, JobRecords, state_of, task_of
from hornbeamramp.jobs import Completed, Job, NotRun, Outcome, ServiceJob, TaskResult, Unknown
from hornbeamramp.messages import (
    CancelReply,
    CancelRequest,
    GetJobReply,
    GetJobRequest,
    Misdirected,
    ResolveReply,
    ResolveRequest,
    ShardBeat,
    SubmitReply,
    SubmitRequest,
)
from hornbeamramp.recovery import reconcile
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.settings import TimingSettings
from hornbeamramp.states import Band, JobState, RefusalReason, UpstreamState
from hornbeamramp.tables import Pool, PoolUpstream
from hornbeamramp.telemetry import Metrics
from hornbeamramp.upstream_link import UpstreamEvents, UpstreamLink, close_adapters
from hornbeamramp.upstreams import ListedTask, UpstreamAdapter, UpstreamShape, UsageReport

__all__ = ["ShardOwner"]

DECISION_BATCH = 64
EXPIRY_INTERVAL = timedelta(milliseconds=250)
# Recovery lasts up to the lease of a task if an upstream can't be listed.
SETTLE_PATIENCE = timedelta(seconds=20)
SETTLE_POLL = timedelta(milliseconds=50)
RETRY_AFTER_STORE = timedelta(seconds=5)

_log = logbook.Logger("owner")


class ShardOwner:
    """Runs one `ShardScheduler` against real upstreams, from claim to release.

    `may_start`
        Synchronous check that this process still owns the shard.
    `open_upstream`
        Makes the adapter of an upstream.
    `durable`
        The shard's journal and key records.
    """

    def __init__(
        self,
        shard: ShardId,
        epoch: Epoch,
        pool: Pool,
        vm: VmId,
        clock: Clock,
        timing: TimingSettings,
        metrics: Metrics,
        may_start: Callable[[], bool],
        open_upstream: Callable[[PoolUpstream], UpstreamAdapter],
        durable: DurableJobs,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.records = JobRecords(clock)
        self.link_by_id: dict[UpstreamId, UpstreamLink] = {}
        self.scheduler = ShardScheduler(pool, clock, pool.quotas, epoch=epoch)
        self._data_centre = split_shard_id(shard)[1]
        self._clock = clock
        self._timing = timing
        self._metrics = metrics
        self._may_start = may_start
        self._open_upstream = open_upstream
        self._durable = durable
        self._accepting = True
        self._closed = asyncio.Event()
        self._recovered = asyncio.Event()
        self._complete_recovery = False
        # Set once the journal has been merged with what the upstreams run.
        self._settled = asyncio.Event()
        self._work = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        # Jobs with a lost attempt, which end as unknown if their deadline passes in the queue.
        self._lost_jobs: set[JobId] = set()
        # Jobs whose acceptance is being recorded: they have no record yet, but may run.
        self._in_acceptance: set[JobId] = set()
        self._task_by_upstream: dict[UpstreamId, asyncio.Task[None]] = {}
        # Upstreams that leave by the word of the platform or the pool's row.
        self._withdrawn: set[UpstreamId] = set()
        self._events = UpstreamEvents(
            self._on_listed, self._on_shape, self._on_unreachable, self._on_usage
        )
        self._runner = AttemptRunner(
            shard,
            epoch,
            vm,
            clock,
            timing,
            metrics,
            may_start,
            self._record_intent,
            self._on_started,
            self._on_ended,
        )
        self.update_pool(pool)

    async def run(self) -> None:
        """Recovers, then decides until `close` is called."""
        self._spawn(self._bound_recovery())
        self._spawn(self._expire())
        self._spawn(self._open_durable())
        while not self._closed.is_set():
            await self._work.wait()
            self._work.clear()
            if self._accepting and self._may_start():
                try:
                    self._decide()
                except Exception:
                    # One decision that fails must not end the shard's service.
                    _log.exception("{}: a decision failed", self.shard)

    def update_pool(self, pool: Pool) -> None:
        """Adds and removes upstreams after a change of the pool's row."""
        here = {UpstreamId(u.id): u for u in pool.upstreams if u.data_centre == self._data_centre}
        for upstream_id in self.link_by_id.keys() - here.keys():
            # Its tasks run on and stay renewed; it only receives no new work.
            self.set_leaving(upstream_id)
        for upstream_id, upstream in here.items():
            self._withdrawn.discard(upstream_id)
            if upstream_id not in self.link_by_id:
                self._add_link(upstream_id, self._open_upstream(upstream))
        self.scheduler.set_quotas(pool.quotas)
        self._work.set()

    def set_leaving(self, upstream_id: UpstreamId) -> None:
        """Gives the upstream no new work from now on."""
        if upstream_id in self.link_by_id and upstream_id not in self._withdrawn:
            self._withdrawn.add(upstream_id)
            self.scheduler.set_leaving(upstream_id)

    async def submit(self, request: SubmitRequest) -> SubmitReply:
        """Runs a job to its outcome, or accepts it for later execution."""
        job = request.job
        record = self.records.get(job.id)
        if record is None:
            if self.records.is_refused(job.id):
                return SubmitReply(_not_run(job, RefusalReason.RESOLVED_ABSENT, "resolved before"))
            if not self._accepting or not self._may_start():
                return SubmitReply(Misdirected())
            accepted = await self._accept(job)
            if isinstance(accepted, Err):
                if isinstance(accepted.err_value, NotRun):
                    self._metrics.refusals.add(1, {"reason": accepted.err_value.reason.value})
                return SubmitReply(accepted.err_value)
            record = accepted.ok_value
        if job.asynchronous:
            return SubmitReply(None, accepted=record.job.id)
        return await self._outcome_of(record)

    async def resolve(self, request: ResolveRequest) -> ResolveReply:
        """Tells the fate of a job id; one never seen is refused from now on."""
        record = self.records.get(request.job_id)
        if record is None:
            settled = self._recovered.is_set() and self._settled.is_set()
            if not settled or self._closed.is_set() or request.job_id in self._in_acceptance:
                return ResolveReply(None)
            recorded = self._recorded_outcome(request.job_id)
            if recorded is not None:
                return ResolveReply(state_of(recorded), recorded)
            if not self._complete_recovery:
                # An upstream that could not be listed may have run it; its lease has lapsed.
                self.records.refuse(request.job_id)
                unknown = Unknown(request.job_id, "an upstream that may have run it is not reached")
                return ResolveReply(JobState.UNKNOWN, unknown, may_repeat=True)
            if request.refuse_unseen:
                self.records.refuse(request.job_id)
            absent = NotRun(request.job_id, RefusalReason.RESOLVED_ABSENT, "never arrived")
            return ResolveReply(JobState.NOT_RUN, absent)
        if not record.outcome.done() and request.wait > timedelta(0):
            await self._wait(record, request.wait)
        if self._closed.is_set() and not record.outcome.done():
            return ResolveReply(None)
        outcome = record.outcome.result() if record.outcome.done() else None
        return ResolveReply(record.state(), outcome)

    def _recorded_outcome(self, job_id: JobId) -> Outcome | None:
        """Returns what the journal tells about a job that no upstream and no record knows."""
        if self._durable.may_have_run(job_id):
            detail = "its start was on record, but no upstream knows the attempt"
            return Unknown(job_id, detail)
        return self._durable.answer(job_id)

    async def get_job(self, request: GetJobRequest) -> GetJobReply:
        """Returns the state of a job, ``None`` if it is not known or not recovered yet."""
        record = self.records.get(request.job_id)
        if record is None:
            return GetJobReply(None, self._recorded_outcome(request.job_id))
        outcome = record.outcome.result() if record.outcome.done() else None
        return GetJobReply(record.state(), outcome)

    async def cancel(self, request: CancelRequest) -> CancelReply:
        """Cancels a job: a queued one does not run, a running one is stopped."""
        record = self.records.get(request.job_id)
        if record is None:
            return CancelReply(None)
        if record.ended_at is None:
            cancellation = self._cancel(record)
            if cancellation.kind is CancellationKind.QUEUED:
                self._finish(record, self._cancelled(record, cancellation.ran))
        outcome = record.outcome.result() if record.outcome.done() else None
        return CancelReply(record.state(), outcome)

    def _cancel(self, record: JobRecord) -> Cancellation:
        cancellation = self.scheduler.cancel(record.job.id)
        for stop in cancellation.stop:
            self._apply(stop)
        self._work.set()
        return cancellation

    def _cancelled(self, record: JobRecord, ran: bool) -> Outcome:
        if ran:
            return Completed(record.job.id, [], self._data_centre, failed=True)
        return _not_run(record.job, RefusalReason.CANCELLED, "cancelled")

    async def store_returned(self) -> None:
        """Makes sure that the store has the journal as this owner last wrote it."""
        await self._durable.check()

    def beat(self) -> ShardBeat:
        """Returns what the process's heartbeats tell about this shard."""
        waits = {band: self.scheduler.expected_wait(band) for band in Band}
        return ShardBeat(self.epoch, self._accepting and self._recovered.is_set(), waits)

    async def close(self) -> None:
        """Stops deciding and renewing; waiting submits learn that another owner takes over."""
        self._accepting = False
        self._closed.set()
        self._work.set()
        tasks = [*self._tasks, *self._task_by_upstream.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._durable.close()
        await close_adapters(list(self.link_by_id.values()))

    # Acceptance.

    async def _accept(self, job: Job) -> Result[JobRecord, NotRun | Unknown]:
        if self._durable.is_needed(job):
            self._in_acceptance.add(job.id)
            try:
                return await self._accept_durable(job)
            finally:
                self._in_acceptance.discard(job.id)
        return self._enqueue(job)

    async def _accept_durable(self, job: Job) -> Result[JobRecord, NotRun | Unknown]:
        # Until then a running attempt of the same job, or its key, may not be known yet.
        if not await self._is_settled_within(SETTLE_PATIENCE):
            detail = "the shard's journal is not loaded"
            reason = RefusalReason.STORE_UNAVAILABLE
            return Err(NotRun(job.id, reason, detail, RETRY_AFTER_STORE))
        async with self._durable.key_lock(job):
            known = self._durable.find_key(job)
            if isinstance(known, Err):
                return known
            known_id = known.ok_value or job.id
            record = self.records.get(known_id)
            if record is not None:
                return Ok(record)
            if known_id != job.id:
                return Ok(self._answered(job, known_id))
            refusal = self.scheduler.check(job)
            if refusal is not None:
                return Err(_refused(job, refusal))
            recorded = await self._durable.record_accepted(job)
            if isinstance(recorded, Err):
                return recorded
            accepted = self._enqueue(job)
            if isinstance(accepted, Err):
                uncertain = await self._durable.forget(job)
                return accepted if uncertain is None else Err(uncertain)
            return accepted

    async def _is_settled_within(self, patience: timedelta) -> bool:
        if self._settled.is_set():
            return True
        give_up_at = self._clock.boot_time() + patience
        while not self._settled.is_set() and self._clock.boot_time() < give_up_at:
            await self._clock.sleep(SETTLE_POLL)
        return self._settled.is_set()

    def _answered(self, job: Job, known_id: JobId) -> JobRecord:
        """Returns a record with the answer that an idempotency key already has."""
        record = JobRecord(job)
        lost = Unknown(known_id, "the answer to the first request with this key is gone")
        record.answer(self._durable.answer(known_id) or lost)
        return record

    def _enqueue(self, job: Job) -> Result[JobRecord, NotRun]:
        admitted = self.scheduler.submit(job)
        if isinstance(admitted, Err):
            return Err(_refused(job, admitted.err_value))
        record = self.records.create(job)
        record.enter_queue(self._clock.boot_time())
        self._work.set()
        return Ok(record)

    async def _outcome_of(self, record: JobRecord) -> SubmitReply:
        await self._wait(record, None)
        if record.outcome.done():
            return SubmitReply(record.outcome.result())
        return SubmitReply(Misdirected(recovering=True))

    async def _wait(self, record: JobRecord, longest: timedelta | None) -> None:
        closed = asyncio.ensure_future(self._closed.wait())
        waits: set[asyncio.Future[Any]] = {record.outcome, closed}
        if longest is not None:
            waits.add(asyncio.ensure_future(self._clock.sleep(longest)))
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for future in waits - {record.outcome}:
                future.cancel()

    # Decisions.

    def _decide(self) -> None:
        decisions = self.scheduler.decide(DECISION_BATCH)
        for decision in decisions:
            self._apply(decision)
        if len(decisions) == DECISION_BATCH:
            self._work.set()

    def _apply(self, decision: Decision) -> None:
        link = self.link_by_id[decision.upstream_id]
        if isinstance(decision, Start):
            record = self.records.get(decision.job.id)
            if record is None:
                self.scheduler.ended(decision.attempt_id, TaskEnd.NOT_STARTED, None)
                return
            record.upstream_by_attempt[decision.attempt_id] = link.id
            self._note_queue_time(record)
            self._spawn(self._runner.run(decision, link, record.context))
        elif isinstance(decision, Stop):
            self._spawn(self._quietly(link.adapter.stop(decision.attempt_id)))
        elif isinstance(decision, Checkpoint):
            self._spawn(self._quietly(link.adapter.checkpoint(decision.attempt_id)))
        elif isinstance(decision, Throttle):
            self._spawn(self._throttle(decision, link))

    async def _throttle(self, decision: Throttle, link: UpstreamLink) -> None:
        try:
            throttled = await link.adapter.throttle(decision.attempt_id, decision.resources)
        except (UnreachableError, ProtocolError) as error:
            _log.info("{}: {}", error.peer, error.message)
        else:
            if throttled:
                self.scheduler.throttled(decision.attempt_id)
                self._work.set()

    async def _quietly(self, call: Coroutine[Any, Any, Any]) -> None:
        # A failed stop is not retried here: the task ends or its lease lapses, and both are seen.
        try:
            await call
        except (UnreachableError, ProtocolError) as error:
            _log.info("{}: {}", error.peer, error.message)

    def _note_queue_time(self, record: JobRecord) -> None:
        waited = record.leave_queue(self._clock.boot_time())
        if waited is not None:
            seconds = waited.total_seconds()
            self._metrics.queue_time.record(seconds, {"band": record.job.band.name.lower()})

    def _on_started(self, attempt_id: AttemptId) -> None:
        self.scheduler.started(attempt_id)
        record = self._record_of(attempt_id)
        if record is None:
            return
        record.running_tasks.add(task_of(attempt_id))
        if isinstance(record.job, ServiceJob) and len(record.running_tasks) == record.job.tasks:
            record.answer(Completed(record.job.id, [], self._data_centre))

    def _on_ended(self, attempt_id: AttemptId, end: TaskEnd, result: TaskResult | None) -> None:
        ended = self.scheduler.ended(attempt_id, end, None)
        self._work.set()
        record = self._record_of(attempt_id)
        if record is None:
            return
        record.upstream_by_attempt.pop(attempt_id, None)
        if result is not None:
            record.result_by_task[task_of(attempt_id)] = result
        elif ended is not Ended.TASK_DONE:
            record.running_tasks.discard(task_of(attempt_id))
        if end is TaskEnd.LOST:
            record.lost = True
            record.uncertain = not record.job.idempotent
            self._lost_jobs.add(record.job.id)
        if record.intent_failed and ended is Ended.RETRY:
            self._refuse_without_store(record)
        else:
            self._conclude(record, ended)

    async def _record_intent(self, start: Start) -> bool:
        recorded = await self._durable.record_intent(start)
        record = self.records.get(start.job.id)
        if record is not None:
            record.intent_failed = not recorded
        return recorded

    def _refuse_without_store(self, record: JobRecord) -> None:
        """Ends a non-idempotent job at once, as its start can't be recorded."""
        cancellation = self._cancel(record)
        if cancellation.kind is CancellationKind.QUEUED and not cancellation.ran:
            detail = "the store can't record the start of a non-idempotent job"
            outcome = NotRun(
                record.job.id, RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER_STORE
            )
            self._finish(record, outcome)

    def _conclude(self, record: JobRecord, ended: Ended) -> None:
        job = record.job
        if ended is Ended.JOB_DONE:
            results = [record.result_by_task[task] for task in sorted(record.result_by_task)]
            self._finish(record, Completed(job.id, results, self._data_centre))
        elif ended is Ended.JOB_FAILED:
            if record.uncertain:
                self._finish(record, Unknown(job.id, "an attempt was lost at its upstream"))
            else:
                self._finish(record, Completed(job.id, [], self._data_centre, failed=True))
        elif ended is Ended.JOB_CANCELLED:
            self._finish(record, Completed(job.id, [], self._data_centre, failed=True))

    def _finish(self, record: JobRecord, outcome: Outcome) -> None:
        if record.ended_at is not None:
            return
        self._spawn(self._durable_finish(record, outcome))

    async def _durable_finish(self, record: JobRecord, outcome: Outcome) -> None:
        # An answer that must be repeatable is in the journal before the caller sees it. With the
        # store away the caller still gets it; the journal then holds the intent alone. That an
        # accepted job was not run is not reported before it is recorded.
        if self._durable.is_needed(record.job):
            reportable = await self._durable.record_ended(record.job, outcome)
            if not reportable:
                return
        self.records.end(record, outcome)

    def _record_of(self, attempt_id: AttemptId) -> JobRecord | None:
        return self.records.get(attempt_id.rsplit(".", 3)[0])

    # Upstreams.

    def _add_link(self, upstream_id: UpstreamId, adapter: UpstreamAdapter) -> None:
        link = UpstreamLink(
            upstream_id,
            adapter,
            self.shard,
            self.epoch,
            self._clock,
            self._timing,
            self._may_start,
            self._events,
        )
        self.link_by_id[upstream_id] = link
        # An empty context: the calls of the link belong to no request that is being traced.
        task = asyncio.get_running_loop().create_task(link.run(), context=contextvars.Context())
        self._task_by_upstream[upstream_id] = task

    async def _on_listed(
        self, link: UpstreamLink, shape: UpstreamShape, tasks: list[ListedTask]
    ) -> None:
        first = not link.listed
        self._add_shape(link.id, shape)
        for attempt_id in reconcile(self, link, tasks, first):
            self._spawn(self._runner.follow(attempt_id, link))
        link.listed = True
        self._check_recovered()
        self._work.set()

    def _on_shape(self, link: UpstreamLink, shape: UpstreamShape) -> None:
        self._add_shape(link.id, shape)
        self._work.set()

    def _add_shape(self, upstream_id: UpstreamId, shape: UpstreamShape) -> None:
        self.scheduler.add_upstream(shape)
        if upstream_id in self._withdrawn:
            self.scheduler.set_leaving(upstream_id)

    def _on_unreachable(self, link: UpstreamLink) -> None:
        # No new work until the link has connected and listed again.
        self.scheduler.set_leaving(link.id)

    def _on_usage(self, link: UpstreamLink, reports: list[UsageReport]) -> None:
        for report in reports:
            self.scheduler.report_usage(report.attempt_id, report.usage)
        self._work.set()

    # Recovery and periodic work.

    def _check_recovered(self) -> None:
        if not self._recovered.is_set() and all(x.listed for x in self.link_by_id.values()):
            self._complete_recovery = True
            self._recovered.set()
            _log.info("{}: recovered, epoch {}", self.shard, self.epoch)

    async def _bound_recovery(self) -> None:
        """Ends the recovery when the leases of unreachable upstreams must have lapsed."""
        self._check_recovered()
        margin = self._timing.drift_margin_ms + self._timing.send_bound_ms
        await self._clock.sleep(timedelta(milliseconds=self._timing.task_lease_ms + margin))
        if not self._recovered.is_set():
            missing = sorted(link.id for link in self.link_by_id.values() if not link.listed)
            _log.warning("{}: recovered without {}", self.shard, ", ".join(missing))
            self._recovered.set()

    async def _open_durable(self) -> None:
        """Loads the journal and queues accepted jobs that no upstream runs."""
        await self._durable.open(self.epoch)
        await self._recovered.wait()
        for record in self.records.live():
            self._settle(record)
        await self._durable.release_unstarted(self.records)
        for job in self._durable.unfinished_jobs():
            if self.records.get(job.id) is None:
                self._requeue(job)
        self._settled.set()
        self._work.set()

    def _settle(self, record: JobRecord) -> None:
        """Queues or ends an adopted job whose other tasks no upstream runs."""
        ended = self.scheduler.settle(record.job.id, record.result_by_task.keys())
        if ended is Ended.JOB_FAILED:
            record.uncertain = True
        self._conclude(record, ended)

    def _requeue(self, job: Job) -> None:
        if self._durable.may_have_run(job.id):
            record = self.records.create(job)
            self._finish(record, self._recorded_outcome(job.id))
            return
        accepted = self._enqueue(job)
        if isinstance(accepted, Err):
            _log.warning("{}: an accepted job was refused: {}", job.id, accepted.err_value.detail)
            self._finish(self.records.create(job), accepted.err_value)

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL)
            for job_id in self.scheduler.expire():
                record = self.records.get(job_id)
                if record is not None:
                    detail = "the deadline passed before the job was started"
                    self._finish(record, _not_run(record.job, RefusalReason.EXPIRED, detail))
            self._expire_lost()
            self._work.set()

    def _expire_lost(self) -> None:
        """Ends jobs past their deadline whose last attempt was lost and that wait for another."""
        for job_id in list(self._lost_jobs):
            record = self.records.get(job_id)
            if record is None or record.ended_at is not None:
                self._lost_jobs.discard(job_id)
            elif record.is_expired(self._clock.boot_time()) and not record.upstream_by_attempt:
                self._lost_jobs.discard(job_id)
                self._cancel(record)
                detail = "the deadline passed after an attempt was lost at its upstream"
                self._finish(record, Unknown(job_id, detail))

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        with contextlib.suppress(asyncio.CancelledError):
            error = task.exception()
            if error is not None:
                _log.error("{}: a task failed: {!r}", self.shard, error)

    def status(self) -> dict[str, Any]:
        """Returns the shard's state for operators."""
        snapshot = msgspec.to_builtins(self.scheduler.snapshot(), str_keys=True)
        unreachable = {x.id for x in self.link_by_id.values() if not x.reachable}
        for upstream in snapshot["upstreams"]:
            if upstream["id"] in unreachable:
                upstream["state"] = UpstreamState.UNREACHABLE.value
                upstream["reason"] = "does not answer"
        return {
            "shard": self.shard,
            "epoch": self.epoch,
            "recovered": self._recovered.is_set(),
            "jobs_known": len(self.records),
            **snapshot,
        }


def _not_run(job: Job, reason: RefusalReason, detail: str) -> NotRun:
    return NotRun(job.id, reason, detail)


def _refused(job: Job, refusal: Refusal) -> NotRun:
    return NotRun(job.id, refusal.reason, refusal.detail, refusal.retry_after)
