"""Placement policies, which choose the upstreams for the tasks of a job.

`PlacementPolicy` is their interface; `POLICIES` looks up a policy by the name in a pool's
configuration.
"""

from hornbeamramp.plugins import Registry
from hornbeamramp.policies._mapping import PLUGINS
from hornbeamramp.policies.base import PlacementPolicy, PlacementRequest

__all__ = ["POLICIES", "PlacementPolicy", "PlacementRequest"]

POLICIES: Registry[PlacementPolicy] = Registry("placement policy", PLUGINS)
