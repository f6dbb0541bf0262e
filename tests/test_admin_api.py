"""Tests of the admin API over real sockets, against a cell of one entry process."""

import hmac

import pytest
from prometheus_client.parser import text_string_to_metric_families

from hornbeamramp import admin_api
from hornbeamramp.admin_api import _TokenCheck
from hornbeamramp.standins.cell import LocalCell, WorkerSpec
from tests.listeners import ROUTE, assert_problem, request, running_cell, send_raw

PATH = "/v1/routes/ticket"


@pytest.fixture(scope="module")
def cell():
    workers = [WorkerSpec("worker-1", "gebze", "tickets")]
    with running_cell(LocalCell(["gebze"], 1, workers), [ROUTE]) as running:
        yield running


@pytest.mark.parametrize("path", ["/v1/routes", PATH, "/v1/status", "/metrics", "/nowhere"])
@pytest.mark.parametrize(
    "authorization", [None, "Bearer", "Bearer wrong", "Basic eDp5", "Bearer \xff"]
)
def test_request_without_the_token_is_refused(cell, path, authorization):
    """Guards against a path served without the token, or a malformed header as internal error."""
    headers = {} if authorization is None else {"Authorization": authorization}
    answer = request(cell.entry.admin, "GET", path, headers=headers)
    assert_problem(answer, 401)
    assert answer.headers["www-authenticate"] == "Bearer"


def test_token_is_not_accepted_as_a_prefix_or_with_a_suffix(cell):
    """Guards against a comparison that stops at the end of the shorter string."""
    for token in (cell.cell.token[:-1], cell.cell.token + "x", cell.cell.token.upper() + " "):
        assert_problem(cell.admin("GET", PATH, token=token), 401)


def test_token_is_compared_in_constant_time(run, monkeypatch):
    """Guards against a comparison whose duration reveals how much of the token is right."""
    calls = []

    def compare(a, b):
        calls.append((a, b))
        return hmac.compare_digest(a, b)

    class Hmac:
        compare_digest = staticmethod(compare)

    class Request:
        headers = {"authorization": "Bearer guess"}

    monkeypatch.setattr(admin_api, "hmac", Hmac)
    assert run(_TokenCheck("secret")(Request())).status == 401
    assert calls == [(b"Bearer guess", b"Bearer secret")]


def test_no_listener_without_admin_settings(cell):
    """Guards against an admin listener that is not configured."""
    entry = cell.run(cell.cell.add_entry("gebze-2", "gebze", {"admin": None}))
    assert entry.admin == 0
    cell.run(entry.program.stop())
    cell.cell.entries.remove(entry)


def test_write_without_precondition_is_refused(cell):
    """Guards against overwriting a row that another operator has changed."""
    assert_problem(cell.admin("PUT", PATH, ROUTE), 428)
    assert_problem(cell.admin("DELETE", PATH), 428)


def test_malformed_precondition_is_refused(cell):
    """Guards against treating a malformed precondition like a missing one."""
    assert_problem(cell.admin("PUT", PATH, ROUTE, If_Match="W/x"), 400)


def test_stale_write_gets_the_current_row(cell):
    """Guards against lost updates: the refused writer needs the current row."""
    row = cell.admin("GET", PATH)
    first = cell.admin("PUT", PATH, {**ROUTE, "run_ms": 20}, If_Match=row.headers["etag"])
    assert first.status == 200
    assert first.headers["etag"] == f'"{first.json["revision"]}"'
    stale = cell.admin("PUT", PATH, {**ROUTE, "run_ms": 30}, If_Match=row.headers["etag"])
    document = assert_problem(stale, 412)
    assert document["current"]["run_ms"] == 20
    assert stale.headers["etag"] == first.headers["etag"]
    assert_problem(cell.admin("PUT", PATH, ROUTE, If_None_Match="*"), 412)
    assert_problem(cell.admin("DELETE", PATH, If_Match=row.headers["etag"]), 412)


