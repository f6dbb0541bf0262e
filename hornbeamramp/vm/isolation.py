"""Notices that this VM is cut off, so that callers are sent to VMs that can serve them.

A VM without the store and without a VM of another data centre can serve nobody. A store that is
away for all is another matter: the VMs still reach each other, and each answers its callers.
"""

import asyncio
import itertools
from collections.abc import Callable
from datetime import timedelta

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.errors import SchedulerError
from hornbeamramp.rpc import PeerClient
from hornbeamramp.states import Step
from hornbeamramp.vm.messages import PingReply, PingRequest

__all__ = ["IsolationDetector"]

# Period of the checks; a few of them fit into the second between two readiness probes.
CHECK_PERIOD = timedelta(milliseconds=100)
# Age of the store's last answer from which other VMs are asked. The VM's lease is renewed every
# 350 ms and usually answered within 4 ms.
SUSPICIOUS_AGE = timedelta(milliseconds=450)
# Other VMs answer within 2 ms; a lost packet is sent again after some 200 ms.
PING_TIMEOUT = timedelta(milliseconds=250)
# VMs asked at a time. One answer is enough; more only cost traffic.
MAX_PINGED = 6

_log = logbook.Logger("isolation")


class IsolationDetector:
    """Tells whether this VM reaches nobody outside.

    `last_store_answer`
        Returns the boot time of the store's latest answer, by whatever way.
    `outside`
        Returns the addresses of VMs whose answer means that this VM is not cut off.
    """

    def __init__(
        self,
        peers: PeerClient,
        clock: Clock,
        last_store_answer: Callable[[], timedelta],
        outside: Callable[[], list[str]],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._last_store_answer = last_store_answer
        self._outside = outside
        self._turn = itertools.count()
        self.is_isolated = False

    async def run(self) -> None:
        """Checks until cancelled."""
        while True:
            is_isolated = await self._check()
            if is_isolated != self.is_isolated:
                self.is_isolated = is_isolated
                age = self._clock.boot_time() - self._last_store_answer()
                state = "cut off" if is_isolated else "no longer cut off"
                _log.warning("{}: the store last answered {} ago", state, age)
            await self._clock.sleep(CHECK_PERIOD)

    async def _check(self) -> bool:
        if self._clock.boot_time() - self._last_store_answer() < SUSPICIOUS_AGE:
            return False
        addresses = self._outside()
        if not addresses:
            return False
        # Other VMs each time, as those that were asked last may have ended.
        first = next(self._turn) * MAX_PINGED % len(addresses)
        asked = (addresses[first:] + addresses[:first])[:MAX_PINGED]
        pings = [asyncio.ensure_future(self._ping(address)) for address in asked]
        try:
            for ping in asyncio.as_completed(pings):
                if await ping:
                    return False
        finally:
            for ping in pings:
                ping.cancel()
        return True

    async def _ping(self, address: str) -> bool:
        try:
            await self._peers.call(address, PingRequest(), PING_TIMEOUT, Step.FORWARD)
        except SchedulerError as error:
            _log.debug("no answer to a ping: {}", error)
            return False
        return True

    @staticmethod
    async def serve(request: PingRequest) -> PingReply:
        """Answers another VM's ping."""
        return PingReply()
