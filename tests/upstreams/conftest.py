"""Fixtures of the upstream adapters' tests."""

import asyncio

import pytest
import uvloop


@pytest.fixture(params=[asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def run(request):
    """Runs a coroutine on the standard loop and on the one that entry processes use."""
    return request.param
