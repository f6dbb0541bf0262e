"""Which client account a call belongs to, and which jobs it may see and cancel."""

import re
from collections.abc import Sequence
from datetime import timedelta
from enum import Enum

import msgspec
from result import Err, Ok, Result

from hornbeamramp.accounts.freshness import ConfigFreshness
from hornbeamramp.ids import NO_ACCOUNT, AccountId, ApiKey
from hornbeamramp.workload import ClusterConfig, Queue

__all__ = ["Access", "AccessProblem", "decide_access", "needs_key"]

_KEY = re.compile(r"[\x21-\x7e]+")


class AccessProblem(Enum):
    """Why a call is not served. The text goes to callers, logs and metrics, so it has no key."""

    NO_KEY = "the call has no key, and its queue is not public"
    MALFORMED_KEY = "the call needs one key, without spaces"
    UNKNOWN_KEY = "the key belongs to no client account"
    UNPROVED_CONFIG = "the configuration may be out of date, so the key can't be checked"


class Access(msgspec.Struct, frozen=True):
    """What a call may see and change.

    `account`
        The client account whose key the call carries.
    `is_public`
        Whether the queue that the call names needs no key.
    """

    account: AccountId
    is_public: bool

    def includes(self, job_account: AccountId, job_needs_key: bool) -> bool:
        """Tells whether a call may see and cancel a job.

        `job_account`
            The account that the job was submitted for.
        `job_needs_key`
            Whether the job's own queue is known to need a key. A job may also be asked for at
            another queue of its pool.
        """
        if job_account in (NO_ACCOUNT, self.account):
            return True
        return self.is_public and not job_needs_key


def needs_key(config: ClusterConfig, queue: Queue | None) -> bool:
    """Tells whether calls to a queue need a key; not so if it isn't configured (any more)."""
    return bool(config.account_by_id) and queue is not None and not queue.is_public


def decide_access(
    config: ClusterConfig,
    queue: Queue,
    keys: Sequence[str],
    freshness: ConfigFreshness,
    now: timedelta,
) -> Result[Access, AccessProblem]:
    """Returns what a call to a queue may access, or why it is not served.

    For cells with client accounts; without any, calls need no key.

    A key may be revoked or added in a configuration that has not arrived. So no key is accepted
    without a valid proof, and none is called wrong without a recent one.

    `keys`
        The keys that the call carries.
    `now`
        Boot time at which the call has arrived.
    """
    account = config.account_by_key.get(ApiKey(keys[0])) if len(keys) == 1 else None
    if not needs_key(config, queue):
        return Ok(Access(NO_ACCOUNT if account is None else account.id, is_public=True))
    if account is not None and freshness.is_proved(now):
        return Ok(Access(account.id, is_public=False))
    if account is not None or not freshness.is_recent(now):
        return Err(AccessProblem.UNPROVED_CONFIG)
    if not keys:
        return Err(AccessProblem.NO_KEY)
    if len(keys) > 1 or not _KEY.fullmatch(keys[0]):
        return Err(AccessProblem.MALFORMED_KEY)
    return Err(AccessProblem.UNKNOWN_KEY)
