"""Use of the pool by band, team and route, and the room others are learned to need.

A flow is the work of one route of one team in one band. Its demand is learned from what it has in
use while it is not backlogged, so a flood does not raise the demand of the flow that floods. Work
within a flow's learned demand goes before work beyond it, and work beyond it leaves free what the
others are learned to need (headroom). An account is one team in one band; accounts of a band share
by weighted dominant resource share.
"""

from math import exp, log2

from hornbeamramp.demand import Demand, DemandSum
from hornbeamramp.ids import RouteName, TeamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band

__all__ = ["Account", "Flow", "ShareBook", "TeamUse"]

# Seconds over which demand is learned; a flood that lasts as long as this does not push out what
# was learned before, because flows that are served keep their demand current.
DEMAND_TIME = 300.0
# Seconds over which past use counts against a team.
RECENT_TIME = 30.0
# A flow of these bands is served like learned demand while all of its work, running and queued,
# takes less than this share of the pool; beyond it, the flow is a flood.
BURST_SHARE = {Band.URGENT: 0.5, Band.SERVICE: 0.25}
# A flow whose queue needs more than it has in use, and more than this, is backlogged.
LEAST_BACKLOG = 0.01
# Rounding error of sums of shares.
TOLERANCE = 1e-9
# Steps of the logarithmic scale on which accounts are compared, for each doubling.
LEVELS = 8
# Learned demand and past use below this share of the pool are forgotten.
LEAST_SHARE = 1e-5


class TeamUse:
    """What a team has in use and queued over all bands, against its limit."""

    __slots__ = ("accounts", "jobs", "limit", "used", "weight")

    def __init__(self, weight: float, limit: Resources | None) -> None:
        self.weight = weight
        self.jobs = 0
        self.limit: Vector | None = None if limit is None else limit.as_tuple()
        self.used = [0, 0, 0, 0, 0]
        self.accounts: list[Account] = []

    def allows(self, amount: Vector, count: int = 1) -> bool:
        """Tells whether ``count`` more tasks of this size stay within the limit."""
        if self.limit is None:
            return True
        return all(
            used + need * count <= most
            for used, need, most in zip(self.used, amount, self.limit, strict=True)
        )


class Account:
    """A team in a band. ``share`` is its dominant share of the pool, ``recent`` its past one."""

    __slots__ = (
        "band",
        "lanes",
        "offered",
        "recent",
        "share",
        "team",
        "team_use",
        "updated",
        "used",
        "weight",
    )

    def __init__(
        self, band: Band, team: TeamId, weight: float, team_use: TeamUse, now: float
    ) -> None:
        self.band = band
        self.team = team
        self.weight = weight
        self.team_use = team_use
        self.used = [0, 0, 0, 0, 0]
        self.share = 0.0
        self.recent = 0.0
        self.updated = now
        # Lanes of queued jobs, in the order in which they were added.
        self.lanes: dict = {}
        # Highest level with which its lanes may be in order.
        self.offered = 0

    def observe(self, now: float) -> None:
        if now > self.updated:
            kept = exp((self.updated - now) / RECENT_TIME)
            self.recent = self.share + (self.recent - self.share) * kept
            self.updated = now

    def score(self, now: float) -> float:
        """Returns use in relation to weight; the account with the lowest is served next."""
        self.observe(now)
        return (self.share + self.recent) / self.weight

    def level(self, now: float) -> int:
        """Returns the score on a logarithmic scale.

        Accounts within a step are served by expected time. Small changes of use, which each start
        and end brings, then leave the order of queued work as it is.
        """
        return int(LEVELS * log2(self.score(now) + LEAST_SHARE))


class Flow:
    """A route of an account.

    `host`, `accelerators`
        Demand for the larger of processors, memory, slots and connections, and for accelerators.
        They are kept apart so that claims on accelerators leave processors to other work.
    `queued`, `jobs`
        Dominant share of all queued tasks together, and number of queued jobs.
    """

    __slots__ = (
        "account",
        "accelerators",
        "host",
        "jobs",
        "lanes",
        "number",
        "queued",
        "route",
        "states",
        "share",
        "updated",
        "used",
    )

    def __init__(self, account: Account, route: RouteName, number: int, now: float) -> None:
        self.account = account
        self.route = route
        self.number = number
        self.used = [0, 0, 0, 0, 0]
        self.share = 0.0
        self.queued = 0.0
        self.jobs = 0
        self.host = Demand()
        self.accelerators = Demand()
        self.updated = now
        self.lanes: dict = {}
        # Jobs of the flow that have not ended.
        self.states = 0

    def claim(self) -> float:
        """Returns the larger of the learned claims."""
        return max(self.host.claim(), self.accelerators.claim())

    def below_claim(self) -> bool:
        """Tells whether a task of the flow may be first tier."""
        return self.share < self.claim() or self.bursting()

    def backlogged(self) -> bool:
        return self.queued > self.share and self.queued > LEAST_BACKLOG

    def bursting(self) -> bool:
        """Tells whether the flow is urgent work that is no flood."""
        most = BURST_SHARE.get(self.account.band)
        return most is not None and self.share + self.queued <= most


