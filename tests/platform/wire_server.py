"""The model's store and workers behind the platform's HTTP interface, on loopback."""

import base64
import json
from datetime import timedelta

from aiohttp import web

from hornbeamramp.fleet import HowEnded, StartOrder, StartReply
from hornbeamramp.statestore import LeaseLostError, Put, Txn, TxnConflictError
from tests.model.fleet import ModelWorker
from tests.model.store import ModelStore

__all__ = ["serve_store", "serve_worker"]

WORD_BY_HOW = {
    HowEnded.GANG_BROKEN: "broken",
    HowEnded.GANG_INCOMPLETE: "alone",
}
REASON_BY_REPLY = {
    StartReply.FENCED: "fence",
    StartReply.SUPERSEDED: "old",
    StartReply.PAST_DEADLINE: "late",
}


def wire_item(item):
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


async def listen(handler):
    """Starts a server on a free port; returns its address and its runner."""
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    return f"127.0.0.1:{port}", runner


async def serve_store(store: ModelStore):
    async def handle(request):
        body = json.loads(await request.read() or b"null")
        query = request.query
        path = request.path
        if path == "/kv-key":
            item = store.item_by_key.get(query["key"])
            if item is None:
                return web.json_response({"error": "no such key"}, status=404)
            return web.json_response({**wire_item(item), "as-of": store.revision})
        if path == "/kv-range":
            return web.json_response(_page(store, query))
        if path == "/kv-watch":
            return _events(store, query)
        if path == "/kv-txn":
            return _commit(store, body)
        if path == "/kv-lease":
            lease = store.grant_lease(timedelta(milliseconds=body["ttl-ms"]))
            return web.json_response({"lease": lease, "ttl-ms": body["ttl-ms"]})
        try:
            store.keep_lease(int(path.rpartition("/")[2]))
        except LeaseLostError:
            return web.json_response({}, status=404)
        return web.json_response({"ttl-ms": 1000})

    return await listen(handle)


def _page(store, query, size=2):
    keys = sorted(k for k in store.item_by_key if k.startswith(query["prefix"]))
    keys = [key for key in keys if key > query.get("after", "")]
    return {
        "items": [wire_item(store.item_by_key[key]) for key in keys[:size]],
        "more-pages": len(keys) > size,
        "as-of": store.revision,
    }


def _events(store, query):
    after = int(query["after"])
    if after < store.forgotten:
        return web.json_response({}, status=410)
    events = []
    for change in store.history:
        if change.revision > after and change.key.startswith(query["prefix"]):
            removed = {"key": change.key, "revision": change.revision, "removed": True}
            events.append(removed if change.item is None else wire_item(change.item))
    return web.json_response({"events": events, "as-of": store.revision})


def _commit(store, body):
    puts = tuple(
        Put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0)) for put in body["puts"]
    )
    required = {row["key"]: row["revision"] for row in body["precondition"]}
    try:
        revision = store.commit(Txn(required, puts, tuple(body["deletes"])))
    except TxnConflictError as conflict:
        items = [wire_item(item) for item in conflict.item_by_key.values()]
        return web.json_response({"items": items}, status=412)
    except LeaseLostError:
        return web.json_response({}, status=404)
    return web.json_response({"revision": revision})


async def serve_worker(worker: ModelWorker):
    async def handle(request):
        body = json.loads(await request.read())
        if request.headers["Expect-Instance"] != worker.name:
            return web.json_response({}, status=421)
        if request.path == "/run-start":
            return _start(worker, body)
        if not worker.fence(body["fencing-token"]):
            return web.json_response({"reason": "fence"}, status=409)
        if request.path == "/run-stop":
            worker.stop(body["task"], body["run"])
            return web.json_response({"clock-ms": worker.clock_ms})
        worker.forget(body["last-seen"])
        if "deadline-ms" in body:
            worker.extend(body["deadline-ms"])
        return web.json_response(_lists(worker))

    return await listen(handle)


def _start(worker, body):
    order = StartOrder(
        body["task"],
        body["run"],
        body["spec"],
        body["deadline-ms"],
        body["fencing-token"],
        body.get("checkpoint", ""),
        body.get("ticket", ""),
    )
    reply = worker.start(order)
    answer = {"clock-ms": worker.clock_ms}
    if reply is StartReply.STARTED:
        return web.json_response(answer)
    return web.json_response({**answer, "reason": REASON_BY_REPLY[reply]}, status=409)


def _lists(worker):
    reply = worker.hold_reply()
    return {
        "clock-ms": reply.clock_ms,
        "born": reply.born_ms,
        "running": [[r.task, r.run, r.checkpoint, r.percent, r.load] for r in reply.running],
        "ended": [
            [e.number, e.task, e.run, WORD_BY_HOW.get(e.how, e.how.value), e.checkpoint]
            for e in reply.ended
        ],
    }
