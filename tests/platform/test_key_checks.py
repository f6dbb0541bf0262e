"""Answers over HTTP to callers with and without keys of client accounts."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

import aiohttp
import msgspec
import pytest
import yarl

from hornbeamramp.accounts import Access, ConfigFreshness
from hornbeamramp.clock import SystemClock
from hornbeamramp.ids import NO_ACCOUNT, AccountId, ApiKey, JobId
from hornbeamramp.platform.callers import CallerServer
from hornbeamramp.vm import AccessDeniedError, CancelResult, SubmitResult
from hornbeamramp.workload import ClientAccount, ClusterConfig, JobPhase
from tests.model.cell import job, queue
from tests.soak.callers import encode_job

STUDIO = AccountId("studio")
QUEUE = queue("gate")
PUBLIC = msgspec.structs.replace(queue("open"), is_public=True)
CONFIG = ClusterConfig(
    7,
    {q.name: q for q in (QUEUE, PUBLIC)},
    {},
    account_by_id={STUDIO: ClientAccount(STUDIO, keys=(ApiKey("secret-1"),))},
)
BODY = msgspec.json.encode(encode_job(job()))
JOB_PATH = f"/gate/{'a' * 16}"
CALLS = [("POST", JOB_PATH), ("GET", JOB_PATH), ("DELETE", JOB_PATH), ("GET", "/gate/")]
# Jobs with this id belong to another account.
FOREIGN_ID = JobId("b" * 16)


class StubService:
    """Knows all jobs, and notes what the calls may access."""

    def __init__(self):
        self.accesses = []

    def _check(self, job_id, access):
        self.accesses.append(access)
        if job_id == FOREIGN_ID:
            raise AccessDeniedError(job_id)

    async def submit(self, queue, job_id, spec, timeout, account):
        self._check(job_id, account)
        return SubmitResult()

    async def phase(self, queue, job_id, timeout, access):
        self._check(job_id, access)
        return JobPhase.RUNNING

    async def cancel(self, queue, job_id, timeout, access):
        self._check(job_id, access)
        return CancelResult.CANCELLED

    async def pending(self, queue, timeout):
        return 3


class StubRenewal:
    """``answers`` tells whether a renewal proves that the configuration is current."""

    def __init__(self, node):
        self.node = node
        self.answers = False
        self.next_config = None
        self.waits = 0

    def start(self):
        pass

    async def wait(self, timeout):
        self.waits += 1
        if self.answers:
            self.node.config = self.next_config or self.node.config
            self.node.config_freshness.record(self.node.clock.boot_time())


class Caller:
    def __init__(self, session, port, node, service):
        self._session = session
        self._port = port
        self.node = node
        self.service = service

    async def call(self, method, path, *keys, host="kaya"):
        """Returns the status, the decoded body and the headers of the response."""
        headers = [("Host", host), *(("Api-Key", key) for key in keys)]
        data = BODY if method == "POST" else None
        url = yarl.URL(f"http://127.0.0.1:{self._port}{path}")
        async with self._session.request(method, url, data=data, headers=headers) as response:
            return response.status, await response.json(), response.headers


@pytest.fixture
def serve_callers():
    """Runs a scenario with a caller of a server whose configuration was proved some time ago."""

    def run(scenario, proof_age_s=0.0, config=CONFIG, bound_s=60.0):
        async def main():
            node = SimpleNamespace(clock=SystemClock(), config=config, is_ready=True)
            node.config_freshness = ConfigFreshness(timedelta(seconds=bound_s))
            if proof_age_s is not None:
                age = timedelta(seconds=proof_age_s)
                node.config_freshness.record(node.clock.boot_time() - age)
            node.config_renewal = StubRenewal(node)
            service = StubService()
            server = CallerServer(node, service)
            await server.start("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
            [address, *_] = server._runner.addresses
            async with aiohttp.ClientSession() as session:
                try:
                    await scenario(Caller(session, address[1], node, service))
                finally:
                    await server.close()

        asyncio.run(main())

    return run


@pytest.mark.parametrize(("method", "path"), CALLS)
@pytest.mark.parametrize(
    ("keys", "words"),
    [
        ((), "no key"),
        (("",), "one key"),
        (("Bearer secret-1",), "one key"),
        (("secret-1", "secret-1"), "one key"),
        (("secret-2",), "belongs to no client account"),
    ],
)
def test_call_without_a_valid_key_is_refused(serve_callers, log_records, method, path, keys, words):
    """Guards against any kind of call that runs without a valid key, and against keys in answers
    and logs."""

    async def scenario(caller):
        status, body, _ = await caller.call(method, path, *keys)
        assert status == 401
        assert words in body["error"]
        assert "secret" not in body["error"]
        assert caller.service.accesses == []

    serve_callers(scenario)
    assert not any("secret" in record.message for record in log_records)


@pytest.mark.parametrize(("method", "path"), CALLS)
def test_call_with_a_valid_key_is_served(serve_callers, method, path):
    async def scenario(caller):
        status, _, _ = await caller.call(method, path, "secret-1")
        assert status == 200
        if path == JOB_PATH:
            expected = STUDIO if method == "POST" else Access(STUDIO, is_public=False)
            assert caller.service.accesses == [expected]

    serve_callers(scenario)


@pytest.mark.parametrize(("method", "path"), CALLS)
@pytest.mark.parametrize("keys", [(), ("secret-1",), ("secret-2",)])
@pytest.mark.parametrize("age_s", [40.0, None])
def test_call_without_a_proof_is_told_to_come_back(serve_callers, method, path, keys, age_s):
    """Guards against 401, which its caller takes for final, and against 200 for a revoked key."""

    async def scenario(caller):
        status, body, headers = await caller.call(method, path, *keys)
        assert status == 503
        assert int(headers["Retry-After"]) >= 1
        assert "out of date" in body["error"]
        assert caller.service.accesses == []

    serve_callers(scenario, proof_age_s=age_s)


def test_connection_ends_with_a_refusal_for_want_of_a_proof(serve_callers):
    """Guards against a caller that comes back on its connection to the one VM that can't check its
    key, until its time is over, although other VMs could."""

    async def scenario(caller):
        status, _, headers = await caller.call("GET", JOB_PATH, "secret-1")
        assert (status, headers["Connection"]) == (503, "close")

    serve_callers(scenario, proof_age_s=40.0)


def test_call_is_decided_by_the_configuration_that_a_renewal_brings(serve_callers):
    """Guards against a key that was just added, or a queue just removed, and the old answer."""

    async def scenario(caller):
        renewal = caller.node.config_renewal
        renewal.answers = True
        account = ClientAccount(STUDIO, keys=(ApiKey("secret-2"),))
        renewal.next_config = msgspec.structs.replace(
            CONFIG, version=8, account_by_id={STUDIO: account}
        )
        assert (await caller.call("GET", JOB_PATH, "secret-2"))[0] == 200
        assert (await caller.call("GET", JOB_PATH, "secret-1"))[0] == 401
        assert renewal.waits == 1

    serve_callers(scenario, proof_age_s=10.0)


def test_queue_that_a_renewal_finds_removed_is_unknown(serve_callers):
    async def scenario(caller):
        renewal = caller.node.config_renewal
        renewal.answers = True
        renewal.next_config = msgspec.structs.replace(CONFIG, version=8, queue_by_name={})
        assert (await caller.call("GET", JOB_PATH, "secret-2"))[0] == 404

    serve_callers(scenario, proof_age_s=10.0)


@pytest.mark.parametrize("keys", [(), ("secret-1",), ("secret-2",)])
def test_unknown_queue_comes_before_the_key(serve_callers, keys):
    async def scenario(caller):
        assert (await caller.call("GET", "/none/", *keys))[0] == 404

    serve_callers(scenario, proof_age_s=None)


@pytest.mark.parametrize(
    ("keys", "account"), [((), NO_ACCOUNT), (("secret-2",), NO_ACCOUNT), (("secret-1",), STUDIO)]
)
def test_public_queue_needs_no_key(serve_callers, keys, account):
    """Guards against public calls refused, and against jobs that don't count against the account
    whose key was sent along."""

    async def scenario(caller):
        path = f"/open/{'a' * 16}"
        assert (await caller.call("POST", path, *keys))[0] == 200
        assert (await caller.call("GET", path, *keys))[0] == 200
        assert caller.service.accesses == [account, Access(account, is_public=True)]

    serve_callers(scenario, proof_age_s=None)


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
def test_job_of_another_account_is_forbidden(serve_callers, method):
    """Guards against 410, after which a caller sends its job again."""

    async def scenario(caller):
        status, body, _ = await caller.call(method, f"/gate/{FOREIGN_ID}", "secret-1")
        assert status == 403
        assert "another account" in body["error"]

    serve_callers(scenario)


def test_cell_without_accounts_needs_no_key(serve_callers):
    async def scenario(caller):
        for method, path in CALLS:
            assert (await caller.call(method, path))[0] == 200
        assert caller.service.accesses == [NO_ACCOUNT, None, None]
        assert caller.node.config_renewal.waits == 0

    serve_callers(scenario, proof_age_s=None, config=ClusterConfig(7, CONFIG.queue_by_name, {}))


def test_crowd_of_refused_calls_is_logged_in_few_lines(serve_callers, log_records):
    """Load: a client that sends a wrong key again and again must not fill the log."""

    async def scenario(caller):
        for _ in range(50):
            await caller.call("GET", JOB_PATH, "secret-2")

    serve_callers(scenario)
    lines = [r.message for r in log_records if "requests refused" in r.message]
    assert 1 <= len(lines) <= 20
    assert "the key belongs to no client account" in lines[0]
    assert "configuration version 7" in lines[0]
