"""External faults of the soak test: signals, links, the store and the workers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from signal import Signals

from tests.soak.cell import SoakCell, SoakVm
from tests.soak.proxy import Link, LinkState

__all__ = ["Faults", "PlannedWork", "WorkerRestarts"]

# Below the time for which a start order of a cancelled job may still be carried out.
MAX_DELAY_S = 2.0
FAULT_STATES = (
    LinkState.SILENT,
    LinkState.ANSWERS_LOST,
    LinkState.REFUSED,
    LinkState.DELAYED,
)
# Longest delay of an answer on a link, up to more than the timeout of an order (0.3 s).
MAX_ANSWER_DELAYS_S = (0.02, 0.1, 0.2, 0.28, 0.8)
# Ranges of the time for which a worker is away. Only if no order fails in it, orders reach the new
# boot before its first list is read, so most restarts are short.
RESTART_TIMES_S = ((0.05, 0.1), (0.05, 0.1), (0.1, 2.0))


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


class WorkerRestarts(Faults):
    """Workers that restart under their id, in series and several at a time, and late answers."""

    def _choices(self) -> list[Callable[[], Awaitable[None]]]:
        links = [self._worker_link, self._reset_connections]
        other = [self._terminate, self._drain_worker, self._change_configuration]
        return 10 * [self._restart_workers] + 2 * [self._kill, self._pause] + links + other

    async def run(self, seconds: float) -> None:
        links = self._cell.link_by_worker.values()
        for link in links:
            self._delay_answers(link)
        await super().run(seconds)
        for link in links:
            link.draw_answer_delay_s = lambda: 0.0

    def _delay_answers(self, link: Link) -> None:
        # Its own generator, so that the faults of a seed don't depend on the number of answers.
        max_s, rng = self._rng.choice(MAX_ANSWER_DELAYS_S), random.Random(self._rng.random())
        link.draw_answer_delay_s = lambda: rng.uniform(0.0, max_s)

    async def _restart_workers(self) -> None:
        names = self._rng.sample(sorted(self._cell.link_by_worker), self._rng.randint(1, 3))
        await asyncio.gather(*(self._restart_worker_in_series(name) for name in names))

    async def _restart_worker_in_series(self, name: str) -> None:
        worker, link = self._cell.fleet.worker_by_name[name], self._cell.link_by_worker[name]
        self._delay_answers(link)
        for _ in range(self._rng.randint(1, 4)):
            if not worker.is_up:
                return
            end_connections = self._rng.choice((link.reset, link.cut_target, link.silence_target))
            self._cell.log_event(f"{name} crashes: {end_connections.__name__}")
            worker.crash()
            end_connections()
            await asyncio.sleep(self._rng.uniform(*self._rng.choice(RESTART_TIMES_S)))
            worker.reboot()
            self._cell.log_event(f"{name} is up, boot {worker.boot_ms}")
            # The listing may lag behind the worker.
            await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.3)))
            self._cell.write_worker_entry(name)
            await self._sleep_randomly(1.0)
