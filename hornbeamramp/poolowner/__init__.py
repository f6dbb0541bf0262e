"""Owner of a pool: accepts jobs, places their tasks on workers and records their progress."""

from hornbeamramp.poolowner.address_pools import AddressRecords
from hornbeamramp.poolowner.advice import Advice, AdviceSource, AdviceUnavailableError
from hornbeamramp.poolowner.lateness import retry_delay
from hornbeamramp.poolowner.owner import OwnerContext, PoolOwner
from hornbeamramp.poolowner.refusals import Refusal, RefusalKind

__all__ = [
    "AddressRecords",
    "Advice",
    "AdviceSource",
    "AdviceUnavailableError",
    "OwnerContext",
    "PoolOwner",
    "Refusal",
    "RefusalKind",
    "retry_delay",
]
