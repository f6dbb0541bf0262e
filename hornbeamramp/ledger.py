"""Ledger of allocated capacity; all capacity of upstreams is allocated through it."""

from collections.abc import Callable, Iterator

from result import Err, Ok, Result

from hornbeamramp.ids import AttemptId, UpstreamId
from hornbeamramp.resources import ZERO, Resources

__all__ = ["Ledger", "Reservation", "Vector"]

Vector = tuple[int, int, int, int, int]
"""Amounts in the order of `Resources.as_tuple`."""

_CONSTRUCTOR_TOKEN = object()


class Reservation:
    """Capacity allocated to one attempt on one upstream. Only a `Ledger` creates reservations.

    `resources`
        Amount allocated now.
    `wanted`
        Measured use if it exceeds what could be allocated, otherwise the same as ``resources``.
    """

    __slots__ = ("_active", "_amount", "_wanted", "attempt_id", "upstream_id")

    def __init__(
        self, token: object, upstream_id: UpstreamId, attempt_id: AttemptId, amount: Vector
    ) -> None:
        if token is not _CONSTRUCTOR_TOKEN:
            raise TypeError("reservations can only be created by a Ledger")
        self.upstream_id = upstream_id
        self.attempt_id = attempt_id
        self._amount = amount
        self._wanted = amount
        self._active = True

    @property
    def resources(self) -> Resources:
        return Resources(*self._amount)

    @property
    def amount(self) -> Vector:
        return self._amount

    @property
    def wanted(self) -> Resources:
        return Resources(*self._wanted)

    @property
    def active(self) -> bool:
        """Whether the reservation still takes up capacity."""
        return self._active


class _Allocation:
    __slots__ = ("by_attempt", "capacity", "total", "unmet")

    def __init__(self, capacity: Vector) -> None:
        self.capacity = capacity
        self.total: Vector = (0, 0, 0, 0, 0)
        self.by_attempt: dict[AttemptId, Reservation] = {}
        self.unmet: dict[AttemptId, Reservation] = {}

    def free(self) -> Vector:
        c, t = self.capacity, self.total
        return (
            c[0] - t[0] if c[0] > t[0] else 0,
            c[1] - t[1] if c[1] > t[1] else 0,
            c[2] - t[2] if c[2] > t[2] else 0,
            c[3] - t[3] if c[3] > t[3] else 0,
            c[4] - t[4] if c[4] > t[4] else 0,
        )


