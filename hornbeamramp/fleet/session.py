"""The pool owner's session with one worker: its runs, its capacity, and lease renewal.

A run that may be executing, or that an order in flight may still start, keeps its reservation until
a run list requested afterwards shows that it is gone, or until its lease has certainly expired. A
restart of the worker ends only the runs that an earlier boot has listed. A start that no boot has
confirmed may still arrive at the new one, so a stop has to reach that boot first.
"""

import asyncio
from datetime import timedelta
from typing import Protocol

import logbook

from hornbeamramp import instruments
from hornbeamramp.accounts.usage import AccountUsage
from hornbeamramp.background import BackgroundTasks
from hornbeamramp.clock import Clock
from hornbeamramp.fleet.attempt import Attempt, AttemptPhase
from hornbeamramp.fleet.base import (
    CallSeries,
    EndedRun,
    EndProof,
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
from hornbeamramp.fleet.run_log import (
    given_up_fields,
    late_end_fields,
    orphan_end_fields,
    orphan_fields,
)
from hornbeamramp.resources import Resources

__all__ = ["SessionOwner", "WorkerSession"]

# Time for which a worker's runs go on without contact. It covers the failure of an owner (its lease
# of 1.4 s and the recovery); a task on a lost worker is started again only after this time.
RUN_LEASE = timedelta(seconds=6)
# Longest long-poll wait that the worker interface allows; the end of a run answers it at once.
MAX_HOLD_WAIT = timedelta(seconds=2)
# Pause after a failed call to a worker; three attempts fit into the time until a start is late.
RETRY_PAUSE = timedelta(milliseconds=250)
# Worker clocks may run up to 2% slow (the platform's bound).
MIN_WORKER_CLOCK_RATE = 0.98
# Most ended runs in one reply (the platform's bound), the oldest first.
MAX_ENDS_PER_REPLY = 500
# How long the lease loop waits for ends to be recorded before it extends the lease again.
RECORD_TIMEOUT = timedelta(milliseconds=500)

_log = logbook.Logger("worker")

MILLISECOND = timedelta(milliseconds=1)


class SessionOwner(Protocol):
    """What a session needs from the pool's owner."""

    token: int

    def may_order(self) -> bool:
        """Returns whether orders may be sent: the owner's claim certainly holds now."""

    def may_extend(self) -> bool:
        """Returns whether leases may still be extended, even if the claim may have been lost."""

    def on_running(self, attempt: Attempt) -> None: ...

    def on_ended(self, attempt: Attempt, outcome: RunOutcome, checkpoint: str) -> None: ...

    def on_late_end(self, end: EndedRun) -> None:
        """Handles a listed end of a run that had been given up, or that a former owner started."""

    def on_capacity_change(self, session: "WorkerSession") -> None: ...

    def on_fenced(self, session: "WorkerSession") -> None: ...

    async def wait_recorded(self) -> None:
        """Waits until all reported ends are in the store. Raises ``TimeoutError``."""


class WorkerSession:
    """Session with one worker.

    `inherited_lease`
        Longest lease that a former owner can have given, counted from now.
    `longest_lease`
        Longest lease that a worker grants, whatever deadline is requested.
    `usage`
        Counts what the runs reserve, by account.
    """

    def __init__(
        self,
        listing: WorkerListing,
        client: WorkerClient,
        clock: Clock,
        owner: SessionOwner,
        background: BackgroundTasks,
        inherited_lease: timedelta,
        longest_lease: timedelta,
        usage: AccountUsage | None = None,
    ) -> None:
        self.listing = listing
        self.worker = listing.worker
        self._client = client
        self._clock = clock
        self._owner = owner
        self._background = background
        self._longest_lease = longest_lease
        self.attempt_by_key: dict[tuple[str, int], Attempt] = {}
        self.used = [0, 0, 0]
        self._usage = AccountUsage() if usage is None else usage
        self.orphan_stopped_at_by_key: dict[tuple[str, int], timedelta] = {}
        self.is_listed = True
        self.reachable = False
        self.consecutive_failures = 0
        self._boot_ms: int | None = None
        # When the first list of that boot was received.
        self._boot_seen_at = timedelta(0)
        self._worker_clock_ms = 0
        self._worker_clock_read_at: timedelta | None = None
        self._latest_deadline_ms = 0
        # Deadlines in orders in flight, which the worker may have got.
        self._deadline_by_order: dict[Attempt, int] = {}
        # An order got no answer, and the worker has not answered since.
        self._is_suspect = False
        self._series = CallSeries()
        # Boot that answered the latest call of the series, and the calls in a row that were meant
        # for that boot and not sent, as its connection had been closed.
        self._series_boot_ms: int | None = None
        self._unsent_calls = 0
        # Numbers of the last end in the store, of the last one reported to the owner, and of the
        # last one that the worker has been told to forget.
        self._last_recorded = 0
        self._last_applied = 0
        self._last_acked = 0
        # Latest end of leases that a boot has given of which no list is known yet.
        self._unknown_boot_lease_until = timedelta(0)
        # When the newest run list that has been applied was requested, and when that request was
        # written to its connection.
        self._applied_request_at = timedelta(0)
        self._list_sent_at = timedelta.min
        # Request of a run list by starts that wait until their connections' boot is known.
        self._connection_check: asyncio.Task[bool] | None = None
        # Before the first contact, runs may hold leases of a former owner, of which only the
        # longest possible duration is known.
        self._inherited_lease_until = clock.boot_time() + inherited_lease

    @property
    def usable(self) -> bool:
        """Returns whether new runs may be placed here."""
        return (
            self.is_listed
            and self.reachable
            and not self._is_suspect
            and not self.listing.draining
            and self._is_listing_current()
            and not self.orphan_stopped_at_by_key
        )

    @property
    def has_listed_runs(self) -> bool:
        """Returns whether the worker has listed its runs to this session."""
        return self._worker_clock_read_at is not None

    def _is_listing_current(self) -> bool:
        """Returns whether the listing is of the worker's newest boot known.

        Capacity and labels of another boot may differ.
        """
        return 0 in (self.listing.boot_ms, self._boot_ms) or self.listing.boot_ms == self._boot_ms

    def free(self) -> tuple[int, int, int]:
        """Returns the free capacity: thousandths of a core, MiB, accelerators."""
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
        """Reserves capacity for a run until it is released."""
        self.attempt_by_key[attempt.name, attempt.run] = attempt
        self._add_used(attempt.size, 1)
        self._usage.add(attempt.account, attempt.size)

    def release(self, attempt: Attempt) -> None:
        """Releases the capacity reserved for a run."""
        if self.attempt_by_key.pop((attempt.name, attempt.run), None) is not None:
            self._add_used(attempt.size, -1)
            self._usage.remove(attempt.account, attempt.size)

    def _add_used(self, size: Resources, sign: int) -> None:
        self.used[0] += sign * size.processors_milli
        self.used[1] += sign * size.memory_mib
        self.used[2] += sign * size.accelerators

    # Orders

    async def start(self, attempt: Attempt, order: StartOrder) -> StartReply | None:
        """Sends a start order. ``None`` means that it may or may not be carried out.

        No order goes to a worker that became unusable after it was chosen: the order might not be
        carried out, and its lease would delay the restart of all runs there.
        """
        is_usable = self.is_listed and self.reachable and self._is_listing_current()
        if not is_usable or self.listing.draining:
            return StartReply.UNHEALTHY
        attempt.phase = AttemptPhase.ORDERED
        boot_ms = self._boot_ms
        attempt.ordered_boot_ms = boot_ms or 0

        def may_send() -> bool:
            # The job may be cancelled, or a restart be seen, while the call waits for a connection.
            is_same_boot = self._boot_ms == boot_ms
            return self._owner.may_order() and is_same_boot and not attempt.stop_wanted

        self._deadline_by_order[attempt] = order.deadline_ms
        is_sent = True
        least_clock_ms = self._least_clock_ms()
        try:
            answer = await self._client.start(
                self.listing, order, may_send, self._leads_to_known_boot
            )
        except WorkerUnreachableError as error:
            is_sent = error.sent
            if error.sent or may_send():
                self._suspect()
            if not error.sent:
                _log.info("start of {} run {} not sent: {}", attempt.name, attempt.run, error)
                return StartReply.UNHEALTHY
            _log.info("start of {} run {} unanswered: {}", attempt.name, attempt.run, error)
            self._mark_uncertain(attempt)
            return None
        except (FencedError, InstanceMismatchError):
            raise
        except Exception:
            # The order may have been sent, and without an outcome the run would stay reserved.
            _log.exception("start of {} run {} failed unexpectedly", attempt.name, attempt.run)
            self._mark_uncertain(attempt)
            return None
        finally:
            # An order that was not sent extends no lease. After a restart of the worker, its
            # deadline is on the clock of the old boot, and the new one grants its longest lease.
            deadline_ms = self._deadline_by_order.pop(attempt, None)
            if deadline_ms is None:
                deadline_ms = self._longest_deadline_ms(self._estimated_clock_ms())
            if is_sent:
                self._latest_deadline_ms = max(self._latest_deadline_ms, deadline_ms)
        now = self._clock.boot_time()
        reply = answer.reply
        if reply is StartReply.STARTED and attempt.phase is AttemptPhase.ORDERED:
            attempt.phase = AttemptPhase.RUNNING
            attempt.started_at = attempt.progress_at = now
            attempt.progress_clock_ms = self._estimated_clock_ms()
        if reply is StartReply.STARTED:
            attempt.has_begun = True
            attempt.confirmed_at = now
            if self._boot_ms != attempt.ordered_boot_ms:
                # The worker has restarted meanwhile, and either boot may have answered.
                self._background.spawn(self._fetch_runs())
            elif answer.clock_ms is not None and answer.clock_ms < least_clock_ms:
                self._on_unknown_boot()
        return reply

    async def _leads_to_known_boot(self, connected_at: timedelta) -> bool:
        """Returns whether a connection leads to the newest boot known of the worker, or to none.

        A connection ends with the boot to which it leads, so one that was open before the newest
        list was requested can't lead to a later boot than that of the list. For any other, a list
        is requested now. Connections opened at the same time share the request.

        `connected_at`
            Boot time by which the connection was open.
        """
        while connected_at > self._list_sent_at:
            if self._connection_check is None or self._connection_check.done():
                instruments.connection_checks.add(1)
                self._connection_check = self._background.spawn(self._fetch_runs())
            if not await asyncio.shield(self._connection_check):
                return False
        return True

    def _least_clock_ms(self) -> int:
        """Returns the earliest time that the clock of the worker's boot can show now."""
        elapsed = self._clock.boot_time() - (self._worker_clock_read_at or timedelta(0))
        return int(self._worker_clock_ms + MIN_WORKER_CLOCK_RATE * (elapsed / MILLISECOND)) - 1

    def _on_unknown_boot(self) -> None:
        """Handles that a boot has answered of which no list is known, as its clock began anew.

        It has granted its longest lease: the deadline was on the clock of the boot before.
        """
        _log.info("worker {} has restarted, by the clock in an answer", self.worker)
        self._count_longest_lease()
        self._suspect()

    def _count_longest_lease(self) -> None:
        """Counts the longest lease from now on for the worker's runs."""
        lease_until = self._clock.boot_time() + self._longest_lease / MIN_WORKER_CLOCK_RATE
        self._unknown_boot_lease_until = max(self._unknown_boot_lease_until, lease_until)

    def _suspect(self) -> None:
        """Checks at once whether the worker still answers, and gives it no new runs until it does.

        The pending hold call may wait for two seconds more, in which other tasks would be placed
        here.
        """
        if not self._is_suspect and self.reachable:
            self._is_suspect = True
            self._background.spawn(self._check_contact())

    def set_listing(self, listing: WorkerListing) -> None:
        """Sets the worker's listing. The first one of another boot asks for a run list."""
        is_other_boot = listing.boot_ms != self.listing.boot_ms
        self.listing, self.is_listed = listing, True
        if is_other_boot and not self._is_listing_current():
            self._suspect()

    async def _check_contact(self) -> None:
        if not await self._fetch_runs() and self._is_suspect:
            _log.warning("worker {} is unreachable: an order and a check failed", self.worker)
            self.consecutive_failures += 1
            self.reachable = False

    @staticmethod
    def _mark_uncertain(attempt: Attempt) -> None:
        """Marks a run whose start order has no answer."""
        if attempt.phase is AttemptPhase.ORDERED:
            attempt.phase = AttemptPhase.UNCERTAIN
            attempt.confirmed_at = None

    def deadline_ms(self) -> int:
        """Returns the end of a lease that begins now, in ms on the worker's clock.

        While the worker doesn't answer, no lease ends later than those it may have already.
        """
        deadline = self._estimated_clock_ms() + int(RUN_LEASE / MILLISECOND)
        if self.consecutive_failures:
            return min(deadline, self._latest_deadline_ms)
        return deadline

    def _longest_deadline_ms(self, clock_ms: int) -> int:
        """Returns the end of the longest lease that the worker grants at this time on its clock."""
        return int(clock_ms + self._longest_lease / MILLISECOND)

    def _estimated_clock_ms(self) -> int:
        """Returns the time on the worker's clock, which may run slower than the owner's."""
        elapsed = self._clock.boot_time() - (self._worker_clock_read_at or timedelta(0))
        return int(self._worker_clock_ms + elapsed / MILLISECOND)

    def runs_end_by(self) -> timedelta:
        """Returns the boot time by which all runs have certainly ended if the worker isn't reached
        again."""
        if self._worker_clock_read_at is None:
            return self._inherited_lease_until
        deadline_ms = max(self._latest_deadline_ms, *self._deadline_by_order.values(), 0)
        lease = (deadline_ms - self._worker_clock_ms) * MILLISECOND
        runs_end_by = self._worker_clock_read_at + lease / MIN_WORKER_CLOCK_RATE
        return max(runs_end_by, self._unknown_boot_lease_until)

    def time_without_progress(self, attempt: Attempt) -> timedelta:
        """Returns for how long a run has made no progress, by the newest run list.

        Counted on the worker's clock: lists that are late, or that a paused owner has yet to read,
        prove nothing about the time since they were made.
        """
        if attempt.progress_clock_ms is None:
            return timedelta(0)
        return (self._worker_clock_ms - attempt.progress_clock_ms) * MILLISECOND

    def stop(self, attempt: Attempt) -> None:
        """Stops a run, or prevents its start.

        Its capacity is released once the worker reports its end or a run list lacks it.
        """
        if attempt.stop_wanted:
            return
        attempt.stop_wanted = True
        if attempt.phase is not AttemptPhase.UNCERTAIN:
            attempt.phase = AttemptPhase.STOPPING
        self._background.spawn(self._stop_until_answered(attempt))

    async def _stop_until_answered(self, attempt: Attempt) -> None:
        key = (attempt.name, attempt.run)
        while self.attempt_by_key.get(key) is attempt:
            boot_ms = self._boot_ms
            if self._owner.may_extend() and await self._send_stop(*key):
                if not attempt.has_begun and self._boot_ms != boot_ms:
                    # An earlier boot may have answered; the order may still reach this one.
                    continue
                attempt.confirmed_at = self._clock.boot_time()
                if attempt.phase is AttemptPhase.UNCERTAIN:
                    await self._fetch_runs()
                return
            await self._clock.sleep(RETRY_PAUSE)

    async def _fetch_runs(self) -> bool:
        """Requests the run list without waiting for the pending hold call, which only the end of a
        run answers early; a run that never started has no end.

        Returns whether the worker has answered.
        """
        # One tick later than the stop's answer, which may have the same time stamp; only a list
        # requested after that answer proves that the run is gone.
        requested_at = self._clock.boot_time() + timedelta.resolution
        listing = self.listing
        try:
            reply = await self._client.hold(listing, self._owner.token, 0, None, timedelta(0))
        except (WorkerUnreachableError, FencedError) as error:
            _log.info("{}: can't get the run list: {!r}", self.worker, error)
            return False
        except InstanceMismatchError:
            self._on_instance_mismatch(listing, requested_at)
            return False
        except Exception:
            # The next hold call gets the list, too.
            _log.exception("{}: request of the run list failed unexpectedly", self.worker)
            return False
        self._apply(reply, requested_at)
        return True

    async def _stop_orphan(self, key: tuple[str, int]) -> None:
        while key in self.orphan_stopped_at_by_key:
            if self._owner.may_extend() and await self._send_stop(*key):
                self.orphan_stopped_at_by_key[key] = self._clock.boot_time()
                return
            await self._clock.sleep(RETRY_PAUSE)

    async def _send_stop(self, task: str, run: int) -> bool:
        listing, sent_at = self.listing, self._clock.boot_time()
        try:
            await self._client.stop(listing, task, run, self._owner.token)
        except WorkerUnreachableError as error:
            _log.info("stop of {} run {} failed: {}", task, run, error)
            return False
        except FencedError:
            self._owner.on_fenced(self)
        except InstanceMismatchError:
            return self._on_instance_mismatch(listing, sent_at)
        except Exception:
            # It is sent again; given up, the run would go on and keep its capacity.
            _log.exception("stop of {} run {} failed unexpectedly", task, run)
            return False
        return True

    def _add_orphan(self, task: str, run: int) -> None:
        """Stops a run that belongs to no attempt; the worker gets no new runs until it is gone."""
        key = (task, run)
        if key not in self.orphan_stopped_at_by_key:
            _log.warning(
                "{}: stopping orphaned run: {} run {}",
                self.worker,
                task,
                run,
                extra=orphan_fields(self.worker, self._boot_ms, task, run),
            )
            self.orphan_stopped_at_by_key[key] = timedelta.max
            self._background.spawn(self._stop_orphan(key))

    async def pace(self, attempt: Attempt, percent: int) -> None:
        """Limits a run to a percentage of its speed. Only a positive answer confirms it."""
        attempt.pace.begin_order()
        listing, sent_at = self.listing, self._clock.boot_time()
        is_done, may_take_effect = False, True
        try:
            is_done = await self._client.pace(
                listing, attempt.name, attempt.run, percent, self._owner.token
            )
            may_take_effect = False
            if not is_done:
                _log.info(
                    "pace {}% of {} run {} refused by {}",
                    percent,
                    attempt.name,
                    attempt.run,
                    self.worker,
                )
        except WorkerUnreachableError as error:
            may_take_effect = error.sent
            _log.info("pace change of {} run {} failed: {}", attempt.name, attempt.run, error)
        except FencedError:
            self._owner.on_fenced(self)
        except InstanceMismatchError:
            self._on_instance_mismatch(listing, sent_at)
        except Exception:
            _log.exception(
                "pace change of {} run {} failed unexpectedly", attempt.name, attempt.run
            )
        finally:
            now = self._clock.boot_time()
            if is_done:
                attempt.pace.confirm_order(percent, now)
            else:
                attempt.pace.fail_order(now, may_take_effect)

    # The lease loop

    async def run(self) -> None:
        """Extends the worker's lease and applies its run lists, until the worker is no longer
        listed and no attempt is left on it."""
        try:
            while self.is_listed or self.attempt_by_key:
                await self._run_once()
        finally:
            self._client.end_series(self._series)

    async def _run_once(self) -> None:
        is_answered = False
        try:
            is_answered = self._owner.may_extend() and await self._hold_once()
        finally:
            # After an unexpected error, too: without their end, tasks would never run again.
            if not is_answered:
                self.end_lapsed_runs()
        if not is_answered:
            await self._clock.sleep(RETRY_PAUSE)

    async def _hold_once(self, is_connected: bool = True) -> bool:
        """Sends a hold call. Returns whether the worker has answered.

        `is_connected`
            Whether the series may have an open connection on which a call was answered. Without
            one, the call neither acknowledges ends nor extends the lease: a new boot may get it.
        """
        requested_at = self._clock.boot_time()
        boot_ms = self._boot_ms
        is_first = self._worker_clock_read_at is None
        # An unanswered call may have extended the lease. Retries don't extend it again, so that the
        # lease of a worker that is gone expires. A suspect one may have restarted.
        is_answering = not is_first and self.consecutive_failures == 0 and not self._is_suspect
        is_connected = is_connected and self._is_series_of_known_boot()
        is_answering = is_answering and is_connected
        deadline = self.deadline_ms() if is_answering else None
        # Unrecorded ends are listed again and answer the call at once, so waiting is of no use.
        has_unrecorded_ends = self._last_applied > self._last_recorded
        wait = MAX_HOLD_WAIT if is_answering and not has_unrecorded_ends else timedelta(0)
        if deadline is not None:
            self._latest_deadline_ms = max(self._latest_deadline_ms, deadline)
        end_to_ack = self._end_to_ack() if is_connected else 0
        is_of_one_boot = end_to_ack > 0 or deadline is not None
        self._series_boot_ms = None
        # A worker that closes each connection is told right after an answer, when it can hardly
        # have restarted; otherwise its list of ends would grow without bound, and its runs lapse.
        self._series.may_reconnect = self._unsent_calls > 1
        listing = self.listing
        try:
            reply = await self._client.hold(
                listing, self._owner.token, end_to_ack, deadline, wait, self._series
            )
        except WorkerUnreachableError as error:
            if is_of_one_boot and not error.sent:
                # The connection to the boot for which the call was meant is closed.
                self._unsent_calls += 1
                if self._unsent_calls == 2:
                    _log.warning("worker {} closes its connections", self.worker)
                return await self._hold_once(is_connected=False)
            if deadline is not None and self._series.may_reconnect and error.sent:
                # The deadline may have given a boot not yet known its longest lease.
                self._count_longest_lease()
            self._unsent_calls = 0
            self.consecutive_failures += 1
            if self.consecutive_failures == 2:
                _log.warning("worker {} is unreachable: {}", self.worker, error)
                self.reachable = False
            return False
        except FencedError:
            self._owner.on_fenced(self)
            return False
        except InstanceMismatchError:
            self._on_instance_mismatch(listing, requested_at)
            return False
        self._series_boot_ms = reply.boot_ms
        if is_of_one_boot and not self._series.may_reconnect:
            self._unsent_calls = 0
        if self._boot_ms == boot_ms:
            self._last_acked = max(self._last_acked, end_to_ack)
        self._apply(reply, requested_at)
        # Recorded ends are acknowledged in the call right after an answer. Recording more of them
        # before that call would postpone it again and again.
        if self._last_applied > self._last_recorded and self._last_recorded <= self._last_acked:
            await self._record_ends()
        return True

    def _is_series_of_known_boot(self) -> bool:
        """Returns whether the newest boot known has answered the latest call of the series.

        A series acknowledges ends and extends the lease only on the connection on which that call
        was answered. Each boot numbers its ends from 1 and has a clock of its own, so that has to
        be the boot whose ends and whose clock these are.
        """
        return self._series_boot_ms is not None and self._series_boot_ms == self._boot_ms

    def _end_to_ack(self) -> int:
        """Returns the number of the last end that the worker may forget, or 0."""
        return self._last_recorded if self.consecutive_failures == 0 else 0

    async def _record_ends(self) -> None:
        last_applied, boot_ms = self._last_applied, self._boot_ms
        try:
            async with asyncio.timeout(RECORD_TIMEOUT.total_seconds()):
                await self._owner.wait_recorded()
        except TimeoutError:
            return
        if self._boot_ms == boot_ms:
            self._last_recorded = last_applied

    def _apply(self, reply: HoldReply, requested_at: timedelta) -> None:
        if requested_at < self._applied_request_at:
            # A list requested later has been applied. The next list repeats what this one adds.
            return
        if self._is_of_earlier_boot(reply, requested_at):
            _log.info("{}: late run list of boot {} ignored", self.worker, reply.boot_ms)
            return
        self._applied_request_at = requested_at
        self._list_sent_at = max(self._list_sent_at, reply.sent_at or requested_at)
        # The first to be applied, whichever call it answers: lists may overtake one another.
        is_first = self._worker_clock_read_at is None
        if is_first:
            self._apply_first(reply, requested_at)
        now = self._clock.boot_time()
        if self._boot_ms is not None and reply.boot_ms != self._boot_ms:
            self._on_restart(reply, requested_at)
        elif self._boot_ms is None:
            self._boot_ms, self._boot_seen_at = reply.boot_ms, now
        self._worker_clock_ms, self._worker_clock_read_at = reply.clock_ms, now
        if not self.reachable:
            _log.info("worker {} is reachable, boot {}", self.worker, reply.boot_ms)
        self.reachable, self.consecutive_failures = True, 0
        self._is_suspect = False
        for row in reply.running:
            self._apply_running(row, now)
        had_ends = False
        for end in reply.ended:
            if end.number <= self._last_applied:
                continue
            had_ends = True
            self._last_applied = end.number
            if self.orphan_stopped_at_by_key.pop((end.task, end.run), None) is not None:
                _log.info(
                    "{}: orphaned run {} run {} ended {}",
                    self.worker,
                    end.task,
                    end.run,
                    end.outcome.value,
                    extra=orphan_end_fields(self.worker, self._boot_ms, end),
                )
            attempt = self.attempt_by_key.get((end.task, end.run))
            if attempt is not None:
                self._end(attempt, end.outcome, end.checkpoint)
            else:
                self._apply_late_end(end)
        self._end_missing(reply, requested_at)
        if had_ends or is_first:
            self._owner.on_capacity_change(self)

    def _apply_first(self, reply: HoldReply, requested_at: timedelta) -> None:
        """Takes over the runs that former owners may have started.

        The token of the call prevents any further order or extension of theirs.
        """
        restored = [
            attempt
            for attempt in self.attempt_by_key.values()
            if attempt.phase is AttemptPhase.UNCERTAIN
        ]
        # A former owner gave leases by its estimate of the worker's clock. Shortly after a restart,
        # that may have been the clock of the boot before.
        lease = min(RUN_LEASE / MIN_WORKER_CLOCK_RATE, self._longest_lease)
        if restored and reply.clock_ms * MILLISECOND < self._longest_lease:
            lease = self._longest_lease
        self._latest_deadline_ms = int(reply.clock_ms + lease / MILLISECOND)
        # This list and any later one prove which of the runs are gone.
        for attempt in restored:
            attempt.confirmed_at = requested_at - timedelta.resolution

    def _apply_running(self, row: RunningRun, now: timedelta) -> None:
        attempt = self.attempt_by_key.get((row.task, row.run))
        if attempt is None:
            self._add_orphan(row.task, row.run)
            return
        attempt.has_begun, attempt.listed_boot_ms = True, self._boot_ms
        attempt.confirmed_at = now
        if row.checkpoint:
            attempt.checkpoint = row.checkpoint
        if row.percent > attempt.percent or attempt.progress_clock_ms is None:
            attempt.progress_at, attempt.progress_clock_ms = now, self._worker_clock_ms
        attempt.percent, attempt.load = row.percent, row.load
        if attempt.phase in (AttemptPhase.ORDERED, AttemptPhase.UNCERTAIN):
            was_uncertain = attempt.phase is AttemptPhase.UNCERTAIN
            attempt.phase = AttemptPhase.STOPPING if attempt.stop_wanted else AttemptPhase.RUNNING
            attempt.started_at = attempt.started_at or now
            if was_uncertain:
                self._owner.on_running(attempt)

    def _apply_late_end(self, end: EndedRun) -> None:
        """Reports an end of a run that has no attempt any more.

        It was given up when its lease had certainly expired, or a former owner ended it.
        """
        instruments.late_ends.add(1, {"how": end.outcome.value})
        _log.info(
            "{}: {} run {} had been given up, or was ended by a former owner: {}",
            self.worker,
            end.task,
            end.run,
            end.outcome.value,
            extra=late_end_fields(self.worker, end),
        )
        self._owner.on_late_end(end)

    def _end_missing(self, reply: HoldReply, requested_at: timedelta) -> None:
        """Ends the runs that are missing from a list that would contain them if they existed."""
        if len(reply.ended) >= MAX_ENDS_PER_REPLY:
            # The list of ends is truncated and lacks the newest ones.
            return
        listed = {(row.task, row.run) for row in reply.running}
        for key, attempt in list(self.attempt_by_key.items()):
            if key in listed or attempt.phase is AttemptPhase.RESERVED:
                continue
            if attempt.confirmed_at is not None and attempt.confirmed_at < requested_at:
                self._give_up(attempt, RunOutcome.LOST, EndProof.UNLISTED, requested_at)
        for key, stopped_at in list(self.orphan_stopped_at_by_key.items()):
            if key not in listed and stopped_at < requested_at:
                del self.orphan_stopped_at_by_key[key]

    def _end(self, attempt: Attempt, outcome: RunOutcome, checkpoint: str) -> None:
        self.release(attempt)
        self._owner.on_ended(attempt, outcome, checkpoint or attempt.checkpoint)

    def _give_up(
        self, attempt: Attempt, outcome: RunOutcome, proof: EndProof, proved_at: timedelta
    ) -> None:
        """Ends a run of which no end was reported.

        `proved_at`
            When the call was sent that gave the proof, or when the lease had certainly expired.
        """
        instruments.runs_given_up.add(1, {"proof": proof.value})
        age = self._clock.boot_time() - proved_at
        _log.info(
            "{} run {} on {} given up as {}: {}",
            attempt.name,
            attempt.run,
            self.worker,
            outcome.value,
            proof.value,
            extra=given_up_fields(attempt, outcome, proof, age, self._boot_ms),
        )
        self._end(attempt, outcome, attempt.checkpoint)

    def _is_of_earlier_boot(self, reply: HoldReply, requested_at: timedelta) -> bool:
        """Returns whether an earlier boot than the newest one known may have made a list.

        Only a list requested after the newest boot was seen is certainly not from an earlier one;
        before that, the start times of the boots decide.
        """
        return (
            self._boot_ms is not None
            and reply.boot_ms < self._boot_ms
            and requested_at <= self._boot_seen_at
        )

    def _on_restart(self, reply: HoldReply, requested_at: timedelta) -> None:
        """Handles a restart of the worker: the runs of earlier boots are gone and ends are numbered
        anew.

        Of a run that no boot has listed, the list that shows the restart proves nothing: it may
        have been made before the run's start arrived.
        """
        _log.warning("worker {} has restarted, boot {}", self.worker, reply.boot_ms)
        self._boot_ms, self._boot_seen_at = reply.boot_ms, self._clock.boot_time()
        self._last_recorded = self._last_applied = self._last_acked = 0
        self._unsent_calls = 0
        # An order in flight has a deadline on the clock of the old boot. On the new boot's clock it
        # may be late enough to give the longest lease.
        self._latest_deadline_ms = self._longest_deadline_ms(reply.clock_ms)
        self._deadline_by_order.clear()
        # Runs may already have started, and even ended, on the new boot.
        listed = {(row.task, row.run) for row in (*reply.running, *reply.ended)}
        has_unproved = False
        for key, attempt in list(self.attempt_by_key.items()):
            # The clock of the new boot begins anew.
            attempt.progress_clock_ms = None
            if key in listed or attempt.phase is AttemptPhase.RESERVED:
                continue
            if attempt.listed_boot_ms is not None:
                self._give_up(attempt, RunOutcome.LOST, EndProof.RESTARTED, requested_at)
            elif attempt.has_begun:
                has_unproved = True
            elif attempt.phase is not AttemptPhase.ORDERED:
                self._stop_on_new_boot(attempt)
        if has_unproved:
            # A list requested now shows which of the runs are on the new boot.
            self._background.spawn(self._fetch_runs())

    def _stop_on_new_boot(self, attempt: Attempt) -> None:
        """Stops a run whose start is not confirmed. Stops answered by earlier boots do not keep the
        new one from starting it."""
        if not attempt.stop_wanted:
            self.stop(attempt)
        elif attempt.confirmed_at is not None:
            attempt.confirmed_at = None
            self._background.spawn(self._stop_until_answered(attempt))

    def _on_instance_mismatch(self, listing: WorkerListing, requested_at: timedelta) -> bool:
        """Handles that another worker answered at the address of a listing, so this one is gone,
        and with it the runs that existed when the call was sent.

        Returns whether the answer still holds: a former user of the address may have answered late,
        or the worker may be listed at another address by now.
        """
        if listing.address != self.listing.address or requested_at < self._applied_request_at:
            _log.info("{}: late answer of another worker ignored", self.worker)
            return False
        self.reachable = self.is_listed = False
        # Without any contact, all runs were ordered by former owners.
        is_first = self._worker_clock_read_at is None
        for attempt in list(self.attempt_by_key.values()):
            if attempt.phase is AttemptPhase.RESERVED:
                continue
            if is_first or (
                attempt.confirmed_at is not None and attempt.confirmed_at < requested_at
            ):
                self._give_up(attempt, RunOutcome.LOST, EndProof.REPLACED, requested_at)
        return True

    def end_lapsed_runs(self) -> None:
        """Ends all runs once their lease has certainly expired."""
        runs_end_by = self.runs_end_by()
        if self.attempt_by_key and self._clock.boot_time() > runs_end_by:
            self.reachable = False
            for attempt in list(self.attempt_by_key.values()):
                if attempt.phase is not AttemptPhase.RESERVED:
                    self._give_up(attempt, RunOutcome.LAPSED, EndProof.LEASE_OVER, runs_end_by)
