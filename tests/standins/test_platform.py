"""Tests of the stand-in platform as a process and of its rate limit."""

import asyncio
import re
import signal
from datetime import timedelta

from hornbeamramp.clock import SystemClock
from hornbeamramp.platforms.http import HttpPlatform
from hornbeamramp.standins.platform import RateLimit
from tests.standins.processes import standin_process

SECOND = timedelta(seconds=1)


def test_process_prints_its_address_and_ends_on_sigterm(run):
    """Guards against a process that outlives SIGTERM, for example while a watch is pending."""

    async def scenario(address):
        client = HttpPlatform(address, 10 * SECOND, SystemClock())
        version = await client.put("a", b"1", None)
        watch = asyncio.create_task(client.watch("a", version, 60 * SECOND))
        await client.get("a")
        await client.close()
        await asyncio.gather(watch, return_exceptions=True)

    with standin_process("platform", "--address", "127.0.0.1:0") as process:
        line = process.stdout.readline()
        assert re.fullmatch(r"listening on 127\.0\.0\.1:[1-9][0-9]*\n", line)
        run(scenario(line.split()[-1]))
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 0
        assert process.stdout.read() == ""


def test_rate_limit_refills_with_time(clock):
    """Guards against idle time that accumulates tokens for more than one second of calls."""
    limit = RateLimit(2.0, clock)
    assert [limit.take() for _ in range(3)] == [True, True, False]
    clock.set(SECOND / 2)
    assert [limit.take() for _ in range(2)] == [True, False]
    clock.set(60 * SECOND)
    assert [limit.take() for _ in range(3)] == [True, True, False]
