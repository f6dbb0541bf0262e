"""Guaranteed shares: what waiting bands are owed for work started from more urgent ones."""

from collections.abc import Mapping

from hornbeamramp.states import Band

__all__ = ["GUARANTEED_SHARE", "BandCredit"]

# Share of the work started from more urgent bands that a waiting band is owed.
GUARANTEED_SHARE = {Band.SERVICE: 0.10, Band.NORMAL: 0.08, Band.BULK: 0.05}
# Most work a band can be owed, in seconds of the whole pool.
MOST_CREDIT = 60.0


class BandCredit:
    """Credit by band, in seconds of the whole pool."""

    def __init__(self) -> None:
        self._credit = dict.fromkeys(Band, 0.0)
        # Credit below which the first job of a band was last found to cost more.
        self._least = dict.fromkeys(Band, 0.0)

    def charge(self, band: Band, work: float, jobs_by_band: Mapping[Band, int]) -> None:
        """Notes work started from a band; less urgent bands with queued jobs earn their part."""
        if band in GUARANTEED_SHARE:
            self._least[band] = 0.0
            self._credit[band] = max(self._credit[band] - work, 0.0)
        for lower, share in GUARANTEED_SHARE.items():
            if lower > band and jobs_by_band[lower]:
                self._credit[lower] = min(self._credit[lower] + share * work, MOST_CREDIT)

    def may_cover(self, band: Band) -> bool:
        """Tells whether the credit may cover the first job of the band."""
        return self._credit[band] > self._least[band]

    def covers(self, band: Band, cost: float) -> bool:
        """Tells whether the credit covers a job of this cost."""
        cost = min(cost, MOST_CREDIT)
        if self._credit[band] >= cost:
            return True
        self._least[band] = cost
        return False

    def clear(self, band: Band) -> None:
        """Takes the credit of a band that has no queued job."""
        self._credit[band] = self._least[band] = 0.0
