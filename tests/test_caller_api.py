"""Tests of the caller API over real sockets, against a cell of one entry process."""

import psutil
import pytest

from hornbeamramp.standins.cell import LocalCell, WorkerSpec
from tests.listeners import ROUTE, assert_problem, request, running_cell, send_raw

LIMITS = {"body_bytes": 2_000, "header_bytes": 4_096, "request_timeout_ms": 1_000}
HEAD = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"


@pytest.fixture(scope="module")
def cell():
    workers = [WorkerSpec("worker-1", "gebze", "tickets")]
    local_cell = LocalCell(["gebze"], 1, workers, settings={"limits": LIMITS})
    with running_cell(
        local_cell, [ROUTE, {**ROUTE, "name": "watcher", "kind": "service"}]
    ) as running:
        yield running


@pytest.mark.parametrize(
    ("body", "detail"),
    [
        (b"", "truncated"),
        (b'{"route": ', "truncated"),
        (b"\xff", "malformed"),
        (b"[]", "Expected `object`"),
        ({"payload": 1}, "route"),
        ({"route": "ticket", "payloads": 1}, "payloads"),
        ({"route": "ticket", "tasks": 0}, "tasks"),
        ({"route": "ticket", "deadline_ms": -1}, "deadline_ms"),
        ({"route": "ticket", "resources": {"processors": 1}}, "processors"),
    ],
)
def test_malformed_body_is_refused(cell, body, detail):
    """Guards against running a job from a malformed description."""
    document = assert_problem(cell.caller("POST", "/v1/jobs", body), 400)
    assert document["reason"] == "malformed"
    assert detail in document["detail"]


def test_unknown_route_is_refused(cell):
    """Guards against a 404 that does not state whether the job ran."""
    document = assert_problem(cell.caller("POST", "/v1/jobs", {"route": "nowhere"}), 404)
    assert document["reason"] == "unknown_route"


@pytest.mark.parametrize("key", ["", "k" * 201, "k\xe9"])
def test_unusable_key_is_refused(cell, key):
    """Guards against keys that are truncated, of unbounded size or compared in two encodings."""
    answer = cell.caller("POST", "/v1/jobs", {"route": "ticket"}, Idempotency_Key=key)
    assert assert_problem(answer, 400)["reason"] == "malformed"


def test_oversized_body_is_refused(cell):
    """Guards against unbounded memory, and against parsing the rest as a further request."""
    answer, closed = send_raw(
        cell.entry.callers, HEAD + b"Content-Length: 2001\r\n\r\n" + b"x" * 2001
    )
    assert_problem(answer, 413)
    assert answer.headers["connection"] == "close"
    assert closed


def test_oversized_chunked_body_is_refused(cell):
    """Guards against a size limit that applies only to bodies with a declared length."""
    body = b"Transfer-Encoding: chunked\r\n\r\n" + b"400\r\n" + b"x" * 1024 + b"\r\n"
    body += b"400\r\n" + b"x" * 1024 + b"\r\n0\r\n\r\n"
    answer, closed = send_raw(cell.entry.callers, HEAD + body)
    assert_problem(answer, 413)
    assert closed


def test_oversized_headers_are_refused(cell):
    """Guards against unbounded memory use by headers."""
    answer, closed = send_raw(cell.entry.callers, HEAD + b"X-Long: " + b"x" * 5000 + b"\r\n\r\n")
    assert_problem(answer, 431)
    assert closed


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        HEAD + b"Content-Length: ten\r\n\r\n",
        HEAD + b"Content-Length: -1\r\n\r\n",
        HEAD + b"no colon\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_malformed_http_is_refused(cell, data):
    """Guards against errors of the HTTP layer that are not returned as problem details."""
    answer, closed = send_raw(cell.entry.callers, data)
    assert_problem(answer, 400)
    assert answer.headers["connection"] == "close"
    assert closed


@pytest.mark.parametrize(
    "data", [HEAD, HEAD + b"Content-Length: 100\r\n\r\n{"], ids=["headers", "body"]
)
def test_slow_request_is_refused(cell, data):
    """Guards against connections that an incomplete request keeps open."""
    answer, closed = send_raw(cell.entry.callers, data)
    assert_problem(answer, 408)
    assert closed


def test_unknown_page_and_method(cell):
    """Guards against the HTTP library's own HTML or plain-text errors."""
    assert_problem(cell.caller("GET", "/v2/jobs"), 404)
    answer = cell.caller("PUT", "/v1/jobs", {})
    assert_problem(answer, 405)
    assert "POST" in answer.headers["allow"]


