"""HTTP servers for programs that aren't ours, within limits of size, time, memory and processor."""

from hornbeamramp.guarded_http.connections import (
    Guard,
    Refusal,
    RequestRefusedError,
    refusal_response,
)
from hornbeamramp.guarded_http.handshakes import TlsListener
from hornbeamramp.guarded_http.read_budget import ListenerBounds
from hornbeamramp.guarded_http.server import GuardedServer

__all__ = [
    "Guard",
    "GuardedServer",
    "ListenerBounds",
    "Refusal",
    "RequestRefusedError",
    "TlsListener",
    "refusal_response",
]
