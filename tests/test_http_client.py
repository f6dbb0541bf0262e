"""Tests of the HTTP client on loopback sockets: what is written, and on which connection."""

import asyncio
import contextlib
import socket
from asyncio import selector_events
from datetime import timedelta

import pytest

from hornbeamramp import http_client
from hornbeamramp.clock import ManualClock, SystemClock
from hornbeamramp.http_client import IDLE_LIMIT, HttpClient, RequestFailedError, open_socket

SECOND = timedelta(seconds=1)
LONG = 10 * SECOND
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawServer:
    """Records what arrives. ``script`` has one action per request: ``answer``, ``silent``,
    ``close`` or ``half``; requests after its end get ``answer``."""

    def __init__(self, *script: str) -> None:
        self.script = list(script)
        self.connections = 0
        self.requests: list[tuple[int, bytes]] = []
        self.received = b""
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        connection = self.connections
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.received += head
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        self.received += await reader.readexactly(int(line.split(b":")[1]))
                self.requests.append((connection, head.split(b" ", 1)[0]))
                action = self.script.pop(0) if self.script else "answer"
                if action == "answer":
                    writer.write(ANSWER)
                elif action == "half":
                    writer.write(ANSWER[:-1])
                if action in ("close", "half"):
                    break
        writer.close()


@contextlib.asynccontextmanager
async def serving(*script: str):
    raw = RawServer(*script)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    raw.address = f"{host}:{port}"
    try:
        yield raw
    finally:
        server.close()


@contextlib.asynccontextmanager
async def connected(address: str, timeout: timedelta = LONG, clock=None):
    client = HttpClient(address, timeout, clock or SystemClock())
    try:
        yield client
    finally:
        await client.close()


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_nothing_is_written_when_the_check_fails(run):
    """Guards against a start sent after the ownership proof expired while connecting."""

    async def scenario():
        async with serving() as server, connected(server.address) as client:
            with pytest.raises(RequestFailedError) as caught:
                await client.request("PUT", "/x", b"body", check=lambda: False)
            assert not caught.value.sent
            await client.request("GET", "/after")
            assert server.requests == [(2, b"GET")]
            assert b"/x" not in server.received

    run(scenario())


def test_check_and_write_share_one_step_of_the_loop(run, monkeypatch):
    """Guards against a library version that lets other tasks run between check and write."""
    events = []
    transport = selector_events._SelectorSocketTransport
    write = transport.write

    def recording_write(self, data):
        if b"checked" in bytes(data):
            events.append("write")
        write(self, data)

    monkeypatch.setattr(transport, "write", recording_write)

    def check() -> bool:
        events.append("check")
        asyncio.get_running_loop().call_soon(events.append, "next step")
        return True

    async def scenario():
        async with serving() as server, connected(server.address) as client:
            await client.request("PUT", "/x", b"checked", check=check)

    run(scenario())
    assert events == ["check", "write", "next step"]


def test_check_is_not_called_before_the_connection_is_there(run):
    """Guards against a check whose result is stale once the connection is established."""

    async def scenario():
        calls = []
        async with connected(free_address()) as client:
            with pytest.raises(RequestFailedError) as caught:
                await client.request("PUT", "/x", b"body", check=lambda: not calls.append(1))
        assert not caught.value.sent
        assert not calls

    run(scenario())


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
def test_request_is_not_repeated_when_a_reused_connection_closes(run, method):
    """Guards against a write that takes effect twice, or conflicts with itself."""

    async def scenario():
        async with serving("answer", "close") as server, connected(server.address) as client:
            await client.request("GET", "/first")
            body = b"body" if method == "PUT" else None
            with pytest.raises(RequestFailedError) as caught:
                await client.request(method, "/second", body)
            assert caught.value.sent
            assert server.requests == [(1, b"GET"), (1, method.encode())]

    run(scenario())


def test_request_after_a_timeout_uses_a_new_connection(run):
    """Guards against reusing a connection on which a request has timed out."""

    async def scenario():
        async with (
            serving("answer", "silent") as server,
            connected(server.address, SECOND) as client,
        ):
            await client.request("GET", "/first")
            with pytest.raises(RequestFailedError) as caught:
                await client.request("GET", "/second")
            assert caught.value.sent
            assert (await client.request("GET", "/third")).body == b"ok"
            assert [connection for connection, _ in server.requests] == [1, 1, 2]

    run(scenario())


