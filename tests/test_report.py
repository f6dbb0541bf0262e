"""The report on a day from the VMs' logs: what was lost, why, and with how much capacity free."""

import json
import sys

import pytest

from hornbeamramp.cli import app
from hornbeamramp.report import read_day, write_plot

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
