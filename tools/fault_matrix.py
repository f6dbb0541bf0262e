"""Writes docs/fault-matrix.md: which test covers which fault at which step.

Usage: ``python tools/fault_matrix.py [--check]``. With ``--check`` nothing is written and the exit
code is 1 if the page is not current. Tests name their cells with ``@pytest.mark.fault``; see
`fault_matrix_reasons` for cells that can't occur.
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
from tools.fault_matrix_reasons import FAULTS, REASON_BY_LETTER, reason_of  # noqa: E402

PAGE = ROOT / "docs" / "fault-matrix.md"
STEPS = [step.value for step in Step]
Cell = tuple[str, str]
HEADING = """# Fault matrix

Written by `make matrix` from the tests marked with `@pytest.mark.fault`. A number names a covering
test below; `red` marks a test listed in KNOWN-RED.txt; `not proved` marks a cell without a test;
`n/a` is followed by the letter of its reason.
"""


class Collector:
    """Pytest plug-in that notes the marked tests, by cell, and those known to fail."""

    def __init__(self) -> None:
        self.tests_by_cell: dict[Cell, list[str]] = {}
        self.red: set[str] = set()

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        for item in session.items:
            name = item.nodeid.partition("[")[0]
            if item.get_closest_marker("known_red") is not None:
                self.red.add(name)
            for marker in item.iter_markers("fault"):
                cell = (marker.kwargs["fault"], marker.kwargs["step"])
                tests = self.tests_by_cell.setdefault(cell, [])
                if name not in tests:
                    tests.append(name)


def collect() -> Collector:
    """Returns the marked tests. Raises ``ValueError`` for an unknown fault or step."""
    collector = Collector()
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        arguments = ["--collect-only", "-q", "-p", "no:cacheprovider", str(ROOT / "tests")]
        code = pytest.main(["--rootdir", str(ROOT), *arguments], plugins=[collector])
    if code != pytest.ExitCode.OK:
        raise ValueError(f"the tests can't be collected:\n{output.getvalue()}")
    stale = set(known_red()) - collector.red
    if stale:
        raise ValueError(f"listed in KNOWN-RED.txt, but not marked: {sorted(stale)}")
    for fault, step in collector.tests_by_cell:
        if fault not in FAULTS or step not in STEPS:
            raise ValueError(f"no such cell of the matrix: fault={fault!r}, step={step!r}")
        if reason_of(fault, step):
            raise ValueError(f"a test covers a cell listed as n/a: fault={fault!r}, step={step!r}")
    return collector


def page(collector: Collector) -> str:
    """Returns the text of the page."""
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
    ruler = "|---" * (len(STEPS) + 1) + "|"
    total = ", ".join(f"{counts[kind]} {kind}" for kind in ("covered", "red", "not proved", "n/a"))
    tests = [f"{number}. `{name}`" for name, number in number_by_name.items()]
    reasons = [f"- ({letter}) {reason}" for letter, reason in REASON_BY_LETTER.items()]
    parts = [HEADING, f"{total}.\n", "\n".join([header, ruler, *rows]) + "\n"]
    parts += ["## Tests\n", "\n".join(tests) + "\n", "## Reasons for n/a\n", "\n".join(reasons)]
    return "\n".join(parts) + "\n"


def _cell(
    collector: Collector, number_by_name: dict[str, int], fault: str, step: str
) -> tuple[str, str]:
    """Returns the kind of a cell for the count and its text."""
    tests = collector.tests_by_cell.get((fault, step))
    if not tests:
        letter = reason_of(fault, step)
        return ("n/a", f"n/a ({letter})") if letter else ("not proved", "not proved")
    numbers = " ".join(str(number_by_name[name]) for name in sorted(tests))
    red = any(name in collector.red for name in tests)
    return ("red", f"red {numbers}") if red else ("covered", numbers)


def main(arguments: list[str]) -> int:
    text = page(collect())
    if "--check" not in arguments:
        PAGE.write_text(text)
        return 0
    if PAGE.exists() and PAGE.read_text() == text:
        return 0
    print(f"{PAGE.relative_to(ROOT)} is not current; run make matrix", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
