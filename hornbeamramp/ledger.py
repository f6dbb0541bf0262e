"""Ledger of allocated capacity: the only place where capacity of upstreams is handed out."""

from collections.abc import Callable, Iterator

from result import Err, Ok, Result

from hornbeamramp.ids import AttemptId, UpstreamId
from hornbeamramp.resources import ZERO, Resources

__all__ = ["Ledger", "Reservation", "Vector"]

Vector = tuple[int, int, int, int, int]
"""Amounts in the order of `Resources.as_tuple`."""

_KEY = object()


class Reservation:
    """Capacity held for one attempt on one upstream. Only a `Ledger` creates reservations.

    `resources`
        Amount held now.
    `wanted`
        Measured use, if it is more than could be granted; otherwise the same as ``resources``.
    """

    __slots__ = ("_active", "_amount", "_wanted", "attempt_id", "upstream_id")

    def __init__(
        self, key: object, upstream_id: UpstreamId, attempt_id: AttemptId, amount: Vector
    ) -> None:
        if key is not _KEY:
            raise TypeError("reservations are created by Ledger.reserve only")
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
        """Tells whether the reservation still holds capacity."""
        return self._active


class _Account:
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

    The sum of reservations on an upstream never exceeds its capacity in any resource, except for
    holds that recovery found on a machine that was already overfull (`reserve_unchecked`); free capacity is
    then zero. ``on_change`` is called with the id of each upstream whose free capacity changed.
    """

    def __init__(self, on_change: Callable[[UpstreamId], None] | None = None) -> None:
        self._account_by_id: dict[UpstreamId, _Account] = {}
        self._on_change = on_change or (lambda _: None)

    def __contains__(self, upstream_id: UpstreamId) -> bool:
        return upstream_id in self._account_by_id

    def set_capacity(self, upstream_id: UpstreamId, capacity: Resources) -> None:
        """Adds an upstream or changes the capacity of a known one."""
        account = self._account_by_id.get(upstream_id)
        if account is None:
            self._account_by_id[upstream_id] = _Account(capacity.as_tuple())
        else:
            account.capacity = capacity.as_tuple()
            self._regrow(account)
        self._on_change(upstream_id)

    def remove_upstream(self, upstream_id: UpstreamId) -> list[AttemptId]:
        """Removes an upstream with all its reservations and returns their attempts."""
        account = self._account_by_id.pop(upstream_id, None)
        if account is None:
            return []
        for reservation in account.by_attempt.values():
            reservation._active = False
        return list(account.by_attempt)

    def reserve(
        self, upstream_id: UpstreamId, attempt_id: AttemptId, resources: Resources
    ) -> Result[Reservation, str]:
        """Reserves capacity, or returns why it can't: unknown upstream, attempt held, no room."""
        return self.reserve_amount(upstream_id, attempt_id, resources.as_tuple())

    def reserve_amount(
        self, upstream_id: UpstreamId, attempt_id: AttemptId, amount: Vector
    ) -> Result[Reservation, str]:
        """Like `reserve`, with the amounts as a tuple."""
        account = self._account_by_id.get(upstream_id)
        if account is None:
            return Err(f"no such upstream: {upstream_id}")
        if attempt_id in account.by_attempt:
            return Err(f"attempt already holds capacity: {attempt_id}")
        if min(amount) < 0:
            return Err(f"negative amount: {amount}")
        c, t, a = account.capacity, account.total, amount
        total = (t[0] + a[0], t[1] + a[1], t[2] + a[2], t[3] + a[3], t[4] + a[4])
        if (
            total[0] > c[0]
            or total[1] > c[1]
            or total[2] > c[2]
            or total[3] > c[3]
            or total[4] > c[4]
        ):
            return Err(f"no room on {upstream_id}")
        account.total = total
        reservation = Reservation(_KEY, upstream_id, attempt_id, amount)
        account.by_attempt[attempt_id] = reservation
        self._on_change(upstream_id)
        return Ok(reservation)

    def reserve_unchecked(
        self, upstream_id: UpstreamId, attempt_id: AttemptId, resources: Resources
    ) -> Result[Reservation, str]:
        """Records capacity that is already in use on the machine, even beyond its capacity."""
        account = self._account_by_id.get(upstream_id)
        if account is None:
            return Err(f"no such upstream: {upstream_id}")
        if attempt_id in account.by_attempt:
            return Err(f"attempt already holds capacity: {attempt_id}")
        reservation = Reservation(_KEY, upstream_id, attempt_id, resources.as_tuple())
        account.by_attempt[attempt_id] = reservation
        account.total = _add(account.total, reservation._amount)
        self._on_change(upstream_id)
        return Ok(reservation)

    def release(self, reservation: Reservation) -> bool:
        """Releases a reservation; false, without effect, if it was released before."""
        if not reservation._active:
            return False
        reservation._active = False
        account = self._account_by_id[reservation.upstream_id]
        del account.by_attempt[reservation.attempt_id]
        account.unmet.pop(reservation.attempt_id, None)
        account.total = _subtract(account.total, reservation._amount)
        self._regrow(account)
        self._on_change(reservation.upstream_id)
        return True

    def grow(self, reservation: Reservation, measured: Resources) -> None:
        """Raises a reservation to the measured use.

        Grants what is free and keeps the rest as unmet, to be granted before anything else when
        capacity is released. Never lowers the reservation.
        """
        if not reservation._active:
            return
        wanted = _maximum(reservation._amount, measured.as_tuple())
        if wanted == reservation._amount and wanted == reservation._wanted:
            return
        account = self._account_by_id[reservation.upstream_id]
        reservation._wanted = wanted
        account.unmet[reservation.attempt_id] = reservation
        self._regrow(account)
        self._on_change(reservation.upstream_id)

    def shrink(self, reservation: Reservation, resources: Resources) -> None:
        """Lowers a reservation to ``resources``. Never raises any amount of it."""
        if not reservation._active:
            return
        amount = _minimum(reservation._amount, resources.as_tuple())
        if amount == reservation._amount:
            return
        account = self._account_by_id[reservation.upstream_id]
        account.total = _add(_subtract(account.total, reservation._amount), amount)
        reservation._amount = reservation._wanted = amount
        account.unmet.pop(reservation.attempt_id, None)
        self._regrow(account)
        self._on_change(reservation.upstream_id)

    def free(self, upstream_id: UpstreamId) -> Vector:
        """Returns the free amounts of an upstream; zero for an unknown one."""
        account = self._account_by_id.get(upstream_id)
        return account.free() if account is not None else ZERO.as_tuple()

    def capacity(self, upstream_id: UpstreamId) -> Vector:
        """Returns the capacity of an upstream; zero for an unknown one."""
        account = self._account_by_id.get(upstream_id)
        return account.capacity if account is not None else ZERO.as_tuple()

    def allocated(self, upstream_id: UpstreamId) -> Vector:
        """Returns the sum of all reservations on an upstream."""
        account = self._account_by_id.get(upstream_id)
        return account.total if account is not None else ZERO.as_tuple()

    def reservations(self, upstream_id: UpstreamId) -> Iterator[Reservation]:
        """Yields the reservations on an upstream."""
        account = self._account_by_id.get(upstream_id)
        if account is not None:
            yield from account.by_attempt.values()

    def count(self, upstream_id: UpstreamId) -> int:
        """Returns the number of reservations on an upstream."""
        account = self._account_by_id.get(upstream_id)
        return len(account.by_attempt) if account is not None else 0

    @staticmethod
    def _regrow(account: _Account) -> None:
        if not account.unmet:
            return
        for attempt_id, reservation in list(account.unmet.items()):
            missing = _subtract(reservation._wanted, reservation._amount)
            grant = _minimum(missing, account.free())
            reservation._amount = _add(reservation._amount, grant)
            account.total = _add(account.total, grant)
            if grant == missing:
                del account.unmet[attempt_id]


def _add(a: Vector, b: Vector) -> Vector:
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3], a[4] + b[4])


def _subtract(a: Vector, b: Vector) -> Vector:
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2], a[3] - b[3], a[4] - b[4])


def _minimum(a: Vector, b: Vector) -> Vector:
    return tuple(map(min, a, b))  # type: ignore[return-value]


def _maximum(a: Vector, b: Vector) -> Vector:
    return tuple(map(max, a, b))  # type: ignore[return-value]
