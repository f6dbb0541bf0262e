"""Work of a scheduling pass by load: a full pool with hundreds of waiting steps.

Guards against an owner that spends all its time on passes after a burst. It answered neither
callers nor workers in time, so more was waiting at the next pass, and the pool did not recover
before the end of the day (further-grown trouble-1).
"""

import random
from collections import Counter
from datetime import timedelta

import pytest

from hornbeamramp.fleet import WorkerSession
from hornbeamramp.ids import AccountId
from hornbeamramp.poolowner.capacity import Capacity
from hornbeamramp.poolowner.choice import choose_each, choose_workers
from hornbeamramp.poolowner.owner import _pause_after_pass
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.workload import ClientAccount, StepSpec
from tests.model.cell import queue
from tests.poolowner.builders import running, session
from tests.poolowner.test_account_order import SharedOwner
from tests.poolowner.test_choice import unit
from tests.poolowner.test_placer import Owner

WHOLE = StepSpec(1, 8000, 8000, estimate_ms=5000)
LOOKUP = StepSpec(2, 4000, 100, estimate_ms=500)
GANG = StepSpec(6, 8000, 100, estimate_ms=4000, gang=True)


def full_pool(workers, steps):
    """Returns the owner of a full pool with waiting urgent steps and gangs, all granted."""
    owner = Owner([session(f"w{number:03}") for number in range(workers)])
    owner.queues["gang"] = queue("gang", 1)
    owner.launcher.may_ask = lambda step: False
    for worker in owner.session_by_worker.values():
        running(worker, WHOLE, priority=0)
    for number in range(steps):
        spec, name = (GANG, "gang") if number % 4 == 0 else (LOOKUP, "gate")
        step = owner.submit(spec, name=name, priority=number % 4 == 0)
        owner.grant(step, *owner.session_by_worker)
    return owner


@pytest.fixture
def looks(monkeypatch):
    """Counts how often the free capacity of a worker is computed."""
    count = Counter()
    free = WorkerSession.free

    def counting(worker):
        count["looks"] += 1
        return free(worker)

    monkeypatch.setattr(WorkerSession, "free", counting)
    return count


def full_pool_of_accounts(workers, steps):
    """Returns the owner of a full pool in which steps of 20 client accounts wait, of which one uses
    all of it."""
    accounts = {AccountId(f"a{n}"): ClientAccount(AccountId(f"a{n}"), 1.0) for n in range(20)}
    owner = SharedOwner(*(f"w{number:03}" for number in range(workers)), accounts=accounts)
    owner.launcher.may_ask = lambda step: False
    for worker in owner.session_by_worker.values():
        running(worker, WHOLE, priority=0)
        owner.usage.add(AccountId("a0"), worker.listing.capacity)
    for number in range(steps):
        spec = GANG if number % 4 == 0 else LOOKUP
        owner.submit(spec, account=AccountId(f"a{number % 20}"), is_beyond_share=number % 3 == 0)
    return owner


def looks_in_a_pass(looks, owner):
    owner.placer.schedule()
    looks.clear()
    owner.clock.set(owner.clock.boot_time() + timedelta(milliseconds=10))
    owner.placer.schedule()
    return looks["looks"]


def test_pass_over_a_full_pool_looks_at_each_worker_about_once(looks):
    assert looks_in_a_pass(looks, full_pool(200, 300)) <= 2 * 200


def test_accounts_add_one_look_at_each_worker_to_a_pass(looks):
    """Guards against a comparison of accounts that looks at the workers for each step."""
    without = looks_in_a_pass(looks, full_pool_of_accounts(200, 0))
    for steps in (300, 1200):
        assert looks_in_a_pass(looks, full_pool_of_accounts(200, steps)) <= without + 2 * 200


def test_searches_for_room_in_one_pass_are_bounded(looks):
    """The searches of a pass look at all workers; their number must not grow with the queue."""
    few, many = full_pool(100, 200), full_pool(100, 800)
    looks.clear()
    few.placer.schedule()
    few_looks = looks["looks"]
    looks.clear()
    many.placer.schedule()
    assert looks["looks"] <= 1.5 * few_looks


def test_gangs_behind_those_that_can_not_be_planned_get_their_turn():
    """Guards against the first gangs of the queue, which are too wide for now, using up all
    searches of every pass."""
    owner = Owner([session(f"w{number}") for number in range(10)])
    owner.queues["gang"] = queue("gang", 1)
    batch = StepSpec(1, 8000, 100, estimate_ms=60_000, checkpointing=True)
    for name, worker in owner.session_by_worker.items():
        spec = batch if name in ("w0", "w1") else WHOLE
        running(worker, spec, priority=2)
    for _ in range(40):
        wide = owner.submit(GANG, name="gang", priority=1, age_s=1.0)
        owner.grant(wide, *owner.session_by_worker)
    narrow = owner.submit(StepSpec(2, 8000, 100, estimate_ms=4000, gang=True), name="gang")
    owner.grant(narrow, *owner.session_by_worker)
    for _ in range(20):
        owner.placer.schedule()
        owner.clock.set(owner.clock.boot_time() + timedelta(milliseconds=10))
    assert narrow.plan is not None


def test_gangs_get_their_turn_while_many_urgent_steps_wait():
    """Guards against a burst of lookups that uses up all searches: renders of the next priority
    were never planned, while work of the lowest one filled the pool (further-grown trouble-1)."""
    owner = Owner([session(f"w{number}") for number in range(10)])
    owner.queues["gang"] = queue("gang", 1)
    batch = StepSpec(1, 8000, 100, estimate_ms=60_000, checkpointing=True)
    for worker in owner.session_by_worker.values():
        running(worker, batch, priority=2)
    for _ in range(40):
        lookup = owner.submit(
            StepSpec(1, 8000, 100, 9, estimate_ms=500), name="gate", priority=0, age_s=0.1
        )
        owner.grant(lookup, *owner.session_by_worker)
    render = owner.submit(GANG, name="gang", priority=1)
    owner.grant(render, *owner.session_by_worker)
    owner.placer.schedule()
    assert render.plan is not None


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    "fields", [{}, {"long_running": True}, {"max_per_worker": 2}, {"accelerators": 1}]
)
def test_choice_for_many_tasks_equals_the_choice_one_by_one(seed, fields):
    rnd = random.Random(seed)
    sessions = [session(f"w{number}") for number in range(6)]
    for worker in sessions:
        for _ in range(rnd.randrange(4)):
            running(worker, StepSpec(1, rnd.choice((500, 1500)), 100, rnd.randrange(2)))
    spec = StepSpec(1, 1000, 100, **fields)
    units = [unit(spec, priority=seed % 3) for _ in range(60)]
    chosen = choose_each(units, sessions, WorkerSpeeds(), Counter(), Capacity())
    assigned = Counter()
    for task_unit, expected in zip(units, chosen, strict=False):
        [worker] = choose_workers(task_unit, sessions, WorkerSpeeds(), assigned, Capacity())
        assert worker is expected
        assigned[worker.worker] += 1
        running(worker, spec)
    rest = units[len(chosen)]
    assert choose_workers(rest, sessions, WorkerSpeeds(), assigned, Capacity()) is None


@pytest.mark.parametrize(("pass_ms", "pause_ms"), [(0, 2), (4, 12), (30, 50), (120, 120)])
def test_pause_after_a_pass_leaves_time_for_calls(pass_ms, pause_ms):
    """Guards against calls of other VMs that time out, as passes take half of the processor's time
    whenever something changes."""
    pause = _pause_after_pass(timedelta(milliseconds=pass_ms))
    assert pause == timedelta(milliseconds=pause_ms)
