"""Capacity held for tasks that can't start yet: gang reservations and capacity being preempted."""

from collections.abc import Iterable

from hornbeamramp.ids import UpstreamId
from hornbeamramp.ledger import Ledger, Vector
from hornbeamramp.policies.gang import fit_count
from hornbeamramp.task_table import JobState

__all__ = ["Hold", "Holds"]


class Hold:
    """Tasks of one job that wait for capacity on chosen upstreams. Times are seconds of boot time.

    `start_at`
        When the tasks are expected to start; work that ends before then may use the capacity.
    `expires_at`
        When the hold is released if its tasks have not started by then.
    """

    __slots__ = (
        "active",
        "amount",
        "count_by_id",
        "expires_at",
        "is_gang",
        "start_at",
        "state",
        "tasks",
    )

    def __init__(
        self,
        state: JobState,
        tasks: list[int],
        upstream_ids: list[UpstreamId],
        start_at: float,
        expires_at: float,
        is_gang: bool,
    ) -> None:
        self.state = state
        self.tasks = tasks
        self.amount = state.amount
        self.count_by_id: dict[UpstreamId, int] = {}
        for upstream_id in upstream_ids:
            self.count_by_id[upstream_id] = self.count_by_id.get(upstream_id, 0) + 1
        self.start_at = start_at
        self.expires_at = expires_at
        self.is_gang = is_gang
        self.active = True


class Holds:
    """Holds by upstream. An upstream's held amount is not free for other work.

    `gang_count`
        Number of holds that are reservations of gangs.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._by_upstream: dict[UpstreamId, list[Hold]] = {}
        self._changed: dict[Hold, None] = {}
        self.all: dict[Hold, None] = {}
        self.gang_count = 0

    def add(self, hold: Hold) -> None:
        self.all[hold] = None
        self.gang_count += hold.is_gang
        if hold.state.holds is None:
            hold.state.holds = []
        hold.state.holds.append(hold)
        for upstream_id in hold.count_by_id:
            self._by_upstream.setdefault(upstream_id, []).append(hold)
        self._changed[hold] = None

    def remove(self, hold: Hold) -> None:
        """Removes a hold; without effect if it was removed before."""
        if not hold.active:
            return
        hold.active = False
        del self.all[hold]
        self.gang_count -= hold.is_gang
        self._changed.pop(hold, None)
        if hold.state.holds is not None:
            hold.state.holds.remove(hold)
        for upstream_id in hold.count_by_id:
            holds = self._by_upstream[upstream_id]
            holds.remove(hold)
            if not holds:
                del self._by_upstream[upstream_id]

    def on_upstream(self, upstream_id: UpstreamId) -> Iterable[Hold]:
        """Returns the holds on an upstream."""
        return tuple(self._by_upstream.get(upstream_id, ()))

    def held(self, upstream_id: UpstreamId) -> Vector | None:
        """Returns the amount held on an upstream, or ``None`` if there is none."""
        holds = self._by_upstream.get(upstream_id)
        if not holds:
            return None
        sums = [0, 0, 0, 0, 0]
        for hold in holds:
            count = hold.count_by_id[upstream_id]
            for i in range(5):
                sums[i] += hold.amount[i] * count
        return tuple(sums)  # type: ignore[return-value]

    def touch(self, upstream_id: UpstreamId) -> None:
        """Has `next_ready` check the holds on an upstream whose free capacity changed."""
        for hold in self._by_upstream.get(upstream_id, ()):
            self._changed[hold] = None

    def next_ready(self) -> Hold | None:
        """Returns a hold whose tasks fit now, or ``None``; checks only holds marked as changed."""
        while self._changed:
            hold = next(iter(self._changed))
            del self._changed[hold]
            if hold.active and self._fits(hold):
                return hold
        return None

    def expired(self, now: float) -> list[Hold]:
        """Returns the holds that have expired by ``now``."""
        return [hold for hold in self.all if hold.expires_at <= now]

    def _fits(self, hold: Hold) -> bool:
        return all(
            fit_count(hold.amount, self._ledger.free(upstream_id)) >= count
            for upstream_id, count in hold.count_by_id.items()
        )
