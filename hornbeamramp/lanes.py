"""Lanes, groups and size classes, by which queued jobs are grouped."""

import heapq
from functools import lru_cache

from hornbeamramp.flows import Flow
from hornbeamramp.jobs import GangJob
from hornbeamramp.ledger import Vector
from hornbeamramp.states import Band
from hornbeamramp.task_table import JobState

__all__ = ["Group", "Lane", "SizeClass", "class_key"]

# Bounds between classes of run time; a short task may be backfilled before a gang's reservation
# where a long one can't.
RUN_CLASS_BOUNDS_S = (10.0, 120.0)


class SizeClass:
    """Jobs that need about the same resources.

    `needed`
        Amount that did not fit when the class was parked.
    """

    __slots__ = ("key", "lanes", "needed", "parked")

    def __init__(self, key: tuple) -> None:
        self.key = key
        self.parked = False
        self.needed: Vector = (0, 0, 0, 0, 0)
        self.lanes = 0


class Lane:
    """Queued jobs of one flow and size class."""

    __slots__ = (
        "amount",
        "entry",
        "flow",
        "group",
        "heap",
        "live_entries",
        "pending",
        "run",
        "waits_for_quota",
    )

    def __init__(self, flow: Flow, group: "Group", amount: Vector) -> None:
        # Sizes in a lane differ by an eighth at most, so the size of its first job is used for all.
        self.amount = amount
        self.flow = flow
        self.group = group
        self.heap: list[tuple[float, int, JobState]] = []
        self.live_entries = 0
        # Tasks to be placed, and the sum of their expected run times in seconds.
        self.pending = 0
        self.run = 0.0
        self.entry: tuple | None = None
        self.waits_for_quota = False

    def __lt__(self, other: "Lane") -> bool:
        # Entries of one lane may have equal keys; their order has no effect.
        return False

    def first_job(self) -> JobState | None:
        heap = self.heap
        while heap:
            state = heap[0][2]
            if state.lane is self:
                return state
            heapq.heappop(heap)
        return None


class Group:
    """Lanes of one band and size class, best first."""

    __slots__ = ("band", "heap", "lanes", "size_class")

    def __init__(self, band: Band, size_class: SizeClass) -> None:
        self.band = band
        self.size_class = size_class
        self.heap: list[tuple] = []
        self.lanes = 0


def class_key(state: JobState) -> tuple:
    """Returns the key of the job's size class.

    Amounts are rounded down to four significant bits, so that sizes in a class differ by an eighth
    at most and the number of classes stays small.
    """
    if isinstance(state.job, GangJob):
        return (2, state.pending, 0, *_rounded_all(state.amount))
    if state.is_service:
        return (1, 1, 0, *_rounded_all(state.amount))
    run = (state.run > RUN_CLASS_BOUNDS_S[0]) + (state.run > RUN_CLASS_BOUNDS_S[1])
    return (0, 1, run, *_rounded_all(state.amount))


@lru_cache(maxsize=4096)
def _rounded_all(amount: Vector) -> tuple:
    return tuple(_rounded(part) for part in amount)


def _rounded(amount: int) -> int:
    shift = amount.bit_length() - 4
    return amount >> shift << shift if shift > 0 else amount
