"""Index of upstreams by capacity, with which placement avoids a scan of the whole pool."""

from collections.abc import Callable, Iterator

from hornbeamramp.ids import RackId, UpstreamId
from hornbeamramp.ledger import Vector
from hornbeamramp.upstreams.base import UpstreamShape

__all__ = ["CapacityIndex", "CapacityTree", "CapacityView"]

_UNAVAILABLE: Vector = (-1, -1, -1, -1, -1)


class CapacityTree:
    """Segment tree over positions; a node holds the maximum of each resource in its subtree.

    `set` is O(log n). `first` is O(log n) unless different leaves of a subtree hold the maxima of
    different resources: it may then search the subtree without finding a leaf that fits.
    """

    __slots__ = ("_leaves", "_nodes", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self._leaves = 1 << max(size - 1, 0).bit_length()
        self._nodes: list[Vector] = [_UNAVAILABLE] * (2 * self._leaves)

    def fill(self, values: list[Vector]) -> None:
        """Sets all positions at once, in O(n)."""
        nodes, leaves = self._nodes, self._leaves
        nodes[leaves : leaves + len(values)] = values
        for i in range(leaves - 1, 0, -1):
            a, b = nodes[2 * i], nodes[2 * i + 1]
            nodes[i] = a if b is _UNAVAILABLE else tuple(map(max, a, b))  # type: ignore[assignment]

    def set(self, position: int, value: Vector) -> None:
        nodes = self._nodes
        i = self._leaves + position
        if nodes[i] == value:
            return
        nodes[i] = value
        i >>= 1
        while i:
            a, b = nodes[2 * i], nodes[2 * i + 1]
            maxima = (
                a[0] if a[0] > b[0] else b[0],
                a[1] if a[1] > b[1] else b[1],
                a[2] if a[2] > b[2] else b[2],
                a[3] if a[3] > b[3] else b[3],
                a[4] if a[4] > b[4] else b[4],
            )
            if maxima == nodes[i]:
                return
            nodes[i] = maxima
            i >>= 1

    def get(self, position: int) -> Vector:
        return self._nodes[self._leaves + position]

    def may_fit(self, amount: Vector) -> bool:
        """Compares with the maximum of each resource over all positions, in O(1)."""
        n = self._nodes[1]
        return (
            n[0] >= amount[0]
            and n[1] >= amount[1]
            and n[2] >= amount[2]
            and n[3] >= amount[3]
            and n[4] >= amount[4]
        )

    def first(self, amount: Vector, start: int = 0) -> int:
        """Returns the first position from ``start`` on with at least ``amount``, or -1."""
        if start >= self.size:
            return -1
        nodes, leaves = self._nodes, self._leaves
        a0, a1, a2, a3, a4 = amount
        n = nodes[1]
        if n[0] < a0 or n[1] < a1 or n[2] < a2 or n[3] < a3 or n[4] < a4:
            return -1
        i = leaves + start if start else 1
        while True:
            n = nodes[i]
            if n[0] >= a0 and n[1] >= a1 and n[2] >= a2 and n[3] >= a3 and n[4] >= a4:
                if i >= leaves:
                    return i - leaves
                i *= 2
                continue
            while i & 1:
                i >>= 1
            if not i:
                return -1
            i += 1


class CapacityView:
    """Upstreams in one order of preference, searchable by one measure of capacity.

    `key`
        Sort key of an upstream, given its shape and the mean speed of its rack.
    `value`
        Returns the capacity available on an upstream, or ``None`` to exclude it.
    """

    def __init__(
        self,
        key: Callable[[UpstreamShape, float], tuple],
        value: Callable[[UpstreamId], Vector | None],
    ) -> None:
        self._key = key
        self._value = value
        self._tree = CapacityTree(0)
        self._dirty: set[UpstreamId] = set()
        self._stale = True
        self._shape_by_id: dict[UpstreamId, UpstreamShape] = {}
        self.ids: list[UpstreamId] = []
        self.position_by_id: dict[UpstreamId, int] = {}
        self.rack_end: list[int] = []

    def touch(self, upstream_id: UpstreamId) -> None:
        """Notes that the capacity of an upstream may have changed."""
        self._dirty.add(upstream_id)

    def invalidate(self, shape_by_id: dict[UpstreamId, UpstreamShape]) -> None:
        """Has the view rebuilt on next use, after a change of the upstreams or their shapes."""
        self._shape_by_id = shape_by_id
        self._stale = True

    def first(self, amount: Vector, start: int = 0) -> int:
        """Returns the first position from ``start`` on where ``amount`` fits, or -1."""
        self._refresh()
        return self._tree.first(amount, start)

    def may_fit(self, amount: Vector) -> bool:
        """Tells whether ``amount`` may fit on any upstream; false only if it fits on none."""
        self._refresh()
        return self._tree.may_fit(amount)

    def candidates(self, amount: Vector, start: int = 0) -> Iterator[UpstreamId]:
        """Yields the upstreams on which ``amount`` fits in order of preference."""
        position = self.first(amount, start)
        while position >= 0:
            yield self.ids[position]
            position = self._tree.first(amount, position + 1)

    def available(self, upstream_id: UpstreamId) -> Vector:
        """Returns the capacity available on an upstream; negative if it is excluded or unknown."""
        self._refresh()
        position = self.position_by_id.get(upstream_id)
        return self._tree.get(position) if position is not None else _UNAVAILABLE

    def _refresh(self) -> None:
        if self._stale:
            self._rebuild()
        if not self._dirty:
            return
        for upstream_id in self._dirty:
            position = self.position_by_id.get(upstream_id)
            if position is not None:
                self._tree.set(position, self._value(upstream_id) or _UNAVAILABLE)
        self._dirty.clear()

    def _rebuild(self) -> None:
        speeds_by_rack: dict[RackId, list[float]] = {}
        for shape in self._shape_by_id.values():
            speeds_by_rack.setdefault(shape.rack, []).append(shape.speed)
        mean_speed_by_rack = {
            rack: sum(values) / len(values) for rack, values in speeds_by_rack.items()
        }
        shapes = sorted(
            self._shape_by_id.values(), key=lambda s: self._key(s, mean_speed_by_rack[s.rack])
        )
        self.ids = [shape.id for shape in shapes]
        self.position_by_id = {upstream_id: i for i, upstream_id in enumerate(self.ids)}
        self.rack_end = [0] * len(shapes)
        for i in range(len(shapes) - 1, -1, -1):
            same_rack = i + 1 < len(shapes) and shapes[i + 1].rack == shapes[i].rack
            self.rack_end[i] = self.rack_end[i + 1] if same_rack else i + 1
        self._tree = CapacityTree(len(shapes))
        self._tree.fill([self._value(upstream_id) or _UNAVAILABLE for upstream_id in self.ids])
        self._dirty.clear()
        self._stale = False


def _speed_key(shape: UpstreamShape, rack_speed: float) -> tuple:
    return (shape.resources.accelerators > 0, -shape.speed, shape.id)


def _rack_key(shape: UpstreamShape, rack_speed: float) -> tuple:
    accelerators = shape.resources.accelerators > 0
    return (accelerators, -rack_speed, shape.rack, -shape.speed, shape.id)


class CapacityIndex:
    """The views searched by placement. Upstreams without accelerators come first in each.

    `by_speed`
        Free capacity, fastest upstream first.
    `by_rack`
        Free capacity, with the upstreams of a rack next to each other and the fastest rack first.
    `reclaimable`
        Free capacity plus what preemption could free.
    `drainable`
        Free capacity plus that of running tasks with an expected end.
    """

    def __init__(
        self,
        free: Callable[[UpstreamId], Vector | None],
        reclaimable: Callable[[UpstreamId], Vector | None],
        drainable: Callable[[UpstreamId], Vector | None],
    ) -> None:
        self.shape_by_id: dict[UpstreamId, UpstreamShape] = {}
        self.by_speed = CapacityView(_speed_key, free)
        self.by_rack = CapacityView(_rack_key, free)
        self.reclaimable = CapacityView(_speed_key, reclaimable)
        self.drainable = CapacityView(_speed_key, drainable)
        self._views = (self.by_speed, self.by_rack, self.reclaimable, self.drainable)

    def add(self, shape: UpstreamShape) -> None:
        """Adds an upstream or changes its shape."""
        self.shape_by_id[shape.id] = shape
        for view in self._views:
            view.invalidate(self.shape_by_id)

    def remove(self, upstream_id: UpstreamId) -> None:
        """Removes an upstream; without effect if it is not known."""
        self.shape_by_id.pop(upstream_id, None)
        for view in self._views:
            view.invalidate(self.shape_by_id)

    def touch(self, upstream_id: UpstreamId) -> None:
        """Notes that the capacity of an upstream may have changed."""
        for view in self._views:
            view.touch(upstream_id)
