"""Runs one attempt at an upstream: start, resolution of a lost reply, wait for the answer."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import logbook
import msgspec
from opentelemetry import trace
from opentelemetry.context import Context

from hornbeamramp.clock import Clock
from hornbeamramp.decisions import Start, TaskEnd
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.ids import AttemptId, Epoch, ShardId, VmId
from hornbeamramp.jobs import Job, ServiceJob, TaskResult
from hornbeamramp.settings import TimingSettings
from hornbeamramp.states import Capability, TaskState
from hornbeamramp.telemetry import Metrics
from hornbeamramp.upstream_link import UpstreamLink
from hornbeamramp.upstreams import StartReply, StartRequest, TaskLabels

__all__ = ["AttemptRunner", "EndCallback"]

# Bounds how long a dead connection stays undetected during a waiting call.
RESULT_WAIT = timedelta(seconds=4)
# A service has no answer to wait for; lease renewals detect the loss of its upstream.
SERVICE_RESULT_WAIT = timedelta(seconds=30)
RETRY_INTERVAL = timedelta(milliseconds=200)

END_BY_STATE = {
    TaskState.FAILED: TaskEnd.FAILED,
    TaskState.STOPPED: TaskEnd.STOPPED,
    TaskState.CHECKPOINTED: TaskEnd.CHECKPOINTED,
    # A succeeded task whose result is no longer kept can't be distinguished from a lost one.
    TaskState.SUCCEEDED: TaskEnd.LOST,
}

_log = logbook.Logger("owner")
_tracer = trace.get_tracer(__name__)

EndCallback = Callable[[AttemptId, TaskEnd, TaskResult | None], None]


class AttemptRunner:
    """Carries out starts and reports the end of each attempt exactly once.

    `may_start`
        Whether this process still owns the shard; checked right before the start is written.
    `record_intent`
        Makes the intent of a non-idempotent start durable; false if that failed.
    """

    def __init__(
        self,
        shard: ShardId,
        epoch: Epoch,
        vm: VmId,
        clock: Clock,
        timing: TimingSettings,
        metrics: Metrics,
        may_start: Callable[[], bool],
        record_intent: Callable[[Start], Awaitable[bool]],
        started: Callable[[AttemptId], None],
        ended: EndCallback,
    ) -> None:
        self._shard = shard
        self._epoch = epoch
        self._vm = vm
        self._clock = clock
        self._metrics = metrics
        self._may_start = may_start
        self._record_intent = record_intent
        self._started = started
        self._ended = ended
        self._lease = timedelta(milliseconds=timing.task_lease_ms)
        self._not_after = timedelta(milliseconds=2 * timing.send_bound_ms)

    async def run(self, start: Start, link: UpstreamLink, parent: Context | None = None) -> None:
        """Starts the task and follows it to its end. The spans are children of ``parent``'s."""
        if not start.job.idempotent and not await self._record_intent(start):
            self._end(link, start.attempt_id, TaskEnd.NOT_STARTED)
            return
        link.track(start.attempt_id)
        with _tracer.start_as_current_span("upstream start", context=parent) as span:
            span.set_attribute("upstream", link.id)
            span.set_attribute("attempt", start.attempt_id)
            end = await self._start(start, link)
        if end is not None:
            self._end(link, start.attempt_id, end)
            return
        self._started(start.attempt_id)
        with _tracer.start_as_current_span("answer", context=parent) as span:
            span.set_attribute("attempt", start.attempt_id)
            await self.follow(start.attempt_id, start.job, link)

    async def follow(self, attempt_id: AttemptId, job: Job, link: UpstreamLink) -> None:
        """Waits for the end of a started attempt and reports it."""
        wait = SERVICE_RESULT_WAIT if isinstance(job, ServiceJob) else RESULT_WAIT
        while True:
            try:
                answer = await link.adapter.result(attempt_id, wait)
            except (UnreachableError, ProtocolError):
                if link.has_lapsed(attempt_id):
                    self._end(link, attempt_id, TaskEnd.LOST)
                    return
                await self._clock.sleep(RETRY_INTERVAL)
                continue
            if answer is TaskState.RUNNING:
                continue
            if isinstance(answer, TaskResult):
                if self._is_valid_answer(answer, attempt_id):
                    self._end(link, attempt_id, TaskEnd.SUCCEEDED, answer)
                    return
                await self._clock.sleep(RETRY_INTERVAL)
                continue
            end = TaskEnd.LOST if answer is None else END_BY_STATE[answer]
            self._end(link, attempt_id, end)
            return

    async def _start(self, start: Start, link: UpstreamLink) -> TaskEnd | None:
        """Returns ``None`` if the task was started, otherwise how the attempt ended."""
        request = self._build_request(start)
        try:
            reply = await link.adapter.start(request, check=self._may_start)
        except UnreachableError as error:
            if not error.sent:
                self._metrics.starts.add(1, {"reply": "not_sent"})
                return TaskEnd.NOT_STARTED
            self._metrics.starts.add(1, {"reply": "lost"})
            return await self._resolve_start(start, link)
        except ProtocolError as error:
            _log.warning("{}: malformed reply to a start request: {}", link.id, error.message)
            return await self._resolve_start(start, link)
        self._metrics.starts.add(1, {"reply": reply.value})
        return None if reply is StartReply.STARTED else TaskEnd.NOT_STARTED

    async def _resolve_start(self, start: Start, link: UpstreamLink) -> TaskEnd | None:
        """Finds out whether a start whose reply was lost took effect."""
        attempt_id = start.attempt_id
        while True:
            try:
                end = await self._probe_start(attempt_id, link)
            except (UnreachableError, ProtocolError):
                absent = False
            else:
                absent = end is TaskEnd.LOST
                if not absent:
                    self._metrics.resolutions.add(1, {"result": end.value if end else "started"})
                    return end
            if link.has_lapsed(attempt_id):
                self._metrics.resolutions.add(1, {"result": "lost"})
                return self._end_of_unseen_start(link) if absent else TaskEnd.LOST
            await self._clock.sleep(RETRY_INTERVAL)

    async def _probe_start(self, attempt_id: AttemptId, link: UpstreamLink) -> TaskEnd | None:
        """Returns ``None`` if it started, NOT_STARTED if it can't start, LOST if it is unknown."""
        answer = await link.adapter.result(attempt_id, timedelta(0))
        if answer is not None:
            return None
        if link.shape is not None and Capability.FENCE in link.shape.capabilities:
            # The upstream records the unknown id as refused, so a late start has no effect. A
            # start that arrived between the two calls is stopped and reported with its state.
            state = await link.adapter.stop(attempt_id)
            return TaskEnd.NOT_STARTED if state is None else None
        return TaskEnd.LOST

    @staticmethod
    def _end_of_unseen_start(link: UpstreamLink) -> TaskEnd:
        # With not-after the upstream refuses a start that arrives after the time in the request,
        # which has passed by now. Without it, a start that is delayed for longer than the lease
        # can't be ruled out.
        refuses_late = link.shape is not None and Capability.NOT_AFTER in link.shape.capabilities
        return TaskEnd.NOT_STARTED if refuses_late else TaskEnd.LOST

    def _build_request(self, start: Start) -> StartRequest:
        return StartRequest(
            attempt_id=start.attempt_id,
            payload=start.job.payload,
            resources=start.resources,
            lease=self._lease,
            run=start.job.declared_run,
            not_after=self._not_after,
            labels=TaskLabels(
                job_id=start.job.id,
                shard=self._shard,
                owner=self._vm,
                epoch=self._epoch,
                job=msgspec.msgpack.encode(start.job),
            ),
            is_service=isinstance(start.job, ServiceJob),
        )

    def _is_valid_answer(self, result: TaskResult, attempt_id: AttemptId) -> bool:
        if result.attempt_id == attempt_id and result.is_intact():
            return True
        self._metrics.discarded_answers.add(1)
        _log.warning(
            "discarded an answer for attempt {}: truncated or for another attempt", attempt_id
        )
        return False

    def _end(
        self,
        link: UpstreamLink,
        attempt_id: AttemptId,
        end: TaskEnd,
        result: TaskResult | None = None,
    ) -> None:
        link.forget(attempt_id)
        self._metrics.task_ends.add(1, {"end": end.value})
        self._ended(attempt_id, end, result)
