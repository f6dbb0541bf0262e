"""Tests of one worker's session: reserved capacity, lease renewal, and calls that fail."""

import asyncio
import functools
from datetime import timedelta

import logbook
import msgspec

from hornbeamramp.background import BackgroundTasks
from hornbeamramp.fleet import (
    Attempt,
    AttemptPhase,
    EndedRun,
    RunOutcome,
    StartOrder,
    StartReply,
    WorkerListing,
    WorkerSession,
    WorkerUnreachableError,
)
from hornbeamramp.fleet.base import InstanceMismatchError
from hornbeamramp.ids import JobId
from hornbeamramp.poolowner.health import stalled_attempts
from hornbeamramp.poolowner.jobs import Job, StepRun
from hornbeamramp.resources import Resources
from hornbeamramp.states import Step
from hornbeamramp.workload import StepKey, StepSpec
from tests.model.cell import job
from tests.model.fleet import FleetView, ModelFleet
from tests.model.virtual_time import LoopClock, run_in_virtual_time
from tests.poolowner.builders import record

CAPACITY = Resources(8000, 8000, 4, 0, 0)
SIZE = Resources(1000, 100, 0, 0, 0)
SHORT = StepSpec(9, 1000, 100, estimate_ms=60_000)


class RecordingOwner:
    """A pool owner that records what the session reports."""

    def __init__(self):
        self.token = 5
        self.can_extend = True
        self.ended = []
        self.late_ends = []
        self.is_fenced = False

    def may_order(self):
        return True

    def may_extend(self):
        return self.can_extend

    def on_running(self, attempt):
        pass

    def on_ended(self, attempt, outcome, checkpoint):
        self.ended.append((attempt.name, outcome))

    def on_late_end(self, end):
        self.late_ends.append(end)

    def on_capacity_change(self, session):
        pass

    def on_fenced(self, session):
        self.is_fenced = True

    async def wait_recorded(self):
        await asyncio.sleep(0.01)


class SessionHarness:
    """A session with one simulated worker."""

    def __init__(self, view=FleetView):
        self.clock = LoopClock()
        self.fleet = ModelFleet(self.clock)
        self.worker = self.fleet.add("w0", CAPACITY)
        self.view = view(self.fleet, "vm0")
        self.owner = RecordingOwner()
        listing = WorkerListing("w0", "pool", "w0", "gebze", False, CAPACITY, ("a", "r0"))
        self.background = BackgroundTasks("test", logbook.Logger("test"))
        self.session = WorkerSession(
            listing,
            self.view,
            self.clock,
            self.owner,
            self.background,
            timedelta(seconds=13),
            timedelta(seconds=10),
        )
        self.background.spawn(self.session.run())
        spec = job(SHORT)
        self.fleet.spec_by_job[JobId("a" * 16)] = spec

    def attempt(self, index=0, run=1):
        attempt = Attempt(None, f"{'a' * 16}.0.0.{index}", run, SIZE, self.session)
        self.session.reserve(attempt)
        return attempt

    async def start(self, attempt):
        order = StartOrder(attempt.name, attempt.run, "payload", self.session.deadline_ms(), 5)
        return await self.session.start(attempt, order)


async def until(condition):
    """Waits until a condition holds."""
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError


def run_with_harness(scenario, view=FleetView):
    async def main():
        harness = SessionHarness(view)
        try:
            await asyncio.sleep(0.1)
            await scenario(harness)
        finally:
            await harness.background.cancel()

    run_in_virtual_time(main())


def test_capacity_is_reserved_until_the_end_is_listed():
    async def scenario(harness):
        attempt = harness.attempt()
        assert harness.session.free() == (7000, 7900, 4)
        await harness.start(attempt)
        harness.session.stop(attempt)
        assert harness.session.free() == (7000, 7900, 4)
        await asyncio.sleep(0.5)
        assert harness.session.free() == (8000, 8000, 4)
        assert harness.owner.ended == [(attempt.name, RunOutcome.STOPPED)]

    run_with_harness(scenario)


def test_leases_are_extended_while_the_worker_answers():
    async def scenario(harness):
        await harness.start(harness.attempt())
        await asyncio.sleep(30)
        assert len(harness.worker.run_by_task) == 1

    run_with_harness(scenario)


def test_runs_on_a_silent_worker_end_after_their_lease_and_not_before():
    """Guards against runs that never end on a worker that has stopped answering.

    Each unanswered call counted as another extension of the lease.
    """

    async def scenario(harness):
        await harness.start(harness.attempt())
        await asyncio.sleep(1.0)
        harness.worker.unreachable_from.add("vm0")
        await asyncio.sleep(4.0)
        assert harness.owner.ended == []
        await asyncio.sleep(6.0)
        assert [outcome for _, outcome in harness.owner.ended] == [RunOutcome.LAPSED]
        assert harness.worker.run_by_task == {}

    run_with_harness(scenario)


def test_orphaned_run_is_stopped_and_its_worker_unused_until_then():
    async def scenario(harness):
        order = StartOrder(f"{'a' * 16}.0.0.7", 1, "payload", 60_000, 5)
        harness.worker.start(order)
        await asyncio.sleep(2.2)
        assert harness.worker.run_by_task == {}
        await asyncio.sleep(2.2)
        assert harness.session.usable

    run_with_harness(scenario)


