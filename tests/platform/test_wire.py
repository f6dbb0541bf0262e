"""The platform's clients against simulated servers of its HTTP interface on loopback."""

import asyncio
from datetime import timedelta

import pytest
from aiohttp import web

from hornbeamramp import http_client
from hornbeamramp.clock import SystemClock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.fleet import CallSeries, RunOutcome, StartOrder, StartReply, WorkerListing
from hornbeamramp.fleet.base import FencedError, InstanceMismatchError, WorkerUnreachableError
from hornbeamramp.ids import JobId
from hornbeamramp.platform.store import PlatformStore
from hornbeamramp.platform.workers import PlatformWorkers
from hornbeamramp.resources import Resources
from hornbeamramp.statestore import LeaseLostError, Put, Txn, TxnConflictError, WatchGapError
from hornbeamramp.vm.watching import PrefixCache
from hornbeamramp.workload import StepSpec
from tests.model.cell import job
from tests.model.fleet import ModelFleet
from tests.model.store import ModelStore
from tests.platform.wire_server import listen, serve_store, serve_worker

CAPACITY = Resources(8000, 8000, 4, 0, 0)
NO_WAIT = timedelta(0)
TASK = f"{'a' * 16}.0.0.0"


def with_store(scenario):
    async def main():
        model = ModelStore(SystemClock())
        address, runner = await serve_store(model)
        client = PlatformStore(address, SystemClock())
        try:
            await scenario(client, model)
        finally:
            await client.close()
            await runner.cleanup()

    asyncio.run(main())


def with_worker(scenario):
    async def main():
        fleet = ModelFleet(SystemClock())
        fleet.spec_by_job[JobId("a" * 16)] = job(StepSpec(4, 1000, 100, estimate_ms=50))
        worker = fleet.add("w0", CAPACITY)
        address, runner = await serve_worker(worker)
        client = PlatformWorkers(SystemClock())
        listing = WorkerListing("w0", "pool", address, "gebze", False, CAPACITY)
        try:
            await scenario(client, listing, worker)
        finally:
            await client.close()
            await runner.cleanup()

    asyncio.run(main())


def test_watch_whose_changes_are_too_many_for_one_answer_is_a_gap(monkeypatch):
    """Guards against a prefix that is never followed again: the same answer was too large each
    time, as it has all changes since the last one that was read."""
    monkeypatch.setattr(http_client, "MAX_RESPONSE_BYTES", 20_000)

    async def scenario(client, model):
        cache = PrefixCache(client, SystemClock(), "servers/", lambda changed: None)
        model.put("servers/w0", b"1")
        await cache.refresh()
        for number in range(40):
            model.put("servers/large", b"x" * 1000 + b"%d" % number)
        with pytest.raises(WatchGapError):
            await client.watch("servers/", cache._as_of, timedelta(seconds=1))
        model.put("servers/w1", b"2")
        following = asyncio.create_task(cache.run())
        async with asyncio.timeout(5):
            while True:
                if "servers/w1" in cache.item_by_key:
                    break
                await asyncio.sleep(0.05)
        following.cancel()

    with_store(scenario)


@pytest.mark.parametrize("name", ["\ud800", "a\udcff", "z\udc00"])
def test_key_that_is_no_text_is_left_out_of_lists_and_changes(name):
    """Guards against one entry of another writer that makes each list of a prefix undecodable. The
    store then counted as unreachable, for all calls."""

    async def scenario(client, model):
        for key in ("w0", name, "w1", "w2"):
            model.put(f"servers/{key}", b"1")
        items, as_of = await client.range("servers/")
        assert [item.key for item in items] == ["servers/w0", "servers/w1", "servers/w2"]
        model.put(f"servers/{name}", b"2")
        model.put("servers/w1", b"2")
        reply = await client.watch("servers/", as_of, timedelta(seconds=1))
        assert [change.key for change in reply.changes] == ["servers/w1"]
        assert reply.as_of == model.revision

    with_store(scenario)


def test_own_record_under_a_key_that_is_no_text_fails_the_list():
    """Guards against a takeover that goes by a part of the records."""

    async def scenario(client, model):
        model.put("hbr/job/pool/\ud800", b"1")
        with pytest.raises(StoreUnavailableError):
            await client.range("hbr/job/")

    with_store(scenario)


