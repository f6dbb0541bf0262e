"""HTTP servers on loopback that offer simulated store, workers and advice as the platform does."""

import asyncio
import base64
import contextlib
import json
from datetime import timedelta

from aiohttp import web

from hornbeamramp.fleet import RunOutcome, StartOrder, StartReply
from hornbeamramp.statestore import LeaseLostError, Put, Txn, TxnConflictError
from hornbeamramp.workload import StepKey
from tests.model.fleet import ModelWorker
from tests.model.store import ModelStore

__all__ = ["serve_advice", "serve_store", "serve_worker"]

WIRE_NAME_BY_OUTCOME = {
    RunOutcome.GANG_BROKEN: "broken",
    RunOutcome.GANG_INCOMPLETE: "alone",
}
REASON_BY_REPLY = {
    StartReply.FENCED: "fence",
    StartReply.SUPERSEDED: "old",
    StartReply.PAST_DEADLINE: "late",
}
# Period at which a pending watch checks for expired leases.
LEASE_CHECK_PERIOD_S = 0.1


def wire_item(item):
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


async def listen(handler, host="127.0.0.1"):
    """Starts a server on a free port; returns its address and its runner."""
    runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    return f"{host}:{port}", runner


async def serve_store(store: ModelStore, host="127.0.0.1", page_size=2):
    async def handle(request):
        store.expire_leases()
        body = json.loads(await request.read() or b"null")
        query = request.query
        path = request.path
        if path == "/kv-key":
            item = store.item_by_key.get(query["key"])
            if item is None:
                return web.json_response({"error": "no such key"}, status=404)
            return web.json_response({**wire_item(item), "as-of": store.revision})
        if path == "/kv-range":
            return web.json_response(_page(store, query, page_size))
        if path == "/kv-watch":
            return await _watch(store, query)
        if path == "/kv-txn":
            return _commit(store, body)
        if path == "/kv-lease":
            lease = store.grant_lease(timedelta(milliseconds=body["ttl-ms"]))
            return web.json_response({"lease": lease, "ttl-ms": body["ttl-ms"]})
        if path.startswith("/kv-lease-end/"):
            store.end_lease(int(path.rpartition("/")[2]))
            return web.json_response({})
        try:
            store.renew_lease(int(path.rpartition("/")[2]))
        except LeaseLostError:
            return web.json_response({}, status=404)
        return web.json_response({"ttl-ms": 1000})

    return await listen(handle, host)


def _page(store, query, size):
    keys = sorted(k for k in store.item_by_key if k.startswith(query["prefix"]))
    keys = [key for key in keys if key > query.get("after", "")]
    return {
        "items": [wire_item(store.item_by_key[key]) for key in keys[:size]],
        "more-pages": len(keys) > size,
        "as-of": store.revision,
    }


async def _watch(store, query):
    """Answers as soon as there is an event, or after the requested wait."""
    loop = asyncio.get_running_loop()
    end = loop.time() + int(query["wait-ms"]) / 1000
    while True:
        store.expire_leases()
        changed = store.changed
        response, has_events = _events(store, query)
        left = end - loop.time()
        if has_events or left <= 0:
            return response
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(left, LEASE_CHECK_PERIOD_S)):
                await changed.wait()


def _events(store, query):
    after = int(query["after"])
    if after < store.compacted_revision:
        return web.json_response({}, status=410), True
    events = []
    for change in store.history:
        if change.revision > after and change.key.startswith(query["prefix"]):
            removed = {"key": change.key, "revision": change.revision, "removed": True}
            events.append(removed if change.item is None else wire_item(change.item))
    return web.json_response({"events": events, "as-of": store.revision}), bool(events)


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


async def serve_advice(advice, host="127.0.0.1"):
    """Serves a simulated advice client; step keys are parsed from their form on the wire."""

    async def handle(request):
        body = json.loads(await request.read())
        job, occurrence, step = body["step"].split(".")
        key = StepKey(job, int(occurrence), int(step))
        answer = await advice.ask(key, body["workers"], timedelta(seconds=1))
        valid_ms = answer.validity // timedelta(milliseconds=1)
        granted = [list(row) for row in answer.ticket_by_worker.items()]
        return web.json_response({"granted": granted, "valid-ms": valid_ms})

    return await listen(handle, host)


def _abort_connection(request):
    """Aborts the connection, unless the caller has already closed it."""
    if request.transport is not None:
        request.transport.abort()


async def serve_worker(worker: ModelWorker, host="127.0.0.1"):
    async def handle(request):
        body = json.loads(await request.read())
        if not worker.is_up:
            _abort_connection(request)
            return web.Response()
        if request.headers["Expect-Instance"] != worker.name:
            return web.json_response({}, status=421)
        if request.path == "/run-start":
            return _start(worker, body)
        if not worker.fence(body["fencing-token"]):
            return web.json_response({"reason": "fence"}, status=409)
        if request.path == "/run-stop":
            worker.stop(body["task"], body["run"])
            return web.json_response({"clock-ms": worker.clock_ms})
        if request.path == "/pace":
            is_done = worker.pace(body["task"], body["run"], body["percent"])
            status = 200 if is_done else 503
            return web.json_response({"clock-ms": worker.clock_ms}, status=status)
        worker.acknowledge_ends(body["last-seen"])
        if "deadline-ms" in body:
            worker.extend_deadline(body["deadline-ms"])
        initial_boot_ms = worker.boot_ms
        if body.get("wait-ms") and not worker.ended:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait-ms"] / 1000):
                    await worker.run_ended.wait()
        if not worker.is_up or worker.boot_ms != initial_boot_ms:
            _abort_connection(request)
        return web.json_response(_hold_body(worker))

    return await listen(handle, host)


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
    if not worker.fleet.ticket_valid(order.task, worker.name, order.ticket):
        return web.json_response({"clock-ms": worker.clock_ms, "reason": "ticket"}, status=409)
    reply = worker.start(order)
    answer = {"clock-ms": worker.clock_ms}
    if reply is StartReply.STARTED:
        return web.json_response(answer)
    return web.json_response({**answer, "reason": REASON_BY_REPLY[reply]}, status=409)


def _hold_body(worker):
    reply = worker.hold_reply()
    return {
        "clock-ms": reply.clock_ms,
        "born": reply.boot_ms,
        "running": [[r.task, r.run, r.checkpoint, r.percent, r.load] for r in reply.running],
        "ended": [
            [
                e.number,
                e.task,
                e.run,
                WIRE_NAME_BY_OUTCOME.get(e.outcome, e.outcome.value),
                e.checkpoint,
            ]
            for e in reply.ended
        ],
    }
