"""Gangs that prefer one rack: when they start on several, on which workers, and what is expected of
their ends."""

from datetime import timedelta

import msgspec
import pytest

from hornbeamramp.fleet import Attempt, AttemptPhase
from hornbeamramp.poolowner.capacity import Capacity
from hornbeamramp.poolowner.choice import choose_workers, could_all_run
from hornbeamramp.poolowner.expected_ends import ExpectedEnds
from hornbeamramp.poolowner.jobs import Job
from hornbeamramp.poolowner.learned_durations import LearnedDurations
from hornbeamramp.poolowner.rack_spread import MAX_RACK_WAIT, SpreadInputs, is_spread_due
from hornbeamramp.poolowner.speeds import WorkerSpeeds
from hornbeamramp.workload import StepSpec
from tests.poolowner.builders import record, running, session


def seconds(value):
    return timedelta(seconds=value)


# Room on several racks for a second, 4 s more work there, and a rack that is free in a second.
USUAL = SpreadInputs(
    now=seconds(100),
    queued_at=seconds(99),
    room_since=seconds(99),
    rack_starts_at=seconds(101),
    extra_work=seconds(4),
    latest_start=seconds(110),
    is_short=False,
)
LONG_QUEUED = seconds(100) - MAX_RACK_WAIT
BUSY_FOR_LONG = seconds(105)


@pytest.mark.parametrize(
    ("changes", "is_due"),
    [
        ({}, False),
        ({"rack_starts_at": BUSY_FOR_LONG}, True),
        ({"rack_starts_at": None}, True),
        ({"rack_starts_at": None, "room_since": seconds(99.9)}, False),
        ({"queued_at": LONG_QUEUED}, True),
        ({"queued_at": LONG_QUEUED, "room_since": seconds(99.9)}, False),
        ({"queued_at": seconds(90), "is_short": True}, False),
        ({"rack_starts_at": BUSY_FOR_LONG, "is_short": True}, False),
        (
            {
                "rack_starts_at": BUSY_FOR_LONG,
                "latest_start": seconds(104.5),
                "is_short": True,
            },
            True,
        ),
        (
            {"rack_starts_at": BUSY_FOR_LONG, "latest_start": seconds(103), "is_short": True},
            False,
        ),
        ({"rack_starts_at": None, "is_short": True}, True),
        ({"room_since": seconds(96), "is_short": True}, True),
        ({"extra_work": seconds(0), "rack_starts_at": seconds(100.3)}, True),
    ],
    ids=[
        "rack is free soon",
        "rack is busy for longer than the extra work",
        "no rack will have room",
        "no rack for a moment",
        "waited long in a pool with room",
        "room only now",
        "waited long in a full pool",
        "full pool, on time on the rack",
        "full pool, on time only if spread",
        "full pool, late either way",
        "full pool, no rack",
        "estimate of the rack was wrong",
        "task that lasts",
    ],
)
def test_gang_waits_for_a_rack_as_long_as_that_is_better(changes, is_due):
    """Guards against gangs that wait for a rack for good, and against those that take twice as long
    for want of a moment's patience."""
    assert is_spread_due(msgspec.structs.replace(USUAL, **changes)) is is_due


def gang(count, may_spread=True, **fields):
    spec = StepSpec(count, 4000, 100, gang=True, same_rack=True, estimate_ms=1000, **fields)
    job = Job(record(spec))
    job.open_occurrence(0)
    step = job.steps_by_occurrence[0][0]
    step.rack_wait.may_spread = may_spread
    return step.units[0]


def workers(**count_by_rack):
    return [
        session(f"{rack}w{number}", rack=rack)
        for rack, count in count_by_rack.items()
        for number in range(count)
    ]


def choose(unit, sessions):
    chosen = choose_workers(unit, sessions, WorkerSpeeds(), {}, Capacity())
    return None if chosen is None else sorted(s.worker for s in chosen)


@pytest.mark.parametrize("long_running", [False, True], ids=["ends", "lasts"])
def test_gang_that_no_rack_can_hold_runs_on_several(long_running):
    """Guards against a preference that is taken for a condition (review/15)."""
    sessions = workers(a=1, b=1)
    unit = gang(3, long_running=long_running)
    assert could_all_run(unit, sessions)
    assert choose(gang(3, may_spread=False, long_running=long_running), sessions) is None
    assert len(choose(unit, sessions)) == 3


def test_gang_that_may_spread_still_prefers_one_rack():
    """Guards against gangs that start on several racks although one has room."""
    assert choose(gang(4), workers(a=1, b=2, c=1)) == ["bw0", "bw0", "bw1", "bw1"]


def test_gang_fills_the_rack_with_the_least_room():
    """Guards against small gangs on empty racks that larger ones need."""
    assert choose(gang(2), workers(a=2, b=1)) == ["bw0", "bw0"]


def test_gang_spreads_over_as_few_racks_as_possible():
    """Guards against gangs in pieces on more racks than they need, and on racks with room to
    spare."""
    chosen = choose(gang(8), workers(a=1, b=2, c=1, d=3))
    racks = {name[0] for name in chosen}
    assert len(racks) == 2 and racks > {"d"} and "b" not in racks


def test_longer_work_of_a_spread_gang_is_expected():
    """Guards against backfill and plans that count on the end of a spread gang too early."""
    now = session("clock").now
    durations = LearnedDurations(WorkerSpeeds(), cross_rack_factor=3.0)
    ends = []
    for racks in (("a", "a"), ("a", "b")):
        unit = gang(2)
        for task, rack in zip(unit.tasks, racks, strict=True):
            worker = session(f"{rack}{task.index}", rack=rack)
            task.attempt = Attempt(task, task.name, 1, unit.step.size, worker)
            task.attempt.phase, task.attempt.started_at = AttemptPhase.RUNNING, now
            worker.reserve(task.attempt)
        ends.append(ExpectedEnds(durations, now).end(unit.tasks[0].attempt) - now)
    assert ends == [seconds(1), seconds(3)]


def test_rack_that_is_occupied_counts_as_full():
    """Guards against a choice by what racks could hold if they were empty."""
    sessions = workers(a=2, b=2)
    for worker in (sessions[0], sessions[2]):
        running(worker, StepSpec(1, 8000, 100))
    assert choose(gang(4), sessions) == ["aw1", "aw1", "bw1", "bw1"]
