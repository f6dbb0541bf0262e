"""Stand-ins of the platform for the scripts of the third review: store, workers, advice, clients.

Store, workers and advice service are served by the script's own process, as the platform's pages
describe them. The entry programs are separate processes.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

__all__ = ["Advice", "Cell", "Client", "Fleet", "Record", "Store", "Vm", "Worker", "main"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "review.example"
# Figures of the small deployments.
HOLD_MAX_MS = 10_000
STOP_S = 0.1
GANG_TIMEOUT_S = 3.0
FAR_FACTOR = 2
GRACE_S = 6
RESTART_DELAY_S = 0.5
MEMORY_CHECK_S = 0.1
HEARTBEAT_S = 1.5
PAGE_ITEMS = 500
VALUE_BYTES = 1_048_576


class Record:
    """Lines of what was sent, answered and run, with the time since the beginning."""

    def __init__(self, file):
        self._file = Path(file)
        self._file.write_text("")
        self._origin = time.monotonic()

    def now(self):
        return time.monotonic() - self._origin

    def write(self, text):
        with self._file.open("a") as file:
            file.write(f"{self.now():9.3f} {text}\n")


async def listen(handler, host="127.0.0.1"):
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, 0, backlog=1024)
    await site.start()
    return f"{host}:{site._server.sockets[0].getsockname()[1]}", runner


class Store:
    """The platform's store: keys, revisions, leases and watches.

    `is_down`
        Calls get 503, and nothing is done.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.is_down = False
        self.oversized = 0

    def put(self, key, value, lease=0):
        self.revision += 1
        self._put(key, value, lease)
        self._notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def _put(self, key, value, lease):
        before = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease, (_, until) in list(self.leases.items()):
            if until <= now:
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, request):
        body = json.loads(await request.content.read() or b"null")
        if self.is_down:
            return web.json_response({}, status=503)
        await asyncio.sleep(0.004)
        self.expire()
        path, query = request.path, request.query
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return web.json_response(item or {}, status=200 if item else 404)
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            page, size = [], 0
            for key in keys[:PAGE_ITEMS]:
                size += len(self.items[key]["value"])
                if page and size > 1_000_000:
                    break
                page.append(self.items[key])
            more = len(page) < len(keys)
            return web.json_response({"items": page, "more-pages": more, "as-of": self.revision})
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = body["ttl-ms"] / 1000
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
            return web.json_response({"lease": self.next_lease, "ttl-ms": body["ttl-ms"]})
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-lease-end/"):
            self.end(lease)
            return web.json_response({})
        if lease not in self.leases:
            return web.json_response({}, status=404)
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return web.json_response({"ttl-ms": int(ttl * 1000)})

    async def _watch(self, query):
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        after = int(query["after"])
        while True:
            self.expire()
            changed = self.changed
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(query["prefix"]):
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return web.json_response({"events": events[::-1], "as-of": self.revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left, 0.1)):
                    await changed.wait()

    def _commit(self, body):
        rows = body["precondition"]
        if len(rows) + len(body["puts"]) + len(body["deletes"]) > 32:
            return web.json_response({}, status=400)
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items.get(r["key"]) for r in rows]
                items = [
                    item or {"key": r["key"], "revision": 0, "value": ""}
                    for item, r in zip(current, rows, strict=True)
                ]
                return web.json_response({"items": items}, status=412)
        if any(put.get("lease") and put["lease"] not in self.leases for put in body["puts"]):
            return web.json_response({}, status=404)
        values = [base64.b64decode(put["value"]) for put in body["puts"]]
        if any(len(value) > VALUE_BYTES for value in values):
            self.oversized += 1
            return web.json_response({}, status=400)
        self.revision += 1
        for put, value in zip(body["puts"], values, strict=True):
            self._put(put["key"], value, put.get("lease", 0))
        for key in body["deletes"]:
            self._remove(key)
        self._notify()
        return web.json_response({"revision": self.revision})


