"""Health of upstreams: failure rates, quarantine, probes and faulty jobs."""

from collections import OrderedDict

from hornbeamramp.ids import JobId, UpstreamId

__all__ = ["UpstreamHealth"]

# Fraction of a pool that may be in quarantine at the same time.
MAX_QUARANTINED_FRACTION = 0.2
# Counts of failed and ended tasks decay with this half-life.
HALF_LIFE_S = 120.0
# An upstream with fewer failures than this is not suspect.
MIN_FAILURES = 3.0
# An upstream is suspect if its failure rate is at least this many times that of the rest of the
# pool, and at least `MIN_FAILURE_RATE`.
BASELINE_FACTOR = 4.0
MIN_FAILURE_RATE = 0.5
MIN_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
# Number of distinct upstreams on which a job must fail to be considered faulty itself.
FAULTY_JOB_UPSTREAMS = 3
# Number of failed jobs whose failures can still be retracted.
MAX_TRACKED_JOBS = 10_000


class _FailureStats:
    __slots__ = ("backoff", "ends", "failures", "probe_at", "probing", "updated_at")

    def __init__(self, now: float) -> None:
        self.ends = 0.0
        self.failures = 0.0
        self.updated_at = now
        self.backoff = 0.0
        self.probe_at: float | None = None
        self.probing = False

    def decay(self, now: float) -> None:
        if now > self.updated_at:
            factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
            self.ends *= factor
            self.failures *= factor
            self.updated_at = now


