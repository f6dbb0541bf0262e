"""When a VM counts as isolated, and what its callers are answered then."""

import asyncio
from datetime import timedelta

import pytest

from hornbeamramp.errors import UnreachableError
from hornbeamramp.states import Step
from hornbeamramp.vm.isolation import IsolationDetector
from hornbeamramp.vm.messages import PingReply
from tests.model.cell import ModelCell, job
from tests.model.virtual_time import LoopClock, run_in_virtual_time, stand_still


class Peers:
    """Peers of which only those in ``answering`` answer a ping."""

    def __init__(self, answering):
        self.answering = answering
        self.pinged = []

    async def call(self, address, request, timeout, step):
        self.pinged.append(address)
        if address not in self.answering:
            await asyncio.sleep(timeout.total_seconds())
            raise UnreachableError(Step.FORWARD, address, "no answer")
        await asyncio.sleep(0.001)
        return PingReply()


async def detect(answering, ping_targets, store_age_s, seconds=2.0):
    """Runs a detector while the store's last answer has a constant age."""
    clock = LoopClock()
    peers = Peers(answering)
    detector = IsolationDetector(
        peers,
        clock,
        lambda: clock.boot_time() - timedelta(seconds=store_age_s),
        lambda: ping_targets,
    )
    task = asyncio.create_task(detector.run())
    await asyncio.sleep(seconds)
    task.cancel()
    return detector.is_isolated, peers


@pytest.mark.parametrize(
    ("answering", "ping_targets", "store_age_s", "expected"),
    [
        (set(), ["a", "b"], 5.0, True),
        ({"b"}, ["a", "b"], 5.0, False),
        (set(), ["a", "b"], 0.3, False),
        (set(), [], 5.0, False),
    ],
    ids=["all-silent", "store-down-for-all", "store-answers", "only-vm"],
)
def test_vm_is_cut_off_without_store_and_other_vms(answering, ping_targets, store_age_s, expected):
    is_isolated, _ = run_in_virtual_time(detect(answering, ping_targets, store_age_s))
    assert is_isolated is expected


# Guards against a VM that reports itself as cut off although the store has just answered, as its
# link is full or its event loop busy while it waits for other VMs.
@pytest.mark.parametrize("stall_s", [0.0, 0.2, 0.38, 0.45])
def test_answer_of_the_store_during_the_pings_counts(stall_s):
    async def scenario():
        clock = LoopClock()
        answered_at = clock.boot_time()
        states = []

        class FullLink(Peers):
            async def call(self, address, request, timeout, step):
                nonlocal answered_at
                stand_still(stall_s / 2)
                await asyncio.sleep(timeout.total_seconds() / 2)
                answered_at = clock.boot_time()
                await asyncio.sleep(timeout.total_seconds() / 2)
                raise UnreachableError(Step.FORWARD, address, "no answer")

        detector = IsolationDetector(
            FullLink(set()), clock, lambda: answered_at, lambda: ["a", "b"]
        )
        task = asyncio.create_task(detector.run())
        for _ in range(60):
            await asyncio.sleep(0.05)
            states.append(detector.is_isolated)
        task.cancel()
        assert not any(states)

    run_in_virtual_time(scenario())


# Guards against a VM that keeps its callers for as long as it is both busy and really cut off.
def test_busy_vm_that_is_cut_off_is_found():
    async def scenario():
        busy = asyncio.create_task(be_busy(0.4, 0.1))
        try:
            is_isolated, _ = await detect(set(), ["a", "b"], 5.0, 5.0)
        finally:
            busy.cancel()
        assert is_isolated

    run_in_virtual_time(scenario())


async def be_busy(stall_s, pause_s):
    """Lets the event loop stand still again and again."""
    while True:
        await asyncio.sleep(pause_s)
        stand_still(stall_s)


# Guards against a busy VM that reports itself as cut off and refuses its callers, as it had no time
# to read the answers of the store and of other VMs.
@pytest.mark.parametrize("stall_s", [0.4, 0.6, 1.2])
def test_vm_whose_event_loop_stands_still_is_not_isolated(stall_s):
    async def scenario():
        clock = LoopClock()
        answered_at = clock.boot_time()
        states = []

        async def renew():
            nonlocal answered_at
            while True:
                await asyncio.sleep(0.35)
                answered_at = clock.boot_time()

        detector = IsolationDetector(Peers(set()), clock, lambda: answered_at, lambda: ["a", "b"])
        tasks = [asyncio.create_task(t) for t in (detector.run(), renew(), be_busy(stall_s, 0.5))]
        for _ in range(200):
            await asyncio.sleep(0.05)
            states.append(detector.is_isolated)
        for task in tasks:
            task.cancel()
        assert not any(states)

    run_in_virtual_time(scenario())


def test_no_vm_is_pinged_while_the_store_answers():
    _, peers = run_in_virtual_time(detect({"a"}, ["a"], 0.4))
    assert peers.pinged == []


def test_all_vms_get_their_turn_to_be_pinged():
    """A VM counted as isolated although another VM, which was never pinged, was reachable."""
    ping_targets = [f"vm{number}" for number in range(20)]
    is_isolated, peers = run_in_virtual_time(detect(set(), ping_targets, 5.0, 4.0))
    assert set(peers.pinged) == set(ping_targets)
    assert is_isolated


def test_caller_in_a_data_centre_that_is_cut_off_is_refused_at_once_and_sent_elsewhere():
    """Each caller of an isolated VM waited a second for its answer until the partition ended."""

    async def scenario():
        async with ModelCell(vms=3) as cell:
            owner = await cell.wait_for_owner()
            vm = next(v for v in cell.vm_by_name.values() if v is not owner)
            assert vm.node.is_ready
            vm.store.is_down = True
            cell.network.unreachable_addresses.add(vm.address)
            await asyncio.sleep(1.5)
            assert not vm.node.is_ready
            before = cell.clock.boot_time()
            reply = await cell.submit("a" * 16, job(), vm=vm)
            assert reply.refusal
            assert reply.retry_after >= timedelta(seconds=1)
            assert cell.clock.boot_time() - before < timedelta(milliseconds=50)
            vm.store.is_down = False
            cell.network.unreachable_addresses.discard(vm.address)
            await asyncio.sleep(1.5)
            assert vm.node.is_ready

    run_in_virtual_time(scenario())


def test_vms_stay_ready_while_the_store_is_down_for_all():
    async def scenario():
        async with ModelCell(vms=3) as cell:
            for vm in cell.vm_by_name.values():
                vm.store.is_down = True
            for _ in range(20):
                await asyncio.sleep(0.2)
                assert all(vm.node.is_ready for vm in cell.vm_by_name.values())

    run_in_virtual_time(scenario())
