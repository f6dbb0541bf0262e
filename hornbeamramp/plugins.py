"""Plug-in base class and a registry that looks plug-ins up by name or alias and loads them lazily.

Each folder of plug-ins has a ``_mapping.py`` with a table ``PLUGINS`` of the form
``{"ClassName": ("module.path", "name", ("alias", ...))}``. A plug-in's module is imported when
it is first requested. Code outside the package adds classes with `Registry.register`.
"""

from collections.abc import Iterator, Mapping
from importlib import import_module
from typing import ClassVar, Generic, TypeVar

__all__ = ["Plugin", "PluginNotFoundError", "Registry"]


class Plugin:
    """Base class of all plug-ins.

    `name`
        Full name, unique within its kind.
    `aliases`
        Alternative names that settings and tables may use.
    """

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()


class PluginNotFoundError(LookupError):
    """No plug-in of this kind has the requested name or alias."""


P = TypeVar("P", bound=Plugin)


class Registry(Generic[P]):
    """Plug-ins of one kind.

    `kind`
        Name of the kind, for error messages.
    `mapping`
        Table of the built-in plug-ins; see the module docstring.
    """

    def __init__(self, kind: str, mapping: Mapping[str, tuple[str, str, tuple[str, ...]]]) -> None:
        self._kind = kind
        self._mapping = mapping
        self._class_by_name: dict[str, type[P]] = {}

    def register(self, plugin: type[P]) -> type[P]:
        """Adds a plug-in class. Can be used as a decorator."""
        for name in (plugin.name, *plugin.aliases):
            self._class_by_name[name] = plugin
        return plugin

    def find(self, name: str) -> type[P]:
        """Returns the class with this name or alias.

        Raises `PluginNotFoundError` with the known names.
        """
        if name not in self._class_by_name:
            self._load(name)
        if name not in self._class_by_name:
            known = ", ".join(sorted(self.names()))
            raise PluginNotFoundError(f"no {self._kind} named {name!r}; known: {known}")
        return self._class_by_name[name]

    def names(self) -> Iterator[str]:
        """Yields the full name of each plug-in without loading it."""
        builtin = {name for _, name, _ in self._mapping.values()}
        yield from builtin
        yield from {cls.name for cls in self._class_by_name.values()} - builtin

    def _load(self, name: str) -> None:
        for class_name, (module, full_name, aliases) in self._mapping.items():
            if name == full_name or name in aliases:
                self.register(getattr(import_module(module), class_name))
                return
