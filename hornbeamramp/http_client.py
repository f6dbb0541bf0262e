"""HTTP/1.1 client for one address, used by the HTTP adapters of upstreams and the platform.

Four measures handle connections that are dead although new ones to the same address work: TCP
keepalive and TCP_USER_TIMEOUT close a connection whose peer acknowledges nothing; a connection idle
for longer than `IDLE_LIMIT` is never reused; after a failed request all pooled connections are
retired, so the next request opens a new one; and the library never retries a request.
"""

import asyncio
import functools
import socket
import weakref
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import Any

import aiohttp
import msgspec
from aiohttp import hdrs, payload

from hornbeamramp.clock import Clock

__all__ = [
    "HttpClient",
    "HttpReply",
    "RequestFailedError",
    "ResponseTooLargeError",
    "TooLargeError",
    "open_socket",
    "read_body",
]

# Shorter than the idle timeouts of the stand-ins and of common servers.
IDLE_LIMIT = timedelta(seconds=5)
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3


class HttpReply(msgspec.Struct, frozen=True):
    """A complete response. Header names are case-insensitive.

    `sent_at`
        Boot time at which the request was written to its connection; ``None`` if it has no body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    sent_at: timedelta | None = None


class RequestFailedError(Exception):
    """No complete response. ``sent`` is false only if no byte of the request was written."""

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ResponseTooLargeError(RequestFailedError):
    """The response is larger than the client's limit, and would be so again."""


class TooLargeError(Exception):
    """More of the response has arrived than is kept."""


class _CheckFailedError(Exception):
    """The check of the caller returned false, so the request was not written."""


class _NoOpenConnectionError(Exception):
    """No connection is open, and the request must not open one."""


class _DisconnectedError(Exception):
    """The connection closed before the response."""


class _RequestState:
    """State of one request: whether it was written, and the checks that precede the write.

    `is_over`
        The caller has its answer or error, so nothing may be written any more.
    """

    def __init__(
        self,
        check: Callable[[], bool] | None,
        check_connection: Callable[[timedelta], Awaitable[bool]] | None,
        has_body: bool,
        may_connect: bool,
    ) -> None:
        self.sent = False
        self.sent_at: timedelta | None = None
        self.has_body = has_body
        self.may_connect = may_connect
        self.allowed = True
        self.is_over = False
        self._check = check
        self._check_connection = check_connection

    async def run_connection_check(self, connected_at: timedelta) -> None:
        """Runs the check of the connection. Raises `_CheckFailedError` if it returns false."""
        if self._check_connection is not None and not await self._check_connection(connected_at):
            self.allowed = False
            raise _CheckFailedError

    def run_check(self) -> None:
        """Runs the check. Raises `_CheckFailedError` if it returns false."""
        if self._check is not None and not self._check():
            self.allowed = False
            raise _CheckFailedError


async def _send_once(
    request: aiohttp.ClientRequest,
    handler: Callable[[aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]],
) -> aiohttp.ClientResponse:
    """Client middleware that prevents aiohttp from retrying a request.

    aiohttp retries GET, PUT and DELETE if a reused connection closes before the response. The first
    request may have taken effect, so a retried compare-and-swap would report a conflict with its
    own write. Errors of another type are not retried, so this raises its own.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _DisconnectedError(_describe(error)) from error


class _Connections:
    """The times by which the connections of one client were open."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._connected_at: weakref.WeakKeyDictionary[asyncio.BaseTransport, timedelta] = (
            weakref.WeakKeyDictionary()
        )

    def connected_at(self, transport: asyncio.BaseTransport) -> timedelta:
        """Returns the boot time of the first use of a connection, by which it was open."""
        return self._connected_at.setdefault(transport, self.clock.boot_time())


