"""Faults of the soak, from outside the processes: signals, links, the store and the workers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from signal import Signals

from tests.soak.cell import SoakCell, SoakVm
from tests.soak.proxy import Link, LinkState

__all__ = ["Faults"]

# Delays stay below the time in which a cancelled job's order may still be carried out.
LONGEST_DELAY_S = 2.0
STATES = (
    LinkState.SILENT,
    LinkState.ANSWERS_LOST,
    LinkState.REFUSED,
    LinkState.DELAYED,
)


class Faults:
    """Injects random faults, in series and overlapping, and mends all of them at the end."""

    def __init__(self, cell: SoakCell, luck: random.Random) -> None:
        self._cell = cell
        self._luck = luck
        self.injected: list[str] = []

    async def run(self, seconds: float) -> None:
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._kill,
            self._terminate,
            self._pause,
            self._hang_up,
            self._restart_all_in_turn,
            self._kill_all,
            self._store_link,
            self._store_of_all,
            self._reset_connections,
            self._advice_link,
            self._worker_link,
            self._crash_worker,
            self._drain_worker,
            self._forget_history,
            self._revoke_keys,
            self._change_configuration,
        ]
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                kind = self._luck.choice(kinds)
                self.injected.append(kind.__name__.strip("_"))
                self._cell.note(f"fault {self.injected[-1]}")
                group.create_task(kind())
                await asyncio.sleep(self._luck.uniform(0.3, 2.5))

    def _vm(self) -> SoakVm:
        owner = self._cell.owner()
        if owner is not None and self._luck.random() < 0.5:
            return owner
        return self._luck.choice(list(self._cell.vm_by_name.values()))

    async def _wait(self, most: float = 5.0) -> None:
        await asyncio.sleep(self._luck.uniform(0.2, most))

    # Processes

    async def _replace(self, vm: SoakVm, number: Signals) -> None:
        async with vm.lock:
            await vm.end(number)
            await self._wait(2.0)
            await vm.start()

    async def _kill(self) -> None:
        await self._replace(self._vm(), Signals.SIGKILL)

    async def _terminate(self) -> None:
        await self._replace(self._vm(), Signals.SIGTERM)

    async def _kill_all(self) -> None:
        vms = self._cell.vm_by_name.values()
        await asyncio.gather(*(self._replace(vm, Signals.SIGKILL) for vm in vms))

    async def _restart_all_in_turn(self) -> None:
        for vm in self._cell.vm_by_name.values():
            asyncio.get_running_loop().call_soon(vm.send, Signals.SIGHUP)
            await self._replace(vm, Signals.SIGTERM)

    async def _pause(self) -> None:
        vm = self._vm()
        async with vm.lock:
            vm.send(Signals.SIGSTOP)
            await self._wait(6.0)
            vm.send(Signals.SIGCONT)

    async def _hang_up(self) -> None:
        self._vm().send(Signals.SIGHUP)

    # Links

    async def _disturb(self, links: list[Link]) -> None:
        state = self._luck.choice(STATES)
        delay_s = self._luck.uniform(0.05, LONGEST_DELAY_S)
        for link in links:
            link.set(state, delay_s)
        await self._wait()
        for link in links:
            link.set(LinkState.OPEN)

    async def _store_link(self) -> None:
        await self._disturb([self._vm().store_link])

    async def _store_of_all(self) -> None:
        await self._disturb([vm.store_link for vm in self._cell.vm_by_name.values()])

    async def _advice_link(self) -> None:
        await self._disturb([self._vm().advice_link])

    async def _worker_link(self) -> None:
        names = sorted(self._cell.link_by_worker)
        chosen = self._luck.sample(names, self._luck.randint(1, 2))
        await self._disturb([self._cell.link_by_worker[name] for name in chosen])

    async def _reset_connections(self) -> None:
        for vm in self._cell.vm_by_name.values():
            vm.store_link.reset()
        for link in self._cell.link_by_worker.values():
            link.reset()

    # Store and workers

    async def _forget_history(self) -> None:
        self._cell.store.forget_history()

    async def _revoke_keys(self) -> None:
        leases = {item.lease for item in self._cell.store.item_by_key.values() if item.lease}
        if leases:
            self._cell.store.revoke(self._luck.choice(sorted(leases)))

    async def _change_configuration(self) -> None:
        self._cell.configure()

    async def _crash_worker(self) -> None:
        worker = self._luck.choice(list(self._cell.fleet.worker_by_name.values()))
        if worker.is_up:
            worker.crash()
            self._cell.link_by_worker[worker.name].reset()
            await self._wait()
            worker.rebirth()
            self._cell.list_worker(worker.name)

    async def _drain_worker(self) -> None:
        name = self._luck.choice(sorted(self._cell.link_by_worker))
        self._cell.list_worker(name, "draining")
        await self._wait(3.0)
        self._cell.list_worker(name)
