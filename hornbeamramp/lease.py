"""The store lease of this process, and the type of ownership proofs."""

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
    """Permission to start work of a shard until the boot time ``valid_until``."""

    kind: ProofKind
    valid_until: timedelta


class ProcessLease:
    """The single store lease of a process, renewed while `run` is active.

    `platform`, `clock`
        Store and clock.
    `timing`
        Lifetime, renewal interval and drift margin.
    `register`
        Writes the member record under a newly granted lease. The lease is valid only once this
        call has returned, because other members treat a missing member record as the end of the
        lease. It may raise `StoreUnavailableError` or `ConflictError` and is then called again.
    """

    def __init__(
        self, platform: Platform, clock: Clock, timing: TimingSettings, register: Register
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._register = register
        self.ttl = timedelta(milliseconds=timing.lease_ttl_ms)
        self._renew_interval = timedelta(milliseconds=timing.renew_ms)
        self._drift_margin = timedelta(milliseconds=timing.drift_margin_ms)
        self._granted_id: LeaseId | None = None
        self._registered = False
        self._valid_until = timedelta(0)
        self._store_available_since: timedelta | None = None

    @property
    def id(self) -> LeaseId | None:
        """The current lease, ``None`` if there is none or its member record is not written yet."""
        return self._granted_id if self._registered else None

    @property
    def valid_until(self) -> timedelta:
        """Boot time until which the store keeps the current lease, less the clock drift margin."""
        return self._valid_until

    def is_valid(self) -> bool:
        """Returns whether the lease has a member record and has not expired."""
        return self.id is not None and self._clock.boot_time() < self._valid_until

    def store_available_for(self) -> timedelta | None:
        """Returns how long renewals have succeeded without a failure, ``None`` after a failure."""
        if self._store_available_since is None:
            return None
        return self._clock.boot_time() - self._store_available_since

    async def run(self) -> None:
        """Renews the lease until cancelled."""
        while True:
            started_at = self._clock.boot_time()
            succeeded = await self.renew()
            # Retries sooner after a failure: the lease outlives only two failed renewals.
            interval = self._renew_interval if succeeded else self._renew_interval / 2
            await self._clock.sleep(started_at + interval - self._clock.boot_time())

    async def renew(self) -> bool:
        """Renews the lease, or obtains a new one if it has ended. Returns whether it succeeded."""
        try:
            if self._granted_id is not None and not await self._renew_granted():
                log.warning("lease {} has ended; requesting a new one", self._granted_id)
                self._granted_id = None
                self._registered = False
            if self._granted_id is None:
                await self._grant()
            if not self._registered:
                await self._register(self._granted_id)
                self._registered = True
        except StoreUnavailableError as error:
            if self._store_available_since is not None:
                log.warning("store unavailable, lease not renewed: {}", error.message)
            self._store_available_since = None
            return False
        except ConflictError as error:
            # The store is available. The record of an earlier process of this VM is removed when
            # the lease of that process ends.
            log.info("member record not written, will retry: {}", error.message)
            self._mark_store_available()
            return False
        self._mark_store_available()
        return True

    async def revoke(self) -> None:
        """Revokes the lease at the store. Call it after `run` has been cancelled.

        A failure is logged; the lease then expires after its TTL.
        """
        lease, self._granted_id, self._registered = self._granted_id, None, False
        if lease is None:
            return
        try:
            await self._platform.revoke_lease(lease)
        except StoreUnavailableError as error:
            log.info("could not revoke lease {}, it will expire: {}", lease, error.message)

    async def _renew_granted(self) -> bool:
        sent_at = self._clock.boot_time()
        if not await self._platform.renew_lease(self._granted_id):
            return False
        self._valid_until = sent_at + self.ttl - self._drift_margin
        return True

    async def _grant(self) -> None:
        sent_at = self._clock.boot_time()
        self._granted_id = await self._platform.grant_lease(self.ttl)
        self._registered = False
        self._valid_until = sent_at + self.ttl - self._drift_margin

    def _mark_store_available(self) -> None:
        if self._store_available_since is None:
            self._store_available_since = self._clock.boot_time()
