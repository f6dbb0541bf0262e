"""Decisions on connections and bytes of unfinished requests, without a network."""

import pytest

from hornbeamramp.guarded_http.read_budget import ListenerBounds, ReadBudget
from hornbeamramp.listener_bounds import PROBE_BOUNDS, caller_bounds, peer_bounds
from hornbeamramp.platform.settings import LimitSettings
from hornbeamramp.rpc import MESSAGE_LIMIT_BYTES
from hornbeamramp.workload import RequestLimits

# A body of the largest size that the users' pages allow by default.
BODY_BYTES = RequestLimits().max_body_bytes


@pytest.fixture
def make_budget():
    """Makes a budget with open connections, named by letters."""

    def make(names="", connections=100, request_bytes=1000):
        budget = ReadBudget(ListenerBounds(connections, request_bytes))
        for name in names:
            assert budget.open(name) is None
        return budget

    return make


def test_reader_that_was_stalled_longest_gives_way_to_those_that_progress(make_budget):
    """Load: bodies that stop just short of their end, and callers that still send theirs."""
    budget = make_budget("abc")
    budget.read("a", 400)
    budget.read("b", 400)
    budget.read("c", 100)
    budget.read("a", 450)
    assert budget.overdrawn() is None
    budget.read("c", 400)
    assert budget.overdrawn() == "b"


def test_small_reader_is_kept_although_it_was_stalled_longest(make_budget):
    """Load: a crowd of large bodies beside ordinary callers on slow links."""
    budget = make_budget("abc")
    budget.read("a", 10)
    budget.read("b", 600)
    budget.read("c", 600)
    assert budget.overdrawn() == "b"


def test_request_that_competes_with_none_is_never_refused(make_budget):
    """Guards against a budget that is smaller than one request of legal size."""
    budget = make_budget("ab")
    budget.read("a", 5000)
    assert budget.overdrawn() is None
    budget.read("b", 1)
    assert budget.overdrawn() == "a"


def test_handed_on_requests_are_counted_and_never_refused(make_budget):
    """Load: many whole bodies at once. A refusal promises that the request has not run."""
    budget = make_budget("abc")
    budget.read("a", 600)
    budget.hand_on("a", 600)
    budget.hand_on("b", 600)
    assert budget.overdrawn() is None
    budget.read("c", 10)
    assert budget.overdrawn() == "c"
    budget.finish("a")
    assert budget.used == 610
    assert budget.overdrawn() is None


def test_refused_and_closed_connections_hold_nothing(make_budget):
    budget = make_budget("abc")
    for name in "abc":
        budget.read(name, 900)
    budget.refuse("a")
    budget.close("b")
    assert budget.used == 900
    assert len(budget) == 2
    budget.finish("c")
    assert budget.used == 0


def test_connections_give_way_in_the_order_of_their_use(make_budget):
    """Load: more connections than descriptors, from callers that send nothing, or part of it."""
    budget = make_budget("abcd", connections=4)
    budget.hand_on("a", 1)
    budget.read("c", 1)
    budget.refuse("d")
    assert [budget.open(name) for name in "efg"] == ["d", "c", "b"]
    assert len(budget) == 4


def test_connection_is_refused_where_all_others_have_a_request_in_hand(make_budget):
    budget = make_budget("ab", connections=2)
    budget.hand_on("a", 1)
    budget.hand_on("b", 1)
    assert budget.open("c") == "c"
    assert len(budget) == 2


@pytest.mark.parametrize("memory_mb", [0, 1, 160, 552])
@pytest.mark.parametrize("max_fds", [0, 100, 1638, 10_250])
def test_bounds_let_ordinary_callers_in(memory_mb, max_fds):
    """Guards against defaults that callers inside the limits of the users' pages meet in calm."""
    bounds = caller_bounds(LimitSettings(memory_mb=memory_mb, max_fds=max_fds))
    assert bounds.connections >= 32
    assert bounds.request_bytes >= 4 * BODY_BYTES


@pytest.mark.parametrize(("memory_mb", "max_fds"), [(160, 1638), (552, 10_250)])
def test_bounds_leave_most_of_the_process_to_its_work(memory_mb, max_fds):
    bounds = caller_bounds(LimitSettings(memory_mb=memory_mb, max_fds=max_fds))
    assert bounds.request_bytes <= memory_mb * 1024 * 1024 / 4
    assert bounds.connections <= (max_fds - 200) / 2


@pytest.mark.parametrize("memory_mb", [0, 1, 160, 552])
@pytest.mark.parametrize("max_fds", [0, 100, 1638, 10_250])
def test_bounds_let_calls_of_other_vms_in(memory_mb, max_fds):
    """Guards against defaults that messages of the largest size, or a few VMs, meet in calm."""
    bounds = peer_bounds(LimitSettings(memory_mb=memory_mb, max_fds=max_fds))
    assert bounds.connections >= 32
    assert bounds.request_bytes >= 2 * MESSAGE_LIMIT_BYTES


@pytest.mark.parametrize(("memory_mb", "max_fds"), [(160, 1638), (552, 10_250)])
def test_bounds_of_all_ports_together_leave_room_for_work(memory_mb, max_fds):
    limits = LimitSettings(memory_mb=memory_mb, max_fds=max_fds)
    listeners = [caller_bounds(limits), peer_bounds(limits), PROBE_BOUNDS, PROBE_BOUNDS]
    assert sum(x.request_bytes for x in listeners) <= memory_mb * 1024 * 1024 / 4
    assert sum(x.connections for x in listeners) <= (max_fds - 200) * 7 / 8
