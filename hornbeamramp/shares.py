"""Use of the pool by band, team and route, and the room others are learned to need.

Work within a flow's learned demand goes before work beyond it, and work beyond it leaves free what
the others are learned to need (headroom). Accounts of a band share by weighted dominant resource
share.
"""

from math import exp

from hornbeamramp.demand import DemandSum
from hornbeamramp.flows import (
    BURST_SHARE,
    LEAST_SHARE,
    TOLERANCE,
    Account,
    Flow,
    KindUse,
    TeamUse,
)
from hornbeamramp.ids import RouteName, TeamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band

__all__ = ["ShareBook"]

# Seconds over which demand is learned; a flood that lasts as long as this does not push out what
# was learned before, because flows that are served keep their demand current.
DEMAND_TIME = 300.0
# A flow that has nothing queued and nothing in use for so many seconds has ended: its demand is
# forgotten over ``IDLE_TIME`` seconds, because room kept for it is wasted. Steady work is rarely
# idle for as long.
IDLE_AFTER = 20.0
IDLE_TIME = 10.0
# Part of its fair share that a flow may use whatever others are learned to need.
UNCLAIMED_PART = 0.5
# Standing work beyond its claim leaves room for this many times the learned demand of others. It is
# never preempted and takes slots on each machine, which leaves rooms too small for larger tasks.
STANDING_MARGIN = 1.5


