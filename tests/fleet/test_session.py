"""One worker's session: its ledger, its lease and what it does when calls fail."""

import asyncio
from datetime import timedelta

import logbook

from hornbeamramp.background import BackgroundTasks
from hornbeamramp.fleet import Attempt, RunOutcome, StartOrder, WorkerListing, WorkerSession
from hornbeamramp.ids import JobId
from hornbeamramp.resources import Resources
from hornbeamramp.workload import StepSpec
from tests.model.cell import job
from tests.model.fleet import FleetView, ModelFleet
from tests.model.virtual_time import LoopClock, run_in_virtual_time

CAPACITY = Resources(8000, 8000, 4, 0, 0)
SIZE = Resources(1000, 100, 0, 0, 0)


class Owner:
    """Notes what the session reports."""

    def __init__(self):
        self.token = 5
        self.extends = True
        self.ended = []
        self.is_fenced = False

    def may_order(self):
        return True

    def may_extend(self):
        return self.extends

    def on_running(self, attempt):
        pass

    def on_ended(self, attempt, how, checkpoint):
        self.ended.append((attempt.name, how))

    def on_capacity_change(self, session):
        pass

    def on_fenced(self, session):
        self.is_fenced = True

    async def recorded(self):
        await asyncio.sleep(0.01)


class Bench:
    """A session with one model worker."""

    def __init__(self):
        self.clock = LoopClock()
        self.fleet = ModelFleet(self.clock)
        self.worker = self.fleet.add("w0", CAPACITY)
        self.view = FleetView(self.fleet, "vm0")
        self.owner = Owner()
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
        spec = job(StepSpec(9, 1000, 100, estimate_ms=60_000))
        self.fleet.spec_by_job[JobId("a" * 16)] = spec

    def attempt(self, index=0, run=1):
        attempt = Attempt(None, f"{'a' * 16}.0.0.{index}", run, SIZE, self.session)
        self.session.reserve(attempt)
        return attempt

    async def start(self, attempt):
        order = StartOrder(attempt.name, attempt.run, "payload", self.session.deadline_ms(), 5)
        return await self.session.start(attempt, order)


def on_bench(scenario):
    async def main():
        bench = Bench()
        try:
            await asyncio.sleep(0.1)
            await scenario(bench)
        finally:
            await bench.background.cancel()

    run_in_virtual_time(main())


def test_room_is_counted_from_the_reservation_to_the_listed_end():
    async def scenario(bench):
        attempt = bench.attempt()
        assert bench.session.free() == (7000, 7900, 4)
        await bench.start(attempt)
        bench.session.stop(attempt)
        assert bench.session.free() == (7000, 7900, 4)
        await asyncio.sleep(0.5)
        assert bench.session.free() == (8000, 8000, 4)
        assert bench.owner.ended == [(attempt.name, RunOutcome.STOPPED)]

    on_bench(scenario)


def test_leases_are_extended_while_the_worker_answers():
    async def scenario(bench):
        await bench.start(bench.attempt())
        await asyncio.sleep(30)
        assert len(bench.worker.run_by_task) == 1

    on_bench(scenario)


def test_runs_on_a_silent_worker_end_after_their_lease_and_not_before():
    """Each call without an answer extended the lease again, so the runs never ended."""

    async def scenario(bench):
        await bench.start(bench.attempt())
        await asyncio.sleep(1.0)
        bench.worker.cut_from.add("vm0")
        await asyncio.sleep(4.0)
        assert bench.owner.ended == []
        await asyncio.sleep(6.0)
        assert [how for _, how in bench.owner.ended] == [RunOutcome.LAPSED]
        assert bench.worker.run_by_task == {}

    on_bench(scenario)


def test_run_of_no_attempt_is_stopped_and_keeps_the_worker_unused_until_then():
    async def scenario(bench):
        order = StartOrder(f"{'a' * 16}.0.0.7", 1, "payload", 60_000, 5)
        bench.worker.start(order)
        await asyncio.sleep(2.2)
        assert bench.worker.run_by_task == {}
        await asyncio.sleep(2.2)
        assert bench.session.usable

    on_bench(scenario)


def test_stop_is_sent_after_a_time_in_which_nothing_might_be_sent():
    """The stop was given up when the claim was in doubt, and the run held its room for ever."""

    async def scenario(bench):
        attempt = bench.attempt()
        await bench.start(attempt)
        bench.owner.extends = False
        bench.session.stop(attempt)
        await asyncio.sleep(1.0)
        bench.owner.extends = True
        await asyncio.sleep(3.0)
        assert bench.owner.ended == [(attempt.name, RunOutcome.STOPPED)]

    on_bench(scenario)


