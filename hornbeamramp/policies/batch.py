"""Placement of tasks of batch jobs."""

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.ids import UpstreamId
from hornbeamramp.policies.base import PlacementRequest

__all__ = ["MAX_CANDIDATES", "place"]

# More candidates do not reduce fragmentation further but slow each decision down.
MAX_CANDIDATES = 4


def place(request: PlacementRequest, index: CapacityIndex) -> list[UpstreamId] | None:
    """Returns the fastest upstream on which the task fits; among equal speeds, the tightest fit.

    The tightest fit leaves large blocks of free capacity for gangs. For tasks that need no
    accelerator, upstreams without accelerators are preferred, even to faster ones.
    """
    view, amount, avoid = index.by_speed, request.amount, request.avoid
    best: UpstreamId | None = None
    best_score: tuple = ()
    fallback: UpstreamId | None = None
    candidates_seen = 0
    for upstream_id in view.candidates(amount):
        if upstream_id in avoid:
            fallback = fallback or upstream_id
            continue
        shape = index.shape_by_id[upstream_id]
        free, total = view.available(upstream_id), shape.resources
        wastes_accelerators = not amount[2] and total.accelerators > 0
        left_free = (free[0] - amount[0]) / (total.processors_milli or 1) + (
            (free[1] - amount[1]) / (total.memory_mib or 1)
        )
        score = (wastes_accelerators, -shape.speed, left_free)
        if best is None or score < best_score:
            best, best_score = upstream_id, score
        candidates_seen += 1
        if candidates_seen == MAX_CANDIDATES or score[:2] > best_score[:2]:
            break
    chosen = best or fallback
    return [chosen] if chosen is not None else None
