"""Upstream adapters: how tasks are started, listed, renewed and stopped.

`UpstreamAdapter` is the interface; `UPSTREAMS` looks up an adapter by name or alias.
"""

from hornbeamramp.plugins import Registry
from hornbeamramp.upstreams._mapping import PLUGINS
from hornbeamramp.upstreams.base import (
    ListedTask,
    StartReply,
    StartRequest,
    TaskLabels,
    UpstreamAdapter,
    UpstreamShape,
    UsageReport,
)

__all__ = [
    "UPSTREAMS",
    "ListedTask",
    "StartReply",
    "StartRequest",
    "TaskLabels",
    "UpstreamAdapter",
    "UpstreamShape",
    "UsageReport",
]

UPSTREAMS: Registry[UpstreamAdapter] = Registry("upstream adapter", PLUGINS)
