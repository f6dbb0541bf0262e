"""The server for callers, with a service whose requests fail, hang or are answered."""

import asyncio
import socket
import time
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest

from hornbeamramp.clock import SystemClock
from hornbeamramp.ids import PoolName, RouteName
from hornbeamramp.platform.callers import CallerServer
from hornbeamramp.vm.caller_service import SubmitResult
from hornbeamramp.workload import ClusterConfig, Queue, RefusalKind
from tests.model.cell import job
from tests.soak.callers import encode_job
from tests.soak.cell import HOST
from tests.soak.kept_connections import Connection

QUEUE = Queue(
    RouteName("batch"),
    PoolName("pool"),
    HOST,
    "/batch/",
    1,
    3,
    2.0,
    timedelta(seconds=1),
    timedelta(seconds=1),
)
PATH = f"/batch/{'a' * 16}"
BODY = msgspec.json.encode(encode_job(job()))
DRAIN = timedelta(milliseconds=600)


class FakeService:
    """Answers requests with the result of ``behaviour``, a coroutine function."""

    def __init__(self, behaviour):
        self._behaviour = behaviour

    def limit_waits(self, stops_at):
        pass

    async def submit(self, *arguments):
        return await self._behaviour() or SubmitResult()

    async def phase(self, *arguments):
        await self._behaviour()

    cancel = pending = phase


async def succeed():
    await asyncio.sleep(0)


async def hang():
    await asyncio.Event().wait()


async def fail():
    raise TypeError("unexpected")


async def wait_for_cancelled_future():
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


def stand_still(seconds):
    """Blocks the event loop, as a long turn of the process does."""
    time.sleep(seconds)


def with_server(behaviour, scenario):
    """Runs a scenario with a server and its address."""

    async def main():
        config = ClusterConfig(1, {QUEUE.name: QUEUE}, {})
        node = SimpleNamespace(clock=SystemClock(), config=config, is_ready=True)
        server = CallerServer(node, FakeService(behaviour))
        await server.start("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
        host, port = server._runner.addresses[0]
        try:
            async with asyncio.timeout(20):
                await scenario(server, f"{host}:{port}")
        finally:
            await server.close()

    asyncio.run(main())


async def stop(server):
    """Stops a server whose time is up after `DRAIN`."""
    now = SystemClock().boot_time()
    server.begin_drain(now + DRAIN)
    await server.drain(now + DRAIN / 2)
    await server.close()


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        (RefusalKind.UNAVAILABLE, 503),
        (RefusalKind.BEYOND_SHARE, 429),
        (RefusalKind.BEYOND_QUOTA, 429),
    ],
)
def test_refusal_tells_whether_the_caller_sent_too_much(kind, status):
    """Guards against callers that take a refusal for their own excess for an outage of the cell,
    and against one without the time after which to try again."""

    async def refuse():
        return SubmitResult("refused", timedelta(seconds=4), kind)

    async def scenario(server, address):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        head = f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(BODY)}\r\n\r\n"
        writer.write(head.encode() + BODY)
        answer = (await reader.readuntil(b"\r\n\r\n")).decode()
        assert answer.startswith(f"HTTP/1.1 {status} ")
        assert "\r\nRetry-After: 4\r\n" in answer
        writer.close()

    with_server(refuse, scenario)


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
@pytest.mark.parametrize("behaviour", [fail, wait_for_cancelled_future])
def test_request_that_fails_unexpectedly_has_an_unknown_outcome(behaviour, method):
    """Guards against connections closed without a response after a cancelled wait, and against 500,
    which does not tell the caller to send the job again."""

    async def scenario(server, address):
        connection = await Connection.open(address)
        assert (await connection.request(method, PATH, 3.0, BODY)).status == 504
        connection.close()

    with_server(behaviour, scenario)


def test_request_whose_handler_hangs_is_answered_within_its_deadline():
    async def scenario(server, address):
        connection = await Connection.open(address)
        response = await connection.request("POST", PATH, 0.5, BODY)
        assert response.status == 504
        assert asyncio.get_running_loop().time() - connection.sent_at < 0.5
        connection.close()

    with_server(hang, scenario)


