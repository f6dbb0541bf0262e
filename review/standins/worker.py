"""Stand-in of a worker, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from standins.store import Store

__all__ = ["Run", "Worker"]

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
TICK_S = 0.02
MAX_ENDS = 500


class Run:
    """A run of a task. Its spec is JSON with the field ``ms``, the duration of its work."""

    def __init__(self, task: str, run: int, spec: str, now: float) -> None:
        self.task = task
        self.run = run
        self.spec = spec
        self.started_at = now
        self.work_s = json.loads(spec)["ms"] / 1000

    def percent(self, now: float) -> int:
        return min(int(100 * (now - self.started_at) / self.work_s), 100)


class Worker:
    """One worker. `restart` crashes it and starts it again under the same id.

    `record`
        Called with a line for each start, end and note taken of an end.
    `is_ticket_valid`
        Checks task, worker and ticket of each start, for queues with advice.
    """

    def __init__(
        self,
        store: Store,
        host: str,
        worker_id: str,
        service: str,
        record: Callable[..., None],
        labels: tuple[str, ...] = ("a", "r1-1"),
        cpu: int = 16_000,
        is_ticket_valid: Callable[[str, str, str], bool] | None = None,
    ) -> None:
        self.id = worker_id
        self.service = service
        self.labels = labels
        self.cpu = cpu
        self.address = ""
        self._store = store
        self._host = host
        self._record = record
        self._is_ticket_valid = is_ticket_valid
        self._sequence = 0
        self._runner: web.ServerRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._boot()

    def _boot(self) -> None:
        self.born = int(time.time() * 1000)
        self._clock_zero = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self.running: dict[str, Run] = {}
        self.ended: list[tuple[int, str, int, str]] = []
        self._end_number = 0
        self._highest_over: dict[str, int] = {}
        self._ended_event = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_zero) * 1000)

    async def start(self) -> None:
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self._runner.setup()
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        await web.TCPSite(self._runner, self._host, port).start()
        self.address = f"{self._host}:{self._runner.addresses[0][1]}"
        self._tasks = [asyncio.create_task(self._work()), asyncio.create_task(self._beat())]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def restart(self, down_s: float, labels: tuple[str, ...] | None = None) -> None:
        """Crashes, and starts again under the same id and at the same address.

        The new boot writes its entry before it answers any call.
        """
        self._record("crash", worker=self.id)
        await self.stop()
        self._boot()
        await asyncio.sleep(down_s)
        self._boot()
        self.labels = labels or self.labels
        self.write_entry()
        self._record("boot", worker=self.id, labels=self.labels)
        await self.start()

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": 65_536, "gpu": 0},
            "labels": list(self.labels),
            "clock-ms": self.clock_ms,
            "born": self.born,
            "sequence": self._sequence,
        }
        self._store.put(f"servers/{self.id}", entry)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if self.running and self.clock_ms >= self._deadline_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                if now - run.started_at >= run.work_s:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self._end_number += 1
        self.ended.append((self._end_number, run.task, run.run, how))
        self._note_over(run.task, run.run)
        self._record("end", worker=self.id, task=run.task, run=run.run, how=how)
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    def _note_over(self, task: str, run: int) -> None:
        self._highest_over[task] = max(run, self._highest_over.get(task, 0))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read() or b"{}")
        if request.path == "/health":
            return web.Response()
        if request.headers.get("Expect-Instance") != self.id:
            return web.json_response({}, status=421)
        if request.path == "/run-start":
            return self.start_run(body)
        if body["fencing-token"] < self._token:
            return self._reply({"reason": "fence"}, 409)
        self._token = body["fencing-token"]
        if request.path == "/run-stop":
            self._note_over(body["task"], body["run"])
            run = self.running.get(body["task"])
            if run is not None and run.run <= body["run"]:
                self._end(run, "stopped")
            return self._reply({})
        if request.path == "/hold":
            return await self._hold(body)
        return self._reply({})

    def _reply(self, body: dict[str, Any], status: int = 200) -> web.Response:
        return web.json_response(
            {"clock-ms": self.clock_ms, "born": self.born, **body}, status=status
        )

    def _extend(self, deadline_ms: int) -> None:
        limited = min(deadline_ms, self.clock_ms + HOLD_MAX_MS)
        self._deadline_ms = max(self._deadline_ms, limited)

    def start_run(self, body: dict[str, Any]) -> web.Response:
        """Carries out a start order."""
        task, number = body["task"], body["run"]
        if body["fencing-token"] < self._token:
            return self._reply({"reason": "fence"}, 409)
        self._token = body["fencing-token"]
        running = self.running.get(task)
        if running is not None and running.run == number:
            return self._reply({})
        if running is not None or number <= self._highest_over.get(task, 0):
            return self._reply({"reason": "old"}, 409)
        if body["deadline-ms"] <= self.clock_ms:
            return self._reply({"reason": "late"}, 409)
        check = self._is_ticket_valid
        if check is not None and not check(task, self.id, body.get("ticket", "")):
            self._record("refused", worker=self.id, task=task, run=number, reason="ticket")
            return self._reply({"reason": "ticket"}, 409)
        self._extend(body["deadline-ms"])
        self.running[task] = Run(task, number, body["spec"], time.monotonic())
        self._record(
            "start",
            worker=self.id,
            service=self.service,
            labels=self.labels,
            task=task,
            run=number,
        )
        return self._reply({})

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        for number, task, run, how in self.ended:
            if number <= body["last-seen"]:
                self._record("noted", worker=self.id, task=task, run=run, how=how)
        self.ended = [end for end in self.ended if end[0] > body["last-seen"]]
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        if body.get("wait-ms") and not self.ended:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait-ms"] / 1000):
                    await self._ended_event.wait()
        now = time.monotonic()
        running = [[r.task, r.run, "", r.percent(now), 0] for r in self.running.values()]
        ended = [[number, task, run, how, ""] for number, task, run, how in self.ended[:MAX_ENDS]]
        return self._reply({"running": running, "ended": ended})
