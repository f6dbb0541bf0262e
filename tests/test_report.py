"""The report on a day from the VMs' logs: what was lost, why, and with how much capacity free."""

import gzip
import json
import sys

import pytest

from hornbeamramp.cli import app
from hornbeamramp.report import read_day, write_plot
from hornbeamramp.unfinished import read_unfinished

START = "2026-01-01T00:00:"


def line(second, **fields):
    return json.dumps({"time": f"{START}{second:02}Z", "part": "owner", **fields}) + "\n"


def accepted(second, job, queue="gate", work=10.0):
    fields = {"queue": queue, "data_centre": "gebze", "work": work, "width": 2, "is_gang": False}
    return line(second, event="job_accepted", job=job, message=f"{job} accepted", **fields)


def ended(second, job, result, waits, queue="gate", **lost):
    fields = {"queue": queue, "data_centre": "gebze", "work": 10.0, "width": 2, "is_gang": False}
    return line(
        second, event="job_ended", job=job, result=result, waits=waits, lost_work=lost, **fields
    )


def pool(second, free, waiting=None):
    fields = {"workers": 2, "cores": 100, "used": {"gate": 100 - free}, "waiting": waiting or {}}
    return line(second, event="pool", pool="tickets", free=free, lag_ms=3, cpu_s=0.2, **fields)


ON_TIME, LATE, FAILED, OPEN, REFUSED = (f"{number:016x}" for number in range(5))


@pytest.fixture
def logs(tmp_path):
    """Logs of an owner and of another VM of a day with one job of each result."""
    owner, other = tmp_path / "vm1.log", tmp_path / "vm2.log"
    owner.write_text(
        "vm1: "
        + accepted(1, ON_TIME)
        + accepted(1, LATE)
        + accepted(2, FAILED, "batch", work=30.0)
        + accepted(4, OPEN, "batch", work=10.0)
        + pool(2, 40, {"advice": 3})
        + ended(3, ON_TIME, "on_time", {"advice": 20})
        + ended(5, LATE, "late", {"advice": 100, "gang": 900}, stopped=25.0)
        + ended(6, FAILED, "failed", {}, "batch", failed=60.0)
        + '{"broken\n'
    )
    other.write_text(
        line(3, message=f"{REFUSED} refused: the pool has no owner")
        + line(3, message=f"{ON_TIME} refused: the store can't be reached")
    )
    return [owner, other]


def test_losses_are_told_by_queue_result_and_cause(logs):
    day = read_day(logs)
    lost = {row.key: row.lost for row in day.losses("queue", "result", "cause")}
    assert lost["gate on_time -"] == 0
    assert lost["gate late gang"] == pytest.approx(0.8)
    assert lost["batch failed lost work"] == pytest.approx(0.3 + 0.7 * 1.5)
    assert lost["batch unfinished no wait recorded"] == pytest.approx(0.3 + 0.7 * 0.5)
    assert lost["- refused the pool has no owner"] == 1.0
    assert sum(lost.values()) == pytest.approx(sum(row.lost for row in day.losses("window")))


def test_refusals_are_told_with_the_capacity_that_was_free(logs):
    """Guards against refusals with capacity free that no page shows. A job that was accepted at a
    later try is not lost."""
    day = read_day(logs)
    assert dict(day.free_by_refusal) == {
        "the pool has no owner": [0.4],
        "the store can't be reached": [0.4],
    }
    assert [job.job for job in day.jobs if job.result == "refused"] == [REFUSED]


def test_work_thrown_away_is_told_by_outcome(logs):
    assert read_day(logs).lost_work == {"stopped": 25.0, "failed": 60.0}


def test_plot_of_a_day_is_written(logs, tmp_path):
    write_plot(read_day(logs), tmp_path / "day.png")
    assert (tmp_path / "day.png").read_bytes().startswith(b"\x89PNG")


def test_logs_without_any_job_give_an_empty_report(tmp_path):
    log = tmp_path / "vm.log"
    log.write_text("nothing here\n")
    day = read_day([log])
    assert (day.losses("queue"), day.states) == ([], [])
    write_plot(day, tmp_path / "empty.png")


def test_command_prints_the_tables(logs, capsys):
    with pytest.raises(SystemExit) as end:
        app(["report", *map(str, logs)])
    assert end.value.code == 0
    assert "the pool has no owner" in capsys.readouterr().out


def test_missing_log_file_is_a_usage_error(tmp_path, capsys):
    with pytest.raises(SystemExit) as end:
        app(["report", str(tmp_path / "absent.log")])
    assert end.value.code == 2
    assert "absent.log" in capsys.readouterr().err


