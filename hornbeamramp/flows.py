"""Accounting entities of pool use: flows, accounts, teams and routes.

A flow is the work of one route of one team in one band. Its demand is learned from what it has in
use while it is not backlogged, so a flood does not raise the learned demand of its own flow. An
account is one team in one band. A `RouteUse` covers one route in one band over all teams.
"""

from math import exp, log2, sqrt

from hornbeamramp.demand import DEVIATIONS, Demand
from hornbeamramp.ids import RouteName, TeamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band

__all__ = ["BURST_SHARE", "MIN_SHARE", "TOLERANCE", "Account", "Flow", "RouteUse", "TeamUse"]

# Time constant with which the past use of an account decays in its score.
RECENT_USE_DECAY_S = 30.0
# A route's work in these bands is served like learned demand while its running and queued tasks
# take at most this share of the pool; beyond it, the work is a flood. Summed over all teams,
# because in a flood spread over many teams each of them stays below any limit of its own.
BURST_SHARE = {Band.URGENT: 0.5, Band.SERVICE: 0.25}
# A flow whose queue needs more than it has in use, and more than this share, is backlogged.
MIN_BACKLOG = 0.01
# Steps of the logarithmic scale on which accounts are compared, per doubling of the score.
LEVELS_PER_DOUBLING = 8
# Learned demand and past use below this share of the pool count as none.
MIN_SHARE = 1e-5
# Allowance for rounding errors of sums of shares.
TOLERANCE = 1e-9


class TeamUse:
    """Resources in use and queued jobs of a team over all bands, with its limit."""

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
        used, allowed = self.used, self.limit
        return (
            used[0] + amount[0] * count <= allowed[0]
            and used[1] + amount[1] * count <= allowed[1]
            and used[2] + amount[2] * count <= allowed[2]
            and used[3] + amount[3] * count <= allowed[3]
            and used[4] + amount[4] * count <= allowed[4]
        )


class Account:
    """A team in a band.

    `share`, `recent`
        Dominant share of the pool in use now, and its exponential moving average.
    """

    __slots__ = (
        "band",
        "lanes",
        "highest_entry_level",
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
        # Highest level in the heap entries of its lanes.
        self.highest_entry_level = 0

    def observe(self, now: float) -> None:
        if now > self.updated:
            kept = exp((self.updated - now) / RECENT_USE_DECAY_S)
            self.recent = self.share + (self.recent - self.share) * kept
            self.updated = now

    def score(self, now: float) -> float:
        """Returns use in relation to weight; the account with the lowest is served next."""
        self.observe(now)
        return (self.share + self.recent) / self.weight

    def level(self, now: float) -> int:
        """Returns the score on a logarithmic scale.

        Accounts of the same level are served by expected run time. The steps keep the small
        changes of use with each start and end from reordering the queue.
        """
        return int(LEVELS_PER_DOUBLING * log2(self.score(now) + MIN_SHARE))


class RouteUse:
    """Use and queued work of one route in one band over all teams, as shares of the pool.

    `mean`, `variance`
        Learned demand for the largest of processors, memory, slots and connections.
    `stopping`
        Share of tasks that were told to stop.
    `excess`
        Share in use beyond the claim, not counting tasks that were told to stop. Only for bands
        that may be preempted.
    """

    __slots__ = ("excess", "mean", "queued", "share", "stopping", "variance")

    def __init__(self) -> None:
        self.excess = 0.0
        self.reset()

    def reset(self) -> None:
        """Sets all sums over flows to zero."""
        self.share = self.queued = self.stopping = self.mean = self.variance = 0.0

    def add(self, flow: "Flow") -> None:
        """Adds a flow to the sums."""
        self.share += flow.share
        self.queued += flow.queued
        self.stopping += flow.stopping
        self.mean += flow.host.mean
        self.variance += flow.host.variance

    def claim(self) -> float:
        """Returns the share of the pool that covers the learned demand of all teams together."""
        return self.mean + DEVIATIONS * sqrt(max(self.variance, 0.0))

    def exceeds_claim(self) -> bool:
        return self.share - self.stopping > self.claim() + TOLERANCE


class Flow:
    """Work of one route of an account.

    `host`, `accelerators`
        Demand for the largest of processors, memory, slots and connections, and for accelerators.
        They are kept apart so that claims on accelerators leave processors to other work.
    `queued`, `jobs`
        Dominant share of all queued tasks together, and number of queued jobs.
    """

    __slots__ = (
        "_queued",
        "account",
        "accelerators",
        "active_at",
        "gang_tasks",
        "host",
        "jobs",
        "route_use",
        "lanes",
        "number",
        "route",
        "unfinished_jobs",
        "stopping",
        "share",
        "updated",
        "used",
    )

    def __init__(
        self, account: Account, route: RouteName, route_use: RouteUse, number: int, now: float
    ) -> None:
        self.account = account
        self.route_use = route_use
        self.route = route
        self.number = number
        self.used = [0, 0, 0, 0, 0]
        self.share = 0.0
        self._queued = 0.0
        self.jobs = 0
        self.host = Demand()
        self.accelerators = Demand()
        self.updated = now
        self.active_at = now
        self.lanes: dict = {}
        self.gang_tasks = 0
        # Share of tasks that were told to stop.
        self.stopping = 0.0
        # Jobs of the flow that have not ended.
        self.unfinished_jobs = 0

    @property
    def queued(self) -> float:
        return self._queued

    @queued.setter
    def queued(self, queued: float) -> None:
        self.route_use.queued += queued - self._queued
        self._queued = queued

    def claim(self) -> float:
        """Returns the larger of the learned claims."""
        return max(self.host.claim(), self.accelerators.claim())

    def below_claim(self) -> bool:
        """Tells whether a task of the flow may be first tier."""
        return self.share < self.claim() or self.bursting()

    def backlogged(self) -> bool:
        return self.queued > self.share and self.queued > MIN_BACKLOG

    def exceeds_claim(self) -> bool:
        """Tells whether a task of the flow may be preempted without affecting learned demand.

        A job of many tasks exceeds the claim of its team at once but not that of all teams, so both
        claims must be exceeded.
        """
        beyond = self.share - self.stopping > self.host.claim() + TOLERANCE
        return beyond and self.route_use.exceeds_claim()

    def flooding(self) -> bool:
        """Tells whether the flow is backlogged and its route's work is not within `BURST_SHARE`."""
        return self.backlogged() and not self.bursting()

    def bursting(self) -> bool:
        """Tells whether the route's work in the band is within `BURST_SHARE`, if it has one."""
        burst_share = BURST_SHARE.get(self.account.band)
        return (
            burst_share is not None and self.route_use.share + self.route_use.queued <= burst_share
        )
