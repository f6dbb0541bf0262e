"""Baseline policy: first in, first out, on a random upstream where the task fits."""

from random import Random

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.ids import UpstreamId
from hornbeamramp.jobs import Job
from hornbeamramp.policies import gang
from hornbeamramp.policies.base import PlacementPolicy, PlacementRequest

__all__ = ["RandomPolicy"]


class RandomPolicy(PlacementPolicy):
    """Chooses the first fitting upstream from a random position on. For comparison only.

    The generator has a fixed seed, so that equal sequences of calls give equal decisions.
    """

    name = "random"
    fair = False

    def __init__(self) -> None:
        self._random = Random(1)

    def place(
        self, job: Job, request: PlacementRequest, index: CapacityIndex
    ) -> list[UpstreamId] | None:
        view = index.by_speed
        if request.count > 1:
            return gang.place(request, index)
        position = view.first(request.amount, self._random.randrange(len(view.ids) or 1))
        if position < 0:
            position = view.first(request.amount)
        return [view.ids[position]] if position >= 0 else None
