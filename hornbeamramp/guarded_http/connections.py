"""HTTP connections of programs that aren't ours, read within limits of size, time and memory."""

import asyncio
import socket
import time
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from http import HTTPStatus
from typing import Any, Protocol

import logbook
import msgspec
from aiohttp import hdrs, web
from aiohttp.http import HttpRequestParser, HttpVersion11, RawRequestMessage
from aiohttp.http_exceptions import LineTooLong

from hornbeamramp import instruments
from hornbeamramp.guarded_http.parse_turns import ParseTurns
from hornbeamramp.guarded_http.read_budget import ListenerBounds, ReadBudget
from hornbeamramp.workload import RequestLimits

__all__ = [
    "Guard",
    "GuardedConnection",
    "Refusal",
    "RequestRefusedError",
    "refusal_response",
]

# Bytes of a body of known size that are parsed before what they added is counted.
PIECE_BYTES = 32 * 1024
# Bytes of heads and of chunked bodies that are parsed at once. In lines or chunks of a byte, they
# take a thousand times as long as the same bytes of a body of known size.
SMALL_PIECE_BYTES = 2 * 1024
# State of a socket in the kernel, the first byte of its TCP_INFO.
TCP_ESTABLISHED = 1
HEAD_END = b"\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# A head is held as bytes, and again as the names and values of its fields, for each of which there
# are several objects.
HEAD_COST = 3
LINE_COST_BYTES = 384
# The shortest line of a head: a name of one letter, a colon and the end of the line.
MIN_LINE_BYTES = 4
# Time and bytes for which a refused caller's data is read and dropped: a connection that is closed
# with unread data is reset, and the caller may lose its answer.
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024
# Delay after which a connection is checked again that was reading a request as its idle time ended.
IDLE_RECHECK_S = 1.0
# Longest time for which a response waits for a caller that doesn't read.
WRITE_TIMEOUT_S = 15.0
RETRY_AFTER_S = 1
LOG_PERIOD_S = 5.0

_log = logbook.Logger("connections")


class Refusal(Enum):
    """Reason for which a request is refused before anything is done with it."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TOO_SLOW = "head_too_slow"
    BODY_TOO_LARGE = "body_too_large"
    MALFORMED = "malformed"
    NO_MEMORY = "no_memory"
    NO_CONNECTION = "no_connection"

    @property
    def status(self) -> HTTPStatus:
        """Status of the response."""
        return STATUS_BY_REFUSAL[self]


STATUS_BY_REFUSAL = {
    Refusal.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Refusal.HEAD_TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    Refusal.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Refusal.MALFORMED: HTTPStatus.BAD_REQUEST,
    Refusal.NO_MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
    Refusal.NO_CONNECTION: HTTPStatus.SERVICE_UNAVAILABLE,
}


Description = Callable[[Refusal], tuple[str, bytes]]


class Connection(Protocol):
    """An open connection, as the budget of its listener sees it."""

    def evict(self) -> None:
        """Closes the connection for another one's sake; no request of it is being handled."""

    def refuse(self, refusal: Refusal) -> None:
        """Refuses the request that is being read."""


