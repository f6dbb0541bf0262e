"""Tests of the settings file: an error must name its path in the file."""

from hornbeamramp.settings import load_settings

MINIMAL = """
vm: vm-1
data_centre: gebze
caller_address: 127.0.0.1:8080
peer_address: 127.0.0.1:8081
platform: {address: "127.0.0.1:9000"}
"""


def test_minimal_settings_load(tmp_path):
    file = tmp_path / "settings.yaml"
    file.write_text(MINIMAL)
    settings = load_settings(file).unwrap()
    assert settings.data_centre == "gebze"
    assert settings.admin is None


def test_error_names_the_path(tmp_path):
    file = tmp_path / "settings.yaml"
    file.write_text(MINIMAL + "timing: {lease_ttl_ms: soon}\n")
    assert "$.timing.lease_ttl_ms" in load_settings(file).unwrap_err().message


def test_unknown_field_is_refused(tmp_path):
    file = tmp_path / "settings.yaml"
    file.write_text(MINIMAL + "timing: {lease: 5}\n")
    message = load_settings(file).unwrap_err().message
    assert "lease" in message and "$.timing" in message
