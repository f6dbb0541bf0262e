"""Calls between entry VMs: msgpack messages in HTTP requests, one channel per address."""

import asyncio
import functools
import ssl
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import aiohttp
import logbook
import msgspec
from aiohttp import hdrs, web
from opentelemetry import propagate, trace

from hornbeamramp import messages
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.guarded_http import (
    Guard,
    GuardedServer,
    ListenerBounds,
    RequestRefusedError,
    TlsListener,
    refusal_response,
)
from hornbeamramp.http_client import TooLargeError, open_socket, read_body
from hornbeamramp.ids import DataCentreId, VmId
from hornbeamramp.settings import TlsSettings
from hornbeamramp.states import Step
from hornbeamramp.workload import RequestLimits

__all__ = ["DEFAULT_BOUNDS", "MESSAGE_LIMIT_BYTES", "PeerClient", "PeerServer"]

MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
# Calls carry a trace's ids at most.
LIMITS = RequestLimits(max_header_bytes=8192, max_body_bytes=MESSAGE_LIMIT_BYTES)
# Bounds of a server that is given none: many VMs, and several messages of the largest size.
DEFAULT_BOUNDS = ListenerBounds(4096, 8 * MESSAGE_LIMIT_BYTES)
# Time for the body of a request, which a VM sends at once.
BODY_TIMEOUT_S = 10.0
HELLO_TIMEOUT = timedelta(seconds=2)
# Left for the call itself if the handshake used up its timeout: several round trips between VMs.
MIN_TIMEOUT = timedelta(milliseconds=50)
# A connection that was idle for longer isn't used again; the server keeps it open for longer still.
CHANNEL_IDLE_S = 5.0
SERVER_IDLE = timedelta(seconds=75)
# Open connections of a channel; further calls wait for one.
CHANNEL_CONNECTIONS = 32
# Calls that may take longer, as their callers wait for the end of a job, have a channel of their
# own, whose connections are as many as the calls.
LONG_CALL = timedelta(seconds=60)
# A connection whose peer acknowledges nothing is closed after this time.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=7)
CHANNEL_CLOSE_GRACE_S = 5.0
MEDIA_TYPE = "application/msgpack"

REPLY_TYPE_BY_REQUEST_TYPE: dict[type, type] = {
    messages.HelloRequest: messages.HelloReply,
    messages.Heartbeat: messages.HeartbeatReply,
    messages.SubmitRequest: messages.SubmitReply,
    messages.ResolveRequest: messages.ResolveReply,
    messages.CancelRequest: messages.CancelReply,
    messages.GetJobRequest: messages.GetJobReply,
    messages.AskOwnerRequest: messages.AskOwnerReply,
    messages.PromiseRequest: messages.PromiseReply,
    messages.HandOverRequest: messages.HandOverReply,
    messages.ConfigDeltaRequest: messages.ConfigDeltaReply,
    messages.StatusRequest: messages.StatusReply,
}

_encode = msgspec.msgpack.encode
_tracer = trace.get_tracer(__name__)
_log = logbook.Logger("rpc")

Handler = Callable[[Any], Awaitable[Any]]


def _method_name(request_type: type) -> str:
    return request_type.__name__.removesuffix("Request")


