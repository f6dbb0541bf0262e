"""Tests of claims based on the upstreams: a single entry VM and its replacement."""

from tests.cell import SECOND, SHARD, start_processes


def test_replacement_of_a_single_vm_waits_while_tasks_are_renewed(in_cell):
    """Guards against a replacement that reaches the store and claims a shard that is served."""

    async def scenario(cell):
        await start_processes(cell, "a")
        old = cell.process_by_vm["a"]
        old.store.cut = True
        new = cell.start("b")
        cell.cut("a", "b")
        for _ in range(120):
            cell.upstreams.renewed_at_by_epoch = {1: cell.clock.boot_time()}
            await cell.advance(SECOND / 2)
            assert cell.serving() == ["a"]
        cell.kill("a")
        assert await cell.wait_until_served(30 * SECOND) > SECOND
        assert new.ownership.owned == {SHARD: 2}

    in_cell(scenario)


def test_single_vm_without_store_yields_to_the_fence_of_its_replacement(in_cell):
    """Guards against two owners if the old one is idle, so that no task renewal reveals it."""

    async def scenario(cell):
        await start_processes(cell, "a")
        cell.process_by_vm["a"].store.cut = True
        cell.start("b")
        cell.cut("a", "b")
        await cell.advance(60 * SECOND)
        assert cell.serving() == ["b"]

    in_cell(scenario)


def test_replacement_waits_a_minute_without_labels(in_cell):
    """Guards against an early claim if upstreams have no labels that show renewals."""

    async def scenario(cell):
        cell.upstreams.labelled = cell.upstreams.fences = False
        await start_processes(cell, "a")
        cell.kill("a")
        cell.start("b")
        await cell.advance(60 * SECOND)
        assert cell.serving() == []
        await cell.wait_until_served(16 * SECOND)
        assert cell.serving() == ["b"]

    in_cell(scenario)


def test_unreachable_upstream_does_not_hide_renewals_at_the_others(in_cell):
    """Guards against a claim after the wait while the old owner still renews its tasks."""

    async def scenario(cell):
        cell.upstreams.all_answered = False
        await start_processes(cell, "a")
        cell.process_by_vm["a"].store.cut = True
        cell.start("b")
        cell.cut("a", "b")
        for _ in range(180):
            cell.upstreams.renewed_at_by_epoch = {1: cell.clock.boot_time()}
            await cell.advance(SECOND / 2)
            assert cell.serving() == ["a"]

    in_cell(scenario)
