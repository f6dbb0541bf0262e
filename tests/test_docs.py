"""Tests that the documentation lists the statuses, metrics and log parts of the code."""

import re
from pathlib import Path

from hornbeamramp.problems import STATUS_BY_REASON
from hornbeamramp.telemetry import COUNTERS, GAUGES, HISTOGRAMS, OBSERVABLE_COUNTERS

ROOT = Path(__file__).parent.parent


def rows(page):
    """Returns the cells of all table rows of a page."""
    lines = (ROOT / "docs" / page).read_text().splitlines()
    return [[c.strip() for c in line.strip("|").split("|")] for line in lines if line[:1] == "|"]


def test_each_reason_has_its_status():
    """Guards against a refusal that callers can't look up, or one with another status."""
    listed = {r[1].strip("`"): r[0] for r in rows("api.md") if len(r) == 4 and r[1][:1] == "`"}
    listed.pop("unknown", None)
    listed = {name: status for name, status in listed.items() if status.isdigit()}
    assert listed == {x.value: str(status.value) for x, status in STATUS_BY_REASON.items()}


def test_each_metric_is_described():
    """Guards against a metric without an alarm, and an alarm on a metric that no longer exists."""
    tables = (COUNTERS, GAUGES, HISTOGRAMS, OBSERVABLE_COUNTERS)
    names = {name for table in tables for name, _, _ in table.values()}
    described = {r[0].strip("`") for r in rows("operations.md") if "hornbeamramp." in r[0]}
    assert described == names


def test_each_log_part_is_described():
    """Guards against a log part that operators can't look up."""
    sources = (ROOT / "hornbeamramp").rglob("*.py")
    parts = {p for s in sources for p in re.findall(r'Logger\("(\w+)"\)', s.read_text())}
    described = {r[0].strip("`") for r in rows("operations.md") if len(r) == 2 and r[0][:1] == "`"}
    assert described == parts
