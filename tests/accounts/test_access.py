"""Who may call a queue, and which jobs a call may access."""

from datetime import timedelta

import msgspec
import pytest
from result import Err, Ok

from hornbeamramp.accounts import Access, AccessProblem, ConfigFreshness, decide_access, needs_key
from hornbeamramp.ids import NO_ACCOUNT, AccountId, ApiKey
from hornbeamramp.workload import ClientAccount, ClusterConfig
from tests.model.cell import queue

STUDIO, SCHOOL = AccountId("studio"), AccountId("school")
PRIVATE = queue("gate")
PUBLIC = msgspec.structs.replace(queue("batch"), is_public=True)
CONFIG = ClusterConfig(
    1,
    {q.name: q for q in (PRIVATE, PUBLIC)},
    {},
    account_by_id={
        STUDIO: ClientAccount(STUDIO, keys=(ApiKey("key-1"), ApiKey("key-2"))),
        SCHOOL: ClientAccount(SCHOOL, keys=(ApiKey("key with spaces"),)),
    },
)
NOW = timedelta(seconds=100)

UNPROVED = Err(AccessProblem.UNPROVED_CONFIG)


def decide(keys, called=PRIVATE, age_s=0.5, config=CONFIG):
    freshness = ConfigFreshness(timedelta(seconds=5))
    if age_s is not None:
        freshness.record(NOW - timedelta(seconds=age_s))
    return decide_access(config, called, keys, freshness, NOW)


@pytest.mark.parametrize(
    ("keys", "account"),
    [(["key-1"], STUDIO), (["key-2"], STUDIO), (["key with spaces"], SCHOOL)],
)
@pytest.mark.parametrize("age_s", [0.5, 2.0, 2.9])
def test_valid_key_names_its_account(keys, account, age_s):
    """Guards against valid keys refused between two answers of the watch."""
    assert decide(keys, age_s=age_s) == Ok(Access(account, is_public=False))


@pytest.mark.parametrize(
    ("keys", "problem"),
    [
        ([], AccessProblem.NO_KEY),
        ([""], AccessProblem.MALFORMED_KEY),
        (["Bearer key-1"], AccessProblem.MALFORMED_KEY),
        (["key-1", "key-1"], AccessProblem.MALFORMED_KEY),
        (["key-\u00e9"], AccessProblem.MALFORMED_KEY),
        (["key-3"], AccessProblem.UNKNOWN_KEY),
        (["KEY-1"], AccessProblem.UNKNOWN_KEY),
    ],
)
def test_wrong_key_is_refused_on_a_recent_proof_only(keys, problem):
    """Guards against calls without a valid key that are served, and against a key called unknown by
    a VM that hasn't seen the configuration which adds it."""
    assert decide(keys) == Err(problem)
    assert decide(keys, age_s=1.5) == UNPROVED
    assert decide(keys, age_s=None) == UNPROVED


@pytest.mark.parametrize("age_s", [3.0, 60.0, None])
def test_valid_key_is_not_accepted_without_a_proof(age_s):
    """Guards against a revoked key that is served by a VM cut off from the store."""
    assert decide(["key-1"], age_s=age_s) == UNPROVED


@pytest.mark.parametrize("age_s", [0.5, 60.0, None])
@pytest.mark.parametrize(
    ("keys", "account"),
    [([], NO_ACCOUNT), (["key-3"], NO_ACCOUNT), (["a b"], NO_ACCOUNT), (["key-1"], STUDIO)],
)
def test_public_queue_needs_neither_key_nor_proof(keys, account, age_s):
    """Guards against public queues that refuse callers for a key that they need not send."""
    assert decide(keys, PUBLIC, age_s) == Ok(Access(account, is_public=True))


def test_no_queue_needs_a_key_without_accounts():
    config = ClusterConfig(1, CONFIG.queue_by_name, {})
    assert not needs_key(config, PRIVATE)
    assert decide([], age_s=None, config=config) == Ok(Access(NO_ACCOUNT, is_public=True))
    assert needs_key(CONFIG, PRIVATE)
    assert not needs_key(CONFIG, PUBLIC)
    assert not needs_key(CONFIG, None)


@pytest.mark.parametrize(
    ("access", "job_account", "job_needs_key", "expected"),
    [
        (Access(STUDIO, False), STUDIO, True, True),
        (Access(STUDIO, False), SCHOOL, True, False),
        (Access(STUDIO, False), SCHOOL, False, False),
        (Access(STUDIO, False), NO_ACCOUNT, True, True),
        (Access(NO_ACCOUNT, True), STUDIO, False, True),
        (Access(NO_ACCOUNT, True), STUDIO, True, False),
        (Access(SCHOOL, True), STUDIO, False, True),
        (Access(SCHOOL, True), STUDIO, True, False),
        (Access(NO_ACCOUNT, True), NO_ACCOUNT, True, True),
    ],
)
def test_jobs_of_other_accounts_are_out_of_reach(access, job_account, job_needs_key, expected):
    """Guards against an account that reads or cancels another's job, also by asking for it at a
    public queue of the same pool."""
    assert access.includes(job_account, job_needs_key) is expected


def test_no_problem_repeats_a_key():
    """Guards against keys in answers, logs and metrics."""
    for keys in (["secret-1"], ["secret 1"], ["secret-1", "secret-2"]):
        assert "secret" not in str(decide(keys).err_value.value)
