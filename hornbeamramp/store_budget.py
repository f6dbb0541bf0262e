"""Rate limit for store calls of one process: a token bucket in front of the platform adapter."""

import asyncio
import heapq
import itertools
from datetime import timedelta

from hornbeamramp.clock import Clock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.ids import LeaseId
from hornbeamramp.platforms.base import Entry, ListedVm, Platform, WatchResult
from hornbeamramp.states import Step

__all__ = ["BudgetedPlatform"]

RENEWAL_PRIORITY, OTHER_PRIORITY = 0, 1


class BudgetedPlatform(Platform):
    """Forwards calls to another platform at a limited rate, lease renewals first.

    A call that would wait longer than ``longest_wait`` raises `StoreUnavailableError` with
    ``sent=False`` at once. Renewals are never refused. A watch counts as one call.

    `platform`
        Platform that carries out the calls.
    `clock`
        Clock by which the budget refills.
    `calls_per_second`
        Refill rate of the budget; more than 0.
    `burst`
        Maximum number of calls at once after a pause; at least 1
        (default: ``calls_per_second``, at least 1).
    `longest_wait`
        Longest predicted wait of a call for a token (default: 2 s).

    `calls_by_kind`
        Number of calls forwarded, by name of the method.
    `refused_by_kind`
        Number of calls refused because the budget was exhausted, by name of the method.
    """

    name = "budgeted"

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        calls_per_second: float,
        burst: int | None = None,
        longest_wait: timedelta = timedelta(seconds=2),
    ) -> None:
        if not calls_per_second > 0:
            raise ValueError("calls_per_second must be more than 0")
        if burst is not None and burst < 1:
            raise ValueError("burst must be at least 1")
        self._platform = platform
        self._clock = clock
        self._rate = calls_per_second
        self._burst = max(float(burst if burst is not None else calls_per_second), 1.0)
        self._longest_wait = longest_wait
        self._tokens = self._burst
        self._refilled_at = clock.boot_time()
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._grant_task: asyncio.Task[None] | None = None
        self.calls_by_kind: dict[str, int] = {}
        self.refused_by_kind: dict[str, int] = {}

    async def get(self, key: str) -> Entry | None:
        await self._take("get")
        return await self._platform.get(key)

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: LeaseId | None = None
    ) -> int:
        await self._take("put")
        return await self._platform.put(key, value, expected, lease)

    async def delete(self, key: str, expected: int) -> None:
        await self._take("delete")
        await self._platform.delete(key, expected)

    async def list_prefix(self, prefix: str) -> list[Entry]:
        await self._take("list_prefix")
        return await self._platform.list_prefix(prefix)

    async def watch(self, prefix: str, after: int, wait: timedelta) -> WatchResult:
        await self._take("watch")
        return await self._platform.watch(prefix, after, wait)

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        await self._take("grant_lease")
        return await self._platform.grant_lease(ttl)

    async def renew_lease(self, lease: LeaseId) -> bool:
        await self._take("renew_lease", RENEWAL_PRIORITY)
        return await self._platform.renew_lease(lease)

    async def revoke_lease(self, lease: LeaseId) -> None:
        await self._take("revoke_lease")
        await self._platform.revoke_lease(lease)

    async def list_vms(self) -> list[ListedVm]:
        await self._take("list_vms")
        return await self._platform.list_vms()

    async def close(self) -> None:
        await self._platform.close()

    async def _take(self, kind: str, priority: int = OTHER_PRIORITY) -> None:
        """Takes a token for a call, or waits for one in order of priority."""
        self._refill()
        if not self._waiting and self._tokens >= 1:
            self._tokens -= 1
        else:
            missing = len(self._waiting) + 1 - self._tokens
            if (
                priority != RENEWAL_PRIORITY
                and missing / self._rate > self._longest_wait.total_seconds()
            ):
                self.refused_by_kind[kind] = self.refused_by_kind.get(kind, 0) + 1
                message = f"{kind}: the budget of store calls is used up"
                raise StoreUnavailableError(Step.RENEW, "store", message, sent=False)
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (priority, next(self._sequence), turn))
            if self._grant_task is None or self._grant_task.done():
                self._grant_task = asyncio.create_task(self._grant_turns())
            await turn
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1

    async def _grant_turns(self) -> None:
        while self._waiting:
            self._refill()
            # Rounding may leave a refill just short of a whole token.
            if self._tokens < 1 - 1e-6:
                await self._clock.sleep(timedelta(seconds=(1 - self._tokens) / self._rate))
                continue
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                self._tokens -= 1
                turn.set_result(None)

    def _refill(self) -> None:
        now = self._clock.boot_time()
        elapsed = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        self._tokens = min(self._tokens + elapsed * self._rate, self._burst)
