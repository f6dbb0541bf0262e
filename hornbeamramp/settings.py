"""Settings of one entry process, read from a YAML file and validated by msgspec."""

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from hornbeamramp.ids import DataCentreId, VmId

__all__ = [
    "AdminSettings",
    "DataCentreSettings",
    "LimitSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
    "SettingsError",
    "TelemetrySettings",
    "TimingSettings",
    "TlsSettings",
    "load_settings",
]


class SettingsError(msgspec.Struct, frozen=True):
    """A settings file that can't be used. ``message`` names the path in the file."""

    file: str
    message: str


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class PlatformSettings(_Section, frozen=True, kw_only=True):
    """Connection to the platform's service.

    `adapter`
        Name of the platform adapter.
    `address`
        ``ip:port`` of the platform's service.
    `timeout_ms`
        Timeout of a call.
    `calls_per_second`
        Rate limit of this process's calls to the store.
    """

    adapter: str = "http"
    address: str
    timeout_ms: int = 2000
    calls_per_second: float = 20.0


class AdminSettings(_Section, frozen=True, kw_only=True):
    """Listener for operators. Without a token there is no listener.

    `address`
        ``ip:port`` to listen on; port 0 chooses a free port.
    `token_file`
        File that contains the bearer token. The token itself is never part of the settings.
    """

    address: str
    token_file: str


class TlsSettings(_Section, frozen=True, kw_only=True):
    """Key files in PEM format for both listeners and the connections between entry VMs.

    `certificate_file`
        Certificate of this VM, valid for its IP address, with its chain.
    `key_file`
        Private key of the certificate, not encrypted.
    `ca_file`
        Certificates of the authority that must have signed the certificates of the other entry
        VMs. Without it, peers are not asked for a certificate.
    """

    certificate_file: str
    key_file: str
    ca_file: str | None = None


class LimitSettings(_Section, frozen=True, kw_only=True):
    """Limits on the size, number and receive time of callers' requests.

    `body_bytes`
        Maximum size of a request's body.
    `header_bytes`
        Maximum total size of a request's headers.
    `waiting_requests`
        Maximum number of submits waiting on this VM; further ones are rejected with 429.
    `request_timeout_ms`
        Maximum time for receiving the headers of a request, and for receiving its body.
    `memory_mb`
        Memory of the process in MiB. An eighth of it bounds the bytes of all callers' requests
        being read or handled, a sixteenth those of operators and of other VMs. If 0, not known:
        64, 16 and 32 MiB.
    `max_fds`
        File descriptors of the process. Less 200, half of them bounds the connections of callers, a
        quarter those of other VMs; operators have 64. If 0, not known: 4,096 each.
    """

    body_bytes: int = 1_000_000
    header_bytes: int = 8_192
    waiting_requests: int = 10_000
    request_timeout_ms: int = 10_000
    memory_mb: int = 0
    max_fds: int = 0


class TimingSettings(_Section, frozen=True, kw_only=True):
    """Intervals and timeouts, all in milliseconds.

    `lease_ttl_ms`
        Lifetime of the process lease after a renewal.
    `renew_ms`
        Interval between renewals of the process lease.
    `drift_margin_ms`
        Safety margin for clock drift.
    `send_bound_ms`
        Maximum time between the check of the ownership proof and the arrival of a start at the
        upstream.
    `heartbeat_ms`
        Interval between heartbeats within the data centre.
    `remote_heartbeat_ms`
        Interval between heartbeats to other data centres.
    `task_lease_ms`
        Duration of a task's lease at its upstream. Longer than the process lease and a claim
        together, so that running tasks survive the loss of their shard's owner.
    `usage_ms`
        Interval at which the resource usage of tasks is read.
    `drain_ms`
        Delay between becoming not ready and rejecting new requests.
    """

    lease_ttl_ms: int = 6_000
    renew_ms: int = 2_000
    drift_margin_ms: int = 300
    send_bound_ms: int = 500
    heartbeat_ms: int = 1_000
    remote_heartbeat_ms: int = 5_000
    task_lease_ms: int = 15_000
    usage_ms: int = 2_000
    drain_ms: int = 1_000


class LogSettings(_Section, frozen=True, kw_only=True):
    """Log output on standard error.

    `level`
        ``debug``, ``info``, ``warning`` or ``error``.
    `format`
        ``text``, or ``json`` for one object per line.
    """

    level: str = "info"
    format: str = "text"


class TelemetrySettings(_Section, frozen=True, kw_only=True):
    """Metrics and traces.

    `metrics`
        Whether ``/metrics`` of the admin API includes the scheduler's metrics.
    `traces`
        ``none``, or ``log`` for a JSON line per finished span.
    """

    metrics: bool = True
    traces: str = "none"


class DataCentreSettings(_Section, frozen=True, kw_only=True):
    """A data centre of the cell.

    `region`
        Name of its region, for information; scheduling does not use it.
    `distance_ms`
        One-way network delay to other data centres, by name.
    """

    region: str = "default"
    distance_ms: dict[DataCentreId, float] = {}


class Settings(_Section, frozen=True, kw_only=True):
    """Settings of one entry process.

    `vm`
        Id of this VM, unique in the cell.
    `data_centre`
        Data centre of this VM.
    `caller_address`
        ``ip:port`` to listen on for callers.
    `peer_address`
        ``ip:port`` to listen on for other entry VMs.
    `seed_peers`
        ``ip:port`` of other entry VMs, asked for tables and members while the store is
        unavailable.
    `size`
        Weight of this VM relative to the others when shard owners are chosen.
    """

    vm: VmId
    data_centre: DataCentreId
    caller_address: str
    peer_address: str
    platform: PlatformSettings
    size: float = 1.0
    seed_peers: list[str] = []
    admin: AdminSettings | None = None
    tls: TlsSettings | None = None
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    data_centres: dict[DataCentreId, DataCentreSettings] = {}


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Reads and validates a settings file."""
    try:
        return Ok(msgspec.yaml.decode(path.read_bytes(), type=Settings))
    except OSError as error:
        return Err(SettingsError(str(path), f"can't read the file: {error.strerror}"))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return Err(SettingsError(str(path), str(error)))
