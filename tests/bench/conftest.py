"""Fixtures of the benchmark's tests."""

from collections.abc import Callable
from datetime import timedelta

import pytest
from result import Ok

from hornbeamramp.bench._shapes import SHAPES
from hornbeamramp.bench.driver import Driver
from hornbeamramp.bench.workload import SECOND_US, SimulatedJob, fleet, steady
from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Admitted, Cancellation, CancellationKind, EndEffect, Start
from hornbeamramp.ids import AttemptId


class ScriptedScheduler:
    """Scheduler stub: returns the decisions a test sets and requests a retry of each ended task."""

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


class DriverHarness:
    """A driver with a `ScriptedScheduler` on the ``kaya_tickets`` fleet."""

    def __init__(self) -> None:
        self.shape = SHAPES["kaya_tickets"]
        self.upstreams = fleet(self.shape)
        self.scheduler = ScriptedScheduler()
        self._stream = steady(self.shape, 1, 10**12)
        self.driver = Driver(
            self.scheduler, ManualClock(), self.upstreams, count_to_us=10 * SECOND_US
        )

    def submit_job(self, name: str) -> SimulatedJob:
        """Submits a new job of the named class and returns it."""
        sim_job = next(w for w in self._stream if w.job_class.name == name)
        self.driver.submit(sim_job)
        return sim_job

    def start(
        self, sim_job: SimulatedJob, number: int, task: int = 0, upstream: int = 0
    ) -> AttemptId:
        """Makes the scheduler decide a start and the driver apply it; returns the attempt."""
        attempt_id = AttemptId(f"{sim_job.job.id}.{task}.1.{number}")
        upstream_id = self.upstreams[upstream].id
        self.scheduler.decisions = [
            Start(
                attempt_id,
                sim_job.job,
                task,
                upstream_id,
                sim_job.job.resources,
                sim_job.job.declared_run,
            )
        ]
        self.driver.decide()
        return attempt_id


@pytest.fixture
def harness() -> DriverHarness:
    return DriverHarness()


@pytest.fixture
def rates() -> Callable[..., dict[str, float]]:
    """Returns a function that computes the task starts per second by job class of a stream."""

    def count(stream, seconds: float) -> dict[str, float]:
        rate_by_class: dict[str, float] = {}
        for sim_job in stream:
            name = sim_job.job_class.name
            rate_by_class[name] = rate_by_class.get(name, 0.0) + sim_job.job.tasks / seconds
        return rate_by_class

    return count
