"""Job ids, which contain the id of the job's shard so that any entry VM can find the job."""

import uuid

from hornbeamramp.ids import JobId, ShardId

__all__ = ["new_job_id", "shard_of"]

SEPARATOR = "~"


def new_job_id(shard: ShardId) -> JobId:
    """Returns a new unique id for a job that is sent to ``shard``."""
    return JobId(SEPARATOR.join((uuid.uuid4().hex, *shard.split("@"))))


def shard_of(job_id: JobId) -> ShardId | None:
    """Returns the shard named by a job id, or ``None`` if it is malformed."""
    parts = job_id.split(SEPARATOR)
    if len(parts) != 3 or not all(parts):
        return None
    return ShardId(f"{parts[1]}@{parts[2]}")