class PeerServer:
    """Serves calls from other entry VMs.

    `address`
        ``ip:port`` to listen on; port 0 chooses a free port, see `port`.
    `ports`
        Number of consecutive ports to listen on, each of which serves all calls.
    `tls`
        Key files, or ``None`` for plain TCP. With a CA, peers must present a certificate.
    `bounds`
        Connections and bytes of requests at all ports together.
    """

    def __init__(
        self,
        address: str,
        vm: VmId,
        data_centre: DataCentreId,
        tls: TlsSettings | None = None,
        ports: int = 1,
        bounds: ListenerBounds = DEFAULT_BOUNDS,
    ) -> None:
        self._address = address
        self._ports = ports
        self._vm = vm
        self._data_centre = data_centre
        self._tls = tls
        self._guard = Guard("peers", bounds, lambda: LIMITS)
        self._method_by_name: dict[str, tuple[msgspec.msgpack.Decoder[Any], Handler]] = {}
        self._http: GuardedServer | None = None
        self._listeners: list[asyncio.Server | TlsListener] = []
        self.port = 0
        self.handle(messages.HelloRequest, self._on_hello)

    def handle(self, request_type: type, handler: Handler) -> None:
        """Registers the handler of a request type. Must be called before `start`."""
        decoder = msgspec.msgpack.Decoder(request_type)
        self._method_by_name[_method_name(request_type)] = (decoder, handler)

    async def start(self) -> None:
        """Binds and starts serving. Raises ``OSError`` if the address can't be bound."""
        # A handler ends with its caller's wait.
        self._http = GuardedServer(
            self._serve, self._guard, lambda: SERVER_IDLE, handler_cancellation=True
        )
        host, _, port = self._address.rpartition(":")
        self.port = await self._listen(host, int(port))
        for number in range(1, self._ports):
            await self._listen(host, self.port + number)

    async def _listen(self, host: str, port: int) -> int:
        assert self._http is not None
        context = None if self._tls is None else _server_context(self._tls)
        listener = await self._http.listen(host.strip("[]"), port, context)
        self._listeners.append(listener)
        return listener.sockets[0].getsockname()[1]

    async def stop(self, grace: timedelta) -> None:
        """Rejects new calls and waits up to ``grace`` for running ones to finish."""
        for listener in self._listeners:
            listener.close()
        if self._http is not None:
            await self._http.shutdown(grace.total_seconds())

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                data = await request.read()
        except RequestRefusedError as error:
            return refusal_response(error.refusal)
        except TimeoutError:
            return _failure(HTTPStatus.REQUEST_TIMEOUT, "the request did not arrive in time")
        name = request.path.removeprefix("/")
        method = self._method_by_name.get(name)
        if method is None or request.method != hdrs.METH_POST:
            return _failure(HTTPStatus.NOT_FOUND, "no such method")
        decoder, handler = method
        try:
            message = decoder.decode(data)
        except msgspec.MsgspecError as error:
            return _failure(HTTPStatus.BAD_REQUEST, str(error))
        parent = propagate.extract({k.lower(): v for k, v in request.headers.items()})
        try:
            with _tracer.start_as_current_span(f"rpc.server {name}", context=parent):
                return web.Response(body=_encode(await handler(message)), content_type=MEDIA_TYPE)
        except Exception as error:
            _log.exception("call {} failed", name)
            return _failure(HTTPStatus.INTERNAL_SERVER_ERROR, f"{type(error).__name__}: {error}")

    async def _on_hello(self, request: messages.HelloRequest) -> messages.HelloReply:
        return messages.HelloReply(messages.PROTOCOL_VERSION, self._vm, self._data_centre)


def _failure(status: HTTPStatus, text: str) -> web.Response:
    return web.Response(status=status, text=text)