def test_stop_is_sent_once_the_owner_may_send_again():
    """Guards against capacity that stays reserved for ever.

    A stop requested while the owner's claim was in doubt was dropped instead of sent later.
    """

    async def scenario(harness):
        attempt = harness.attempt()
        await harness.start(attempt)
        harness.owner.can_extend = False
        harness.session.stop(attempt)
        await asyncio.sleep(1.0)
        harness.owner.can_extend = True
        await asyncio.sleep(3.0)
        assert harness.owner.ended == [(attempt.name, RunOutcome.STOPPED)]

    run_with_harness(scenario)


def test_worker_that_has_seen_a_higher_token_fences_the_owner():
    async def scenario(harness):
        harness.worker.fence(9)
        await asyncio.sleep(4.0)
        assert harness.owner.is_fenced

    run_with_harness(scenario)


def test_unanswered_start_is_not_lost_before_the_new_boot_can_no_longer_begin_it():
    """Guards against a task that starts elsewhere while its first order may still begin it.

    After a restart of the worker, an unanswered start counted as lost at once, before the stop that
    keeps the new boot from carrying it out was answered.
    """

    async def scenario(harness):
        attempt = harness.attempt()
        harness.view.late_share = 1.0
        assert await harness.start(attempt) is None
        harness.worker.crash()
        harness.worker.reboot()
        await asyncio.sleep(4.0)
        assert harness.owner.ended == []
        assert harness.session.free() == (7000, 7900, 4)
        harness.view.late_share = 0.0
        await until(lambda: harness.owner.ended)
        assert harness.owner.ended == [(attempt.name, RunOutcome.LOST)]
        order = StartOrder(attempt.name, attempt.run, "payload", 60_000, 5)
        assert harness.worker.start(order) is StartReply.SUPERSEDED

    run_with_harness(scenario)


def test_run_that_the_new_boot_started_and_ended_is_done_and_not_lost():
    """Guards against starting a task again that is done.

    The list that first showed the restart also contained the end of a run on the new boot, which
    was counted as lost with the runs of the old boot.
    """

    async def scenario(harness):
        harness.view.has_proxy = True
        spec = job(StepSpec(1, 1000, 100, estimate_ms=300))
        harness.fleet.spec_by_job[JobId("a" * 16)] = spec
        harness.worker.crash()
        harness.worker.reboot()
        attempt = harness.attempt()
        await harness.start(attempt)
        await asyncio.sleep(4.0)
        assert harness.owner.ended == [(attempt.name, RunOutcome.DONE)]

    run_with_harness(scenario)


def test_start_without_answer_is_settled_within_half_a_second():
    """Guards against a delay of up to two seconds in settling an unanswered start.

    The session waited for the reply to the pending hold call instead of requesting a list at once.
    """

    async def scenario(harness):
        attempt = harness.attempt()
        await asyncio.sleep(0.5)
        harness.view.late_share = 1.0
        assert await harness.start(attempt) is None
        harness.view.late_share = 0.0
        harness.session.stop(attempt)
        await asyncio.sleep(0.1)
        assert harness.owner.ended == [(attempt.name, RunOutcome.LOST)]
        await asyncio.sleep(13.0)
        assert harness.fleet.starts == []

    run_with_harness(scenario)


def test_restarted_worker_is_not_told_to_forget_the_ends_of_its_new_boot():
    """Guards against losing the end of a run after a restart of the worker.

    The session acknowledged end numbers of the old boot, and the new boot dropped an end of its own
    with such a number before the session had received it.
    """

    async def scenario(harness):
        harness.view.has_proxy = True
        spec = job(StepSpec(9, 1000, 100, estimate_ms=300))
        harness.fleet.spec_by_job[JobId("a" * 16)] = spec
        for index in range(4):
            await harness.start(harness.attempt(index))
        await asyncio.sleep(1.0)
        harness.worker.crash()
        await asyncio.sleep(0.5)
        harness.worker.reboot()
        attempt = harness.attempt(5)
        await harness.start(attempt)
        await asyncio.sleep(4.0)
        assert harness.owner.ended[-1] == (attempt.name, RunOutcome.DONE)

    run_with_harness(scenario)


def test_run_on_a_restarted_worker_does_not_lapse_with_the_next_failed_call():
    """Guards against a second start of a task that is running on a restarted worker.

    The restart cleared the latest lease deadline, so the next failed call ended all runs as
    lapsed.
    """

    async def scenario(harness):
        harness.worker.crash()
        harness.worker.reboot()
        attempt = harness.attempt()
        await harness.start(attempt)
        # The list after a stop shows the restart before the pending hold call has failed.
        await harness.session._fetch_runs()
        await asyncio.sleep(4.0)
        assert harness.owner.ended == []

    run_with_harness(scenario)


def slow_down_recording(harness, seconds):
    async def recorded():
        await asyncio.sleep(seconds)

    harness.owner.wait_recorded = recorded


async def run_many(harness, count, pause=0.0):
    """Starts many short tasks one after the other."""
    harness.fleet.spec_by_job[JobId("a" * 16)] = job(StepSpec(count, 1000, 100, estimate_ms=20))
    for index in range(count):
        await harness.start(harness.attempt(index))
        await asyncio.sleep(pause)


