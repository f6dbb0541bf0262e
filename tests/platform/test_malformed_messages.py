"""Malformed messages at the border to the platform: each is refused alone, with a typed error.

An error of any other kind ended the loop that read the message: one entry of another writer kept a
VM from learning of new workers, and one submitted job with a huge estimate stopped the scheduler of
its pool.
"""

import copy
import ipaddress
import json
import random
from datetime import timedelta
from types import SimpleNamespace
from urllib.parse import urlsplit

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.fleet import WorkerListing, WorkerUnreachableError
from hornbeamramp.http_client import HttpReply
from hornbeamramp.ids import DataCentreId, JobId, PoolName, RouteName, UpstreamId
from hornbeamramp.platform.advice import PlatformAdvice
from hornbeamramp.platform.callers import MAX_CALLER_TIMEOUT, _caller_timeout
from hornbeamramp.platform.decoding import decode_config, decode_job, decode_worker
from hornbeamramp.platform.store import PlatformStore
from hornbeamramp.platform.workers import PlatformWorkers
from hornbeamramp.poolowner import AdviceUnavailableError
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.lateness import MAX_RETRY_DELAY, estimate_lateness, retry_delay
from hornbeamramp.resources import Resources
from hornbeamramp.statestore import JobRecord, Txn
from hornbeamramp.statestore.records import encode
from hornbeamramp.vm.advice_queue import DELAY_PER_PRIORITY_LEVEL
from hornbeamramp.workload import StepKey
from tests.model.virtual_time import LoopClock, run_in_virtual_time
from tests.platform.odd_entries import mutated_entry, odd_entries
from tests.platform.test_decoding import CONFIG, WORKER, item

STEP = {"count": 2, "cpu": 500, "mem-mb": 256, "estimated-ms": 900, "after": [], "may-miss": 1}
JOB = {"spec": "x", "steps": [STEP, {**STEP, "after": [0]}], "repetitions": 1, "start-at-ms": 5}
HOLD = {"clock-ms": 5, "running": [["a.0.0.0", 2, "", 41, 3]], "ended": [[1, "b", 1, "done", ""]]}
ITEM = {"key": "k", "value": "YQ==", "revision": 3, "created": 2, "lease": 0}
LISTING = WorkerListing(
    UpstreamId("w1"), PoolName("pool"), "w1", DataCentreId("gebze"), False, Resources(1, 1, 0, 0, 0)
)
DECODERS = {"worker": decode_worker, "config": decode_config}
DOCUMENTS = {
    "range": {"items": [ITEM], "as-of": 7, "more-pages": False},
    "watch": {"events": [ITEM, {"key": "k", "revision": 4, "removed": True}], "as-of": 7},
    "commit": {"revision": 9},
    "hold": HOLD,
    "advise": {"granted": [["w1", "ticket"]], "valid-ms": 2000},
    "job": JOB,
    "worker": WORKER,
    "config": CONFIG,
}
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, -1, 2**53, 2**63, 2**70, -(2**70), 1e300, -1e300, 0.5, "", "=", "x" * 99]),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=3),
    st.just([]),
    st.just({}),
)


def _paths(document, path=()):
    children = []
    if isinstance(document, dict):
        children = list(document.items())
    elif isinstance(document, list):
        children = list(enumerate(document))
    yield path
    for key, child in children:
        yield from _paths(child, (*path, key))


