"""Starts dist/hornbeamramp twice and prints start time, memory, unpacked size and child processes.

Runs ``serve`` with a stand-in platform on loopback; at the first start nothing is unpacked yet.
Exits with status 1 if the program started a child process.
"""

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

import psutil

from hornbeamramp.standins.cell import Program

BINARY = Path(__file__).resolve().parent.parent / "dist" / "hornbeamramp"


def unpacked_mb(root: Path) -> float:
    """Returns the total size in MB of the files below ``root``."""
    return round(sum(f.stat().st_size for f in root.rglob("*") if f.is_file()) / 1e6, 1)


async def measure_start(settings: Path, root: Path) -> dict[str, float]:
    """Starts ``serve`` and returns the measured values.

    These are the seconds until it listens, resident memory and unpacked size in MB, and the number
    of child processes.
    """
    started_at = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(BINARY),
        *("serve", "--config", str(settings)),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "SHIV_ROOT": str(root)},
    )
    program = Program(process, settings)
    await program.read_match("listening")
    seconds = time.monotonic() - started_at
    running = psutil.Process(process.pid)
    times = running.cpu_times()
    # Children that have exited are no longer listed; their processor time shows that they existed.
    ended_children = int(times.children_user + times.children_system > 0)
    result = {
        "start_s": round(seconds, 2),
        "resident_mb": round(running.memory_info().rss / 1e6, 1),
        "unpacked_mb": unpacked_mb(root),
        "children": len(running.children(recursive=True)) + ended_children,
    }
    await program.stop()
    return result


async def main() -> int:
    """Measures a first and a second start and prints a line with JSON for each."""
    with tempfile.TemporaryDirectory(prefix="hornbeamramp-") as name:
        directory = Path(name)
        arguments = ["hornbeamramp.standins.platform", "--address", "127.0.0.1:0"]
        platform = await Program.start(arguments, directory / "platform.log")
        address = (await platform.read_match(r"listening on (\S+)")).group(1)
        settings = {
            "vm": "vm-1",
            "data_centre": "gebze",
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform": {"address": address},
        }
        file = directory / "settings.yaml"
        file.write_text(json.dumps(settings))
        try:
            results = [await measure_start(file, directory / "root") for _ in range(2)]
        finally:
            await platform.stop()
    for label, result in zip(("first start", "second start"), results, strict=True):
        print(label, json.dumps(result))
    return 1 if any(result["children"] for result in results) else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
