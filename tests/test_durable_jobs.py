"""Tests of the job state that survives a change of owner: keys, accepted jobs, intents, answers."""

from hornbeamramp.decisions import Start
from hornbeamramp.durable_jobs import DurableJobs
from hornbeamramp.ids import Epoch, JobId, ShardId
from hornbeamramp.jobs import BatchJob, Completed, NotRun
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.resources import Resources
from hornbeamramp.states import RefusalReason

SHARD = ShardId("tickets@gebze")


def make_job(job_id: str, **fields) -> BatchJob:
    return BatchJob(id=JobId(job_id), route="settlement", pool="tickets", team="t", **fields)


def start_of(job: BatchJob) -> Start:
    return Start(f"{job.id}.0.1.1", job, 0, "w-1", Resources(), job.declared_run)


async def open_durable_jobs(store, clock, epoch: int) -> DurableJobs:
    durable = DurableJobs(store, clock, SHARD)
    await durable.open(Epoch(epoch))
    return durable


def test_a_key_and_its_answer_outlive_the_owner(store, clock, run):
    """Guards against a second run of a job with a key that is sent again after its owner failed."""

    async def scenario():
        first = await open_durable_jobs(store, clock, 1)
        done = make_job("a", key="k")
        (await first.record_accepted(done)).unwrap()
        outcome = Completed(done.id, [], "gebze")
        await first.record_ended(done, outcome)
        second = await open_durable_jobs(store, clock, 2)
        assert second.find_key(make_job("b", key="k")).unwrap() == "a"
        assert second.answer(JobId("a")) == outcome
        other = second.find_key(make_job("c", key="k", payload=b"other")).unwrap_err()
        assert other.reason is RefusalReason.KEY_REUSED

    run(scenario())


def test_an_intent_without_an_end_may_have_run(store, clock, run):
    """Guards against starting a non-idempotent job again after its owner failed."""

    async def scenario():
        first = await open_durable_jobs(store, clock, 1)
        booking = make_job("a", idempotent=False)
        assert await first.record_intent(start_of(booking))
        second = await open_durable_jobs(store, clock, 2)
        assert second.may_have_run(JobId("a"))

    run(scenario())


def test_nothing_that_must_last_is_accepted_without_the_store(store, clock, run):
    """Guards against a 202 reply for a job that is not recorded in the store."""

    async def scenario():
        durable = await open_durable_jobs(store, clock, 1)
        store.mode = StoreMode.DOWN
        refused = (await durable.record_accepted(make_job("a", asynchronous=True))).unwrap_err()
        assert refused.reason is RefusalReason.STORE_UNAVAILABLE
        assert not await durable.record_intent(start_of(make_job("b", idempotent=False)))
        (await durable.record_accepted(make_job("c", key="k"))).unwrap()
        assert durable.find_key(make_job("d", key="k")).unwrap() == "c"

    run(scenario())


def test_a_job_that_did_not_run_frees_its_key(store, clock, run):
    """Guards against a key whose repeated requests are all answered "not run"."""

    async def scenario():
        durable = await open_durable_jobs(store, clock, 1)
        refused = make_job("a", key="k")
        (await durable.record_accepted(refused)).unwrap()
        await durable.record_ended(refused, NotRun(refused.id, RefusalReason.EXPIRED, ""))
        assert durable.find_key(make_job("b", key="k")).unwrap() is None

    run(scenario())