def test_list_of_which_no_row_of_a_page_can_be_decoded_fails():
    """Guards against a list that ends before its last page."""

    async def scenario(client, model):
        for key in ("\ud800", "\ud801", "\ud802", "\ue000"):
            model.put(f"servers/{key}", b"1")
        with pytest.raises(StoreUnavailableError):
            await client.range("servers/")

    with_store(scenario)


def test_run_list_that_is_far_too_large_is_not_read():
    """Guards against one worker whose answers take the owner longer to read than its lease lasts:
    one of 15 MiB takes half a second."""
    body = b'{"clock-ms":5,"running":[' + b'["a.0.0.0",1,"",1],' * 800_000

    async def answer(request):
        return web.Response(body=body)

    async def main():
        address, runner = await listen(answer)
        client = PlatformWorkers(SystemClock())
        listing = WorkerListing("w0", "pool", address, "gebze", False, CAPACITY)
        with pytest.raises(WorkerUnreachableError, match="larger than 1048576 bytes"):
            await client.hold(listing, 1, 0, None, timedelta(seconds=5))
        await client.close()
        await runner.cleanup()

    asyncio.run(main())


def order(run=1, token=5, deadline_ms=5000):
    return StartOrder(TASK, run, "payload", deadline_ms, token)


async def is_known(connected_at):
    """A check of connections that all pass."""
    return True


def with_status(status, scenario, reason=""):
    """Runs a scenario against a worker that answers all calls with one status."""

    async def answer(request):
        return web.json_response({"clock-ms": 5, "reason": reason}, status=status)

    async def main():
        address, runner = await listen(answer)
        client = PlatformWorkers(SystemClock())
        listing = WorkerListing("w0", "pool", address, "gebze", False, CAPACITY)
        try:
            await scenario(client, listing)
        finally:
            await client.close()
            await runner.cleanup()

    asyncio.run(main())


UNKNOWN_STATUSES = (204, 404, 500, 502, 504)


@pytest.mark.parametrize("status", UNKNOWN_STATUSES)
def test_start_answered_with_an_unknown_status_may_have_taken_effect(status):
    """Guards against a task that is started elsewhere at once while the run of an order with an
    answer that tells nothing is at work."""

    async def scenario(client, listing):
        with pytest.raises(WorkerUnreachableError, match=f"status {status}") as raised:
            await client.start(listing, order(), lambda: True, is_known)
        assert raised.value.sent

    with_status(status, scenario)


@pytest.mark.parametrize(
    "status, reply",
    [
        (400, StartReply.INVALID),
        (409, StartReply.INVALID),
        (429, StartReply.UNHEALTHY),
        (503, StartReply.UNHEALTHY),
    ],
)
def test_start_that_a_worker_refuses_has_not_taken_effect(status, reply):
    async def scenario(client, listing):
        answer = await client.start(listing, order(), lambda: True, is_known)
        assert answer.reply is reply

    with_status(status, scenario)


@pytest.mark.parametrize("status", [400, 429, 503, *UNKNOWN_STATUSES])
def test_stop_that_a_worker_does_not_confirm_is_not_taken_as_done(status):
    """Guards against a task that is placed again while its run goes on."""

    async def scenario(client, listing):
        with pytest.raises(WorkerUnreachableError, match=f"status {status}"):
            await client.stop(listing, TASK, 1, 5)

    with_status(status, scenario)


def test_stop_of_a_run_that_is_not_there_is_done():
    async def scenario(client, listing):
        await client.stop(listing, TASK, 1, 5)

    with_status(409, scenario, "old")


@pytest.mark.parametrize("status", [400, 409, 429, 503, *UNKNOWN_STATUSES])
def test_hold_call_without_a_list_is_no_contact(status):
    """Guards against a lease that counts as extended although the worker refused the call."""

    async def scenario(client, listing):
        with pytest.raises(WorkerUnreachableError, match=f"status {status}"):
            await client.hold(listing, 5, 0, 5000, NO_WAIT)

    with_status(status, scenario)


@pytest.mark.parametrize("status", [200, 400, 409, 429, 503])
def test_pace_is_set_only_if_the_worker_says_so(status):
    """Guards against best-effort tasks that go on at full speed beside a task over its target
    (HARM): an order answered 503 counted as carried out."""

    async def scenario(client, listing):
        assert await client.pace(listing, TASK, 1, 0, 5) is (status == 200)

    with_status(status, scenario)


