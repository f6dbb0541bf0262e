"""Proposed changes to the configuration tables: their checks and the errors of a refusal."""

from typing import Literal

import msgspec
from result import Err, Ok, Result

from hornbeamramp.ids import ChangeId, Revision
from hornbeamramp.tables import Change, Pool, Route, Tables, check_references

__all__ = [
    "DanglingReference",
    "MalformedProposal",
    "ProposalError",
    "StoreOutage",
    "VersionConflict",
    "check_change",
    "compare_repeated",
    "make_change",
]

# Values in the store are at most 1 MB.
TABLES_MAX_BYTES = 900_000

_encode = msgspec.msgpack.Encoder().encode
_change_decoder = msgspec.msgpack.Decoder(Change)


class VersionConflict(msgspec.Struct, frozen=True):
    """The row has another version. ``current`` and ``version`` are ``None`` if there is no row."""

    current: Route | Pool | None
    version: Revision | None


class DanglingReference(msgspec.Struct, frozen=True):
    """A route would refer to a pool that does not exist. ``names`` are these routes."""

    message: str
    names: list[str]


class StoreOutage(msgspec.Struct, frozen=True):
    """The store did not confirm the change.

    `outcome`
        ``not_run`` if the change was not and will not be accepted; ``unknown`` if it may be. To
        find out, repeat the proposal with the same change id.
    """

    outcome: Literal["not_run", "unknown"]
    message: str


class MalformedProposal(msgspec.Struct, frozen=True):
    """The proposal is not a valid change."""

    message: str


ProposalError = VersionConflict | DanglingReference | StoreOutage | MalformedProposal


def make_change(
    table: str,
    name: str,
    row: Route | Pool | None,
    if_match: Revision | None,
    change_id: ChangeId,
) -> Change:
    """Returns the change with revision 0. Raises ``ValueError`` if it is malformed."""
    row_type = {"routes": Route, "pools": Pool}.get(table)
    if row_type is None:
        raise ValueError(f"no such table: {table}")
    if not name or not change_id:
        raise ValueError("the name and the change id must not be empty")
    if row is None and if_match is None:
        raise ValueError("a deletion needs the version of the row")
    if row is not None and (not isinstance(row, row_type) or row.name != name):
        raise ValueError(f"not a row of {table} named {name}")
    change = Change(
        change_id,
        Revision(0),
        table,
        name,
        route=row if table == "routes" else None,
        pool=row if table == "pools" else None,
    )
    # Digests cover the encoded form, so a decoded change must encode to the same bytes again.
    return _change_decoder.decode(_encode(change))


def compare_repeated(accepted: Change, change: Change) -> Result[Change, ProposalError]:
    """Returns ``accepted`` if ``change``, which has the same id, is a repetition of it."""
    is_same = (
        msgspec.structs.replace(accepted, revision=change.revision, digest=change.digest) == change
    )
    if not is_same:
        return Err(MalformedProposal(f"change id {change.id} was used for another change"))
    return Ok(accepted)


def check_change(tables: Tables, change: Change, if_match: Revision | None) -> ProposalError | None:
    """Returns why the change can't be made to ``tables``, or ``None`` if it can."""
    current, version = tables.row(change.table, change.name)
    if version != if_match:
        return VersionConflict(current, version)
    after = tables.apply(change)
    references = check_references(after.route_by_name, after.pool_by_name)
    if isinstance(references, Err):
        return DanglingReference(references.err_value.message, references.err_value.names)
    if len(_encode(after)) > TABLES_MAX_BYTES:
        return MalformedProposal(f"the tables would be larger than {TABLES_MAX_BYTES} bytes")
    return None
