"""Fleet shapes and job mixes of section 1 of the design page. Data only."""

import msgspec

from hornbeamramp.states import Band, JobKind

__all__ = ["JOB_CLASSES", "SHAPES", "SPEEDS", "CellShape", "JobClass", "WorkerClass"]

GIB = 1024
"""One GiB in MiB."""

SPEEDS = (0.7, 0.85, 1.0, 1.0, 1.15, 1.3)
"""Relative speeds, assigned to the workers of a class round-robin; the mean is 1.0."""


class WorkerClass(msgspec.Struct, frozen=True):
    """A class of workers with the same resources."""

    name: str
    count: int
    processors: int
    memory_mib: int
    accelerators: int
    per_rack: int
    slots: int = 8
    connections: int = 64


class JobClass(msgspec.Struct, frozen=True):
    """Parameters from which the jobs of one class are generated.

    `run_ms`
        Mean run time of a task on an upstream of speed 1.0, in milliseconds; for a service, the
        mean time until its caller cancels it.
    `sigma`
        Standard deviation of the logarithm of the run time.
    `deadline_ms`
        Deadline in milliseconds from submission, 0 for none.
    """

    name: str
    kind: JobKind
    band: Band
    processors_milli: int
    memory_mib: int
    accelerators: int
    run_ms: int
    sigma: float = 0.5
    tasks: int = 1
    deadline_ms: int = 0
    idempotent: bool = True


class CellShape(msgspec.Struct, frozen=True):
    """A fleet and its job mix.

    `mix`
        Share of the task starts by job class; the shares need not add up to 1.
    `services`
        Running service tasks by job class, as a share of the fleet's slots.
    `starts_per_second`
        Rate of task starts, or 0 to derive it from ``load``.
    `load`
        Offered load relative to the capacity of the fleet's scarcest resource.
    `limit_share`
        Each team's quota limit as a share of the fleet.
    """

    name: str
    workers: tuple[WorkerClass, ...]
    mix: dict[str, float]
    services: dict[str, float]
    teams: int
    starts_per_second: float = 0.0
    load: float = 0.7
    limit_share: float = 0.5


TICKET_WORKER = WorkerClass("ticket", 20, 16, 64 * GIB, 0, 4)
IMAGING_WORKER = WorkerClass("imaging", 8, 128, 256 * GIB, 8, 3)
ORDER_WORKER = WorkerClass("order", 20, 32, 64 * GIB, 0, 5)
DESIGN_WORKER = WorkerClass("design", 7, 128, 512 * GIB, 8, 3)

_BATCH, _SERVICE, _GANG = JobKind.BATCH, JobKind.SERVICE, JobKind.GANG

JOB_CLASSES = {
    row.name: row
    for row in (
        JobClass("weigh_ticket", _BATCH, Band.URGENT, 1000, 512, 0, 1200, deadline_ms=5000),
        JobClass(
            "settlement",
            _BATCH,
            Band.NORMAL,
            1000,
            1 * GIB,
            0,
            3000,
            tasks=5,
            deadline_ms=60_000,
            idempotent=False,
        ),
        JobClass("gate_watcher", _SERVICE, Band.SERVICE, 1000, 2 * GIB, 0, 600_000, 0.8),
        JobClass("plate_read", _BATCH, Band.URGENT, 4000, 4 * GIB, 1, 2000, deadline_ms=10_000),
        JobClass("load_sort", _BATCH, Band.NORMAL, 8000, 8 * GIB, 1, 4000, deadline_ms=30_000),
        JobClass("quote", _BATCH, Band.URGENT, 1000, 1 * GIB, 0, 1000, deadline_ms=5000),
        JobClass(
            "weave_plan",
            _BATCH,
            Band.NORMAL,
            2000,
            8 * GIB,
            0,
            25_000,
            tasks=10,
            deadline_ms=900_000,
        ),
        JobClass("render", _BATCH, Band.BULK, 8000, 32 * GIB, 1, 30_000, 0.8, tasks=4),
        JobClass("render_cpu", _BATCH, Band.BULK, 8000, 16 * GIB, 0, 30_000, 0.8, tasks=4),
        JobClass("gang_render", _GANG, Band.BULK, 8000, 32 * GIB, 1, 20_000, 0.3, tasks=8),
        JobClass("proof_check", _BATCH, Band.NORMAL, 2000, 4 * GIB, 0, 6000, deadline_ms=60_000),
        JobClass("reconciler", _SERVICE, Band.SERVICE, 1000, 2 * GIB, 0, 600_000, 0.8),
    )
}

_KAYA = {"weigh_ticket": 0.55, "settlement": 0.15, "plate_read": 0.18, "load_sort": 0.12}
_HSINCHU = {
    "quote": 0.45,
    "weave_plan": 0.20,
    "render": 0.06,
    "render_cpu": 0.06,
    "gang_render": 0.05,
    "proof_check": 0.18,
}

SHAPES = {
    shape.name: shape
    for shape in (
        CellShape(
            "kaya_tickets",
            (TICKET_WORKER,),
            {"weigh_ticket": 0.8, "settlement": 0.2},
            {"gate_watcher": 0.15},
            teams=8,
        ),
        CellShape(
            "kaya_imaging", (IMAGING_WORKER,), {"plate_read": 0.6, "load_sort": 0.4}, {}, teams=4
        ),
        CellShape(
            "hsinchu_orders",
            (ORDER_WORKER,),
            {"quote": 0.55, "weave_plan": 0.25, "proof_check": 0.2},
            {"reconciler": 0.15},
            teams=8,
        ),
        CellShape(
            "hsinchu_design",
            (DESIGN_WORKER,),
            {"render": 0.4, "render_cpu": 0.3, "gang_render": 0.3},
            {},
            teams=4,
        ),
        CellShape("kaya", (TICKET_WORKER, IMAGING_WORKER), _KAYA, {"gate_watcher": 0.12}, teams=12),
        CellShape(
            "hsinchu", (ORDER_WORKER, DESIGN_WORKER), _HSINCHU, {"reconciler": 0.12}, teams=12
        ),
        CellShape(
            "cell",
            (
                WorkerClass("ticket", 290, 16, 64 * GIB, 0, 4),
                WorkerClass("imaging", 110, 128, 256 * GIB, 8, 3),
                WorkerClass("order", 300, 32, 64 * GIB, 0, 5),
                WorkerClass("design", 100, 128, 512 * GIB, 8, 3),
            ),
            {
                "weigh_ticket": 0.16,
                "quote": 0.10,
                "plate_read": 0.06,
                "load_sort": 0.05,
                "settlement": 0.04,
                "proof_check": 0.07,
                "weave_plan": 0.34,
                "render": 0.05,
                "render_cpu": 0.07,
                "gang_render": 0.06,
            },
            {"gate_watcher": 0.075, "reconciler": 0.075},
            teams=180,
            starts_per_second=270.0,
            limit_share=0.1,
        ),
    )
}
