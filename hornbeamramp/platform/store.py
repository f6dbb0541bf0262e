"""Client of the platform's metadata store."""

import base64
import json
from datetime import timedelta
from typing import Any, TypeVar
from urllib.parse import urlencode

import logbook
import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.durations import to_ms
from hornbeamramp.errors import StoreUnavailableError
from hornbeamramp.http_client import (
    HttpClient,
    HttpReply,
    RequestFailedError,
    ResponseTooLargeError,
)
from hornbeamramp.states import Step
from hornbeamramp.statestore import (
    Change,
    Item,
    LeaseLostError,
    StateStore,
    Txn,
    TxnConflictError,
    WatchGapError,
    WatchReply,
)
from hornbeamramp.statestore.records import ROOT

__all__ = ["PlatformStore"]

# A store that is 75 times slower than its usual 4 ms answers within 300 ms; the other half allows
# for a lost packet and a busy processor. An outage is detected this much later.
CALL_TIMEOUT = timedelta(milliseconds=600)

# Longest time for an answer that goes on arriving: a page or a value of 1 MB, sent as text, takes
# 1.2 s on a link of 10 Mbit/s, and five times as long beside other answers.
TRANSFER_TIMEOUT = timedelta(seconds=6)

T = TypeVar("T")

_log = logbook.Logger("store")


class WireItem(msgspec.Struct, frozen=True):
    key: str
    value: bytes
    revision: int
    created: int = 0
    lease: int = 0

    def decode(self) -> Item:
        return Item(self.key, self.value, self.revision, self.created, self.lease)


class WireEvent(msgspec.Struct, frozen=True):
    """A write with the item's fields, or a deletion with ``removed`` set."""

    key: str
    revision: int
    value: bytes | None = None
    created: int = 0
    lease: int = 0
    removed: bool = False

    def decode(self) -> Change:
        if self.removed or self.value is None:
            return Change(self.key, self.revision, None)
        item = Item(self.key, self.value, self.revision, self.created, self.lease)
        return Change(self.key, self.revision, item)


class WirePage(msgspec.Struct, frozen=True, rename="kebab"):
    items: list[WireItem]
    as_of: int
    more_pages: bool = False


class WireEvents(msgspec.Struct, frozen=True, rename="kebab"):
    events: list[WireEvent]
    as_of: int


class WireRevision(msgspec.Struct, frozen=True):
    revision: int


class WireConflict(msgspec.Struct, frozen=True):
    items: list[WireItem] = []


class WireLease(msgspec.Struct, frozen=True):
    lease: int


