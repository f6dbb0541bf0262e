"""Exceptions of the scheduler, each with the step at which it arose and the peer concerned."""

from hornbeamramp.states import Step

__all__ = [
    "ConflictError",
    "ProtocolError",
    "SchedulerError",
    "StoreUnavailableError",
    "UnreachableError",
]


class SchedulerError(Exception):
    """Base class of all errors of this package.

    `step`
        The `Step` at which the error arose.
    `peer`
        Address or id of the other side, or ``"local"``.
    """

    def __init__(self, step: Step, peer: str, message: str) -> None:
        super().__init__(f"{step.value}: {peer}: {message}")
        self.step = step
        self.peer = peer
        self.message = message


class UnreachableError(SchedulerError):
    """No reply from the peer. The request may have taken effect if ``sent`` is true."""

    def __init__(self, step: Step, peer: str, message: str, sent: bool = True) -> None:
        super().__init__(step, peer, message)
        self.sent = sent


class StoreUnavailableError(UnreachableError):
    """The platform's key-value store did not reply or had no capacity for the request."""


class ConflictError(SchedulerError):
    """A compare-and-swap found another version than the expected one."""

    def __init__(self, step: Step, peer: str, message: str, version: int | None) -> None:
        super().__init__(step, peer, message)
        self.version = version


class ProtocolError(SchedulerError):
    """The peer sent a malformed or unexpected message."""
