"""Resident memory of a Python process as it imports the package's libraries one by one."""

import json
import subprocess
import sys

from hornbeamramp.bench.figures import Figure, Options

__all__ = ["LIBRARIES", "measure"]

LIBRARIES = (
    "asyncio",
    "msgspec",
    "result",
    "sortedcontainers",
    "yaml",
    "logbook",
    "uvloop",
    "hornbeamramp.scheduler",
    "aiohttp",
    "opentelemetry.sdk.metrics",
    "opentelemetry.sdk.trace",
    "opentelemetry.exporter.prometheus",
    "cyclopts",
)

MEMORY_GOAL_MIB = 32.0

_CHILD_SCRIPT = """
import importlib, json, sys
def resident():
    with open("/proc/self/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))
sizes = [resident()]
for name in sys.argv[1:]:
    importlib.import_module(name)
    sizes.append(resident())
print(json.dumps(sizes))
"""


def resident_kib(libraries: tuple[str, ...]) -> list[int]:
    """Returns the resident memory of a new process at its start and after each import, in KiB.

    Raises ``subprocess.CalledProcessError`` if a library can't be imported.
    """
    command = [sys.executable, "-c", _CHILD_SCRIPT, *libraries]
    done = subprocess.run(command, capture_output=True, check=True, text=True, timeout=60)
    return json.loads(done.stdout)


def measure(options: Options) -> list[Figure]:
    """Returns resident memory in MiB, cumulative and for each library imported alone."""
    del options
    sizes = resident_kib(LIBRARIES)
    figures: list[Figure] = []

    def add(name: str, kib: float, column: str, goal: bool = False) -> None:
        mib = kib / 1024
        goal_text, met = (
            (f"<= {MEMORY_GOAL_MIB:.0f}", mib <= MEMORY_GOAL_MIB) if goal else ("", None)
        )
        figures.append(
            Figure("footprint", "resident memory", name, mib, "MiB", column, goal_text, met)
        )

    add("interpreter", sizes[0], "cumulative")
    add("interpreter", sizes[0], "alone")
    for n, name in enumerate(LIBRARIES, start=1):
        alone = resident_kib((name,))
        add(name, sizes[n], "cumulative")
        add(name, alone[1] - alone[0], "alone")
    add("process with all libraries", sizes[-1], "cumulative", goal=True)
    return figures
