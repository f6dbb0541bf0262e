"""Property tests: no sequence of failures lets two processes start work of the same shard.

`HORNBEAMRAMP_EXAMPLES` sets the number of examples (default 40) and lifts the fixed seed.
"""

import asyncio
import os

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hornbeamramp.clock import ManualClock
from hornbeamramp.platforms.memory import MemoryPlatform, StoreMode
from tests.cell import SECOND, Cell

EXAMPLES = os.environ.get("HORNBEAMRAMP_EXAMPLES")
NAMES = ["a", "b", "c", "d"]

names = st.sampled_from(NAMES)
pairs = st.lists(names, min_size=2, max_size=2, unique=True)
advances = st.tuples(st.just("advance"), st.sampled_from([0.2, 0.7, 1.5, 3.0, 5.5, 7.0, 13.0]))
actions = st.one_of(
    advances,
    st.tuples(st.sampled_from(["cut", "heal"]), pairs),
    st.tuples(st.sampled_from(["cut_store", "heal_store", "restart", "kill", "hand_over"]), names),
    st.tuples(st.sampled_from(["pause", "resume"]), names),
    st.tuples(st.just("lose_answers"), names, st.integers(1, 3)),
    st.tuples(st.just("delay_store"), names, st.sampled_from([0.0, 0.3, 1.2, 4.0])),
    st.tuples(st.just("delay"), pairs, st.sampled_from([0.0, 0.2, 1.5, 6.0])),
    st.tuples(st.just("store"), st.sampled_from([StoreMode.DOWN, StoreMode.UP])),
    st.tuples(st.just("duplicate"), st.booleans()),
)
# Each action is followed by an advance, so that its effects have time to show.
sequences = st.lists(st.tuples(actions, advances), max_size=14)
rates = st.lists(st.sampled_from([0.985, 1.0, 1.015]), min_size=4, max_size=4)


def apply(cell: Cell, rate_by_name: dict[str, float], action: tuple) -> None:
    """Applies one action other than an advance."""
    kind, argument, *rest = action
    process = cell.process_by_vm.get(argument) if isinstance(argument, str) else None
    match kind:
        case "cut":
            cell.cut(*argument)
        case "heal":
            cell.network.cut.discard(frozenset(argument))
        case "delay":
            cell.network.delay_by_pair[frozenset(argument)] = rest[0] * SECOND
        case "store":
            cell.store.mode = argument
        case "duplicate":
            cell.network.duplicate = argument
        case "restart":
            if process:
                cell.kill(argument)
            cell.start(argument, rate=rate_by_name[argument])
        case _ if process is None:
            pass
        case "kill":
            cell.kill(argument)
        case "cut_store" | "heal_store":
            process.store.cut = kind == "cut_store"
        case "lose_answers":
            process.store.lose_answers = rest[0]
        case "delay_store":
            process.store.delay = rest[0] * SECOND
        case "pause":
            process.pause.pause()
        case "resume":
            process.pause.resume()
        case "hand_over":
            asyncio.ensure_future(process.ownership.hand_over_all())


async def play(count: int, clock_rates: list[float], sequence: list[tuple]) -> None:
    clock = ManualClock()
    cell = Cell(clock, MemoryPlatform(clock))
    rate_by_name = dict(zip(NAMES, clock_rates, strict=True))
    try:
        for name in NAMES[:count]:
            cell.start(name, rate=rate_by_name[name])
        await cell.advance(9 * SECOND)
        for action, (_, seconds) in sequence:
            if action[0] == "advance":
                await cell.advance(action[1] * SECOND)
            else:
                apply(cell, rate_by_name, action)
                await cell.advance(seconds * SECOND)
    finally:
        await cell.stop()


@settings(
    max_examples=int(EXAMPLES or 40),
    derandomize=EXAMPLES is None,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(st.integers(1, 4), rates, sequences)
def test_at_most_one_process_may_start_work(count, clock_rates, sequence):
    """Guards against two owners after any mix of cuts, outages, lost answers and pauses."""
    asyncio.run(play(count, clock_rates, sequence))
