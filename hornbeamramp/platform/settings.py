"""Reads the platform's settings file into typed fields."""

import math
import tomllib
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import msgspec
from result import Err, Ok, Result

__all__ = ["PlatformSettings", "read_settings"]

# About 30 years, within the range of ``timedelta``.
MAX_SECONDS = 1e9

Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]


class ListenAddresses(msgspec.Struct, frozen=True, rename="kebab"):
    """``frontend`` serves callers, ``ready`` the platform's readiness probe."""

    frontend: str
    ready: str


class StoreSettings(msgspec.Struct, frozen=True, rename="kebab"):
    address: str


class LimitSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """The VM has ``cpu_share`` of a core that is ``cores`` times as fast as a standard one.

    `memory_mb`, `max_fds`
        Memory in MiB and file descriptors of the process; 0 if not known.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)] = 0


class BoundSettings(msgspec.Struct, frozen=True):
    """Limits of the platform that are used, by their names in the file."""

    status_s: Seconds = 120
    hold_max_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS * 1000)] = msgspec.field(
        default=10_000, name="hold-max-ms"
    )
    far_factor: Annotated[float, msgspec.Meta(ge=1, le=1000)] = msgspec.field(
        default=2.0, name="far-factor"
    )
    grace_s: Seconds = msgspec.field(default=6, name="grace-s")
    strict_revoke: bool = msgspec.field(default=False, name="strict-revoke")
    revoke_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS * 1000)] = msgspec.field(
        default=5000, name="revoke-ms"
    )

    def __post_init__(self) -> None:
        for field in msgspec.structs.fields(self):
            if math.isnan(getattr(self, field.name)):
                raise ValueError(f"{field.encode_name}: not a number")


class PlatformSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Fields of the settings file that are used; others are ignored.

    `platform`
        Address of the store.
    `internal_ports`
        First and last port available for calls between the VMs.
    `advice`
        Address of the advice service; empty if there is none.
    """

    node_name: str
    ip: str
    zone: str
    listen: ListenAddresses
    platform: StoreSettings
    internal_ports: tuple[int, int]
    limits: LimitSettings = LimitSettings()
    bounds: BoundSettings = BoundSettings()
    advice: str = ""

    @property
    def relative_speed(self) -> float:
        """Speed of this VM's processor as a multiple of a standard core."""
        return self.limits.cpu_share * self.limits.cores

    @property
    def job_retention(self) -> timedelta:
        """Time for which callers may query the state of an ended job."""
        return timedelta(seconds=self.bounds.status_s)

    @property
    def longest_lease(self) -> timedelta:
        """Longest lease that a worker grants its runs."""
        return timedelta(milliseconds=self.bounds.hold_max_ms)

    @property
    def cross_rack_factor(self) -> float:
        """Factor by which gangs that prefer one rack take longer on several."""
        return self.bounds.far_factor

    @property
    def revocation_bound(self) -> timedelta | None:
        """Time after which a revoked key is refused everywhere; ``None`` without such a bound."""
        bounds = self.bounds
        return timedelta(milliseconds=bounds.revoke_ms) if bounds.strict_revoke else None

    @property
    def shutdown_grace(self) -> timedelta:
        """Time between SIGTERM and the kill."""
        return timedelta(seconds=self.bounds.grace_s)


def read_settings(file: Path) -> Result[PlatformSettings, str]:
    """Reads a settings file. The error names the file and, where one is wrong, the field."""
    try:
        document = tomllib.loads(file.read_text())
        return Ok(msgspec.convert(document, PlatformSettings))
    except OSError as error:
        return Err(f"{file}: can't read the file: {error.strerror}")
    except (ValueError, msgspec.ValidationError, RecursionError) as error:
        # tomllib raises ``ValueError`` for numbers with too many digits, and ``RecursionError`` for
        # values that are nested too deeply.
        return Err(f"{file}: {error}")
