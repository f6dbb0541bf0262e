"""Learns how fast each worker is, from how long runs take against their estimates.

Estimates are off, but alike for tasks of one image, and their errors don't depend on the worker. So
the logarithm of estimate over duration is split into a part of the image and one of the worker.
"""

import math

from hornbeamramp.fleet import Attempt
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.jobs import StepRun

__all__ = ["WorkerSpeeds"]

# Weight of one run in a worker's figure: some ten runs outweigh the past, so that a worker that
# turns slow is noticed within a second or two of usual load.
WORKER_WEIGHT = 0.1
# Weight in an image's figure, which doesn't change during the life of the image.
IMAGE_WEIGHT = 0.05
# Shorter runs are dominated by the way of the order and of the end.
MIN_RUN_S = 0.1
# A worker below this share of the usual speed takes part only when no other has room.
SUSPECT_SPEED = 0.4


class WorkerSpeeds:
    """Relative speeds; 1.0 is usual and stands for workers of which nothing is known."""

    def __init__(self) -> None:
        self._log_speed_by_worker: dict[UpstreamId, float] = {}
        self._log_ratio_by_image: dict[str, float] = {}

    def speed(self, worker: UpstreamId) -> float:
        return math.exp(self._log_speed_by_worker.get(worker, 0.0))

    def is_suspect(self, worker: UpstreamId) -> bool:
        return self.speed(worker) < SUSPECT_SPEED

    def duration_ratio(self, step: StepRun) -> float:
        """Returns how long runs of the step's image take at the usual speed, over their estimates;
        1.0 as long as nothing is known."""
        return math.exp(-self._log_ratio_by_image.get(_image(step), 0.0))

    def record_run(self, attempt: Attempt, elapsed_s: float, fraction: float) -> None:
        """Notes that a run has done ``fraction`` (0 to 1) of its work in ``elapsed_s`` seconds."""
        step = attempt.task.unit.step
        estimate_s = step.spec.estimate_ms / 1000
        if elapsed_s < MIN_RUN_S or fraction <= 0.0 or estimate_s <= 0.0:
            return
        image = _image(step)
        worker = UpstreamId(attempt.session.worker)
        observed = math.log(estimate_s * fraction / elapsed_s)
        image_log = self._log_ratio_by_image.setdefault(image, observed)
        worker_log = self._log_speed_by_worker.get(worker, 0.0)
        error = observed - image_log - worker_log
        self._log_ratio_by_image[image] = image_log + IMAGE_WEIGHT * error
        self._log_speed_by_worker[worker] = worker_log + WORKER_WEIGHT * error

    def forget(self, worker: UpstreamId) -> None:
        """Drops what is known of a worker that may have become another kind."""
        self._log_speed_by_worker.pop(worker, None)


def _image(step: StepRun) -> str:
    return step.spec.image or str(step.job.record.queue)
