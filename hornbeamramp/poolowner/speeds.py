"""Estimates the speed of each worker from the durations of runs and their estimates.

Estimates are inaccurate, but by a similar factor for all tasks of an image, and independently of
the worker. So the logarithm of estimate over duration is modelled as the sum of a term of the image
and a term of the worker, each an exponential moving average.
"""

import math
from datetime import timedelta

from hornbeamramp.fleet import Attempt
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner.jobs import StepRun

__all__ = ["WorkerSpeeds"]

# Weight of one run in a worker's speed: about ten runs outweigh the earlier ones, so that a worker
# that becomes slow is detected within 1 to 2 s at usual load.
WORKER_WEIGHT = 0.1
# Weight of one run in an image's ratio, which is constant over the life of the image.
IMAGE_WEIGHT = 0.05
# Shorter runs are ignored: the delivery of the start order and of the end dominates their duration.
MIN_RUN_S = 0.1
# A worker below this share of the usual speed is used only when no other has capacity.
SUSPECT_SPEED = 0.4


class WorkerSpeeds:
    """Relative speeds of workers; 1.0 is the usual speed and the default for unknown workers."""

    def __init__(self) -> None:
        self._log_speed_by_worker: dict[UpstreamId, float] = {}
        self._log_ratio_by_image: dict[str, float] = {}

    def speed(self, worker: UpstreamId) -> float:
        return math.exp(self._log_speed_by_worker.get(worker, 0.0))

    def is_suspect(self, worker: UpstreamId) -> bool:
        return self.speed(worker) < SUSPECT_SPEED

    def duration_ratio(self, step: StepRun) -> float:
        """Returns the duration of runs of the step's image at the usual speed, divided by their
        estimate; 1.0 before the first run."""
        return math.exp(-self._log_ratio_by_image.get(_image(step), 0.0))

    def expected_duration(self, step: StepRun, worker: UpstreamId) -> timedelta:
        """Returns the estimated duration of a run of the step from its beginning on a worker."""
        estimate = timedelta(milliseconds=step.spec.estimate_ms)
        return estimate * self.duration_ratio(step) / self.speed(worker)

    def record_run(self, attempt: Attempt, elapsed_s: float, fraction: float) -> None:
        """Records that a run did ``fraction`` (0 to 1) of its work in ``elapsed_s`` seconds."""
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
        """Drops the speed of a worker, which may come back on other hardware."""
        self._log_speed_by_worker.pop(worker, None)


def _image(step: StepRun) -> str:
    return step.spec.image or str(step.job.record.queue)
