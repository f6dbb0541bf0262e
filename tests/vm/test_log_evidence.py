"""The log lines from which `hornbeamramp report --unfinished` tells the end of accepted work."""

import asyncio
import json

import logbook
import pytest

from hornbeamramp import instruments
from hornbeamramp.logs import json_line
from hornbeamramp.overlaps import read_overlaps
from hornbeamramp.unfinished import read_unfinished
from hornbeamramp.workload import JobPhase, StepSpec
from tests.model.cell import REQUEST_TIMEOUT, WORKER_PREFIX, ModelCell, job
from tests.model.virtual_time import run_in_virtual_time

JOB = "e" * 16
TASK_RUN = (f"{JOB}.0.0.0", 1)
LASTING = job(StepSpec(1, 1000, 100, long_running=True))


class LogFile(logbook.Handler):
    """Writes the lines with the cell's virtual time and a VM name before them."""

    def __init__(self, clock, file):
        super().__init__(logbook.INFO)
        self._clock, self._file = clock, file

    def emit(self, record):
        at = self._clock.boot_time().total_seconds()
        with self._file.open("a") as lines:
            lines.write(f"{at:.6f} vm0 {json_line(record, self)}\n")


@pytest.fixture
def log(tmp_path):
    return tmp_path / "day.log"


@pytest.fixture
def lines_of(log):
    """Returns the logged lines of an event, as documents."""

    def read(event):
        documents = [json.loads(text[text.index("{") :]) for text in log.read_text().splitlines()]
        return [document for document in documents if document.get("event") == event]

    return read


@pytest.fixture
def report_after(log):
    """Runs a scenario in a cell and returns the check of its logs."""

    def run(scenario):
        async def main():
            async with ModelCell() as cell:
                with LogFile(cell.clock, log).applicationbound():
                    await scenario(cell)

        run_in_virtual_time(main())
        return read_unfinished([log])

    return run


class Count:
    """An instrument that keeps what is recorded, by attributes."""

    def __init__(self):
        self.by_attributes = {}

    def add(self, amount, attributes):
        key = tuple(attributes.values())
        self.by_attributes[key] = self.by_attributes.get(key, 0) + amount

    def set(self, amount, attributes):
        self.by_attributes[tuple(attributes.values())] = amount


@pytest.fixture
def counts(monkeypatch):
    """The counters of jobs, by the names of the instruments."""
    counts = {}
    for name in ("jobs_accepted", "jobs_ended", "jobs_open", "jobs_recovered"):
        counts[name] = Count()
        monkeypatch.setattr(instruments, name, counts[name])
    return counts


def test_logs_tell_how_long_a_long_running_task_was_away(report_after):
    """Guards against a task that is away for longer than its callers allow without a line on the
    end of its run and on its next start."""
    crashed_at = []

    async def scenario(cell):
        await cell.submit(JOB, LASTING)
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        [(_, worker, _, _)] = cell.fleet.starts
        await asyncio.sleep(1.0)
        crashed_at.append(cell.clock.boot_time().total_seconds())
        cell.fleet.worker_by_name[worker].crash()
        await asyncio.sleep(9.0)
        assert len(cell.fleet.starts) == 2

    [gap] = report_after(scenario).gaps
    assert (gap.task, gap.is_long_running, gap.run) == (f"{JOB}.0.0.0", True, 1)
    # The worker confirms its runs at least every two seconds, the longest wait of a hold call.
    assert crashed_at[0] - 2.1 < gap.known_until <= crashed_at[0]
    assert gap.known_until + 5 < gap.ended_at < gap.started_at < gap.ended_at + 2


def test_logs_tell_that_a_successor_adopted_a_long_running_task(report_after, lines_of):
    """Guards against a takeover after which no line tells whether a job and its tasks are known."""

    async def scenario(cell):
        await cell.submit(JOB, LASTING)
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        owner = await cell.wait_for_owner()
        await owner.kill()
        del cell.vm_by_name[owner.name]
        await asyncio.sleep(4.0)

    report = report_after(scenario)
    assert (report.left_out, report.open_jobs, report.gaps) == ([], [], [])
    taken = lines_of("pool_taken")[-1]
    fields = {name: taken[name] for name in ("jobs_open", "jobs_ended", "runs", "open_jobs")}
    assert fields == {"jobs_open": 1, "jobs_ended": 0, "runs": 1, "open_jobs": JOB}
    # Once when it started, once when the successor found it running.
    assert [(line["task"], line["run"]) for line in lines_of("run_running")] == [TASK_RUN] * 2


