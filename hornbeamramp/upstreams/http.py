"""Upstream adapter for the HTTP protocol of the workers."""

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
# Two clocks that run apart by 200 parts per million differ by 6 ms after this time.
OFFSET_KEPT_MS = 30_000


class HttpUpstream(UpstreamAdapter):
    """Client of one upstream.

    `address`
        ``ip:port`` of the upstream.
    `timeout`
        Longest time for a whole call. `result` may take its wait in addition.
    `clock`
        Source of time for not-after times and idle connections.

    After a call without an answer, later calls use new connections. No call is repeated.
    """

    name = "http"
    aliases = ("worker",)

    def __init__(self, address: str, timeout: timedelta, clock: Clock) -> None:
        self._client = HttpClient(address, timeout, clock)
        self._address = address
        self._clock = clock
        # Upstream's wall clock minus the local boot time: a lower bound, and when it was found.
        self._offset_ms: int | None = None
        self._offset_found_ms = 0

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

        ``check`` is called once connected, in the same step of the event loop in which the
        request is handed to the transport, with no ``await`` in between. What remains after it:
        asyncio's transport calls ``send`` at once, uvloop's at the end of the loop iteration; a
        request larger than the socket's free buffer leaves in parts; the process can be paused
        before ``send``, and the packet delayed after it. The not-after time, counted from this
        call, and the fence cover these at upstreams that support them.
        """
        try:
            offset_ms = await self._find_offset()
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

        Raises `ProtocolError` on an answer to another attempt and on one whose payload does not
        have the stated length and digest.
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
            # The body is left out: it may repeat the payload, and the message is logged.
            message = f"{method} {path}: status {reply.status}"
            raise ProtocolError(step, self._address, message)
        self._note_time(reply, sent_ms)
        return reply

    async def _find_offset(self) -> int:
        # Regular calls replace the offset after `OFFSET_KEPT_MS`; without any, it is asked for.
        age_ms = self._boot_ms() - self._offset_found_ms
        if self._offset_ms is None or age_ms > 2 * OFFSET_KEPT_MS:
            await self.shape()
        if self._offset_ms is None:
            message = f"the answer has no valid {TIME_HEADER}"
            raise ProtocolError(Step.START, self._address, message)
        return self._offset_ms

    def _note_time(self, reply: HttpReply, sent_ms: int) -> None:
        """Narrows down the offset of the upstream's clock.

        The upstream read its clock between sending and receiving, so the difference to the time
        of receiving is a lower bound of the offset and yields not-after times that are never too
        late. The highest bound is kept for a while, because a slow answer gives a poor one, unless
        the upper bound shows that the upstream's clock was set back.
        """
        value = reply.headers.get(TIME_HEADER, "")
        if not value.isdigit():
            return
        now_ms = self._boot_ms()
        lowest, highest = int(value) - now_ms - 1, int(value) - sent_ms + 1
        held = self._offset_ms
        stale = now_ms - self._offset_found_ms > OFFSET_KEPT_MS
        if held is None or stale or lowest >= held or held > highest:
            self._offset_ms = lowest
            self._offset_found_ms = now_ms

    def _boot_ms(self) -> int:
        return to_ms(self._clock.boot_time())

    def _decode(self, reply: HttpReply, kind: type[T], step: Step) -> T:
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise ProtocolError(step, self._address, str(error)) from error


def _task_path(attempt_id: AttemptId) -> str:
    return f"/v1/tasks/{quote(attempt_id, safe='')}"
