"""Expected durations of runs, learned from those that ended: no network, no clock."""

import math
import random
import statistics
from datetime import timedelta
from types import SimpleNamespace

import pytest

from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.learned_durations import MAX_TERMS, MAX_WORKERS, LearnedDurations
from hornbeamramp.poolowner.learned_record import MAX_RECORD_BYTES
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.statestore import JobRecord
from hornbeamramp.statestore.records import encode
from hornbeamramp.workload import StepSpec
from tests.poolowner.builders import record

USUAL = "usual"


def step_of(spec, queue="gate", account="", after=()):
    """Returns the last step of a new job that has ``after`` and ``spec`` as steps."""
    job_record = record(*after, spec, queue=queue)
    fields = {name: getattr(job_record, name) for name in job_record.__struct_fields__}
    job = Job(JobRecord(**{**fields, "account": account}))
    job.open_occurrence(0)
    return job.steps_by_occurrence[0][-1]


def attempt_of(step, worker=USUAL, index=0):
    task = step.task(index)
    return SimpleNamespace(task=task, session=SimpleNamespace(worker=worker))


class Runs:
    """Runs that end on workers of given speeds, of which the durations are learned."""

    def __init__(self, seed=1, speed_by_worker=None, is_enabled=True):
        self.rng = random.Random(seed)
        self.speeds = WorkerSpeeds()
        self.durations = LearnedDurations(self.speeds, is_enabled)
        self.speed_by_worker = speed_by_worker or {USUAL: 1.0}

    def end_step(self, ratio=1.0, spread=0.0, tasks=4, estimate_ms=1000, uneven=0.0, **fields):
        """Ends all runs of a new step whose tasks take ``ratio`` times their estimate, which is
        wrong by a factor that all its tasks share, of the logarithmic deviation ``spread``."""
        step = step_of(StepSpec(tasks, 1000, 100, estimate_ms=estimate_ms), **fields)
        error = self.rng.gauss(0.0, spread)
        for index in range(tasks):
            worker = self.rng.choice(list(self.speed_by_worker))
            own = ratio * math.exp(error) * self.rng.uniform(1 - uneven, 1 + uneven)
            elapsed_s = estimate_ms / 1000 * own / self.speed_by_worker[worker]
            self.durations.record_run(attempt_of(step, worker, index), elapsed_s, 1.0)
        return step

    def ratio(self, quantile=0.5, tasks=4, estimate_ms=1000, **fields):
        """Returns the expected ratio of a step of which nothing has run."""
        step = step_of(StepSpec(tasks, 1000, 100, estimate_ms=estimate_ms), **fields)
        return self.durations.ratio(step, quantile)


@pytest.fixture
def runs():
    return Runs()


def test_estimates_count_until_a_run_has_ended(runs):
    """Guards against an expectation without any evidence."""
    assert runs.ratio() == 1.0


@pytest.mark.parametrize("ratio", [0.1, 0.5, 3.0, 10.0])
def test_expectation_follows_runs_as_far_as_estimates_are_off(runs, ratio):
    """Guards against estimates that are a tenth to ten times off for all steps of a queue."""
    for _ in range(20):
        runs.end_step(ratio, spread=0.2, estimate_ms=4000)
    assert runs.ratio(estimate_ms=4000) == pytest.approx(ratio, rel=0.2)


@pytest.mark.parametrize("spread", [0.2, 0.5, 0.9])
def test_quantiles_hold_for_later_steps(runs, spread):
    """Guards against an upper quantile that later runs exceed more or less often than it says:
    what was kept for a gang is then taken by runs that end too late, or lies idle."""
    for _ in range(150):
        runs.end_step(spread=spread)
    exceeded = [math.exp(runs.rng.gauss(0.0, spread)) > runs.ratio(0.9) for _ in range(400)]
    assert 0.05 <= statistics.mean(exceeded) <= 0.2


def test_steps_of_a_queue_that_differ_are_told_apart(runs):
    """Guards against one ratio for a queue whose steps are misjudged differently."""
    first = StepSpec(1, 1000, 100, estimate_ms=1000)
    for _ in range(30):
        runs.end_step(0.5)
        runs.end_step(2.0, after=(first,))
    assert runs.ratio() == pytest.approx(0.5, rel=0.1)
    assert runs.ratio(after=(first,)) == pytest.approx(2.0, rel=0.1)


