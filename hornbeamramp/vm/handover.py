"""When the owner of a pool hands it over to a VM that has much more processor capacity for it.

Which VM owns a pool is otherwise decided only when the pool has no owner. A small VM that claimed
it while all larger ones were down would own it for good.
"""

from collections.abc import Mapping
from datetime import timedelta

from hornbeamramp.clock import Clock
from hornbeamramp.ids import PoolName, VmId

__all__ = ["RELEASE_TIMEOUT", "HandoverPlanner"]

# The new owner gives the pool more than this many times the processor capacity that it has. A
# handover interrupts the pool for about as long as a takeover, which a smaller gain isn't worth,
# nor is a second pool to itself on a VM of the same size.
MIN_CAPACITY_RATIO = 2.0
# Time for which the record of the new owner must have existed, and the store been available: over
# twice the TTL of a lease (1.4 s), so that a VM that has just failed isn't chosen.
SETTLING_TIME = timedelta(seconds=3)
# Time for which a VM keeps a pool that it claimed: a takeover ends within the 2 s that callers wait
# for an owner, and the pool works for twice as long. Bounds how often a pool moves at all.
MIN_CLAIM_TIME = timedelta(seconds=6)
# Time between two handovers by one VM: a takeover ends within the 2 s that callers wait for an
# owner, and the same again is left for the requests that waited.
HANDOVER_PERIOD = timedelta(seconds=4)
# Time until one VM hands the same pool over again, which it got back because no larger VM claimed
# it: ten times the 3 s of trouble that callers may see after a failure.
REPEAT_PERIOD = timedelta(seconds=30)
# Time after which a release is given up, e.g. if a worker doesn't answer an order: the time that
# callers wait for an owner.
RELEASE_TIMEOUT = timedelta(seconds=2)


class HandoverPlanner:
    """Chooses the VM that one of this VM's pools is handed over to.

    Each handover at least doubles the capacity of the pool that moves, so pools can't move in a
    circle while the records of the cell are current.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_since: dict[tuple[VmId, int], timedelta] = {}
        self._settled: set[VmId] = set()
        self._claimed_at: dict[PoolName, timedelta] = {}
        self._handed_over_at: dict[PoolName, timedelta] = {}
        self._awaiting_owner: set[PoolName] = set()

    def record_claim(self, pool: PoolName) -> None:
        self._claimed_at[pool] = self._clock.boot_time()
        self._awaiting_owner.discard(pool)

    def record_other_owner(self, pool: PoolName) -> None:
        self._awaiting_owner.discard(pool)

    def record_handover(self, pool: PoolName) -> None:
        self._handed_over_at[pool] = self._clock.boot_time()
        self._awaiting_owner.add(pool)

    def has_handed_over(self, pool: PoolName) -> bool:
        """Tells whether this VM has handed the pool over and no owner has followed yet."""
        return pool in self._awaiting_owner

    def update_vms(self, created_by_vm: Mapping[VmId, int]) -> None:
        """Takes the VMs that have a record, and the revision at which it was created."""
        now = self._clock.boot_time()
        self._seen_since = {
            version: self._seen_since.get(version, now) for version in created_by_vm.items()
        }
        self._settled = {
            vm for (vm, _), since in self._seen_since.items() if now - since >= SETTLING_TIME
        }

    def successor(
        self, pool: PoolName, capacity: float, capacity_by_vm: Mapping[VmId, float]
    ) -> VmId | None:
        """Returns the VM that the pool is to be handed over to, ``None`` if it is to stay.

        `capacity`
            What the pool has on this VM, in standard cores.
        `capacity_by_vm`
            What it would have on the other VMs.
        """
        now = self._clock.boot_time()
        if now - self._claimed_at[pool] < MIN_CLAIM_TIME:
            return None
        if any(now - at < HANDOVER_PERIOD for at in self._handed_over_at.values()):
            return None
        handed_over_at = self._handed_over_at.get(pool)
        if handed_over_at is not None and now - handed_over_at < REPEAT_PERIOD:
            return None
        settled = {vm: c for vm, c in capacity_by_vm.items() if vm in self._settled}
        best = max(sorted(settled), key=lambda vm: settled[vm], default=None)
        if best is None or settled[best] <= MIN_CAPACITY_RATIO * capacity:
            return None
        return best

    def is_settled_since(self, time: timedelta | None) -> bool:
        """Tells whether the store has been available for long enough since ``time``, at which it
        recovered."""
        return time is None or self._clock.boot_time() - time >= SETTLING_TIME
