"""Check of a day's logs: runs of a task that were given up and may have run beside a later run.

One pass over the lines of all VMs. Memory grows with the number of runs that were given up, up to
a limit, not with the number of lines.
"""

import gzip
import heapq
import re
import zlib
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console

from hornbeamramp.unfinished import INFERRED_OUTCOMES, MAX_PRINTED, PLACED, PREFIX, RUN_ENDED

__all__ = [
    "GivenUpRun",
    "LaterRun",
    "Overlap",
    "OverlapCheck",
    "OverlapReport",
    "ProofCount",
    "print_overlaps",
    "read_overlaps",
]

# Most tasks that are kept: 69 MiB for tasks with a run given up and a later run, 1.4 KB each.
MAX_TASKS = 50_000
# Longest text of a field that is kept.
MAX_FIELD_CHARACTERS = 200
# Most different proofs that are counted by themselves; the program writes four.
MAX_PROOFS = 20
# Longest number that is read, in digits: enough for Unix milliseconds.
MAX_DIGITS = 18

# Lines that the check needs, and the events whose lines name one run of a task.
LINES = re.compile(
    r"run_given_up|run_orphaned|orphan_ended|placed_again|run_ended|dropped_lines"
    r"|stopping orphaned run| placed on \["
)
EVENTS = frozenset({"run_given_up", "run_orphaned", "orphan_ended"})
WORKERS = re.compile(r"'([^']*)'")

# Shown for a proof or worker that the lines do not name.
UNKNOWN = "unknown"
OTHER = "other"


class Line(msgspec.Struct, kw_only=True):
    """Fields of the log lines that the check reads, of any type. ``at`` is in seconds."""

    time: Any = None
    vm: Any = None
    message: Any = None
    event: Any = None
    task: Any = None
    run: Any = None
    runs: Any = None
    worker: Any = None
    outcome: Any = None
    proof: Any = None
    proof_age_ms: Any = None
    phase: Any = None
    ordered_boot: Any = None
    answered_boot: Any = None
    boot: Any = None
    dropped_lines: Any = None
    at: float = 0.0


class GivenUpRun(msgspec.Struct):
    """A run that an owner gave up. Times in seconds, boots in Unix ms, ``None`` if not logged.

    `proof_age_ms`
        Time since the call that gave the proof was sent, or since the lease was over.
    `seen_at`
        When a worker was first found to have the run after that, on `seen_boot`.
    `ended_at`
        When a worker listed its end after that.
    """

    task: str
    run: int
    worker: str
    vm: str
    at: float
    outcome: str
    proof: str
    phase: str
    proof_age_ms: int | None = None
    ordered_boot: int | None = None
    answered_boot: int | None = None
    seen_at: float | None = None
    seen_on: str = ""
    seen_boot: int | None = None
    ended_at: float | None = None
    end_outcome: str = ""

    @property
    def is_seen(self) -> bool:
        """Returns whether a worker listed the run or its end after it was given up."""
        return self.seen_at is not None or self.ended_at is not None


class LaterRun(msgspec.Struct):
    """A later run of the same task. Times in seconds, ``ended_at`` is ``None`` if not logged."""

    run: int
    vm: str
    worker: str
    placed_at: float
    ended_at: float | None = None


class Overlap(msgspec.Struct, frozen=True):
    """Two runs of a task that may have run at the same time.

    `at_most_s`
        Longest time in seconds for which both can have run, up to the end of the logs if neither
        has an end in them.
    """

    first: GivenUpRun
    later: LaterRun
    at_most_s: float

    @property
    def has_end(self) -> bool:
        return self.first.ended_at is not None or self.later.ended_at is not None


class ProofCount(msgspec.Struct):
    """Runs that were given up for one proof, those seen again, and those that may have overlapped.

    ``given_up`` counts lines: two owners may give up the same run.
    """

    given_up: int = 0
    seen: int = 0
    overlapped: int = 0


class OverlapReport(msgspec.Struct):
    """Findings of the check, and the notes that limit them.

    `origin`
        The moment from which the times are counted.
    """

    origin: datetime | None
    end: float
    overlaps: list[Overlap]
    count_by_proof: dict[str, ProofCount]
    notes: list[str]


class _TaskRuns(msgspec.Struct):
    """Runs of a task of which at least one was given up, by run number."""

    given_up_by_run: dict[int, GivenUpRun] = {}
    later_by_run: dict[int, LaterRun] = {}

    @property
    def is_seen(self) -> bool:
        return any(run.is_seen for run in self.given_up_by_run.values())


