"""Detects that this VM is isolated by a network partition, so that callers use other VMs.

A VM that reaches neither the store nor a VM of another data centre can't serve callers. An outage
of the store alone doesn't count: the VMs still reach each other, and each answers its callers.
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

# Short enough for several checks between two readiness probes, which are one second apart.
CHECK_PERIOD = timedelta(milliseconds=100)
# Other VMs are pinged if the store's last answer is older. The VM's lease is renewed every 350 ms,
# and the store usually answers within 4 ms.
STORE_ANSWER_MAX_AGE = timedelta(milliseconds=450)
# Other VMs answer within 2 ms; TCP retransmits a lost packet after some 200 ms.
PING_TIMEOUT = timedelta(milliseconds=250)
# A check that takes longer than its pings, or begins later than planned, by this much tells
# nothing: the event loop was busy, and the answers may wait to be read.
MAX_LAG = timedelta(milliseconds=250)
# Most checks in a row that are skipped for it: a busy VM may be cut off as well.
MAX_SKIPPED = 1
# Iterations of the event loop in which an answer that has arrived is read and noted.
READ_ITERATIONS = 3
# VMs pinged in one check. One answer is enough; more pings only cost traffic.
MAX_PINGS = 6

_log = logbook.Logger("isolation")


class IsolationDetector:
    """Tells whether this VM reaches neither the store nor the VMs that it pings.

    `last_store_answer_at`
        Returns the boot time of the store's last answer, whether direct or relayed.
    `ping_targets`
        Returns the addresses of VMs whose answer shows that this VM is not isolated.
    """

    def __init__(
        self,
        peers: PeerClient,
        clock: Clock,
        last_store_answer_at: Callable[[], timedelta],
        ping_targets: Callable[[], list[str]],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._last_store_answer_at = last_store_answer_at
        self._ping_targets = ping_targets
        self._round = itertools.count()
        self.is_isolated = False

    async def run(self) -> None:
        """Checks until cancelled."""
        skipped = 0
        while True:
            due_at = self._clock.boot_time() + CHECK_PERIOD
            await self._clock.sleep(CHECK_PERIOD)
            started_at = self._clock.boot_time()
            is_isolated = await self._check()
            lag = self._clock.boot_time() - started_at - PING_TIMEOUT
            if is_isolated and max(lag, started_at - due_at) > MAX_LAG and skipped < MAX_SKIPPED:
                if not skipped:
                    _log.info("isolation not checked, the event loop is busy")
                skipped += 1
                continue
            skipped = 0
            if is_isolated != self.is_isolated:
                self.is_isolated = is_isolated
                age = self._clock.boot_time() - self._last_store_answer_at()
                state = "VM isolated" if is_isolated else "VM no longer isolated"
                _log.warning("{}: the store last answered {} ago", state, age)

    async def _check(self) -> bool:
        if self._has_recent_store_answer():
            return False
        addresses = self._ping_targets()
        if not addresses:
            return False
        # Each check pings the next VMs in turn, as those of the last check may have stopped.
        first = next(self._round) * MAX_PINGS % len(addresses)
        targets = (addresses[first:] + addresses[:first])[:MAX_PINGS]
        pings = [asyncio.ensure_future(self._ping(address)) for address in targets]
        try:
            for ping in asyncio.as_completed(pings):
                if await ping:
                    return False
        finally:
            for ping in pings:
                ping.cancel()
        # The store may have answered meanwhile, and its answer may wait to be read.
        for _ in range(READ_ITERATIONS):
            await asyncio.sleep(0)
        return not self._has_recent_store_answer()

    def _has_recent_store_answer(self) -> bool:
        return self._clock.boot_time() - self._last_store_answer_at() < STORE_ANSWER_MAX_AGE

    async def _ping(self, address: str) -> bool:
        try:
            await self._peers.call(address, PingRequest(), PING_TIMEOUT, Step.FORWARD)
        except SchedulerError as error:
            _log.debug("ping failed: {}", error)
            return False
        return True

    @staticmethod
    async def serve(request: PingRequest) -> PingReply:
        """Answers another VM's ping."""
        return PingReply()
