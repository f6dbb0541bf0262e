"""Tests of waiting times in a flood: one kind of work arrives far beyond the capacity."""

import pytest

from hornbeamramp.flows import BURST_SHARE
from hornbeamramp.jobs import ServiceJob
from hornbeamramp.states import Band
from tests.simulation import Kind, Simulation, usual_kinds

FLOOD_START_S = 60.0
FLOOD_END_S = 66.0
SLOTS = 160
# The simulation handles calls within a millisecond together.
TICK_S = 0.001


@pytest.fixture(scope="module")
def usual():
    return Simulation(usual_kinds()).run(FLOOD_END_S)


def simulate_flood(name, factor, team=None):
    """Runs the usual kinds with a flood of one of them, by its own team or another."""
    kinds = usual_kinds()
    kind = next(kind for kind in kinds if kind.name == name)
    flood = Kind(
        name if team is None else "flood",
        team or kind.team,
        kind.band,
        factor * SLOTS / kind.run,
        kind.run,
        idempotent=kind.idempotent,
        start=FLOOD_START_S,
        end=FLOOD_END_S,
    )
    return Simulation([*kinds, flood]).run(FLOOD_END_S)


@pytest.mark.parametrize(
    ("name", "factor", "team"),
    [
        ("sort", 10, None),
        ("sort", 100, None),
        ("settlement", 10, None),
        ("settlement", 100, "flooder"),
        ("reconciler", 10, "flooder"),
        ("ticket", 10, None),
        ("quote", 10, "flooder"),
    ],
)
def test_other_kinds_keep_their_waiting_time_in_a_flood(usual, name, factor, team):
    """Covers floods of long tasks that may not be stopped and of the most urgent work."""
    flood = simulate_flood(name, factor, team)
    for kind in usual_kinds():
        if kind.name == name and team is None:
            continue
        assert not flood.refused[kind.name]
        expected = usual.mean_wait(kind.name, FLOOD_START_S, FLOOD_END_S)
        wait = flood.mean_wait(kind.name, FLOOD_START_S, FLOOD_END_S)
        assert wait <= expected * 1.05 + TICK_S, kind.name


def test_a_flood_still_gets_the_room_that_others_do_not_need():
    flood = simulate_flood("sort", 10, "flooder")
    assert len(flood.waits["flood"]) > 60


def test_a_lone_team_gets_the_whole_pool():
    """Guards against headroom that is kept free for work that does not exist."""
    kinds = [Kind("only", "team", Band.BULK, 400.0, 1.0)]
    simulation = Simulation(kinds).run(10.0)
    assert simulation.scheduler.snapshot().running == SLOTS


def test_room_of_work_that_has_ended_is_given_to_others():
    kinds = [
        Kind("morning", "a", Band.NORMAL, 200.0, 1.0, end=30.0),
        Kind("evening", "b", Band.NORMAL, 200.0, 1.0, start=40.0),
    ]
    simulation = Simulation(kinds).run(120.0)
    assert simulation.scheduler.snapshot().running >= SLOTS * 0.95


def test_other_kinds_keep_their_waiting_time_in_an_urgent_flood_over_many_teams(usual):
    """Guards against a flood whose teams each stay below the limit for urgent work."""
    kinds = usual_kinds()
    ticket = next(kind for kind in kinds if kind.name == "ticket")
    rate = 10 * SLOTS / ticket.run / 12
    floods = [
        Kind("ticket", f"t{n}", Band.URGENT, rate, ticket.run, start=FLOOD_START_S, end=FLOOD_END_S)
        for n in range(12)
    ]
    flood = Simulation([*kinds, *floods]).run(FLOOD_END_S)
    for kind in kinds:
        if kind.name != "ticket":
            expected = usual.mean_wait(kind.name, FLOOD_START_S, FLOOD_END_S)
            wait = flood.mean_wait(kind.name, FLOOD_START_S, FLOOD_END_S)
            assert wait <= expected * 1.05 + TICK_S, kind.name


def test_an_urgent_flood_over_many_teams_preempts_nothing_within_learned_demand():
    """Guards against preemption of steady work before the flood exceeds the limit for bursts."""
    weave = [Kind("weave", f"w{n}", Band.NORMAL, 0.9, 10.0, tasks=2) for n in range(6)]
    kinds = [*weave, Kind("ticket", "scale", Band.URGENT, 10.0, 0.5)]
    floods = [
        Kind("ticket", f"t{n}", Band.URGENT, 300.0, 0.5, start=FLOOD_START_S, end=FLOOD_START_S + 3)
        for n in range(12)
    ]
    usual = Simulation(kinds).run(FLOOD_START_S + 3)
    flood = Simulation([*kinds, *floods]).run(FLOOD_START_S + 3)
    assert sum(flood.preempted.values()) <= sum(usual.preempted.values()) + 0.05 * SLOTS


def test_a_flood_of_services_leaves_the_room_others_need(usual):
    """Guards against services that take all slots permanently, as they are never preempted."""
    kinds = usual_kinds()
    floods = [
        Kind("watcher", f"t{n}", Band.SERVICE, 20.0, 1e6, kind=ServiceJob, start=FLOOD_START_S)
        for n in range(12)
    ]
    flood = Simulation([*kinds, *floods]).run(FLOOD_END_S)
    for kind in kinds:
        assert not flood.refused[kind.name]
        expected = usual.mean_wait(kind.name, FLOOD_START_S, FLOOD_END_S)
        wait = flood.mean_wait(kind.name, FLOOD_START_S, FLOOD_END_S)
        assert wait <= expected * 1.05 + TICK_S, kind.name
    # Others need 60% of the slots, so services get no more than the burst share.
    assert len(flood.waits["watcher"]) <= BURST_SHARE[Band.SERVICE] * SLOTS


def test_services_alone_get_the_whole_pool():
    """Guards against a bound on services that keeps slots free for work that does not exist."""
    kinds = [Kind("watcher", "team", Band.SERVICE, 400.0, 1e6, kind=ServiceJob)]
    assert Simulation(kinds).run(10.0).scheduler.snapshot().running == SLOTS
