"""Keeps an owner within the accounts' quotas: feeds `AccountAllotments` and writes its record."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping
from datetime import timedelta
from typing import Any, Protocol

import logbook
import msgspec

from hornbeamramp import instruments
from hornbeamramp.accounts.quotas import AccountAllotments, Demand, QuotaRecord, has_precedence
from hornbeamramp.accounts.usage import NOTHING, AccountUsage, Amounts
from hornbeamramp.background import run_until_done
from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.fleet import WorkerSession
from hornbeamramp.ids import AccountId, JobId, PoolName, UpstreamId
from hornbeamramp.poolowner.jobs import Job, StepRun, reserved_size
from hornbeamramp.poolowner.waiting import WaitReason
from hornbeamramp.statestore import Item, Put, StateStore, Txn, TxnConflictError
from hornbeamramp.statestore.records import (
    decode_quota,
    encode,
    owner_key,
    quota_key,
    quota_prefix,
)
from hornbeamramp.workload import ClusterConfig, JobPhase

__all__ = ["CachedPrefix", "QuotaKeeper", "QuotaOwner"]

# Minimum time between two writes of the record, which has the changes of all accounts.
WRITE_INTERVAL = timedelta(milliseconds=50)
# Minimum time between two reviews of the allotments, also as a multiple of their duration: passes
# that leave units without room may come every few milliseconds, and a review looks at all accounts.
REVIEW_INTERVAL = timedelta(milliseconds=10)
REVIEW_INTERVAL_FACTOR = 20
# Period in which allotments are reviewed without an event, so that idle ones are given back.
REVIEW_PERIOD = timedelta(milliseconds=200)
# Period in which the owners of pools are looked up that are no longer configured.
REMOVED_POOL_PERIOD = timedelta(seconds=2)
# Period of the lines about accounts that wait, and most of them at a time.
REPORT_PERIOD = timedelta(seconds=1)
MAX_REPORTED_ACCOUNTS = 5

_log = logbook.Logger("quota")


class CachedPrefix(Protocol):
    """Copy of the items under a prefix of the store."""

    item_by_key: dict[str, Item]

    async def run(self) -> None:
        """Keeps the copy up to date until cancelled."""

    async def refresh(self) -> None:
        """Reads the prefix now. Raises `StoreUnavailableError`."""


class QuotaOwner(Protocol):
    """What the keeper needs from the pool's owner."""

    pool: PoolName
    token: int
    config: ClusterConfig | None
    job_by_id: dict[JobId, Job]
    session_by_worker: dict[UpstreamId, WorkerSession]

    def may_order(self) -> bool:
        """Returns whether the owner's claim certainly holds now."""

    def mark_lost(self, reason: str) -> None: ...

    def wake(self) -> None: ...

    def now_ms(self) -> int: ...

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None: ...


