"""Runs the project's test of heads of many lines, unchanged, on two processors.

The test's process, which is the crowd, has one of them, and the VM's process the other. Prints the
peak of each run. Exits with 1 if one failed. From the repository's folder:
``.venv/bin/python review/found/apart.py [RUNS]``.
"""

import os
import subprocess
import sys
import time
from pathlib import Path

TEST = "tests/hostile/test_crowds.py::test_heads_of_many_lines[frontend]"
POLL_S = 0.02


def children(pid):
    """Returns the processes that a process has started."""
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            parent = int(path.read_text().rsplit(")", 1)[1].split()[1])
        except OSError:
            continue
        if parent == pid:
            found.append(int(path.parent.name))
    return found


def run(crowd_cpu, vm_cpu):
    command = [sys.executable, "-m", "pytest", "-q", "-s", "-p", "no:cacheprovider", TEST]
    os.sched_setaffinity(0, {crowd_cpu})
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as test:
        while test.poll() is None:
            for child in children(test.pid):
                try:
                    os.sched_setaffinity(child, {vm_cpu})
                except ProcessLookupError:
                    continue
            time.sleep(POLL_S)
        lines = test.stdout.read().splitlines()
    print(*(line for line in lines if line.startswith("peak ")), f"status {test.returncode}")
    return test.returncode == 0


def main():
    vm_cpu, crowd_cpu = sorted(os.sched_getaffinity(0))[-2:]
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    results = [run(crowd_cpu, vm_cpu) for _ in range(runs)]
    sys.exit(0 if all(results) else 1)


main()
