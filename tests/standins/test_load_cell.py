"""Test of the load generator against real entry processes, and of the latency percentiles."""

from hornbeamramp.standins.cell import LocalCell, WorkerSpec
from hornbeamramp.standins.latency import percentile
from hornbeamramp.standins.load import LoadPlan, RouteLoad, run_load

ROUTES = [
    {"name": "ticket", "pool": "tickets", "run_ms": 5},
    {"name": "watcher", "pool": "tickets", "kind": "service"},
    {"name": "gang", "pool": "tickets", "kind": "gang", "run_ms": 5},
]


def test_load_generator_classifies_responses_of_the_caller_api(run):
    """Guards against responses of the real caller API that the generator classifies wrongly."""

    async def scenario():
        workers = [WorkerSpec(f"worker-{n}", "gebze", "tickets") for n in (1, 2)]
        async with LocalCell(["gebze"], 2, workers) as cell:
            await cell.put_tables(ROUTES)
            await cell.wait_serving()
            plan = LoadPlan(
                addresses=[f"127.0.0.1:{entry.callers}" for entry in cell.entries],
                routes=[
                    RouteLoad(name="ticket", weight=6, tasks=2),
                    RouteLoad(name="gang", weight=2, tasks=2, keyed=True),
                    RouteLoad(name="watcher", weight=0.5),
                    RouteLoad(name="ticket", weight=1, respond_async=True),
                    RouteLoad(name="nowhere", weight=1),
                ],
                rate=20,
                duration=2,
            )
            return await run_load(plan)

    report = run(scenario())
    outcomes = {(row.route, row.outcome) for row in report.rows}
    assert outcomes == {
        ("ticket", "completed"),
        ("ticket", "accepted"),
        ("gang", "completed"),
        ("watcher", "completed"),
        ("nowhere", "not_run"),
    }
    assert sum(row.count for row in report.rows) == report.due == 40


def test_percentile():
    """Guards against an off-by-one error that leaves the slowest request out."""
    values = [float(n) for n in range(1, 101)]
    assert (percentile(values, 0.5), percentile(values, 0.99)) == (50.0, 99.0)
    assert percentile([7.0], 0.99) == 7.0
