"""Tests of TLS on the listeners, logs and traces, with one cell at the most verbose settings."""

import json
import ssl

import pytest

from hornbeamramp.standins.cell import LocalCell, WorkerSpec
from tests.keys import Authority
from tests.listeners import ROUTE, running_cell

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
PAYLOAD = "plate-34-ABC-1789"
SPANS = {
    "caller request",
    "forward",
    "rpc.client Submit",
    "rpc.server Submit",
    "owner queue",
    "upstream start",
    "answer",
}


@pytest.fixture(scope="module")
def cell(tmp_path_factory):
    directory = tmp_path_factory.mktemp("keys")
    tls = Authority(directory, "own").issue("vm")
    local = LocalCell(
        ["gebze"],
        2,
        [WorkerSpec("worker-1", "gebze", "tickets")],
        settings={
            "tls": {
                "certificate_file": tls.certificate_file,
                "key_file": tls.key_file,
                "ca_file": tls.ca_file,
            },
            "log": {"level": "debug", "format": "json"},
            "telemetry": {"traces": "log"},
        },
    )
    with running_cell(local, [ROUTE]) as running:
        running.tls = tls
        yield running


def entry_that_forwards(cell):
    """Returns an entry process that does not own the only shard."""
    status = cell.run(cell.cell.admin_client().status()).unwrap()
    owner = status["shards"][0]["owner"]
    return next(entry for entry in cell.cell.entries if entry.vm != owner)


@pytest.fixture(scope="module")
def lines(cell):
    """Returns all log lines after a traced, forwarded job and a rejected request."""
    entry = entry_that_forwards(cell)
    body = {"route": "ticket", "payload": PAYLOAD}
    status, _ = cell.run(cell.cell.submit(entry, body, {"traceparent": TRACEPARENT}))
    assert status == 200
    body = {"route": "ticket", "payload": PAYLOAD, "unknown": PAYLOAD}
    status, _ = cell.run(cell.cell.submit(entry, body, {"Idempotency-Key": "k"}))
    assert status == 400
    return [
        json.loads(line)
        for entry in cell.cell.entries
        for line in entry.program.log.read_text().splitlines()
    ]


def test_listeners_use_the_keys(cell):
    """Guards against a listener that serves plain HTTP although key files are configured."""
    trust = ssl.create_default_context(cafile=cell.tls.ca_file)
    for port in (cell.entry.callers, cell.entry.admin):
        certificate = ssl.get_server_certificate(("127.0.0.1", port), ca_certs=cell.tls.ca_file)
        with open(cell.tls.certificate_file) as file:
            assert certificate.strip() == file.read().strip()
    assert trust.verify_mode is ssl.CERT_REQUIRED


def test_log_lines_are_json_with_a_part(lines):
    """Guards against lines that a log collector can't parse, for example from a library."""
    assert lines
    for line in lines:
        assert {"time", "level", "part", "message"} <= line.keys()


def test_messages_do_not_repeat_the_part(lines):
    """Guards against repeated prefixes such as ``member: member:`` in the text format."""
    assert [x["message"] for x in lines if x["message"].startswith(f"{x['part']}:")] == []


def test_one_trace_leads_to_the_upstream(cell, lines):
    """Guards against a hop that does not propagate the caller's trace context."""
    spans = [json.loads(x["message"]) for x in lines if x["part"] == "trace"]
    in_trace = {x["name"] for x in spans if x["context"]["trace_id"] == f"0x{TRACE_ID}"}
    assert in_trace >= SPANS
    address = cell.cell.workers[0].address
    _, traceparents = cell.run(cell.cell.request("GET", f"http://{address}/v1/traceparents"))
    assert [x for x in traceparents if x.split("-")[1] == TRACE_ID]


def test_secrets_are_not_logged(cell, lines):
    """Guards against tokens, keys and payloads in logs, at the most verbose level."""
    text = json.dumps(lines)
    with open(cell.tls.key_file) as file:
        key_line = file.read().splitlines()[1]
    for secret in (cell.cell.token, key_line, PAYLOAD, "PRIVATE KEY"):
        assert secret not in text
