"""Jobs of an owned pool in memory: their steps, units and tasks, and their progress records."""

from collections.abc import Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from hornbeamramp.fleet import Attempt, RunOutcome
from hornbeamramp.ids import UNKNOWN_DATA_CENTRE, DataCentreId, UpstreamId
from hornbeamramp.poolowner.advice import Grants
from hornbeamramp.poolowner.lateness import CriticalPath, Lateness, LatenessLevel
from hornbeamramp.poolowner.rack_spread import RackWait
from hornbeamramp.poolowner.waiting import StepWait, WaitTimes
from hornbeamramp.resources import Resources
from hornbeamramp.statestore import JobProgress, JobRecord, OpenTask, StepGrants
from hornbeamramp.workload import TERMINAL_PHASES, JobPhase, StepKey, StepSpec, task_name

if TYPE_CHECKING:
    from hornbeamramp.poolowner.gangs import GangPlan

__all__ = ["Job", "StepRun", "Task", "Unit", "reserved_size"]


def reserved_size(spec: StepSpec) -> Resources:
    """Returns what a run of a step reserves on its worker.

    Best-effort tasks use processors that others leave idle, so none are reserved for them.
    """
    processors = 0 if spec.fills else spec.processors_milli
    return Resources(processors, spec.memory_mib, spec.accelerators, 0, 0)


class Task:
    """One task. ``attempt`` is its run that holds capacity on a worker, if there is one."""

    __slots__ = ("attempt", "index", "is_done", "name", "unit")

    def __init__(self, unit: "Unit", index: int) -> None:
        self.unit = unit
        self.index = index
        self.name = task_name(unit.step.key, index)
        self.is_done = False
        self.attempt: Attempt | None = None


class Unit:
    """Tasks that are placed and started together: one task, or all tasks of a gang.

    `run`
        Number of the latest start, shared by a gang's members.
    `avoided_workers`
        Workers on which a run of the unit failed, stalled, lapsed or was lost; chosen last.
    """

    __slots__ = ("avoided_workers", "checkpoint", "failed_run", "failures", "run", "step", "tasks")

    def __init__(self, step: "StepRun", indices: range) -> None:
        self.step = step
        self.tasks = [Task(self, index) for index in indices]
        self.run = 0
        self.failures = 0
        self.failed_run = 0
        self.checkpoint = ""
        self.avoided_workers: set[UpstreamId] = set()

    @property
    def is_done(self) -> bool:
        return all(task.is_done for task in self.tasks)

    @property
    def is_placed(self) -> bool:
        return any(task.attempt is not None for task in self.tasks)

    def mark_done(self) -> None:
        """Marks all tasks as done: the members of a gang end together."""
        for task in self.tasks:
            task.is_done = True

    def attempts(self) -> list[Attempt]:
        return [task.attempt for task in self.tasks if task.attempt is not None]


class StepRun:
    """A step of one occurrence. ``waiting`` holds the units to be placed, in order."""

    def __init__(self, job: "Job", key: StepKey, spec: StepSpec) -> None:
        self.job = job
        self.key = key
        self.spec = spec
        self.size = reserved_size(spec)
        if spec.gang:
            self.units = [Unit(self, range(spec.count))]
        else:
            self.units = [Unit(self, range(index, index + 1)) for index in range(spec.count)]
        self.waiting: list[Unit] = []
        self.is_open = False
        self.grants = Grants()
        # Boot time of the last search for runs to preempt for this step.
        self.preemption_checked_at: timedelta | None = None
        # How a waiting gang is going to start, as of the boot time of the plan.
        self.plan: GangPlan | None = None
        self.planned_at: timedelta | None = None
        self.rack_wait = RackWait()
        self.wait = StepWait(job.wait_times)
        # As of the boot time of the estimate.
        self.lateness = Lateness(LatenessLevel.ON_TIME, 0.0)
        self.lateness_at: timedelta | None = None
        # How many tasks of the step the granted workers could run if they were empty, as of a
        # version of its grants.
        self.granted_room: tuple[int, int] | None = None
        # Whether the granted workers could run the step, as of a boot time and a version of its
        # grants.
        self.is_feasible = True
        self.feasibility_at: tuple[timedelta, int] | None = None

    @property
    def is_done(self) -> bool:
        return all(unit.is_done for unit in self.units)

    @property
    def is_gang(self) -> bool:
        """Whether the step has several tasks, which start together."""
        return self.spec.gang and self.spec.count > 1

    def queue(self, unit: Unit) -> None:
        if unit not in self.waiting:
            self.waiting.append(unit)

    def unqueue(self, unit: Unit) -> None:
        if unit in self.waiting:
            self.waiting.remove(unit)

    def task(self, index: int) -> Task:
        if self.spec.gang:
            return self.units[0].tasks[index]
        return self.units[index].tasks[0]


