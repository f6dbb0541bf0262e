"""Ownership of a pool: an owner key that VMs watch, and a chain key that each commit rewrites.

Both keys are under the owner's lease. Each commit is conditional on the revision that the previous
commit gave the chain key. So a commit of a former owner fails, and a commit whose answer was lost
can be repeated unchanged: either the repetition takes effect, and the first try no longer can, or
it conflicts, and the chain key shows the sequence number of the first try.
"""

import zlib
from datetime import timedelta

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.ids import DataCentreId, PoolName, VmId
from hornbeamramp.statestore.base import (
    Item,
    LeaseLostError,
    Put,
    StateStore,
    Txn,
    TxnConflictError,
)
from hornbeamramp.statestore.records import chain_key, owner_key

__all__ = ["ClaimLostError", "KeysChangedError", "OwnerRecord", "PoolClaim"]

# Delay before a failed commit is repeated: a few round trips to the store (4 ms each).
RETRY_DELAY = timedelta(milliseconds=50)
MAX_PORT_DIGITS = 5

_log = logbook.Logger("claim")


class OwnerRecord(msgspec.Struct, frozen=True):
    """Value of an owner key, of a chain key and of a VM's key. ``boot`` distinguishes successive
    processes of one VM; ``size`` is the speed of the VM's processor, in standard cores;
    ``record_format`` is the newest version of the records that the process can read. It serves
    calls at ``ports`` consecutive ports, of which ``address`` has the first."""

    vm: VmId
    boot: str
    address: str
    sequence: int
    size: float = 1.0
    data_centre: DataCentreId = DataCentreId("")
    record_format: int = 1
    ports: int = 1

    def __post_init__(self) -> None:
        first = self.address.rpartition(":")[2]
        is_number = first.isdecimal() and len(first) <= MAX_PORT_DIGITS
        if self.ports < 1 or (self.ports > 1 and not is_number):
            raise ValueError(f"no {self.ports} ports from address {self.address[:100]!r}")

    def address_for(self, caller: VmId) -> str:
        """Returns the address at which a VM calls the process; VMs are spread over its ports."""
        if self.ports == 1:
            return self.address
        host, _, first = self.address.rpartition(":")
        return f"{host}:{int(first) + zlib.crc32(caller.encode()) % self.ports}"


class ClaimLostError(Exception):
    """Another process owns the pool, the chain key no longer exists, or the lease has ended."""


class KeysChangedError(Exception):
    """Keys that a commit depends on have other revisions. Nothing was written.

    `item_by_key`
        Their current items; ``None`` for a key that does not exist.
    """

    def __init__(self, item_by_key: dict[str, Item | None]) -> None:
        super().__init__(", ".join(item_by_key))
        self.item_by_key = item_by_key


def decode_owner(value: bytes) -> OwnerRecord | None:
    """Returns the record, or ``None`` if it can't be decoded."""
    try:
        return msgspec.json.decode(value, type=OwnerRecord)
    except (msgspec.MsgspecError, RecursionError) as error:
        _log.warning("owner record ignored, it can't be decoded: {}", error)
        return None


def _revision_of(item: Item | None) -> int:
    return 0 if item is None else item.revision


