"""The two tables that operators edit, routes and pools, and the check of their references."""

from collections.abc import Mapping

import msgspec
from result import Err, Ok, Result

from hornbeamramp.ids import ChangeId, DataCentreId, PoolName, Revision, RouteName, TeamId
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band, JobKind

__all__ = [
    "Change",
    "Pool",
    "PoolUpstream",
    "Quota",
    "Route",
    "TableError",
    "Tables",
    "check_references",
]


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Quota of a team in a pool, separately for each data centre.

    `weight`
        Share relative to other teams of the same band; greater than 0.
    `limit`
        Maximum resources in use at once, or ``None`` for no limit.
    """

    weight: float = 1.0
    limit: Resources | None = None

    def __post_init__(self) -> None:
        if not self.weight > 0:
            raise ValueError("weight must be more than 0")


class PoolUpstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream of a pool: its address and its data centre."""

    id: str
    data_centre: DataCentreId
    address: str


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A row of the table of pools: upstreams of one kind, with quotas by team."""

    name: PoolName
    upstreams: list[PoolUpstream] = []
    quotas: dict[TeamId, Quota] = {}
    adapter: str = "http"
    policy: str = "default"

    def data_centres(self) -> set[DataCentreId]:
        """Returns the data centres in which the pool has upstreams."""
        return {upstream.data_centre for upstream in self.upstreams}


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A row of the table of routes: a kind of job and the pool that runs it.

    `kind`
        ``batch``, ``service`` or ``gang``.
    `band`
        Urgency of the route's jobs, 0 (urgent) to 3 (bulk).
    `run_ms`
        Declared run time of a task on an upstream of speed 1.0, in milliseconds.
    """

    name: RouteName
    pool: PoolName
    kind: JobKind = JobKind.BATCH
    band: Band = Band.NORMAL
    resources: Resources = Resources(processors_milli=1000, memory_mib=1024)
    run_ms: int = 1000
    idempotent: bool = True

    def __post_init__(self) -> None:
        if self.run_ms <= 0:
            raise ValueError("run_ms must be more than 0")


class Change(msgspec.Struct, frozen=True):
    """One accepted change: a row written (``route`` or ``pool`` is set) or deleted (neither is).

    `revision`
        Revision of the tables after the change, which becomes the version of the row.
    `digest`
        Digest over this change and the digest of the previous change. Two chains of changes with
        the same digest at a revision are identical up to that revision.
    """

    id: ChangeId
    revision: Revision
    table: str
    name: str
    route: Route | None = None
    pool: Pool | None = None
    digest: str = ""


class TableError(msgspec.Struct, frozen=True):
    """Routes whose pool does not exist. ``names`` are these routes, the message names the pools."""

    message: str
    names: list[str] = []


class Tables(msgspec.Struct):
    """Both tables at one revision, each row with the revision that last wrote it.

    ``digest`` is the digest of the change that led to the revision, empty at revision 0.
    """

    revision: Revision = Revision(0)
    route_by_name: dict[RouteName, Route] = {}
    pool_by_name: dict[PoolName, Pool] = {}
    route_version_by_name: dict[RouteName, Revision] = {}
    pool_version_by_name: dict[PoolName, Revision] = {}
    digest: str = ""

    def row(self, table: str, name: str) -> tuple[Route | Pool | None, Revision | None]:
        """Returns the row and its version, both ``None`` if there is no such row."""
        if table == "routes":
            route = RouteName(name)
            return self.route_by_name.get(route), self.route_version_by_name.get(route)
        pool = PoolName(name)
        return self.pool_by_name.get(pool), self.pool_version_by_name.get(pool)

    def apply(self, change: Change) -> "Tables":
        """Returns the tables with the change applied. Does not check references."""
        routes, route_versions = dict(self.route_by_name), dict(self.route_version_by_name)
        pools, pool_versions = dict(self.pool_by_name), dict(self.pool_version_by_name)
        rows, versions, row = (
            (routes, route_versions, change.route)
            if change.table == "routes"
            else (pools, pool_versions, change.pool)
        )
        if row is None:
            rows.pop(change.name, None)
            versions.pop(change.name, None)
        else:
            rows[change.name] = row
            versions[change.name] = change.revision
        return Tables(change.revision, routes, pools, route_versions, pool_versions, change.digest)


def check_references(
    route_by_name: Mapping[RouteName, Route], pool_by_name: Mapping[PoolName, Pool]
) -> Result[None, TableError]:
    """Checks that the pool of each route exists."""
    missing = sorted(r.name for r in route_by_name.values() if r.pool not in pool_by_name)
    if missing:
        pools = sorted({route_by_name[RouteName(name)].pool for name in missing})
        return Err(TableError(f"no such pool: {', '.join(pools)}", list(missing)))
    return Ok(None)
