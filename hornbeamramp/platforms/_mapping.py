"""Platform adapters shipped with the package."""

__all__ = ["PLUGINS"]

PLUGINS = {
    "HttpPlatform": ("hornbeamramp.platforms.http", "http", ("kv",)),
    "MemoryPlatform": ("hornbeamramp.platforms.memory", "memory", ()),
}
