"""Placement of tasks of services."""

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.ids import UpstreamId
from hornbeamramp.policies.base import PlacementRequest

__all__ = ["EXTRA_CANDIDATES", "place"]

# Candidates compared in addition to one for each rack that already runs a task of the service.
EXTRA_CANDIDATES = 16


def place(request: PlacementRequest, index: CapacityIndex) -> list[UpstreamId] | None:
    """Returns an upstream in the rack with the fewest tasks of the service.

    Chooses the first rack without any; the search starts behind the rack used last, at
    ``request.rack_search_start``, and wraps around. For tasks that need no accelerator, upstreams
    without accelerators are preferred.
    """
    view, amount = index.by_rack, request.amount
    best: UpstreamId | None = None
    best_score: tuple = ()
    start, wrapped, candidates_tried = request.rack_search_start, False, 0
    while candidates_tried < EXTRA_CANDIDATES + len(request.tasks_by_rack):
        position = view.first(amount, start)
        if position < 0 or (wrapped and position >= request.rack_search_start):
            if wrapped or not request.rack_search_start:
                break
            start, wrapped = 0, True
            continue
        upstream_id = view.ids[position]
        shape = index.shape_by_id[upstream_id]
        wastes_accelerators = not amount[2] and shape.resources.accelerators > 0
        score = (
            wastes_accelerators,
            upstream_id in request.avoid,
            request.tasks_by_rack.get(shape.rack, 0),
        )
        if best is None or score < best_score:
            best, best_score = upstream_id, score
        if score == (False, False, 0):
            break
        start = position + 1 if score[1] else view.rack_end[position]
        candidates_tried += 1
    return [best] if best is not None else None
