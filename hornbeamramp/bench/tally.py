"""What a run of the driver observed, by job class, team and window of time."""

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
    """Counts of one job class. Jobs count if they arrived in the counted window.

    `waits`
        Seconds from submission to the first start of each task. Tasks of admitted jobs that never
        started contribute the time they had waited at the end of the run.
    `running_us`
        Task run time within the window, in microseconds.
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
        Breaches of guarantees G1, G2, G4 and G5 seen by the fake upstreams, by kind.
    `first_violation`
        Text of the first breach, empty if there was none.
    `overuse_us`
        Run time of tasks that ended while the actual use of their upstream's processors or memory
        exceeded what it has, in microseconds; ``busy_us`` is that of all tasks.
    `used`
        Mean share of each resource in use over the samples, in the order of
        `Resources.as_tuple`.
    """

    by_class: dict[str, ClassTally]
    window_us: int
    violations: Counter[str]
    first_violation: str
    starts: int
    starts_on_failing: int
    overuse_us: int
    busy_us: int
    used: list[float]
    stranded_accelerators: float
    idle_gang_room: float
    peak_queued: int
    completed_tasks: int

    def waits(self, names: list[str] | None = None) -> list[float]:
        """Returns the waits of the named job classes, or of all, in seconds."""
        chosen = self.by_class if names is None else names
        return [wait for name in chosen for wait in self.by_class[name].waits]

    def total(self, field_name: str) -> int:
        """Returns the sum of one count over all job classes."""
        return sum(getattr(tally, field_name) for tally in self.by_class.values())
