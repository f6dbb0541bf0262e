"""One fault injected at one step, under a mixed load, while all guarantees are checked.

A step belongs to a message, so the fault is injected just before the message takes effect.
"""

import asyncio
from collections.abc import Callable

import pytest

from hornbeamramp.jobs import Unknown
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.states import Step
from hornbeamramp.tables import Quota
from tests.support.cell import POOL, SECOND, SimulatedCell, Vm, run_cell

HOME = "gebze"
FAULT_DURATION = 15 * SECOND
# Longer than any resolution of an unknown outcome takes once the faults have ended.
ANSWER_LIMIT = 90 * SECOND


def kill_vm(cell: SimulatedCell, vm: Vm) -> None:
    vm.kill()


def lose_vm(cell: SimulatedCell, vm: Vm) -> None:
    vm.kill(lost=True)


def pause_vm(cell: SimulatedCell, vm: Vm) -> None:
    vm.pause.pause()


def pause_briefly(cell: SimulatedCell, vm: Vm) -> None:
    """Pauses until after the lease has expired, but resumes before another VM may claim."""
    vm.pause.pause()
    asyncio.get_running_loop().create_task(_resume(cell, vm))


async def _resume(cell: SimulatedCell, vm: Vm) -> None:
    await cell.clock.sleep(6.2 * SECOND)
    vm.pause.resume()


def kill_upstream(cell: SimulatedCell, vm: Vm) -> None:
    cell.workers_in(HOME)[0].die()


def mark_upstreams_leaving(cell: SimulatedCell, vm: Vm) -> None:
    cell.workers_in(HOME)[0].leave()
    cell.list_as_leaving(cell.workers_in(HOME)[1].name)


def fail_upstream(cell: SimulatedCell, vm: Vm) -> None:
    cell.workers_in(HOME)[0].fail_all = True


def isolate_data_centre(cell: SimulatedCell, vm: Vm) -> None:
    cell.isolate(HOME)


def cut_peers(cell: SimulatedCell, vm: Vm) -> None:
    for other in cell.vm.values():
        if other is not vm:
            cell.network.cut(vm.name, other.name)


def stop_store(cell: SimulatedCell, vm: Vm) -> None:
    cell.platform.mode = StoreMode.DOWN


def slow_store(cell: SimulatedCell, vm: Vm) -> None:
    cell.platform.delay = 3 * SECOND
    cell.platform.mode = StoreMode.SLOW


def lose_store_answers(cell: SimulatedCell, vm: Vm) -> None:
    vm.store.answers_to_lose = 3


def restore_older_store(cell: SimulatedCell, vm: Vm) -> None:
    cell.platform.restore(cell.older_entries)


def delay_messages(cell: SimulatedCell, vm: Vm) -> None:
    for other in cell.vm.values():
        cell.network.faults(vm.name, other.name).delay = 1.5 * SECOND
        cell.network.faults(other.name, vm.name).delay = 1.5 * SECOND
    for worker in cell.worker:
        vm.upstream_faults(worker).starts_delayed_by = 4 * SECOND


def duplicate_messages(cell: SimulatedCell, vm: Vm) -> None:
    for other in cell.vm.values():
        cell.network.faults(vm.name, other.name).duplicates = 50
        cell.network.faults(other.name, vm.name).duplicates = 50
    for worker in cell.worker:
        vm.upstream_faults(worker).duplicate_starts = 10


def corrupt_answers(cell: SimulatedCell, vm: Vm) -> None:
    for worker in cell.worker:
        vm.upstream_faults(worker).crossed_answers = 2
        vm.upstream_faults(worker).truncated_answers = 2


def drop_messages(cell: SimulatedCell, vm: Vm) -> None:
    for worker in cell.worker:
        vm.upstream_faults(worker).silent = 3
    for other in cell.vm.values():
        cell.network.faults(vm.name, other.name).drop_requests = 2
        cell.network.faults(other.name, vm.name).drop_replies = 2


def kill_vm_in_outage(cell: SimulatedCell, vm: Vm) -> None:
    cell.platform.mode = StoreMode.DOWN
    vm.kill()


FAULTS: dict[str, Callable[[SimulatedCell, Vm], None]] = {
    "process killed": kill_vm,
    "process paused beyond the lease": pause_vm,
    "VM lost": lose_vm,
    "upstream dies": kill_upstream,
    "upstream leaving": mark_upstreams_leaving,
    "upstream fails everything": fail_upstream,
    "data centre cut off": isolate_data_centre,
    "peers cut from each other": cut_peers,
    "store down": stop_store,
    "store slow": slow_store,
    "store answer lost": lose_store_answers,
    "store returns with older state": restore_older_store,
    "lease lapses while paused": pause_briefly,
    "message late": delay_messages,
    "message twice": duplicate_messages,
    "connection silent": drop_messages,
    "two faults at once": kill_vm_in_outage,
}
UPSTREAM_STEPS = [
    Step.START,
    Step.RUN,
    Step.ANSWER,
    Step.CANCEL,
    Step.CLAIM,
    Step.RENEW,
    Step.RECOVER,
    Step.DRAIN,
]
STORE_STEPS = [Step.JOURNAL, Step.START, Step.CLAIM, Step.RENEW, Step.RECOVER, Step.DRAIN]
STORE_STEPS += [Step.CHANGE_ACCEPTED, Step.CHANGE_APPLIED]
ALL_STEPS = list(Step)
MESSAGE_STEPS = [step for step in Step if step is not Step.ADMIT]
LEASE_STEPS = [*UPSTREAM_STEPS, Step.JOURNAL]
STEPS_BY_FAULT: dict[str, list[Step]] = {
    "process killed": ALL_STEPS,
    "process paused beyond the lease": ALL_STEPS,
    "VM lost": ALL_STEPS,
    "upstream dies": UPSTREAM_STEPS,
    "upstream leaving": UPSTREAM_STEPS,
    "upstream fails everything": UPSTREAM_STEPS,
    "data centre cut off": MESSAGE_STEPS,
    "peers cut from each other": [s for s in MESSAGE_STEPS if s not in (Step.START, Step.RUN)],
    "store down": STORE_STEPS,
    "store slow": STORE_STEPS,
    "store answer lost": STORE_STEPS,
    "store returns with older state": STORE_STEPS,
    "lease lapses while paused": LEASE_STEPS,
    "message late": MESSAGE_STEPS,
    "message twice": MESSAGE_STEPS,
    "connection silent": MESSAGE_STEPS,
    "two faults at once": ALL_STEPS,
}


