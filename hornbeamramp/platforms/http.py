"""Platform adapter for the HTTP protocol of the platform's key-value service."""

import re
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from hornbeamramp.clock import Clock
from hornbeamramp.errors import ConflictError, ProtocolError, StoreUnavailableError
from hornbeamramp.http_client import HttpClient, HttpReply, RequestFailedError
from hornbeamramp.ids import LeaseId
from hornbeamramp.platforms.base import Entry, ListedVm, Platform, WatchResult
from hornbeamramp.states import Step

__all__ = ["VALUE_LIMIT_BYTES", "HttpPlatform", "LeaseReply", "ListReply", "VmsReply"]

VALUE_LIMIT_BYTES = 1_000_000
LEASE_HEADER = "Lease-Id"
ETAG = re.compile(r'"([0-9]+)"')

T = TypeVar("T")


class ListReply(msgspec.Struct, frozen=True):
    """Body of the answer to a listing by prefix. Values are base64 in JSON."""

    entries: list[Entry]


class LeaseReply(msgspec.Struct, frozen=True):
    """Body of the answer to a lease request."""

    id: LeaseId


class VmsReply(msgspec.Struct, frozen=True):
    """Body of the answer to a listing of VMs."""

    vms: list[ListedVm]


class HttpPlatform(Platform):
    """Client of the platform's service.

    `address`
        ``ip:port`` of the service.
    `timeout`
        Maximum duration of a whole call; a watch may additionally take its ``wait``.
    `clock`
        Source of time for idle connections.

    Every method raises `StoreUnavailableError` if no complete answer arrived in time or the service
    answered 5xx, or 429 because its rate limit was exceeded. ``sent`` is false only for 429 and if
    no byte of the request was written. Raises `ProtocolError` on a malformed answer.
    """

    name = "http"
    aliases = ("kv",)

    def __init__(self, address: str, timeout: timedelta, clock: Clock) -> None:
        self._client = HttpClient(address, timeout, clock)
        self._address = address

    async def get(self, key: str) -> Entry | None:
        reply = await self._call("GET", _key_path(key), Step.RECOVER)
        if reply.status == 404:
            return None
        self._check_status(reply, 200, Step.RECOVER)
        version = self._parse_version(reply, Step.RECOVER)
        lease = reply.headers.get(LEASE_HEADER)
        return Entry(key, reply.body, version, LeaseId(lease) if lease else None)

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: LeaseId | None = None
    ) -> int:
        if len(value) > VALUE_LIMIT_BYTES:
            raise ValueError(f"value of {key!r} is larger than {VALUE_LIMIT_BYTES} bytes")
        headers = {"If-None-Match": "*"} if expected is None else {"If-Match": f'"{expected}"'}
        if lease is not None:
            headers[LEASE_HEADER] = lease
        step = Step.CHANGE_ACCEPTED
        reply = await self._call("PUT", _key_path(key), step, value, headers)
        if reply.status == 410:
            raise ConflictError(Step.RENEW, self._address, f"lease {lease} has ended", None)
        self._check_conflict(reply, key, expected)
        self._check_status(reply, 200, step)
        return self._parse_version(reply, step)

    async def delete(self, key: str, expected: int) -> None:
        headers = {"If-Match": f'"{expected}"'}
        step = Step.CHANGE_ACCEPTED
        reply = await self._call("DELETE", _key_path(key), step, None, headers)
        self._check_conflict(reply, key, expected)
        self._check_status(reply, 204, step)

    async def list_prefix(self, prefix: str) -> list[Entry]:
        path = f"/v1/kv?{urlencode({'prefix': prefix})}"
        reply = await self._call("GET", path, Step.RECOVER)
        self._check_status(reply, 200, Step.RECOVER)
        return self._decode(reply, ListReply, Step.RECOVER).entries

    async def watch(self, prefix: str, after: int, wait: timedelta) -> WatchResult:
        wait_ms = max(round(wait.total_seconds() * 1000), 0)
        query = urlencode({"prefix": prefix, "after": after, "wait_ms": wait_ms})
        reply = await self._call("GET", f"/v1/watch?{query}", Step.CHANGE_APPLIED, wait=wait)
        self._check_status(reply, 200, Step.CHANGE_APPLIED)
        return self._decode(reply, WatchResult, Step.CHANGE_APPLIED)

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        body = msgspec.json.encode({"ttl_ms": round(ttl.total_seconds() * 1000)})
        reply = await self._call("POST", "/v1/leases", Step.CLAIM, body)
        self._check_status(reply, 201, Step.CLAIM)
        return self._decode(reply, LeaseReply, Step.CLAIM).id

    async def renew_lease(self, lease: LeaseId) -> bool:
        path = f"/v1/leases/{quote(lease, safe='')}/renew"
        reply = await self._call("POST", path, Step.RENEW, b"")
        if reply.status == 404:
            return False
        self._check_status(reply, 204, Step.RENEW)
        return True

    async def revoke_lease(self, lease: LeaseId) -> None:
        path = f"/v1/leases/{quote(lease, safe='')}"
        reply = await self._call("DELETE", path, Step.DRAIN)
        self._check_status(reply, 204, Step.DRAIN)

    async def list_vms(self) -> list[ListedVm]:
        reply = await self._call("GET", "/v1/vms", Step.RECOVER)
        self._check_status(reply, 200, Step.RECOVER)
        return self._decode(reply, VmsReply, Step.RECOVER).vms

    async def close(self) -> None:
        await self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        step: Step,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        wait: timedelta = timedelta(0),
    ) -> HttpReply:
        try:
            reply = await self._client.request(method, path, body, headers, max(wait, timedelta(0)))
        except RequestFailedError as error:
            raise StoreUnavailableError(step, self._address, str(error), error.sent) from error
        if reply.status == 429:
            message = f"{method} {path}: refused, the rate is exceeded"
            raise StoreUnavailableError(step, self._address, message, sent=False)
        if reply.status >= 500:
            message = f"{method} {path}: status {reply.status}"
            raise StoreUnavailableError(step, self._address, message)
        return reply

    def _check_conflict(self, reply: HttpReply, key: str, expected: int | None) -> None:
        if reply.status != 412:
            return
        match = ETAG.fullmatch(reply.headers.get("ETag", ""))
        version = int(match[1]) if match else None
        message = f"{key}: version is {version}, expected {expected}"
        raise ConflictError(Step.CHANGE_ACCEPTED, self._address, message, version)

    def _check_status(self, reply: HttpReply, status: int, step: Step) -> None:
        if reply.status != status:
            # The message is logged, so it omits the body, which may repeat a record.
            message = f"status {reply.status} instead of {status}"
            raise ProtocolError(step, self._address, message)

    def _parse_version(self, reply: HttpReply, step: Step) -> int:
        match = ETAG.fullmatch(reply.headers.get("ETag", ""))
        if match is None:
            raise ProtocolError(step, self._address, "the answer has no valid ETag")
        return int(match[1])

    def _decode(self, reply: HttpReply, kind: type[T], step: Step) -> T:
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise ProtocolError(step, self._address, str(error)) from error


def _key_path(key: str) -> str:
    # Quotes slashes too, as a key is one path segment: unquoted, "a/../b" would name "b".
    return f"/v1/kv/{quote(key, safe='')}"
