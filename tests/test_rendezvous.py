"""Tests of weighted rendezvous hashing."""

from collections import Counter

from hornbeamramp.ids import ShardId, VmId
from hornbeamramp.rendezvous import rank

SHARDS = [ShardId(f"pool{i}@gebze") for i in range(3000)]


def sizes(**size_by_name):
    return {VmId(name): size for name, size in size_by_name.items()}


def test_share_follows_size():
    """Guards against large VMs that own no more shards than small ones."""
    first = Counter(rank(shard, sizes(a=1.0, b=1.0, c=4.0))[0] for shard in SHARDS)
    assert 0.62 < first["c"] / len(SHARDS) < 0.72
    assert 0.13 < first["a"] / len(SHARDS) < 0.20


def test_loss_of_a_member_moves_only_its_shards():
    """Guards against a crash that reassigns the shards of healthy members."""
    for shard in SHARDS[:300]:
        before = rank(shard, sizes(a=1.0, b=2.0, c=3.0))
        after = rank(shard, sizes(a=1.0, b=2.0))
        assert after == [vm for vm in before if vm != "c"]


def test_members_without_size_are_left_out():
    """Guards against ranking a member whose size is unknown, as only its heartbeat was seen."""
    assert rank(SHARDS[0], sizes(a=0.0, b=1.0)) == ["b"]
