"""Proofs of how fresh a copy of the store is, and their renewal for calls."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.accounts import ConfigFreshness
from hornbeamramp.background import BackgroundTasks
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.states import Step
from hornbeamramp.vm.config_renewal import MAX_WAIT, ConfigRenewal
from hornbeamramp.vm.watching import PrefixCache
from tests.model.store import ModelStore, StoreView
from tests.model.virtual_time import LoopClock, run_in_virtual_time

KEY = "op/config"
BOUND = timedelta(seconds=5)


class WatchedStore:
    """A copy of the model's store, and the proofs of its freshness."""

    def __init__(self):
        self.clock = LoopClock()
        self.store = ModelStore(self.clock)
        self.store.put(KEY, b"first")
        self.view = StoreView(self.store)
        self.freshness = ConfigFreshness(BOUND)
        self.seen = []
        self.cache = PrefixCache(
            self.view, self.clock, "op/", self.on_change, on_current=self.freshness.record
        )

    def on_change(self, changed):
        self.seen.append(self.cache.item_by_key[KEY].value)

    def age_s(self):
        return self.freshness.age(self.clock.boot_time()).total_seconds()


def with_watch(scenario):
    async def main():
        watched = WatchedStore()
        task = asyncio.create_task(watched.cache.run())
        await asyncio.sleep(0.5)
        await scenario(watched)
        task.cancel()

    run_in_virtual_time(main())


def test_calm_watch_alone_keeps_the_proof_young():
    """Guards against store calls added for the proof while the watch works."""

    async def scenario(watched):
        ages = []
        for _ in range(200):
            await asyncio.sleep(0.05)
            ages.append(watched.age_s())
            assert not watched.freshness.needs_renewal(watched.clock.boot_time())
        assert max(ages) > 1.5

    with_watch(scenario)


def test_proof_counts_from_the_sending_of_the_call():
    """Guards against a slow answer that counts as fresh although it may lack later changes."""

    async def scenario(watched):
        watched.view.delay = timedelta(seconds=1.5)
        sent_at = watched.clock.boot_time()
        await watched.cache.refresh()
        assert watched.clock.boot_time() - sent_at == timedelta(seconds=1.5)
        assert watched.age_s() >= 1.5

    with_watch(scenario)


@pytest.mark.parametrize("fault", ["silent", "down"])
def test_proof_ages_while_the_watch_has_no_answer(fault):
    """Guards against a watch that is deaf, or fails, and still counts as proof."""

    async def scenario(watched):
        if fault == "down":
            watched.view.is_down = True
        else:
            watched.view.is_closed = True
        await asyncio.sleep(5)
        assert watched.age_s() > 4
        assert not watched.freshness.is_proved(watched.clock.boot_time())

    with_watch(scenario)


def test_listing_after_a_gap_of_the_watch_is_a_proof():
    async def scenario(watched):
        watched.store.put(KEY, b"second")
        watched.store.compact_history()
        await asyncio.sleep(0.1)
        assert watched.seen == [b"first", b"second"]
        assert watched.age_s() <= 0.1

    with_watch(scenario)


def test_change_is_applied_before_its_call_counts_as_proof():
    """Guards against a proof of a configuration that is not in force."""

    async def scenario(watched):
        def fail(changed):
            raise ValueError("not applied")

        watched.cache._on_change = fail
        proved_at = watched.clock.boot_time() - watched.freshness.age(watched.clock.boot_time())
        watched.store.put(KEY, b"second")
        with pytest.raises(ValueError, match="not applied"):
            await watched.cache.refresh()
        age = watched.freshness.age(watched.clock.boot_time())
        assert watched.clock.boot_time() - age == proved_at

    with_watch(scenario)


def test_older_list_is_a_proof_but_undoes_nothing():
    """Guards against a configuration that goes back, as a slow list arrives after the watch."""

    async def scenario(watched):
        listed = await watched.view.range("op/")

        async def answer_late(prefix):
            await asyncio.sleep(0.1)
            return listed

        watched.view.range = answer_late
        watched.store.put(KEY, b"second")
        await watched.cache.refresh()
        assert watched.seen == [b"first", b"second"]
        assert watched.cache.item_by_key[KEY].value == b"second"
        assert watched.age_s() == pytest.approx(0.1)

    with_watch(scenario)


class Reads:
    """Reads of a configuration, each of which takes ``duration_s`` and fails if told so."""

    def __init__(self, clock):
        self.clock = clock
        self.started = 0
        self.duration_s = 0.1
        self.fails = False
        self.is_hopeless = False
        self.background = BackgroundTasks("test", None)
        self.renewal = ConfigRenewal(self.read, lambda: self.is_hopeless, clock, self.background)

    async def read(self):
        self.started += 1
        await asyncio.sleep(self.duration_s)
        if self.fails:
            raise StoreUnavailableError(Step.JOURNAL, "store", "no answer")

    async def wait(self, timeout_s=3.0):
        """Waits for a renewal and returns the seconds waited."""
        started_at = self.clock.boot_time()
        await self.renewal.wait(timedelta(seconds=timeout_s))
        return (self.clock.boot_time() - started_at).total_seconds()


@pytest.fixture
def with_reads():
    def run(scenario):
        async def main():
            reads = Reads(LoopClock())
            await scenario(reads)
            await reads.background.cancel()

        run_in_virtual_time(main())

    return run


def test_crowd_of_calls_shares_one_read(with_reads):
    """Load: a thousand calls at once find the proof too old."""

    async def scenario(reads):
        waits = await asyncio.gather(*(reads.wait() for _ in range(1000)))
        assert reads.started == 1
        assert max(waits) == pytest.approx(0.1)

    with_reads(scenario)


def test_crowd_during_an_outage_makes_few_reads(with_reads):
    """Load: a hundred calls a second while the store refuses each call at once."""

    async def scenario(reads):
        reads.fails, reads.duration_s = True, 0.001
        for _ in range(1000):
            await reads.wait()
            await asyncio.sleep(0.01)
        assert reads.started <= 45

    with_reads(scenario)


def test_call_waits_for_a_hanging_read_only_shortly(with_reads):
    """Guards against calls held until their deadline that could be served by another VM."""

    async def scenario(reads):
        reads.duration_s = 60
        assert await reads.wait() == pytest.approx(MAX_WAIT.total_seconds())
        assert await reads.wait(0.2) == pytest.approx(0.2)
        reads.is_hopeless = True
        assert await reads.wait() == 0
        assert reads.started == 1

    with_reads(scenario)


def test_renewal_works_again_after_a_failed_one(with_reads):
    async def scenario(reads):
        reads.fails = True
        await reads.wait()
        reads.fails = False
        await asyncio.sleep(0.3)
        await reads.wait()
        assert reads.started == 2

    with_reads(scenario)


def test_key_removed_before_a_refresh_stays_removed_after_an_earlier_watch():
    """Guards against an item that comes back as a watch, answered after a newer list, reports that
    it was written, and no later watch that it was removed."""

    async def scenario(watched):
        watched.store.put("op/notice", b"notice")
        reply = await watched.view.watch("op/", 0, timedelta(0))
        watched.store.remove("op/notice")
        await watched.cache.refresh()
        assert "op/notice" not in watched.cache.item_by_key

        async def answer_late(prefix, after, wait):
            watched.view.watch = watch
            return reply

        watch, watched.view.watch = watched.view.watch, answer_late
        await asyncio.sleep(3)
        assert "op/notice" not in watched.cache.item_by_key

    with_watch(scenario)
