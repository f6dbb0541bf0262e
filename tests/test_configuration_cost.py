"""Cost of 2,600 changes a day for a member, in bytes and store calls; -s shows the figures."""

import asyncio
from datetime import timedelta

import msgspec

from hornbeamramp.configuration import ConfigurationStore
from hornbeamramp.ids import ChangeId, DataCentreId, PoolName, RouteName, VmId
from hornbeamramp.platforms.memory import MemoryPlatform
from hornbeamramp.tables import Pool, PoolUpstream, Route

CHANGES = 2_600
DAY_SECONDS = 86_400


class CountingPlatform(MemoryPlatform):
    """Forwards a member's reads to the store; counts the calls and the bytes of the values."""

    def __init__(self, store, clock) -> None:
        super().__init__(clock)
        self.store, self.read_bytes, self.calls = store, 0, 0

    async def get(self, key):
        self.calls += 1
        entry = await self.store.get(key)
        self.read_bytes += len(entry.value) if entry else 0
        return entry

    async def watch(self, prefix, after, wait):
        self.calls += 1
        result = await self.store.watch(prefix, after, wait)
        self.read_bytes += sum(len(entry.value) for entry in result.changed)
        return result


async def add_tables(config) -> None:
    """Adds 40 pools with 20 upstreams each, 800 in all, and 200 routes."""
    for number in range(40):
        name = PoolName(f"pool-{number:03}")
        upstreams = [
            PoolUpstream(
                f"worker-{number:03}-{n:02}", DataCentreId("gebze"), f"10.0.{number}.{n}:90"
            )
            for n in range(20)
        ]
        change_id = ChangeId(f"setup-pool-{number}")
        assert (await config.propose("pools", name, Pool(name, upstreams), None, change_id)).is_ok()
    for number in range(200):
        route = Route(RouteName(f"route-{number:03}"), PoolName(f"pool-{number % 40:03}"))
        change_id = ChangeId(f"setup-route-{number}")
        assert (await config.propose("routes", route.name, route, None, change_id)).is_ok()


def test_a_days_changes_are_sent_as_deltas(store, clock, run):
    # Guards the limit of 9 KB/s of control traffic per member, which sending whole tables at each
    # change would exceed.
    async def scenario():
        writer = ConfigurationStore(store, clock, VmId("writer"))
        await add_tables(writer)
        platform = CountingPlatform(store, clock)
        follower = ConfigurationStore(platform, clock, VmId("follower"))
        isolated = ConfigurationStore(platform, clock, VmId("isolated"))
        peer_bytes = 0

        async def call(request):
            nonlocal peer_bytes
            reply = writer.on_config_delta(request)
            peer_bytes += len(msgspec.msgpack.encode(request)) + len(msgspec.msgpack.encode(reply))
            return reply

        await isolated.pull_from(call)
        task = asyncio.create_task(follower.run())
        await clock.advance(timedelta(seconds=1))
        table_bytes = len(msgspec.msgpack.encode(writer.tables))
        platform.read_bytes, platform.calls, peer_bytes = 0, 0, 0
        writes = store.calls_by_name["put"]
        for number in range(CHANGES):
            # One change in five is to a pool, the others to a route.
            if number % 5:
                name = f"route-{number % 200:03}"
                row, version = writer.tables.row("routes", name)
                row = msgspec.structs.replace(row, run_ms=number + 1)
                change = writer.propose("routes", name, row, version, ChangeId(f"day-{number}"))
            else:
                name = f"pool-{number % 40:03}"
                row, version = writer.tables.row("pools", name)
                row = msgspec.structs.replace(row, policy=f"policy-{number}")
                change = writer.propose("pools", name, row, version, ChangeId(f"day-{number}"))
            assert (await change).is_ok()
            await isolated.pull_from(call)
            await clock.advance(timedelta(milliseconds=200))
        task.cancel()
        assert follower.tables == isolated.tables == writer.tables
        watch_rate = platform.read_bytes / DAY_SECONDS
        print(
            f"\n{CHANGES} changes, tables of {table_bytes} bytes"
            f"\nfrom a peer: {peer_bytes / CHANGES:.0f} bytes a change"
            f"\nfrom the store: {platform.read_bytes / CHANGES:.0f} bytes a change,"
            f" {watch_rate:.0f} bytes/s over a day, {platform.calls / CHANGES:.2f} calls a change"
            f"\nby the writer: {(store.calls_by_name['put'] - writes) / CHANGES:.3f} puts a change"
        )
        assert (store.calls_by_name["put"] - writes) / CHANGES < 1.05
        assert peer_bytes / CHANGES < 1_000
        assert platform.read_bytes / CHANGES < 48 * 1024
        assert watch_rate < 2_000

    run(scenario())
