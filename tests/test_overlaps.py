"""The check of a day's logs for runs that were given up and ran beside a later run."""

import gzip
import json

import pytest

from hornbeamramp.cli import app
from hornbeamramp.overlaps import Line, OverlapCheck, read_overlaps

JOB = "00000000000000a1"
TASK, OTHER_TASK = f"{JOB}.0.0.0", f"{JOB}.0.0.1"
BOOT, NEXT_BOOT = 1_764_900_000_000, 1_764_900_037_000


class Day:
    """Lines of a day as the platform's log collector writes them: time and VM before each line."""

    def __init__(self, log):
        self.log = log
        self.lines = []

    def add(self, at, message="", vm="vm1", part="worker", **fields):
        time = f"2026-01-01T00:00:{10 + at:09.6f}Z"
        document = {"time": time, "vm": vm, "level": "INFO", "part": part, "message": message}
        self.lines.append(f"{at:9.4f} {vm} {json.dumps(document | fields)}\n")

    def given_up(self, at, task=TASK, run=1, proof="restarted", vm="vm1", **fields):
        fields = {
            "task": task,
            "run": run,
            "worker": "i-1",
            "outcome": "lost",
            "proof": proof,
            "proof_age_ms": 4,
            "phase": "ordered",
            "ordered_boot": BOOT,
            "answered_boot": NEXT_BOOT,
        } | fields
        self.add(at, vm=vm, event="run_given_up", **fields)

    def placed(self, at, run_by_task, workers, vm="vm1"):
        step = next(iter(run_by_task)).rpartition(".")[0]
        message = f"{step} run {list(run_by_task.values())} placed on {workers}"
        self.add(at, message, vm, "launch", event="placed_again", runs=run_by_task)

    def orphaned(self, at, task=TASK, run=1, vm="vm1", boot=NEXT_BOOT):
        fields = {"task": task, "run": run, "worker": "i-1", "boot": boot}
        message = f"i-1: stopping orphaned run: {task} run {run}"
        self.add(at, message, vm, event="run_orphaned", **fields)

    def orphan_ended(self, at, task=TASK, run=1, vm="vm1", boot=NEXT_BOOT):
        fields = {"task": task, "run": run, "worker": "i-1", "boot": boot, "outcome": "stopped"}
        self.add(at, vm=vm, event="orphan_ended", **fields)

    def run_ended(self, at, run, outcome, task=TASK, worker="i-2", vm="vm1"):
        message = f"{task} run {run} on {worker} ended {outcome} at 10.0%, failures 0"
        self.add(at, message, vm, "owner", event="run_ended", task=task, run=run)

    def check(self):
        with gzip.open(self.log, "wt") as texts:
            texts.writelines(self.lines)
        return read_overlaps([self.log])


@pytest.fixture
def day(tmp_path):
    return Day(tmp_path / "day.log.gz")


def test_run_that_went_on_beside_the_next_one_is_listed_with_its_proof(day):
    """Guards against a task that ran twice without a trace of why its first run was given up."""
    day.given_up(1.0)
    day.run_ended(1.0, 1, "lost", worker="i-1")
    day.placed(1.03, {TASK: 2}, ["i-2"])
    day.orphaned(1.1)
    day.orphaned(1.15)
    day.orphan_ended(1.2)
    [overlap] = day.check().overlaps
    first, later = overlap.first, overlap.later
    assert (first.task, first.run, first.worker, first.vm, first.at) == (TASK, 1, "i-1", "vm1", 1.0)
    assert (first.outcome, first.phase, first.proof, first.proof_age_ms) == (
        "lost",
        "ordered",
        "restarted",
        4,
    )
    boots = (first.ordered_boot, first.answered_boot, first.seen_boot)
    assert boots == (BOOT, NEXT_BOOT, NEXT_BOOT)
    assert (first.seen_at, first.ended_at, first.end_outcome) == (1.1, 1.2, "stopped")
    assert (later.run, later.worker, later.vm, later.placed_at) == (2, "i-2", "vm1", 1.03)
    assert overlap.at_most_s == pytest.approx(0.17)


def test_end_that_no_list_of_running_runs_preceded_is_listed(day):
    """Guards against an overlap that is shorter than the time between two lists of a worker."""
    day.given_up(1.0)
    day.placed(1.5, {TASK: 2}, ["i-2"])
    day.orphan_ended(1.7)
    [overlap] = day.check().overlaps
    assert (overlap.first.seen_at, overlap.first.ended_at) == (None, 1.7)
    assert (overlap.first.seen_boot, overlap.at_most_s) == (NEXT_BOOT, pytest.approx(0.2))


