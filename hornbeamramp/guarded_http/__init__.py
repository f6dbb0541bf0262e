"""HTTP servers for programs that aren't ours, within limits of size, time, memory and processor."""

from hornbeamramp.guarded_http.connections import (
    Guard,
    GuardedServer,
    Refusal,
    RequestRefusedError,
    refusal_response,
)
from hornbeamramp.guarded_http.read_budget import ListenerBounds

__all__ = [
    "Guard",
    "GuardedServer",
    "ListenerBounds",
    "Refusal",
    "RequestRefusedError",
    "refusal_response",
]
