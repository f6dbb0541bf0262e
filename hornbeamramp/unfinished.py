"""Check of a day's logs: accepted jobs, tasks and callers' requests whose end is missing.

One pass over the lines of all VMs. Memory grows with the number of jobs and of runs that ended,
not with the number of lines.
"""

import gzip
import heapq
import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path

import msgspec
from rich.console import Console

__all__ = [
    "DayCheck",
    "JobFinding",
    "TaskGap",
    "UnfinishedReport",
    "print_unfinished",
    "read_unfinished",
]

# A task that is not running for longer than this after the end of its run is listed.
MIN_GAP = timedelta(seconds=3)
# An ended job may be asked for at least this long after its end.
MIN_RETENTION = timedelta(seconds=30)
# Most tasks of a kind, errors, and requests that are printed; the others are counted.
MAX_PRINTED = 100
# Longest text of a line that is kept for a job.
MAX_KEPT_CHARACTERS = 200

# Time and name of the VM, as some log collectors write them before each line.
PREFIX = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+$")
JOB_ID = re.compile(r"(?<![0-9a-zA-Z])[0-9a-fA-F]{16}(?![0-9a-zA-Z])")
# Lines without a job id that the check needs.
OTHER_LINES = re.compile(
    r" is unreachable|took ownership|dropped_lines|request_unanswered"
    r'|"part": "serve"|"level": "(?:ERROR|CRITICAL)"'
)
PLACED = re.compile(r"^(\S+) run \[([\d, ]*)\] placed on \[")
RUN_ENDED = re.compile(r"^(\S+) run (\d+) on (\S+) ended (\w+) at ")
NOT_CONFIRMED = re.compile(r"^start of (\S+) run (\d+) on (\S+) not confirmed")
WAITS = re.compile(r"^(\S+) waits for (\w+) since (\S+):")
ADVICE = re.compile(r"^(\S+): advice (?:service granted (\d+) of|request failed)")
UNREACHABLE = re.compile(r"^worker (\S+) is unreachable")
TAKEN = re.compile(r"^(\S+): took ownership with fencing token")
CANCEL_NOT_ANSWERED = re.compile(r"^caller request DELETE ")

# Results of jobs in whose queue tasks come to an end by themselves.
FINITE_RESULTS = frozenset({"on_time", "late", "too_late", "completed", "failed"})
# Ends that the owner concludes from a worker's silence or restart, some time after the run's end.
INFERRED_OUTCOMES = frozenset({"lapsed", "lost"})


class Line(msgspec.Struct, kw_only=True):
    """Fields of the log lines that the check reads. ``at`` is in seconds, see `_Reader`."""

    time: datetime | None = None
    vm: str = ""
    level: str = ""
    part: str = ""
    message: str = ""
    event: str = ""
    job: str = ""
    queue: str = ""
    pool: str = ""
    result: str = ""
    method: str = ""
    task: str = ""
    run: int = 0
    long_running: int | None = None
    unconfirmed_ms: int = 0
    open_jobs: str = ""
    runs: dict[str, int] = {}
    waits: dict[str, int] = {}
    dropped_lines: int = 0
    at: float = 0.0


class JobFinding(msgspec.Struct):
    """What the logs tell of a job. Times in seconds.

    `vm`
        The owner that wrote the line about its acceptance.
    `waits`
        The latest line on what a step waits for, with its time.
    `long_running`
        Number of tasks that don't end by themselves, ``None`` in logs of an earlier build.
    """

    job: str
    at: float
    vm: str = ""
    queue: str = ""
    pool: str = ""
    long_running: int | None = None
    result: str = ""
    ended_at: float = 0.0
    is_cancel_requested: bool = False
    is_placed: bool = False
    waits: str = ""
    last_line: str = ""
    reason: str = ""


class TaskGap(msgspec.Struct):
    """Time in which a task was not running after the end of a run. Times in seconds.

    `known_until`
        When the run was last known to be running: before `ended_at` for an end that was concluded
        from the worker's silence.
    `started_at`
        When the next run began, ``None`` if it didn't.
    `waited`
        What the owner's lines name meanwhile, in order, each reason once.
    """

    task: str
    run: int
    how: str
    vm: str
    worker: str
    known_until: float
    ended_at: float
    queue: str = ""
    is_long_running: bool = False
    started_at: float | None = None
    next_event: str = ""
    waited: list[str] = []
    waits_before: dict[str, int] = {}

    def add(self, reason: str) -> None:
        if reason not in self.waited:
            self.waited.append(reason)

    def length_s(self, end: float) -> float:
        """Returns its length in seconds; ``end`` is the end of the logs."""
        return (end if self.started_at is None else self.started_at) - self.known_until


