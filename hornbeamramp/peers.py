"""Interface for calls to other entry processes."""

from datetime import timedelta
from typing import Any, Protocol

from hornbeamramp.states import Step

__all__ = ["PeerCaller"]


class PeerCaller(Protocol):
    """Sends one request to a peer and returns its reply."""

    async def call(self, address: str, request: Any, timeout: timedelta, step: Step) -> Any:
        """Returns the reply struct that belongs to ``request``, see `hornbeamramp.messages`.

        ``address`` is the peer's ``ip:port``. Raises `UnreachableError` if there was no answer
        within ``timeout``, and `ProtocolError` if the reply is malformed.
        """
        ...
