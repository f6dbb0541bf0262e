"""Owner of a pool: accepts jobs, places their tasks on workers and records the ends of runs.

Life cycle of a job: `PoolOwner.accept` records it; `Placer.schedule` chooses workers once a step's
predecessors are done; `Launcher.launch` records the placement and sends the start order;
`JobLifecycle.apply_end` applies the ends of runs that workers report, and `JobLifecycle.finish`
ends the job.
"""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

import logbook
import msgspec

from hornbeamramp import instruments
from hornbeamramp.accounts.quotas import quota_problem
from hornbeamramp.accounts.shares import MAX_RETURN_DELAY, AccountShares
from hornbeamramp.accounts.usage import AccountUsage
from hornbeamramp.background import BackgroundTasks, run_until_done
from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.fleet import (
    Attempt,
    AttemptPhase,
    EndedRun,
    RunOutcome,
    RunPace,
    WorkerClient,
    WorkerListing,
    WorkerSession,
)
from hornbeamramp.ids import (
    NO_ACCOUNT,
    UNKNOWN_DATA_CENTRE,
    AccountId,
    DataCentreId,
    JobId,
    PoolName,
    RouteName,
    UpstreamId,
)
from hornbeamramp.poolowner.address_pools import AddressRecords
from hornbeamramp.poolowner.advice import AdviceSource
from hornbeamramp.poolowner.checks import RunChecks
from hornbeamramp.poolowner.headroom import Headroom
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.journal import Journal
from hornbeamramp.poolowner.lateness import retry_delay
from hornbeamramp.poolowner.launch import Launcher
from hornbeamramp.poolowner.learned_durations import LearnedDurations
from hornbeamramp.poolowner.learned_record import LearnedRecorder
from hornbeamramp.poolowner.lifecycle import JobLifecycle
from hornbeamramp.poolowner.monitor import PoolMonitor
from hornbeamramp.poolowner.placer import Placer
from hornbeamramp.poolowner.quota_keeper import CachedPrefix, QuotaKeeper
from hornbeamramp.poolowner.recovery import placeholder_listing, read_jobs
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.poolowner.summaries import accepted_fields, takeover_fields
from hornbeamramp.statestore import (
    ClaimLostError,
    JobProgress,
    JobRecord,
    PoolClaim,
    StateStore,
)
from hornbeamramp.workload import (
    ClientAccount,
    ClusterConfig,
    JobPhase,
    JobSpec,
    Queue,
    RefusalKind,
    parse_task_name,
)

__all__ = ["OwnerContext", "PoolOwner"]

# Time for which an owner goes on extending worker leases after its claim is no longer guaranteed to
# be valid. Together with the 6 s leases, it lets running tasks survive store outages of up to 10 s.
LEASE_EXTENSION_GRACE = timedelta(seconds=3)
# Upper bound on the lease that a former owner can have given to a worker this owner can't reach:
# the grace period, the lease of 6 s on a clock that is 2% slow, and a second for calls in flight.
MAX_FORMER_OWNER_LEASE = LEASE_EXTENSION_GRACE + timedelta(seconds=7.2)
# Interval of the checks that no event triggers: due occurrences, expired tickets, retention and
# stalled runs.
CHECK_INTERVAL = timedelta(milliseconds=200)
# Minimum time between two scheduling passes. Ends and new jobs arrive in groups, with the replies
# of hold calls and commits, and one pass handles the whole group.
MIN_SCHEDULING_INTERVAL = timedelta(milliseconds=2)
# Longest pause after a pass that took less time than the pause.
MAX_EXTRA_PAUSE = timedelta(milliseconds=50)
# New jobs are refused at once when commits have been failing for longer than this.
MAX_STORE_OUTAGE = timedelta(milliseconds=600)
# New jobs are refused at once when those that wait to be recorded take longer than this. Callers
# would have given up on most of them by then, and those that come later would wait behind them.
MAX_INSERT_QUEUE_TIME = timedelta(milliseconds=1500)
# A job that can't run within its account's quota is refused until operators raise it.
QUOTA_RETRY_AFTER = timedelta(seconds=60)
# Added to the time for which callers may query the state of an ended job.
RETENTION_MARGIN = timedelta(seconds=30)

