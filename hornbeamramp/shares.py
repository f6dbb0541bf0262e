"""Fair-share accounting of the pool by band, team and route, with headroom for learned demand.

Work within a flow's learned demand (first tier) is served before work beyond it (second tier). The
latter must leave capacity free for the learned demand of the others (headroom). Accounts of a band
share the pool by weighted dominant resource fairness.
"""

from math import exp

from hornbeamramp.demand import DemandSum
from hornbeamramp.flows import (
    BURST_SHARE,
    MIN_SHARE,
    TOLERANCE,
    Account,
    Flow,
    RouteUse,
    TeamUse,
)
from hornbeamramp.ids import RouteName, TeamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources, dominant_share
from hornbeamramp.states import Band

__all__ = ["FairShares"]

# Averaging time of learned demand. A flood that lasts as long as this does not displace what was
# learned before, because flows that are served keep their demand up to date.
DEMAND_AVERAGING_TIME_S = 300.0
# A flow that has had nothing queued or in use for IDLE_AFTER_S counts as ended: its demand decays
# with time constant IDLE_DECAY_S, because capacity kept free for it is wasted. Steady work is
# rarely idle for as long.
IDLE_AFTER_S = 20.0
IDLE_DECAY_S = 10.0
# Fraction of its fair share that a flow may use regardless of the learned demand of others.
UNCLAIMED_FRACTION = 0.5
# Services beyond their claim leave this multiple of the learned demand of others free. They are
# never preempted, and the slots they take on each upstream leave too little for larger tasks.
SERVICE_HEADROOM_FACTOR = 1.5


