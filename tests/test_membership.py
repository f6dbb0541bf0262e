"""Tests of membership: member records, heartbeats, member states."""

from hornbeamramp.ids import DataCentreId, ShardId
from hornbeamramp.platforms.base import ListedVm
from hornbeamramp.platforms.memory import StoreMode
from hornbeamramp.states import MemberState
from tests.cell import SECOND, SHARD

TUZLA = DataCentreId("tuzla")
GEBZE = DataCentreId("gebze")


def alive(process, data_centre=GEBZE):
    return sorted(member.vm for member in process.membership.alive_in(data_centre))


def test_members_find_each_other(in_cell):
    """Guards against members that read the member records but don't learn each other's state."""

    async def scenario(cell):
        processes = [cell.start(name) for name in "abc"]
        await cell.advance(3 * SECOND)
        for process in processes:
            assert alive(process) == ["a", "b", "c"]
            assert process.membership.by_id["b"].caller_address == "b:80"
            assert process.membership.revision_by_vm() == {"a": 1, "b": 1, "c": 1}

    in_cell(scenario)


def test_silent_member_becomes_suspect_then_dead(in_cell):
    """Guards against sending work to a member that has crashed."""

    async def scenario(cell):
        first = cell.start("a")
        cell.start("b")
        await cell.advance(5 * SECOND)
        cell.kill("b")
        await cell.advance(3 * SECOND)
        assert first.membership.state_of("b") is MemberState.SUSPECT
        assert alive(first) == ["a"]
        await cell.advance(2 * SECOND)
        assert first.membership.state_of("b") is MemberState.DEAD
        await cell.advance(80 * SECOND)
        assert first.membership.state_of("b") is None

    in_cell(scenario)


def test_members_stay_known_without_the_store(in_cell):
    """Guards against a store outage after which members remove each other or count as dead."""

    async def scenario(cell):
        first, second = cell.start("a"), cell.start("b")
        await cell.advance(5 * SECOND)
        cell.store.mode = StoreMode.DOWN
        await cell.advance(120 * SECOND)
        assert alive(first) == alive(second) == ["a", "b"]
        cell.store.mode = StoreMode.UP
        await cell.advance(10 * SECOND)
        assert first.membership.by_id["b"].lease == second.membership.lease.id

    in_cell(scenario)


def test_one_way_loss_of_replies_keeps_a_member_alive(in_cell):
    """Guards against declaring a member dead whose heartbeats still arrive."""

    async def scenario(cell):
        first = cell.start("a")
        cell.start("b")
        await cell.advance(5 * SECOND)
        cell.network.drop_replies.add(frozenset("ab"))
        await cell.advance(20 * SECOND)
        assert alive(first) == ["a", "b"]

    in_cell(scenario)


def test_listed_leaving_is_only_a_hint(in_cell):
    """Guards against an outdated VM list that decides whether a member is dead or alive."""

    async def scenario(cell):
        first = cell.start("a")
        cell.start("b")
        cell.store.vm_by_id = {"b": ListedVm("b", leaving=True)}
        await cell.advance(12 * SECOND)
        assert first.membership.state_of("b") is MemberState.LEAVING
        cell.store.vm_by_id = {"b": ListedVm("b", leaving=False)}
        await cell.advance(12 * SECOND)
        assert first.membership.state_of("b") is MemberState.ALIVE
        cell.kill("b")
        await cell.advance(6 * SECOND)
        assert first.membership.state_of("b") is MemberState.DEAD

    in_cell(scenario)


def test_leaving_member_says_so_by_heartbeat(in_cell):
    """Guards against a leaving member that still counts as a candidate."""

    async def scenario(cell):
        first, second = cell.start("a"), cell.start("b")
        await cell.advance(5 * SECOND)
        second.membership.set_leaving()
        await cell.advance(1.5 * SECOND)
        assert first.membership.state_of("b") is MemberState.LEAVING
        assert alive(first) == ["a"]

    in_cell(scenario)


def test_remote_beats_arrive_and_cost_little(in_cell):
    """Guards against heartbeats between data centres that grow with the square of the members."""

    async def scenario(cell):
        remote_shard = ShardId(f"weigh@{TUZLA}")
        cell.shards = [SHARD, remote_shard]
        local_processes = [cell.start(name) for name in "abcd"]
        remote_processes = [cell.start(name, TUZLA) for name in "wxyz"]
        await cell.advance(30 * SECOND)
        for process in local_processes:
            assert alive(process, TUZLA) == ["w", "x", "y", "z"]
            shard_heartbeat, owner = process.membership.heartbeat_of(remote_shard)
            assert shard_heartbeat.epoch == 1 and cell.serving(remote_shard) == [owner]
            assert process.ownership.owner_of(remote_shard) == owner
        sent_addresses = []
        original = cell.network.call

        async def call(sender, address, request, timeout, step):
            if sender is local_processes[0] and address[0] in "wxyz":
                sent_addresses.append(address)
            return await original(sender, address, request, timeout, step)

        cell.network.call = call
        await cell.advance(60 * SECOND)
        assert len(remote_processes) == len(set(sent_addresses))
        assert 20 <= len(sent_addresses) <= 26

    in_cell(scenario)


def test_restarted_vm_registers_after_the_record_of_its_predecessor_ends(in_cell):
    """Guards against replacing a record under whose lease a paused process still owns shards."""

    async def scenario(cell):
        cell.start("a")
        await cell.advance(5 * SECOND)
        cell.kill("a")
        restarted = cell.start("a")
        await cell.advance(2 * SECOND)
        assert restarted.membership.lease.id is None
        await cell.advance(6 * SECOND)
        assert restarted.membership.lease.is_valid()

    in_cell(scenario)


def test_lost_answer_of_the_member_record_is_resolved(in_cell):
    """Guards against a process that waits until its own record ends after a lost answer."""

    async def scenario(cell):
        process = cell.start("a")
        put = cell.store.put

        async def put_and_lose(*arguments, **options):
            cell.store.put = put
            cell.store.answers_to_lose = 1
            return await put(*arguments, **options)

        cell.store.put = put_and_lose
        await cell.advance(3 * SECOND)
        assert process.membership.lease.is_valid()

    in_cell(scenario)
