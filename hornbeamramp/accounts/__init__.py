"""Client accounts: whose key a call carries, and what room an account may have."""

from hornbeamramp.accounts.access import Access, AccessProblem, decide_access, needs_key
from hornbeamramp.accounts.freshness import ConfigFreshness

__all__ = [
    "Access",
    "AccessProblem",
    "ConfigFreshness",
    "decide_access",
    "needs_key",
]
