"""Background tasks of one component of a process."""

import asyncio
import contextvars
from collections.abc import Coroutine
from typing import Any

import logbook

__all__ = ["BackgroundTasks"]


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
    ) -> None:
        """Runs a coroutine as a task, by default in the caller's context."""
        task = asyncio.get_running_loop().create_task(coroutine, context=context)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

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