class PlatformStore(StateStore):
    """Client of the store at one address.

    Answers 429 and 503 (overload or outage) mean that the store has changed nothing.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._client = HttpClient(address, CALL_TIMEOUT, clock)
        # Only answers to reads are large. Commits and renewals keep their total limit.
        self._read_client = HttpClient(
            address, CALL_TIMEOUT, clock, transfer_timeout=TRANSFER_TIMEOUT
        )
        # Watches have a client of their own: a failed request retires all connections of its
        # client, and a failed watch must not retire those that commits use.
        self._watch_client = HttpClient(
            address, CALL_TIMEOUT, clock, transfer_timeout=TRANSFER_TIMEOUT
        )

    async def get(self, key: str) -> Item | None:
        reply = await self._call("GET", f"/kv-key?{urlencode({'key': key})}")
        return None if reply.status == 404 else self._decode(reply, WireItem).decode()

    async def range(self, prefix: str) -> tuple[list[Item], int]:
        items: list[Item] = []
        as_of: int | None = None
        query: dict[str, str] = {"prefix": prefix}
        while True:
            reply = await self._call("GET", f"/kv-range?{urlencode(query)}")
            page = self._decode_rows(reply, WirePage, prefix)
            items += [item.decode() for item in page.items]
            as_of = page.as_of if as_of is None else as_of
            if not page.more_pages or not page.items:
                return items, as_of
            if page.items[-1].key <= query.get("after", ""):
                message = f"pages of {prefix} do not advance beyond {query['after']}"
                raise StoreUnavailableError(Step.JOURNAL, self._address, message)
            query["after"] = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait: timedelta) -> WatchReply:
        wait_ms = to_ms(wait)
        query = urlencode({"prefix": prefix, "after": after, "wait-ms": wait_ms})
        try:
            reply = await self._call("GET", f"/kv-watch?{query}", wait=wait)
        except StoreUnavailableError as error:
            if isinstance(error.__cause__, ResponseTooLargeError):
                # The next answer would have the same changes. Lists come in pages.
                raise WatchGapError(prefix) from error
            raise
        if reply.status == 410:
            raise WatchGapError(prefix)
        events = self._decode_rows(reply, WireEvents, prefix)
        return WatchReply(tuple(event.decode() for event in events.events), events.as_of)

    async def commit(self, txn: Txn) -> int:
        required = [{"key": k, "revision": r} for k, r in txn.revision_by_key.items()]
        puts: list[dict[str, Any]] = [
            {"key": put.key, "value": base64.b64encode(put.value).decode()}
            | ({"lease": put.lease} if put.lease else {})
            for put in txn.puts
        ]
        body = {"precondition": required, "puts": puts, "deletes": list(txn.deletes)}
        reply = await self._call("POST", "/kv-txn", body)
        if reply.status == 412:
            items = self._decode(reply, WireConflict).items
            # Revision 0 marks a required key that does not exist.
            raise TxnConflictError({item.key: item.decode() for item in items if item.revision})
        if reply.status == 404:
            raise LeaseLostError
        return self._decode(reply, WireRevision).revision

    async def grant_lease(self, ttl: timedelta) -> int:
        body = {"ttl-ms": to_ms(ttl)}
        return self._decode(await self._call("POST", "/kv-lease", body), WireLease).lease

    async def renew_lease(self, lease: int) -> None:
        reply = await self._call("POST", f"/kv-keep/{lease}", {})
        if reply.status == 404:
            raise LeaseLostError
        self._expect_success(reply)

    async def end_lease(self, lease: int) -> None:
        await self._call("DELETE", f"/kv-lease-end/{lease}")

    async def close(self) -> None:
        await self._client.close()
        await self._read_client.close()
        await self._watch_client.close()

    async def _call(
        self, method: str, path: str, body: Any = None, wait: timedelta = timedelta(0)
    ) -> HttpReply:
        data = None if body is None else msgspec.json.encode(body)
        client = self._client if method != "GET" else self._read_client
        client = self._watch_client if wait else client
        try:
            reply = await client.request(method, path, data, wait=wait)
        except RequestFailedError as error:
            raise StoreUnavailableError(
                Step.JOURNAL, self._address, str(error), error.sent
            ) from error
        if reply.status in (429, 503):
            message = f"{method} {path.partition('?')[0]}: status {reply.status}"
            raise StoreUnavailableError(Step.JOURNAL, self._address, message, sent=False)
        return reply

    def _expect_success(self, reply: HttpReply) -> None:
        if reply.status != 200:
            message = f"status {reply.status}: {reply.body[:200]!r}"
            raise StoreUnavailableError(Step.JOURNAL, self._address, message)

    def _decode_rows(self, reply: HttpReply, kind: type[T], prefix: str) -> T:
        """Decodes a page or a list of changes. Of the keys that others write, those that can't be
        decoded are left out; without one of its own records, a process would go wrong."""
        try:
            return self._decode(reply, kind)
        except StoreUnavailableError as error:
            known = None
            if reply.status == 200 and not prefix.startswith(ROOT):
                known = _decode_known_rows(reply.body, kind)
            if known is None:
                raise
            _log.warning("{}: a key that can't be decoded is ignored: {}", prefix, error)
            return known

    def _decode(self, reply: HttpReply, kind: type[T]) -> T:
        if reply.status != 412:
            self._expect_success(reply)
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise StoreUnavailableError(Step.JOURNAL, self._address, str(error)) from error


def _decode_known_rows(body: bytes, kind: type[T]) -> T | None:
    """Decodes what can be decoded of the rows of a page or of changes; ``None`` if that is none."""
    name, row_kind = ("items", WireItem) if kind is WirePage else ("events", WireEvent)
    try:
        # The json module also reads keys that are no text, with half of a surrogate pair.
        document = json.loads(body.decode(errors="replace"))
        rows = [row for row in document[name] if _is_decodable(row, row_kind)]
        if not rows and document.get("more-pages"):
            return None
        return msgspec.convert({**document, name: rows}, kind)
    except (ValueError, TypeError, LookupError, AttributeError, RecursionError):
        return None


def _is_decodable(row: Any, kind: type) -> bool:
    try:
        json.dumps(row, ensure_ascii=False).encode()
        msgspec.convert(row, kind)
    except (ValueError, msgspec.ValidationError):
        return False
    return True
