"""A shard owner's link to one upstream: connection, lease renewals, usage and shape changes."""

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

RECONNECT_DELAY = timedelta(milliseconds=500)
# Upper bound of the time from sending a request to its arrival: the adapter's timeout of 2 s, and
# another 2 s until TCP_USER_TIMEOUT closes the connection.
MAX_DELIVERY_DELAY = timedelta(seconds=4)
# Maintenance rounds per usage report; more frequent ones gain nothing as reports lag by seconds.
ROUNDS_PER_USAGE_REPORT = 5
# Renewals per lease period, so that a task survives several failed renewals.
RENEWALS_PER_LEASE = 4

_log = logbook.Logger("upstream")


class UpstreamEvents:
    """Callbacks of a link to its shard owner. The first argument of each is the link."""

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
    """Renews the task leases at one upstream and tracks its shape and usage.

    The owner runs `run` as a background task.

    `attempts`
        Attempts whose leases are renewed.
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
        self._lease_ttl = timedelta(milliseconds=timing.task_lease_ms)
        self._lease_margin = timedelta(milliseconds=timing.drift_margin_ms) + MAX_DELIVERY_DELAY
        self._renewed_at: timedelta | None = None
        self._round_count = 0
        self._round_interval = timedelta(milliseconds=timing.usage_ms)
        self._expires_at_by_attempt: dict[AttemptId, timedelta] = {}

    def track(self, attempt_id: AttemptId) -> None:
        """Renews an attempt from now on: its start is about to be sent, or it was found running."""
        self.attempts.add(attempt_id)
        self._record_renewal(attempt_id, self._clock.boot_time())

    def forget(self, attempt_id: AttemptId) -> None:
        """Stops renewing an attempt."""
        self.attempts.discard(attempt_id)
        self._expires_at_by_attempt.pop(attempt_id, None)

    def has_lapsed(self, attempt_id: AttemptId) -> bool:
        """Returns whether the attempt's lease has certainly expired at the upstream."""
        expires_at = self._expires_at_by_attempt.get(attempt_id)
        return expires_at is not None and self._clock.boot_time() > expires_at

    async def run(self) -> None:
        """Connects, lists the tasks and runs maintenance rounds until cancelled."""
        while True:
            try:
                await self._connect()
                while True:
                    await self._clock.sleep(self._round_interval)
                    await self._maintain()
            except (UnreachableError, ProtocolError) as error:
                self._mark_unreachable(error)
                await self._clock.sleep(RECONNECT_DELAY)

    async def _connect(self) -> None:
        shape = await self.adapter.shape()
        await self.adapter.fence(self._shard, self._epoch)
        tasks = await self.adapter.list_tasks()
        self.shape = shape
        self.reachable = True
        await self._events.listed(self, shape, tasks)
        self.listed = True
        # Adopted tasks were last renewed by the former owner, so their leases are close to expiry.
        await self._renew()
        _log.info("{}: connected with {} tasks listed", self.id, len(tasks))

    async def _maintain(self) -> None:
        if self._is_renewal_due():
            await self._renew()
        shape = await self.adapter.shape()
        if shape != self.shape:
            self.shape = shape
            self._events.shape_changed(self, shape)
        self._round_count += 1
        if self.attempts and self._round_count % ROUNDS_PER_USAGE_REPORT == 0:
            self._events.usage(self, await self.adapter.usage())

    def _is_renewal_due(self) -> bool:
        if self._renewed_at is None:
            return True
        next_round_at = self._clock.boot_time() + self._round_interval
        return next_round_at - self._renewed_at > self._lease_ttl / RENEWALS_PER_LEASE

    async def _renew(self) -> None:
        # Other members take renewals with an epoch as evidence that its owner is still active, so
        # they stop when the proof of ownership has expired.
        if not self.attempts or not self._may_start():
            return
        sent_at = self._renewed_at = self._clock.boot_time()
        attempts = sorted(self.attempts)
        # A renewal may take effect even if its answer is lost, so it is recorded before sending.
        for attempt_id in attempts:
            self._record_renewal(attempt_id, sent_at)
        await self.adapter.renew(attempts, self._epoch, self._lease_ttl)

    def _record_renewal(self, attempt_id: AttemptId, sent_at: timedelta) -> None:
        self._expires_at_by_attempt[attempt_id] = sent_at + self._lease_ttl + self._lease_margin

    def _mark_unreachable(self, error: SchedulerError) -> None:
        if self.reachable:
            _log.warning("{}: unreachable: {}", self.id, error.message)
        self.reachable = False
        self._events.unreachable(self)


async def close_adapters(links: list[UpstreamLink]) -> None:
    """Closes the connections of all links."""
    await asyncio.gather(*(link.adapter.close() for link in links), return_exceptions=True)
