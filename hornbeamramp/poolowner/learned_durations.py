"""Expected durations of runs with their uncertainty, learned from the runs that ended.

The logarithm of a run's duration over the submitter's estimate is modelled as a sum of terms: one
for the queue, the kind of task in it, the magnitude of the estimate, the client account, the step
and the worker. Each term shrinks towards zero while few steps have told of it, so that the wider
ones count until then. Submitters misjudge all tasks of a step alike, so the tasks of a step that
have ended tell what the others of the same step will take, and all of them count as one step in the
wider terms.
"""

import hashlib
import heapq
import math
import statistics
from collections.abc import Container
from datetime import timedelta
from functools import lru_cache
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

import msgspec

from hornbeamramp import instruments
from hornbeamramp.fleet import Attempt
from hornbeamramp.ids import NO_ACCOUNT, AccountId, RouteName, UpstreamId
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.statestore import LearnedRecord, LearnedTerm
from hornbeamramp.workload import JobSpec, StepSpec

if TYPE_CHECKING:
    from hornbeamramp.poolowner.jobs import StepRun

__all__ = ["MEDIAN", "LearnedDurations"]

MEDIAN = 0.5
# Shorter runs are ignored: the delivery of the start order and of the end dominates their duration.
MIN_RUN_S = 0.1
# Below this share of its work, the progress of a run that was stopped does not tell its duration.
MIN_FRACTION = 0.25
# Least weight of a step in a term: about twenty steps outweigh the earlier ones.
MIN_STEP_WEIGHT = 0.05
# Steps after which a term counts as much as the wider ones, by its place in the order of terms:
# queue, kind of task, magnitude of the estimate, account.
PRIOR_STEPS = (0.0, 2.0, 6.0, 6.0)
# Standard deviation of the logarithm before anything is known: a factor of 1.65 either way.
PRIOR_DEVIATION = 0.5
# Deviation below which differences are those of delivery.
MIN_DEVIATION = 0.05
# Residuals count as at most this many standard deviations, so that a share of jobs that take many
# times as long moves the expectation of the others little.
MAX_DEVIATIONS = 3.0
# Submitters' estimates are a tenth to ten times off, which the first runs have to reach at once.
MAX_LOG_RATIO = math.log(10.0)
# Limit of what all terms together make expected.
MAX_EXPECTED_LOG_RATIO = 2 * MAX_LOG_RATIO
# Least limit of what one run tells of its worker, so that one that turned slow is noticed however
# alike the runs were before.
MIN_WORKER_LIMIT = 0.7
# Runs of a step after which it is learned from, where it has more tasks.
MAX_RUNS_OF_STEP = 256
# Terms and workers kept, the most recently used. A record of them has at most 20 KiB.
MAX_TERMS = 256
MAX_WORKERS = 512
# Speeds are recorded if they differ by more than 5% from the usual one.
MIN_RECORDED_LOG_SPEED = 0.05
# Resolution of recorded numbers.
PER_UNIT = 1000

_NORMAL = statistics.NormalDist()


class _Term(msgspec.Struct):
    """Mean of what a term adds to the logarithm, and the number of steps that told of it.

    `step_variance`
        Variance of steps around their expectation.
    `task_variance`
        Variance among the runs of one step; ``None`` before one had two.
    """

    mean: float = 0.0
    steps: float = 0.0
    step_variance: float = PRIOR_DEVIATION**2
    task_variance: float | None = None


class _StepRuns:
    """Ended runs of one step: their number, and the mean of their logarithms at the usual speed.

    `unused`
        Worker and logarithm of the runs from which nothing has been learned for other steps.
    """

    __slots__ = ("__weakref__", "mean", "runs", "unused")

    def __init__(self) -> None:
        self.runs = 0
        self.mean = 0.0
        self.unused: list[tuple[UpstreamId | None, float]] = []

    def add(self, worker: UpstreamId | None, log_ratio: float) -> None:
        self.runs += 1
        self.mean += (log_ratio - self.mean) / self.runs
        self.unused.append((worker, log_ratio))


class _Expectation(msgspec.Struct, frozen=True):
    """Distribution of the logarithm of duration over estimate for the next run of a step.

    `step_variance`, `task_variance`
        Variance of the step's own term as far as it isn't known, and of runs around it.
    """

    mean: float
    step_variance: float
    task_variance: float

    @property
    def deviation(self) -> float:
        return max(math.sqrt(self.step_variance + self.task_variance), MIN_DEVIATION)


