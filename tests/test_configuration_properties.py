"""Property tests of the tables: accepted changes survive any order of outages and restores."""

import asyncio
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from hornbeamramp.clock import ManualClock
from hornbeamramp.configuration import ConfigurationStore, StoreOutage
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.ids import ChangeId, PoolName, VmId
from hornbeamramp.platforms.memory import MemoryPlatform, StoreMode
from hornbeamramp.states import Step
from hornbeamramp.tables import Pool, Route

MEMBERS = 3
ROWS = [("pools", "p0"), ("pools", "p1"), ("routes", "r0"), ("routes", "r1")]

member = st.integers(0, MEMBERS - 1)
row = st.sampled_from(ROWS)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("propose"), member, row, st.booleans(), st.booleans()),
        st.tuples(st.just("propose"), member, row, st.just(False), st.booleans()),
        st.tuples(st.just("fork"), member, row, member, row, st.booleans()),
        st.tuples(st.just("lose_and_fail"), member, row, st.sampled_from([0, 0.15, 4])),
        st.tuples(st.just("up")),
        st.tuples(st.just("advance"), st.sampled_from([0, 0.05, 1, 4])),
        st.tuples(st.just("mode"), st.sampled_from(list(StoreMode))),
        st.tuples(st.just("lose"), st.integers(1, 3)),
        st.tuples(st.just("save")),
        st.tuples(st.just("restore")),
        st.tuples(st.just("cut"), member, st.booleans()),
        st.tuples(st.just("pull"), member, member),
    ),
    min_size=5,
    max_size=30,
)


class CutPlatform(MemoryPlatform):
    """A member's connection to the shared store, which a test can cut."""

    def __init__(self, store: MemoryPlatform, clock: ManualClock) -> None:
        super().__init__(clock)
        self.store = store
        self.cut = False

    def _check(self) -> None:
        if self.cut:
            raise StoreUnavailableError(Step.RENEW, "store", "cut", sent=False)

    async def get(self, key):
        self._check()
        return await self.store.get(key)

    async def put(self, key, value, expected, lease=None):
        self._check()
        return await self.store.put(key, value, expected, lease)

    async def delete(self, key, expected):
        self._check()
        await self.store.delete(key, expected)

    async def watch(self, prefix, after, wait):
        self._check()
        result = await self.store.watch(prefix, after, wait)
        self._check()
        return result


