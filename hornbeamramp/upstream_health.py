"""Health of upstreams: failure scores, quarantine, probes and faulty jobs."""

from collections import OrderedDict

from hornbeamramp.ids import JobId, UpstreamId

__all__ = ["UpstreamHealth"]

# Largest share of a pool in quarantine.
QUARANTINE_SHARE = 0.2
# Failures and starts are counted with this half-life, in seconds.
HALF_LIFE = 120.0
# Fewer failures than this are no evidence against an upstream.
LEAST_FAILURES = 3.0
# An upstream is suspect if it fails this many times as often as the rest of the pool, and at
# least this share of its tasks.
BASELINE_FACTOR = 4.0
LEAST_RATE = 0.5
FIRST_BACK_OFF = 5.0
LONGEST_BACK_OFF = 300.0
# Distinct upstreams on which a job fails before the job itself is held at fault.
FAULTY_JOB_UPSTREAMS = 3
# Failed jobs whose failures can still be taken back.
REMEMBERED_JOBS = 10_000


class _Record:
    __slots__ = ("back_off", "ends", "failures", "probe_at", "probing", "updated")

    def __init__(self, now: float) -> None:
        self.ends = 0.0
        self.failures = 0.0
        self.updated = now
        self.back_off = 0.0
        self.probe_at: float | None = None
        self.probing = False

    def decay(self, now: float) -> None:
        if now > self.updated:
            factor = 0.5 ** ((now - self.updated) / HALF_LIFE)
            self.ends *= factor
            self.failures *= factor
            self.updated = now


