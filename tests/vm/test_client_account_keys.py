"""Keys of client accounts in a cell whose VMs, links and store fail."""

import asyncio
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest

from hornbeamramp.accounts import Access
from hornbeamramp.ids import AccountId, ApiKey, JobId, PoolName, RouteName
from hornbeamramp.platform.callers import CallerServer
from hornbeamramp.statestore import job_key, progress_key
from hornbeamramp.vm import AccessDeniedError, CancelResult, UnavailableError
from hornbeamramp.workload import ClientAccount, JobPhase, StepSpec
from tests.model.cell import CONFIG_KEY, POOL, REQUEST_TIMEOUT, ModelCell, job
from tests.model.virtual_time import START_TIME, run_in_virtual_time

BOUND = timedelta(seconds=5)
# Share of the bound for which a VM without the store serves calls with keys at most.
SERVED_SHARE = 0.6
STUDIO = ClientAccount(AccountId("studio"), keys=(ApiKey("key-1"), ApiKey("key-2")))
SCHOOL = ClientAccount(AccountId("school"), keys=(ApiKey("key-3"),))
BATCH = RouteName("batch")
JOB = "a" * 16
LASTING = job(StepSpec(1, 1000, 100, long_running=True))


class AnsweringService:
    """Answers all calls, so that only the check of their keys can refuse them."""

    async def pending(self, queue, timeout):
        return 0


class KeyCell(ModelCell):
    def __init__(self, accounts=(STUDIO, SCHOOL), **options):
        super().__init__(accounts=accounts, revocation_bound=BOUND, **options)

    async def call(self, vm_name, *keys, host="kaya", path="/batch/"):
        """Returns the status of a call with some keys to one VM."""
        headers = SimpleNamespace(
            get=lambda name, default: default, getall=lambda name, default: list(keys)
        )
        request = SimpleNamespace(method="GET", host=host, path=path, headers=headers)
        server = CallerServer(self.vm_by_name[vm_name].node, AnsweringService())
        return (await server._handle(request)).status

    async def statuses(self, vm_name, key, seconds):
        """Calls a VM each 50 ms and returns pairs of the seconds passed and the status."""
        started_at = self.clock.boot_time()
        rows = []
        while (passed := self.clock.boot_time() - started_at) < timedelta(seconds=seconds):
            rows.append((passed.total_seconds(), await self.call(vm_name, key)))
            await asyncio.sleep(0.05)
        return rows

    def set_accounts(self, *accounts):
        self.account_by_id = {account.id: account for account in accounts}
        self.configure()

    def revoke(self, key):
        """Writes a configuration without a key."""
        self.set_accounts(
            *(
                msgspec.structs.replace(account, keys=tuple(k for k in account.keys if k != key))
                for account in self.account_by_id.values()
            )
        )

    def count_config_reads(self):
        """Returns a counter of the reads, other than watches, of the configuration, by VM."""
        reads = Counter()
        for vm in self.vm_by_name.values():

            async def list_prefix(prefix, vm=vm, list_prefix=vm.store.range):
                reads[vm.name] += prefix == "op/"
                return await list_prefix(prefix)

            vm.store.range = list_prefix
        return reads

    async def lose_owner(self):
        """Ends the owner's process without a successor, and returns the name of another VM."""
        owner = self.owner_vm()
        others = [vm for vm in self.vm_by_name.values() if vm is not owner]
        for vm in others:
            vm.node._claim_if_unowned = lambda pool: None
        await owner.kill()
        return others[0].name

    def cut_off(self, vm_name):
        self.vm_by_name[vm_name].store.is_down = True
        self.network.unreachable_addresses.add(vm_name)

    async def phase_for(self, account, vm_name="vm0", job_id=JOB):
        access = self.access(account)
        vm = self.vm_by_name[vm_name]
        return await vm.service.phase(self.queues[BATCH], JobId(job_id), REQUEST_TIMEOUT, access)

    async def cancel_for(self, account, vm_name="vm0", job_id=JOB):
        vm = self.vm_by_name[vm_name]
        return await vm.service.cancel(
            self.queues[BATCH], JobId(job_id), REQUEST_TIMEOUT, self.access(account)
        )

    @staticmethod
    def access(account):
        return None if account is None else Access(account.id, is_public=False)


