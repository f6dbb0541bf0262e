"""Chooses runs of an account to preempt for a more urgent task of the same account.

Load: short urgent jobs of an account whose long batch runs use up its quota. The urgent job would
wait for seconds, although nobody else wants the room. Only the account's own work gives way.
"""

from collections.abc import Iterable

from hornbeamramp.accounts.usage import Amounts
from hornbeamramp.fleet import Attempt
from hornbeamramp.resources import Resources

__all__ = ["choose_own_victims"]

RESOURCES = range(3)


def choose_own_victims(
    size: Resources, tasks: int, room: Amounts, attempts: Iterable[Attempt], stopping: Amounts
) -> list[Attempt]:
    """Returns runs whose end lets up to a number of tasks start within their account's quota.

    `size`
        Size of one task.
    `room`
        What the account may still use of each resource that its quota limits, negative if it uses
        more; a resource without a limit has room for all tasks.
    `attempts`
        Preemptible runs of the account, those with the least progress first.
    `stopping`
        What runs of the account that are being stopped already will free.

    The list is empty if even the end of all of them lets no task start.
    """
    needed = (size.processors_milli, size.memory_mib, size.accelerators)
    free = [room[resource] + stopping[resource] for resource in RESOURCES]
    victims: list[Attempt] = []
    useful = 0
    for attempt in attempts:
        if _fits(needed, tasks, free):
            break
        freed = (attempt.size.processors_milli, attempt.size.memory_mib, attempt.size.accelerators)
        lacking = [r for r in RESOURCES if needed[r] * tasks > free[r]]
        if not any(freed[r] for r in lacking):
            continue
        victims.append(attempt)
        free = [free[r] + freed[r] for r in RESOURCES]
        if _fits(needed, 1, free):
            useful = len(victims)
    return victims[:useful]


def _fits(needed: Amounts, tasks: int, free: list[int]) -> bool:
    return all(needed[r] * tasks <= free[r] for r in RESOURCES)