def test_all_idle_connections_are_given_up_after_a_timeout(run):
    """Guards against trying one dead pooled connection after another, each for a full timeout."""

    async def scenario():
        script = ("answer", "answer", "silent")
        async with serving(*script) as server, connected(server.address, SECOND) as client:
            await asyncio.gather(client.request("GET", "/1"), client.request("GET", "/2"))
            assert server.connections == 2
            with pytest.raises(RequestFailedError):
                await client.request("GET", "/3")
            await client.request("GET", "/4")
            assert server.requests[-1][0] == 3

    run(scenario())


def test_pending_request_survives_the_failure_of_another(run):
    """Guards against a failed request that closes the connections of pending ones."""

    async def scenario():
        arrived, release = asyncio.Event(), asyncio.Event()

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"/slow" in head:
                arrived.set()
                await release.wait()
                writer.write(ANSWER)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with connected(f"127.0.0.1:{port}") as client:
            slow = asyncio.create_task(client.request("GET", "/slow"))
            await arrived.wait()
            with pytest.raises(RequestFailedError):
                await client.request("GET", "/fails")
            release.set()
            assert (await slow).body == b"ok"
        server.close()

    run(scenario())


def test_connection_idle_for_long_is_not_reused(run):
    """Guards against sending on a dead connection, for example after a VM was suspended."""

    async def scenario():
        clock = ManualClock()
        async with serving() as server, connected(server.address, clock=clock) as client:
            await client.request("GET", "/1")
            await client.request("GET", "/2")
            clock.set(IDLE_LIMIT + SECOND)
            await client.request("GET", "/3")
            assert [connection for connection, _ in server.requests] == [1, 1, 2]

    run(scenario())


def test_sessions_that_were_idle_for_long_are_closed(run):
    """Guards against a process that keeps a session for each pause between two requests."""

    async def scenario():
        clock = ManualClock()
        async with serving() as server, connected(server.address, clock=clock) as client:
            for number in range(5):
                clock.set(number * (IDLE_LIMIT + SECOND))
                await client.request("GET", "/1")
            assert client._retired == set()

    run(scenario())


def test_request_that_must_not_connect_goes_only_on_an_open_connection(run):
    """Guards against a request that reaches another process than the one before it."""

    async def scenario():
        async with serving("answer", "close") as server, connected(server.address) as client:
            with pytest.raises(RequestFailedError) as caught:
                await client.request("POST", "/1", b"1", may_connect=False)
            assert not caught.value.sent
            await client.request("POST", "/2", b"1")
            with pytest.raises(RequestFailedError):
                await client.request("POST", "/3", b"1", may_connect=False)
            with pytest.raises(RequestFailedError) as caught:
                await client.request("POST", "/4", b"1", may_connect=False)
            assert not caught.value.sent
            assert [connection for connection, _ in server.requests] == [1, 1]

    run(scenario())


def test_connection_is_checked_with_the_time_by_which_it_was_open(run):
    """Guards against an order that reaches a process started after the caller last heard of it."""

    async def scenario():
        clock = ManualClock()
        opened_at = []

        async def check_connection(connected_at):
            opened_at.append(connected_at)
            return True

        async def send(seconds):
            clock.set(seconds * SECOND)
            return await client.request("POST", "/x", b"1", check_connection=check_connection)

        async with (
            serving("answer", "answer", "close") as server,
            connected(server.address, clock=clock) as client,
        ):
            assert (await send(1)).sent_at == SECOND
            await send(3)
            with pytest.raises(RequestFailedError):
                await send(4)
            await send(5)
            assert opened_at == [SECOND, SECOND, SECOND, 5 * SECOND]
            assert [connection for connection, _ in server.requests] == [1, 1, 1, 2]

    run(scenario())


def test_nothing_is_written_when_the_check_of_the_connection_fails(run):
    async def scenario():
        async def check_connection(connected_at):
            return False

        async with serving() as server, connected(server.address) as client:
            with pytest.raises(RequestFailedError) as caught:
                await client.request("POST", "/x", b"1", check_connection=check_connection)
            assert not caught.value.sent
            assert server.requests == []

    run(scenario())