def test_missing_plot_library_is_a_usage_error(logs, tmp_path, monkeypatch, capsys):
    """Guards against a traceback where only what serving needs is installed."""
    monkeypatch.setitem(sys.modules, "matplotlib", None)
    with pytest.raises(SystemExit) as end:
        app(["report", *map(str, logs), "--plot", str(tmp_path / "day.png")])
    assert end.value.code == 2
    assert "hornbeamramp[plot]" in capsys.readouterr().err


# The check of unfinished work (`--unfinished`)

POOL, TASK = "tickets", f"{OPEN}.0.0.3"


class Day:
    """Lines of a day as the platform's log collector writes them: time and VM before each line."""

    def __init__(self):
        self.lines = []

    def add(self, at, message, vm="vm1", part="owner", **fields):
        time = f"{START}{10 + at:09.6f}Z"
        document = {"time": time, "vm": vm, "level": "INFO", "part": part, "message": message}
        self.lines.append(f"{at:9.4f} {vm} {json.dumps(document | fields)}\n")

    def taken(self, at, *jobs, vm="vm1", token=7):
        message = f"{POOL}: took ownership with fencing token {token}: 1 jobs recorded"
        self.add(at, message, vm, event="pool_taken", pool=POOL, open_jobs=" ".join(jobs))

    def accepted(self, at, job, long_running=0, queue="gate"):
        fields = {"queue": queue, "pool": POOL, "long_running": long_running}
        self.add(at, f"{job} accepted into {queue}", event="job_accepted", job=job, **fields)

    def ended(self, at, job, result, vm="vm1"):
        fields = {"job": job, "queue": "gate", "result": result}
        self.add(at, f"job {job} {result} after 900 ms", vm, event="job_ended", **fields)

    def run_ended(self, at, task, run, outcome, vm="vm1", **fields):
        message = f"{task} run {run} on i-1 ended {outcome} at 10.0%, failures 0"
        self.add(at, message, vm, event="run_ended", task=task, run=run, **fields)

    def placed(self, at, task, run, vm="vm1"):
        step = task.rpartition(".")[0]
        message = f"{step} run [{run}] placed on ['i-2']"
        self.add(at, message, vm, "launch", event="placed_again", runs={task: run})

    def running(self, at, task, run, vm="vm1", **waits):
        fields = {"task": task, "run": run, "waits": waits}
        self.add(at, f"{task} run {run} on i-2 is running", vm, event="run_running", **fields)

    def check(self, tmp_path):
        log = tmp_path / "day.log.gz"
        with gzip.open(log, "wt") as texts:
            texts.writelines(self.lines)
        return read_unfinished([log])


@pytest.fixture
def day():
    """A day of one pool, owned by vm1 from the beginning."""
    day = Day()
    day.taken(0)
    return day


def test_job_without_an_end_is_listed_with_what_it_waits_for(day, tmp_path):
    """Guards against a lost job that no page of the logs shows."""
    day.accepted(1, ON_TIME)
    day.accepted(2, OPEN)
    day.ended(4, ON_TIME, "on_time")
    day.add(5, f"{OPEN}.0.0 waits for capacity since 0:00:02.1: 4 tasks, 1 of 2 workers granted")
    [job] = day.check(tmp_path).open_jobs
    assert (job.job, job.queue, job.vm, job.at) == (OPEN, "gate", "vm1", 2.0)
    assert (job.waits, job.is_placed) == ("capacity (at 5.0)", False)
    assert "4 tasks" in job.last_line


def test_long_running_job_needs_no_end_while_its_tasks_run(day, tmp_path):
    """Guards against a list in which each job that lasts hides the one that is lost."""
    day.accepted(1, OPEN, long_running=4)
    day.placed(2, TASK, 1)
    day.run_ended(20, TASK, 1, "lapsed", long_running=1, unconfirmed_ms=6100)
    day.running(21, TASK, 2)
    assert day.check(tmp_path).open_jobs == []
    day.run_ended(30, TASK, 2, "failed", long_running=1)
    day.add(40, "stopping vm9", vm="vm9", part="serve")
    report = day.check(tmp_path)
    assert [job.job for job in report.open_jobs] == [OPEN]
    assert [(gap.run, gap.started_at) for gap in report.gaps] == [(2, None), (1, 21.0)]