class Advice:
    """The advice service: grants all workers, and each ticket for its validity."""

    def __init__(self, fleet, timing):
        self.fleet = fleet
        self.timing = timing
        self.tickets = {}
        self.count = 0
        self.busy = asyncio.Lock()

    async def handle(self, request):
        body = json.loads(await request.read())
        named = body["workers"]
        async with self.busy:
            seconds = self.timing["decide-ms"] + self.timing["each-ms"] * len(named)
            await asyncio.sleep(seconds / 1000)
        granted = []
        for name in named:
            self.count += 1
            ticket = f"t{self.count}"
            worker = self.fleet.by_name.get(name)
            boot = worker.born if worker else 0
            until = time.monotonic() + self.timing["valid-ms"] / 1000
            self.tickets[ticket] = (body["step"], name, boot, until)
            granted.append([name, ticket])
        return web.json_response({"granted": granted, "valid-ms": self.timing["valid-ms"]})

    def is_valid(self, worker, task, ticket):
        step = task.rpartition(".")[0]
        known = self.tickets.get(ticket)
        return (
            known is not None
            and known[:3] == (step, worker.name, worker.born)
            and time.monotonic() < known[3]
        )


class Run:
    """A run on a worker. ``left`` is the work that is left, in seconds."""

    def __init__(self, task, number, left, step):
        self.task, self.number, self.step = task, number, step
        self.left = self.work = left
        self.begun = time.monotonic()
        self.pace = 100
        self.is_stopping = self.is_working = False
        self.saved = ""
        self.timer = None


class Worker:
    """One worker, which starts whatever it is told to."""

    def __init__(self, fleet, name, service, cpu, mem, gpu, rack):
        self.fleet, self.name, self.service = fleet, name, service
        self.cpu, self.mem, self.gpu, self.rack = cpu, mem, gpu, rack
        self.address = ""
        self.state = "ready"
        self.sequence = 0
        self.is_up = True
        self.boot()

    def boot(self):
        self.booted = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = self.deadline = self.last_end = 0
        self.runs, self.highest, self.ended = {}, {}, []
        self.changed = asyncio.Event()
        self.lapse = None

    @property
    def clock(self):
        return int((time.monotonic() - self.booted) * 1000)

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "gebze",
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpu": self.gpu},
            "labels": ["a", self.rack],
            "born": self.born,
        }

    async def handle(self, request):
        body = json.loads(await request.read())
        if not self.is_up:
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return web.json_response({}, status=421)
        token = body.get("fencing-token", 0)
        if token < self.token:
            return self._refuse("fence")
        self.token = token
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            self.stop(body["task"], body["run"])
            return web.json_response({"clock-ms": self.clock})
        if request.path == "/pace":
            run = self.runs.get(body["task"])
            if run is None or run.number != body["run"]:
                return self._refuse("old")
            self._set_pace(run, body["percent"])
            return web.json_response({"clock-ms": self.clock})
        self.ended = [row for row in self.ended if row[0] > body["last-seen"]]
        if "deadline-ms" in body:
            self.extend(body["deadline-ms"])
        if body.get("wait-ms") and not self.ended:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait-ms"] / 1000):
                    await self.changed.wait()
        if not self.is_up and request.transport is not None:
            request.transport.abort()
        running = [
            [run.task, run.number, run.saved, self._percent(run), self.fleet.load(self, run)]
            for run in self.runs.values()
        ]
        return web.json_response(
            {
                "clock-ms": self.clock,
                "born": self.born,
                "running": running,
                "ended": self.ended[:500],
            }
        )

    def _refuse(self, reason):
        return web.json_response({"clock-ms": self.clock, "reason": reason}, status=409)

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock + HOLD_MAX_MS))
        if self.lapse is not None:
            self.lapse.cancel()
        seconds = max(self.deadline - self.clock, 0) / 1000 + 0.002
        self.lapse = asyncio.get_running_loop().call_later(seconds, self._lapse)

    def _lapse(self):
        if self.clock >= self.deadline:
            for run in list(self.runs.values()):
                self.finish(run, "lapsed")

    def _start(self, body):
        task, number = body["task"], body["run"]
        self.extend(body["deadline-ms"])
        if body["deadline-ms"] <= self.clock:
            return self._refuse("late")
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return web.json_response({"clock-ms": self.clock})
        if number <= self.highest.get(task, 0):
            return self._refuse("old")
        if not self.fleet.may_start(self, task, body.get("ticket", "")):
            self.fleet.rejected += 1
            if self.fleet.rejected <= 100:
                self.fleet.record.write(f"worker {self.name} rejects {task} run {number}: ticket")
            return self._refuse("ticket")
        step = self.fleet.step_of(task)
        work = self.fleet.work_s(task)
        run = Run(task, number, work, step)
        self.runs[task] = run
        self.fleet.on_start(self, run)
        if step.get("gang") and step["count"] > 1:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(GANG_TIMEOUT_S, self.finish, run, "alone")
            self.fleet.begin_gang(run)
        elif not step.get("long-running"):
            self.begin(run)
        return web.json_response({"clock-ms": self.clock})

    def begin(self, run):
        """Begins the work of a run."""
        if run.timer is not None:
            run.timer.cancel()
        run.begun = time.monotonic()
        run.is_working = True
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work, self.finish, run, "done")

    def vanish(self):
        """Ends for good: everything that runs is gone, and nothing is said of it."""
        self.is_up = False
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
            self.fleet.record.write(f"worker {self.name} is lost with {run.task}")
        lost, self.runs = list(self.runs.values()), {}
        for run in lost:
            if run.step.get("gang"):
                self.fleet.end_gang(run, "broken")

    def _set_pace(self, run, percent):
        run.pace = percent
        self.fleet.record.write(f"worker {self.name} paces {run.task} to {percent}%")

    def _percent(self, run):
        if run.step.get("long-running"):
            return 100
        if not run.is_working:
            return 0
        return min(int(100 * (time.monotonic() - run.begun) / run.work), 99)

    def stop(self, task, number):
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is None or run.number > number or run.is_stopping:
            return
        run.is_stopping = True
        if run.timer is not None:
            run.timer.cancel()
        asyncio.get_running_loop().call_later(STOP_S, self.finish, run, "stopped")

    def finish(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, run.saved])
        self.fleet.on_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()
        if run.step.get("gang") and run.is_working:
            self.fleet.end_gang(run, "done" if how == "done" else "broken")


