"""Page on the settings, from the settings model and its docstrings."""

import inspect
import re
import types
import typing
from typing import Any

import msgspec

from hornbeamramp.settings import Settings

__all__ = ["configuration_page", "field_meanings"]

HEAD = """# Settings

One YAML file for each entry process, named by `hornbeamramp serve --config FILE`. Generated from
hornbeamramp/settings.py by `hornbeamramp docs configuration`. An unknown field is an error;
`hornbeamramp check FILE` checks a file and the key files it names.
"""
FIELD_LINE = re.compile(r"`\w+`(, `\w+`)*")


def configuration_page() -> str:
    """Returns docs/configuration.md."""
    parts = [HEAD]
    waiting: list[tuple[str, type[msgspec.Struct]]] = [("", Settings)]
    while waiting:
        path, model = waiting.pop(0)
        parts.append(_section(path, model))
        for field in msgspec.structs.fields(model):
            section = _section_type(field.type)
            if section is not None:
                inside = f"{field.name}.*" if _is_mapping(field.type) else field.name
                waiting.append((f"{path}.{inside}".lstrip("."), section))
    return "\n".join(parts)


def field_meanings(model: type) -> dict[str, str]:
    """Returns the meaning of each field that the docstring of ``model`` explains."""
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
        kind = _type_name(field.type).replace("|", "or")
        lines.append(f"| `{field.name}` | {kind} | {_default(field)} | {meaning} |")
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


def _type_name(kind: Any) -> str:
    if isinstance(kind, typing.NewType):
        return _type_name(kind.__supertype__)
    if _section_type(kind) is not None:
        return "mapping of sections" if _is_mapping(kind) else "section"
    if isinstance(kind, types.UnionType):
        parts = [_type_name(part) for part in typing.get_args(kind) if part is not type(None)]
        return " or ".join(parts)
    if typing.get_origin(kind) is dict:
        key, value = typing.get_args(kind)
        return f"mapping of {_type_name(key)} to {_type_name(value)}"
    return {"str": "text", "int": "integer", "float": "number", "bool": "true or false"}.get(
        kind.__name__, kind.__name__
    )


def _is_mapping(kind: Any) -> bool:
    return typing.get_origin(kind) is dict


def _section_type(kind: Any) -> type[msgspec.Struct] | None:
    """Returns the section model of a field, also of an optional one or of a mapping's values."""
    for part in (kind, *typing.get_args(kind)):
        if isinstance(part, type) and issubclass(part, msgspec.Struct):
            return part
    return None
