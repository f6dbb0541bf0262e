"""Refusals of jobs by a pool's owner."""

from datetime import timedelta
from enum import Enum

import msgspec

__all__ = ["Refusal", "RefusalKind"]


class RefusalKind(Enum):
    """UNAVAILABLE: the job may be accepted later. QUOTA: it can't run within its account's quota,
    so it will be refused until the configuration or the job changes."""

    UNAVAILABLE = "unavailable"
    QUOTA = "quota"


class Refusal(msgspec.Struct, frozen=True):
    """Why a job was refused; none of its tasks has run or will run.

    `retry_after`
        Delay after which the caller should submit the job again.
    """

    reason: str
    retry_after: timedelta
    kind: RefusalKind = RefusalKind.UNAVAILABLE