def mutate(document, path, value):
    """Returns the document with another value, or none, at a path."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    *way, last = path
    parent = changed
    for key in way:
        parent = parent[key]
    if value is Ellipsis:
        del parent[last]
    else:
        parent[last] = value
    return changed


@st.composite
def mutated(draw, kind):
    document = DOCUMENTS[kind]
    path = draw(st.sampled_from(list(_paths(document))))
    value = draw(st.one_of(VALUES, st.just(...)) if path else VALUES)
    body = json.dumps(mutate(document, path, value)).encode()
    if draw(st.integers(0, 9)) == 0:
        cut = draw(st.integers(0, len(body)))
        body = body[:cut] + draw(st.binary(max_size=3)) + body[cut + 1 :]
    return body


class Replies:
    """HTTP client that gets the same reply to each request."""

    def __init__(self, body, status=200):
        self._reply = HttpReply(status, {}, body)

    async def request(self, *arguments, **keywords):
        return self._reply


def parse_reply(kind, body):
    """Reads a reply through the client of its sender."""

    async def call(clock):
        replies = Replies(body)
        store, workers = PlatformStore("127.0.0.1:1", clock), PlatformWorkers(clock)
        advice = PlatformAdvice("127.0.0.1:1", clock)
        store._client = store._watch_client = advice._client = replies
        workers._client_by_address["w1"] = replies
        calls = {
            "range": lambda: store.range("k"),
            "watch": lambda: store.watch("k", 0, timedelta(0)),
            "commit": lambda: store.commit(Txn({}, ())),
            "hold": lambda: workers.hold(LISTING, 1, 0, None, timedelta(0)),
            "advise": lambda: advice.ask(StepKey(JobId("a" * 16), 0, 0), [], timedelta(0)),
        }
        return await calls[kind]()

    try:
        return run_in_virtual_time(_with_clock(call))
    except (StoreUnavailableError, WorkerUnreachableError, AdviceUnavailableError):
        return None


async def _with_clock(call):
    return await call(LoopClock())


@pytest.mark.parametrize("kind", ["range", "watch", "commit", "hold", "advise"])
@given(data=st.data())
@settings(max_examples=150, deadline=None)
def test_malformed_reply_is_a_failed_call(kind, data):
    reply = parse_reply(kind, data.draw(mutated(kind)))
    if kind == "hold" and reply is not None:
        assert all(isinstance(row.percent, int | float) for row in reply.running)
        assert all(isinstance(row.number, int) for row in reply.ended)


@pytest.mark.parametrize("kind", sorted(odd_entries(WORKER)))
def test_odd_worker_entry_is_rejected_with_a_short_reason(kind):
    decoded = decode_worker(item("servers/w1", odd_entries(WORKER)[kind]))
    assert 0 < len(decoded.unwrap_err()) < 200


@pytest.mark.parametrize("seed", range(4))
def test_randomly_changed_worker_entry_is_rejected_or_can_be_used(seed):
    """Guards against entries that are decoded and do harm later: in a request to the worker, in a
    record, or in the sums and sort keys of a plan."""
    rng = random.Random(seed)
    used = 0
    for _ in range(4000):
        decoded = decode_worker(item("servers/w1", mutated_entry(rng, WORKER)))
        if decoded.is_err():
            assert 0 < len(decoded.unwrap_err()) < 300
            continue
        listing = decoded.unwrap()
        used += 1
        url = urlsplit(f"http://{listing.address}/hold")
        assert f"{ipaddress.IPv4Address(url.hostname)}:{url.port}" == listing.address
        assert 0 < url.port < 65_536 and url.path == "/hold"
        assert listing.worker.isascii() and listing.worker.isprintable() and listing.worker
        amounts = listing.capacity.as_tuple()
        assert 0 < amounts[0] <= 10**7 and all(0 <= amount <= 10**9 for amount in amounts)
        assert len(listing.labels) <= 64
        encode(listing)
    assert 400 < used < 3600


END = [1, "b", 1, "done", ""]


def _hold(**changes):
    return {**HOLD, **{name.replace("_", "-"): value for name, value in changes.items()}}


@pytest.mark.parametrize(
    "reply",
    [
        _hold(clock_ms=2**53),
        _hold(clock_ms=2**63),
        _hold(clock_ms=2**70),
        _hold(clock_ms=10**400),
        _hold(clock_ms=-1),
        _hold(born=2**70),
        _hold(born=-1),
        _hold(running=[["a.0.0.0", 2**64, "", 41]]),
        _hold(running=[["a.0.0.0", -1, "", 41]]),
        _hold(running=[["a" * 5000, 2, "", 41]]),
        _hold(running=[["a.0.0.0", 2, "c" * 5000, 41]]),
        _hold(running=[[f"a.0.0.{n}", 2, "", 41] for n in range(30_000)]),
        _hold(ended=[[2**64, "b", 1, "done", ""]]),
        _hold(ended=[[-1, "b", 1, "done", ""]]),
        _hold(ended=[[1, "b", 2**64, "done", ""]]),
        _hold(ended=[[1, "b" * 5000, 1, "done", ""]]),
        _hold(ended=[[1, "b", 1, "done", "c" * 5000]]),
        _hold(ended=[[n, "b", 1, "done", ""] for n in range(30_000)]),
    ],
    ids=lambda reply: str(reply)[:60],
)
def test_run_list_with_a_value_out_of_range_is_a_failed_call(reply):
    """Guards against one worker that ends its own session, the checks of all runs of its pool
    (a clock of 2**70 ms), or the pool's commits (a checkpoint larger than the store's values)."""
    assert parse_reply("hold", json.dumps(reply).encode()) is None


def test_run_list_within_the_bounds_is_read():
    rows = [[f"a.0.0.{n}", 2, "c" * 64, 41] for n in range(500)]
    reply = parse_reply("hold", json.dumps(_hold(running=rows, ended=[END] * 500)).encode())
    assert (len(reply.running), len(reply.ended)) == (500, 500)


@given(mutated("worker"))
@settings(max_examples=300, deadline=None)
def test_malformed_worker_entry_is_left_aside(body):
    decode_worker(item("servers/w1", body))


@given(mutated("config"))
@settings(max_examples=300, deadline=None)
def test_malformed_configuration_is_rejected(body):
    decoded = decode_config(item("op/config", body))
    if decoded.is_ok():
        decoded.unwrap().match("kaya.example", "/gate/a")


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"stretch": 1e300}, "stretch"),
        ({"stretch": 1e12}, "stretch"),
        ({"stretch": -1}, "stretch"),
        ({"priority": 2**53 - 1}, "priority"),
        ({"priority": -1}, "priority"),
        ({"target-completion-ms": 1e300}, "target-completion-ms"),
        ({"timeout-ms": 10**400}, "timeout-ms"),
        ({"max-attempts": 2**70}, "max-attempts"),
        ({"advice": {"decide-ms": 1e300, "each-ms": 0, "valid-ms": 0}}, "advice.decide-ms"),
    ],
)
def test_configuration_with_a_number_out_of_range_is_rejected_with_its_field(change, field):
    """Guards against a configuration of which each use ends with OverflowError: refusals of jobs,
    by the stretch, and advice requests, by the priority."""
    config = {**CONFIG, "routes": [{**CONFIG["routes"][0], **change}]}
    reason = decode_config(item("op/config", config)).unwrap_err()
    assert f"`$.routes[...].{field}`" in reason or f"`$.routes[0].{field}`" in reason


@pytest.mark.parametrize("version", [2**63, 2**70, -1])
def test_configuration_with_a_version_out_of_range_is_rejected(version):
    """Guards against versions that can't be sent to other VMs, and hold up all later ones."""
    decoded = decode_config(item("op/config", {**CONFIG, "version": version}))
    assert "`$.version`" in decoded.unwrap_err()