class _Reader:
    """Reads the lines of files that the check needs, with their times.

    Times are seconds since the origin: of the collector's clock if it writes a prefix, otherwise of
    the VM's clock since the first line that is read.
    """

    def __init__(self) -> None:
        self.origin: datetime | None = None
        self.unreadable = 0
        self.without_time = 0
        self.cut_files: list[str] = []
        self._decoder = msgspec.json.Decoder(Line)

    def lines(self, file: Path) -> Iterator[Line]:
        """Yields the lines. Raises ``OSError`` if the file can't be read."""
        opener = gzip.open if file.suffix == ".gz" else open
        with opener(file, "rt", encoding="utf-8", errors="replace") as texts:
            try:
                for text in texts:
                    if LINES.search(text):
                        line = self._line(text, file)
                        if line is not None:
                            yield line
            except (EOFError, zlib.error):
                # The log of a process that was killed while it compressed it.
                self.cut_files.append(file.name)

    def _line(self, text: str, file: Path) -> Line | None:
        start = text.find("{")
        try:
            line = self._decoder.decode(text[start:] if start >= 0 else "")
        except msgspec.MsgspecError:
            self.unreadable += 1
            return None
        prefix = PREFIX.match(text[:start])
        time = _time(line.time)
        if prefix is not None:
            line.at = float(prefix[1])
            if self.origin is None and time is not None:
                with suppress(OverflowError):
                    self.origin = time - timedelta(seconds=line.at)
        elif time is not None:
            if self.origin is None:
                self.origin = time
            line.at = (time - self.origin).total_seconds()
        elif line.dropped_lines is None:
            self.without_time += 1
            return None
        line.vm = _text(line.vm) or (prefix[2] if prefix is not None else file.name.split(".")[0])
        return line


