"""Measurements of `hornbeamramp.scheduler.ShardScheduler` without sockets.

Run as ``python -m hornbeamramp.bench [name ...]``. Tables of fleets and job mixes are in
`_shapes`, the workload generator is `workload`, the event loop that drives the scheduler is
`driver`, and each measurement has a module of its own.
"""

from hornbeamramp.bench.figures import Figure
from hornbeamramp.bench.registry import MEASUREMENTS, measure

__all__ = ["MEASUREMENTS", "Figure", "measure"]
