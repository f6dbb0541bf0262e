"""Flows, accounts, teams and kinds of work: whose use of the pool is counted.

A flow is the work of one route of one team in one band. Its demand is learned from what it has in
use while it is not backlogged, so a flood does not raise the demand of the flow that floods. An
account is one team in one band, a kind of work one route in one band.
"""

from math import exp, log2, sqrt

from hornbeamramp.demand import DEVIATIONS, Demand
from hornbeamramp.ids import RouteName, TeamId
from hornbeamramp.ledger import Vector
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band

__all__ = ["BURST_SHARE", "LEAST_SHARE", "TOLERANCE", "Account", "Flow", "KindUse", "TeamUse"]

# Seconds over which past use counts against a team.
RECENT_TIME = 30.0
# A kind of work of these bands is served like learned demand while all of it, running and queued,
# takes less than this share of the pool; beyond it, the kind is a flood. Counted over all teams,
# because a flood spread over many teams leaves each of them below any limit of its own.
BURST_SHARE = {Band.URGENT: 0.5, Band.SERVICE: 0.25}
# A flow whose queue needs more than it has in use, and more than this, is backlogged.
LEAST_BACKLOG = 0.01
# Steps of the logarithmic scale on which accounts are compared, for each doubling.
LEVELS = 8
# Learned demand and past use below this share of the pool are forgotten.
LEAST_SHARE = 1e-5
# Rounding error of sums of shares.
TOLERANCE = 1e-9


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
        used, most = self.used, self.limit
        return (
            used[0] + amount[0] * count <= most[0]
            and used[1] + amount[1] * count <= most[1]
            and used[2] + amount[2] * count <= most[2]
            and used[3] + amount[3] * count <= most[3]
            and used[4] + amount[4] * count <= most[4]
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


class KindUse:
    """What all teams together have in use and queued of one route in one band, as shares.

    `mean`, `variance`
        Learned demand for the larger of processors, memory, slots and connections.
    `stopping`
        Share of tasks that were ordered to end.
    `excess`
        What is in use beyond the claim apart from them, for bands that may be preempted.
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

    def beyond_claim(self) -> bool:
        return self.share - self.stopping > self.claim() + TOLERANCE


class Flow:
    """A route of an account.

    `host`, `accelerators`
        Demand for the larger of processors, memory, slots and connections, and for accelerators.
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
        "kind",
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
        self, account: Account, route: RouteName, kind: KindUse, number: int, now: float
    ) -> None:
        self.account = account
        self.kind = kind
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
        # Share of tasks that were ordered to end.
        self.stopping = 0.0
        # Jobs of the flow that have not ended.
        self.unfinished_jobs = 0

    @property
    def queued(self) -> float:
        return self._queued

    @queued.setter
    def queued(self, queued: float) -> None:
        self.kind.queued += queued - self._queued
        self._queued = queued

    def claim(self) -> float:
        """Returns the larger of the learned claims."""
        return max(self.host.claim(), self.accelerators.claim())

    def below_claim(self) -> bool:
        """Tells whether a task of the flow may be first tier."""
        return self.share < self.claim() or self.bursting()

    def backlogged(self) -> bool:
        return self.queued > self.share and self.queued > LEAST_BACKLOG

    def beyond_claim(self) -> bool:
        """Tells whether a task may be taken from the flow without touching learned demand.

        A job of many tasks exceeds the claim of its team at once but not that of all teams.
        """
        beyond = self.share - self.stopping > self.host.claim() + TOLERANCE
        return beyond and self.kind.beyond_claim()

    def flooding(self) -> bool:
        """Tells whether the flow wants more than is served like learned demand."""
        return self.backlogged() and not self.bursting()

    def bursting(self) -> bool:
        """Tells whether the flow is of an urgent kind of work that is no flood."""
        most = BURST_SHARE.get(self.account.band)
        return most is not None and self.kind.share + self.kind.queued <= most
