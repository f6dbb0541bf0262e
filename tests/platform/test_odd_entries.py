"""Processes of entry VMs while odd entries and misbehaving workers stand among the good ones."""

import asyncio
import contextlib
import itertools
import json
import random
from collections import Counter
from signal import Signals

import aiohttp
import pytest
from aiohttp import web

from hornbeamramp.ids import JobId
from hornbeamramp.workload import StepSpec
from tests.model.cell import job
from tests.platform.odd_entries import mutated_entry, odd_entries
from tests.platform.wire_server import listen
from tests.soak.callers import encode_job
from tests.soak.cell import HOST, PREFIX_BY_QUEUE, SoakCell

METRICS_PORT = 9464
LIMIT_S = 25.0
# Its tasks need a worker each at the same time.
GANG = StepSpec(2, 8000, 1000, estimate_ms=200, gang=True)
# Answers to each call, in turn.
BAD_REPLIES = (
    b"",
    b"not json",
    b"[" * 100_000,
    b'{"clock-ms":%d,"running":[],"ended":[]}' % 2**70,
    b'{"clock-ms":%s,"running":[],"ended":[]}' % (b"9" * 400),
    b'{"clock-ms":5,"running":[["a.0.0.0",%d,"",1]],"ended":[]}' % 2**64,
    b'{"clock-ms":5,"running":[["%s",1,"",1]],"ended":[]}' % (b"x" * 50_000),
    b'{"clock-ms":5,"running":[],"ended":[[%d,"b",1,"done",""]]}' % 2**64,
    b'{"clock-ms":5,"running":[],"ended":[],"born":%d}' % 2**70,
)


class Cell:
    """A cell of processes with one good worker, and its callers."""

    def __init__(self, cell: SoakCell, session: aiohttp.ClientSession) -> None:
        self.cell = cell
        self.session = session
        self._numbers = itertools.count(1)

    @property
    def good_entry(self) -> dict:
        return json.loads(self.cell.store.item_by_key["servers/w0"].value)

    def put(self, name: str, value: bytes) -> None:
        self.cell.store.put(f"servers/{name}", value)

    def _url(self, queue: str, job_id: str) -> str:
        [vm, *_] = self.running_vms()
        return f"http://{vm.frontend}{PREFIX_BY_QUEUE[queue]}{job_id}"

    def running_vms(self):
        return [vm for vm in self.cell.vm_by_name.values() if vm._process.returncode is None]

    async def submit(self, queue: str, spec) -> str:
        job_id = f"{next(self._numbers):016x}"
        self.cell.fleet.spec_by_job[JobId(job_id)] = spec
        self.cell.queue_by_job[JobId(job_id)] = queue
        async with asyncio.timeout(LIMIT_S):
            while True:
                status, _ = await self._request("POST", queue, job_id, encode_job(spec))
                if status == 200:
                    return job_id
                await asyncio.sleep(0.3)

    async def state(self, queue: str, job_id: str) -> str:
        _, body = await self._request("GET", queue, job_id)
        return body.get("state", "")

    async def complete(self, queue: str, job_id: str) -> None:
        async with asyncio.timeout(LIMIT_S):
            while True:
                if await self.state(queue, job_id) == "completed":
                    return
                await asyncio.sleep(0.1)

    async def ready(self, vm) -> None:
        """Waits until a process is ready for callers."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.session.get(f"http://{vm.ip}:8141/ready") as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.1)

    async def _request(self, method: str, queue: str, job_id: str, body: object = None):
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                asyncio.timeout(5),
                self.session.request(
                    method,
                    self._url(queue, job_id),
                    json=body,
                    headers={"Host": HOST, "Deadline-Ms": "4000"},
                ) as response,
            ):
                return response.status, await response.json(content_type=None)
        return 0, {}

    async def do_jobs(self) -> None:
        """Submits a job to each queue and waits until it is done."""
        names = [(queue, await self.submit(queue, job())) for queue in PREFIX_BY_QUEUE]
        for queue, name in names:
            await self.complete(queue, name)

    async def _rejected_count(self, vm) -> float:
        async with self.session.get(f"http://{vm.ip}:{METRICS_PORT}/metrics") as response:
            lines = (await response.text()).splitlines()
        name = "hornbeamramp_worker_entries_rejected"
        return sum(float(line.split()[-1]) for line in lines if line.startswith(name))

    async def wait_until_rejected(self, vm, count: int) -> None:
        """Waits until a process has rejected this number of entries; then they stay as many."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                if await self._rejected_count(vm) >= count:
                    break
                await asyncio.sleep(0.1)
        assert await self._rejected_count(vm) == count

    def log_lines(self) -> list[dict]:
        """Returns the log lines of all processes. Any other output is an error."""
        files = [self.cell.folder / f"{name}.log" for name in self.cell.vm_by_name]
        return [json.loads(line) for file in files for line in file.read_text().splitlines()]

    def check_logs(self) -> None:
        """Checks that no loop failed, and that each process logged each odd entry once."""
        lines = self.log_lines()
        assert [line for line in lines if "exception" in line] == []
        assert [line for line in lines if "unexpected" in line["message"]] == []
        assert all(len(line["message"]) < 1000 for line in lines)
        rejected = Counter(
            (line["vm"], line["message"].partition(" ignored: ")[0])
            for line in lines
            if line["message"].startswith("worker entry ")
        )
        assert max(rejected.values(), default=1) == 1


