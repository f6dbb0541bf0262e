"""Settings of one entry process, read from a YAML file and checked by msgspec."""

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
    """Where the platform's service answers.

    `adapter`
        Name of the platform adapter.
    `address`
        ``ip:port`` of the platform's service.
    `timeout_ms`
        Longest wait for an answer.
    `calls_per_second`
        Budget of store calls of this process.
    """

    adapter: str = "http"
    address: str
    timeout_ms: int = 2000
    calls_per_second: float = 20.0


class AdminSettings(_Section, frozen=True, kw_only=True):
    """Listener for operators. Without a token there is no listener.

    `address`
        ``ip:port`` to listen on; port 0 takes a free one.
    `token_file`
        File that holds the bearer token. The token itself is never part of the settings.
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
        Certificates of the authority that must have signed those of the other entry VMs. Without
        it peers are not asked for a certificate.
    """

    certificate_file: str
    key_file: str
    ca_file: str | None = None


class LimitSettings(_Section, frozen=True, kw_only=True):
    """Bounds on what callers may send and on what waits inside the process.

    `body_bytes`
        Largest body of a request.
    `header_bytes`
        Largest size of all headers of a request.
    `waiting_requests`
        Most submits that wait on this VM; further ones get 429.
    `request_timeout_ms`
        Longest pause while the headers of a request arrive, and longest time for its body.
    """

    body_bytes: int = 1_000_000
    header_bytes: int = 8_192
    waiting_requests: int = 10_000
    request_timeout_ms: int = 10_000


class TimingSettings(_Section, frozen=True, kw_only=True):
    """Intervals and timeouts, all in milliseconds.

    `lease_ttl_ms`
        Lifetime of the process lease after a renewal.
    `renew_ms`
        Interval of the renewals of the process lease.
    `drift_margin_ms`
        Safety margin for clocks that run at different rates.
    `send_bound_ms`
        Longest time a start may spend between the check of the proof and the upstream.
    `heartbeat_ms`
        Interval of heartbeats within the data centre.
    `remote_heartbeat_ms`
        Interval of heartbeats to other data centres.
    `task_lease_ms`
        Lease of a task at its upstream. Longer than the process lease and a claim together, so
        that running tasks survive the death of their shard's owner.
    `usage_ms`
        Interval at which the usage of the tasks is read.
    `drain_ms`
        Wait between becoming not ready and refusing new requests.
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
        Whether ``/metrics`` of the admin API carries the scheduler's metrics.
    `traces`
        ``none``, or ``log`` for a JSON line per finished span.
    """

    metrics: bool = True
    traces: str = "none"


class DataCentreSettings(_Section, frozen=True, kw_only=True):
    """A data centre of the cell.

    `region`
        Name of its region; decisions do not use it.
    `distance_ms`
        Network delay to other data centres one way, by name.
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
    `size`
        Weight of this VM, relative to the others, in the choice of shard owners.
    """

    vm: VmId
    data_centre: DataCentreId
    caller_address: str
    peer_address: str
    platform: PlatformSettings
    size: float = 1.0
    admin: AdminSettings | None = None
    tls: TlsSettings | None = None
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    data_centres: dict[DataCentreId, DataCentreSettings] = {}


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Reads and checks a settings file."""
    try:
        return Ok(msgspec.yaml.decode(path.read_bytes(), type=Settings))
    except OSError as error:
        return Err(SettingsError(str(path), f"can't read the file: {error.strerror}"))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return Err(SettingsError(str(path), str(error)))
