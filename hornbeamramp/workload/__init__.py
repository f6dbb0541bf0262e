"""What callers and operators hand in: jobs made of steps, queues, pools and their configuration."""

from hornbeamramp.workload.config import URGENT, AdviceTerms, ClusterConfig, Pool, Queue, Target
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
    "AdviceTerms",
    "ClusterConfig",
    "JobPhase",
    "JobSpec",
    "Pool",
    "Queue",
    "StepKey",
    "StepSpec",
    "Target",
    "check_job",
    "task_name",
]