class UnfinishedReport(msgspec.Struct):
    """Findings of the check, and the notes that limit them.

    `origin`
        The moment from which the times are counted.
    """

    origin: datetime | None
    end: float
    accepted: int
    open_jobs: list[JobFinding]
    left_out: list[JobFinding]
    unasked_cancellations: list[JobFinding]
    unknown: list[JobFinding]
    gaps: list[TaskGap]
    unanswered: list[str]
    killed: list[str]
    errors: list[str]
    notes: list[str]


class _Reader:
    """Reads the lines of one file that the check needs, with their times.

    Times are seconds since the origin: of the collector's clock if it writes a prefix, otherwise of
    the VM's clock since the first line that is read.
    """

    def __init__(self) -> None:
        self.origin: datetime | None = None
        self._decoder = msgspec.json.Decoder(Line)

    def lines(self, file: Path) -> Iterator[Line]:
        """Yields the lines. Raises ``OSError`` if the file can't be read."""
        opener = gzip.open if file.suffix == ".gz" else open
        with opener(file, "rt", encoding="utf-8", errors="replace") as texts:
            for text in texts:
                start = text.find("{")
                if start < 0 or not (JOB_ID.search(text, start) or OTHER_LINES.search(text, start)):
                    continue
                try:
                    line = self._decoder.decode(text[start:])
                except msgspec.MsgspecError:
                    # Not a log line of this program.
                    continue
                prefix = PREFIX.match(text[:start])
                if prefix is not None:
                    line.at, line.vm = float(prefix[1]), line.vm or prefix[2]
                    if self.origin is None and line.time is not None:
                        self.origin = line.time - timedelta(seconds=line.at)
                elif line.time is not None:
                    if self.origin is None:
                        self.origin = line.time
                    line.at = (line.time - self.origin).total_seconds()
                elif not line.dropped_lines:
                    continue
                yield line


