"""Terminal output of the status document and of the rows of routes and pools."""

from collections.abc import Iterable
from typing import Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

from hornbeamramp.states import Band

__all__ = ["print_rows", "print_status"]


def print_rows(rows: list[dict[str, Any]], console: Console) -> None:
    """Prints rows of routes or pools, one line each."""
    if not rows:
        console.print("no rows")
        return
    columns = [column for column in rows[0] if column not in ("upstreams", "quotas")]
    count_columns = [column for column in ("upstreams", "quotas") if column in rows[0]]
    _print_table(
        console,
        None,
        [*columns, *count_columns],
        ([*(row[c] for c in columns), *(len(row[c]) for c in count_columns)] for row in rows),
    )


def print_status(document: dict[str, Any], console: Console) -> None:
    """Prints what operators need first: faults, serving, revisions, owners, queues, upstreams."""
    console.print(_headline(document), soft_wrap=True, markup=False, highlight=False)
    _print_data_centres(document, console)
    _print_members(document, console)
    _print_shards(document, console)
    _print_upstreams(document, console)


def _headline(document: dict[str, Any]) -> str:
    """Returns a one-line summary: the revision and all problems."""
    faults = [
        f"{name} is not serving"
        for name, state in sorted(document["data_centres"].items())
        if not state["serving"]
    ]
    behind = [m["vm"] for m in document["members"] if m["revision"] < document["revision"]]
    if behind:
        faults.append(f"not at this revision: {', '.join(behind)}")
    ownerless = [shard["shard"] for shard in document["shards"] if not shard["owner"]]
    if ownerless:
        faults.append(f"without owner: {', '.join(ownerless)}")
    unresponsive = [s["shard"] for s in document["shards"] if s["owner"] and not s["detail"]]
    if unresponsive:
        faults.append(f"owner does not answer: {', '.join(unresponsive)}")
    recovering = [s["shard"] for s in document["shards"] if s["detail"] and not _is_recovered(s)]
    if recovering:
        faults.append(f"recovering: {', '.join(recovering)}")
    inactive_count = len(_inactive_upstreams(document))
    if inactive_count:
        faults.append(f"{inactive_count} upstreams set aside")
    state = "; ".join(faults) or "all data centres are serving"
    return f"revision {document['revision']} at {document['vm']}: {state}"


def _is_recovered(shard: dict[str, Any]) -> bool:
    return bool(shard["detail"].get("recovered"))


def _inactive_upstreams(document: dict[str, Any]) -> list[list[Any]]:
    return [
        [shard["shard"], upstream["id"], upstream["state"], upstream.get("reason") or "-"]
        for shard in document["shards"]
        for upstream in (shard.get("detail") or {}).get("upstreams", [])
        if upstream["state"] != "active"
    ]


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
        rows.append(
            [
                shard["shard"],
                shard["owner"] or "NONE",
                shard["epoch"] if detail else "-",
                _state(shard),
                detail.get("running", "-"),
                _counts(_band_names(detail.get("queued_by_band", {}))) if detail else "-",
                _counts(detail.get("refused", {})),
            ]
        )
    headings = ["shard", "owner", "epoch", "state", "running", "queued", "refused since start"]
    _print_table(console, "Shards", headings, rows)


def _state(shard: dict[str, Any]) -> str:
    if not shard["owner"]:
        return "no owner"
    if not shard["detail"]:
        return "no answer"
    return "serving" if _is_recovered(shard) else "recovering"


def _band_names(count_by_band: dict[str, int]) -> dict[str, int]:
    """Replaces band numbers, which are strings as JSON keys, by band names."""
    return {Band(int(band)).name.lower(): count for band, count in count_by_band.items()}


def _counts(count_by_name: dict[str, int]) -> str:
    return ", ".join(f"{name}: {count}" for name, count in count_by_name.items() if count) or "-"


def _print_upstreams(document: dict[str, Any], console: Console) -> None:
    rows = _inactive_upstreams(document)
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
        # Text objects, so that brackets in a cell are not parsed as markup.
        table.add_row(*(Text(str(cell)) for cell in row))
    console.print(table)
