"""Tests of the HTTP upstream adapter against the stand-in upstream on loopback sockets."""

import asyncio
import contextlib
import socket
from datetime import datetime, timedelta

import aiohttp
import pytest

from hornbeamramp.clock import SystemClock
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.ids import AttemptId, Epoch, JobId, ShardId, VmId
from hornbeamramp.resources import Resources
from hornbeamramp.standins.upstream import UpstreamServer, expected_answer, parse_worker
from hornbeamramp.states import Capability, TaskState
from hornbeamramp.upstreams import UPSTREAMS, StartReply, StartRequest, TaskLabels
from hornbeamramp.upstreams.http import HttpUpstream

SECOND = timedelta(seconds=1)
LONG = 10 * SECOND
HOUR = timedelta(hours=1)
SHARD = ShardId("pool@dc")
WORKER = "id=w1,rack=r1,processors=2,usage_lag_ms=0"
A, B, C = AttemptId("j/1.0.3.0"), AttemptId("b"), AttemptId("c")


class ShiftedClock(SystemClock):
    """System clock whose wall-clock time and boot time are shifted by ``shift``."""

    def __init__(self, shift: timedelta) -> None:
        self.shift = shift

    def now(self) -> datetime:
        return super().now() + self.shift

    def boot_time(self) -> timedelta:
        return super().boot_time() + self.shift


def request(attempt=A, payload=b"payload", run=timedelta(0), not_after=LONG, epoch=3, **fields):
    labels = TaskLabels(JobId("j"), SHARD, VmId("vm-1"), Epoch(epoch), b"job")
    resources = Resources(processors_milli=1000, memory_mib=512)
    return StartRequest(attempt, payload, resources, 60 * SECOND, run, not_after, labels, **fields)


@contextlib.asynccontextmanager
async def serving(worker: str = WORKER, timeout: timedelta = LONG, clock=None):
    shape, address, lag = parse_worker(worker)
    server = UpstreamServer(shape, address, clock, lag)
    await server.start()
    client = UPSTREAMS.find("http")(server.address, timeout, SystemClock())
    try:
        yield server, client
    finally:
        await client.close()
        await server.stop()


async def set_faults(server: UpstreamServer, **faults: object) -> int:
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{server.address}/v1/faults", json=faults) as response,
    ):
        return response.status


def started_attempts(server: UpstreamServer) -> list[str]:
    return [entry.attempt_id for entry in server.model.log().entries if entry.event == "start"]


def test_task_runs_and_answers(run):
    """Guards against adapter and upstream that implement the protocol differently."""

    async def scenario():
        async with serving() as (server, client):
            payload = bytes(range(256))
            assert await client.start(request(payload=payload)) is StartReply.STARTED
            result = await client.result(A, LONG)
            assert result.payload == expected_answer(payload)
            assert (result.attempt_id, result.upstream_id) == (A, "w1")
            assert await client.start(request(payload=payload)) is StartReply.STARTED
            assert started_attempts(server) == [A]
            assert await client.result(B, LONG) is None

    run(scenario())


def test_shape_and_list_arrive_unchanged(run):
    """Guards against labels or amounts, which recovery relies on, being lost in transmission."""

    async def scenario():
        async with serving() as (server, client):
            assert await client.shape() == server.model.shape()
            sent = request(run=HOUR)
            await client.start(sent)
            [task] = await client.list_tasks()
            assert (task.attempt_id, task.state) == (A, TaskState.RUNNING)
            assert (task.labels, task.resources) == (sent.labels, sent.resources)
            assert timedelta(0) < task.lease_left <= sent.lease
            [report] = await client.usage()
            assert (report.attempt_id, report.usage) == (A, sent.resources)

    run(scenario())


def test_running_task_is_controlled(run):
    """Guards against renewals or stops that act on the wrong task or report the wrong state."""

    async def scenario():
        async with serving() as (_, client):
            await client.start(request(A, run=HOUR))
            await client.start(request(B, run=HOUR))
            assert await client.renew([A, B, C], Epoch(3), LONG) == [A, B]
            assert await client.throttle(A, Resources(processors_milli=100))
            assert not await client.throttle(C, Resources(processors_milli=100))
            assert await client.result(A, timedelta(0)) is TaskState.RUNNING
            assert await client.checkpoint(A)
            assert not await client.checkpoint(A)
            assert await client.result(A, LONG) is TaskState.CHECKPOINTED
            assert await client.stop(B) is TaskState.STOPPED
            assert await client.stop(B) is TaskState.STOPPED
            assert await client.renew([A, B], Epoch(3), LONG) == []

    run(scenario())


