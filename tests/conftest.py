"""Fixtures shared by all tests."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from hornbeamramp.clock import ManualClock
from hornbeamramp.platforms.memory import MemoryPlatform


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
