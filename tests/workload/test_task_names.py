"""Names of tasks in the lists of workers."""

import pytest

from hornbeamramp.workload import StepKey, parse_task_name, task_name


def test_name_of_a_task_is_parsed_into_its_step_and_index():
    """Guards against an end that is applied to another task than its own."""
    key = StepKey("00000000000000b1", 2, 10)
    assert parse_task_name(task_name(key, 7)) == (key, 7)


@pytest.mark.parametrize(
    "name",
    [
        "",
        "a",
        "a.0.1",
        "a.0.1.2.3",
        "a.0.1.x",
        "a.0.1.-1",
        "a.0.1.",
        "a.0.1.²",
        "a.0.1." + 5000 * "9",
    ],
)
def test_what_is_no_name_of_a_task_is_none(name):
    """Guards against a malformed list that ends the session with its worker."""
    assert parse_task_name(name) is None
