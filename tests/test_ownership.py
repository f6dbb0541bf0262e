"""Tests of ownership: claim, kill, hand-over, outages and partitions, by a manual clock."""

import asyncio

import pytest

from tests.cell import SECOND, SHARD, Cell

TTL = 6 * SECOND


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


async def calm(cell: Cell, *names: str) -> None:
    """Starts processes and waits until one serves and all know each other."""
    for name in names:
        cell.start(name)
    await cell.advance(10 * SECOND)
    assert len(cell.serving()) == 1


def test_first_process_serves_at_once(in_cell):
    """Guards against a new shard that waits for a lease which never existed."""

    async def scenario(cell):
        cell.start("a")
        assert await cell.wait_until_served(3 * SECOND) < 3 * SECOND
        assert cell.process_by_vm["a"].events == [("gained", SHARD, 1)]

    in_cell(scenario)


@pytest.mark.parametrize("count", [2, 3, 6])
def test_killed_owner_is_replaced_within_ttl_and_two_seconds(in_cell, count):
    """Guards against a shard that stays without an owner after a crash."""

    async def scenario(cell):
        names = [f"vm{i}" for i in range(count)]
        await calm(cell, *names)
        cell.kill(cell.serving()[0])
        assert await cell.wait_until_served(TTL + 2 * SECOND) <= TTL + 2 * SECOND

    in_cell(scenario)


def test_hand_over_takes_less_than_a_second(in_cell):
    """Guards against a graceful shutdown that makes callers wait for the lease."""

    async def scenario(cell):
        await calm(cell, "a", "b", "c")
        owner = cell.process_by_vm[cell.serving()[0]]
        began = cell.clock.boot_time()
        leaving = asyncio.ensure_future(owner.ownership.hand_over_all())
        await cell.advance(SECOND / 10)
        await cell.wait_until_served(SECOND)
        assert cell.clock.boot_time() - began < SECOND
        assert leaving.done()
        assert cell.serving() != [owner.vm]
        assert ("lost", SHARD) in owner.events

    in_cell(scenario)
