"""A worker as its pool's owner sees it: its runs, its room, and the loop that extends its lease.

Nothing that may run, or may still be started by an order on its way, leaves the ledger before the
worker says so in a list asked for afterwards, or its lease has run out for certain.
"""

import asyncio
from datetime import timedelta
from typing import Protocol

import logbook

from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.fleet.attempt import Attempt, AttemptPhase
from hornbeamramp.fleet.base import (
    FencedError,
    HoldReply,
    InstanceMismatchError,
    RunningRun,
    RunOutcome,
    StartOrder,
    StartReply,
    WorkerClient,
    WorkerListing,
    WorkerUnreachableError,
)
from hornbeamramp.resources import Resources

__all__ = ["SessionOwner", "WorkerSession"]

# Time for which a worker's runs go on without contact. It covers the death of an owner (its lease
# of 1.4 s and the recovery) and is what a task waits after the loss of its worker.
RUN_LEASE = timedelta(seconds=6)
# Longest wait of a hold call that the interface allows; ends answer it at once.
HOLD_WAIT = timedelta(seconds=2)
# Pause after a failed call to a worker; three tries fit into the time until a start is late.
RETRY_PAUSE = timedelta(milliseconds=250)
# Worker clocks may be 2% slow (the platform's bound).
SLOWEST_WORKER_CLOCK = 0.98
# No worker is reborn within this time of an answer.
SAME_BOOT = timedelta(milliseconds=300)
# Most ends that a worker lists at a time (the platform's bound), the oldest first.
ENDS_PER_LIST = 500
# How long the loop waits for ends to be recorded before it extends the lease again.
RECORD_WAIT = timedelta(milliseconds=500)

_log = logbook.Logger("worker")

MILLISECOND = timedelta(milliseconds=1)


class SessionOwner(Protocol):
    """What a session needs of the pool's owner."""

    token: int

    def may_order(self) -> bool:
        """Tells whether the owner's claim certainly holds now."""

    def may_extend(self) -> bool:
        """Tells whether runs may still be extended, with the claim perhaps gone."""

    def on_running(self, attempt: Attempt) -> None: ...

    def on_ended(self, attempt: Attempt, how: RunOutcome, checkpoint: str) -> None: ...

    def on_capacity_change(self, session: "WorkerSession") -> None: ...

    def on_fenced(self, session: "WorkerSession") -> None: ...

    async def recorded(self) -> None:
        """Returns once all that was reported is in the store."""


