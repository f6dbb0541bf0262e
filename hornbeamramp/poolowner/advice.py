"""Advice on which workers may run a step.

A worker stays granted as long as it exists; the ticket that a start order on it needs expires.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from hornbeamramp.ids import UpstreamId
from hornbeamramp.workload import AdviceTiming, StepKey

__all__ = [
    "START_MARGIN",
    "Advice",
    "AdviceSource",
    "AdviceUnavailableError",
    "Grants",
    "TICKET_MARGIN",
]

# Remaining validity that a ticket needs for a placement, to cover the commit and the start that
# follow: under load, the two calls usually take 50 ms each and seldom time out after 500 ms.
TICKET_MARGIN = timedelta(milliseconds=250)
# Remaining validity that a ticket needs when the start order is sent: a start takes 2 ms, and
# seldom 200 ms because of a lost packet.
START_MARGIN = timedelta(milliseconds=50)


class AdviceUnavailableError(Exception):
    """No VM got an answer from the advice service."""


class Advice(msgspec.Struct, frozen=True):
    """Tickets of the workers that may run the step, and how long they are valid."""

    ticket_by_worker: dict[UpstreamId, str]
    validity: timedelta


class AdviceSource(ABC):
    """Client of the advice service, which serves one call at a time for each VM."""

    @property
    @abstractmethod
    def parallelism(self) -> int:
        """Number of VMs that make calls."""

    @property
    @abstractmethod
    def backlog(self) -> int:
        """Number of requests that wait for a free VM."""

    @abstractmethod
    async def ask(
        self,
        step: StepKey,
        workers: list[UpstreamId],
        timing: AdviceTiming,
        priority: int,
        deferral: timedelta,
    ) -> Advice:
        """Returns advice on a step for the given workers. Raises `AdviceUnavailableError`.

        Requests are sent in order of arrival. A lower priority (a higher number) and ``deferral``
        rank a request as if it had arrived later.
        """


class Grants:
    """Answers of the advice service for one step.

    `version`
        Number of answers added.
    `is_recorded`
        Whether the grants are written to the store, so that a successor need not ask again.
    """

    __slots__ = (
        "_granted_in_order",
        "asked",
        "granted",
        "is_pending",
        "is_recorded",
        "not_before",
        "ticket_by_worker",
        "valid_until",
        "version",
    )

    def __init__(self) -> None:
        self.asked: set[UpstreamId] = set()
        self.granted: set[UpstreamId] = set()
        self.ticket_by_worker: dict[UpstreamId, str] = {}
        self.valid_until: dict[UpstreamId, timedelta] = {}
        self.version = 0
        self._granted_in_order: tuple[int, list[UpstreamId]] = (-1, [])
        self.is_pending = False
        self.is_recorded = False
        self.not_before = timedelta(0)

    def add(self, workers: Iterable[UpstreamId], advice: Advice, received_at: timedelta) -> None:
        """Adds an answer. Tickets are valid from its arrival, however long the request took."""
        self.version += 1
        self.asked.update(workers)
        self.granted.difference_update(workers)
        for worker, ticket in advice.ticket_by_worker.items():
            self.granted.add(worker)
            self.ticket_by_worker[worker] = ticket
            self.valid_until[worker] = received_at + advice.validity

    def granted_in_order(self) -> list[UpstreamId]:
        """Returns the granted workers in order of their ids."""
        version, workers = self._granted_in_order
        if version != self.version or len(workers) != len(self.granted):
            workers = sorted(self.granted)
            self._granted_in_order = (self.version, workers)
        return workers

    def has_ticket(
        self, worker: UpstreamId, now: timedelta, margin: timedelta = TICKET_MARGIN
    ) -> bool:
        """Returns whether there is a ticket of the worker that stays valid for ``margin``."""
        until = self.valid_until.get(worker)
        return until is not None and now + margin < until

    def drop_ticket(self, worker: UpstreamId) -> None:
        self.valid_until.pop(worker, None)
