"""The log tells for each task that can run and doesn't what it waits for."""

from datetime import timedelta

from hornbeamramp.poolowner.monitor import PoolMonitor
from hornbeamramp.poolowner.waiting import StepWait, WaitReason, WaitTimes
from hornbeamramp.workload import StepSpec
from tests.poolowner.builders import running, session
from tests.poolowner.test_placer import WHOLE_WORKER, Owner

SECOND = timedelta(seconds=1)
HALF = StepSpec(1, 4000, 100, estimate_ms=1000)


def reasons(owner, *steps):
    owner.placer.schedule()
    return [step.wait.reason for step in steps]


def test_step_without_granted_workers_waits_for_advice():
    owner = Owner([session("w0")])
    assert reasons(owner, owner.submit(HALF, name="gate")) == [WaitReason.ADVICE]


def test_step_with_capacity_but_no_valid_ticket_waits_for_a_ticket():
    owner = Owner([session("w0")])
    step = owner.submit(HALF, name="gate")
    owner.grant(step, "w0")
    step.grants.valid_until.clear()
    owner.launcher.may_ask = lambda step: False
    assert reasons(owner, step) == [WaitReason.TICKET]


def test_step_on_full_workers_waits_for_capacity_and_a_gang_for_all_members():
    owner = Owner([session("w0"), session("w1")])
    for worker in owner.session_by_worker.values():
        running(worker, WHOLE_WORKER, priority=0)
    gang_spec = StepSpec(2, 1000, 100, 4, estimate_ms=1000, gang=True)
    single, gang = owner.submit(WHOLE_WORKER), owner.submit(gang_spec)
    assert reasons(owner, single, gang) == [WaitReason.CAPACITY, WaitReason.GANG]


def test_step_that_no_granted_worker_can_run_waits_for_a_worker():
    owner = Owner([session("w0")])
    step = owner.submit(StepSpec(1, 1000, 100, 9), name="gate")
    owner.grant(step, "w0")
    assert reasons(owner, step) == [WaitReason.WORKER]


def test_all_steps_wait_for_the_owner_while_it_may_not_place():
    owner = Owner([session("w0")])
    step = owner.submit(HALF)
    owner.may_place = lambda: False
    assert reasons(owner, step) == [WaitReason.OWNER]


def test_times_are_added_by_reason_and_end_with_the_placement():
    owner = Owner([session("w0")])
    step = owner.submit(HALF)
    owner.may_place = lambda: False
    owner.placer.schedule()
    owner.clock.set(owner.clock.boot_time() + SECOND)
    owner.may_place = lambda: True
    owner.placer.schedule()
    owner.clock.set(owner.clock.boot_time() + SECOND)
    owner.placer.schedule()
    assert step.job.wait_times.as_milliseconds() == {"owner": 1000}


def test_steps_of_a_job_share_its_times():
    times = WaitTimes()
    for wait in (StepWait(times), StepWait(times)):
        wait.set(WaitReason.ADVICE, SECOND)
        wait.set(WaitReason.CAPACITY, 2 * SECOND)
        wait.set(None, 4 * SECOND)
    assert times.as_milliseconds() == {"advice": 2000, "capacity": 4000}


def test_long_wait_is_logged_once_for_each_reason(log_records):
    owner = Owner([session("w0")])
    step = owner.submit(HALF, name="gate")
    owner.pool = "tickets"
    monitor = PoolMonitor(owner, owner.placer, None, owner.clock)
    owner.placer.schedule()
    for _ in range(3):
        owner.clock.set(owner.clock.boot_time() + SECOND)
        monitor._log_waits()
    lines = [record.message for record in log_records if "waits for" in record.message]
    assert [line.split(" since")[0] for line in lines] == [f"{step.key} waits for advice"]


def test_number_of_waits_logged_at_a_time_is_bounded(log_records):
    """Guards against a log that grows with the queue."""
    owner = Owner([session("w0")])
    for _ in range(100):
        owner.submit(HALF, name="gate")
    monitor = PoolMonitor(owner, owner.placer, None, owner.clock)
    owner.placer.schedule()
    owner.clock.set(owner.clock.boot_time() + SECOND)
    monitor._log_waits()
    assert len([record for record in log_records if "waits for" in record.message]) == 20