class UpstreamHealth:
    """Decides which upstreams receive no work because tasks fail on them.

    Times are seconds of boot time. `quarantined` holds the upstreams in quarantine in the order
    in which they entered it.
    """

    def __init__(self) -> None:
        self._record_by_id: dict[UpstreamId, _Record] = {}
        self._pool = _Record(0.0)
        # The time of a failure that is counted against the upstream, otherwise None.
        self._failed_on: OrderedDict[JobId, dict[UpstreamId, float | None]] = OrderedDict()
        self.quarantined: dict[UpstreamId, None] = {}

    def add(self, upstream_id: UpstreamId, now: float) -> None:
        """Adds an upstream; keeps the record of a known one."""
        self._record_by_id.setdefault(upstream_id, _Record(now))

    def remove(self, upstream_id: UpstreamId) -> None:
        """Forgets an upstream. May leave more than the allowed share; the oldest are released."""
        self._record_by_id.pop(upstream_id, None)
        self.quarantined.pop(upstream_id, None)

    def over_limit(self) -> list[UpstreamId]:
        """Releases upstreams beyond the allowed share, longest in quarantine first."""
        released = []
        while len(self.quarantined) > self._limit():
            upstream_id = next(iter(self.quarantined))
            self._release(upstream_id)
            released.append(upstream_id)
        return released

    def succeeded(self, upstream_id: UpstreamId, now: float) -> bool:
        """Notes a task that succeeded. Returns whether the upstream left quarantine."""
        record = self._record_by_id.get(upstream_id)
        self._pool.decay(now)
        self._pool.ends += 1
        if record is None:
            return False
        record.decay(now)
        record.ends += 1
        if upstream_id not in self.quarantined or not record.probing:
            return False
        self._release(upstream_id)
        return True

    def failed(self, upstream_id: UpstreamId, job_id: JobId | None, now: float) -> bool:
        """Notes a failed task. Returns whether the upstream entered quarantine.

        `job_id`
            The job that may be at fault itself, or ``None``. A job counts once against an
            upstream however often it fails there.
        """
        repeated = False
        if job_id is not None:
            failed_on = self._failed_on.setdefault(job_id, {})
            if len(self._failed_on) > REMEMBERED_JOBS:
                self._failed_on.popitem(last=False)
            repeated = upstream_id in failed_on
            failed_on.setdefault(upstream_id, None)
        record = self._record_by_id.get(upstream_id)
        if record is None:
            return False
        record.decay(now)
        if upstream_id in self.quarantined:
            if record.probing:
                self._back_off(record, now)
            return False
        if repeated:
            return False
        if job_id is not None:
            failed_on[upstream_id] = now
        self._pool.decay(now)
        for counts in (record, self._pool):
            counts.ends += 1
            counts.failures += 1
        if not self._suspect(record) or len(self.quarantined) >= self._limit():
            return False
        self.quarantined[upstream_id] = None
        self._back_off(record, now)
        return True

    def note_failed_on(self, upstream_id: UpstreamId, job_id: JobId) -> None:
        """Notes that a job failed on an upstream without counting it against the upstream."""
        self._failed_on.setdefault(job_id, {}).setdefault(upstream_id, None)

    def is_faulty(self, job_id: JobId) -> bool:
        """Tells whether the job failed on so many upstreams that it is itself at fault."""
        return len(self._failed_on.get(job_id, ())) >= FAULTY_JOB_UPSTREAMS

    def acquit(self, job_id: JobId, now: float) -> list[UpstreamId]:
        """Takes back the failures of a faulty job. Returns upstreams that left quarantine."""
        released = []
        for upstream_id, at in self._failed_on.pop(job_id, {}).items():
            if at is None:
                continue
            weight = 0.5 ** ((now - at) / HALF_LIFE)
            self._pool.decay(now)
            self._pool.failures = max(self._pool.failures - weight, 0.0)
            record = self._record_by_id.get(upstream_id)
            if record is None:
                continue
            record.decay(now)
            record.failures = max(record.failures - weight, 0.0)
            if upstream_id in self.quarantined and not self._suspect(record):
                self._release(upstream_id)
                released.append(upstream_id)
        return released

    def forget_job(self, job_id: JobId) -> None:
        """Drops what is kept about a job that ended; its failures stay counted."""
        self._failed_on.pop(job_id, None)

    def due_probe(self, now: float) -> UpstreamId | None:
        """Returns an upstream in quarantine that is due for a probe, if any."""
        for upstream_id in self.quarantined:
            record = self._record_by_id[upstream_id]
            if not record.probing and record.probe_at is not None and record.probe_at <= now:
                return upstream_id
        return None

    def probe_started(self, upstream_id: UpstreamId) -> None:
        """Notes that one task was placed as a probe."""
        self._record_by_id[upstream_id].probing = True

    def probe_ended(self, upstream_id: UpstreamId, now: float) -> None:
        """Notes a probe that ended without a result; another is due at once."""
        record = self._record_by_id.get(upstream_id)
        if record is not None and record.probing:
            record.probing = False
            record.probe_at = now

    def score(self, upstream_id: UpstreamId) -> tuple[float, float]:
        """Returns the failure rate of an upstream and that of the pool, each from 0 to 1."""
        record = self._record_by_id[upstream_id]
        return _rate(record), _rate(self._pool)

    def _limit(self) -> int:
        return int(len(self._record_by_id) * QUARANTINE_SHARE)

    def _suspect(self, record: _Record) -> bool:
        if record.failures < LEAST_FAILURES * 0.9 or _rate(record) < LEAST_RATE:
            return False
        others = _Record(0.0)
        others.ends = self._pool.ends - record.ends
        others.failures = self._pool.failures - record.failures
        if others.ends < 1.0:
            return True
        baseline = _rate(others)
        if baseline >= LEAST_RATE:
            # Tasks fail everywhere: the cause is not in single upstreams.
            return False
        return _rate(record) >= min(BASELINE_FACTOR * baseline, 0.9)

    def _release(self, upstream_id: UpstreamId) -> None:
        del self.quarantined[upstream_id]
        record = self._record_by_id[upstream_id]
        record.failures = record.ends = record.back_off = 0.0
        record.probe_at = None
        record.probing = False

    @staticmethod
    def _back_off(record: _Record, now: float) -> None:
        record.back_off = min(max(record.back_off * 2, FIRST_BACK_OFF), LONGEST_BACK_OFF)
        record.probe_at = now + record.back_off
        record.probing = False


def _rate(record: _Record) -> float:
    return max(record.failures, 0.0) / record.ends if record.ends > 0 else 0.0
