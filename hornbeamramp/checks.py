"""Checks of settings and table files, without starting a process."""

import ssl
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from hornbeamramp.settings import Settings
from hornbeamramp.tables import Pool, Route, check_references

__all__ = ["TableFile", "check_file", "check_key_files"]


class TableFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """File with rows of both tables, as read by ``hornbeamramp check``."""

    routes: list[Route] = []
    pools: list[Pool] = []


def check_file(path: Path) -> Result[str, str]:
    """Checks a file. Returns a summary, or the first error with its place in the file.

    A mapping with ``routes`` or ``pools`` is a table file, anything else a settings file.
    """
    try:
        document = msgspec.yaml.decode(path.read_bytes(), type=dict[str, Any])
        if "routes" in document or "pools" in document:
            return _check_tables(msgspec.convert(document, TableFile))
        checked = check_key_files(msgspec.convert(document, Settings))
        if isinstance(checked, Err):
            return checked
    except OSError as error:
        return Err(f"can't read the file: {error.strerror}")
    except msgspec.MsgspecError as error:
        return Err(str(error))
    return Ok("settings are valid")


def check_key_files(settings: Settings) -> Result[None, str]:
    """Checks that the files named in the settings are readable and that key and certificate match.

    The error message contains the field and the file name, never the contents of a file.
    """
    for field, path in _key_files(settings):
        try:
            content = Path(path).read_bytes()
        except OSError as error:
            return Err(f"$.{field}: can't read {path}: {error.strerror}")
        if not content.strip():
            return Err(f"$.{field}: {path} is empty")
    tls = settings.tls
    if tls is None:
        return Ok(None)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        # With the empty password, an encrypted key causes an error instead of a prompt.
        context.load_cert_chain(tls.certificate_file, tls.key_file, password="")
    except (OSError, ValueError):
        return Err(f"$.tls: {tls.key_file} and {tls.certificate_file} are no pair of PEM files")
    try:
        if tls.ca_file is not None:
            context.load_verify_locations(tls.ca_file)
    except OSError:
        return Err(f"$.tls.ca_file: {tls.ca_file} contains no PEM certificate")
    return Ok(None)


def _key_files(settings: Settings) -> list[tuple[str, str]]:
    files = []
    if settings.admin is not None:
        files.append(("admin.token_file", settings.admin.token_file))
    if settings.tls is not None:
        files.append(("tls.certificate_file", settings.tls.certificate_file))
        files.append(("tls.key_file", settings.tls.key_file))
        if settings.tls.ca_file is not None:
            files.append(("tls.ca_file", settings.tls.ca_file))
    return files


def _check_tables(tables: TableFile) -> Result[str, str]:
    for kind, rows in (("route", tables.routes), ("pool", tables.pools)):
        names = [row.name for row in rows]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            return Err(f"{kind} defined more than once: {', '.join(duplicates)}")
    references = check_references(
        {r.name: r for r in tables.routes}, {p.name: p for p in tables.pools}
    )
    if isinstance(references, Err):
        error = references.err_value
        return Err(f"{error.message} (referenced by {', '.join(error.names)})")
    return Ok(f"{len(tables.routes)} routes and {len(tables.pools)} pools are valid")
