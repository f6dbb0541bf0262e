"""Checks settings and table files without starting anything."""

from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from hornbeamramp.settings import Settings
from hornbeamramp.tables import Pool, Route, check_join

__all__ = ["TableFile", "check_file"]


class TableFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rows of both tables, as ``hornbeamramp check`` reads them."""

    routes: list[Route] = []
    pools: list[Pool] = []


def check_file(path: Path) -> Result[str, str]:
    """Checks a file and returns what it was found to be, or what is wrong and where.

    A mapping with ``routes`` or ``pools`` is a table file, anything else a settings file.
    """
    try:
        document = msgspec.yaml.decode(path.read_bytes(), type=dict[str, Any])
        if "routes" in document or "pools" in document:
            return _check_tables(msgspec.convert(document, TableFile))
        msgspec.convert(document, Settings)
    except OSError as error:
        return Err(f"can't read the file: {error.strerror}")
    except msgspec.MsgspecError as error:
        return Err(str(error))
    return Ok("settings are valid")


def _check_tables(tables: TableFile) -> Result[str, str]:
    for kind, rows in (("route", tables.routes), ("pool", tables.pools)):
        names = [row.name for row in rows]
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            return Err(f"{kind} named twice: {', '.join(twice)}")
    joined = check_join({r.name: r for r in tables.routes}, {p.name: p for p in tables.pools})
    if isinstance(joined, Err):
        error = joined.err_value
        return Err(f"{error.message} (named by {', '.join(error.names)})")
    return Ok(f"{len(tables.routes)} routes and {len(tables.pools)} pools are valid")
