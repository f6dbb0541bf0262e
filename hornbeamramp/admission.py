"""Admission: whether a job may enter the queue of its shard."""

from collections import Counter
from datetime import timedelta

from result import Err, Ok, Result

from hornbeamramp.decisions import Admitted, Refusal
from hornbeamramp.estimates import Expectation
from hornbeamramp.flows import Flow
from hornbeamramp.job_queue import JobQueue
from hornbeamramp.jobs import GangJob, Job, ServiceJob
from hornbeamramp.ledger import Vector
from hornbeamramp.policies.gang import fit_count
from hornbeamramp.shares import ShareBook
from hornbeamramp.states import Band, RefusalReason

__all__ = ["DEFAULT_QUEUE_BOUND", "Admission"]

DEFAULT_QUEUE_BOUND = 200_000
# A band is refused when the queue is fuller than this, so that the least urgent is refused first.
FILL_BY_BAND = {Band.URGENT: 1.0, Band.SERVICE: 0.95, Band.NORMAL: 0.85, Band.BULK: 0.7}
# Most of the queue's bound one team can take, however few teams there are.
TEAM_SHARE = 0.5
# Most of a team's part of the queue that one of its routes can take.
FLOW_SHARE = 0.75
# Part of the pool assumed to serve work beyond learned demand, when that takes all of it.
LEAST_RATE = 0.05
NO_UPSTREAMS_RETRY = timedelta(seconds=1)
LONGEST_RETRY = timedelta(minutes=5)
LONGEST_WAIT = 86_400.0


