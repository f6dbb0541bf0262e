"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any

from aiohttp import web

__all__ = ["Store"]

PAGE_ITEMS = 500
LEASE_CHECK_S = 0.02


class Store:
    """Keys with revisions, leases, and a history for watches. Serves HTTP on one address.

    `lose_answer_of`
        Of the next writes, the answer of one in so many is lost, that of the first one first. They
        are done. 0: none is lost.
    """

    def __init__(self, host: str) -> None:
        self.address = ""
        self._host = host
        self.revision = 100
        self.lose_answer_of = 0
        self.lost_answers = 0
        self._writes = 0
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._lease_end: dict[int, float] = {}
        self._lease_ttl: dict[int, float] = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._runner: web.ServerRunner | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, 0)
        await site.start()
        assert self._runner.addresses
        self.address = f"{self._host}:{self._runner.addresses[0][1]}"
        self._expiry = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: Any) -> None:
        """Writes a JSON value, as the operator and the workers do."""
        self._apply([{"key": key, "value": base64.b64encode(json.dumps(value).encode())}], [])

    def delete(self, key: str) -> None:
        if key in self.item_by_key:
            self._apply([], [key])

    def read_json(self, key: str) -> Any:
        item = self.item_by_key.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _apply(self, puts: list[dict[str, Any]], deletes: list[str]) -> int:
        self.revision += 1
        for put in puts:
            value = put["value"]
            text = value.decode() if isinstance(value, bytes) else value
            old = self.item_by_key.get(put["key"])
            item = {
                "key": put["key"],
                "value": text,
                "revision": self.revision,
                "created": self.revision if old is None else old["created"],
                "lease": put.get("lease", 0),
            }
            self.item_by_key[put["key"]] = item
            self._history.append(item)
        for key in deletes:
            if self.item_by_key.pop(key, None) is not None:
                self._history.append({"key": key, "revision": self.revision, "removed": True})
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease in [i for i, end in self._lease_end.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._lease_end.pop(lease, None)
        keys = [key for key, item in self.item_by_key.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await request.read() or b"null")
        query, path = request.query, request.path
        if path == "/kv-key":
            item = self.item_by_key.get(query["key"])
            if item is None:
                return web.json_response({}, status=404)
            return web.json_response({**item, "as-of": self.revision})
        if path == "/kv-range":
            return web.json_response(self._page(query))
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            response = self._commit(body)
            if self.lose_answer_of:
                self._writes += 1
                if self._writes % self.lose_answer_of == 1:
                    self.lost_answers += 1
                    await asyncio.Event().wait()
            return response
        if path == "/kv-lease":
            self._next_lease += 1
            self._lease_ttl[self._next_lease] = body["ttl-ms"] / 1000
            self._lease_end[self._next_lease] = time.monotonic() + body["ttl-ms"] / 1000
            return web.json_response({"lease": self._next_lease, "ttl-ms": body["ttl-ms"]})
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-lease-end/"):
            self._end_lease(lease)
            return web.json_response({})
        if lease not in self._lease_end:
            return web.json_response({}, status=404)
        self._lease_end[lease] = time.monotonic() + self._lease_ttl[lease]
        return web.json_response({"ttl-ms": int(self._lease_ttl[lease] * 1000)})

    def _page(self, query: Any) -> dict[str, Any]:
        after = query.get("after", "")
        keys = sorted(k for k in self.item_by_key if k.startswith(query["prefix"]) and k > after)
        return {
            "items": [self.item_by_key[key] for key in keys[:PAGE_ITEMS]],
            "more-pages": len(keys) > PAGE_ITEMS,
            "as-of": self.revision,
        }

    async def _watch(self, query: Any) -> web.Response:
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return web.json_response({"events": events, "as-of": self.revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def _commit(self, body: dict[str, Any]) -> web.Response:
        for put in body["puts"]:
            if put.get("lease") and put["lease"] not in self._lease_end:
                return web.json_response({}, status=404)
        keys = [row["key"] for row in body["precondition"]]
        for row in body["precondition"]:
            item = self.item_by_key.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                items = [self.item_by_key[key] for key in keys if key in self.item_by_key]
                return web.json_response({"items": items}, status=412)
        return web.json_response({"revision": self._apply(body["puts"], body["deletes"])})
