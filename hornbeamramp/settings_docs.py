"""Generates the reference page of the settings from the models and their docstrings."""

import inspect
import re
import types
import typing
from typing import Any

import msgspec

from hornbeamramp.settings import Settings

__all__ = ["configuration_page", "field_meanings"]

INTRODUCTION = """# Settings

One YAML file for each entry process, named by `hornbeamramp serve --config FILE`. Generated from
hornbeamramp/settings.py by `hornbeamramp docs configuration`. An unknown field is an error;
`hornbeamramp check FILE` checks a file and the key files it names.

The process on the users' platform has the platform's settings file instead. Its limits of callers'
requests and connections, each with its default, are in OPERATIONS.md.
"""
FIELD_LINE = re.compile(r"`\w+`(, `\w+`)*")


def configuration_page() -> str:
    """Returns the text of docs/configuration.md."""
    parts = [INTRODUCTION]
    pending: list[tuple[str, type[msgspec.Struct]]] = [("", Settings)]
    while pending:
        path, model = pending.pop(0)
        parts.append(_section(path, model))
        for field in msgspec.structs.fields(model):
            section = _section_type(field.type)
            if section is not None:
                subpath = f"{field.name}.*" if _is_mapping(field.type) else field.name
                pending.append((f"{path}.{subpath}".lstrip("."), section))
    return "\n".join(parts)


def field_meanings(model: type) -> dict[str, str]:
    """Returns the description of each field that the docstring of ``model`` documents."""
    meaning_by_field: dict[str, str] = {}
    names: list[str] = []
    for line in inspect.getdoc(model).splitlines()[1:]:
        if FIELD_LINE.fullmatch(line):
            names = re.findall(r"\w+", line)
        elif line.startswith("    "):
            for name in names:
                meaning_by_field[name] = f"{meaning_by_field.get(name, '')} {line.strip()}".strip()
        elif line.strip():
            names = []
    return meaning_by_field


def _section(path: str, model: type[msgspec.Struct]) -> str:
    meaning_by_field = field_meanings(model)
    summary = inspect.getdoc(model).splitlines()[0].replace("``", "`")
    lines = [f"## {f'`{path}`' if path else 'Top level'}", "", summary, ""]
    lines += ["| field | type | default | meaning |", "|---|---|---|---|"]
    for field in msgspec.structs.fields(model):
        meaning = meaning_by_field.get(field.name, "").replace("``", "`")
        type_name = _type_name(field.type).replace("|", "or")
        lines.append(f"| `{field.name}` | {type_name} | {_default(field)} | {meaning} |")
    return "\n".join([*lines, ""])


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    value = field.default
    if value is msgspec.NODEFAULT:
        value = field.default_factory()
    if isinstance(value, msgspec.Struct):
        return "see its section"
    if value is None:
        return "none"
    return f"`{msgspec.json.encode(value).decode()}`"


def _type_name(field_type: Any) -> str:
    if isinstance(field_type, typing.NewType):
        return _type_name(field_type.__supertype__)
    if _section_type(field_type) is not None:
        return "mapping of sections" if _is_mapping(field_type) else "section"
    if isinstance(field_type, types.UnionType):
        parts = [_type_name(part) for part in typing.get_args(field_type) if part is not type(None)]
        return " or ".join(parts)
    if typing.get_origin(field_type) is dict:
        key, value = typing.get_args(field_type)
        return f"mapping of {_type_name(key)} to {_type_name(value)}"
    return {"str": "text", "int": "integer", "float": "number", "bool": "true or false"}.get(
        field_type.__name__, field_type.__name__
    )


def _is_mapping(field_type: Any) -> bool:
    return typing.get_origin(field_type) is dict


def _section_type(field_type: Any) -> type[msgspec.Struct] | None:
    """Returns the section model of a field type, including optional types and mapping values."""
    for part in (field_type, *typing.get_args(field_type)):
        if isinstance(part, type) and issubclass(part, msgspec.Struct):
            return part
    return None
