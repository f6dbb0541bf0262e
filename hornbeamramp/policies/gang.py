"""Placement of gangs: all tasks at once or none."""

from hornbeamramp.capacity_index import CapacityIndex
from hornbeamramp.ids import UpstreamId
from hornbeamramp.ledger import Vector
from hornbeamramp.policies.base import PlacementRequest

__all__ = ["fit_count", "place"]


def fit_count(amount: Vector, free: Vector) -> int:
    """Returns how many tasks of size ``amount`` fit into ``free``; at most 2**31."""
    fits = 1 << 31
    for needed, have in zip(amount, free, strict=True):
        if needed:
            fits = min(fits, have // needed)
    return max(fits, 0)


def place(request: PlacementRequest, index: CapacityIndex) -> list[UpstreamId] | None:
    """Returns upstreams for all tasks, several to an upstream where they fit, or ``None``."""
    view, amount = index.by_speed, request.amount
    avoided: list[UpstreamId] = []
    chosen: list[UpstreamId] = []
    for upstream_id in view.candidates(amount):
        fits = fit_count(amount, view.available(upstream_id))
        if upstream_id in request.avoid:
            avoided.extend([upstream_id] * min(fits, request.count))
            continue
        chosen.extend([upstream_id] * min(fits, request.count - len(chosen)))
        if len(chosen) == request.count:
            return chosen
    chosen.extend(avoided[: request.count - len(chosen)])
    return chosen if len(chosen) == request.count else None
