"""The lines about callers' requests from which the logs tell what became of each."""

import asyncio

import aiohttp
import pytest
import yarl

from hornbeamramp.clock import SystemClock
from hornbeamramp.platform.callers import CallerServer
from hornbeamramp.vm import CancelResult
from hornbeamramp.workload import RequestLimits, RouteMatch
from tests.model.cell import queue

JOB = "0123456789abcdef"


class StubConfig:
    account_by_id = {}
    request_limits = RequestLimits()

    def match(self, host, path):
        return RouteMatch(queue("gate"), path.rpartition("/")[2])


class StubNode:
    def __init__(self):
        self.clock = SystemClock()
        self.config = StubConfig()
        self.is_ready = True


class StubService:
    """Knows no job. ``block`` delays answers until the request is cancelled."""

    def __init__(self):
        self.block = False
        self.is_asked = asyncio.Event()

    async def phase(self, queue, job_id, timeout, access):
        self.is_asked.set()
        if self.block:
            await asyncio.sleep(60.0)
        return

    async def cancel(self, queue, job_id, timeout, access):
        return CancelResult.ABSENT


@pytest.fixture
def serve_callers():
    """Runs a scenario with a server on loopback, its service, and the URL of a job."""

    def run(scenario):
        async def main():
            service = StubService()
            server = CallerServer(StubNode(), service)
            await server.start("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
            [address, *_] = server._runner.addresses
            async with aiohttp.ClientSession() as session:
                try:
                    await scenario(session, f"http://127.0.0.1:{address[1]}/gate/{JOB}", service)
                finally:
                    await server.close()

        asyncio.run(main())

    return run


def events(records, event):
    return [record for record in records if record.extra["event"] == event]


def test_answer_410_is_logged_with_the_job_and_its_pool(serve_callers, log_records):
    """Guards against an accepted job that is answered as unknown without a line on it."""

    async def scenario(session, url, service):
        async with session.get(url) as response:
            assert response.status == 410
        async with session.delete(url) as response:
            assert response.status == 410

    serve_callers(scenario)
    lines = events(log_records, "job_unknown")
    assert [line.message.split()[1] for line in lines] == ["GET", "DELETE"]
    assert {(line.extra["job"], line.extra["queue"]) for line in lines} == {(JOB, "gate")}


def test_request_to_cancel_is_logged_before_it_is_carried_out(serve_callers, log_records):
    """Guards against a cancelled job of which no line tells who asked for it."""

    async def scenario(session, url, service):
        async with session.delete(url):
            pass

    serve_callers(scenario)
    kinds = [record.extra["event"] for record in log_records if record.extra["event"]]
    assert kinds == ["job_cancel_requested", "job_unknown"]


def test_request_that_is_cut_off_leaves_a_line(serve_callers, log_records):
    """Guards against a request that was read and whose connection ends without an answer or a
    line, for example at the end of a shutdown."""

    async def scenario(session, url, service):
        service.block = True
        reader, writer = await asyncio.open_connection("127.0.0.1", yarl.URL(url).port)
        writer.write(f"GET /gate/{JOB} HTTP/1.1\r\nHost: kaya\r\n\r\n".encode())
        await service.is_asked.wait()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            if task.get_coro().__qualname__ == "RequestHandler.start":
                task.cancel()
        assert await reader.read() == b""
        writer.close()

    serve_callers(scenario)
    [line] = events(log_records, "request_unanswered")
    assert f"GET /gate/{JOB}" in line.message
    assert "CancelledError" in line.message
