"""Tests of the simulated worker on a manual clock. Other tests rely on its log as ground truth."""

from datetime import timedelta

import msgspec
import pytest

from hornbeamramp.ids import AttemptId, Epoch, JobId, RackId, ShardId, UpstreamId, VmId
from hornbeamramp.jobs import TaskResult
from hornbeamramp.resources import ZERO, Resources
from hornbeamramp.standins.worker_model import WorkerModel, expected_answer
from hornbeamramp.states import Capability, TaskState
from hornbeamramp.upstreams import StartReply, StartRequest, TaskLabels, UpstreamShape

SECOND = timedelta(seconds=1)
SHARD = ShardId("pool@dc")
CAPACITY = Resources(4000, 4096, 1, 3, 3)
TASK = Resources(1000, 1024)
A, B, C, D = (AttemptId(name) for name in "abcd")


@pytest.fixture
def worker(clock):
    shape = UpstreamShape(
        UpstreamId("w1"), RackId("r1"), CAPACITY, speed=2.0, capabilities=frozenset(Capability)
    )
    return WorkerModel(shape, clock, usage_lag=2 * SECOND)


def request(attempt, run=10 * SECOND, lease=60 * SECOND, payload=b"", epoch=1, **fields):
    labels = TaskLabels(JobId(f"job-{attempt}"), SHARD, VmId("vm"), Epoch(epoch))
    resources = fields.pop("resources", TASK)
    return StartRequest(attempt, payload, resources, lease, run, SECOND, labels, **fields)


def events(worker):
    return [
        (entry.event, entry.attempt_id, entry.at_ms, entry.reason) for entry in worker.log().entries
    ]


def test_run_time_is_divided_by_speed(worker, clock):
    """Guards against an end time other than run / speed, such as the time of the next query."""
    assert worker.start(request(A, payload=b"p")) is StartReply.STARTED
    clock.set(4.9 * SECOND)
    assert worker.result(A) is TaskState.RUNNING
    clock.set(30 * SECOND)
    result = worker.result(A)
    assert isinstance(result, TaskResult) and result.is_intact()
    assert result.payload == expected_answer(b"p") != expected_answer(b"q")
    assert events(worker) == [("start", A, 0.0, ""), ("end", A, 5000.0, "finished")]


def test_capacity_is_never_exceeded(worker, clock):
    """Guards against a worker that exceeds its capacity, or does not count such an attempt."""
    assert worker.start(request(A, resources=Resources(3000, 1024, 1))) is StartReply.STARTED
    too_large = [Resources(1001), Resources(0, 3073), Resources(0, 0, 1), Resources(0, 0, 0, 3)]
    for resources in too_large:
        assert worker.start(request(B, resources=resources)) is StartReply.REFUSED_FULL
    assert not worker.throttle(A, Resources(4001, 1024, 1))
    assert worker.log().overbooking_attempts == 5
    assert worker.start(request(C, resources=Resources(1000, 3072))) is StartReply.STARTED
    clock.set(10 * SECOND)
    assert worker.start(request(D, resources=CAPACITY)) is StartReply.STARTED
    worker.stop(D)
    log = worker.log()
    assert all(entry.allocated.fits_in(CAPACITY) for entry in log.entries)
    assert log.entries[-1].allocated == ZERO


def test_task_stops_when_its_lease_ends(worker, clock):
    """Guards against tasks that run on after their lease expired, or end despite a renewal.

    The leases of a crashed owner's tasks are no longer renewed, so these tasks must end.
    """
    worker.start(request(A, lease=2 * SECOND))
    worker.start(request(B, lease=2 * SECOND))
    clock.set(SECOND)
    assert worker.renew([A], Epoch(1), 10 * SECOND) == [A]
    clock.set(3 * SECOND)
    assert worker.renew([A, B], Epoch(1), 10 * SECOND) == [A]
    assert worker.result(B) is TaskState.STOPPED
    assert ("end", B, 2000.0, "lease") in events(worker)
    row = worker.list_tasks()[0]
    assert (row.lease_left, row.renewed_ago) == (10 * SECOND, timedelta(0))


def test_throttled_task_takes_longer_and_frees_capacity(worker, clock):
    """Guards against throttling that changes neither run time nor free capacity."""
    worker.start(request(A, resources=Resources(4000, 1024)))
    clock.set(2.5 * SECOND)
    assert worker.throttle(A, Resources(1000, 1024))
    assert worker.start(request(B, resources=Resources(3000, 1024))) is StartReply.STARTED
    clock.set(60 * SECOND)
    assert ("end", A, 12500.0, "finished") in events(worker)


def test_service_task_runs_until_stopped(worker, clock):
    """Guards against service tasks that end without a stop."""
    worker.start(request(A, lease=1000 * SECOND, is_service=True))
    clock.set(900 * SECOND)
    assert worker.result(A) is TaskState.RUNNING
    assert worker.stop(A) is TaskState.STOPPED


def test_ended_tasks_are_listed_for_sixty_seconds(worker, clock):
    """Guards against a second start of an ended attempt, and against an unbounded task list."""
    worker.start(request(A))
    clock.set(65 * SECOND)
    assert [task.state for task in worker.list_tasks()] == [TaskState.SUCCEEDED]
    assert worker.start(request(A)) is StartReply.STARTED
    assert len(worker.log().entries) == 2
    clock.set(66 * SECOND)
    assert worker.list_tasks() == []
    assert worker.result(A) is None


def test_fence_refuses_lower_epochs(worker):
    """Guards against starts and renewals by an owner that has been replaced."""
    worker.start(request(A, epoch=1))
    assert worker.fence(SHARD, Epoch(3))
    assert worker.fence(SHARD, Epoch(2))
    assert worker.start(request(B, epoch=2)) is StartReply.REFUSED_FENCED
    assert worker.renew([A], Epoch(2), SECOND) == []
    assert worker.renew([A], Epoch(3), SECOND) == [A]
    assert worker.list_tasks()[0].labels.epoch == 3
    assert worker.start(request(B, epoch=3)) is StartReply.STARTED


def test_usage_reports_lag(worker, clock):
    """Guards against usage reports without delay, on which estimates could come to rely."""
    usage = Resources(500, 8192)
    simulated = {"simulate": {"run_ms": 20_000, "usage": usage}}
    worker.start(request(A, payload=msgspec.json.encode(simulated)))
    clock.set(SECOND)
    assert worker.usage() == []
    clock.set(7 * SECOND)
    [report] = worker.usage()
    assert (report.attempt_id, report.usage, report.progress) == (A, usage, 0.5)
    clock.set(11 * SECOND)
    assert worker.result(A) is not TaskState.RUNNING
    assert [report.progress for report in worker.usage()] == [0.9]
    clock.set(12 * SECOND)
    assert worker.usage() == []


def test_payload_can_simulate_failure(worker, clock):
    """Guards against a simulation that can't tell a failing job from a failing worker."""
    payload = b'{"simulate": {"run_ms": 2000, "fails": true}}'
    worker.start(request(A, payload=payload))
    worker.start(request(B, payload=b'{"simulate": "no"}'))
    clock.set(5 * SECOND)
    assert worker.result(A) is TaskState.FAILED
    assert events(worker)[2:] == [("end", A, 1000.0, "failed"), ("end", B, 5000.0, "finished")]


def test_failing_worker_fails_tasks_fast(worker, clock):
    """Guards against a broken worker whose tasks take as long to fail as healthy ones to run."""
    worker.fail_all = True
    worker.start(request(A))
    clock.set(SECOND)
    assert worker.result(A) is TaskState.FAILED
    assert ("end", A, 5.0, "failed") in events(worker)