class ShareBook:
    """Use by flow, account and team, as dominant shares of the pool's capacity."""

    def __init__(self, now: float = 0.0) -> None:
        self.total: Vector = (0, 0, 0, 0, 0)
        self.flow_by_key: dict[tuple[Band, TeamId, RouteName], Flow] = {}
        self.account_by_key: dict[tuple[Band, TeamId], Account] = {}
        self.use_by_team: dict[TeamId, TeamUse] = {}
        self._kind_by_key: dict[tuple[Band, RouteName], KindUse] = {}
        self._share_by_amount: dict[Vector, float] = {}
        self._number = 0
        self._since = now
        # Sum of the weights of all accounts.
        self._weights = 0.0
        self._host = DemandSum()
        self._excess = 0.0
        self._accelerators = DemandSum()
        # Free capacity of the upstreams that may receive work.
        self.free = [0, 0, 0, 0, 0]

    def set_total(self, total: Vector) -> None:
        """Sets the pool's capacity and puts all shares in relation to it."""
        self.total = total
        self._share_by_amount.clear()
        for account in self.account_by_key.values():
            account.share = self._share(account.used)
        for flow in self.flow_by_key.values():
            self._set_shares(flow)
        self._sum_up()

    def share_of(self, amount: Vector) -> float:
        """Returns the dominant share of one task of this size."""
        share = self._share_by_amount.get(amount)
        if share is None:
            if len(self._share_by_amount) > 10_000:
                self._share_by_amount.clear()
            share = self._share_by_amount[amount] = self._share(amount)
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
            self._weights += weight
        self._number += 1
        kind = self._kind_by_key.setdefault((band, route), KindUse())
        flow = Flow(account, route, kind, self._number, now)
        self.flow_by_key[(band, team, route)] = flow
        return flow

    def take(self, flow: Flow, amount: Vector, now: float) -> None:
        """Counts a task as in use."""
        flow.host.unit = max(flow.host.unit, self._host_share(amount))
        if amount[2]:
            unit = amount[2] / (self.total[2] or 1)
            flow.accelerators.unit = max(flow.accelerators.unit, unit)
        self._change(flow, amount, 1, now)

    def give_back(self, flow: Flow, amount: Vector, now: float) -> None:
        """Counts a task as no longer in use."""
        self._change(flow, amount, -1, now)

    def observe(self, flow: Flow, now: float) -> None:
        """Learns from what the flow had in use since it last changed."""
        elapsed = now - flow.updated
        if elapsed <= 0:
            return
        flow.updated = now
        if flow.share or flow.jobs:
            flow.active_at = now
        idle = now - flow.active_at > IDLE_AFTER
        growing = flow.host.share > flow.host.mean or (
            flow.accelerators.share > flow.accelerators.mean
        )
        if growing and flow.backlogged():
            return
        # A plain average while the scheduler is young, so that demand is learned within seconds
        # after a take-over. A flow that appears later earns its claim slowly, or a flood would.
        if idle:
            weight = 1.0 - exp(-elapsed / IDLE_TIME)
        else:
            weight = elapsed / (min(DEMAND_TIME, now - self._since) + elapsed)
        kind, host = flow.kind, flow.host
        kind.mean -= host.mean
        kind.variance -= host.variance
        self._host.learn(host, weight)
        kind.mean += host.mean
        kind.variance += host.variance
        self._host.update_capped(host)
        if flow.accelerators.share or flow.accelerators.mean:
            self._accelerators.learn(flow.accelerators, weight)
            self._accelerators.update_capped(flow.accelerators)

    def headroom(self, flow: Flow) -> float:
        """Returns the share of the pool that ``flow`` leaves free for others' learned demand."""
        return self._host.headroom(flow.host)

    def first_tier(self, flow: Flow, amount: Vector) -> bool:
        """Tells whether another task of this size is within what the flow may claim."""
        if flow.bursting():
            return True
        band = flow.account.band
        if band == Band.URGENT and self._excess > 0:
            # Less urgent work uses more than its learned demand; that room may be taken, but no
            # more than it, or one kind's excess would open the demand of all others to a flood.
            most = min(flow.kind.claim() + self._excess, BURST_SHARE[band])
            if flow.kind.share + self.share_of(amount) <= most:
                return True
        # A backlogged flow would use its whole claim all the time; that is more than it used to.
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

        Half its fair share is open to each flow, or idle claims could shut it out.
        """
        if not flow.share:
            return True
        fair = flow.account.weight / max(self._weights, flow.account.weight)
        if flow.share + self.share_of(amount) <= UNCLAIMED_PART * fair:
            return True
        # Headroom is kept in whole tasks, rounded to the nearest.
        left, total = 1.0, self.total
        slack = self._host_share(amount) / 2 + TOLERANCE
        for i in (0, 1, 3, 4):
            if amount[i]:
                part = (self.free[i] - amount[i]) / (total[i] or 1)
                if part < left:
                    left = part
        if left + slack < self._host.headroom(flow.host):
            return False
        if not amount[2]:
            return True
        left = (self.free[2] - amount[2]) / (total[2] or 1)
        return left + TOLERANCE >= self._accelerators.headroom(flow.accelerators)

    def leaves_headroom_for_standing(self, flow: Flow, amount: Vector) -> bool:
        """Tells whether the flow may run another standing task beyond its claim.

        The bound holds for all teams' work of the kind together. Each flow may run one task, or
        claims for the whole pool could shut it out.
        """
        if not flow.share:
            return True
        kind = flow.kind
        most = max(
            1.0 - STANDING_MARGIN * self._host.demand_excluding(kind.mean, kind.variance), 0.0
        )
        if kind.share + self.share_of(amount) > max(most, kind.claim()) + TOLERANCE:
            return False
        return self.leaves_headroom(flow, amount)

    def leaves_headroom_for_gang(self, flow: Flow, amount: Vector, count: int) -> bool:
        """Tells whether the flow may run a gang beyond its claim, once there is room for it.

        Free capacity is not asked for, because a gang may wait with a reservation. A flow that runs
        no gang may run any, or one larger than the unclaimed part would never run.
        """
        if not flow.gang_tasks:
            return True
        count += flow.gang_tasks
        host = self._host_share(amount) * count
        if host + self._host.demand_of_others(flow.host) > 1.0 + TOLERANCE:
            return False
        if not amount[2]:
            return True
        own = amount[2] * count / (self.total[2] or 1)
        return own + self._accelerators.demand_of_others(flow.accelerators) <= 1.0 + TOLERANCE

    def prune(self, now: float) -> None:
        """Forgets flows without use, queue or noticeable demand. Removes rounding errors."""
        for key, flow in list(self.flow_by_key.items()):
            self.observe(flow, now)
            if not flow.states and not any(flow.used) and flow.claim() < LEAST_SHARE:
                del self.flow_by_key[key]
        kept = {flow.account for flow in self.flow_by_key.values()}
        for account_key, account in list(self.account_by_key.items()):
            if account not in kept and account.score(now) < LEAST_SHARE:
                del self.account_by_key[account_key]
                account.team_use.accounts.remove(account)
                if not account.team_use.accounts:
                    del self.use_by_team[account.team]
        self._weights = sum(account.weight for account in self.account_by_key.values())
        self._sum_up()

    def _change(self, flow: Flow, amount: Vector, sign: int, now: float) -> None:
        self.observe(flow, now)
        account = flow.account
        account.observe(now)
        for used in (flow.used, account.used, account.team_use.used):
            used[0] += sign * amount[0]
            used[1] += sign * amount[1]
            used[2] += sign * amount[2]
            used[3] += sign * amount[3]
            used[4] += sign * amount[4]
        account.share = self._share(account.used)
        self._set_shares(flow)
        self._host.update_capped(flow.host)
        self._recap_excess(flow.account.band, flow.kind)
        if amount[2]:
            self._accelerators.update_capped(flow.accelerators)

    def note_stopping(self, flow: Flow, share: float) -> None:
        """Adds to the share of tasks that were ordered to end; negative once they have ended."""
        stopping = max(flow.stopping + share, 0.0) if flow.share else 0.0
        flow.kind.stopping += stopping - flow.stopping
        flow.stopping = stopping
        self._recap_excess(flow.account.band, flow.kind)

    def _recap_excess(self, band: Band, kind: KindUse) -> None:
        if band < Band.NORMAL:
            return
        excess = kind.share - kind.stopping - kind.claim()
        excess = excess if excess > LEAST_SHARE else 0.0
        self._excess += excess - kind.excess
        kind.excess = excess

    def _set_shares(self, flow: Flow) -> None:
        used = flow.used
        flow.host.share = self._host_share(used)
        flow.accelerators.share = used[2] / (self.total[2] or 1) if used[2] else 0.0
        share = max(flow.host.share, flow.accelerators.share)
        flow.kind.share += share - flow.share
        flow.share = share

    def _sum_up(self) -> None:
        flows = self.flow_by_key.values()
        self._kind_by_key = {(flow.account.band, flow.route): flow.kind for flow in flows}
        for kind in self._kind_by_key.values():
            kind.reset()
        for flow in flows:
            flow.kind.add(flow)
        for (band, _), kind in self._kind_by_key.items():
            self._recap_excess(band, kind)
        self._excess = sum(kind.excess for kind in self._kind_by_key.values())
        self._host.recompute([flow.host for flow in flows])
        self._accelerators.recompute([flow.accelerators for flow in flows])

    def _host_share(self, used: Vector | list[int]) -> float:
        t = self.total
        share = used[0] / t[0] if t[0] else 0.0
        for i in (1, 3, 4):
            if t[i] and used[i]:
                part = used[i] / t[i]
                if part > share:
                    share = part
        return share

    def _share(self, used: Vector | list[int]) -> float:
        t = self.total
        share = 0.0
        for i in (0, 1, 2, 3, 4):
            if used[i]:
                part = used[i] / t[i] if t[i] else 1.0
                if part > share:
                    share = part
        return share