class Ledger:
    """Allocated capacity by upstream.

    The sum of reservations on an upstream never exceeds its capacity in any resource, except where
    recovery finds an upstream already overcommitted (`reserve_unchecked`); its free capacity is
    then zero. ``on_change`` is called with the id of each upstream whose free capacity changed.
    """

    def __init__(self, on_change: Callable[[UpstreamId], None] | None = None) -> None:
        self._allocation_by_id: dict[UpstreamId, _Allocation] = {}
        self._on_change = on_change or (lambda _: None)

    def __contains__(self, upstream_id: UpstreamId) -> bool:
        return upstream_id in self._allocation_by_id

    def set_capacity(self, upstream_id: UpstreamId, capacity: Resources) -> None:
        """Adds an upstream or changes the capacity of a known one."""
        allocation = self._allocation_by_id.get(upstream_id)
        if allocation is None:
            self._allocation_by_id[upstream_id] = _Allocation(capacity.as_tuple())
        else:
            allocation.capacity = capacity.as_tuple()
            self._grant_unmet(allocation)
        self._on_change(upstream_id)

    def remove_upstream(self, upstream_id: UpstreamId) -> list[AttemptId]:
        """Removes an upstream with all its reservations and returns their attempts."""
        allocation = self._allocation_by_id.pop(upstream_id, None)
        if allocation is None:
            return []
        for reservation in allocation.by_attempt.values():
            reservation._active = False
        return list(allocation.by_attempt)

    def reserve(
        self, upstream_id: UpstreamId, attempt_id: AttemptId, resources: Resources
    ) -> Result[Reservation, str]:
        """Reserves capacity for an attempt.

        Returns an error text if the upstream is unknown, the attempt already has a reservation on
        it, or there is not enough free capacity.
        """
        return self.reserve_amount(upstream_id, attempt_id, resources.as_tuple())

    def reserve_amount(
        self, upstream_id: UpstreamId, attempt_id: AttemptId, amount: Vector
    ) -> Result[Reservation, str]:
        """Like `reserve`, but takes the amounts as a tuple."""
        allocation = self._allocation_by_id.get(upstream_id)
        if allocation is None:
            return Err(f"no such upstream: {upstream_id}")
        if attempt_id in allocation.by_attempt:
            return Err(f"attempt already holds capacity: {attempt_id}")
        if min(amount) < 0:
            return Err(f"negative amount: {amount}")
        c, t, a = allocation.capacity, allocation.total, amount
        total = (t[0] + a[0], t[1] + a[1], t[2] + a[2], t[3] + a[3], t[4] + a[4])
        # A resource of which nothing is asked fits, also where it is overcommitted. The
        # index leaves it out: a task that fits by the index alone would be tried again without end.
        if (
            (a[0] and total[0] > c[0])
            or (a[1] and total[1] > c[1])
            or (a[2] and total[2] > c[2])
            or (a[3] and total[3] > c[3])
            or (a[4] and total[4] > c[4])
        ):
            return Err(f"no room on {upstream_id}")
        allocation.total = total
        reservation = Reservation(_CONSTRUCTOR_TOKEN, upstream_id, attempt_id, amount)
        allocation.by_attempt[attempt_id] = reservation
        self._on_change(upstream_id)
        return Ok(reservation)

    def reserve_unchecked(
        self, upstream_id: UpstreamId, attempt_id: AttemptId, resources: Resources
    ) -> Result[Reservation, str]:
        """Reserves what an attempt already uses on the upstream, even beyond its capacity."""
        allocation = self._allocation_by_id.get(upstream_id)
        if allocation is None:
            return Err(f"no such upstream: {upstream_id}")
        if attempt_id in allocation.by_attempt:
            return Err(f"attempt already holds capacity: {attempt_id}")
        reservation = Reservation(_CONSTRUCTOR_TOKEN, upstream_id, attempt_id, resources.as_tuple())
        allocation.by_attempt[attempt_id] = reservation
        allocation.total = _add(allocation.total, reservation._amount)
        self._on_change(upstream_id)
        return Ok(reservation)

    def release(self, reservation: Reservation) -> bool:
        """Releases a reservation. Returns false, without effect, if it was released before."""
        if not reservation._active:
            return False
        reservation._active = False
        allocation = self._allocation_by_id[reservation.upstream_id]
        del allocation.by_attempt[reservation.attempt_id]
        allocation.unmet.pop(reservation.attempt_id, None)
        allocation.total = _subtract(allocation.total, reservation._amount)
        self._grant_unmet(allocation)
        self._on_change(reservation.upstream_id)
        return True

    def grow(self, reservation: Reservation, measured: Resources) -> None:
        """Raises a reservation to the measured use.

        Allocates what is free and records the rest as unmet. Unmet demand is allocated before any
        new reservation when capacity is released. Never lowers the reservation.
        """
        if not reservation._active:
            return
        wanted = _maximum(reservation._amount, measured.as_tuple())
        if wanted == reservation._amount and wanted == reservation._wanted:
            return
        allocation = self._allocation_by_id[reservation.upstream_id]
        reservation._wanted = wanted
        allocation.unmet[reservation.attempt_id] = reservation
        self._grant_unmet(allocation)
        self._on_change(reservation.upstream_id)

    def shrink(self, reservation: Reservation, resources: Resources) -> None:
        """Lowers a reservation to ``resources``. Never raises any amount of it."""
        if not reservation._active:
            return
        amount = _minimum(reservation._amount, resources.as_tuple())
        if amount == reservation._amount:
            return
        allocation = self._allocation_by_id[reservation.upstream_id]
        allocation.total = _add(_subtract(allocation.total, reservation._amount), amount)
        reservation._amount = reservation._wanted = amount
        allocation.unmet.pop(reservation.attempt_id, None)
        self._grant_unmet(allocation)
        self._on_change(reservation.upstream_id)

    def free(self, upstream_id: UpstreamId) -> Vector:
        """Returns the free capacity of an upstream; zero for an unknown one."""
        allocation = self._allocation_by_id.get(upstream_id)
        return allocation.free() if allocation is not None else ZERO.as_tuple()

    def capacity(self, upstream_id: UpstreamId) -> Vector:
        """Returns the capacity of an upstream; zero for an unknown one."""
        allocation = self._allocation_by_id.get(upstream_id)
        return allocation.capacity if allocation is not None else ZERO.as_tuple()

    def allocated(self, upstream_id: UpstreamId) -> Vector:
        """Returns the sum of all reservations on an upstream."""
        allocation = self._allocation_by_id.get(upstream_id)
        return allocation.total if allocation is not None else ZERO.as_tuple()

    def reservations(self, upstream_id: UpstreamId) -> Iterator[Reservation]:
        """Yields the reservations on an upstream."""
        allocation = self._allocation_by_id.get(upstream_id)
        if allocation is not None:
            yield from allocation.by_attempt.values()

    def count(self, upstream_id: UpstreamId) -> int:
        """Returns the number of reservations on an upstream."""
        allocation = self._allocation_by_id.get(upstream_id)
        return len(allocation.by_attempt) if allocation is not None else 0

    @staticmethod
    def _grant_unmet(allocation: _Allocation) -> None:
        if not allocation.unmet:
            return
        for attempt_id, reservation in list(allocation.unmet.items()):
            missing = _subtract(reservation._wanted, reservation._amount)
            grant = _minimum(missing, allocation.free())
            reservation._amount = _add(reservation._amount, grant)
            allocation.total = _add(allocation.total, grant)
            if grant == missing:
                del allocation.unmet[attempt_id]


def _add(a: Vector, b: Vector) -> Vector:
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3], a[4] + b[4])


def _subtract(a: Vector, b: Vector) -> Vector:
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2], a[3] - b[3], a[4] - b[4])


def _minimum(a: Vector, b: Vector) -> Vector:
    return tuple(map(min, a, b))  # type: ignore[return-value]


def _maximum(a: Vector, b: Vector) -> Vector:
    return tuple(map(max, a, b))  # type: ignore[return-value]
