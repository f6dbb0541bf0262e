"""Tests of the gRPC layer over real sockets."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp import messages
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.rpc import PeerClient, PeerServer
from hornbeamramp.states import JobState, Step
from tests.model.virtual_time import run_in_virtual_time

SECOND = timedelta(seconds=1)


async def start_server(handler) -> PeerServer:
    server = PeerServer("127.0.0.1:0", "vm-1", "gebze")
    server.handle(messages.GetJobRequest, handler)
    await server.start()
    return server


async def call(client: PeerClient, port: int, timeout: timedelta = 5 * SECOND):
    request = messages.GetJobRequest("tickets@gebze", "job-1")
    return await client.call(f"127.0.0.1:{port}", request, timeout, Step.ANSWER)


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
    """Guards against treating a request that never left as one with an unknown fate."""

    async def scenario():
        client = PeerClient("vm-2", "tuzla")
        with pytest.raises(UnreachableError) as caught:
            await call(client, 1)
        assert not caught.value.sent
        assert caught.value.step is Step.ANSWER
        assert caught.value.peer == "127.0.0.1:1"
        await client.close()

    run(scenario())


def test_a_missing_answer_leaves_the_fate_open(run):
    """Guards against reporting an unanswered request as not sent."""

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
    """Guards against two versions that misread each other's messages."""

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


def test_a_call_on_a_channel_that_is_given_up_leaves_the_fate_open(run, monkeypatch):
    """Guards against a cancelled request of a caller whose owner was paused under it."""

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

    monkeypatch.setattr("hornbeamramp.rpc.DROP_GRACE_S", 0.1)
    run(scenario())


def test_greeting_and_request_share_the_time_of_a_call():
    """A call to a VM that answered no greeting took twice its time-out."""

    class SlowGreeting(PeerClient):
        async def _greet(self, address, timeout, step):
            await asyncio.sleep(0.4)

        async def _call(self, address, request, timeout, step, sent):
            return timeout

    client = SlowGreeting("vm-2", "tuzla")
    left = run_in_virtual_time(client.call("10.0.0.1:1", None, SECOND, Step.ANSWER))
    assert left.total_seconds() == pytest.approx(0.6)
