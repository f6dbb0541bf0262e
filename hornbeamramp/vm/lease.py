"""The store lease of one process. When it expires, the store deletes the keys attached to it."""

from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.statestore import LeaseLostError, StateStore

__all__ = ["SAFETY_MARGIN", "VmLease"]

# Time after which other VMs may claim the pools of a failed one. If a renewal gets no reply within
# the store's time-out of 600 ms, there is still time for one that another VM relays.
LEASE_TTL = timedelta(milliseconds=1400)
RENEW_PERIOD = timedelta(milliseconds=350)
RETRY_DELAY = timedelta(milliseconds=100)
# The VM stops counting its lease as valid this long before it expires, so that orders already sent
# to workers arrive before another VM may claim the pool.
SAFETY_MARGIN = timedelta(milliseconds=300)

_log = logbook.Logger("lease")


class VmLease:
    """Acquires and renews a lease.

    Validity counts from the time at which the renewal was sent, on a clock that also runs while the
    machine is suspended.

    `on_granted`
        Called with the id of each lease granted.
    """

    def __init__(self, store: StateStore, clock: Clock, on_granted: Callable[[int], None]) -> None:
        self._store = store
        self._clock = clock
        self._on_granted = on_granted
        self.lease_id = 0
        self.valid_until = timedelta(0)
        self._is_renewal_failing = False

    def valid_until_for(self, lease_id: int) -> timedelta:
        """Returns the boot time until which a lease is certainly valid.

        ``timedelta.min`` if another lease has replaced it.
        """
        return self.valid_until if lease_id == self.lease_id else timedelta.min

    @property
    def is_valid(self) -> bool:
        return self._clock.boot_time() < self.valid_until

    async def run(self) -> None:
        """Acquires the lease and renews it until cancelled."""
        while True:
            sent_at = self._clock.boot_time()
            try:
                if self.lease_id:
                    await self._store.renew_lease(self.lease_id)
                else:
                    self.lease_id = await self._store.grant_lease(LEASE_TTL)
                    _log.info("lease {} granted", self.lease_id)
                    self.valid_until = sent_at + LEASE_TTL - SAFETY_MARGIN
                    self._on_granted(self.lease_id)
            except LeaseLostError:
                _log.warning(
                    "lease {} has expired or was revoked; acquiring a new one", self.lease_id
                )
                self.lease_id = 0
                continue
            except StoreUnavailableError as error:
                if not self._is_renewal_failing:
                    _log.warning("store unavailable, lease not renewed: {}", error)
                self._is_renewal_failing = True
                await self._clock.sleep(RETRY_DELAY)
                continue
            if self._is_renewal_failing:
                _log.info("store available again, lease {} renewed", self.lease_id)
                self._is_renewal_failing = False
            self.valid_until = sent_at + LEASE_TTL - SAFETY_MARGIN
            await self._clock.sleep(RENEW_PERIOD)

    async def end(self) -> None:
        """Ends the lease, so that the store deletes the keys attached to it at once."""
        lease, self.lease_id, self.valid_until = self.lease_id, 0, timedelta(0)
        if lease:
            try:
                await self._store.end_lease(lease)
            except StoreUnavailableError as error:
                _log.info("store unavailable, end of the lease not confirmed: {}", error)
