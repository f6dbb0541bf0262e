"""A simulated cell of complete entry processes in one event loop, without sockets.

Time passes only by `SimulatedCell.advance`. The same seed and calls give the same run.
"""

import asyncio
import itertools
import random
import uuid
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any
from unittest import mock

from hornbeamramp.ids import ChangeId, JobId, PoolName, RouteName, ShardId, TeamId
from hornbeamramp.jobs import BatchJob, GangJob, Job, ServiceJob
from hornbeamramp.platforms import ListedVm
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.resources import Resources
from hornbeamramp.states import Band, JobKind, Step
from hornbeamramp.tables import Pool, PoolUpstream, Route
from tests.support.checker import GuaranteeChecker
from tests.support.network import PeerNetwork
from tests.support.runtime import SECOND, CellClock, CellPlatform, VmTaskGroup
from tests.support.vm import Call, Vm
from tests.support.workers import ALL_CAPABILITIES, CellWorker

__all__ = ["POOL", "SECOND", "Call", "SimulatedCell", "run_cell"]

POOL = PoolName("weigh")
TASK_RESOURCES = Resources(processors_milli=1000, memory_mib=1024, slots=1, connections=1)
JOB_TYPE_BY_ROUTE: dict[str, type[Job]] = {
    "ticket": BatchJob,
    "gate": ServiceJob,
    "sort": GangJob,
}


