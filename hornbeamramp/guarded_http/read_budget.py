"""Which connections stay open, and which unfinished requests are given up for want of memory."""

from typing import Generic, TypeVar

import msgspec

__all__ = ["ListenerBounds", "ReadBudget"]

Reader = TypeVar("Reader")


class ListenerBounds(msgspec.Struct, frozen=True):
    """Bounds of one listener: its open connections, and the bytes of all requests it holds."""

    connections: int
    request_bytes: int


class ReadBudget(Generic[Reader]):
    """Open connections of a listener, and the bytes that each holds of its request.

    A connection is refused (it is being closed), reads a request, has handed one on, or is idle.
    Where connections are too many, the one refused first, else the reader that has been stalled the
    longest, else the one that has been idle the longest is closed; requests that were handed on
    keep their connections. Where the bytes are too many, the reader that has been stalled the
    longest is refused, of those that hold half the mean of all readers or more: a crowd that holds
    much doesn't displace callers that send little.

    `used`
        Bytes held by all connections.
    """

    def __init__(self, bounds: ListenerBounds) -> None:
        self._bounds = bounds
        # Each in the order of the latest change, the earliest first.
        self._refused: dict[Reader, None] = {}
        self._held_by_reader: dict[Reader, int] = {}
        self._held_by_handled: dict[Reader, int] = {}
        self._idle: dict[Reader, None] = {}
        self._reading = 0
        self.used = 0

    def __len__(self) -> int:
        tables = (self._refused, self._held_by_reader, self._held_by_handled, self._idle)
        return sum(len(table) for table in tables)

    def open(self, reader: Reader) -> Reader | None:
        """Adds a connection. Returns the one to close for it, which may be itself, or ``None``."""
        evicted = None
        if len(self) >= self._bounds.connections:
            for table in (self._refused, self._held_by_reader, self._idle):
                if table:
                    evicted = next(iter(table))
                    break
            else:
                return reader
            self.close(evicted)
        self._idle[reader] = None
        return evicted

    def close(self, reader: Reader) -> None:
        """Removes a connection, if it is there."""
        self._remove(reader)

    def read(self, reader: Reader, held: int) -> None:
        """Notes that bytes of a request have arrived, and how many the connection holds now."""
        self._remove(reader)
        self._held_by_reader[reader] = held
        self._reading += held
        self.used += held

    def hand_on(self, reader: Reader, held: int) -> None:
        """Notes that a whole request is being handled."""
        self._remove(reader)
        self._held_by_handled[reader] = held
        self.used += held

    def finish(self, reader: Reader) -> None:
        """Notes that a request was answered and its connection can take the next."""
        self._remove(reader)
        self._idle[reader] = None

    def refuse(self, reader: Reader) -> None:
        """Notes that a connection holds nothing any more and is being closed."""
        self._remove(reader)
        self._refused[reader] = None

    @property
    def is_exceeded(self) -> bool:
        return self.used > self._bounds.request_bytes

    def overdrawn(self) -> Reader | None:
        """Returns the reader to refuse for the bytes of the others, or ``None``.

        A request that nothing else competes with is never refused.
        """
        readers = self._held_by_reader
        if not self.is_exceeded or not readers or len(readers) + len(self._held_by_handled) == 1:
            return None
        half_mean = self._reading / len(readers) / 2
        return next(reader for reader, held in readers.items() if held >= half_mean)

    def _remove(self, reader: Reader) -> None:
        # Most requests arrive in one piece: their connections are idle or handled.
        if reader in self._idle:
            del self._idle[reader]
        elif reader in self._held_by_handled:
            self.used -= self._held_by_handled.pop(reader)
        elif reader in self._held_by_reader:
            held = self._held_by_reader.pop(reader)
            self._reading -= held
            self.used -= held
        else:
            self._refused.pop(reader, None)
