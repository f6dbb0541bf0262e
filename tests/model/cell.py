"""Simulated cell: entry VMs, the store and workers in one event loop with virtual time."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import msgspec
from result import Err, Ok, Result

from hornbeamramp.clock import Clock
from hornbeamramp.errors import UnreachableError
from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import (
    NO_ACCOUNT,
    AccountId,
    DataCentreId,
    JobId,
    PoolName,
    RouteName,
    UpstreamId,
    VmId,
)
from hornbeamramp.poolowner import Advice, AdviceUnavailableError, PoolOwner
from hornbeamramp.resources import Resources
from hornbeamramp.states import Step
from hornbeamramp.statestore import Item
from hornbeamramp.vm import (
    Adapter,
    AdviceClient,
    CallerService,
    Node,
    SubmitResult,
    UnavailableError,
    VmIdentity,
)
from hornbeamramp.workload import (
    AdviceTiming,
    ClientAccount,
    ClusterConfig,
    JobPhase,
    JobSpec,
    Pool,
    Queue,
    StepKey,
    StepSpec,
)
from tests.model.fleet import FleetView, ModelFleet
from tests.model.store import ModelStore, StoreView
from tests.model.virtual_time import LoopClock

__all__ = ["POOL", "REQUEST_TIMEOUT", "ModelCell", "ModelVm", "job", "queue", "random_spec"]

POOL = PoolName("tickets")
CONFIG_KEY = "op/config"
WORKER_PREFIX = "servers/"
REQUEST_TIMEOUT = timedelta(seconds=3)


def queue(
    name: str = "gate", priority: int = 0, advice: bool = True, decide_ms: float = 10.0
) -> Queue:
    """Returns a queue of the pool. ``decide_ms`` is the decision time of its advice service."""
    timing = AdviceTiming(
        timedelta(milliseconds=decide_ms), timedelta(milliseconds=0.2), timedelta(seconds=2)
    )
    return Queue(
        name=RouteName(name),
        pool=POOL,
        host="kaya",
        prefix=f"/{name}/",
        priority=priority,
        max_attempts=2,
        stretch=2.0,
        target=timedelta(seconds=1),
        timeout=timedelta(seconds=3),
        advice=timing if advice else None,
    )


def job(*steps: StepSpec, **fields: Any) -> JobSpec:
    """Returns a job, by default with one step of one small task."""
    return JobSpec("payload", steps or (StepSpec(1, 1000, 100),), **fields)


def random_spec(rng: random.Random) -> JobSpec:
    """Returns a job of one or two steps, or of one gang."""
    steps = [StepSpec(rng.randint(1, 5), 1000 * rng.randint(1, 3), 500, checkpointing=True)]
    if rng.random() < 0.5:
        steps.append(StepSpec(rng.randint(1, 4), 1000, 500, after=(0,), estimate_ms=1500))
    if rng.random() < 0.3:
        gang = StepSpec(rng.randint(2, 3), 2000, 500, rng.randint(1, 2), gang=True)
        # With two accelerators each, a rack that has lost one of its workers can't hold three.
        steps = [msgspec.structs.replace(gang, same_rack=gang.count > 2)]
    return job(*steps)


class ModelAdvice(AdviceClient):
    """Grants each step w0, w1 and a fixed share of the other workers.

    Tickets expire after 2 s.

    `duration_of`
        Duration of a call about a step and a number of workers.
    """

    def __init__(self, clock: Clock, share: float) -> None:
        self._clock = clock
        self._share = share
        self.duration_of: Callable[[StepKey, int], timedelta] = lambda step, workers: timedelta(
            milliseconds=10
        )
        self.is_down = False
        self.calls = 0

    def is_granted(self, step: str, worker: str) -> bool:
        # w0 and w1 are granted to every step, so that no step is without a worker.
        return worker in ("w0", "w1") or random.Random(f"{step} {worker}").random() < self._share

    def is_valid(self, task: str, worker: str, ticket: str) -> bool:
        step = task.rpartition(".")[0]
        name, _, expiry_s = ticket.partition("|")
        now = self._clock.boot_time().total_seconds()
        return name == f"{step}@{worker}" and float(expiry_s) >= now

    async def ask(self, step: StepKey, workers: list[UpstreamId], timeout: timedelta) -> Advice:
        self.calls += 1
        if self.is_down:
            await self._clock.sleep(timeout)
            raise AdviceUnavailableError("no answer")
        await self._clock.sleep(self.duration_of(step, len(workers)))
        expiry_s = self._clock.boot_time().total_seconds() + 2.0
        ticket_by_worker = {
            w: f"{step}@{w}|{expiry_s}" for w in workers if self.is_granted(str(step), w)
        }
        return Advice(ticket_by_worker, timedelta(seconds=2))


class ModelAdapter(Adapter):
    config_key = CONFIG_KEY
    config_prefix = "op/"
    worker_prefix = WORKER_PREFIX
    job_retention = timedelta(seconds=120)
    longest_lease = timedelta(seconds=10)

    def __init__(self, store: StoreView, workers: FleetView, advice: ModelAdvice) -> None:
        self.store = store
        self.workers = workers
        self.advice = advice

    def decode_config(self, item: Item) -> Result[ClusterConfig, str]:
        try:
            return Ok(msgspec.msgpack.decode(item.value, type=ClusterConfig))
        except msgspec.MsgspecError as error:
            return Err(str(error))

    def decode_worker(self, item: Item) -> Result[WorkerListing, str]:
        return Ok(msgspec.msgpack.decode(item.value, type=WorkerListing))


class ModelNetwork:
    """Calls between VMs.

    `unreachable_addresses`
        VMs that are partitioned or have stopped: calls from and to them time out.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.handlers_by_address: dict[str, dict[type, Callable[[Any], Awaitable[Any]]]] = {}
        self.unreachable_addresses: set[str] = set()


