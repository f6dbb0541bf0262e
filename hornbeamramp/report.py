"""Report on a day from the logs of the VMs: which jobs were late, and why.

The pool owners write one line for each accepted and each ended job, and one each second for the
state of their pool; entry VMs write one for each refusal. Lines of other programs are ignored.
"""

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

__all__ = ["DayReport", "LossRow", "PoolState", "print_report", "read_day", "write_plot"]

# Share of a job's worth that is lost by its result. A late result is worth a fifth.
LOST_SHARE = {"late": 0.8, "too_late": 1.0, "failed": 1.0, "unfinished": 1.0, "refused": 1.0}
# Worth of a job: a fixed part, and one in proportion to its work against the mean of its queue.
FIXED_WORTH = 0.3
MAX_WORTH = 4.0
# Shares of the jobs of a queue, by work, that are reported as one size: the largest tenth, the next
# largest fifth, and the others.
SIZES = (("small", 0.7), ("large", 0.9), ("largest", 1.0))
WINDOW = timedelta(seconds=2)

# Tables of a report: title, fields of the jobs, and number of rows.
TABLES: tuple[tuple[str, tuple[str, ...], int], ...] = (
    ("By queue and size", ("queue", "size"), 30),
    ("By queue and cause", ("queue", "result", "cause"), 30),
    ("By data centre", ("data_centre",), 10),
    ("By time of acceptance, the worst windows", ("window",), 8),
)

REFUSAL = re.compile(r"^([0-9a-f]{16}) refused: (.*)$")


class Job(msgspec.Struct):
    """What the logs tell of one job; times are those of the VM that wrote the line."""

    job: str
    accepted_at: datetime
    queue: str = ""
    data_centre: str = ""
    work: float = 0.0
    width: int = 0
    result: str = "unfinished"
    cause: str = ""
    waits: dict[str, int] = {}
    lost_work: dict[str, float] = {}
    size: str = ""
    worth: float = 1.0


class PoolState(msgspec.Struct, frozen=True):
    """State of a pool at one moment: cores by queue, free and in all, and waiting tasks."""

    at: datetime
    pool: str
    cores: float
    free: float
    used: dict[str, float]
    waiting: dict[str, int]
    lag_ms: int
    cpu_s: float


class LossRow(msgspec.Struct, frozen=True):
    """Jobs of one kind that earned less than their worth, which is 1 for the mean of a queue."""

    key: str
    jobs: int
    lost_jobs: int
    owed: float
    lost: float


class DayReport(msgspec.Struct):
    """A day: its jobs, the states of the pools, and refusals by reason.

    `free_by_refusal`
        For each reason of a refusal, the shares of the cores that were free at those moments.
    """

    jobs: list[Job]
    states: list[PoolState]
    free_by_refusal: dict[str, list[float]]
    lost_work: Counter[str]

    def losses(self, *fields: str) -> list[LossRow]:
        """Returns a table of what was lost by these fields of the jobs, the greatest loss first.

        Besides a job's fields, ``window`` is the time of its acceptance in steps of 2 s.
        """
        first = min((job.accepted_at for job in self.jobs), default=None)
        rows: dict[str, list[float]] = defaultdict(lambda: [0, 0, 0.0, 0.0])
        for job in self.jobs:
            values = [
                _window(job, first) if field == "window" else str(getattr(job, field))
                for field in fields
            ]
            row = rows[" ".join(value or "-" for value in values)]
            lost = LOST_SHARE.get(job.result, 0.0) * job.worth
            row[0] += 1
            row[1] += bool(lost)
            row[2] += job.worth
            row[3] += lost
        table = [LossRow(key, int(row[0]), int(row[1]), *row[2:]) for key, row in rows.items()]
        return sorted(table, key=lambda row: (-row.lost, row.key))


def _window(job: Job, first: datetime | None) -> str:
    elapsed = timedelta(0) if first is None else job.accepted_at - first
    return f"{elapsed // WINDOW * WINDOW.total_seconds():.0f} s"


def read_day(files: Iterable[Path]) -> DayReport:
    """Reads the logs of a day. Raises ``OSError`` if a file can't be read."""
    job_by_id: dict[str, Job] = {}
    states: list[PoolState] = []
    refusals: dict[str, tuple[datetime, str]] = {}
    for at, line in sorted(_lines(files), key=lambda entry: entry[0]):
        match line.get("event"):
            case "job_accepted":
                job_by_id.setdefault(line["job"], _job(at, line))
            case "job_ended":
                job = job_by_id.setdefault(line["job"], _job(at, line))
                job.result, job.waits = line["result"], line["waits"]
                job.lost_work = line["lost_work"]
            case "pool":
                states.append(msgspec.convert({**line, "at": at}, PoolState))
            case None:
                refusal = REFUSAL.match(str(line.get("message", "")))
                if refusal is not None:
                    refusals[refusal[1]] = (at, refusal[2])
    report = DayReport(list(job_by_id.values()), states, defaultdict(list), Counter())
    for job_id, (at, reason) in refusals.items():
        report.free_by_refusal[reason].append(_free_share(states, at))
        if job_id not in job_by_id:
            report.jobs.append(Job(job_id, at, result="refused", cause=reason))
    for job in report.jobs:
        report.lost_work.update(job.lost_work)
        job.cause = job.cause or _cause(job)
    _set_sizes(report.jobs)
    return report