class LearnedDurations:
    """Expected durations of the runs of one pool.

    `speeds`
        Speeds of the workers, which the runs correct.
    `is_enabled`
        Without it nothing is learned: the submitters' estimates count.
    `cross_rack_factor`
        Factor by which a gang that prefers one rack takes longer on several.
    """

    def __init__(
        self, speeds: WorkerSpeeds, is_enabled: bool = True, cross_rack_factor: float = 2.0
    ) -> None:
        self.speeds = speeds
        self.cross_rack_factor = cross_rack_factor
        self._is_enabled = is_enabled
        # By the digest of what it is about, the most recently used last.
        self._term_by_key: dict[int, _Term] = {}
        self._runs_by_step: WeakKeyDictionary[StepRun, _StepRuns] = WeakKeyDictionary()
        # Until the next run ends. A pass asks about each run of a step.
        self._expectation_by_step: WeakKeyDictionary[StepRun, _Expectation] = WeakKeyDictionary()
        # Number of runs learned from.
        self.runs = 0

    @property
    def terms(self) -> int:
        """Number of terms known."""
        return len(self._term_by_key)

    # Expectations

    def ratio(self, step: "StepRun", quantile: float = MEDIAN) -> float:
        """Returns the duration of the step's next runs at the usual speed that they exceed with
        probability ``1 - quantile``, divided by the estimate; 1.0 before the first run."""
        expected = self._expect(step)
        return math.exp(expected.mean + _NORMAL.inv_cdf(quantile) * expected.deviation)

    def job_ratio(self, queue: RouteName, spec: JobSpec, account: AccountId) -> float:
        """Returns the expected duration of the work of a job, which may not have been accepted,
        divided by its estimate."""
        estimate_ms = expected_ms = 0.0
        for number, step in enumerate(spec.steps):
            ratio = math.exp(self._known_mean(_term_keys(queue, number, step, account)))
            estimate_ms += step.estimate_ms
            expected_ms += step.estimate_ms * ratio
        return expected_ms / estimate_ms if estimate_ms else 1.0

    def duration(
        self, step: "StepRun", worker: UpstreamId | None = None, quantile: float = MEDIAN
    ) -> timedelta:
        """Returns the duration of a run of the step from its beginning on a worker, by default one
        of the usual speed, that it exceeds with probability ``1 - quantile``."""
        speed = 1.0 if worker is None else self.speeds.speed(worker)
        estimate = timedelta(milliseconds=step.spec.estimate_ms)
        return estimate * self.ratio(step, quantile) / speed

    def duration_of_running(
        self, step: "StepRun", worker: UpstreamId, elapsed: timedelta
    ) -> timedelta:
        """Returns the median duration of a run of the step that has been going on for some time.

        That it hasn't ended yet tells that it takes longer than the runs that would have. Before
        the first run the spread isn't known, and the submitter's estimate counts.
        """
        if not self._is_known(step):
            return self.duration(step, worker)
        expected = self._expect(step)
        usual = timedelta(milliseconds=step.spec.estimate_ms) / self.speeds.speed(worker)
        if usual <= timedelta(0) or elapsed <= timedelta(0):
            return usual * math.exp(expected.mean)
        elapsed_deviations = (math.log(elapsed / usual) - expected.mean) / expected.deviation
        ended_share = _NORMAL.cdf(elapsed_deviations)
        if ended_share >= 1.0 - 1e-9:
            return elapsed
        middle = _NORMAL.inv_cdf((1.0 + ended_share) / 2)
        return max(usual * math.exp(expected.mean + middle * expected.deviation), elapsed)

    def _is_known(self, step: "StepRun") -> bool:
        """Returns whether runs of the step's kind have ended."""
        return _keys_of_step(step)[1] in self._term_by_key

    def _expect(self, step: "StepRun") -> _Expectation:
        expected = self._expectation_by_step.get(step)
        if expected is None:
            expected = self._expectation_by_step[step] = self._compute_expectation(step)
        return expected

    def _compute_expectation(self, step: "StepRun") -> _Expectation:
        keys = _keys_of_step(step)
        mean = self._known_mean(keys)
        kind = self._term_by_key.get(keys[1]) or _Term()
        step_variance, task_variance = kind.step_variance, kind.task_variance or 0.0
        ended = self._runs_by_step.get(step)
        if ended is not None and kind.task_variance is not None:
            weight = step_variance / (step_variance + task_variance / ended.runs)
            mean += weight * (ended.mean - mean)
            step_variance *= 1.0 - weight
        return _Expectation(mean, step_variance, task_variance)

    def _known_mean(self, keys: tuple[int, ...]) -> float:
        terms = (self._term_by_key.get(key) for key in keys)
        known = sum(term.mean for term in terms if term is not None)
        return _clip(known, MAX_EXPECTED_LOG_RATIO)

    # Learning

    def record_run(self, attempt: Attempt, elapsed_s: float, fraction: float) -> None:
        """Records that a run did ``fraction`` (0 to 1) of its work in ``elapsed_s`` seconds."""
        step = attempt.task.unit.step
        estimate_s = step.spec.estimate_ms / 1000
        if (
            not self._is_enabled
            or elapsed_s < MIN_RUN_S
            or fraction < MIN_FRACTION
            or estimate_s <= 0.0
        ):
            return
        worker = UpstreamId(attempt.session.worker)
        log_ratio = math.log(elapsed_s / (estimate_s * fraction))
        # Tasks away from their data are slower.
        is_local = not step.spec.data_rack or step.spec.data_rack in attempt.session.listing.labels
        if is_local:
            log_ratio += self.speeds.log_speed(worker)
        instruments.duration_error.record(math.exp(log_ratio - self._expect(step).mean))
        self._learn(step, worker if is_local else None, log_ratio)

    def record_unfinished(self, attempt: Attempt, elapsed_s: float) -> None:
        """Records that a run ended before its work was done, after ``elapsed_s`` seconds. It tells
        something if it would have been done by then as expected."""
        step = attempt.task.unit.step
        estimate_s = step.spec.estimate_ms / 1000
        if not self._is_enabled or estimate_s <= 0.0 or elapsed_s < MIN_RUN_S:
            return
        worker = UpstreamId(attempt.session.worker)
        log_ratio = math.log(elapsed_s / estimate_s) + self.speeds.log_speed(worker)
        if log_ratio > self._expect(step).mean:
            self._learn(step, None, log_ratio)

    def _learn(self, step: "StepRun", worker: UpstreamId | None, log_ratio: float) -> None:
        """Notes one run, and learns from its step once as many runs as it has tasks have ended.

        Runs on fast workers and short ones end first, so the first of a step tell less than all.

        `worker`
            Worker whose speed the run tells, if any.
        `log_ratio`
            Logarithm of the run's duration at the usual speed, divided by the estimate.
        """
        self.runs += 1
        self._expectation_by_step.clear()
        ended = self._runs_by_step.get(step)
        if ended is None:
            ended = self._runs_by_step[step] = _StepRuns()
        ended.add(worker, log_ratio)
        if len(ended.unused) >= min(step.spec.count, MAX_RUNS_OF_STEP):
            unused, ended.unused = ended.unused, []
            self._learn_step(step, unused)

    def _learn_step(self, step: "StepRun", runs: list[tuple[UpstreamId | None, float]]) -> None:
        keys = _keys_of_step(step)
        known = self._known_mean(keys)
        kind = self._use(keys[1])
        mean = statistics.fmean(log_ratio for _, log_ratio in runs)
        self._learn_variances(kind, [log_ratio for _, log_ratio in runs], mean - known)
        step_variance, task_variance = kind.step_variance, kind.task_variance
        # Without others of its step, the first runs of a kind tell nothing of their workers.
        expected, accuracy = known, kind.steps / (kind.steps + 1.0)
        if task_variance is not None:
            # How far the mean of these runs tells what the step takes, rather than the workers.
            unexplained = task_variance / len(runs)
            expected += step_variance / (step_variance + unexplained) * (mean - known)
            unknown = step_variance * unexplained / (step_variance + unexplained)
            accuracy = task_variance / (task_variance + unknown)
        deviation = math.sqrt(step_variance if task_variance is None else task_variance)
        limit = max(MAX_DEVIATIONS * deviation, MIN_WORKER_LIMIT)
        self.speeds.correct(
            (worker, accuracy * _clip(log_ratio - expected, limit))
            for worker, log_ratio in runs
            if worker is not None
        )
        self._learn_terms(keys, kind, mean, known)

    def _learn_terms(self, keys: tuple[int, ...], kind: _Term, mean: float, known: float) -> None:
        limit = MAX_DEVIATIONS * math.sqrt(kind.step_variance) if kind.steps else MAX_LOG_RATIO
        left = known + _clip(mean - known, limit)
        for key, prior_steps in zip(keys, PRIOR_STEPS, strict=False):
            term = self._use(key)
            term.mean += max(1.0 / (term.steps + prior_steps + 1.0), MIN_STEP_WEIGHT) * (
                left - term.mean
            )
            term.steps += 1.0
            left -= term.mean

    @staticmethod
    def _learn_variances(kind: _Term, log_ratios: list[float], error: float) -> None:
        weight = max(1.0 / (kind.steps + 1.0), MIN_STEP_WEIGHT)
        task_variance = 0.0
        if len(log_ratios) > 1:
            before = kind.task_variance
            task_variance = statistics.variance(log_ratios)
            if before is not None:
                task_variance = min(task_variance, MAX_DEVIATIONS**2 * before)
                task_variance = before + weight * (task_variance - before)
            kind.task_variance = max(task_variance, MIN_DEVIATION**2)
        error = _clip(error, MAX_DEVIATIONS * math.sqrt(kind.step_variance))
        sample = max(error * error - task_variance / len(log_ratios), 0.0)
        kind.step_variance += weight * (sample - kind.step_variance)
        kind.step_variance = max(kind.step_variance, MIN_DEVIATION**2)

    def _use(self, key: int) -> _Term:
        """Returns the term of a key as the most recently used, and drops the oldest beyond the
        limit."""
        term = self._term_by_key.pop(key, None) or _Term()
        self._term_by_key[key] = term
        if len(self._term_by_key) > MAX_TERMS:
            del self._term_by_key[next(iter(self._term_by_key))]
        return term

    # Takeover

    def to_record(self) -> LearnedRecord:
        """Returns what a successor needs, with a bounded number of terms and workers."""
        terms = {
            key: LearnedTerm(
                round(PER_UNIT * term.mean),
                round(PER_UNIT * term.steps),
                round(PER_UNIT * term.step_variance),
                -1 if term.task_variance is None else round(PER_UNIT * term.task_variance),
            )
            for key, term in self._term_by_key.items()
        }
        differing = heapq.nlargest(
            MAX_WORKERS, self.speeds.log_speed_by_worker.items(), key=lambda item: abs(item[1])
        )
        speeds = {
            worker: round(PER_UNIT * log_speed)
            for worker, log_speed in differing
            if abs(log_speed) > MIN_RECORDED_LOG_SPEED
        }
        return LearnedRecord(terms, speeds)

    def restore(self, record: LearnedRecord, workers: Container[UpstreamId]) -> None:
        """Takes over what a former owner has learned. Numbers out of range count as the limit.

        `workers`
            The workers that are listed. The speeds of others are of no use.
        """
        if not self._is_enabled:
            return
        for key, term in list(record.term_by_key.items())[-MAX_TERMS:]:
            task_variance = None
            if term.task_variance >= 0:
                task_variance = _within(term.task_variance, MIN_DEVIATION**2, MAX_LOG_RATIO**2)
            self._term_by_key[key] = _Term(
                _within(term.mean, -MAX_EXPECTED_LOG_RATIO, MAX_EXPECTED_LOG_RATIO),
                _within(term.steps, 0.0, 1 / MIN_STEP_WEIGHT),
                _within(term.step_variance, MIN_DEVIATION**2, MAX_LOG_RATIO**2),
                task_variance,
            )
        for worker, log_speed in list(record.log_speed_by_worker.items())[-MAX_WORKERS:]:
            if worker in workers:
                limited = _within(log_speed, -MAX_LOG_RATIO, MAX_LOG_RATIO)
                self.speeds.restore(worker, limited)