def test_overlap_lasts_until_the_first_end_or_the_end_of_the_logs(day):
    """Guards against a bound that is too short, as a run with no listed end is taken as ended, or
    as an end that the owner only concluded is taken for one that the worker listed."""
    day.given_up(1.0)
    day.placed(2.0, {TASK: 2}, ["i-2", "i-3"])
    day.orphaned(3.0)
    day.run_ended(4.0, 2, "lapsed")
    [overlap] = day.check().overlaps
    assert overlap.later.worker == "i-2"
    assert (overlap.at_most_s, overlap.has_end) == (2.0, False)
    day.run_ended(5.0, 2, "failed")
    day.orphan_ended(9.0)
    [overlap] = day.check().overlaps
    assert (overlap.at_most_s, overlap.later.ended_at, overlap.has_end) == (3.0, 5.0, True)


def test_run_that_ended_before_the_next_was_placed_is_only_counted(day):
    """Guards against a list of overlaps that were none: the task never ran twice at once."""
    day.given_up(1.0)
    day.orphaned(1.1)
    day.orphan_ended(1.2)
    day.placed(1.3, {TASK: 2}, ["i-2"])
    report = day.check()
    assert report.overlaps == []
    count = report.count_by_proof["restarted"]
    assert (count.given_up, count.seen, count.overlapped) == (1, 1, 0)


def test_run_seen_before_the_next_was_placed_may_overlap_while_its_end_is_unknown(day):
    """Guards against a missed overlap: a stop was ordered, and nothing shows that it was obeyed."""
    day.given_up(1.0)
    day.orphaned(1.1)
    day.placed(1.3, {TASK: 2}, ["i-2"])
    day.add(6.3, event="orphan_ended", task=OTHER_TASK, run=1)
    [overlap] = day.check().overlaps
    assert overlap.at_most_s == pytest.approx(5.0)


def test_orphan_that_was_not_given_up_before_is_not_listed(day):
    """Guards against findings from orders that were carried out late, after the end of their job,
    and from an orphan that precedes the end for which its task is placed again."""
    day.orphaned(0.5)
    day.given_up(1.0)
    day.placed(1.1, {TASK: 2}, ["i-2"])
    day.orphaned(1.2, OTHER_TASK)
    day.orphan_ended(1.4, OTHER_TASK)
    assert day.check().overlaps == []


def test_each_later_run_that_may_have_overlapped_is_listed(day):
    """Guards against a second overlap that is hidden by the first."""
    day.given_up(1.0)
    day.placed(2.0, {TASK: 2}, ["i-2"])
    day.run_ended(3.0, 2, "failed")
    day.placed(4.0, {TASK: 3}, ["i-3"])
    day.orphaned(5.0)
    day.orphan_ended(6.0)
    day.placed(7.0, {TASK: 4}, ["i-4"])
    overlaps = day.check().overlaps
    assert [(o.later.run, o.later.worker, o.at_most_s) for o in overlaps] == [
        (2, "i-2", 1.0),
        (3, "i-3", 2.0),
    ]


def test_run_seen_by_a_later_owner_is_listed_from_the_logs_of_both(tmp_path):
    """Guards against an overlap that is missed, as another VM's log tells of the run's return."""
    first, second = Day(tmp_path / "vm1.log.gz"), Day(tmp_path / "vm2.log.gz")
    first.given_up(1.0)
    first.placed(1.1, {TASK: 2}, ["i-2"])
    second.orphaned(4.0, vm="vm2")
    second.orphan_ended(4.2, vm="vm2")
    for day in (first, second):
        day.check()
    [overlap] = read_overlaps([second.log, first.log]).overlaps
    assert (overlap.first.vm, overlap.at_most_s) == ("vm1", pytest.approx(3.1))


def test_proof_of_the_owner_that_placed_the_later_run_is_kept(day):
    """Guards against a cause that is that of a former owner, which has given the same run up after
    the takeover and has placed nothing."""
    day.given_up(1.0, proof="unlisted")
    day.placed(1.1, {TASK: 2}, ["i-2"])
    day.given_up(2.0, proof="lease_over", vm="vm9")
    day.orphaned(3.0)
    report = day.check()
    [overlap] = report.overlaps
    assert (overlap.first.proof, overlap.first.vm) == ("unlisted", "vm1")
    assert {p: c.given_up for p, c in report.count_by_proof.items()} == {
        "unlisted": 1,
        "lease_over": 1,
    }