def _lines(files: Iterable[Path]) -> Iterator[tuple[datetime, dict[str, Any]]]:
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            for text in lines:
                start = text.find("{")
                if start < 0 or ('"event"' not in text and " refused: " not in text):
                    continue
                try:
                    line = json.loads(text[start:])
                    yield datetime.fromisoformat(line["time"]), line
                except (ValueError, KeyError, TypeError):
                    # Not a log line of this program.
                    continue


def _job(at: datetime, line: dict[str, Any]) -> Job:
    return Job(
        line["job"], at, line["queue"], line["data_centre"], float(line["work"]), line["width"]
    )


def _cause(job: Job) -> str:
    """Returns what a job spent most of its time waiting for, or that it lost work."""
    if job.result not in LOST_SHARE:
        return ""
    if job.waits:
        return max(job.waits, key=lambda reason: job.waits[reason])
    return "lost work" if job.lost_work else "no wait recorded"


def _free_share(states: list[PoolState], at: datetime) -> float:
    """Returns the share of the cores of all pools that was free at a moment."""
    latest = {state.pool: state for state in states if state.at <= at}
    cores = sum(state.cores for state in latest.values())
    return sum(state.free for state in latest.values()) / cores if cores else 0.0


def _set_sizes(jobs: list[Job]) -> None:
    """Sets the size of each job within its queue, and its worth."""
    jobs_by_queue: dict[str, list[Job]] = defaultdict(list)
    for job in jobs:
        jobs_by_queue[job.queue].append(job)
    for queue_jobs in jobs_by_queue.values():
        mean = sum(job.work for job in queue_jobs) / len(queue_jobs)
        for rank, job in enumerate(sorted(queue_jobs, key=lambda job: job.work)):
            share = rank / len(queue_jobs)
            job.size = next(name for name, limit in SIZES if share < limit)
            relative = job.work / mean if mean else 1.0
            job.worth = min(FIXED_WORTH + (1 - FIXED_WORTH) * relative, MAX_WORTH)


def print_report(report: DayReport, console: Console) -> None:
    """Prints tables of the losses, of refusals, and of work that was thrown away."""
    for title, fields, limit in TABLES:
        table = Table("", "jobs", "lost", "owed", "worth lost", title=title)
        for row in report.losses(*fields)[:limit]:
            cells = (row.jobs, row.lost_jobs, f"{row.owed:.1f}", f"{row.lost:.1f}")
            table.add_row(row.key, *map(str, cells))
        console.print(table)
    refusals = Table("reason", "jobs", "cores free then, mean", title="Refusals")
    for reason, shares in report.free_by_refusal.items():
        refusals.add_row(reason, str(len(shares)), f"{sum(shares) / len(shares):.0%}")
    console.print(refusals)
    lost = Table("runs that ended", "core-seconds", title="Work thrown away")
    for outcome, work in report.lost_work.most_common():
        lost.add_row(outcome, f"{work:.0f}")
    console.print(lost)


def write_plot(report: DayReport, file: Path) -> None:
    """Writes a picture of the day: cores in use by queue, waiting tasks by reason, lost worth, and
    the owners' processor time and event loop delay. Raises ``OSError``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    first = min((state.at for state in report.states), default=datetime.min)
    figure, (used, waiting, lost, owner) = pyplot.subplots(4, 1, figsize=(10, 12), sharex=True)
    for name, axes, label in (("used", used, "cores in use"), ("waiting", waiting, "tasks wait")):
        keys = sorted({key for state in report.states for key in getattr(state, name)})
        rows = Counter(
            {
                (int((state.at - first).total_seconds()), key): value
                for state in report.states
                for key, value in getattr(state, name).items()
            }
        )
        times = sorted({int((state.at - first).total_seconds()) for state in report.states})
        if keys and times:
            axes.stackplot(times, [[rows[t, key] for t in times] for key in keys], labels=keys)
            axes.legend(loc="upper right", fontsize="small")
        axes.set_ylabel(label)
    lost_jobs = [job for job in report.jobs if job.result in LOST_SHARE]
    lost_at = [(job.accepted_at - first).total_seconds() for job in lost_jobs]
    worths = [LOST_SHARE[job.result] * job.worth for job in lost_jobs]
    lost.hist(lost_at, bins=range(0, 121, int(WINDOW.total_seconds())), weights=worths)
    lost.set_ylabel("lost worth, by acceptance")
    for pool in sorted({state.pool for state in report.states}):
        states = [state for state in report.states if state.pool == pool]
        times_s = [(state.at - first).total_seconds() for state in states]
        owner.plot(times_s, [state.cpu_s for state in states], label=f"{pool}: processor")
        owner.plot(times_s, [state.lag_ms / 1000 for state in states], "--", label=f"{pool}: lag")
    if report.states:
        owner.legend(loc="upper right", fontsize="small")
    owner.set_ylabel("s")
    owner.set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)
