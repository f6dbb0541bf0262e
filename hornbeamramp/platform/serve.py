"""Runs the process of one entry VM on the platform, from its settings to its shutdown."""

import asyncio
import gc
import os
import signal
import uuid
from datetime import timedelta
from pathlib import Path

import logbook
import msgspec
from result import Err, Result

from hornbeamramp.clock import Clock, SystemClock
from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import DataCentreId, VmId
from hornbeamramp.listener_bounds import peer_bounds
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

__all__ = ["SETTINGS_VARIABLE", "note_sigterm", "serve"]

SETTINGS_VARIABLE = "HORNBEAMRAMP_CONFIG"
# Each is on unless it is set to "off".
LEARNING_VARIABLE = "HORNBEAMRAMP_LEARNED_DURATIONS"
HEADROOM_VARIABLE = "HORNBEAMRAMP_HEADROOM"
# Times before the platform's kill, at most; a shorter grace period has shares of it instead. Idle
# connections are closed first. Requests get their response half a second later. The rest is for a
# busy processor, on which SIGTERM and each timer may take effect up to a second late.
CLOSE_RESERVE = timedelta(seconds=2)
RESPONSE_RESERVE = timedelta(seconds=1.5)
EXIT_RESERVE = timedelta(milliseconds=300)
# Time for callers' requests that were routed here before the platform noticed the shutdown: two
# readiness probes of a second each, and a margin.
ROUTING_LAG = timedelta(milliseconds=2500)

# Ports at which other VMs call this one.
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
        self.cross_rack_factor = settings.cross_rack_factor
        self.revocation_bound = settings.revocation_bound
        self.learns_durations = _is_on(LEARNING_VARIABLE)
        self.keeps_headroom = _is_on(HEADROOM_VARIABLE)

    def decode_config(self, item: Item) -> Result[ClusterConfig, str]:
        return decoding.decode_config(item)

    def decode_worker(self, item: Item) -> Result[WorkerListing, str]:
        return decoding.decode_worker(item)

    async def close(self) -> None:
        await self.store.close()
        await self.workers.close()
        await self.advice.close()


def _is_on(variable: str) -> bool:
    value = os.environ.get(variable, "on")
    if value not in ("on", "off"):
        _log.warning("{}: {!r} is neither on nor off, taken as on", variable, value)
    return value != "off"


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
    bounds = peer_bounds(settings.limits)
    server = PeerServer(address, vm, data_centre, ports=ports, bounds=bounds)
    node = Node(identity, adapter, clock, peers, server)
    callers = CallerServer(node, CallerService(node), settings.limits)
    stopped_at = note_sigterm(clock)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, lambda: _on_reload(file, settings))
    await server.start()
    await node.start()
    setup_metrics(settings.node_name)
    if not stopped_at.done():
        metrics = f"{settings.ip}:{METRICS_PORT}"
        await callers.start(settings.listen.frontend, settings.listen.ready, metrics)
    # Objects created during start-up live as long as the process. Freezing excludes them from
    # garbage collection, which keeps collection pauses short.
    gc.collect()
    gc.freeze()
    _log.info("started {} boot {} in {}", vm, identity.boot, data_centre)
    times = ShutdownTimes.after(await stopped_at, settings.shutdown_grace)
    _log.info("stopping {}", vm)
    # Pools are released beside the callers' requests, as a release waits for the store.
    release = asyncio.create_task(_release(node))
    await _drain(callers, clock, times)
    try:
        async with asyncio.timeout((times.exit_at - clock.boot_time()).total_seconds()):
            await release
            await node.stop()
            await server.stop(timedelta(milliseconds=200))
            await peers.close()
            await adapter.close()
    except TimeoutError:
        _log.warning("stopped {} before its pools were released", vm)
    except Exception:
        _log.exception("shutdown of {} failed unexpectedly", vm)
    _log.info("stopped {}", vm)
    # The default actions, which apply once the loop is closed, would kill the process.
    loop.remove_signal_handler(signal.SIGHUP)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    return 0


class ShutdownTimes(msgspec.Struct, frozen=True):
    """Boot times of a shutdown.

    `not_routed_at`
        The platform has noticed the shutdown and sends no more callers here.
    `close_at`
        Idle connections are closed.
    `stops_at`
        All requests have their response.
    `exit_at`
        The process ends.
    """

    not_routed_at: timedelta
    close_at: timedelta
    stops_at: timedelta
    exit_at: timedelta

    @classmethod
    def after(cls, stopped_at: timedelta, grace: timedelta) -> "ShutdownTimes":
        """Returns the times after a SIGTERM that the platform's kill follows after ``grace``."""
        close_at = stopped_at + grace - min(CLOSE_RESERVE, grace / 3)
        return cls(
            min(stopped_at + ROUTING_LAG, close_at),
            close_at,
            stopped_at + grace - min(RESPONSE_RESERVE, grace / 4),
            stopped_at + grace - min(EXIT_RESERVE, grace / 20),
        )


async def _drain(callers: CallerServer, clock: Clock, times: ShutdownTimes) -> None:
    """Serves callers until they are gone or the time is up, then closes their connections."""
    callers.begin_drain(times.stops_at)
    await clock.sleep(times.not_routed_at - clock.boot_time())
    await callers.drain(times.close_at)
    await callers.close()


async def _release(node: Node) -> None:
    try:
        await node.release()
    except Exception:
        # Other VMs may claim the pools once the lease has lapsed.
        _log.exception("release of the pools failed unexpectedly")


def note_sigterm(clock: Clock) -> asyncio.Future[timedelta]:
    """Returns a future of the boot time of the first SIGTERM.

    The handler runs between two instructions of the interpreter. One of the event loop would run
    once the loop is free, and on a busy processor the kill would come sooner than expected.
    """
    loop = asyncio.get_running_loop()
    stopped_at: asyncio.Future[timedelta] = loop.create_future()

    def set_time(now: timedelta) -> None:
        if not stopped_at.done():
            stopped_at.set_result(now)

    def note(number: int, frame: object) -> None:
        loop.call_soon_threadsafe(set_time, clock.boot_time())

    signal.signal(signal.SIGTERM, note)
    return stopped_at


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
