"""Rows of the fault matrix, and the reasons why some of its cells can't occur."""

__all__ = ["FAULTS", "REASON_BY_LETTER", "reason_letter"]

FAULTS = [
    "process killed",
    "process paused beyond the lease",
    "VM lost",
    "upstream dies",
    "upstream leaving",
    "upstream fails everything",
    "data centre cut off",
    "peers cut from each other",
    "store down",
    "store slow",
    "store answer lost",
    "store returns with older state",
    "lease lapses while paused",
    "operators race",
    "message late",
    "message twice",
    "answer crossed or cut short",
    "connection silent",
    "two faults at once",
]

REASON_BY_LETTER = {
    "a": "The step sends nothing to an upstream and reads nothing from one.",
    "b": "The step neither reads nor writes the store.",
    "c": "The step runs inside one process and uses no message or connection.",
    "d": "Operators change only the configuration tables and take no part in other steps.",
    "e": "The step uses neither the process lease nor a proof of ownership.",
    "f": "The step runs inside one data centre or process.",
}

_NO_UPSTREAM = {"accept", "forward", "admit", "journal", "change_accepted", "change_applied"}
_NO_STORE = {"accept", "forward", "admit", "run", "answer"}
_NO_LEASE = {"accept", "forward", "admit", "change_accepted", "change_applied"}
_UPSTREAM_FAULTS = ("upstream dies", "upstream leaving", "upstream fails everything")
_STORE_FAULTS = (
    "store down",
    "store slow",
    "store answer lost",
    "store returns with older state",
)
_MESSAGE_FAULTS = (
    "message late",
    "message twice",
    "answer crossed or cut short",
    "connection silent",
)

_STEPS_BY_FAULT_AND_LETTER: dict[tuple[str, str], set[str]] = {
    **{(fault, "a"): _NO_UPSTREAM for fault in _UPSTREAM_FAULTS},
    **{(fault, "b"): _NO_STORE for fault in _STORE_FAULTS},
    **{(fault, "c"): {"admit"} for fault in _MESSAGE_FAULTS},
    **{(fault, "f"): {"admit", "start", "run"} for fault in ("peers cut from each other",)},
    ("data centre cut off", "f"): {"admit"},
    ("lease lapses while paused", "e"): _NO_LEASE,
    ("operators race", "d"): {
        "accept",
        "forward",
        "admit",
        "journal",
        "start",
        "run",
        "answer",
        "cancel",
        "claim",
        "renew",
        "recover",
        "drain",
    },
}


def reason_letter(fault: str, step: str) -> str | None:
    """Returns the letter of the reason why the cell can't occur, or ``None`` if it can."""
    for (name, letter), steps in _STEPS_BY_FAULT_AND_LETTER.items():
        if name == fault and step in steps:
            return letter
    return None
