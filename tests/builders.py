"""Builders of jobs and schedulers for tests of scheduling decisions."""

from datetime import timedelta

from hornbeamramp.decisions import Start, TaskEnd
from hornbeamramp.ids import JobId, PoolName, RackId, RouteName, TeamId, UpstreamId
from hornbeamramp.jobs import BatchJob
from hornbeamramp.resources import Resources
from hornbeamramp.scheduler import ShardScheduler
from hornbeamramp.states import Band
from hornbeamramp.tables import Pool
from hornbeamramp.upstreams.base import UpstreamShape

MACHINE = Resources(4000, 4096, 0, 4, 16)
GPU_MACHINE = Resources(8000, 8192, 4, 8, 16)
SMALL = Resources(1000, 1024)


def make_job(name, kind=BatchJob, team="t", route="r", run=1.0, **fields):
    """Returns a job; ``run`` and ``deadline`` are in seconds."""
    fields.setdefault("resources", SMALL)
    if fields.get("deadline") is not None:
        fields["deadline"] = timedelta(seconds=fields["deadline"])
    return kind(
        id=JobId(str(name)),
        route=RouteName(route),
        pool=PoolName("p"),
        team=TeamId(team),
        declared_run=timedelta(seconds=run),
        **fields,
    )


def make_shape(name, resources=MACHINE, rack=None, speed=1.0, leaving=False):
    rack = RackId(rack or f"rack-{name}")
    return UpstreamShape(UpstreamId(name), rack, resources, speed, leaving=leaving)


def make_scheduler(clock, shapes=2, quotas=None, policy="default", **options):
    """Returns a scheduler with ``shapes`` upstreams of the default shape, or with these shapes."""
    scheduler = ShardScheduler(Pool(PoolName("p"), policy=policy), clock, quotas or {}, **options)
    if isinstance(shapes, int):
        shapes = [make_shape(f"u{i}") for i in range(shapes)]
    for shape in shapes:
        scheduler.add_upstream(shape)
    return scheduler


def starts(actions):
    return [action for action in actions if isinstance(action, Start)]


def fill(scheduler, count, prefix="fill", **fields):
    """Submits and starts ``count`` jobs, by default of band bulk, and returns their starts."""
    fields.setdefault("band", Band.BULK)
    for i in range(count):
        scheduler.submit(make_job(f"{prefix}{i}", **fields)).unwrap()
    placed = starts(scheduler.decide(count))
    assert len(placed) == count
    for start in placed:
        scheduler.started(start.attempt_id)
    return placed


def finish(scheduler, start, end=TaskEnd.SUCCEEDED, usage=None):
    return scheduler.ended(start.attempt_id, end, usage)


def advance(clock, seconds):
    clock.set(clock.boot_time() + timedelta(seconds=seconds))