def test_ends_are_forgotten_although_recording_them_takes_long():
    """Guards against a worker's list of ends that grows without bound with a slow store.

    With commits of 400 ms the session never acknowledged an end.
    """

    async def scenario(harness):
        slow_down_recording(harness, 0.4)
        await run_many(harness, 300, pause=0.02)
        # About the ends of one second: the commit and the list that precede an acknowledgement.
        assert len(harness.worker.ended) < 50

    run_with_harness(scenario)


def test_run_whose_end_is_beyond_a_truncated_list_is_not_lost():
    """Guards against running tasks again whose ends are missing from a truncated list.

    A list has at most 500 ends, the oldest first. In a grown deployment there were more, and runs
    whose ends were not among them counted as lost.
    """

    async def scenario(harness):
        slow_down_recording(harness, 1000.0)
        await run_many(harness, 600)
        await asyncio.sleep(5.0)
        assert all(outcome is RunOutcome.DONE for _, outcome in harness.owner.ended)

    run_with_harness(scenario)


def test_run_is_not_stalled_while_its_lists_are_late_or_not_read():
    """Guards against a worker that was silent for some seconds, or an owner that was paused, after
    which all runs looked as if they had made no progress, were stopped and started elsewhere."""

    async def scenario(harness):
        attempt = harness.attempt()
        step = StepRun(Job(record(SHORT)), StepKey(JobId("a" * 16), 0, 0), SHORT)
        attempt.task = step.units[0].tasks[0]
        await harness.start(attempt)
        await asyncio.sleep(2.5)
        await harness.background.cancel()
        await asyncio.sleep(4)
        assert harness.session.reachable
        assert stalled_attempts([harness.session]) == []

    run_with_harness(scenario)


def test_run_without_progress_in_later_lists_is_stalled():
    async def scenario(harness):
        attempt = harness.attempt()
        await harness.start(attempt)
        await asyncio.sleep(2.5)
        assert harness.session.time_without_progress(attempt) < timedelta(seconds=1)
        harness.worker.run_by_task[attempt.name].is_working = False
        await asyncio.sleep(7)
        assert harness.session.time_without_progress(attempt) > timedelta(seconds=3)

    run_with_harness(scenario)


def test_runs_of_a_former_owner_end_when_a_later_list_overtakes_the_first():
    """Guards against a run that a former owner placed, its worker never started, and that holds its
    capacity for good. The list requested after a stop overtook the first one, which was dropped,
    and with it the proof that no order of the former owner can take effect any more. The task of
    that run never started again (LOST on further, power-lost-twice, seed 209617988084).
    """

    class SlowFirstList(FleetView):
        calls = 0

        async def hold(self, *arguments):
            self.calls += 1
            is_first = self.calls == 1
            reply = await super().hold(*arguments)
            if is_first:
                await asyncio.sleep(0.2)
            return reply

    async def scenario():
        harness = SessionHarness(SlowFirstList)
        try:
            stopped, other = harness.attempt(0), harness.attempt(1)
            stopped.phase = other.phase = AttemptPhase.UNCERTAIN
            harness.session.stop(stopped)
            await asyncio.sleep(5.0)
            ended = dict(harness.owner.ended)
            assert ended == {stopped.name: RunOutcome.LOST, other.name: RunOutcome.LOST}
            assert harness.session.free() == (8000, 8000, 4)
        finally:
            await harness.background.cancel()

    run_in_virtual_time(scenario())


def test_runs_of_a_former_owner_go_on_when_the_first_hold_call_is_lost_after_another_list():
    """Guards against runs that count as lapsed although they go on, so that their tasks run twice.

    When a cut ends, a stop and the list after it may be answered before the first hold call times
    out on its dead connection. The session then knew the worker's clock but no lease, and took all
    as expired (TWICE on hcjs-ramp-grown trouble-1, half a second after the end of a cut).
    """

    class LostFirstCall(FleetView):
        calls = 0

        async def hold(self, worker, *arguments):
            self.calls += 1
            if self.calls == 1:
                await asyncio.sleep(0.3)
                raise WorkerUnreachableError(Step.RENEW, worker.worker, "no answer")
            return await super().hold(worker, *arguments)

    async def scenario():
        harness = SessionHarness(LostFirstCall)
        try:
            running, stopped = harness.attempt(0), harness.attempt(1)
            running.phase = stopped.phase = AttemptPhase.UNCERTAIN
            order = StartOrder(running.name, running.run, "payload", 6000, 4)
            harness.worker.start(order)
            harness.session.stop(stopped)
            await asyncio.sleep(5.0)
            assert harness.owner.ended == [(stopped.name, RunOutcome.LOST)]
            assert running.name in harness.worker.run_by_task
        finally:
            await harness.background.cancel()

    run_in_virtual_time(scenario())


def test_no_order_is_sent_to_a_worker_that_became_unusable_after_it_was_chosen():
    """Guards against a start order to a lost worker, whose lease kept the runs there from being
    started elsewhere for another 6 s."""

    async def scenario(harness):
        running, chosen = harness.attempt(0), harness.attempt(1)
        await harness.start(running)
        await asyncio.sleep(3)
        harness.worker.crash()
        crashed_at = harness.clock.boot_time()
        await until(lambda: not harness.session.reachable)
        await asyncio.sleep(1)
        assert await harness.start(chosen) is StartReply.UNHEALTHY
        assert chosen.phase is AttemptPhase.RESERVED
        await until(lambda: harness.owner.ended)
        assert harness.owner.ended == [(running.name, RunOutcome.LAPSED)]
        assert harness.clock.boot_time() - crashed_at < timedelta(seconds=6.8)

    run_with_harness(scenario)