@pytest.mark.parametrize("status", UNKNOWN_STATUSES)
def test_pace_answered_with_an_unknown_status_may_have_been_set(status):
    async def scenario(client, listing):
        with pytest.raises(WorkerUnreachableError, match=f"status {status}") as raised:
            await client.pace(listing, TASK, 1, 0, 5)
        assert raised.value.sent

    with_status(status, scenario)


def test_any_call_with_a_lower_token_is_fenced():
    async def scenario(client, listing):
        answer = await client.start(listing, order(), lambda: True, is_known)
        assert answer.reply is StartReply.FENCED
        for call in (
            client.stop(listing, TASK, 1, 5),
            client.hold(listing, 5, 0, None, NO_WAIT),
            client.pace(listing, TASK, 1, 0, 5),
        ):
            with pytest.raises(FencedError):
                await call

    with_status(409, scenario, "fence")


def test_values_of_any_bytes_are_written_and_read_back():
    async def scenario(client, model):
        revision = await client.commit(Txn({"a": 0}, (Put("a", b"\x00\xff"),)))
        item = await client.get("a")
        assert (item.value, item.revision) == (b"\x00\xff", revision)
        assert await client.get("b") is None

    with_store(scenario)


def test_range_reads_all_pages():
    async def scenario(client, model):
        for number in range(5):
            model.put(f"p/{number}", b"x")
        model.put("q/0", b"x")
        items, as_of = await client.range("p/")
        assert [item.key for item in items] == [f"p/{n}" for n in range(5)]
        assert as_of == model.revision

    with_store(scenario)


def test_conflict_reports_the_required_items_that_exist():
    async def scenario(client, model):
        model.put("a", b"theirs")
        with pytest.raises(TxnConflictError) as conflict:
            await client.commit(Txn({"a": 0, "b": 0}, (Put("a", b"mine"),)))
        assert list(conflict.value.item_by_key) == ["a"]

    with_store(scenario)


def test_watch_reports_changes_and_removals_and_gaps():
    async def scenario(client, model):
        start = model.revision
        model.put("p/a", b"1")
        model.remove("p/a")
        reply = await client.watch("p/", start, timedelta(milliseconds=10))
        assert [change.item is None for change in reply.changes] == [False, True]
        model.compact_history()
        with pytest.raises(WatchGapError):
            await client.watch("p/", start, timedelta(milliseconds=10))

    with_store(scenario)


def test_lease_that_has_ended_is_reported():
    async def scenario(client, model):
        lease = await client.grant_lease(timedelta(seconds=5))
        await client.renew_lease(lease)
        model.end_lease(lease)
        with pytest.raises(LeaseLostError):
            await client.renew_lease(lease)
        with pytest.raises(LeaseLostError):
            await client.commit(Txn({}, (Put("a", b"", lease),)))

    with_store(scenario)


def test_store_that_refuses_connections_is_unavailable():
    async def scenario():
        client = PlatformStore("127.0.0.1:1", SystemClock())
        try:
            with pytest.raises(StoreUnavailableError) as error:
                await client.get("a")
            assert not error.value.sent
        finally:
            await client.close()

    asyncio.run(scenario())


def test_run_is_started_listed_and_forgotten():
    async def scenario(client, listing, worker):
        answer = await client.start(listing, order(), lambda: True, is_known)
        assert answer.reply is StartReply.STARTED
        assert 0 <= worker.clock_ms - answer.clock_ms < 1000
        reply = await client.hold(listing, 5, 0, 9000, NO_WAIT)
        assert [(row.task, row.run) for row in reply.running] == [(TASK, 1)]
        assert reply.boot_ms == worker.boot_ms
        async with asyncio.timeout(5):
            await worker.run_ended.wait()
        reply = await client.hold(listing, 5, 0, None, NO_WAIT)
        assert [(end.task, end.outcome) for end in reply.ended] == [(TASK, RunOutcome.DONE)]
        assert (await client.hold(listing, 5, 1, None, NO_WAIT)).ended == ()

    with_worker(scenario)


@pytest.mark.parametrize(
    ("later", "reply"),
    [
        (order(token=4), StartReply.FENCED),
        (order(run=1), StartReply.SUPERSEDED),
        (order(run=2, deadline_ms=0), StartReply.PAST_DEADLINE),
    ],
    ids=["fence", "old", "late"],
)
def test_refusals_of_a_start_are_told_apart(later, reply):
    async def scenario(client, listing, worker):
        await client.stop(listing, TASK, 1, 5)
        assert (await client.start(listing, later, lambda: True, is_known)).reply is reply

    with_worker(scenario)