def test_worker_that_has_seen_a_higher_token_fences_the_owner():
    async def scenario(bench):
        bench.worker.fence(9)
        await asyncio.sleep(4.0)
        assert bench.owner.is_fenced

    on_bench(scenario)


def test_worker_reborn_with_a_start_on_its_way_is_not_used_before_the_start_is_settled():
    async def scenario(bench):
        attempt = bench.attempt()
        bench.view.late_share = 1.0
        assert await bench.start(attempt) is None
        bench.worker.crash()
        bench.worker.rebirth()
        await asyncio.sleep(4.0)
        assert bench.owner.ended == [(attempt.name, RunOutcome.LOST)]

    on_bench(scenario)


def test_run_that_the_new_boot_started_and_ended_is_done_and_not_lost():
    """The list that showed the rebirth also held the end, and the task was started again."""

    async def scenario(bench):
        spec = job(StepSpec(1, 1000, 100, estimate_ms=300))
        bench.fleet.spec_by_job[JobId("a" * 16)] = spec
        bench.worker.crash()
        bench.worker.rebirth()
        attempt = bench.attempt()
        await bench.start(attempt)
        await asyncio.sleep(4.0)
        assert bench.owner.ended == [(attempt.name, RunOutcome.DONE)]

    on_bench(scenario)


def test_start_without_answer_is_settled_within_half_a_second():
    """Orders carried out late: each waited for the pending list, up to two seconds."""

    async def scenario(bench):
        attempt = bench.attempt()
        await asyncio.sleep(0.5)
        bench.view.late_share = 1.0
        assert await bench.start(attempt) is None
        bench.view.late_share = 0.0
        bench.session.stop(attempt)
        await asyncio.sleep(0.1)
        assert bench.owner.ended == [(attempt.name, RunOutcome.LOST)]
        await asyncio.sleep(13.0)
        assert bench.fleet.starts == []

    on_bench(scenario)


def test_reborn_worker_is_not_told_to_forget_the_ends_of_its_new_boot():
    """The numbers of the old boot were sent to the new one, which dropped an unseen end."""

    async def scenario(bench):
        spec = job(StepSpec(9, 1000, 100, estimate_ms=300))
        bench.fleet.spec_by_job[JobId("a" * 16)] = spec
        for index in range(4):
            await bench.start(bench.attempt(index))
        await asyncio.sleep(1.0)
        bench.worker.crash()
        await asyncio.sleep(0.5)
        bench.worker.rebirth()
        attempt = bench.attempt(5)
        await bench.start(attempt)
        await asyncio.sleep(4.0)
        assert bench.owner.ended[-1] == (attempt.name, RunOutcome.DONE)

    on_bench(scenario)


def test_run_on_a_reborn_worker_is_not_taken_as_lapsed_with_the_next_failed_call():
    """The rebirth set the longest lease to none, and the task was started a second time."""

    async def scenario(bench):
        bench.worker.crash()
        bench.worker.rebirth()
        attempt = bench.attempt()
        await bench.start(attempt)
        # The list after a stop shows the rebirth before the pending call has failed.
        await bench.session._fetch_runs()
        await asyncio.sleep(4.0)
        assert bench.owner.ended == []

    on_bench(scenario)


def slow_records(bench, seconds):
    async def recorded():
        await asyncio.sleep(seconds)

    bench.owner.recorded = recorded


async def run_many(bench, count, pause=0.0):
    """Runs many short tasks one after the other."""
    bench.fleet.spec_by_job[JobId("a" * 16)] = job(StepSpec(count, 1000, 100, estimate_ms=20))
    for index in range(count):
        await bench.start(bench.attempt(index))
        await asyncio.sleep(pause)


def test_ends_are_forgotten_although_recording_them_takes_long():
    """With commits of 400 ms an owner never told a worker to forget, and its list grew."""

    async def scenario(bench):
        slow_records(bench, 0.4)
        await run_many(bench, 300, pause=0.02)
        # The ends of a second, with the commit and the list that precede their forgetting.
        assert len(bench.worker.ended) < 50

    on_bench(scenario)


def test_run_whose_end_is_beyond_a_cut_list_is_not_lost():
    """Grown deployment: beyond 500 ends a list lacked new ones, and the tasks were run again."""

    async def scenario(bench):
        slow_records(bench, 1000.0)
        await run_many(bench, 600)
        await asyncio.sleep(5.0)
        assert all(how is RunOutcome.DONE for _, how in bench.owner.ended)

    on_bench(scenario)
