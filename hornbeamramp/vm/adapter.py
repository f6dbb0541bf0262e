"""Interface to the platform, besides the store and worker interfaces of the other packages."""

from abc import ABC, abstractmethod
from datetime import timedelta

import msgspec
from result import Result

from hornbeamramp.fleet import WorkerClient, WorkerListing
from hornbeamramp.ids import DataCentreId, UpstreamId, VmId
from hornbeamramp.poolowner import Advice
from hornbeamramp.statestore import Item, StateStore
from hornbeamramp.workload import ClusterConfig, StepKey

__all__ = ["Adapter", "AdviceClient", "VmIdentity"]


class VmIdentity(msgspec.Struct, frozen=True):
    """Identifies this process. ``address`` is where other VMs reach it, at the first of ``ports``
    consecutive ports; ``boot`` differs with each start. ``size`` is the speed of the VM's
    processor, in standard cores."""

    vm: VmId
    data_centre: DataCentreId
    address: str
    boot: str
    size: float = 1.0
    ports: int = 1


class AdviceClient(ABC):
    """The advice service, which serves one call at a time for each VM."""

    @abstractmethod
    async def ask(self, step: StepKey, workers: list[UpstreamId], timeout: timedelta) -> Advice:
        """Returns advice on a step for the workers named. Raises `AdviceUnavailableError`."""


class Adapter(ABC):
    """Implements the platform's protocols.

    `config_key`, `config_prefix`
        Key of the operators' configuration in the store, and the prefix to watch for it.
    `worker_prefix`
        Prefix under which workers keep their entries in the store.
    `job_retention`
        Time for which the state of an ended job can be queried.
    `longest_lease`
        Longest lease that a worker grants for a task's run.
    `revocation_bound`
        Time after the operator's change within which a revoked key is refused on every VM, in touch
        with the store or not; ``None`` if there is no such bound.
    `learns_durations`, `keeps_headroom`
        Whether pool owners learn durations from runs, and keep room for short urgent steps.
    `cross_rack_factor`
        Factor by which a gang that prefers one rack takes longer on several.
    """

    store: StateStore
    workers: WorkerClient
    advice: AdviceClient
    config_key: str
    config_prefix: str
    worker_prefix: str
    job_retention: timedelta
    longest_lease: timedelta
    revocation_bound: timedelta | None = None
    learns_durations: bool = True
    keeps_headroom: bool = True
    cross_rack_factor: float = 2.0

    @abstractmethod
    def decode_config(self, item: Item) -> Result[ClusterConfig, str]:
        """Returns the configuration, or why it can't be used."""

    @abstractmethod
    def decode_worker(self, item: Item) -> Result[WorkerListing, str]:
        """Returns a worker's listing, or why it can't be used."""

    async def close(self) -> None:  # noqa: B027 - adapters without connections need none
        """Closes the adapter's connections."""