def test_logs_tell_of_restored_runs_on_workers_that_are_gone(report_after, lines_of):
    """Guards against the time between a takeover and the lapse of a restored run, ten seconds and
    more, that no line tells: neither owner has seen the run's end."""
    taken_at = []

    async def scenario(cell):
        await cell.submit(JOB, LASTING)
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        [(_, worker, _, _)] = cell.fleet.starts
        await asyncio.sleep(1.0)
        cell.fleet.worker_by_name[worker].crash()
        cell.store.remove(f"{WORKER_PREFIX}{worker}")
        owner = await cell.wait_for_owner()
        await owner.kill()
        del cell.vm_by_name[owner.name]
        await cell.wait_for_owner()
        taken_at.append(cell.clock.boot_time().total_seconds())
        await asyncio.sleep(15.0)
        assert len(cell.fleet.starts) == 2

    [gap] = report_after(scenario).gaps
    assert lines_of("pool_taken")[-1]["runs_unlisted"] == 1
    assert gap.known_until <= taken_at[0] < gap.ended_at
    assert gap.started_at is not None


def test_placement_after_a_failed_run_names_the_task(report_after, lines_of):
    """Guards against a line that names only the step: of several tasks of a step, it would not tell
    which one started again."""

    async def scenario(cell):
        cell.fleet.fails = lambda worker, order: order.task == f"{JOB}.0.0.1" and order.run == 1
        await cell.submit(JOB, job(StepSpec(3, 1000, 100)))
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)

    report_after(scenario)
    assert [line["runs"] for line in lines_of("placed_again")] == [{f"{JOB}.0.0.1": 2}]


def test_jobs_are_counted_when_accepted_recovered_and_ended(counts, report_after):
    """Guards against a lost job that no metric shows: accepted and recovered jobs less those that
    ended are the open ones."""

    async def scenario(cell):
        await cell.submit(JOB, LASTING)
        await cell.submit("d" * 16, job(StepSpec(1, 1000, 100)))
        await cell.wait_for_phase("d" * 16, JobPhase.COMPLETED)
        owner = await cell.wait_for_owner()
        await owner.kill()
        del cell.vm_by_name[owner.name]
        await asyncio.sleep(4.0)
        [[pool]] = counts["jobs_open"].by_attributes
        assert counts["jobs_recovered"].by_attributes[pool,] == 1
        assert counts["jobs_open"].by_attributes[pool,] == 1
        vm = next(iter(cell.vm_by_name.values()))
        await vm.service.cancel(cell.queues["batch"], JOB, REQUEST_TIMEOUT)
        await asyncio.sleep(2.0)
        assert counts["jobs_open"].by_attributes[pool,] == 0

    report_after(scenario)
    assert counts["jobs_accepted"].by_attributes == {("batch",): 2}
    assert counts["jobs_ended"].by_attributes == {("completed",): 1, ("cancelled",): 1}


def test_logs_tell_which_proof_ended_a_run_that_went_on_beside_the_next(report_after, log):
    """Guards against lines from which an operator can't tell why a task ran twice: a worker leaves
    a run out of its lists for a moment, so the run is given up while it is at work."""

    async def scenario(cell):
        await cell.submit(JOB, LASTING)
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        [(_, name, task, _)] = cell.fleet.starts
        worker = cell.fleet.worker_by_name[name]
        run = worker.run_by_task.pop(task)
        await asyncio.sleep(4.5)
        worker.run_by_task[task] = run
        await asyncio.sleep(5.0)
        assert len(cell.fleet.starts) == 2

    report_after(scenario)
    report = read_overlaps([log])
    assert report.notes == []
    [overlap] = report.overlaps
    first, later = overlap.first, overlap.later
    assert (first.task, first.run, first.proof, later.run) == (f"{JOB}.0.0.0", 1, "unlisted", 2)
    assert first.ordered_boot == first.answered_boot == first.seen_boot
    assert first.end_outcome == "stopped"
    assert first.worker != later.worker
