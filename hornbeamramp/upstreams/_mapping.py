"""Upstream adapters shipped with the package."""

__all__ = ["PLUGINS"]

PLUGINS = {
    "HttpUpstream": ("hornbeamramp.upstreams.http", "http", ("worker",)),
}
