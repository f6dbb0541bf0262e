"""Writes docs/fault-matrix.md: which test covers which fault at which step.

Usage: ``python tools/fault_matrix.py [--check]``. With ``--check``, nothing is written and the exit
status is 1 if the page is out of date. Tests name the cells that they cover with
``@pytest.mark.fault``; `fault_matrix_reasons` lists the cells that can't occur.
"""

import contextlib
import io
import sys
from collections import Counter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from hornbeamramp.states import Step  # noqa: E402
from tests.conftest import known_red  # noqa: E402
from tools.fault_matrix_reasons import FAULTS, REASON_BY_LETTER, reason_letter  # noqa: E402

PAGE = ROOT / "docs" / "fault-matrix.md"
STEPS = [step.value for step in Step]
Cell = tuple[str, str]
HEADING = """# Fault matrix

Written by `make matrix` from the tests marked with `@pytest.mark.fault`. A number names a covering
test below; `red` marks a test listed in KNOWN-RED.txt; `not proved` marks a cell without a test;
`n/a` is followed by the letter of its reason.
"""


class Collector:
    """Pytest plug-in that records the marked tests by cell and the tests known to fail."""

    def __init__(self) -> None:
        self.tests_by_cell: dict[Cell, list[str]] = {}
        self.known_failing: set[str] = set()

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        for item in session.items:
            name = item.nodeid
            if item.get_closest_marker("known_red") is not None:
                self.known_failing.add(name)
            for marker in item.iter_markers("fault"):
                cell = (marker.kwargs["fault"], marker.kwargs["step"])
                tests = self.tests_by_cell.setdefault(cell, [])
                if name not in tests:
                    tests.append(name)


def collect() -> Collector:
    """Collects the marked tests without running them.

    Raises ``ValueError`` if the collection fails, a test in KNOWN-RED.txt is not marked, or a
    marker names an unknown cell or one listed as n/a.
    """
    collector = Collector()
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        arguments = ["--collect-only", "-q", "-p", "no:cacheprovider", str(ROOT / "tests")]
        code = pytest.main(["--rootdir", str(ROOT), *arguments], plugins=[collector])
    if code != pytest.ExitCode.OK:
        raise ValueError(f"test collection failed:\n{output.getvalue()}")
    stale = set(known_red()) - collector.known_failing
    if stale:
        raise ValueError(f"tests in KNOWN-RED.txt without a known_red marker: {sorted(stale)}")
    for fault, step in collector.tests_by_cell:
        if fault not in FAULTS or step not in STEPS:
            raise ValueError(f"unknown cell of the fault matrix: fault={fault!r}, step={step!r}")
        if reason_letter(fault, step):
            raise ValueError(f"a test covers a cell listed as n/a: fault={fault!r}, step={step!r}")
    return collector


def render_page(collector: Collector) -> str:
    """Returns the page as Markdown."""
    names = sorted({name for tests in collector.tests_by_cell.values() for name in tests})
    number_by_name = {name: number for number, name in enumerate(names, start=1)}
    counts: Counter[str] = Counter()
    rows = []
    for fault in FAULTS:
        row = [fault]
        for step in STEPS:
            kind, text = _cell(collector, number_by_name, fault, step)
            counts[kind] += 1
            row.append(text)
        rows.append("| " + " | ".join(row) + " |")
    header = "| fault | " + " | ".join(step.replace("_", " ") for step in STEPS) + " |"
    separator = "|---" * (len(STEPS) + 1) + "|"
    total = ", ".join(f"{counts[kind]} {kind}" for kind in ("covered", "red", "not proved", "n/a"))
    tests = [f"{number}. `{name}`" for name, number in number_by_name.items()]
    reasons = [f"- ({letter}) {reason}" for letter, reason in REASON_BY_LETTER.items()]
    sections = [HEADING, f"{total}.\n", "\n".join([header, separator, *rows]) + "\n"]
    sections += ["## Tests\n", "\n".join(tests) + "\n", "## Reasons for n/a\n", "\n".join(reasons)]
    return "\n".join(sections) + "\n"


def _cell(
    collector: Collector, number_by_name: dict[str, int], fault: str, step: str
) -> tuple[str, str]:
    """Returns the kind of a cell, for the counts, and its text."""
    tests = collector.tests_by_cell.get((fault, step))
    if not tests:
        letter = reason_letter(fault, step)
        return ("n/a", f"n/a ({letter})") if letter else ("not proved", "not proved")
    numbers = " ".join(str(number_by_name[name]) for name in sorted(tests))
    red = any(name in collector.known_failing for name in tests)
    return ("red", f"red {numbers}") if red else ("covered", numbers)


def main(arguments: list[str]) -> int:
    text = render_page(collect())
    if "--check" not in arguments:
        PAGE.write_text(text)
        return 0
    if PAGE.exists() and PAGE.read_text() == text:
        return 0
    print(f"{PAGE.relative_to(ROOT)} is out of date; run make matrix", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
