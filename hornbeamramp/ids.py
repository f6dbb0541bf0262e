"""Identifier types. All are opaque: callers may only compare them for equality."""

from typing import NewType

__all__ = [
    "NO_ACCOUNT",
    "UNKNOWN_DATA_CENTRE",
    "AccountId",
    "ApiKey",
    "AttemptId",
    "ChangeId",
    "DataCentreId",
    "Epoch",
    "JobId",
    "LeaseId",
    "PoolName",
    "QueueAddress",
    "RackId",
    "Revision",
    "RouteName",
    "ShardId",
    "TeamId",
    "UpstreamId",
    "VmId",
    "shard_id",
    "split_shard_id",
]

AccountId = NewType("AccountId", str)
ApiKey = NewType("ApiKey", str)
AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
DataCentreId = NewType("DataCentreId", str)
Epoch = NewType("Epoch", int)
JobId = NewType("JobId", str)
LeaseId = NewType("LeaseId", str)
PoolName = NewType("PoolName", str)
QueueAddress = NewType("QueueAddress", str)
RackId = NewType("RackId", str)
Revision = NewType("Revision", int)
RouteName = NewType("RouteName", str)
ShardId = NewType("ShardId", str)
TeamId = NewType("TeamId", str)
UpstreamId = NewType("UpstreamId", str)
VmId = NewType("VmId", str)

UNKNOWN_DATA_CENTRE = DataCentreId("")
# Jobs of cells without client accounts, and those sent to a public queue without a key.
NO_ACCOUNT = AccountId("")


def shard_id(pool: PoolName, data_centre: DataCentreId) -> ShardId:
    """Returns the id of the shard that serves ``pool`` in ``data_centre``."""
    return ShardId(f"{pool}@{data_centre}")


def split_shard_id(shard: ShardId) -> tuple[PoolName, DataCentreId]:
    """Returns the pool and the data centre of a shard id.

    Raises ``ValueError`` if ``shard`` is not of the form ``pool@data_centre``.
    """
    pool, separator, data_centre = shard.partition("@")
    if not (pool and separator and data_centre):
        raise ValueError(f"not a shard id: {shard!r}")
    return PoolName(pool), DataCentreId(data_centre)