class RequestRefusedError(Exception):
    """The request is refused and has not been read to its end."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


def describe_refusal(refusal: Refusal) -> tuple[str, bytes]:
    """Returns media type and body of the response to a refused request."""
    error = f"not run: {refusal.value.replace('_', ' ')}"
    return "application/json", msgspec.json.encode({"error": error})


def refusal_response(refusal: Refusal, describe: Description = describe_refusal) -> web.Response:
    """Returns the response to a refused request, which closes its connection."""
    status = refusal.status
    content_type, body = describe(refusal)
    response = web.Response(status=status, body=body, content_type=content_type)
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        response.headers[hdrs.RETRY_AFTER] = str(RETRY_AFTER_S)
    response.force_close()
    return response


def _refusal_bytes(refusal: Refusal, describe: Description) -> bytes:
    status = refusal.status
    content_type, body = describe(refusal)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        f"Content-Type: {content_type}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {RETRY_AFTER_S}")
    return "\r\n".join((*lines, "", "")).encode() + body


class Guard:
    """What the connections of one listener share: its limits, its budget and its refusals.

    `name`
        Name of the listener in metrics and logs.
    `limits`
        Returns the limits in force, which may change with the configuration.
    `describe`
        Returns media type and body of the response to a refused request.
    """

    def __init__(
        self,
        name: str,
        bounds: ListenerBounds,
        limits: Callable[[], RequestLimits],
        describe: Description = describe_refusal,
    ) -> None:
        self.limits = limits
        self.describe = describe
        self.budget: ReadBudget[Connection] = ReadBudget(bounds)
        self.turns: ParseTurns[GuardedConnection] = ParseTurns(time.perf_counter)
        self._name = name
        self._is_iteration_noted = False
        self._logged_at: dict[Refusal, float] = {}
        self._idle_closed = 0
        self._idle_logged_at = -LOG_PERIOD_S
        self._count_by_refusal: dict[Refusal, int] = {}

    def open(self, connection: "Connection") -> bool:
        """Counts a new connection, and closes another one if there are too many. Returns false if
        there is none to close."""
        evicted = self.budget.open(connection)
        if evicted is connection:
            self.count(Refusal.NO_CONNECTION)
            return False
        if evicted is not None:
            evicted.evict()
        return True

    def parse(self, connection: "GuardedConnection") -> None:
        """Has the data of a connection parsed, now or in turn with that of others."""
        self.turns.add(connection)
        self._parse_in_turn()

    def _parse_in_turn(self) -> None:
        while (connection := self.turns.take()) is not None:
            try:
                self.turns.parse(connection, connection.parse_piece)
            except Exception:
                # The others go on waiting for their turns.
                _log.exception("connection closed: parsing its data failed unexpectedly")
                connection.abort()
        if not self._is_iteration_noted:
            self._is_iteration_noted = True
            asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._is_iteration_noted = False
        self.turns.begin_iteration()
        if self.turns:
            self._parse_in_turn()

    def count(self, refusal: Refusal) -> None:
        """Counts a refusal, and logs at most one line a reason in each period."""
        instruments.refused_requests.add(1, {"listener": self._name, "reason": refusal.value})
        count = self._count_by_refusal.get(refusal, 0) + 1
        self._count_by_refusal[refusal] = count
        now = asyncio.get_running_loop().time()
        if now < self._logged_at.get(refusal, now - LOG_PERIOD_S) + LOG_PERIOD_S:
            return
        _log.warning(
            "{} refused {} requests or connections: {}",
            self._name,
            count,
            refusal.value,
            extra={"event": "requests_refused", "reason": refusal.value, "count": count},
        )
        self._logged_at[refusal] = now
        self._count_by_refusal[refusal] = 0

    def count_idle_close(self) -> None:
        """Counts a connection closed for its idle time, and logs at most one line in each
        period."""
        instruments.idle_closes.add(1, {"listener": self._name})
        self._idle_closed += 1
        now = asyncio.get_running_loop().time()
        if now < self._idle_logged_at + LOG_PERIOD_S:
            return
        _log.info(
            "{} closed {} idle connections",
            self._name,
            self._idle_closed,
            extra={"event": "idle_closed", "count": self._idle_closed},
        )
        self._idle_logged_at = now
        self._idle_closed = 0


class _Phase(Enum):
    """What a connection waits for. A refused one only for its end."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLED = "handled"
    REFUSED = "refused"


