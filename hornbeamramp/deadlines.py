"""Deadlines of queued jobs, in a heap."""

import heapq

from hornbeamramp.task_table import JobState

__all__ = ["Deadlines"]

# Entries of ended jobs that the heap may hold in addition to one per live entry.
MAX_EXTRA_STALE_ENTRIES = 64


class Deadlines:
    """Jobs by deadline, with lazy deletion. Times are seconds of boot time."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, JobState]] = []
        self._live: set[JobState] = set()

    def add(self, state: JobState) -> None:
        """Adds a job; without effect if it has no deadline."""
        if state.deadline is not None:
            heapq.heappush(self._heap, (state.deadline, state.sequence, state))
            self._live.add(state)

    def discard(self, state: JobState) -> None:
        """Removes a job in O(1), amortised; without effect if it is not there."""
        self._live.discard(state)
        if len(self._heap) > 2 * len(self._live) + MAX_EXTRA_STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if entry[2] in self._live]
            heapq.heapify(self._heap)

    def take_due(self, now: float) -> list[JobState]:
        """Removes and returns the jobs whose deadline has passed."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            state = heapq.heappop(self._heap)[2]
            if state in self._live:
                self._live.remove(state)
                due.append(state)
        return due
