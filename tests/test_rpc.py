"""Tests of calls between VMs over real sockets."""

import asyncio
import contextlib
from datetime import timedelta

import pytest

from hornbeamramp import messages
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.guarded_http import ListenerBounds
from hornbeamramp.rpc import CHANNEL_CONNECTIONS, PeerClient, PeerServer
from hornbeamramp.states import JobState, Step
from tests.model.virtual_time import run_in_virtual_time

SECOND = timedelta(seconds=1)
# A loopback address that nothing else listens on, so that ports can be chosen.
OWN_HOST = "127.88.0.1"


async def start_server(handler) -> PeerServer:
    server = PeerServer("127.0.0.1:0", "vm-1", "gebze")
    server.handle(messages.GetJobRequest, handler)
    await server.start()
    return server


async def call(
    client: PeerClient, port: int, timeout: timedelta = 5 * SECOND, host: str = "127.0.0.1"
):
    request = messages.GetJobRequest("tickets@gebze", "job-1")
    return await client.call(f"{host}:{port}", request, timeout, Step.ANSWER)


def test_a_call_reaches_its_handler(run):
    async def scenario():
        async def handler(request):
            assert request.job_id == "job-1"
            return messages.GetJobReply(JobState.RUNNING)

        server = await start_server(handler)
        client = PeerClient("vm-2", "tuzla")
        assert (await call(client, server.port)).state is JobState.RUNNING
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


def test_a_refused_connection_is_known_not_to_be_sent(run):
    """Guards against reporting a request that was never sent as possibly sent."""

    async def scenario():
        client = PeerClient("vm-2", "tuzla")
        with pytest.raises(UnreachableError) as caught:
            await call(client, 1)
        assert not caught.value.sent
        assert caught.value.step is Step.ANSWER
        assert caught.value.peer == "127.0.0.1:1"
        await client.close()

    run(scenario())


def test_a_call_that_times_out_may_have_been_sent(run):
    """Guards against reporting a request without a reply as not sent."""

    async def scenario():
        async def handler(request):
            await asyncio.sleep(60)

        server = await start_server(handler)
        client = PeerClient("vm-2", "tuzla")
        with pytest.raises(UnreachableError) as caught:
            await call(client, server.port, timedelta(milliseconds=300))
        assert caught.value.sent
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


def test_another_protocol_version_is_refused(run):
    """Guards against two versions that decode each other's messages wrongly."""

    async def scenario():
        async def old_hello(request):
            return messages.HelloReply(0, "vm-1", "gebze")

        server = PeerServer("127.0.0.1:0", "vm-1", "gebze")
        server.handle(messages.HelloRequest, old_hello)
        await server.start()
        client = PeerClient("vm-2", "tuzla")
        with pytest.raises(ProtocolError, match="version 0"):
            await call(client, server.port)
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


def test_a_call_on_a_channel_that_is_closed_may_have_been_sent(run, monkeypatch):
    """Guards against cancelling a pending call when another call to the same peer times out.

    This happened when the owner's process was paused during the call.
    """

    async def scenario():
        release = asyncio.Event()

        async def handler(request):
            await release.wait()

        server = await start_server(handler)
        client = PeerClient("vm-2", "tuzla")
        pending = asyncio.create_task(call(client, server.port, 60 * SECOND))
        with pytest.raises(UnreachableError):
            await call(client, server.port, timedelta(milliseconds=300))
        with pytest.raises(UnreachableError) as caught:
            await pending
        assert caught.value.sent
        release.set()
        await client.close()
        await server.stop(timedelta(0))

    monkeypatch.setattr("hornbeamramp.rpc.CHANNEL_CLOSE_GRACE_S", 0.1)
    run(scenario())


def test_handshake_and_request_share_the_timeout_of_a_call():
    """Guards against a call that takes twice its timeout if the peer ignores the hello."""

    class SlowHandshake(PeerClient):
        async def _ensure_handshake(self, address, timeout, step):
            await asyncio.sleep(0.4)

        async def _call(self, address, request, timeout, step, sent):
            return timeout

    client = SlowHandshake("vm-2", "tuzla")
    remaining = run_in_virtual_time(client.call("10.0.0.1:1", None, SECOND, Step.ANSWER))
    assert remaining.total_seconds() == pytest.approx(0.6)


def test_calls_are_served_at_each_port(run):
    """Guards against VMs that find no listener at the port that they are spread to."""

    async def scenario():
        async def handler(request):
            return messages.GetJobReply(JobState.RUNNING)

        server = PeerServer(f"{OWN_HOST}:7380", "vm-1", "gebze", ports=3)
        server.handle(messages.GetJobRequest, handler)
        await server.start()
        client = PeerClient("vm-2", "tuzla")
        for port in (7380, 7381, 7382):
            assert (await call(client, port, host=OWN_HOST)).state is JobState.RUNNING
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


@pytest.mark.parametrize("answers_others", [True, False])
def test_connection_is_replaced_after_a_timeout_only_if_nothing_was_answered(run, answers_others):
    """Guards against a busy owner that all VMs connect to again after each slow answer, which made
    it slower still; and against a connection without answers that is used on."""

    async def scenario():
        async def handler(request):
            if request.job_id == "slow" or not answers_others:
                await asyncio.Event().wait()
            return messages.GetJobReply(JobState.RUNNING)

        server = await start_server(handler)
        client = PeerClient("vm-2", "tuzla")
        address = f"127.0.0.1:{server.port}"
        slow = messages.GetJobRequest("tickets@gebze", "slow")
        await client._ensure_handshake(address, 5 * SECOND, Step.ANSWER)
        channel = client._channel_by_address[address]
        pending = asyncio.create_task(client.call(address, slow, 2 * SECOND, Step.ANSWER))
        await asyncio.sleep(0)
        with contextlib.suppress(UnreachableError):
            await call(client, server.port, SECOND)
        with pytest.raises(UnreachableError):
            await pending
        assert (client._channel_by_address.get(address) is channel) is answers_others
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


