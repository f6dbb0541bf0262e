"""Workers' entries in the store that can't be used: each is left aside alone."""

import asyncio

import msgspec
import pytest
from result import Err

from hornbeamramp import instruments
from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import PoolName
from hornbeamramp.workload import JobPhase
from tests.model.cell import WORKER_PREFIX, job
from tests.vm.test_cell import in_cell

ODD_KEY = f"{WORKER_PREFIX}w9"


@pytest.fixture
def rejections(monkeypatch):
    """Counts of the rejected entries."""
    counts = []

    class Counter:
        add = staticmethod(counts.append)

    monkeypatch.setattr(instruments, "rejected_entries", Counter)
    return counts


def reject_odd_entries(vm, reason="address: 'x' is not an IPv4 address with a port"):
    """Makes a VM reject entries that begin with ``odd``, as the platform's decoder does."""
    decode = vm.node.adapter.decode_worker
    vm.node.adapter.decode_worker = lambda item: (
        Err(reason) if item.value.startswith(b"odd") else decode(item)
    )


def messages(log_records, part):
    return [record.message for record in log_records if part in record.message]


def test_entry_is_logged_and_counted_each_time_that_it_becomes_odd(log_records, rejections):
    """Guards against an entry that turns odd again without a trace, as its key had been logged
    once before, and against a line for each new version of an odd entry."""

    async def scenario(cell):
        vm = await cell.wait_for_owner()
        reject_odd_entries(vm)
        for times in (1, 2):
            for number in range(4):
                cell.store.put(ODD_KEY, b"odd %d" % number)
                await asyncio.sleep(1)
            assert "w9" not in vm.owner.session_by_worker
            assert len(messages(log_records, "ignored: address: ")) == times
            assert rejections == [1] * times
            cell.add_worker("w9")
            await asyncio.sleep(1)
            assert vm.owner.session_by_worker["w9"].usable
        cell.store.put(ODD_KEY, b"odd")
        await asyncio.sleep(1)
        cell.store.remove(ODD_KEY)
        await asyncio.sleep(1)
        assert vm.node._rejected_keys == set()

    in_cell(scenario, vms=1)


def test_line_about_an_odd_entry_is_bounded_and_printable(log_records, rejections):
    async def scenario(cell):
        vm = await cell.wait_for_owner()
        reject_odd_entries(vm, reason="x" * 100_000)
        cell.store.put(f"{WORKER_PREFIX}\n\u2028{'k' * 100_000}", b"odd")
        await asyncio.sleep(1)
        [line] = messages(log_records, "worker entry")
        assert line.isascii() and line.isprintable() and len(line) < 500

    in_cell(scenario, vms=1)


def test_entry_whose_decoding_fails_unexpectedly_is_ignored_alone(log_records, rejections):
    """Guards against one entry that ends the watch of all workers, time and again: no worker that
    came later was used, and none that left was given up."""

    async def scenario(cell):
        vm = await cell.wait_for_owner()
        # The decoder of the model's cell raises for it.
        cell.store.put(ODD_KEY, b"\xc1 no entry")
        await asyncio.sleep(1)
        cell.add_worker("w5")
        cell.store.remove(f"{WORKER_PREFIX}w0")
        await asyncio.sleep(1)
        assert vm.owner.session_by_worker["w5"].usable
        assert "w0" not in vm.owner.session_by_worker
        await cell.submit("a" * 16, job())
        await cell.wait_for_phase("a" * 16, JobPhase.COMPLETED)
        assert messages(log_records, "failed unexpectedly") == []
        assert len(messages(log_records, "worker entry")) == 1

    in_cell(scenario, vms=1)


def test_pool_is_taken_over_while_an_entry_can_not_be_decoded(rejections):
    """Guards against one entry that keeps each VM from taking over a pool."""

    async def scenario(cell):
        vm = await cell.wait_for_owner()
        cell.store.put(ODD_KEY, b"\xc1 no entry")
        await vm.kill()
        await cell.wait_for_owner(timeout_s=10)

    in_cell(scenario)


def test_worker_whose_entry_turns_odd_gets_no_new_tasks_and_keeps_those_it_runs(rejections):
    async def scenario(cell):
        vm = await cell.wait_for_owner()
        reject_odd_entries(vm)
        [session] = vm.owner.session_by_worker.values()
        await cell.submit("a" * 16, job())
        await asyncio.sleep(0.2)
        assert len(session.attempt_by_key) == 1
        cell.store.put(f"{WORKER_PREFIX}w0", b"odd")
        await cell.wait_for_phase("a" * 16, JobPhase.COMPLETED)
        await cell.submit("b" * 16, job())
        await asyncio.sleep(3)
        assert await cell.phase("b" * 16) is JobPhase.QUEUED
        cell.list_worker("w0")
        await cell.wait_for_phase("b" * 16, JobPhase.COMPLETED, timeout_s=5)
        assert len(cell.fleet.starts) == 2

    in_cell(scenario, vms=1, workers=1)


def test_worker_whose_entry_turns_odd_after_a_store_outage_is_not_used(rejections):
    """Guards against an odd entry that counts as one that has expired with the store: for 2.5 s,
    the worker was used by its entry before."""

    async def scenario(cell):
        vm = await cell.wait_for_owner()
        reject_odd_entries(vm)
        vm.node.store.recovered_at = cell.clock.boot_time()
        cell.store.put(f"{WORKER_PREFIX}w0", b"odd")
        cell.store.remove(f"{WORKER_PREFIX}w1")
        await asyncio.sleep(1)
        assert vm.owner.session_by_worker["w1"].usable
        session = vm.owner.session_by_worker.get("w0")
        assert session is None or not session.is_listed

    in_cell(scenario, vms=1, workers=2)


def test_worker_whose_entry_names_another_pool_gets_no_new_tasks(rejections):
    """Guards against a pool that goes on using a worker by the entry that it had before."""

    async def scenario(cell):
        vm = await cell.wait_for_owner()
        await cell.submit("a" * 16, job())
        await asyncio.sleep(0.2)
        entry = cell.store.item_by_key[f"{WORKER_PREFIX}w0"].value
        listing = msgspec.msgpack.decode(entry, type=WorkerListing)
        moved = msgspec.structs.replace(listing, pool=PoolName("other"))
        cell.store.put(f"{WORKER_PREFIX}w0", msgspec.msgpack.encode(moved))
        await cell.wait_for_phase("a" * 16, JobPhase.COMPLETED)
        await asyncio.sleep(1)
        await cell.submit("b" * 16, job())
        await asyncio.sleep(3)
        assert await cell.phase("b" * 16) is JobPhase.QUEUED
        await vm.kill()
        await cell.start_vm(vm.name)
        await cell.wait_for_owner()
        await asyncio.sleep(3)
        assert await cell.phase("b" * 16) is JobPhase.QUEUED
        cell.list_worker("w0")
        await cell.wait_for_phase("b" * 16, JobPhase.COMPLETED, timeout_s=5)
        assert len(cell.fleet.starts) == 2

    in_cell(scenario, vms=1, workers=1)
