"""A small deployment on loopback: the store, the advice service, workers and entry VMs.

The store, the advice service and the workers are stand-ins in this process that follow the users'
pages. The entry VMs are real processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

__all__ = ["Advice", "Client", "Record", "Store", "Vm", "Worker", "World"]

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.1
# Time after which a task that lasts is at work.
STARTUP_S = 0.1
GRACE_S = 6


class Record:
    """The file with what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Listener:
    """An HTTP server on one address whose connections can be aborted."""

    def __init__(self, handle: Callable[[web.BaseRequest], Any], host: str) -> None:
        self._handle = handle
        self._host = host
        self._port = 0
        self._runner: web.ServerRunner | None = None
        self._server: web.Server | None = None

    @property
    def address(self) -> str:
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Listens on the address that it had before, or on a free port."""
        self._server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.05)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port, reuse_address=True)
        await site.start()
        self._port = site._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Resets all connections and listens no more."""
        runner, server = self._runner, self._server
        self._runner = self._server = None
        if runner is None or server is None:
            return
        for site in list(runner.sites):
            await site.stop()
        for connection in list(server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()


def reply(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.json_response(body, status=status)


class Store:
    """The platform's store: linearizable, with leases, conditional writes and watches.

    `delay_s`
        Time that each answer takes.
    """

    def __init__(self, host: str) -> None:
        self.listener = Listener(self._handle, host)
        self.delay_s = 0.004
        self.revision = 1
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._lease_end: dict[int, float] = {}
        self._ttl_s: dict[int, float] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), lease)
        self._notify()
        return self.revision

    def delete(self, key: str) -> None:
        if key in self.item_by_key:
            self.revision += 1
            self._remove(key)
            self._notify()

    def _write(self, key: str, value: str, lease: int) -> None:
        before = self.item_by_key.get(key)
        created = self.revision if before is None else before["created"]
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.item_by_key[key] = item
        self._events.append(item)

    def _remove(self, key: str) -> None:
        if self.item_by_key.pop(key, None) is not None:
            self._events.append({"key": key, "revision": self.revision, "removed": True})

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, end in self._lease_end.items() if end <= now]:
            self._end(lease)

    def _end(self, lease: int) -> None:
        self._lease_end.pop(lease, None)
        keys = [key for key, item in self.item_by_key.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    async def expire_leases(self) -> None:
        while True:
            self._expire()
            await asyncio.sleep(0.02)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        raw = await request.read()
        body = json.loads(raw) if raw else {}
        await asyncio.sleep(self.delay_s / 2)
        self._expire()
        query = request.query
        path = request.path
        if path == "/kv-watch":
            answer = await self._watch(query)
        elif path == "/kv-key":
            item = self.item_by_key.get(query["key"])
            answer = reply({}, 404) if item is None else reply({**item, "as-of": self.revision})
        elif path == "/kv-range":
            answer = self._range(query)
        elif path == "/kv-txn":
            answer = self._commit(body)
        elif path == "/kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._ttl_s[lease] = max(body["ttl-ms"], 1000) / 1000
            self._lease_end[lease] = time.monotonic() + self._ttl_s[lease]
            answer = reply({"lease": lease, "ttl-ms": int(self._ttl_s[lease] * 1000)})
        elif path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease in self._lease_end:
                self._lease_end[lease] = time.monotonic() + self._ttl_s[lease]
                answer = reply({"ttl-ms": int(self._ttl_s[lease] * 1000)})
            else:
                answer = reply({}, 404)
        elif path.startswith("/kv-lease-end/"):
            self._end(int(path.rpartition("/")[2]))
            answer = reply({})
        else:
            answer = reply({}, 400)
        await asyncio.sleep(self.delay_s / 2)
        return answer

    def _range(self, query: Any) -> web.Response:
        after = query.get("after", "")
        keys = sorted(k for k in self.item_by_key if k.startswith(query["prefix"]) and k > after)
        items = [self.item_by_key[key] for key in keys[:500]]
        return reply({"items": items, "more-pages": len(keys) > 500, "as-of": self.revision})

    async def _watch(self, query: Any) -> web.Response:
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                e for e in self._events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return reply({"events": events, "as-of": self.revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def _commit(self, body: dict[str, Any]) -> web.Response:
        required = body.get("precondition", [])
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if len(required) + len(puts) + len(deletes) > 32:
            return reply({}, 400)
        keys = [row["key"] for row in required]
        current = {key: self.item_by_key.get(key) for key in keys}
        for row in required:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return reply({"items": [item for item in current.values() if item]}, 412)
        if any(p.get("lease", 0) and p["lease"] not in self._lease_end for p in puts):
            return reply({}, 404)
        self.revision += 1
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self._remove(key)
        self._notify()
        return reply({"revision": self.revision})


class Run:
    """A run on a worker."""

    def __init__(self, task: str, number: int, spec: str, checkpoint: str) -> None:
        self.task = task
        self.number = number
        self.spec = spec
        self.checkpoint = checkpoint
        self.duration_s: float | None = None
        self.how = ""
        self.pace = 100
        self.timer: asyncio.TimerHandle | None = None
        self._worked_s = 0.0
        self._updated_at = time.monotonic()

    def worked_s(self) -> float:
        """Returns for how long the task has worked at its full pace."""
        now = time.monotonic()
        self._worked_s += (now - self._updated_at) * self.pace / 100
        self._updated_at = now
        return self._worked_s

    def percent(self) -> int:
        if self.duration_s is None:
            return 100 if self.worked_s() >= STARTUP_S else 0
        return min(int(100 * self.worked_s() / self.duration_s), 99)

    def left_s(self) -> float | None:
        """Returns when the run ends by itself at this pace; ``None`` if it doesn't."""
        if self.duration_s is None or self.pace == 0:
            return None
        return max(self.duration_s - self.worked_s(), 0.0) * 100 / self.pace


class Worker:
    """One machine's worker. A new boot keeps the id, the address, the rack and the room."""

    def __init__(self, world: "World", name: str, service: str, kind: str, rack: str) -> None:
        self.world = world
        self.name = name
        self.service = service
        self.kind = kind
        self.rack = rack
        self.cpu, self.mem_mb = 16_000, 65_536
        self.listener = Listener(self._handle, "127.0.0.1")
        self.is_up = False
        # While set, it answers starts with 503 and does nothing, and is sound otherwise.
        self.is_shedding = False
        self.shed = 0
        # While set, nothing that is sent arrives in either direction, and the worker runs on.
        self.is_cut = False
        self.cut_at = 0.0
        self._healed = asyncio.Event()
        self.zone = "gebze"
        self.state = "ready"
        self.born = 0
        self.sequence = 0
        self.boots = 0
        self.run_by_task: dict[str, Run] = {}
        # Tasks of this boot, for the judge.
        self.calls_of_boot = 0
        self.registered_at = 0.0

    async def boot(self) -> None:
        self.born = int(time.time() * 1000)
        self._booted_at = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._highest: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._end_number = 0
        self._run_ended = asyncio.Event()
        self.run_by_task = {}
        self.sequence = 0
        self.calls_of_boot = 0
        self.boots += 1
        await self.listener.start()
        self.is_up = True
        self.register()
        self.registered_at = self.world.record.now()
        self.world.record.write(
            f"worker {self.name} is up, born {self.born}, labels {self.kind} {self.rack}"
        )

    async def crash(self) -> None:
        self.is_up = False
        for run in self.run_by_task.values():
            if run.timer is not None:
                run.timer.cancel()
        self.run_by_task = {}
        self._run_ended.set()
        await self.listener.crash()
        self.world.record.write(f"worker {self.name} has crashed")

    def register(self) -> None:
        self._beat_at = time.monotonic()
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.listener.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0},
            "labels": [self.kind, self.rack],
            "born": self.born,
        }
        self.world.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def beat(self) -> None:
        """Writes the entry every `HEARTBEAT_S`; it goes after three times this in silence."""
        now = time.monotonic()
        if self.is_cut and now - self.cut_at > 3 * HEARTBEAT_S:
            self.world.store.delete(f"servers/{self.name}")
        elif self.is_up and not self.is_cut and now - self._beat_at >= HEARTBEAT_S:
            self.register()

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self._booted_at) * 1000)

    def _extend(self, deadline_ms: int) -> None:
        capped = min(deadline_ms, self.clock_ms + HOLD_MAX_MS)
        self._deadline_ms = max(self._deadline_ms, capped)

    def lapse(self) -> None:
        """Ends all runs once their lease is over."""
        if self.is_up and self.run_by_task and self.clock_ms > self._deadline_ms:
            for task in list(self.run_by_task):
                self.end(task, "lapsed")

    def end(self, task: str, how: str) -> None:
        run = self.run_by_task.pop(task, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._highest[task] = max(self._highest.get(task, 0), run.number)
        self._end_number += 1
        self._ended.append([self._end_number, task, run.number, how, ""])
        self.world.record.write(f"worker {self.name}: {task} run {run.number} ended {how}")
        self.world.on_end(self, run, how)
        self._run_ended.set()
        self._run_ended = asyncio.Event()

    def cut(self) -> None:
        """Cuts the worker off from all others, in silence."""
        self.is_cut, self.cut_at = True, time.monotonic()
        self._healed = asyncio.Event()
        self.world.record.write(f"worker {self.name} is cut off")

    async def heal(self) -> None:
        """Ends the cut; connections that were open are gone."""
        self.is_cut = False
        self._healed.set()
        await self.listener.crash()
        await self.listener.start()
        self.register()
        self.world.record.write(f"worker {self.name} is no longer cut off")

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        answer = web.Response() if self.is_cut else await self._answer_of(request)
        if self.is_cut:
            # Lost. The connection is reset once the cut has ended.
            await self._healed.wait()
            await asyncio.sleep(1.0)
        return answer

    async def _answer_of(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read())
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return reply({"clock-ms": self.clock_ms}, 421)
        self.calls_of_boot += 1
        if body.get("fencing-token", 0) < self._token:
            return self._answer({"reason": "fence"}, 409)
        self._token = body.get("fencing-token", 0)
        if request.path == "/run-start":
            response = self._start(body)
            if self.world.loses_answer(self, body):
                self.world.record.write(f"worker {self.name}: the answer is lost")
                await asyncio.sleep(2.0)
                if request.transport is not None:
                    request.transport.abort()
            return response
        if request.path == "/run-stop":
            return self._stop(body)
        if request.path == "/pace":
            if self.world.sheds_pace(self, body):
                self.world.record.write(
                    f"worker {self.name}: pace {body['percent']} of {body['task']}: 503, not done"
                )
                return self._answer({}, 503)
            late_s = self.world.late_pace(self, body)
            if late_s:
                # The order gets no answer, and is carried out later.
                asyncio.get_running_loop().call_later(late_s, self._pace, body)
                await asyncio.sleep(late_s)
                if request.transport is not None:
                    request.transport.abort()
                return web.Response()
            return self._pace(body)
        if request.path == "/hold":
            return await self._hold(body)
        return self._answer({}, 400)

    def _answer(self, body: dict[str, Any], status: int = 200) -> web.Response:
        return reply({"clock-ms": self.clock_ms, **body}, status)

    def _start(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        if self.is_shedding:
            self.shed += 1
            self.world.record.write(
                f"worker {self.name} is told to start {task} run {number}: 503, nothing done"
            )
            return self._answer({}, 503)
        reason = self._refusal(body)
        self.world.record.write(
            f"worker {self.name} is told to start {task} run {number}, lease to"
            f" {body['deadline-ms']} at {self.clock_ms}: {reason or 'started'}"
        )
        if reason == "there":
            return self._answer({})
        if reason:
            return self._answer({"reason": reason}, 409)
        run = Run(task, number, body["spec"], body.get("checkpoint", ""))
        self.run_by_task[task] = run
        self.world.on_start(self, run)
        run.duration_s, run.how = self.world.plan(self, run)
        self._schedule_end(run)
        return self._answer({})

    def _schedule_end(self, run: Run) -> None:
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        left_s = run.left_s()
        if left_s is not None:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(left_s, self.end, run.task, run.how)

    def _pace(self, body: dict[str, Any]) -> web.Response:
        run = self.run_by_task.get(body["task"])
        self.world.record.write(
            f"worker {self.name}: pace of {body['task']} run {body['run']} is {body['percent']}"
        )
        if run is not None and run.number == body["run"]:
            run.worked_s()
            run.pace = body["percent"]
            self._schedule_end(run)
        return self._answer({})

    def _refusal(self, body: dict[str, Any]) -> str:
        task, number = body["task"], body["run"]
        self._extend(body["deadline-ms"])
        if body["deadline-ms"] <= self.clock_ms:
            return "late"
        existing = self.run_by_task.get(task)
        if existing is not None and existing.number == number:
            return "there"
        if number <= self._highest.get(task, 0) or existing is not None:
            return "old"
        if not self.world.advice.allows(task, self.name, self.born, body.get("ticket", "")):
            return "ticket"
        return ""

    def _stop(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.run_by_task.get(task)
        if run is not None and run.number <= number:
            self.world.on_stop(self, run)
            if run.timer is not None:
                run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(STOP_S, self.end, task, "stopped")
        return self._answer({})

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        last_seen = body.get("last-seen", 0)
        self._ended = [row for row in self._ended if row[0] > last_seen]
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        if body.get("wait-ms") and not self._ended:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait-ms"] / 1000):
                    await self._run_ended.wait()
        running = [
            [r.task, r.number, "", r.percent(), self.world.load(self, r)]
            for r in self.run_by_task.values()
        ]
        return self._answer(
            {"born": self.born, "running": running, "ended": self._ended[:500]},
        )


class Advice:
    """The advice service. It grants all workers but those in ``denied``.

    `advised`
        Ids of the jobs that came on a queue with advice.
    """

    def __init__(self, world: "World", decide_ms: float, each_ms: float, valid_ms: int) -> None:
        self._world = world
        self.listener = Listener(self._handle, "127.0.0.1")
        self.decide_ms, self.each_ms, self.valid_ms = decide_ms, each_ms, valid_ms
        self.advised: set[str] = set()
        self.calls = 0
        self._tickets: dict[str, tuple[str, str, int, float]] = {}
        self._lock = asyncio.Lock()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read())
        async with self._lock:
            await asyncio.sleep((self.decide_ms + self.each_ms * len(body["workers"])) / 1000)
        rows = []
        for name in body["workers"]:
            worker = self._world.worker_by_name.get(name)
            if worker is None:
                continue
            self.calls += 1
            ticket = f"t{self.calls}"
            until = time.monotonic() + self.valid_ms / 1000
            self._tickets[ticket] = (body["step"], name, worker.born, until)
            rows.append([name, ticket])
        self._world.record.write(f"advice on {body['step']} for {len(body['workers'])} workers")
        return reply({"granted": rows, "valid-ms": self.valid_ms})

    def allows(self, task: str, worker: str, born: int, ticket: str) -> bool:
        """Returns whether a start may be carried out; a ticket holds for one life of a worker."""
        job, occurrence, step, _ = task.split(".")
        if job not in self.advised:
            return True
        known = self._tickets.get(ticket)
        if known is None or time.monotonic() > known[3]:
            return False
        return known[:3] == (f"{job}.{occurrence}.{step}", worker, born)


class Vm:
    """The process of one entry VM."""

    def __init__(self, world: "World", name: str, ip: str, zone: str) -> None:
        self._world = world
        self.name, self.ip, self.zone = name, ip, zone
        ports = _free_ports(ip, 3)
        self.frontend, self.ready = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        self._control = f"{ip}:{ports[2]}"
        self._settings = world.folder / f"{name}.toml"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self._settings.write_text(self._text())
        with (self._world.folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._world.command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "HORNBEAMRAMP_CONFIG": str(self._settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._world.record.write(f"{self.name} is started")

    def _text(self) -> str:
        world = self._world
        return f"""
node-name = "{self.name}"
role = "entry"
machine-class = "frontend"
serves = ["frontend"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "marmara"
internal-ports = [7380, 7395]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
orders = "call"
advice = "{world.advice.listener.address}"
[zones]
gebze = "marmara"
tuzla = "marmara"
[listen]
frontend = "{self.frontend}"
ready = "{self.ready}"
control-plane = "{self._control}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
[bounds]
status_s = 120
hold-max-ms = {HOLD_MAX_MS}
grace-s = {GRACE_S}
[platform]
address = "{world.store.listener.address}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def stop(self) -> None:
        if self._process is None:
            return
        self.kill(signal.SIGCONT)
        self.kill()
        await self._process.wait()


def _free_ports(ip: str, count: int) -> list[int]:
    """Returns different free ports of an address."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((ip, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]


class Client:
    """Calls entry VMs as the platform's clients do."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._session = aiohttp.ClientSession()

    async def call(
        self, vm: Vm, method: str, host: str, path: str, body: Any = None, deadline_ms: int = 3000
    ) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body; status 0 if there was no answer."""
        headers = {"Host": host, "Deadline-Ms": str(deadline_ms)}
        try:
            async with (
                asyncio.timeout(deadline_ms / 1000),
                self._session.request(
                    method, f"http://{vm.frontend}{path}", json=body, headers=headers
                ) as response,
            ):
                answer = await response.json()
                self._world.record.write(f"{method} {path} at {vm.name}: {response.status}")
                return response.status, answer
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._world.record.write(f"{method} {path} at {vm.name}: no answer, {error!r}")
            return 0, {}

    async def submit(self, vms: list[Vm], host: str, path: str, body: Any) -> bool:
        """Hands a job in, with the same id again after no answer; returns whether it was."""
        for attempt in range(20):
            status, _ = await self.call(vms[attempt % len(vms)], "POST", host, path, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def close(self) -> None:
        await self._session.close()


class World:
    """All parts of the deployment.

    `plan`
        Returns the duration of a run (``None``: until it is stopped) and how it ends.
    `load`
        Returns the last figure of a run's row: the tail in ms for a task that serves.
    `loses_answer`
        Returns whether the answer to a start is lost, which is carried out all the same.
    `sheds_pace`
        Returns whether an order on pace is answered with 503 and not carried out.
    `late_pace`
        Returns how late an order on pace is carried out, in seconds, without an answer; 0 if at
        once.
    """

    def __init__(self, folder: Path, vms: int = 3) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()
        self.store = Store("127.0.0.1")
        self.advice = Advice(self, 560, 8.0, 2000)
        self.worker_by_name: dict[str, Worker] = {}
        self.vms: list[Vm] = []
        self.plan: Callable[[Worker, Run], tuple[float | None, str]] = lambda w, r: (1.0, "done")
        self.load: Callable[[Worker, Run], int] = lambda w, r: 0
        self.late_pace: Callable[[Worker, dict[str, Any]], float] = lambda w, body: 0.0
        self.sheds_pace: Callable[[Worker, dict[str, Any]], bool] = lambda w, body: False
        self.loses_answer: Callable[[Worker, dict[str, Any]], bool] = lambda w, body: False
        self.on_stop: Callable[[Worker, Run], None] = lambda w, r: None
        self.on_start: Callable[[Worker, Run], None] = lambda w, r: None
        self.on_end: Callable[[Worker, Run, str], None] = lambda w, r, how: None
        self._vm_count = vms
        self._subnet = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250 + 1}"
        self._background: list[asyncio.Task[None]] = []
        self.client: Client

    async def __aenter__(self) -> "World":
        self.client = Client(self)
        await self.store.listener.start()
        await self.advice.listener.start()
        self._background = [
            asyncio.create_task(self.store.expire_leases()),
            asyncio.create_task(self._heartbeats()),
        ]
        for number in range(self._vm_count):
            zone = ("gebze", "tuzla")[number % 2]
            vm = Vm(self, f"frontend-{zone}-{number}", f"{self._subnet}.{number + 10}", zone)
            self.vms.append(vm)
        return self

    async def start_vms(self) -> None:
        await asyncio.gather(*(vm.start() for vm in self.vms))

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Waits until all VMs are ready and all pools have an owner."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            states = [await self._is_ready(vm) for vm in self.vms]
            if all(states) and any("cell/owner/" in key for key in self.store.item_by_key):
                return True
            await asyncio.sleep(0.2)
        self.record.write("the deployment is not ready in time")
        return False

    async def _is_ready(self, vm: Vm) -> bool:
        try:
            async with aiohttp.ClientSession() as session, asyncio.timeout(1):
                response = await session.get(f"http://{vm.ready}/ready")
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def add_worker(
        self, name: str, service: str, kind: str, rack: str, zone: str = "gebze"
    ) -> Worker:
        worker = Worker(self, name, service, kind, rack)
        worker.zone = zone
        self.worker_by_name[name] = worker
        await worker.boot()
        # The beats of the workers are spread over time.
        worker._beat_at -= HEARTBEAT_S * (len(self.worker_by_name) % 12) / 12
        return worker

    def configure(self, config: dict[str, Any]) -> None:
        revision = self.store.put("op/config", json.dumps(config).encode())
        names = [route["name"] for route in config["routes"]]
        self.record.write(f"config version {config['version']} at {revision}, routes {names}")

    def owner(self, service: str) -> Vm | None:
        """Returns the VM that the store names as the holder of a service."""
        for key, item in self.store.item_by_key.items():
            if key.endswith(f"cell/owner/{service}"):
                name = json.loads(base64.b64decode(item["value"]))["vm"]
                return next((vm for vm in self.vms if vm.name == name), None)
        return None

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for worker in self.worker_by_name.values():
                worker.lapse()
                worker.beat()

    async def __aexit__(self, *error: object) -> None:
        await asyncio.gather(*(vm.stop() for vm in self.vms))
        for task in self._background:
            task.cancel()
        await self.client.close()
        for worker in self.worker_by_name.values():
            await worker.listener.crash()
        await self.store.listener.crash()
        await self.advice.listener.crash()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            self.record.write(f"logs of the VMs are in {self.folder}")
        self.record.close()
