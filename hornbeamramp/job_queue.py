"""Job queue, ordered by band, weighted dominant share and run time with an age bound.

Jobs of one flow and one size class wait in a lane. Lanes of one band and size class form a group,
ordered by tier, share and the lane's first job. A size class for which no capacity is free is
parked: its groups are skipped until enough capacity is free, so a job that does not fit costs no
search while it waits. Cancelled jobs stay in their lane's heap until it is compacted.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterator

from hornbeamramp.band_credit import GUARANTEED_SHARE, BandCredit
from hornbeamramp.flows import Account, Flow, TeamUse
from hornbeamramp.lane_order import LaneOrder
from hornbeamramp.lanes import Group, Lane, SizeClass, class_key
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.shares import FairShares
from hornbeamramp.states import Band
from hornbeamramp.task_table import JobState

__all__ = ["AGE_BOUND_S", "JobQueue"]

# A job can be overtaken only by jobs that arrive within this time after it.
AGE_BOUND_S = 60.0
# A shorter job overtakes one that arrived earlier by up to this many times their difference in
# expected run time.
OVERTAKE_RUN_FACTOR = 5.0
# All further size classes of a flow share one lane, to bound the work per decision.
MAX_LANES_PER_FLOW = 32
# A lane is compacted when it has more cancelled entries than live ones plus this number.
MAX_EXTRA_STALE_ENTRIES = 32


class JobQueue:
    """Queued jobs of one shard.

    `shares`
        Use by flow, which decides tier and order of lanes.
    `fair`
        If false, jobs are served in order of arrival, whatever their band and team.
    """

    def __init__(self, shares: FairShares, fair: bool = True) -> None:
        self._shares = shares
        self._fair = fair
        self._order = LaneOrder(shares, fair, self.park)
        self._class_by_key: dict[tuple, SizeClass] = {}
        self._group_by_key: dict[tuple[Band, tuple], Group] = {}
        self._ready: dict[Band, dict[tuple, Group]] = {band: {} for band in Band}
        self._parked: dict[tuple, SizeClass] = {}
        self._refresh_ring: deque[Lane] = deque()
        # Entries that the last search has not examined yet, as a heap.
        self._search_heap: list[tuple] = []
        self._credit = BandCredit()
        self.jobs_by_band = dict.fromkeys(Band, 0)
        # Sum of the weights of teams with queued jobs.
        self.waiting_weight = 0.0
        # Expected work queued, as seconds of the whole pool.
        self.work_by_band = dict.fromkeys(Band, 0.0)

    def __len__(self) -> int:
        return sum(self.jobs_by_band.values())

    def push(self, state: JobState) -> None:
        """Queues a job with tasks to be placed. Its size and run time must be set."""
        flow = state.flow
        lane = self._lane_of(state)
        state.lane = lane
        if not self._fair:
            state.order_key = 0.0
        else:
            state.order_key = state.submitted + min(OVERTAKE_RUN_FACTOR * state.run, AGE_BOUND_S)
            if state.deadline is not None:
                state.order_key = min(state.order_key, state.deadline - state.run)
        heapq.heappush(lane.heap, (state.order_key, state.sequence, state))
        lane.live_entries += 1
        flow.jobs += 1
        team_use = flow.account.team_use
        if not team_use.jobs:
            self.waiting_weight += team_use.weight
        team_use.jobs += 1
        self.jobs_by_band[flow.account.band] += 1
        self._adjust_counts(lane, state, state.pending)
        self._order.reorder(lane)

    def tasks_added(self, state: JobState, count: int) -> None:
        """Counts tasks that were returned to a queued job."""
        assert state.lane is not None
        self._adjust_counts(state.lane, state, count)

    def cancel(self, state: JobState) -> None:
        """Removes a job in O(1), amortised; without effect if it is not queued."""
        lane = state.lane
        if lane is None:
            return
        self._adjust_counts(lane, state, -state.pending)
        self._remove(state)
        if len(lane.heap) > 2 * lane.live_entries + MAX_EXTRA_STALE_ENTRIES:
            lane.heap = [entry for entry in lane.heap if entry[2].lane is lane]
            heapq.heapify(lane.heap)
        if not lane.live_entries:
            self._drop_lane(lane)

    def tasks_taken(self, state: JobState, count: int) -> None:
        """Counts tasks taken from a queued job. The job leaves the queue with its last task."""
        lane = state.lane
        assert lane is not None
        self._adjust_counts(lane, state, -count)
        if state.pending == 0:
            self._remove(state)
            if lane.heap and lane.heap[0][2] is state:
                # The entry would become valid again if a task of the job is put back.
                heapq.heappop(lane.heap)
            if not lane.live_entries:
                self._drop_lane(lane)

    def peek_best(
        self,
        now: float,
        may_start: Callable[[JobState], bool],
        may_fit: Callable[[JobState, bool], bool],
        resume: bool = False,
    ) -> tuple[JobState, bool, bool] | None:
        """Returns the job to be served next, without removing it.

        Also returns whether it is first tier, and whether it is served for its band's guaranteed
        share.

        `may_start`
            Tells whether a second-tier job leaves enough headroom for others.
        `may_fit`
            Tells whether it is worth trying to place a job, given whether it is first tier. The
            size classes of jobs for which it is not are parked.
        `resume`
            Continues the last search. Allowed only if nothing has changed since, except that
            the job found was parked or waits for quota; all other keys are then the same.
        """
        if not resume:
            self._search_heap = [
                group.heap[0]
                for groups in self._ready.values()
                for group in groups.values()
                if group.heap
            ]
            heapq.heapify(self._search_heap)
        best = self._order.best_of(self._search_heap, now, may_start, may_fit)
        if not self._fair:
            return best and (*best, False)
        for band in GUARANTEED_SHARE:
            if (best is None or band > best[0].job.band) and self._credit.may_cover(band):
                guaranteed = self._next_guaranteed(band, now, may_fit)
                if guaranteed is not None:
                    return (*guaranteed, True)
        return best and (*best, False)

    def charge(self, band: Band, work: float) -> None:
        """Counts started work, in seconds of the whole pool, towards the guaranteed shares."""
        self._credit.charge(band, work, self.jobs_by_band)

    def park(self, state: JobState) -> None:
        """Skips the job's size class until `unpark` is called with enough free capacity."""
        lane = state.lane
        assert lane is not None
        size_class = lane.group.size_class
        size_class.needed = state.amount
        if size_class.parked:
            return
        size_class.parked = True
        self._parked[size_class.key] = size_class
        for groups in self._ready.values():
            groups.pop(size_class.key, None)

    def unpark(self, free: Vector) -> None:
        """Makes ready the parked classes that may fit into ``free``."""
        f0, f1, f2, f3, f4 = free
        for size_class in list(self._parked.values()):
            need = size_class.needed
            if (
                f0 >= need[0]
                and f1 >= need[1]
                and f2 >= need[2]
                and f3 >= need[3]
                and f4 >= need[4]
            ):
                self._make_ready(size_class)

    def wait_for_quota(self, state: JobState) -> None:
        """Skips the job's lane until `account_changed` is called for its account."""
        assert state.lane is not None
        state.lane.waits_for_quota = True

    def account_changed(self, account: Account, now: float) -> None:
        """Reorders the lanes of an account after its use fell."""
        limited = account.team_use.limit is not None
        for other in account.team_use.accounts if limited else (account,):
            level = other.level(now)
            reordered = limited or level < other.highest_entry_level
            other.highest_entry_level = level
            for lane in other.lanes:
                entry = lane.entry
                if reordered or entry is None or (entry[0] and lane.flow.below_claim()):
                    lane.waits_for_quota = False
                    self._order.reorder(lane, now)

    def set_quota(
        self, team_use: TeamUse, weight: float, limit: Resources | None, now: float
    ) -> None:
        """Changes the weight and limit of a team."""
        if team_use.jobs:
            self.waiting_weight += weight - team_use.weight
        team_use.weight = weight
        for account in team_use.accounts:
            account.weight = weight
            self.account_changed(account, now)
        team_use.limit = None if limit is None else limit.as_tuple()

    def refresh(self, now: float, count: int) -> None:
        """Reorders up to ``count`` lanes, because past use decays without any event."""
        ring = self._refresh_ring
        for _ in range(min(count, len(ring))):
            lane = ring.popleft()
            if lane.live_entries:
                self._order.reorder(lane, now)
                ring.append(lane)

    def recount(self) -> None:
        """Recomputes the queued work after the capacity of the pool changed."""
        self.work_by_band = dict.fromkeys(Band, 0.0)
        for flow in self._shares.flow_by_key.values():
            flow.queued = 0.0
            for lane in flow.lanes.values():
                share = self._lane_share(lane)
                flow.queued += share * lane.pending
                self.work_by_band[flow.account.band] += share * lane.run

    def work_of(self, flow: Flow) -> float:
        """Returns the expected work queued in a flow, as seconds of the whole pool."""
        return sum(self._lane_share(lane) * lane.run for lane in flow.lanes.values())

    def is_parked(self, key: tuple) -> bool:
        """Tells whether the size class with this key is parked."""
        return key in self._parked

    def states(self) -> Iterator[JobState]:
        """Yields the queued jobs, in no particular order."""
        for flow in self._shares.flow_by_key.values():
            for lane in flow.lanes.values():
                for _, _, state in lane.heap:
                    if state.lane is lane:
                        yield state

    def _lane_of(self, state: JobState) -> Lane:
        flow = state.flow
        key = class_key(state)
        lane = flow.lanes.get(key)
        if lane is not None:
            return lane
        if len(flow.lanes) >= MAX_LANES_PER_FLOW:
            key = ("other", flow.number)
            lane = flow.lanes.get(key)
            if lane is not None:
                return lane
        size_class = self._class_by_key.get(key)
        if size_class is None:
            size_class = self._class_by_key[key] = SizeClass(key)
        band = flow.account.band
        group = self._group_by_key.get((band, key))
        if group is None:
            group = self._group_by_key[(band, key)] = Group(band, size_class)
        lane = flow.lanes[key] = Lane(flow, group, state.amount)
        flow.account.lanes[lane] = None
        group.lanes += 1
        size_class.lanes += 1
        if not size_class.parked:
            self._ready[band][key] = group
        self._refresh_ring.append(lane)
        return lane

    def _drop_lane(self, lane: Lane) -> None:
        group, flow = lane.group, lane.flow
        key, band = group.size_class.key, group.band
        del flow.lanes[key]
        del flow.account.lanes[lane]
        lane.entry = None
        lane.heap = []
        group.lanes -= 1
        group.size_class.lanes -= 1
        if not group.lanes:
            del self._group_by_key[(band, key)]
            self._ready[band].pop(key, None)
        if not group.size_class.lanes:
            del self._class_by_key[key]
            self._parked.pop(key, None)
        if not self.jobs_by_band[band]:
            self._credit.clear(band)
            self.work_by_band[band] = 0.0
        if not flow.lanes:
            flow.queued = 0.0

    def _remove(self, state: JobState) -> None:
        lane = state.lane
        assert lane is not None
        state.lane = None
        lane.live_entries -= 1
        state.flow.jobs -= 1
        team_use = state.flow.account.team_use
        team_use.jobs -= 1
        if not team_use.jobs:
            self.waiting_weight -= team_use.weight
        self.jobs_by_band[state.flow.account.band] -= 1

    def _adjust_counts(self, lane: Lane, state: JobState, tasks: int) -> None:
        share = self._lane_share(lane)
        run = tasks * state.run
        lane.pending += tasks
        lane.run += run
        lane.flow.queued += share * tasks
        self.work_by_band[lane.group.band] += share * run

    def _lane_share(self, lane: Lane) -> float:
        return self._shares.share_of(lane.amount)

    def _make_ready(self, size_class: SizeClass) -> None:
        size_class.parked = False
        self._parked.pop(size_class.key, None)
        for band, groups in self._ready.items():
            group = self._group_by_key.get((band, size_class.key))
            if group is not None:
                groups[size_class.key] = group

    def _next_guaranteed(
        self, band: Band, now: float, may_fit: Callable[[JobState, bool], bool]
    ) -> tuple[JobState, bool] | None:
        """Returns the first job of a band if the credit of its guaranteed share covers it.

        Headroom does not apply to such a job, or claims of others could starve the band.
        """
        tops = [group.heap[0] for group in self._ready[band].values() if group.heap]
        heapq.heapify(tops)
        best = self._order.best_of(tops, now, lambda _: True, may_fit)
        if best is None:
            return None
        cost = self._shares.share_of(best[0].amount) * best[0].run
        return best if self._credit.covers(band, cost) else None
