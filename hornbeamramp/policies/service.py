"""Placement of tasks of services."""

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.ids import UpstreamId
from hornbeamramp.policies.base import PlacementRequest

__all__ = ["RACKS", "place"]

# Racks that are compared when every rack tried already runs a task of the service.
RACKS = 16


def place(request: PlacementRequest, index: CapacityIndex) -> list[UpstreamId] | None:
    """Returns an upstream in the rack with the fewest tasks of the service.

    Takes the first rack without any; the search starts behind the rack used last and wraps
    around. Prefers racks without accelerators for tasks that need none.
    """
    view, amount = index.by_rack, request.amount
    best: UpstreamId | None = None
    best_score: tuple = ()
    start, wrapped, seen = request.last_rack_position, False, 0
    while seen < RACKS + len(request.tasks_by_rack):
        position = view.first(amount, start)
        if position < 0 or (wrapped and position >= request.last_rack_position):
            if wrapped or not request.last_rack_position:
                break
            start, wrapped = 0, True
            continue
        upstream_id = view.ids[position]
        shape = index.shape_by_id[upstream_id]
        wasted = not amount[2] and shape.resources.accelerators > 0
        score = (
            wasted,
            upstream_id in request.avoid,
            request.tasks_by_rack.get(shape.rack, 0),
        )
        if best is None or score < best_score:
            best, best_score = upstream_id, score
        if score == (False, False, 0):
            break
        start = position + 1 if score[1] else view.rack_end[position]
        seen += 1
    return [best] if best is not None else None
