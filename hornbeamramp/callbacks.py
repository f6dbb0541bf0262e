"""Calls the owner's callbacks when a shard is gained or lost, one at a time per shard."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from hornbeamramp.ids import Epoch, ShardId
from hornbeamramp.shard_state import ShardState

__all__ = ["Callbacks", "GainedCallback", "LostCallback"]

log = logbook.Logger("owner")

GainedCallback = Callable[[ShardId, Epoch], Awaitable[None]]
LostCallback = Callable[[ShardId], Awaitable[None]]


class Callbacks:
    """Calls ``gained`` and ``lost`` in tasks. Their errors are logged and have no other effect."""

    def __init__(self, gained: GainedCallback, lost: LostCallback) -> None:
        self._gained = gained
        self._lost = lost

    def notify_gained(self, state: ShardState) -> None:
        """Calls ``gained`` once an earlier call of ``lost`` has ended."""
        state.gained_task = asyncio.ensure_future(self._call_gained(state, state.epoch))

    def notify_lost(self, state: ShardState) -> asyncio.Task[None]:
        """Cancels a call of ``gained`` that still runs, and returns the call of ``lost``."""
        gaining, state.gained_task = state.gained_task, None
        if gaining is not None:
            gaining.cancel()
        state.lost_task = asyncio.ensure_future(self._call_lost(state.id))
        return state.lost_task

    async def _call_gained(self, state: ShardState, epoch: Epoch) -> None:
        if state.lost_task is not None:
            await asyncio.wait({state.lost_task})
        try:
            await self._gained(state.id, epoch)
        except Exception:
            log.exception("callback for the gained shard {} failed", state.id)

    async def _call_lost(self, shard: ShardId) -> None:
        try:
            await self._lost(shard)
        except Exception:
            log.exception("callback for the lost shard {} failed", shard)
