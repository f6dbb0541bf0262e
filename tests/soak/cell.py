"""A cell on loopback: real processes of entry VMs, and the model's store, workers and advice."""

import asyncio
import contextlib
import json
import os
import random
import sys
import time
from datetime import timedelta
from pathlib import Path
from signal import Signals

from hornbeamramp.clock import SystemClock
from hornbeamramp.ids import JobId
from hornbeamramp.resources import Resources
from tests.model.cell import ModelAdvice
from tests.model.fleet import ModelFleet
from tests.model.store import ModelStore
from tests.platform.wire_server import serve_advice, serve_store, serve_worker
from tests.soak.proxy import Link

__all__ = ["HOST", "POOLS", "PREFIX_BY_QUEUE", "SoakCell", "SoakVm"]

ROOT = Path(__file__).parents[2]
HOST = "soak.example"
POOL = "tickets"
# Only a cell with moving queues has a second pool, with the last two workers.
SECOND_POOL = "proofs"
POOLS = (POOL, SECOND_POOL)
SECOND_POOL_WORKERS = 2
MOVING_QUEUE = "batch"
PREFIX_BY_QUEUE = {"gate": "/gate/", "batch": "/batch/"}
ADVISED_QUEUE = "gate"
ACCOUNTS = ("studio", "school")
REVOCATION_BOUND = timedelta(seconds=3)
MAX_ATTEMPTS = 2
CAPACITY = Resources(8000, 8000, 4, 0, 0)
# Enough for a process to start on a busy machine; on an idle one it takes half a second.
START_TIMEOUT_S = 20.0
# The program can't handle signals that arrive before the interpreter runs its first line.
INTERPRETER_START_S = 1.0
# Grace period of the platform between SIGTERM and SIGKILL, plus a margin for a busy machine.
GRACE_S = 6
STOP_TIMEOUT_S = GRACE_S + 4.0


class SoakVm:
    """One entry VM: its process, and its own links to the store and the advice service.

    `stop_timeout_s`
        Time between SIGTERM and the kill of a process that has not ended.
    `was_killed`
        Tells whether the latest process was killed other than at the end of this time.
    `is_stopping`
        Tells whether the process was told to end and has not ended.
    """

    def __init__(self, cell: "SoakCell", name: str, ip: str, zone: str) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.frontend = f"{ip}:8149"
        self.store_link = Link(ip, cell.store_address)
        self.advice_link = Link(ip, cell.advice_address)
        # Held while the process is restarted or paused, so that only one process runs at a time.
        self.lock = asyncio.Lock()
        self.problems: list[str] = []
        self.stop_timeout_s = STOP_TIMEOUT_S
        self.was_killed = False
        self.is_stopping = False
        self._folder = cell.folder
        self._bounds = cell.extra_bounds
        self._more_settings = cell.more_settings
        self._log_event = cell.log_event
        self._process: asyncio.subprocess.Process | None = None
        # Start time of the process, shifted by the time for which it was paused.
        self._started_at = 0.0
        self._paused_at = 0.0

    async def start(self) -> None:
        settings = self._folder / f"{self.name}.toml"
        if not settings.exists():
            await self.store_link.start()
            await self.advice_link.start()
            settings.write_text(self._settings())
        self.was_killed = False
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hornbeamramp.platform",
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "HORNBEAMRAMP_CONFIG": str(settings)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        # A busy machine may take a second to start a process.
        self._started_at = time.monotonic()
        self._log_event(f"{self.name} pid {self._process.pid} started")

    def _settings(self) -> str:
        return f"""
node-name = "{self.name}"
ip = "{self.ip}"
zone = "{self.zone}"
internal-ports = [7380, 7395]
advice = "{self.advice_link.address}"
[listen]
frontend = "{self.frontend}"
ready = "{self.ip}:8141"
[platform]
address = "{self.store_link.address}"
[bounds]
status_s = 120
hold-max-ms = 10000
grace-s = {GRACE_S}
{self._bounds}
{self._more_settings}
"""

    @property
    def pid(self) -> int:
        """Id of the latest process."""
        assert self._process is not None
        return self._process.pid

    def send_signal(self, signal: Signals) -> None:
        """Sends a signal to the process, unless it has ended."""
        if self._process is not None and self._process.returncode is None:
            self._log_event(f"{self.name} pid {self._process.pid} gets {signal.name}")
            # The method of the process would reap it if it has just ended, and the status be lost.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, signal)
            if signal is Signals.SIGSTOP:
                self._paused_at = time.monotonic()
            elif signal is Signals.SIGCONT and self._paused_at:
                self._started_at += time.monotonic() - self._paused_at
                self._paused_at = 0.0

    async def stop_process(self, signal: Signals) -> None:
        """Stops the process with a signal and records an unexpected exit."""
        process = self._process
        if process is None:
            return
        if process.returncode is not None:
            self.problems.append(f"{self.name} ended by itself with {process.returncode}")
            return
        signalled_at = time.monotonic()
        self.was_killed = signal is Signals.SIGKILL
        self.is_stopping = True
        self.send_signal(signal)
        try:
            async with asyncio.timeout(self.stop_timeout_s):
                await process.wait()
        except TimeoutError:
            self.send_signal(Signals.SIGKILL)
            await process.wait()
            # On a busy machine the end of a process may be noticed late.
            if process.returncode == -Signals.SIGKILL:
                problem = f"{self.name} still runs {self.stop_timeout_s} s after {signal.name}"
                self.problems.append(problem)
                self._log_event(problem)
        self.is_stopping = False
        self._log_event(f"{self.name} pid {process.pid} ended with {process.returncode}")
        allowed_codes = {0, -Signals.SIGKILL}
        if signalled_at - self._started_at < INTERPRETER_START_S:
            allowed_codes |= {-Signals.SIGTERM, -Signals.SIGHUP}
        if signal is Signals.SIGTERM and process.returncode not in allowed_codes:
            self.problems.append(f"{self.name} ended with {process.returncode} after SIGTERM")

    async def stop(self) -> None:
        self.send_signal(Signals.SIGCONT)
        await self.stop_process(Signals.SIGKILL)
        await self.store_link.stop()
        await self.advice_link.stop()


