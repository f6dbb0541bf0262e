"""One entry VM: watches the configuration and the cell's records, claims pools and owns them.

The cell's records in the store list the VMs that are alive and the owner of each pool.
"""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import logbook
import msgspec
from result import Err, Result

from hornbeamramp import instruments
from hornbeamramp.accounts import ConfigFreshness
from hornbeamramp.background import BackgroundTasks, run_until_done
from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import PoolName, UpstreamId, VmId
from hornbeamramp.poolowner import AddressRecords, OwnerContext, PoolOwner
from hornbeamramp.rendezvous import rank
from hornbeamramp.rpc import PeerClient, PeerServer
from hornbeamramp.statestore import (
    GROUPED_FORMAT,
    Item,
    LeaseLostError,
    OwnerRecord,
    PoolClaim,
    Put,
    Txn,
)
from hornbeamramp.statestore.base import TxnConflictError
from hornbeamramp.statestore.claim import decode_owner
from hornbeamramp.statestore.records import (
    CELL_PREFIX,
    address_prefix,
    chain_key,
    owner_key,
    owner_prefix,
    vm_key,
    vm_prefix,
)
from hornbeamramp.vm.adapter import Adapter, VmIdentity
from hornbeamramp.vm.advice_queue import AdviceQueue, DistributedAdviceSource
from hornbeamramp.vm.config_renewal import ConfigRenewal
from hornbeamramp.vm.handover import RELEASE_TIMEOUT, HandoverPlanner
from hornbeamramp.vm.isolation import IsolationDetector
from hornbeamramp.vm.lease import SAFETY_MARGIN, VmLease
from hornbeamramp.vm.messages import PingRequest
from hornbeamramp.vm.readiness import ReadinessMonitor
from hornbeamramp.vm.relay import RelayedStore, RelayRequest
from hornbeamramp.vm.watching import WATCH_WAIT, PrefixCache
from hornbeamramp.workload import ClusterConfig

__all__ = ["Node"]

# Delay of a claim for each VM that ranks before this one among the candidates for a pool. A claim
# takes two store calls, so the first candidate has usually claimed before the second tries.
CANDIDATE_DELAY = timedelta(milliseconds=300)
# Delay between the start of a VM and its first claim. Without it, the VM that starts first would
# claim all pools. Most VMs that lose power together restart within this time of each other.
STARTUP_CLAIM_DELAY = timedelta(milliseconds=200)
# Period of the check for pools without an owner; each change of the cell's records also triggers
# the check.
CLAIM_CHECK_PERIOD = timedelta(milliseconds=250)
# Pause between watch calls, so that one call returns several changes: worker entries change up to
# 20 times a second in total. Draining has to be noticed within two seconds.
WORKER_WATCH_PAUSE = timedelta(milliseconds=400)

# Pause between watch calls of an owner for records of other owners, which may change 20 times a
# second.
RECORD_WATCH_PAUSE = timedelta(milliseconds=50)

# Delay before other VMs may claim a pool after a store outage in which leases expired. Until then
# only its last owner may claim it: that VM still has the entries of the pool's workers, while the
# others have none for workers whose entries expired as well.
LAST_OWNER_HEAD_START = timedelta(milliseconds=250)
# Time after a store outage for which expired worker entries are still used. Workers write their
# entries again within two seconds of the store's recovery (the platform's bound); half a second is
# for the watch.
EXPIRED_WORKER_GRACE = timedelta(milliseconds=2500)
# The store counts as unavailable once direct and relayed calls have failed for this long. Each of
# those calls has already taken up to 1.5 s.
STORE_OUTAGE_THRESHOLD = timedelta(milliseconds=300)

# Characters of a rejected worker entry's key and of the reason that are logged.
MAX_LOGGED_KEY = 100
MAX_LOGGED_REASON = 200

_log = logbook.Logger("node")


