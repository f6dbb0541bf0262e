"""Order of lanes: tier, band, level of the account, then the lane's first job."""

import heapq
from collections.abc import Callable

from hornbeamramp.lanes import Group, Lane
from hornbeamramp.shares import FairShares
from hornbeamramp.task_table import JobState

__all__ = ["LaneOrder"]


class LaneOrder:
    """Keeps the heaps of groups in order and finds the best job over several groups.

    `park`
        Called with a job whose size class is to be skipped.
    """

    def __init__(self, shares: FairShares, fair: bool, park: Callable[[JobState], None]) -> None:
        self._shares = shares
        self._fair = fair
        self._park = park

    def reorder(self, lane: Lane, now: float | None = None) -> None:
        """Adds a new heap entry of the lane if its key fell or it has no entry."""
        key = self._key(lane, lane.flow.account.updated if now is None else now)
        if key is not None and (lane.entry is None or key[:5] < lane.entry[:5]):
            lane.entry = key
            heapq.heappush(lane.group.heap, key)

    def best_of(
        self,
        tops: list[tuple],
        now: float,
        may_start: Callable[[JobState], bool],
        may_fit: Callable[[JobState, bool], bool],
    ) -> tuple[JobState, bool] | None:
        """Returns the best job of the groups with these entries on top, given as a heap.

        Entries are replaced when keys fall but not when they rise, so an entry is a lower bound and
        only the lowest ones are recomputed.
        """
        while tops:
            entry = tops[0]
            group = entry[-1].group
            if group.size_class.parked:
                heapq.heappop(tops)
                continue
            key = self._top_key(group, now)
            if key is None:
                heapq.heappop(tops)
                continue
            if key[:5] > entry[:5]:
                heapq.heapreplace(tops, key)
                continue
            state, first_tier = key[-1].first_job(), not key[0]
            if not may_fit(state, first_tier):
                self._park(state)
            elif first_tier or may_start(state):
                return state, first_tier
            heapq.heappop(tops)
        return None

    def _key(self, lane: Lane, now: float) -> tuple | None:
        if lane.waits_for_quota:
            return None
        state = lane.first_job()
        if state is None:
            return None
        if not self._fair:
            return (0, 0, 0, 0.0, state.sequence, lane)
        flow = lane.flow
        tier = 0 if self._shares.first_tier(flow, state.amount) else 1
        account = flow.account
        level = account.level(now)
        if level > account.highest_entry_level:
            account.highest_entry_level = level
        return (tier, account.band, level, state.order_key, state.sequence, lane)

    def _top_key(self, group: Group, now: float) -> tuple | None:
        heap = group.heap
        while heap:
            entry = heap[0]
            lane = entry[-1]
            if lane.entry is not entry:
                heapq.heappop(heap)
                continue
            key = self._key(lane, now)
            if key is None:
                heapq.heappop(heap)
                lane.entry = None
            elif key[:5] > entry[:5]:
                lane.entry = key
                heapq.heapreplace(heap, key)
            else:
                return key
        return None
