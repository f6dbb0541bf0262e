"""Checks the guarantees G1 to G8 against workers' logs and replies to callers and operators."""

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from hornbeamramp.jobs import Completed, NotRun, ServiceJob
from hornbeamramp.resources import ZERO, Resources
from hornbeamramp.standins.worker_model import expected_answer

if TYPE_CHECKING:
    from tests.support.cell import Call, SimulatedCell
    from tests.support.vm import Vm

__all__ = ["GuaranteeChecker", "Run"]

LEAVING_LIMIT = timedelta(seconds=5)
CHANGE_APPLIED_LIMIT = timedelta(seconds=18)


@dataclass
class Run:
    """One attempt in a worker's log; ``ended_ms`` is infinite while it runs."""

    worker: str
    attempt: str
    payload: bytes
    owner: str
    started_ms: float
    ended_ms: float = float("inf")
    reason: str = ""

    @property
    def task(self) -> tuple[bytes, int]:
        return self.payload, int(self.attempt.rsplit(".", 3)[1])


class GuaranteeChecker:
    """Reads all workers' logs at each `check` and fails with the number of the broken guarantee."""

    def __init__(self, cell: "SimulatedCell") -> None:
        self._cell = cell
        self._revision_by_vm: dict[Vm, int] = {}
        self._accepted: list[tuple[int, timedelta]] = []
        # Start of the current period in which each process runs unpaused and reaches the platform.
        self._healthy_since_by_vm: dict[Vm, timedelta] = {}
        self._platform_healthy_since = cell.clock.boot_time()

    def record_accepted(self, revision: int) -> None:
        """Records a revision whose acceptance was reported to an operator."""
        self._accepted.append((revision, self._cell.clock.boot_time()))

    def runs(self) -> list[Run]:
        """Returns all attempts in the logs of all workers."""
        all_runs = []
        for worker in self._cell.worker.values():
            open_by_attempt: dict[str, Run] = {}
            for entry in worker.log().entries:
                if entry.event == "start":
                    run = Run(
                        worker.name,
                        entry.attempt_id,
                        worker.payload_by_attempt[entry.attempt_id],
                        entry.owner,
                        entry.at_ms,
                    )
                    open_by_attempt[entry.attempt_id] = run
                    all_runs.append(run)
                elif entry.event == "end":
                    run = open_by_attempt.pop(entry.attempt_id)
                    run.ended_ms, run.reason = entry.at_ms, entry.reason
        return all_runs

    def check(self) -> None:
        """Fails if a guarantee is broken at the present time."""
        for vm in self._cell.vm.values():
            assert not vm.calls_after_end, f"{vm.name} calls after its end: {vm.calls_after_end}"
        self._update_health()
        runs = self.runs()
        by_payload: dict[bytes, list[Run]] = defaultdict(list)
        for run in runs:
            by_payload[run.payload].append(run)
        self._check_capacity()
        self._check_overlaps(runs)
        calls_by_payload: dict[bytes, list[Call]] = defaultdict(list)
        for call in self._cell.calls:
            calls_by_payload[call.job.payload].append(call)
        for payload, calls in calls_by_payload.items():
            self._check_calls(calls, by_payload[payload])
        self._check_leaving(runs)
        self._check_graceful_shutdowns()
        self._check_tables()

    def _check_capacity(self) -> None:
        for worker in self._cell.worker.values():
            log = worker.log()
            resources_by_attempt: dict[str, Resources] = {}
            for entry in log.entries:
                if entry.event == "end":
                    resources_by_attempt.pop(entry.attempt_id)
                else:
                    resources_by_attempt[entry.attempt_id] = entry.resources
                total = sum(resources_by_attempt.values(), ZERO)
                message = f"G1: {worker.name} has {total} of {log.capacity} allocated: {entry}"
                assert total.fits_in(log.capacity), message

    def _check_overlaps(self, runs: list[Run]) -> None:
        by_task: dict[tuple[bytes, int], list[Run]] = defaultdict(list)
        for run in runs:
            by_task[run.task].append(run)
        for task_runs in by_task.values():
            task_runs.sort(key=lambda run: run.started_ms)
            for earlier, later in zip(task_runs, task_runs[1:], strict=False):
                message = f"G2: attempts of one task overlap:\n{earlier}\n{later}"
                assert earlier.ended_ms <= later.started_ms, message

    def _check_calls(self, calls: list["Call"], runs: list[Run]) -> None:
        for call in calls:
            for outcome in call.outcomes:
                if isinstance(outcome, Completed) and not outcome.failed:
                    self._check_answer(call, outcome)
        # Calls with the same key share a payload: a refused call may repeat one that ran.
        if all(_was_reported_not_run(call) for call in calls):
            assert not runs, f"G4: ran, but was reported as not run: {calls}\n{runs}"
        if any(not call.job.idempotent for call in calls):
            tasks = [run.task for run in runs]
            assert len(tasks) == len(set(tasks)), f"G5: started more than once: {runs}"

    @staticmethod
    def _check_answer(call: "Call", outcome: Completed) -> None:
        if isinstance(call.job, ServiceJob):
            return
        expected = [expected_answer(call.job.payload)] * call.job.tasks
        answers = [result.payload for result in outcome.results]
        assert answers == expected, f"G3: wrong answers: {call}"

    def _check_leaving(self, runs: list[Run]) -> None:
        for worker in self._cell.worker.values():
            if worker.leaving_since is None:
                continue
            since = worker.leaving_since
            if not worker.leaving:
                # Marked in the platform's list only, which can't be read during an outage.
                since = max(since, self._platform_healthy_since)
            limit_ms = (since + LEAVING_LIMIT) / timedelta(milliseconds=1)
            for run in runs:
                is_late = run.worker == worker.name and run.started_ms > limit_ms
                assert not is_late, f"G6: start on a leaving upstream ({since}): {run}"

    def _check_graceful_shutdowns(self) -> None:
        for vm in self._cell.vm.values():
            if vm.stopping is None or vm.was_killed:
                continue
            for call in vm.calls:
                is_dropped = call.in_flight_at_stop and call.lost
                assert not is_dropped, f"G7: connection lost in a graceful shutdown: {call}"

    def _check_tables(self) -> None:
        now = self._cell.clock.boot_time()
        for vm in self._cell.running():
            revision = vm.parts.configuration.tables.revision
            last = self._revision_by_vm.get(vm, 0)
            assert revision >= last, f"G8: {vm.name} went from revision {last} to {revision}"
            self._revision_by_vm[vm] = revision
            healthy_since = self._healthy_since_by_vm.get(vm, now)
            for accepted, at in self._accepted:
                is_overdue = now - max(at, healthy_since) > CHANGE_APPLIED_LIMIT
                message = f"G8: {vm.name} is at {revision}, but {accepted} was accepted at {at}"
                assert revision >= accepted or not is_overdue, message

    def _update_health(self) -> None:
        now = self._cell.clock.boot_time()
        stores_healthy = [vm.store.is_healthy() for vm in self._cell.running()]
        if not (self._cell.platform_is_healthy() and all(stores_healthy)):
            self._platform_healthy_since = now
        for vm in self._cell.running():
            is_vm_healthy = (
                vm.store.is_healthy()
                and self._cell.platform_is_healthy()
                and not vm.pause.is_paused
                and vm.stopping is None
            )
            if not is_vm_healthy:
                self._healthy_since_by_vm[vm] = now
            else:
                self._healthy_since_by_vm.setdefault(vm, now)


def _was_reported_not_run(call: "Call") -> bool:
    is_reported = any(isinstance(outcome, NotRun) for outcome in call.outcomes)
    return is_reported or call.cancelled_as_not_run