def test_time_away_of_a_task_begins_when_it_was_last_known_to_run(day, tmp_path):
    """Guards against a lapse of six seconds that is not counted, as its end is logged after it.
    The placement of a long-running task does not end the time, its confirmed start does."""
    day.accepted(1, OPEN, long_running=4)
    day.placed(2, TASK, 1)
    waits = {"advice": 100}
    day.run_ended(20, TASK, 1, "lapsed", long_running=1, unconfirmed_ms=6100, waits=waits)
    day.add(21, f"{OPEN}.0.0 waits for ticket since 0:00:01.0: 1 tasks, 1 of 2 workers granted")
    day.placed(22, TASK, 2)
    day.run_ended(23, TASK, 2, "stopped", long_running=1)
    day.placed(23.5, TASK, 3)
    day.running(24, TASK, 3, advice=1900)
    [gap] = day.check(tmp_path).gaps
    assert (gap.task, gap.run, gap.how, gap.worker) == (TASK, 1, "lapsed", "i-1")
    assert gap.known_until == pytest.approx(13.9)
    assert gap.started_at == 24.0
    assert {"ticket", "run 2 stopped at 23.0", "advice 1800 ms"} <= set(gap.waited)


def test_task_whose_start_is_not_confirmed_is_still_away(day, tmp_path):
    day.accepted(1, OPEN)
    day.run_ended(2, TASK, 1, "failed")
    day.placed(3, TASK, 2)
    day.add(3.1, f"start of {TASK} run 2 on i-2 not confirmed, reply: StartReply.NO_ROOM")
    day.placed(7, TASK, 3)
    [gap] = day.check(tmp_path).gaps
    assert (gap.started_at, gap.waited) == (7.0, ["start not confirmed"])


def test_task_of_an_ended_job_is_not_away(day, tmp_path):
    """Guards against a task listed until the end of the logs, as its start was not confirmed: its
    job had failed in the meantime."""
    day.accepted(1, OPEN)
    day.run_ended(2, TASK, 1, "failed")
    day.placed(2.1, TASK, 2)
    day.ended(2.2, OPEN, "failed")
    day.add(2.3, f"start of {TASK} run 2 on i-2 not confirmed, reply: StartReply.UNHEALTHY")
    day.add(30, "stopping vm9", vm="vm9", part="serve")
    assert day.check(tmp_path).gaps == []


def test_beliefs_of_a_former_owner_do_not_count(day, tmp_path):
    """Guards against lapses listed for runs that a successor had adopted: an owner that was cut off
    logs them before it notices the takeover."""
    day.accepted(1, OPEN, long_running=4)
    day.placed(2, TASK, 1)
    day.taken(10, OPEN, vm="vm2", token=8)
    day.run_ended(14, TASK, 1, "lapsed", long_running=1)
    day.ended(14.5, OPEN, "cancelled")
    day.add(30, "stopping vm9", vm="vm9", part="serve")
    report = day.check(tmp_path)
    assert (report.gaps, report.open_jobs, report.unasked_cancellations) == ([], [], [])


def test_job_that_a_new_owner_did_not_recover_is_listed(day, tmp_path):
    """Guards against jobs that disappear at a takeover. One that is recovered although its former
    owner logged its end, which was not recorded, is open again."""
    for job in (ON_TIME, LATE, OPEN):
        day.accepted(1, job)
    day.ended(2, ON_TIME, "on_time")
    day.ended(9, LATE, "late")
    day.taken(10, LATE, vm="vm2", token=8)
    report = day.check(tmp_path)
    assert [job.job for job in report.left_out] == [OPEN]
    assert [job.job for job in report.open_jobs] == [LATE, OPEN]


def test_job_that_its_former_owner_logged_after_the_takeover_is_one_job(day, tmp_path):
    """Guards against a recovered job without a queue, taken for one that ends by itself."""
    day.taken(10, OPEN, vm="vm2", token=8)
    day.accepted(10.1, OPEN, long_running=4)
    day.placed(11, TASK, 1, vm="vm2")
    report = day.check(tmp_path)
    assert (report.accepted, report.left_out, report.open_jobs) == (1, [], [])


def test_cancelled_job_without_a_request_is_listed(day, tmp_path):
    for job in (ON_TIME, LATE, OPEN):
        day.accepted(1, job)
        day.ended(9, job, "cancelled")
    fields = {"event": "job_cancel_requested", "job": LATE}
    day.add(8, f"{LATE}: cancellation requested by a caller", "vm3", "callers", **fields)
    path = f"/gate/{OPEN}"
    day.add(8, f"caller request DELETE {path} could not be answered: owner", "vm3", "callers")
    day.lines.sort()
    assert [job.job for job in day.check(tmp_path).unasked_cancellations] == [ON_TIME]


