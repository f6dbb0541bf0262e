"""Collects the log lines of one job from the log files of several VMs."""

import json
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

import msgspec

from hornbeamramp.ids import JobId

__all__ = ["LogLine", "explain_job"]


class LogLine(msgspec.Struct, frozen=True, order=True):
    """A line of a process's log. ``time`` is from its VM's clock."""

    time: datetime
    vm: str
    part: str
    message: str


def explain_job(job_id: JobId, files: Iterable[Path]) -> list[LogLine]:
    """Returns the lines that contain a job's id, in order of time.

    Text before a line's JSON, such as the prefix of a log collector, is removed; lines without JSON
    are ignored. Raises ``OSError`` if a file can't be read.
    """
    found = []
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            for text in lines:
                if job_id in text:
                    line = _parse(text, file.stem)
                    if line is not None:
                        found.append(line)
    return sorted(found)


def _parse(text: str, default_vm: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        time = datetime.fromisoformat(fields["time"])
        return LogLine(time, fields.get("vm", default_vm), fields["part"], fields["message"])
    except (ValueError, KeyError, TypeError):
        # Not a log line of this program.
        return None