def test_call_to_a_peer_that_is_gone_was_not_sent(run):
    """Guards against an outcome that is called unknown although there was no connection."""

    async def scenario():
        async def handler(request):
            return messages.GetJobReply(JobState.RUNNING)

        server = await start_server(handler)
        client = PeerClient("vm-2", "tuzla")
        await call(client, server.port)
        await server.stop(timedelta(0))
        # The first may still find its connection open.
        for _ in range(2):
            with pytest.raises(UnreachableError) as caught:
                await call(client, server.port)
        assert not caught.value.sent
        await client.close()

    run(scenario())


def test_call_that_is_refused_for_want_of_memory_was_not_handled(run):
    """Guards against a refusal before the handler that counts as an unknown outcome."""

    async def scenario():
        handled = []

        async def handler(request):
            handled.append(request)
            return messages.GetJobReply(JobState.RUNNING)

        server = PeerServer("127.0.0.1:0", "vm-1", "gebze", bounds=ListenerBounds(8, 6000))
        server.handle(messages.GetJobRequest, handler)
        await server.start()
        client = PeerClient("vm-2", "tuzla")
        await call(client, server.port)
        stalled = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(2)]
        for _, writer in stalled:
            writer.write(b"POST /GetJob HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n")
        async with asyncio.timeout(10):
            while server._guard.budget.used < 1500:  # noqa: ASYNC110 - there is no event for it
                await asyncio.sleep(0.01)
        large = messages.GetJobRequest("tickets@gebze", "j" * 20_000)
        with pytest.raises(UnreachableError) as caught:
            await client.call(f"127.0.0.1:{server.port}", large, 5 * SECOND, Step.ANSWER)
        assert not caught.value.sent
        assert len(handled) == 1
        for _, writer in stalled:
            writer.close()
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


def test_handler_ends_when_its_caller_gives_up(run):
    """Guards against work that goes on for callers that are long gone."""

    async def scenario():
        cancelled = asyncio.Event()

        async def handler(request):
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        server = await start_server(handler)
        client = PeerClient("vm-2", "tuzla")
        with pytest.raises(UnreachableError):
            await call(client, server.port, timedelta(milliseconds=300))
        await asyncio.wait_for(cancelled.wait(), 10)
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


@pytest.mark.parametrize("reason", ["malformed", "unknown", "failed"])
def test_call_that_can_not_be_answered_leaves_the_peer_usable(run, reason):
    """Guards against one bad message, or an unexpected error, that takes a server down."""

    async def scenario():
        async def handler(request):
            if request.job_id == "failed":
                raise ValueError("unexpected")
            return messages.GetJobReply(JobState.RUNNING)

        server = await start_server(handler)
        client = PeerClient("vm-2", "tuzla")
        address = f"127.0.0.1:{server.port}"
        request = {
            "malformed": messages.GetJobRequest("tickets@gebze", 7),
            "unknown": messages.CancelRequest("tickets@gebze", "job-1"),
            "failed": messages.GetJobRequest("tickets@gebze", "failed"),
        }[reason]
        with pytest.raises(UnreachableError):
            await client.call(address, request, 5 * SECOND, Step.ANSWER)
        assert (await call(client, server.port)).state is JobState.RUNNING
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


def test_many_calls_at_once_share_a_bounded_number_of_connections(run):
    """Guards against a burst of calls that takes the connections of all VMs at its peer."""

    async def scenario():
        async def handler(request):
            await asyncio.sleep(0.01)
            return messages.GetJobReply(JobState.RUNNING)

        bounds = ListenerBounds(CHANNEL_CONNECTIONS, 1_000_000)
        server = PeerServer("127.0.0.1:0", "vm-1", "gebze", bounds=bounds)
        server.handle(messages.GetJobRequest, handler)
        await server.start()
        client = PeerClient("vm-2", "tuzla")
        replies = await asyncio.gather(*(call(client, server.port) for _ in range(300)))
        assert {reply.state for reply in replies} == {JobState.RUNNING}
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())


def test_calls_that_wait_long_hold_up_no_others(run):
    """Guards against jobs whose callers wait for their end, which take the connections of
    heartbeats and of further jobs."""

    async def scenario():
        waiting = set()
        release = asyncio.Event()

        async def handler(request):
            if request.job_id != "short":
                waiting.add(request.job_id)
                await release.wait()
            return messages.GetJobReply(JobState.RUNNING)

        server = await start_server(handler)
        client = PeerClient("vm-2", "tuzla")
        address = f"127.0.0.1:{server.port}"
        count = 2 * CHANNEL_CONNECTIONS

        def ask(name, timeout):
            request = messages.GetJobRequest("tickets@gebze", name)
            return client.call(address, request, timeout, Step.ANSWER)

        calls = [asyncio.create_task(ask(str(n), 3600 * SECOND)) for n in range(count)]
        async with asyncio.timeout(10):
            while len(waiting) < count:  # noqa: ASYNC110 - there is no event for it
                await asyncio.sleep(0.01)
        assert (await ask("short", 5 * SECOND)).state is JobState.RUNNING
        release.set()
        assert {reply.state for reply in await asyncio.gather(*calls)} == {JobState.RUNNING}
        await client.close()
        await server.stop(timedelta(0))

    run(scenario())
