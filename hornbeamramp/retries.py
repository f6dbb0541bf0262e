"""Delayed retries of tasks and the retry budget of a pool."""

import heapq
from collections.abc import Iterator

from hornbeamramp.task_table import JobState
from hornbeamramp.token_bucket import TokenBucket

__all__ = ["DelayedRetries", "RetryBudget"]

# Retries that are due while the budget is exhausted are checked again after this many seconds.
BUDGET_RETRY_DELAY_S = 0.5


class RetryBudget:
    """Token bucket that bounds retries in proportion to starts.

    `tokens_per_start`
        Tokens added with each first attempt.
    `tokens_per_second`
        Tokens added per second, so that retries continue when nothing new is submitted.
    `burst`
        Maximum number of tokens. The retries after the failure of a whole rack stay below it.
    """

    def __init__(
        self, tokens_per_start: float = 0.2, tokens_per_second: float = 1.0, burst: float = 100.0
    ) -> None:
        self._tokens_per_start = tokens_per_start
        self._bucket = TokenBucket(tokens_per_second, burst)

    def earn(self) -> None:
        """Adds the tokens of a first attempt."""
        self._bucket.add(self._tokens_per_start)

    def take(self, now: float) -> bool:
        """Takes a token for one retry; false if there is none. ``now`` is in seconds."""
        return self._bucket.take(now)


class DelayedRetries:
    """Tasks to be queued again later. Times are seconds of boot time."""

    def __init__(self) -> None:
        self.budget = RetryBudget()
        self._heap: list[tuple[float, int, JobState, int, bool]] = []
        self._sequence = 0

    def add(self, state: JobState, task: int, due: float, budgeted: bool, now: float) -> bool:
        """Adds a retry. Returns true if the retry may be made at once and was not added."""
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
                heapq.heappush(heap, (now + BUDGET_RETRY_DELAY_S, sequence, state, task, budgeted))
                continue
            state.delayed -= 1
            due.append((state, task))
        return due

    def states(self) -> Iterator[JobState]:
        """Yields the jobs that wait for a retry."""
        return (entry[2] for entry in self._heap)
