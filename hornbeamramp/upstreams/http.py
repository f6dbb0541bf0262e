"""Upstream adapter for the workers' HTTP protocol."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

import msgspec
from opentelemetry import propagate

from hornbeamramp.clock import Clock
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.http_client import HttpClient, HttpReply, RequestFailedError
from hornbeamramp.ids import AttemptId, Epoch, ShardId
from hornbeamramp.jobs import TaskResult
from hornbeamramp.resources import Resources
from hornbeamramp.states import Step, TaskState
from hornbeamramp.upstreams.base import (
    ListedTask,
    StartReply,
    StartRequest,
    UpstreamAdapter,
    UpstreamShape,
    UsageReport,
)
from hornbeamramp.upstreams.wire import (
    TIME_HEADER,
    FenceBody,
    RenewalBody,
    RenewalReply,
    ResultReply,
    StartBody,
    StartReplyBody,
    StopReply,
    TasksReply,
    from_ms,
    to_ms,
)

__all__ = ["HttpUpstream"]

T = TypeVar("T")
# At a relative clock drift of 200 ppm, the offset is wrong by at most 6 ms after this time.
OFFSET_REFRESH_MS = 30_000


class HttpUpstream(UpstreamAdapter):
    """Client of one upstream.

    `address`
        ``ip:port`` of the upstream.
    `timeout`
        Maximum duration of a whole call; `result` may additionally take its ``wait``.
    `clock`
        Source of time for not-after times and idle connections.

    After an unanswered call, later calls use new connections. No call is retried.
    """

    name = "http"
    aliases = ("worker",)

    def __init__(self, address: str, timeout: timedelta, clock: Clock) -> None:
        self._client = HttpClient(address, timeout, clock)
        self._address = address
        self._clock = clock
        # Lower bound of the upstream's wall clock minus the local boot time; time of measurement.
        self._offset_ms: int | None = None
        self._offset_measured_ms = 0

    async def shape(self) -> UpstreamShape:
        reply = await self._call("GET", "/v1/worker", Step.RECOVER)
        return self._decode(reply, UpstreamShape, Step.RECOVER)

    async def list_tasks(self) -> list[ListedTask]:
        reply = await self._call("GET", "/v1/tasks", Step.RECOVER)
        return [
            ListedTask(
                row.attempt_id,
                row.state,
                row.resources,
                from_ms(row.lease_left_ms),
                from_ms(row.renewed_ago_ms),
                row.labels,
            )
            for row in self._decode(reply, TasksReply, Step.RECOVER).tasks
        ]

    async def start(
        self, request: StartRequest, *, check: Callable[[], bool] | None = None
    ) -> StartReply:
        """Starts a task, see `UpstreamAdapter.start`.

        ``check`` is called after connecting, in the same step of the event loop in which the
        request is handed to the transport, with no ``await`` in between. The request can still be
        delayed after the check: asyncio's transport calls ``send`` at once, uvloop's at the end of
        the loop iteration; a request larger than the socket's free buffer is sent in parts; the
        process can be paused before ``send``, and the packet delayed after it. At upstreams that
        support them, the not-after time, counted from this call, and the fence cover these delays.
        """
        try:
            offset_ms = await self._get_offset_ms()
        except UnreachableError as error:
            raise UnreachableError(
                Step.START, self._address, f"no start was sent: {error.message}", sent=False
            ) from error
        body = StartBody(
            payload=request.payload,
            resources=request.resources,
            lease_ms=to_ms(request.lease),
            run_ms=to_ms(request.run),
            not_after_at_ms=offset_ms + self._boot_ms() + to_ms(request.not_after),
            labels=request.labels,
            is_service=request.is_service,
        )
        path = _task_path(request.attempt_id)
        encoded = msgspec.json.encode(body)
        reply = await self._call("PUT", path, Step.START, encoded, {200, 409}, check=check)
        return self._decode(reply, StartReplyBody, Step.START).reply

    async def result(self, attempt_id: AttemptId, wait: timedelta) -> TaskResult | TaskState | None:
        """Returns the result, see `UpstreamAdapter.result`.

        Raises `ProtocolError` if the answer belongs to another attempt or its payload does not
        match the stated length and digest.
        """
        wait = max(wait, timedelta(0))
        path = f"{_task_path(attempt_id)}?wait_ms={to_ms(wait)}"
        reply = await self._call("GET", path, Step.ANSWER, accepted={200, 404}, wait=wait)
        if reply.status == 404:
            return None
        answer = self._decode(reply, ResultReply, Step.ANSWER)
        if answer.attempt_id != attempt_id:
            message = f"answer to {answer.attempt_id} instead of {attempt_id}"
            raise ProtocolError(Step.ANSWER, self._address, message)
        if answer.state is not TaskState.SUCCEEDED:
            return answer.state
        result = TaskResult(
            attempt_id, answer.upstream_id, answer.payload, answer.length, answer.digest
        )
        if not result.is_intact():
            message = f"answer to {attempt_id} does not have its stated length and digest"
            raise ProtocolError(Step.ANSWER, self._address, message)
        return result

    async def renew(
        self, attempt_ids: list[AttemptId], epoch: Epoch, lease: timedelta
    ) -> list[AttemptId]:
        body = msgspec.json.encode(RenewalBody(attempt_ids, epoch, to_ms(lease)))
        reply = await self._call("POST", "/v1/renewals", Step.RENEW, body)
        return self._decode(reply, RenewalReply, Step.RENEW).renewed

    async def stop(self, attempt_id: AttemptId) -> TaskState | None:
        path = _task_path(attempt_id)
        reply = await self._call("DELETE", path, Step.CANCEL, accepted={200, 404})
        if reply.status == 404:
            return None
        return self._decode(reply, StopReply, Step.CANCEL).state

    async def checkpoint(self, attempt_id: AttemptId) -> bool:
        path = f"{_task_path(attempt_id)}/checkpoint"
        reply = await self._call("POST", path, Step.RUN, b"", {204, 404})
        return reply.status == 204

    async def throttle(self, attempt_id: AttemptId, resources: Resources) -> bool:
        path = f"{_task_path(attempt_id)}/throttle"
        body = msgspec.json.encode(resources)
        reply = await self._call("POST", path, Step.RUN, body, {204, 404})
        return reply.status == 204

    async def fence(self, shard: ShardId, epoch: Epoch) -> bool:
        body = msgspec.json.encode(FenceBody(shard, epoch))
        reply = await self._call("POST", "/v1/fence", Step.CLAIM, body, {204, 501})
        return reply.status == 204

    async def usage(self) -> list[UsageReport]:
        reply = await self._call("GET", "/v1/usage", Step.RUN)
        return self._decode(reply, list[UsageReport], Step.RUN)

    async def close(self) -> None:
        await self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        step: Step,
        body: bytes | None = None,
        accepted: frozenset[int] | set[int] = frozenset({200}),
        wait: timedelta = timedelta(0),
        check: Callable[[], bool] | None = None,
    ) -> HttpReply:
        sent_ms = self._boot_ms()
        headers: dict[str, str] = {}
        propagate.inject(headers)
        try:
            reply = await self._client.request(method, path, body, headers, wait, check)
        except RequestFailedError as error:
            raise UnreachableError(step, self._address, str(error), error.sent) from error
        if reply.status not in accepted:
            # The message is logged, so it omits the body, which may repeat the payload.
            message = f"{method} {path}: status {reply.status}"
            raise ProtocolError(step, self._address, message)
        self._update_offset(reply, sent_ms)
        return reply

    async def _get_offset_ms(self) -> int:
        # Regular calls refresh the offset after `OFFSET_REFRESH_MS`. If it is more than twice as
        # old, there were none, and it is queried.
        age_ms = self._boot_ms() - self._offset_measured_ms
        if self._offset_ms is None or age_ms > 2 * OFFSET_REFRESH_MS:
            await self.shape()
        if self._offset_ms is None:
            message = f"the answer has no valid {TIME_HEADER}"
            raise ProtocolError(Step.START, self._address, message)
        return self._offset_ms

    def _update_offset(self, reply: HttpReply, sent_ms: int) -> None:
        """Updates the offset of the upstream's clock from the time header of an answer.

        The upstream read its clock between sending and receiving, so the difference to the time
        of receiving is a lower bound of the offset and yields not-after times that are never too
        late. The highest lower bound is kept for `OFFSET_REFRESH_MS`, because a slow answer gives
        a poor one, unless the upper bound shows that the upstream's clock was set back.
        """
        value = reply.headers.get(TIME_HEADER, "")
        if not value.isdigit():
            return
        now_ms = self._boot_ms()
        lower_bound_ms, upper_bound_ms = int(value) - now_ms - 1, int(value) - sent_ms + 1
        current_ms = self._offset_ms
        is_stale = now_ms - self._offset_measured_ms > OFFSET_REFRESH_MS
        if (
            current_ms is None
            or is_stale
            or lower_bound_ms >= current_ms
            or current_ms > upper_bound_ms
        ):
            self._offset_ms = lower_bound_ms
            self._offset_measured_ms = now_ms

    def _boot_ms(self) -> int:
        return to_ms(self._clock.boot_time())

    def _decode(self, reply: HttpReply, kind: type[T], step: Step) -> T:
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise ProtocolError(step, self._address, str(error)) from error


def _task_path(attempt_id: AttemptId) -> str:
    return f"/v1/tasks/{quote(attempt_id, safe='')}"