class PeerClient:
    """Calls other entry VMs. Keeps one channel per address, and one for calls that take long, and
    replaces them after a failure."""

    def __init__(
        self,
        vm: VmId,
        data_centre: DataCentreId,
        tls: TlsSettings | None = None,
        reply_type_by_request_type: dict[type, type] = REPLY_TYPE_BY_REQUEST_TYPE,
    ) -> None:
        self._hello = messages.HelloRequest(messages.PROTOCOL_VERSION, vm, data_centre)
        self._ssl = None if tls is None else _client_context(tls)
        self._channel_by_address: dict[str, aiohttp.ClientSession] = {}
        self._long_channel_by_address: dict[str, aiohttp.ClientSession] = {}
        self._handshake_by_address: dict[str, asyncio.Task[None]] = {}
        self._compatible_addresses: set[str] = set()
        # Loop time of the latest answer on each channel.
        self._answered_at: dict[aiohttp.ClientSession, float] = {}
        # Discarded channels, each with the task that closes it.
        self._closing: dict[aiohttp.ClientSession, asyncio.Task[None]] = {}
        self._decoder_by_type = {
            request_type: msgspec.msgpack.Decoder(reply_type)
            for request_type, reply_type in reply_type_by_request_type.items()
        }

    async def call(self, address: str, request: Any, timeout: timedelta, step: Step) -> Any:
        """Sends a request and returns the reply struct.

        Raises `UnreachableError` if no reply arrived within ``timeout``; its ``sent`` is false only
        if the request was certainly not sent, or not handled. Raises `ProtocolError` if the peer
        has another protocol version or the reply is malformed.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self._ensure_handshake(address, min(timeout, HELLO_TIMEOUT), step)
        remaining = timeout - timedelta(seconds=loop.time() - began)
        return await self._call(address, request, max(remaining, MIN_TIMEOUT), step, sent=True)

    async def close(self) -> None:
        """Closes all channels. Pending calls fail."""
        for address in {*self._channel_by_address, *self._long_channel_by_address}:
            self._discard_channels(address)
        for channel, task in list(self._closing.items()):
            task.cancel()
            await channel.close()
        self._closing.clear()

    async def _ensure_handshake(self, address: str, timeout: timedelta, step: Step) -> None:
        """Checks the peer's protocol version once. Concurrent calls share one handshake."""
        if address in self._compatible_addresses:
            return
        handshake = self._handshake_by_address.get(address)
        if handshake is None:
            handshake = asyncio.get_running_loop().create_task(
                self._handshake(address, timeout, step)
            )
            self._handshake_by_address[address] = handshake
            handshake.add_done_callback(lambda task: self._on_handshake_done(address, task))
        await asyncio.shield(handshake)

    async def _handshake(self, address: str, timeout: timedelta, step: Step) -> None:
        reply = await self._call(address, self._hello, timeout, step, sent=False)
        if reply.version != messages.PROTOCOL_VERSION:
            raise ProtocolError(step, address, f"peer speaks version {reply.version}")
        self._compatible_addresses.add(address)

    def _on_handshake_done(self, address: str, handshake: asyncio.Task[None]) -> None:
        del self._handshake_by_address[address]
        if not handshake.cancelled():
            # Marks the exception as retrieved: all waiting calls may have been cancelled.
            handshake.exception()

    async def _call(
        self, address: str, request: Any, timeout: timedelta, step: Step, sent: bool
    ) -> Any:
        method = _method_name(type(request))
        channel = self._channel(address, timeout)
        began = asyncio.get_running_loop().time()
        with _tracer.start_as_current_span(f"rpc.client {method}") as span:
            span.set_attribute("peer", address)
            headers: dict[str, str] = {hdrs.CONTENT_TYPE: MEDIA_TYPE}
            propagate.inject(headers)
            try:
                async with (
                    asyncio.timeout(timeout.total_seconds()),
                    channel.post(f"/{method}", data=_encode(request), headers=headers) as response,
                ):
                    status = response.status
                    data = await read_body(response, MESSAGE_LIMIT_BYTES)
            except TimeoutError as error:
                # The peer may only be slow, and more connections would make it slower.
                if self._answered_at.get(channel, began) <= began:
                    self._discard_if_current(address, channel)
                message = f"{method}: no answer within {timeout.total_seconds():.3f} s"
                raise UnreachableError(step, address, message, sent) from error
            except (aiohttp.ClientError, OSError, TooLargeError) as error:
                self._discard_if_current(address, channel)
                if isinstance(error, aiohttp.ClientConnectorError):
                    sent = False
                message = f"{method}: {type(error).__name__}: {error}"
                raise UnreachableError(step, address, message, sent) from error
        if self._is_current(address, channel):
            self._answered_at[channel] = asyncio.get_running_loop().time()
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise UnreachableError(step, address, f"{method}: refused", False)
        if status != HTTPStatus.OK:
            text = data[:200].decode(errors="replace")
            raise UnreachableError(step, address, f"{method}: {status}: {text}", sent)
        try:
            return self._decoder_by_type[type(request)].decode(data)
        except msgspec.MsgspecError as error:
            raise ProtocolError(step, address, f"{method}: {error}") from error

    def _channel(self, address: str, timeout: timedelta) -> aiohttp.ClientSession:
        is_long = timeout > LONG_CALL
        channel_by_address = self._long_channel_by_address if is_long else self._channel_by_address
        channel = channel_by_address.get(address)
        if channel is None:
            scheme = "http" if self._ssl is None else "https"
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=0 if is_long else CHANNEL_CONNECTIONS,
                keepalive_timeout=CHANNEL_IDLE_S,
                ssl=True if self._ssl is None else self._ssl,
                socket_factory=functools.partial(open_socket, user_timeout=UNACKNOWLEDGED_TIMEOUT),
            )
            channel = aiohttp.ClientSession(
                f"{scheme}://{address}",
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None),
                auto_decompress=False,
                skip_auto_headers=(hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING),
            )
            channel_by_address[address] = channel
        return channel

    def _is_current(self, address: str, channel: aiohttp.ClientSession) -> bool:
        return channel in (
            self._channel_by_address.get(address),
            self._long_channel_by_address.get(address),
        )

    def _discard_if_current(self, address: str, channel: aiohttp.ClientSession) -> None:
        if self._is_current(address, channel):
            self._discard_channels(address)

    def _discard_channels(self, address: str) -> None:
        """Has the next call open a new channel. Other calls on the old ones get time to finish."""
        self._compatible_addresses.discard(address)
        for channel_by_address in (self._channel_by_address, self._long_channel_by_address):
            channel = channel_by_address.pop(address, None)
            if channel is not None:
                self._answered_at.pop(channel, None)
                self._close_later(channel)

    def _close_later(self, channel: aiohttp.ClientSession) -> None:
        task = asyncio.get_running_loop().create_task(_close_after_grace(channel))
        self._closing[channel] = task
        task.add_done_callback(lambda _: self._closing.pop(channel, None))


async def _close_after_grace(channel: aiohttp.ClientSession) -> None:
    await asyncio.sleep(CHANNEL_CLOSE_GRACE_S)
    await channel.close()


def _server_context(tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.ca_file or None)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    if tls.ca_file:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _client_context(tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.ca_file or None)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context
