"""Token bucket."""

import math

__all__ = ["TokenBucket"]

# Rounding may leave a refill just short of a whole token.
ROUNDING = 1e-9


class TokenBucket:
    """Fills with ``rate`` tokens a second up to ``burst``, and is full at first.

    Times are in seconds of any clock that doesn't go back; one that does adds nothing.
    """

    def __init__(self, rate: float, burst: float, now: float = 0.0) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Applies another rate and capacity from now on."""
        if (rate, burst) != (self._rate, self._burst):
            self._fill(now)
            self._rate, self._burst = rate, burst
            self._tokens = min(self._tokens, burst)

    def add(self, tokens: float) -> None:
        """Adds tokens, as far as there is room."""
        self._tokens = min(self._tokens + tokens, self._burst)

    def take(self, now: float) -> bool:
        """Takes a token; false if there is none."""
        self._fill(now)
        if self._tokens < 1.0 - ROUNDING:
            return False
        self._tokens -= 1.0
        return True

    def wait(self, now: float) -> float:
        """Returns the time in seconds until there is a token; infinite if there never is."""
        self._fill(now)
        if self._tokens >= 1.0 - ROUNDING:
            return 0.0
        if self._rate <= 0 or self._burst < 1.0:
            return math.inf
        return (1.0 - self._tokens) / self._rate

    def _fill(self, now: float) -> None:
        if now > self._filled_at:
            self.add((now - self._filled_at) * self._rate)
            self._filled_at = now
