"""Collecting the log lines of one job from several VMs, and the handler that writes the logs."""

import contextlib
import json
import os

import logbook

from hornbeamramp.explain import explain_job
from hornbeamramp.logs import NonBlockingHandler

JOB = "0123456789abcdef"


def line(time, vm, message):
    return json.dumps({"time": time, "vm": vm, "part": "owner", "message": message}) + "\n"


def test_lines_of_one_job_are_gathered_in_order_of_time(tmp_path):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        line("2026-01-01T00:00:02+00:00", "vm1", f"{JOB} completed after 900 ms")
        + line("2026-01-01T00:00:03+00:00", "vm1", "fedcba9876543210 accepted")
    )
    second.write_text(
        "1.2 vm2 " + line("2026-01-01T00:00:01+00:00", "vm2", f"{JOB} accepted into gate")
    )
    messages = [found.message for found in explain_job(JOB, [first, second])]
    assert messages == [f"{JOB} accepted into gate", f"{JOB} completed after 900 ms"]


def test_lines_of_other_programs_are_left_out(tmp_path):
    log = tmp_path / "a.log"
    log.write_text(f"{JOB} without JSON\n{{broken {JOB}\n{{}} {JOB}\n" + f'{{"time": "{JOB}"}}\n')
    assert explain_job(JOB, [log]) == []


def test_log_never_blocks_and_reports_the_number_of_dropped_lines():
    """Guards against blocked requests when the log collector stops reading."""
    reader, writer = os.pipe()
    handler = NonBlockingHandler(writer)
    handler.vm = "vm1"
    with handler.applicationbound():
        log = logbook.Logger("test")
        for _ in range(10_000):
            log.info("x" * 200)
        received = b""
        os.set_blocking(reader, False)
        for _ in range(200):
            with contextlib.suppress(BlockingIOError):
                received += os.read(reader, 1 << 20)
            log.info("more")
    lines = [json.loads(text) for text in received.splitlines()[:-1]]
    assert any("dropped_lines" in found for found in lines)
    assert any(found.get("vm") == "vm1" for found in lines)