class Fleet:
    """All workers, and what was seen of the tasks."""

    def __init__(self, record):
        self.record = record
        self.by_name = {}
        self.jobs = {}
        self.starts, self.ends = [], []
        self.running_by_job = {}
        self.work_by_step = {}
        self.load = lambda worker, run: 0.0
        self.may_start = lambda worker, task, ticket: True
        self.is_verbose = True
        self.rejected = 0

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def work_s(self, task):
        return self.step_of(task).get("estimated-ms", 0) / 1000 or 0.5

    def members(self, run):
        """Returns the other runs of a gang, with their workers."""
        step = run.task.rpartition(".")[0]
        return [
            (worker, other)
            for worker in self.by_name.values()
            for other in list(worker.runs.values())
            if other.task.rpartition(".")[0] == step and other.number == run.number
        ]

    def begin_gang(self, run):
        members = self.members(run)
        if len(members) == run.step["count"]:
            is_spread = len({worker.rack for worker, _ in members}) > 1
            for worker, member in members:
                if run.step.get("same-rack") and is_spread:
                    member.work *= FAR_FACTOR
                worker.begin(member)

    def end_gang(self, run, how):
        for worker, member in self.members(run):
            if member.is_working:
                worker.finish(member, how)

    def running(self, job_id):
        """Returns how many tasks of a job are at work."""
        runs = (run for worker in self.by_name.values() for run in worker.runs.values())
        return sum(run.task.startswith(f"{job_id}.") for run in runs)

    def on_start(self, worker, run):
        self.starts.append((self.record.now(), worker.name, run.task, run.number))
        if self.is_verbose:
            self.record.write(f"worker {worker.name} starts {run.task} run {run.number}")

    def on_end(self, worker, run, how):
        self.ends.append((self.record.now(), worker.name, run.task, run.number, how))
        if self.is_verbose:
            self.record.write(f"worker {worker.name} ends {run.task} run {run.number}: {how}")

    def done(self):
        return {task for _, _, task, _, how in self.ends if how == "done"}


