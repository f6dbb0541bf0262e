"""Measurements of `hornbeamramp.scheduler.ShardScheduler`, most of them in simulation.

Run as ``python -m hornbeamramp.bench [name ...]``. Tables of fleets and job mixes are in
`_shapes`, the workload generator is `workload`, the discrete-event simulation that drives the
scheduler is `driver`, and each measurement has its own module.
"""

from hornbeamramp.bench.figures import Figure
from hornbeamramp.bench.registry import MEASUREMENTS, measure

__all__ = ["MEASUREMENTS", "Figure", "measure"]
