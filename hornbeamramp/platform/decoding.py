"""Decodes the operators' configuration, worker entries and jobs from the platform's format."""

import ipaddress
import re
from datetime import timedelta
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from hornbeamramp.fleet import WorkerListing
from hornbeamramp.ids import AccountId, ApiKey, DataCentreId, PoolName, RouteName, UpstreamId
from hornbeamramp.resources import Resources
from hornbeamramp.statestore import Item
from hornbeamramp.workload import (
    AccountQuota,
    AdviceTiming,
    ClientAccount,
    ClusterConfig,
    JobSpec,
    Pool,
    Queue,
    RequestLimits,
    StepSpec,
    check_job,
)

__all__ = [
    "CONFIG_KEY",
    "CONFIG_PREFIX",
    "WORKER_PREFIX",
    "decode_config",
    "decode_job",
    "decode_worker",
]

CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
WORKER_PREFIX = "servers/"


# Largest integer that every JSON library reads exactly. Larger ones can't be recorded in the store.
MAX_INTEGER = 2**53 - 1
# About 30 years, within the range of ``timedelta``.
MAX_MILLISECONDS = 1e12

# Worker ids go into an HTTP header and into records. The store's keys have at most 200 bytes.
WORKER_ID = re.compile(r"[!-~]{1,200}")
# The platform has no name lookups, so a worker's address is always IPv4.
ADDRESS = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})")
MAX_PORT = 65_535
# Far above any machine. A larger capacity is an error, and the tasks placed by it would be too many
# for the worker.
MAX_PROCESSORS_MILLI = 10_000_000
MAX_MEMORY_MIB = 1_000_000_000
MAX_ACCELERATORS = 10_000
# Workers have two labels. Those of all workers are searched for each step that is placed.
MAX_LABELS = 64
MAX_LABEL_LENGTH = 200
# The wait of an advice request grows by a second for each level of priority, and the time limit of
# a job is its stretch times the length of its steps; both have to stay within ``timedelta``.
MAX_PRIORITY = 1_000_000
MAX_STRETCH = 1000.0
# Versions are sent between VMs as 64-bit integers.
MAX_VERSION = 2**63 - 1
# A key travels in a header, within the limit of a request's head.
MAX_KEY_LENGTH = 1000
MAX_WEIGHT = 1e9
# Characters of a wrong value that an error repeats.
MAX_QUOTED = 60

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Label = Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]

# Errors of the decoder. A document that is nested too deeply raises ``RecursionError``.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class WireAdviceTiming(msgspec.Struct, frozen=True, rename="kebab"):
    """Duration of an advice request: ``decide_ms`` plus ``each_ms`` for each worker named. Tickets
    are valid for ``valid_ms``."""

    decide_ms: Milliseconds
    each_ms: Milliseconds
    valid_ms: Milliseconds


class WireRoute(msgspec.Struct, frozen=True, rename="kebab"):
    """A route of the platform, which is a queue here."""

    name: str
    host: str
    prefix: str
    service: str
    priority: Annotated[int, msgspec.Meta(ge=0, le=MAX_PRIORITY)] = 0
    max_attempts: Count = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)] = 1.0
    target_completion_ms: Milliseconds = 0.0
    timeout_ms: Milliseconds = 3000.0
    advice: WireAdviceTiming | None = None
    public: bool = False


class WireService(msgspec.Struct, frozen=True, rename="kebab"):
    """A service of the platform, which is a pool here. ``admission_check`` tells whether its
    workers refuse runs that exceed their free capacity."""

    name: str
    admission_check: bool = False
    standby: bool = False
    max_connections: int = 64
    health_path: str = ""


class WireLimits(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)] = 16_384
    max_body_bytes: Count = 262_144
    header_timeout_ms: Milliseconds = 3000.0
    idle_timeout_ms: Milliseconds = 15_000.0


