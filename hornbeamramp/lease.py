"""The store lease of this process, and proofs of ownership that rest on it."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.errors import ConflictError, StoreUnavailableError
from hornbeamramp.ids import LeaseId
from hornbeamramp.platforms.base import Platform
from hornbeamramp.settings import TimingSettings
from hornbeamramp.states import ProofKind

__all__ = ["OwnershipProof", "ProcessLease"]

log = logbook.Logger("member")

Register = Callable[[LeaseId], Awaitable[None]]


class OwnershipProof(msgspec.Struct, frozen=True):
    """Until when this process may start work. ``valid_until`` is a boot time."""

    kind: ProofKind
    valid_until: timedelta


class ProcessLease:
    """The one store lease of a process, renewed as long as `run` runs.

    `platform`, `clock`
        Store and source of time.
    `timing`
        Lifetime, renewal interval and drift margin.
    `register`
        Writes the member record under a newly granted lease. The lease counts only after it has
        returned: other members take a missing member record as the end of the lease. May raise
        `StoreUnavailableError` or `ConflictError`; it is then called again.
    """

    def __init__(
        self, platform: Platform, clock: Clock, timing: TimingSettings, register: Register
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._register = register
        self.ttl = timedelta(milliseconds=timing.lease_ttl_ms)
        self._interval = timedelta(milliseconds=timing.renew_ms)
        self._margin = timedelta(milliseconds=timing.drift_margin_ms)
        self._granted: LeaseId | None = None
        self._registered = False
        self._valid_until = timedelta(0)
        self._available_since: timedelta | None = None

    @property
    def id(self) -> LeaseId | None:
        """The current lease, ``None`` while there is none with a member record."""
        return self._granted if self._registered else None

    @property
    def valid_until(self) -> timedelta:
        """Boot time up to which the store keeps the current lease, drift margin deducted."""
        return self._valid_until

    def is_valid(self) -> bool:
        """Returns whether the lease has a member record and has not run out."""
        return self.id is not None and self._clock.boot_time() < self._valid_until

    def store_available_for(self) -> timedelta | None:
        """Returns how long renewals have succeeded without a failure, ``None`` after a failure."""
        if self._available_since is None:
            return None
        return self._clock.boot_time() - self._available_since

    async def run(self) -> None:
        """Keeps the lease until cancelled."""
        while True:
            began = self._clock.boot_time()
            succeeded = await self.renew()
            # A failed renewal is repeated sooner, as the lease outlives only two of them.
            interval = self._interval if succeeded else self._interval / 2
            await self._clock.sleep(began + interval - self._clock.boot_time())

    async def renew(self) -> bool:
        """Renews the lease, or is granted a new one if it has ended. Returns whether it did."""
        try:
            if self._granted is not None and not await self._renew_granted():
                log.warning("lease {} has ended", self._granted)
                self._granted = None
                self._registered = False
            if self._granted is None:
                await self._grant()
            if not self._registered:
                await self._register(self._granted)
                self._registered = True
        except StoreUnavailableError as error:
            if self._available_since is not None:
                log.warning("store unavailable: {}", error.message)
            self._available_since = None
            return False
        except ConflictError as error:
            # The store answers; the record of an earlier process of this VM ends with its lease.
            log.info("record not written yet: {}", error.message)
            self._note_available()
            return False
        self._note_available()
        return True

    async def revoke(self) -> None:
        """Ends the lease at the store, once `run` has been cancelled.

        A failure is logged; the lease then runs out by itself.
        """
        lease, self._granted, self._registered = self._granted, None, False
        if lease is None:
            return
        try:
            await self._platform.revoke_lease(lease)
        except StoreUnavailableError as error:
            log.info("lease {} not revoked: {}", lease, error.message)

    async def _renew_granted(self) -> bool:
        sent = self._clock.boot_time()
        if not await self._platform.renew_lease(self._granted):
            return False
        self._valid_until = sent + self.ttl - self._margin
        return True

    async def _grant(self) -> None:
        sent = self._clock.boot_time()
        self._granted = await self._platform.grant_lease(self.ttl)
        self._registered = False
        self._valid_until = sent + self.ttl - self._margin

    def _note_available(self) -> None:
        if self._available_since is None:
            self._available_since = self._clock.boot_time()
