"""Clock, platform and tasks of a simulated cell, with each task assigned to its process."""

import asyncio
import contextvars
import weakref
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from hornbeamramp.clock import ManualClock
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.platforms.memory import MemoryPlatform
from hornbeamramp.states import Step
from tests.cell import Pause, ProcessClock

__all__ = [
    "SECOND",
    "CellClock",
    "CellPlatform",
    "Pause",
    "ProcessClock",
    "StoreView",
    "VmTaskGroup",
    "spawn_detached",
]

SECOND = timedelta(seconds=1)
STORE_TIMEOUT = timedelta(seconds=2)
MAX_SETTLE_PASSES = 100_000

_group: contextvars.ContextVar["VmTaskGroup | None"] = contextvars.ContextVar("group", default=None)
_detached: contextvars.ContextVar[bool] = contextvars.ContextVar("detached", default=False)
_group_by_task: "weakref.WeakKeyDictionary[asyncio.Task[Any], VmTaskGroup]" = (
    weakref.WeakKeyDictionary()
)


class VmTaskGroup:
    """All tasks of one process, assigned by their context or by the task that started them."""

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self.has_ended = False
        self._context = contextvars.copy_context()
        self._context.run(_group.set, self)

    @staticmethod
    def install() -> None:
        """Makes the running loop assign each new task to the group of its context."""

        def factory(loop, coroutine, context=None):
            task = asyncio.Task(coroutine, loop=loop, context=context)
            current = contextvars.copy_context() if context is None else context
            group = current.get(_group)
            if group is None and not current.get(_detached, False):
                # The package starts some tasks in an empty context. These join the group of the
                # task that starts them.
                parent = asyncio.current_task(loop)
                group = _group_by_task.get(parent) if parent is not None else None
            if group is not None:
                _group_by_task[task] = group
                group._tasks[task] = None
                if group.has_ended:
                    # Started by a task of a process that was killed while the task ran.
                    task.cancel()
                task.add_done_callback(lambda done: group._tasks.pop(done, None))
            return task

        asyncio.get_running_loop().set_task_factory(factory)

    def run(self, function, *arguments):
        """Calls ``function`` so that tasks it creates belong to this group."""
        return self._context.run(function, *arguments)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        return self.run(asyncio.get_running_loop().create_task, coroutine)

    def cancel(self) -> None:
        self.has_ended = True
        for task in list(self._tasks):
            task.cancel()


def spawn_detached(coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Starts a task that belongs to no process, such as the delivery of a message."""
    context = contextvars.Context()
    context.run(_detached.set, True)
    return asyncio.get_running_loop().create_task(coroutine, context=context)


class CellClock(ManualClock):
    """Manual clock that runs the event loop until no callback is ready at the present time."""

    @staticmethod
    async def _settle() -> None:
        ready = asyncio.get_running_loop()._ready
        for _ in range(MAX_SETTLE_PASSES):
            await asyncio.sleep(0)
            if not ready:
                return
        raise AssertionError("tasks keep running without a clock advance")


class CellPlatform(MemoryPlatform):
    """Platform whose watches wake only on changes and lease expiry, not every 100 ms."""

    async def _wait_for_change(self, longest: timedelta) -> None:
        ends = [end - self._clock.boot_time() for end in self._ends_at_by_lease.values()]
        step = max(min([longest, *ends]), timedelta(milliseconds=1))
        change = asyncio.ensure_future(self._changed.wait())
        pause = asyncio.ensure_future(self._clock.sleep(step))
        _, pending = await asyncio.wait({change, pause}, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()


class StoreView:
    """Access of one process to the platform, with faults.

    `on_call`
        Called with the name and arguments of each call before it is sent.
    `cut`
        Calls get no answer and have no effect.
    `answers_to_lose`
        Number of the next calls that take effect and get no answer.
    `delay`
        Time until a call takes effect, even if the process has stopped waiting by then.
    """

    def __init__(
        self,
        platform: MemoryPlatform,
        clock: ManualClock,
        pause: Pause,
        on_call: Callable[[str, tuple], None],
    ) -> None:
        self._on_call = on_call
        self._platform = platform
        self._clock = clock
        self._pause = pause
        self.cut = False
        self.answers_to_lose = 0
        self.delay = timedelta(0)

    def is_healthy(self) -> bool:
        return not self.cut and not self.answers_to_lose and not self.delay

    async def close(self) -> None:
        """Does nothing: closing connections needs no answer from the platform."""

    def __getattr__(self, name):
        async def call(*arguments):
            try:
                return await self._answer(name, arguments)
            finally:
                await self._pause.wait_until_resumed()

        return call

    async def _answer(self, name: str, arguments: tuple) -> Any:
        limit = STORE_TIMEOUT + (arguments[2] if name == "watch" else timedelta(0))
        self._on_call(name, arguments)
        effect = spawn_detached(self._take_effect(name, arguments))
        expiry = asyncio.ensure_future(self._clock.sleep(limit))
        await asyncio.wait({effect, expiry}, return_when=asyncio.FIRST_COMPLETED)
        expiry.cancel()
        lost = self.cut or self.answers_to_lose > 0
        if self.answers_to_lose:
            self.answers_to_lose -= 1
        if effect.done() and not lost:
            return effect.result()
        effect.add_done_callback(lambda task: task.cancelled() or task.exception())
        if effect.done():
            await self._clock.sleep(STORE_TIMEOUT)
        elif name in ("watch", "get", "list_prefix"):
            effect.cancel()
        raise StoreUnavailableError(Step.RENEW, "store", f"{name}: no answer")

    async def _take_effect(self, name: str, arguments: tuple) -> Any:
        if self.cut:
            raise StoreUnavailableError(Step.RENEW, "store", f"{name}: cut off", sent=False)
        if self.delay:
            await self._clock.sleep(self.delay)
        return await getattr(self._platform, name)(*arguments)
