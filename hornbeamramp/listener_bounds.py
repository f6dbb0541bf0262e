"""Bounds of a process's listeners, from the memory and the descriptors in its settings."""

from typing import Protocol

from hornbeamramp.guarded_http import ListenerBounds
from hornbeamramp.rpc import DEFAULT_BOUNDS, MESSAGE_LIMIT_BYTES

__all__ = ["PROBE_BOUNDS", "ProcessLimits", "caller_bounds", "operator_bounds", "peer_bounds"]

MIB = 1024 * 1024
# Descriptors that the platform keeps for files; sockets share the others.
FILE_DESCRIPTORS = 200
# Parts of the process's sockets and memory. The rest of the sockets leads to workers, the store and
# other VMs, and the rest of the memory holds the interpreter, jobs and connections.
CALLER_SOCKET_SHARE = 1 / 2
PEER_SOCKET_SHARE = 1 / 4
PEER_MEMORY_SHARE = 1 / 16
REQUEST_MEMORY_SHARE = 1 / 8
CONNECTION_MEMORY_SHARE = 1 / 8
# Memory of a connection and of the handler that waits for its body, without the body.
CONNECTION_BYTES = 16 * 1024
# For processes whose settings have no memory or no descriptors.
DEFAULT_REQUEST_BYTES = 64 * MIB
DEFAULT_CONNECTIONS = 4096
# Below these, ordinary callers would be refused in calm.
MIN_REQUEST_BYTES = 2 * MIB
MIN_CONNECTIONS = 32

# Operators are few; what they write has the size of a pool's row.
OPERATOR_CONNECTIONS = 64
OPERATOR_REQUEST_BYTES = 16 * MIB
# Readiness and metrics are read by a few programs, with heads of a few hundred bytes.
PROBE_BOUNDS = ListenerBounds(32, MIB // 2)


class ProcessLimits(Protocol):
    """Memory in MiB and file descriptors of a process; 0 if not known."""

    @property
    def memory_mb(self) -> int: ...

    @property
    def max_fds(self) -> int: ...


def caller_bounds(limits: ProcessLimits) -> ListenerBounds:
    """Returns the bounds of the callers' listener under the settings of its process."""
    connections = DEFAULT_CONNECTIONS
    request_bytes = DEFAULT_REQUEST_BYTES
    if limits.max_fds:
        connections = min(connections, int(_sockets(limits) * CALLER_SOCKET_SHARE))
    if limits.memory_mb:
        memory = limits.memory_mb * MIB
        connections = min(connections, int(memory * CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES)
        request_bytes = int(memory * REQUEST_MEMORY_SHARE)
    return ListenerBounds(max(connections, MIN_CONNECTIONS), max(request_bytes, MIN_REQUEST_BYTES))


def operator_bounds(limits: ProcessLimits) -> ListenerBounds:
    """Returns the bounds of the operators' listener."""
    request_bytes = OPERATOR_REQUEST_BYTES
    if limits.memory_mb:
        request_bytes = min(request_bytes, int(limits.memory_mb * MIB * PEER_MEMORY_SHARE))
    return ListenerBounds(OPERATOR_CONNECTIONS, max(request_bytes, MIN_REQUEST_BYTES))


def peer_bounds(limits: ProcessLimits) -> ListenerBounds:
    """Returns the bounds of the ports for other VMs, all together."""
    connections = DEFAULT_BOUNDS.connections
    request_bytes = DEFAULT_BOUNDS.request_bytes
    if limits.max_fds:
        connections = min(connections, int(_sockets(limits) * PEER_SOCKET_SHARE))
    if limits.memory_mb:
        request_bytes = min(request_bytes, int(limits.memory_mb * MIB * PEER_MEMORY_SHARE))
    return ListenerBounds(
        max(connections, MIN_CONNECTIONS), max(request_bytes, 2 * MESSAGE_LIMIT_BYTES)
    )


def _sockets(limits: ProcessLimits) -> int:
    return max(limits.max_fds - FILE_DESCRIPTORS, 0)
