"""Requests that arrive on connections whose idle time ends."""

import asyncio
import socket
from datetime import timedelta

import pytest
from aiohttp import web

from hornbeamramp.guarded_http.connections import Guard
from hornbeamramp.guarded_http.read_budget import ListenerBounds
from hornbeamramp.guarded_http.server import GuardedServer
from hornbeamramp.workload import RequestLimits

IDLE_S = 0.4
HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n"
GET = HEAD + b"\r\n"
LIMITS = RequestLimits(header_timeout=timedelta(seconds=3))
BOUNDS = ListenerBounds(8, 100_000)


async def answer(request):
    await request.read()
    return web.Response(text="answered")


@pytest.fixture
def serve():
    """Runs a scenario with a guard, a function that connects, and the connections' idle time, which
    the scenario may change."""

    def run(scenario):
        async def main():
            idle = {"s": IDLE_S}
            guard = Guard("test", BOUNDS, lambda: LIMITS)
            http = GuardedServer(answer, guard, lambda: timedelta(seconds=idle["s"]))
            runner = web.ServerRunner(http, shutdown_timeout=0.1)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            port = runner.addresses[0][1]
            try:
                async with asyncio.timeout(20):
                    await scenario(guard, lambda: asyncio.open_connection("127.0.0.1", port), idle)
            finally:
                await runner.cleanup()

        asyncio.run(main())

    return run


async def read_response(reader):
    """Returns head and body of a response; empty if the connection ends without one."""
    try:
        return await reader.readuntil(b"answered")
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


@pytest.mark.parametrize("requests_before", [0, 1])
def test_request_that_arrives_in_two_parts_around_the_end_of_the_idle_time_is_answered(
    serve, requests_before
):
    """Guards against a connection that is closed as idle while the head of a request is read."""

    async def scenario(guard, connect, idle):
        reader, writer = await connect()
        for _ in range(requests_before):
            writer.write(GET)
            assert (await read_response(reader)).startswith(b"HTTP/1.1 200")
        await asyncio.sleep(IDLE_S / 2)
        writer.write(HEAD)
        await asyncio.sleep(IDLE_S)
        writer.write(b"\r\n")
        assert (await read_response(reader)).startswith(b"HTTP/1.1 200")
        writer.close()

    serve(scenario)


def test_request_that_waits_for_its_turn_at_the_end_of_the_idle_time_is_answered(
    serve, monkeypatch
):
    """Guards against a connection that is closed as idle although its whole request has arrived and
    waits for its turn to be parsed, behind those of a crowd."""

    async def scenario(guard, connect, idle):
        reader, writer = await connect()
        await asyncio.sleep(IDLE_S / 2)
        take = guard.turns.take
        monkeypatch.setattr(guard.turns, "take", lambda: None)
        writer.write(GET)
        await asyncio.sleep(IDLE_S)
        monkeypatch.setattr(guard.turns, "take", take)
        assert (await read_response(reader)).startswith(b"HTTP/1.1 200")
        writer.close()

    serve(scenario)


def test_idle_time_that_was_raised_holds_for_open_connections(serve):
    """Guards against a connection that is closed sooner than the configuration in force says, as
    its caller sends the next request."""

    async def scenario(guard, connect, idle):
        reader, writer = await connect()
        idle["s"] = 10 * IDLE_S
        await asyncio.sleep(2 * IDLE_S)
        writer.write(GET)
        assert (await read_response(reader)).startswith(b"HTTP/1.1 200")
        writer.close()

    serve(scenario)


def test_request_sent_ahead_is_answered_after_the_idle_time(serve):
    """Guards against a second request on a connection that is lost as its idle time ends."""

    async def scenario(guard, connect, idle):
        reader, writer = await connect()
        await asyncio.sleep(0.9 * IDLE_S)
        writer.write(GET + GET)
        await asyncio.sleep(0.2 * IDLE_S)
        assert (await reader.read()).count(b"answered") == 2
        writer.close()

    serve(scenario)


def test_request_that_arrived_before_a_new_connection_displaces_its_own_is_answered(serve):
    """Guards against a connection that is closed in favour of a new one although its whole request
    waits in the socket or for its turn."""

    async def scenario(guard, connect, idle):
        idle["s"] = 75
        connections = [await connect() for _ in range(BOUNDS.connections)]
        await asyncio.sleep(0.05)
        for _, writer in connections:
            writer.write(GET)
        newcomers = [await connect() for _ in range(BOUNDS.connections)]
        responses = [await read_response(reader) for reader, _ in connections]
        assert all(response.startswith(b"HTTP/1.1 200") for response in responses), responses
        for _, writer in [*connections, *newcomers]:
            writer.close()

    serve(scenario)


def test_request_that_arrives_right_after_a_new_connection_is_answered(serve):
    """Guards against a connection that is closed in favour of a new one with a request of its own
    unread in the socket."""

    async def scenario(guard, connect, idle):
        idle["s"] = 75
        connections = [await connect() for _ in range(BOUNDS.connections)]
        await asyncio.sleep(0.05)
        reader, writer = connections[0]
        # Both arrive in one iteration of the event loop.
        newcomer = socket.create_connection(writer.get_extra_info("peername"))
        writer.write(GET)
        assert (await read_response(reader)).startswith(b"HTTP/1.1 200")
        newcomer.close()
        for _, writer in connections:
            writer.close()

    serve(scenario)