def test_stop_wakes_the_caller_that_waits_for_the_result(run):
    """Guards against a cancelled job whose caller waits until its timeout."""

    async def scenario():
        async with serving() as (_, client):
            await client.start(request(run=HOUR))
            waiting = asyncio.create_task(client.result(A, LONG))
            await client.stop(A)
            assert await waiting is TaskState.STOPPED

    run(scenario())


def test_refusals_tell_their_reason(run):
    """Guards against a start beyond capacity, with a fenced epoch or at a leaving upstream."""

    async def scenario():
        async with serving() as (server, client):
            await client.start(request(A, run=HOUR))
            await client.start(request(B, run=HOUR))
            assert await client.start(request(C)) is StartReply.REFUSED_FULL
            assert await client.stop(A) is TaskState.STOPPED
            assert await client.fence(SHARD, Epoch(4))
            assert await client.start(request(C)) is StartReply.REFUSED_FENCED
            await set_faults(server, leaving=True)
            assert (await client.shape()).leaving
            assert await client.start(request(C, epoch=4)) is StartReply.REFUSED_LEAVING
            assert started_attempts(server) == [A, B]

    run(scenario())


def test_stop_of_an_unknown_attempt_blocks_its_late_start(run):
    """Guards against a job that is reported as not run although its start was only delayed."""

    async def scenario():
        async with serving() as (_, client):
            assert await client.stop(A) is None
            assert await client.start(request()) is StartReply.REFUSED_FENCED
        async with serving(f"{WORKER},capabilities=none") as (_, client):
            assert (await client.shape()).capabilities == frozenset()
            assert await client.stop(A) is None
            assert await client.start(request()) is StartReply.STARTED
            assert not await client.fence(SHARD, Epoch(4))
            assert [task.labels for task in await client.list_tasks()] == [None]

    run(scenario())


@pytest.mark.parametrize("shift", [-HOUR, HOUR])
def test_not_after_does_not_depend_on_equal_clocks(run, shift):
    """Guards against wrongly refused or wrongly accepted starts because wall clocks differ."""

    async def scenario():
        async with serving(clock=ShiftedClock(shift)) as (_, client):
            assert await client.start(request(A, not_after=LONG)) is StartReply.STARTED
            assert await client.start(request(B, not_after=-SECOND)) is StartReply.REFUSED_LATE
        async with serving(f"{WORKER},capabilities=labels") as (_, client):
            assert Capability.NOT_AFTER not in (await client.shape()).capabilities
            assert await client.start(request(B, not_after=-SECOND)) is StartReply.STARTED

    run(scenario())


def test_not_after_holds_when_the_upstream_clock_is_set_back(run):
    """Guards against a not-after time that is an hour too late after a clock was set back."""

    async def scenario():
        clock = ShiftedClock(HOUR)
        async with serving(clock=clock) as (_, client):
            await client.shape()
            clock.shift = timedelta(0)
            await client.shape()
            assert await client.start(request(not_after=-SECOND)) is StartReply.REFUSED_LATE

    run(scenario())


def test_not_after_holds_after_a_long_time_without_calls(run):
    """Guards against a not-after time that is wrong by the clock drift since the last call."""

    async def scenario():
        clock = ShiftedClock(timedelta(0))
        async with serving() as (server, _):
            client = HttpUpstream(server.address, LONG, clock)
            await client.shape()
            clock.shift = 61 * SECOND
            assert await client.start(request(not_after=-SECOND)) is StartReply.REFUSED_LATE
            await client.close()

    run(scenario())


def test_failed_check_sends_nothing(run):
    """Guards against a start by an owner whose proof of ownership has expired."""

    async def scenario():
        async with serving() as (server, client):
            with pytest.raises(UnreachableError) as caught:
                await client.start(request(), check=lambda: False)
            assert not caught.value.sent
            assert await client.start(request(B), check=lambda: True) is StartReply.STARTED
            assert started_attempts(server) == [B]

    run(scenario())