class DayCheck:
    """Follows jobs, tasks and VMs through the lines of a day."""

    def __init__(self) -> None:
        self._job_by_id: dict[str, JobFinding] = {}
        self._gaps_by_step: dict[str, dict[str, TaskGap]] = defaultdict(dict)
        self._closed_by_task: dict[str, TaskGap] = {}
        self._long_gaps: list[TaskGap] = []
        self._unreachable_at: dict[str, float] = {}
        self._cancel_requests: set[str] = set()
        self._owner_by_pool: dict[str, str] = {}
        self._pool_by_queue: dict[str, str] = {}
        self._left_out: dict[str, JobFinding] = {}
        self._unknown: list[JobFinding] = []
        self._unanswered: list[str] = []
        self._errors: list[str] = []
        self._killed: list[str] = []
        self._state_by_vm: dict[str, tuple[float, str]] = {}
        self._dropped_lines = 0
        self._end = 0.0

    def add(self, line: Line) -> None:
        """Takes the next line, in order of time."""
        self._end = max(self._end, line.at)
        self._dropped_lines += line.dropped_lines
        if line.level in ("ERROR", "CRITICAL"):
            self._errors.append(_text(line))
        # An acceptance creates the job that later lines belong to.
        if line.event == "job_accepted":
            self._on_accepted(line)
        for job_id in set(JOB_ID.findall(line.message)):
            job = self._job_by_id.get(job_id)
            if job is not None:
                job.last_line = _text(line)
        match line.event:
            case "job_accepted":
                pass
            case "job_ended":
                if not self._is_stale(line, line.job):
                    self._on_job_ended(line)
            case "job_cancel_requested":
                self._cancel_requests.add(line.job)
            case "job_unknown":
                self._on_unknown(line)
            case "request_unanswered":
                self._unanswered.append(_text(line))
            case "run_running":
                if not self._is_stale(line, line.task.partition(".")[0]):
                    self._on_running(line)
            case _:
                self._on_message(line)

    def _is_stale(self, line: Line, job_id: str) -> bool:
        """Returns whether a line is of a former owner that has not noticed the takeover: what it
        believes of its runs doesn't count."""
        job = self._job_by_id.get(job_id)
        owner = None if job is None else self._owner_by_pool.get(job.pool)
        return owner is not None and owner != line.vm

    def _on_message(self, line: Line) -> None:
        message = line.message
        if JOB_ID.match(message) or message.startswith("start of "):
            job_id = message.removeprefix("start of ")[:16]
            if not self._is_stale(line, job_id):
                self._on_task_message(line)
        elif found := UNREACHABLE.match(message):
            self._unreachable_at[found[1]] = line.at
        elif found := TAKEN.match(message):
            self._on_taken(line, line.pool or found[1])
        elif CANCEL_NOT_ANSWERED.match(message):
            self._cancel_requests.update(JOB_ID.findall(message))
        elif line.part == "serve":
            self._on_vm_state(line)

    def _on_task_message(self, line: Line) -> None:
        message = line.message
        if found := PLACED.match(message):
            self._on_placed(line, found[1], found[2])
        elif found := RUN_ENDED.match(message):
            self._on_run_ended(line, found[1], int(found[2]), found[3], found[4])
        elif found := NOT_CONFIRMED.match(message):
            self._on_not_confirmed(found[1])
        elif found := WAITS.match(message):
            self._on_waits(line, found[1], found[2])
        elif found := ADVICE.match(message):
            answer = "advice failed" if found[2] is None else "advice"
            for gap in self._gaps_by_step.get(found[1], {}).values():
                gap.add(answer)

    # Jobs

    def _on_accepted(self, line: Line) -> None:
        pool = line.pool
        if not pool:
            owned = [name for name, vm in self._owner_by_pool.items() if vm == line.vm]
            if len(owned) == 1:
                self._pool_by_queue[line.queue] = owned[0]
            pool = self._pool_by_queue.get(line.queue, "")
        known = self._job_by_id.get(line.job)
        if known is None:
            self._job_by_id[line.job] = JobFinding(
                line.job, line.at, line.vm, line.queue, pool, long_running=line.long_running
            )
        elif not known.queue:
            # A successor had recovered it before the former owner logged it.
            known.queue, known.long_running = line.queue, line.long_running

    def _on_job_ended(self, line: Line) -> None:
        job = self._job_by_id.setdefault(
            line.job, JobFinding(line.job, line.at, line.vm, line.queue)
        )
        job.result, job.ended_at = line.result, line.at
        for step in [key for key in self._gaps_by_step if key.startswith(f"{line.job}.")]:
            for gap in self._gaps_by_step.pop(step).values():
                self._close(gap, line.at, f"job {line.result}")

    def _on_unknown(self, line: Line) -> None:
        job = self._job_by_id.get(line.job)
        if job is None or (job.result and line.at - job.ended_at > MIN_RETENTION.total_seconds()):
            return
        if not (line.job in self._cancel_requests and job.result in ("", "cancelled")):
            self._unknown.append(msgspec.structs.replace(job, reason=_text(line)))

    def _on_taken(self, line: Line, pool: str) -> None:
        self._owner_by_pool[pool] = line.vm
        if line.event != "pool_taken":
            return
        recovered = set(line.open_jobs.split())
        for job_id in recovered:
            # The former owner may have logged an end that was not recorded.
            job = self._job_by_id.setdefault(job_id, JobFinding(job_id, line.at, line.vm))
            job.result, job.pool = "", pool
            self._left_out.pop(job_id, None)
        for job in self._job_by_id.values():
            if job.pool == pool and not job.result and job.job not in recovered:
                self._left_out[job.job] = msgspec.structs.replace(job, reason=_text(line))

    # Tasks

    def _on_run_ended(self, line: Line, task: str, run: int, worker: str, outcome: str) -> None:
        step = task.rpartition(".")[0]
        job = self._job_by_id.get(task.partition(".")[0])
        if job is not None and job.result:
            return
        gap = self._gaps_by_step[step].get(task)
        if gap is not None:
            # The run has not been confirmed, so the task has been away since the end before.
            gap.add(f"run {run} {outcome} at {line.at:.1f}")
            return
        known_until = line.at - line.unconfirmed_ms / 1000
        if not line.unconfirmed_ms and outcome in INFERRED_OUTCOMES:
            known_until = min(self._unreachable_at.get(worker, line.at), line.at)
        self._gaps_by_step[step][task] = TaskGap(
            task,
            run,
            outcome,
            line.vm,
            worker,
            known_until,
            line.at,
            queue=job.queue if job is not None else "",
            is_long_running=bool(line.long_running),
            waits_before=line.waits,
        )

    def _on_placed(self, line: Line, step: str, runs: str) -> None:
        job = self._job_by_id.get(step.partition(".")[0])
        if job is not None:
            if not job.is_placed and line.at - job.at > MIN_GAP.total_seconds():
                gap = TaskGap(job.job, 0, "accepted", job.vm, "", job.at, job.at, queue=job.queue)
                gap.is_long_running = bool(job.long_running)
                if job.waits:
                    gap.add(job.waits)
                self._close(gap, line.at, f"first placed by {line.vm}")
            job.is_placed, job.waits = True, ""
        gaps = self._gaps_by_step.get(step)
        if not gaps:
            return
        # Lines of an earlier build name the runs, not the tasks. There it is the task whose last
        # run is the nearest before.
        run_by_task = dict(line.runs)
        for run in [] if line.runs else map(int, filter(None, runs.split(", "))):
            before = [task for task in gaps if gaps[task].run < run and task not in run_by_task]
            if before:
                run_by_task[max(before, key=lambda task: gaps[task].run)] = run
        for task, run in run_by_task.items():
            gap = gaps.get(task)
            if gap is None:
                continue
            if gap.is_long_running:
                gap.add(f"placed after {line.at - gap.ended_at:.1f} s")
                continue
            del gaps[task]
            self._close(gap, line.at, f"run {run} placed by {line.vm}")

    def _on_running(self, line: Line) -> None:
        gap = self._gaps_by_step.get(line.task.rpartition(".")[0], {}).pop(line.task, None)
        if gap is None:
            return
        for reason, total_ms in line.waits.items():
            waited_ms = total_ms - gap.waits_before.get(reason, 0)
            if waited_ms > 0:
                gap.add(f"{reason} {waited_ms} ms")
        self._close(gap, line.at, f"run {line.run} running, owner {line.vm}")

    def _on_not_confirmed(self, task: str) -> None:
        job = self._job_by_id.get(task.partition(".")[0])
        gap = self._closed_by_task.pop(task, None)
        if gap is None or (job is not None and job.result):
            return
        if gap in self._long_gaps:
            self._long_gaps.remove(gap)
        gap.started_at = None
        gap.add("start not confirmed")
        self._gaps_by_step[task.rpartition(".")[0]].setdefault(task, gap)

    def _on_waits(self, line: Line, step: str, reason: str) -> None:
        for gap in self._gaps_by_step.get(step, {}).values():
            gap.add(reason)
        job = self._job_by_id.get(step.partition(".")[0])
        if job is not None:
            job.waits = f"{reason} (at {line.at:.1f})"

    def _close(self, gap: TaskGap, at: float, event: str) -> None:
        gap.started_at, gap.next_event = at, event
        self._closed_by_task[gap.task] = gap
        if gap.length_s(at) > MIN_GAP.total_seconds():
            self._long_gaps.append(gap)

    # VMs

    def _on_vm_state(self, line: Line) -> None:
        word = line.message.partition(" ")[0]
        if word not in ("started", "stopping", "stopped"):
            return
        before = self._state_by_vm.get(line.vm)
        if word == "started" and before is not None and before[1] != "stopped":
            text = f"{line.vm}: {before[1]} at {before[0]:.3f}, started again at {line.at:.3f}"
            self._killed.append(text)
        self._state_by_vm[line.vm] = (line.at, word)

    # Result

    def report(self, origin: datetime | None = None) -> UnfinishedReport:
        """Returns the findings up to the last line."""
        for vm, (at, state) in self._state_by_vm.items():
            if state == "stopping":
                self._killed.append(f"{vm}: stopping at {at:.3f}, no line tells that it stopped")
        jobs = list(self._job_by_id.values())
        for job in jobs:
            job.is_cancel_requested = job.job in self._cancel_requests
        finite_queues = {job.queue for job in jobs if job.result in FINITE_RESULTS}
        min_gap_s = MIN_GAP.total_seconds()
        gaps = list(self._long_gaps)
        for open_gaps in self._gaps_by_step.values():
            gaps += [gap for gap in open_gaps.values() if gap.length_s(self._end) > min_gap_s]
        has_field = any(job.long_running is not None for job in jobs)
        for gap in gaps:
            if not has_field:
                gap.is_long_running = bool(gap.queue) and gap.queue not in finite_queues
        # How long other jobs wait for their first start is what the report on the day tells.
        gaps = [gap for gap in gaps if gap.is_long_running or gap.run]
        away = {gap.task.partition(".")[0] for gap in gaps if gap.started_at is None}
        open_jobs = []
        for job in jobs:
            if job.result:
                continue
            lasts = bool(job.long_running) if has_field else job.queue not in finite_queues
            if lasts and job.is_placed and job.job not in away:
                # Its tasks run until it is cancelled.
                continue
            job.reason = "long-running" if lasts else ""
            open_jobs.append(job)
        notes = []
        unasked = []
        if has_field:
            unasked = [j for j in jobs if j.result == "cancelled" and not j.is_cancel_requested]
        else:
            notes.append(
                "written by an earlier build: requests to cancel, answers 410 and recovered jobs"
                " are not in these logs; long-running jobs are those of queues in which none"
                " completed or failed; a worker's silence begins up to 2.6 s after its last answer"
            )
        if self._dropped_lines:
            notes.append(f"{self._dropped_lines} lines were dropped by the VMs")
        return UnfinishedReport(
            origin,
            self._end,
            len(jobs),
            sorted(open_jobs, key=lambda job: job.at),
            list(self._left_out.values()),
            unasked,
            self._unknown,
            sorted(gaps, key=lambda gap: (not gap.is_long_running, -gap.length_s(self._end))),
            self._unanswered,
            self._killed,
            self._errors,
            notes,
        )