class Admission:
    """Refuses jobs that can't run, exceed a limit or would wait too long.

    `queue_bound`
        Most jobs in the queue.
    """

    def __init__(
        self, queue: JobQueue, shares: ShareBook, queue_bound: int = DEFAULT_QUEUE_BOUND
    ) -> None:
        self._queue = queue
        self._shares = shares
        self._bound = queue_bound
        self._shapes: Counter[Vector] = Counter()
        self._best_speed = 1.0
        self._fits_by_amount: dict[Vector, bool] = {}

    def set_shapes(self, shapes: Counter[Vector], best_speed: float) -> None:
        """Sets the number of upstreams of each shape and the highest speed."""
        self._shapes = shapes
        self._best_speed = best_speed
        self._fits_by_amount.clear()

    def feasible_size(self, job: Job, flow: Flow, amount: Vector) -> Vector:
        """Returns the estimated size, lowered where the job could not run with it.

        A task gets at most a machine that has room for its declared size. Where the estimate would
        exceed the team's limit or, for a gang, the empty pool, the declared size is used.
        """
        declared = job.resources.as_tuple()
        if amount == declared:
            return amount
        if not self.fits(amount):
            shapes = [shape for shape in self._shapes if fit_count(declared, shape)]
            if not shapes:
                return declared
            amount = tuple(map(min, amount, max(shapes)))  # type: ignore[assignment]
        gang = isinstance(job, GangJob)
        limit = flow.account.team_use.limit
        if limit is not None and fit_count(amount, limit) < (job.tasks if gang else 1):
            return declared
        if gang and not self.fits_gang(amount, job.tasks):
            return declared
        return amount

    def fits(self, amount: Vector) -> bool:
        """Tells whether a task of this size fits on an empty upstream."""
        fits = self._fits_by_amount.get(amount)
        if fits is None:
            if len(self._fits_by_amount) > 10_000:
                self._fits_by_amount.clear()
            fits = any(fit_count(amount, shape) for shape in self._shapes)
            self._fits_by_amount[amount] = fits
        return fits

    def fits_gang(self, amount: Vector, tasks: int) -> bool:
        """Tells whether so many tasks fit into the empty pool at once."""
        room = sum(fit_count(amount, s) * count for s, count in self._shapes.items())
        return room >= tasks

    def admit(
        self, job: Job, flow: Flow, expectation: Expectation, parked: bool
    ) -> Result[Admitted, Refusal]:
        """Admits or refuses a job.

        `parked`
            Whether jobs of its size wait because there is no room for them.
        """
        declared = job.resources.as_tuple()
        never = self._never_runs(job, flow, declared)
        if never is not None:
            return Err(never)
        wait = self.predict_wait(flow, parked)
        full = self._no_place(flow)
        if full is not None:
            retry = min(max(timedelta(seconds=wait / 2), timedelta(seconds=1)), LONGEST_RETRY)
            return Err(Refusal(RefusalReason.OVERLOAD, full, retry))
        if job.deadline is not None:
            # A declared run time may be ten times too long; it alone is no reason to refuse.
            run = expectation.run / self._best_speed if expectation.learned else 0.0
            if isinstance(job, ServiceJob):
                run = 0.0
            deadline = job.deadline.total_seconds()
            if wait + run > deadline:
                detail = f"expected to end after {wait + run:.1f} s, deadline {deadline:.1f} s"
                retry = timedelta(seconds=max(wait + run - deadline, 1.0)) if wait else None
                return Err(Refusal(RefusalReason.DEADLINE, detail, retry))
        return Ok(Admitted(timedelta(seconds=wait)))

    def predict_wait(self, flow: Flow, parked: bool) -> float:
        """Returns the expected seconds in the queue of another job of the flow."""
        if not flow.jobs and not parked:
            return 0.0
        ahead = sum(
            work for band, work in self._queue.work_by_band.items() if band < flow.account.band
        )
        own = self._queue.work_of(flow)
        rest = max(1.0 - self._shares.headroom(flow), LEAST_RATE)
        share = rest * flow.account.weight / self._waiting_weight(flow)
        claim = min(flow.claim(), 1.0)
        if share <= claim:
            # Served within its learned demand, whatever is ahead of it in other bands.
            return min(own / claim, LONGEST_WAIT)
        return min((own / share) + max(ahead, 0.0) / rest, LONGEST_WAIT)

    def expected_wait(self, band: Band) -> float:
        """Returns the expected seconds in the queue of a job of this band."""
        work = sum(w for other, w in self._queue.work_by_band.items() if other <= band)
        return min(max(work, 0.0), LONGEST_WAIT)

    def _never_runs(self, job: Job, flow: Flow, amount: Vector) -> Refusal | None:
        if not self._shapes:
            return Refusal(RefusalReason.OVERLOAD, "no upstreams known yet", NO_UPSTREAMS_RETRY)
        if job.tasks < 1:
            return Refusal(RefusalReason.NEVER_RUNS, "a job needs at least one task")
        if not self.fits(amount):
            detail = f"a task fits on no upstream of the pool: {job.resources}"
            return Refusal(RefusalReason.NEVER_RUNS, detail)
        gang = isinstance(job, GangJob)
        if gang and not self.fits_gang(amount, job.tasks):
            detail = f"{job.tasks} tasks at once do not fit into the empty pool"
            return Refusal(RefusalReason.NEVER_RUNS, detail)
        limit = flow.account.team_use.limit
        if limit is not None and fit_count(amount, limit) < (job.tasks if gang else 1):
            detail = f"more at once than the limit of team {job.team}"
            return Refusal(RefusalReason.QUOTA, detail)
        return None

    def _no_place(self, flow: Flow) -> str | None:
        queued = len(self._queue)
        if queued >= self._bound * FILL_BY_BAND[flow.account.band]:
            return f"queue is full: {queued} jobs"
        team = flow.account.team
        part = flow.account.weight / self._waiting_weight(flow)
        place = max(self._bound * min(part, TEAM_SHARE), 1.0)
        if flow.account.team_use.jobs >= place:
            return f"team {team} has taken its share of the queue"
        if flow.jobs >= max(place * FLOW_SHARE, 1.0):
            return f"route {flow.route} has taken its share of the queue"
        return None

    def _waiting_weight(self, flow: Flow) -> float:
        """Returns the weight of all teams with queued jobs, this one included."""
        weight = self._queue.waiting_weight
        return weight if flow.account.team_use.jobs else weight + flow.account.weight
