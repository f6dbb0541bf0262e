"""Configuration set by operators: queues that callers submit to, and pools of workers."""

from datetime import timedelta

import msgspec

from hornbeamramp.ids import PoolName, QueueAddress, RouteName

__all__ = ["URGENT", "AdviceTiming", "ClusterConfig", "Pool", "Queue", "RouteMatch"]

# The most urgent priority.
URGENT = 0


class AdviceTiming(msgspec.Struct, frozen=True):
    """Duration of an advice request about a step, and how long a ticket stays valid.

    `base`, `per_worker`
        A request takes ``base`` plus ``per_worker`` for each worker it names.
    """

    base: timedelta
    per_worker: timedelta
    validity: timedelta


class Queue(msgspec.Struct, frozen=True):
    """A queue of jobs. Priority 0 is served first.

    `stretch`, `target`
        A job is on time if it ends within ``stretch`` times its critical path plus ``target``.
    """

    name: RouteName
    pool: PoolName
    host: str
    prefix: str
    priority: int
    max_attempts: int
    stretch: float
    target: timedelta
    timeout: timedelta
    advice: AdviceTiming | None = None

    @property
    def address(self) -> QueueAddress:
        """Where callers send the queue's jobs. Its name and pool may change, and it stays."""
        return QueueAddress(self.host + self.prefix)


class Pool(msgspec.Struct, frozen=True):
    """A pool of workers. The machines of a ``standby`` pool are switched off."""

    name: PoolName
    guards_capacity: bool = False
    standby: bool = False
    max_connections: int = 64
    health_path: str = ""


class RouteMatch(msgspec.Struct, frozen=True):
    """Queue that a caller's host and path select, and the path after the queue's prefix."""

    queue: Queue
    path_suffix: str


class ClusterConfig(msgspec.Struct, frozen=True):
    """One version of the configuration. Version numbers only increase."""

    version: int
    queue_by_name: dict[RouteName, Queue]
    pool_by_name: dict[PoolName, Pool]
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Returns the queue with the longest prefix of ``path`` on ``host``."""
        matching = [
            queue
            for queue in self.queue_by_name.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        if not matching:
            return None
        best = max(matching, key=lambda queue: len(queue.prefix))
        return RouteMatch(best, path[len(best.prefix) :])
