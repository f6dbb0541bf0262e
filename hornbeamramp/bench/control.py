"""Overhead of idle entry processes on loopback: processor time, memory, traffic, store calls.

Starts local cells that each change one size of the base cell, so that the fixed cost and the cost
per unit can be separated. Requires ``ss`` of iproute2 to count the bytes of each process's
connections.
"""

import asyncio
import re
import statistics
import subprocess

import msgspec
import psutil

from hornbeamramp.bench.figures import Figure, Options
from hornbeamramp.standins.cell import LocalCell, WorkerSpec

__all__ = ["measure"]

SETTLE_S = 8.0
WINDOW_S = 20.0
QUICK_WINDOW_S = 2.0

PROCESSOR_GOAL_PERCENT = 4.7
MEMORY_GOAL_MIB = 32.0
TRAFFIC_GOAL_BYTES_PER_S = 9_000.0

ROUTE = {
    "name": "watcher",
    "pool": "tickets",
    "kind": "service",
    "resources": {"processors_milli": 100, "memory_mib": 64},
}


class CellSize(msgspec.Struct, frozen=True):
    """Size of a cell: data centres, entry processes in each, workers and running services."""

    data_centres: int
    entries: int
    workers: int
    tasks: int = 0

    def label(self) -> str:
        cell = f"{self.data_centres} dc, {self.entries} entries each, {self.workers} workers"
        return f"{cell}, {self.tasks} tasks running" if self.tasks else cell


BASE_CELL = CellSize(1, 2, 4)
CELLS = (
    BASE_CELL,
    CellSize(1, 8, 4),
    CellSize(3, 2, 4),
    CellSize(1, 2, 64),
    CellSize(1, 2, 64, tasks=384),
)


class Usage(msgspec.Struct, frozen=True):
    """Mean usage of one process over the window, with its resident memory at the end."""

    core_percent: float
    memory_mib: float
    bytes_per_s: float
    store_calls_per_s: float


def measure(options: Options) -> list[Figure]:
    """Returns the usage of the shard owner and the mean of the other entry processes, by cell."""
    window_s = QUICK_WINDOW_S if options.quick else WINDOW_S
    cells = (BASE_CELL,) if options.quick else CELLS
    figures: list[Figure] = []
    for size in cells:
        owner, others = asyncio.run(_measure_cell(size, window_s))
        figures += _figures(size, "owner", owner)
        figures += _figures(size, "other", _mean(others))
    return figures


async def _measure_cell(size: CellSize, window_s: float) -> tuple[Usage, list[Usage]]:
    data_centre_names = [f"dc-{number}" for number in range(1, size.data_centres + 1)]
    workers = [
        WorkerSpec(f"worker-{number}", data_centre_names[0], "tickets", rack=f"rack-{number // 4}")
        for number in range(size.workers)
    ]
    async with LocalCell(data_centre_names, size.entries, workers) as cell:
        await cell.put_tables([ROUTE])
        await cell.wait_serving()
        if size.tasks:
            await _start_services(cell, size.tasks)
        await asyncio.sleep(min(SETTLE_S, window_s))
        before = await _sample(cell)
        await asyncio.sleep(window_s)
        after = await _sample(cell)
        status = (await cell.admin_client().status()).unwrap()
        owner_vm = status["shards"][0]["owner"]
    usage_by_vm = {vm: _usage(before[vm], after[vm], window_s) for vm in after}
    return usage_by_vm.pop(owner_vm), list(usage_by_vm.values())


async def _start_services(cell: LocalCell, tasks: int) -> None:
    body = {"route": ROUTE["name"], "tasks": tasks}
    status, answer = await cell.submit(cell.entries[0], body)
    if status != 201:
        raise RuntimeError(f"services not started: {answer}")


async def _sample(cell: LocalCell) -> dict[str, tuple[float, int, dict[str, int], int]]:
    """Returns, by VM, processor seconds, resident bytes, bytes by connection and store calls."""
    bytes_by_pid = _connection_bytes()
    status = (await cell.admin_client().status()).unwrap()
    calls = {row["vm"]: sum(row["store_calls"].values()) for row in status["processes"]}
    samples = {}
    for entry in cell.entries:
        pid = entry.program.process.pid
        process = psutil.Process(pid)
        times = process.cpu_times()
        samples[entry.vm] = (
            times.user + times.system,
            process.memory_info().rss,
            bytes_by_pid.get(pid, {}),
            calls.get(entry.vm, 0),
        )
    return samples


def _usage(before: tuple, after: tuple, window_s: float) -> Usage:
    transferred_bytes = sum(count - before[2].get(key, 0) for key, count in after[2].items())
    return Usage(
        core_percent=(after[0] - before[0]) / window_s * 100,
        memory_mib=after[1] / 2**20,
        bytes_per_s=transferred_bytes / window_s,
        store_calls_per_s=(after[3] - before[3]) / window_s,
    )


def _connection_bytes() -> dict[int, dict[str, int]]:
    """Returns bytes sent plus received on each established TCP connection, by process ID."""
    command = ["ss", "-tinpHO", "state", "established"]
    output = subprocess.run(command, capture_output=True, check=True, text=True).stdout
    bytes_by_pid: dict[int, dict[str, int]] = {}
    for line in output.splitlines():
        pid = re.search(r"pid=(\d+)", line)
        if pid is None:
            continue
        byte_counts = re.findall(r"bytes_(?:sent|received):(\d+)", line)
        addresses = " ".join(re.findall(r"[\d.\[\]:a-f]+:\d+", line)[:2])
        bytes_by_pid.setdefault(int(pid.group(1)), {})[addresses] = sum(map(int, byte_counts))
    return bytes_by_pid


def _mean(usages: list[Usage]) -> Usage:
    columns = zip(*(msgspec.structs.astuple(usage) for usage in usages), strict=True)
    return Usage(*(statistics.fmean(column) for column in columns))


def _figures(size: CellSize, role: str, usage: Usage) -> list[Figure]:
    rows = (
        ("processor", usage.core_percent, "% of a core", PROCESSOR_GOAL_PERCENT),
        ("memory", usage.memory_mib, "MiB", MEMORY_GOAL_MIB),
        ("traffic", usage.bytes_per_s, "B/s", TRAFFIC_GOAL_BYTES_PER_S),
        ("store calls", usage.store_calls_per_s, "1/s", None),
    )
    return [
        Figure(
            "control",
            size.label(),
            f"{role} {name}",
            value,
            unit,
            goal="" if goal is None else f"<= {goal:g}",
            met=None if goal is None else value <= goal,
        )
        for name, value, unit, goal in rows
    ]
