"""gRPC between entry VMs: generic handlers, msgpack messages, one channel per address."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
import logbook
import msgspec
from opentelemetry import propagate, trace

from hornbeamramp import messages
from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.ids import DataCentreId, VmId
from hornbeamramp.settings import TlsSettings
from hornbeamramp.states import Step

__all__ = ["PeerClient", "PeerServer"]

SERVICE = "hornbeamramp.Peer"
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
# Calls carry a trace's ids at most.
METADATA_LIMIT_BYTES = 8192
# Largest read from a connection. The default, 4 MiB, is held for each connection that sends much,
# also where the bytes are refused.
READ_CHUNK_BYTES = 64 * 1024
HELLO_TIMEOUT = timedelta(seconds=2)
# Left for the call itself if the handshake used up its timeout: several round trips between VMs.
MIN_TIMEOUT = timedelta(milliseconds=50)
CHANNEL_CLOSE_GRACE_S = 5.0

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

# A dead connection is detected within keepalive time + timeout, both in milliseconds.
CHANNEL_OPTIONS = [
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    # Without this, a new channel would share the dead connection of the channel it replaces.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2_000),
]

SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", 2_000),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.experimental.tcp_max_read_chunk_size", READ_CHUNK_BYTES),
    ("grpc.max_metadata_size", METADATA_LIMIT_BYTES),
    ("grpc.absolute_max_metadata_size", METADATA_LIMIT_BYTES),
]

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
    `max_connections`
        Bound on the open connections at each port; ``None`` for no bound.
    """

    def __init__(
        self,
        address: str,
        vm: VmId,
        data_centre: DataCentreId,
        tls: TlsSettings | None = None,
        ports: int = 1,
        max_connections: int | None = None,
    ) -> None:
        self._address = address
        self._ports = ports
        self._vm = vm
        self._data_centre = data_centre
        self._tls = tls
        self._options = list(SERVER_OPTIONS)
        if max_connections is not None:
            self._options.append(("grpc.max_allowed_incoming_connections", max_connections))
        self._handlers: dict[type, Handler] = {messages.HelloRequest: self._on_hello}
        # A server of grpc.aio takes up one new call in each iteration of the event loop, some 300 a
        # second on a busy VM, so one server for each port.
        self._servers: list[grpc.aio.Server] = []
        self.port = 0

    def handle(self, request_type: type, handler: Handler) -> None:
        """Registers the handler of a request type. Must be called before `start`."""
        self._handlers[request_type] = handler

    async def start(self) -> None:
        """Binds and starts serving. Raises ``OSError`` if the address can't be bound."""
        self.port = await self._start_server(self._address)
        host, _, _ = self._address.rpartition(":")
        for number in range(1, self._ports):
            await self._start_server(f"{host}:{self.port + number}")

    async def _start_server(self, address: str) -> int:
        server = grpc.aio.server(options=self._options)
        methods = {
            _method_name(request_type): self._method(request_type, handler)
            for request_type, handler in self._handlers.items()
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, methods)
        server.add_generic_rpc_handlers((generic,))
        try:
            if self._tls is None:
                port = server.add_insecure_port(address)
            else:
                credentials = _server_credentials(self._tls)
                port = server.add_secure_port(address, credentials)
        except RuntimeError as error:
            raise OSError(f"can't listen on {address}: {error}") from error
        await server.start()
        self._servers.append(server)
        return port

    async def stop(self, grace: timedelta) -> None:
        """Rejects new calls and waits up to ``grace`` for running ones to finish."""
        await asyncio.gather(*(server.stop(grace.total_seconds()) for server in self._servers))

    def _method(self, request_type: type, handler: Handler) -> grpc.RpcMethodHandler:
        decoder = msgspec.msgpack.Decoder(request_type)

        async def serve(data: bytes, context: grpc.aio.ServicerContext) -> bytes:
            try:
                request = decoder.decode(data)
            except msgspec.MsgspecError as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
                raise
            carrier = {k: v for k, v in context.invocation_metadata() or () if isinstance(v, str)}
            parent = propagate.extract(carrier)
            name = f"rpc.server {_method_name(request_type)}"
            with _tracer.start_as_current_span(name, context=parent):
                return _encode(await handler(request))

        return grpc.unary_unary_rpc_method_handler(serve)

    async def _on_hello(self, request: messages.HelloRequest) -> messages.HelloReply:
        return messages.HelloReply(messages.PROTOCOL_VERSION, self._vm, self._data_centre)