class ShareBook:
    """Use by flow, account and team, as dominant shares of the pool's capacity."""

    def __init__(self, now: float = 0.0) -> None:
        self.total: Vector = (0, 0, 0, 0, 0)
        self.flow_by_key: dict[tuple[Band, TeamId, RouteName], Flow] = {}
        self.account_by_key: dict[tuple[Band, TeamId], Account] = {}
        self.use_by_team: dict[TeamId, TeamUse] = {}
        self._share_by_amount: dict[Vector, float] = {}
        self._number = 0
        self._since = now
        self._host = DemandSum()
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
        self._number += 1
        flow = self.flow_by_key[(band, team, route)] = Flow(account, route, self._number, now)
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
        growing = flow.host.share > flow.host.mean or (
            flow.accelerators.share > flow.accelerators.mean
        )
        if growing and flow.backlogged():
            return
        # A plain average while the scheduler is young, so that demand is learned within seconds
        # after a take-over. A flow that appears later earns its claim slowly, or a flood would.
        weight = elapsed / (min(DEMAND_TIME, now - self._since) + elapsed)
        self._host.learn(flow.host, weight)
        self._host.recap(flow.host)
        if flow.accelerators.share or flow.accelerators.mean:
            self._accelerators.learn(flow.accelerators, weight)
            self._accelerators.recap(flow.accelerators)

    def headroom(self, flow: Flow) -> float:
        """Returns the share of the pool that ``flow`` leaves free for others' learned demand."""
        return self._host.headroom(flow.host)

    def first_tier(self, flow: Flow, amount: Vector) -> bool:
        """Tells whether another task of this size is within what the flow may claim."""
        if flow.bursting():
            return True
        host = flow.host
        if host.share + self._host_share(amount) > host.claim() + TOLERANCE:
            return False
        if not amount[2]:
            return True
        own = flow.accelerators
        return own.share + amount[2] / (self.total[2] or 1) <= own.claim() + TOLERANCE

    def leaves_headroom(self, flow: Flow, amount: Vector) -> bool:
        """Tells whether the others' learned demand still fits after one more task."""
        left, total = 1.0, self.total
        for i in (0, 1, 3, 4):
            if amount[i]:
                part = (self.free[i] - amount[i]) / (total[i] or 1)
                if part < left:
                    left = part
        if left + TOLERANCE < self._host.headroom(flow.host):
            return False
        if not amount[2]:
            return True
        left = (self.free[2] - amount[2]) / (total[2] or 1)
        return left + TOLERANCE >= self._accelerators.headroom(flow.accelerators)

    def leaves_headroom_for_gang(self, flow: Flow, amount: Vector, count: int) -> bool:
        """Tells whether the flow may run a gang beyond its claim, once there is room for it.

        Free capacity is not asked for, because a gang may wait with a reservation. A flow that has
        nothing in use may run any gang, or one larger than the unclaimed part would never run.
        """
        if not any(flow.used):
            return True
        host = flow.host.share + self._host_share(amount) * count
        if host + self._host.without(flow.host) > 1.0 + TOLERANCE:
            return False
        if not amount[2]:
            return True
        own = flow.accelerators.share + amount[2] * count / (self.total[2] or 1)
        return own + self._accelerators.without(flow.accelerators) <= 1.0 + TOLERANCE

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
        self._host.recap(flow.host)
        if amount[2]:
            self._accelerators.recap(flow.accelerators)

    def _set_shares(self, flow: Flow) -> None:
        used = flow.used
        flow.host.share = self._host_share(used)
        flow.accelerators.share = used[2] / (self.total[2] or 1) if used[2] else 0.0
        flow.share = max(flow.host.share, flow.accelerators.share)

    def _sum_up(self) -> None:
        flows = self.flow_by_key.values()
        self._host.sum_up([flow.host for flow in flows])
        self._accelerators.sum_up([flow.accelerators for flow in flows])

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
