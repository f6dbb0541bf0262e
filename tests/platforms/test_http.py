"""Tests of the HTTP platform adapter against the stand-in platform on loopback sockets."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from datetime import timedelta

import aiohttp
import pytest

from hornbeamramp.clock import SystemClock
from hornbeamramp.errors import ConflictError, StoreUnavailableError
from hornbeamramp.ids import LeaseId, VmId
from hornbeamramp.platforms import PLATFORMS, ListedVm
from hornbeamramp.platforms.http import HttpPlatform
from hornbeamramp.standins.platform import PlatformServer
from hornbeamramp.states import Step

SECOND = timedelta(seconds=1)
LONG = 10 * SECOND


@contextlib.asynccontextmanager
async def serving(timeout: timedelta = LONG):
    server = PlatformServer("127.0.0.1:0")
    await server.start()
    client = PLATFORMS.find("http")(server.address, timeout, SystemClock())
    try:
        yield server, client
    finally:
        await client.close()
        await server.stop()


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(30):
        while not condition():  # noqa: ASYNC110 - the condition depends on the server's state
            await asyncio.sleep(0.01)


async def set_faults(server: PlatformServer, **faults: object) -> int:
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{server.address}/v1/faults", json=faults) as response,
    ):
        return response.status


async def call_counts(server: PlatformServer) -> dict[str, dict[str, int]]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{server.address}/v1/calls") as response,
    ):
        return await response.json()


def test_compare_and_swap_reports_the_current_version(run):
    """Guards against a lost update, and a conflict that does not report the current version."""

    async def scenario():
        async with serving() as (_, client):
            first = await client.put("a", b"1", None)
            second = await client.put("a", b"2", first)
            with pytest.raises(ConflictError) as caught:
                await client.put("a", b"3", first)
            assert caught.value.version == second
            with pytest.raises(ConflictError):
                await client.put("a", b"3", None)
            with pytest.raises(ConflictError):
                await client.delete("a", first)
            await client.delete("a", second)
            assert await client.get("a") is None
            with pytest.raises(ConflictError) as caught:
                await client.put("a", b"4", second)
            assert caught.value.version is None

    run(scenario())


@pytest.mark.parametrize("key", ["shards/a@b", "a b%2F?#&=/ü", "x//y", "a/./b", "a/../b"])
def test_key_and_value_arrive_unchanged(run, key):
    """Guards against keys or binary values altered by URL encoding or JSON."""

    async def scenario():
        async with serving() as (server, client):
            value = bytes(range(256))
            version = await client.put(key, value, None)
            assert [entry.key for entry in server.platform.entries()] == [key]
            entry = await client.get(key)
            assert (entry.key, entry.value, entry.version) == (key, value, version)
            assert await client.list_prefix(key[:2]) == [entry]
            assert (await client.watch(key, 0, SECOND)).changed == [entry]

    run(scenario())


def test_entry_follows_its_lease(run):
    """Guards against entries that outlive their process, and writes with an ended lease."""

    async def scenario():
        async with serving() as (_, client):
            lease = await client.grant_lease(60 * SECOND)
            await client.put("a", b"1", None, lease)
            assert (await client.get("a")).lease == lease
            assert await client.renew_lease(lease)
            await client.revoke_lease(lease)
            await client.revoke_lease(lease)
            assert await client.get("a") is None
            assert not await client.renew_lease(lease)
            with pytest.raises(ConflictError) as caught:
                await client.put("b", b"1", None, lease)
            assert caught.value.step is Step.RENEW
            assert not await client.renew_lease(LeaseId("a/b?c"))

    run(scenario())


def test_watch_wakes_on_a_change_and_reports_deletions(run):
    """Guards against a member that misses a configuration change."""

    async def scenario():
        async with serving() as (_, client):
            version = await client.put("p/a", b"1", None)
            first = await client.watch("p/", 0, SECOND)
            waiting = asyncio.create_task(client.watch("p/", first.revision, LONG))
            other = await client.put("p/b", b"2", None)
            assert [entry.version for entry in (await waiting).changed] == [other]
            await client.delete("p/a", version)
            assert (await client.watch("p/", other, LONG)).deleted == ["p/a"]

    run(scenario())


def test_lost_answer_is_not_taken_for_a_conflict(run):
    """Guards against a retried write that conflicts with its own first attempt."""

    async def scenario():
        async with serving() as (server, client):
            first = await client.put("a", b"1", None)
            await set_faults(server, answers_to_lose=1)
            with pytest.raises(StoreUnavailableError) as caught:
                await client.put("a", b"2", first)
            assert caught.value.sent
            assert (await client.get("a")).value == b"2"
            assert server.platform.calls_by_name["put"] == 2

    run(scenario())


def test_store_down_has_no_effect_and_ends_waiting_watches(run):
    """Guards against an outage that a member with a waiting watch does not detect."""

    async def scenario():
        async with serving() as (server, client):
            waiting = asyncio.create_task(client.watch("p/", 1, 60 * SECOND))
            await wait_until(lambda: server.platform.calls_by_name.get("watch"))
            await set_faults(server, mode="down")
            with pytest.raises(StoreUnavailableError):
                await waiting
            with pytest.raises(StoreUnavailableError):
                await client.put("a", b"1", None)
            await set_faults(server)
            assert await client.get("a") is None

    run(scenario())


def test_write_at_a_slow_store_may_take_effect_after_the_timeout(run):
    """Guards against treating a timed-out write as one without effect."""

    async def scenario():
        async with serving(SECOND / 2) as (server, client):
            await set_faults(server, mode="slow", delay_ms=2000)
            with pytest.raises(StoreUnavailableError) as caught:
                await client.put("a", b"1", None)
            assert caught.value.sent
            await wait_until(server.platform.entries)

    run(scenario())


def test_calls_over_the_rate_are_refused_without_effect(run):
    """Guards against treating a write refused by the rate limit as one of unknown outcome."""

    async def scenario():
        async with serving() as (server, client):
            # One write per 1000 s: the second one is over the rate however slow the test is.
            await set_faults(server, writes_per_second=0.001)
            version = await client.put("a", b"1", None)
            with pytest.raises(StoreUnavailableError) as caught:
                await client.put("a", b"2", version)
            assert not caught.value.sent
            assert (await client.get("a")).value == b"1"
            assert await call_counts(server) == {
                "calls": {"put": 1, "get": 1},
                "limited": {"read": 0, "write": 1},
            }

    run(scenario())


def test_vm_list_is_the_one_set(run):
    """Guards against a list that is always up to date; members must handle an outdated one."""

    async def scenario():
        async with serving() as (server, client):
            assert await client.list_vms() == []
            rows = [{"vm_id": "vm-1", "leaving": False}, {"vm_id": "vm-2", "leaving": True}]
            await set_faults(server, vms=rows)
            await set_faults(server)
            listed = [ListedVm(VmId("vm-1"), False), ListedVm(VmId("vm-2"), True)]
            assert await client.list_vms() == listed

    run(scenario())


def test_malformed_faults_change_nothing(run):
    """Guards against a test with a misspelt fault that passes without the fault."""

    async def scenario():
        async with serving() as (server, client):
            assert await set_faults(server, mood="down") == 400
            assert await set_faults(server, mode="gone") == 400
            assert await client.get("a") is None

    run(scenario())


def test_value_over_the_limit_is_refused_before_sending(run):
    """Guards against journal segments that the service rejects as too large."""

    async def scenario():
        async with serving() as (server, client):
            with pytest.raises(ValueError, match="larger than"):
                await client.put("a", bytes(1_000_001), None)
            assert await client.put("a", bytes(1_000_000), None)
            assert server.platform.calls_by_name == {"put": 1}

    run(scenario())


def test_unreachable_service_is_reported_as_not_sent(run):
    """Guards against an intent of unknown outcome although nothing was sent."""

    async def scenario():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            client = HttpPlatform(f"127.0.0.1:{sock.getsockname()[1]}", LONG, SystemClock())
            with pytest.raises(StoreUnavailableError) as caught:
                await client.put("a", b"1", None)
            assert not caught.value.sent
            await client.close()

    run(scenario())
