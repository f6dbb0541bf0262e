"""Tests of the index of upstreams by capacity."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamramp.capacity_index import CapacityIndex, CapacityTree
from hornbeamramp.ids import RackId, UpstreamId
from hornbeamramp.resources import Resources
from hornbeamramp.upstreams.base import UpstreamShape

VECTORS = st.tuples(*[st.integers(0, 4)] * 5)


def fits(amount, value):
    return all(have >= need for have, need in zip(value, amount, strict=True))


@given(
    st.lists(VECTORS, min_size=1, max_size=40),
    st.lists(st.tuples(st.integers(0, 39), VECTORS), max_size=20),
    VECTORS,
    st.integers(0, 45),
)
def test_first_agrees_with_a_scan(values, changes, amount, start):
    tree = CapacityTree(len(values))
    tree.fill(values)
    for position, value in changes:
        if position < len(values):
            tree.set(position, value)
            values[position] = value
    fitting = [i for i, value in enumerate(values) if i >= start and fits(amount, value)]
    assert tree.first(amount, start) == (fitting[0] if fitting else -1)


def test_upstreams_without_accelerators_come_first_then_the_fastest():
    index = CapacityIndex(lambda _: (1, 1, 1, 1, 1), lambda _: None, lambda _: None)
    for name, accelerators, speed in [("gpu", 8, 9.0), ("slow", 0, 0.5), ("fast", 0, 2.0)]:
        resources = Resources(1000, 1000, accelerators)
        index.add(UpstreamShape(UpstreamId(name), RackId("k"), resources, speed))
    assert list(index.by_speed.candidates((0, 0, 0, 0, 0))) == ["fast", "slow", "gpu"]


def test_left_out_upstreams_are_not_found_until_touched_again():
    available_ids = set()
    index = CapacityIndex(
        lambda u: (1, 1, 1, 1, 1) if u in available_ids else None, lambda _: None, lambda _: None
    )
    index.add(UpstreamShape(UpstreamId("u"), RackId("k"), Resources(1, 1)))
    assert index.by_speed.first((0, 0, 0, 0, 0)) == -1
    available_ids.add("u")
    index.touch(UpstreamId("u"))
    assert index.by_speed.first((0, 0, 0, 0, 0)) == 0


def test_a_search_visits_few_nodes_of_a_large_pool():
    """Guards against a linear scan: only the last of 4,096 positions fits."""
    tree = CapacityTree(4096)
    tree.fill([(1, 1, 0, 1, 1)] * 4095 + [(9, 9, 0, 9, 9)])
    visited = 0

    class Counting(list):
        def __getitem__(self, i):
            nonlocal visited
            visited += 1
            return super().__getitem__(i)

    tree._nodes = Counting(tree._nodes)
    assert tree.first((5, 5, 0, 1, 1)) == 4095
    assert visited < 60
