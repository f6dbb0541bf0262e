"""Background tasks of one component of a process."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import logbook

from hornbeamramp.clock import Clock

__all__ = ["BackgroundTasks", "run_until_done"]

# Delay before a loop that failed unexpectedly runs again.
RESTART_DELAY = timedelta(milliseconds=250)


async def run_until_done(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], clock: Clock, log: logbook.Logger
) -> None:
    """Runs a loop, and runs it again after each unexpected error, until it returns.

    Without this, one error would end the loop for the rest of the process's life, while the process
    went on without what the loop keeps up to date.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            log.exception("{} failed unexpectedly, running it again", name)
            await clock.sleep(RESTART_DELAY)


class BackgroundTasks:
    """Keeps references to tasks, logs failed ones, and cancels all of them together.

    `name`
        Name of the component, for log lines.
    `log`
        Logger of the component.
    """

    def __init__(self, name: str, log: logbook.Logger) -> None:
        self._name = name
        self._log = log
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(
        self, coroutine: Coroutine[Any, Any, Any], context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        """Runs a coroutine as a task, by default in the caller's context, and returns the task."""
        task = asyncio.get_running_loop().create_task(coroutine, context=context)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("{}: background task failed: {!r}", self._name, task.exception())
