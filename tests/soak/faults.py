"""External faults of the soak test: signals, links, the store and the workers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from signal import Signals

from tests.soak.cell import SoakCell, SoakVm
from tests.soak.proxy import Link, LinkState

__all__ = ["Faults", "PlannedWork"]

# Below the time for which a start order of a cancelled job may still be carried out.
MAX_DELAY_S = 2.0
FAULT_STATES = (
    LinkState.SILENT,
    LinkState.ANSWERS_LOST,
    LinkState.REFUSED,
    LinkState.DELAYED,
)


class Faults:
    """Injects random faults, in series and overlapping, and reverts all of them at the end."""

    def __init__(self, cell: SoakCell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        self.injected: list[str] = []

    def _choices(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._kill,
            self._kill,
            self._terminate,
            self._pause,
            self._send_sighup,
            self._rolling_restart,
            self._kill_all,
            self._store_link,
            self._all_store_links,
            self._reset_connections,
            self._advice_link,
            self._worker_link,
            self._crash_worker,
            self._drain_worker,
            self._compact_store_history,
            self._revoke_keys,
            self._change_configuration,
        ]

    async def run(self, seconds: float) -> None:
        faults = self._choices()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                fault = self._rng.choice(faults)
                self.injected.append(fault.__name__.strip("_"))
                self._cell.log_event(f"fault {self.injected[-1]}")
                group.create_task(fault())
                await asyncio.sleep(self._rng.uniform(0.3, 2.5))

    def _choose_vm(self) -> SoakVm:
        owner = self._cell.owner()
        if owner is not None and self._rng.random() < 0.5:
            return owner
        return self._rng.choice(list(self._cell.vm_by_name.values()))

    async def _sleep_randomly(self, max_s: float = 5.0) -> None:
        await asyncio.sleep(self._rng.uniform(0.2, max_s))

    # Processes

    async def _restart(self, vm: SoakVm, signal: Signals) -> None:
        async with vm.lock:
            await vm.stop_process(signal)
            await self._sleep_randomly(2.0)
            await vm.start()

    async def _kill(self) -> None:
        await self._restart(self._choose_vm(), Signals.SIGKILL)

    async def _terminate(self) -> None:
        await self._restart(self._choose_vm(), Signals.SIGTERM)

    async def _kill_all(self) -> None:
        vms = self._cell.vm_by_name.values()
        await asyncio.gather(*(self._restart(vm, Signals.SIGKILL) for vm in vms))

    async def _rolling_restart(self) -> None:
        for vm in self._cell.vm_by_name.values():
            asyncio.get_running_loop().call_soon(vm.send_signal, Signals.SIGHUP)
            await self._restart(vm, Signals.SIGTERM)

    async def _pause(self) -> None:
        vm = self._choose_vm()
        async with vm.lock:
            vm.send_signal(Signals.SIGSTOP)
            await self._sleep_randomly(6.0)
            vm.send_signal(Signals.SIGCONT)

    async def _send_sighup(self) -> None:
        self._choose_vm().send_signal(Signals.SIGHUP)

    # Links

    async def _degrade_links(self, links: list[Link]) -> None:
        state = self._rng.choice(FAULT_STATES)
        delay_s = self._rng.uniform(0.05, MAX_DELAY_S)
        for link in links:
            link.set(state, delay_s)
        await self._sleep_randomly()
        for link in links:
            link.set(LinkState.OPEN)

    async def _store_link(self) -> None:
        await self._degrade_links([self._choose_vm().store_link])

    async def _all_store_links(self) -> None:
        await self._degrade_links([vm.store_link for vm in self._cell.vm_by_name.values()])

    async def _advice_link(self) -> None:
        await self._degrade_links([self._choose_vm().advice_link])

    async def _worker_link(self) -> None:
        names = sorted(self._cell.link_by_worker)
        chosen = self._rng.sample(names, self._rng.randint(1, 2))
        await self._degrade_links([self._cell.link_by_worker[name] for name in chosen])

    async def _reset_connections(self) -> None:
        for vm in self._cell.vm_by_name.values():
            vm.store_link.reset()
        for link in self._cell.link_by_worker.values():
            link.reset()

    # Store and workers

    async def _compact_store_history(self) -> None:
        self._cell.store.compact_history()

    async def _revoke_keys(self) -> None:
        leases = {item.lease for item in self._cell.store.item_by_key.values() if item.lease}
        if leases:
            self._cell.store.revoke(self._rng.choice(sorted(leases)))

    async def _change_configuration(self) -> None:
        self._cell.configure()

    async def _crash_worker(self) -> None:
        worker = self._rng.choice(list(self._cell.fleet.worker_by_name.values()))
        if worker.is_up:
            worker.crash()
            self._cell.link_by_worker[worker.name].reset()
            await self._sleep_randomly()
            worker.reboot()
            self._cell.write_worker_entry(worker.name)

    async def _drain_worker(self) -> None:
        name = self._rng.choice(sorted(self._cell.link_by_worker))
        self._cell.write_worker_entry(name, "draining")
        await self._sleep_randomly(3.0)
        self._cell.write_worker_entry(name)


class PlannedWork(Faults):
    """Shutdowns, reloads and new configurations, beside kills of other VMs and a slow store."""

    def _choices(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._terminate,
            self._terminate,
            self._terminate_repeatedly,
            self._terminate_all,
            self._rolling_restart,
            self._send_sighup,
            self._change_configuration,
            self._kill,
            self._store_link,
        ]

    async def _terminate_repeatedly(self) -> None:
        """Sends further signals while the process shuts down."""
        vm = self._choose_vm()
        restart = asyncio.create_task(self._restart(vm, Signals.SIGTERM))
        for signal in (Signals.SIGTERM, Signals.SIGHUP):
            await self._sleep_randomly(2.0)
            if vm.is_stopping:
                vm.send_signal(signal)
        await restart

    async def _terminate_all(self) -> None:
        vms = self._cell.vm_by_name.values()
        await asyncio.gather(*(self._restart(vm, Signals.SIGTERM) for vm in vms))
