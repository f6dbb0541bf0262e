"""Platform adapters: the key-value service, leases, watches and the list of VMs.

`Platform` is the interface; `PLATFORMS` looks up an adapter by name or alias.
"""

from hornbeamramp.platforms._mapping import PLUGINS
from hornbeamramp.platforms.base import Entry, ListedVm, Platform, WatchResult
from hornbeamramp.plugins import Registry

__all__ = ["PLATFORMS", "Entry", "ListedVm", "Platform", "WatchResult"]

PLATFORMS: Registry[Platform] = Registry("platform", PLUGINS)
