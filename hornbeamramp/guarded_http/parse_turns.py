"""Which connection's data is parsed next, and for how long in each iteration of the event loop."""

import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["ITERATION_S", "ParseTurns"]

# Processor time for one listener in an iteration of the event loop; what else the process does has
# its turn after it. A piece that has begun is parsed to its end.
ITERATION_S = 0.002

Reader = TypeVar("Reader")


class ParseTurns(Generic[Reader]):
    """Processor time of the connections of one listener whose data has arrived.

    The connection that has used the least for its request is next, so a short request isn't
    held up by long ones; among equals, the one that has waited the longest.

    `clock`
        Returns the processor's time in seconds, from any start.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # Time used and order of arrival. Entries that no longer match `_number_by_reader` are void.
        self._queue: list[tuple[float, int, Reader]] = []
        self._number_by_reader: dict[Reader, int] = {}
        self._next_number = 0
        self._used_s_by_reader: dict[Reader, float] = {}
        self._left_s = ITERATION_S

    def __len__(self) -> int:
        return len(self._number_by_reader)

    def begin_iteration(self) -> None:
        """Notes that the event loop has begun another iteration."""
        self._left_s = ITERATION_S

    def add(self, reader: Reader) -> None:
        """Adds a connection that has data to parse and isn't waiting yet."""
        number = self._next_number
        self._next_number += 1
        self._number_by_reader[reader] = number
        heapq.heappush(self._queue, (self._used_s_by_reader.get(reader, 0.0), number, reader))

    def remove(self, reader: Reader) -> None:
        """Removes a connection, if it waits."""
        self._number_by_reader.pop(reader, None)
        if len(self._queue) > 2 * len(self._number_by_reader) + 1:
            self._queue = [x for x in self._queue if self._number_by_reader.get(x[2]) == x[1]]
            heapq.heapify(self._queue)

    def forget(self, reader: Reader) -> None:
        """Forgets what a connection has used: its request has ended, or the connection itself."""
        self.remove(reader)
        self._used_s_by_reader.pop(reader, None)

    def take(self) -> Reader | None:
        """Removes and returns the next connection; ``None`` if none waits or the time is used."""
        if self._left_s <= 0:
            return None
        while self._queue:
            _, number, reader = heapq.heappop(self._queue)
            if self._number_by_reader.get(reader) == number:
                del self._number_by_reader[reader]
                return reader
        return None

    def parse(self, reader: Reader, parse_piece: Callable[[], bool]) -> None:
        """Parses one piece of a connection's data and counts the time that it takes.

        ``parse_piece`` tells whether there is more, for which the connection then waits.
        """
        # The end of a request in between forgets what was used for it.
        self._used_s_by_reader.setdefault(reader, 0.0)
        began = self._clock()
        has_more = parse_piece()
        taken_s = self._clock() - began
        self._left_s -= taken_s
        if reader in self._used_s_by_reader:
            self._used_s_by_reader[reader] += taken_s
        if has_more:
            self.add(reader)