class PoolClaim:
    """This process's claim on one pool.

    `token`
        Fencing token: the revision at which the claim was created, so it increases with each owner.
    `failing_since`
        Boot time of the first commit without an answer; ``None`` once the store answers a commit.
    """

    # Transaction entries of each commit that the claim itself uses.
    own_entries = 2

    def __init__(
        self,
        store: StateStore,
        clock: Clock,
        pool: PoolName,
        owner_record: OwnerRecord,
        lease: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._owner_key = owner_key(pool)
        self._key = chain_key(pool)
        self._record = owner_record
        self._lease = lease
        self._revision = 0
        self.token = 0
        self.failing_since: timedelta | None = None

    async def acquire(self) -> bool:
        """Creates the keys. Returns false if another process has them or the lease has ended.

        Raises `StoreUnavailableError`; the keys may have been created then. A repeated call detects
        that and returns true.
        """
        value = msgspec.json.encode(self._record)
        puts = tuple(Put(key, value, self._lease) for key in (self._owner_key, self._key))
        try:
            self._revision = await self._store.commit(Txn({p.key: 0 for p in puts}, puts))
        except TxnConflictError as conflict:
            await self._delete_without_lease(conflict.item_by_key)
            return self._adopt_existing(conflict.item_by_key.get(self._key))
        except LeaseLostError:
            return False
        self.token = self._revision
        return True

    async def _delete_without_lease(self, item_by_key: dict[str, Item]) -> None:
        """Deletes existing keys that are under no lease: they are no claim, and nothing would ever
        end them. The next try to acquire the claim doesn't find them."""
        foreign = {key: item.revision for key, item in item_by_key.items() if not item.lease}
        if not foreign:
            return
        _log.error("deleting {}: a claim is always under a lease", ", ".join(foreign))
        try:
            await self._store.commit(Txn(foreign, deletes=tuple(foreign)))
        except TxnConflictError:
            _log.info("not deleted, as they have changed: {}", ", ".join(foreign))

    def _adopt_existing(self, item: Item | None) -> bool:
        record = None if item is None else decode_owner(item.value)
        if item is None or record is None or record.boot != self._record.boot:
            return False
        self._record = record
        self._revision, self.token = item.revision, item.created
        return True

    async def commit(
        self,
        puts: list[Put],
        deletes: list[str] | None = None,
        revision_by_key: dict[str, int] | None = None,
    ) -> int:
        """Writes as the owner of the pool; retries until the outcome is known. Returns the revision
        of what was written.

        `revision_by_key`
            Other keys that the commit depends on, with their last revisions (0: absent).

        Raises `ClaimLostError`, after which the outcome of this commit is unknown, and
        `KeysChangedError` if a key of ``revision_by_key`` has another revision.
        """
        others = revision_by_key or {}
        record = msgspec.structs.replace(self._record, sequence=self._record.sequence + 1)
        own = Put(self._key, msgspec.json.encode(record), self._lease)
        required = {self._key: self._revision, **others}
        txn = Txn(required, (own, *puts), tuple(deletes or ()))
        while True:
            try:
                self._revision = await self._store.commit(txn)
                break
            except StoreUnavailableError as error:
                if self.failing_since is None:
                    self.failing_since = self._clock.boot_time()
                    _log.warning("commits to {} fail, retrying: {}", self._key, error)
                await self._clock.sleep(RETRY_DELAY)
            except LeaseLostError as error:
                raise ClaimLostError(f"{self._key}: the lease has ended") from error
            except TxnConflictError as conflict:
                if self._resolve_conflict(conflict, record):
                    break
                items = {key: conflict.item_by_key.get(key) for key in others}
                changed = {k: i for k, i in items.items() if _revision_of(i) != others[k]}
                if not changed:
                    raise ClaimLostError(f"{self._key}: conflict without cause") from conflict
                self._end_outage()
                raise KeysChangedError(changed) from conflict
        self._end_outage()
        self._record = record
        return self._revision

    def _end_outage(self) -> None:
        if self.failing_since is not None:
            outage = self._clock.boot_time() - self.failing_since
            _log.info("commits to {} succeed again after {}", self._key, outage)
            self.failing_since = None

    def _resolve_conflict(self, conflict: TxnConflictError, record: OwnerRecord) -> bool:
        """Tells whether an earlier try of the same commit has taken effect.

        Raises `ClaimLostError`.
        """
        item = conflict.item_by_key.get(self._key)
        current = None if item is None else decode_owner(item.value)
        if item is None or current is None or current.boot != record.boot:
            raise ClaimLostError(f"{self._key}: owned by {current}") from conflict
        if item.revision == self._revision:
            return False
        if current.sequence != record.sequence:
            raise ClaimLostError(f"{self._key}: at sequence {current.sequence}") from conflict
        self._revision = item.revision
        return True

    async def release(self) -> None:
        """Deletes the keys if they still belong to this claim."""
        keys = (self._owner_key, self._key)
        txn = Txn({self._key: self._revision}, deletes=keys)
        try:
            await self._store.commit(txn)
        except (StoreUnavailableError, TxnConflictError) as error:
            # The store deletes the keys in any case when the lease ends.
            _log.info("release of {} not confirmed: {!r}", self._key, error)
