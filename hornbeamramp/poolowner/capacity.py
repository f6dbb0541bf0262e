"""Free capacity of workers within one scheduling pass, less what is kept for waiting gangs."""

from datetime import timedelta
from typing import NamedTuple

from hornbeamramp.fleet import WorkerSession
from hornbeamramp.resources import Resources

__all__ = ["Capacity", "FreeResources"]

# Thousandths of a core, MiB, accelerators.
FreeResources = tuple[int, int, int]


class _Hold(NamedTuple):
    """Capacity of a worker kept for a gang that starts at the boot time ``starts_at``."""

    starts_at: timedelta
    resources: FreeResources


class Capacity:
    """Capacity that the steps still to be considered in this pass may use.

    `runs_end_at`
        Boot time at which the runs to be placed are expected to end. What is kept for gangs that
        start later is free for them (backfill). ``None`` if the runs may last longer.
    """

    def __init__(self, runs_end_at: timedelta | None = None) -> None:
        self._runs_end_at = runs_end_at
        self._holds_by_worker: dict[str, list[_Hold]] = {}
        self._other: Capacity | None = None

    def for_runs_until(self, runs_end_at: timedelta) -> "Capacity":
        """Returns the same capacity as runs may use it that end at this boot time."""
        capacity = Capacity(runs_end_at)
        capacity._holds_by_worker = self._holds_by_worker
        if self._other is not None:
            capacity._other = self._other.for_runs_until(runs_end_at)
        return capacity

    def limited_by(self, other: "Capacity") -> "Capacity":
        """Returns the capacity that is free in both, by what each keeps now and later."""
        capacity = Capacity(self._runs_end_at)
        capacity._holds_by_worker = self._holds_by_worker
        capacity._other = other
        return capacity

    def hold(self, worker: str, size: Resources, count: int, starts_at: timedelta) -> None:
        """Keeps capacity for ``count`` tasks from the steps that follow in this pass."""
        resources = (
            count * size.processors_milli,
            count * size.memory_mib,
            count * size.accelerators,
        )
        self._holds_by_worker.setdefault(worker, []).append(_Hold(starts_at, resources))

    @property
    def held_processors_milli(self) -> int:
        """Processors kept for gangs, in thousandths of a core."""
        return sum(hold.resources[0] for holds in self._holds_by_worker.values() for hold in holds)

    def free(self, session: WorkerSession) -> FreeResources:
        """Returns a worker's free capacity; negative if runs must end before a gang can start."""
        if self._holds_nothing(session.worker):
            return session.free()
        return self._without_holds(session, session.free())

    def _holds_nothing(self, worker: str) -> bool:
        return worker not in self._holds_by_worker and (
            self._other is None or self._other._holds_nothing(worker)
        )

    def total(self, session: WorkerSession) -> FreeResources:
        """Returns what would be free if no run were left on the worker."""
        capacity = session.listing.capacity
        return self._without_holds(
            session, (capacity.processors_milli, capacity.memory_mib, capacity.accelerators)
        )

    def _without_holds(self, session: WorkerSession, free: FreeResources) -> FreeResources:
        if self._other is not None:
            limit = self._other._without_holds(session, free)
            own = self._without_own_holds(session, free)
            return (min(own[0], limit[0]), min(own[1], limit[1]), min(own[2], limit[2]))
        return self._without_own_holds(session, free)

    def _without_own_holds(self, session: WorkerSession, free: FreeResources) -> FreeResources:
        for hold in self._holds_by_worker.get(session.worker, ()):
            if self._runs_end_at is None or self._runs_end_at > hold.starts_at:
                held = hold.resources
                free = (free[0] - held[0], free[1] - held[1], free[2] - held[2])
        return free

    def fits(self, session: WorkerSession, size: Resources) -> bool:
        free = self.free(session)
        return (
            size.processors_milli <= free[0]
            and size.memory_mib <= free[1]
            and size.accelerators <= free[2]
        )
