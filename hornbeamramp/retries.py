"""Retries: tasks that wait for their time and for the retry budget of the pool."""

import heapq
from collections.abc import Iterator

from hornbeamramp.task_table import JobState

__all__ = ["DelayedRetries", "RetryBudget"]

# Retries that are due but for which there is no budget are tried again after this many seconds.
BUDGET_WAIT = 0.5


class RetryBudget:
    """Token bucket that bounds retries to a share of starts.

    `share`
        Tokens earned with each first attempt.
    `floor`
        Tokens earned per second, so that retries go on when nothing new is submitted.
    `burst`
        Most tokens kept. A rack of upstreams that fails at once stays below it.
    """

    def __init__(self, share: float = 0.2, floor: float = 1.0, burst: float = 100.0) -> None:
        self._share = share
        self._floor = floor
        self._burst = burst
        self._tokens = burst
        self._updated = 0.0

    def earn(self) -> None:
        """Notes a first attempt."""
        self._tokens = min(self._tokens + self._share, self._burst)

    def take(self, now: float) -> bool:
        """Takes a token for one retry; false if there is none. ``now`` is in seconds."""
        self._tokens = min(self._tokens + (now - self._updated) * self._floor, self._burst)
        self._updated = now
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


class DelayedRetries:
    """Tasks to be queued again later. Times are seconds of boot time."""

    def __init__(self) -> None:
        self.budget = RetryBudget()
        self._heap: list[tuple[float, int, JobState, int, bool]] = []
        self._sequence = 0

    def add(self, state: JobState, task: int, due: float, budgeted: bool, now: float) -> bool:
        """Adds a retry. Returns true if it may be made at once and was not added."""
        if due <= now and (not budgeted or self.budget.take(now)):
            return True
        state.delayed += 1
        self._sequence += 1
        heapq.heappush(self._heap, (due, self._sequence, state, task, budgeted))
        return False

    def take_due(self, now: float) -> list[tuple[JobState, int]]:
        """Removes and returns the tasks to be queued again now."""
        due: list[tuple[JobState, int]] = []
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, sequence, state, task, budgeted = heapq.heappop(heap)
            if state.cancelled or state.failed:
                continue
            if budgeted and not self.budget.take(now):
                heapq.heappush(heap, (now + BUDGET_WAIT, sequence, state, task, budgeted))
                continue
            state.delayed -= 1
            due.append((state, task))
        return due

    def states(self) -> Iterator[JobState]:
        """Yields the jobs that wait for a retry."""
        return (entry[2] for entry in self._heap)
