"""Configuration set by operators: queues that callers submit to, pools of workers, and client
accounts."""

from datetime import timedelta
from functools import cached_property

import msgspec

from hornbeamramp.ids import AccountId, ApiKey, PoolName, QueueAddress, RouteName

__all__ = [
    "URGENT",
    "AccountQuota",
    "AdviceTiming",
    "ClientAccount",
    "ClusterConfig",
    "Pool",
    "Queue",
    "RequestLimits",
    "RouteMatch",
]

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
    `is_public`
        Calls need no key of a client account.
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
    is_public: bool = False

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


class AccountQuota(msgspec.Struct, frozen=True):
    """Most that the tasks of an account may have allocated on all workers of all pools.

    `processors_milli`, `memory_mib`, `accelerators`
        In thousandths of a core, MiB and whole accelerators; 0 is no limit.
    """

    processors_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account, whose callers identify themselves by one of its keys.

    `weight`
        Its share of the pools when all are full. Jobs beyond ``weight`` a second have no claim to
        room that others want.
    """

    id: AccountId
    weight: float = 1.0
    quota: AccountQuota = AccountQuota()
    keys: tuple[ApiKey, ...] = ()


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of callers' requests.

    `max_header_bytes`, `max_body_bytes`
        Sizes of a request's head and of its body.
    `header_timeout`
        Time from the first byte of a request to the end of its head.
    `idle_timeout`
        Time for which a connection may stay open without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class RouteMatch(msgspec.Struct, frozen=True):
    """Queue that a caller's host and path select, and the path after the queue's prefix."""

    queue: Queue
    path_suffix: str


class ClusterConfig(msgspec.Struct, frozen=True, dict=True):
    """One version of the configuration. Version numbers only increase.

    `account_by_id`
        The client accounts; empty if calls need no keys and there are no quotas.
    """

    version: int
    queue_by_name: dict[RouteName, Queue]
    pool_by_name: dict[PoolName, Pool]
    request_limits: RequestLimits = RequestLimits()
    account_by_id: dict[AccountId, ClientAccount] = {}

    @cached_property
    def account_by_key(self) -> dict[ApiKey, ClientAccount]:
        return {key: account for account in self.account_by_id.values() for key in account.keys}

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
