"""Conversion of durations to and from whole milliseconds, as used in messages and APIs."""

from datetime import timedelta

__all__ = ["from_ms", "to_ms"]


def to_ms(duration: timedelta) -> int:
    """Returns the duration in whole milliseconds, rounded down."""
    return duration // timedelta(milliseconds=1)


def from_ms(milliseconds: int) -> timedelta:
    """Returns a duration of whole milliseconds."""
    return timedelta(milliseconds=milliseconds)