class GuardedConnection(web.RequestHandler):
    """One connection, which reads one request at a time.

    What arrives is parsed in pieces, in turn with the other connections of the listener, and no
    more is read until that is done. Nothing after a request is parsed before that is answered. A
    body is gathered as it arrives, so that it takes no more memory in small chunks than in one.
    """

    __slots__ = (
        "_guard",
        "_idle_timeout",
        "_handshake",
        "_phase",
        "_entry",
        "_body",
        "_head_bytes",
        "_head_lines",
        "_head_tail",
        "_body_bytes",
        "_max_body_bytes",
        "_had_chunks",
        "_framing_bytes",
        "_rest",
        "_held",
        "_unparsed",
        "_unparsed_start",
        "_is_reading_paused",
        "_dropped_bytes",
        "_refusal",
        "_body_waiter",
        "_timer",
    )

    def __init__(
        self,
        manager: web.Server,
        guard: Guard,
        handshake: Connection | None,
        idle_timeout: Callable[[], timedelta],
        **options: Any,
    ) -> None:
        limit = guard.limits().max_header_bytes
        # The size of a head bounds the number of its lines.
        max_headers = limit // MIN_LINE_BYTES
        super().__init__(
            manager,
            keepalive_timeout=idle_timeout().total_seconds(),
            lingering_time=LINGER_S,
            max_line_size=limit,
            max_headers=max_headers,
            max_field_size=limit,
            **options,
        )
        # Stops after each request, and leaves bodies as they are on the wire.
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=limit,
            max_field_size=limit,
            max_headers=max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self._guard = guard
        # Time for which the connection may be idle, which the configuration may raise.
        self._idle_timeout = idle_timeout
        # The connection as it was counted until now.
        self._handshake = handshake
        self._phase = _Phase.IDLE
        # The request that is being read, as the parser returned it.
        self._entry: Any = None
        self._body: bytes | bytearray = b""
        self._head_bytes = 0
        # Lines of the head so far, and of trailers.
        self._head_lines = 0
        # The last bytes of the head so far, in which its end may begin.
        self._head_tail = b""
        # Size of the body by its head; ``None`` for a chunked one.
        self._body_bytes: int | None = 0
        self._max_body_bytes = 0
        # Whether a body was chunked; from then on only the parser knows what it has kept.
        self._had_chunks = False
        # Bytes of a chunked body since the last of its data: extensions of a chunk, and trailers,
        # which the parser keeps.
        self._framing_bytes = 0
        # What the parser has kept of the piece in which a request ended.
        self._rest = b""
        # Data that arrived while a request was handled.
        self._held = b""
        # Data that waits for its turn to be parsed, and where that which is not parsed begins.
        self._unparsed = b""
        self._unparsed_start = 0
        self._is_reading_paused = False
        self._dropped_bytes = 0
        self._refusal: Refusal | None = None
        self._body_waiter: asyncio.Future[None] | None = None
        # Ends the time for a head, or that of a refused connection.
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self._handshake is not None:
            self._guard.budget.close(self._handshake)
            self._handshake = None
        if not self._guard.open(self):
            self._phase = _Phase.REFUSED
            transport.abort()
            return
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._guard.budget.close(self)
        self._guard.turns.forget(self)
        self._unparsed = b""
        self._stop_timer()
        self._wake(ConnectionResetError("connection lost"))
        super().connection_lost(exc)

    def _process_keepalive(self) -> None:
        now = self._loop.time()
        raised_s = self._idle_timeout().total_seconds() - self.keepalive_timeout
        close_time = self._next_keepalive_close_time + max(raised_s, 0.0)
        is_reading = bool(self._unparsed) or self._phase is not _Phase.IDLE
        if not self._force_close and self._keepalive and (now < close_time or is_reading):
            # What reads a request has its own limits of time.
            check_at = max(close_time, now + IDLE_RECHECK_S)
            self._keepalive_handle = self._loop.call_at(check_at, self._process_keepalive)
            return
        was_open = not self._force_close
        super()._process_keepalive()
        if was_open and self._force_close:
            self._guard.count_idle_close()

    def data_received(self, data: bytes) -> None:
        if not data:
            # The parser is fed as each request ends, and never stops within one.
            return
        if self._phase is _Phase.REFUSED:
            self._drop(len(data))
        elif self._phase is _Phase.HANDLED:
            self._hold(data)
        elif self._unparsed:
            self._unparsed = self._unparsed[self._unparsed_start :] + data
            self._unparsed_start = 0
            self._charge()
        else:
            self._unparsed = data
            self._unparsed_start = 0
            self._guard.parse(self)
            if self._unparsed:
                self._await_turn()

    def parse_piece(self) -> bool:
        """Parses the next piece of what has arrived. Tells whether more of it is to be parsed."""
        if self._is_reading_paused and self._has_peer_left():
            # The kernel may hold much more that was sent before.
            self.abort()
            return False
        start = self._unparsed_start
        if self._phase is _Phase.BODY:
            piece = self._unparsed[start : start + self._body_room()]
        else:
            room = self._guard.limits().max_header_bytes - self._head_bytes
            piece = self._unparsed[start : start + min(max(room, 1), SMALL_PIECE_BYTES)]
        self._unparsed_start += len(piece)
        is_last = self._unparsed_start == len(self._unparsed)
        if is_last:
            self._unparsed = b""
        if self._phase is _Phase.BODY:
            self._feed_body(piece)
        else:
            self._feed_head(piece, piece)
        if self._phase is _Phase.HANDLED:
            self._guard.turns.forget(self)
            if not is_last:
                rest, self._unparsed = self._unparsed[self._unparsed_start :], b""
                self._hold(rest)
            return False
        if is_last or self._phase is _Phase.REFUSED:
            self._resume()
            return False
        return True

    def _await_turn(self) -> None:
        """Counts the data that waits, and reads no more until it is parsed."""
        self._is_reading_paused = True
        self._pause_transport_reading()
        self._charge()

    def _resume(self) -> None:
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._resume_transport_reading()

    def _has_peer_left(self) -> bool:
        """Tells whether the peer has closed the connection, also while nothing is read from it."""
        if self.transport is None or self.transport.is_closing():
            return True
        sock = self.transport.get_extra_info("socket")
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] != TCP_ESTABLISHED

    async def read_body(self) -> bytes:
        """Returns the request's body. Raises `RequestRefusedError`, and ``OSError`` if the
        connection ends before."""
        if self._phase is _Phase.BODY:
            if self.transport is None:
                raise ConnectionResetError("connection lost")
            self._body_waiter = self._loop.create_future()
            try:
                await self._body_waiter
            finally:
                self._body_waiter = None
        if self._refusal is not None:
            raise RequestRefusedError(self._refusal)
        return bytes(self._body)

    def refuse(self, refusal: Refusal) -> None:
        """Refuses the request that is being read, and drops what has arrived of it."""
        was_read = self._phase is _Phase.BODY
        self._guard.count(refusal)
        self._discard()
        self._refusal = refusal
        if was_read:
            # Its handler answers.
            self._wake(None)
            return
        if self.transport is not None:
            self.transport.write(_refusal_bytes(refusal, self._guard.describe))
        self.close()
        self._timer = self._loop.call_later(LINGER_S, self.abort)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        if self._phase is _Phase.BODY:
            # Answered before it was read; what follows can't be told from its body.
            resp.force_close()
            self._discard()
        result = await super().finish_response(request, resp, start_time)
        if self.writing_paused:
            await self._wait_for_reader()
        if self._phase is _Phase.HANDLED:
            self._finish()
        return result

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status != HTTPStatus.BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        # What can't be parsed is taken for a request of HTTP/1.0.
        request._version = HttpVersion11
        refusal = _refusal_for(exc)
        self._guard.count(refusal)
        return refusal_response(refusal, self._guard.describe)

    def _body_room(self) -> int:
        """Returns how much may be parsed at once; never more than the rest of a body of a known
        size."""
        if self._body_bytes is None:
            return SMALL_PIECE_BYTES
        _, payload = self._entry
        return max(min(self._body_bytes - payload.total_bytes, PIECE_BYTES), 1)

    def _feed_head(self, data: bytes, piece: bytes) -> None:
        """Parses data. ``piece`` is what that adds to the head, also where the parser has it."""
        self._phase = _Phase.HEAD
        self._head_bytes += len(piece)
        self._head_lines += piece.count(b"\n")
        # Empty lines before a request aren't its end.
        head = self._head_tail + piece if self._head_tail else piece.lstrip(b"\r\n")
        super().data_received(data)
        if self._messages:
            self._begin_body(head)
            return
        limits = self._guard.limits()
        if self._head_bytes >= limits.max_header_bytes:
            self.refuse(Refusal.HEAD_TOO_LARGE)
            return
        self._head_tail = head[1 - len(HEAD_END) :]
        if self._timer is None:
            timeout_s = limits.header_timeout.total_seconds()
            self._timer = self._loop.call_later(timeout_s, self.refuse, Refusal.HEAD_TOO_SLOW)
        self._charge()

    def _begin_body(self, head: bytes) -> None:
        """Takes over a request, or the parser's error. ``head`` is the end of the head, and what
        follows it."""
        self._stop_timer()
        self._entry = message, payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            self._discard()
            return
        self._phase = _Phase.BODY
        # Not those of a body that shares a piece with the head.
        self._head_lines = len(message.raw_headers)
        limit = self._max_body_bytes = self._guard.limits().max_body_bytes
        if message.chunked:
            self._body_bytes = None
            self._had_chunks = True
            self._framing_bytes = 0
        else:
            self._body_bytes = _declared_bytes(message)
        # Where no body is allowed, the end of an empty one isn't awaited.
        if (self._body_bytes or 0) > limit or (message.chunked and not limit):
            self.refuse(Refusal.BODY_TOO_LARGE)
            return
        body_start = head.find(HEAD_END) + len(HEAD_END)
        self._head_bytes = max(self._head_bytes - len(head) + body_start, 0)
        if not self._had_chunks and payload.is_eof():
            self._rest = head[body_start + self._body_bytes :]
        if message.headers.get(hdrs.EXPECT, "").lower() == "100-continue" and not payload.is_eof():
            self._write_continue()
        self._gather()

    def _write_continue(self) -> None:
        """Tells a caller that waits for it to send its body."""
        if self.transport is not None:
            self.transport.write(CONTINUE)

    def _feed_body(self, piece: bytes) -> None:
        super().data_received(piece)
        if self._messages and self._messages[-1] is not self._entry:
            error, _ = self._messages[-1]
            self.refuse(_refusal_for(getattr(error, "exc", None)))
            return
        if self._body_bytes is None:
            _, payload = self._entry
            had_data = payload.total_bytes > len(self._body)
            if had_data:
                self._framing_bytes = 0
            else:
                self._framing_bytes += len(piece)
                self._head_lines += piece.count(b"\n")
            if self._framing_bytes > self._guard.limits().max_header_bytes:
                self.refuse(Refusal.HEAD_TOO_LARGE)
                return
        self._gather()

    def _gather(self) -> None:
        """Takes what has arrived of the body, and hands the request on once it is whole."""
        _, payload = self._entry
        while part := payload.read_nowait():
            if not self._body:
                self._body = part
            else:
                if isinstance(self._body, bytes):
                    self._body = bytearray(self._body)
                self._body += part
        if len(self._body) > self._max_body_bytes:
            self.refuse(Refusal.BODY_TOO_LARGE)
            return
        if not payload.is_eof():
            self._charge()
            return
        self._body = bytes(self._body)
        budget = self._guard.budget
        budget.hand_on(self, self._held_bytes())
        if budget.is_exceeded:
            self._charge()
            if self._phase is _Phase.REFUSED:
                return
            budget.hand_on(self, self._held_bytes())
        self._phase = _Phase.HANDLED
        self._wake(None)

    def _held_bytes(self) -> int:
        waiting = len(self._rest) + len(self._held) + len(self._unparsed)
        fields = self._head_bytes + self._framing_bytes
        lines = LINE_COST_BYTES * self._head_lines
        return HEAD_COST * fields + lines + len(self._body) + waiting

    def _charge(self) -> None:
        """Counts what this connection holds; the budget may refuse it, or others."""
        budget = self._guard.budget
        budget.read(self, self._held_bytes())
        while (reader := budget.overdrawn()) is not None:
            reader.refuse(Refusal.NO_MEMORY)

    def _hold(self, data: bytes) -> None:
        """Keeps data that follows a request until that is answered, and reads no more."""
        self._held += data
        budget = self._guard.budget
        budget.hand_on(self, self._held_bytes())
        while (reader := budget.overdrawn()) is not None:
            reader.refuse(Refusal.NO_MEMORY)
        if budget.is_exceeded:
            # Closes the connection after the response.
            self._guard.count(Refusal.NO_MEMORY)
            self._held = b""
            self._close = True
            budget.hand_on(self, self._held_bytes())
        self._is_reading_paused = True
        self._pause_transport_reading()

    def _finish(self) -> None:
        """Makes the connection ready for its next request, which may have arrived."""
        if self.transport is None:
            # The budget has no connection that is lost.
            return
        self._phase = _Phase.IDLE
        self._entry = None
        self._body = self._head_tail = b""
        self._head_bytes = self._head_lines = self._framing_bytes = 0
        rest, self._rest = self._rest, b""
        held, self._held = self._held, b""
        self._guard.budget.finish(self)
        if self._close or self._force_close or self._parser is None:
            return
        if rest:
            self._feed_head(b"", rest)
        elif self._had_chunks:
            super().data_received(b"")
            if self._messages:
                self._begin_body(b"")
        self._resume()
        if held:
            self.data_received(held)

    async def _wait_for_reader(self) -> None:
        """Waits until the caller has read its responses, and gives it up if it doesn't."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._drain_helper()
        except TimeoutError:
            _log.info("connection closed: its caller reads no responses")
            self.abort()
        except ConnectionError as error:
            _log.debug("caller left before it read its responses: {}", error)

    def _drop(self, count: int) -> None:
        """Counts data of a refused connection, which is not kept."""
        self._dropped_bytes += count
        if self._dropped_bytes > LINGER_BYTES:
            self.abort()

    def _discard(self) -> None:
        """Gives up the request that is being read; from now on data is dropped."""
        self._stop_timer()
        self._phase = _Phase.REFUSED
        self._body = self._held = self._unparsed = b""
        self._guard.turns.forget(self)
        self._resume()
        if self.transport is not None:
            self._guard.budget.refuse(self)

    def evict(self) -> None:
        """Closes the connection for another one's sake; no request of it is being handled."""
        self._guard.count(Refusal.NO_CONNECTION)
        self._stop_timer()
        self._phase = _Phase.REFUSED
        self._body = self._held = self._unparsed = b""
        self._guard.turns.forget(self)
        self._refusal = Refusal.NO_CONNECTION
        self._wake(None)
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once, without a response."""
        if self.transport is not None:
            self.transport.abort()

    def _wake(self, error: Exception | None) -> None:
        waiter = self._body_waiter
        if waiter is None or waiter.done():
            return
        if error is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(error)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _refusal_for(error: BaseException | None) -> Refusal:
    """Returns the reason to refuse a request that the parser rejects."""
    return Refusal.HEAD_TOO_LARGE if isinstance(error, LineTooLong) else Refusal.MALFORMED


def _declared_bytes(message: RawRequestMessage) -> int:
    """Returns the size that a request's head gives for its body; 0 if it gives none."""
    try:
        return int(message.headers.get(hdrs.CONTENT_LENGTH, 0))
    except ValueError:
        return 0
