"""Fixtures shared by all tests."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from hornbeamramp.clock import ManualClock
from hornbeamramp.platforms.memory import MemoryPlatform
from tests.cell import Cell


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def store(clock: ManualClock) -> MemoryPlatform:
    return MemoryPlatform(clock)


@pytest.fixture
def run() -> Callable[[Coroutine[Any, Any, Any]], Any]:
    """Runs a coroutine to its end in a new event loop."""
    return asyncio.run


@pytest.fixture
def in_cell(clock, store, run):
    """Runs a scenario with a cell and stops the cell's processes after it."""

    def start(scenario, **options):
        async def main():
            cell = Cell(clock, store, **options)
            try:
                await scenario(cell)
            finally:
                await cell.stop()

        run(main())

    return start