def test_workers_of_a_placement_are_named_only_if_each_task_has_its_own(day):
    """Guards against a run shown on a worker that has another task of the same line."""
    for task in (TASK, OTHER_TASK):
        day.given_up(1.0, task)
    day.placed(1.1, {TASK: 2, OTHER_TASK: 2}, ["i-5", "i-6"])
    for task in (TASK, OTHER_TASK):
        day.orphaned(1.2, task)
        day.given_up(2.0, task, run=2, worker="i-7", proof="unlisted")
    day.placed(2.1, {OTHER_TASK: 3}, ["i-8", "i-9"])
    day.orphaned(2.2, OTHER_TASK, run=2)
    workers = {
        (o.first.task, o.first.run, o.later.run): o.later.worker for o in day.check().overlaps
    }
    assert workers == {
        (TASK, 1, 2): "i-7",
        (OTHER_TASK, 1, 2): "i-7",
        (OTHER_TASK, 1, 3): "unknown",
        (OTHER_TASK, 2, 3): "unknown",
    }


def test_runs_given_up_are_counted_by_proof(day):
    """Guards against a proof that is often wrong, which no figure shows."""
    for number, proof in enumerate(("unlisted", "unlisted", "replaced", "lease_over")):
        day.given_up(1.0 + number, f"{JOB}.0.0.{number}", proof=proof)
    day.placed(6.0, {f"{JOB}.0.0.1": 2}, ["i-2"])
    day.orphaned(7.0, f"{JOB}.0.0.1")
    counts = day.check().count_by_proof
    assert {p: (c.given_up, c.seen, c.overlapped) for p, c in counts.items()} == {
        "unlisted": (2, 1, 1),
        "replaced": (1, 0, 0),
        "lease_over": (1, 0, 0),
    }


def test_missing_fields_leave_an_overlap_listed(day):
    """Guards against an overlap that is lost with a field that only describes it."""
    day.add(1.0, event="run_given_up", task=TASK, run="1", proof=None, proof_age_ms=[], phase=7)
    day.add(1.1, event="placed_again", runs={TASK: 2, OTHER_TASK: None})
    day.add(1.2, event="run_orphaned", task=TASK, run=1, boot={})
    report = day.check()
    [overlap] = report.overlaps
    first = overlap.first
    assert (first.worker, first.proof, first.phase, first.outcome) == ("unknown",) * 4
    assert (first.proof_age_ms, first.ordered_boot, first.seen_boot) == (None, None, None)
    assert overlap.later.worker == "unknown"
    assert report.notes == ["1 lines placed_again are left out: no task or no run number in them"]


@pytest.mark.parametrize("event", ["run_given_up", "run_orphaned", "orphan_ended"])
@pytest.mark.parametrize(
    "fields", [{}, {"task": 3, "run": 1}, {"task": TASK, "run": True}, {"task": TASK, "run": "x"}]
)
def test_lines_without_a_task_or_run_are_noted(day, event, fields):
    """Guards against lines that are left out in silence."""
    day.add(1.0, event=event, **fields)
    report = day.check()
    assert report.notes == [f"1 lines {event} are left out: no task or no run number in them"]


def test_lines_of_other_programs_and_odd_types_are_passed_over(day):
    """Guards against a report that ends in a traceback at a line of another program."""
    day.lines.append('0.1 vm1 {"time": "0001-01-01T00:00:00Z", "event": ["run_given_up"]}\n')
    day.given_up(1.0)
    day.lines += [
        "I0214 run_orphaned goaway\n",
        '{"event": "run_given_up", broken\n',
        '["run_given_up"]\n',
        '{"event": "run_given_up", "task": "t", "run": 1}\n',
        '{"time": 12, "event": "run_orphaned"}\n',
        '{"time": "0001-01-01T00:00:00Z", "event": ["run_given_up"], "vm": 4}\n',
        '   1.1000 vm1 {"event": "placed_again", "runs": [1], "message": "x placed on ["}\n',
        '   1.2000 vm1 {"event": "run_ended", "message": {"a": 1}}\n',
        '   1.3000 vm1 {"part": "logs", "dropped_lines": 12}\n',
    ]
    day.placed(1.4, {TASK: 2}, ["i-2"])
    day.orphaned(1.5)
    report = day.check()
    assert [overlap.first.task for overlap in report.overlaps] == [TASK]
    assert report.notes == [
        "12 lines were dropped by the VMs",
        "3 lines are left out: no JSON object",
        "2 lines are left out: no time in them",
    ]


