"""Stand-in of the advice service, as PROTOCOL.md describes it."""

import asyncio
import itertools
import json
import time
from typing import Any

from aiohttp import web

__all__ = ["Advice"]


class Advice:
    """Grants every worker that it is asked about. Tickets are valid for ``valid_ms``."""

    def __init__(self, host: str, decide_ms: float, each_ms: float, valid_ms: int) -> None:
        self.address = ""
        self._host = host
        self._decide_s = decide_ms / 1000
        self._each_s = each_ms / 1000
        self._valid_ms = valid_ms
        self._numbers = itertools.count(1)
        self._valid_until: dict[tuple[str, str, str], float] = {}
        self._lock_by_caller: dict[str, asyncio.Lock] = {}
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, 0).start()
        self.address = f"{self._host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def is_valid(self, task: str, worker: str, ticket: str) -> bool:
        """Returns whether a start on a queue with advice may take place."""
        step = task.rpartition(".")[0]
        return self._valid_until.get((step, worker, ticket), 0.0) > time.monotonic()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body: dict[str, Any] = json.loads(await request.read())
        # Calls of one machine are handled in turn.
        lock = self._lock_by_caller.setdefault(request.remote or "", asyncio.Lock())
        async with lock:
            await asyncio.sleep(self._decide_s + self._each_s * len(body["workers"]))
        granted = []
        for worker in body["workers"]:
            ticket = f"c{next(self._numbers)}"
            until = time.monotonic() + self._valid_ms / 1000
            self._valid_until[body["step"], worker, ticket] = until
            granted.append([worker, ticket])
        return web.json_response({"granted": granted, "valid-ms": self._valid_ms})
