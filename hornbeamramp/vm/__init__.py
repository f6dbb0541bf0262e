"""One entry VM: its lease, its copies of store data, its pools, and its calls to other VMs."""

from hornbeamramp.vm.adapter import Adapter, AdviceClient, VmIdentity
from hornbeamramp.vm.caller_service import (
    AccessDeniedError,
    CallerService,
    CancelResult,
    SubmitResult,
    UnavailableError,
)
from hornbeamramp.vm.node import Node

__all__ = [
    "AccessDeniedError",
    "Adapter",
    "AdviceClient",
    "CallerService",
    "CancelResult",
    "Node",
    "SubmitResult",
    "UnavailableError",
    "VmIdentity",
]
