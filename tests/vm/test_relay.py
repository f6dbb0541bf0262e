"""Calls of the store that a VM makes for another one."""

import asyncio

from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.ids import VmId
from hornbeamramp.states import Step
from hornbeamramp.statestore import StateStore
from hornbeamramp.vm.relay import RelayedStore, RelayOutcome, RelayRequest, StoreOperation
from tests.model.virtual_time import LoopClock, run_in_virtual_time


class LargeWatchStore(StateStore):
    """Renews leases, and fails watches, whose answers are too large for the link."""

    def __init__(self) -> None:
        self.renewals = 0

    async def watch(self, prefix, after, wait):
        await asyncio.sleep(1.6)
        raise StoreUnavailableError(Step.JOURNAL, "store", "no answer")

    async def renew_lease(self, lease):
        self.renewals += 1

    async def get(self, key):
        raise NotImplementedError

    range = commit = grant_lease = end_lease = get


# Guards against a VM that stops calling the store directly, and relaying the calls of others, as a
# watch of another VM got no answer in time.
def test_failed_watch_of_another_vm_leaves_the_direct_way_in_use():
    async def scenario():
        direct = LargeWatchStore()
        store = RelayedStore(direct, None, LoopClock(), lambda: {VmId("other"): "other"})
        watch = RelayRequest(StoreOperation.WATCH, "op/", wait_ms=1000)
        assert (await store.serve(watch)).outcome is RelayOutcome.UNAVAILABLE
        await store.renew_lease(1)
        renewal = RelayRequest(StoreOperation.RENEW, lease=2)
        assert (await store.serve(renewal)).outcome is RelayOutcome.DONE
        assert direct.renewals == 2

    run_in_virtual_time(scenario())
