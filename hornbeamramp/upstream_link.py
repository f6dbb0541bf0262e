"""One upstream as a shard owner sees it: connection, lease renewals, usage, leaving."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import logbook

from hornbeamramp.clock import Clock
from hornbeamramp.errors import ProtocolError, SchedulerError, UnreachableError
from hornbeamramp.ids import AttemptId, Epoch, ShardId, UpstreamId
from hornbeamramp.settings import TimingSettings
from hornbeamramp.upstreams import ListedTask, UpstreamAdapter, UpstreamShape, UsageReport

__all__ = ["UpstreamEvents", "UpstreamLink", "close_adapters"]

RECONNECT_PAUSE = timedelta(milliseconds=500)
# Longest time from sending a request to its arrival: the adapter's timeout of 2 s, then as long
# again until TCP_USER_TIMEOUT ends the connection.
DELIVERY_BOUND = timedelta(seconds=4)
# Rounds of maintenance for each usage report; reports lag by seconds anyway.
ROUNDS_PER_USAGE = 5
# Renewals for each lease; several may fail before a task ends.
RENEWALS_PER_LEASE = 4

_log = logbook.Logger("upstream")


class UpstreamEvents:
    """What a link tells its owner. Each is called with the link."""

    def __init__(
        self,
        listed: Callable[["UpstreamLink", UpstreamShape, list[ListedTask]], Awaitable[None]],
        shape_changed: Callable[["UpstreamLink", UpstreamShape], None],
        unreachable: Callable[["UpstreamLink"], None],
        usage: Callable[["UpstreamLink", list[UsageReport]], None],
    ) -> None:
        self.listed = listed
        self.shape_changed = shape_changed
        self.unreachable = unreachable
        self.usage = usage


class UpstreamLink:
    """Keeps one upstream's tasks renewed and its state known. `run` is the upstream's task.

    `attempts`
        Attempts whose leases are to be renewed.
    """

    def __init__(
        self,
        upstream_id: UpstreamId,
        adapter: UpstreamAdapter,
        shard: ShardId,
        epoch: Epoch,
        clock: Clock,
        timing: TimingSettings,
        may_start: Callable[[], bool],
        events: UpstreamEvents,
    ) -> None:
        self.id = upstream_id
        self.adapter = adapter
        self.shape: UpstreamShape | None = None
        self.reachable = False
        self.listed = False
        self.attempts: set[AttemptId] = set()
        self._shard = shard
        self._epoch = epoch
        self._clock = clock
        self._may_start = may_start
        self._events = events
        self._lease = timedelta(milliseconds=timing.task_lease_ms)
        self._margin = timedelta(milliseconds=timing.drift_margin_ms) + DELIVERY_BOUND
        self._renewed_at: timedelta | None = None
        self._round = 0
        self._interval = timedelta(milliseconds=timing.usage_ms)
        self._lapses_at_by_attempt: dict[AttemptId, timedelta] = {}

    def track(self, attempt_id: AttemptId) -> None:
        """Adds an attempt whose start is about to be sent, or that was found running."""
        self.attempts.add(attempt_id)
        self._note_lease(attempt_id, self._clock.boot_time())

    def forget(self, attempt_id: AttemptId) -> None:
        """Ends the renewals of an attempt."""
        self.attempts.discard(attempt_id)
        self._lapses_at_by_attempt.pop(attempt_id, None)

    def has_lapsed(self, attempt_id: AttemptId) -> bool:
        """Tells whether the attempt's lease has certainly ended at the upstream."""
        lapses_at = self._lapses_at_by_attempt.get(attempt_id)
        return lapses_at is not None and self._clock.boot_time() > lapses_at

    async def run(self) -> None:
        """Connects, lists and maintains the upstream until cancelled."""
        while True:
            try:
                await self._connect()
                while True:
                    await self._clock.sleep(self._interval)
                    await self._maintain()
            except (UnreachableError, ProtocolError) as error:
                self._note_unreachable(error)
                await self._clock.sleep(RECONNECT_PAUSE)

    async def _connect(self) -> None:
        shape = await self.adapter.shape()
        await self.adapter.fence(self._shard, self._epoch)
        tasks = await self.adapter.list_tasks()
        self.shape = shape
        self.reachable = True
        await self._events.listed(self, shape, tasks)
        self.listed = True
        # Adopted tasks are near the end of the lease that their former owner renewed last.
        await self._renew()
        _log.info("{}: connected with {} tasks listed", self.id, len(tasks))

    async def _maintain(self) -> None:
        if self._is_renewal_due():
            await self._renew()
        shape = await self.adapter.shape()
        if shape != self.shape:
            self.shape = shape
            self._events.shape_changed(self, shape)
        self._round += 1
        if self.attempts and self._round % ROUNDS_PER_USAGE == 0:
            self._events.usage(self, await self.adapter.usage())

    def _is_renewal_due(self) -> bool:
        if self._renewed_at is None:
            return True
        next_round = self._clock.boot_time() + self._interval
        return next_round - self._renewed_at > self._lease / RENEWALS_PER_LEASE

    async def _renew(self) -> None:
        # Renewals under an epoch tell other members that its owner still serves, so they stop
        # when the proof of ownership has run out.
        if not self.attempts or not self._may_start():
            return
        sent_at = self._renewed_at = self._clock.boot_time()
        attempts = sorted(self.attempts)
        # A renewal may take effect even if its answer is lost, so it is counted before sending.
        for attempt_id in attempts:
            self._note_lease(attempt_id, sent_at)
        await self.adapter.renew(attempts, self._epoch, self._lease)

    def _note_lease(self, attempt_id: AttemptId, sent_at: timedelta) -> None:
        self._lapses_at_by_attempt[attempt_id] = sent_at + self._lease + self._margin

    def _note_unreachable(self, error: SchedulerError) -> None:
        if self.reachable:
            _log.warning("{}: unreachable: {}", self.id, error.message)
        self.reachable = False
        self._events.unreachable(self)


async def close_adapters(links: list[UpstreamLink]) -> None:
    """Closes the connections of all links."""
    await asyncio.gather(*(link.adapter.close() for link in links), return_exceptions=True)
