"""In-memory workers that follow the platform's documentation and record every violation."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from typing import NoReturn, TypeVar

import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.fleet import (
    CallSeries,
    EndedRun,
    HoldReply,
    RunningRun,
    RunOutcome,
    StartAnswer,
    StartOrder,
    StartReply,
    WorkerClient,
    WorkerListing,
    WorkerUnreachableError,
)
from hornbeamramp.fleet.base import FencedError, InstanceMismatchError
from hornbeamramp.ids import AccountId, JobId
from hornbeamramp.resources import Resources
from hornbeamramp.states import Step
from hornbeamramp.workload import AccountQuota, JobSpec, StepSpec

__all__ = ["FleetView", "ModelFleet", "ModelWorker"]

CALL_LATENCY = timedelta(milliseconds=2)
CALL_TIMEOUT = timedelta(milliseconds=300)
HOLD_MAX_MS = 10_000
GANG_TIMEOUT_S = 3.0
STOP_DELAY_S = 0.1
# Time after a cancellation in which its tasks may still start, time without disturbance after which
# a VM counts as in touch, and time that a stop may take.
CANCEL_LIMIT_S = 3.0
CONTACT_S = 3.0
STOP_LIMIT_S = 0.2
# An account may have this share of its quota, and one task, beyond it.
QUOTA_TOLERANCE = 0.1


class ModelRun:
    """A run on a worker. A member of a gang works only once all members have started.

    `duration`, `now`
        Length of the run's work and time of its start, in seconds.
    """

    def __init__(self, order: StartOrder, step: StepSpec, duration: float, now: float) -> None:
        self.order = order
        self.step = step
        self.duration = duration
        self.started_s = now
        self.is_stopping = False
        self.is_working = not step.gang
        self.pace_percent = 100
        self.timer: asyncio.TimerHandle | None = None


class ModelWorker:
    """One worker. Its clock starts at zero at each boot.

    `address`
        Its address in the list of workers.
    `closes_connections`
        Whether a crash fails the hold calls that wait here, instead of leaving them unanswered.
    `refuses_pace`
        Whether orders on pace are refused and not carried out.
    `pace_orders`
        Times in s, tasks and percentages of the orders on pace that arrived.
    """

    def __init__(self, fleet: "ModelFleet", name: str, capacity: Resources) -> None:
        self.fleet = fleet
        self.name = name
        self.capacity = capacity
        self.address = name
        self.closes_connections = False
        self.refuses_pace = False
        self.pace_orders: list[tuple[float, str, int]] = []
        self.is_up = True
        self.unreachable_from: set[str] = set()
        self._boot()

    def _boot(self) -> None:
        self.booted_at = self.fleet.clock.boot_time()
        self.token = 0
        self.deadline_ms = 0
        self.run_by_task: dict[str, ModelRun] = {}
        self.highest_run_by_task: dict[str, int] = {}
        self.ended: list[EndedRun] = []
        self.last_end_number = 0
        self.run_ended = asyncio.Event()
        self.lease_timer: asyncio.TimerHandle | None = None

    @property
    def boot_ms(self) -> int:
        return int(self.booted_at.total_seconds() * 1000) + 1

    @property
    def clock_ms(self) -> int:
        return int((self.fleet.clock.boot_time() - self.booted_at).total_seconds() * 1000)

    def crash(self) -> None:
        """Ends all runs without recording their ends.

        Members of their gangs that work on other workers end as ``GANG_BROKEN``.
        """
        self.is_up = False
        if self.closes_connections:
            self.run_ended.set()
        runs = list(self.run_by_task.values())
        self.run_by_task.clear()
        for run in runs:
            if run.timer is not None:
                run.timer.cancel()
            if run.step.gang:
                self.fleet.end_gang(run.order, RunOutcome.LOST)

    def reboot(self) -> None:
        self.is_up = True
        self._boot()

    def fence(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def extend_deadline(self, deadline_ms: int) -> None:
        capped_ms = min(deadline_ms, self.clock_ms + HOLD_MAX_MS)
        self.deadline_ms = max(self.deadline_ms, capped_ms)
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        remaining_s = (self.deadline_ms - self.clock_ms) / 1000
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(max(remaining_s, 0.0) + 0.001, self._end_runs_if_lapsed)

    def _end_runs_if_lapsed(self) -> None:
        if self.clock_ms >= self.deadline_ms:
            self.fleet.record_lapse(self)
            for task in list(self.run_by_task):
                self.end(task, RunOutcome.LAPSED)

    def start(
        self, order: StartOrder, is_held_up: bool = False, is_late: bool = False
    ) -> StartReply:
        """Starts a run.

        `is_held_up`
            Its VM could not send the order when it was given.
        `is_late`
            The worker carries it out seconds after it arrived.
        """
        if not self.fence(order.token):
            return StartReply.FENCED
        self.extend_deadline(order.deadline_ms)
        if order.deadline_ms <= self.clock_ms:
            return StartReply.PAST_DEADLINE
        existing = self.run_by_task.get(order.task)
        if existing is not None and existing.order.run == order.run:
            return StartReply.STARTED
        if order.run <= self.highest_run_by_task.get(order.task, 0):
            return StartReply.SUPERSEDED
        self.fleet.check_start(self, order, is_held_up, is_late)
        step = self.fleet.step_of(order.task)
        now = self.fleet.clock.boot_time().total_seconds()
        run = ModelRun(order, step, self.fleet.duration(order.task, step), now)
        self.run_by_task[order.task] = run
        self.fleet.check_capacity(self)
        self.fleet.check_quota(order)
        if step.gang:
            run.timer = asyncio.get_running_loop().call_later(
                GANG_TIMEOUT_S, self.end, order.task, RunOutcome.GANG_INCOMPLETE
            )
            self.fleet.start_gang_if_complete(order)
        else:
            self.start_work(run)
        return StartReply.STARTED

    def start_work(self, run: ModelRun) -> None:
        """Starts a run's work. A long-running run that does not fail continues until stopped."""
        run.is_working = True
        if run.timer is not None:
            run.timer.cancel()
        outcome = self.fleet.planned_outcome(self, run.order)
        if run.step.long_running and outcome is RunOutcome.DONE:
            run.timer = None
            return
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.duration, self.end, run.order.task, outcome)

    def stop(self, task: str, run_number: int) -> None:
        self.highest_run_by_task[task] = max(self.highest_run_by_task.get(task, 0), run_number)
        run = self.run_by_task.get(task)
        if run is None or run.order.run > run_number or run.is_stopping:
            return
        run.is_stopping = True
        if run.timer is not None:
            run.timer.cancel()
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(STOP_DELAY_S, self.end, task, RunOutcome.STOPPED)

    def pace(self, task: str, run_number: int, percent: int) -> bool:
        """Limits a run to a share of its speed. Returns whether that was done.

        Only the pace is recorded; a run takes as long as at full speed.
        """
        self.pace_orders.append((self.fleet.clock.boot_time().total_seconds(), task, percent))
        run = self.run_by_task.get(task)
        if self.refuses_pace or run is None or run.order.run != run_number:
            return False
        run.pace_percent = percent
        return True

    def end(self, task: str, outcome: RunOutcome) -> None:
        run = self.run_by_task.pop(task, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        number = run.order.run
        self.highest_run_by_task[task] = max(self.highest_run_by_task.get(task, 0), number)
        self.last_end_number += 1
        checkpoint = f"saved-{task}" if run.step.checkpointing else ""
        self.ended.append(EndedRun(self.last_end_number, task, number, outcome, checkpoint))
        self.fleet.record_end(self, run.order, outcome)
        self.run_ended.set()
        self.run_ended = asyncio.Event()
        if run.step.gang:
            self.fleet.end_gang(run.order, outcome)

    def hold_reply(self) -> HoldReply:
        running = tuple(
            RunningRun(task, run.order.run, "", self._percent(run), self.fleet.load(self, run))
            for task, run in self.run_by_task.items()
        )
        return HoldReply(self.clock_ms, self.boot_ms, running, tuple(self.ended[:500]))

    def _percent(self, run: ModelRun) -> float:
        if run.step.long_running:
            return 100.0
        elapsed = self.fleet.clock.boot_time().total_seconds() - run.started_s
        return min(100.0 * elapsed / run.duration, 99.0) if run.is_working else 0.0

    def acknowledge_ends(self, last_seen: int) -> None:
        for end in self.ended:
            if end.number <= last_seen:
                self.fleet.record_acknowledged_end(self, end)
        self.ended = [end for end in self.ended if end.number > last_seen]


class Violation(msgspec.Struct, frozen=True):
    at_s: float
    rule: str
    detail: str


class ObservedEnd(msgspec.Struct):
    """An end of a run, acknowledged once the scheduler has told the worker to discard it."""

    at_s: float
    worker: str
    boot_ms: int
    task: str
    run: int
    outcome: RunOutcome
    is_acknowledged: bool = False
    has_lease_lapsed: bool = False


class ModelFleet:
    """All workers, the jobs that were submitted, and the observed starts and ends of their tasks.

    `name_by_address`
        Names of the workers that answer at addresses other than their own name, which is the
        address of each worker at first. An empty name stands for none.
    `fails`
        Returns whether a run of an order on a worker fails; by default none does.
    `load`
        Returns the load of a run on a worker, as workers list it; by default it is 0.
    `ticket_valid`
        Returns whether a worker accepts a ticket for a task; by default it accepts all.
    `quota_by_account`
        The highest quotas that may be in force.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.worker_by_name: dict[str, ModelWorker] = {}
        self.name_by_address: dict[str, str] = {}
        self.spec_by_job: dict[JobId, JobSpec] = {}
        self.account_by_job: dict[JobId, AccountId] = {}
        self.quota_by_account: dict[AccountId, AccountQuota] = {}
        self.violations: list[Violation] = []
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[ObservedEnd] = []
        self.done: set[str] = set()
        self.failed_by_task: dict[str, int] = {}
        self.max_attempts = 2
        self.refused: set[JobId] = set()
        self.cancelled_at: dict[JobId, float] = {}
        self.ticket_valid: Callable[[str, str, str], bool] = lambda task, worker, ticket: True
        self.fails: Callable[[str, StartOrder], bool] = lambda worker, order: False
        self.load: Callable[[ModelWorker, ModelRun], float] = lambda worker, run: 0.0
        self.duration_s = 0.5

    def add(self, name: str, capacity: Resources) -> ModelWorker:
        worker = ModelWorker(self, name, capacity)
        self.worker_by_name[name] = worker
        return worker

    def worker_at(self, address: str) -> ModelWorker | None:
        return self.worker_by_name.get(self.name_by_address.get(address, address))

    def step_of(self, task: str) -> StepSpec:
        job, _, step, _ = task.split(".")
        return self.spec_by_job[JobId(job)].steps[int(step)]

    def duration(self, task: str, step: StepSpec) -> float:
        return step.estimate_ms / 1000 if step.estimate_ms else self.duration_s

    def planned_outcome(self, worker: ModelWorker, order: StartOrder) -> RunOutcome:
        return RunOutcome.FAILED if self.fails(worker.name, order) else RunOutcome.DONE

    # Gangs

    def _gang_members(self, order: StartOrder) -> list[tuple[ModelWorker, ModelRun]]:
        step_name = order.task.rpartition(".")[0]
        return [
            (worker, run)
            for worker in self.worker_by_name.values()
            for task, run in worker.run_by_task.items()
            if task.rpartition(".")[0] == step_name and run.order.run == order.run
        ]

    def start_gang_if_complete(self, order: StartOrder) -> None:
        members = self._gang_members(order)
        if len(members) == self.step_of(order.task).count:
            for worker, run in members:
                worker.start_work(run)

    def end_gang(self, order: StartOrder, outcome: RunOutcome) -> None:
        for worker, run in self._gang_members(order):
            if outcome is RunOutcome.DONE:
                worker.end(run.order.task, RunOutcome.DONE)
            elif run.is_working:
                worker.end(run.order.task, RunOutcome.GANG_BROKEN)

    # Checks of the guarantees

    def _record_violation(self, rule: str, detail: str) -> None:
        self.violations.append(Violation(self.clock.boot_time().total_seconds(), rule, detail))

    def check_start(
        self, worker: ModelWorker, order: StartOrder, is_held_up: bool, is_late: bool
    ) -> None:
        now = self.clock.boot_time().total_seconds()
        self.starts.append((now, worker.name, order.task, order.run))
        job_name, occurrence, step_number, _ = order.task.split(".")
        job = JobId(job_name)
        detail = f"{order.task} run {order.run} on {worker.name}"
        if job not in self.spec_by_job or job in self.refused:
            self._record_violation("REFUSED", detail)
            return
        spec = self.spec_by_job[job]
        if order.payload != spec.payload:
            self._record_violation("UNASKED", detail)
        if order.checkpoint not in ("", f"saved-{order.task}"):
            self._record_violation("UNASKED checkpoint", detail)
        for other in self.worker_by_name.values():
            if other.is_up and order.task in other.run_by_task:
                self._record_violation("TWICE", f"{detail}, at work on {other.name}")
        for earlier in spec.steps[int(step_number)].after:
            for index in range(spec.steps[earlier].count):
                if f"{job}.{occurrence}.{earlier}.{index}" not in self.done:
                    self._record_violation("ORDER", f"{detail} before step {earlier}")
        if job in self.cancelled_at and now > self.cancelled_at[job] + CANCEL_LIMIT_S:
            # A start that was held up counts only from the time at which its sender is in touch,
            # one that the worker carried out late from the time at which a stop can reach it.
            if is_held_up or is_late:
                limit_s = CONTACT_S + STOP_LIMIT_S
                loop = asyncio.get_running_loop()
                loop.call_later(limit_s, self._check_stopped, worker, order, detail, is_late)
            else:
                self._record_violation("UNASKED", f"{detail} after it was cancelled")

    def _check_stopped(
        self, worker: ModelWorker, order: StartOrder, detail: str, is_late: bool
    ) -> None:
        run = worker.run_by_task.get(order.task)
        if is_late and worker.unreachable_from and run is not None:
            limit_s = CONTACT_S + STOP_LIMIT_S
            loop = asyncio.get_running_loop()
            loop.call_later(limit_s, self._check_stopped, worker, order, detail, is_late)
            return
        if run is not None and run.order.run == order.run:
            self._record_violation("UNASKED", f"{detail} after it was cancelled, still at work")

    def check_capacity(self, worker: ModelWorker) -> None:
        used = [0, 0, 0]
        for run in worker.run_by_task.values():
            used[0] += 0 if run.step.fills else run.step.processors_milli
            used[1] += run.step.memory_mib
            used[2] += run.step.accelerators
        capacity = worker.capacity
        limit = (capacity.processors_milli, capacity.memory_mib, capacity.accelerators)
        if any(amount > maximum for amount, maximum in zip(used, limit, strict=True)):
            self._record_violation("LIMIT", f"{worker.name}: {used} of {limit}")

    def used_by(self, account: AccountId) -> tuple[int, int, int]:
        """Returns what the runs of an account use on all workers, also those being stopped."""
        used = [0, 0, 0]
        for worker in self.worker_by_name.values():
            for task, run in worker.run_by_task.items():
                if self.account_by_job.get(JobId(task.partition(".")[0])) == account:
                    used[0] += 0 if run.step.fills else run.step.processors_milli
                    used[1] += run.step.memory_mib
                    used[2] += run.step.accelerators
        return (used[0], used[1], used[2])

    def check_quota(self, order: StartOrder) -> None:
        account = self.account_by_job.get(JobId(order.task.partition(".")[0]))
        if account is None or account not in self.quota_by_account:
            return
        quota, step = self.quota_by_account[account], self.step_of(order.task)
        limits = (quota.processors_milli, quota.memory_mib, quota.accelerators)
        size = (step.processors_milli, step.memory_mib, step.accelerators)
        used = self.used_by(account)
        if any(
            limit and amount > limit * (1 + QUOTA_TOLERANCE) + task
            for amount, limit, task in zip(used, limits, size, strict=True)
        ):
            self._record_violation("QUOTA", f"{account}: {used} of {limits}, start of {order.task}")

    def record_end(self, worker: ModelWorker, order: StartOrder, outcome: RunOutcome) -> None:
        now = self.clock.boot_time().total_seconds()
        self.ends.append(
            ObservedEnd(now, worker.name, worker.boot_ms, order.task, order.run, outcome)
        )
        step = self.step_of(order.task)
        if outcome is RunOutcome.DONE:
            self.done.add(order.task)
        elif outcome is RunOutcome.FAILED and not step.long_running:
            self.failed_by_task[order.task] = self.failed_by_task.get(order.task, 0) + 1
        elif outcome is RunOutcome.GANG_INCOMPLETE:
            self._record_violation("GANG", f"{order.task} run {order.run} on {worker.name}")

    def record_acknowledged_end(self, worker: ModelWorker, end: EndedRun) -> None:
        """Marks an end as acknowledged, unless the worker's lease has lapsed since the end."""
        for observed in self.ends:
            is_same = (observed.worker, observed.boot_ms, observed.task, observed.run) == (
                worker.name,
                worker.boot_ms,
                end.task,
                end.run,
            )
            if is_same and not observed.has_lease_lapsed:
                observed.is_acknowledged = True

    def record_lapse(self, worker: ModelWorker) -> None:
        for observed in self.ends:
            if observed.worker == worker.name and not observed.is_acknowledged:
                observed.has_lease_lapsed = True

    def idle_steps(self, job_ids: Iterable[JobId]) -> set[tuple[JobId, int]]:
        """Returns the steps of these jobs that could run and don't: their turn has come, and of
        their tasks that are not done none runs. A run of a task that is done doesn't count.
        """
        running = {task for worker in self.worker_by_name.values() for task in worker.run_by_task}
        idle = set()
        for job_id in job_ids:
            steps = self.spec_by_job[job_id].steps
            names = [
                [f"{job_id}.0.{number}.{index}" for index in range(step.count)]
                for number, step in enumerate(steps)
            ]
            is_done = [
                (any if step.gang else all)(name in self.done for name in names[number])
                for number, step in enumerate(steps)
            ]
            for number, step in enumerate(steps):
                is_open = not is_done[number] and all(is_done[earlier] for earlier in step.after)
                if is_open and not any(n in running and n not in self.done for n in names[number]):
                    idle.add((job_id, number))
        return idle

    def share_in_use(self) -> float:
        """Returns the largest share of any resource that is in use on the workers that are up."""
        up = [worker for worker in self.worker_by_name.values() if worker.is_up]
        runs = [run.step for worker in up for run in worker.run_by_task.values()]
        pairs = (
            (sum(s.processors_milli for s in runs), sum(w.capacity.processors_milli for w in up)),
            (sum(s.memory_mib for s in runs), sum(w.capacity.memory_mib for w in up)),
            (sum(s.accelerators for s in runs), sum(w.capacity.accelerators for w in up)),
        )
        return max(used / max(total, 1) for used, total in pairs)

    def check_repeated_starts(self) -> None:
        """Checks all starts against earlier ends, acknowledged before or after the start."""
        for start_s, worker, task, run in self.starts:
            acknowledged = [
                end
                for end in self.ends
                if end.is_acknowledged and end.task == task and end.at_s < start_s
            ]
            if any(end.outcome is RunOutcome.DONE for end in acknowledged):
                self._record_violation(
                    "TWICE", f"{task} run {run} on {worker} at {start_s}, ended done before"
                )
            failed = sum(end.outcome is RunOutcome.FAILED for end in acknowledged)
            if failed >= self.max_attempts and not self.step_of(task).long_running:
                self._record_violation("BUDGET", f"{task} run {run} on {worker} at {start_s}")


T = TypeVar("T")


class _Call:
    """A call on a connection to one boot of a worker.

    `limit_s`
        Loop time at which the caller gives up waiting for the answer.
    `connected_at`
        Boot time by which the connection was open.
    """

    def __init__(
        self,
        worker: WorkerListing,
        target: ModelWorker,
        limit_s: float,
        connected_at: timedelta,
    ) -> None:
        self.worker = worker
        self.target = target
        self.limit_s = limit_s
        self.connected_at = connected_at
        self._boot_ms = target.boot_ms

    @property
    def is_connected(self) -> bool:
        return self.target.is_up and self.target.boot_ms == self._boot_ms


class FleetView(WorkerClient):
    """One VM's client of the workers.

    `has_proxy`
        Connections lead to a proxy, so they outlive the boots of a worker, and an order may reach a
        boot that its sender doesn't know.
    `late_share`
        Share of orders that get no answer and are executed seconds later.
    `max_order_delay_s`, `max_answer_delay_s`
        Longest delay of a message to a worker and of an answer. Each call draws its own, so calls
        and answers overtake one another. With 0 there is no delay.
    `frozen`
        While this event is not set, calls block; ``None`` if the VM is not frozen.
    """

    def __init__(self, fleet: ModelFleet, vm: str, seed: str = "") -> None:
        self._fleet = fleet
        self._vm = vm
        self._random = random.Random(seed)
        self.has_proxy = False
        self.late_share = 0.0
        self.max_order_delay_s = 0.0
        self.max_answer_delay_s = 0.0
        self._call_by_series: dict[CallSeries, _Call] = {}
        # Calls on the open connections that calls of no series share.
        self._kept_calls_by_address: dict[str, list[_Call]] = {}
        self.is_closed = False
        self.frozen: asyncio.Event | None = None

    async def start(
        self,
        worker: WorkerListing,
        order: StartOrder,
        check: Callable[[], bool],
        check_connection: Callable[[timedelta], Awaitable[bool]],
    ) -> StartAnswer:
        call = await self._reach_for_order(worker)
        target = call.target
        connected_at = timedelta.min if self.has_proxy else call.connected_at
        if not await check_connection(connected_at) or not check():
            raise WorkerUnreachableError(Step.START, worker.worker, "not allowed", sent=False)
        # A VM may freeze right after the check, with the order written but not yet sent. A reboot
        # of the worker closes the connection, so the new boot never receives the order.
        is_held_up = self.frozen is not None
        await self._wait_while_frozen()
        if not call.is_connected:
            await self._time_out(worker)

        def has_valid_ticket() -> bool:
            return self._fleet.ticket_valid(order.task, worker.worker, order.ticket)

        def execute() -> StartAnswer:
            if not has_valid_ticket():
                return StartAnswer(StartReply.TICKET_INVALID, target.clock_ms)
            reply = target.start(order, is_held_up)
            return StartAnswer(reply, target.clock_ms)

        if has_valid_ticket() and self._random.random() < self.late_share:
            self._run_delayed(call, lambda: target.start(order, is_late=True))
            await self._time_out(worker)
        answer = await self._send(call, execute)
        await self._receive(call)
        self._keep(call)
        return answer

    async def stop(self, worker: WorkerListing, task: str, run: int, token: int) -> None:
        call = await self._reach_for_order(worker)
        target = call.target

        def execute() -> bool:
            is_allowed = target.fence(token)
            if is_allowed:
                target.stop(task, run)
            return is_allowed

        if self._random.random() < self.late_share:
            self._run_delayed(call, execute)
            await self._time_out(worker)
        is_allowed = await self._send(call, execute)
        await self._receive(call)
        self._keep(call)
        if not is_allowed:
            raise FencedError

    async def hold(
        self,
        worker: WorkerListing,
        token: int,
        last_seen: int,
        deadline_ms: int | None,
        wait: timedelta,
        series: CallSeries | None = None,
    ) -> HoldReply:
        before = None if series is None else self._call_by_series.pop(series, None)
        is_of_one_boot = last_seen > 0 or deadline_ms is not None
        if is_of_one_boot and series is not None and not series.may_reconnect:
            call = await self._reach_again(worker, before, wait)
        elif series is None:
            call = await self._reach_for_order(worker, wait)
        else:
            call = await self._reach(worker, wait)
        target = call.target
        sent_at = self._fleet.clock.boot_time()

        def execute() -> bool:
            is_allowed = target.fence(token)
            if is_allowed:
                if deadline_ms is not None:
                    target.extend_deadline(deadline_ms)
                target.acknowledge_ends(last_seen)
            return is_allowed

        if not await self._send(call, execute):
            await self._receive(call)
            raise FencedError
        if wait and not target.ended:
            try:
                async with asyncio.timeout(wait.total_seconds()):
                    await target.run_ended.wait()
            except TimeoutError:
                pass
        if not call.is_connected and target.closes_connections:
            await self._receive(call)
            raise WorkerUnreachableError(Step.RENEW, worker.worker, "connection closed")
        reply = target.hold_reply()
        if self.max_answer_delay_s:
            if not call.is_connected:
                await self._time_out(worker)
            await self._receive(call)
        elif (await self._reach(worker)).target is not target or not call.is_connected:
            await self._time_out(worker)
        if series is not None:
            self._call_by_series[series] = call
        else:
            self._keep(call)
        return msgspec.structs.replace(reply, sent_at=sent_at)

    async def pace(
        self, worker: WorkerListing, task: str, run: int, percent: int, token: int
    ) -> bool:
        call = await self._reach_for_order(worker)
        target = call.target

        def execute() -> bool | None:
            return target.pace(task, run, percent) if target.fence(token) else None

        if self._random.random() < self.late_share:
            self._run_delayed(call, execute)
            await self._time_out(worker)
        is_done = await self._send(call, execute)
        await self._receive(call)
        self._keep(call)
        if is_done is None:
            raise FencedError
        return is_done

    def end_series(self, series: CallSeries) -> None:
        self._call_by_series.pop(series, None)

    def _run_delayed(self, call: _Call, action: Callable[[], object]) -> None:
        def run_if_same_boot() -> None:
            if call.is_connected:
                action()

        asyncio.get_running_loop().call_later(self._random.uniform(2.0, 12.0), run_if_same_boot)

    def _draw_delay(self, longest_s: float) -> float:
        """Returns a random delay. Most are short: half of them are below an eighth."""
        return longest_s * self._random.random() ** 3

    async def _send(self, call: _Call, action: Callable[[], T]) -> T:
        """Executes an order once it arrives, and returns its result.

        It is carried out even if the sender no longer waits, or no longer exists, but only by the
        boot to which the connection leads.
        """
        if not self.max_order_delay_s:
            return action()
        loop = asyncio.get_running_loop()
        result: asyncio.Future[T] = loop.create_future()

        def arrive() -> None:
            if call.is_connected and self._vm not in call.target.unreachable_from:
                answer = action()
                if not result.done():
                    result.set_result(answer)

        loop.call_later(self._draw_delay(self.max_order_delay_s), arrive)
        try:
            async with asyncio.timeout_at(call.limit_s):
                return await result
        except TimeoutError:
            await self._wait_while_frozen()
            raise self._no_answer(call.worker) from None

    async def _receive(self, call: _Call) -> None:
        """Waits until an answer that has just been written arrives, also if the worker crashes.

        Raises `WorkerUnreachableError` if the answer arrives after the call's time limit.
        """
        if not self.max_answer_delay_s:
            return
        loop = asyncio.get_running_loop()
        arrives_s = loop.time() + self._draw_delay(self.max_answer_delay_s)
        await asyncio.sleep(min(arrives_s, call.limit_s) - loop.time())
        if self.is_closed:
            await asyncio.Event().wait()
        is_lost = self._vm in call.target.unreachable_from
        if is_lost:
            await asyncio.sleep(call.limit_s - loop.time())
        await self._wait_while_frozen()
        if is_lost or arrives_s > call.limit_s or loop.time() > call.limit_s:
            raise self._no_answer(call.worker)

    async def _reach(self, worker: WorkerListing, wait: timedelta = timedelta(0)) -> _Call:
        """Opens a connection, or takes an open one, and returns the call on it.

        A connection opened late leads to the worker that has the address at that moment.
        """
        if self.is_closed:
            await asyncio.Event().wait()
        await self._wait_while_frozen()
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + (CALL_TIMEOUT + wait).total_seconds()
        is_new = bool(self.max_order_delay_s) and self._random.random() < 0.5
        if is_new:
            opened_s = loop.time() + self._draw_delay(self.max_order_delay_s)
            await asyncio.sleep(min(opened_s, limit_s) - loop.time())
            if opened_s > limit_s:
                raise self._no_answer(worker, sent=False)
        await self._fleet.clock.sleep(CALL_LATENCY)
        target = self._fleet.worker_at(worker.address)
        if target is None or not target.is_up or self._vm in target.unreachable_from:
            await self._time_out(worker, sent=not is_new)
        assert target is not None
        call = _Call(worker, target, limit_s, self._fleet.clock.boot_time())
        if target.name != worker.worker:
            await self._receive(call)
            raise InstanceMismatchError(worker.worker)
        return call

    async def _reach_again(
        self, worker: WorkerListing, before: _Call | None, wait: timedelta
    ) -> _Call:
        """Returns a call on the connection of an earlier one, which must still be open."""
        if self.is_closed:
            await asyncio.Event().wait()
        await self._wait_while_frozen()
        if before is None or not before.is_connected or before.worker.address != worker.address:
            raise self._no_answer(worker, sent=False)
        limit_s = asyncio.get_running_loop().time() + (CALL_TIMEOUT + wait).total_seconds()
        await self._fleet.clock.sleep(CALL_LATENCY)
        if not before.is_connected or self._vm in before.target.unreachable_from:
            await self._time_out(worker)
        return _Call(worker, before.target, limit_s, before.connected_at)

    async def _reach_for_order(
        self, worker: WorkerListing, wait: timedelta = timedelta(0)
    ) -> _Call:
        """Returns a call on a kept connection that is still open, or on a new one."""
        kept = self._kept_calls_by_address.setdefault(worker.address, [])
        while kept:
            before = kept.pop(0)
            if before.is_connected and before.target.name == worker.worker:
                return await self._reach_again(worker, before, wait)
        return await self._reach(worker, wait)

    def _keep(self, call: _Call) -> None:
        """Keeps an open connection for later calls that belong to no series."""
        if call.is_connected:
            self._kept_calls_by_address.setdefault(call.worker.address, []).append(call)

    async def _wait_while_frozen(self) -> None:
        if self.frozen is not None:
            await self.frozen.wait()

    async def _time_out(self, worker: WorkerListing, sent: bool = True) -> NoReturn:
        await self._fleet.clock.sleep(CALL_TIMEOUT)
        raise self._no_answer(worker, sent)

    @staticmethod
    def _no_answer(worker: WorkerListing, sent: bool = True) -> WorkerUnreachableError:
        return WorkerUnreachableError(Step.RUN, worker.worker, "no answer", sent)
