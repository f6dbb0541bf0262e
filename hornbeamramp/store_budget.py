"""Counts the store calls of this process by kind."""

from hornbeamramp.platforms import Platform

__all__ = ["BudgetedPlatform"]


class BudgetedPlatform:
    """Wraps a platform adapter and counts its calls."""

    def __init__(self, platform: Platform, clock, calls_per_second: float) -> None:
        self._platform = platform
        self.calls_by_kind: dict[str, int] = {}

    def __getattr__(self, name: str):
        method = getattr(self._platform, name)
        if name != "close":
            self.calls_by_kind[name] = self.calls_by_kind.get(name, 0) + 1
        return method