def test_largest_accepted_numbers_of_a_queue_stay_within_the_range_of_time():
    route = {
        **CONFIG["routes"][0],
        "stretch": 1000,
        "target-completion-ms": 1e12,
        "priority": 1_000_000,
        "advice": {"decide-ms": 1e12, "each-ms": 1e12, "valid-ms": 1e12},
    }
    config = decode_config(item("op/config", {**CONFIG, "routes": [route]})).unwrap()
    [queue] = config.queue_by_name.values()
    steps = [{"count": 1, "estimated-ms": 1e12, "after": [n - 1] if n else []} for n in range(64)]
    spec = decode_job(json.dumps({"spec": "x", "steps": steps}).encode()).unwrap()
    assert retry_delay(queue, spec) == MAX_RETRY_DELAY
    record = JobRecord(JobId("a" * 16), queue.name, 0, 0, 2, queue.stretch, 1000, spec)
    path = Job(record).critical_path
    estimate_lateness(record, path, 0, 0.0, 5.0, 1.0, queue.advice)
    assert queue.priority * DELAY_PER_PRIORITY_LEVEL + timedelta(days=365) < timedelta.max


def test_advice_grants_only_workers_that_were_asked_about():
    """Guards against an answer that fills the records of a step with workers of its own."""

    async def ask(clock):
        advice = PlatformAdvice("127.0.0.1:1", clock)
        granted = [["w1", "ticket"], *([f"x{n}", "ticket"] for n in range(5000))]
        reply = json.dumps({"granted": granted, "valid-ms": 2000}).encode()
        advice._client = Replies(reply)
        workers = [UpstreamId("w1"), UpstreamId("w2")]
        return await advice.ask(StepKey(JobId("a" * 16), 0, 0), workers, timedelta(0))

    assert run_in_virtual_time(_with_clock(ask)).ticket_by_worker == {"w1": "ticket"}


@given(mutated("job"))
@settings(max_examples=400, deadline=None)
def test_job_that_is_accepted_can_be_recorded_and_scheduled(body):
    """Guards against accepted jobs whose numbers the records or the scheduler can't hold."""
    spec = decode_job(body)
    if spec.is_err():
        return
    record = JobRecord(JobId("a" * 16), RouteName("gate"), 0, 0, 2, 2.0, 1000, spec.unwrap())
    encode(record)
    job = Job(record)
    for number in range(len(record.spec.steps)):
        estimate_lateness(record, job.critical_path, number, 0.0, 5.0, 1.0, None)


@pytest.mark.parametrize("kind", sorted(DOCUMENTS))
def test_deeply_nested_document_is_malformed(kind):
    body = b'{"extra":' + b"[" * 100_000
    if kind in ("range", "watch", "commit", "hold", "advise"):
        assert parse_reply(kind, body) is None
    else:
        decode = {"job": decode_job}.get(kind, lambda body: DECODERS[kind](item("k", body)))
        assert decode(body).is_err()


@pytest.mark.parametrize("value", ["inf", "nan", "1e400", "-5", "1e300", "", "soon"])
def test_any_deadline_of_a_caller_gives_a_bounded_wait(value):
    timeout = _caller_timeout(SimpleNamespace(headers={"Deadline-Ms": value}))
    assert timedelta(0) < timeout <= MAX_CALLER_TIMEOUT
