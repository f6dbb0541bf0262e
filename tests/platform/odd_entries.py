"""Worker entries that another writer may leave in the store, and random changes to good ones."""

import copy
import json
import random

__all__ = ["mutated_entry", "odd_entries"]

NUMBERS = (0, -1, 1, 65_536, 2**31, 2**53, 2**63, 2**64, 2**70, 10**400, -(2**70), 0.5, 1e300)
TEXTS = (
    "",
    " ",
    "x" * 300,
    "\n",
    "\r\nX: y",
    "\x00",
    "\x7f",
    "\u00e9",
    "\ud7ff",
    "a/b",
    "0",
    "[::1]",
)
ADDRESSES = ("1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:-1", "0.0.0.0:1", "a..b:1", f"{'a' * 64}:1")
OTHERS = (None, True, [], {}, [[[]]], {"a": {"b": []}}, ["a"] * 1000)


def odd_entries(entry: dict) -> dict[str, bytes]:
    """Returns values for keys in the store that name no worker to use, by what is odd about them.

    `entry`
        A good entry.
    """

    def change(**fields) -> bytes:
        return json.dumps({**entry, **{k.replace("_", "-"): v for k, v in fields.items()}}).encode()

    good = json.dumps(entry).encode()
    host, _, port = entry["address"].rpartition(":")
    addresses = {
        "empty": "",
        "no-port": host,
        "port-0": f"{host}:0",
        "port-65536": f"{host}:65536",
        "port-huge": f"{host}:99999999999",
        "port-negative": f"{host}:-1",
        "port-name": f"{host}:http",
        "long-label": f"{'a' * 64}:{port}",
        "empty-label": f"a..b:{port}",
        "name": f"worker.example:{port}",
        "not-ascii": f"w\u00e9:{port}",
        "ipv6": f"[::1]:{port}",
        "user": f"user:word@{host}:{port}",
        "path": f"{host}:{port}/x",
        "query": f"{host}:{port}?x",
        "space": f" {host}:{port}",
        "any": f"0.0.0.0:{port}",
        "multicast": "224.0.0.1:80",
    }
    capacity = entry["capacity"]
    return {
        "empty": b"",
        "no-json": b"\x80\xffgarbage",
        "truncated": good[:-9],
        "deep-list": b'{"extra":' + b"[" * 100_000,
        "deep-closed": good[:-1] + b',"extra":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        "deep-map": good[:-1] + b',"extra":' + b'{"a":' * 50_000 + b"1" + b"}" * 50_001,
        "deep-labels": change(labels="").replace(b'""', b"[" * 50_000 + b"]" * 50_000),
        "list": b"[1,2,3]",
        "null": b"null",
        "long-number": change(born=5).replace(b'"born": 5', b'"born": ' + b"9" * 10_000),
        "born-huge": change(born=2**70),
        "born-negative": change(born=-1),
        "born-text": change(born="5"),
        "cpu-zero": change(capacity={**capacity, "cpu": 0}),
        "cpu-huge": change(capacity={**capacity, "cpu": 2**53 - 1}),
        "cpu-70-bits": change(capacity={**capacity, "cpu": 2**70}),
        "cpu-negative": change(capacity={**capacity, "cpu": -1}),
        "no-capacity": change(capacity=None),
        "state": change(state="resting"),
        "state-number": change(state=5),
        "no-service": change(service=None),
        "labels-many": change(labels=["a"] * 5000),
        "labels-nested": change(labels=[["a"], {}]),
        "drain-huge": change(drain_remaining_ms=1e300),
        **{f"address-{name}": change(address=value) for name, value in addresses.items()},
    }


def mutated_entry(rng: random.Random, entry: dict) -> bytes:
    """Returns an entry with up to three random changes of fields, or of bytes."""
    changed = copy.deepcopy(entry)
    for _ in range(rng.randint(0, 3)):
        holder = rng.choice([changed, changed, changed, changed.get("capacity")])
        if not isinstance(holder, dict) or not holder:
            continue
        field = rng.choice([*holder, "extra"])
        if rng.random() < 0.2:
            holder.pop(field, None)
        elif field == "address":
            holder[field] = rng.choice([*ADDRESSES, _spoil(rng, entry["address"])])
        else:
            holder[field] = rng.choice(rng.choice([NUMBERS, TEXTS, OTHERS]))
    value = json.dumps(changed).encode()
    if rng.random() < 0.3:
        cut = rng.randrange(len(value))
        value = value[:cut] + rng.randbytes(rng.randint(0, 3)) + value[cut + rng.randint(0, 2) :]
    return value


def _spoil(rng: random.Random, text: str) -> str:
    place = rng.randrange(len(text) + 1)
    return text[:place] + rng.choice("0123456789.:/?#@ \n[]%-+xé٣") + text[place:]