class Job:
    """A job. The steps of an occurrence are created when it becomes due.

    `data_centre`
        Where its caller sent it, for log lines; empty after a change of the owner.
    """

    def __init__(self, record: JobRecord, data_centre: DataCentreId = UNKNOWN_DATA_CENTRE) -> None:
        self.record = record
        self.data_centre = data_centre
        self.critical_path = CriticalPath.of(record.spec.steps)
        self.phase = JobPhase.QUEUED
        # Number of units that were done by an end listed after their runs had been given up.
        self.late_done = 0
        # The phase that is in the store. Callers see only this one, as it survives a failover.
        self.recorded_phase = JobPhase.QUEUED
        self.ended_ms = 0
        self.steps_by_occurrence: dict[int, list[StepRun]] = {}
        self.wait_times = WaitTimes()
        # Work of ended runs that was not saved, in core-seconds, by the outcome of the runs.
        self.lost_work_by_outcome: dict[RunOutcome, float] = {}
        # Set for an ended job without steps, whose record is kept unchanged.
        self.ended_progress: JobProgress | None = None

    @property
    def is_ended(self) -> bool:
        return self.phase in TERMINAL_PHASES

    def steps(self) -> Iterator[StepRun]:
        for steps in self.steps_by_occurrence.values():
            yield from steps

    def find_task(self, key: StepKey, index: int) -> Task | None:
        """Returns a task of an opened occurrence, ``None`` if there is none."""
        steps = self.steps_by_occurrence.get(key.occurrence, [])
        if key.step >= len(steps) or index >= steps[key.step].spec.count:
            return None
        return steps[key.step].task(index)

    def attempts(self) -> Iterator[Attempt]:
        for step in self.steps():
            for unit in step.units:
                yield from unit.attempts()

    def open_occurrence(self, occurrence: int) -> None:
        """Creates the steps of an occurrence, once."""
        if occurrence not in self.steps_by_occurrence:
            self.steps_by_occurrence[occurrence] = [
                StepRun(self, StepKey(self.record.job_id, occurrence, number), spec)
                for number, spec in enumerate(self.record.spec.steps)
            ]

    def ready_steps(self) -> list[StepRun]:
        """Opens steps whose predecessors are done, queues their units, and returns the steps."""
        ready = []
        for steps in self.steps_by_occurrence.values():
            for step in steps:
                if not step.is_open and all(steps[number].is_done for number in step.spec.after):
                    step.is_open = True
                    step.waiting = [
                        unit for unit in step.units if not unit.is_done and not unit.is_placed
                    ]
                    ready.append(step)
        return ready

    def is_complete(self) -> bool:
        """Returns whether every task of every occurrence is done."""
        return len(self.steps_by_occurrence) == self.record.spec.occurrences and all(
            step.is_done for step in self.steps()
        )

    def close(self, phase: JobPhase, now_ms: int) -> None:
        self.phase = phase
        self.ended_ms = now_ms

    def release(self) -> None:
        """Drops the steps of an ended job, whose end is recorded, unless runs still hold capacity.

        An ended job is kept for the time for which callers may ask for it, and its tasks would make
        each full garbage collection of the process longer.
        """
        if self.is_ended and self.recorded_phase is self.phase and not any(self.attempts()):
            self.ended_progress = self.progress()
            self.steps_by_occurrence = {}

    def progress(self) -> JobProgress:
        """Returns the progress record for the current state."""
        if self.ended_progress is not None:
            return self.ended_progress
        if self.is_ended:
            return JobProgress(self.phase, ended_ms=self.ended_ms)
        done = []
        open_tasks = []
        grants = []
        for step in self.steps():
            _, occurrence, number = step.key
            indices = tuple(
                task.index for unit in step.units for task in unit.tasks if task.is_done
            )
            if indices:
                done.append((occurrence, number, indices))
            open_tasks += self._open_tasks(step)
            if step.grants.is_recorded and not step.is_done:
                asked, granted = tuple(step.grants.asked), tuple(step.grants.granted)
                grants.append(StepGrants(occurrence, number, asked, granted))
        return JobProgress(self.phase, tuple(done), tuple(open_tasks), tuple(grants))

    @staticmethod
    def _open_tasks(step: StepRun) -> Iterator[OpenTask]:
        _, occurrence, number = step.key
        for unit in step.units:
            if unit.run == 0:
                continue
            for task in unit.tasks:
                if task.is_done:
                    continue
                worker = task.attempt.session.worker if task.attempt else ""
                yield OpenTask(
                    occurrence,
                    number,
                    task.index,
                    unit.run,
                    unit.failures,
                    UpstreamId(worker),
                    unit.checkpoint,
                )

    def restore(self, progress: JobProgress) -> list[tuple[Task, OpenTask]]:
        """Applies a progress record; returns the tasks that may be running, with their records."""
        self.phase = self.recorded_phase = progress.phase
        if self.is_ended:
            self.ended_ms = progress.ended_ms
            self.ended_progress = progress
            return []
        for occurrence, number, indices in progress.done:
            self.open_occurrence(occurrence)
            for index in indices:
                self.steps_by_occurrence[occurrence][number].task(index).is_done = True
        for step_grants in progress.grants:
            self.open_occurrence(step_grants.occurrence)
            grants = self.steps_by_occurrence[step_grants.occurrence][step_grants.step].grants
            grants.is_recorded = True
            grants.asked.update(step_grants.asked)
            grants.granted.update(step_grants.granted)
        placed = []
        for open_task in progress.open_tasks:
            self.open_occurrence(open_task.occurrence)
            task = self.steps_by_occurrence[open_task.occurrence][open_task.step].task(
                open_task.index
            )
            unit = task.unit
            unit.run = max(unit.run, open_task.run)
            unit.failures = max(unit.failures, open_task.failures)
            unit.checkpoint = open_task.checkpoint or unit.checkpoint
            if open_task.worker:
                placed.append((task, open_task))
        return placed