def in_processes(tmp_path, seed, scenario):
    """Runs a scenario with two VMs; no process may end by itself."""

    async def main():
        async with SoakCell(tmp_path, seed, vms=2, workers=1) as cell:
            cell.fleet.fails = lambda worker, order: False
            async with aiohttp.ClientSession() as session:
                await scenario(Cell(cell, session))
            assert [vm._process.returncode for vm in cell.vm_by_name.values()] == [None, None]
            assert [problem for vm in cell.vm_by_name.values() for problem in vm.problems] == []

    asyncio.run(main())


async def restart_owner(cell: Cell) -> None:
    """Kills the owner's process, so that the other VM takes the pool over."""
    owner = cell.cell.owner()
    await owner.stop_process(Signals.SIGKILL)
    await cell.do_jobs()
    await owner.start()
    await cell.ready(owner)


def test_processes_go_on_while_odd_entries_stand_in_the_store(tmp_path):
    """Guards against one entry that ends processes or loops, or keeps others from being used."""

    async def scenario(cell):
        odd = odd_entries(cell.good_entry)
        for name, value in odd.items():
            cell.put(f"odd-{name}", value)
        cell.put("w1", odd["deep-list"])
        cell.put("\n\r\x00", json.dumps(cell.good_entry).encode())
        cell.put("", json.dumps(cell.good_entry).encode())
        await cell.do_jobs()
        owner = cell.cell.owner()
        await cell.wait_until_rejected(owner, len(odd) + 3)
        # They change, as a worker's entry does at each heartbeat.
        for name, value in odd.items():
            cell.put(f"odd-{name}", value + b" ")
        await asyncio.sleep(1)
        await cell.wait_until_rejected(owner, len(odd) + 3)
        gang = await cell.submit("batch", job(GANG))
        await restart_owner(cell)
        assert await cell.state("batch", gang) in ("queued", "running")
        await cell.cell._add_worker("w1")
        await cell.complete("batch", gang)
        assert {worker for _, worker, _, _ in cell.cell.fleet.starts} == {"w0", "w1"}
        cell.check_logs()

    in_processes(tmp_path, 201, scenario)


def test_processes_go_on_while_entries_lead_to_others_or_to_bad_workers(tmp_path):
    """Guards against entries that can be used, but whose addresses answer as no worker does."""

    async def scenario(cell):
        replies = itertools.cycle(BAD_REPLIES)

        async def answer(request):
            await request.read()
            return web.Response(body=next(replies), content_type="application/json")

        address, runner = await listen(answer)
        vms = list(cell.cell.vm_by_name.values())
        addresses = {
            "bad": address,
            "same-address": cell.good_entry["address"],
            "store": cell.cell.store_address,
            "advice": cell.cell.advice_address,
            "own-frontend": vms[0].frontend,
            "own-peers": f"{vms[1].ip}:7380",
            "closed-port": f"{vms[0].ip}:1",
        }
        for name, value in addresses.items():
            cell.put(name, json.dumps({**cell.good_entry, "address": value}).encode())
        await cell.do_jobs()
        await asyncio.sleep(3)
        await cell.do_jobs()
        await restart_owner(cell)
        await cell.do_jobs()
        assert {worker for _, worker, _, _ in cell.cell.fleet.starts} == {"w0"}
        cell.check_logs()
        await runner.cleanup()

    in_processes(tmp_path, 202, scenario)


@pytest.mark.parametrize("seed", [1])
def test_processes_go_on_while_randomly_changed_entries_come_and_go(tmp_path, seed):
    async def scenario(cell):
        rng = random.Random(seed)
        entry = {**cell.good_entry, "address": f"{cell.running_vms()[0].ip}:1"}
        for _ in range(10):
            for _ in range(20):
                cell.put(f"odd-{rng.randrange(30)}", mutated_entry(rng, entry))
            cell.cell.store.remove(f"servers/odd-{rng.randrange(30)}")
            await asyncio.sleep(0.2)
        await cell.do_jobs()
        lines = cell.log_lines()
        assert [line for line in lines if "exception" in line] == []

    in_processes(tmp_path, 203, scenario)
