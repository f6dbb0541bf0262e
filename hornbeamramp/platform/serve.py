"""Runs the process of one entry VM on the platform, from its settings to its shutdown."""

import asyncio
import gc
import os
import signal
import uuid
from datetime import timedelta
from pathlib import Path

import logbook
from result import Err, Result

from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import DataCentreId, VmId
from hornbeamramp.logs import NonBlockingHandler
from hornbeamramp.platform import decoding
from hornbeamramp.platform.advice import PlatformAdvice
from hornbeamramp.platform.callers import CallerServer
from hornbeamramp.platform.settings import PlatformSettings, read_settings
from hornbeamramp.platform.store import PlatformStore
from hornbeamramp.platform.workers import PlatformWorkers
from hornbeamramp.rpc import PeerClient, PeerServer
from hornbeamramp.statestore import Item
from hornbeamramp.telemetry import setup_metrics
from hornbeamramp.vm import Adapter, CallerService, Node, VmIdentity
from hornbeamramp.vm.messages import REPLY_TYPE_BY_REQUEST_TYPE
from hornbeamramp.workload import ClusterConfig

__all__ = ["SETTINGS_VARIABLE", "serve"]

SETTINGS_VARIABLE = "HORNBEAMRAMP_CONFIG"
# Part of the grace period between SIGTERM and the kill that is not used for draining: time to close
# connections, also on a busy processor.
SHUTDOWN_RESERVE = timedelta(seconds=1.5)
# Time for callers' requests that were routed here before the platform noticed the shutdown: two
# readiness probes of a second each, and a margin.
ROUTING_LAG = timedelta(milliseconds=2500)

# Ports at which other VMs call this one. Each takes up calls independently of the others, so that
# those of all VMs to a pool's owner do not queue up behind each other.
PEER_PORTS = 8

# Must match deploy/system.toml.
METRICS_PORT = 9464

_log = logbook.Logger("serve")


class PlatformAdapter(Adapter):
    """Clients of the platform's store, workers and advice service, and decoders of their data."""

    config_key = decoding.CONFIG_KEY
    config_prefix = decoding.CONFIG_PREFIX
    worker_prefix = decoding.WORKER_PREFIX

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self.store: PlatformStore = PlatformStore(settings.platform.address, clock)
        self.workers: PlatformWorkers = PlatformWorkers(clock)
        self.advice: PlatformAdvice = PlatformAdvice(settings.advice, clock)
        self.job_retention = settings.job_retention
        self.longest_lease = settings.longest_lease

    def decode_config(self, item: Item) -> Result[ClusterConfig, str]:
        return decoding.decode_config(item)

    def decode_worker(self, item: Item) -> Result[WorkerListing, str]:
        return decoding.decode_worker(item)

    async def close(self) -> None:
        await self.store.close()
        await self.workers.close()
        await self.advice.close()


async def serve(logs: NonBlockingHandler) -> int:
    """Serves until SIGTERM and returns the exit status. Log lines carry the VM name from the
    settings."""
    file = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings = read_settings(file)
    if isinstance(settings, Err):
        _log.error("can't start, invalid settings: {}", settings.err_value)
        return 2
    logs.vm = settings.ok_value.node_name
    return await _serve(settings.ok_value, file)


async def _serve(settings: PlatformSettings, file: Path) -> int:
    clock = SystemClock()
    vm, data_centre = VmId(settings.node_name), DataCentreId(settings.zone)
    address = f"{settings.ip}:{settings.internal_ports[0]}"
    first_port, last_port = settings.internal_ports
    ports = min(PEER_PORTS, last_port - first_port + 1)
    boot = uuid.uuid4().hex
    identity = VmIdentity(vm, data_centre, address, boot, settings.relative_speed, ports)
    adapter = PlatformAdapter(settings, clock)
    peers = PeerClient(vm, data_centre, None, REPLY_TYPE_BY_REQUEST_TYPE)
    server = PeerServer(address, vm, data_centre, ports=ports)
    node = Node(identity, adapter, clock, peers, server)
    callers = CallerServer(node, CallerService(node))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _on_reload(file, settings))
    await server.start()
    await node.start()
    setup_metrics(settings.node_name)
    metrics = f"{settings.ip}:{METRICS_PORT}"
    await callers.start(settings.listen.frontend, settings.listen.ready, metrics)
    # Objects created during start-up live as long as the process. Freezing excludes them from
    # garbage collection, which keeps collection pauses short.
    gc.collect()
    gc.freeze()
    _log.info("started {} boot {} in {}", vm, identity.boot, data_centre)
    await stop.wait()
    _log.info("stopping {}", vm)
    callers.is_draining = True
    await node.release()
    grace = settings.shutdown_grace - SHUTDOWN_RESERVE
    started = clock.boot_time()
    await clock.sleep(min(ROUTING_LAG, grace))
    await callers.drain(max(grace - (clock.boot_time() - started), timedelta(0)))
    await callers.close()
    await node.stop()
    await server.stop(timedelta(milliseconds=200))
    await peers.close()
    await adapter.close()
    _log.info("stopped {}", vm)
    return 0


def _on_reload(file: Path, current: PlatformSettings) -> None:
    """Checks the settings file on SIGHUP. Settings are applied only at start, and the addresses of
    a running process can't change."""
    settings = read_settings(file)
    if isinstance(settings, Err):
        _log.error("reload: invalid settings, keeping the old ones: {}", settings.err_value)
    elif settings.ok_value == current:
        _log.info("reload: settings unchanged")
    else:
        _log.info("reload: settings changed, restart to apply them")