def test_order_after_an_unanswered_call_does_not_extend_the_lease():
    """Guards against orders that prolong the lease of a worker that may be lost already."""

    async def scenario(harness):
        running, chosen = harness.attempt(0), harness.attempt(1)
        await harness.start(running)
        await asyncio.sleep(3)
        harness.worker.crash()
        crashed_at = harness.clock.boot_time()
        await until(lambda: harness.session.consecutive_failures)
        assert harness.session.reachable
        assert await harness.start(chosen) is None
        await until(lambda: len(harness.owner.ended) == 2)
        assert harness.clock.boot_time() - crashed_at < timedelta(seconds=6.8)

    run_with_harness(scenario)


def test_no_order_is_sent_to_a_worker_that_drains_or_is_unlisted_by_then():
    """Guards against a start on a draining worker that was chosen before its report arrived."""

    async def scenario(harness):
        session = harness.session
        session.listing = msgspec.structs.replace(session.listing, draining=True)
        assert await harness.start(harness.attempt(0)) is StartReply.UNHEALTHY
        session.listing = msgspec.structs.replace(session.listing, draining=False)
        session.is_listed = False
        assert await harness.start(harness.attempt(1)) is StartReply.UNHEALTHY
        session.is_listed = True
        assert await harness.start(harness.attempt(2)) is StartReply.STARTED

    run_with_harness(scenario)


def test_order_that_was_not_sent_does_not_extend_the_lease():
    """Guards against orders to a worker that is gone, which postponed the end of its runs by up to
    three seconds (kaya-kantar-grown, workers-gone-in-calm)."""

    class Refusing(FleetView):
        async def start(self, worker, *arguments):
            await asyncio.sleep(0.01)
            if self.is_refusing:
                raise WorkerUnreachableError(Step.RUN, "w0", "connection refused", sent=False)
            return await super().start(worker, *arguments)

        is_refusing = False

    async def scenario(harness):
        running, chosen = harness.attempt(0), harness.attempt(1)
        await harness.start(running)
        await asyncio.sleep(3)
        lapses_at = harness.session.runs_end_by()
        harness.view.is_refusing = True
        assert await harness.start(chosen) is StartReply.UNHEALTHY
        assert harness.session.runs_end_by() == lapses_at

    run_with_harness(scenario, Refusing)


def test_worker_that_leaves_an_order_unanswered_gets_no_other_until_it_answers():
    """Guards against tasks that are placed on a silent worker three to five times, as its pending
    hold call hid that for two seconds (kaya-kantar-grown, workers-gone-under-load)."""

    async def scenario(harness):
        await harness.start(harness.attempt(0))
        await asyncio.sleep(1)
        harness.worker.is_up = False
        assert await harness.start(harness.attempt(1)) is not StartReply.STARTED
        assert not harness.session.usable
        await asyncio.sleep(0.4)
        assert not harness.session.reachable
        harness.worker.is_up = True
        await asyncio.sleep(2.5)
        assert harness.session.usable

    run_with_harness(scenario)


def test_worker_that_still_answers_is_used_again_at_once_after_a_lost_order():
    async def scenario(harness):
        await harness.start(harness.attempt(0))
        harness.session._suspect()
        assert not harness.session.usable
        await asyncio.sleep(0.05)
        assert harness.session.usable

    run_with_harness(scenario)


def test_log_tells_by_which_proof_a_run_was_given_up(log_records):
    """Guards against a run that is given up without a trace of why, so that the causes of two runs
    of one task can't be told apart."""

    async def scenario(harness):
        harness.view.has_proxy = True
        attempt = harness.attempt()
        await harness.start(attempt)
        await asyncio.sleep(3.0)
        first_boot = harness.worker.boot_ms
        harness.worker.crash()
        await asyncio.sleep(0.5)
        harness.worker.reboot()
        await until(lambda: harness.owner.ended)
        (line,) = [r.extra for r in log_records if r.extra.get("event") == "run_given_up"]
        assert 0 <= line.pop("proof_age_ms") < 100
        assert line == {
            "event": "run_given_up",
            "task": attempt.name,
            "run": 1,
            "worker": "w0",
            "outcome": "lost",
            "proof": "restarted",
            "phase": "running",
            "ordered_boot": first_boot,
            "answered_boot": harness.worker.boot_ms,
        }

    run_with_harness(scenario)


def test_log_tells_the_boot_and_the_end_of_an_orphaned_run(log_records):
    """Guards against a run that goes on after it was given up, of which no line is left."""

    async def scenario(harness):
        harness.worker.start(StartOrder(f"{'a' * 16}.0.0.7", 1, "payload", 60_000, 5))
        await asyncio.sleep(4.5)
        lines = [r.extra for r in log_records if "orphan" in r.extra.get("event", "")]
        run = {"task": f"{'a' * 16}.0.0.7", "run": 1, "worker": "w0", "boot": 1}
        assert lines == [
            {"event": "run_orphaned", **run},
            {"event": "orphan_ended", **run, "outcome": "stopped"},
        ]

    run_with_harness(scenario)


