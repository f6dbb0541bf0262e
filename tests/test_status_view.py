"""Tests of the terminal tables for operators, from fixed documents."""

import io

from rich.console import Console

from hornbeamramp.status_view import print_rows, print_status


def detail(**fields):
    return {
        "epoch": 3,
        "recovered": True,
        "running": 12,
        "queued_by_band": {"0": 0, "1": 0, "2": 4, "3": 30},
        "refused": {"quota": 7, "overload": 2},
        "upstreams": [{"id": "w1", "state": "active", "reason": ""}],
        **fields,
    }


def document(**fields):
    return {
        "vm": "gebze-1",
        "revision": 42,
        "data_centres": {"gebze": {"serving": True, "members": 2, "least_revision": 42}},
        "members": [
            {"vm": "gebze-1", "data_centre": "gebze", "state": "alive", "revision": 42},
            {"vm": "gebze-2", "data_centre": "gebze", "state": "alive", "revision": 42},
        ],
        "shards": [{"shard": "ticket@gebze", "owner": "gebze-2", "epoch": 3, "detail": detail()}],
        **fields,
    }


def render(printed):
    output = io.StringIO()
    print_status(printed, Console(file=output, width=160))
    return output.getvalue()


def row(text, first):
    """Returns the cells of the table row that starts with ``first``."""
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("│┃").split("│")]
        if cells[0] == first:
            return cells
    raise AssertionError(f"no row {first}\n{text}")


def test_healthy_cell():
    """Guards against tables with mislabelled columns, and against false alarms."""
    text = render(document())
    headline = "revision 42 at gebze-1: all data centres are serving"
    assert text.splitlines()[0] == headline
    assert row(text, "gebze") == ["gebze", "yes", "2", "42"]
    assert row(text, "gebze-2") == ["gebze-2", "gebze", "alive", "42"]
    assert row(text, "ticket@gebze") == [
        "ticket@gebze",
        "gebze-2",
        "3",
        "serving",
        "12",
        "normal: 4, bulk: 30",
        "quota: 7, overload: 2",
    ]
    assert "set aside" not in text


def test_headline_names_each_fault():
    """Guards against a fault that is missing from the headline and only found in the rows."""
    shards = [
        {"shard": "ticket@gebze", "owner": None, "epoch": None, "detail": None},
        {"shard": "ticket@izmit", "owner": "izmit-1", "epoch": None, "detail": None},
        {
            "shard": "ticket@tuzla",
            "owner": "tuzla-1",
            "epoch": 3,
            "detail": detail(
                recovered=False,
                upstreams=[
                    {"id": "w2", "state": "quarantined", "reason": "[9] of 10 tasks failed"},
                    {"id": "w3", "state": "leaving"},
                ],
            ),
        },
    ]
    members = [{"vm": "tuzla-1", "data_centre": "tuzla", "state": "alive", "revision": 41}]
    data_centres = {"gebze": {"serving": False, "members": 1, "least_revision": 42}}
    text = render(document(shards=shards, members=members, data_centres=data_centres))
    headline = text.split("Data centres")[0].replace("\n", " ")
    for fault in (
        "gebze is not serving",
        "not at this revision: tuzla-1",
        "without owner: ticket@gebze",
        "owner does not answer: ticket@izmit",
        "recovering: ticket@tuzla",
        "2 upstreams set aside",
    ):
        assert fault in headline
    assert row(text, "gebze")[1] == "NO"
    assert row(text, "ticket@gebze")[1:4] == ["NONE", "-", "no owner"]
    assert row(text, "ticket@izmit")[3] == "no answer"
    aside = text.split("Upstreams set aside")[1]
    assert row(aside, "ticket@tuzla") == [
        "ticket@tuzla",
        "w2",
        "quarantined",
        "[9] of 10 tasks failed",
    ]
    assert "leaving" in aside


def test_rows_of_tables():
    """Guards against printing whole lists of upstreams instead of their number."""
    output = io.StringIO()
    rows = [{"name": "ticket", "upstreams": [{"id": "w1"}, {"id": "w2"}], "version": 7}]
    print_rows(rows, Console(file=output, width=80))
    assert row(output.getvalue(), "ticket") == ["ticket", "7", "2"]
    print_rows([], Console(file=output, width=80))
    assert output.getvalue().endswith("no rows\n")
