"""Interface of the store that keeps durable state."""

from abc import ABC, abstractmethod
from datetime import timedelta

import msgspec

__all__ = [
    "Change",
    "Item",
    "LeaseLostError",
    "Put",
    "StateStore",
    "Txn",
    "TxnConflictError",
    "WatchGapError",
    "WatchReply",
]


class Item(msgspec.Struct, frozen=True):
    """A stored value. ``created`` and ``revision`` are the store's revisions at which the key was
    created and last written."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0


class Change(msgspec.Struct, frozen=True):
    """A change that a watch reports; ``item`` is ``None`` if the key was removed."""

    key: str
    revision: int
    item: Item | None


class WatchReply(msgspec.Struct, frozen=True):
    """Changes up to store revision ``as_of``, from which the next watch continues."""

    changes: tuple[Change, ...]
    as_of: int


class Put(msgspec.Struct, frozen=True):
    key: str
    value: bytes
    lease: int = 0


class Txn(msgspec.Struct, frozen=True):
    """Writes that take effect atomically if each key of ``revision_by_key`` has the revision given
    there (0: absent)."""

    revision_by_key: dict[str, int]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()

    @property
    def entries(self) -> int:
        return len(self.revision_by_key) + len(self.puts) + len(self.deletes)


class TxnConflictError(Exception):
    """A key did not have the required revision, and nothing was written. Holds the current items of
    the required keys."""

    def __init__(self, item_by_key: dict[str, Item]) -> None:
        super().__init__(f"{len(item_by_key)} of the required keys exist")
        self.item_by_key = item_by_key


class LeaseLostError(Exception):
    """The lease has ended, and its keys with it."""


class WatchGapError(Exception):
    """The store no longer keeps the changes after the revision asked for; list the prefix again."""


class StateStore(ABC):
    """Key-value store with transactions, leases and watches.

    Each method raises `StoreUnavailableError` if the store does not answer or refuses the call. If
    the error's ``sent`` is true, a write may have taken effect, or may still take effect later.
    """

    # Maximum of required keys, puts and deletes in one transaction.
    max_entries = 32

    @abstractmethod
    async def get(self, key: str) -> Item | None:
        """Returns the current item, ``None`` if there is no such key."""

    @abstractmethod
    async def range(self, prefix: str) -> tuple[list[Item], int]:
        """Returns all items under a prefix and the revision from which to watch it.

        The pages read are not one snapshot. The revision is that of the first page, so a watch from
        there misses no change.
        """

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait: timedelta) -> WatchReply:
        """Returns the changes after a revision, and waits up to ``wait`` for the first.

        Raises `WatchGapError`.
        """

    @abstractmethod
    async def commit(self, txn: Txn) -> int:
        """Applies a transaction and returns its revision.

        Raises `TxnConflictError`, and `LeaseLostError` if a put's lease has ended.
        """

    @abstractmethod
    async def grant_lease(self, ttl: timedelta) -> int:
        """Creates a lease that expires ``ttl`` after its last renewal, and returns its id."""

    @abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renews a lease. Raises `LeaseLostError`."""

    @abstractmethod
    async def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys at once."""