class DelayedAnswers(FleetView):
    """Delays answers on their way back, and calls for run lists on their way there.

    `list_delay_s`, `stop_delay_s`, `start_delay_s`
        Time for which each list or answer is on its way back.
    `connected`
        While this event is not set, calls for lists wait before they reach the worker.
    """

    list_delay_s = stop_delay_s = start_delay_s = 0.0
    connected: asyncio.Event | None = None

    async def start(self, *arguments):
        delay_s = self.start_delay_s
        reply = await super().start(*arguments)
        await asyncio.sleep(delay_s)
        return reply

    async def stop(self, *arguments):
        delay_s = self.stop_delay_s
        await super().stop(*arguments)
        await asyncio.sleep(delay_s)

    async def hold(self, *arguments):
        delay_s = self.list_delay_s
        if self.connected is not None:
            await self.connected.wait()
        reply = await super().hold(*arguments)
        await asyncio.sleep(delay_s)
        return reply


def test_run_started_after_the_list_that_shows_a_restart_was_made_is_not_lost():
    """Guards against a task that runs on two workers at once (TWICE, kaya-kantar).

    The list that first shows a new boot is made before a start arrives there, and read after it.
    The run, which the list lacks, counted as one of the old boot, and its task was placed again.
    """

    async def scenario(harness, lead_s):
        harness.view.has_proxy = True
        harness.worker.crash()
        harness.worker.reboot()
        attempt = harness.attempt()
        harness.view.list_delay_s = 0.06
        asyncio.get_running_loop().create_task(harness.session._fetch_runs())
        # The list is made once the call has arrived, 2 ms after it was sent.
        await asyncio.sleep(0.002 + lead_s)
        reply = await harness.start(attempt)
        harness.view.list_delay_s = 0.0
        assert reply is StartReply.STARTED
        await asyncio.sleep(4.0)
        assert harness.owner.ended == []
        assert attempt.name in harness.worker.run_by_task

    for lead_s in (0.001, 0.02, 0.05, 0.0595):
        run_with_harness(functools.partial(scenario, lead_s=lead_s), DelayedAnswers)


def test_stop_answered_by_the_earlier_boot_does_not_settle_a_start_on_the_new_one():
    """Guards against a start that arrives at a new boot, which knows nothing of the stop that was
    answered before the restart, after its task has been placed again."""

    async def scenario(harness):
        attempt = harness.attempt()
        harness.view.late_share = 1.0
        assert await harness.start(attempt) is None
        harness.view.late_share = 0.0
        harness.view.connected = asyncio.Event()
        harness.session.stop(attempt)
        await until(lambda: attempt.confirmed_at is not None)
        harness.worker.crash()
        harness.worker.reboot()
        harness.view.connected.set()
        await until(lambda: harness.owner.ended)
        order = StartOrder(attempt.name, attempt.run, "payload", 60_000, 5)
        assert harness.worker.start(order) is StartReply.SUPERSEDED

    run_with_harness(scenario, DelayedAnswers)


def test_stop_answered_late_by_the_earlier_boot_is_sent_to_the_new_one():
    """Guards against a start that arrives at a new boot after its task has been placed again: the
    answer of the earlier boot to the stop was read after the restart was seen."""

    async def scenario(harness):
        attempt = harness.attempt()
        harness.view.late_share = 1.0
        assert await harness.start(attempt) is None
        harness.view.late_share = 0.0
        harness.view.stop_delay_s = 0.25
        harness.session.stop(attempt)
        await asyncio.sleep(0.01)
        harness.view.stop_delay_s = 0.0
        harness.worker.crash()
        await asyncio.sleep(0.02)
        harness.worker.reboot()
        await harness.session._fetch_runs()
        await until(lambda: harness.owner.ended)
        order = StartOrder(attempt.name, attempt.run, "payload", 60_000, 5)
        assert harness.worker.start(order) is StartReply.SUPERSEDED

    run_with_harness(scenario, DelayedAnswers)


def test_start_confirmed_by_the_earlier_boot_after_the_restart_was_seen_ends_soon():
    """Guards against a task that is away for two seconds longer, until the pending hold call is
    over, as nothing asked for a list once the answer of the earlier boot was there."""

    async def scenario(harness):
        attempt = harness.attempt()
        harness.view.start_delay_s = 0.25
        starting = asyncio.create_task(harness.start(attempt))
        await asyncio.sleep(0.01)
        harness.worker.crash()
        await asyncio.sleep(0.1)
        harness.worker.reboot()
        await harness.session._fetch_runs()
        assert await starting is StartReply.STARTED
        await asyncio.sleep(0.1)
        assert harness.owner.ended == [(attempt.name, RunOutcome.LOST)]

    run_with_harness(scenario, DelayedAnswers)


def test_start_on_a_boot_without_a_list_counts_as_leased_for_the_longest_time():
    """Guards against a run that is started again while it is at work on a silent worker: the
    deadline on the clock of the boot before gave it the longest lease of the new one."""

    async def scenario(harness):
        harness.view.has_proxy = True
        await asyncio.sleep(20)
        attempt = harness.attempt()
        harness.worker.crash()
        await asyncio.sleep(0.1)
        harness.worker.reboot()
        await asyncio.sleep(0.1)
        assert await harness.start(attempt) is StartReply.STARTED
        harness.worker.unreachable_from.add("vm0")
        await until(lambda: harness.owner.ended)
        assert harness.owner.ended == [(attempt.name, RunOutcome.LAPSED)]
        assert attempt.name not in harness.worker.run_by_task

    run_with_harness(scenario)


