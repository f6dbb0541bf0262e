"""How fresh a VM's configuration is proved to be.

An answer of the store holds every change that was acknowledged before its call was sent. So a VM
that has applied such an answer knows all changes up to the sending time of the call, however late
the answer came.
"""

from datetime import timedelta

__all__ = ["ConfigFreshness"]

# Share of the revocation bound for which a proof is valid. A VM without the store for longer isn't
# expected to serve calls with keys, and the rest allows for a call that is slow to arrive.
VALID_SHARE = 0.6
# Share of the bound after which a proof is renewed ahead of its end.
RENEWAL_SHARE = 0.45
# Share of the bound that one watch call may wait, so that watches alone keep the proof younger than
# `RENEWAL_SHARE`: its age is up to twice the wait.
WATCH_SHARE = 0.2
# Oldest proof on which a key counts as unknown. Operators add a key shortly before it is used, and
# a caller that is turned away with its new key takes that for final.
MAX_REFUSAL_AGE = timedelta(seconds=1)


class ConfigFreshness:
    """The proof of one VM's configuration, in boot time: it also runs while the VM is suspended,
    and changes of the time of day don't affect it.

    `revocation_bound`
        Time after which a revoked key is refused on every VM; ``None`` if there is no such bound,
        and then each proof is valid.
    """

    def __init__(self, revocation_bound: timedelta | None) -> None:
        self._bound = revocation_bound
        self._proved_at: timedelta | None = None

    def record(self, sent_at: timedelta) -> None:
        """Notes that the answer to a call sent at a boot time has been applied."""
        if self._proved_at is None or sent_at > self._proved_at:
            self._proved_at = sent_at

    def age(self, now: timedelta) -> timedelta | None:
        """Returns the age of the newest proof, ``None`` without any."""
        return None if self._proved_at is None else now - self._proved_at

    def is_proved(self, now: timedelta) -> bool:
        """Tells whether the configuration lacks no change that has to be in force."""
        return self._bound is None or self._is_younger(now, VALID_SHARE * self._bound)

    def is_recent(self, now: timedelta) -> bool:
        """Tells whether a key that the configuration lacks counts as unknown."""
        return self.is_proved(now) and self._is_younger(now, MAX_REFUSAL_AGE)

    def needs_renewal(self, now: timedelta) -> bool:
        """Tells whether the watch has not renewed the proof in time, which will soon be too old."""
        return self._bound is not None and not self._is_younger(now, RENEWAL_SHARE * self._bound)

    def max_watch_wait(self, longest: timedelta) -> timedelta:
        """Returns the wait of a watch call on the configuration, at most ``longest``."""
        return longest if self._bound is None else min(longest, WATCH_SHARE * self._bound)

    def _is_younger(self, now: timedelta, limit: timedelta) -> bool:
        age = self.age(now)
        return age is not None and age < limit
