"""A cell of whole entry processes in one event loop, without sockets.

Time passes only by `SimulatedCell.advance`; the same seed and calls give the same run.
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
from hornbeamramp.states import Band, JobKind
from hornbeamramp.tables import Pool, PoolUpstream, Route
from tests.support.checker import GuaranteeChecker
from tests.support.network import PeerNetwork
from tests.support.runtime import SECOND, CellClock, CellPlatform, TaskGroupOfVm
from tests.support.vm import Call, Vm
from tests.support.workers import ALL_CAPABILITIES, CellWorker

__all__ = ["POOL", "SECOND", "Call", "SimulatedCell", "run_cell"]

POOL = PoolName("weigh")
TASK = Resources(processors_milli=1000, memory_mib=1024, slots=1, connections=1)
JOB_TYPE_BY_ROUTE: dict[str, type[Job]] = {
    "ticket": BatchJob,
    "gate": ServiceJob,
    "sort": GangJob,
}


class SimulatedCell:
    """Entry VMs, workers, platform and network.

    `vm_count`
        Number of VMs in each data centre.
    `workers`
        Number of workers in each data centre.
    `capabilities`
        Those of every worker.
    """

    def __init__(
        self,
        seed: int = 0,
        data_centres: tuple[str, ...] = ("gebze", "tuzla"),
        vm_count: int = 2,
        workers: int = 2,
        capabilities=ALL_CAPABILITIES,
    ) -> None:
        TaskGroupOfVm.install()
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
        self._payloads = itertools.count(1)
        self._changes = itertools.count(1)

    async def begin(self) -> None:
        """Starts all VMs, writes the tables and waits until every shard is served."""
        for name, _ in self.names:
            self.start_vm(name)
        await self.advance(2 * SECOND)
        first = self.vm[self.names[0][0]]
        upstreams = [PoolUpstream(w.name, w.data_centre, w.name) for w in self.worker.values()]
        await self.propose(first, "pools", POOL, Pool(POOL, upstreams))
        for name, kind in (("ticket", "batch"), ("gate", "service"), ("sort", "gang")):
            route = Route(RouteName(name), POOL, JobKind(kind), resources=TASK)
            await self.propose(first, "routes", name, route)
        await self.advance(6 * SECOND)
        for shard in self.shards():
            assert self.owner(shard) is not None, f"{shard} is not served"

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
        """Returns the VM that may start work of the shard now."""
        for vm in self.running():
            if not vm.pause.is_paused and vm.parts.ownership.may_start(shard):
                return vm
        return None

    def owner_in(self, data_centre: str) -> Vm:
        owner = self.owner(ShardId(f"{POOL}@{data_centre}"))
        assert owner is not None, f"nobody owns the shard of {data_centre}"
        return owner

    def other_vm(self, than: Vm, data_centre: str | None = None) -> Vm:
        """Returns a running VM of the same or the given data centre."""
        wanted = data_centre or than.data_centre
        return next(v for v in self.running() if v is not than and v.data_centre == wanted)

    def workers_in(self, data_centre: str) -> list[CellWorker]:
        return [worker for worker in self.worker.values() if worker.data_centre == data_centre]

    def isolate(self, data_centre: str, cut: bool = True) -> None:
        """Cuts a data centre from the platform and from the other data centres, or heals it."""
        for vm in self.vm.values():
            if vm.data_centre == data_centre:
                vm.store.cut = cut
                for other in self.vm.values():
                    if other.data_centre != data_centre:
                        self.network.cut(vm.name, other.name, cut)

    def list_as_leaving(self, worker: str) -> None:
        """Lists an upstream as leaving in the platform's list of VMs."""
        self.platform.vm_by_id[worker] = ListedVm(worker, True)
        self.worker[worker].leaving_since = self.clock.boot_time()

    def job(self, route: str = "ticket", run: timedelta = SECOND, **fields: Any) -> Job:
        """Returns a job whose payload no other job has."""
        payload = fields.pop("payload", f"job {next(self._payloads)}".encode())
        return JOB_TYPE_BY_ROUTE[route](
            id=JobId(""),
            route=RouteName(route),
            pool=POOL,
            team=TeamId("yard"),
            band=fields.pop("band", Band.NORMAL),
            resources=fields.pop("resources", TASK),
            payload=payload,
            declared_run=run,
            **fields,
        )

    def begin_proposal(self, vm: Vm, table: str, name: str, row, if_match=None) -> asyncio.Task:
        """Proposes a change at a VM; the checker learns of its acceptance."""
        change_id = ChangeId(f"change-{next(self._changes)}")
        proposal = vm.parts.configuration.propose(table, name, row, if_match, change_id)

        def note(task: asyncio.Task) -> None:
            if not task.cancelled() and task.exception() is None and task.result().is_ok():
                self.checker.note_accepted(task.result().ok_value.revision)

        task = vm.tasks.spawn(proposal)
        task.add_done_callback(note)
        return task

    async def propose(self, vm: Vm, table: str, name: str, row, if_match=None) -> Any:
        """Proposes a change at a VM and returns the result."""
        task = self.begin_proposal(vm, table, name, row, if_match)
        await self.wait_for(task.done, 60 * SECOND)
        return task.result()

    def platform_is_well(self) -> bool:
        return self.platform.mode is StoreMode.UP and not self.platform.answers_to_lose

    async def advance(self, duration: timedelta, step: timedelta = SECOND / 2) -> None:
        """Advances the clock and runs the checks after each step."""
        left = duration
        while left > timedelta(0):
            await self.clock.advance(min(step, left))
            left -= step
            self.checker.check()

    async def wait_for(self, condition: Callable[[], Any], limit: timedelta) -> None:
        """Advances until the condition holds. Fails after ``limit``."""
        give_up_at = self.clock.boot_time() + limit
        while not condition():
            assert self.clock.boot_time() < give_up_at, f"not so within {limit}"
            await self.advance(SECOND / 10)

    async def outcome(self, call: Call, limit: timedelta = 60 * SECOND) -> Any:
        """Advances until the call is answered and returns the outcome."""
        await self.wait_for(lambda: call.answered, limit)
        return call.outcome

    def heal(self) -> None:
        """Ends all faults but those of killed VMs and dead or leaving workers."""
        self.network.heal()
        for vm in self.running():
            vm.heal()
            vm.pause.resume()
        self.platform.mode = StoreMode.UP

    async def end(self) -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def run_cell(scenario: Callable[[SimulatedCell], Coroutine[Any, Any, Any]], **options: Any) -> Any:
    """Runs a scenario with a cell whose shards are served."""
    identifiers = random.Random(options.get("seed", 0))

    async def main() -> Any:
        cell = SimulatedCell(**options)
        try:
            await cell.begin()
            return await scenario(cell)
        finally:
            await cell.end()

    def next_uuid() -> uuid.UUID:
        return uuid.UUID(int=identifiers.getrandbits(128), version=4)

    with mock.patch.object(uuid, "uuid4", next_uuid):
        return asyncio.run(main())