@pytest.fixture
def in_cell():
    def run(scenario, cell_type=KeyCell, **options):
        async def main():
            async with cell_type(**options) as cell:
                await scenario(cell)
                assert cell.fleet.violations == []

        run_in_virtual_time(main())

    return run


ALL_VMS = ("vm0", "vm1", "vm2")


def test_call_is_answered_by_its_key_on_each_vm(in_cell):
    async def scenario(cell):
        for vm_name in ALL_VMS:
            assert await cell.call(vm_name, "key-1") == 200
            assert await cell.call(vm_name, "key-3") == 200
            assert await cell.call(vm_name) == 401
            assert await cell.call(vm_name, "key 1") == 401
            assert await cell.call(vm_name, "key-1", "key-3") == 401
            assert await cell.call(vm_name, "key-4") == 401
            assert await cell.call(vm_name, path="/no-such-queue/") == 404

    in_cell(scenario)


def test_revoked_key_is_refused_at_once_by_vms_in_touch(in_cell):
    async def scenario(cell):
        cell.revoke("key-1")
        await asyncio.sleep(0.05)
        for vm_name in ALL_VMS:
            assert await cell.call(vm_name, "key-1") == 401
            assert await cell.call(vm_name, "key-2") == 200

    in_cell(scenario)


@pytest.mark.parametrize("delay_s", [0.0, 0.3, 0.6, 0.9])
def test_revoked_key_is_refused_within_the_bound_by_a_vm_that_is_cut_off(in_cell, delay_s):
    """Guards against a VM cut off from the store and its peers that goes on serving the key."""

    async def scenario(cell):
        await asyncio.sleep(delay_s)
        cell.cut_off("vm2")
        cell.revoke("key-1")
        rows = await cell.statuses("vm2", "key-1", 8)
        assert rows[0][1] == 200
        assert {status for at_s, status in rows if at_s >= SERVED_SHARE * 5} == {503}
        assert {status for _, status in rows} == {200, 503}
        # Neither is a key that it never had called unknown.
        assert await cell.call("vm2", "key-9") == 503
        assert await cell.call("vm0", "key-1") == 401

    in_cell(scenario)


def test_key_is_served_again_when_the_vm_is_back(in_cell):
    async def scenario(cell):
        cell.cut_off("vm2")
        await asyncio.sleep(10)
        assert await cell.call("vm2", "key-1") == 503
        cell.vm_by_name["vm2"].store.is_down = False
        cell.network.unreachable_addresses.discard("vm2")
        await asyncio.sleep(2)
        assert await cell.call("vm2", "key-1") == 200

    in_cell(scenario)


def test_vm_whose_store_calls_are_relayed_goes_on_serving(in_cell):
    """Guards against calls refused for want of a proof that another VM can give, and against keys
    served longer there."""

    async def scenario(cell):
        cell.vm_by_name["vm2"].store.is_down = True
        rows = await cell.statuses("vm2", "key-1", 10)
        assert {status for _, status in rows} == {200}
        cell.revoke("key-1")
        rows = await cell.statuses("vm2", "key-1", 4)
        assert {status for at_s, status in rows if at_s >= 2} == {401}

    in_cell(scenario)


def test_call_does_not_wait_while_the_store_is_slow(in_cell):
    """Load: the store takes a hundred times as long as usual, so that the answers of the watch come
    later than proofs end. Guards against calls that wait for a proof then."""

    async def scenario(cell):
        vm = cell.vm_by_name["vm2"]
        vm.store.delay = timedelta(milliseconds=400)
        waits = []
        for _ in range(400):
            called_at = cell.clock.boot_time()
            assert await cell.call("vm2", "key-1") == 200
            waits.append((cell.clock.boot_time() - called_at).total_seconds())
            await asyncio.sleep(0.05)
        assert max(waits) < 0.01

    in_cell(scenario)