def cut_off_when_started(harness):
    """Cuts the worker off once it has begun a run, so that the answer to its start is lost."""
    worker = harness.worker
    start = worker.start

    def start_and_cut(order, is_held_up=False):
        reply = start(order, is_held_up)
        worker.unreachable_from.add("vm0")
        return reply

    worker.start = start_and_cut
    harness.view.max_answer_delay_s = 0.001


def test_unanswered_start_on_a_boot_not_yet_known_is_not_started_again_beside_its_run():
    """Guards against a task that runs on two workers at once (TWICE): its order reached a new boot,
    which gave it the longest lease, and the owner counted the shorter one of the boot before."""

    async def scenario(harness):
        first = harness.attempt(0)
        await harness.start(first)
        await asyncio.sleep(20)
        harness.worker.crash()
        await asyncio.sleep(0.1)
        harness.worker.reboot()
        cut_off_when_started(harness)
        attempt = harness.attempt(1)
        reply = await harness.start(attempt)
        if reply is None:
            await until(lambda: attempt.session.attempt_by_key.get((attempt.name, 1)) is None)
        assert attempt.name not in harness.worker.run_by_task

    run_with_harness(scenario)


def test_unanswered_start_on_a_worker_that_is_lost_lapses_with_its_lease():
    """Guards against tasks of a lost worker that wait for the longest lease: a start on the boot
    that is known has the lease that was ordered."""

    async def scenario(harness):
        await harness.start(harness.attempt(0))
        await asyncio.sleep(20)
        cut_off_when_started(harness)
        attempt = harness.attempt(1)
        ordered_at = harness.clock.boot_time()
        assert await harness.start(attempt) is None
        await until(lambda: attempt.session.attempt_by_key.get((attempt.name, 1)) is None)
        assert attempt.name not in harness.worker.run_by_task
        assert harness.clock.boot_time() - ordered_at < timedelta(seconds=6.8)

    run_with_harness(scenario)


def test_run_of_a_former_owner_on_a_young_boot_counts_as_leased_for_the_longest_time():
    """Guards against a run that is started again while it is at work on a silent worker: its former
    owner knew only the clock of the boot before."""

    async def scenario():
        harness = SessionHarness()
        try:
            attempt = harness.attempt()
            attempt.phase = AttemptPhase.UNCERTAIN
            harness.worker.start(StartOrder(attempt.name, 1, "payload", 26_000, 4))
            await until(lambda: attempt.phase is AttemptPhase.RUNNING)
            harness.worker.unreachable_from.add("vm0")
            await until(lambda: harness.owner.ended)
            assert harness.owner.ended == [(attempt.name, RunOutcome.LAPSED)]
            assert attempt.name not in harness.worker.run_by_task
        finally:
            await harness.background.cancel()

    run_in_virtual_time(scenario())


def test_call_that_waits_for_its_connection_acknowledges_no_ends_of_the_new_boot():
    """Guards against a task that runs again although it is done: a call with an end number of the
    old boot reached the new one, which dropped the end that it had by that number."""

    async def scenario(harness):
        harness.view.has_proxy = True
        first, second = harness.attempt(0), harness.attempt(1)
        await harness.start(first)
        harness.view.connected = waiting = asyncio.Event()
        harness.worker.end(first.name, RunOutcome.DONE)
        await until(lambda: harness.session._last_recorded == 1)
        await asyncio.sleep(0.01)
        harness.view.connected = None
        harness.worker.crash()
        await asyncio.sleep(0.1)
        harness.worker.reboot()
        assert await harness.start(second) is StartReply.STARTED
        await asyncio.sleep(0.4)
        harness.worker.end(second.name, RunOutcome.DONE)
        await asyncio.sleep(0.4)
        waiting.set()
        await until(lambda: len(harness.owner.ended) == 2)
        assert harness.owner.ended[1] == (second.name, RunOutcome.DONE)

    run_with_harness(scenario, DelayedAnswers)


def test_worker_is_not_used_by_the_listing_of_another_boot():
    """Guards against a start beyond the capacity of a restarted worker, or without the label that
    the task needs: the new boot may be of another kind than its listing says."""

    async def scenario(harness):
        session = harness.session
        first = msgspec.structs.replace(session.listing, boot_ms=harness.worker.boot_ms)
        session.set_listing(first)
        assert session.usable
        harness.worker.crash()
        await asyncio.sleep(0.1)
        harness.worker.reboot()
        await asyncio.sleep(3.0)
        assert not session.usable
        assert await harness.start(harness.attempt()) is StartReply.UNHEALTHY
        session.set_listing(msgspec.structs.replace(first, boot_ms=harness.worker.boot_ms))
        assert session.usable

    run_with_harness(scenario)


def test_listing_of_a_new_boot_shows_a_restart_at_once():
    """Guards against starts on a restarted worker by the capacity of its boot before, until the
    pending call for a list ends."""

    async def scenario(harness):
        session = harness.session
        attempt = harness.attempt()
        await harness.start(attempt)
        await asyncio.sleep(3.0)
        harness.worker.crash()
        await asyncio.sleep(0.1)
        harness.worker.reboot()
        session.set_listing(
            msgspec.structs.replace(session.listing, boot_ms=harness.worker.boot_ms)
        )
        assert not session.usable
        await asyncio.sleep(0.05)
        assert session.usable
        assert harness.owner.ended == [(attempt.name, RunOutcome.LOST)]

    run_with_harness(scenario)


