"""Jobs as callers submit them, and queues and pools as operators configure them."""

from hornbeamramp.workload.config import (
    URGENT,
    AdviceTiming,
    ClusterConfig,
    Pool,
    Queue,
    RouteMatch,
)
from hornbeamramp.workload.model import (
    MAX_TASKS,
    TERMINAL_PHASES,
    JobPhase,
    JobSpec,
    StepKey,
    StepSpec,
    check_job,
    task_name,
)

__all__ = [
    "MAX_TASKS",
    "TERMINAL_PHASES",
    "URGENT",
    "AdviceTiming",
    "ClusterConfig",
    "JobPhase",
    "JobSpec",
    "Pool",
    "Queue",
    "RouteMatch",
    "StepKey",
    "StepSpec",
    "check_job",
    "task_name",
]