class Vm:
    """One entry VM, and the platform that kills its process beyond its memory and restarts it."""

    def __init__(self, cell, name, ip, memory_mb):
        self.cell, self.name, self.ip = cell, name, ip
        self.frontend = f"{ip}:8149"
        self.memory_mb = memory_mb
        self.process = None
        self.peak_mb = 0
        self.own_ends = []
        self.is_wanted = True
        self.was_signalled = False

    def settings(self):
        cell = self.cell
        return f"""
node-name = "{self.name}"
role = "entry"
machine-class = "frontend"
serves = ["frontend"]
ip = "{self.ip}"
zone = "gebze"
region = "marmara"
internal-ports = [7380, 7395]
bootstrap = true
heartbeat-ms = 1500
orders = "call"
advice = "{cell.advice_address}"
[listen]
frontend = "{self.frontend}"
ready = "{self.ip}:8141"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = {self.memory_mb}
max-fds = 4100
[bounds]
status_s = 120
hold-max-ms = {HOLD_MAX_MS}
grace-s = {GRACE_S}
[platform]
address = "{cell.store_address}"
form = "kv"
"""

    async def start(self):
        file = self.cell.folder / f"{self.name}.toml"
        file.write_text(self.settings())
        log = (self.cell.folder / f"{self.name}.log").open("ab")
        self.was_signalled = False
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "hornbeamramp.platform",
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.cell.folder),
                "PYTHONPATH": "target/deps",
                "HORNBEAMRAMP_CONFIG": str(file),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.cell.record.write(f"{self.name} started")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.was_signalled = True
            self.cell.record.write(f"{self.name} gets {signal.Signals(number).name}")
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def memory(self):
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def watch(self):
        """Restarts the process when it ends, and kills it beyond its memory."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            if self.process is None or not self.is_wanted:
                continue
            if self.process.returncode is None:
                used = self.memory()
                self.peak_mb = max(self.peak_mb, used)
                if self.memory_mb and used > self.memory_mb:
                    self.cell.record.write(f"{self.name} uses {used:.0f} MB: over its memory")
                    self.own_ends.append((self.cell.record.now(), "memory"))
                    self.process.kill()
                    await self.process.wait()
                continue
            if not self.was_signalled and self.process.returncode != -signal.SIGKILL:
                self.own_ends.append((self.cell.record.now(), self.process.returncode))
            self.cell.record.write(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(RESTART_DELAY_S)
            if self.is_wanted:
                await self.start()


class Cell:
    """Entry VMs and what they call, all on loopback addresses."""

    def __init__(self, record, vms=3, memory_mb=300):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.store = Store()
        self.fleet = Fleet(record)
        self.timing = {"decide-ms": 10, "each-ms": 0.14, "valid-ms": 2000}
        self.advice = Advice(self.fleet, self.timing)
        self.version = 0
        self.runners, self.tasks, self.vms = [], [], []
        self.store_address = self.advice_address = ""
        self._vms, self._memory_mb = vms, memory_mb

    async def __aenter__(self):
        self.store_address, runner = await listen(self.store.handle)
        self.runners.append(runner)
        self.advice_address, runner = await listen(self.advice.handle)
        self.runners.append(runner)
        subnet = self._free_subnet()
        for number in range(self._vms):
            vm = Vm(self, f"vm{number}", f"{subnet}.{number + 10}", self._memory_mb)
            self.vms.append(vm)
        return self

    def _free_subnet(self):
        while True:
            subnet = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.bind((f"{subnet}.10", 8149))
                return subnet

    async def start_vms(self):
        for vm in self.vms:
            await vm.start()
            self.tasks.append(asyncio.create_task(vm.watch()))
        for _ in range(200):
            if await self.owned():
                break
            await asyncio.sleep(0.1)
        else:
            raise TimeoutError("a service has no owner")
        await asyncio.sleep(2.0)

    async def owned(self):
        config = json.loads(base64.b64decode(self.store.items["op/config"]["value"]))
        services = {service["name"] for service in config["services"]}
        self.store.expire()
        return all(any(k.endswith(f"owner/{s}") for k in self.store.items) for s in services)

    def owner(self, service):
        self.store.expire()
        for key, item in self.store.items.items():
            if key.endswith(f"owner/{service}"):
                name = json.loads(base64.b64decode(item["value"]))["vm"]
                return next(vm for vm in self.vms if vm.name == name)
        return None

    def configure(self, routes, services):
        self.version += 3
        config = {
            "version": self.version,
            "routes": [{"host": HOST, **route} for route in routes],
            "services": [{"name": name} for name in services],
            "limits": {},
        }
        self.store.put("op/config", json.dumps(config).encode())
        names = [route["name"] for route in routes]
        self.record.write(f"operator: config {self.version} acknowledged, routes {names}")

    async def add_worker(self, name, service, cpu=16_000, mem=65_536, gpu=0, rack="r1"):
        worker = Worker(self.fleet, name, service, cpu, mem, gpu, rack)
        self.fleet.by_name[name] = worker
        worker.address, runner = await listen(worker.handle)
        self.runners.append(runner)
        self.tasks.append(asyncio.create_task(self._beat(worker)))
        return worker

    async def _beat(self, worker):
        while worker.is_up:
            if not self.store.is_down:
                self.store.put(f"servers/{worker.name}", json.dumps(worker.entry()).encode())
            await asyncio.sleep(HEARTBEAT_S)
        # The store drops the entry after three intervals of silence.
        await asyncio.sleep(2 * HEARTBEAT_S)
        self.store.remove(f"servers/{worker.name}")

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            vm.is_wanted = False
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        for runner in self.runners:
            await runner.cleanup()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """Clients of the cell. Requests without an answer go to another VM, as the pages tell."""

    def __init__(self, cell, session, host=HOST):
        self.cell, self.session, self.host = cell, session, host
        self.accepted = {}

    async def send(self, method, path, body=None, vm=None, deadline_s=3.0, quiet=False):
        vm = vm or random.choice(self.cell.vms)
        headers = {"Host": self.host, "Deadline-Ms": str(int(deadline_s * 1000))}
        if body is not None:
            headers["Content-Type"] = "application/json"
        status, data = None, b""
        try:
            async with asyncio.timeout(deadline_s):
                async with self.session.request(
                    method,
                    f"http://{vm.frontend}{path}",
                    data=None if body is None else json.dumps(body),
                    headers=headers,
                ) as response:
                    status, data = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            data = type(error).__name__.encode()
        if not quiet:
            self.cell.record.write(f"client: {method} {path} at {vm.name}: {status} {data[:80]!r}")
        return status, data

    async def submit(self, prefix, job_id, job, tries=6, deadline_s=3.0):
        """Submits a job until it is accepted; returns whether it was."""
        self.cell.fleet.jobs[job_id] = job
        for number in range(tries):
            status, _ = await self.send("POST", prefix + job_id, job, deadline_s=deadline_s)
            if status is not None and 200 <= status < 300:
                self.accepted[job_id] = self.cell.record.now()
                return True
            if status in (400, 404):
                return False
            await asyncio.sleep(0.5 + 0.2 * number)
        return False

    async def state(self, prefix, job_id, **options):
        status, data = await self.send("GET", prefix + job_id, **options)
        return json.loads(data).get("state") if status == 200 else status


def main(run):
    """Runs a case: ``run(record, trouble)`` returns whether the rule held, or ``None``.

    The case's argument is 0 to leave out the disruption.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = sys.argv[1:] != ["0"]
    record.write(f"begin, TROUBLE={int(trouble)}")

    async def bounded():
        # So that a case that is stopped ends its processes as well.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110):
            return await run(record, trouble)

    try:
        held = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    record.write({True: "the rule held", False: "the rule was broken", None: "not run"}[held])
    raise SystemExit({True: 0, False: 1, None: 2}[held])
