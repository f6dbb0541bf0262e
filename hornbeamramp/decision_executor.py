"""Execution of the scheduler's decisions on the upstreams."""

from collections.abc import Callable, Coroutine
from typing import Any

import logbook

from hornbeamramp.attempts import AttemptRunner
from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.decisions import Checkpoint, Decision, Start, Stop, TaskEnd, Throttle
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.ids import AttemptId, UpstreamId
from hornbeamramp.job_records import JobRecord, JobRecords
from hornbeamramp.jobs import Job
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.telemetry import Metrics
from hornbeamramp.upstream_link import UpstreamLink

__all__ = ["DecisionExecutor"]

_log = logbook.Logger("owner")


class DecisionExecutor:
    """Sends starts, stops, checkpoints and throttles, each in a background task of its own.

    `link_by_id`
        Links to the shard's upstreams; shared with the owner, which adds to it.
    `wake`
        Has the owner request decisions from the scheduler.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        scheduler: ShardScheduler,
        records: JobRecords,
        link_by_id: dict[UpstreamId, UpstreamLink],
        runner: AttemptRunner,
        tasks: BackgroundTasks,
        wake: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._scheduler = scheduler
        self._records = records
        self._link_by_id = link_by_id
        self._runner = runner
        self._tasks = tasks
        self._wake = wake

    def follow(self, attempt_id: AttemptId, job: Job, link: UpstreamLink) -> None:
        """Waits for the end of an attempt started by an earlier owner, in the background."""
        self._tasks.spawn(self._runner.follow(attempt_id, job, link))

    def apply(self, decision: Decision) -> None:
        """Carries out one decision."""
        link = self._link_by_id[decision.upstream_id]
        if isinstance(decision, Start):
            record = self._records.get(decision.job.id)
            if record is None:
                self._scheduler.ended(decision.attempt_id, TaskEnd.NOT_STARTED, None)
                return
            record.upstream_by_attempt[decision.attempt_id] = link.id
            self._record_queue_time(record)
            self._tasks.spawn(self._runner.run(decision, link, record.context))
        elif isinstance(decision, Stop):
            self._tasks.spawn(self._send(link.adapter.stop(decision.attempt_id)))
        elif isinstance(decision, Checkpoint):
            self._tasks.spawn(self._send(link.adapter.checkpoint(decision.attempt_id)))
        elif isinstance(decision, Throttle):
            self._tasks.spawn(self._throttle(decision, link))

    async def _throttle(self, decision: Throttle, link: UpstreamLink) -> None:
        try:
            throttled = await link.adapter.throttle(decision.attempt_id, decision.resources)
        except (UnreachableError, ProtocolError) as error:
            _log.info(
                "throttle at upstream {} failed, reservation unchanged: {}",
                error.peer,
                error.message,
            )
        else:
            if throttled:
                self._scheduler.throttled(decision.attempt_id)
                self._wake()

    async def _send(self, call: Coroutine[Any, Any, Any]) -> None:
        # A failed call is not retried here: the task ends or its lease expires, and both are
        # detected.
        try:
            await call
        except (UnreachableError, ProtocolError) as error:
            _log.info(
                "stop or checkpoint at upstream {} failed, not retried: {}",
                error.peer,
                error.message,
            )

    def _record_queue_time(self, record: JobRecord) -> None:
        waited = record.leave_queue(self._clock.boot_time())
        if waited is not None:
            seconds = waited.total_seconds()
            self._metrics.queue_time.record(seconds, {"band": record.job.band.name.lower()})