class SimulatedCell:
    """Entry VMs, workers, platform and network of a simulated cell.

    `vm_count`
        Number of VMs in each data centre.
    `workers`
        Number of workers in each data centre.
    `capabilities`
        Capabilities of every worker.
    """

    def __init__(
        self,
        seed: int = 0,
        data_centres: tuple[str, ...] = ("gebze", "tuzla"),
        vm_count: int = 2,
        workers: int = 2,
        capabilities=ALL_CAPABILITIES,
    ) -> None:
        VmTaskGroup.install()
        self.rng = random.Random(seed)
        self.clock = CellClock()
        self.platform = CellPlatform(self.clock)
        self.network = PeerNetwork(self.clock, self.rng)
        self.data_centres = data_centres
        self.worker = {
            f"{dc}-w{i}": CellWorker(f"{dc}-w{i}", dc, self.clock, capabilities)
            for dc in data_centres
            for i in range(workers)
        }
        self.names = [(f"{dc}-{i}", dc) for dc in data_centres for i in range(vm_count)]
        self.vm: dict[str, Vm] = {}
        self.calls: list[Call] = []
        self.checker = GuaranteeChecker(self)
        self._action_by_step: dict[Step, Callable[[Vm], None]] = {}
        self._payload_numbers = itertools.count(1)
        self._change_numbers = itertools.count(1)

    async def start(self) -> None:
        """Starts all VMs, writes the pool and its routes and waits until every shard is served."""
        for name, _ in self.names:
            self.start_vm(name)
        await self.advance(2 * SECOND)
        first_vm = self.vm[self.names[0][0]]
        upstreams = [PoolUpstream(w.name, w.data_centre, w.name) for w in self.worker.values()]
        await self.propose(first_vm, "pools", POOL, Pool(POOL, upstreams))
        for name, kind in (("ticket", "batch"), ("gate", "service"), ("sort", "gang")):
            route = Route(RouteName(name), POOL, JobKind(kind), resources=TASK_RESOURCES)
            await self.propose(first_vm, "routes", name, route)
        await self.advance(6 * SECOND)
        for shard in self.shards():
            assert self.owner(shard) is not None, f"{shard} is not served"

    def on_step(self, step: Step, action: Callable[[Vm], None]) -> None:
        """Calls ``action`` once, with the VM that takes the step, when the step is next taken.

        The call comes just before the step's message is sent or takes effect.
        """
        self._action_by_step[step] = action

    def report_step(self, step: Step, vm: Vm) -> None:
        """Runs the action registered for a step by `on_step`, if there is one."""
        action = self._action_by_step.pop(step, None)
        if action is not None:
            action(vm)

    def start_vm(self, name: str) -> Vm:
        """Starts the process of a VM; an earlier one must have ended."""
        data_centre = dict(self.names)[name]
        assert name not in self.vm or not self.vm[name].is_running
        vm = Vm(self, name, data_centre)
        self.vm[name] = vm
        self.network.vm_by_address[vm.address] = vm
        return vm

    def running(self) -> list[Vm]:
        return [vm for vm in self.vm.values() if vm.is_running]

    def shards(self) -> list[ShardId]:
        return [ShardId(f"{POOL}@{dc}") for dc in self.data_centres]

    def owner(self, shard: ShardId) -> Vm | None:
        """Returns the VM that may start tasks of the shard now."""
        for vm in self.running():
            if not vm.pause.is_paused and vm.parts.ownership.may_start(shard):
                return vm
        return None

    def owner_in(self, data_centre: str) -> Vm:
        owner = self.owner(ShardId(f"{POOL}@{data_centre}"))
        assert owner is not None, f"no VM owns the shard of {data_centre}"
        return owner

    def other_vm(self, vm: Vm, data_centre: str | None = None) -> Vm:
        """Returns a running VM other than ``vm``, in the same or the given data centre."""
        target = data_centre or vm.data_centre
        return next(v for v in self.running() if v is not vm and v.data_centre == target)

    def workers_in(self, data_centre: str) -> list[CellWorker]:
        return [worker for worker in self.worker.values() if worker.data_centre == data_centre]

    def isolate(self, data_centre: str, cut: bool = True) -> None:
        """Cuts a data centre off from the platform and the other data centres, or reconnects it."""
        for vm in self.vm.values():
            if vm.data_centre == data_centre:
                vm.store.cut = cut
                for other in self.vm.values():
                    if other.data_centre != data_centre:
                        self.network.cut(vm.name, other.name, cut)

    def list_as_leaving(self, worker: str) -> None:
        """Marks a worker as leaving in the platform's list of VMs only."""
        self.platform.vm_by_id[worker] = ListedVm(worker, True)
        self.worker[worker].leaving_since = self.clock.boot_time()

    def job(self, route: str = "ticket", run: timedelta = SECOND, **fields: Any) -> Job:
        """Returns a job whose payload is unique, unless ``fields`` sets one."""
        payload = fields.pop("payload", f"job {next(self._payload_numbers)}".encode())
        return JOB_TYPE_BY_ROUTE[route](
            id=JobId(""),
            route=RouteName(route),
            pool=POOL,
            team=TeamId("yard"),
            band=fields.pop("band", Band.NORMAL),
            resources=fields.pop("resources", TASK_RESOURCES),
            payload=payload,
            declared_run=run,
            **fields,
        )

    def begin_proposal(self, vm: Vm, table: str, name: str, row, if_match=None) -> asyncio.Task:
        """Proposes a change at a VM and records its revision with the checker once accepted."""
        change_id = ChangeId(f"change-{next(self._change_numbers)}")
        proposal = vm.parts.configuration.propose(table, name, row, if_match, change_id)

        def record_acceptance(task: asyncio.Task) -> None:
            if not task.cancelled() and task.exception() is None and task.result().is_ok():
                self.checker.record_accepted(task.result().ok_value.revision)

        task = vm.tasks.spawn(proposal)
        task.add_done_callback(record_acceptance)
        return task

    async def propose(self, vm: Vm, table: str, name: str, row, if_match=None) -> Any:
        """Proposes a change at a VM, waits for the result and returns it."""
        task = self.begin_proposal(vm, table, name, row, if_match)
        await self.wait_for(task.done, 60 * SECOND)
        return task.result()

    def platform_is_healthy(self) -> bool:
        return self.platform.mode is StoreMode.UP and not self.platform.answers_to_lose

    async def advance(self, duration: timedelta, step: timedelta = SECOND / 2) -> None:
        """Advances the clock and runs the checks after each step."""
        remaining = duration
        while remaining > timedelta(0):
            await self.clock.advance(min(step, remaining))
            remaining -= step
            self.checker.check()

    async def wait_for(self, condition: Callable[[], Any], limit: timedelta) -> None:
        """Advances until the condition holds. Fails after ``limit``."""
        deadline = self.clock.boot_time() + limit
        while not condition():
            assert self.clock.boot_time() < deadline, f"condition not met within {limit}"
            await self.advance(SECOND / 10)

    async def wait_for_outcome(self, call: Call, limit: timedelta = 60 * SECOND) -> Any:
        """Advances until the call is answered and returns the outcome."""
        await self.wait_for(lambda: call.answered, limit)
        return call.outcome

    def heal(self) -> None:
        """Ends all faults, except that killed VMs and dead or leaving workers stay so."""
        self.network.heal()
        for vm in self.running():
            vm.heal()
            vm.pause.resume()
        self.platform.mode = StoreMode.UP

    async def stop(self) -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def run_cell(scenario: Callable[[SimulatedCell], Coroutine[Any, Any, Any]], **options: Any) -> Any:
    """Runs a scenario with a started cell, with UUIDs drawn from the seed, and stops the cell."""
    identifiers = random.Random(options.get("seed", 0))

    async def main() -> Any:
        cell = SimulatedCell(**options)
        try:
            await cell.start()
            return await scenario(cell)
        finally:
            await cell.stop()

    def next_uuid() -> uuid.UUID:
        return uuid.UUID(int=identifiers.getrandbits(128), version=4)

    with mock.patch.object(uuid, "uuid4", next_uuid):
        return asyncio.run(main())
