"""Choice of the data centre for a job by expected wait plus network delay."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from hornbeamramp.ids import DataCentreId, PoolName, ShardId, shard_id
from hornbeamramp.messages import ShardHeartbeat
from hornbeamramp.settings import Settings
from hornbeamramp.states import Band

__all__ = ["network_delay", "order_shards"]

# Used where the settings give no distance; farther than any data centre of the same region.
DEFAULT_DISTANCE = timedelta(milliseconds=20)

# Assumed for a shard without a known owner, to order it behind all others however long they wait.
NO_OWNER_WAIT = timedelta(days=1)


def network_delay(settings: Settings, to: DataCentreId) -> timedelta:
    """Returns the round-trip time to a data centre according to the settings."""
    if to == settings.data_centre:
        return timedelta(0)
    own = settings.data_centres.get(settings.data_centre)
    distance_ms = None if own is None else own.distance_ms.get(to)
    if distance_ms is None:
        return 2 * DEFAULT_DISTANCE
    return 2 * timedelta(milliseconds=distance_ms)


def order_shards(
    settings: Settings,
    pool: PoolName,
    data_centres: Iterable[DataCentreId],
    band: Band,
    heartbeat_of: Callable[[ShardId], ShardHeartbeat | None],
) -> list[ShardId]:
    """Returns the pool's shards in order of expected wait plus network delay, shortest first.

    ``heartbeat_of`` returns the latest heartbeat entry of a shard. Ties go to the local data
    centre.
    """

    def cost(data_centre: DataCentreId) -> tuple[timedelta, bool, str]:
        shard_heartbeat = heartbeat_of(shard_id(pool, data_centre))
        wait = NO_OWNER_WAIT
        if shard_heartbeat is not None and shard_heartbeat.serving:
            wait = shard_heartbeat.wait_by_band.get(band, timedelta(0))
        delay = network_delay(settings, data_centre)
        return wait + delay, data_centre != settings.data_centre, data_centre

    return [shard_id(pool, data_centre) for data_centre in sorted(data_centres, key=cost)]