def test_added_key_is_served_at_once_although_the_watch_is_deaf(in_cell):
    """Guards against a caller that is turned away with 401 for a key that its operator has just
    added."""

    async def scenario(cell):
        async def hang(prefix, after, wait):
            await asyncio.Event().wait()

        for vm_name in ALL_VMS[1:]:
            cell.vm_by_name[vm_name].store.watch = hang
        await asyncio.sleep(1.1)
        cell.set_accounts(msgspec.structs.replace(STUDIO, keys=(ApiKey("key-9"),)))
        for vm_name in ALL_VMS[1:]:
            assert await cell.call(vm_name, "key-9") == 200

    in_cell(scenario)


def test_removed_queue_is_unknown_whatever_the_key(in_cell):
    """Guards against 401 or 503 for a queue that is no longer there."""

    async def scenario(cell):
        del cell.queues[BATCH]
        cell.configure()
        await asyncio.sleep(0.05)
        for keys in ((), ("key-1",), ("key-9",)):
            assert await cell.call("vm1", *keys) == 404

    in_cell(scenario)


def test_restarted_vm_serves_no_key_before_it_has_read_the_configuration(in_cell):
    async def scenario(cell):
        cell.revoke("key-1")
        await cell.vm_by_name["vm2"].kill()
        vm = await cell.start_vm("vm2")
        vm.store.is_down = True
        cell.network.unreachable_addresses.add("vm2")
        assert await cell.call("vm2", "key-1") == 503
        assert await cell.call("vm2", "key-2") == 503
        vm.store.is_down = False
        cell.network.unreachable_addresses.discard("vm2")
        await asyncio.sleep(3)
        assert await cell.call("vm2", "key-1") == 401
        assert await cell.call("vm2", "key-2") == 200

    in_cell(scenario)


def test_vm_that_is_told_to_stop_checks_keys_until_its_end(in_cell):
    """Guards against callers on open connections refused, or served with a revoked key, while
    their VM drains."""

    async def scenario(cell):
        await cell.vm_by_name["vm2"].node.release()
        rows = await cell.statuses("vm2", "key-1", 6)
        assert {status for _, status in rows} == {200}
        cell.revoke("key-1")
        await asyncio.sleep(0.05)
        assert await cell.call("vm2", "key-1") == 401

    in_cell(scenario)


def test_changes_of_the_time_of_day_change_nothing(in_cell):
    """Guards against proofs that end, or last for hours, as a clock is set."""

    async def scenario(cell):
        for hours in (1, -1):
            cell.clock.now = lambda hours=hours: START_TIME + timedelta(hours=hours)
            rows = await cell.statuses("vm2", "key-1", 5)
            assert {status for _, status in rows} == {200}
        cell.cut_off("vm2")
        await asyncio.sleep(4)
        assert await cell.call("vm2", "key-1") == 503

    in_cell(scenario)


def test_invalid_configuration_leaves_the_last_good_one_in_force(in_cell, log_records):
    """Guards against callers refused, or revoked keys back, for a mistake in the configuration."""

    async def scenario(cell):
        good = cell.store.item_by_key[CONFIG_KEY].value
        cell.revoke("key-1")
        await asyncio.sleep(0.05)
        cell.store.put(CONFIG_KEY, b"secret")
        await asyncio.sleep(5)
        assert await cell.call("vm1", "key-2") == 200
        assert await cell.call("vm1", "key-1") == 401
        # An older version is not taken back either.
        cell.store.put(CONFIG_KEY, good)
        await asyncio.sleep(0.05)
        assert await cell.call("vm1", "key-1") == 401

    in_cell(scenario)
    lines = [r.message for r in log_records if "rejected" in r.message]
    assert len(lines) == len(ALL_VMS)
    assert not any("secret" in line or "key-" in line for line in lines)


