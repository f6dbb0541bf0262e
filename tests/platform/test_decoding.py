"""Decoding of valid and invalid configuration, worker entries and jobs of the platform."""

import json
from datetime import timedelta

import pytest
from result import Err, Ok

from hornbeamramp.platform.decoding import decode_config, decode_job, decode_worker
from hornbeamramp.statestore import Item
from hornbeamramp.workload import AccountQuota, RequestLimits

ROUTE = {
    "name": "r-1",
    "host": "kaya.example",
    "prefix": "/gate/",
    "type": "unsafe",
    "timeout-ms": 3000,
    "target-completion-ms": 250,
    "priority": 0,
    "service": "s-1",
    "max-attempts": 3,
    "stretch": 1.5,
    "advice": {"decide-ms": 16.0, "each-ms": 0.14, "valid-ms": 2000},
}
SERVICE = {"name": "s-1", "health-path": "/health", "admission-check": False, "standby": False}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [SERVICE], "limits": {}}
WORKER = {
    "service": "s-1",
    "address": "10.128.0.9:8080",
    "zone": "gebze",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "sequence": 4,
    "born": 1776994203015,
}


def item(key, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Item(key, data, 5, 5)


def test_configuration_becomes_queues_and_pools():
    config = decode_config(item("op/config", CONFIG)).unwrap()
    queue = config.queue_by_name["r-1"]
    assert (config.version, queue.pool, queue.max_attempts) == (7, "s-1", 3)
    assert queue.target == timedelta(milliseconds=250)
    assert queue.advice.validity == timedelta(seconds=2)


def test_longest_prefix_of_the_host_names_the_queue():
    longer = {**ROUTE, "name": "r-2", "prefix": "/gate/fast/"}
    wire = {**CONFIG, "routes": [ROUTE, longer]}
    config = decode_config(item("op/config", wire)).unwrap()
    assert config.match("kaya.example", "/gate/fast/ab").queue.name == "r-2"
    assert config.match("kaya.example", "/gate/ab").path_suffix == "ab"
    assert config.match("other.example", "/gate/ab") is None


@pytest.mark.parametrize("value", [b"\xff\xfe", b"{}", {**CONFIG, "version": "7"}])
def test_configuration_that_is_not_valid_is_refused_with_a_reason(value):
    assert isinstance(decode_config(item("op/config", value)), Err)


def test_worker_entry_becomes_a_listing():
    listing = decode_worker(item("servers/i-1", WORKER)).unwrap()
    assert (listing.worker, listing.rack, listing.draining) == ("i-1", "r1-3", False)
    assert listing.capacity.processors_milli == 16000


@pytest.mark.parametrize(
    "change",
    [{"state": "resting"}, {"capacity": None}, {"address": 5}, {"service": None}],
    ids=["state", "capacity", "address", "service"],
)
def test_invalid_worker_entry_is_rejected(change):
    assert isinstance(decode_worker(item("servers/i-1", {**WORKER, **change})), Err)


ODD_ADDRESSES = [
    "",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:080",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999",
    "127.0.0.1:-1",
    "127.0.0.1:+1",
    "127.0.0.1:1_0",
    "127.0.0.1:http",
    "127.0.0.1:\u0663",
    "127.0.0.1:1/x",
    "127.0.0.1:1?x",
    "127.0.0.1:1#x",
    "127.0.0.1:1\n",
    " 127.0.0.1:1",
    "127.0.0.1 :1",
    "user:word@127.0.0.1:1",
    "http://127.0.0.1:1",
    "256.0.0.1:1",
    "127.1:1",
    "0.0.0.0:1",
    "224.0.0.1:1",
    "255.255.255.255:1",
    "[::1]:1",
    "::1:1",
    "a" * 64 + ":1",
    "a..b:1",
    "worker.example:1",
    "w\u00e9:1",
    "\x00:1",
    "1" * 100_000,
]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda address: ascii(address[:24]))
def test_worker_entry_with_an_address_that_can_not_be_called_is_rejected(address):
    """Guards against addresses that end the requests to them, resolve names, or reach another
    machine than the entry's worker."""
    decoded = decode_worker(item("servers/i-1", {**WORKER, "address": address}))
    assert decoded.unwrap_err().startswith("address: ")
    assert len(decoded.unwrap_err()) < 200


@pytest.mark.parametrize(
    "worker",
    ["", "a\nb", "a\rb", "a\x00b", "\x7f", "a b", " ", "\u00e9", "\ufffd", "x" * 201],
    ids=lambda worker: ascii(worker[:8]),
)
def test_worker_entry_under_a_key_that_can_not_be_an_id_is_rejected(worker):
    """Guards against ids that can't be written into a request header or into records."""
    decoded = decode_worker(item(f"servers/{worker}", WORKER))
    assert decoded.unwrap_err().startswith("key: ")


