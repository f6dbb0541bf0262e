"""Runs one shard: admits jobs, executes scheduling decisions and reports job outcomes."""

import asyncio
import contextvars
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import logbook
import msgspec
from result import Err

from hornbeamramp.attempts import AttemptRunner
from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.decision_executor import DecisionExecutor
from hornbeamramp.durable_jobs import DurableJobs
from hornbeamramp.ids import Epoch, ShardId, UpstreamId, VmId, split_shard_id
from hornbeamramp.job_lifecycle import JobLifecycle
from hornbeamramp.job_records import JobRecord, state_of
from hornbeamramp.jobs import NotRun, Unknown
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
from hornbeamramp.recovery import Reconciler
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

_log = logbook.Logger("owner")


class ShardOwner:
    """Runs one `ShardScheduler` against real upstreams, from the claim of the shard to its release.

    `may_start`
        Synchronous check that a start sent now arrives while this process owns the shard.
    `open_upstream`
        Creates the adapter of an upstream.
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
        self._recovered_all_upstreams = False
        self._wakeup = asyncio.Event()
        self._tasks = BackgroundTasks(shard, _log)
        # Upstreams that the platform lists as leaving or that the pool's row no longer has.
        self._leaving_ids: set[UpstreamId] = set()
        self._events = UpstreamEvents(
            self._on_listed, self._on_shape, self._on_unreachable, self._on_usage
        )
        self._jobs = JobLifecycle(
            self._data_centre,
            clock,
            self.scheduler,
            durable,
            self._tasks,
            lambda stop: self._executor.apply(stop),
            self._wakeup.set,
        )
        self.records = self._jobs.records
        runner = AttemptRunner(
            shard,
            epoch,
            vm,
            clock,
            timing,
            metrics,
            may_start,
            self._jobs.record_intent,
            self._jobs.started,
            self._jobs.ended,
        )
        self._executor = DecisionExecutor(
            clock,
            metrics,
            self.scheduler,
            self.records,
            self.link_by_id,
            runner,
            self._tasks,
            self._wakeup.set,
        )
        self._reconciler = Reconciler(
            shard, epoch, clock, self.records, self.scheduler, self._executor
        )
        self.update_pool(pool)

    async def run(self) -> None:
        """Recovers the shard and makes scheduling decisions until `close` is called."""
        self._tasks.spawn(self._limit_recovery_time())
        self._tasks.spawn(self._expire())
        self._tasks.spawn(self._open_journal())
        while not self._closed.is_set():
            await self._wakeup.wait()
            self._wakeup.clear()
            if self._accepting and self._may_start():
                try:
                    self._decide()
                except Exception:
                    # A decision that fails must not stop the shard.
                    _log.exception("{}: scheduling decision failed", self.shard)

    def update_pool(self, pool: Pool) -> None:
        """Adds and removes upstreams after a change of the pool's row."""
        local_upstream_by_id = {
            UpstreamId(u.id): u for u in pool.upstreams if u.data_centre == self._data_centre
        }
        for upstream_id in self.link_by_id.keys() - local_upstream_by_id.keys():
            # Its tasks keep running and being renewed; it only receives no new work.
            self.set_leaving(upstream_id)
        for upstream_id, upstream in local_upstream_by_id.items():
            self._leaving_ids.discard(upstream_id)
            if upstream_id not in self.link_by_id:
                self._add_link(upstream_id, self._open_upstream(upstream))
        self.scheduler.set_quotas(pool.quotas)
        self._wakeup.set()

    def set_leaving(self, upstream_id: UpstreamId) -> None:
        """Marks the upstream as leaving: it receives no new work."""
        if upstream_id in self.link_by_id and upstream_id not in self._leaving_ids:
            self._leaving_ids.add(upstream_id)
            self.scheduler.set_leaving(upstream_id)

    async def submit(self, request: SubmitRequest) -> SubmitReply:
        """Runs a job and returns its outcome, or accepts it for asynchronous execution."""
        job = request.job
        record = self.records.get(job.id)
        if record is None:
            if self.records.is_refused(job.id):
                return SubmitReply(NotRun(job.id, RefusalReason.RESOLVED_ABSENT, "resolved before"))
            if not self._accepting or not self._may_start() or not self._has_listed_upstream():
                return SubmitReply(Misdirected())
            # The sender may cancel its call at any time; a job that is being recorded must still be
            # queued.
            accepted = await asyncio.shield(self._jobs.accept(job))
            if isinstance(accepted, Err):
                if isinstance(accepted.err_value, NotRun):
                    self._metrics.refusals.add(1, {"reason": accepted.err_value.reason.value})
                return SubmitReply(accepted.err_value)
            record = accepted.ok_value
        if job.asynchronous:
            return SubmitReply(None, accepted=record.job.id)
        return await self._outcome_of(record)

    def _has_listed_upstream(self) -> bool:
        """Returns whether any upstream has been listed or the recovery has ended.

        Before that, the scheduler has no upstream and would refuse every job.
        """
        return self._recovered.is_set() or any(link.listed for link in self.link_by_id.values())

    async def resolve(self, request: ResolveRequest) -> ResolveReply:
        """Returns state and outcome of a job id.

        An unknown id is refused from now on, if the request asks for it or the recovery was
        incomplete.
        """
        record = self.records.get(request.job_id)
        if record is None:
            if not self._jobs.is_journal_merged() or self._closed.is_set():
                return ResolveReply(None)
            if self._jobs.is_recording_acceptance(request.job_id):
                return ResolveReply(None)
            recorded = self._jobs.recorded_outcome(request.job_id)
            if recorded is not None:
                return ResolveReply(state_of(recorded), recorded)
            if not self._recovered_all_upstreams:
                # An upstream that could not be listed may have run it; its task lease has expired.
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

    async def get_job(self, request: GetJobRequest) -> GetJobReply:
        """Returns the state of a job, ``None`` if it is not known or not recovered yet."""
        record = self.records.get(request.job_id)
        if record is None:
            return GetJobReply(None, self._jobs.recorded_outcome(request.job_id))
        outcome = record.outcome.result() if record.outcome.done() else None
        return GetJobReply(record.state(), outcome)

    async def cancel(self, request: CancelRequest) -> CancelReply:
        """Cancels a job: a queued one does not run, a running one is stopped."""
        record = self.records.get(request.job_id)
        if record is None:
            return CancelReply(None)
        self._jobs.cancel(record)
        outcome = record.outcome.result() if record.outcome.done() else None
        return CancelReply(record.state(), outcome)

    async def on_store_available(self) -> None:
        """Ensures that the store has the journal as this owner last wrote it."""
        await self._durable.check()

    def heartbeat(self) -> ShardHeartbeat:
        """Returns the entry of this shard for the heartbeats of the process."""
        waits = {band: self.scheduler.expected_wait(band) for band in Band}
        return ShardHeartbeat(self.epoch, self._accepting and self._recovered.is_set(), waits)

    async def close(self) -> None:
        """Stops decisions and task renewals; waiting submits are told that the shard moves."""
        self._accepting = False
        self._closed.set()
        self._wakeup.set()
        await self._tasks.cancel()
        await self._durable.close()
        await close_adapters(list(self.link_by_id.values()))

    async def _outcome_of(self, record: JobRecord) -> SubmitReply:
        await self._wait(record, None)
        if record.outcome.done():
            return SubmitReply(record.outcome.result())
        return SubmitReply(Misdirected(recovering=True))

    async def _wait(self, record: JobRecord, max_wait: timedelta | None) -> None:
        closed = asyncio.ensure_future(self._closed.wait())
        waits: set[asyncio.Future[Any]] = {record.outcome, closed}
        if max_wait is not None:
            waits.add(asyncio.ensure_future(self._clock.sleep(max_wait)))
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for future in waits - {record.outcome}:
                future.cancel()

    def _decide(self) -> None:
        decisions = self.scheduler.decide(DECISION_BATCH)
        for decision in decisions:
            self._executor.apply(decision)
        if len(decisions) == DECISION_BATCH:
            self._wakeup.set()

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
        # An empty context keeps the link's calls out of the trace of the current request.
        self._tasks.spawn(link.run(), contextvars.Context())

    async def _on_listed(
        self, link: UpstreamLink, shape: UpstreamShape, tasks: list[ListedTask]
    ) -> None:
        first = not link.listed
        self._add_shape(link.id, shape)
        self._reconciler.reconcile(link, tasks, first)
        link.listed = True
        self._check_recovered()
        self._wakeup.set()

    def _on_shape(self, link: UpstreamLink, shape: UpstreamShape) -> None:
        self._add_shape(link.id, shape)
        self._wakeup.set()

    def _add_shape(self, upstream_id: UpstreamId, shape: UpstreamShape) -> None:
        self.scheduler.add_upstream(shape)
        if upstream_id in self._leaving_ids:
            self.scheduler.set_leaving(upstream_id)

    def _on_unreachable(self, link: UpstreamLink) -> None:
        # It receives no new work until the link has connected and listed its tasks again.
        self.scheduler.set_leaving(link.id)

    def _on_usage(self, link: UpstreamLink, reports: list[UsageReport]) -> None:
        for report in reports:
            self.scheduler.report_usage(report.attempt_id, report.usage)
        self._wakeup.set()

    # Recovery and periodic work.

    def _check_recovered(self) -> None:
        if not self._recovered.is_set() and all(link.listed for link in self.link_by_id.values()):
            self._recovered_all_upstreams = True
            self._recovered.set()
            _log.info("{}: recovered, epoch {}", self.shard, self.epoch)

    async def _limit_recovery_time(self) -> None:
        """Ends the recovery once the task leases at unreachable upstreams must have expired."""
        self._check_recovered()
        margin = self._timing.drift_margin_ms + self._timing.send_bound_ms
        await self._clock.sleep(timedelta(milliseconds=self._timing.task_lease_ms + margin))
        if not self._recovered.is_set():
            missing = sorted(link.id for link in self.link_by_id.values() if not link.listed)
            _log.warning(
                "{}: recovery ended without task lists of unreachable upstreams: {}",
                self.shard,
                ", ".join(missing),
            )
            self._recovered.set()

    async def _open_journal(self) -> None:
        await self._durable.open(self.epoch)
        await self._recovered.wait()
        await self._jobs.merge_journal()

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL)
            self._jobs.expire()

    def status(self) -> dict[str, Any]:
        """Returns the shard's state for operators."""
        snapshot = msgspec.to_builtins(self.scheduler.snapshot(), str_keys=True)
        unreachable = {link.id for link in self.link_by_id.values() if not link.reachable}
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
