"""Helpers that read and check the options of plug-ins."""

from collections.abc import Mapping
from typing import Any

__all__ = [
    "OptionError",
    "get_bool_option",
    "get_choice_option",
    "get_float_option",
    "get_int_option",
]

Options = Mapping[str, Any]


class OptionError(ValueError):
    """An option has the wrong type or is out of range. The message names the option."""


def get_int_option(
    options: Options, name: str, default: int, minimum: int = 0, maximum: int = 2**63
) -> int:
    """Returns the option as a whole number within the bounds, both included."""
    value = options.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise OptionError(f"option {name!r} must be a whole number, not {value!r}")
    if not minimum <= value <= maximum:
        raise OptionError(f"option {name!r} must be from {minimum} to {maximum}, not {value}")
    return value


def get_float_option(
    options: Options,
    name: str,
    default: float,
    minimum: float = 0.0,
    maximum: float = float("inf"),
) -> float:
    """Returns the option as a number within the bounds, both included."""
    value = options.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise OptionError(f"option {name!r} must be a number, not {value!r}")
    if not minimum <= value <= maximum:
        raise OptionError(f"option {name!r} must be from {minimum} to {maximum}, not {value}")
    return float(value)


def get_bool_option(options: Options, name: str, default: bool) -> bool:
    """Returns the option as a truth value."""
    value = options.get(name, default)
    if not isinstance(value, bool):
        raise OptionError(f"option {name!r} must be true or false, not {value!r}")
    return value


def get_choice_option(options: Options, name: str, default: str, choices: tuple[str, ...]) -> str:
    """Returns the option if it is one of ``choices``."""
    value = options.get(name, default)
    if value not in choices:
        raise OptionError(f"option {name!r} must be one of {', '.join(choices)}, not {value!r}")
    return value
