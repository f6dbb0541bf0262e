"""Tables for people: the status document and the rows of routes and pools."""

from collections.abc import Iterable
from typing import Any

from rich.console import Console
from rich.table import Table

__all__ = ["print_rows", "print_status"]


def print_rows(rows: list[dict[str, Any]], console: Console) -> None:
    """Prints rows of routes or pools, one line each."""
    if not rows:
        console.print("no rows")
        return
    columns = [column for column in rows[0] if column not in ("upstreams", "quotas")]
    counted = [column for column in ("upstreams", "quotas") if column in rows[0]]
    _print_table(
        console,
        None,
        [*columns, *counted],
        ([*(row[c] for c in columns), *(len(row[c]) for c in counted)] for row in rows),
    )


def print_status(document: dict[str, Any], console: Console) -> None:
    """Prints what an operator asks first: serving, owners, revisions, queues, upstreams."""
    console.print(f"revision {document['revision']} at {document['vm']}")
    _print_data_centres(document, console)
    _print_members(document, console)
    _print_shards(document, console)
    _print_upstreams(document, console)


def _print_data_centres(document: dict[str, Any], console: Console) -> None:
    rows = (
        [name, "yes" if state["serving"] else "NO", state["members"], state["least_revision"]]
        for name, state in sorted(document["data_centres"].items())
    )
    headings = ["data centre", "serving", "members", "revision in force"]
    _print_table(console, "Data centres", headings, rows)


def _print_members(document: dict[str, Any], console: Console) -> None:
    rows = (
        [member["vm"], member["data_centre"], member["state"], member["revision"]]
        for member in document["members"]
    )
    _print_table(console, "Members", ["vm", "data centre", "state", "revision"], rows)


def _print_shards(document: dict[str, Any], console: Console) -> None:
    rows = []
    for shard in document["shards"]:
        detail = shard.get("detail") or {}
        queued = sum(detail.get("queued_by_band", {}).values()) if detail else "-"
        refused = ", ".join(f"{k}: {v}" for k, v in detail.get("refused", {}).items()) or "-"
        rows.append(
            [
                shard["shard"],
                shard["owner"] or "NONE",
                shard["epoch"],
                detail.get("running", "-"),
                queued,
                refused,
            ]
        )
    headings = ["shard", "owner", "epoch", "running", "queued", "refused"]
    _print_table(console, "Shards", headings, rows)


def _print_upstreams(document: dict[str, Any], console: Console) -> None:
    rows = [
        [shard["shard"], upstream["id"], upstream["state"], upstream.get("reason") or "-"]
        for shard in document["shards"]
        for upstream in (shard.get("detail") or {}).get("upstreams", [])
        if upstream["state"] != "active"
    ]
    if rows:
        headings = ["shard", "upstream", "state", "reason"]
        _print_table(console, "Upstreams set aside", headings, rows)


def _print_table(
    console: Console, title: str | None, headings: list[str], rows: Iterable[list[Any]]
) -> None:
    table = Table(title=title, title_justify="left")
    for heading in headings:
        table.add_column(heading)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console.print(table)
