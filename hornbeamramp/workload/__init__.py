"""Jobs as callers submit them, and queues and pools as operators configure them."""

from hornbeamramp.workload.config import (
    URGENT,
    AccountQuota,
    AdviceTiming,
    ClientAccount,
    ClusterConfig,
    Pool,
    Queue,
    RequestLimits,
    RouteMatch,
)
from hornbeamramp.workload.model import (
    MAX_TASKS,
    TERMINAL_PHASES,
    JobPhase,
    JobSpec,
    RefusalKind,
    StepKey,
    StepSpec,
    check_job,
    parse_task_name,
    task_name,
)

__all__ = [
    "MAX_TASKS",
    "TERMINAL_PHASES",
    "URGENT",
    "AccountQuota",
    "AdviceTiming",
    "ClientAccount",
    "ClusterConfig",
    "JobPhase",
    "JobSpec",
    "RefusalKind",
    "Pool",
    "Queue",
    "RequestLimits",
    "RouteMatch",
    "StepKey",
    "StepSpec",
    "check_job",
    "parse_task_name",
    "task_name",
]
