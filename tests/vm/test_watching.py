"""Copies of prefixes of the store on links that are slow for what changes."""

import asyncio
import contextlib

from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.states import Step
from hornbeamramp.statestore import Change, Item, StateStore, WatchReply
from hornbeamramp.vm.watching import PrefixCache
from tests.model.virtual_time import LoopClock, run_in_virtual_time

KEY = "op/config"
CALL_TIMEOUT_S = 0.6
VALUE = b"x" * 1000
CHANGE_PERIOD_S = 0.3


class SlowLinkStore(StateStore):
    """One key that is written all the time, behind a link that sends ``rate`` values a second.

    Calls share the link, and fail once they have taken `CALL_TIMEOUT_S` and their wait.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.is_cut = False
        self.items = [Item(KEY, VALUE, 1, 1, 0)]
        self.calls: list[str] = []
        self._link = asyncio.Lock()
        self._written = asyncio.Event()

    async def write(self, count: int) -> None:
        for _ in range(count):
            await asyncio.sleep(CHANGE_PERIOD_S)
            self.write_now()

    def write_now(self) -> None:
        self.items.append(Item(KEY, VALUE, len(self.items) + 1, 1, 0))
        self._written.set()

    async def _send(self, name: str, values: int, limit_s: float) -> None:
        self.calls.append(name)
        try:
            async with asyncio.timeout(limit_s):
                if self.is_cut:
                    await asyncio.Event().wait()
                async with self._link:
                    await asyncio.sleep(values / self.rate)
        except TimeoutError as error:
            raise StoreUnavailableError(Step.JOURNAL, "store", "no answer") from error

    async def range(self, prefix):
        items = self.items
        last = items[-1]
        await self._send("range", 1, CALL_TIMEOUT_S)
        return [last], last.revision

    async def watch(self, prefix, after, wait):
        if len(self.items) <= after:
            self._written.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait.total_seconds()):
                    await self._written.wait()
        missed = self.items[after:]
        await self._send("watch", len(missed), CALL_TIMEOUT_S + wait.total_seconds())
        changes = tuple(Change(KEY, item.revision, item) for item in missed)
        return WatchReply(
            changes, max(after, len(self.items) if not missed else after + len(missed))
        )

    async def get(self, key):
        raise NotImplementedError

    commit = grant_lease = renew_lease = end_lease = get


def play(scenario, rate):
    """Runs a scenario with a store behind a slow link and a running copy."""

    async def main():
        store = SlowLinkStore(rate)
        cache = PrefixCache(store, LoopClock(), "op/", lambda changed: None)
        task = asyncio.create_task(cache.run())
        try:
            await scenario(store, cache)
        finally:
            task.cancel()

    run_in_virtual_time(main())


# Guards against a VM that never sees the newest configuration again after it has missed some: each
# answer to its watch is larger than the last one, which did not arrive in time.
def test_copy_catches_up_with_changes_that_were_missed():
    async def scenario(store, cache):
        await asyncio.sleep(1)
        writing = asyncio.create_task(store.write(40))
        store.is_cut = True
        await asyncio.sleep(6)
        store.is_cut = False
        await writing
        await asyncio.sleep(2)
        assert cache.item_by_key[KEY].revision == len(store.items)

    play(scenario, rate=8)


# Guards against answers that hold ever more versions, on a link that is too slow for all of them.
def test_copy_skips_versions_that_the_link_is_too_slow_for():
    async def scenario(store, cache):
        await store.write(60)
        seen = cache.item_by_key[KEY].revision
        assert len(store.items) - seen <= 4
        await asyncio.sleep(2)
        assert cache.item_by_key[KEY].revision == len(store.items)

    play(scenario, rate=2.5)


# Guards against lists that wait for each other on a slow link until all of them fail.
def test_refreshes_share_lists():
    async def scenario(store, cache):
        await asyncio.sleep(1)
        store.calls.clear()
        await asyncio.gather(*(cache.refresh() for _ in range(10)))
        assert store.calls.count("range") <= 2

    play(scenario, rate=3)


def test_refresh_has_what_was_written_before_it():
    async def scenario(store, cache):
        await asyncio.sleep(1)
        first = asyncio.create_task(cache.refresh())
        await asyncio.sleep(0.05)
        store.write_now()
        written = len(store.items)
        await cache.refresh()
        assert cache.item_by_key[KEY].revision >= written
        await first

    play(scenario, rate=5)
