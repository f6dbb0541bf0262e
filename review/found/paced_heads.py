"""The crowd of ``test_heads_of_many_lines``, whose members start a few milliseconds apart.

No case, and not part of the default test run: python -m pytest -s review/found/paced_heads.py
"""

import asyncio
import itertools

import pytest

from tests.hostile import test_crowds
from tests.hostile.crowd import head

hold_out = test_crowds.hold_out


@pytest.mark.parametrize("pause_s", [0.0, 0.004, 0.02])
def test_heads_of_many_lines_one_after_another(hold_out, pause_s):
    """Shows that refused requests are held beyond the budget of their listener."""
    lines = ["".join(x) + ":" for x in itertools.product("abcdefghijklmno", repeat=3)]
    fields = (*lines[: test_crowds.SHORT_LINES], "Content-Length: 100")
    data = head("POST", f"/batch/{'c' * 16}", *fields) + b"x" * 99

    async def attack(crowd):
        async with asyncio.TaskGroup() as group:
            for _ in range(test_crowds.BODIES):
                group.create_task(crowd.send(1, test_crowds.split(data, test_crowds.PIECE_BYTES)))
                await asyncio.sleep(pause_s)

    hold_out(attack)
