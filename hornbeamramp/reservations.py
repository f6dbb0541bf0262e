"""Prediction of where and when a gang that does not fit now will fit."""

from math import inf

from hornbeamramp.ids import UpstreamId
from hornbeamramp.policies.gang import fit_count
from hornbeamramp.task_table import JobState, TaskTable
from hornbeamramp.upstream_pool import UpstreamPool

__all__ = ["predict_placements"]

# Upstreams compared for a gang's reservation, in addition to four for each of its tasks.
RESERVATION_CANDIDATES = 64


def predict_placements(
    pool: UpstreamPool, tasks: TaskTable, state: JobState, count: int, now: float
) -> list[tuple[float, int, UpstreamId]]:
    """Returns when and on which upstreams tasks of the job will fit, earliest first.

    Each entry is for one task: the boot time in seconds, a sequence number that breaks ties, and
    the upstream. The number of upstreams compared grows with ``count``, not with the size of the
    pool.
    """
    amount = state.amount
    found: dict[UpstreamId, None] = {}
    for position, upstream_id in enumerate(pool.index.by_speed.candidates(amount)):
        if position >= count:
            break
        found[upstream_id] = None
    max_candidates = RESERVATION_CANDIDATES + 4 * count
    for position, upstream_id in enumerate(pool.index.drainable.candidates(amount)):
        if position >= max_candidates:
            break
        found[upstream_id] = None
    slots: list[tuple[float, int, UpstreamId]] = []
    for upstream_id in found:
        free = list(pool.unheld(upstream_id))
        ends = sorted(
            (attempt.expected_end(now), attempt.id, attempt.reservation.amount)
            for attempt in tasks.on_upstream(upstream_id)
        )
        counted = 0
        for at, _, freed in [(now, "", (0, 0, 0, 0, 0)), *ends]:
            if at == inf:
                break
            free = [a + b for a, b in zip(free, freed, strict=True)]
            fits = min(fit_count(amount, tuple(free)), count)  # type: ignore[arg-type]
            for _ in range(counted, fits):
                slots.append((at, len(slots), upstream_id))
            counted = max(counted, fits)
    slots.sort(key=lambda slot: slot[:2])
    return slots