CAPACITY = WORKER["capacity"]


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"capacity": {**CAPACITY, "cpu": 0}}, "capacity.cpu"),
        ({"capacity": {**CAPACITY, "cpu": -1}}, "capacity.cpu"),
        ({"capacity": {**CAPACITY, "cpu": 2**53 - 1}}, "capacity.cpu"),
        ({"capacity": {**CAPACITY, "cpu": 2**53}}, "capacity.cpu"),
        ({"capacity": {**CAPACITY, "cpu": 0.5}}, "capacity.cpu"),
        ({"capacity": {**CAPACITY, "mem-mb": 2**53 - 1}}, "capacity.mem-mb"),
        ({"capacity": {**CAPACITY, "gpu": 2**53 - 1}}, "capacity.gpu"),
        ({"capacity": {**CAPACITY, "gpu": 10**400}}, "capacity.gpu"),
        ({"born": 2**70}, "born"),
        ({"born": -1}, "born"),
        ({"born": 1.5}, "born"),
        ({"born": "1776994203015"}, "born"),
        ({"labels": "a"}, "labels"),
        ({"labels": ["a", ["r1"]]}, "labels[1]"),
        ({"labels": ["a", 5]}, "labels[1]"),
        ({"labels": ["a"] * 5000}, "labels"),
        ({"labels": ["a", "r" * 5000]}, "labels[1]"),
        ({"drain-remaining-ms": 1e300}, "drain-remaining-ms"),
        ({"drain-remaining-ms": -1}, "drain-remaining-ms"),
        ({"drain-remaining-ms": []}, "drain-remaining-ms"),
        ({"zone": {}}, "zone"),
        ({"state": "x" * 5000}, "state"),
    ],
    ids=lambda value: ascii(value)[:40],
)
def test_worker_entry_with_a_value_out_of_range_is_rejected_with_its_field(change, field):
    """Guards against capacities, times and labels that are absurd but can be decoded.

    With a capacity of 2**53 - 1, one worker would have room for all tasks of its pool.
    """
    reason = decode_worker(item("servers/i-1", {**WORKER, **change})).unwrap_err()
    assert reason.startswith(f"{field}: ") or f"`$.{field}`" in reason
    assert len(reason) < 200


@pytest.mark.parametrize("labels", [[], [""], ["a", ""], ["\u00fc", "r1"]])
def test_worker_entry_with_few_or_empty_labels_is_used(labels):
    listing = decode_worker(item("servers/i-1", {**WORKER, "labels": labels})).unwrap()
    assert listing.rack == (labels[-1] if labels else "")


def test_worker_entry_may_have_fields_that_are_not_known():
    entry = {**WORKER, "kind": {"a": [1, 10**30]}, "slots": 10**400, "sequence": None}
    assert decode_worker(item("servers/i-1", entry)).is_ok()


def test_worker_entry_that_is_not_json_is_rejected():
    assert isinstance(decode_worker(item("servers/i-1", b"\x80garbage")), Err)


def test_job_fields_that_are_left_out_have_their_defaults():
    body = {"spec": "x", "steps": [{"count": 2, "cpu": 500, "estimated-ms": 900}]}
    job = decode_job(json.dumps(body).encode()).unwrap()
    [step] = job.steps
    assert (step.count, step.processors_milli, step.gang, step.after) == (2, 500, False, ())
    assert job.occurrences == 1


def test_repeated_job_is_due_at_its_times():
    body = {
        "spec": "x",
        "steps": [{"count": 1}],
        "repetitions": 3,
        "start-at-ms": 5000,
        "interval-ms": 200,
    }
    job = decode_job(json.dumps(body).encode()).unwrap()
    assert [job.due_ms(k) for k in range(job.occurrences)] == [5000, 5200, 5400]


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"not json", ""),
        ({"spec": "x"}, "steps"),
        ({"spec": "x", "steps": []}, "steps"),
        ({"spec": "x", "steps": [{"count": 0}]}, "steps[0].count"),
        ({"spec": "x", "steps": [{"count": 1, "cpu": -5}]}, "steps[0]"),
        ({"spec": "x", "steps": [{"count": 1, "after": [0]}]}, "steps[0].after"),
        ({"spec": "x", "steps": [{"count": 30_000}]}, "steps"),
        ({"spec": 5, "steps": [{"count": 1}]}, "spec"),
    ],
)
def test_malformed_job_is_refused_with_its_field(body, field):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    result = decode_job(data)
    assert not isinstance(result, Ok)
    assert field in result.err_value


TENANT = {
    "name": "t-1",
    "api-keys": ["key-1", "key-2"],
    "priority": 1,
    "weight": 16,
    "max-count": {"cpu": 17000, "mem-mb": 4096, "gpu": 3},
}


def test_tenants_become_client_accounts():
    public = {**ROUTE, "name": "r-2", "prefix": "/open/", "public": True}
    wire = {**CONFIG, "routes": [ROUTE, public], "tenants": [TENANT]}
    config = decode_config(item("op/config", wire)).unwrap()
    account = config.account_by_id["t-1"]
    assert (account.weight, account.keys) == (16, ("key-1", "key-2"))
    assert account.quota == AccountQuota(17000, 4096, 3)
    assert config.account_by_key == {"key-1": account, "key-2": account}
    assert [queue.is_public for queue in config.queue_by_name.values()] == [False, True]


@pytest.mark.parametrize(
    "tenants",
    [
        [TENANT, TENANT],
        [TENANT, {**TENANT, "name": "t-2"}],
        [{**TENANT, "weight": -1}],
        [{**TENANT, "max-count": {"cpu": "17000"}}],
        [{**TENANT, "max-count": 3}],
        [{**TENANT, "api-keys": [""]}],
    ],
    ids=["name twice", "key twice", "weight", "quota's field", "quota", "empty key"],
)
def test_configuration_with_invalid_tenants_is_refused_without_naming_a_key(tenants):
    """One key that names two accounts would let one of them use the other's quota."""
    problem = decode_config(item("op/config", {**CONFIG, "tenants": tenants})).err()
    assert problem is not None
    assert "key-1" not in problem


def test_limits_of_requests_are_decoded():
    wire = {**CONFIG, "limits": {"max-header-bytes": 9000, "header-timeout-ms": 250}}
    limits = decode_config(item("op/config", wire)).unwrap().request_limits
    assert limits == RequestLimits(9000, 262_144, timedelta(milliseconds=250))