class OverlapCheck:
    """Follows the runs that were given up through the lines of a day."""

    def __init__(self, max_tasks: int = MAX_TASKS) -> None:
        self._max_tasks = max_tasks
        self._runs_by_task: dict[str, _TaskRuns] = {}
        # Runs that ended as lost or lapsed with no line on the proof. A dict for its order.
        self._unproven: dict[tuple[str, int], None] = {}
        self._unproven_dropped = 0
        self._given_up_by_proof: Counter[str] = Counter()
        self._incomplete: Counter[str] = Counter()
        self._unnamed_placements = 0
        self._unlisted_orphans = 0
        self._dropped_tasks = 0
        self._dropped_lines = 0
        self._end = 0.0

    def add(self, line: Line) -> None:
        """Takes the next line, in order of time."""
        self._end = max(self._end, line.at)
        self._dropped_lines += _whole(line.dropped_lines) or 0
        message = line.message if isinstance(line.message, str) else ""
        event = line.event if isinstance(line.event, str) else ""
        if event in EVENTS:
            task, run = _text(line.task), _whole(line.run)
            if not task or run is None:
                self._incomplete[event] += 1
            elif event == "run_given_up":
                self._on_given_up(line, task, run)
            else:
                self._on_seen(line, event, task, run)
        elif event == "placed_again" and isinstance(line.runs, dict):
            self._on_placed(line, line.runs, message)
        elif found := PLACED.match(message):
            # A line of an earlier build names the runs, not the tasks.
            if any(number.strip() not in ("", "1") for number in found[2].split(",")):
                self._unnamed_placements += 1
        elif found := RUN_ENDED.match(message):
            run = _whole(found[2])
            if run is not None:
                self._on_run_ended(line, _text(found[1]), run, found[3], found[4])
        elif " stopping orphaned run" in message:
            # Of an earlier build, or an order that may still be in flight.
            self._unlisted_orphans += 1

    def _on_given_up(self, line: Line, task: str, run: int) -> None:
        self._unproven.pop((task, run), None)
        proof = _text(line.proof) or UNKNOWN
        if proof not in self._given_up_by_proof and len(self._given_up_by_proof) >= MAX_PROOFS:
            proof = OTHER
        self._given_up_by_proof[proof] += 1
        runs = self._runs_by_task.get(task)
        if runs is None:
            self._drop_oldest()
            runs = self._runs_by_task[task] = _TaskRuns()
        known = runs.given_up_by_run.get(run)
        if known is not None and (known.is_seen or any(n > run for n in runs.later_by_run)):
            # Of an owner that has not noticed a takeover: the later run followed from the first.
            return
        runs.given_up_by_run[run] = GivenUpRun(
            task,
            run,
            _text(line.worker) or UNKNOWN,
            line.vm,
            line.at,
            _text(line.outcome) or UNKNOWN,
            proof,
            _text(line.phase) or UNKNOWN,
            _whole(line.proof_age_ms),
            _whole(line.ordered_boot),
            _whole(line.answered_boot),
        )
        if run in runs.later_by_run and line.worker is not None:
            runs.later_by_run[run].worker = _text(line.worker)

    def _drop_oldest(self) -> None:
        """Makes room for a task: drops the oldest of which no run was seen again."""
        if len(self._runs_by_task) < self._max_tasks:
            return
        tasks = iter(self._runs_by_task)
        oldest = next((t for t in tasks if not self._runs_by_task[t].is_seen), None)
        del self._runs_by_task[oldest or next(iter(self._runs_by_task))]
        self._dropped_tasks += 1

    def _on_seen(self, line: Line, event: str, task: str, run: int) -> None:
        runs = self._runs_by_task.get(task)
        given_up = None if runs is None else runs.given_up_by_run.get(run)
        if given_up is None:
            # The owner never had it, or ended it for another reason.
            return
        if event == "orphan_ended":
            if given_up.ended_at is None:
                given_up.ended_at, given_up.end_outcome = line.at, _text(line.outcome)
            if given_up.seen_boot is None:
                given_up.seen_boot = _whole(line.boot)
        elif given_up.seen_at is None:
            given_up.seen_at, given_up.seen_boot = line.at, _whole(line.boot)
        given_up.seen_on = given_up.seen_on or _text(line.worker)

    def _on_placed(self, line: Line, run_by_task: dict[Any, Any], message: str) -> None:
        found = PLACED.match(message)
        workers = WORKERS.findall(message, found.end()) if found is not None else []
        # Workers are in the order of the tasks, which lack those that are placed first.
        is_paired = len(workers) == len(run_by_task)
        for index, (task, number) in enumerate(run_by_task.items()):
            runs, run = self._runs_by_task.get(task), _whole(number)
            if run is None:
                self._incomplete["placed_again"] += 1
            elif runs is not None and run not in runs.later_by_run:
                worker = workers[index][:MAX_FIELD_CHARACTERS] if is_paired else UNKNOWN
                runs.later_by_run[run] = LaterRun(run, line.vm, worker, line.at)

    def _on_run_ended(self, line: Line, task: str, run: int, worker: str, outcome: str) -> None:
        runs = self._runs_by_task.get(task)
        later = None if runs is None else runs.later_by_run.get(run)
        if later is not None:
            later.worker = worker[:MAX_FIELD_CHARACTERS]
        if outcome not in INFERRED_OUTCOMES:
            if later is not None and later.ended_at is None:
                later.ended_at = line.at
        elif runs is None or run not in runs.given_up_by_run:
            if len(self._unproven) >= self._max_tasks:
                del self._unproven[next(iter(self._unproven))]
                self._unproven_dropped += 1
            self._unproven[task, run] = None

    # Result

    def report(self, origin: datetime | None = None) -> OverlapReport:
        """Returns the findings up to the last line."""
        count_by_proof = {
            proof: ProofCount(count) for proof, count in self._given_up_by_proof.most_common()
        }
        overlaps = []
        for runs in self._runs_by_task.values():
            for first in runs.given_up_by_run.values():
                if not first.is_seen:
                    continue
                found = [
                    Overlap(first, later, at_most_s)
                    for later in runs.later_by_run.values()
                    if later.run > first.run and (at_most_s := self._at_most_s(first, later)) > 0
                ]
                overlaps += found
                count = count_by_proof[first.proof]
                count.seen += 1
                count.overlapped += bool(found)
        overlaps.sort(key=lambda overlap: overlap.later.placed_at)
        return OverlapReport(origin, self._end, overlaps, count_by_proof, self._notes())

    def _at_most_s(self, first: GivenUpRun, later: LaterRun) -> float:
        ends = [at for at in (first.ended_at, later.ended_at) if at is not None]
        return min(ends, default=self._end) - later.placed_at

    def _notes(self) -> list[str]:
        notes = []
        for event, count in self._incomplete.items():
            notes.append(f"{count} lines {event} are left out: no task or no run number in them")
        unproven = len(self._unproven) + self._unproven_dropped
        if unproven:
            notes.append(
                f"{unproven} runs ended as lost or lapsed without a line run_given_up (earlier"
                " build, or a dropped line): they are left out"
            )
        if self._unnamed_placements:
            notes.append(
                f"{self._unnamed_placements} placements of later runs are left out: lines of an"
                " earlier build name no tasks"
            )
        if self._unlisted_orphans:
            notes.append(
                f"{self._unlisted_orphans} lines 'stopping orphaned run' without an event are left"
                " out: they do not tell whether the worker has listed the run"
            )
        if self._dropped_tasks:
            notes.append(f"{self._dropped_tasks} tasks are left out: too many runs were given up")
        if self._dropped_lines:
            notes.append(f"{self._dropped_lines} lines were dropped by the VMs")
        return notes


