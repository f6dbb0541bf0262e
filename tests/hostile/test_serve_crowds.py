"""Crowds of callers that keep to no limit, against the process of `hornbeamramp serve`.

As in `test_crowds`, the checks don't depend on the machine's speed, and the bounds are those of the
process's settings.
"""

import asyncio
from http import HTTPStatus

import msgspec
import pytest

from hornbeamramp.errors import UnreachableError
from hornbeamramp.standins.cell import LocalCell, WorkerSpec
from tests.hostile.crowd import ORDINARY_ATTEMPTS, ORDINARY_PAUSE_S, Crowd, Gauge
from tests.hostile.test_crowds import (
    FIELD_BYTES,
    FIELDS,
    PIECE_BYTES,
    chunked,
    send_bodies,
    split,
)
from tests.keys import Authority
from tests.listeners import ROUTE

pytestmark = pytest.mark.alone

MEMORY_MB = 160
MAX_FDS = 600
LIMITS = {"body_bytes": 262_144, "memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
BODY_BYTES = 262_144
CONNECTIONS = 800
HEADS = 80
BODIES = 400
TINY_CHUNK_FLOOD = 200
LISTENERS = ("callers", "admin", "peers")


def head(*lines):
    """Returns the head of a request that needs a token at the operators' listener, and has none."""
    first = ("POST /v1/jobs HTTP/1.1", "Host: x", "Prefer: respond-async", *lines, "", "")
    return "\r\n".join(first).encode()


@pytest.fixture
def hold_out(tmp_path):
    """Runs an attack, a coroutine function of a crowd, and checks what must hold."""

    async def is_answered(request):
        for _ in range(ORDINARY_ATTEMPTS):
            try:
                async with asyncio.timeout(6):
                    status = await request()
            except (OSError, UnreachableError, TimeoutError):
                status = None
            if status == HTTPStatus.OK:
                return True
            await asyncio.sleep(ORDINARY_PAUSE_S)
        return False

    async def check_requests(cell, entry):
        async def submit():
            status, _ = await cell.submit(entry, {"route": "ticket"})
            return status

        async def ask_status():
            await cell.admin_client(entry).status()
            return HTTPStatus.OK

        assert await is_answered(submit)
        assert await is_answered(ask_status)

    def start(attack, listener, tls=False):
        async def main():
            workers = [WorkerSpec("worker-1", "gebze", "tickets")]
            settings = {"limits": LIMITS}
            if tls:
                settings["tls"] = msgspec.to_builtins(Authority(tmp_path, "own").issue("vm"))
            async with LocalCell(["gebze"], 1, workers, settings=settings) as cell:
                await cell.put_tables([ROUTE])
                await cell.wait_serving()
                entry = cell.entries[0]
                await check_requests(cell, entry)
                crowd = Crowd(f"127.0.0.1:{getattr(entry, listener)}")
                with Gauge(entry.program.process.pid) as gauge:
                    try:
                        await attack(crowd)
                        await check_requests(cell, entry)
                        await gauge.wait_until_idle()
                        await check_requests(cell, entry)
                        gauge.check(MEMORY_MB, MAX_FDS)
                    finally:
                        await crowd.close()

        asyncio.run(main())

    return start


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("has_end", [True, False], ids=["over the limit", "without end"])
def test_heads(hold_out, listener, has_end):
    """Guards against heads that are read to their end, or held while there is none."""
    data = head(*(f"X-{number}: {'x' * FIELD_BYTES}" for number in range(FIELDS)))
    data = data if has_end else data[:-2]
    hold_out(lambda crowd: crowd.send(HEADS, split(data, PIECE_BYTES)), listener)


@pytest.mark.parametrize("listener", LISTENERS)
def test_empty_lines_before_a_request(hold_out, listener):
    """Guards against bytes that are no part of a request and are read without a limit."""
    pieces = split(b"\r\n" * 2_097_152, PIECE_BYTES)
    hold_out(lambda crowd: crowd.send(HEADS, pieces), listener)


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("framing", ["sized", "one chunk"])
def test_bodies_that_stop_short(hold_out, listener, framing):
    """Guards against the sum of bodies of legal size, each of which is held until its end."""
    body = b"x" * BODY_BYTES
    field = f"Content-Length: {BODY_BYTES}"
    if framing == "one chunk":
        body, field = chunked(BODY_BYTES, BODY_BYTES), "Transfer-Encoding: chunked"
    hold_out(lambda crowd: send_bodies(crowd, head(field), body, PIECE_BYTES, BODIES), listener)


@pytest.mark.parametrize("listener", LISTENERS)
def test_flood_of_small_chunks(hold_out, listener):
    """Guards against a process that parses all that a crowd has sent before it serves others."""
    body = chunked(BODY_BYTES, 1)

    async def attack(crowd):
        request_head = head("Transfer-Encoding: chunked")
        await send_bodies(crowd, request_head, body, PIECE_BYTES, TINY_CHUNK_FLOOD)

    hold_out(attack, listener)


@pytest.mark.parametrize("listener", LISTENERS)
def test_more_connections_than_descriptors(hold_out, listener):
    """Guards against connections that take the descriptors of the process."""
    hold_out(lambda crowd: crowd.send(CONNECTIONS, [b"GET "]), listener)


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("hello", [b"", b"\x16\x03\x01\x02\x00"], ids=["nothing", "part"])
def test_handshakes_that_stop_short(hold_out, listener, hello):
    """Guards against connections that are bounded only once their TLS handshake is over."""
    hold_out(lambda crowd: crowd.send(CONNECTIONS, [hello]), listener, tls=True)
