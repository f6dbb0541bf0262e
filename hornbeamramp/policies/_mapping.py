"""Table of the built-in placement policies."""

__all__ = ["PLUGINS"]

PLUGINS = {
    "DefaultPolicy": ("hornbeamramp.policies.default", "default", ("scored",)),
    "FifoFirstFitPolicy": ("hornbeamramp.policies.fifo_first_fit", "fifo_first_fit", ("fifo",)),
    "RandomPolicy": ("hornbeamramp.policies.random", "random", ()),
}
