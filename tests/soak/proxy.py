"""Loopback TCP proxy whose links can be delayed, reset, refused, or silenced."""

import asyncio
import contextlib
from enum import Enum

__all__ = ["Link", "LinkState"]

CHUNK_BYTES = 65_536


class LinkState(Enum):
    """What happens to bytes and to new connections."""

    OPEN = "open"
    # Bytes arrive after ``delay_s``, also when the sender has gone meanwhile.
    DELAYED = "delayed"
    # Requests arrive, answers don't.
    ANSWERS_LOST = "answers_lost"
    SILENT = "silent"
    REFUSED = "refused"


class Link:
    """Forwards connections on ``address`` to a target.

    Connections that were open when the link was silenced stay silent after it has opened again, as
    when something between both ends has lost track of them.
    """

    def __init__(self, host: str, target: str) -> None:
        self._host = host
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self.state = LinkState.OPEN
        self.delay_s = 0.0
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._on_connect, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()

    def set(self, state: LinkState, delay_s: float = 0.0) -> None:
        self.state, self.delay_s = state, delay_s
        if state in (LinkState.SILENT, LinkState.ANSWERS_LOST):
            for connection in self._connections:
                connection.lost_for_good = state
        if state is LinkState.REFUSED:
            self.reset()

    def reset(self) -> None:
        """Breaks all connections."""
        for connection in list(self._connections):
            connection.abort()

    async def _on_connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.state is LinkState.REFUSED:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(self, writer, far_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.forward(reader, far_writer, is_answer=False),
                connection.forward(far_reader, writer, is_answer=True),
            )
        finally:
            self._connections.discard(connection)
            connection.abort()


class _Connection:
    def __init__(self, link: Link, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self._link = link
        self._writers = (near, far)
        self.lost_for_good: LinkState | None = None

    def abort(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                state = self.lost_for_good or self._link.state
                if state is LinkState.DELAYED:
                    await asyncio.sleep(self._link.delay_s)
                lost = state is LinkState.SILENT or (state is LinkState.ANSWERS_LOST and is_answer)
                if not lost and not writer.is_closing():
                    writer.write(data)
                    await writer.drain()
            if writer.can_write_eof() and not writer.is_closing():
                writer.write_eof()