class FairShares:
    """Use by flow, account and team, as dominant shares of the pool's capacity."""

    def __init__(self, now: float = 0.0) -> None:
        self.total: Vector = (0, 0, 0, 0, 0)
        self.flow_by_key: dict[tuple[Band, TeamId, RouteName], Flow] = {}
        self.account_by_key: dict[tuple[Band, TeamId], Account] = {}
        self.use_by_team: dict[TeamId, TeamUse] = {}
        self._route_use_by_key: dict[tuple[Band, RouteName], RouteUse] = {}
        self._share_by_amount: dict[Vector, float] = {}
        self._last_flow_number = 0
        self._started_at = now
        # Sum of the weights of all accounts.
        self._total_weight = 0.0
        self._host_demand = DemandSum()
        self._excess = 0.0
        self._accelerator_demand = DemandSum()
        # Free capacity of the upstreams that may receive work.
        self.free = [0, 0, 0, 0, 0]

    def set_total(self, total: Vector) -> None:
        """Sets the pool's capacity and recomputes all shares."""
        self.total = total
        self._share_by_amount.clear()
        for account in self.account_by_key.values():
            account.share = dominant_share(account.used, self.total)
        for flow in self.flow_by_key.values():
            self._set_shares(flow)
        self._recompute_sums()

    def share_of(self, amount: Vector) -> float:
        """Returns the dominant share of one task of this size."""
        share = self._share_by_amount.get(amount)
        if share is None:
            if len(self._share_by_amount) > 10_000:
                self._share_by_amount.clear()
            share = self._share_by_amount[amount] = dominant_share(amount, self.total)
        return share

    def flow(
        self,
        band: Band,
        team: TeamId,
        route: RouteName,
        weight: float,
        limit: Resources | None,
        now: float,
    ) -> Flow:
        """Returns the flow; adds it with the team's weight and limit if it is new."""
        flow = self.flow_by_key.get((band, team, route))
        if flow is not None:
            return flow
        team_use = self.use_by_team.get(team)
        if team_use is None:
            team_use = self.use_by_team[team] = TeamUse(weight, limit)
        account = self.account_by_key.get((band, team))
        if account is None:
            account = self.account_by_key[(band, team)] = Account(band, team, weight, team_use, now)
            team_use.accounts.append(account)
            self._total_weight += weight
        self._last_flow_number += 1
        route_use = self._route_use_by_key.setdefault((band, route), RouteUse())
        flow = Flow(account, route, route_use, self._last_flow_number, now)
        self.flow_by_key[(band, team, route)] = flow
        return flow

    def add_use(self, flow: Flow, amount: Vector, now: float) -> None:
        """Counts a task as in use."""
        flow.host.max_task_share = max(flow.host.max_task_share, self._host_share(amount))
        if amount[2]:
            task_share = amount[2] / (self.total[2] or 1)
            flow.accelerators.max_task_share = max(flow.accelerators.max_task_share, task_share)
        self._change_use(flow, amount, 1, now)

    def remove_use(self, flow: Flow, amount: Vector, now: float) -> None:
        """Counts a task as no longer in use."""
        self._change_use(flow, amount, -1, now)

    def observe(self, flow: Flow, now: float) -> None:
        """Updates the learned demand with what the flow had in use since the last update."""
        elapsed = now - flow.updated
        if elapsed <= 0:
            return
        flow.updated = now
        if flow.share or flow.jobs:
            flow.active_at = now
        idle = now - flow.active_at > IDLE_AFTER_S
        growing = flow.host.share > flow.host.mean or (
            flow.accelerators.share > flow.accelerators.mean
        )
        if growing and flow.backlogged():
            return
        # A plain average during the first DEMAND_AVERAGING_TIME_S, so that demand is learned within
        # seconds after a change of owner. The claim of a flow that appears later grows slowly, or a
        # flood would get a claim at once.
        if idle:
            weight = 1.0 - exp(-elapsed / IDLE_DECAY_S)
        else:
            weight = elapsed / (min(DEMAND_AVERAGING_TIME_S, now - self._started_at) + elapsed)
        route_use, host = flow.route_use, flow.host
        route_use.mean -= host.mean
        route_use.variance -= host.variance
        self._host_demand.learn(host, weight)
        route_use.mean += host.mean
        route_use.variance += host.variance
        self._host_demand.update_capped(host)
        if flow.accelerators.share or flow.accelerators.mean:
            self._accelerator_demand.learn(flow.accelerators, weight)
            self._accelerator_demand.update_capped(flow.accelerators)

    def headroom(self, flow: Flow) -> float:
        """Returns the share of the pool to leave free for the learned demand of other flows."""
        return self._host_demand.headroom(flow.host)

    def first_tier(self, flow: Flow, amount: Vector) -> bool:
        """Tells whether another task of this size is first tier.

        It is if the route's work is within `BURST_SHARE`, or if the flow stays within its claim.
        Urgent work may exceed the claim of its route, up to `BURST_SHARE`, by as much as less
        urgent work exceeds its own.
        """
        if flow.bursting():
            return True
        band = flow.account.band
        if band == Band.URGENT and self._excess > 0:
            # Less urgent work uses more than its learned demand. Only this excess may be taken, or
            # the excess of one route would let a flood take the learned demand of all others.
            limit = min(flow.route_use.claim() + self._excess, BURST_SHARE[band])
            if flow.route_use.share + self.share_of(amount) <= limit:
                return True
        # A backlogged flow would use its whole claim all the time, which is more than it used
        # before; so only the mean counts.
        backlogged = flow.backlogged()
        host = flow.host
        claim = host.mean if backlogged else host.claim()
        if host.share + self._host_share(amount) > claim + TOLERANCE:
            return False
        if not amount[2]:
            return True
        own = flow.accelerators
        claim = own.mean if backlogged else own.claim()
        return own.share + amount[2] / (self.total[2] or 1) <= claim + TOLERANCE

    def leaves_headroom(self, flow: Flow, amount: Vector) -> bool:
        """Tells whether the others' learned demand still fits after one more task.

        Half its fair share is available to each flow, or unused claims could starve it.
        """
        if not flow.share:
            return True
        fair = flow.account.weight / max(self._total_weight, flow.account.weight)
        if flow.share + self.share_of(amount) <= UNCLAIMED_FRACTION * fair:
            return True
        # Headroom is kept in whole tasks, rounded to the nearest.
        left, total = 1.0, self.total
        slack = self._host_share(amount) / 2 + TOLERANCE
        for i in (0, 1, 3, 4):
            if amount[i]:
                part = (self.free[i] - amount[i]) / (total[i] or 1)
                if part < left:
                    left = part
        if left + slack < self._host_demand.headroom(flow.host):
            return False
        if not amount[2]:
            return True
        left = (self.free[2] - amount[2]) / (total[2] or 1)
        return left + TOLERANCE >= self._accelerator_demand.headroom(flow.accelerators)

    def leaves_headroom_for_service(self, flow: Flow, amount: Vector) -> bool:
        """Tells whether the flow may run another service task beyond its claim.

        The bound applies to the route's work in the band over all teams. Each flow may run one
        task, or claims for the whole pool could starve it.
        """
        if not flow.share:
            return True
        route_use = flow.route_use
        limit = max(
            1.0
            - SERVICE_HEADROOM_FACTOR
            * self._host_demand.demand_excluding(route_use.mean, route_use.variance),
            0.0,
        )
        if route_use.share + self.share_of(amount) > max(limit, route_use.claim()) + TOLERANCE:
            return False
        return self.leaves_headroom(flow, amount)

    def leaves_headroom_for_gang(self, flow: Flow, amount: Vector, count: int) -> bool:
        """Tells whether the flow may run a gang beyond its claim, once capacity is free.

        Free capacity is not checked, because a gang may wait with a reservation. A flow that runs
        no gang may run one of any size, or a gang larger than the unclaimed capacity would never
        run.
        """
        if not flow.gang_tasks:
            return True
        count += flow.gang_tasks
        host = self._host_share(amount) * count
        if host + self._host_demand.demand_of_others(flow.host) > 1.0 + TOLERANCE:
            return False
        if not amount[2]:
            return True
        own = amount[2] * count / (self.total[2] or 1)
        return own + self._accelerator_demand.demand_of_others(flow.accelerators) <= 1.0 + TOLERANCE

    def prune(self, now: float) -> None:
        """Removes flows and accounts that are not used, and rounding errors of the sums.

        A flow is removed if it has no use, no unfinished jobs and a claim below ``MIN_SHARE``.
        """
        for key, flow in list(self.flow_by_key.items()):
            self.observe(flow, now)
            if not flow.unfinished_jobs and not any(flow.used) and flow.claim() < MIN_SHARE:
                del self.flow_by_key[key]
        kept = {flow.account for flow in self.flow_by_key.values()}
        for account_key, account in list(self.account_by_key.items()):
            if account not in kept and account.score(now) < MIN_SHARE:
                del self.account_by_key[account_key]
                account.team_use.accounts.remove(account)
                if not account.team_use.accounts:
                    del self.use_by_team[account.team]
        self._total_weight = sum(account.weight for account in self.account_by_key.values())
        self._recompute_sums()

    def _change_use(self, flow: Flow, amount: Vector, sign: int, now: float) -> None:
        self.observe(flow, now)
        account = flow.account
        account.observe(now)
        for used in (flow.used, account.used, account.team_use.used):
            used[0] += sign * amount[0]
            used[1] += sign * amount[1]
            used[2] += sign * amount[2]
            used[3] += sign * amount[3]
            used[4] += sign * amount[4]
        account.share = dominant_share(account.used, self.total)
        self._set_shares(flow)
        self._host_demand.update_capped(flow.host)
        self._update_excess(flow.account.band, flow.route_use)
        if amount[2]:
            self._accelerator_demand.update_capped(flow.accelerators)

    def note_stopping(self, flow: Flow, share: float) -> None:
        """Adds to the share of tasks that were told to stop; negative once they have ended."""
        stopping = max(flow.stopping + share, 0.0) if flow.share else 0.0
        flow.route_use.stopping += stopping - flow.stopping
        flow.stopping = stopping
        self._update_excess(flow.account.band, flow.route_use)

    def _update_excess(self, band: Band, route_use: RouteUse) -> None:
        if band < Band.NORMAL:
            return
        excess = route_use.share - route_use.stopping - route_use.claim()
        excess = excess if excess > MIN_SHARE else 0.0
        self._excess += excess - route_use.excess
        route_use.excess = excess

    def _set_shares(self, flow: Flow) -> None:
        used = flow.used
        flow.host.share = self._host_share(used)
        flow.accelerators.share = used[2] / (self.total[2] or 1) if used[2] else 0.0
        share = max(flow.host.share, flow.accelerators.share)
        flow.route_use.share += share - flow.share
        flow.share = share

    def _recompute_sums(self) -> None:
        flows = self.flow_by_key.values()
        self._route_use_by_key = {(flow.account.band, flow.route): flow.route_use for flow in flows}
        for route_use in self._route_use_by_key.values():
            route_use.reset()
        for flow in flows:
            flow.route_use.add(flow)
        for (band, _), route_use in self._route_use_by_key.items():
            self._update_excess(band, route_use)
        self._excess = sum(route_use.excess for route_use in self._route_use_by_key.values())
        self._host_demand.recompute([flow.host for flow in flows])
        self._accelerator_demand.recompute([flow.accelerators for flow in flows])

    def _host_share(self, used: Vector | list[int]) -> float:
        capacity = self.total
        share = used[0] / capacity[0] if capacity[0] else 0.0
        for i in (1, 3, 4):
            if capacity[i] and used[i]:
                part = used[i] / capacity[i]
                if part > share:
                    share = part
        return share
