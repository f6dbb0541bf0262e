"""Operators that change the same table row concurrently."""

import pytest

from hornbeamramp.configuration import VersionConflict
from hornbeamramp.tables import Quota
from tests.support.cell import POOL, SECOND, run_cell


@pytest.mark.fault(fault="operators race", step="change_accepted")
@pytest.mark.fault(fault="operators race", step="change_applied")
def test_one_of_two_concurrent_changes_is_accepted_and_the_loser_gets_the_row():
    """Guards against a change that is accepted and then overwritten by a concurrent one."""

    async def scenario(cell):
        vms = cell.running()
        tables = vms[0].parts.configuration.tables
        row, version = tables.pool_by_name[POOL], tables.pool_version_by_name[POOL]
        rows = [type(row)(row.name, row.upstreams, {"yard": Quota(w)}) for w in (2.0, 3.0)]
        tasks = [
            cell.begin_proposal(vm, "pools", POOL, changed, version)
            for vm, changed in zip(vms, rows, strict=False)
        ]
        await cell.advance(2 * SECOND)
        results = [task.result() for task in tasks]
        assert sorted(result.is_ok() for result in results) == [False, True]
        (winner,) = [row for row, result in zip(rows, results, strict=True) if result.is_ok()]
        (conflict,) = [result.err_value for result in results if result.is_err()]
        assert isinstance(conflict, VersionConflict) and conflict.current == winner
        await cell.advance(20 * SECOND)
        assert all(vm.parts.configuration.tables.pool_by_name[POOL] == winner for vm in vms)

    run_cell(scenario)
