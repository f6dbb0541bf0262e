"""Output, command line and reproducibility of figures."""

import json
import os
import subprocess
import sys

import msgspec
import pytest

from hornbeamramp.bench._shapes import SHAPES
from hornbeamramp.bench.affinity import Model, simulate
from hornbeamramp.bench.figures import Figure, Options, missed_goals, render_json, render_table
from hornbeamramp.bench.flood import kept_share
from hornbeamramp.bench.packing import use_bounds
from hornbeamramp.bench.registry import MEASUREMENTS, measure
from hornbeamramp.bench.tally import ClassTally, percentile


def bench(*arguments: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "hornbeamramp.bench", *arguments],
        capture_output=True,
        text=True,
        timeout=120,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


@pytest.mark.parametrize("name", ["wait", "packing"])
def test_the_same_seed_gives_the_same_figures(name):
    """Guards against figures that depend on hash order or on the wall clock."""
    first = bench(name, "--quick", "--json", "--seed", "3", hash_seed="1")
    again = bench(name, "--quick", "--json", "--seed", "3", hash_seed="2")
    other = bench(name, "--quick", "--json", "--seed", "4", hash_seed="1")
    assert first.returncode == 0, first.stderr
    assert json.loads(first.stdout) == json.loads(again.stdout)
    assert json.loads(first.stdout) != json.loads(other.stdout)


def test_each_policy_is_in_the_same_row():
    """Guards against a table that does not show a figure next to those of its baselines."""
    figures = [
        Figure("wait", "kaya", "ticket p99", value, "s", policy, "<= 3.5", value <= 3.5)
        for policy, value in (("default", 4.25), ("random", 1.0))
    ]
    table = render_table(figures)
    row = next(line for line in table.splitlines() if "ticket p99" in line)
    assert row.split() == ["ticket", "p99", "4.25!", "1", "s", "<=", "3.5"]
    assert missed_goals(figures) == figures[:1]
    assert msgspec.json.decode(render_json(figures), type=list[Figure]) == figures


def test_details_are_only_in_the_json_output():
    """Guards against printing tables with hundreds of per-team rows."""
    figure = Figure("wait", "kaya", "team-001 p99", 1.0, "s", detail=True)
    assert "team-001" not in render_table([figure])
    assert "team-001" in render_json([figure])


def test_an_unknown_name_ends_the_command_with_an_error():
    """Guards against a misspelt measurement name that ends with success and measures nothing."""
    done = bench("wiat", "--quick")
    assert done.returncode == 1
    assert "no measurement 'wiat'" in done.stderr
    with pytest.raises(LookupError):
        measure("wiat", Options())


@pytest.mark.parametrize("name", sorted(set(MEASUREMENTS) - {"wait", "packing"}))
def test_each_measurement_yields_figures(name):
    """Guards against a measurement that an interface change of the scheduler broke."""
    figures = measure(name, Options(seed=1, quick=True))
    assert figures
    assert {figure.measurement for figure in figures} == {name}


def test_the_affinity_model_prefers_warm_workers():
    """Guards against a warm-first placement that does not reduce the share of cold starts."""
    model = Model(cold_start_ms=200.0, arrivals=2000)
    assert simulate(model, True, 1).cold_start_share < simulate(model, False, 1).cold_start_share
    assert simulate(model, True, 1).waits == simulate(model, True, 1).waits


def test_the_share_kept_is_relative_to_the_unflooded_run():
    """Guards against comparing services by completed jobs, as services never complete."""
    ticket = kept_share("weigh_ticket", ClassTally(on_time=90), ClassTally(on_time=100))
    watcher = kept_share("gate_watcher", ClassTally(running_us=50), ClassTally(running_us=200))
    assert (ticket, watcher) == (0.9, 0.25)
    assert kept_share("quote", ClassTally(), ClassTally(on_time=50)) == 0.0
    few = ClassTally(on_time=2, running_us=100)
    assert kept_share("render", ClassTally(on_time=0, running_us=95), few) == 0.95


def test_the_bound_of_packing_uses_up_exactly_the_scarcest_resource():
    """Guards against a bound that no scheduler can reach or that every scheduler exceeds."""
    for shape in SHAPES.values():
        assert max(use_bounds(shape)) == pytest.approx(1.0)


def test_percentiles_count_the_worst_values():
    """Guards against a p99 that excludes the slowest 1% of the values."""
    values = [float(n) for n in range(1, 101)]
    assert percentile(values, 0.5) == 51.0
    assert percentile(values, 0.99) == 100.0
    assert percentile([], 0.99) == 0.0
