"""Client of the platform's advice service."""

from datetime import timedelta
from typing import Annotated

import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.http_client import HttpClient, RequestFailedError
from hornbeamramp.ids import UpstreamId
from hornbeamramp.poolowner import Advice, AdviceUnavailableError
from hornbeamramp.vm import AdviceClient
from hornbeamramp.workload import StepKey

__all__ = ["PlatformAdvice"]

# A longer validity is taken for an error.
MAX_VALIDITY_MS = 86_400_000
# Added to the timeout that the caller of `ask` allows: time to connect and the round trip.
CALL_TIMEOUT = timedelta(milliseconds=300)


class WireAdvice(msgspec.Struct, frozen=True, rename="kebab"):
    """Each row of ``granted`` is a worker and its ticket."""

    granted: list[tuple[str, str]]
    valid_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_VALIDITY_MS)]


class PlatformAdvice(AdviceClient):
    """Client of the advice service; ``address`` is empty if the platform has none."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._client = HttpClient(address, CALL_TIMEOUT, clock) if address else None

    async def ask(self, step: StepKey, workers: list[UpstreamId], timeout: timedelta) -> Advice:
        if self._client is None:
            raise AdviceUnavailableError("there is no advice service")
        body = msgspec.json.encode({"step": str(step), "workers": workers})
        try:
            reply = await self._client.request("POST", "/advise", body, wait=timeout)
        except RequestFailedError as error:
            raise AdviceUnavailableError(str(error)) from error
        if reply.status != 200:
            raise AdviceUnavailableError(f"status {reply.status}: {reply.body[:100]!r}")
        try:
            advice = msgspec.json.decode(reply.body, type=WireAdvice)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise AdviceUnavailableError(str(error)) from error
        asked = set(workers)
        tickets = {UpstreamId(w): ticket for w, ticket in advice.granted if w in asked}
        return Advice(tickets, timedelta(milliseconds=advice.valid_ms))

    async def close(self) -> None:
        """Closes all connections."""
        if self._client is not None:
            await self._client.close()
