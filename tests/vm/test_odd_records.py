"""Records that can't be read, or that mean nothing, must not harm other jobs or VMs."""

import msgspec
import pytest

from hornbeamramp.statestore import JobProgress, OpenTask, ProgressGroup, StepGrants
from hornbeamramp.statestore.records import encode
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import POOL, ModelCell, job
from tests.model.virtual_time import run_in_virtual_time
from tests.poolowner.builders import record

DEEP = b"\x81\xa1x" * 100_000
DEEP_JSON = b'{"x":' * 100_000
ODD = "00000000000000aa"


def open_task(occurrence=0, step=0, index=0, run=1, worker="w0"):
    return OpenTask(occurrence, step, index, run, 0, worker, "")


def progress_of(**fields):
    return encode(JobProgress(JobPhase.RUNNING, **fields))


def odd_job(**fields):
    job_record = record(StepSpec(2, 1000, 100), queue="batch")
    return msgspec.structs.replace(job_record, job_id=ODD, **fields)


def odd_spec(*steps, **fields):
    return odd_job(spec=job(*steps, **fields))


def cell_record(**fields):
    known = {"vm": "vm9", "boot": "x", "address": "nowhere:1", "sequence": 0}
    return msgspec.json.encode(known | fields)


VALID_JOB = (f"hbr/job/{POOL}/{ODD}", encode(odd_job()))


def job_with(**fields):
    """Returns the records of a job with the given progress."""
    return [VALID_JOB, (f"hbr/progress/{POOL}/{ODD}", progress_of(**fields))]


ODD_RECORDS = {
    "job nested too deeply": [(f"hbr/job/{POOL}/{ODD}", DEEP)],
    "job that is no msgpack": [(f"hbr/job/{POOL}/{ODD}", b"\xc1")],
    "job with an invalid string": [(f"hbr/job/{POOL}/{ODD}", b"\x81\xa1\xff\x01")],
    "job of another type": [(f"hbr/job/{POOL}/{ODD}", encode([1, 2]))],
    "job under a key that is no job id": [(f"hbr/job/{POOL}/a/b", encode(odd_job()))],
    "job under the key of another": [(f"hbr/job/{POOL}/ffff", encode(odd_job()))],
    "job whose step follows none": [
        (f"hbr/job/{POOL}/{ODD}", encode(odd_spec(StepSpec(1, 1, 1, after=(7,)))))
    ],
    "job with too many tasks": [(f"hbr/job/{POOL}/{ODD}", encode(odd_spec(StepSpec(10**12))))],
    "progress nested too deeply": [VALID_JOB, (f"hbr/progress/{POOL}/{ODD}", DEEP)],
    "progress of no job": [(f"hbr/progress/{POOL}/a/b", b"\xc1")],
    "done task of no step": job_with(done=((0, 5, (0,)),)),
    "done task of no index": job_with(done=((0, 0, (9,)),)),
    "done task of a negative index": job_with(done=((0, 0, (-1,)),)),
    "done task of no occurrence": job_with(done=((3, 0, (0,)),)),
    "open task of no step": job_with(open_tasks=(open_task(step=4),)),
    "open task of no index": job_with(open_tasks=(open_task(index=2),)),
    "open task of no occurrence": job_with(open_tasks=(open_task(occurrence=10**9),)),
    "open task of no run number": job_with(open_tasks=(open_task(run=2**64 - 1),)),
    "open task twice": job_with(open_tasks=(open_task(), open_task(run=2, worker="w1"))),
    "grants of no step": job_with(grants=(StepGrants(0, -3, (), ()),)),
    "group nested too deeply, of no token": [(f"hbr/group/{POOL}/odd", b"\x91" + DEEP)],
    "group of no token": [(f"hbr/group/{POOL}/1-x", b"\xc1")],
    "group of a token yet to come": [(f"hbr/group/{POOL}/99999999999-1", b"\xc1")],
    "group in a group": [(f"hbr/group/{POOL}/1/2-3", encode(ProgressGroup({ODD: DEEP})))],
    "group with an undecodable job": [
        VALID_JOB,
        (f"hbr/group/{POOL}/1-1", encode(ProgressGroup({ODD: DEEP}))),
    ],
    "VM nested too deeply": [("hbr/cell/vm/vm9", DEEP_JSON)],
    "VM that is no record": [("hbr/cell/vm/vm9", b"\xff\xfe")],
    "VM with too long a port": [
        ("hbr/cell/vm/vm9", cell_record(address="nowhere:" + "9" * 5000, ports=2))
    ],
    "VM under another key": [("hbr/cell/vm/vm9", cell_record(vm="vm1"))],
    "VM without a lease": [("hbr/cell/vm/vm9", cell_record(size=1e9))],
    "other key of the cell": [("hbr/cell/odd", DEEP_JSON), ("hbr/cell/", b"[]")],
    "owner of no pool": [("hbr/cell/owner/odd", DEEP_JSON), ("hbr/cell/owner/", b"\xff")],
}


@pytest.mark.parametrize("items", ODD_RECORDS.values(), ids=ODD_RECORDS)
def test_odd_record_harms_no_other_job_at_a_takeover(items):
    """Guards against one record that keeps a pool without an owner, or other jobs from running."""

    async def scenario():
        async with ModelCell(vms=3) as cell:
            running = job(StepSpec(1, 1000, 100, long_running=True))
            queued = job(StepSpec(1, 1000, 100), StepSpec(2, 1000, 100, after=(0,)))
            late = job(StepSpec(40, 8000, 100, estimate_ms=300))
            vm = await cell.wait_for_owner()
            for job_id, spec in (("a", running), ("b", queued), ("c", late)):
                assert not (await cell.submit(job_id * 16, spec, "batch", vm)).refusal
            await cell.wait_for_phase("a" * 16, JobPhase.RUNNING, vm=vm)
            for key, value in items:
                cell.store.put(key, value)
            await vm.kill()
            other = next(v for v in cell.vm_by_name.values() if v is not vm)
            assert await cell.wait_for_owner(8) is not vm
            await cell.wait_for_phase("b" * 16, JobPhase.COMPLETED, 15, other)
            await cell.wait_for_phase("c" * 16, JobPhase.COMPLETED, 30, other)
            assert await cell.phase("a" * 16, other) is JobPhase.RUNNING
            assert any(
                task.startswith("a" * 16)
                for worker in cell.fleet.worker_by_name.values()
                for task in worker.run_by_task
            )
            assert not (await cell.submit("d" * 16, queued, "batch", other)).refusal
            await cell.wait_for_phase("d" * 16, JobPhase.COMPLETED, 15, other)
            return [v for v in cell.fleet.violations if ODD not in v.detail]

    assert run_in_virtual_time(scenario()) == []


@pytest.mark.parametrize("value", [DEEP_JSON, b"[]", cell_record()], ids=["deep", "list", "record"])
@pytest.mark.parametrize("key", [f"hbr/cell/owner/{POOL}", f"hbr/chain/{POOL}"])
def test_claim_without_a_lease_does_not_keep_a_pool_without_an_owner(key, value):
    """Guards against a foreign owner or chain record, which no lease ever ends, and that all VMs
    take for the claim of another."""

    async def scenario():
        cell = ModelCell(vms=2)
        cell.store.put(key, value)
        async with cell:
            assert not (await cell.submit("a" * 16, job())).refusal
            await cell.wait_for_phase("a" * 16, JobPhase.COMPLETED, 10)
            assert cell.fleet.violations == []

    run_in_virtual_time(scenario())