def test_calls_with_valid_keys_add_no_store_call(in_cell):
    """Load: twenty calls a second to each VM, in calm."""

    async def scenario(cell):
        await asyncio.sleep(5)
        reads = cell.count_config_reads()
        rows = await asyncio.gather(*(cell.statuses(vm, "key-1", 20) for vm in ALL_VMS))
        assert {status for vm_rows in rows for _, status in vm_rows} == {200}
        assert sum(reads.values()) == 0

    in_cell(scenario)


def test_crowd_with_unknown_keys_adds_one_store_call_a_second(in_cell):
    """Load: callers that send an unknown key again and again, twenty times a second to each VM."""

    async def scenario(cell):
        await asyncio.sleep(5)
        reads = cell.count_config_reads()
        rows = await asyncio.gather(*(cell.statuses(vm, "key-9", 20) for vm in ALL_VMS))
        assert {status for vm_rows in rows for _, status in vm_rows} == {401}
        assert max(reads.values()) <= 21

    in_cell(scenario)


def test_crowd_during_a_store_outage_adds_few_store_calls(in_cell):
    """Load: callers with forty keys, each twenty times a second to each VM, while the store is away
    for all."""

    async def scenario(cell):
        await asyncio.sleep(5)
        reads = cell.count_config_reads()
        for vm in cell.vm_by_name.values():
            vm.store.is_down = True
        keys = ("key-1", "key-2", "key-3", "key-9") * 10
        rows = await asyncio.gather(*(cell.statuses(vm, key, 8) for vm in ALL_VMS for key in keys))
        assert {status for vm_rows in rows for at_s, status in vm_rows if at_s > 3} == {503}
        # One read at a time, each of which takes until the store's time-out of 0.8 s.
        assert max(reads.values()) <= 10

    in_cell(scenario)


def test_cell_without_accounts_checks_nothing(in_cell):
    """Guards against a cost for cells that have no accounts."""

    async def scenario(cell):
        cell.cut_off("vm2")
        await asyncio.sleep(10)
        before = cell.store.calls
        assert await cell.call("vm2") == 200
        assert await cell.call("vm2", "key-9") == 200
        assert cell.store.calls == before

    in_cell(scenario, accounts=())


def test_accepted_job_of_a_removed_account_completes(in_cell):
    """Guards against accepted jobs that end with the key that they were sent with."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, job(), account=STUDIO.id)).refusal
        cell.set_accounts(SCHOOL)
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
        assert await cell.call("vm0", "key-1") == 401

    in_cell(scenario)


@pytest.mark.parametrize("vm_name", ALL_VMS)
def test_job_is_out_of_reach_of_other_accounts_on_each_vm(in_cell, vm_name):
    """Guards against another account that reads, cancels or takes over a job, and against 410,
    after which the job's caller would submit it again."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, LASTING, account=STUDIO.id)).refusal
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        with pytest.raises(AccessDeniedError):
            await cell.phase_for(SCHOOL, vm_name)
        with pytest.raises(AccessDeniedError):
            await cell.cancel_for(SCHOOL, vm_name)
        with pytest.raises(AccessDeniedError):
            await cell.submit(JOB, LASTING, vm=cell.vm_by_name[vm_name], account=SCHOOL.id)
        assert await cell.phase_for(STUDIO, vm_name) is JobPhase.RUNNING
        assert not (await cell.submit(JOB, LASTING, account=STUDIO.id)).refusal
        assert await cell.cancel_for(STUDIO, vm_name) is CancelResult.CANCELLED
        cell.fleet.cancelled_at[JobId(JOB)] = cell.clock.boot_time().total_seconds()

    in_cell(scenario)