def _clip(value: float, limit: float) -> float:
    return max(-limit, min(value, limit))


def _within(recorded: int, lowest: float, highest: float) -> float:
    return max(lowest, min(recorded / PER_UNIT, highest))


@lru_cache(maxsize=4 * MAX_TERMS)
def _keys_of(queue: str, kind: str, magnitude: int, account: str) -> tuple[int, ...]:
    names = [("queue", queue), ("kind", kind), ("magnitude", kind, str(magnitude))]
    if account != NO_ACCOUNT:
        names.append(("account", kind, account))
    return tuple(_digest("\0".join(name)) for name in names)


def _digest(name: str) -> int:
    digest = hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=7)
    return int.from_bytes(digest.digest())


def _keys_of_step(step: "StepRun") -> tuple[int, ...]:
    record = step.job.record
    return _term_keys(record.queue, step.key.step, step.spec, record.account)


def _term_keys(
    queue: RouteName, number: int, spec: StepSpec, account: AccountId
) -> tuple[int, ...]:
    """Returns the keys of the terms of a step, those of the widest first.

    Submitters' largest estimates are mostly too large and their smallest too small, hence a term by
    the magnitude of the estimate.
    """
    kind = f"image {spec.image}" if spec.image else f"step {queue} {number}"
    return _keys_of(queue, kind, spec.estimate_ms.bit_length(), account)