class ConfigCell:
    """Members with one store, and the result of each proposal."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryPlatform(self.clock)
        self.platforms = [CutPlatform(self.store, self.clock) for _ in range(MEMBERS)]
        self.members = [
            ConfigurationStore(platform, self.clock, VmId(f"vm{i}"), timedelta(seconds=4))
            for i, platform in enumerate(self.platforms)
        ]
        self.saved = []
        self.proposals = []
        self.seen_ids = set()
        self.rollbacks = []
        for config in self.members:
            config.subscribe(self._rollback_detector(config))

    def _rollback_detector(self, config):
        last = [(0, "")]

        def check(tables):
            order = (tables.revision, tables.digest)
            if order <= last[0]:
                # The store only logs exceptions of subscribers, so `check` reads this list.
                self.rollbacks.append((last[0], order))
            last[0] = order
            self.seen_ids |= {change.id for change in config._state.recent}

        return check

    async def run(self, script) -> None:
        tasks = [asyncio.create_task(config.run()) for config in self.members]
        await self.clock.advance(timedelta(0))
        self.propose(self.members[0], "pools", "p0", False)
        await self.clock.advance(timedelta(seconds=2))
        for step in script:
            await self.apply_step(*step)
        self.end_faults()
        await self.clock.advance(timedelta(seconds=10))
        for task in tasks:
            assert not task.done()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.check()

    async def apply_step(self, kind, *arguments) -> None:
        match kind, arguments:
            case "propose", (index, key, delete, settle):
                self.propose(self.members[index], *key, delete)
                # Without the wait, the proposal runs concurrently with the next steps.
                await (self.clock.advance(timedelta(0)) if settle else asyncio.sleep(0))
            case "lose_and_fail", (index, key, seconds):
                self.end_faults()
                self.store.answers_to_lose = 1
                self.propose(self.members[index], *key, False)
                await self.clock.advance(timedelta(0))
                self.store.mode = StoreMode.DOWN
                await self.clock.advance(timedelta(seconds=seconds))
            case "up", ():
                self.end_faults()
                await self.clock.advance(timedelta(seconds=2))
            case "fork", (one, key, other, other_key, delete):
                await self.fork(one, key, other, other_key, delete)
            case "advance", (seconds,):
                await self.clock.advance(timedelta(seconds=seconds))
            case "mode", (mode,):
                self.store.mode = mode
            case "lose", (count,):
                self.store.answers_to_lose = count
            case "save", ():
                self.saved = self.store.entries()
            case "restore", ():
                self.store.restore(self.saved)
            case "cut", (index, cut):
                self.platforms[index].cut = cut
            case "pull", (index, peer):

                async def call(request):
                    return self.members[peer].on_config_delta(request)

                await self.members[index].pull_from(call)

    def end_faults(self) -> None:
        self.store.mode, self.store.answers_to_lose = StoreMode.UP, 0
        for platform in self.platforms:
            platform.cut = False

    async def fork(self, one, key, other, other_key, delete) -> None:
        """Lets one member change the tables before a restore of the store, another one after."""
        self.end_faults()
        await self.clock.advance(timedelta(seconds=2))
        saved = self.store.entries()
        for index, platform in enumerate(self.platforms):
            platform.cut = index != one
        self.propose(self.members[one], *key, False)
        await self.clock.advance(timedelta(0))
        for index, platform in enumerate(self.platforms):
            platform.cut = index != other
        self.store.restore(saved)
        self.propose(self.members[other], *other_key, delete)
        await self.clock.advance(timedelta(0))

    def propose(self, config, table, name, delete) -> None:
        number = len(self.proposals)
        before, version = config.tables.row(table, name)
        if delete and before is None:
            return
        row = None
        if not delete and table == "pools":
            row = Pool(PoolName(name), policy=f"v{number}")
        elif not delete:
            row = Route(name, PoolName("p0"), run_ms=number + 1)
        change_id = ChangeId(f"c{number}")
        task = asyncio.create_task(config.propose(table, name, row, version, change_id))
        self.proposals.append((change_id, table, name, before, row, task))

    def check(self) -> None:
        assert not self.rollbacks, "a member went back to an older revision"
        tables = self.members[0].tables
        assert all(config.tables == tables for config in self.members)
        forked = any(config.fork_count for config in self.members)
        dropped = {change.id for config in self.members for change in config.dropped_changes}
        assert forked or not dropped
        values_by_row, replaced_by_row = {}, {}
        for change_id, table, name, before, row, task in self.proposals:
            result = task.result()
            if isinstance(result, Ok):
                values_by_row.setdefault((table, name), {})[change_id] = row
                replaced_by_row.setdefault((table, name), []).append(before)
            elif (
                isinstance(result.err_value, StoreOutage) and result.err_value.outcome != "unknown"
            ):
                assert change_id not in self.seen_ids, "reported as not run, yet in force"
        unknown_by_row = {}
        for change_id, table, name, _, row, task in self.proposals:
            if not isinstance(task.result(), Ok) and change_id in self.seen_ids:
                unknown_by_row.setdefault((table, name), []).append(row)
        for key, value_by_id in values_by_row.items():
            kept = [row for change_id, row in value_by_id.items() if change_id not in dropped]
            if not kept:
                continue
            final, _ = tables.row(*key)
            allowed = [*kept, *unknown_by_row.get(key, [])]
            assert final in allowed, "an accepted change was lost"
            replaced = [row for row in replaced_by_row[key] if row is not None]
            assert forked or final is None or final not in replaced, "a change was reverted"


@settings(max_examples=80, deadline=None, derandomize=True)
@given(steps)
def test_accepted_changes_are_never_lost_or_reverted(script):
    # Guards G8: a write-back, a fork or a lost reply that drops or reverts an accepted change.
    asyncio.run(ConfigCell().run(script))