class QuotaKeeper:
    """What an owner may start of each account, for the placer; and the pool's record.

    Without quotas in the configuration it makes no calls.

    `open_prefix`
        Returns a copy of a prefix of the store, which calls back with the keys that have changed.
    `longest_lease`
        Longest time for which runs go on without an owner.
    """

    def __init__(
        self,
        owner: QuotaOwner,
        usage: AccountUsage,
        store: StateStore,
        open_prefix: Callable[[str, Callable[[set[str]], None]], CachedPrefix],
        clock: Clock,
        longest_lease: timedelta,
    ) -> None:
        self._owner = owner
        self._usage = usage
        self._store = store
        self._clock = clock
        self._longest_lease = longest_lease
        self._key = quota_key(owner.pool)
        self._allotments = AccountAllotments(owner.pool)
        self._cache = open_prefix(quota_prefix(), self._on_change)
        self._config: ClusterConfig | None = None
        self._is_restored = False
        self._is_started = False
        self._is_loaded = False
        # Newest items known, by key: a conflict may show newer ones than the copy has yet.
        self._item_by_key: dict[str, Item] = {}
        self._own_revision = 0
        self._review = asyncio.Event()
        # Of the scheduling pass in progress or the latest one.
        self._orphan_usage = AccountUsage()
        self._needed_by_account: dict[AccountId, Amounts] = {}
        self._next_by_account: dict[AccountId, Amounts] = {}
        self._may_start_by_account: dict[AccountId, bool] = {}
        self._short_by_account: dict[AccountId, set[int]] = {}
        # Tasks of jobs that a former owner ended, which may run on, until a boot time, on workers
        # that have not listed their runs yet; and the capacity of these.
        self._left_by_former_owner = AccountUsage()
        self._left_until = timedelta(0)
        self._silent_capacity = NOTHING
        # Since when pools that are no longer configured have been seen without an owner.
        self._unowned_since_by_pool: dict[PoolName, timedelta] = {}
        self._removed_checked_at = timedelta(0)
        self._reported_at = timedelta(0)

    # Start

    @property
    def has_quotas(self) -> bool:
        return bool(self._allotments.quota_by_account)

    async def load(self) -> None:
        """Reads the records of a takeover, if there are quotas.

        Raises `StoreUnavailableError`.
        """
        self._apply_config()
        if self.has_quotas:
            await self._cache.refresh()
            self._is_loaded = True

    def take_over(self, jobs: Iterable[Job]) -> None:
        """Begins to keep the record, once all runs of open jobs are restored.

        Counts what may be left of jobs that a former owner ended a short time ago: their records
        don't tell what still ran. Workers that have listed their runs have told.
        """
        self._is_restored = True
        now_ms = self._owner.now_ms()
        limit_ms = to_ms(self._longest_lease)
        self._left_until = self._clock.boot_time() + self._longest_lease
        for job in jobs:
            is_stopped = job.phase in (JobPhase.CANCELLED, JobPhase.FAILED)
            if is_stopped and now_ms - job.ended_ms < limit_ms:
                for spec in job.record.spec.steps:
                    for _ in range(spec.count):
                        self._left_by_former_owner.add(job.record.account, reserved_size(spec))
        self._start_if_limited()

    def _apply_config(self) -> None:
        """Applies the owner's configuration, if it has changed."""
        config = self._owner.config
        if config is None or config is self._config:
            return
        self._config = config
        quotas = {account.id: account.quota for account in config.account_by_id.values()}
        self._allotments.set_quotas(config.version, quotas, set(config.pool_by_name))
        self._start_if_limited()

    def _start_if_limited(self) -> None:
        """Starts the watch and the writes once there are quotas and all runs are restored: what
        they use must not be given to others."""
        if self.has_quotas and self._is_restored and not self._is_started:
            self._is_started = True
            name = f"quotas of pool {self._owner.pool}"
            self._owner.spawn(run_until_done(f"watch, {name}", self._cache.run, self._clock, _log))
            self._owner.spawn(run_until_done(name, self._run, self._clock, _log))
        self._review.set()

    # For the placer

    def begin_pass(self) -> None:
        """Begins a scheduling pass."""
        self._apply_config()
        self._needed_by_account.clear()
        self._next_by_account.clear()
        self._short_by_account.clear()
        if self.has_quotas:
            self._count_unordered()

    def end_pass(self) -> None:
        """Ends a scheduling pass; what lacked room in it is asked for."""
        if self._needed_by_account:
            self._review.set()

    def count_startable(self, step: StepRun) -> int:
        """Returns how many of a step's waiting units its account has room for."""
        account = step.job.record.account
        if account not in self._allotments.quota_by_account:
            return len(step.waiting)
        if not self._is_loaded or not step.waiting:
            return 0
        size, tasks = _size(step), len(step.waiting[0].tasks)
        held = self._short_by_account.get(account)
        if held is not None and any(size[resource] for resource in held):
            return 0
        used = self._used(account)
        return self._allotments.count_fitting(account, used, size, tasks, len(step.waiting))

    def room(self, account: AccountId) -> Amounts:
        """Returns what an account may still use in this pool, negative if it uses more than it may.

        A resource without a limit has `UNLIMITED`.
        """
        return self._allotments.room(account, self._used(account))

    def note_start(self, step: StepRun) -> None:
        """Notes that a unit of a step is placed."""
        self._allotments.note_start(step.job.record.account)

    def note_short(self, step: StepRun, has_capacity: Callable[[], bool]) -> None:
        """Notes that a step has no room for its next unit.

        `has_capacity`
            Returns whether workers have room for one, so that it and the others may start at once.
            It is asked once for each account in a pass, as it looks at all workers.
        """
        account = step.job.record.account
        size, tasks = _size(step), len(step.waiting[0].tasks)
        unit = self._allotments.counted(account, size, tasks)
        before = self._needed_by_account.get(account)
        if before is None:
            before = NOTHING
            self._may_start_by_account[account] = has_capacity()
        count = len(step.waiting) if self._may_start_by_account[account] else 1
        self._needed_by_account[account] = (
            before[0] + count * unit[0],
            before[1] + count * unit[1],
            before[2] + count * unit[2],
        )
        self._next_by_account.setdefault(account, unit)
        waited = timedelta(0)
        if step.wait.reason is WaitReason.QUOTA:
            waited = self._clock.boot_time() - step.wait.since
        if account not in self._short_by_account and has_precedence(waited):
            short = self._allotments.short_of(account, self._used(account), size, tasks)
            self._short_by_account[account] = set(short)

    def _used(self, account: AccountId) -> Amounts:
        used, orphans = self._usage.used(account), self._orphan_usage.used(account)
        left = self._left_by_former_owner.used(account)
        silent = self._silent_capacity
        return (
            used[0] + orphans[0] + min(left[0], silent[0]),
            used[1] + orphans[1] + min(left[1], silent[1]),
            used[2] + orphans[2] + min(left[2], silent[2]),
        )

    def _count_unordered(self) -> None:
        """Counts the runs that workers list and that belong to no open task, and the capacity of
        workers on which there may be some that they have not listed yet."""
        self._count_orphans()
        if not self._left_by_former_owner.accounts():
            return
        silent = [
            session.listing.capacity
            for session in self._owner.session_by_worker.values()
            if not session.has_listed_runs and session.is_listed
        ]
        if not silent or self._clock.boot_time() > self._left_until:
            self._left_by_former_owner = AccountUsage()
        self._silent_capacity = (
            sum(capacity.processors_milli for capacity in silent),
            sum(capacity.memory_mib for capacity in silent),
            sum(capacity.accelerators for capacity in silent),
        )

    def _count_orphans(self) -> None:
        self._orphan_usage = AccountUsage()
        for session in self._owner.session_by_worker.values():
            for task, _ in session.orphan_stopped_at_by_key:
                job_id, _, step_name = task.partition(".")
                job = self._owner.job_by_id.get(JobId(job_id))
                number = step_name.split(".")[1:2]
                if job is None or not number or not number[0].isdecimal():
                    continue
                if int(number[0]) < len(job.record.spec.steps):
                    spec = job.record.spec.steps[int(number[0])]
                    self._orphan_usage.add(job.record.account, reserved_size(spec))

    # The record

    def _on_change(self, changed: set[str]) -> None:
        for key in changed:
            item = self._cache.item_by_key.get(key)
            known = self._item_by_key.get(key)
            if item is None:
                self._item_by_key.pop(key, None)
            elif known is None or item.revision > known.revision:
                self._item_by_key[key] = item
        self._apply_items()

    def _apply_items(self) -> None:
        others: dict[PoolName, QuotaRecord | None] = {}
        for key, item in self._item_by_key.items():
            if key != self._key:
                others[PoolName(key.removeprefix(quota_prefix()))] = _decode(item)
        newest = max((item.revision for item in self._item_by_key.values()), default=0)
        self._allotments.set_others(others, newest)
        own = self._item_by_key.get(self._key)
        if own is None:
            self._own_revision = 0
            self._allotments.set_own(QuotaRecord(0))
        elif own.revision > self._own_revision:
            # Each write requires the revision before, so no other can take effect any more.
            self._own_revision = own.revision
            self._allotments.set_own(_decode(own) or QuotaRecord(0))
        self._owner.wake()
        self._review.set()

    async def _run(self) -> None:
        if not self._is_loaded:
            await self._load_late()
        while True:
            try:
                async with asyncio.timeout(REVIEW_PERIOD.total_seconds()):
                    await self._review.wait()
            except TimeoutError:
                # Idle allotments are given back without an event.
                pass
            self._review.clear()
            if not self._owner.may_order():
                await self._clock.sleep(WRITE_INTERVAL)
                continue
            self._report_waits()
            await self._delete_removed()
            started_at = self._clock.boot_time()
            record = self._allotments.decide(self._demands(), started_at)
            elapsed = self._clock.boot_time() - started_at
            if record is not None:
                await self._write(record)
                await self._clock.sleep(WRITE_INTERVAL)
            else:
                await self._clock.sleep(max(REVIEW_INTERVAL, REVIEW_INTERVAL_FACTOR * elapsed))

    def _report_waits(self) -> None:
        """Tells operators which accounts wait for their quota, once a second."""
        now = self._clock.boot_time()
        if now - self._reported_at < REPORT_PERIOD:
            return
        self._reported_at = now
        waiting = sorted(self._needed_by_account)
        instruments.quota_waits.set(len(waiting), {"pool": self._owner.pool})
        for account in waiting[:MAX_REPORTED_ACCOUNTS]:
            _log.info(
                "{}: account {} waits for its quota: uses {}, needs {} more, allotted {} of {}",
                self._owner.pool,
                account,
                self._used(account),
                self._needed_by_account[account],
                self._allotments.allotted(account),
                self._allotments.quota_by_account.get(account),
                extra={"event": "quota_wait", "account": account, "pool": self._owner.pool},
            )

    async def _load_late(self) -> None:
        """Reads the records when a running owner gets its first configuration with quotas."""
        while not self._is_loaded:
            try:
                await self._cache.refresh()
                self._is_loaded = True
            except StoreUnavailableError as error:
                _log.info("{}: allotments can't be read yet: {}", self._owner.pool, error)
                await self._clock.sleep(REVIEW_PERIOD)

    def _demands(self) -> dict[AccountId, Demand]:
        self._count_unordered()
        accounts = {
            *self._left_by_former_owner.accounts(),
            *self._usage.accounts(),
            *self._orphan_usage.accounts(),
            *self._needed_by_account,
        }
        demand_by_account = {}
        for account in accounts:
            if account not in self._allotments.quota_by_account:
                continue
            used = self._used(account)
            more = self._needed_by_account.get(account, NOTHING)
            needed = (used[0] + more[0], used[1] + more[1], used[2] + more[2])
            unit = self._next_by_account.get(account, NOTHING)
            demand_by_account[account] = Demand(used, needed, unit)
        return demand_by_account

    async def _write(self, record: QuotaRecord) -> None:
        """Writes the record once. If the outcome stays unknown, the lower of both counts."""
        pool = self._owner.pool
        required = {
            owner_key(pool): self._owner.token,
            self._key: self._own_revision,
        }
        if self._allotments.is_raise(record):
            for other in self._allotments.other_pools:
                key = quota_key(other)
                item = self._item_by_key.get(key)
                required[key] = 0 if item is None else item.revision
        if not self._own_revision:
            _log.info("{}: writing its first allotments", pool)
            self._allotments.note_created(self._clock.boot_time())
        self._allotments.begin_write(record)
        value = encode(record)
        try:
            revision = await self._store.commit(Txn(required, (Put(self._key, value),)))
        except TxnConflictError as conflict:
            instruments.quota_writes.add(1, {"pool": pool, "outcome": "conflict"})
            self._allotments.drop_write()
            self._apply_conflict(conflict, required)
        except StoreUnavailableError as error:
            instruments.quota_writes.add(1, {"pool": pool, "outcome": "unknown"})
            _log.info("{}: outcome of a write of the allotments unknown: {}", pool, error)
            await self._read_again()
        else:
            instruments.quota_writes.add(1, {"pool": pool, "outcome": "done"})
            if revision > self._own_revision:
                created = self._item_by_key.get(self._key)
                first = revision if created is None else created.created
                self._item_by_key[self._key] = Item(self._key, value, revision, first)
                self._apply_items()

    def _apply_conflict(self, conflict: TxnConflictError, required: Mapping[str, int]) -> None:
        owner = conflict.item_by_key.get(owner_key(self._owner.pool))
        if owner is None or owner.revision != self._owner.token:
            self._owner.mark_lost("the owner key is no longer that of the claim")
            return
        for key in required:
            if not key.startswith(quota_prefix()):
                continue
            item = conflict.item_by_key.get(key)
            known = self._item_by_key.get(key)
            if item is None:
                self._item_by_key.pop(key, None)
            elif known is None or item.revision > known.revision:
                self._item_by_key[key] = item
        self._apply_items()

    async def _read_again(self) -> None:
        try:
            await self._cache.refresh()
        except StoreUnavailableError as error:
            _log.info("{}: allotments can't be read: {}", self._owner.pool, error)

    async def _delete_removed(self) -> None:
        """Deletes the records of pools that are no longer configured, once they have had no owner
        for so long that nothing runs there."""
        now = self._clock.boot_time()
        removed = self._allotments.removed_pools - {self._owner.pool}
        if not removed or now - self._removed_checked_at < REMOVED_POOL_PERIOD:
            return
        self._removed_checked_at = now
        for pool in sorted(removed):
            try:
                await self._delete_unowned(pool)
            except (StoreUnavailableError, TxnConflictError) as error:
                _log.info("{}: allotments not deleted yet: {!r}", pool, error)

    async def _delete_unowned(self, pool: PoolName) -> None:
        """Deletes the record of a pool that has had no owner for long enough.

        Raises `StoreUnavailableError` and `TxnConflictError`.
        """
        key = quota_key(pool)
        item = self._item_by_key.get(key)
        if item is None or await self._store.get(owner_key(pool)) is not None:
            self._unowned_since_by_pool.pop(pool, None)
            return
        now = self._clock.boot_time()
        since = self._unowned_since_by_pool.setdefault(pool, now)
        if now - since >= self._longest_lease:
            required = {owner_key(pool): 0, key: item.revision}
            await self._store.commit(Txn(required, deletes=(key,)))
            del self._unowned_since_by_pool[pool]
            _log.info("{}: allotments of the removed pool deleted", pool)


def _size(step: StepRun) -> Amounts:
    return (step.size.processors_milli, step.size.memory_mib, step.size.accelerators)


def _decode(item: Item) -> QuotaRecord | None:
    try:
        return decode_quota(item.value)
    except msgspec.MsgspecError as error:
        _log.error("{}: allotments can't be decoded: {}", item.key, error)
        return None