class _CheckedBody(payload.BytesPayload):
    """Request body that runs the checks right before headers and body are written."""

    def __init__(
        self, body: bytes, state: _RequestState, connections: _Connections, content_type: str
    ) -> None:
        super().__init__(body, content_type=content_type)
        self._state = state
        self._connections = connections

    async def write_with_length(self, writer: Any, content_length: int | None) -> None:
        # aiohttp buffers the headers until the first part of the body is written.
        transport = self._open_transport(writer)
        await self._state.run_connection_check(self._connections.connected_at(transport))
        # It may have been closed during the check.
        self._open_transport(writer)
        self._state.run_check()
        self._state.sent = True
        self._state.sent_at = self._connections.clock.boot_time()
        await writer.write(self._value)

    def _open_transport(self, writer: Any) -> asyncio.BaseTransport:
        transport = writer.transport
        if transport is None or transport.is_closing() or self._state.is_over:
            raise ConnectionResetError("the connection closed before the request was written")
        return transport


async def read_body(
    response: aiohttp.ClientResponse,
    limit: int,
    on_part: Callable[[], None] = lambda: None,
) -> bytes:
    """Returns the body of a response. Raises `TooLargeError` beyond ``limit`` bytes, and the errors
    of aiohttp. ``on_part`` is called after each part that has arrived."""
    received = bytearray()
    async for part in response.content.iter_any():
        received += part
        on_part()
        if len(received) > limit:
            raise TooLargeError(f"answer is larger than {limit} bytes")
    return bytes(received)


