"""Interface of platform adapters."""

from abc import ABC, abstractmethod
from datetime import timedelta

import msgspec

from hornbeamramp.ids import LeaseId, VmId
from hornbeamramp.plugins import Plugin

__all__ = ["Entry", "ListedVm", "Platform", "WatchResult"]


class Entry(msgspec.Struct, frozen=True):
    """A value in the store. ``version`` grows with each write of the key and is never reused."""

    key: str
    value: bytes
    version: int
    lease: LeaseId | None = None


class ListedVm(msgspec.Struct, frozen=True):
    """A row of the platform's list of VMs, which may be out of date by several seconds."""

    vm_id: VmId
    leaving: bool


class WatchResult(msgspec.Struct, frozen=True):
    """Changes after the requested revision. ``deleted`` lists the keys that were deleted."""

    revision: int
    changed: list[Entry]
    deleted: list[str]


class Platform(Plugin, ABC):
    """Client of the platform's service: key-value store, leases, watches and list of VMs.

    Every method raises `StoreUnavailableError` if no answer arrives within the adapter's timeout
    or the store refuses the call; a write may nevertheless have taken effect. Values are at most
    1 MB. Each call, including a waiting watch, counts as one towards the service's rate limits.
    """

    @abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Returns the entry, or ``None`` if the key does not exist."""

    @abstractmethod
    async def put(
        self, key: str, value: bytes, expected: int | None, lease: LeaseId | None = None
    ) -> int:
        """Writes the value and returns the new version.

        ``expected`` is the version to replace, or ``None`` if the key must not exist. Raises
        `ConflictError` with the current version (``None`` if absent) if that differs. An entry
        with a lease is deleted when the lease ends.
        """

    @abstractmethod
    async def delete(self, key: str, expected: int) -> None:
        """Deletes the key. Raises `ConflictError` if its version is not ``expected``."""

    @abstractmethod
    async def list_prefix(self, prefix: str) -> list[Entry]:
        """Returns all entries whose key starts with ``prefix``, in key order."""

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait: timedelta) -> WatchResult:
        """Returns the changes under ``prefix`` after store revision ``after``.

        Waits up to ``wait`` for a change; the result is empty if there was none. ``after=0``
        returns all entries without waiting.
        """

    @abstractmethod
    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Creates a lease that ends ``ttl`` after its last renewal."""

    @abstractmethod
    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renews the lease. Returns false if it has already ended."""

    @abstractmethod
    async def revoke_lease(self, lease: LeaseId) -> None:
        """Ends the lease at once. Does nothing if it has already ended."""

    @abstractmethod
    async def list_vms(self) -> list[ListedVm]:
        """Returns the list of VMs, which may be out of date by several seconds."""

    async def close(self) -> None:  # noqa: B027 - adapters without connections need none
        """Closes the adapter's connections."""
