"""The watch of the configuration on a link that its answers fill."""

import asyncio
import json
from datetime import timedelta

import pytest

from hornbeamramp.accounts import ConfigFreshness
from hornbeamramp.clock import SystemClock
from hornbeamramp.platform.store import PlatformStore
from hornbeamramp.vm.watching import WATCH_WAIT, PrefixCache
from tests.model.store import ModelStore
from tests.platform.wire_server import serve_store
from tests.soak.proxy import Link, LinkState

KEY = "op/config"
# Of the smallest VMs.
LINK_BYTES_PER_S = 10e6 / 8
# Bytes of a configuration of 1,400 queues.
CONFIG_BYTES = 320_000
BOUND = timedelta(seconds=5)
# Time in which a new configuration is in force.
APPLY_S = 3.0


class SlowWatch:
    """A watch of the configuration behind a slow link."""

    def __init__(self, link, client, store, clock):
        self.link = link
        self.clock = clock
        self.freshness = ConfigFreshness(BOUND)
        self.seen_version = -1
        self.version = 0
        self._store = store
        self.cache = PrefixCache(
            client,
            clock,
            "op/",
            self._on_change,
            on_current=self.freshness.record,
            watch_wait=self.freshness.max_watch_wait(WATCH_WAIT),
        )

    def configure(self):
        self.version += 1
        padding = "x" * CONFIG_BYTES
        self._store.put(KEY, json.dumps({"version": self.version, "routes": padding}).encode())

    def _on_change(self, changed):
        self.seen_version = json.loads(self.cache.item_by_key[KEY].value)["version"]

    def is_proved(self):
        return self.freshness.is_proved(self.clock.boot_time())


@pytest.fixture
def watch_slowly():
    """Runs a scenario with a watch that has read the first configuration."""

    def run(scenario):
        async def main():
            clock = SystemClock()
            store = ModelStore(clock)
            address, runner = await serve_store(store, page_size=500)
            link = Link("127.0.0.1", address)
            await link.start()
            link.answer_bytes_per_s = LINK_BYTES_PER_S
            client = PlatformStore(link.address, clock)
            watch = SlowWatch(link, client, store, clock)
            watch.configure()
            running = asyncio.create_task(watch.cache.run())
            try:
                await asyncio.sleep(1.0)
                assert watch.seen_version == watch.version
                await scenario(watch)
            finally:
                running.cancel()
                await client.close()
                await link.stop()
                await runner.cleanup()

        asyncio.run(main())

    return run


async def assert_current_in_time(watch):
    await asyncio.sleep(APPLY_S)
    assert watch.seen_version == watch.version
    assert watch.is_proved()


def test_changes_that_fill_the_link_are_followed(watch_slowly):
    """Guards against a watch whose answers hold each of the versions that it missed: they take
    longer than the call may, the next holds more, and callers with keys are refused for good."""

    async def scenario(watch):
        for _ in range(40):
            watch.configure()
            await asyncio.sleep(0.2)
        await assert_current_in_time(watch)

    watch_slowly(scenario)


def test_changes_during_a_cut_are_caught_up_with(watch_slowly):
    """Guards against the same after the link to the store was down for some changes."""

    async def scenario(watch):
        watch.link.set(LinkState.REFUSED)
        for _ in range(8):
            watch.configure()
            await asyncio.sleep(0.1)
        watch.link.set(LinkState.OPEN)
        await assert_current_in_time(watch)

    watch_slowly(scenario)