def test_lines_of_an_earlier_build_are_noted_as_left_out(day):
    """Guards against an empty report on logs that can't tell of an overlap."""
    day.run_ended(1.0, 1, "lost", worker="i-1")
    day.add(1.1, f"{JOB}.0.0 run [1] placed on ['i-1']", part="launch")
    day.add(1.2, f"{JOB}.0.0 run [2] placed on ['i-2']", part="launch")
    day.add(1.3, f"i-1: stopping orphaned run: {TASK} run 1")
    report = day.check()
    assert report.overlaps == []
    assert [note.split()[0] for note in report.notes] == ["1", "1", "1"]
    assert "without a line run_given_up" in report.notes[0]
    assert "placements of later runs" in report.notes[1]
    assert "stopping orphaned run" in report.notes[2]


def test_end_logged_before_its_proof_is_not_noted_as_unproven(day):
    """Guards against a note on an earlier build in logs of this one."""
    day.run_ended(1.0, 1, "lost", worker="i-1")
    day.given_up(1.0)
    day.given_up(2.0, OTHER_TASK)
    day.run_ended(2.0, 1, "lost", OTHER_TASK, worker="i-1")
    assert day.check().notes == []


def test_lines_without_a_prefix_take_the_time_of_their_vm(tmp_path):
    """Guards against an empty report on logs that no collector has touched."""
    log = tmp_path / "vm1.log"
    events = [
        {"event": "run_given_up", "task": TASK, "run": 1, "worker": "i-1"},
        {"event": "placed_again", "runs": {TASK: 2}},
        {"event": "run_orphaned", "task": TASK, "run": 1},
    ]
    texts = [json.dumps({"time": f"2026-01-01T00:00:0{n}Z"} | e) for n, e in enumerate(events)]
    log.write_text("\n".join(texts))
    [overlap] = read_overlaps([log]).overlaps
    assert (overlap.first.vm, overlap.later.placed_at, overlap.at_most_s) == ("vm1", 1.0, 1.0)


def test_compressed_log_that_is_cut_off_is_read_up_to_there(day):
    """Guards against a traceback at the log of a VM that was killed while it wrote it."""
    day.given_up(1.0)
    day.check()
    day.log.write_bytes(day.log.read_bytes()[:-9])
    assert day.log.name in read_overlaps([day.log]).notes[-1]


def test_memory_is_bounded_by_dropping_runs_that_were_not_seen_again():
    """Guards against memory that grows with the lines of a day, and against findings dropped for
    runs that were given up rightly."""
    check = OverlapCheck(max_tasks=10)
    for number in range(1000):
        fields = {"task": f"{JOB}.0.0.{number}", "run": 1, "at": float(number)}
        check.add(Line(event="run_given_up", vm="vm1", proof=f"p{number}", **fields))
        ended = f"{JOB}.0.1.{number} run 1 on i-1 ended lost at 0.0%"
        check.add(Line(event="run_ended", vm="vm1", message=ended, at=float(number)))
        if number == 2:
            check.add(Line(event="placed_again", vm="vm1", runs={fields["task"]: 2}, at=2.1))
            check.add(Line(event="run_orphaned", vm="vm1", **fields | {"at": 2.2}))
    report = check.report()
    assert [overlap.first.task for overlap in report.overlaps] == [f"{JOB}.0.0.2"]
    assert len(report.count_by_proof) <= 21
    assert "1000 runs ended as lost or lapsed" in report.notes[0]
    assert report.notes[1] == "990 tasks are left out: too many runs were given up"


def test_command_prints_overlaps(day, capsys):
    """Guards against an option that is not wired, and a row that lacks what an operator needs."""
    day.given_up(1.0)
    day.placed(1.03, {TASK: 2}, ["i-2"])
    day.orphaned(1.1)
    day.orphan_ended(1.2)
    day.check()
    with pytest.raises(SystemExit) as end:
        app(["report", "--overlaps", str(day.log)])
    assert end.value.code == 0
    printed = capsys.readouterr().out
    assert f"{TASK} run 1 on i-1 and run 2 on i-2 together for at most 0.170 s" in printed
    assert "lost while ordered at 1.000 by vm1, proof restarted 4 ms old" in printed
    assert "run 2 placed at 1.030 by vm1" in printed
    assert "run 1 seen again at 1.100, end stopped listed at 1.200" in printed
    assert f"boot ordered {BOOT}, answered {NEXT_BOOT}, seen {NEXT_BOOT}" in printed
    assert "restarted: 1, seen again 1, may have run beside a later run 1" in printed


def test_missing_log_of_the_check_of_overlaps_is_a_usage_error(tmp_path, capsys):
    """Guards against a traceback for a mistyped file."""
    with pytest.raises(SystemExit) as end:
        app(["report", "--overlaps", str(tmp_path / "absent.log")])
    assert end.value.code == 2
    assert "absent.log" in capsys.readouterr().err
