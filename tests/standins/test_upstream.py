"""Tests of the stand-in upstream as a process and of its settings."""

import json
import re
import signal
import urllib.request
from datetime import timedelta

import pytest

from hornbeamramp.clock import SystemClock
from hornbeamramp.errors import UnreachableError
from hornbeamramp.resources import Resources
from hornbeamramp.standins.upstream import parse_worker
from hornbeamramp.states import Capability
from hornbeamramp.upstreams.http import HttpUpstream
from tests.standins.processes import standin_process

SECOND = timedelta(seconds=1)


def test_one_process_serves_several_workers(run):
    """Guards against workers of one process that share a shape, a log or faults.

    It also guards against a process that does not end while a silent connection is open.
    """

    async def scenario(first, second):
        clients = [HttpUpstream(address, SECOND, SystemClock()) for address in (first, second)]
        shapes = [await client.shape() for client in clients]
        assert [(s.id, s.resources.processors_milli) for s in shapes] == [("w1", 2000), ("w2", 500)]
        body = json.dumps({"silent": "all"}).encode()
        urllib.request.urlopen(f"http://{first}/v1/faults", body).close()  # noqa: ASYNC210
        with pytest.raises(UnreachableError):
            await clients[0].shape()
        assert await clients[1].list_tasks() == []
        for client in clients:
            await client.close()

    workers = ["id=w1,address=127.0.0.1:0,processors=2", "id=w2,address=127.0.0.1:0,processors=0.5"]
    with standin_process("upstream", *(f"--worker={worker}" for worker in workers)) as process:
        lines = [process.stdout.readline() for _ in workers]
        matches = [re.fullmatch(r"listening on (127\.0\.0\.1:\d+) as (w\d)\n", s) for s in lines]
        assert [match[2] for match in matches] == ["w1", "w2"]
        run(scenario(*(match[1] for match in matches)))
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 0


def test_worker_settings():
    """Guards against a misspelt setting that is ignored, so that its default applies."""
    text = "id=w1,address=127.0.0.1:9,rack=r2,processors=128,memory_mib=2,accelerators=8,slots=3,"
    text += "connections=4,speed=0.5,capabilities=fence+labels,usage_lag_ms=100"
    shape, address, lag = parse_worker(text)
    assert (shape.id, shape.rack, address, lag) == ("w1", "r2", "127.0.0.1:9", 0.1 * SECOND)
    assert (shape.resources, shape.speed) == (Resources(128_000, 2, 8, 3, 4), 0.5)
    assert shape.capabilities == {Capability.FENCE, Capability.LABELS}
    assert parse_worker("id=w1,capabilities=none")[0].capabilities == frozenset()
    for bad in ("rack=r1", "id=w1,cores=3", "id=w1,speed=fast", "id=w1,capabilities=all"):
        with pytest.raises(ValueError):
            parse_worker(bad)