def test_nothing_is_written_once_the_time_limit_has_passed_during_the_check(run):
    """Guards against an order that takes effect although its caller was told that it wasn't sent:
    the check of its connection ends after the time limit."""

    async def scenario():
        checked = asyncio.Event()

        async def check_connection(connected_at):
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0.3)
            checked.set()
            return True

        async with serving() as server, connected(server.address, SECOND / 10) as client:
            with pytest.raises(RequestFailedError) as caught:
                await client.request("POST", "/x", b"1", check_connection=check_connection)
            assert not caught.value.sent
            await checked.wait()
            await client.request("POST", "/after", b"1")
            assert b"/x" not in server.received

    run(scenario())


def test_answer_cut_in_the_middle_is_a_failure(run):
    """Guards against taking a truncated response for a complete one."""

    async def scenario():
        async with serving("half") as server, connected(server.address) as client:
            with pytest.raises(RequestFailedError) as caught:
                await client.request("GET", "/x")
            assert caught.value.sent

    run(scenario())


PART = b"x" * 100
PARTS = 8


@contextlib.asynccontextmanager
async def serving_parts(parts: int, pause_s: float):
    """Sends the first ``parts`` of an answer of eight, one after each pause."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PARTS * len(PART)))
        with contextlib.suppress(ConnectionError):
            for _ in range(parts):
                await asyncio.sleep(pause_s)
                writer.write(PART)
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


# Guards against a VM on a slow link that never reads the configuration or the records of a pool, as
# each answer takes longer than the time-out of a call and is asked for again from its beginning.
def test_answer_that_goes_on_arriving_outlasts_the_time_limit(run):
    async def scenario():
        async with serving_parts(PARTS, 0.2) as address:
            client = HttpClient(address, SECOND, SystemClock(), transfer_timeout=LONG)
            reply = await client.request("GET", "/")
            assert reply.body == PARTS * PART
            await client.close()

    run(scenario())


def test_answer_that_stops_arriving_fails_after_the_time_limit(run):
    async def scenario():
        async with serving_parts(2, 0.2) as address:
            client = HttpClient(address, SECOND / 2, SystemClock(), transfer_timeout=LONG)
            started = asyncio.get_running_loop().time()
            with pytest.raises(RequestFailedError):
                await client.request("GET", "/")
            assert asyncio.get_running_loop().time() - started < LONG.total_seconds() / 2
            await client.close()

    run(scenario())


def test_answer_that_arrives_for_too_long_fails(run):
    async def scenario():
        async with serving_parts(PARTS, 0.2) as address:
            client = HttpClient(address, SECOND / 2, SystemClock(), transfer_timeout=SECOND)
            with pytest.raises(RequestFailedError):
                await client.request("GET", "/")
            await client.close()

    run(scenario())


def test_answer_over_the_limit_is_refused(run, monkeypatch):
    """Guards against a peer that exhausts the memory of an entry VM."""
    monkeypatch.setattr(http_client, "MAX_RESPONSE_BYTES", 1)

    async def scenario():
        async with serving() as server, connected(server.address) as client:
            with pytest.raises(RequestFailedError, match="larger than 1 bytes"):
                await client.request("GET", "/x")

    run(scenario())


@pytest.mark.parametrize("host", ["a" * 64, "a..b", "."], ids=["label", "empty label", "dot"])
def test_address_that_no_resolver_takes_is_a_failed_request(run, host):
    """Guards against a loop of requests that one address in the list of workers ends."""

    async def scenario():
        async with connected(f"{host}:80") as client:
            with pytest.raises(RequestFailedError) as failure:
                await client.request("POST", "/hold", b"{}")
            assert not failure.value.sent

    run(scenario())


@pytest.mark.parametrize("value", ["a\nb", "a\rb", "a\0b", "\x7f"])
def test_header_that_can_not_be_written_is_a_failed_request(run, value):
    """Guards against a loop of requests that one worker id with control characters ends."""

    async def scenario():
        async with serving() as server, connected(server.address) as client:
            with pytest.raises(RequestFailedError) as failure:
                await client.request("POST", "/hold", b"{}", {"Expect-Instance": value})
            assert not failure.value.sent
            reply = await client.request("POST", "/hold", b"{}", {"Expect-Instance": "w1"})
            assert reply.body == b"ok"
            assert len(server.requests) == 1

    run(scenario())


def test_sockets_detect_a_peer_that_is_gone():
    """Guards against connections without keepalive or TCP_USER_TIMEOUT."""
    entry = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", ("127.0.0.1", 1))
    with open_socket(entry, 1.5 * SECOND) as sock:
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 1500
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 5
