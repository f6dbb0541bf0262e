"""Property test of the guarantees G1 to G8 on a simulated cell of complete entry processes.

`HORNBEAMRAMP_EXAMPLES` sets the number of examples (default 80) and makes Hypothesis
draw a random seed instead of the fixed one.
"""

import os

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.support.cell import SECOND, SimulatedCell, run_cell
from tests.support.faults import CAPABILITIES, apply, sequences

EXAMPLES = os.environ.get("HORNBEAMRAMP_EXAMPLES")
# Time after the last fault during which late messages and recoveries are still checked.
AFTERMATH = 25 * SECOND


@settings(
    max_examples=int(EXAMPLES or 80),
    derandomize=EXAMPLES is None,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(st.integers(0, 3), st.sampled_from(CAPABILITIES), sequences)
def test_guarantees_hold(seed, capabilities, sequence):
    """Guards against any mix of requests and failures that breaks one of G1 to G8."""

    async def scenario(cell: SimulatedCell) -> None:
        for action, seconds in sequence:
            apply(cell, action)
            await cell.advance(seconds * SECOND)
        cell.heal()
        for name, _ in cell.names:
            if not cell.vm[name].is_running:
                cell.start_vm(name)
        await cell.advance(AFTERMATH)

    run_cell(scenario, seed=seed, capabilities=capabilities)