def test_accounts_that_differ_are_told_apart(runs):
    """Guards against an account whose estimates are wrong making the others' work late."""
    for _ in range(40):
        for account in ("a", "b", "c"):
            runs.end_step(1.0, account=account)
        runs.end_step(4.0, account="careless")
    assert runs.ratio(account="a") == pytest.approx(1.0, rel=0.25)
    assert runs.ratio(account="careless") == pytest.approx(4.0, rel=0.25)


def test_large_estimates_that_are_mostly_too_large_are_told_apart(runs):
    """Guards against one ratio for all magnitudes, where work varies less than its estimates: the
    longest estimates are then mostly too long and the shortest too short."""
    for _ in range(300):
        estimate_ms = round(1000 * math.exp(runs.rng.gauss(0.0, 0.9)))
        runs.end_step(1000 / estimate_ms, estimate_ms=estimate_ms)
    assert runs.ratio(estimate_ms=4000) < 0.5
    assert runs.ratio(estimate_ms=250) > 2.0


def test_ended_tasks_tell_of_the_others_of_their_step(runs):
    """Guards against the same wrong estimate for each task of a step, though some have ended."""
    for _ in range(50):
        runs.end_step(spread=0.9, uneven=0.2)
    step = step_of(StepSpec(8, 1000, 100, estimate_ms=1000))
    for index in range(3):
        runs.durations.record_run(attempt_of(step, index=index), 3.0, 1.0)
    assert runs.durations.ratio(step) == pytest.approx(3.0, rel=0.2)
    assert runs.durations.ratio(step, 0.9) < runs.ratio(0.9) * 3.0


def test_wide_step_counts_as_one(runs):
    """Guards against one wrong estimate outweighing all steps before, as it has a hundred tasks."""
    for _ in range(30):
        runs.end_step(spread=0.1)
    runs.end_step(5.0, tasks=100)
    assert runs.ratio() < 1.4


@pytest.mark.parametrize("poisoned_share", [0.03, 0.1])
def test_steps_that_take_many_times_as_long_leave_the_others_expected(runs, poisoned_share):
    """Guards against a share of poisoned jobs that makes all others count as late."""
    speed_by_worker = {f"w{number}": 1.0 for number in range(20)}
    runs.speed_by_worker = speed_by_worker
    for _ in range(200):
        ratio = 8.0 if runs.rng.random() < poisoned_share else 1.0
        runs.end_step(ratio, spread=0.2, uneven=0.2)
    assert 0.8 <= runs.ratio() <= 1.4
    assert all(0.75 < runs.speeds.speed(worker) < 1.3 for worker in speed_by_worker)


def test_speeds_are_learned_beside_wrong_estimates():
    """Guards against speeds that tell more of the estimates of the last jobs than of the workers:
    long work is then placed on fast workers and short work on slow ones."""
    speed_by_worker = {f"w{n}": (0.55, 1.0, 1.25)[n % 3] for n in range(21)}
    runs = Runs(seed=3, speed_by_worker=speed_by_worker)
    for _ in range(200):
        runs.end_step(spread=0.9, uneven=0.2, tasks=10)
    slow = [runs.speeds.speed(w) for w, speed in speed_by_worker.items() if speed < 0.6]
    usual = [runs.speeds.speed(w) for w, speed in speed_by_worker.items() if speed == 1.0]
    fast = [runs.speeds.speed(w) for w, speed in speed_by_worker.items() if speed > 1.2]
    assert max(slow) < min(usual)
    assert statistics.mean(slow) / statistics.mean(fast) == pytest.approx(0.55 / 1.25, rel=0.2)


def test_worker_that_turns_slow_is_noticed_within_some_runs():
    """Guards against work that goes on to a worker on which it takes four times as long."""
    speed_by_worker = {f"w{number}": 1.0 for number in range(10)}
    runs = Runs(seed=5, speed_by_worker=speed_by_worker)
    for _ in range(100):
        runs.end_step(spread=0.3, uneven=0.2)
    speed_by_worker["w0"] = 0.2
    for _ in range(100):
        runs.end_step(spread=0.3, uneven=0.2)
    assert runs.speeds.is_suspect("w0")
    assert not any(runs.speeds.is_suspect(f"w{number}") for number in range(1, 10))


def test_task_away_from_its_data_tells_nothing_of_its_worker(runs):
    """Guards against a worker that counts as slow for work that any worker there does slowly."""
    spec = StepSpec(4, 1000, 100, estimate_ms=1000, data_rack="far")
    for _ in range(20):
        step = step_of(spec)
        for index in range(4):
            attempt = attempt_of(step, index=index)
            attempt.session.listing = SimpleNamespace(labels=("near",))
            runs.durations.record_run(attempt, 5.0, 1.0)
    assert runs.speeds.speed(USUAL) == 1.0
    assert runs.durations.ratio(step_of(spec)) > 2.0


