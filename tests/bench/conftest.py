"""Fixtures of the benchmark's tests."""

from collections.abc import Callable
from datetime import timedelta

import pytest
from result import Ok

from hornbeamramp.bench._shapes import SHAPES
from hornbeamramp.bench.driver import Driver
from hornbeamramp.bench.workload import SECOND, Work, fleet, steady
from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Admitted, Cancellation, CancellationKind, EndEffect, Start
from hornbeamramp.ids import AttemptId


class ScriptedScheduler:
    """Makes the decisions of a test, right or wrong, and queues each ended task again."""

    def __init__(self) -> None:
        self.decisions: list = []

    def add_upstream(self, shape) -> None:
        pass

    def submit(self, job):
        return Ok(Admitted(timedelta(0)))

    def decide(self, limit):
        decisions, self.decisions = self.decisions, []
        return decisions

    def started(self, attempt_id) -> None:
        pass

    def ended(self, attempt_id, end, usage):
        return EndEffect.RETRY

    def report_usage(self, attempt_id, usage) -> None:
        pass

    def cancel(self, job_id):
        return Cancellation(CancellationKind.QUEUED)

    def expire(self):
        return []


class Script:
    """A driver with a `ScriptedScheduler` on one shape."""

    def __init__(self) -> None:
        self.shape = SHAPES["kaya_tickets"]
        self.upstreams = fleet(self.shape)
        self.scheduler = ScriptedScheduler()
        self._stream = steady(self.shape, 1, 10**12)
        self.driver = Driver(self.scheduler, ManualClock(), self.upstreams, count_to_us=10 * SECOND)

    def work(self, name: str) -> Work:
        """Returns a new job of the named class, already submitted."""
        chosen = next(w for w in self._stream if w.job_class.name == name)
        self.driver.submit(chosen)
        return chosen

    def start(self, work: Work, number: int, task: int = 0, upstream: int = 0) -> AttemptId:
        """Makes the scheduler start an attempt and the driver carry it out."""
        attempt_id = AttemptId(f"{work.job.id}.{task}.1.{number}")
        upstream_id = self.upstreams[upstream].id
        self.scheduler.decisions = [
            Start(
                attempt_id, work.job, task, upstream_id, work.job.resources, work.job.declared_run
            )
        ]
        self.driver.decide()
        return attempt_id


@pytest.fixture
def script() -> Script:
    return Script()


@pytest.fixture
def rates() -> Callable[..., dict[str, float]]:
    """Counts task starts per second by job class over a generated stream."""

    def count(stream, seconds: float) -> dict[str, float]:
        found: dict[str, float] = {}
        for work in stream:
            name = work.job_class.name
            found[name] = found.get(name, 0.0) + work.job.tasks / seconds
        return found

    return count
