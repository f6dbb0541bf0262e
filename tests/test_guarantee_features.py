"""Steps of tests/features/guarantees.feature. The guarantees are checked during each scenario."""

import asyncio
import random
import uuid
from unittest import mock

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from hornbeamramp.jobs import Completed, NotRun
from hornbeamramp.tables import Quota
from tests.support.cell import POOL, SECOND, SimulatedCell

scenarios("features/guarantees.feature")

HOME = "gebze"


class World:
    """A simulated cell with the event loop that runs it."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        self.cell = self.runner.run(self._start_cell())
        self.owner = self.cell.owner_in(HOME)
        self.entry = self.cell.other_vm(self.owner)
        self.revision = 0

    @staticmethod
    async def _start_cell() -> SimulatedCell:
        cell = SimulatedCell(vm_count=3)
        await cell.start()
        return cell

    def advance(self, seconds: float) -> None:
        self.runner.run(self.cell.advance(seconds * SECOND))

    async def _submit(self, count: int, **fields) -> None:
        for _ in range(count):
            self.entry.submit(self.cell.job(**fields))

    def submit(self, count: int = 1, **fields) -> None:
        self.runner.run(self._submit(count, **fields))

    def starts(self, worker: str | None = None) -> list:
        return [r for r in self.cell.checker.runs() if worker in (None, r.worker)]

    def close(self) -> None:
        self.runner.run(self.cell.stop())
        self.runner.close()


@pytest.fixture
def world():
    identifiers = random.Random(0)

    def next_uuid() -> uuid.UUID:
        return uuid.UUID(int=identifiers.getrandbits(128), version=4)

    with mock.patch.object(uuid, "uuid4", next_uuid):
        world = World()
        yield world
        world.close()


@given("a cell of two data centres")
def two_data_centres(world):
    assert world.cell.data_centres == ("gebze", "tuzla")


@given("workers cross and cut short their next answers")
def wrong_answers(world):
    for vm in world.cell.vm.values():
        for worker in world.cell.worker:
            vm.upstream_faults(worker).crossed_answers = 2
            vm.upstream_faults(worker).truncated_answers = 2


@given("no upstream can be reached")
def upstreams_cut(world):
    for worker in world.cell.worker.values():
        worker.die()


@given("the answers to starts are lost")
def starts_lost(world):
    for vm in world.cell.vm.values():
        for worker in world.cell.worker:
            vm.upstream_faults(worker).drop_start_replies = 1


@when(parsers.parse("{count:d} tickets of {run:d} s are submitted at once"))
def submit_many(world, count, run):
    world.submit(count, run=run * SECOND)


@when(parsers.parse("a ticket of {run:d} s is submitted"))
def submit_one(world, run):
    world.submit(run=run * SECOND)
    world.advance(1)


@when(parsers.parse("a ticket with a deadline of {deadline:d} s is submitted"))
def submit_with_deadline(world, deadline):
    world.submit(deadline=deadline * SECOND)


@when("an order that must not run twice is submitted")
def submit_order(world):
    world.submit(idempotent=False, run=5 * SECOND)
    world.advance(1)


@when(parsers.parse("the owner is paused for {seconds:d} s"))
def pause_owner(world, seconds):
    world.owner.pause.pause()
    world.advance(seconds)
    world.owner.pause.resume()
    world.advance(40)


@when("the owner is killed")
def kill_owner(world):
    world.owner.kill()


@when("the platform lists a worker as leaving")
def list_leaving(world):
    world.cell.list_as_leaving(f"{HOME}-w0")


@when("the VM that took it and the owner shut down")
def shut_down(world):
    async def stop() -> None:
        world.entry.stop()
        await world.cell.advance(2 * SECOND)
        world.owner.stop()

    world.runner.run(stop())


@when("an operator changes a row while a data centre is cut off from the platform")
def change_row(world):
    async def change():
        world.cell.isolate("tuzla")
        tables = world.owner.parts.configuration.tables
        row = tables.pool_by_name[POOL]
        changed = type(row)(row.name, row.upstreams, {"yard": Quota(weight=2.0)})
        version = tables.pool_version_by_name[POOL]
        return await world.cell.propose(world.owner, "pools", POOL, changed, version)

    world.revision = world.runner.run(change()).ok_value.revision


@when("the data centre comes back")
def reconnect_data_centre(world):
    world.advance(20)
    world.cell.isolate("tuzla", cut=False)


@when(parsers.parse("{seconds:d} s pass"))
@then(parsers.parse("{seconds:d} s pass"))
def pass_time(world, seconds):
    world.advance(seconds)


@then("no worker ever held more than its capacity")
@then("no task had two attempts at once")
def checked(world):
    assert world.starts()
    world.cell.checker.check()


@then("every caller has an answer")
def all_answered(world):
    world.cell.checker.check()
    for call in world.cell.calls:
        assert isinstance(call.outcome, Completed), call


@then("every caller has the complete answer to its own request")
def own_answers(world):
    all_answered(world)


@then("the caller was told that it did not run")
def told_not_run(world):
    assert isinstance(world.cell.calls[0].outcome, NotRun), world.cell.calls


@then("no worker has a start of it")
def no_start(world):
    assert not world.starts()


@then("it was started at most once")
def at_most_once(world):
    assert len(world.starts()) == 1
    assert world.cell.calls[0].outcome is not None


@then("the leaving worker got none of them")
def none_on_leaving(world):
    assert not world.starts(f"{HOME}-w0")
    assert world.starts()


@then("the change is in force at every VM")
def in_force(world):
    for vm in world.cell.running():
        assert vm.parts.configuration.tables.revision == world.revision
