"""Guaranteed shares: waiting bands earn credit when work of more urgent bands is started."""

from collections.abc import Mapping

from hornbeamramp.states import Band

__all__ = ["GUARANTEED_SHARE", "BandCredit"]

# Share of the work started from more urgent bands that a waiting band earns as credit.
GUARANTEED_SHARE = {Band.SERVICE: 0.10, Band.NORMAL: 0.08, Band.BULK: 0.05}
# Largest credit of a band, in seconds of the whole pool.
MAX_CREDIT_S = 60.0


class BandCredit:
    """Credit by band, in seconds of the whole pool."""

    def __init__(self) -> None:
        self._credit = dict.fromkeys(Band, 0.0)
        # Cost of the first job of each band when the credit last failed to cover it; 0 if unknown.
        self._uncovered_cost = dict.fromkeys(Band, 0.0)

    def charge(self, band: Band, work: float, jobs_by_band: Mapping[Band, int]) -> None:
        """Charges started work to its band; less urgent bands with queued jobs earn credit."""
        if band in GUARANTEED_SHARE:
            self._uncovered_cost[band] = 0.0
            self._credit[band] = max(self._credit[band] - work, 0.0)
        for lower, share in GUARANTEED_SHARE.items():
            if lower > band and jobs_by_band[lower]:
                self._credit[lower] = min(self._credit[lower] + share * work, MAX_CREDIT_S)

    def may_cover(self, band: Band) -> bool:
        """Tells whether the credit may cover the first job of the band."""
        return self._credit[band] > self._uncovered_cost[band]

    def covers(self, band: Band, cost: float) -> bool:
        """Tells whether the credit covers a job of this cost, in seconds of the whole pool."""
        cost = min(cost, MAX_CREDIT_S)
        if self._credit[band] >= cost:
            return True
        self._uncovered_cost[band] = cost
        return False

    def clear(self, band: Band) -> None:
        """Resets the credit of a band that has no queued job."""
        self._credit[band] = self._uncovered_cost[band] = 0.0
