"""Workers as the platform's pages describe them, in memory; they note every broken promise."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.fleet import (
    EndedRun,
    HoldReply,
    RunningRun,
    RunOutcome,
    StartOrder,
    StartReply,
    WorkerClient,
    WorkerListing,
    WorkerUnreachableError,
)
from hornbeamramp.fleet.base import FencedError, InstanceMismatchError
from hornbeamramp.ids import JobId
from hornbeamramp.resources import Resources
from hornbeamramp.states import Step
from hornbeamramp.workload import JobSpec, StepSpec

__all__ = ["FleetView", "ModelFleet", "ModelWorker"]

ANSWER_TIME = timedelta(milliseconds=2)
CALL_TIMEOUT = timedelta(milliseconds=300)
HOLD_MAX_MS = 10_000
GANG_TIMEOUT_S = 3.0
STOP_S = 0.1


class ModelRun:
    """A run on a worker. ``work_left`` is in seconds and stands still for an incomplete gang."""

    def __init__(self, order: StartOrder, step: StepSpec, duration: float, now: float) -> None:
        self.order = order
        self.step = step
        self.duration = duration
        self.began = now
        self.is_stopping = False
        self.is_working = not step.gang
        self.timer: asyncio.TimerHandle | None = None


class ModelWorker:
    """One worker. Its clock starts at its birth."""

    def __init__(self, fleet: "ModelFleet", name: str, capacity: Resources) -> None:
        self.fleet = fleet
        self.name = name
        self.capacity = capacity
        self.is_up = True
        self.unreachable_from: set[str] = set()
        self._be_born()

    def _be_born(self) -> None:
        self.born = self.fleet.clock.boot_time()
        self.token = 0
        self.deadline_ms = 0
        self.run_by_task: dict[str, ModelRun] = {}
        self.highest_by_task: dict[str, int] = {}
        self.ended: list[EndedRun] = []
        self.last_number = 0
        self.run_ended = asyncio.Event()
        self.lease_timer: asyncio.TimerHandle | None = None

    @property
    def boot_ms(self) -> int:
        return int(self.born.total_seconds() * 1000) + 1

    @property
    def clock_ms(self) -> int:
        return int((self.fleet.clock.boot_time() - self.born).total_seconds() * 1000)

    def crash(self) -> None:
        """Ends all runs without a trace."""
        self.is_up = False
        runs = list(self.run_by_task.values())
        self.run_by_task.clear()
        for run in runs:
            if run.timer is not None:
                run.timer.cancel()
            if run.step.gang:
                self.fleet.end_gang(run.order, RunOutcome.LOST)

    def reboot(self) -> None:
        self.is_up = True
        self._be_born()

    def fence(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def extend_deadline(self, deadline_ms: int) -> None:
        limited = min(deadline_ms, self.clock_ms + HOLD_MAX_MS)
        self.deadline_ms = max(self.deadline_ms, limited)
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left = (self.deadline_ms - self.clock_ms) / 1000
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(max(left, 0.0) + 0.001, self._check_lease)

    def _check_lease(self) -> None:
        if self.clock_ms >= self.deadline_ms:
            self.fleet.note_lapse(self)
            for task in list(self.run_by_task):
                self.end(task, RunOutcome.LAPSED)

    def start(self, order: StartOrder) -> StartReply:
        if not self.fence(order.token):
            return StartReply.FENCED
        self.extend_deadline(order.deadline_ms)
        if order.deadline_ms <= self.clock_ms:
            return StartReply.PAST_DEADLINE
        present = self.run_by_task.get(order.task)
        if present is not None and present.order.run == order.run:
            return StartReply.STARTED
        if order.run <= self.highest_by_task.get(order.task, 0):
            return StartReply.SUPERSEDED
        self.fleet.judge_start(self, order)
        step = self.fleet.step_of(order.task)
        now = self.fleet.clock.boot_time().total_seconds()
        run = ModelRun(order, step, self.fleet.duration(order.task, step), now)
        self.run_by_task[order.task] = run
        self.fleet.judge_room(self)
        if step.gang:
            run.timer = asyncio.get_running_loop().call_later(
                GANG_TIMEOUT_S, self.end, order.task, RunOutcome.GANG_INCOMPLETE
            )
            self.fleet.check_gang(order)
        else:
            self.work(run)
        return StartReply.STARTED

    def work(self, run: ModelRun) -> None:
        """Begins the run's work, which ends it after its duration."""
        run.is_working = True
        if run.timer is not None:
            run.timer.cancel()
        how = self.fleet.how_ends(self, run.order)
        if run.step.long_running and how is RunOutcome.DONE:
            run.timer = None
            return
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.duration, self.end, run.order.task, how)

    def stop(self, task: str, run_number: int) -> None:
        self.highest_by_task[task] = max(self.highest_by_task.get(task, 0), run_number)
        run = self.run_by_task.get(task)
        if run is None or run.order.run > run_number or run.is_stopping:
            return
        run.is_stopping = True
        if run.timer is not None:
            run.timer.cancel()
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(STOP_S, self.end, task, RunOutcome.STOPPED)

    def end(self, task: str, how: RunOutcome) -> None:
        run = self.run_by_task.pop(task, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        number = run.order.run
        self.highest_by_task[task] = max(self.highest_by_task.get(task, 0), number)
        self.last_number += 1
        checkpoint = f"saved-{task}" if run.step.checkpointing else ""
        self.ended.append(EndedRun(self.last_number, task, number, how, checkpoint))
        self.fleet.note_end(self, run.order, how)
        self.run_ended.set()
        self.run_ended = asyncio.Event()
        if run.step.gang:
            self.fleet.end_gang(run.order, how)

    def hold_reply(self) -> HoldReply:
        running = tuple(
            RunningRun(task, run.order.run, "", self._percent(run))
            for task, run in self.run_by_task.items()
        )
        return HoldReply(self.clock_ms, self.boot_ms, running, tuple(self.ended[:500]))

    def _percent(self, run: ModelRun) -> float:
        if run.step.long_running:
            return 100.0
        elapsed = self.fleet.clock.boot_time().total_seconds() - run.began
        return min(100.0 * elapsed / run.duration, 99.0) if run.is_working else 0.0

    def acknowledge_ends(self, last_seen: int) -> None:
        for end in self.ended:
            if end.number <= last_seen:
                self.fleet.note_forgotten(self, end)
        self.ended = [end for end in self.ended if end.number > last_seen]


class Violation(msgspec.Struct, frozen=True):
    at_s: float
    rule: str
    detail: str


class SeenEnd(msgspec.Struct):
    """An end of a run. It is noted once the scheduler has told the worker to forget it."""

    at_s: float
    worker: str
    boot_ms: int
    task: str
    run: int
    outcome: RunOutcome
    is_noted: bool = False
    has_lapsed: bool = False


class ModelFleet:
    """All workers, the jobs that were submitted, and what was seen of their tasks.

    `fails`
        Tells how a run would end; DONE by default.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.worker_by_name: dict[str, ModelWorker] = {}
        self.spec_by_job: dict[JobId, JobSpec] = {}
        self.violations: list[Violation] = []
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[SeenEnd] = []
        self.done: set[str] = set()
        self.failed_by_task: dict[str, int] = {}
        self.max_attempts = 2
        self.refused: set[JobId] = set()
        self.cancelled_at: dict[JobId, float] = {}
        self.ticket_valid: Callable[[str, str, str], bool] = lambda task, worker, ticket: True
        self.fails: Callable[[str, StartOrder], bool] = lambda worker, order: False
        self.duration_s = 0.5

    def add(self, name: str, capacity: Resources) -> ModelWorker:
        worker = ModelWorker(self, name, capacity)
        self.worker_by_name[name] = worker
        return worker

    def step_of(self, task: str) -> StepSpec:
        job, _, step, _ = task.split(".")
        return self.spec_by_job[JobId(job)].steps[int(step)]

    def duration(self, task: str, step: StepSpec) -> float:
        return step.estimate_ms / 1000 if step.estimate_ms else self.duration_s

    def how_ends(self, worker: ModelWorker, order: StartOrder) -> RunOutcome:
        return RunOutcome.FAILED if self.fails(worker.name, order) else RunOutcome.DONE

    # Gangs

    def _gang(self, order: StartOrder) -> list[tuple[ModelWorker, ModelRun]]:
        step_name = order.task.rpartition(".")[0]
        return [
            (worker, run)
            for worker in self.worker_by_name.values()
            for task, run in worker.run_by_task.items()
            if task.rpartition(".")[0] == step_name and run.order.run == order.run
        ]

    def check_gang(self, order: StartOrder) -> None:
        members = self._gang(order)
        if len(members) == self.step_of(order.task).count:
            for worker, run in members:
                worker.work(run)

    def end_gang(self, order: StartOrder, how: RunOutcome) -> None:
        for worker, run in self._gang(order):
            if how is RunOutcome.DONE:
                worker.end(run.order.task, RunOutcome.DONE)
            elif run.is_working:
                worker.end(run.order.task, RunOutcome.GANG_BROKEN)

    # Judgement

    def _violate(self, rule: str, detail: str) -> None:
        self.violations.append(Violation(self.clock.boot_time().total_seconds(), rule, detail))

    def judge_start(self, worker: ModelWorker, order: StartOrder) -> None:
        now = self.clock.boot_time().total_seconds()
        self.starts.append((now, worker.name, order.task, order.run))
        job_name, occurrence, step_number, _ = order.task.split(".")
        job = JobId(job_name)
        detail = f"{order.task} run {order.run} on {worker.name}"
        if job not in self.spec_by_job or job in self.refused:
            self._violate("REFUSED", detail)
            return
        spec = self.spec_by_job[job]
        if order.payload != spec.payload:
            self._violate("UNASKED", detail)
        if order.checkpoint not in ("", f"saved-{order.task}"):
            self._violate("UNASKED checkpoint", detail)
        for other in self.worker_by_name.values():
            if other.is_up and order.task in other.run_by_task:
                self._violate("TWICE", f"{detail}, at work on {other.name}")
        for earlier in spec.steps[int(step_number)].after:
            for index in range(spec.steps[earlier].count):
                if f"{job}.{occurrence}.{earlier}.{index}" not in self.done:
                    self._violate("ORDER", f"{detail} before step {earlier}")
        if job in self.cancelled_at and now > self.cancelled_at[job] + 3.0:
            self._violate("UNASKED", f"{detail} after it was cancelled")

    def judge_room(self, worker: ModelWorker) -> None:
        used = [0, 0, 0]
        for run in worker.run_by_task.values():
            used[0] += 0 if run.step.fills else run.step.processors_milli
            used[1] += run.step.memory_mib
            used[2] += run.step.accelerators
        capacity = worker.capacity
        limit = (capacity.processors_milli, capacity.memory_mib, capacity.accelerators)
        if any(u > room for u, room in zip(used, limit, strict=True)):
            self._violate("LIMIT", f"{worker.name}: {used} of {limit}")

    def note_end(self, worker: ModelWorker, order: StartOrder, how: RunOutcome) -> None:
        now = self.clock.boot_time().total_seconds()
        self.ends.append(SeenEnd(now, worker.name, worker.boot_ms, order.task, order.run, how))
        step = self.step_of(order.task)
        if how is RunOutcome.DONE:
            self.done.add(order.task)
        elif how is RunOutcome.FAILED and not step.long_running:
            self.failed_by_task[order.task] = self.failed_by_task.get(order.task, 0) + 1
        elif how is RunOutcome.GANG_INCOMPLETE:
            self._violate("GANG", f"{order.task} run {order.run} on {worker.name}")

    def note_forgotten(self, worker: ModelWorker, end: EndedRun) -> None:
        """An end counts as noted, unless the worker's lease has lapsed since."""
        for seen in self.ends:
            is_same = (seen.worker, seen.boot_ms, seen.task, seen.run) == (
                worker.name,
                worker.boot_ms,
                end.task,
                end.run,
            )
            if is_same and not seen.has_lapsed:
                seen.is_noted = True

    def note_lapse(self, worker: ModelWorker) -> None:
        for seen in self.ends:
            if seen.worker == worker.name and not seen.is_noted:
                seen.has_lapsed = True

    def check_repeated_starts(self) -> None:
        """Checks the starts against the ends that were noted then or later."""
        for at, worker, task, run in self.starts:
            noted = [e for e in self.ends if e.is_noted and e.task == task and e.at_s < at]
            if any(e.outcome is RunOutcome.DONE for e in noted):
                self._violate("TWICE", f"{task} run {run} on {worker} at {at}, ended done before")
            failed = sum(e.outcome is RunOutcome.FAILED for e in noted)
            if failed >= self.max_attempts and not self.step_of(task).long_running:
                self._violate("BUDGET", f"{task} run {run} on {worker} at {at}")


class FleetView(WorkerClient):
    """One VM's way to the workers.

    `late_share`
        Share of orders that get no answer and are carried out seconds later.
    """

    def __init__(self, fleet: ModelFleet, vm: str, seed: str = "") -> None:
        self._fleet = fleet
        self._vm = vm
        self._random = random.Random(seed)
        self.late_share = 0.0
        self.is_closed = False
        self.frozen: asyncio.Event | None = None

    async def start(
        self, worker: WorkerListing, order: StartOrder, check: Callable[[], bool]
    ) -> StartReply:
        target = await self._reach(worker)
        if not check():
            raise WorkerUnreachableError(Step.START, worker.worker, "not allowed", sent=False)
        # A VM may freeze right after the check, with the order written but not on its way. Its
        # connection does not outlive the worker's boot.
        born = target.boot_ms
        await self._wait_while_frozen()
        if not target.is_up or target.boot_ms != born:
            await self._no_answer(worker)
        if not self._fleet.ticket_valid(order.task, worker.worker, order.ticket):
            return StartReply.TICKET_INVALID
        if self._random.random() < self.late_share:
            self._later(target, lambda: target.start(order))
            await self._no_answer(worker)
        return target.start(order)

    async def stop(self, worker: WorkerListing, task: str, run: int, token: int) -> None:
        target = await self._reach(worker)
        if self._random.random() < self.late_share:
            self._later(target, lambda: target.fence(token) and target.stop(task, run))
            await self._no_answer(worker)
        if not target.fence(token):
            raise FencedError
        target.stop(task, run)

    async def hold(
        self,
        worker: WorkerListing,
        token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait: timedelta,
    ) -> HoldReply:
        target = await self._reach(worker)
        if not target.fence(token):
            raise FencedError
        if deadline_ms is not None:
            target.extend_deadline(deadline_ms)
        target.acknowledge_ends(last_seen)
        born = target.boot_ms
        if wait and not target.ended:
            try:
                async with asyncio.timeout(wait.total_seconds()):
                    await target.run_ended.wait()
            except TimeoutError:
                pass
        reply = target.hold_reply()
        if await self._reach(worker) is not target or target.boot_ms != born:
            await self._no_answer(worker)
        return reply

    async def pace(
        self, worker: WorkerListing, task: str, run: int, percent: int, token: int
    ) -> None:
        await self._reach(worker)

    def _later(self, target: ModelWorker, order: Callable[[], object]) -> None:
        born = target.boot_ms

        def carry_out() -> None:
            if target.is_up and target.boot_ms == born:
                order()

        asyncio.get_running_loop().call_later(self._random.uniform(2.0, 12.0), carry_out)

    async def _reach(self, worker: WorkerListing) -> ModelWorker:
        if self.is_closed:
            await asyncio.Event().wait()
        await self._wait_while_frozen()
        await self._fleet.clock.sleep(ANSWER_TIME)
        target = self._fleet.worker_by_name.get(worker.address)
        if target is None or not target.is_up or self._vm in target.unreachable_from:
            await self._no_answer(worker)
        assert target is not None
        if target.name != worker.worker:
            raise InstanceMismatchError(worker.worker)
        return target

    async def _wait_while_frozen(self) -> None:
        if self.frozen is not None:
            await self.frozen.wait()

    async def _no_answer(self, worker: WorkerListing) -> None:
        await self._fleet.clock.sleep(CALL_TIMEOUT)
        raise WorkerUnreachableError(Step.RUN, worker.worker, "no answer")
