"""The platform's settings file."""

import pytest
from result import Err

from hornbeamramp.platform.settings import read_settings

SETTINGS = """
node-name = "frontend-gebze-1"
ip = "10.1.0.30"
zone = "gebze"
internal-ports = [7380, 7395]
new-field = "ignored"
advice = "10.200.1.9:8142"
[listen]
frontend = "10.1.0.30:8149"
ready = "10.1.0.30:8141"
[limits]
cpu-share = 0.5
cores = 3
memory-mb = 300
[bounds]
status_s = 90
[platform]
address = "10.200.1.7:8142"
"""


def test_fields_are_read_and_new_ones_ignored(tmp_path):
    file = tmp_path / "node.toml"
    file.write_text(SETTINGS)
    settings = read_settings(file).unwrap()
    assert (settings.node_name, settings.internal_ports) == ("frontend-gebze-1", (7380, 7395))
    assert settings.job_retention.total_seconds() == 90
    assert settings.shutdown_grace.total_seconds() == 6
    assert settings.relative_speed == 1.5


@pytest.mark.parametrize(
    "text",
    ["= no toml", SETTINGS.replace('ip = "10.1.0.30"', ""), SETTINGS.replace("[7380, 7395]", "7")],
)
def test_unusable_file_gives_an_error_that_names_it(tmp_path, text):
    file = tmp_path / "node.toml"
    file.write_text(text)
    result = read_settings(file)
    assert isinstance(result, Err)
    assert "node.toml" in result.err_value


def test_missing_file_is_an_error(tmp_path):
    assert isinstance(read_settings(tmp_path / "none.toml"), Err)
