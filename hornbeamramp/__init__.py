"""Cluster scheduler for services, batch work and gangs on heterogeneous upstreams."""

__version__ = "0.1.0"

__all__ = ["__version__"]