def test_late_list_lets_no_ends_of_the_new_boot_be_acknowledged():
    """Guards against a task that runs again although it is done: a late list of the old boot was
    followed by an acknowledgement, by which the new boot dropped its own end of that number."""

    async def scenario(harness):
        harness.view.has_proxy = True
        first, second = harness.attempt(0), harness.attempt(1)
        await harness.start(first)
        harness.view.list_delay_s = 0.25
        # The next call for a list begins.
        await asyncio.sleep(2.1)
        harness.worker.end(first.name, RunOutcome.DONE)
        await asyncio.sleep(0.01)
        harness.view.list_delay_s = 0.0
        harness.worker.crash()
        await asyncio.sleep(0.05)
        harness.worker.reboot()
        # Its answer arrives after the list.
        harness.view.start_delay_s = 0.28
        starting = asyncio.create_task(harness.start(second))
        await asyncio.sleep(0.1)
        harness.worker.end(second.name, RunOutcome.DONE)
        await starting
        await until(lambda: len(harness.owner.ended) == 2)
        assert harness.owner.ended[1] == (second.name, RunOutcome.DONE)

    run_with_harness(scenario, DelayedAnswers)


def test_late_list_of_an_earlier_boot_does_not_end_runs_of_the_new_one():
    """Guards against a list that the worker made before its restart and that arrives after it.

    Taken as another restart, it ended the runs of the new boot while they were at work.
    """

    async def scenario(harness):
        harness.view.has_proxy = True
        session, view = harness.session, harness.view
        # This call is sent first and reaches the new boot, as it waits for its connection.
        view.connected = asyncio.Event()
        first = asyncio.create_task(session._fetch_runs())
        await asyncio.sleep(0.01)
        waiting, view.connected, view.list_delay_s = view.connected, None, 0.1
        second = asyncio.create_task(session._fetch_runs())
        await asyncio.sleep(0.02)
        view.list_delay_s = 0.0
        harness.worker.crash()
        await asyncio.sleep(0.02)
        harness.worker.reboot()
        attempt = harness.attempt()
        assert await harness.start(attempt) is StartReply.STARTED
        waiting.set()
        await first
        assert attempt.listed_boot_ms == harness.worker.boot_ms
        await second
        await asyncio.sleep(4.0)
        assert harness.owner.ended == []
        assert session.reachable

    run_with_harness(scenario, DelayedAnswers)


def test_run_that_a_former_owner_ordered_ends_although_the_first_list_is_truncated():
    """Guards against a task that never runs again.

    Only the first list could prove that a run of a former owner had never started, also if that
    list was truncated.
    """

    async def scenario():
        harness = SessionHarness()
        try:
            attempt = harness.attempt()
            attempt.phase = AttemptPhase.UNCERTAIN
            for number in range(1, 601):
                harness.worker.ended.append(
                    EndedRun(number, f"{'b' * 16}.0.0.{number}", 1, RunOutcome.DONE, "")
                )
            await asyncio.sleep(5.0)
            assert harness.owner.ended == [(attempt.name, RunOutcome.LOST)]
        finally:
            await harness.background.cancel()

    run_in_virtual_time(scenario())


class MovingWorker(FleetView):
    """Answers calls to the worker's former address as another worker there does.

    `is_replaced`
        Whether another worker answers at any address.
    `delay_s`
        Time for which such an answer is on its way back.
    """

    is_replaced = False
    delay_s = 0.0

    async def hold(self, worker, *arguments):
        await self.check_instance(worker)
        return await super().hold(worker, *arguments)

    async def pace(self, worker, *arguments):
        await self.check_instance(worker)
        return await super().pace(worker, *arguments)

    async def check_instance(self, worker):
        if self.is_replaced or worker.address != "w0":
            await asyncio.sleep(self.delay_s)
            raise InstanceMismatchError(worker.worker)


def test_late_answer_of_another_worker_does_not_end_runs_that_a_newer_list_shows():
    """Guards against runs that are started again while they are at work, as the former user of
    their worker's address answered late."""

    async def scenario(harness):
        attempt = harness.attempt()
        await harness.start(attempt)
        harness.view.is_replaced, harness.view.delay_s = True, 0.1
        late = asyncio.create_task(harness.session.pace(attempt, 100))
        await asyncio.sleep(0.01)
        harness.view.is_replaced = False
        await harness.session._fetch_runs()
        await late
        assert harness.owner.ended == []
        assert harness.session.usable

    run_with_harness(scenario, MovingWorker)


def test_answer_at_a_former_address_does_not_end_runs():
    """Guards against runs that are started again while they are at work, as a call to the former
    address of their worker was under way when its listing changed."""

    async def scenario(harness):
        session, listing = harness.session, harness.session.listing
        attempt = harness.attempt()
        await harness.start(attempt)
        harness.view.delay_s = 0.1
        session.listing = msgspec.structs.replace(listing, address="former")
        late = asyncio.create_task(session.pace(attempt, 100))
        await asyncio.sleep(0.01)
        session.listing = listing
        await late
        assert harness.owner.ended == []
        assert session.usable

    run_with_harness(scenario, MovingWorker)


