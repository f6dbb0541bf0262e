"""The owner of a pool: accepts its jobs, places their tasks on its workers, and records it all."""

from hornbeamramp.poolowner.advice import Advice, AdviceSource, AdviceUnavailableError
from hornbeamramp.poolowner.owner import STORE_RETRY_AFTER, OwnerContext, PoolOwner, Refusal

__all__ = [
    "STORE_RETRY_AFTER",
    "Advice",
    "AdviceSource",
    "AdviceUnavailableError",
    "OwnerContext",
    "PoolOwner",
    "Refusal",
]
