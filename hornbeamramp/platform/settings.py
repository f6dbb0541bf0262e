"""Reads the platform's settings file into typed fields."""

import tomllib
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

__all__ = ["PlatformSettings", "read_settings"]


class ListenAddresses(msgspec.Struct, frozen=True, rename="kebab"):
    """``frontend`` serves callers, ``ready`` the platform's readiness probe."""

    frontend: str
    ready: str


class StoreSettings(msgspec.Struct, frozen=True, rename="kebab"):
    address: str


class LimitSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """The VM has ``cpu_share`` of a core that is ``cores`` times as fast as a standard one."""

    cpu_share: float = 1.0
    cores: float = 1.0


class PlatformSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Fields of the settings file that are used; others are ignored.

    `platform`
        Address of the store.
    `bounds`
        Limits of the platform by their name in the file.
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
    bounds: dict[str, Any] = {}
    advice: str = ""

    @property
    def relative_speed(self) -> float:
        """Speed of this VM's processor as a multiple of a standard core."""
        return self.limits.cpu_share * self.limits.cores

    @property
    def job_retention(self) -> timedelta:
        """Time for which callers may query the state of an ended job."""
        return timedelta(seconds=float(self.bounds.get("status_s", 120)))

    @property
    def longest_lease(self) -> timedelta:
        """Longest lease that a worker grants its runs."""
        return timedelta(milliseconds=float(self.bounds.get("hold-max-ms", 10_000)))

    @property
    def shutdown_grace(self) -> timedelta:
        """Time between SIGTERM and the kill."""
        return timedelta(seconds=float(self.bounds.get("grace-s", 6)))


def read_settings(file: Path) -> Result[PlatformSettings, str]:
    """Reads a settings file. The error names the file and, where one is wrong, the field."""
    try:
        document = tomllib.loads(file.read_text())
        return Ok(msgspec.convert(document, PlatformSettings))
    except OSError as error:
        return Err(f"{file}: can't read the file: {error.strerror}")
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        return Err(f"{file}: {error}")