def _time(value: Any) -> datetime | None:
    try:
        time = datetime.fromisoformat(value)
    except (TypeError, ValueError):
        return None
    # The program writes UTC.
    return time if time.tzinfo is not None else time.replace(tzinfo=UTC)


def _text(value: Any) -> str:
    return value[:MAX_FIELD_CHARACTERS] if isinstance(value, str) else ""


def _whole(value: Any) -> int | None:
    """Returns a number without its fraction, also one that is written as text, or ``None``."""
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS:
        return int(value)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return int(value) if is_number and abs(value) < 10**MAX_DIGITS else None


def read_overlaps(files: Iterable[Path]) -> OverlapReport:
    """Checks the logs of a day, also compressed ones (``.gz``).

    Raises ``OSError`` if a file can't be read.
    """
    reader = _Reader()
    check = OverlapCheck()
    for line in heapq.merge(*map(reader.lines, files), key=lambda line: line.at):
        check.add(line)
    report = check.report(reader.origin)
    if reader.unreadable:
        report.notes.append(f"{reader.unreadable} lines are left out: no JSON object")
    if reader.without_time:
        report.notes.append(f"{reader.without_time} lines are left out: no time in them")
    report.notes += [f"{name} is cut off: it is read up to there" for name in reader.cut_files]
    return report


def print_overlaps(report: OverlapReport, console: Console) -> None:
    """Prints the findings as lines of text, with times in seconds."""

    def write(text: str) -> None:
        console.print(text, markup=False, highlight=False, soft_wrap=True)

    write(f"times in seconds since {report.origin}, last {report.end:.3f}")
    for note in report.notes:
        write(f"note: {note}")
    write(f"Runs that may have run beside a later run of their task: {len(report.overlaps)}")
    for overlap in report.overlaps[:MAX_PRINTED]:
        write(f"  {_overlap_text(overlap)}")
    if len(report.overlaps) > MAX_PRINTED:
        write(f"  and {len(report.overlaps) - MAX_PRINTED} more")
    write(f"Runs given up: {sum(count.given_up for count in report.count_by_proof.values())}")
    for proof, count in report.count_by_proof.items():
        write(
            f"  {proof}: {count.given_up}, seen again {count.seen},"
            f" may have run beside a later run {count.overlapped}"
        )


def _overlap_text(overlap: Overlap) -> str:
    first, later = overlap.first, overlap.later
    age = "of unknown age" if first.proof_age_ms is None else f"{first.proof_age_ms} ms old"
    seen = "not seen running again"
    if first.seen_at is not None:
        seen = f"seen again at {first.seen_at:.3f}"
    if first.seen_on and first.seen_on != first.worker:
        seen += f" on {first.seen_on}"
    end = "no end listed"
    if first.ended_at is not None:
        end = f"end {first.end_outcome or UNKNOWN} listed at {first.ended_at:.3f}"
    until = "" if overlap.has_end else ", up to the end of the logs"
    return (
        f"{first.task} run {first.run} on {first.worker} and run {later.run} on {later.worker}"
        f" together for at most {overlap.at_most_s:.3f} s{until}: run {first.run} {first.outcome}"
        f" while {first.phase} at {first.at:.3f} by {first.vm}, proof {first.proof} {age};"
        f" run {later.run} placed at {later.placed_at:.3f} by {later.vm};"
        f" run {first.run} {seen}, {end}; boot ordered {_boot(first.ordered_boot)},"
        f" answered {_boot(first.answered_boot)}, seen {_boot(first.seen_boot)}"
    )


def _boot(boot: int | None) -> str:
    return str(boot) if boot else UNKNOWN
