"""Home data centre of an idempotency key (first version)."""

import hashlib

__all__ = ["home_data_centre"]


def home_data_centre(key, data_centres):
    return max(data_centres, key=lambda dc: hashlib.sha256(f"{key}|{dc}".encode()).digest())