def test_route_to_a_missing_pool_is_refused(cell):
    """Guards against a route that no job can use."""
    row = {"name": "lost", "pool": "nowhere"}
    answer = cell.admin("PUT", "/v1/routes/lost", row, If_None_Match="*")
    assert "nowhere" in assert_problem(answer, 409)["detail"]


def test_pool_in_use_is_not_deleted(cell):
    """Guards against routes that lose their pool; the operator needs their names."""
    etag = cell.admin("GET", "/v1/pools/tickets").headers["etag"]
    answer = cell.admin("DELETE", "/v1/pools/tickets", If_Match=etag)
    assert assert_problem(answer, 409)["names"] == ["ticket"]


@pytest.mark.parametrize(
    ("body", "detail"),
    [
        (b"{", "truncated"),
        ({**ROUTE, "colour": 1}, "colour"),
        ({**ROUTE, "run_ms": "x"}, "$.run_ms"),
        ({**ROUTE, "name": "other"}, "$.name"),
    ],
)
def test_malformed_row_is_refused(cell, body, detail):
    """Guards against accepting a row of which a field was ignored."""
    etag = cell.admin("GET", PATH).headers["etag"]
    assert detail in assert_problem(cell.admin("PUT", PATH, body, If_Match=etag), 400)["detail"]


def test_row_can_be_created_and_deleted(cell):
    """Guards against a created row whose ETag is refused when the row is deleted."""
    path = "/v1/routes/extra"
    assert_problem(cell.admin("GET", path), 404, outcome=None)
    created = cell.admin("PUT", path, {"pool": "tickets"}, If_None_Match="*")
    assert created.status == 200
    assert "extra" in [row["name"] for row in cell.admin("GET", "/v1/routes").json["routes"]]
    assert cell.admin("DELETE", path, If_Match=created.headers["etag"]).status == 200
    assert_problem(cell.admin("GET", path), 404, outcome=None)


def test_preferred_wait_reports_where_the_change_is_in_force(cell):
    """Guards against reporting a change as in force before every member applies it."""
    etag = cell.admin("GET", PATH).headers["etag"]
    answer = cell.admin("PUT", PATH, ROUTE, If_Match=etag, Prefer="wait=30")
    assert answer.json["accepted"] is True
    assert answer.json["in_force"] == {"gebze": True}
    status = cell.admin("GET", "/v1/status").json
    assert status["data_centres"]["gebze"]["least_revision"] >= answer.json["revision"]


def test_unknown_page_method_and_body_size(cell):
    """Guards against errors of the HTTP layer that are not problem details."""
    assert_problem(cell.admin("GET", "/v2"), 404)
    assert_problem(cell.admin("POST", PATH), 405)
    head = f"PUT {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {cell.cell.token}\r\n"
    answer, closed = send_raw(
        cell.entry.admin, head.encode() + b"Content-Length: 9000000\r\n\r\n" + b"x" * 1000
    )
    assert_problem(answer, 413)
    assert closed


def test_metrics_are_prometheus_text(cell):
    """Guards against metrics that a collector can't read."""
    cell.caller("POST", "/v1/jobs", {"route": "ticket"})
    answer = cell.admin("GET", "/metrics")
    assert answer.headers["content-type"].startswith("text/plain; version=0.0.4")
    samples = [
        sample
        for family in text_string_to_metric_families(answer.body.decode())
        for sample in family.samples
    ]

    def values(name, **labels):
        return [x.value for x in samples if x.name == name and x.labels.items() >= labels.items()]

    assert values("hornbeamramp_requests_total", route="ticket", outcome="completed")[0] >= 1
    assert sum(values("hornbeamramp_queue_time_seconds_count")) >= 1
    assert values("hornbeamramp_revision")[0] >= 2
    assert values("hornbeamramp_members", state="alive") == [1]
    assert values("hornbeamramp_shards_owned") == [1]
    set_aside = {"shard": "tickets@gebze", "state": "quarantined"}
    assert values("hornbeamramp_upstreams_set_aside", **set_aside) == [0]
    assert sum(values("hornbeamramp_store_calls_total")) >= 1
    assert values("hornbeamramp_connections", listener="admin")[0] >= 1
