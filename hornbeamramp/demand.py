"""Demand for a kind of resource, learned from use, and its sum over flows."""

from math import sqrt

__all__ = ["Demand", "DemandSum"]

# Demand is covered up to this many standard deviations above its mean.
DEVIATIONS = 3.0
# Most variance, in relation to that of tasks that arrive independently of each other.
BURSTINESS = 4.0
# Most of the pool that is kept free for learned demand.
MOST_HEADROOM = 0.9


class Demand:
    """Learned demand of a flow for one kind of resource, as shares of the pool.

    `share`
        In use now.
    `mean`, `variance`
        Of what was in use while the flow was not backlogged.
    `unit`
        Largest task started.
    `capped`
        The part of ``share`` that lies within the claim.
    """

    __slots__ = ("capped", "mean", "share", "unit", "variance")

    def __init__(self) -> None:
        self.share = 0.0
        self.mean = 0.0
        self.variance = 0.0
        self.capped = 0.0
        self.unit = 0.0

    def claim(self) -> float:
        """Returns the share of the pool that covers the learned demand."""
        return self.mean + DEVIATIONS * sqrt(self.variance)


class DemandSum:
    """Sums over all flows of one kind of demand."""

    __slots__ = ("capped", "mean", "variance")

    def __init__(self) -> None:
        self.mean = 0.0
        self.variance = 0.0
        self.capped = 0.0

    def learn(self, demand: Demand, weight: float) -> None:
        difference = demand.share - demand.mean
        change = weight * difference
        variance = (1 - weight) * (demand.variance + change * difference)
        # The tasks in use of Poisson arrivals have a variance of their mean. One sudden rise, as at
        # the start of a flood, must not look like wide variation.
        variance = min(variance, BURSTINESS * demand.unit * (demand.mean + change))
        self.mean += change
        self.variance += variance - demand.variance
        demand.mean += change
        demand.variance = variance

    def update_capped(self, demand: Demand) -> None:
        # What a flow uses beyond its own claim must not hide that others are below theirs.
        capped = min(demand.share, demand.claim())
        self.capped += capped - demand.capped
        demand.capped = capped

    def demand_of_others(self, demand: Demand) -> float:
        """Returns the demand of all other flows, up to ``MOST_HEADROOM``."""
        return self.demand_excluding(demand.mean, demand.variance)

    def demand_excluding(self, mean: float, variance: float) -> float:
        """Returns the demand of all flows but those with these sums, up to ``MOST_HEADROOM``."""
        variance = self.variance - variance
        deviation = sqrt(variance) if variance > 0 else 0.0
        return min(self.mean - mean + DEVIATIONS * deviation, MOST_HEADROOM)

    def headroom(self, demand: Demand) -> float:
        """Returns the share of the pool to leave free for the other flows."""
        return max(self.demand_of_others(demand) - (self.capped - demand.capped), 0.0)

    def recompute(self, demands: list[Demand]) -> None:
        self.mean = sum(demand.mean for demand in demands)
        self.variance = sum(demand.variance for demand in demands)
        for demand in demands:
            demand.capped = min(demand.share, demand.claim())
        self.capped = sum(demand.capped for demand in demands)
