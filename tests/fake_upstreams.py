"""Fake upstreams that processes of a cell observe and fence, and a switch to pause a process."""

import asyncio
from datetime import timedelta

from hornbeamramp.clock import ManualClock
from hornbeamramp.evidence import UpstreamReport
from hornbeamramp.ids import Epoch, ShardId


class Pause:
    """Pauses a process at its next wait: `wait_until_resumed` returns only while it runs."""

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    @property
    def is_paused(self) -> bool:
        return not self._running.is_set()

    def pause(self) -> None:
        self._running.clear()

    def resume(self) -> None:
        self._running.set()

    async def wait_until_resumed(self) -> None:
        await self._running.wait()


class Upstreams:
    """Upstreams of all shards, which each process observes through `UpstreamAccess`.

    `fences`, `labelled`
        Whether they support fences and report labels.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.fences = True
        self.labelled = True
        self.all_answered = True
        self.fence_by_shard: dict[ShardId, Epoch] = {}
        self.renewed_at_by_epoch: dict[Epoch, timedelta] = {}
        self.calls = 0

    async def observe(self, shard: ShardId) -> UpstreamReport:
        self.calls += 1
        await asyncio.sleep(0)
        now = self._clock.boot_time()
        return UpstreamReport(
            highest_epoch=max(self.renewed_at_by_epoch, default=Epoch(0)),
            since_renewal_by_epoch={e: now - t for e, t in self.renewed_at_by_epoch.items()},
            all_answered=self.all_answered,
            all_labelled=self.labelled,
            answered=1,
        )

    async def fence(self, shard: ShardId, epoch: Epoch) -> bool:
        self.calls += 1
        await asyncio.sleep(0)
        if not self.fences or epoch < self.fence_by_shard.get(shard, Epoch(0)):
            return False
        self.fence_by_shard[shard] = epoch
        return True


class UpstreamAccess:
    """`ShardObserver` of one process, whose calls do not return while the process is paused."""

    def __init__(self, upstreams: Upstreams, pause: Pause) -> None:
        self._upstreams = upstreams
        self._pause = pause

    async def observe(self, shard: ShardId) -> UpstreamReport:
        report = await self._upstreams.observe(shard)
        await self._pause.wait_until_resumed()
        return report

    async def fence(self, shard: ShardId, epoch: Epoch) -> bool:
        fenced = await self._upstreams.fence(shard, epoch)
        await self._pause.wait_until_resumed()
        return fenced