def _text(line: Line) -> str:
    return f"{line.at:.3f} {line.vm} {line.part}: {line.message}"[:MAX_KEPT_CHARACTERS]


def read_unfinished(files: Iterable[Path]) -> UnfinishedReport:
    """Checks the logs of a day, also compressed ones (``.gz``).

    Raises ``OSError`` if a file can't be read.
    """
    reader = _Reader()
    check = DayCheck()
    for line in heapq.merge(*map(reader.lines, files), key=lambda line: line.at):
        check.add(line)
    return check.report(reader.origin)


def print_unfinished(report: UnfinishedReport, console: Console) -> None:
    """Prints the findings as lines of text, with times in seconds."""

    def write(text: str) -> None:
        console.print(text, markup=False, highlight=False, soft_wrap=True)

    def section(title: str, lines: list[str], limit: int | None = None) -> None:
        write(f"{title}: {len(lines)}")
        for text in lines[:limit]:
            write(f"  {text}")
        if limit is not None and len(lines) > limit:
            write(f"  and {len(lines) - limit} more")

    write(f"{report.accepted} jobs; times in seconds since {report.origin}, last {report.end:.3f}")
    for note in report.notes:
        write(f"note: {note}")
    section("Accepted jobs without an end", [_job_text(job) for job in report.open_jobs])
    section("Jobs that a new owner did not recover", [_job_text(job) for job in report.left_out])
    section(
        "Jobs cancelled without a request", [_job_text(job) for job in report.unasked_cancellations]
    )
    section("Accepted jobs answered as unknown", [_job_text(job) for job in report.unknown])
    lasting = [_gap_text(gap, report.end) for gap in report.gaps if gap.is_long_running]
    others = [_gap_text(gap, report.end) for gap in report.gaps if not gap.is_long_running]
    away = f"not running for over {MIN_GAP.total_seconds():.0f} s"
    section(f"Long-running tasks {away}", lasting)
    section(f"Other tasks {away}", others, MAX_PRINTED)
    section("Requests without an answer", report.unanswered, MAX_PRINTED)
    section("VMs that ended without a complete shutdown", report.killed)
    section("Errors", report.errors, MAX_PRINTED)


def _job_text(job: JobFinding) -> str:
    parts = [f"{job.job} queue {job.queue or '-'} accepted at {job.at:.3f} by {job.vm}"]
    if job.reason:
        parts.append(job.reason)
    if job.result:
        parts.append(f"{job.result} at {job.ended_at:.3f}")
    if not job.is_placed:
        parts.append("never placed")
    if job.waits:
        parts.append(f"waits for {job.waits}")
    return "; ".join([*parts, f"last line: {job.last_line}"])


def _gap_text(gap: TaskGap, end: float) -> str:
    following = "no start until the end of the logs"
    if gap.started_at is not None:
        following = f"{gap.next_event} at {gap.started_at:.3f}"
    lapse = gap.ended_at - gap.known_until
    silent = f", worker silent for {lapse:.1f} s before" if lapse > 0 else ""
    return (
        f"{gap.task} queue {gap.queue or '-'} away for {gap.length_s(end):.1f} s: run {gap.run}"
        f" {gap.how} at {gap.ended_at:.3f} on {gap.worker or '-'} by {gap.vm}{silent}; {following};"
        f" meanwhile: {', '.join(gap.waited) or 'nothing logged'}"
    )
