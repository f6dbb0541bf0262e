"""Shares of client accounts in a pool: which jobs are within them, and who has used up its own.

An account has a claim to as many jobs a second as its weight. Jobs beyond that are marked when they
are accepted, and get the room that no job within a share wants.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from hornbeamramp.accounts.usage import NOTHING, AccountUsage, Amounts
from hornbeamramp.ids import NO_ACCOUNT, AccountId
from hornbeamramp.resources import dominant_share
from hornbeamramp.token_bucket import TokenBucket
from hornbeamramp.workload import ClientAccount

__all__ = ["MAX_RETURN_DELAY", "AccountShares"]

# Jobs come in bunches. An account that sends as much as its weight over this time is within it.
BURST = timedelta(seconds=3)
# Two callers of a small account may send at the same moment.
MIN_BURST_JOBS = 2.0
# No caller waits longer for the result of a refused job than this.
MAX_RETURN_DELAY = timedelta(seconds=30)
# Period in which the use of accounts is compared anew. Between, their order stays, although it
# changes with each start and end of a run.
LEVEL_PERIOD = timedelta(milliseconds=250)
# Level of accounts without any share; others reach it with 64 times theirs.
MAX_LEVEL = 6
# Use goes up and down by a task or two around a share; beyond that, an account leaves headroom.
HEADROOM_FACTOR = 1.25


class AccountShares:
    """Decides for one pool; does nothing while no accounts are configured.

    `accounts`
        Returns the configured accounts.
    `usage`
        What each account has reserved on the pool's workers.
    """

    def __init__(
        self,
        accounts: Callable[[], Mapping[AccountId, ClientAccount]] = dict,
        usage: AccountUsage | None = None,
    ) -> None:
        self._accounts = accounts
        self._usage = AccountUsage() if usage is None else usage
        self._bucket_by_account: dict[AccountId, TokenBucket] = {}
        # Boot time until which refused callers of an account have been told to stay away.
        self._return_at_by_account: dict[AccountId, timedelta] = {}
        self._capacity: Amounts = NOTHING
        self._fair_share_by_account: dict[AccountId, float] = {}
        self._level_by_account: dict[AccountId, int] = {}
        self._levels_at: timedelta | None = None

    @property
    def is_used(self) -> bool:
        """Whether any account is configured."""
        return bool(self._accounts())

    # Claims

    def take(self, account: AccountId, now: timedelta) -> bool:
        """Returns whether a new job is within its account's share, and counts it.

        Jobs without an account are: those of public queues, and all while no account is configured.
        """
        if account == NO_ACCOUNT or not self.is_used:
            return True
        return self._bucket(account, now).take(now.total_seconds())

    def restore(self, account: AccountId, accepted_at: timedelta) -> None:
        """Counts a job within its share that a former owner accepted. Jobs come in the order of
        their acceptance."""
        if account != NO_ACCOUNT and self.is_used:
            self._bucket(account, accepted_at).take(accepted_at.total_seconds())

    def return_delay(self, account: AccountId, now: timedelta) -> timedelta:
        """Returns when the caller of a refused job should come back, at most `MAX_RETURN_DELAY`.

        Each caller gets a time of its own, at which the account has a token for it. Callers that
        were all given the time of the next token would be refused again but for one.
        """
        rate = self._weight(account)
        wait_s = self._bucket(account, now).wait(now.total_seconds())
        if rate <= 0 or math.isinf(wait_s):
            return MAX_RETURN_DELAY
        last = self._return_at_by_account.get(account, timedelta(0))
        return_at = max(now + timedelta(seconds=wait_s), last)
        delay = min(return_at - now, MAX_RETURN_DELAY)
        self._return_at_by_account[account] = now + delay + timedelta(seconds=1 / rate)
        return delay

    def _weight(self, account: AccountId) -> float:
        configured = self._accounts().get(account)
        # An account that the configuration no longer has keeps no claim.
        return 0.0 if configured is None else configured.weight

    def _bucket(self, account: AccountId, now: timedelta) -> TokenBucket:
        weight = self._weight(account)
        burst = max(BURST.total_seconds() * weight, MIN_BURST_JOBS) if weight > 0 else 0.0
        bucket = self._bucket_by_account.get(account)
        if bucket is None:
            bucket = TokenBucket(weight, burst, now.total_seconds())
            self._bucket_by_account[account] = bucket
        bucket.configure(weight, burst, now.total_seconds())
        return bucket

    def forget_unconfigured(self) -> None:
        """Drops what is kept of accounts that the configuration no longer has."""
        configured = self._accounts()
        for kept in (self._bucket_by_account, self._return_at_by_account):
            for account in [account for account in kept if account not in configured]:
                del kept[account]

    # Order

    def is_comparison_due(self, now: timedelta) -> bool:
        return self._levels_at is None or now - self._levels_at >= LEVEL_PERIOD

    def compare(self, waiting: Iterable[AccountId], capacity: Amounts, now: timedelta) -> None:
        """Compares what the accounts use of a pool with their shares of it.

        `waiting`
            The accounts that have jobs waiting.
        """
        self._levels_at = now
        self._capacity = capacity
        active = {*waiting, *self._usage.accounts()} - {NO_ACCOUNT}
        total_weight = sum(self._weight(account) for account in active) or 1.0
        self._fair_share_by_account = {
            account: self._weight(account) / total_weight for account in active
        }
        self._level_by_account = {
            account: _level(self._used_share(account), fair_share)
            for account, fair_share in self._fair_share_by_account.items()
        }

    def level(self, account: AccountId) -> int:
        """Returns by how many doublings an account uses more than its share of the pool among the
        accounts that want room; 0 for those within it."""
        return self._level_by_account.get(account, 0)

    def above_share(self, most: int) -> dict[AccountId, int]:
        """Returns the levels of the accounts furthest above their shares, at most so many."""
        above = [(level, account) for account, level in self._level_by_account.items() if level]
        return {account: level for level, account in sorted(above, reverse=True)[:most]}

    def leaves_headroom(self, account: AccountId) -> bool:
        """Returns whether an account has to leave room for the urgent jobs of others: it uses more
        than `HEADROOM_FACTOR` times its share right now."""
        fair_share = self._fair_share_by_account.get(account)
        return fair_share is not None and self._used_share(account) > HEADROOM_FACTOR * fair_share

    def _used_share(self, account: AccountId) -> float:
        return dominant_share(self._usage.used(account), self._capacity)


def _level(used_share: float, fair_share: float) -> int:
    if used_share <= fair_share:
        return 0
    if fair_share <= 0:
        return MAX_LEVEL
    return min(math.ceil(math.log2(used_share / fair_share)), MAX_LEVEL)