class UpstreamHealth:
    """Quarantines upstreams on which tasks fail, so that they receive no work except probes.

    Times are seconds of boot time. `quarantined` holds the upstreams in quarantine in the order
    in which they entered it.
    """

    def __init__(self) -> None:
        self._stats_by_id: dict[UpstreamId, _FailureStats] = {}
        self._pool_stats = _FailureStats(0.0)
        # The value is the time of a failure counted against the upstream, `None` if not counted.
        self._failures_by_job: OrderedDict[JobId, dict[UpstreamId, float | None]] = OrderedDict()
        self.quarantined: dict[UpstreamId, None] = {}

    def add(self, upstream_id: UpstreamId, now: float) -> None:
        """Adds an upstream; keeps the statistics of a known one."""
        self._stats_by_id.setdefault(upstream_id, _FailureStats(now))

    def remove(self, upstream_id: UpstreamId) -> None:
        """Removes an upstream.

        The allowed fraction may then be exceeded; call `release_excess` afterwards.
        """
        self._stats_by_id.pop(upstream_id, None)
        self.quarantined.pop(upstream_id, None)

    def release_excess(self) -> list[UpstreamId]:
        """Releases upstreams beyond the allowed fraction, longest in quarantine first.

        Returns the released upstreams.
        """
        released = []
        while len(self.quarantined) > self._max_quarantined():
            upstream_id = next(iter(self.quarantined))
            self._release(upstream_id)
            released.append(upstream_id)
        return released

    def succeeded(self, upstream_id: UpstreamId, now: float) -> bool:
        """Records a task that succeeded. Returns whether the upstream left quarantine."""
        stats = self._stats_by_id.get(upstream_id)
        self._pool_stats.decay(now)
        self._pool_stats.ends += 1
        if stats is None:
            return False
        stats.decay(now)
        stats.ends += 1
        if upstream_id not in self.quarantined or not stats.probing:
            return False
        self._release(upstream_id)
        return True

    def failed(self, upstream_id: UpstreamId, job_id: JobId | None, now: float) -> bool:
        """Records a failed task. Returns whether the upstream entered quarantine.

        `job_id`
            The job that may be faulty itself, or ``None``. Repeated failures of a job on the same
            upstream count once.
        """
        repeated = False
        if job_id is not None:
            failed_at_by_upstream = self._failures_by_job.setdefault(job_id, {})
            if len(self._failures_by_job) > MAX_TRACKED_JOBS:
                self._failures_by_job.popitem(last=False)
            repeated = upstream_id in failed_at_by_upstream
            failed_at_by_upstream.setdefault(upstream_id, None)
        stats = self._stats_by_id.get(upstream_id)
        if stats is None:
            return False
        stats.decay(now)
        if upstream_id in self.quarantined:
            if stats.probing:
                self._schedule_probe(stats, now)
            return False
        if repeated:
            return False
        if job_id is not None:
            failed_at_by_upstream[upstream_id] = now
        self._pool_stats.decay(now)
        for counts in (stats, self._pool_stats):
            counts.ends += 1
            counts.failures += 1
        if not self._is_suspect(stats) or len(self.quarantined) >= self._max_quarantined():
            return False
        self.quarantined[upstream_id] = None
        self._schedule_probe(stats, now)
        return True

    def record_job_failure(self, upstream_id: UpstreamId, job_id: JobId) -> None:
        """Records that a job failed on an upstream without counting it against the upstream."""
        self._failures_by_job.setdefault(job_id, {}).setdefault(upstream_id, None)

    def is_faulty(self, job_id: JobId) -> bool:
        """Returns whether the job failed on so many upstreams that it is considered faulty."""
        return len(self._failures_by_job.get(job_id, ())) >= FAULTY_JOB_UPSTREAMS

    def retract_failures(self, job_id: JobId, now: float) -> list[UpstreamId]:
        """Retracts the failures of a faulty job. Returns the upstreams that left quarantine."""
        released = []
        for upstream_id, failed_at in self._failures_by_job.pop(job_id, {}).items():
            if failed_at is None:
                continue
            weight = 0.5 ** ((now - failed_at) / HALF_LIFE_S)
            self._pool_stats.decay(now)
            self._pool_stats.failures = max(self._pool_stats.failures - weight, 0.0)
            stats = self._stats_by_id.get(upstream_id)
            if stats is None:
                continue
            stats.decay(now)
            stats.failures = max(stats.failures - weight, 0.0)
            if upstream_id in self.quarantined and not self._is_suspect(stats):
                self._release(upstream_id)
                released.append(upstream_id)
        return released

    def forget_job(self, job_id: JobId) -> None:
        """Removes the state of a job that ended; its failures stay counted."""
        self._failures_by_job.pop(job_id, None)

    def due_probe(self, now: float) -> UpstreamId | None:
        """Returns an upstream in quarantine that is due for a probe, if any."""
        for upstream_id in self.quarantined:
            stats = self._stats_by_id[upstream_id]
            if not stats.probing and stats.probe_at is not None and stats.probe_at <= now:
                return upstream_id
        return None

    def probe_started(self, upstream_id: UpstreamId) -> None:
        """Records that a task was placed as a probe."""
        self._stats_by_id[upstream_id].probing = True

    def probe_ended(self, upstream_id: UpstreamId, now: float) -> None:
        """Records a probe that ended without a result; another is due at once."""
        stats = self._stats_by_id.get(upstream_id)
        if stats is not None and stats.probing:
            stats.probing = False
            stats.probe_at = now

    def failure_rates(self, upstream_id: UpstreamId) -> tuple[float, float]:
        """Returns the failure rates of an upstream and of the pool, each from 0 to 1."""
        stats = self._stats_by_id[upstream_id]
        return _failure_rate(stats), _failure_rate(self._pool_stats)

    def _max_quarantined(self) -> int:
        return int(len(self._stats_by_id) * MAX_QUARANTINED_FRACTION)

    def _is_suspect(self, stats: _FailureStats) -> bool:
        if stats.failures < MIN_FAILURES * 0.9 or _failure_rate(stats) < MIN_FAILURE_RATE:
            return False
        others = _FailureStats(0.0)
        others.ends = self._pool_stats.ends - stats.ends
        others.failures = self._pool_stats.failures - stats.failures
        if others.ends < 1.0:
            return True
        baseline = _failure_rate(others)
        if baseline >= MIN_FAILURE_RATE:
            # Tasks fail throughout the pool, so the cause is not a single upstream.
            return False
        return _failure_rate(stats) >= min(BASELINE_FACTOR * baseline, 0.9)

    def _release(self, upstream_id: UpstreamId) -> None:
        del self.quarantined[upstream_id]
        stats = self._stats_by_id[upstream_id]
        stats.failures = stats.ends = stats.backoff = 0.0
        stats.probe_at = None
        stats.probing = False

    @staticmethod
    def _schedule_probe(stats: _FailureStats, now: float) -> None:
        stats.backoff = min(max(stats.backoff * 2, MIN_BACKOFF_S), MAX_BACKOFF_S)
        stats.probe_at = now + stats.backoff
        stats.probing = False


def _failure_rate(stats: _FailureStats) -> float:
    return max(stats.failures, 0.0) / stats.ends if stats.ends > 0 else 0.0
