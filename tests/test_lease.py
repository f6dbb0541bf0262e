"""Tests of the process lease."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.errors import ConflictError
from hornbeamramp.lease import ProcessLease
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.settings import TimingSettings
from hornbeamramp.states import Step

SECOND = timedelta(seconds=1)
MARGIN = timedelta(milliseconds=300)


class FakeRegistration:
    """Fake registration: stores each lease; the next ``refusals`` calls fail with a conflict."""

    def __init__(self) -> None:
        self.leases = []
        self.refusals = 0

    async def register(self, lease) -> None:
        if self.refusals > 0:
            self.refusals -= 1
            raise ConflictError(Step.RENEW, "store", "another record", 1)
        self.leases.append(lease)


@pytest.fixture
def registration():
    return FakeRegistration()


@pytest.fixture
def lease(store, clock, registration):
    return ProcessLease(store, clock, TimingSettings(), registration.register)


def test_renewal_counts_from_sending(lease, store, clock, run):
    """Guards against a slow answer after which the lease is considered valid for too long."""

    async def scenario():
        await lease.renew()
        await clock.advance(SECOND)
        store.mode, store.delay = StoreMode.SLOW, 3 * SECOND
        renewal = asyncio.ensure_future(lease.renew())
        await clock.advance(3 * SECOND)
        assert await renewal
        assert lease.valid_until == 7 * SECOND - MARGIN

    run(scenario())


def test_lost_answer_does_not_extend_the_lease(lease, store, clock, run):
    """Guards against counting a renewal that may not have taken effect."""

    async def scenario():
        await lease.renew()
        await clock.advance(SECOND)
        store.answers_to_lose = 1
        assert not await lease.renew()
        assert lease.valid_until == 6 * SECOND - MARGIN
        assert lease.store_available_for() is None

    run(scenario())


def test_ended_lease_is_replaced_and_registered_again(lease, registration, clock, run):
    """Guards against a process that stays without a member record after a long pause."""

    async def scenario():
        await lease.renew()
        first = lease.id
        await clock.advance(10 * SECOND)
        assert not lease.is_valid()
        assert await lease.renew()
        assert lease.id != first and lease.is_valid()
        assert registration.leases == [first, lease.id]

    run(scenario())


def test_lease_does_not_count_before_its_record_is_written(lease, registration, run):
    """Guards against a claim under a lease that other members consider ended."""

    async def scenario():
        registration.refusals = 1
        assert not await lease.renew()
        assert lease.id is None and not lease.is_valid()
        assert await lease.renew()
        assert lease.is_valid()

    run(scenario())


def test_renewals_follow_the_interval(lease, store, clock, run):
    """Guards against store traffic from renewals above one call in two seconds."""

    async def scenario():
        task = asyncio.ensure_future(lease.run())
        await clock.advance(60 * SECOND)
        task.cancel()
        assert store.calls_by_name["renew_lease"] == 30
        assert store.calls_by_name["grant_lease"] == 1

    run(scenario())
