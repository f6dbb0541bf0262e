"""Weighted rendezvous hashing: ranks members as owners of a shard."""

import hashlib
import math
from collections.abc import Mapping

from hornbeamramp.ids import ShardId, VmId

__all__ = ["rank"]


def rank(shard: ShardId, size_by_vm: Mapping[VmId, float]) -> list[VmId]:
    """Returns the members in order of preference for ``shard``.

    The fraction of shards for which a member ranks first is proportional to its size. Removing a
    member leaves the order of the others unchanged. Members of size 0 or less are omitted.
    """
    scored = [(_score(shard, vm, size), vm) for vm, size in size_by_vm.items() if size > 0]
    return [vm for _, vm in sorted(scored, reverse=True)]


def _score(shard: ShardId, vm: VmId, size: float) -> float:
    digest = hashlib.blake2b(f"{shard}\0{vm}".encode(), digest_size=8).digest()
    # A uniform value strictly between 0 and 1; -size / ln(u) is the weighted score.
    uniform = (int.from_bytes(digest, "big") + 0.5) / 2**64
    return -size / math.log(uniform) if uniform < 1.0 else math.inf
