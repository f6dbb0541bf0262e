"""Crowds of callers that keep to no limit, against one VM's process on loopback.

Each test checks the process, its memory and descriptors, one ordinary request and one call of
another VM beside the crowd, whose connections mostly stay open. None checks times or how many
requests are served.
"""

import asyncio
import collections
import itertools

import pytest

from hornbeamramp.platform.serve import METRICS_PORT
from tests.hostile.crowd import (
    MAX_FDS,
    MEMORY_MB,
    PEER_PORT,
    PROMPT_ATTEMPTS,
    Crowd,
    Gauge,
    HostileCell,
    head,
)
from tests.hostile.http2 import PREFACE, endless_head, send_messages
from tests.model.cell import job

pytestmark = pytest.mark.alone

BODY_BYTES = 262_144
# Bytes that a body lacks of its end.
SHORT_BY = 100
PIECE_BYTES = 32_768
# Members of a crowd that send bodies; one in `WHOLE_SHARE` sends all of its body.
BODIES = 320
WHOLE_SHARE = 8
# Bodies in chunks of one byte, each of which takes six bytes to send; fewer and smaller ones keep
# the crowd's processor time to seconds.
TINY_CHUNK_BODIES = 160
TINY_CHUNK_BODY_BYTES = 65_536
# Bodies of legal size in chunks of one byte: minutes of a processor, if all are parsed.
TINY_CHUNK_FLOOD = 200
HEADS = 80
# Header lines of a head, each within the limit of a line of usual servers.
FIELD_BYTES = 8_000
FIELDS = 120
# Lines of a few bytes, so that a head is within 16 KiB.
SHORT_LINES = 2500
EMPTY_LINES_BYTES = 4_194_304
EXTENSION_BYTES = 4_194_304
CONNECTIONS = 800
HEAD_BYTES = FIELD_BYTES * FIELDS
LONG_HEAD_BYTES = 8 * HEAD_BYTES
# Calls of other VMs may have messages of up to 4 MiB.
MESSAGE_BYTES = 4_000_000
MESSAGE_STREAMS = 4
MESSAGE_CONNECTIONS = 10
READY_PORT = 8141
LISTENERS = ("frontend", "ready", "metrics", "peers")


@pytest.fixture
def hold_out(tmp_path):
    """Runs an attack, a coroutine function of a cell and a crowd, and checks what must hold."""

    def start(attack, listener="frontend", **ordinary):
        async def main():
            async with HostileCell(tmp_path) as cell:
                cell.fleet.spec_by_job = collections.defaultdict(job)
                assert await cell.is_ordinary_request_answered()
                vm = cell.vm
                address_by_listener = {
                    "frontend": vm.frontend,
                    "ready": f"{vm.ip}:{READY_PORT}",
                    "metrics": f"{vm.ip}:{METRICS_PORT}",
                    "peers": f"{vm.ip}:{PEER_PORT}",
                }
                crowd = Crowd(address_by_listener[listener])
                with Gauge(vm.pid) as gauge:
                    try:
                        await attack(crowd)
                        assert await cell.is_ordinary_request_answered(**ordinary)
                        # What the crowd has sent may wait for its turn until now.
                        await gauge.wait_until_idle()
                        assert await cell.is_ordinary_request_answered(**ordinary)
                        assert await cell.is_call_answered()
                        for name, path in (("ready", "/"), ("metrics", "/metrics")):
                            assert await cell.is_answered(address_by_listener[name], path)
                        gauge.check(MEMORY_MB, MAX_FDS)
                    finally:
                        await crowd.close()
                assert vm.problems == []

        asyncio.run(main())

    return start


def split(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


def chunked(total, size):
    """Returns a chunked body of ``total`` bytes in chunks of a size, with its end."""
    body = b"x" * total
    return b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in split(body, size)) + b"0\r\n\r\n"


async def send_bodies(crowd, request_head, body, piece_bytes, count=BODIES):
    """Most members stop just short of the end of their body."""
    whole = count // WHOLE_SHARE
    await asyncio.gather(
        crowd.send(whole, split(request_head + body, piece_bytes)),
        crowd.send(count - whole, split(request_head + body[:-SHORT_BY], piece_bytes)),
    )


@pytest.mark.parametrize("listener", LISTENERS)
def test_heads_over_the_limit(hold_out, listener):
    """Guards against heads that are read to their end, whatever their size."""
    fields = [f"X-{number}: {'x' * FIELD_BYTES}" for number in range(FIELDS)]
    data = head("GET", f"/batch/{'c' * 16}", *fields)
    hold_out(lambda crowd: crowd.send(HEADS, split(data, PIECE_BYTES)), listener)