def test_job_of_another_account_is_out_of_reach_while_its_pool_has_no_owner(in_cell):
    """Guards against the job's stored record that is shown to any account."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, LASTING, account=STUDIO.id)).refusal
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        other = await cell.lose_owner()
        with pytest.raises(AccessDeniedError):
            await cell.phase_for(SCHOOL, other)
        assert await cell.phase_for(STUDIO, other) is JobPhase.QUEUED

    in_cell(scenario)


def test_ended_job_of_another_account_is_out_of_reach_without_an_owner(in_cell):
    async def scenario(cell):
        assert not (await cell.submit(JOB, job(), account=STUDIO.id)).refusal
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
        other = await cell.lose_owner()
        with pytest.raises(AccessDeniedError):
            await cell.phase_for(SCHOOL, other)
        assert await cell.phase_for(STUDIO, other) is JobPhase.COMPLETED

    in_cell(scenario)


def test_undecodable_progress_of_an_accounts_job_makes_its_phase_unavailable(in_cell):
    """Guards against an unexpected error, answered 504 although nothing is unknown."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, job(), account=STUDIO.id)).refusal
        await cell.wait_for_phase(JOB, JobPhase.COMPLETED)
        other = await cell.lose_owner()
        cell.store.put(progress_key(POOL, JobId(JOB)), b"odd")
        with pytest.raises(UnavailableError, match="can't be decoded"):
            await cell.phase_for(STUDIO, other)

    in_cell(scenario)


def test_job_of_another_account_is_out_of_reach_after_a_takeover(in_cell):
    """Guards against a successor that doesn't read the account from the job's record."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, LASTING, account=STUDIO.id)).refusal
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        await cell.owner_vm().kill()
        await asyncio.sleep(3)
        other = (await cell.wait_for_owner()).name
        with pytest.raises(AccessDeniedError):
            await cell.phase_for(SCHOOL, other)
        with pytest.raises(AccessDeniedError):
            await cell.cancel_for(SCHOOL, other)
        assert await cell.phase_for(STUDIO, other) is not None

    in_cell(scenario)


def test_two_accounts_that_send_one_id_at_once_have_one_job(in_cell):
    """Guards against a 200 for a job that is another account's, while its record is written."""

    async def scenario(cell):
        results = await asyncio.gather(
            *(
                cell.submit(JOB, LASTING, vm=cell.vm_by_name[vm_name], account=account.id)
                for vm_name, account in (("vm0", STUDIO), ("vm1", SCHOOL))
            ),
            return_exceptions=True,
        )
        assert sorted(isinstance(result, AccessDeniedError) for result in results) == [False, True]

    in_cell(scenario)


NEW_POOL = PoolName("proofs")


class MovedCell(KeyCell):
    """Has a second pool, to which the queue moves."""

    def __init__(self, **options):
        super().__init__(**options)
        self.pools = [POOL, NEW_POOL]
        self.configure()

    def move(self):
        self.queues[BATCH] = msgspec.structs.replace(self.queues[BATCH], pool=NEW_POOL)
        self.configure()


def test_job_of_another_account_is_out_of_reach_in_its_queues_former_pool(in_cell):
    """Guards against a submission that is acknowledged, as its id is recorded in another pool."""

    async def scenario(cell):
        await asyncio.sleep(2)
        assert not (await cell.submit(JOB, LASTING, account=STUDIO.id)).refusal
        await cell.wait_for_phase(JOB, JobPhase.RUNNING)
        cell.move()
        await asyncio.sleep(1)
        with pytest.raises(AccessDeniedError):
            await cell.phase_for(SCHOOL)
        with pytest.raises(AccessDeniedError):
            await cell.submit(JOB, LASTING, account=SCHOOL.id)
        with pytest.raises(AccessDeniedError):
            await cell.cancel_for(SCHOOL)
        assert not (await cell.submit(JOB, LASTING, account=STUDIO.id)).refusal
        assert job_key(NEW_POOL, JobId(JOB)) not in cell.store.item_by_key
        assert await cell.phase_for(STUDIO) is JobPhase.RUNNING

    in_cell(scenario, cell_type=MovedCell)


def test_job_without_an_account_is_open_to_any_valid_key(in_cell):
    """Guards against jobs that nobody can read any more, once a cell gets accounts."""

    async def scenario(cell):
        assert not (await cell.submit(JOB, LASTING)).refusal
        cell.set_accounts(STUDIO)
        await asyncio.sleep(0.1)
        assert await cell.phase_for(STUDIO) is not None

    in_cell(scenario, accounts=())
