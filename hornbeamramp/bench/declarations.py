"""Waiting time and throughput with wrong declarations, failing upstreams and mass cancellation."""

import random
import time

import msgspec

from hornbeamramp.bench._shapes import JOB_CLASSES, SHAPES
from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.bench.runs import POLICIES, RunSpec, new_driver, run_all, violation_figures
from hornbeamramp.bench.tally import Observations, percentile
from hornbeamramp.bench.wait import URGENT_WAIT_GOAL_S, urgent_classes
from hornbeamramp.bench.workload import SECOND_US, steady

__all__ = ["measure"]

CASES = {
    "exact": {},
    "declared x0.1": {"misdeclaration": (0.1, 0.1)},
    "declared x10": {"misdeclaration": (10.0, 10.0)},
    "declared x0.1 to x10": {"misdeclaration": (0.1, 10.0)},
    "5% of upstreams fail all": {"failing_every": 20},
}


def measure(options: Options) -> list[Figure]:
    """Returns waits in seconds, throughput in tasks per second and shares of jobs for each case."""
    warmup_s, window_s, drain_s = (3, 5, 2) if options.quick else (30, 60, 30)
    cells = ("hsinchu",) if options.quick else ("kaya", "hsinchu")
    specs = {}
    for cell in cells:
        for case, overrides in CASES.items():
            for policy in POLICIES:
                specs[f"{cell}, {case}", policy] = RunSpec(
                    cell, policy, options.seed, warmup_s, window_s, drain_s, **overrides
                )
    figures: list[Figure] = []
    for (case, policy), observed in zip(specs, run_all(list(specs.values())), strict=True):
        figures += _figures(case, policy, observed, warmup_s + window_s + drain_s)
    queued = 1000 if options.quick else 10_000
    for policy in POLICIES:
        figures += _mass_cancel(policy, options.seed, queued)
    return figures


def _figures(case: str, policy: str, observed: Observations, duration_s: float) -> list[Figure]:
    figures: list[Figure] = []

    def add(name: str, value: float, unit: str, goal: str = "", met: bool | None = None) -> None:
        figures.append(Figure("declarations", case, name, value, unit, policy, goal, met))

    names = [n for n in JOB_CLASSES if n in observed.by_class]
    urgent = observed.waits(urgent_classes(names))
    others = observed.waits([n for n in names if n not in urgent_classes(names)])
    add("urgent wait median", percentile(urgent, 0.5), "s")
    p99 = percentile(urgent, 0.99)
    add("urgent wait p99", p99, "s", f"<= {URGENT_WAIT_GOAL_S}", p99 <= URGENT_WAIT_GOAL_S)
    add("other wait median", percentile(others, 0.5), "s")
    add("other wait p99", percentile(others, 0.99), "s")
    add("tasks completed", observed.completed_tasks / duration_s, "1/s")
    submitted = max(1, observed.total("submitted"))
    for field in ("on_time", "failed", "expired"):
        add(f"jobs {field.replace('_', ' ')}", 100 * observed.total(field) / submitted, "%")
    refused = sum(sum(t.refused.values()) for t in observed.by_class.values())
    add("jobs refused", 100 * refused / submitted, "%")
    add("tasks preempted", observed.total("preempted"), "")
    overused_percent = 100 * observed.overuse_us / max(1, observed.busy_us)
    add("run time on overused machines", overused_percent, "%")
    if "fail" in case:
        add("starts on failing upstreams", observed.starts_on_failing, "")
    return figures + violation_figures("declarations", case, policy, observed)


def _mass_cancel(policy: str, seed: int, queued: int) -> list[Figure]:
    """Measures cancelling 90% of the admitted jobs at once, five seconds after their submission."""
    shape = SHAPES["hsinchu"]
    duration_s = 60
    driver = new_driver(RunSpec("hsinchu", policy, seed, 0, duration_s, 0))
    sim_jobs = []
    for sim_job in steady(shape, seed, 10**15, load=20.0):
        if sim_job.lifetime_us:
            continue
        sim_job.arrival_us = 0
        # With deadlines, admission would refuse jobs that cannot start in time.
        sim_job.job = msgspec.structs.replace(sim_job.job, deadline=None)
        sim_jobs.append(sim_job)
        if len(sim_jobs) == queued:
            break
    driver.set_arrivals(sim_jobs)
    driver.advance(5 * SECOND_US)
    admitted = list(driver.sim_job_by_id)
    to_cancel = random.Random(seed).sample(admitted, len(admitted) * 9 // 10)
    cancel_ns = []
    for job_id in to_cancel:
        start_ns = time.thread_time_ns()
        driver.cancel(job_id)
        cancel_ns.append(float(time.thread_time_ns() - start_ns))
    start_ns = time.thread_time_ns()
    driver.decide()
    decide_ms = (time.thread_time_ns() - start_ns) / 1e6
    driver.advance(duration_s * SECOND_US)
    observed = driver.observe()
    case = f"hsinchu, 90% of {queued} queued cancelled"
    figures: list[Figure] = []

    def add(name: str, value: float, unit: str) -> None:
        figures.append(Figure("declarations", case, name, value, unit, policy))

    add("cancel p50", percentile(cancel_ns, 0.5) / 1000, "us")
    add("cancel p99", percentile(cancel_ns, 0.99) / 1000, "us")
    add("cancel max", max(cancel_ns) / 1000, "us")
    add("first decide after the cancels", decide_ms, "ms")
    add("jobs admitted", len(admitted), "")
    all_waits = observed.waits()
    add("wait of the others, median", percentile(all_waits, 0.5), "s")
    add("wait of the others, p99", percentile(all_waits, 0.99), "s")
    add("tasks completed", observed.completed_tasks / duration_s, "1/s")
    add("jobs completed", observed.total("completed"), "")
    return figures + violation_figures("declarations", case, policy, observed)