class PeerClient:
    """Calls other entry VMs. Keeps one channel per address and replaces it after a failure."""

    def __init__(
        self,
        vm: VmId,
        data_centre: DataCentreId,
        tls: TlsSettings | None = None,
        reply_type_by_request_type: dict[type, type] = REPLY_TYPE_BY_REQUEST_TYPE,
    ) -> None:
        self._hello = messages.HelloRequest(messages.PROTOCOL_VERSION, vm, data_centre)
        self._credentials = None if tls is None else _channel_credentials(tls)
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._handshake_by_address: dict[str, asyncio.Task[None]] = {}
        self._compatible_addresses: set[str] = set()
        # Loop time of the latest answer on each channel.
        self._answered_at: dict[grpc.aio.Channel, float] = {}
        self._decoder_by_type = {
            request_type: msgspec.msgpack.Decoder(reply_type)
            for request_type, reply_type in reply_type_by_request_type.items()
        }

    async def call(self, address: str, request: Any, timeout: timedelta, step: Step) -> Any:
        """Sends a request and returns the reply struct.

        Raises `UnreachableError` if no reply arrived within ``timeout``; its ``sent`` is false only
        if the request was certainly not sent. Raises `ProtocolError` if the peer has another
        protocol version or the reply is malformed.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self._ensure_handshake(address, min(timeout, HELLO_TIMEOUT), step)
        remaining = timeout - timedelta(seconds=loop.time() - began)
        return await self._call(address, request, max(remaining, MIN_TIMEOUT), step, sent=True)

    async def close(self) -> None:
        """Closes all channels."""
        for address in list(self._channel_by_address):
            await self._discard_channel(address)

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
        channel = self._channel(address)
        began = asyncio.get_running_loop().time()
        stub = channel.unary_unary(f"/{SERVICE}/{method}")
        with _tracer.start_as_current_span(f"rpc.client {method}") as span:
            span.set_attribute("peer", address)
            carrier: dict[str, str] = {}
            propagate.inject(carrier)
            try:
                data = await stub(
                    _encode(request),
                    timeout=timeout.total_seconds(),
                    metadata=tuple(carrier.items()),
                )
            except grpc.aio.AioRpcError as error:
                await self._discard_failed_channel(address, channel, error.code(), began)
                message = f"{method}: {error.code().name}: {error.details()}"
                raise UnreachableError(step, address, message, sent) from error
            except asyncio.CancelledError as error:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                # Another call closed the channel; the calling task itself was not cancelled.
                message = f"{method}: the connection was given up"
                raise UnreachableError(step, address, message, sent) from error
        if self._channel_by_address.get(address) is channel:
            self._answered_at[channel] = asyncio.get_running_loop().time()
        try:
            return self._decoder_by_type[type(request)].decode(data)
        except msgspec.MsgspecError as error:
            raise ProtocolError(step, address, f"{method}: {error}") from error

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            if self._credentials is None:
                channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            else:
                channel = grpc.aio.secure_channel(
                    address, self._credentials, options=CHANNEL_OPTIONS
                )
            self._channel_by_address[address] = channel
        return channel

    async def _discard_failed_channel(
        self, address: str, channel: grpc.aio.Channel, code: grpc.StatusCode, began: float
    ) -> None:
        """Discards a channel that may be dead, so that the next call opens a new connection.

        After a timeout, it is alive if another call got an answer meanwhile: the peer is only slow,
        and more connections would make it slower.
        """
        is_disconnected = code is grpc.StatusCode.UNAVAILABLE or (
            code is grpc.StatusCode.DEADLINE_EXCEEDED
            and self._answered_at.get(channel, began) <= began
        )
        if is_disconnected and self._channel_by_address.get(address) is channel:
            await self._discard_channel(address)

    async def _discard_channel(self, address: str) -> None:
        self._compatible_addresses.discard(address)
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            self._answered_at.pop(channel, None)
            with contextlib.suppress(grpc.RpcError):
                # Other calls on this channel get time to finish. Without a limit, calls to a
                # stopped peer would wait forever, as a closing channel sends no keepalives.
                asyncio.get_running_loop().create_task(channel.close(CHANNEL_CLOSE_GRACE_S))


def _read(path: str) -> bytes:
    return Path(path).read_bytes()


def _server_credentials(tls: TlsSettings) -> grpc.ServerCredentials:
    pair = (_read(tls.key_file), _read(tls.certificate_file))
    root = _read(tls.ca_file) if tls.ca_file else None
    return grpc.ssl_server_credentials([pair], root, require_client_auth=root is not None)


def _channel_credentials(tls: TlsSettings) -> grpc.ChannelCredentials:
    root = _read(tls.ca_file) if tls.ca_file else None
    return grpc.ssl_channel_credentials(root, _read(tls.key_file), _read(tls.certificate_file))
