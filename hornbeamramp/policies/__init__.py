"""Placement policies: which upstreams the tasks of a job go to.

`PlacementPolicy` is the contract; `POLICIES` finds a policy by the name in a pool's row.
"""

from hornbeamramp.plugins import Registry
from hornbeamramp.policies._mapping import PLUGINS
from hornbeamramp.policies.base import PlacementPolicy, PlacementRequest

__all__ = ["POLICIES", "PlacementPolicy", "PlacementRequest"]

POLICIES: Registry[PlacementPolicy] = Registry("placement policy", PLUGINS)
