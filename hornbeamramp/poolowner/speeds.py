"""Relative speeds of workers, learned from the runs that end on them.

A speed is the exponential moving average of the logarithm of expected over measured duration.
"""

import math

from hornbeamramp.ids import UpstreamId

__all__ = ["WorkerSpeeds"]

# Weight of one run of usual accuracy in a worker's speed: about ten runs outweigh the earlier ones,
# so that a worker that becomes slow is detected within 1 to 2 s at usual load.
WORKER_WEIGHT = 0.1
# A worker below this share of the usual speed is used only when no other has capacity.
SUSPECT_SPEED = 0.4


class WorkerSpeeds:
    """Relative speeds of workers; 1.0 is the usual speed and the default for unknown workers."""

    def __init__(self) -> None:
        self.log_speed_by_worker: dict[UpstreamId, float] = {}

    def log_speed(self, worker: UpstreamId) -> float:
        return self.log_speed_by_worker.get(worker, 0.0)

    def speed(self, worker: UpstreamId) -> float:
        return math.exp(self.log_speed(worker))

    def is_suspect(self, worker: UpstreamId) -> bool:
        return self.speed(worker) < SUSPECT_SPEED

    def correct(self, worker: UpstreamId, log_error: float, accuracy: float) -> None:
        """Corrects a worker's speed by one run.

        `log_error`
            Logarithm of expected over measured duration of the run.
        `accuracy`
            Weight of the run relative to one whose expected duration was exact, 0 to 1.
        """
        before = self.log_speed(worker)
        self.log_speed_by_worker[worker] = before + WORKER_WEIGHT * accuracy * log_error

    def forget(self, worker: UpstreamId) -> None:
        """Drops the speed of a worker, which may come back on other hardware."""
        self.log_speed_by_worker.pop(worker, None)