@pytest.mark.parametrize("listener", LISTENERS)
def test_heads_without_end(hold_out, listener):
    """Guards against the memory of heads that never end, on connections that stay open."""
    fields = [f"X-{number}: {'x' * FIELD_BYTES}" for number in range(FIELDS)]
    data = head("GET", f"/batch/{'c' * 16}", *fields)[:-2]
    hold_out(lambda crowd: crowd.send(HEADS, split(data, PIECE_BYTES)), listener)


@pytest.mark.parametrize(
    "listener",
    [
        pytest.param(
            listener, marks=pytest.mark.known_red(unsteady=True) if listener == "frontend" else ()
        )
        for listener in LISTENERS
    ],
)
def test_heads_of_many_lines(hold_out, listener):
    """Guards against legal heads whose lines take many times the memory of their bytes."""
    lines = ["".join(x) + ":" for x in itertools.product("abcdefghijklmno", repeat=3)]
    fields = (*lines[:SHORT_LINES], "Content-Length: 100")
    data = head("POST", f"/batch/{'c' * 16}", *fields) + b"x" * 99
    hold_out(lambda crowd: crowd.send(BODIES, split(data, PIECE_BYTES)), listener)


@pytest.mark.parametrize("listener", LISTENERS)
def test_empty_lines_before_a_request(hold_out, listener):
    """Guards against bytes that are no part of a request and are read without a limit."""
    pieces = split(b"\r\n" * (EMPTY_LINES_BYTES // 2), PIECE_BYTES)
    hold_out(lambda crowd: crowd.send(HEADS, pieces), listener)


@pytest.mark.parametrize("piece_bytes", [2 * BODY_BYTES, PIECE_BYTES], ids=["whole", "pieces"])
def test_bodies_that_stop_short(hold_out, piece_bytes):
    """Guards against the sum of bodies of legal size, each of which is held until its end."""
    request_head = head("POST", f"/batch/{'c' * 16}", f"Content-Length: {BODY_BYTES}")

    async def attack(crowd):
        await send_bodies(crowd, request_head, b"x" * BODY_BYTES, piece_bytes)

    hold_out(attack)


@pytest.mark.parametrize("piece_bytes", [2 * BODY_BYTES, PIECE_BYTES], ids=["whole", "pieces"])
@pytest.mark.parametrize(
    ("count", "total", "chunk_bytes"),
    [(BODIES, BODY_BYTES, BODY_BYTES), (TINY_CHUNK_BODIES, TINY_CHUNK_BODY_BYTES, 1)],
    ids=["one chunk", "single bytes"],
)
def test_chunked_bodies_that_stop_short(hold_out, count, total, chunk_bytes, piece_bytes):
    """Guards against chunks whose bookkeeping needs many times the memory of their bytes."""
    request_head = head("POST", f"/batch/{'c' * 16}", "Transfer-Encoding: chunked")
    body = chunked(total, chunk_bytes)
    hold_out(lambda crowd: send_bodies(crowd, request_head, body, piece_bytes, count))


@pytest.mark.parametrize("listener", ["frontend", "peers"])
@pytest.mark.parametrize("stays", [True, False], ids=["beside", "after"])
def test_flood_of_small_chunks(hold_out, stays, listener):
    """Guards against a process that parses all that a crowd has sent before it serves others, also
    after the crowd is gone."""
    request_head = head("POST", f"/batch/{'c' * 16}", "Transfer-Encoding: chunked")
    body = chunked(BODY_BYTES, 1)

    async def attack(crowd):
        await send_bodies(crowd, request_head, body, PIECE_BYTES, TINY_CHUNK_FLOOD)
        if not stays:
            await crowd.close()

    hold_out(attack, listener, attempts=PROMPT_ATTEMPTS)


@pytest.mark.parametrize("listener", ["frontend", "peers"])
def test_trailers_that_stop_short(hold_out, listener):
    """Guards against fields behind a chunked body, which are held without being counted."""
    request_head = head("POST", f"/batch/{'c' * 16}", "Transfer-Encoding: chunked")
    fields = b"".join(b"X-%d: %s\r\n" % (n, b"x" * FIELD_BYTES) for n in range(FIELDS))
    pieces = split(request_head + b"1\r\nx\r\n0\r\n" + fields, PIECE_BYTES)
    hold_out(lambda crowd: crowd.send(BODIES, pieces), listener)


def test_chunk_extensions_without_end(hold_out):
    """Guards against bytes of a body that are read without a limit, as they are no part of it."""
    request_head = head("POST", f"/batch/{'c' * 16}", "Transfer-Encoding: chunked")
    pieces = [request_head + b"1;", *split(b"x" * EXTENSION_BYTES, PIECE_BYTES)]
    hold_out(lambda crowd: crowd.send(HEADS, pieces))


def test_crowds_of_several_kinds_at_once(hold_out):
    """Guards against bounds that hold for each listener and each kind of crowd, but not in sum."""
    path = f"/batch/{'c' * 16}"
    fields = [f"X-{number}: {'x' * FIELD_BYTES}" for number in range(FIELDS)]
    endless = split(head("GET", path, *fields)[:-2], PIECE_BYTES)
    chunked_head = head("POST", path, "Transfer-Encoding: chunked")
    sized_head = head("POST", path, f"Content-Length: {BODY_BYTES}")
    message_head = head("POST", "/GetJob", f"Content-Length: {MESSAGE_BYTES}")

    async def attack(crowd):
        peers = Crowd(crowd.at(PEER_PORT))
        others = [Crowd(crowd.at(port)) for port in (READY_PORT, METRICS_PORT)]
        body, message = b"x" * BODY_BYTES, b"x" * MESSAGE_BYTES
        try:
            await asyncio.gather(
                send_bodies(crowd, sized_head, body, PIECE_BYTES, BODIES // 2),
                send_bodies(
                    crowd, chunked_head, chunked(BODY_BYTES, 1), PIECE_BYTES, TINY_CHUNK_FLOOD // 2
                ),
                crowd.send(HEADS, endless),
                send_bodies(peers, message_head, message, PIECE_BYTES, 4 * MESSAGE_CONNECTIONS),
                *(other.send(HEADS, endless) for other in others),
            )
        finally:
            crowd.take_over(peers, *others)

    hold_out(attack)


@pytest.mark.parametrize("listener", ["ready", "metrics"])
def test_bodies_to_listeners_without_bodies(hold_out, listener):
    """Guards against bodies that are held by listeners that need none."""
    request_head = head("GET", "/metrics", f"Content-Length: {BODY_BYTES}")

    async def attack(crowd):
        await send_bodies(crowd, request_head, b"x" * BODY_BYTES, PIECE_BYTES)

    hold_out(attack, listener)


@pytest.mark.parametrize("listener", LISTENERS)
def test_more_connections_than_descriptors(hold_out, listener):
    """Guards against connections that take the descriptors of the process."""
    hold_out(lambda crowd: crowd.send(CONNECTIONS, [b"GET "]), listener)


def test_more_connections_than_descriptors_at_the_port_of_the_vms(hold_out):
    """Guards against connections that take the descriptors of the process. They begin as those of
    HTTP/2 do."""
    hold_out(lambda crowd: crowd.send(CONNECTIONS, [PREFACE[:4]]), "peers")


def test_heads_without_end_at_the_port_of_the_vms(hold_out):
    """Guards against heads of calls between VMs that are read to their end."""
    hold_out(lambda crowd: crowd.send(HEADS, endless_head(HEAD_BYTES)), "peers")


def test_long_heads_without_end_at_the_port_of_the_vms(hold_out):
    """Guards against the same, where the bound on connections doesn't bound the memory."""
    hold_out(lambda crowd: crowd.send(HEADS, endless_head(LONG_HEAD_BYTES)), "peers")


def test_messages_that_stop_short_at_the_port_of_the_vms(hold_out):
    """Guards against the sum of messages of legal size, on streams that stay open."""

    def send(reader, writer):
        return send_messages(reader, writer, MESSAGE_STREAMS, MESSAGE_BYTES)

    hold_out(lambda crowd: crowd.act(MESSAGE_CONNECTIONS, send), "peers")


@pytest.mark.parametrize("framing", ["sized", "chunked"])
def test_bodies_that_stop_short_at_the_port_of_the_vms(hold_out, framing):
    """Guards against the sum of messages of legal size, as bodies of HTTP/1.1."""
    fields = {
        "sized": f"Content-Length: {MESSAGE_BYTES}",
        "chunked": "Transfer-Encoding: chunked",
    }
    body = b"x" * MESSAGE_BYTES
    body = chunked(MESSAGE_BYTES, MESSAGE_BYTES) if framing == "chunked" else body
    request_head = head("POST", "/GetJob", fields[framing])

    async def attack(crowd):
        count = MESSAGE_CONNECTIONS * MESSAGE_STREAMS
        await send_bodies(crowd, request_head, body, PIECE_BYTES, count)

    hold_out(attack, "peers")