class ModelServer:
    def __init__(self, network: ModelNetwork, address: str) -> None:
        network.handlers_by_address[address] = self._handlers = {}

    def handle(self, request_type: type, handler: Callable[[Any], Awaitable[Any]]) -> None:
        self._handlers[request_type] = handler


class ModelPeers:
    def __init__(self, network: ModelNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def call(self, address: str, request: Any, timeout: timedelta, step: Step) -> Any:
        network = self._network
        await network.clock.sleep(timedelta(milliseconds=1))
        if {
            address,
            self._address,
        } & network.unreachable_addresses or address not in network.handlers_by_address:
            await network.clock.sleep(timeout)
            raise UnreachableError(step, address, "no answer", sent=False)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                reply = await network.handlers_by_address[address][type(request)](request)
        except Exception as error:
            raise UnreachableError(step, address, repr(error)) from error
        if {address, self._address} & network.unreachable_addresses:
            raise UnreachableError(step, address, "the answer was lost")
        return reply


class ModelVm:
    """One process of an entry VM."""

    def __init__(self, cell: "ModelCell", name: str, boot: int) -> None:
        self.name = name
        self.cell = cell
        self.address = name
        seed = f"{name} {boot} {cell.seed}"
        self.store = StoreView(cell.store, seed)
        self.workers = FleetView(cell.fleet, name, seed)
        adapter = ModelAdapter(self.store, self.workers, cell.advice)
        adapter.revocation_bound = cell.revocation_bound
        size = cell.size_by_vm.get(name, 1.0)
        identity = VmIdentity(
            VmId(name), DataCentreId("gebze"), self.address, f"{name}#{boot}", size
        )
        server = ModelServer(cell.network, self.address)
        peers = ModelPeers(cell.network, self.address)
        self.node = Node(identity, adapter, cell.clock, peers, server)
        self.service = CallerService(self.node)

    @property
    def owner(self) -> PoolOwner | None:
        return self.owner_of(POOL)

    def owner_of(self, pool: PoolName) -> PoolOwner | None:
        owner = self.node.owner_by_pool.get(pool)
        return owner if owner is not None and owner.is_ready else None

    async def kill(self) -> None:
        """Ends the process at once: messages not yet sent are lost."""
        self.store.is_closed = self.workers.is_closed = True
        self.cell.network.unreachable_addresses.add(self.address)
        self.node._lease_task.cancel()
        await self.node._background.cancel()
        for owner in list(self.node.owner_by_pool.values()):
            await owner.close()


class ModelCell:
    """A cell of VMs and workers.

    `vms`, `workers`
        Numbers of VMs and workers. A worker has 8 cores, 8,000 MiB and 4 accelerators.
    `granted`
        Share of the workers except w0 and w1 that the advice service grants to each step.
    `size_by_vm`
        Relative sizes of the VMs whose size is not 1.
    `accounts`
        The client accounts; `configure` writes those in ``account_by_id``.
    `revocation_bound`
        Time after which a revoked key is refused on every VM; ``None`` without such a bound.
    """

    def __init__(
        self,
        vms: int = 3,
        workers: int = 4,
        granted: float = 1.0,
        seed: int = 0,
        size_by_vm: dict[str, float] | None = None,
        accounts: tuple[ClientAccount, ...] = (),
        revocation_bound: timedelta | None = None,
    ) -> None:
        self.seed = seed
        self.size_by_vm = size_by_vm or {}
        self.clock = LoopClock()
        self.store = ModelStore(self.clock)
        self.fleet = ModelFleet(self.clock)
        self.advice = ModelAdvice(self.clock, granted)
        self.fleet.ticket_valid = self._ticket_valid
        self.network = ModelNetwork(self.clock)
        self.vm_by_name: dict[str, ModelVm] = {}
        self.queue_by_job: dict[JobId, str] = {}
        self._boot_count = 0
        queues = (queue("gate"), queue("batch", 2, advice=False), queue("render", 1, decide_ms=500))
        self.queues = {q.name: q for q in queues}
        self.pools = [POOL]
        self.version = 0
        self.account_by_id = {account.id: account for account in accounts}
        self.revocation_bound = revocation_bound
        self.configure()
        for number in range(workers):
            self.add_worker(f"w{number}")
        self._vm_names = [f"vm{number}" for number in range(vms)]

    async def __aenter__(self) -> "ModelCell":
        for name in self._vm_names:
            await self.start_vm(name)
        await self.wait_for_owner()
        return self

    async def __aexit__(self, *error: object) -> None:
        for vm in list(self.vm_by_name.values()):
            await vm.kill()

    def _ticket_valid(self, task: str, worker: str, ticket: str) -> bool:
        queue_name = self.queue_by_job[JobId(task.split(".")[0])]
        if self.queues[RouteName(queue_name)].advice is None:
            return True
        return self.advice.is_valid(task, worker, ticket)

    def use_costly_advice(self, *queue_names: str) -> None:
        """Makes the advice of these queues take about a second, and calls last as configured."""
        timing = AdviceTiming(
            timedelta(milliseconds=728), timedelta(milliseconds=10.4), timedelta(seconds=2)
        )
        for name in queue_names:
            changed = msgspec.structs.replace(self.queues[RouteName(name)], advice=timing)
            self.queues[RouteName(name)] = changed
        self.configure()

        def duration(step: StepKey, workers: int) -> timedelta:
            timing = self.queues[RouteName(self.queue_by_job[step.job_id])].advice
            assert timing is not None
            return timing.base + workers * timing.per_worker

        self.advice.duration_of = duration

    def configure(self) -> None:
        """Writes the configuration under a new version."""
        self.version += 3
        pools = {name: Pool(name) for name in self.pools}
        accounts = dict(self.account_by_id)
        config = ClusterConfig(self.version, dict(self.queues), pools, account_by_id=accounts)
        self.store.put(CONFIG_KEY, msgspec.msgpack.encode(config))

    def add_worker(self, name: str) -> None:
        capacity = Resources(8000, 8000, 4, 0, 0)
        self.fleet.add(name, capacity)
        self.list_worker(name)

    def list_worker(self, name: str, draining: bool = False, pool: PoolName = POOL) -> None:
        """Writes a worker's entry to the store."""
        worker = self.fleet.worker_by_name[name]
        rack = f"rack{int(name[1:]) // 2}"
        listing = WorkerListing(
            worker=UpstreamId(name),
            pool=pool,
            address=worker.address,
            data_centre=DataCentreId("gebze"),
            draining=draining,
            capacity=worker.capacity,
            labels=("a", rack),
            boot_ms=worker.boot_ms,
        )
        self.store.put(f"{WORKER_PREFIX}{name}", msgspec.msgpack.encode(listing))

    async def start_vm(self, name: str) -> ModelVm:
        self._boot_count += 1
        self.network.unreachable_addresses.discard(name)
        vm = ModelVm(self, name, self._boot_count)
        self.vm_by_name[name] = vm
        await vm.node.start()
        return vm

    async def restart_vm(self, name: str, delay_s: float) -> None:
        """Kills a VM's process and starts another.

        Does nothing while another restart is in progress: a VM has one process at a time.
        """
        vm = self.vm_by_name[name]
        if vm.store.is_closed:
            return
        await vm.kill()
        await asyncio.sleep(delay_s)
        await self.start_vm(name)

    def owner_vm(self) -> ModelVm | None:
        """Returns the running VM that owns the pool with the highest fencing token."""
        owners = [vm for vm in self.vm_by_name.values() if vm.owner and not vm.store.is_closed]
        return max(owners, key=lambda vm: vm.owner.token, default=None)

    async def wait_for_owner(self, timeout_s: float = 30.0) -> ModelVm:
        async with asyncio.timeout(timeout_s):
            while True:
                vm = self.owner_vm()
                if vm is not None and vm.owner.may_order():
                    return vm
                await asyncio.sleep(0.05)

    async def submit(
        self,
        job_id: str,
        spec: JobSpec,
        queue_name: str = "batch",
        vm: ModelVm | None = None,
        account: AccountId = NO_ACCOUNT,
    ) -> SubmitResult | None:
        """Submits a job to a VM and returns the reply, or ``None`` without a definite answer."""
        identity = JobId(job_id)
        self.fleet.spec_by_job.setdefault(identity, spec)
        self.queue_by_job.setdefault(identity, queue_name)
        if account != NO_ACCOUNT:
            self.fleet.account_by_job[identity] = account
        vm = vm or next(iter(self.vm_by_name.values()))
        try:
            return await vm.service.submit(
                self.queues[RouteName(queue_name)], identity, spec, REQUEST_TIMEOUT, account
            )
        except UnavailableError:
            return None

    async def phase(self, job_id: str, vm: ModelVm | None = None) -> JobPhase | None:
        vm = vm or next(iter(self.vm_by_name.values()))
        queue_name = self.queue_by_job[JobId(job_id)]
        return await vm.service.phase(
            self.queues[RouteName(queue_name)], JobId(job_id), REQUEST_TIMEOUT
        )

    async def wait_for_phase(
        self, job_id: str, phase: JobPhase, timeout_s: float = 30.0, vm: ModelVm | None = None
    ) -> float:
        """Waits until the job is in a phase and returns the time waited in seconds."""
        started = self.clock.boot_time()
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    if await self.phase(job_id, vm) is phase:
                        return (self.clock.boot_time() - started).total_seconds()
                except UnavailableError:
                    pass
                await asyncio.sleep(0.05)
