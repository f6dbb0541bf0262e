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


@pytest.mark.parametrize(
    "text",
    [
        "x = " + "[" * 5000,
        "x = " + "[" * 5000 + "]" * 5000 + SETTINGS,
        "x = " + "9" * 5000 + SETTINGS,
        "x = " + "{a=" * 5000,
    ],
    ids=["open lists", "lists", "number", "tables"],
)
def test_file_that_is_nested_too_deeply_or_has_too_large_a_number_is_an_error(tmp_path, text):
    """Guards against a file that ends the process at its start, or the check on SIGHUP."""
    file = tmp_path / "node.toml"
    file.write_text(text)
    assert "node.toml" in read_settings(file).unwrap_err()


@pytest.mark.parametrize("name", ["status_s", "hold-max-ms", "grace-s"])
@pytest.mark.parametrize("value", ['"x"', "1e300", "nan", "inf", "-5", "[]", "9" * 400])
def test_bound_that_is_no_time_is_an_error_with_its_name(tmp_path, name, value):
    """Guards against a bound that passes the check on SIGHUP and ends the process when it is used,
    at its next start."""
    file = tmp_path / "node.toml"
    file.write_text(SETTINGS.replace("status_s = 90", f"{name} = {value}"))
    assert name in read_settings(file).unwrap_err()


def test_missing_file_is_an_error(tmp_path):
    assert isinstance(read_settings(tmp_path / "none.toml"), Err)
