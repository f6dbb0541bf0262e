"""Measurements by name. The module of a measurement is imported when it is run."""

from importlib import import_module

from hornbeamramp.bench.figures import Figure, Options

__all__ = ["BASELINES", "MEASUREMENTS", "measure"]

MEASUREMENTS = {
    "wait": "hornbeamramp.bench.wait",
    "packing": "hornbeamramp.bench.packing",
    "flood": "hornbeamramp.bench.flood",
    "cost": "hornbeamramp.bench.cost",
    "declarations": "hornbeamramp.bench.declarations",
    "affinity": "hornbeamramp.bench.affinity",
    "footprint": "hornbeamramp.bench.footprint",
    "control": "hornbeamramp.bench.control",
}


BASELINES = ("fifo_first_fit", "random")
"""Placement policies with which the default policy is compared."""


def measure(name: str, options: Options) -> list[Figure]:
    """Runs one measurement and returns its figures.

    Raises ``LookupError`` if there is no measurement of that name.
    """
    if name not in MEASUREMENTS:
        raise LookupError(f"no measurement {name!r}; known: {', '.join(MEASUREMENTS)}")
    return import_module(MEASUREMENTS[name]).measure(options)