def open_socket(address: tuple[Any, ...], user_timeout: timedelta) -> socket.socket:
    """Returns a socket for ``address``, an entry of ``getaddrinfo``.

    Keepalive closes an idle connection 11 s after its peer is gone; ``user_timeout`` limits how
    long written data may stay unacknowledged. Raises ``OSError``.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    limit_ms = max(user_timeout // timedelta(milliseconds=1), 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
    return sock


class HttpClient:
    """Requests to one address over pooled connections.

    `address`
        ``ip:port`` of the server.
    `timeout`
        Limit for a whole exchange, connecting included.
    `clock`
        Measures idle time. Its boot time includes time during which the VM is suspended, unlike
        the clock by which aiohttp expires idle connections.
    `max_response_bytes`
        Limit for the body of a response; `MAX_RESPONSE_BYTES` by default.
    `transfer_timeout`
        Limit for a whole exchange whose answer goes on arriving; ``timeout`` then limits the time
        without any byte of it. By default, ``timeout`` limits the whole exchange.
    """

    def __init__(
        self,
        address: str,
        timeout: timedelta,
        clock: Clock,
        max_response_bytes: int | None = None,
        transfer_timeout: timedelta | None = None,
    ) -> None:
        self.address = address
        self._transfer_timeout = transfer_timeout
        self._timeout = timeout
        self._clock = clock
        self._max_response_bytes = max_response_bytes
        self._session: aiohttp.ClientSession | None = None
        self._retired: set[aiohttp.ClientSession] = set()
        self._pending_by_session: dict[aiohttp.ClientSession, int] = {}
        self._connections = _Connections(clock)
        self._last_used = clock.boot_time()

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        wait: timedelta = timedelta(0),
        check: Callable[[], bool] | None = None,
        content_type: str = "application/json",
        may_connect: bool = True,
        check_connection: Callable[[timedelta], Awaitable[bool]] | None = None,
    ) -> HttpReply:
        """Sends one request and returns the complete response, whatever its status.

        ``path`` includes the query and is already percent-encoded. ``wait`` is added to the
        timeout for long polls. ``check`` requires a body; it is called once connected, right
        before the request is handed to the transport, and the request is not sent if it returns
        false. ``check_connection`` is awaited before that, with a boot time by which the connection
        was open, and prevents the request as ``check`` does; the time limit includes it. With
        ``may_connect`` false, the request is sent only if a connection is open, to the process that
        answered an earlier request on it. Raises `RequestFailedError`.
        """
        if body is None and (check is not None or check_connection is not None):
            raise ValueError("a request with a check needs a body")
        state = _RequestState(check, check_connection, body is not None, may_connect)
        session = self._acquire_session()
        limit = (self._timeout + wait).total_seconds()
        try:
            async with asyncio.timeout(limit) as deadline:
                return await self._exchange(
                    session,
                    state,
                    method,
                    path,
                    body,
                    headers,
                    content_type,
                    self._extension(deadline, wait),
                )
        except TimeoutError as error:
            self._retire(session)
            raise RequestFailedError(f"no answer within {limit:.3f} s", state.sent) from error
        except TooLargeError as error:
            self._retire(session)
            raise ResponseTooLargeError(str(error), state.sent) from error
        except _NoOpenConnectionError as error:
            raise RequestFailedError("not sent: no connection is open", state.sent) from error
        except (aiohttp.ClientError, OSError, ValueError, _DisconnectedError) as error:
            # aiohttp raises ``ValueError`` for a header that can't be written and ``UnicodeError``
            # for a host name that can't be encoded.
            if not state.allowed:
                raise RequestFailedError(
                    "not sent: the check returned false", state.sent
                ) from error
            self._retire(session)
            raise RequestFailedError(_describe(error), state.sent) from error
        finally:
            state.is_over = True
            await self._release_session(session)

    async def close(self) -> None:
        """Closes all connections. Pending requests fail."""
        sessions = {self._session, *self._retired} - {None}
        self._session = None
        self._retired.clear()
        for session in sessions:
            await session.close()

    def _extension(self, deadline: asyncio.Timeout, wait: timedelta) -> Callable[[], None]:
        """Returns what moves the deadline of an exchange as its answer arrives."""
        loop = asyncio.get_running_loop()
        transfer_timeout = self._transfer_timeout
        if transfer_timeout is None:
            return lambda: None
        ends_at = loop.time() + (transfer_timeout + wait).total_seconds()

        def extend() -> None:
            if not deadline.expired():
                deadline.reschedule(min(loop.time() + self._timeout.total_seconds(), ends_at))

        return extend

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        state: _RequestState,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        content_type: str,
        on_part: Callable[[], None],
    ) -> HttpReply:
        data = None
        if body is not None:
            data = _CheckedBody(body, state, self._connections, content_type)
        async with session.request(
            method,
            f"http://{self.address}{path}",
            data=data,
            headers={hdrs.ACCEPT_ENCODING: "identity", **(headers or {})},
            allow_redirects=False,
            middlewares=(_send_once,),
            trace_request_ctx=state,
        ) as response:
            limit = self._max_response_bytes or MAX_RESPONSE_BYTES
            content = await read_body(response, limit, on_part)
            return HttpReply(response.status, response.headers, content, state.sent_at)

    def _acquire_session(self) -> aiohttp.ClientSession:
        now = self._clock.boot_time()
        if self._session is not None and now - self._last_used > IDLE_LIMIT:
            self._retire(self._session)
        self._last_used = now
        if self._session is None:
            self._session = self._open_session()
        self._pending_by_session[self._session] = self._pending_by_session.get(self._session, 0) + 1
        return self._session

    def _open_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=IDLE_LIMIT.total_seconds(),
            socket_factory=functools.partial(open_socket, user_timeout=self._timeout),
        )
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_on_request_headers_sent)
        trace.on_connection_create_start.append(_on_connection_create_start)
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            trace_configs=[trace],
        )

    def _retire(self, session: aiohttp.ClientSession) -> None:
        """Sends no further requests on the session's connections; pending ones continue."""
        if self._session is session:
            self._session = None
            self._retired.add(session)

    async def _release_session(self, session: aiohttp.ClientSession) -> None:
        pending = self._pending_by_session[session] - 1
        if pending:
            self._pending_by_session[session] = pending
        else:
            del self._pending_by_session[session]
        # Among them is one that was retired while it was idle.
        unused = [each for each in self._retired if each not in self._pending_by_session]
        self._retired.difference_update(unused)
        for each in unused:
            await each.close()


async def _on_request_headers_sent(
    session: aiohttp.ClientSession, context: Any, params: aiohttp.TraceRequestHeadersSentParams
) -> None:
    # For requests with a body, `_CheckedBody` sets ``sent``: headers and body are written together.
    state = context.trace_request_ctx
    if not state.has_body:
        state.sent = True


async def _on_connection_create_start(
    session: aiohttp.ClientSession, context: Any, params: aiohttp.TraceConnectionCreateStartParams
) -> None:
    if not context.trace_request_ctx.may_connect:
        raise _NoOpenConnectionError


def _describe(error: Exception) -> str:
    if isinstance(error, _DisconnectedError):
        return str(error)
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