def test_accepted_job_that_is_answered_as_unknown_is_listed(day, tmp_path):
    """Guards against answers 410 without a trace. A job that nobody sent is none of them, and one
    that ended long ago neither."""
    day.accepted(1, OPEN)
    day.accepted(1, ON_TIME)
    day.ended(2, ON_TIME, "on_time")
    for job in (OPEN, ON_TIME, REFUSED):
        message = f"{job}: GET answered 410, not known in pool {POOL} of queue gate"
        day.add(40, message, "vm3", "callers", event="job_unknown", job=job)
    [job] = day.check(tmp_path).unknown
    assert (job.job, "vm3" in job.reason) == (OPEN, True)


def test_requests_and_vms_that_ended_without_an_answer_are_listed(day, tmp_path):
    day.add(1, "started vm3 boot 1 in gebze", "vm3", "serve")
    day.add(2, "stopping vm3", "vm3", "serve")
    message = "caller request GET /gate/ ended without an answer after 0:00:04: CancelledError()"
    day.add(6, message, "vm3", "callers", event="request_unanswered")
    message = "caller request POST /gate/ is cut off unanswered after 0:00:01"
    day.add(7, message, "vm3", "callers", event="request_unanswered")
    day.add(9, "started vm3 boot 2 in gebze", "vm3", "serve")
    day.add(9, "stopping vm4", "vm4", "serve")
    day.add(10, "stopped vm4", "vm4", "serve")
    report = day.check(tmp_path)
    first, second = report.unanswered
    assert "GET /gate/" in first
    assert "POST /gate/" in second
    assert report.killed == ["vm3: stopping at 2.000, started again at 9.000"]


def test_logs_of_an_earlier_build_are_read_as_far_as_they_tell(tmp_path):
    """Guards against findings that come only from lines that an earlier build did not write."""
    day = Day()
    day.add(0, f"{POOL}: took ownership with fencing token 7: 0 jobs recorded")
    for job, queue in ((ON_TIME, "gate"), (LATE, "gate"), (OPEN, "lasting")):
        day.add(1, f"{job} accepted into {queue}", event="job_accepted", job=job, queue=queue)
        day.add(1.5, f"{job}.0.0 run [1, 1] placed on ['i-1', 'i-2']", part="launch")
    day.ended(3, ON_TIME, "on_time")
    day.ended(3, LATE, "cancelled")
    day.add(10, "worker i-1 is unreachable: no answer", part="worker")
    day.add(14, f"{OPEN}.0.0.0 run 1 on i-1 ended lapsed at 3.0%, failures 0")
    day.add(16, f"{OPEN}.0.0 run [2] placed on ['i-3']", part="launch")
    report = day.check(tmp_path)
    assert (report.open_jobs, report.unasked_cancellations, report.left_out) == ([], [], [])
    [gap] = report.gaps
    assert (gap.is_long_running, gap.known_until, gap.started_at) == (True, 10.0, 16.0)
    assert "earlier build" in report.notes[0]


def test_dropped_lines_and_other_programs_are_noted_and_passed_over(day, tmp_path):
    day.accepted(1, OPEN)
    day.lines.append('   2.0000 vm1 {"part": "logs", "dropped_lines": 12}\n')
    day.lines += [f"I0214 {OPEN} goaway\n", f"{{broken {OPEN}\n", f'{{"job": 3, "{OPEN}": 1}}\n']
    report = day.check(tmp_path)
    assert report.accepted == 1
    assert report.notes == ["12 lines were dropped by the VMs"]


def test_logs_of_several_vms_are_merged_by_time(tmp_path):
    """Guards against an end that is read before the acceptance that another VM logged."""
    first, second = tmp_path / "vm1.log", tmp_path / "vm2.log"
    first.write_text(line(1, vm="vm1", event="job_accepted", job=OPEN, queue="gate", message="a"))
    second.write_text(line(5, vm="vm2", event="job_ended", job=OPEN, result="late", message="b"))
    report = read_unfinished([second, first])
    assert (report.accepted, report.open_jobs) == (1, [])


def test_command_prints_unfinished_work(day, tmp_path, capsys):
    day.accepted(1, OPEN, long_running=4)
    day.run_ended(20, TASK, 1, "lapsed", long_running=1, unconfirmed_ms=6100)
    day.running(25, TASK, 2, advice=4900)
    day.check(tmp_path)
    with pytest.raises(SystemExit) as end:
        app(["report", "--unfinished", str(tmp_path / "day.log.gz")])
    assert end.value.code == 0
    printed = capsys.readouterr().out
    assert f"{TASK} queue gate away for 11.1 s: run 1 lapsed at 20.000 on i-1 by vm1" in printed
    assert "worker silent for 6.1 s before; run 2 running, owner vm1 at 25.000" in printed
