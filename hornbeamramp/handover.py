"""Hand-over of shards during a graceful shutdown."""

from datetime import timedelta

import logbook

from hornbeamramp.errors import ProtocolError, UnreachableError
from hornbeamramp.ids import Epoch, ShardId, VmId
from hornbeamramp.membership import Membership
from hornbeamramp.messages import HandOverRequest
from hornbeamramp.peers import PeerCaller
from hornbeamramp.rendezvous import rank
from hornbeamramp.states import Step

__all__ = ["offer"]

log = logbook.Logger("owner")

HAND_OVER_TIMEOUT = timedelta(seconds=1)


async def offer(
    membership: Membership, peers: PeerCaller, shard: ShardId, epoch: Epoch
) -> VmId | None:
    """Offers a shard that this process has released to the candidates, in order of rank.

    Returns the candidate that has claimed it, or ``None``.
    """
    members = membership.alive_in(membership.data_centre)
    member_by_vm = {m.vm: m for m in members if m.vm != membership.vm and m.peer_address}
    request = HandOverRequest(shard, epoch, membership.vm)
    for vm in rank(shard, {vm: member.size for vm, member in member_by_vm.items()}):
        address = member_by_vm[vm].peer_address
        try:
            reply = await peers.call(address, request, HAND_OVER_TIMEOUT, Step.DRAIN)
        except (UnreachableError, ProtocolError) as error:
            log.info("hand-over request to {} for {} failed: {}", vm, shard, error.message)
            continue
        if reply.accepted:
            log.info("{} handed over to {}", shard, vm)
            return vm
    return None
