"""The upstreams of a shard: their capacity, and which of them may receive work."""

from collections import Counter

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.decisions import UpstreamStatus
from hornbeamramp.holds import Holds
from hornbeamramp.ids import UpstreamId
from hornbeamramp.ledger import Ledger, Vector
from hornbeamramp.resources import ZERO, Resources
from hornbeamramp.shares import FairShares
from hornbeamramp.states import UpstreamState
from hornbeamramp.task_table import TaskTable
from hornbeamramp.upstream_health import UpstreamHealth
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["UpstreamPool"]

_ZERO_VECTOR: Vector = (0, 0, 0, 0, 0)


class UpstreamPool:
    """Keeps ledger, capacity index, holds and the pool's free capacity consistent.

    `touched`
        Upstreams whose capacity changed; cleared by the dispatcher.
    """

    def __init__(self, tasks: TaskTable, shares: FairShares) -> None:
        self.ledger = Ledger(self.capacity_changed)
        self.index = CapacityIndex(self._free, self._reclaimable, self._drainable)
        self.health = UpstreamHealth()
        self.holds = Holds(self.ledger)
        self.touched: set[UpstreamId] = set()
        self._tasks = tasks
        self._shares = shares
        self._leaving: set[UpstreamId] = set()
        self._free_by_id: dict[UpstreamId, Vector] = {}
        self._shapes_changed = False

    def add(self, shape: UpstreamShape, now: float) -> None:
        """Adds an upstream, or updates the shape and leaving state of a known one."""
        if shape.leaving:
            self._leaving.add(shape.id)
        else:
            self._leaving.discard(shape.id)
        self.index.add(shape)
        self.health.add(shape.id, now)
        self._shapes_changed = True
        self.ledger.set_capacity(shape.id, shape.resources)

    def add_placeholder(self, upstream_id: UpstreamId) -> None:
        """Adds an upstream of unknown shape to the ledger, with a capacity of zero."""
        if upstream_id not in self.ledger:
            self.ledger.set_capacity(upstream_id, ZERO)

    def set_leaving(self, upstream_id: UpstreamId) -> None:
        """Marks an upstream as leaving; it receives no further work."""
        self._leaving.add(upstream_id)
        self._shapes_changed = True
        self.capacity_changed(upstream_id)

    def remove(self, upstream_id: UpstreamId) -> None:
        """Removes an upstream and all reservations on it."""
        self.index.remove(upstream_id)
        self.health.remove(upstream_id)
        for released in self.health.release_excess():
            self.capacity_changed(released)
        self.ledger.remove_upstream(upstream_id)
        self._leaving.discard(upstream_id)
        self._shapes_changed = True
        self.capacity_changed(upstream_id)

    def usable(self, upstream_id: UpstreamId) -> bool:
        """Returns whether an upstream may receive new work other than a probe."""
        return (
            upstream_id in self.index.shape_by_id
            and upstream_id not in self._leaving
            and upstream_id not in self.health.quarantined
        )

    def may_probe(self, upstream_id: UpstreamId) -> bool:
        """Returns whether an upstream in quarantine may receive a probe."""
        return upstream_id in self.index.shape_by_id and upstream_id not in self._leaving

    def take_changed_shapes(self) -> tuple[Counter[Vector], float] | None:
        """Returns the count of each shape and the highest speed, or ``None`` if nothing changed.

        Changes are those since the last call. Also sets the total capacity that shares are
        relative to.
        """
        if not self._shapes_changed:
            return None
        self._shapes_changed = False
        shapes: Counter[Vector] = Counter()
        best, total = 0.0, [0, 0, 0, 0, 0]
        for shape in self.index.shape_by_id.values():
            if shape.id not in self._leaving:
                amounts = shape.resources.as_tuple()
                shapes[amounts] += 1
                best = max(best, shape.speed)
                for i in range(5):
                    total[i] += amounts[i]
        self._shares.set_total(tuple(total))  # type: ignore[arg-type]
        return shapes, best or 1.0

    def capacity_changed(self, upstream_id: UpstreamId) -> None:
        """Updates what is derived from the free capacity, state and holds of an upstream."""
        new = self.ledger.free(upstream_id) if self.usable(upstream_id) else _ZERO_VECTOR
        old = self._free_by_id.get(upstream_id, _ZERO_VECTOR)
        if new != old:
            free = self._shares.free
            free[0] += new[0] - old[0]
            free[1] += new[1] - old[1]
            free[2] += new[2] - old[2]
            free[3] += new[3] - old[3]
            free[4] += new[4] - old[4]
            if upstream_id in self.index.shape_by_id:
                self._free_by_id[upstream_id] = new
            else:
                self._free_by_id.pop(upstream_id, None)
        self.touched.add(upstream_id)
        self.index.touch(upstream_id)
        self.holds.touch(upstream_id)

    def unheld(self, upstream_id: UpstreamId) -> Vector:
        """Returns the free capacity minus holds; negative where more is held than free."""
        free, held = self.ledger.free(upstream_id), self.holds.held(upstream_id)
        if held is None:
            return free
        return tuple(a - b for a, b in zip(free, held, strict=True))  # type: ignore[return-value]

    def unheld_with_pending_releases(self, upstream_id: UpstreamId) -> Vector:
        """Returns `unheld` plus what stopping or throttled tasks are going to release.

        Tasks whose stop is overdue are not counted.
        """
        sums = list(self.unheld(upstream_id))
        for attempt in self._tasks.on_upstream(upstream_id):
            amount = attempt.reservation.amount
            if attempt.stopping and not attempt.overdue:
                sums = [a + b for a, b in zip(sums, amount, strict=True)]
            elif attempt.throttled_to is not None:
                sums[0] += amount[0] - min(attempt.throttled_to[0], amount[0])
        return tuple(sums)  # type: ignore[return-value]

    def statuses(self) -> list[UpstreamStatus]:
        """Returns the status of each upstream."""
        statuses = []
        for upstream_id in self.index.shape_by_id:
            state, reason = UpstreamState.ACTIVE, ""
            if upstream_id in self._leaving:
                state = UpstreamState.LEAVING
            elif upstream_id in self.health.quarantined:
                state = UpstreamState.QUARANTINED
                own, pool = self.health.failure_rates(upstream_id)
                reason = f"failure rate {own:.2f}, pool {pool:.2f}"
            free = Resources(*self.ledger.free(upstream_id))
            tasks = self.ledger.count(upstream_id)
            statuses.append(UpstreamStatus(upstream_id, state, free, tasks, reason))
        return statuses

    # Capacities for the views of the index

    def _free(self, upstream_id: UpstreamId) -> Vector | None:
        if not self.usable(upstream_id):
            return None
        free = self.unheld(upstream_id)
        if min(free) < 0:
            return tuple(max(part, 0) for part in free)  # type: ignore[return-value]
        return free

    def _reclaimable(self, upstream_id: UpstreamId) -> Vector | None:
        if not self.usable(upstream_id):
            return None
        sums = list(self.unheld_with_pending_releases(upstream_id))
        for attempt in self._tasks.on_upstream(upstream_id):
            amount = attempt.reservation.amount
            if attempt.preemptible():
                sums = [a + b for a, b in zip(sums, amount, strict=True)]
            elif attempt.throttleable():
                sums[0] += amount[0]
        return tuple(max(part, 0) for part in sums)  # type: ignore[return-value]

    def _drainable(self, upstream_id: UpstreamId) -> Vector | None:
        if not self.usable(upstream_id):
            return None
        sums = list(self.unheld(upstream_id))
        for attempt in self._tasks.on_upstream(upstream_id):
            if not attempt.state.is_service:
                sums = [a + b for a, b in zip(sums, attempt.reservation.amount, strict=True)]
        return tuple(max(part, 0) for part in sums)  # type: ignore[return-value]