class WorkerSession:
    """Contact with one worker.

    `unseen_lease`
        Longest lease that a former owner can have given, counted from now.
    `longest_lease`
        Longest lease that a worker gives, whatever it is asked for.
    """

    def __init__(
        self,
        listing: WorkerListing,
        client: WorkerClient,
        clock: Clock,
        owner: SessionOwner,
        background: BackgroundTasks,
        unseen_lease: timedelta,
        longest_lease: timedelta,
    ) -> None:
        self.listing = listing
        self._client = client
        self._clock = clock
        self._owner = owner
        self._background = background
        self._longest_lease = longest_lease
        self.attempt_by_key: dict[tuple[str, int], Attempt] = {}
        self.used = [0, 0, 0]
        self.stray_by_key: dict[tuple[str, int], timedelta] = {}
        self.is_listed = True
        self.reachable = False
        self.failures_in_row = 0
        self._born_ms: int | None = None
        self._clock_ms = 0
        self._clock_at: timedelta | None = None
        self._longest_deadline_ms = 0
        self._last_seen = 0
        self._handled = 0
        # Number of the last end that the worker has been told to forget.
        self._told = 0
        # When the newest list that has been applied was asked for.
        self._listed_at = timedelta(0)
        # Until the first contact the former owner's leases count, whose length is only bounded.
        self._unseen_until = clock.boot_time() + unseen_lease

    @property
    def worker(self) -> str:
        return self.listing.worker

    @property
    def usable(self) -> bool:
        """Tells whether new runs may be placed here."""
        return (
            self.is_listed
            and self.reachable
            and not self.listing.draining
            and not self.stray_by_key
        )

    def free(self) -> tuple[int, int, int]:
        """Returns what is left: thousandths of a core, MiB, accelerators."""
        capacity = self.listing.capacity
        return (
            capacity.processors_milli - self.used[0],
            capacity.memory_mib - self.used[1],
            capacity.accelerators - self.used[2],
        )

    def fits(self, size: Resources) -> bool:
        free = self.free()
        return (
            size.processors_milli <= free[0]
            and size.memory_mib <= free[1]
            and size.accelerators <= free[2]
        )

    def reserve(self, attempt: Attempt) -> None:
        """Counts a run's size until it is released."""
        self.attempt_by_key[attempt.name, attempt.run] = attempt
        self._count(attempt.size, 1)

    def release(self, attempt: Attempt) -> None:
        """Takes a run out of the ledger."""
        if self.attempt_by_key.pop((attempt.name, attempt.run), None) is not None:
            self._count(attempt.size, -1)

    def _count(self, size: Resources, sign: int) -> None:
        self.used[0] += sign * size.processors_milli
        self.used[1] += sign * size.memory_mib
        self.used[2] += sign * size.accelerators

    # Orders

    async def start(self, attempt: Attempt, order: StartOrder) -> StartReply | None:
        """Orders a start. ``None`` means that it is not known whether it is carried out."""
        attempt.phase = AttemptPhase.ORDERED
        self._longest_deadline_ms = max(self._longest_deadline_ms, order.deadline_ms)
        try:
            reply = await self._client.start(self.listing, order, self._owner.may_order)
        except WorkerUnreachableError as error:
            if not error.sent:
                return StartReply.UNHEALTHY
            _log.info("start of {} run {}: {}", attempt.name, attempt.run, error)
            if attempt.phase is AttemptPhase.ORDERED:
                attempt.phase = AttemptPhase.UNCERTAIN
                attempt.confirmed_at = None
            return None
        now = self._clock.boot_time()
        if reply is StartReply.STARTED and attempt.phase is AttemptPhase.ORDERED:
            attempt.phase = AttemptPhase.RUNNING
            attempt.started_at = attempt.progress_at = now
        if reply is StartReply.STARTED:
            attempt.confirmed_at = now
        return reply

    def deadline_ms(self) -> int:
        """Returns the end of a lease that begins now, on the worker's clock."""
        elapsed = self._clock.boot_time() - (self._clock_at or timedelta(0))
        return int(self._clock_ms + (elapsed + RUN_LEASE) / MILLISECOND)

    def stop(self, attempt: Attempt) -> None:
        """Stops a run, or keeps it from starting. It leaves the ledger once the worker lists it."""
        if attempt.stop_wanted:
            return
        attempt.stop_wanted = True
        if attempt.phase is not AttemptPhase.UNCERTAIN:
            attempt.phase = AttemptPhase.STOPPING
        self._background.spawn(self._stop_until_answered(attempt))

    async def _stop_until_answered(self, attempt: Attempt) -> None:
        key = (attempt.name, attempt.run)
        while self.attempt_by_key.get(key) is attempt:
            if self._owner.may_extend() and await self._send_stop(*key):
                attempt.confirmed_at = self._clock.boot_time()
                if attempt.phase is AttemptPhase.UNCERTAIN:
                    await self._look()
                return
            await self._clock.sleep(RETRY_PAUSE)

    async def _look(self) -> None:
        """Asks for a list at once, as the pending call may wait for an end that never comes."""
        # Counts as later than the stop's answer, which may bear the same time.
        asked_at = self._clock.boot_time() + timedelta.resolution
        try:
            reply = await self._client.hold(self.listing, self._owner.token, 0, None, timedelta(0))
        except (WorkerUnreachableError, FencedError, InstanceMismatchError) as error:
            _log.info("{}: no list after a stop: {!r}", self.worker, error)
            return
        self._apply(reply, asked_at, False)

    async def _stop_stray(self, key: tuple[str, int]) -> None:
        while key in self.stray_by_key:
            if self._owner.may_extend() and await self._send_stop(*key):
                self.stray_by_key[key] = self._clock.boot_time()
                return
            await self._clock.sleep(RETRY_PAUSE)

    async def _send_stop(self, task: str, run: int) -> bool:
        try:
            await self._client.stop(self.listing, task, run, self._owner.token)
        except WorkerUnreachableError as error:
            _log.info("stop of {} run {}: {}", task, run, error)
            return False
        except FencedError:
            self._owner.on_fenced(self)
        except InstanceMismatchError:
            self._on_other_boot()
        return True

    def _stray(self, task: str, run: int) -> None:
        """Stops a run that this owner doesn't want; the worker gets no new work meanwhile."""
        key = (task, run)
        if key not in self.stray_by_key:
            _log.warning(
                "{}: stopping {} run {}, which is not wanted there", self.worker, task, run
            )
            self.stray_by_key[key] = timedelta.max
            self._background.spawn(self._stop_stray(key))

    async def pace(self, attempt: Attempt, percent: int) -> None:
        """Lets a run work at a share of its speed. Without an answer the pace counts as unset."""
        attempt.pace_percent = percent
        try:
            await self._client.pace(
                self.listing, attempt.name, attempt.run, percent, self._owner.token
            )
        except WorkerUnreachableError as error:
            _log.info("pace of {} run {}: {}", attempt.name, attempt.run, error)
            attempt.pace_percent = -1
        except FencedError:
            self._owner.on_fenced(self)
        except InstanceMismatchError:
            self._on_other_boot()

    # The lease loop

    async def run(self) -> None:
        """Extends the worker's lease and applies its lists until it is gone and holds nothing."""
        while self.is_listed or self.attempt_by_key:
            if not self._owner.may_extend():
                await self._clock.sleep(RETRY_PAUSE)
                self._end_lapsed()
                continue
            if not await self._hold_once():
                self._end_lapsed()
                await self._clock.sleep(RETRY_PAUSE)

    async def _hold_once(self) -> bool:
        asked_at = self._clock.boot_time()
        first = self._clock_at is None
        # A call without an answer may have extended the lease. Further tries only look, so that the
        # lease of a worker that is gone runs out.
        is_answering = not first and self.failures_in_row == 0
        deadline = self.deadline_ms() if is_answering else None
        # Ends that could not be recorded are listed again at once, so there is nothing to wait for.
        is_behind = self._handled > self._last_seen
        wait = HOLD_WAIT if is_answering and not is_behind else timedelta(0)
        if deadline is not None:
            self._longest_deadline_ms = max(self._longest_deadline_ms, deadline)
        forgettable = self._forgettable()
        try:
            reply = await self._client.hold(
                self.listing, self._owner.token, forgettable, deadline, wait
            )
        except WorkerUnreachableError as error:
            self.failures_in_row += 1
            if self.failures_in_row == 2:
                _log.warning("worker {} can't be reached: {}", self.worker, error)
                self.reachable = False
            return False
        except FencedError:
            self._owner.on_fenced(self)
            return False
        except InstanceMismatchError:
            self._on_other_boot()
            return False
        self._told = max(self._told, forgettable)
        self._apply(reply, asked_at, first)
        # What is recorded is told right after an answer; recording more first would take too long.
        if self._handled > self._last_seen and self._last_seen <= self._told:
            await self._record_ends()
        return True

    def _forgettable(self) -> int:
        """Returns the number of the last end that the worker may forget.

        A worker that was reborn since its last answer counts its ends from one again, and would
        forget those of its new boot. It is asked to forget only right after an answer.
        """
        now = self._clock.boot_time()
        is_fresh = self._clock_at is not None and now - self._clock_at < SAME_BOOT
        return self._last_seen if is_fresh and self.failures_in_row == 0 else 0

    async def _record_ends(self) -> None:
        handled, born_ms = self._handled, self._born_ms
        try:
            async with asyncio.timeout(RECORD_WAIT.total_seconds()):
                await self._owner.recorded()
        except TimeoutError:
            return
        if self._born_ms == born_ms:
            self._last_seen = handled

    def _apply(self, reply: HoldReply, asked_at: timedelta, first: bool) -> None:
        if asked_at < self._listed_at:
            # A newer list has been applied; what this one adds is listed again.
            return
        self._listed_at = asked_at
        now = self._clock.boot_time()
        if self._born_ms is not None and reply.boot_ms != self._born_ms:
            self._on_reborn(reply)
        self._born_ms = reply.boot_ms
        self._clock_ms, self._clock_at = reply.clock_ms, now
        if not self.reachable:
            _log.info("worker {} is in contact, born {}", self.worker, reply.boot_ms)
        self.reachable, self.failures_in_row = True, 0
        for row in reply.running:
            self._apply_running(row, now)
        had_ends = False
        for end in reply.ended:
            if end.number <= self._handled:
                continue
            had_ends = True
            self._handled = end.number
            self.stray_by_key.pop((end.task, end.run), None)
            attempt = self.attempt_by_key.get((end.task, end.run))
            if attempt is not None:
                self._end(attempt, end.outcome, end.checkpoint)
        self._end_missing(reply, asked_at, first)
        if had_ends or first:
            self._owner.on_capacity_change(self)

    def _apply_running(self, row: RunningRun, now: timedelta) -> None:
        attempt = self.attempt_by_key.get((row.task, row.run))
        if attempt is None:
            self._stray(row.task, row.run)
            return
        attempt.confirmed_at = now
        if row.checkpoint:
            attempt.checkpoint = row.checkpoint
        if row.percent > attempt.percent or attempt.progress_at is None:
            attempt.progress_at = now
        attempt.percent, attempt.load = row.percent, row.load
        if attempt.phase in (AttemptPhase.ORDERED, AttemptPhase.UNCERTAIN):
            was_uncertain = attempt.phase is AttemptPhase.UNCERTAIN
            attempt.phase = AttemptPhase.STOPPING if attempt.stop_wanted else AttemptPhase.RUNNING
            attempt.started_at = attempt.started_at or now
            if was_uncertain:
                self._owner.on_running(attempt)

    def _end_missing(self, reply: HoldReply, asked_at: timedelta, first: bool) -> None:
        """Ends the runs that the list lacks although they must have been in it."""
        if len(reply.ended) >= ENDS_PER_LIST:
            # The list is cut: newer ends are not in it.
            return
        listed = {(row.task, row.run) for row in reply.running}
        for key, attempt in list(self.attempt_by_key.items()):
            if key in listed or attempt.phase is AttemptPhase.RESERVED:
                continue
            # The first list follows the fence, so no earlier owner's order can take effect after.
            fenced_off = first and attempt.phase is AttemptPhase.UNCERTAIN
            if fenced_off or (attempt.confirmed_at is not None and attempt.confirmed_at < asked_at):
                self._end(attempt, RunOutcome.LOST, attempt.checkpoint)
        for key, answered_at in list(self.stray_by_key.items()):
            if key not in listed and answered_at < asked_at:
                del self.stray_by_key[key]

    def _end(self, attempt: Attempt, how: RunOutcome, checkpoint: str) -> None:
        self.release(attempt)
        self._owner.on_ended(attempt, how, checkpoint or attempt.checkpoint)

    def _on_reborn(self, reply: HoldReply) -> None:
        """The worker has started anew: nothing of before runs there, and its counts start at 0."""
        _log.warning("worker {} was reborn at {}", self.worker, reply.boot_ms)
        self._last_seen = self._handled = self._told = 0
        # An order on its way named a time on the old boot's clock, which may give the longest lease
        # on the new one.
        self._longest_deadline_ms = int(reply.clock_ms + self._longest_lease / MILLISECOND)
        # Runs may have been started, and may even have ended, in the new boot already.
        listed = {(row.task, row.run) for row in (*reply.running, *reply.ended)}
        for key, attempt in list(self.attempt_by_key.items()):
            if key in listed or attempt.phase is AttemptPhase.RESERVED:
                continue
            if attempt.phase in (AttemptPhase.ORDERED, AttemptPhase.UNCERTAIN):
                # The order may still be on its way, and the new boot knows nothing of run numbers.
                self._stray(*key)
            self._end(attempt, RunOutcome.LOST, attempt.checkpoint)

    def _on_other_boot(self) -> None:
        """Another worker has the address, so this one has ended."""
        self.reachable = self.is_listed = False
        self._end_all(RunOutcome.LOST)

    def _end_lapsed(self) -> None:
        """Ends all runs once their lease has run out for certain."""
        if not self.attempt_by_key:
            return
        now = self._clock.boot_time()
        if self._clock_at is None:
            has_lapsed = now > self._unseen_until
        else:
            elapsed_ms = (now - self._clock_at) / MILLISECOND * SLOWEST_WORKER_CLOCK
            has_lapsed = self._clock_ms + elapsed_ms > self._longest_deadline_ms
        if has_lapsed:
            self.reachable = False
            self._end_all(RunOutcome.LAPSED)

    def _end_all(self, how: RunOutcome) -> None:
        for attempt in list(self.attempt_by_key.values()):
            if attempt.phase is not AttemptPhase.RESERVED:
                self._end(attempt, how, attempt.checkpoint)