def test_answer_of_another_worker_ends_no_run_that_was_confirmed_after_the_call():
    """Guards against a run that is started again while it is at work: another worker had the
    address for a moment, and the run started after that, before its answer arrived."""

    async def scenario(harness):
        harness.view.has_proxy = True
        before, after = harness.attempt(0), harness.attempt(1)
        await harness.start(before)
        await asyncio.sleep(3)
        harness.view.is_replaced, harness.view.delay_s = True, 0.1
        late = asyncio.create_task(harness.session.pace(before, 100))
        await asyncio.sleep(0.01)
        harness.worker.crash()
        harness.worker.reboot()
        harness.view.is_replaced = False
        await harness.start(after)
        await late
        await asyncio.sleep(1.0)
        assert harness.owner.ended == [(before.name, RunOutcome.LOST)]
        assert after.name in harness.worker.run_by_task

    run_with_harness(scenario, MovingWorker)


def test_runs_end_once_another_worker_has_their_workers_address():
    """Guards against runs that hold their capacity for good on a worker that is gone, also if the
    answer to their start or stop was lost."""

    async def scenario(harness):
        running, unanswered = harness.attempt(0), harness.attempt(1)
        await harness.start(running)
        await asyncio.sleep(1)
        harness.view.late_share = 1.0
        assert await harness.start(unanswered) is None
        harness.session.stop(unanswered)
        harness.view.late_share = 0.0
        other = harness.fleet.add("w9", CAPACITY)
        harness.worker.crash()
        harness.fleet.worker_by_name["w0"] = other
        await asyncio.sleep(1)
        assert dict(harness.owner.ended) == {
            running.name: RunOutcome.LOST,
            unanswered.name: RunOutcome.LOST,
        }

    run_with_harness(scenario)


class ScriptedWorker(FleetView):
    """Answers the calls of a series by a script; other calls as the simulated worker does."""

    script = None

    async def hold(self, worker, token, last_seen, deadline_ms, wait, series=None):
        if self.script is not None and series is not None:
            return await self.script(last_seen, deadline_ms)
        return await super().hold(worker, token, last_seen, deadline_ms, wait, series)


def unreachable(sent=True):
    return WorkerUnreachableError(Step.RENEW, "w0", "no answer", sent)


def test_ends_are_not_acknowledged_after_a_call_without_a_list():
    """Guards against a new boot that forgets its own ends: it answered a call without a list, on
    the connection on which the next one went, with the end numbers of the boot before."""

    async def scenario(harness):
        acknowledged = []

        async def script(last_seen, deadline_ms):
            acknowledged.append(last_seen)
            # As a late list of the earlier boot does.
            loop = asyncio.get_running_loop()
            loop.call_later(0.1, setattr, harness.session, "consecutive_failures", 0)
            raise unreachable()

        await harness.start(harness.attempt())
        await asyncio.sleep(0.5)
        harness.worker.end(f"{'a' * 16}.0.0.0", RunOutcome.DONE)
        await until(lambda: harness.session._last_recorded == 1)
        harness.view.script = script
        await asyncio.sleep(4.0)
        assert len(acknowledged) > 2
        assert set(acknowledged[1:]) == {0}

    run_with_harness(scenario, ScriptedWorker)


def test_lease_is_not_extended_by_the_old_clock_once_another_boot_has_answered():
    """Guards against a run that counts as lapsed while it is at work: a call with a deadline on the
    clock of the boot before extended the lease after it was taken as given."""

    async def scenario(harness):
        deadlines = []

        async def script(last_seen, deadline_ms):
            deadlines.append(deadline_ms)
            raise unreachable()

        await asyncio.sleep(20)
        harness.session._is_suspect = True
        harness.view.script = script
        await harness.session._hold_once()
        assert deadlines == [None]

    run_with_harness(scenario, ScriptedWorker)


def test_lease_is_not_extended_on_a_connection_to_another_boot_than_the_one_known():
    """Guards against a run that counts as lapsed while it is at work (TWICE): a list of the new
    boot came too late to count, and the next call on its connection had a deadline on the old
    clock."""

    async def scenario(harness):
        deadlines = []
        answered = asyncio.Event()
        new_boot = msgspec.structs.replace(harness.worker.hold_reply(), boot_ms=2_000_000)

        async def script(last_seen, deadline_ms):
            deadlines.append(deadline_ms)
            if len(deadlines) > 1:
                raise unreachable()
            await answered.wait()
            return new_boot

        await asyncio.sleep(20)
        harness.view.script = script
        await until(lambda: deadlines)
        # Requested after the call that waits, and answered by the boot before.
        assert await harness.session._fetch_runs()
        answered.set()
        await until(lambda: len(deadlines) == 2)
        assert deadlines[1] is None

    run_with_harness(scenario, ScriptedWorker)


def test_worker_that_closes_its_connections_is_told_which_ends_are_known():
    """Guards against a list of ends that grows without bound, and calls without a pause."""

    async def scenario(harness):
        calls = []

        async def script(last_seen, deadline_ms):
            calls.append(last_seen)
            if last_seen and not harness.session._series.may_reconnect:
                raise unreachable(sent=False)
            await asyncio.sleep(0.01)
            harness.worker.acknowledge_ends(last_seen)
            if not harness.worker.ended:
                await asyncio.sleep(1.0)
            return harness.worker.hold_reply()

        harness.view.script = script
        await harness.start(harness.attempt())
        harness.worker.end(f"{'a' * 16}.0.0.0", RunOutcome.DONE)
        await asyncio.sleep(5.0)
        assert harness.worker.ended == []
        assert len(calls) < 15

    run_with_harness(scenario, ScriptedWorker)
