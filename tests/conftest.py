"""Fixtures shared by all tests."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import hypothesis
import logbook
import pytest

from hornbeamramp.clock import ManualClock
from hornbeamramp.platforms.memory import MemoryPlatform
from tests.cell import Cell

# Property tests play the same examples in each run of CI; `make soak` plays fresh ones.
hypothesis.settings.register_profile("fixed", derandomize=True)
hypothesis.settings.register_profile("fresh", derandomize=False)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def store(clock: ManualClock) -> MemoryPlatform:
    return MemoryPlatform(clock)


@pytest.fixture
def run() -> Callable[[Coroutine[Any, Any, Any]], Any]:
    """Runs a coroutine until it completes, in a new event loop."""
    return asyncio.run


@pytest.fixture
def in_cell(clock, store, run):
    """Runs a scenario with a cell and stops the cell's processes afterwards."""

    def start(scenario, **options):
        async def main():
            cell = Cell(clock, store, **options)
            try:
                await scenario(cell)
            finally:
                await cell.stop()

        run(main())

    return start


@pytest.fixture
def log_records():
    """Log records written during the test."""
    with logbook.TestHandler() as handler:
        yield handler.records


ROOT = Path(__file__).resolve().parent.parent


def known_red() -> list[str]:
    """Returns the node ids listed in KNOWN-RED.txt."""
    page = ROOT / "KNOWN-RED.txt"
    lines = page.read_text().splitlines() if page.exists() else []
    return [line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expects the listed tests to fail; a listed test that passes fails the run, unless it is
    marked as one that fails in some runs only."""
    listed = set(known_red())
    marked = {i.nodeid for i in items if i.get_closest_marker("known_red")}
    if marked - listed:
        raise pytest.UsageError(f"not listed in KNOWN-RED.txt: {sorted(marked - listed)}")
    for item in items:
        marker = item.get_closest_marker("known_red")
        if marker:
            is_strict = not marker.kwargs.get("unsteady", False)
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=is_strict))


def pytest_terminal_summary(terminalreporter) -> None:
    failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", [])}
    for nodeid in sorted(failed):
        terminalreporter.write_line(f"known red, see KNOWN-RED.txt: {nodeid}")
    passed = {report.nodeid for report in terminalreporter.stats.get("xpassed", [])}
    for nodeid in sorted(passed):
        terminalreporter.write_line(f"known red, passed in this run: {nodeid}")
