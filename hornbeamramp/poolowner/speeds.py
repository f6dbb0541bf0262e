"""Relative speeds of workers, learned from the runs that end on them.

A speed is an exponential moving average of the logarithm of expected over measured duration.
"""

import math
import statistics
from collections.abc import Iterable

from hornbeamramp.ids import UpstreamId

__all__ = ["WorkerSpeeds"]

# Weight of one run of usual accuracy in a worker's speed: about ten runs outweigh the earlier ones,
# so that a worker that becomes slow is detected within 1 to 2 s at usual load.
WORKER_WEIGHT = 0.1
# Runs that the first ones on a worker are weighed against.
PRIOR_RUNS = 3
# A worker below this share of the usual speed is used only when no other has capacity.
SUSPECT_SPEED = 0.4


class WorkerSpeeds:
    """Relative speeds of workers; 1.0 is the usual speed and the default for unknown workers."""

    def __init__(self) -> None:
        self.log_speed_by_worker: dict[UpstreamId, float] = {}
        self._runs_by_worker: dict[UpstreamId, int] = {}

    def log_speed(self, worker: UpstreamId) -> float:
        return self.log_speed_by_worker.get(worker, 0.0)

    def speed(self, worker: UpstreamId) -> float:
        return math.exp(self.log_speed(worker))

    def is_suspect(self, worker: UpstreamId) -> bool:
        return self.speed(worker) < SUSPECT_SPEED

    def restore(self, worker: UpstreamId, log_speed: float) -> None:
        """Takes over a speed that a former owner learned from many runs."""
        self.log_speed_by_worker[worker] = log_speed
        self._runs_by_worker[worker] = round(1 / WORKER_WEIGHT)

    def correct(self, log_errors: Iterable[tuple[UpstreamId, float]]) -> None:
        """Corrects the speeds of workers by the runs of one step.

        `log_errors`
            Worker of each run, and the logarithm of measured over expected duration, less where the
            expectation is uncertain.
        """
        errors_by_worker: dict[UpstreamId, list[float]] = {}
        for worker, log_error in log_errors:
            errors_by_worker.setdefault(worker, []).append(log_error)
        # Speeds are relative: without this, all would drift together.
        drift = statistics.fmean(self.log_speed_by_worker.values() or (0.0,))
        for worker, errors in errors_by_worker.items():
            runs = self._runs_by_worker.get(worker, 0)
            self._runs_by_worker[worker] = runs + len(errors)
            weight = max(
                len(errors) / (runs + len(errors) + PRIOR_RUNS),
                1.0 - (1.0 - WORKER_WEIGHT) ** len(errors),
            )
            before = self.log_speed(worker)
            after = before - weight * (statistics.fmean(errors) + drift)
            self.log_speed_by_worker[worker] = after

    def forget(self, worker: UpstreamId) -> None:
        """Drops the speed of a worker, which may come back on other hardware."""
        self.log_speed_by_worker.pop(worker, None)
        self._runs_by_worker.pop(worker, None)
