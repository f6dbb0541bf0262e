"""Helpers for tests of the listeners: requests over real sockets to a shared cell."""

import asyncio
import http.client
import json
import socket
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from hornbeamramp.settings import TlsSettings
from hornbeamramp.standins.cell import EntryHandle, LocalCell

TIMEOUT_S = 30.0
ROUTE = {"name": "ticket", "pool": "tickets", "run_ms": 10}


class Answer(msgspec.Struct, frozen=True):
    """A response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)


class RunningCell(msgspec.Struct):
    """A started cell and the function that runs coroutines on its event loop."""

    cell: LocalCell
    run: Callable[[Coroutine[Any, Any, Any]], Any]
    tls: TlsSettings | None = None

    @property
    def entry(self) -> EntryHandle:
        return self.cell.entries[0]

    def caller(self, method: str, path: str, body: Any = None, **headers: str) -> Answer:
        """Sends a request to the caller API of the first entry process."""
        return request(self.entry.callers, method, path, body, headers)

    def admin(
        self, method: str, path: str, body: Any = None, token: str | None = None, **headers: str
    ) -> Answer:
        """Sends a request to the admin API with the cell's token, or with ``token``."""
        headers["Authorization"] = f"Bearer {self.cell.token if token is None else token}"
        return request(self.entry.admin, method, path, body, headers)


@contextmanager
def running_cell(cell: LocalCell, routes: list[dict[str, Any]]) -> Iterator[RunningCell]:
    """Starts the cell, creates its tables, waits until it serves, and stops it afterwards."""
    with asyncio.Runner() as runner:
        runner.run(cell.start())
        try:
            runner.run(cell.put_tables(routes))
            runner.run(cell.wait_serving())
            yield RunningCell(cell, runner.run)
        finally:
            runner.run(cell.stop())


def request(
    port: int, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
) -> Answer:
    """Sends one request. A body of type ``bytes`` is sent unchanged, other bodies as JSON.

    Underscores in header names stand for hyphens.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    names = {name.replace("_", "-"): value for name, value in (headers or {}).items()}
    try:
        connection.request(method, path, data, names)
        return _answer(connection.getresponse())
    finally:
        connection.close()


def send_raw(port: int, data: bytes) -> tuple[Answer, bool]:
    """Sends bytes and returns the response and whether the server closed the connection."""
    with socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S) as sock:
        sock.sendall(data)
        response = http.client.HTTPResponse(sock)
        response.begin()
        answer = _answer(response)
        try:
            closed = sock.recv(1) == b""
        except ConnectionResetError:
            closed = True
        return answer, closed


def _answer(response: http.client.HTTPResponse) -> Answer:
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, headers, response.read())


def assert_problem(answer: Answer, status: int, outcome: str | None = "not_run") -> dict[str, Any]:
    """Asserts a problem document (RFC 9457) and returns it."""
    assert answer.status == status, answer
    assert answer.headers["content-type"] == "application/problem+json"
    document = answer.json
    assert document["status"] == status
    assert document["title"] and document["detail"]
    assert document.get("outcome") == outcome
    return document