_log = logbook.Logger("owner")


class Refusal(msgspec.Struct, frozen=True):
    """Why a job was refused; none of its tasks has run or will run.

    `retry_after`
        Delay after which the caller should submit the job again.
    """

    reason: str
    retry_after: timedelta
    kind: RefusalKind = RefusalKind.UNAVAILABLE


class OwnerContext(msgspec.Struct, frozen=True):
    """Dependencies and settings that the process passes to its pool owners.

    `job_retention`
        Time for which callers may query the state of an ended job.
    `longest_lease`
        Longest lease that a worker grants to its runs.
    `may_group_records`
        Returns whether all VMs can read progress groups.
    `addresses`
        The pools that record the jobs of each address.
    `open_prefix`
        Returns a copy of a prefix of the store, which calls back with the keys that have changed.
    `learns_durations`
        Whether expected durations are learned from runs; otherwise the submitters' estimates count.
    `keeps_headroom`
        Whether batch work leaves room for short urgent steps.
    `cross_rack_factor`
        Factor by which a gang that prefers one rack takes longer on several.
    """

    store: StateStore
    clock: Clock
    workers: WorkerClient
    advice: AdviceSource
    job_retention: timedelta
    longest_lease: timedelta
    may_group_records: Callable[[], bool]
    addresses: AddressRecords
    open_prefix: Callable[[str, Callable[[set[str]], None]], CachedPrefix]
    learns_durations: bool = True
    keeps_headroom: bool = True
    cross_rack_factor: float = 2.0


def _pause_after_pass(elapsed: timedelta) -> timedelta:
    """Returns how long to wait before the next scheduling pass.

    Passes get a quarter of the processor's time, as calls of other VMs and workers are more urgent.
    If they take long, they get up to half of it, so that freed capacity is not idle for long.
    """
    return max(elapsed, min(3 * elapsed, MAX_EXTRA_PAUSE), MIN_SCHEDULING_INTERVAL)


