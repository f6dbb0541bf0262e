"""Tests of the plug-in registry."""

import pytest

from hornbeamramp.plugins import Plugin, PluginNotFoundError, Registry


class ExamplePlugin(Plugin):
    name = "example"
    aliases = ("ex",)


def test_registry_finds_by_name_and_alias():
    registry: Registry[Plugin] = Registry("example", {})
    registry.register(ExamplePlugin)
    assert registry.find("example") is ExamplePlugin
    assert registry.find("ex") is ExamplePlugin


def test_unknown_name_lists_known_names():
    registry: Registry[Plugin] = Registry("example", {})
    registry.register(ExamplePlugin)
    with pytest.raises(PluginNotFoundError, match="known: example"):
        registry.find("missing")