class Node:
    """The scheduler's process on one VM.

    `config`
        The configuration with the highest version seen; an older version never replaces it.
    `config_freshness`, `config_renewal`
        The proof of how fresh the configuration is, and what renews it for calls that need it.
    `addresses`
        The pools that record the jobs of each address.
    """

    def __init__(
        self,
        identity: VmIdentity,
        adapter: Adapter,
        clock: Clock,
        peers: PeerClient,
        server: PeerServer,
    ) -> None:
        self.identity = identity
        self.adapter = adapter
        self.clock = clock
        self.peers = peers
        self.server = server
        self.store = RelayedStore(adapter.store, peers, clock, self._peer_addresses)
        server.handle(RelayRequest, self.store.serve)
        self.config: ClusterConfig | None = None
        self.owner_by_pool: dict[PoolName, PoolOwner] = {}
        self.is_stopping = False
        self.lease = VmLease(self.store, clock, self._on_lease_granted)
        self.advice_queue = AdviceQueue(adapter.advice, clock)
        advice_source = DistributedAdviceSource(
            identity.vm,
            self.advice_queue,
            peers,
            self._peer_addresses,
            clock,
            lambda: self._owner_vms,
        )
        self.addresses = AddressRecords(lambda key: self._cell_cache.item_by_key.get(key))
        self._context = OwnerContext(
            self.store,
            clock,
            adapter.workers,
            advice_source,
            adapter.job_retention,
            adapter.longest_lease,
            self._may_group_records,
            self.addresses,
            lambda prefix, on_change: PrefixCache(
                self.store, clock, prefix, on_change, RECORD_WATCH_PAUSE
            ),
            adapter.learns_durations,
            adapter.keeps_headroom,
            adapter.cross_rack_factor,
        )
        self.isolation = IsolationDetector(
            peers, clock, lambda: self.store.last_answer_at, self._ping_targets
        )
        server.handle(PingRequest, self.isolation.serve)
        self.readiness = ReadinessMonitor(self.unready_reasons, clock)
        self._background = BackgroundTasks("node", _log)
        self.config_freshness = ConfigFreshness(adapter.revocation_bound)
        self._config_cache = PrefixCache(
            self.store,
            clock,
            adapter.config_prefix,
            self._on_config_change,
            on_current=self.config_freshness.record,
            watch_wait=self.config_freshness.max_watch_wait(WATCH_WAIT),
        )
        self.config_renewal = ConfigRenewal(
            self._config_cache.refresh, self.is_store_unavailable, clock, self._background
        )
        self._cell_cache = PrefixCache(self.store, clock, CELL_PREFIX, self._on_cell_change)
        # The decoded records of the cell, and from them the addresses of the other VMs.
        self._record_by_key: dict[str, OwnerRecord] = {}
        self._peer_address_by_vm: dict[VmId, str] = {}
        self._owner_vms: set[VmId] = set()
        self._oldest_record_format = GROUPED_FORMAT
        self._listing_cache: PrefixCache | None = None
        self._claims_in_progress: set[PoolName] = set()
        self._unowned_since: dict[PoolName, timedelta] = {}
        self._last_owner_by_pool: dict[PoolName, VmId] = {}
        self._handovers = HandoverPlanner(clock)
        self._release_by_pool: dict[PoolName, asyncio.Task[bool]] = {}
        # Keys of the workers' entries that could not be used when they were last read.
        self._rejected_keys: set[str] = set()
        self._listing_by_worker: dict[UpstreamId, WorkerListing] = {}
        self._has_expired_listings = False
        self._cell_changed = asyncio.Event()
        self._started_at = clock.boot_time()
        self._lease_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts watching the store and claiming pools."""
        self._started_at = self.clock.boot_time()
        self._lease_task = asyncio.create_task(
            run_until_done("lease renewal", self.lease.run, self.clock, _log)
        )
        self._spawn_loop("configuration watch", self._config_cache.run)
        self._spawn_loop("cell watch", self._cell_cache.run)
        self._spawn_loop("isolation check", self.isolation.run)
        self._spawn_loop("claim loop", self._claim_loop)
        self._spawn_loop("readiness monitor", self.readiness.run)

    def _spawn_loop(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._background.spawn(run_until_done(name, run, self.clock, _log))

    async def release(self) -> None:
        """Releases all pools and the lease. Callers can still be served: the configuration and the
        owners are watched until `stop`."""
        self.is_stopping = True
        if self._lease_task is not None:
            self._lease_task.cancel()
        await asyncio.gather(*(owner.release() for owner in self.owner_by_pool.values()))
        await self.lease.end()

    async def stop(self) -> None:
        """Releases all pools and ends the background tasks."""
        await self.release()
        await self._background.cancel()
        await self.store.close()

    @property
    def is_ready(self) -> bool:
        """Tells whether this VM can serve callers: it has a configuration, has read the cell's
        records, is not isolated and is not stopping."""
        return not self.unready_reasons()

    def unready_reasons(self) -> list[str]:
        """Returns why this VM can't serve callers, for log lines; empty if it can."""
        problems = {
            "stopping": self.is_stopping,
            "no configuration": self.config is None,
            "the cell's records have not been read": not self._cell_cache.is_loaded,
            "isolated": self.isolation.is_isolated,
        }
        return [reason for reason, applies in problems.items() if applies]

    def is_store_unavailable(self) -> bool:
        """Tells whether neither direct nor relayed calls of the store have succeeded lately."""
        first_failure_at = self.store.failing_since
        return (
            first_failure_at is not None
            and self.clock.boot_time() - first_failure_at > STORE_OUTAGE_THRESHOLD
        )

    # Configuration

    def _on_config_change(self, changed: set[str]) -> None:
        if self.adapter.config_key not in changed:
            return
        item = self._config_cache.item_by_key.get(self.adapter.config_key)
        if item is None:
            return
        decoded = self.adapter.decode_config(item)
        if isinstance(decoded, Err):
            instruments.rejected_configurations.add(1)
            _log.error(
                "configuration of store revision {} rejected, version {} stays in force: {}",
                item.revision,
                None if self.config is None else self.config.version,
                decoded.err_value[:MAX_LOGGED_REASON],
                extra={"event": "config_rejected"},
            )
            return
        config = decoded.ok_value
        if self.config is not None and config.version <= self.config.version:
            return
        _log.info(
            "configuration version {} applied, store revision {}, {} queues",
            config.version,
            item.revision,
            len(config.queue_by_name),
        )
        self.config = config
        for owner in self.owner_by_pool.values():
            owner.config = config
            owner.wake()
        self._notify_cell()

    async def ensure_config_version(self, version: int) -> None:
        """Reads the configuration again if this VM's is older than ``version``.

        Raises `StoreUnavailableError`. The version may still be older afterwards.
        """
        if self.config is None or self.config.version < version:
            await self._config_cache.refresh()

    # Cell

    def owner_record(self, pool: PoolName) -> OwnerRecord | None:
        """Returns the pool's owner as last read from the store, ``None`` if there is no owner
        record or it can't be decoded."""
        return self._record_by_key.get(owner_key(pool))

    async def wait_for_cell_change(self, timeout: timedelta) -> None:
        """Returns after the next change of the cell's records, or after ``timeout``."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._cell_changed.wait()
        except TimeoutError:
            return

    def _records_under(self, prefix: str) -> dict[str, OwnerRecord]:
        """Returns the records under a prefix of the cell, by the rest of their keys."""
        return {
            key.removeprefix(prefix): record
            for key, record in self._record_by_key.items()
            if key.startswith(prefix)
        }

    def _vm_records(self) -> dict[VmId, OwnerRecord]:
        return {record.vm: record for record in self._records_under(vm_prefix()).values()}

    def _owner_records(self) -> dict[PoolName, OwnerRecord]:
        return {PoolName(name): r for name, r in self._records_under(owner_prefix()).items()}

    def _peer_addresses(self) -> dict[VmId, str]:
        """Returns the addresses of the other VMs; a new dictionary after each change of them."""
        return self._peer_address_by_vm

    def _ping_targets(self) -> list[str]:
        """Returns the addresses of the VMs in other data centres, or of all other VMs if there is
        only one data centre."""
        others = [r for vm, r in sorted(self._vm_records().items()) if vm != self.identity.vm]
        remote = [r for r in others if r.data_centre != self.identity.data_centre]
        return [record.address_for(self.identity.vm) for record in remote or others]

    def _decode_records(self, changed: set[str]) -> None:
        for key in changed:
            if key.startswith(address_prefix()):
                continue
            record = _decode_record(self._cell_cache.item_by_key.get(key))
            if record is None:
                self._record_by_key.pop(key, None)
            else:
                self._record_by_key[key] = record
        if any(key.startswith(owner_prefix()) for key in changed):
            self._owner_vms = {record.vm for record in self._owner_records().values()}
        if any(key.startswith(vm_prefix()) for key in changed):
            self._oldest_record_format = min(
                (record.record_format for record in self._vm_records().values()),
                default=GROUPED_FORMAT,
            )
            self._peer_address_by_vm = {
                vm: record.address_for(self.identity.vm)
                for vm, record in self._vm_records().items()
                if vm != self.identity.vm
            }

    def _on_cell_change(self, changed: set[str]) -> None:
        self._decode_records(changed)
        for pool, record in self._owner_records().items():
            self._last_owner_by_pool[pool] = record.vm
        for pool, owner in list(self.owner_by_pool.items()):
            if owner_key(pool) in changed:
                record = self.owner_record(pool)
                if owner.is_ready and (record is None or record.boot != self.identity.boot):
                    owner.mark_lost(f"the owner record in the store is {record}")
        self._notify_cell()

    def _may_group_records(self) -> bool:
        """Returns whether all VMs can read progress groups."""
        return self._oldest_record_format >= GROUPED_FORMAT

    def _notify_cell(self) -> None:
        self._cell_changed.set()
        self._cell_changed = asyncio.Event()

    def _on_lease_granted(self, lease: int) -> None:
        for owner in self.owner_by_pool.values():
            owner.mark_lost("the VM's lease was replaced")
        self._notify_cell()

    # Claims

    async def _claim_loop(self) -> None:
        while True:
            await self.wait_for_cell_change(CLAIM_CHECK_PERIOD)
            if self.config is None or not self._cell_cache.is_loaded or not self.lease.is_valid:
                continue
            if self.is_stopping:
                return
            try:
                await self._register()
                await self._delete_stale_claims()
            except StoreUnavailableError as error:
                _log.info(
                    "store unavailable, registration of this VM and claims delayed: {}", error
                )
                continue
            if self.clock.boot_time() - self._started_at < STARTUP_CLAIM_DELAY:
                continue
            for pool in sorted(self.config.pool_by_name):
                self._claim_if_unowned(pool)
            self._hand_over_if_outranked()
            if self._has_expired_listings:
                self._apply_listings()

    async def _register(self) -> None:
        """Writes this VM's record if the store has none under the current lease."""
        key = vm_key(self.identity.vm)
        item = self._cell_cache.item_by_key.get(key)
        if item is not None and item.lease == self.lease.lease_id:
            return
        value = msgspec.json.encode(self._own_record())
        try:
            await self.store.commit(Txn({}, (Put(key, value, self.lease.lease_id),)))
        except LeaseLostError:
            return
        await self._cell_cache.refresh()

    async def _delete_stale_claims(self) -> None:
        """Deletes the claims that the VM's previous process left behind when it ended."""
        for pool, record in self._owner_records().items():
            is_same_vm = record.vm == self.identity.vm and record.address == self.identity.address
            if not is_same_vm or record.boot == self.identity.boot:
                continue
            key = owner_key(pool)
            revision = self._cell_cache.item_by_key[key].revision
            try:
                await self.store.commit(Txn({key: revision}, deletes=(key, chain_key(pool))))
            except TxnConflictError:
                continue
            await self._cell_cache.refresh()

    def _own_record(self) -> OwnerRecord:
        identity = self.identity
        return OwnerRecord(
            vm=identity.vm,
            boot=identity.boot,
            address=identity.address,
            sequence=0,
            size=identity.size,
            data_centre=identity.data_centre,
            record_format=GROUPED_FORMAT,
            ports=identity.ports,
        )

    def _claim_if_unowned(self, pool: PoolName) -> None:
        if pool in self.owner_by_pool or pool in self._claims_in_progress:
            return
        record = self.owner_record(pool)
        # A claim whose reply was lost may have taken effect; claiming again detects that.
        is_claimed_here = record is not None and record.boot == self.identity.boot
        if record is not None and not is_claimed_here:
            self._unowned_since.pop(pool, None)
            self._handovers.record_other_owner(pool)
            return
        now = self.clock.boot_time()
        recovered_at = self.store.recovered_at
        has_store_just_recovered = (
            recovered_at is not None and now - recovered_at < LAST_OWNER_HEAD_START
        )
        if has_store_just_recovered and self._last_owner_by_pool.get(pool) != self.identity.vm:
            return
        unowned_since = self._unowned_since.setdefault(pool, now)
        if is_claimed_here or now - unowned_since >= self._candidate_index(pool) * CANDIDATE_DELAY:
            self._claims_in_progress.add(pool)
            self._background.spawn(self._acquire_and_run(pool))

    def _candidate_index(self, pool: PoolName) -> int:
        """Returns how many VMs rank before this one as candidates for a pool.

        VMs rank by the processor capacity that each of their pools would get if they claimed this
        one too, ties by rendezvous hashing. A VM that has handed the pool over ranks last.
        """
        capacity_by_vm = self._capacity_by_vm()
        if self._handovers.has_handed_over(pool):
            return len(capacity_by_vm) - 1
        preference = rank(pool, dict.fromkeys(capacity_by_vm, 1.0))
        order = sorted(preference, key=lambda vm: -capacity_by_vm[vm])
        return order.index(self.identity.vm)

    def _capacity_by_vm(self) -> dict[VmId, float]:
        """Returns the processor capacity that each pool of a VM would get if it claimed one more,
        in standard cores."""
        records = self._vm_records()
        records.setdefault(self.identity.vm, self._own_record())
        pool_count_by_vm = dict.fromkeys(records, 0)
        for record in self._owner_records().values():
            if record.vm in pool_count_by_vm:
                pool_count_by_vm[record.vm] += 1
        # Counts this VM's claims that its copy of the cell's records doesn't contain yet, too.
        pool_count_by_vm[self.identity.vm] = len({*self.owner_by_pool, *self._claims_in_progress})
        return {vm: r.size / (pool_count_by_vm[vm] + 1) for vm, r in records.items()}

    def _hand_over_if_outranked(self) -> None:
        """Starts to hand over one pool if another VM would give it much more capacity."""
        self._handovers.update_vms(
            {
                vm: item.created
                for vm in self._vm_records()
                if (item := self._cell_cache.item_by_key.get(vm_key(vm))) is not None
            }
        )
        if (
            self.is_stopping
            or self._release_by_pool
            or self._claims_in_progress
            or self.store.failing_since is not None
            or not self._handovers.is_settled_since(self.store.recovered_at)
        ):
            return
        capacity_by_vm = self._capacity_by_vm()
        del capacity_by_vm[self.identity.vm]
        for pool, owner in sorted(self.owner_by_pool.items()):
            if not owner.is_ready or not owner.may_place():
                continue
            capacity = self.identity.size / len(self.owner_by_pool)
            successor = self._handovers.successor(pool, capacity, capacity_by_vm)
            if successor is not None:
                _log.info(
                    "pool {} handed over: {:.2f} cores here, {:.2f} on VM {}",
                    pool,
                    capacity,
                    capacity_by_vm[successor],
                    successor,
                )
                self._handovers.record_handover(pool)
                release = self._release_for_handover(owner)
                self._release_by_pool[pool] = self._background.spawn(release)
                return

    async def _release_for_handover(self, owner: PoolOwner) -> bool:
        """Returns whether the owner has nothing in flight any more."""
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT.total_seconds()):
                await owner.release()
            return True
        except TimeoutError:
            _log.warning("pool {}: not released within {}", owner.pool, RELEASE_TIMEOUT)
            return False
        finally:
            owner.is_lost.set()

    async def _end_handover(
        self, owner: PoolOwner, claim: PoolClaim, release: asyncio.Task[bool]
    ) -> None:
        """Releases the claim, so that the others can claim the pool. The VM's lease goes on."""
        is_idle = await release
        await owner.close()
        if not is_idle:
            # Orders already sent to workers arrive before another VM claims the pool.
            await self.clock.sleep(SAFETY_MARGIN)
        await claim.release()
        try:
            await self._cell_cache.refresh()
        except StoreUnavailableError as error:
            _log.info("pool {}: store unavailable, outcome unknown: {}", owner.pool, error)
        self._unowned_since[owner.pool] = self.clock.boot_time()

    async def _acquire_and_run(self, pool: PoolName) -> None:
        lease = self.lease.lease_id
        claim = PoolClaim(self.store, self.clock, pool, self._own_record(), lease)
        try:
            if not await claim.acquire():
                await self._cell_cache.refresh()
                return
            owner = PoolOwner(pool, claim, self._context, lambda: self.lease.valid_until_for(lease))
            owner.config = self.config
            self.owner_by_pool[pool] = owner
            self._handovers.record_claim(pool)
        except StoreUnavailableError as error:
            _log.info("pool {}: store unavailable, outcome of the claim unknown: {}", pool, error)
            return
        finally:
            self._claims_in_progress.discard(pool)
        try:
            await asyncio.gather(
                self._cell_cache.refresh(), owner.start(lambda: self._load_listings(pool))
            )
            self._notify_cell()
            await owner.is_lost.wait()
            if pool in self._release_by_pool:
                await self._end_handover(owner, claim, self._release_by_pool[pool])
        except StoreUnavailableError as error:
            _log.warning("pool {}: recovery failed, releasing the claim: {}", pool, error)
            await claim.release()
        finally:
            del self.owner_by_pool[pool]
            self._release_by_pool.pop(pool, None)
            await owner.close()

    # Workers

    async def _load_listings(self, pool: PoolName) -> dict[UpstreamId, WorkerListing]:
        if self._listing_cache is None:
            self._listing_cache = PrefixCache(
                self.store,
                self.clock,
                self.adapter.worker_prefix,
                self._on_listing_change,
                WORKER_WATCH_PAUSE,
            )
            self._spawn_loop("worker watch", self._listing_cache.run)
        await self._listing_cache.refresh()
        return _listings_of(pool, self._decode_listings())

    def _on_listing_change(self, changed: set[str]) -> None:
        self._apply_listings()

    def _apply_listings(self) -> None:
        if any(owner.is_ready for owner in self.owner_by_pool.values()):
            listings = self._decode_listings()
            for owner in self.owner_by_pool.values():
                if owner.is_ready:
                    owner.set_workers(_listings_of(owner.pool, listings))

    def _decode_listing(self, item: Item) -> Result[WorkerListing, str]:
        try:
            return self.adapter.decode_worker(item)
        except Exception as error:
            # One entry of another writer must not keep all others from being read.
            return Err(f"unexpected error: {error!r}")

    def _decode_listings(self) -> dict[UpstreamId, WorkerListing]:
        assert self._listing_cache is not None
        listings = {}
        rejected = set()
        for key, item in self._listing_cache.item_by_key.items():
            decoded = self._decode_listing(item)
            if isinstance(decoded, Err):
                rejected.add(key)
                if key not in self._rejected_keys:
                    instruments.rejected_entries.add(1)
                    _log.warning(
                        "worker entry {!a} ignored: {}",
                        key[:MAX_LOGGED_KEY],
                        decoded.err_value[:MAX_LOGGED_REASON],
                    )
                continue
            listings[decoded.ok_value.worker] = decoded.ok_value
        self._rejected_keys = rejected
        recovered_at = self.store.recovered_at
        expired = (
            self._listing_by_worker.keys()
            - listings.keys()
            - {UpstreamId(key.removeprefix(self.adapter.worker_prefix)) for key in rejected}
        )
        self._has_expired_listings = (
            bool(expired)
            and recovered_at is not None
            and self.clock.boot_time() - recovered_at < EXPIRED_WORKER_GRACE
        )
        if self._has_expired_listings:
            # Most of these workers are alive. Without them, few tasks could start until the entries
            # are written again.
            listings |= {worker: self._listing_by_worker[worker] for worker in sorted(expired)}
        self._listing_by_worker = listings
        return dict(listings)


def _listings_of(
    pool: PoolName, listings: dict[UpstreamId, WorkerListing]
) -> dict[UpstreamId, WorkerListing]:
    """Returns the listings of a pool. A worker that now belongs to another is no longer listed."""
    return {worker: listing for worker, listing in listings.items() if listing.pool == pool}


def _decode_record(item: Item | None) -> OwnerRecord | None:
    """Returns a record of the cell, ``None`` if it can't be decoded or no VM can have written it:
    each VM writes them under its lease, and its own under its name."""
    record = None if item is None else decode_owner(item.value)
    if item is None or record is None:
        return None
    if not item.lease or (item.key.startswith(vm_prefix()) and item.key != vm_key(record.vm)):
        _log.warning("{} ignored, no VM can have written it", item.key)
        return None
    return record
