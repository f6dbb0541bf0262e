"""Admission control: whether a job may enter the queue of its shard."""

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
from hornbeamramp.shares import FairShares
from hornbeamramp.states import Band, RefusalReason

__all__ = ["DEFAULT_QUEUE_BOUND", "Admission"]

DEFAULT_QUEUE_BOUND = 200_000
# Fill level from which a band is refused, so that the least urgent band is refused first.
MAX_FILL_BY_BAND = {Band.URGENT: 1.0, Band.SERVICE: 0.95, Band.NORMAL: 0.85, Band.BULK: 0.7}
# Largest part of the queue bound for one team, however few teams there are.
MAX_TEAM_SHARE = 0.5
# Largest part of a team's queue limit for one of its routes.
MAX_FLOW_SHARE = 0.75
# Share of the pool assumed to serve work beyond learned demand when learned demand takes it all.
MIN_POOL_SHARE = 0.05
NO_UPSTREAMS_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(minutes=5)
MAX_WAIT_S = 86_400.0


class Admission:
    """Refuses jobs that can't run, exceed a limit or would wait too long.

    `queue_bound`
        Maximum number of jobs in the queue.
    """

    def __init__(
        self, queue: JobQueue, shares: FairShares, queue_bound: int = DEFAULT_QUEUE_BOUND
    ) -> None:
        self._queue = queue
        self._shares = shares
        self._queue_bound = queue_bound
        self._shapes: Counter[Vector] = Counter()
        self._max_speed = 1.0
        self._fits_by_amount: dict[Vector, bool] = {}

    def set_shapes(self, shapes: Counter[Vector], max_speed: float) -> None:
        """Sets the number of upstreams of each shape and the speed of the fastest one."""
        self._shapes = shapes
        self._max_speed = max_speed
        self._fits_by_amount.clear()

    def feasible_size(self, job: Job, flow: Flow, amount: Vector) -> Vector:
        """Returns the estimated size of a task, lowered where the job could not run with it.

        An estimate that fits on no upstream is limited to the shape of one on which the declared
        size fits.
        If the job would still exceed its team's limit or, for a gang, the empty pool, the declared
        size is used.
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
        """Tells whether ``tasks`` tasks of this size fit into the empty pool at once."""
        task_capacity = sum(fit_count(amount, s) * count for s, count in self._shapes.items())
        return task_capacity >= tasks

    def admit(
        self, job: Job, flow: Flow, expectation: Expectation, parked: bool
    ) -> Result[Admitted, Refusal]:
        """Admits or refuses a job.

        `parked`
            Whether jobs of its size class wait because they fit on no upstream now.
        """
        declared = job.resources.as_tuple()
        infeasible = self._check_feasible(job, flow, declared)
        if infeasible is not None:
            return Err(infeasible)
        wait = self.predict_wait(flow, parked)
        queue_problem = self._check_queue_limits(flow)
        if queue_problem is not None:
            retry = min(max(timedelta(seconds=wait / 2), timedelta(seconds=1)), MAX_RETRY_AFTER)
            return Err(Refusal(RefusalReason.OVERLOAD, queue_problem, retry))
        if job.deadline is not None:
            # A declared run time, which may be ten times too long, is no reason to refuse.
            run = expectation.run / self._max_speed if expectation.learned else 0.0
            if isinstance(job, ServiceJob):
                run = 0.0
            deadline = job.deadline.total_seconds()
            if wait + run > deadline:
                detail = f"expected to end after {wait + run:.1f} s, deadline {deadline:.1f} s"
                retry = timedelta(seconds=max(wait + run - deadline, 1.0)) if wait else None
                return Err(Refusal(RefusalReason.DEADLINE, detail, retry))
        return Ok(Admitted(timedelta(seconds=wait)))

    def predict_wait(self, flow: Flow, parked: bool) -> float:
        """Returns the expected queue time in seconds of another job of the flow."""
        if not flow.jobs and not parked:
            return 0.0
        work_ahead = sum(
            work for band, work in self._queue.work_by_band.items() if band < flow.account.band
        )
        own_work = self._queue.work_of(flow)
        available_share = max(1.0 - self._shares.headroom(flow), MIN_POOL_SHARE)
        share = available_share * flow.account.weight / self._waiting_weight(flow)
        claimed_share = min(flow.claim(), 1.0)
        if share <= claimed_share:
            # The flow is served within its learned demand, whatever is queued in more urgent bands.
            return min(own_work / claimed_share, MAX_WAIT_S)
        return min((own_work / share) + max(work_ahead, 0.0) / available_share, MAX_WAIT_S)

    def expected_wait(self, band: Band) -> float:
        """Returns the expected queue time in seconds of a job of this band."""
        work = sum(w for other, w in self._queue.work_by_band.items() if other <= band)
        return min(max(work, 0.0), MAX_WAIT_S)

    def _check_feasible(self, job: Job, flow: Flow, amount: Vector) -> Refusal | None:
        if not self._shapes:
            return Refusal(
                RefusalReason.OVERLOAD, "no upstreams known yet", NO_UPSTREAMS_RETRY_AFTER
            )
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

    def _check_queue_limits(self, flow: Flow) -> str | None:
        queued = len(self._queue)
        if queued >= self._queue_bound * MAX_FILL_BY_BAND[flow.account.band]:
            return f"queue is full: {queued} jobs"
        team = flow.account.team
        weight_share = flow.account.weight / self._waiting_weight(flow)
        max_team_jobs = max(self._queue_bound * min(weight_share, MAX_TEAM_SHARE), 1.0)
        if flow.account.team_use.jobs >= max_team_jobs:
            return f"team {team} has taken its share of the queue"
        if flow.jobs >= max(max_team_jobs * MAX_FLOW_SHARE, 1.0):
            return f"route {flow.route} has taken its share of the queue"
        return None

    def _waiting_weight(self, flow: Flow) -> float:
        """Returns the total weight of the teams with queued jobs, including that of ``flow``."""
        weight = self._queue.waiting_weight
        return weight if flow.account.team_use.jobs else weight + flow.account.weight
