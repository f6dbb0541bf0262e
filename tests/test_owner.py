"""Tests of `ShardOwner` during recovery."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.durable_jobs import DurableJobs
from hornbeamramp.errors import UnreachableError
from hornbeamramp.ids import Epoch, ShardId, VmId
from hornbeamramp.jobs import BatchJob, NotRun
from hornbeamramp.messages import Misdirected, SubmitRequest
from hornbeamramp.owner import ShardOwner
from hornbeamramp.settings import TimingSettings
from hornbeamramp.states import RefusalReason, Step
from hornbeamramp.tables import Pool, PoolUpstream
from hornbeamramp.telemetry import Metrics

SHARD = ShardId("tickets@gebze")
POOL = Pool("tickets", [PoolUpstream("w-1", "gebze", "10.0.0.1:80")])


class UnresponsiveUpstream:
    """Adapter of an upstream that never answers."""

    async def shape(self):
        raise UnreachableError(Step.RECOVER, "w-1", "no answer")

    async def close(self):
        pass


@pytest.fixture
def make_owner(clock, store):
    def make() -> ShardOwner:
        return ShardOwner(
            SHARD,
            Epoch(1),
            POOL,
            VmId("vm-1"),
            clock,
            TimingSettings(),
            Metrics(),
            lambda: True,
            lambda upstream: UnresponsiveUpstream(),
            DurableJobs(store, clock, SHARD),
        )

    return make


def test_a_job_is_not_refused_before_any_upstream_is_listed(clock, run, make_owner):
    """Guards against refusing jobs for lack of upstreams right after a claim."""

    async def scenario():
        owner = make_owner()
        running = asyncio.create_task(owner.run())
        job = BatchJob(id="a", route="ticket", pool="tickets", team="t")
        await clock.advance(timedelta(seconds=1))
        assert isinstance((await owner.submit(SubmitRequest(SHARD, job))).outcome, Misdirected)
        await clock.advance(timedelta(seconds=30))
        outcome = (await owner.submit(SubmitRequest(SHARD, job))).outcome
        assert isinstance(outcome, NotRun) and outcome.reason is RefusalReason.OVERLOAD
        await owner.close()
        running.cancel()

    run(scenario())
