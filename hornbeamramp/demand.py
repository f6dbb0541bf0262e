"""Learned demand of each flow for one kind of resource, and its sum over all flows."""

from math import sqrt

__all__ = ["Demand", "DemandSum"]

# Claims cover demand up to this many standard deviations above its mean.
DEVIATIONS = 3.0
# Upper limit of the variance, relative to that of Poisson arrivals.
MAX_DISPERSION = 4.0
# Largest share of the pool that is kept free for learned demand.
MAX_HEADROOM = 0.9


class Demand:
    """Learned demand of a flow for one kind of resource, as shares of the pool.

    `share`
        Share in use now.
    `mean`, `variance`
        Mean and variance of the share in use while the flow was not backlogged.
    `max_task_share`
        Share of the largest task started.
    `capped`
        Part of ``share`` that is within the claim.
    """

    __slots__ = ("capped", "mean", "share", "max_task_share", "variance")

    def __init__(self) -> None:
        self.share = 0.0
        self.mean = 0.0
        self.variance = 0.0
        self.capped = 0.0
        self.max_task_share = 0.0

    def claim(self) -> float:
        """Returns the share of the pool that covers the learned demand."""
        return self.mean + DEVIATIONS * sqrt(self.variance)


class DemandSum:
    """Sums of one kind of demand over all flows."""

    __slots__ = ("capped", "mean", "variance")

    def __init__(self) -> None:
        self.mean = 0.0
        self.variance = 0.0
        self.capped = 0.0

    def learn(self, demand: Demand, weight: float) -> None:
        difference = demand.share - demand.mean
        change = weight * difference
        variance = (1 - weight) * (demand.variance + change * difference)
        # With Poisson arrivals, the number of running tasks has a variance equal to its mean. The
        # limit keeps one sudden rise, as at the start of a flood, from passing for high variance.
        variance = min(variance, MAX_DISPERSION * demand.max_task_share * (demand.mean + change))
        self.mean += change
        self.variance += variance - demand.variance
        demand.mean += change
        demand.variance = variance

    def update_capped(self, demand: Demand) -> None:
        # Use beyond a flow's own claim is not counted; it would hide that others are below theirs.
        capped = min(demand.share, demand.claim())
        self.capped += capped - demand.capped
        demand.capped = capped

    def demand_of_others(self, demand: Demand) -> float:
        """Returns the demand of all flows but this one, at most ``MAX_HEADROOM``."""
        return self.demand_excluding(demand.mean, demand.variance)

    def demand_excluding(self, mean: float, variance: float) -> float:
        """Returns the demand of all flows but those with these sums, at most ``MAX_HEADROOM``."""
        variance = self.variance - variance
        deviation = sqrt(variance) if variance > 0 else 0.0
        return min(self.mean - mean + DEVIATIONS * deviation, MAX_HEADROOM)

    def headroom(self, demand: Demand) -> float:
        """Returns the share of the pool to leave free for the other flows."""
        return max(self.demand_of_others(demand) - (self.capped - demand.capped), 0.0)

    def recompute(self, demands: list[Demand]) -> None:
        self.mean = sum(demand.mean for demand in demands)
        self.variance = sum(demand.variance for demand in demands)
        for demand in demands:
            demand.capped = min(demand.share, demand.claim())
        self.capped = sum(demand.capped for demand in demands)