def test_run_stopped_midway_tells_by_its_progress(runs):
    """Guards against learning only from the runs that are not preempted, which are the short."""
    step = step_of(StepSpec(1, 1000, 100, estimate_ms=1000))
    runs.durations.record_run(attempt_of(step), 2.0, 0.5)
    assert runs.durations.ratio(step) == pytest.approx(4.0, rel=0.01)


def test_unfinished_run_tells_only_that_it_would_have_taken_longer(runs):
    """Guards against runs that fail at once counting as short, and against those that fail after
    many times their expected duration counting for nothing."""
    for _ in range(20):
        runs.end_step()
    step = step_of(StepSpec(1, 1000, 100, estimate_ms=1000))
    runs.durations.record_unfinished(attempt_of(step), 0.2)
    assert runs.ratio() == pytest.approx(1.0, rel=0.05)
    for _ in range(20):
        unfinished = step_of(StepSpec(1, 1000, 100, estimate_ms=1000))
        runs.durations.record_unfinished(attempt_of(unfinished), 4.0)
    assert runs.ratio() > 1.5


def test_run_that_has_not_ended_in_time_is_expected_to_go_on(runs):
    """Guards against a run that counts as about to end for seconds, as it is overdue."""
    for _ in range(50):
        runs.end_step(spread=0.5)
    step = step_of(StepSpec(4, 1000, 100, estimate_ms=1000))
    expected = [
        runs.durations.duration_of_running(step, USUAL, timedelta(seconds=seconds))
        for seconds in (0.0, 1.0, 3.0, 30.0)
    ]
    assert expected == sorted(expected)
    assert expected[1] > timedelta(seconds=1.1)
    assert expected[2] > timedelta(seconds=3.2)
    assert expected[3] >= timedelta(seconds=30)


def test_nothing_is_learned_when_switched_off():
    """Guards against a switch that leaves a part on, so that a comparison shows nothing."""
    runs = Runs(is_enabled=False, speed_by_worker={"slow": 0.5})
    for _ in range(20):
        runs.end_step(4.0)
    runs.durations.restore(learned_record(), {"slow"})
    assert runs.ratio() == 1.0
    assert runs.speeds.speed("slow") == 1.0
    assert runs.durations.runs == 0


def learned_record():
    runs = Runs(speed_by_worker={"slow": 0.5, "fast": 1.2, "other": 1.0})
    for _ in range(60):
        runs.end_step(3.0, spread=0.3, uneven=0.2)
    return runs.durations.to_record()


def test_successor_expects_what_its_predecessor_did():
    """Guards against a takeover after which all work is estimated by its submitters again."""
    before = Runs(speed_by_worker={"slow": 0.5, "fast": 1.2, "other": 1.0})
    for _ in range(60):
        before.end_step(3.0, spread=0.3, uneven=0.2)
    after = Runs()
    after.durations.restore(before.durations.to_record(), {"slow", "other"})
    for quantile in (0.1, 0.5, 0.9):
        assert after.ratio(quantile) == pytest.approx(before.ratio(quantile), rel=0.02)
    assert after.speeds.speed("slow") == pytest.approx(before.speeds.speed("slow"), rel=0.01)
    assert "fast" not in after.speeds.log_speed_by_worker


def test_what_is_kept_is_bounded(runs):
    """Guards against memory, and a record, that grow with the queues, accounts and workers that
    have ever been seen."""
    for number in range(3000):
        runs.speed_by_worker = {f"{number:032x}": 0.5}
        runs.end_step(2.0, tasks=1, queue=f"queue{number}", account=f"account{number}")
        runs.speeds.restore(f"{number:032x}", -0.7)
    assert runs.durations.terms == MAX_TERMS
    learned = runs.durations.to_record()
    assert len(learned.log_speed_by_worker) == MAX_WORKERS
    assert len(encode(learned)) <= MAX_RECORD_BYTES


def test_oldest_kinds_are_dropped_first(runs):
    """Guards against dropping the kinds in use for those of a queue that has gone."""
    for number in range(500):
        runs.end_step(3.0)
        runs.end_step(1.0, queue=f"queue{number}")
    assert runs.ratio() == pytest.approx(3.0, rel=0.1)
