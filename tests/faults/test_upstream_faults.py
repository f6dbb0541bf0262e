"""Upstreams that die, leave or fail everything."""

from hornbeamramp.jobs import Completed
from tests.support.cell import SECOND, run_cell


def test_service_that_is_not_idempotent_is_not_restarted():
    """Guards against a second start of a service marked idempotent=False after it failed (G5)."""

    async def scenario(cell):
        for worker in cell.workers_in("gebze"):
            worker.fail_all = True
        call = cell.vm["gebze-0"].submit(cell.job("gate", idempotent=False))
        await cell.advance(20 * SECOND)
        assert isinstance(call.outcome, Completed)
        assert len(cell.checker.runs()) == 1

    run_cell(scenario)