@pytest.mark.parametrize("delay_s", [0.0, 0.2], ids=["before the drain", "during the drain"])
def test_request_whose_handler_hangs_is_answered_before_the_server_stops(delay_s, log_records):
    async def scenario(server, address):
        connection = await Connection.open(address)

        async def send():
            await asyncio.sleep(delay_s)
            return await connection.request("POST", PATH, 8.0, BODY)

        sending = asyncio.create_task(send())
        await asyncio.sleep(0.05)
        await stop(server)
        response = await sending
        assert response.status == 504
        assert response.is_last
        connection.close()

    with_server(hang, scenario)
    assert not any("cut off" in record.message for record in log_records)


@pytest.mark.parametrize("delay_s", [0.1, 0.4], ids=["during the drain", "after the close"])
def test_body_that_arrives_while_the_server_stops_is_read(delay_s):
    """Guards against a closing connection that drops the rest of a request: its handler waited for
    the body until the process was killed."""

    async def scenario(server, address):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        head = f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(BODY)}\r\n\r\n"
        writer.write(head.encode() + BODY[:10])
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(stop(server))
        await asyncio.sleep(delay_s)
        writer.write(BODY[10:])
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await stopping
        writer.close()

    with_server(succeed, scenario)


def test_body_that_never_arrives_is_refused_before_the_server_stops():
    async def scenario(server, address):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        head = f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(BODY)}\r\n\r\n"
        writer.write(head.encode() + BODY[:10])
        await asyncio.sleep(0.05)
        await stop(server)
        assert (await reader.readline()).startswith(b"HTTP/1.1 503")
        writer.close()

    with_server(succeed, scenario)


def test_requests_read_right_before_the_close_are_answered():
    """Guards against requests dropped between their arrival and the start of their handler."""

    async def scenario(server, address):
        connections = [await Connection.open(address) for _ in range(50)]
        requests = [
            asyncio.create_task(connection.request("POST", PATH, 3.0, BODY))
            for connection in connections
        ]
        await asyncio.sleep(0)
        # Ends in the iteration of the event loop in which the server reads the requests.
        for _ in range(10_000):
            if any(connection._messages for connection in server._open_connections()):
                break
            await asyncio.sleep(0)
        await server.close()
        responses = await asyncio.gather(*requests)
        assert {response.status for response in responses} == {200}
        for connection in connections:
            connection.close()

    with_server(succeed, scenario)


def test_request_that_has_arrived_before_the_close_is_answered():
    """Guards against requests dropped by a server that closes right after its event loop was busy
    (seen in soak seed 4003 with planned work)."""

    async def scenario(server, address):
        host, port = address.split(":")
        with socket.create_connection((host, int(port))) as connection:
            await asyncio.sleep(0.05)
            connection.sendall(f"GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            await server.close()
            assert connection.recv(100).startswith(b"HTTP/1.1 410")

    with_server(succeed, scenario)


def test_request_that_is_cut_off_is_logged(log_records, monkeypatch):
    async def scenario(server, address):
        connection = await Connection.open(address)
        sending = asyncio.create_task(connection.request("POST", PATH, 8.0, BODY))
        await asyncio.sleep(0.05)
        monkeypatch.setattr(CallerServer, "_limit", lambda *arguments: None)
        await stop(server)
        with pytest.raises(EOFError):
            await sending
        connection.close()

    with_server(hang, scenario)
    [line] = [r.message for r in log_records if "cut off" in r.message]
    assert f"POST {PATH}" in line


@pytest.mark.known_red
def test_request_that_arrives_while_the_process_stands_still_is_answered_within_its_deadline():
    """Guards against an answer that is late by the time for which the request waited unread, as the
    handler's time was counted from its start."""

    async def scenario(server, address):
        connection = await Connection.open(address)
        await connection.request("GET", f"/none/{'a' * 16}", 1.0)
        sending = asyncio.create_task(connection.request("GET", PATH, 1.0))
        await asyncio.sleep(0)
        stand_still(0.4)
        response = await sending
        assert response.status in (503, 504)
        assert asyncio.get_running_loop().time() - connection.sent_at < 1.0
        connection.close()

    with_server(hang, scenario)
