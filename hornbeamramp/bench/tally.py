"""Results of a run of the driver: counts and waits by job class and team."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hornbeamramp.states import RefusalReason

__all__ = ["ClassTally", "Observations", "percentile"]


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which ``share`` of ``values`` lie, or 0.0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass
class ClassTally:
    """Counts of one job class. Only jobs that arrived in the measurement window are counted.

    `waits`
        Seconds from submission to the first start of each task. Unstarted tasks of admitted,
        unfinished jobs contribute the time they had waited at the end of the run.
    `running_us`
        Run time of tasks within the window, in microseconds.
    """

    submitted: int = 0
    refused: Counter[RefusalReason] = field(default_factory=Counter)
    completed: int = 0
    on_time: int = 0
    failed: int = 0
    cancelled: int = 0
    expired: int = 0
    unstarted_tasks: int = 0
    preempted: int = 0
    running_us: int = 0
    waits: list[float] = field(default_factory=list)
    waits_by_team: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


@dataclass
class Observations:
    """Result of a run.

    `violations`
        Number of violations of guarantees G1 (no overcommitted machine), G2 (no task runs twice at
        once), G4 (no start of a job reported as not run) and G5 (no restart of a non-idempotent
        task) that the driver and its fake upstreams detected, by kind.
    `first_violation`
        Text of the first violation, empty if there was none.
    `overuse_us`
        Run time of tasks that ended while the actual use of their upstream's processors or memory
        exceeded its capacity, in microseconds; ``busy_us`` is the run time of all ended tasks.
    `allocated_shares`
        Mean allocated share of each resource over the samples, in the order of
        `Resources.as_tuple`.
    `stranded_accelerators`
        Mean share of accelerators that are free but unusable because their machine lacks
        another resource for the smallest accelerator task.
    `waiting_gang_fits`
        Share of the samples in which a waiting gang would have fitted into the free resources.
    """

    by_class: dict[str, ClassTally]
    window_us: int
    violations: Counter[str]
    first_violation: str
    starts: int
    starts_on_failing: int
    overuse_us: int
    busy_us: int
    allocated_shares: list[float]
    stranded_accelerators: float
    waiting_gang_fits: float
    peak_queued: int
    completed_tasks: int

    def waits(self, names: list[str] | None = None) -> list[float]:
        """Returns the waits of the named job classes, or of all, in seconds."""
        chosen = self.by_class if names is None else names
        return [wait for name in chosen for wait in self.by_class[name].waits]

    def total(self, field_name: str) -> int:
        """Returns the sum of one count over all job classes."""
        return sum(getattr(tally, field_name) for tally in self.by_class.values())
