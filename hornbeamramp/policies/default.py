"""The default policy: placement by kind of job."""

from functools import singledispatch

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.ids import UpstreamId
from hornbeamramp.jobs import GangJob, Job, ServiceJob
from hornbeamramp.policies import batch, gang, service
from hornbeamramp.policies.base import PlacementPolicy, PlacementRequest

__all__ = ["DefaultPolicy", "place"]


@singledispatch
def place(job: Job, request: PlacementRequest, index: CapacityIndex) -> list[UpstreamId] | None:
    """Returns an upstream for each task of ``request``; dispatches on the type of ``job``."""
    return batch.place(request, index)


@place.register
def _(job: ServiceJob, request: PlacementRequest, index: CapacityIndex) -> list[UpstreamId] | None:
    return service.place(request, index)


@place.register
def _(job: GangJob, request: PlacementRequest, index: CapacityIndex) -> list[UpstreamId] | None:
    return gang.place(request, index)


class DefaultPolicy(PlacementPolicy):
    """Scores upstreams by speed, rack spread, accelerators and remaining free capacity."""

    name = "default"
    aliases = ("scored",)

    def place(
        self, job: Job, request: PlacementRequest, index: CapacityIndex
    ) -> list[UpstreamId] | None:
        return place(job, request, index)
