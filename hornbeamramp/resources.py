"""Resource vectors: the capacity of an upstream and the request of a task."""

from collections.abc import Sequence

import msgspec

__all__ = ["ZERO", "Resources", "dominant_share"]


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Amount of each kind of resource, all at least 0.

    `processors_milli`
        Thousandths of a processor core.
    `memory_mib`
        Memory in MiB.
    `accelerators`
        Whole accelerators.
    `slots`
        Task slots of an upstream. A task usually takes one.
    `connections`
        Connections to an upstream. A task usually takes one.
    """

    processors_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    slots: int = 1
    connections: int = 1

    def __post_init__(self) -> None:
        if min(self.as_tuple()) < 0:
            raise ValueError(f"resources must not be negative: {self}")

    def as_tuple(self) -> tuple[int, int, int, int, int]:
        return (
            self.processors_milli,
            self.memory_mib,
            self.accelerators,
            self.slots,
            self.connections,
        )

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(*(a + b for a, b in zip(self.as_tuple(), other.as_tuple(), strict=True)))

    def __sub__(self, other: "Resources") -> "Resources":
        """Returns the difference. Raises ``ValueError`` if any amount would be negative."""
        return Resources(*(a - b for a, b in zip(self.as_tuple(), other.as_tuple(), strict=True)))

    def fits_in(self, other: "Resources") -> bool:
        """Tells whether each amount is at most that of ``other``."""
        return (
            self.processors_milli <= other.processors_milli
            and self.memory_mib <= other.memory_mib
            and self.accelerators <= other.accelerators
            and self.slots <= other.slots
            and self.connections <= other.connections
        )


ZERO = Resources(0, 0, 0, 0, 0)


def dominant_share(used: Sequence[int], capacity: Sequence[int]) -> float:
    """Returns the largest share of the capacity that is used of any kind of resource.

    A kind that is used without any capacity counts as 1.
    """
    share = 0.0
    for amount, whole in zip(used, capacity, strict=True):
        if amount:
            part = amount / whole if whole else 1.0
            if part > share:
                share = part
    return share
