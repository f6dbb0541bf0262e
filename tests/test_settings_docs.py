"""Tests of the generated settings page."""

from pathlib import Path

import msgspec
import pytest

from hornbeamramp import settings
from hornbeamramp.settings_docs import configuration_page, field_meanings

MODELS = [getattr(settings, name) for name in settings.__all__ if name.endswith("Settings")]


def test_page_is_up_to_date():
    """Guards against a change of the settings without a regenerated page."""
    page = Path(__file__).parent.parent / "docs" / "configuration.md"
    assert page.read_text() == configuration_page()


@pytest.mark.parametrize("model", MODELS, ids=lambda model: model.__name__)
def test_each_setting_is_explained(model):
    """Guards against an undocumented setting, and documentation of a removed one."""
    fields = {field.name: field.type for field in msgspec.structs.fields(model)}
    sections = {name for name, kind in fields.items() if "Settings" in str(kind)}
    assert field_meanings(model).keys() == fields.keys() - sections