class WireQuota(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits of what an account has running; 0 is none. ``cpu`` is in thousandths of a core."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class WireTenant(msgspec.Struct, frozen=True, rename="kebab"):
    """A tenant of the platform, which is a client account here."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_LABEL_LENGTH)]
    api_keys: list[Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_LENGTH)]] = []
    weight: Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)] = 1.0
    max_count: WireQuota = WireQuota()


class WireConfig(msgspec.Struct, frozen=True):
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits = WireLimits()
    tenants: list[WireTenant] = []


class WireCapacity(msgspec.Struct, frozen=True, rename="kebab"):
    """``cpu`` is in thousandths of a core. A worker without processors can run nothing."""

    cpu: Annotated[int, msgspec.Meta(ge=1, le=MAX_PROCESSORS_MILLI)]
    mem_mb: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MIB)]
    gpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0


class WireWorker(msgspec.Struct, frozen=True, rename="kebab"):
    """A worker's entry. ``labels`` are its kind and its rack, ``born`` the Unix time in ms at which
    it started."""

    service: str
    address: str
    zone: str
    state: str
    capacity: WireCapacity
    labels: Annotated[list[Label], msgspec.Meta(max_length=MAX_LABELS)] = []
    born: Count = 0
    drain_remaining_ms: Milliseconds | None = None


class WireStep(msgspec.Struct, frozen=True, rename="kebab"):
    """``cpu`` is in thousandths of a core; ``max_per_server`` limits the tasks of one occurrence of
    the step on each worker."""

    count: Count = 0
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimated_ms: Milliseconds = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    data_rack: str = ""
    required_label: str = ""
    max_per_server: Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Milliseconds = 0
    fills: bool = False
    may_miss: Count | None = None


class WireJob(msgspec.Struct, frozen=True, rename="kebab"):
    """``spec`` is passed to each task unchanged."""

    steps: list[WireStep]
    spec: str = ""
    repetitions: Count = 0
    start_at_ms: Integer = 0
    interval_ms: Integer = 0


def _milliseconds(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def decode_config(item: Item) -> Result[ClusterConfig, str]:
    """Decodes the operators' configuration."""
    try:
        wire = msgspec.json.decode(item.value, type=WireConfig)
    except DECODE_ERRORS as error:
        return Err(str(error))
    queues = {RouteName(route.name): _queue(route) for route in wire.routes}
    pools = {
        PoolName(service.name): Pool(
            PoolName(service.name),
            service.admission_check,
            service.standby,
            service.max_connections,
            service.health_path,
        )
        for service in wire.services
    }
    problem = _check_tenants(wire.tenants)
    if problem:
        return Err(problem)
    accounts = {AccountId(tenant.name): _account(tenant) for tenant in wire.tenants}
    limits = RequestLimits(
        max_header_bytes=wire.limits.max_header_bytes,
        max_body_bytes=wire.limits.max_body_bytes,
        header_timeout=_milliseconds(wire.limits.header_timeout_ms),
        idle_timeout=_milliseconds(wire.limits.idle_timeout_ms),
    )
    return Ok(ClusterConfig(wire.version, queues, pools, limits, accounts))


def _check_tenants(tenants: list[WireTenant]) -> str:
    """Returns what is wrong with the tenants; empty if names and keys are unique. Keys are secrets,
    so the text doesn't repeat them."""
    names: set[str] = set()
    name_by_key: dict[str, str] = {}
    for number, tenant in enumerate(tenants):
        if tenant.name in names:
            return f"tenants[{number}].name: {tenant.name[:MAX_QUOTED]!r} occurs twice"
        names.add(tenant.name)
        for key in tenant.api_keys:
            if key in name_by_key:
                other = name_by_key[key][:MAX_QUOTED]
                return f"tenants[{number}].api-keys: a key of {other!r} occurs twice"
            name_by_key[key] = tenant.name
    return ""


def _account(tenant: WireTenant) -> ClientAccount:
    quota = tenant.max_count
    return ClientAccount(
        id=AccountId(tenant.name),
        weight=tenant.weight,
        quota=AccountQuota(quota.cpu, quota.mem_mb, quota.gpu),
        keys=tuple(ApiKey(key) for key in tenant.api_keys),
    )


def _queue(route: WireRoute) -> Queue:
    timing = route.advice
    return Queue(
        name=RouteName(route.name),
        pool=PoolName(route.service),
        host=route.host,
        prefix=route.prefix,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target=_milliseconds(route.target_completion_ms),
        timeout=_milliseconds(route.timeout_ms),
        advice=(
            None
            if timing is None
            else AdviceTiming(
                _milliseconds(timing.decide_ms),
                _milliseconds(timing.each_ms),
                _milliseconds(timing.valid_ms),
            )
        ),
        is_public=route.public,
    )


def _check_address(address: str) -> str:
    """Returns what is wrong with a worker's address; empty if it can be called."""
    match = ADDRESS.fullmatch(address)
    try:
        host = ipaddress.IPv4Address(match[1]) if match is not None else None
    except ipaddress.AddressValueError:
        host = None
    if match is None or host is None or int(match[2]) > MAX_PORT:
        return f"address: {address[:MAX_QUOTED]!r} is not an IPv4 address with a port"
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        return f"address: {address!r} is not the address of a machine"
    return ""


def decode_worker(item: Item) -> Result[WorkerListing, str]:
    """Decodes a worker's entry. The error names the field."""
    worker = item.key.removeprefix(WORKER_PREFIX)
    if not WORKER_ID.fullmatch(worker):
        return Err("key: the worker id is not 1 to 200 printable ASCII characters without spaces")
    try:
        wire = msgspec.json.decode(item.value, type=WireWorker)
    except DECODE_ERRORS as error:
        return Err(str(error))
    if wire.state not in ("ready", "draining"):
        return Err(f"state: {wire.state[:MAX_QUOTED]!r} is not known")
    problem = _check_address(wire.address)
    if problem:
        return Err(problem)
    remaining = wire.drain_remaining_ms
    return Ok(
        WorkerListing(
            worker=UpstreamId(worker),
            pool=PoolName(wire.service),
            address=wire.address,
            data_centre=DataCentreId(wire.zone),
            draining=wire.state == "draining",
            capacity=Resources(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu, 0, 0),
            labels=tuple(wire.labels),
            boot_ms=wire.born,
            drain_remaining=None if remaining is None else _milliseconds(remaining),
        )
    )


def decode_job(body: bytes) -> Result[JobSpec, str]:
    """Decodes a submitted job. The error names the field."""
    try:
        wire = msgspec.json.decode(body, type=WireJob)
    except DECODE_ERRORS as error:
        return Err(str(error))
    steps = tuple(_step(step) for step in wire.steps)
    return check_job(
        JobSpec(wire.spec, steps, wire.repetitions, wire.start_at_ms, wire.interval_ms)
    )


def _step(wire: WireStep) -> StepSpec:
    return StepSpec(
        count=wire.count,
        processors_milli=wire.cpu,
        memory_mib=wire.mem_mb,
        accelerators=wire.gpu,
        estimate_ms=int(wire.estimated_ms),
        after=tuple(wire.after),
        checkpointing=wire.checkpointing,
        gang=wire.gang,
        same_rack=wire.same_rack,
        data_rack=wire.data_rack,
        required_label=wire.required_label,
        max_per_worker=wire.max_per_server,
        speculative=wire.speculative,
        long_running=wire.long_running,
        image=wire.image,
        response_target_ms=int(wire.target_ms),
        fills=wire.fills,
        max_unavailable=wire.may_miss,
    )
