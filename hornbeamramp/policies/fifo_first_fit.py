"""Baseline policy: first in, first out, on the first upstream where the task fits."""

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.ids import UpstreamId
from hornbeamramp.jobs import Job
from hornbeamramp.policies import gang
from hornbeamramp.policies.base import PlacementPolicy, PlacementRequest

__all__ = ["FifoFirstFitPolicy"]


class FifoFirstFitPolicy(PlacementPolicy):
    """Chooses the first fitting upstream. For comparison only."""

    name = "fifo_first_fit"
    aliases = ("fifo",)
    fair = False

    def place(
        self, job: Job, request: PlacementRequest, index: CapacityIndex
    ) -> list[UpstreamId] | None:
        if request.count > 1:
            return gang.place(request, index)
        return next(([found] for found in index.by_speed.candidates(request.amount)), None)
