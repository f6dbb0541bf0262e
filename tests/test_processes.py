"""Tests with real processes: killed and paused owners, graceful shutdown, store outages."""

import asyncio
import signal

import pytest

from hornbeamramp.standins.cell import EntryHandle, LocalCell, WorkerSpec

DATA_CENTRE = "gebze"
ROUTES = [
    {"name": "ticket", "pool": "tickets", "band": 0, "run_ms": 50},
    {"name": "plan", "pool": "tickets", "band": 2, "run_ms": 4000},
    {"name": "settlement", "pool": "tickets", "run_ms": 3000, "idempotent": False},
]


def workers() -> list[WorkerSpec]:
    return [
        WorkerSpec(f"worker-{number}", DATA_CENTRE, "tickets", rack=f"rack-{number}")
        for number in (1, 2)
    ]


@pytest.fixture
def cell() -> LocalCell:
    return LocalCell([DATA_CENTRE], 3, workers())


async def prepare(cell: LocalCell) -> tuple[EntryHandle, EntryHandle]:
    """Writes the tables and returns the shard's owner and another entry process."""
    await cell.put_tables(ROUTES)
    await cell.wait_serving()
    status = (await cell.admin_client().status()).unwrap()
    owner_vm = status["shards"][0]["owner"]
    owner = next(entry for entry in cell.entries if entry.vm == owner_vm)
    other = next(entry for entry in cell.entries if entry.vm != owner_vm)
    return owner, other


def starts_by_job(logs) -> dict[str, int]:
    counts: dict[str, int] = {}
    for log in logs:
        for entry in log["entries"]:
            if entry["event"] == "start":
                counts[entry["job_id"]] = counts.get(entry["job_id"], 0) + 1
    return counts


async def assert_one_start_each(cell: LocalCell, jobs: int) -> None:
    counts = starts_by_job(await cell.worker_logs())
    assert len(counts) == jobs
    assert set(counts.values()) == {1}


def test_a_running_job_survives_the_death_of_its_owner(cell, run):
    """Guards against a running task that is lost or started twice when its owner is killed."""

    async def scenario():
        async with cell:
            owner, other = await prepare(cell)
            tasks = [
                asyncio.create_task(cell.submit(other, {"route": name, "payload": name}))
                for name in ("plan", "settlement")
            ]
            await asyncio.sleep(1.0)
            owner.program.send_signal(signal.SIGKILL)
            replies = await asyncio.gather(*tasks)
            assert [status for status, _ in replies] == [200, 200]
            await assert_one_start_each(cell, 2)
            status, _ = await cell.submit(other, {"route": "ticket"})
            assert status == 200

    run(scenario())


def test_a_paused_owner_starts_nothing_after_its_lease(cell, run):
    """Guards against two active owners when a process is paused for longer than its lease."""

    async def scenario():
        async with cell:
            owner, other = await prepare(cell)
            running = asyncio.create_task(cell.submit(other, {"route": "plan"}))
            await asyncio.sleep(1.0)
            owner.program.send_signal(signal.SIGSTOP)
            queued = [
                asyncio.create_task(cell.submit(other, {"route": "ticket", "payload": n}))
                for n in range(20)
            ]
            await asyncio.sleep(12.0)
            owner.program.send_signal(signal.SIGCONT)
            replies = await asyncio.gather(running, *queued)
            assert {status for status, _ in replies} == {200}
            for log in await cell.worker_logs():
                assert log["overbooking_attempts"] == 0
            await assert_one_start_each(cell, 21)

    run(scenario())


def test_a_graceful_shutdown_cuts_off_no_request(cell, run):
    """Guards against lost responses when an owner is shut down, as in a rolling restart."""

    async def scenario():
        async with cell:
            owner, other = await prepare(cell)
            at_owner = asyncio.create_task(cell.submit(owner, {"route": "plan", "payload": 1}))
            at_other = asyncio.create_task(cell.submit(other, {"route": "plan", "payload": 2}))
            await asyncio.sleep(1.0)
            assert await owner.program.stop() == 0
            assert (await at_owner)[0] == 200
            status, _ = await cell.submit(other, {"route": "ticket"})
            assert status == 200
            assert (await at_other)[0] == 200
            await assert_one_start_each(cell, 3)

    run(scenario())


def test_idempotent_work_goes_on_while_the_store_is_down(cell, run):
    """Guards against placements that need the store.

    It also guards against accepting work that needs a durable record while the store is down.
    """

    async def scenario():
        async with cell:
            _, other = await prepare(cell)
            await cell.platform_faults(mode="down")
            await asyncio.sleep(9.0)
            for number in range(5):
                status, _ = await cell.submit(other, {"route": "ticket", "payload": number})
                assert status == 200
            status, body = await cell.submit(other, {"route": "settlement"})
            assert (status, body["outcome"]) == (503, "not_run")
            headers = {"Prefer": "respond-async"}
            status, body = await cell.submit(other, {"route": "ticket"}, headers)
            assert (status, body["outcome"]) == (503, "not_run")
            await cell.platform_faults(mode="up")
            await assert_one_start_each(cell, 5)

    run(scenario())


def test_the_same_key_gets_the_same_answer_after_the_owner_died(cell, run):
    """Guards against a second run of a job that a caller retries with the same key."""

    async def scenario():
        async with cell:
            owner, other = await prepare(cell)
            headers = {"Idempotency-Key": "settlement-7"}
            body = {"route": "settlement", "payload": {"supplier": 7}}
            first = await cell.submit(other, body, headers)
            owner.program.send_signal(signal.SIGKILL)
            second = await cell.submit(other, body, headers)
            assert first == second
            assert first[0] == 200
            changed = {**body, "payload": {"supplier": 8}}
            status, problem = await cell.submit(other, changed, headers)
            assert (status, problem["outcome"]) == (422, "not_run")
            await assert_one_start_each(cell, 1)

    run(scenario())


def test_a_new_entry_process_serves_without_the_store(cell, run):
    """Guards against a new VM that can't serve until a store outage ends."""

    async def scenario():
        async with cell:
            await prepare(cell)
            await cell.platform_faults(mode="down")
            seeds = [f"127.0.0.1:{entry.peers}" for entry in cell.entries]
            added = await cell.add_entry("gebze-new", DATA_CENTRE, {"seed_peers": seeds})
            status, _ = await cell.submit(added, {"route": "ticket"})
            assert status == 200
            await cell.platform_faults(mode="up")

    run(scenario())


def test_requests_are_answered_while_their_owner_stays_paused(cell, run):
    """Guards against callers that hang on the connection to a paused process."""

    async def scenario():
        async with cell:
            owner, other = await prepare(cell)
            assert (await cell.submit(other, {"route": "ticket"}))[0] == 200
            owner.program.send_signal(signal.SIGSTOP)
            calls = [cell.submit(other, {"route": "ticket", "payload": n}) for n in range(5)]
            assert {status for status, _ in await asyncio.gather(*calls)} == {200}
            owner.program.send_signal(signal.SIGCONT)

    run(scenario())
