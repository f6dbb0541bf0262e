"""Tests of TLS between entry processes, and of the validation of the key files."""

from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from hornbeamramp import messages
from hornbeamramp.checks import check_file
from hornbeamramp.errors import UnreachableError
from hornbeamramp.rpc import PeerClient, PeerServer
from hornbeamramp.states import JobState, Step
from tests.keys import Authority

TIMEOUT = timedelta(seconds=5)


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path, "own")


async def ask(server_tls, client_tls):
    """Sends a request to a server and returns the reply; each side has its own key files."""

    async def handler(request):
        return messages.GetJobReply(JobState.RUNNING)

    server = PeerServer("127.0.0.1:0", "vm-1", "gebze", server_tls)
    server.handle(messages.GetJobRequest, handler)
    await server.start()
    client = PeerClient("vm-2", "gebze", client_tls)
    request = messages.GetJobRequest("tickets@gebze", "job-1")
    try:
        return await client.call(f"127.0.0.1:{server.port}", request, TIMEOUT, Step.ANSWER)
    finally:
        await client.close()
        await server.stop(timedelta(0))


def test_peers_with_certificates_of_the_same_authority_talk(run, authority):
    """Guards against key files that are named in the settings but not used."""
    reply = run(ask(authority.issue("vm-1"), authority.issue("vm-2")))
    assert reply.state is JobState.RUNNING


def test_peer_without_a_certificate_of_the_authority_is_refused(run, authority, tmp_path):
    """Guards against a server that encrypts but lets anyone submit jobs.

    The client trusts the server's authority, so only its own certificate can be rejected.
    """
    foreign = Authority(tmp_path, "foreign").issue("vm-2")
    foreign = msgspec.structs.replace(foreign, ca_file=str(authority.ca_file))
    with pytest.raises(UnreachableError) as caught:
        run(ask(authority.issue("vm-1"), foreign))
    assert not caught.value.sent


def test_server_with_a_certificate_of_another_authority_is_refused(run, authority, tmp_path):
    """Guards against sending jobs to a machine that only has the address of a peer."""
    foreign = Authority(tmp_path, "foreign").issue("vm-1")
    foreign = msgspec.structs.replace(foreign, ca_file=str(authority.ca_file))
    with pytest.raises(UnreachableError) as caught:
        run(ask(foreign, authority.issue("vm-2")))
    assert not caught.value.sent


@pytest.mark.parametrize("plain_side", ["server", "client"])
def test_plain_and_encrypted_peers_do_not_talk(run, authority, plain_side):
    """Guards against falling back to plain TCP."""
    tls = authority.issue("vm-1")
    sides = (None, tls) if plain_side == "server" else (tls, None)
    with pytest.raises(UnreachableError):
        run(ask(*sides))


def settings_file(tmp_path: Path, tls, **fields) -> Path:
    document = {
        "vm": "vm-1",
        "data_centre": "gebze",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform": {"address": "127.0.0.1:1"},
        "tls": msgspec.to_builtins(tls),
        **fields,
    }
    file = tmp_path / "settings.yaml"
    file.write_bytes(msgspec.json.encode(document))
    return file


def test_check_accepts_the_key_files(authority, tmp_path):
    """Guards against a check that refuses what `serve` accepts."""
    assert check_file(settings_file(tmp_path, authority.issue("vm-1"))).is_ok()


@pytest.mark.parametrize("field", ["certificate_file", "key_file", "ca_file"])
def test_check_reports_a_missing_key_file(authority, tmp_path, field):
    """Guards against a missing file that is only noticed when the process is restarted."""
    tls = msgspec.structs.replace(authority.issue("vm-1"), **{field: str(tmp_path / "gone.pem")})
    message = check_file(settings_file(tmp_path, tls)).err_value
    assert f"$.tls.{field}" in message
    assert "gone.pem" in message


def test_check_reports_a_key_of_another_certificate(authority, tmp_path):
    """Guards against a key file and a certificate file that don't match."""
    other = authority.issue("vm-2")
    tls = msgspec.structs.replace(authority.issue("vm-1"), key_file=other.key_file)
    assert "no pair" in check_file(settings_file(tmp_path, tls)).err_value


def test_check_reports_a_missing_or_empty_token(authority, tmp_path):
    """Guards against an admin listener that can't start, or accepts an empty token."""
    tls = authority.issue("vm-1")
    admin = {"address": "127.0.0.1:0", "token_file": str(tmp_path / "token")}
    file = settings_file(tmp_path, tls, admin=admin)
    assert "$.admin.token_file" in check_file(file).err_value
    (tmp_path / "token").write_text(" \n")
    assert "empty" in check_file(file).err_value
