"""Shares of client accounts in whole cells: refusals reach callers, and survive a takeover."""

import asyncio

import msgspec

from hornbeamramp.ids import AccountId, JobId, RouteName
from hornbeamramp.workload import ClientAccount, ClusterConfig, Pool, RefusalKind, StepSpec
from tests.model.cell import CONFIG_KEY, POOL, REQUEST_TIMEOUT, ModelCell, job
from tests.model.virtual_time import run_in_virtual_time

STUDIO, SCHOOL = AccountId("studio"), AccountId("school")
SMALL = job(StepSpec(1, 1000, 100, estimate_ms=4000))
# All workers of the cell for 4 s.
WIDE = job(StepSpec(4, 8000, 100, estimate_ms=4000))


def with_accounts(scenario, **weights):
    """Runs a scenario in a cell whose accounts have these weights."""

    async def main():
        async with ModelCell() as cell:
            configure(cell, **weights)
            await asyncio.sleep(1)
            await scenario(cell)
            assert cell.fleet.violations == []

    run_in_virtual_time(main())


def configure(cell, **weights):
    cell.version += 3
    accounts = {AccountId(name): ClientAccount(AccountId(name), w) for name, w in weights.items()}
    pools = {POOL: Pool(POOL)}
    config = ClusterConfig(cell.version, dict(cell.queues), pools, account_by_id=accounts)
    cell.store.put(CONFIG_KEY, msgspec.msgpack.encode(config))


async def submit(cell, number, account, vm=None, spec=WIDE):
    job_id = JobId(f"{number:016x}")
    cell.fleet.spec_by_job.setdefault(job_id, spec)
    cell.queue_by_job.setdefault(job_id, "batch")
    vm = vm or next(iter(cell.vm_by_name.values()))
    queue = cell.queues[RouteName("batch")]
    return await vm.service.submit(queue, job_id, spec, REQUEST_TIMEOUT, account)


async def flood(cell, account, jobs, spec=WIDE):
    """Returns the replies to jobs sent 100 ms apart."""
    replies = []
    for number in range(jobs):
        replies.append(await submit(cell, number, account, spec=spec))
        await asyncio.sleep(0.1)
    return replies


def test_job_beyond_the_share_that_can_not_be_on_time_is_refused():
    """Guards against an honest refusal for the account's own excess that reaches its callers as an
    outage, and against one without a time to return."""

    async def scenario(cell):
        replies = await flood(cell, STUDIO, 12)
        refused = [reply for reply in replies if reply.refusal]
        assert refused and not any(reply.refusal for reply in replies[:3])
        assert {reply.kind for reply in refused} == {RefusalKind.BEYOND_SHARE}
        assert all(reply.retry_after.total_seconds() >= 1 for reply in refused)
        # Another account's job is within its share, however long it has to wait.
        assert not (await submit(cell, 100, SCHOOL)).refusal

    with_accounts(scenario, studio=1.0, school=1.0)


def test_refused_job_never_runs_and_a_recorded_one_is_never_refused():
    async def scenario(cell):
        replies = await flood(cell, STUDIO, 12)
        again = await flood(cell, STUDIO, 12)
        for reply, reply_again in zip(replies, again, strict=True):
            assert reply.refusal or not reply_again.refusal
        await asyncio.sleep(60)
        started = {task.split(".")[0] for _, _, task, _ in cell.fleet.starts}
        for number, reply in enumerate(again):
            assert (f"{number:016x}" in started) is not bool(reply.refusal)

    with_accounts(scenario, studio=1.0)


def test_nothing_is_refused_without_accounts():
    async def scenario(cell):
        assert not any(reply.refusal for reply in await flood(cell, STUDIO, 20))

    with_accounts(scenario)


def test_successor_keeps_the_marks_and_what_is_left_of_the_share():
    """Guards against a takeover in a flood that makes its jobs equal to those of the others."""

    async def scenario(cell):
        await flood(cell, STUDIO, 5, SMALL)
        former = cell.owner_vm()
        marks = {
            job_id: owned.record.is_beyond_share for job_id, owned in former.owner.job_by_id.items()
        }
        assert sorted(marks.values()) == [False] * 2 + [True] * 3
        await former.kill()
        del cell.vm_by_name[former.name]
        successor = await cell.wait_for_owner()
        restored = successor.owner.job_by_id
        assert marks == {j: owned.record.is_beyond_share for j, owned in restored.items()}
        # The next job within the share may come two seconds after the one before.
        for number in (100, 101):
            assert not (await submit(cell, number, STUDIO, successor, SMALL)).refusal
            await asyncio.sleep(2)
        marked = [restored[JobId(f"{number:016x}")].record.is_beyond_share for number in (100, 101)]
        assert marked == [True, False]

    with_accounts(scenario, studio=0.5)