def test_connection_is_kept_after_a_refused_job(cell):
    """Guards against closing the connection because of an error in a complete request."""
    answer = cell.caller("POST", "/v1/jobs", {"route": "nowhere"})
    assert answer.headers.get("connection", "keep-alive") == "keep-alive"


def test_waiting_job_is_answered(cell):
    """Guards against an answer that lacks a documented member."""
    answer = cell.caller("POST", "/v1/jobs", {"route": "ticket", "payload": {"a": 1}, "tasks": 2})
    assert answer.status == 200
    assert set(answer.json) == {"id", "state", "data_centre", "answers"}
    assert (answer.json["state"], answer.json["data_centre"]) == ("completed", "gebze")
    assert [set(row) for row in answer.json["answers"]] == [{"upstream", "payload_base64"}] * 2


def test_same_key_with_another_body_is_refused(cell):
    """Guards against answering a request with the result of another one of the same caller."""
    body = {"route": "ticket", "payload": 1}
    first = cell.caller("POST", "/v1/jobs", body, Idempotency_Key="key-1")
    assert first.status == 200
    again = cell.caller("POST", "/v1/jobs", body, Idempotency_Key="key-1")
    assert again.json == first.json
    other = cell.caller("POST", "/v1/jobs", {**body, "payload": 2}, Idempotency_Key="key-1")
    assert assert_problem(other, 422)["reason"] == "key_reused"


def test_later_job_can_be_looked_up_and_cancelled(cell):
    """Guards against a 202 whose ``Location`` does not refer to the job."""
    body = {"route": "ticket", "run_ms": 600_000}
    accepted = cell.caller("POST", "/v1/jobs", body, Prefer="respond-async")
    assert (accepted.status, accepted.json["state"]) == (202, "accepted")
    assert accepted.headers["preference-applied"] == "respond-async"
    path = accepted.headers["location"]
    assert path == f"/v1/jobs/{accepted.json['id']}"
    assert cell.caller("GET", path).status == 200
    cancelled = cell.caller("DELETE", path)
    assert cancelled.status == 202
    assert cancelled.json["id"] == accepted.json["id"]


@pytest.mark.parametrize("method", ["GET", "DELETE"])
@pytest.mark.parametrize("job_id", ["x", "1~tickets~gebze", "%00", "a~b~c~d"])
def test_unknown_job(cell, method, job_id):
    """Guards against a malformed id that causes an internal error."""
    assert_problem(cell.caller(method, f"/v1/jobs/{job_id}"), 404, outcome=None)


def test_serve_starts_no_other_process(cell):
    """Guards against helper processes of libraries, which the platform does not allow.

    The CPU times of ended children reveal processes that the listings miss.
    """
    process = psutil.Process(cell.entry.program.process.pid)
    assert process.children(recursive=True) == []
    body = {"route": "ticket", "run_ms": 600_000}
    running = cell.caller("POST", "/v1/jobs", body, Prefer="respond-async")
    assert cell.caller("POST", "/v1/jobs", {"route": "ticket"}).status == 200
    assert cell.caller("POST", "/v1/jobs", b"{").status == 400
    assert process.children(recursive=True) == []
    cell.caller("DELETE", running.headers["location"])
    assert process.children(recursive=True) == []
    times = process.cpu_times()
    assert (times.children_user, times.children_system) == (0, 0)


def test_probes(cell):
    """Guards against probes that need a token or report the wrong state."""
    assert cell.caller("GET", "/livez").json == {"live": True}
    assert cell.caller("GET", "/readyz").json == {"ready": True}


def test_not_ready_while_the_tables_are_not_loaded(cell):
    """Guards against a load balancer that sends requests to a VM without tables."""

    async def start_without_store():
        await cell.cell.platform_faults(mode="down")
        entry = await cell.cell._launch_entry("gebze-2", "gebze")
        await entry.wait_listening()
        return entry

    entry = cell.run(start_without_store())
    try:
        assert request(entry.callers, "GET", "/livez").status == 200
        answer = request(entry.callers, "GET", "/readyz")
        assert (answer.status, answer.json) == (503, {"ready": False})
    finally:
        cell.run(cell.cell.platform_faults(mode="up"))
        cell.run(cell.cell.wait_ready(entry))
        cell.run(entry.program.stop())