def test_lower_token_is_fenced_and_another_worker_recognized():
    async def scenario(client, listing, worker):
        worker.fence(9)
        with pytest.raises(FencedError):
            await client.hold(listing, 5, 0, None, NO_WAIT)
        with pytest.raises(FencedError):
            await client.stop(listing, TASK, 1, 5)
        worker.name = "w1"
        with pytest.raises(InstanceMismatchError):
            await client.hold(listing, 9, 0, None, NO_WAIT)

    with_worker(scenario)


def test_order_is_not_sent_when_the_check_fails():
    async def scenario(client, listing, worker):
        with pytest.raises(WorkerUnreachableError) as error:
            await client.start(listing, order(), lambda: False, is_known)
        assert not error.value.sent
        assert worker.run_by_task == {}

    with_worker(scenario)


def test_worker_without_address_is_unreachable():
    async def scenario(client, listing, worker):
        unaddressed = WorkerListing("w9", "", "", "", True, CAPACITY)
        with pytest.raises(WorkerUnreachableError):
            await client.hold(unaddressed, 5, 0, None, NO_WAIT)

    with_worker(scenario)


def test_lease_is_extended_only_on_the_connection_of_the_call_before():
    """Guards against a new boot that grants its longest lease, by a deadline on the clock of the
    boot before, of which the owner counts less (TWICE)."""

    async def scenario(client, listing, worker):
        series = CallSeries()
        with pytest.raises(WorkerUnreachableError) as raised:
            await client.hold(listing, 1, 0, 5000, NO_WAIT, series)
        assert not raised.value.sent
        assert worker.deadline_ms == 0
        await client.hold(listing, 1, 0, None, NO_WAIT, series)
        await client.hold(listing, 1, 0, 5000, NO_WAIT, series)
        assert worker.deadline_ms == 5000
        client.end_series(series)

    with_worker(scenario)


def test_start_is_not_sent_on_a_connection_to_a_boot_not_yet_known():
    """Guards against a start on a new boot by the clock of the boot before (TWICE). A list that is
    requested on the connection, or after it was opened, makes its boot known."""

    async def scenario(client, listing, worker):
        known_since = timedelta(0)

        async def check_connection(connected_at):
            return connected_at <= known_since

        with pytest.raises(WorkerUnreachableError) as raised:
            await client.start(listing, order(), lambda: True, check_connection)
        assert not raised.value.sent
        assert worker.run_by_task == {}
        known_since = (await client.hold(listing, 5, 0, None, NO_WAIT)).sent_at
        answer = await client.start(listing, order(), lambda: True, check_connection)
        assert answer.reply is StartReply.STARTED

    with_worker(scenario)


def test_ends_are_acknowledged_only_on_the_connection_of_the_call_before():
    """Guards against a restarted worker that forgets ends of its new boot, by the numbers that its
    boot before gave to others."""
    calls = []
    closing = asyncio.Event()

    async def answer(request):
        calls.append((request.transport, (await request.json())["last-seen"]))
        response = web.json_response({"clock-ms": 5, "born": 1, "running": [], "ended": []})
        if closing.is_set():
            response.force_close()
        return response

    async def main():
        address, runner = await listen(answer)
        client = PlatformWorkers(SystemClock())
        listing = WorkerListing("w0", "pool", address, "gebze", False, CAPACITY)

        series = CallSeries()

        def hold(last_seen, series=series):
            return client.hold(listing, 1, last_seen, None, timedelta(0), series)

        with pytest.raises(WorkerUnreachableError) as raised:
            await hold(1)
        assert not raised.value.sent
        await hold(0)
        await hold(0, series=None)
        closing.set()
        await hold(2)
        with pytest.raises(WorkerUnreachableError) as raised:
            await hold(3)
        assert not raised.value.sent
        assert [last_seen for _, last_seen in calls] == [0, 0, 2]
        series.may_reconnect = True
        await hold(3)
        client.end_series(series)
        assert calls[0][0] is calls[2][0] is not calls[1][0]
        await client.close()
        await runner.cleanup()

    asyncio.run(main())
