"""State of one scheduling pass, computed once for all its steps.

A pass looks at every waiting step. While many wait, almost none of them fits, so what a pass does
for one step must not grow with the number of workers: free workers are kept in a list that shrinks
as they are filled, and what depends only on the runs of a worker is computed once.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from hornbeamramp.fleet import Attempt, WorkerSession
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.capacity import Capacity, FreeResources, total_capacity
from hornbeamramp.poolowner.expected_ends import ExpectedEnds
from hornbeamramp.poolowner.jobs import StepRun
from hornbeamramp.poolowner.learned_durations import LearnedDurations
from hornbeamramp.poolowner.preemption import is_preemptible
from hornbeamramp.resources import Resources
from hornbeamramp.statestore import JobRecord

__all__ = ["SOON", "PoolRuns", "SchedulingPass"]

# Runs that are expected to end within this time count as free in a plan. Stopped runs end in a
# similar time; a gang that waits longer for other runs keeps idle what it has found.
SOON = timedelta(milliseconds=300)
# Runs may use capacity kept for a gang if they end before its start with this probability.
BACKFILL_QUANTILE = 0.7

# From this share of its capacity in use on, a pool has too little room for all that may come within
# seconds. Up to here, each task that there is room for has to start.
SHORT_SHARE = 0.5


class PoolRuns:
    """What the runs of each worker free, and when, as of one moment.

    `expected_ends`
        When the runs are expected to end.
    """

    def __init__(self, expected_ends: ExpectedEnds) -> None:
        self.expected_ends = expected_ends
        self._freed_soon_by_worker: dict[str, FreeResources] = {}
        self._preemptible_by_key: dict[tuple[str, int, bool], list[Attempt]] = {}

    @property
    def soon(self) -> timedelta:
        """Boot time until which runs count as ending soon."""
        return self.expected_ends.now + SOON

    def freed_soon(self, session: WorkerSession) -> FreeResources:
        """Returns the resources of a worker's runs that are expected to end within `SOON`."""
        freed = self._freed_soon_by_worker.get(session.worker)
        if freed is None:
            processors = memory = accelerators = 0
            for attempt in session.attempt_by_key.values():
                if self.expected_ends.ends_within(attempt, SOON):
                    processors += attempt.size.processors_milli
                    memory += attempt.size.memory_mib
                    accelerators += attempt.size.accelerators
            freed = (processors, memory, accelerators)
            self._freed_soon_by_worker[session.worker] = freed
        return freed

    def preemptible(self, session: WorkerSession, job: JobRecord) -> list[Attempt]:
        """Returns a worker's runs that may be preempted for a job and would not end soon anyway,
        those with the least progress first."""
        key = (session.worker, job.priority, job.is_beyond_share)
        attempts = self._preemptible_by_key.get(key)
        if attempts is None:
            now = self.expected_ends.now
            attempts = [
                attempt
                for attempt in session.attempt_by_key.values()
                if is_preemptible(attempt, job, now)
                and not self.expected_ends.ends_within(attempt, SOON)
            ]
            attempts.sort(key=lambda attempt: attempt.percent)
            self._preemptible_by_key[key] = attempts
        # Runs that this pass has decided to preempt since are left out.
        return [attempt for attempt in attempts if not attempt.stop_wanted]


class SchedulingPass:
    """Workers and capacity of one pass.

    `usable_by_id`
        Workers on which runs may be placed.
    `runs`
        The runs on them.
    `capacity`
        What is free on them for the steps not yet considered.
    `spare`
        The same less what gangs kept in the pass before, so that more urgent steps, which come
        first, use other capacity where there is some.
    `account_headroom`
        What accounts above their shares may use; ``None`` until one places a step.
    `drainable_processors_milli`
        Processors that may be kept for gangs that wait for runs to end.
    `headroom_for`
        Returns what a step has to leave for short urgent ones, ``None`` if nothing.
    """

    def __init__(
        self,
        usable_by_id: dict[UpstreamId, WorkerSession],
        sizes: Iterable[Resources],
        durations: LearnedDurations,
        now: timedelta,
        capacity_before: Capacity,
        drained_share: float,
        headroom_for: Callable[[StepRun], Capacity | None] = lambda step: None,
    ) -> None:
        self.usable_by_id = usable_by_id
        self.runs = PoolRuns(ExpectedEnds(durations, now))
        self.capacity = Capacity()
        self.spare = capacity_before.limited_by(self.capacity)
        self.account_headroom: Capacity | None = None
        self._is_short: bool | None = None
        self._durations = durations
        self._headroom_for = headroom_for
        self._smallest = _smallest(sizes)
        self._is_changed = False
        self._open = [s for s in usable_by_id.values() if s.fits(self._smallest)]
        self._by_free_processors: list[WorkerSession] | None = None
        processors = sum(s.listing.capacity.processors_milli for s in usable_by_id.values())
        self.drainable_processors_milli = drained_share * processors

    @property
    def now(self) -> timedelta:
        return self.runs.expected_ends.now

    @property
    def is_short(self) -> bool:
        """Whether more than `SHORT_SHARE` of the pool's capacity is in use, of any kind."""
        if self._is_short is None:
            whole = total_capacity(self.usable_by_id.values())
            free = [session.free() for session in self.usable_by_id.values()]
            self._is_short = any(
                sum(amounts[kind] for amounts in free) < (1 - SHORT_SHARE) * total
                for kind, total in enumerate(whole)
            )
        return self._is_short

    def capacities_for(self, step: StepRun) -> tuple[Capacity, Capacity]:
        """Returns `capacity` and `spare` as runs of the step may use them, which depends on their
        duration and on whether it leaves the headroom."""
        if step.spec.long_running:
            return self.capacity, self.spare
        capacity, spare = self.capacity, self.spare
        headroom = self._headroom_for(step)
        if headroom is not None:
            capacity, spare = headroom.limited_by(capacity), headroom.limited_by(spare)
        duration = self._durations.duration(step, quantile=BACKFILL_QUANTILE)
        if step.rack_wait.may_spread:
            duration *= self._durations.cross_rack_factor
        end = self.now + duration
        return capacity.for_runs_until(end), spare.for_runs_until(end)

    def with_capacity(self) -> list[WorkerSession]:
        """Returns the usable workers with free capacity for the smallest waiting size in each
        resource."""
        if self._is_changed:
            self._is_changed = False
            self._open = [session for session in self._open if session.fits(self._smallest)]
        return self._open

    def note_reserved(self) -> None:
        """Notes that capacity has been reserved in this pass."""
        self._is_changed = True

    def granted(self, step: StepRun) -> list[WorkerSession]:
        """Returns the usable workers that are granted to a step, in order of their ids."""
        usable = self.usable_by_id
        return [usable[worker] for worker in step.grants.granted_in_order() if worker in usable]

    def most_free(self, exclude: set[UpstreamId]) -> list[WorkerSession]:
        """Returns the usable workers, those with the most free processors first."""
        if self.usable_by_id.keys() <= exclude:
            return []
        if self._by_free_processors is None:
            free = self.spare.free
            self._by_free_processors = sorted(
                self.usable_by_id.values(), key=lambda session: -free(session)[0]
            )
        return [s for s in self._by_free_processors if s.worker not in exclude]


def _smallest(sizes: Iterable[Resources]) -> Resources:
    known = list(sizes)
    return Resources(
        min((size.processors_milli for size in known), default=0),
        min((size.memory_mib for size in known), default=0),
        min((size.accelerators for size in known), default=0),
    )
