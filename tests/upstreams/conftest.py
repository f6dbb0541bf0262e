"""Fixtures of the upstream adapters' tests."""

import asyncio

import pytest
import uvloop


@pytest.fixture(params=[asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def run(request):
    """Runs a coroutine on asyncio's event loop and on uvloop, which entry processes use."""
    return request.param
