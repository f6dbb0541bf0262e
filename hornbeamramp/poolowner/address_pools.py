"""Keeps one id one job when its queue moves to another pool.

The record of an address lists the pools whose owners have recorded jobs sent there. An owner
records a job only in a commit that depends on the revision of that record, which lists its own pool
then, and on the absence of the job in the other pools. So of two owners that accept the same job by
different configurations, the store lets one record it, whatever their processes have seen.
"""

from collections.abc import Callable
from typing import NamedTuple

import logbook
import msgspec

from hornbeamramp.ids import JobId, PoolName, QueueAddress
from hornbeamramp.statestore import (
    AddressPools,
    Item,
    Put,
    address_key,
    decode_address_pools,
    job_key,
)
from hornbeamramp.statestore.records import encode

__all__ = ["AddressRecords", "InsertConditions"]

# Most pools in the record of an address, the latest ones. Each new job takes one of the 30 entries
# of a commit for each of them.
MAX_POOLS_PER_ADDRESS = 16

_log = logbook.Logger("journal")


class KnownAddress(NamedTuple):
    """The pools of an address and the revision of its record (0: there is none).

    `as_of`
        Items of the watch up to this revision tell nothing newer.
    """

    pools: tuple[PoolName, ...] = ()
    revision: int = 0
    as_of: int = 0


class AddressRecords:
    """The records of addresses, as this process has watched, written or found them in conflicts.

    `watched_item`
        Returns the item of a key as last reported by the store's watch.
    """

    def __init__(self, watched_item: Callable[[str], Item | None]) -> None:
        self._watched_item = watched_item
        self._known_by_key: dict[str, KnownAddress] = {}

    def get(self, address: QueueAddress) -> KnownAddress:
        key = address_key(address)
        known = self._known_by_key.get(key, KnownAddress())
        item = self._watched_item(key)
        return known if item is None or item.revision <= known.as_of else _decode(item)

    def note_written(
        self, address: QueueAddress, pools: tuple[PoolName, ...], revision: int
    ) -> None:
        """Notes the record that a commit has written."""
        self._known_by_key[address_key(address)] = KnownAddress(pools, revision, revision)

    def note_conflict(self, address: QueueAddress, item: Item | None) -> None:
        """Notes the item on which a commit has failed."""
        known = KnownAddress(as_of=self.get(address).as_of) if item is None else _decode(item)
        self._known_by_key[address_key(address)] = known


class InsertConditions:
    """What a commit that records jobs of a pool depends on.

    `revision_by_key`
        Keys with the revisions that they have to have.
    `puts`
        Records of the addresses that the commit adds the pool to.
    """

    def __init__(self, pool: PoolName, records: AddressRecords) -> None:
        self._pool = pool
        self._records = records
        self._known_by_address: dict[QueueAddress, KnownAddress] = {}
        self.revision_by_key: dict[str, int] = {}
        self.puts: list[Put] = []

    def entries_for(self, address: QueueAddress) -> int:
        """Returns how many transaction entries a job takes, with its own record."""
        known = self._records.get(address)
        others = len(self._other_pools(known))
        if address in self._known_by_address:
            return 2 + others
        return 3 + others + (self._pool not in known.pools)

    def add(self, job_id: JobId, address: QueueAddress) -> None:
        known = self._records.get(address)
        if address not in self._known_by_address:
            self._known_by_address[address] = known
            self.revision_by_key[address_key(address)] = known.revision
            if self._pool not in known.pools:
                record = AddressPools(address, self._with_own_pool(known))
                self.puts.append(Put(address_key(address), encode(record)))
        for pool in (self._pool, *self._other_pools(known)):
            self.revision_by_key[job_key(pool, job_id)] = 0

    def _with_own_pool(self, known: KnownAddress) -> tuple[PoolName, ...]:
        return (*known.pools, self._pool)[-MAX_POOLS_PER_ADDRESS:]

    def _other_pools(self, known: KnownAddress) -> list[PoolName]:
        return [pool for pool in known.pools if pool != self._pool]

    def keys_of(self, job_id: JobId, address: QueueAddress) -> list[str]:
        """Returns the keys at which an added job must not be recorded yet."""
        others = self._other_pools(self._known_by_address[address])
        return [job_key(pool, job_id) for pool in (self._pool, *others)]

    def on_committed(self, revision: int) -> None:
        for address, known in self._known_by_address.items():
            if self._pool not in known.pools:
                self._records.note_written(address, self._with_own_pool(known), revision)

    def on_changed(self, item_by_key: dict[str, Item | None]) -> None:
        """Applies the items on which the commit has failed."""
        for address in self._known_by_address:
            key = address_key(address)
            if key in item_by_key:
                _log.info("{}: the pools that record jobs of {} have changed", self._pool, address)
                self._records.note_conflict(address, item_by_key[key])


def _decode(item: Item) -> KnownAddress:
    """Returns the pools of a record; none if it can't be decoded, so that it is written again."""
    try:
        pools = decode_address_pools(item.value).pools[-MAX_POOLS_PER_ADDRESS:]
    except msgspec.MsgspecError as error:
        _log.error("{}: pools of the address can't be decoded: {}", item.key, error)
        pools = ()
    return KnownAddress(pools, item.revision, item.revision)
