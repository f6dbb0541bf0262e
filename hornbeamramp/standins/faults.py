"""Fault injection of the stand-in upstream.

Connections that never answer, and responses that are late, lost, swapped or truncated.
"""

import asyncio
from enum import Enum
from typing import Any

import msgspec
from aiohttp import web

from hornbeamramp.jobs import TaskResult

__all__ = ["FaultInjector", "Silence", "Truncation", "UpstreamFaults"]


class Silence(Enum):
    """Which connections accept requests without ever answering.

    `EXISTING`
        Those open when the fault was set; they stay silent after it is cleared. New ones work.
    `ALL`
        All, until the fault is cleared.
    """

    NONE = "none"
    EXISTING = "existing"
    ALL = "all"


class Truncation(Enum):
    """How results are truncated.

    `PAYLOAD`
        The payload is shorter than its stated length.
    `BODY`
        The connection is closed in the middle of the response body.
    """

    NONE = "none"
    PAYLOAD = "payload"
    BODY = "body"


class UpstreamFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of ``POST /v1/faults``. Omitted fields are reset to their defaults.

    `fail_tasks`
        Tasks started from now on fail after 5 ms.
    `silent`
        Which connections never answer. A request that arrives on one has no effect; one that was
        being handled when the fault was set takes effect but gets no response.
    `late_ms`
        Delay in milliseconds between the effect of a request and its response.
    `crossed`
        A result is replaced by that of another attempt, if there is one.
    `truncated`
        How results are truncated.
    `lose_answers`
        Number of the next responses to drop: the request takes effect, then the connection is
        closed. -1 for all.
    `lose_methods`
        HTTP methods whose responses are dropped; empty for all.
    `leaving`
        The worker reports that it is leaving and refuses starts.
    """

    fail_tasks: bool = False
    silent: Silence = Silence.NONE
    late_ms: int = 0
    crossed: bool = False
    truncated: Truncation = Truncation.NONE
    lose_answers: int = 0
    lose_methods: frozenset[str] = frozenset()
    leaving: bool = False


class FaultInjector:
    """Applies the current faults to requests and responses."""

    def __init__(self) -> None:
        self._faults = UpstreamFaults()
        self._silent_connections: set[Any] = set()
        self._answers_to_lose = 0

    def set(self, faults: UpstreamFaults, connections: list[Any]) -> None:
        """Replaces all faults. ``connections`` are those open now."""
        self._faults = faults
        self._answers_to_lose = faults.lose_answers
        self._silent_connections.intersection_update(connections)
        if faults.silent is Silence.EXISTING:
            self._silent_connections.update(connections)

    async def before_request(self, request: web.Request) -> None:
        """Never returns if the connection of the request is silent."""
        if self._is_silent(request):
            await _block_forever()

    async def after_request(
        self, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Delays, withholds, drops or truncates the response as the current faults say."""
        if self._faults.late_ms:
            await asyncio.sleep(self._faults.late_ms / 1000)
        if self._is_silent(request):
            await _block_forever()
        if self._drops_response(request):
            _abort(request)
        elif self._faults.truncated is Truncation.BODY and _is_result(request):
            await _send_truncated(request, response)
        return response

    def apply_to_result(self, result: TaskResult, other: TaskResult | None) -> TaskResult:
        """Returns ``result``, or ``other`` or a truncated one as the current faults say."""
        if self._faults.crossed and other is not None:
            return other
        if self._faults.truncated is Truncation.PAYLOAD:
            return msgspec.structs.replace(result, payload=result.payload[:-1])
        return result

    def _is_silent(self, request: web.Request) -> bool:
        return self._faults.silent is Silence.ALL or request.protocol in self._silent_connections

    def _drops_response(self, request: web.Request) -> bool:
        methods = self._faults.lose_methods
        if self._answers_to_lose == 0 or (methods and request.method not in methods):
            return False
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
        return True


def _is_result(request: web.Request) -> bool:
    return request.method == "GET" and "attempt" in request.match_info


async def _block_forever() -> None:
    # The server cancels the handler when the client closes the connection.
    await asyncio.Event().wait()


async def _send_truncated(request: web.Request, response: web.StreamResponse) -> None:
    body = response.body if isinstance(response, web.Response) else b""
    if request.transport is None or not isinstance(body, bytes):
        return
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    request.transport.write(head + body[: len(body) // 2])
    request.transport.close()


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