class PoolOwner:
    """Schedules the jobs of one pool while it holds the pool's claim.

    `pool`
        The pool.
    `claim`
        An acquired claim.
    `claim_valid_until`
        Returns the boot time until which the claim is guaranteed to be valid.
    """

    def __init__(
        self,
        pool: PoolName,
        claim: PoolClaim,
        context: OwnerContext,
        claim_valid_until: Callable[[], timedelta],
    ) -> None:
        self.pool = pool
        self.token = claim.token
        self.config: ClusterConfig | None = None
        self._claim = claim
        self._store = context.store
        self._clock = context.clock
        self._workers = context.workers
        self._retention = context.job_retention + RETENTION_MARGIN
        self._longest_lease = context.longest_lease
        self._claim_valid_until = claim_valid_until
        self._background = BackgroundTasks(f"pool {pool}", _log)
        self.durations = LearnedDurations(
            WorkerSpeeds(), context.learns_durations, context.cross_rack_factor
        )
        self._journal = Journal(
            pool,
            claim,
            context.store,
            context.clock,
            self._on_recorded,
            context.may_group_records,
            context.addresses,
            LearnedRecorder(pool, self.durations, context.clock),
        )
        self._launcher = Launcher(self, context.advice, context.clock, self._journal)
        self.job_by_id: dict[JobId, Job] = {}
        # Unix times until which jobs are refused that were cancelled before they arrived.
        self._refused_until_ms_by_id: dict[JobId, int] = {}
        self.session_by_worker: dict[UpstreamId, WorkerSession] = {}
        self.usage = AccountUsage()
        self._quotas = QuotaKeeper(
            self,
            self.usage,
            context.store,
            context.open_prefix,
            context.clock,
            MAX_FORMER_OWNER_LEASE,
        )
        self.shares = AccountShares(self._accounts, self.usage)
        self._placer = Placer(
            self,
            self._launcher,
            context.clock,
            self.shares,
            self._quotas,
            self.durations,
            Headroom(context.keeps_headroom),
        )
        self.lifecycle = JobLifecycle(self, self._placer, self._journal)
        self._checks = RunChecks(self, self._placer, context.clock)
        self._wake = asyncio.Event()
        self._is_releasing = False
        self.is_ready = False
        self.is_lost = asyncio.Event()
        # Boot time at which the records of former owners were restored.
        self.taken_at = context.clock.boot_time()

    # Start and shutdown

    async def start(
        self, load_listings: Callable[[], Awaitable[dict[UpstreamId, WorkerListing]]]
    ) -> None:
        """Reads the records, opens sessions that fence the workers, and starts scheduling.

        Raises `StoreUnavailableError` if the store can't be read.
        """
        records, listings, _ = await asyncio.gather(
            read_jobs(self._store, self.pool), load_listings(), self._quotas.load()
        )
        self.taken_at = self._clock.boot_time()
        group_by_job: dict[Job, str] = {}
        for stored in records.jobs:
            job = Job(stored.record)
            self.job_by_id[stored.record.job_id] = job
            self._restore(job, stored.progress, listings)
            if stored.group:
                group_by_job[job] = stored.group
        self._restore_shares()
        self._journal.adopt_groups(records.groups, group_by_job)
        self._refused_until_ms_by_id = dict(records.refused_until_ms_by_id)
        if records.learned is not None:
            self.durations.restore(records.learned, listings)
        self.set_workers(listings)
        self._quotas.take_over(self.job_by_id.values())
        self.spawn(self._run_journal())
        scheduler = f"scheduler of pool {self.pool}"
        self.spawn(run_until_done(scheduler, self._run_scheduler, self._clock, _log))
        monitor = PoolMonitor(self, self._placer, self._journal, self._clock)
        self.spawn(run_until_done(f"monitor of pool {self.pool}", monitor.run, self._clock, _log))
        self.is_ready = True
        instruments.takeovers.add(1, {"pool": self.pool})
        instruments.jobs_recovered.add(self.count_open_jobs(), {"pool": self.pool})
        _log.info(
            "{}: took ownership with fencing token {}: {} jobs recorded, {} workers listed",
            self.pool,
            self.token,
            len(self.job_by_id),
            len(listings),
            extra=takeover_fields(self.pool, self.job_by_id.values()),
        )

    def _restore(
        self, job: Job, progress: JobProgress, listings: dict[UpstreamId, WorkerListing]
    ) -> None:
        for task, open_task in job.restore(progress):
            session = self.session_by_worker.get(open_task.worker)
            if session is None:
                session = self._open_session(
                    listings.get(open_task.worker) or placeholder_listing(open_task.worker)
                )
            attempt = Attempt(
                task, task.name, open_task.run, task.unit.step.size, session, job.record.account
            )
            attempt.phase = AttemptPhase.UNCERTAIN
            attempt.checkpoint = open_task.checkpoint
            attempt.pace = RunPace(None)
            session.reserve(attempt)
            task.attempt = attempt
        self.lifecycle.open_due(job)

    def _restore_shares(self) -> None:
        """Counts what former owners accepted within the accounts' shares."""
        if not self.shares.is_used:
            return
        now, now_ms = self._clock.boot_time(), self.now_ms()
        records = [job.record for job in self.job_by_id.values()]
        for record in sorted(records, key=lambda record: record.accepted_ms):
            if not record.is_beyond_share:
                age = timedelta(milliseconds=max(now_ms - record.accepted_ms, 0))
                self.shares.restore(record.account, now - age)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine in the background; it is cancelled when the pool is released."""
        self._background.spawn(coroutine)

    async def release(self) -> None:
        """Releases the pool: starts no more runs, and waits until those ordered are recorded.

        A successor can claim the pool once the VM's lease ends, which follows.
        """
        self._is_releasing = True
        self.is_ready = False
        await self._launcher.wait_idle()
        try:
            await self._journal.wait_recorded()
        except ClaimLostError as error:
            _log.info("{}: claim lost while the pool was released: {}", self.pool, error)
        await self._background.cancel()
        self.is_lost.set()

    async def close(self) -> None:
        """Cancels all background work, after the claim is lost or when the process exits."""
        self.is_ready = False
        self.is_lost.set()
        await self._background.cancel()
        instruments.jobs_open.set(0, {"pool": self.pool})

    def mark_lost(self, reason: str) -> None:
        """Stops scheduling, as another process may own the pool now."""
        if not self.is_lost.is_set():
            _log.warning(
                "{}: ownership claim with fencing token {} lost: {}", self.pool, self.token, reason
            )
        self.is_ready = False
        self.is_lost.set()

    async def _run_journal(self) -> None:
        try:
            await self._journal.run()
        except ClaimLostError as error:
            self.mark_lost(str(error))

    # Callbacks of worker sessions (`SessionOwner`)

    def may_place(self) -> bool:
        """Returns whether new runs may be placed: the claim is valid and commits succeed."""
        return self.may_order() and self._claim.failing_since is None

    def may_order(self) -> bool:
        return (
            not self._is_releasing
            and not self.is_lost.is_set()
            and self._clock.boot_time() < self._claim_valid_until()
        )

    def may_extend(self) -> bool:
        limit = self._claim_valid_until() + LEASE_EXTENSION_GRACE
        return not self.is_lost.is_set() and self._clock.boot_time() < limit

    def on_running(self, attempt: Attempt) -> None:
        job = attempt.task.unit.step.job
        if job.is_ended:
            attempt.session.stop(attempt)
        else:
            self.lifecycle.mark_started(job)
            self.lifecycle.log_running(attempt)

    def on_capacity_change(self, session: WorkerSession) -> None:
        self._wake.set()

    def on_fenced(self, session: WorkerSession) -> None:
        self.mark_lost(f"worker {session.worker} has seen a higher fencing token")

    async def wait_recorded(self) -> None:
        try:
            await self._journal.wait_recorded()
        except ClaimLostError as error:
            # Workers keep reporting these ends, so the next owner records them.
            raise TimeoutError(str(error)) from error

    def on_ended(self, attempt: Attempt, outcome: RunOutcome, checkpoint: str) -> None:
        self.lifecycle.apply_end(attempt, outcome, checkpoint)

    def on_late_end(self, end: EndedRun) -> None:
        key = parse_task_name(end.task)
        job = None if key is None else self.job_by_id.get(key[0].job_id)
        task = None if job is None or key is None else job.find_task(*key)
        if task is not None:
            self.lifecycle.apply_late_end(task, end)

    # Requests of callers

    async def accept(
        self,
        job_id: JobId,
        queue: Queue,
        spec: JobSpec,
        data_centre: DataCentreId = UNKNOWN_DATA_CENTRE,
        account: AccountId = NO_ACCOUNT,
    ) -> Refusal | None:
        """Records a job; repeated calls with the same id record it once.

        `data_centre`
            Where its caller sent it.
        `account`
            The client account whose key its caller sent.

        Raises `ClaimLostError` if it is unknown whether the job was recorded.
        """
        if job_id in self.job_by_id:
            return None
        outage_since = self._claim.failing_since
        is_store_down = (
            outage_since is not None and self._clock.boot_time() - outage_since > MAX_STORE_OUTAGE
        )
        refused_ms = self._refused_until_ms_by_id.get(job_id, 0) - self.now_ms()
        if refused_ms > 0:
            retry_after = timedelta(milliseconds=refused_ms)
            return Refusal("the job was cancelled before it arrived", retry_after)
        # While an earlier call for this id is pending, its record may still be written, and a
        # refusal could turn out wrong.
        if not self._journal.is_inserting(job_id):
            ratio = self.durations.job_ratio(queue.name, spec, account)
            if is_store_down:
                return Refusal("the store does not answer", retry_delay(queue, spec, ratio))
            queue_time = self._journal.insert_queue_time()
            if queue_time > MAX_INSERT_QUEUE_TIME:
                busy_for = queue_time - MAX_INSERT_QUEUE_TIME
                retry_after = retry_delay(queue, spec, ratio, busy_for)
                return Refusal("too many jobs wait to be recorded", retry_after)
            problem = self._quota_problem(spec, account)
            if problem:
                return Refusal(problem, QUOTA_RETRY_AFTER, RefusalKind.BEYOND_QUOTA)
        if self._journal.is_inserting(job_id):
            await self._journal.wait_inserted(job_id)
            return None
        record = JobRecord(
            job_id=job_id,
            queue=queue.name,
            accepted_ms=self.now_ms(),
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            stretch=queue.stretch,
            target_ms=to_ms(queue.target),
            spec=spec,
            account=account,
            is_beyond_share=not self.shares.take(account, self._clock.boot_time()),
        )
        job = Job(record, data_centre)
        if record.is_beyond_share:
            refusal = self._refuse_beyond_share(job)
            if refusal is not None:
                return refusal
        self._journal.insert(job, queue.address)
        # Scheduled at once: the placement is committed together with the job or after it.
        self.lifecycle.open_due(job)
        await self._journal.wait_inserted(job_id)
        return None

    def _quota_problem(self, spec: JobSpec, account: AccountId) -> str:
        owner = None if self.config is None else self.config.account_by_id.get(account)
        return "" if owner is None else quota_problem(owner.quota, spec.steps)

    def _refuse_beyond_share(self, job: Job) -> Refusal | None:
        """Refuses a job beyond its account's share that can't be on time behind those that wait.

        Its room would go to waste if it was accepted: it is late in any case.
        """
        account = job.record.account
        job.open_occurrence(0)
        excess = self._placer.excess_wait(job)
        outcome = "refused" if excess else "accepted"
        instruments.jobs_beyond_share.add(1, {"queue": job.record.queue, "outcome": outcome})
        if not excess:
            return None
        delay = max(self.shares.return_delay(account, self._clock.boot_time()), excess)
        # Callers are told whole seconds.
        retry_after = timedelta(seconds=math.ceil(min(delay, MAX_RETURN_DELAY).total_seconds()))
        _log.info(
            "{}: job {} of account {} is beyond its share, and room for it comes {} too late",
            self.pool,
            job.record.job_id,
            account,
            excess,
            extra={"event": "beyond_share", "pool": self.pool, "account": account},
        )
        reason = "the account has sent more than its share, and there is no room for it in time"
        return Refusal(reason, retry_after, RefusalKind.BEYOND_SHARE)

    def _accounts(self) -> dict[AccountId, ClientAccount]:
        return {} if self.config is None else self.config.account_by_id

    def is_known(self, job_id: JobId) -> bool:
        """Returns whether a job is recorded here, or may be soon."""
        return job_id in self.job_by_id or self._journal.is_inserting(job_id)

    def record_of(self, job_id: JobId) -> JobRecord | None:
        """Returns the record of a job that is known here, also while it waits for its commit."""
        job = self.job_by_id.get(job_id) or self._journal.inserted_job(job_id)
        return None if job is None else job.record

    def _on_recorded(self, job: Job) -> None:
        """Registers a job once its record is in the store."""
        record = job.record
        if record.job_id not in self.job_by_id:
            self.job_by_id[record.job_id] = job
            fields = {**accepted_fields(job), "pool": self.pool}
            instruments.jobs_accepted.add(1, {"queue": record.queue})
            _log.info("{} accepted into {}", record.job_id, record.queue, extra=fields)

    async def cancel(self, job_id: JobId) -> bool:
        """Cancels a job and returns whether it exists. Raises `ClaimLostError`.

        A job that waits to be recorded starts nothing from now on, and is recorded as cancelled.
        One that doesn't exist is refused if its submission arrives within the time for which a
        cancelled job is kept: a VM may have been paused with it.
        """
        job = self.job_by_id.get(job_id) or self._journal.inserted_job(job_id)
        if job is None:
            if self._refused_until_ms_by_id.get(job_id, 0) <= self.now_ms():
                until_ms = self.now_ms() + to_ms(self._retention)
                self._refused_until_ms_by_id[job_id] = until_ms
                self._journal.refuse(job_id, until_ms)
            await self._journal.wait_refused(job_id)
            return False
        if not job.is_ended:
            self.lifecycle.finish(job, JobPhase.CANCELLED)
        await self._journal.wait_inserted(job_id)
        await self._journal.wait_recorded()
        # Not so if the record of another pool came first.
        return job_id in self.job_by_id

    async def phase(self, job_id: JobId) -> JobPhase | None:
        """Returns the recorded phase of a job, ``None`` if there is no such job.

        Waits for the record of a job that has none yet. Raises `ClaimLostError`.
        """
        await self._journal.wait_inserted(job_id)
        job = self.job_by_id.get(job_id)
        return None if job is None else job.recorded_phase

    def pending(self, queue: RouteName) -> int:
        """Returns the number of a queue's jobs of which no task has started."""
        return sum(
            job.phase is JobPhase.QUEUED and job.record.queue == queue
            for job in self.job_by_id.values()
        )

    # Scheduling

    def set_workers(self, listings: dict[UpstreamId, WorkerListing]) -> None:
        """Applies the current list of workers."""
        for worker, listing in listings.items():
            if listing.pool != self.pool:
                continue
            session = self.session_by_worker.get(worker)
            if session is None:
                self._open_session(listing)
                continue
            if listing.draining and not session.listing.draining:
                _log.info("{}: worker {} is draining", self.pool, worker)
            session.set_listing(listing)
        for worker, session in self.session_by_worker.items():
            if worker not in listings and session.is_listed:
                _log.info("{}: worker {} is no longer listed", self.pool, worker)
                session.is_listed = False
        self._wake.set()

    def _open_session(self, listing: WorkerListing) -> WorkerSession:
        session = WorkerSession(
            listing,
            self._workers,
            self._clock,
            self,
            self._background,
            MAX_FORMER_OWNER_LEASE,
            self._longest_lease,
            self.usage,
        )
        session.is_listed = bool(listing.address)
        self.session_by_worker[listing.worker] = session
        self.spawn(self._run_session(session))
        return session

    async def _run_session(self, session: WorkerSession) -> None:
        await run_until_done(f"session of worker {session.worker}", session.run, self._clock, _log)
        if self.session_by_worker.get(UpstreamId(session.worker)) is session:
            del self.session_by_worker[UpstreamId(session.worker)]
            self._placer.forget(UpstreamId(session.worker))

    async def _run_scheduler(self) -> None:
        checked_at = self._clock.boot_time()
        while not self.is_lost.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL.total_seconds()):
                    await self._wake.wait()
            if self._clock.boot_time() - checked_at >= CHECK_INTERVAL:
                checked_at = self._clock.boot_time()
                self._check_jobs()
            self._wake.clear()
            started_at = self._clock.boot_time()
            self._placer.schedule()
            # Events that arrive meanwhile are handled by one pass.
            await self._clock.sleep(_pause_after_pass(self._clock.boot_time() - started_at))

    def _check_jobs(self) -> None:
        now_ms = self.now_ms()
        for job_id, job in list(self.job_by_id.items()):
            if not job.is_ended:
                if job.record.spec.repetitions:
                    self.lifecycle.open_due(job)
            elif now_ms - job.ended_ms > to_ms(self._retention):
                del self.job_by_id[job_id]
                self._journal.purge(job_id)
            elif job.steps_by_occurrence:
                job.release()
        for job_id, until_ms in list(self._refused_until_ms_by_id.items()):
            if until_ms <= now_ms:
                del self._refused_until_ms_by_id[job_id]
                self._journal.purge_refusal(job_id)
        self.shares.forget_unconfigured()
        try:
            self._checks.run()
        except Exception:
            # They run again at the next interval; placement must go on without them.
            _log.exception("{}: checks of runs failed unexpectedly", self.pool)

    def count_open_jobs(self) -> int:
        return sum(not job.is_ended for job in self.job_by_id.values())

    def queue_of(self, job: Job) -> Queue | None:
        return None if self.config is None else self.config.queue_by_name.get(job.record.queue)

    def wake(self) -> None:
        self._wake.set()

    def boot_time(self) -> timedelta:
        return self._clock.boot_time()

    def now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)
