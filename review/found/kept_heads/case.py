"""A crowd sends whole requests with long heads and keeps its connections: the VMs outgrow their
memory."""

import asyncio
import contextlib
import itertools
import sys
from collections import Counter
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins3"))
from cell3 import HOST, Cell, Client, main  # noqa: E402

ORDINARY = 10
# Header lines of a head of 15.7 kB; the program takes heads of up to 16,384 bytes.
LINES = 2600
REQUESTS_PER_S = 50
# Connections that the crowd has open to one VM at most; the VM's own bound is 1,950.
MAX_KEPT = 290
# Fault: so many ends by themselves on each of so many machines.
ENDS = 3
MACHINES = 2
END_S = 60.0


def job_id(number):
    return f"{number:016x}"


def long_request():
    names = itertools.islice(itertools.product("abcdefghijklmno", repeat=3), LINES)
    lines = "".join(f"{''.join(name)}:\r\n" for name in names)
    return f"GET /batch/{'c' * 16} HTTP/1.1\r\nHost: {HOST}\r\n{lines}\r\n".encode()


def machines_at_fault(cell):
    return sum(len(vm.own_ends) >= ENDS for vm in cell.vms)


class Crowd:
    """Clients of one VM. Each sends one request, reads the answer and keeps its connection."""

    def __init__(self, vm, record):
        self.vm, self.record = vm, record
        self.members = set()
        self.statuses = Counter()

    async def run(self):
        data = long_request()
        while True:
            for _ in range(min(REQUESTS_PER_S // 10, MAX_KEPT - len(self.members))):
                task = asyncio.create_task(self._act(data))
                self.members.add(task)
                task.add_done_callback(self.members.discard)
            await asyncio.sleep(0.1)

    async def report(self):
        while True:
            await asyncio.sleep(1.0)
            used = f"{self.vm.memory():.0f} MB"
            answers = dict(self.statuses)
            self.record.write(f"crowd at {self.vm.name}: answers so far {answers}, {used}")

    async def _act(self, data):
        host, port = self.vm.frontend.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.statuses["not connected"] += 1
            return
        try:
            writer.write(data)
            answer = await reader.read(4096)
            self.statuses[answer[9:12].decode() or "none"] += 1
            # Until the VM closes the connection.
            while await reader.read(4096):
                pass
        except OSError:
            self.statuses["reset"] += 1
        finally:
            writer.transport.abort()


async def run(record, trouble):
    async with Cell(record, memory_mb=300) as cell, aiohttp.ClientSession() as session:
        client = Client(cell, session)
        cell.fleet.is_verbose = False
        common = {"max-attempts": 3, "stretch": 4.0, "target-completion-ms": 3000}
        tickets = {"name": "tickets", "prefix": "/tickets/", "service": "desk", **common}
        batch = {"name": "batch", "prefix": "/batch/", "service": "desk", "priority": 2, **common}
        cell.configure([tickets, batch], ["desk"])
        for number in range(6):
            await cell.add_worker(f"w{number}", "desk", rack=f"r{number // 3}")
        await cell.start_vms()
        first = {"count": 4, "cpu": 1000, "mem-mb": 512, "estimated-ms": 6000}
        second = {**first, "estimated-ms": 500, "after": [0]}
        for number in range(ORDINARY):
            job = {"spec": f"ticket {number}", "steps": [first, second]}
            if not await client.submit("/tickets/", job_id(number), job):
                return None
        crowds = [Crowd(vm, record) for vm in cell.vms] if trouble else []
        tasks = [asyncio.create_task(x) for crowd in crowds for x in (crowd.run(), crowd.report())]
        record.write(f"crowd: requests of {len(long_request())} bytes, {REQUESTS_PER_S}/s a VM")
        while record.now() < END_S and machines_at_fault(cell) < MACHINES:
            await asyncio.sleep(0.2)
            if not trouble and len(cell.fleet.done()) == 8 * ORDINARY:
                break
        for crowd in crowds:
            record.write(f"crowd at {crowd.vm.name}: answers {dict(crowd.statuses)}")
        for task in (*tasks, *(member for crowd in crowds for member in crowd.members)):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        record.write(f"{len(cell.fleet.done())} of {8 * ORDINARY} ordinary tasks done")
        for vm in cell.vms:
            ends = [round(moment, 1) for moment, _ in vm.own_ends]
            record.write(f"{vm.name}: peak {vm.peak_mb:.0f} MB, ended by itself at {ends}")
        return machines_at_fault(cell) < MACHINES


main(run)