def matrix_cells():
    for fault, steps in STEPS_BY_FAULT.items():
        for step in steps:
            mark = pytest.mark.fault(fault=fault, step=step.value)
            yield pytest.param(fault, step, marks=mark, id=f"{fault}-{step.value}")


def submit_mixed(cell: SimulatedCell, vm: Vm) -> None:
    """Submits jobs of each kind, with and without a key or an asynchronous reply, at ``vm``."""
    vm.submit(cell.job(run=3 * SECOND))
    vm.submit(cell.job(run=3 * SECOND, idempotent=False))
    vm.submit(cell.job(run=SECOND / 2, key="mixed", idempotent=False))
    vm.submit(cell.job(run=8 * SECOND, asynchronous=True))
    vm.submit(cell.job("sort", run=2 * SECOND, tasks=2))
    vm.submit(cell.job("gate", tasks=2))


def propose_quota(cell: SimulatedCell, vm: Vm, weight: float) -> asyncio.Task:
    tables = vm.parts.configuration.tables
    row = tables.pool_by_name[POOL]
    changed = type(row)(row.name, row.upstreams, {"yard": Quota(weight=weight)})
    version = tables.pool_version_by_name[POOL]
    return cell.begin_proposal(vm, "pools", POOL, changed, version)


async def reach_step(cell: SimulatedCell, step: Step, inject: Callable[[Vm], None]) -> None:
    """Makes ``step`` happen in the home data centre and injects the fault at that moment."""
    owner = cell.owner_in(HOME)
    entry = cell.other_vm(owner)
    if step in (Step.CANCEL, Step.CLAIM, Step.RECOVER, Step.DRAIN):
        submit_mixed(cell, entry)
        await cell.advance(SECOND)
        cell.on_step(step, inject)
        if step is Step.CANCEL:
            for call in cell.calls:
                entry.cancel(call)
        elif step is Step.DRAIN:
            owner.stop()
        else:
            owner.kill()
    elif step in (Step.CHANGE_ACCEPTED, Step.CHANGE_APPLIED):
        if step is Step.CHANGE_ACCEPTED:
            cell.on_step(step, inject)
            propose_quota(cell, entry, 2.0)
        else:
            task = propose_quota(cell, entry, 2.0)
            await cell.wait_for(task.done, SECOND)
            inject(owner)
        submit_mixed(cell, entry)
    elif step is Step.RUN:
        submit_mixed(cell, entry)
        await cell.advance(SECOND)
        inject(owner)
    else:
        cell.on_step(step, inject)
        submit_mixed(cell, entry)


@pytest.mark.parametrize(("fault", "step"), list(matrix_cells()))
def test_guarantees_hold(fault, step):
    """Guards against a fault that breaks a guarantee or leaves a caller without an outcome."""

    async def scenario(cell: SimulatedCell) -> None:
        cell.older_entries = cell.platform.entries()
        propose_quota(cell, cell.owner_in(HOME), 1.5)
        await cell.advance(SECOND)
        faulted_vms = []

        def inject(vm: Vm) -> None:
            faulted_vms.append(vm)
            FAULTS[fault](cell, vm)

        await reach_step(cell, step, inject)
        await cell.wait_for(lambda: faulted_vms, 40 * SECOND)
        await cell.advance(FAULT_DURATION)
        cell.heal()
        for worker in cell.worker.values():
            worker.is_up, worker.fail_all = True, False
        for name, _ in cell.names:
            if not cell.vm[name].is_running:
                cell.start_vm(name)
        await cell.wait_for(lambda: all(call.answered for call in cell.calls), ANSWER_LIMIT)
        await cell.advance(10 * SECOND)

    run_cell(scenario, vm_count=3)


def test_mixed_load_has_no_unknown_outcome_without_a_fault():
    """Guards against a load that fails without a fault, which would make the matrix meaningless."""

    async def scenario(cell: SimulatedCell) -> None:
        submit_mixed(cell, cell.other_vm(cell.owner_in(HOME)))
        await cell.wait_for(lambda: all(call.answered for call in cell.calls), 20 * SECOND)
        for call in cell.calls:
            assert call.accepted or not isinstance(call.outcome, Unknown), call

    run_cell(scenario)
