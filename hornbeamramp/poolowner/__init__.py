"""Owner of a pool: accepts jobs, places their tasks on workers and records their progress."""

from hornbeamramp.poolowner.address_pools import AddressRecords
from hornbeamramp.poolowner.advice import Advice, AdviceSource, AdviceUnavailableError
from hornbeamramp.poolowner.lateness import retry_delay
from hornbeamramp.poolowner.owner import OwnerContext, PoolOwner, Refusal

__all__ = [
    "AddressRecords",
    "Advice",
    "AdviceSource",
    "AdviceUnavailableError",
    "OwnerContext",
    "PoolOwner",
    "Refusal",
    "retry_delay",
]
