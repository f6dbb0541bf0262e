"""The store lease of one process. Its keys vanish when the process no longer renews it."""

from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.statestore import LeaseLostError, StateStore

__all__ = ["VmLease"]

# Time after which another VM may claim the pools of a dead one. A renewal without an answer within
# the store's time-out of 600 ms still leaves time for one through another VM.
LEASE_TTL = timedelta(milliseconds=1400)
RENEW_PERIOD = timedelta(milliseconds=350)
RETRY_PAUSE = timedelta(milliseconds=100)
# Orders on their way when the lease is believed valid arrive before others may claim.
SAFETY_MARGIN = timedelta(milliseconds=300)

_log = logbook.Logger("lease")


class VmLease:
    """Keeps a lease. A renewal counts from its sending, on a clock that runs while suspended.

    `on_new`
        Called with each new lease id.
    """

    def __init__(self, store: StateStore, clock: Clock, on_new: Callable[[int], None]) -> None:
        self._store = store
        self._clock = clock
        self._on_new = on_new
        self.lease_id = 0
        self.valid_until = timedelta(0)
        self._is_failing = False

    def guard(self, lease_id: int) -> timedelta:
        """Returns until when a lease certainly holds; the distant past if it was replaced."""
        return self.valid_until if lease_id == self.lease_id else timedelta.min

    @property
    def is_valid(self) -> bool:
        return self._clock.boot_time() < self.valid_until

    async def run(self) -> None:
        """Renews until cancelled."""
        while True:
            sent_at = self._clock.boot_time()
            try:
                if self.lease_id:
                    await self._store.renew_lease(self.lease_id)
                else:
                    self.lease_id = await self._store.grant_lease(LEASE_TTL)
                    _log.info("lease {} granted", self.lease_id)
                    self.valid_until = sent_at + LEASE_TTL - SAFETY_MARGIN
                    self._on_new(self.lease_id)
            except LeaseLostError:
                _log.warning("lease {} has ended", self.lease_id)
                self.lease_id = 0
                continue
            except StoreUnavailableError as error:
                if not self._is_failing:
                    _log.warning("store lost: the lease can't be renewed: {}", error)
                self._is_failing = True
                await self._clock.sleep(RETRY_PAUSE)
                continue
            if self._is_failing:
                _log.info("store regained: lease {} renewed", self.lease_id)
                self._is_failing = False
            self.valid_until = sent_at + LEASE_TTL - SAFETY_MARGIN
            await self._clock.sleep(RENEW_PERIOD)

    async def end(self) -> None:
        """Ends the lease so that its keys vanish at once."""
        lease, self.lease_id, self.valid_until = self.lease_id, 0, timedelta(0)
        if lease:
            try:
                await self._store.end_lease(lease)
            except StoreUnavailableError as error:
                _log.info("end of the lease not confirmed: {}", error)
