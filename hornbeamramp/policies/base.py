"""Interface of placement policies."""

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
        Upstreams on which the job failed before. Used only if the tasks fit on no others.
    `tasks_by_rack`
        Number of running tasks of the same job in each rack.
    `rack_search_start`
        Position in `CapacityIndex.by_rack` at which the search for a rack starts.
    """

    amount: Vector
    count: int = 1
    avoid: Set[UpstreamId] = frozenset()
    tasks_by_rack: Mapping[RackId, int] = {}
    rack_search_start: int = 0


class PlacementPolicy(Plugin, ABC):
    """Chooses upstreams by free capacity. Does not reserve it.

    `fair`
        Whether the queue is ordered by bands, shares and expected time, with headroom for other
        teams, preemption and reservations for gangs. Otherwise jobs are served first in, first out.
    """

    fair: ClassVar[bool] = True

    @abstractmethod
    def place(
        self, job: Job, request: PlacementRequest, index: CapacityIndex
    ) -> list[UpstreamId] | None:
        """Returns one upstream for each of the ``request.count`` tasks, or ``None``."""
