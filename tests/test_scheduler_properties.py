"""Property tests: random sequences of calls keep the guarantees on capacity and attempts."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Ok

from hornbeamramp.clock import ManualClock
from hornbeamramp.decisions import Checkpoint, EndEffect, Start, Stop, TaskEnd, Throttle
from hornbeamramp.ids import AttemptId, JobId, PoolName, RackId, RouteName, TeamId, UpstreamId
from hornbeamramp.jobs import BatchJob, GangJob, ServiceJob
from hornbeamramp.resources import Resources
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.states import Band
from hornbeamramp.tables import Pool, Quota
from hornbeamramp.upstreams.base import UpstreamShape

SHAPES = [
    Resources(4000, 4096, 0, 4, 8),
    Resources(8000, 8192, 2, 8, 8),
    Resources(16000, 4096, 0, 2, 16),
]
SIZES = st.builds(
    Resources,
    processors_milli=st.sampled_from([0, 100, 1000, 3000, 8000]),
    memory_mib=st.sampled_from([0, 64, 1000, 4000]),
    accelerators=st.sampled_from([0, 0, 0, 1]),
    slots=st.sampled_from([1, 1, 2]),
    connections=st.sampled_from([1, 2]),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("submit"),
            st.sampled_from([BatchJob, BatchJob, GangJob, ServiceJob]),
            SIZES,
            st.integers(1, 5),
            st.sampled_from(list(Band)),
            st.sampled_from("ab"),
            st.booleans(),
            st.sampled_from([None, 1.0, 30.0]),
        ),
        st.tuples(st.just("decide"), st.integers(0, 12)),
        st.tuples(st.just("decide"), st.just(50)),
        st.tuples(
            st.just("end"), st.integers(0, 200), st.sampled_from(list(TaskEnd)), st.none() | SIZES
        ),
        st.tuples(st.just("usage"), st.integers(0, 200), SIZES),
        st.tuples(st.just("throttled"), st.integers(0, 200)),
        st.tuples(st.just("cancel"), st.integers(0, 40)),
        st.tuples(st.just("leave"), st.integers(0, 4)),
        st.tuples(st.just("remove"), st.integers(0, 4)),
        st.tuples(st.just("add"), st.integers(0, 4)),
        st.tuples(st.just("pass"), st.sampled_from([0.01, 1.0, 7.0, 40.0])),
        st.tuples(st.just("expire")),
        st.tuples(st.just("unknown"), st.integers(0, 4), SIZES, st.sampled_from([0.5, 20.0])),
    ),
    max_size=120,
)


class Model:
    """Applies calls to a scheduler and tracks on its own what the decisions allocate."""

    def __init__(self, policy="default"):
        self.clock = ManualClock()
        quotas = {TeamId("b"): Quota(2.0, Resources(12000, 12000, 2, 10, 20))}
        self.scheduler = ShardScheduler(Pool(PoolName("p"), policy=policy), self.clock, quotas)
        self.shape_by_id = {}
        self.leaving = set()
        self.start_by_attempt = {}
        self.live_tasks = set()
        self.overcommitted = {}
        self.admitted_job_by_id = {}
        self.finished = set()
        self.number = 0
        for i in range(3):
            self.add(i)

    def add(self, i):
        shape = SHAPES[i % len(SHAPES)]
        upstream_id = UpstreamId(f"u{i}")
        self.shape_by_id[upstream_id] = shape
        self.leaving.discard(upstream_id)
        self.scheduler.add_upstream(UpstreamShape(upstream_id, RackId(f"k{i % 2}"), shape, 1.0 + i))

    def submit(self, kind, size, tasks, band, team, idempotent, deadline):
        self.number += 1
        job = kind(
            id=JobId(f"j{self.number}"),
            route=RouteName("r"),
            pool=PoolName("p"),
            team=TeamId(team),
            band=band,
            tasks=tasks,
            resources=size,
            idempotent=idempotent,
            deadline=None if deadline is None else timedelta(seconds=deadline),
        )
        if isinstance(self.scheduler.submit(job), Ok):
            self.admitted_job_by_id[job.id] = job

    def decide(self, limit):
        actions = self.scheduler.decide(limit)
        assert len(actions) <= limit
        for action in actions:
            if isinstance(action, Start):
                task = (action.job.id, action.task)
                assert task not in self.live_tasks, "two live attempts of one task"
                assert action.job.id not in self.finished
                assert action.attempt_id not in self.start_by_attempt
                assert action.upstream_id in self.shape_by_id
                assert action.upstream_id not in self.leaving
                self.start_by_attempt[action.attempt_id] = action
                self.live_tasks.add(task)
            else:
                assert isinstance(action, Stop | Checkpoint | Throttle)
                assert action.attempt_id in self.start_by_attempt
                if not isinstance(action, Throttle):
                    self.check_may_be_stopped(action.attempt_id)

    def check_may_be_stopped(self, attempt_id):
        job = self.start_by_attempt[attempt_id].job
        assert job.idempotent or job.id in self.finished

    def end(self, index, end, usage):
        if not self.start_by_attempt:
            return
        attempt_id = sorted(self.start_by_attempt)[index % len(self.start_by_attempt)]
        action = self.start_by_attempt.pop(attempt_id)
        self.live_tasks.discard((action.job.id, action.task))
        ended = self.scheduler.ended(attempt_id, end, usage)
        if ended in (EndEffect.JOB_DONE, EndEffect.JOB_FAILED, EndEffect.JOB_CANCELLED):
            self.finished.add(action.job.id)
        ran = end is not TaskEnd.NOT_STARTED
        retried = ended is EndEffect.RETRY and ran and not isinstance(action.job, ServiceJob)
        assert action.job.idempotent or not retried
        assert self.scheduler.ended(attempt_id, end, usage) is EndEffect.IGNORED

    def usage(self, index, usage):
        if self.start_by_attempt:
            self.scheduler.report_usage(
                sorted(self.start_by_attempt)[index % len(self.start_by_attempt)], usage
            )

    def throttled(self, index):
        if self.start_by_attempt:
            self.scheduler.throttled(
                sorted(self.start_by_attempt)[index % len(self.start_by_attempt)]
            )

    def cancel(self, number):
        job_id = JobId(f"j{number}")
        if job_id in self.admitted_job_by_id:
            self.scheduler.cancel(job_id)
            self.finished.add(job_id)

    def leave(self, i):
        self.leaving.add(UpstreamId(f"u{i}"))
        self.scheduler.set_leaving(UpstreamId(f"u{i}"))

    def remove(self, i):
        upstream_id = UpstreamId(f"u{i}")
        self.shape_by_id.pop(upstream_id, None)
        self.overcommitted.pop(upstream_id, None)
        for attempt_id in self.scheduler.remove_upstream(upstream_id):
            action = self.start_by_attempt.pop(attempt_id)
            self.live_tasks.discard((action.job.id, action.task))
            ended = self.scheduler.ended(attempt_id, TaskEnd.LOST, None)
            if ended in (EndEffect.JOB_DONE, EndEffect.JOB_FAILED, EndEffect.JOB_CANCELLED):
                self.finished.add(action.job.id)

    def unknown(self, i, size, duration):
        self.number += 1
        upstream_id = UpstreamId(f"u{i}")
        until = self.clock.boot_time() + timedelta(seconds=duration)
        self.scheduler.reserve_unknown(upstream_id, AttemptId(f"x{self.number}.0.1.1"), size, until)
        self.overcommitted[upstream_id] = True

    def check(self):
        ledger = self.scheduler._upstreams.ledger
        for upstream_id, shape in self.shape_by_id.items():
            allocated, free = ledger.allocated(upstream_id), ledger.free(upstream_id)
            sums = [0] * 5
            for reservation in ledger.reservations(upstream_id):
                sums = [a + b for a, b in zip(sums, reservation.amount, strict=True)]
            assert tuple(sums) == allocated
            assert min(free) >= 0
            if upstream_id not in self.overcommitted:
                assert Resources(*allocated).fits_in(shape), "more allocated than the machine has"
            granted = [0] * 5
            for action in self.start_by_attempt.values():
                if action.upstream_id == upstream_id and action.job.id not in self.finished:
                    reserved = next(
                        r
                        for r in ledger.reservations(upstream_id)
                        if r.attempt_id == action.attempt_id
                    )
                    granted = [a + b for a, b in zip(granted, reserved.amount, strict=True)]
            assert Resources(*granted).fits_in(shape)
        self.check_counts()

    def check_counts(self):
        scheduler = self.scheduler
        queue, shares = scheduler._queue, scheduler._shares
        queued = list(queue.states())
        assert len(queued) == len(queue)
        assert all(state.pending > 0 for state in queued)
        used = {}
        for attempt in scheduler._tasks.attempt_by_id.values():
            key = attempt.state.job.team
            sums = used.setdefault(key, [0] * 5)
            used[key] = [a + b for a, b in zip(sums, attempt.counted_amount, strict=True)]
        for team, use in shares.use_by_team.items():
            assert use.used == used.get(team, [0] * 5)
        usable = [u for u in self.shape_by_id if scheduler._upstreams.usable(u)]
        free = [scheduler._upstreams.ledger.free(u) for u in usable]
        assert shares.free == [sum(column) for column in zip(*free, strict=True)] or not free


def busy_steps(seed, count=300):
    """Yields steps that keep a small pool full, which short random lists rarely do."""
    random = Random(seed)
    sizes = [
        Resources(1000, 500),
        Resources(2000, 1000),
        Resources(4000, 2000, slots=2),
        Resources(1000, 100, 1),
        Resources(100, 64, slots=2),
    ]
    bands = [Band.URGENT, Band.URGENT, Band.SERVICE, Band.NORMAL, Band.BULK, Band.BULK]
    kinds = [BatchJob] * 6 + [GangJob, GangJob, ServiceJob]
    for _ in range(count):
        choice = random.random()
        if choice < 0.40:
            yield (
                "submit",
                random.choice(kinds),
                random.choice(sizes),
                random.choice([1, 1, 2, 4]),
                random.choice(bands),
                random.choice("abc"),
                random.random() < 0.8,
                random.choice([None, None, 5.0, 100.0]),
            )
        elif choice < 0.65:
            yield ("decide", random.choice([1, 3, 50]))
        elif choice < 0.80:
            end = random.choice([TaskEnd.SUCCEEDED] * 4 + list(TaskEnd))
            yield ("end", random.randrange(100), end, random.choice([None, *sizes]))
        elif choice < 0.84:
            yield ("usage", random.randrange(100), random.choice(sizes))
        elif choice < 0.88:
            yield ("throttled", random.randrange(100))
        elif choice < 0.91:
            yield ("cancel", random.randrange(100))
        elif choice < 0.93:
            yield ("leave", random.randrange(4))
        elif choice < 0.94:
            yield ("remove", random.randrange(4))
        elif choice < 0.97:
            yield ("add", random.randrange(6))
        elif choice < 0.98:
            yield ("expire",)
        else:
            yield ("pass", random.choice([0.1, 1.0, 7.0, 40.0]))


def run_steps(model, steps):
    for name, *arguments in steps:
        if name == "pass":
            model.clock.set(model.clock.boot_time() + timedelta(seconds=arguments[0]))
        elif name == "expire":
            for job_id in model.scheduler.expire():
                assert not any(a.job.id == job_id for a in model.start_by_attempt.values())
                model.finished.add(job_id)
        else:
            getattr(model, name)(*arguments)
        model.check()


# Attempts that one call may make: each job of the test has five tasks at most.
MAX_ATTEMPTS_IN_A_CALL = 1000


@pytest.mark.parametrize("policy", ["default", "fifo_first_fit", "random"])
@pytest.mark.parametrize("tasks", [3, 5])
@pytest.mark.parametrize("memory_mib", [0, 64])
def test_gang_beside_an_overcommitted_upstream_is_tried_a_bounded_number_of_times(
    policy, tasks, memory_mib, monkeypatch
):
    """The index counted the room of an upstream with more accelerators in use than it has, of which
    the gang asks none, and the ledger refused it: one call of `decide` never ended."""
    model = Model(policy)
    next_attempt_id = model.scheduler._tasks.next_attempt_id
    calls = 0

    def counted(state, task):
        nonlocal calls
        calls += 1
        assert calls <= MAX_ATTEMPTS_IN_A_CALL
        return next_attempt_id(state, task)

    monkeypatch.setattr(model.scheduler._tasks, "next_attempt_id", counted)
    overcommitting = Resources(0, 0, 1, 1, 1)
    size = Resources(0, memory_mib, 0, 1, 1)
    steps = [
        ("unknown", 0, overcommitting, 20.0),
        ("submit", GangJob, size, tasks, Band.URGENT, "b", True, None),
        ("decide", 50),
    ]
    run_steps(model, steps)
    assert len(model.start_by_attempt) == tasks


@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_random_calls_never_allocate_more_than_a_machine_has(steps):
    run_steps(Model(), steps)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_a_full_pool_is_never_allocated_more_than_it_has(seed):
    run_steps(Model(), busy_steps(seed))


@settings(max_examples=40, deadline=None)
@given(STEPS, st.sampled_from(["fifo_first_fit", "random"]))
def test_baselines_never_allocate_more_than_a_machine_has(steps, policy):
    run_steps(Model(policy), steps)


@settings(max_examples=20, deadline=None)
@given(st.integers(0, 2**32).map(lambda seed: list(busy_steps(seed))))
def test_the_same_calls_give_the_same_decisions(steps):
    statuses = []
    for _ in range(2):
        model = Model()
        run_steps(model, steps)
        statuses.append((model.scheduler.snapshot(), model.scheduler.decide(100)))
    assert statuses[0] == statuses[1]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
@example(105192)  # An expired job left the queue, but a task still ran and the job was forgotten.
def test_every_job_ends_once_the_pool_works(seed):
    """Guards against jobs that are parked, held or delayed and never placed again."""
    model = Model()
    run_steps(model, busy_steps(seed))
    # A job admitted for an upstream that was removed later waits for another of its shape.
    for i in range(6):
        model.add(i)
    for job in model.admitted_job_by_id.values():
        if isinstance(job, ServiceJob):
            model.cancel(int(job.id[1:]))
    for _ in range(400):
        now = model.clock.boot_time()
        model.clock.set(now + timedelta(seconds=5))
        run_steps(model, [("expire",), ("decide", 1000)])
        while model.start_by_attempt:
            model.end(0, TaskEnd.SUCCEEDED, None)
        if not model.scheduler._tasks.job_by_id:
            break
    assert not model.scheduler._tasks.job_by_id
    assert not model.scheduler._tasks.attempt_by_id
    assert len(model.scheduler._queue) == 0