def test_start_at_an_unreachable_upstream_is_reported_as_not_sent(run):
    """Guards against an unknown outcome of a job that can safely be placed elsewhere."""

    async def scenario():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            client = HttpUpstream(f"127.0.0.1:{sock.getsockname()[1]}", LONG, SystemClock())
            with pytest.raises(UnreachableError) as caught:
                await client.start(request())
            assert not caught.value.sent
            await client.close()

    run(scenario())


def test_start_whose_answer_is_lost_took_effect(run):
    """Guards against reporting a running task as not run, and against a second start."""

    async def scenario():
        async with serving() as (server, client):
            await client.shape()
            await set_faults(server, lose_answers=1, lose_methods=["PUT"])
            with pytest.raises(UnreachableError) as caught:
                await client.start(request(run=HOUR))
            assert caught.value.sent
            assert [task.attempt_id for task in await client.list_tasks()] == [A]
            assert started_attempts(server) == [A]

    run(scenario())


def test_silent_connection_is_given_up_for_a_new_one(run):
    """Guards against waiting forever on an established connection while new ones work."""

    async def scenario():
        async with serving(timeout=SECOND) as (server, client):
            await client.shape()
            await set_faults(server, silent="existing")
            with pytest.raises(UnreachableError) as caught:
                await client.start(request())
            assert caught.value.sent
            assert await client.list_tasks() == []
            assert await client.start(request()) is StartReply.STARTED

    run(scenario())


def test_answer_held_back_by_silence_is_found_on_a_new_connection(run):
    """Guards against losing a result because the connection that waits for it is silent."""

    async def scenario():
        async with serving(timeout=SECOND) as (server, client):
            await client.start(request(run=HOUR, payload=b"p"))
            waiting = asyncio.create_task(client.result(A, SECOND))
            await set_faults(server, silent="all")
            with pytest.raises(UnreachableError):
                await waiting
            with pytest.raises(UnreachableError):
                await client.list_tasks()
            await set_faults(server)
            assert await client.result(A, timedelta(0)) is TaskState.RUNNING

    run(scenario())


def test_answer_to_another_attempt_is_discarded(run):
    """Guards against a caller receiving another caller's answer."""

    async def scenario():
        async with serving() as (server, client):
            for attempt in (A, B):
                await client.start(request(attempt, payload=attempt.encode()))
                await client.result(attempt, LONG)
            await set_faults(server, crossed=True)
            with pytest.raises(ProtocolError, match="instead of"):
                await client.result(A, LONG)
            await set_faults(server)
            assert (await client.result(A, LONG)).payload == expected_answer(A.encode())

    run(scenario())


@pytest.mark.parametrize(
    ("truncated", "error"), [("payload", ProtocolError), ("body", UnreachableError)]
)
def test_truncated_answer_is_discarded(run, truncated, error):
    """Guards against a caller receiving a truncated answer."""

    async def scenario():
        async with serving() as (server, client):
            await client.start(request())
            await client.result(A, LONG)
            await set_faults(server, truncated=truncated)
            with pytest.raises(error):
                await client.result(A, LONG)
            await set_faults(server)
            assert (await client.result(A, LONG)).is_intact()

    run(scenario())


def test_late_answer_does_not_reach_the_next_request(run, monkeypatch):
    """Guards against an answer that arrives late being taken for that of the next request."""

    async def scenario():
        async with serving() as (server, client):
            await client.start(request(A, payload=b"a"))
            await client.start(request(B, payload=b"b"))
            await set_faults(server, late_ms=3000)
            # Only this call gives up early: on a busy machine, the others may take a second.
            with monkeypatch.context() as patch, pytest.raises(UnreachableError):
                patch.setattr(client._client, "_timeout", SECOND)
                await client.result(A, timedelta(0))
            await set_faults(server)
            assert (await client.result(B, LONG)).payload == expected_answer(b"b")

    run(scenario())


def test_failing_worker_fails_each_task(run):
    """Guards against a failed task without a state that health tracking can count."""

    async def scenario():
        async with serving() as (server, client):
            await set_faults(server, fail_tasks=True)
            await client.start(request(run=HOUR))
            assert await client.result(A, LONG) is TaskState.FAILED
            assert await set_faults(server, fail_task=True) == 400

    run(scenario())
