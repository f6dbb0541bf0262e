"""Loopback TCP proxy whose links can be delayed, reset, refused or silenced."""

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum

__all__ = ["Link", "LinkState"]

CHUNK_BYTES = 65_536


class LinkState(Enum):
    """How a link treats data and new connections."""

    OPEN = "open"
    # Data arrives after ``delay_s``, even if the sender has disconnected meanwhile.
    DELAYED = "delayed"
    # Requests arrive, responses don't.
    ANSWERS_LOST = "answers_lost"
    SILENT = "silent"
    REFUSED = "refused"


class Link:
    """Forwards connections on ``address`` to a target.

    Connections that were open when the link was silenced stay silent after it is open again, as if
    a middlebox had lost their state.

    `draw_answer_delay_s`
        Returns the delay of the next answer, by default none. Answers on different connections
        overtake each other; those on one connection keep their order.
    `answer_bytes_per_s`
        Rate that all answers share; ``None`` if it is not limited.
    """

    def __init__(self, host: str, target: str) -> None:
        self._host = host
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self.state = LinkState.OPEN
        self.delay_s = 0.0
        self.draw_answer_delay_s: Callable[[], float] = lambda: 0.0
        self.answer_bytes_per_s: float | None = None
        # Loop time at which all answers so far have been sent.
        self._sent_until = 0.0
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
                connection.permanent_state = state
        if state is LinkState.REFUSED:
            self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for connection in list(self._connections):
            connection.abort()

    def cut_target(self) -> None:
        """Ends all connections to the target; answers that it had written still arrive."""
        for connection in self._connections:
            connection.cut_target()

    def silence_target(self) -> None:
        """Does the same, and clients don't see the end of their connections."""
        for connection in self._connections:
            connection.is_end_lost = True
        self.cut_target()

    async def wait_for_rate(self, count: int) -> None:
        """Returns once ``count`` more bytes of answers have been sent at the limited rate."""
        if self.answer_bytes_per_s is not None:
            now = asyncio.get_running_loop().time()
            self._sent_until = max(self._sent_until, now) + count / self.answer_bytes_per_s
            await asyncio.sleep(self._sent_until - now)

    async def _on_connect(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        if self.state is LinkState.REFUSED:
            client_writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            client_writer.transport.abort()
            return
        connection = _Connection(self, client_writer, target_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.forward(client_reader, target_writer, is_answer=False),
                connection.forward(target_reader, client_writer, is_answer=True),
            )
        finally:
            self._connections.discard(connection)
            connection.abort()


class _Connection:
    def __init__(
        self, link: Link, client: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self._link = link
        self._writers = (client, target)
        self.permanent_state: LinkState | None = None
        self.is_end_lost = False

    def abort(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    def cut_target(self) -> None:
        self._writers[1].transport.abort()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                state = self.permanent_state or self._link.state
                if state is LinkState.DELAYED:
                    await asyncio.sleep(self._link.delay_s)
                if is_answer and (delay_s := self._link.draw_answer_delay_s()):
                    await asyncio.sleep(delay_s)
                if is_answer:
                    if writer.is_closing():
                        # What a receiver that has left doesn't take uses no link.
                        return
                    await self._link.wait_for_rate(len(data))
                is_lost = state is LinkState.SILENT or (
                    state is LinkState.ANSWERS_LOST and is_answer
                )
                if not is_lost and not writer.is_closing():
                    writer.write(data)
                    await writer.drain()
            is_end_lost = is_answer and self.is_end_lost
            if writer.can_write_eof() and not writer.is_closing() and not is_end_lost:
                writer.write_eof()
