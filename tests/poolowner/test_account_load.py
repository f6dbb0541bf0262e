"""Load pattern: one client account sends many times its usual while the pool is nearly full.

On the users' deployments with client accounts, an account does so for six to eight seconds of each
day with trouble; the jobs of the others waited behind its own.
"""

import msgspec
import pytest

from hornbeamramp.ids import AccountId
from hornbeamramp.workload import ClientAccount
from tests.model.load import JobKind, play

WORKERS, VMS = 20, 12
ACCOUNTS = [AccountId(f"studio{number}") for number in range(8)]
# A third more than an account usually sends.
WEIGHT = 3.0
LOOKUP = JobKind(
    name="lookup",
    priority=0,
    per_s=2.0,
    stretch=1.5,
    target_s=0.3,
    width=3.0,
    cores=3.0,
    memory_mib=4_000,
    work_s=0.56,
    advice_ms=18,
    advice_ms_per_worker=0.2,
    granted=0.7,
)
BATCH = JobKind(
    name="batch",
    priority=2,
    per_s=0.33,
    stretch=2.5,
    target_s=3.0,
    width=20.0,
    cores=4.5,
    memory_mib=8_000,
    work_s=4.5,
    advice_ms=40,
    advice_ms_per_worker=0.4,
    granted=0.7,
    is_checkpointing=True,
)
RENDER = JobKind(
    name="render",
    priority=1,
    per_s=0.05,
    stretch=2.2,
    target_s=1.0,
    width=6.0,
    cores=12.0,
    memory_mib=30_000,
    work_s=4.0,
    advice_ms=150,
    advice_ms_per_worker=1.4,
    granted=0.6,
    is_gang=True,
    is_checkpointing=True,
)
HOT = ACCOUNTS[0]
# What the hot account sends beside its usual jobs: six times their number.
FLOOD_PER_S = 6 * (LOOKUP.per_s + BATCH.per_s + RENDER.per_s)
FLOOD = {"from_s": 5.0, "until_s": 12.0, "account": HOT, "per_s": FLOOD_PER_S}
LENGTH_S = 20.0
# What an account may notice of the flood of another: a few jobs in a hundred.
MAX_LOSS = 0.03


def steady_load():
    """Returns what each account usually sends; together, it nearly fills the pool."""
    return [
        msgspec.structs.replace(kind, name=f"{kind.name}-{account}", account=account)
        for kind in (LOOKUP, BATCH, RENDER)
        for account in ACCOUNTS
    ]


def others_on_time(results):
    """Returns the share of the jobs of all accounts but the hot one that were on time."""
    others = [result for name, result in results.items() if HOT not in name and "flood" not in name]
    return sum(result.on_time for result in others) / sum(result.jobs for result in others)


def play_with(*floods, seed, accounts=True):
    known = [ClientAccount(account, WEIGHT) for account in ACCOUNTS] if accounts else []
    return play([*steady_load(), *floods], WORKERS, VMS, LENGTH_S, seed, known)


@pytest.mark.parametrize("kind", [LOOKUP, BATCH, RENDER], ids=lambda kind: kind.name)
@pytest.mark.parametrize("seed", [1, 2])
def test_flood_of_one_account_makes_the_others_hardly_late(kind, seed):
    """Guards against short jobs, long batch work or gangs of one account that take the room, or the
    advice, of all others."""
    flood = msgspec.structs.replace(kind, name=f"flood-{kind.name}", **FLOOD)
    calm = others_on_time(play_with(seed=seed))
    flooded = others_on_time(play_with(flood, seed=seed))
    assert flooded >= calm - MAX_LOSS, (calm, flooded)


def test_account_that_is_alone_may_use_the_whole_pool():
    """Guards against shares that leave a pool idle: an account sends ten times its weight, which
    takes half of the pool, and no other wants any room."""
    alone = msgspec.structs.replace(LOOKUP, account=HOT, per_s=10 * WEIGHT)
    batch = msgspec.structs.replace(BATCH, account=HOT, per_s=1.0)

    def on_time(accounts):
        results = play([alone, batch], WORKERS, VMS, LENGTH_S, 1, accounts)
        assert not any(result.refused for result in results.values())
        return sum(result.on_time for result in results.values())

    accounts = [ClientAccount(account, WEIGHT) for account in ACCOUNTS]
    assert on_time(accounts) >= (1 - MAX_LOSS) * on_time([])
