"""Contract of placement policies."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Set
from typing import ClassVar

import msgspec

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.ids import RackId, UpstreamId
from hornbeamramp.jobs import Job
from hornbeamramp.ledger import Vector
from hornbeamramp.plugins import Plugin

__all__ = ["PlacementPolicy", "PlacementRequest"]


class PlacementRequest(msgspec.Struct):
    """Tasks to be placed now, all of the same size.

    `amount`
        Size of one task, in the order of `Resources.as_tuple`.
    `count`
        Number of tasks; all of them are placed or none.
    `avoid`
        Upstreams on which the job failed before. Used only if no other has room.
    `tasks_by_rack`
        Number of tasks of the same job that run in each rack.
    `last_rack_position`
        Position in `CapacityIndex.by_rack` at which the search for another rack starts.
    """

    amount: Vector
    count: int = 1
    avoid: Set[UpstreamId] = frozenset()
    tasks_by_rack: Mapping[RackId, int] = {}
    last_rack_position: int = 0


class PlacementPolicy(Plugin, ABC):
    """Chooses upstreams by free capacity. Makes no reservation itself.

    `fair`
        Whether the queue is ordered by bands, shares and expected time, with headroom for other
        teams, preemption and reservations for gangs. Otherwise jobs are tried in order of arrival.
    """

    fair: ClassVar[bool] = True

    @abstractmethod
    def place(
        self, job: Job, request: PlacementRequest, index: CapacityIndex
    ) -> list[UpstreamId] | None:
        """Returns one upstream for each of the ``request.count`` tasks, or ``None``."""