class SoakCell:
    """VMs in two data centres, workers behind one link each, and the events seen at them.

    `folder`
        Folder for the settings and logs of the VMs.
    `moves`
        Whether each new configuration moves a queue to the other of two pools.
    `accounts`
        Whether there are client accounts.
    `key_by_account`, `revoked_at_by_key`
        The key of each account that is in force, and the boot times at which the store acknowledged
        the removal of others.
    `more_settings`
        Tables added to the settings of each VM.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        vms: int = 4,
        workers: int = 5,
        moves: bool = False,
        accounts: bool = False,
        more_settings: str = "",
    ) -> None:
        self.folder = folder
        self.more_settings = more_settings
        self.clock = SystemClock()
        self.store = ModelStore(self.clock)
        self.fleet = ModelFleet(self.clock)
        self.fleet.max_attempts = MAX_ATTEMPTS
        self.fleet.fails = lambda worker, order: random.Random(order.task).random() < 0.03
        self.fleet.ticket_valid = self._ticket_valid
        self.advice = ModelAdvice(self.clock, 0.7)
        self.queue_by_job: dict[JobId, str] = {}
        self.vm_by_name: dict[str, SoakVm] = {}
        self.link_by_worker: dict[str, Link] = {}
        self.store_address = self.advice_address = ""
        self._runners: list = []
        self._version = 0
        self._vm_and_worker_count = (vms, workers)
        self._moves = moves
        self.key_by_account = {name: f"{name}-0" for name in ACCOUNTS} if accounts else {}
        self.revoked_at_by_key: dict[str, timedelta] = {}
        self.revocation_bound = REVOCATION_BOUND
        bound_ms = REVOCATION_BOUND // timedelta(milliseconds=1)
        self.extra_bounds = f"strict-revoke = true\nrevoke-ms = {bound_ms}" if accounts else ""
        # Separate loopback addresses, so that several cells can run at the same time.
        self._subnet = f"127.{os.getpid() % 200 + 20}.{seed % 250 + 1}"

    async def __aenter__(self) -> "SoakCell":
        vms, workers = self._vm_and_worker_count
        self.store_address = await self._serve(serve_store(self.store, page_size=500))
        self.advice_address = await self._serve(serve_advice(self.advice))
        for number in range(workers):
            await self._add_worker(f"w{number}")
        self.configure()
        for number in range(vms):
            zone = "gebze" if number % 2 else "tuzla"
            vm = SoakVm(self, f"vm{number}", f"{self._subnet}.{number + 10}", zone)
            self.vm_by_name[vm.name] = vm
        await asyncio.gather(*(vm.start() for vm in self.vm_by_name.values()))
        await self.wait_until_owned()
        return self

    async def __aexit__(self, *error: object) -> None:
        await asyncio.gather(*(vm.stop() for vm in self.vm_by_name.values()))
        for link in self.link_by_worker.values():
            await link.stop()
        for runner in self._runners:
            await runner.cleanup()

    def log_event(self, text: str) -> None:
        """Writes an external event to a log beside those of the VMs, with the time."""
        with (self.folder / "soak.log").open("a") as log:
            log.write(f"{self.clock.now().isoformat()} {text}\n")

    def log_starts_and_ends(self) -> None:
        """Writes what the workers saw of the runs to a log beside those of the VMs."""
        starts, ends = self.fleet.starts, self.fleet.ends
        rows = [(at_s, f"start {task} run {run} on {name}") for at_s, name, task, run in starts]
        rows += [
            (e.at_s, f"end {e.task} run {e.run} on {e.worker} {e.outcome.value}") for e in ends
        ]
        origin = self.clock.now() - self.clock.boot_time()
        with (self.folder / "workers.log").open("w") as log:
            for at_s, text in sorted(rows):
                log.write(f"{(origin + timedelta(seconds=at_s)).isoformat()} {at_s:.3f} {text}\n")

    async def _serve(self, serving) -> str:
        address, runner = await serving
        self._runners.append(runner)
        return address

    async def _add_worker(self, name: str) -> None:
        worker = self.fleet.add(name, CAPACITY)
        link = Link("127.0.0.1", await self._serve(serve_worker(worker)))
        await link.start()
        self.link_by_worker[name] = link
        self.write_worker_entry(name)

    def _pool_of(self, worker: str) -> str:
        _, workers = self._vm_and_worker_count
        is_second = self._moves and int(worker[1:]) >= workers - SECOND_POOL_WORKERS
        return SECOND_POOL if is_second else POOL

    def write_worker_entry(self, name: str, state: str = "ready") -> None:
        """Writes a worker's entry to the store."""
        worker = self.fleet.worker_by_name[name]
        entry = {
            "service": self._pool_of(name),
            "address": self.link_by_worker[name].address,
            "zone": "gebze",
            "state": state,
            "capacity": {"cpu": 8000, "mem-mb": 8000, "gpu": 4},
            "labels": ["a", f"rack{int(name[1:]) // 2}"],
            "born": worker.boot_ms,
        }
        self.store.put(f"servers/{name}", json.dumps(entry).encode())

    def replace_key(self, account: str) -> None:
        """Revokes an account's key and adds another."""
        revoked = self.key_by_account[account]
        self.key_by_account[account] = f"{account}-{len(self.revoked_at_by_key) + 1}"
        self.configure()
        self.revoked_at_by_key[revoked] = self.clock.boot_time()
        self.log_event(f"key {revoked} revoked")

    def configure(self) -> None:
        """Writes the configuration as its next version."""
        self._version += 2
        has_moved = self._moves and self._version % 4 == 0
        timing = {"decide-ms": 10, "each-ms": 0.2, "valid-ms": 2000}
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": prefix,
                "service": SECOND_POOL if has_moved and name == MOVING_QUEUE else POOL,
                "priority": 0 if name == ADVISED_QUEUE else 2,
                "max-attempts": MAX_ATTEMPTS,
                "stretch": 2.0,
                "target-completion-ms": 1000,
                **({"advice": timing} if name == ADVISED_QUEUE else {}),
            }
            for name, prefix in PREFIX_BY_QUEUE.items()
        ]
        config = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": name} for name in POOLS[: 1 + self._moves]],
            "tenants": [
                {"name": name, "api-keys": [key]} for name, key in self.key_by_account.items()
            ],
        }
        self.store.put("op/config", json.dumps(config).encode())

    def _ticket_valid(self, task: str, worker: str, ticket: str) -> bool:
        if self.queue_by_job.get(JobId(task.split(".")[0])) != ADVISED_QUEUE:
            return True
        # Tickets are issued and checked by the advice model of this process.
        return bool(ticket) and self.advice.is_valid(task, worker, ticket)

    def owner(self) -> SoakVm | None:
        """Returns the owner of the pool according to the store."""
        for key, item in self.store.item_by_key.items():
            if key.endswith(f"owner/{POOL}"):
                return self.vm_by_name.get(json.loads(item.value)["vm"])
        return None

    async def wait_until_owned(self, limit: timedelta = timedelta(seconds=START_TIMEOUT_S)) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit.total_seconds()):
                while self.owner() is None:
                    await self.store.changed.wait()
