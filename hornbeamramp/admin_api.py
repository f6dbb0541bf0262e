"""HTTP API for operators: routes, pools, status and metrics, behind a bearer token."""

import hmac
import re
import uuid
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import logbook
import msgspec
from aiohttp import hdrs, web

from hornbeamramp.configuration import (
    ConfigurationStore,
    DanglingReference,
    MalformedProposal,
    ProposalError,
    StoreOutage,
    VersionConflict,
)
from hornbeamramp.http_server import HttpApp
from hornbeamramp.ids import ChangeId, Revision
from hornbeamramp.problems import json_response, problem
from hornbeamramp.settings import Settings
from hornbeamramp.tables import Change, Pool, Route, Tables
from hornbeamramp.telemetry import prometheus_text

__all__ = ["admin_app"]

ROW_TYPE_BY_TABLE = {"routes": Route, "pools": Pool}
CHANGE_ID_HEADER = "x-change-id"

_log = logbook.Logger("admin")


def admin_app(
    settings: Settings,
    token: str,
    configuration: ConfigurationStore,
    status: Callable[[], Awaitable[dict[str, Any]]],
    wait_applied: Callable[[Revision, timedelta], Awaitable[dict[str, bool]]],
) -> HttpApp:
    """Returns the application that the listener for operators serves.

    `status`
        Returns the document of ``GET /v1/status``.
    `wait_applied`
        Waits up to the given time until all reachable members have applied a revision; tells for
        each data centre whether they have.
    """
    app = HttpApp(settings.limits, _on_exception, _TokenCheck(token))
    api = _AdminApi(configuration, status, wait_applied)
    for table in ROW_TYPE_BY_TABLE:
        _add_table_routes(app, api, table)
    app.add_route(api.status, "/v1/status")
    app.add_route(api.metrics, "/metrics")
    return app


def _add_table_routes(app: HttpApp, api: "_AdminApi", table: str) -> None:
    async def list_rows(request: web.BaseRequest) -> web.Response:
        return api.list_rows(table)

    async def get_row(request: web.BaseRequest, name: str) -> web.Response:
        return api.get_row(table, name)

    async def put_row(request: web.BaseRequest, name: str) -> web.Response:
        return await api.put_row(request, table, name)

    async def delete_row(request: web.BaseRequest, name: str) -> web.Response:
        return await api.delete_row(request, table, name)

    row_path = f"/v1/{table}/{{name}}"
    app.add_route(list_rows, f"/v1/{table}")
    app.add_route(get_row, row_path)
    app.add_route(put_row, row_path, hdrs.METH_PUT)
    app.add_route(delete_row, row_path, hdrs.METH_DELETE)


class _TokenCheck:
    """Refuses requests without the bearer token. The comparison takes constant time."""

    def __init__(self, token: str) -> None:
        self._expected = f"Bearer {token}".encode()

    async def __call__(self, request: web.BaseRequest) -> web.Response | None:
        # Bytes that are not UTF-8 are decoded to surrogate escapes.
        received = request.headers.get("authorization", "").encode(errors="surrogateescape")
        if hmac.compare_digest(received, self._expected):
            return None
        headers = {"WWW-Authenticate": "Bearer"}
        detail = "a bearer token is required"
        return problem(HTTPStatus.UNAUTHORIZED, detail, headers, outcome="not_run")


class _AdminApi:
    def __init__(
        self,
        configuration: ConfigurationStore,
        status: Callable[[], Awaitable[dict[str, Any]]],
        wait_applied: Callable[[Revision, timedelta], Awaitable[dict[str, bool]]],
    ) -> None:
        self._configuration = configuration
        self._status = status
        self._wait_applied = wait_applied

    def list_rows(self, table: str) -> web.Response:
        tables = self._configuration.tables
        rows, versions = _rows_and_versions(tables, table)
        items = [_row_body(rows[name], versions[name]) for name in sorted(rows)]
        return json_response({"revision": tables.revision, table: items})

    def get_row(self, table: str, name: str) -> web.Response:
        rows, versions = _rows_and_versions(self._configuration.tables, table)
        if name not in rows:
            return problem(HTTPStatus.NOT_FOUND, f"no row {name!r} in {table}")
        headers = {"ETag": _etag(versions[name])}
        return json_response(_row_body(rows[name], versions[name]), headers=headers)

    async def put_row(self, request: web.BaseRequest, table: str, name: str) -> web.Response:
        try:
            if_match = _expected_version(request)
            row = _decode_row(await request.read(), table, name)
        except (ValueError, msgspec.MsgspecError) as error:
            return problem(HTTPStatus.BAD_REQUEST, str(error), outcome="not_run")
        except LookupError as error:
            return problem(HTTPStatus.PRECONDITION_REQUIRED, str(error.args[0]), outcome="not_run")
        return await self._propose(request, table, name, row, if_match)

    async def delete_row(self, request: web.BaseRequest, table: str, name: str) -> web.Response:
        try:
            if_match = _expected_version(request)
        except ValueError as error:
            return problem(HTTPStatus.BAD_REQUEST, str(error), outcome="not_run")
        except LookupError as error:
            return problem(HTTPStatus.PRECONDITION_REQUIRED, str(error.args[0]), outcome="not_run")
        return await self._propose(request, table, name, None, if_match)

    async def status(self, request: web.BaseRequest) -> web.Response:
        return json_response(await self._status())

    async def metrics(self, request: web.BaseRequest) -> web.Response:
        headers = {hdrs.CONTENT_TYPE: "text/plain; version=0.0.4"}
        return web.Response(body=prometheus_text(), headers=headers)

    async def _propose(
        self,
        request: web.BaseRequest,
        table: str,
        name: str,
        row: Route | Pool | None,
        if_match: Revision | None,
    ) -> web.Response:
        change_id = ChangeId(request.headers.get(CHANGE_ID_HEADER) or str(uuid.uuid4()))
        result = await self._configuration.propose(table, name, row, if_match, change_id)
        if result.is_err():
            return _proposal_problem(result.err_value)
        change: Change = result.ok_value
        _log.info("{}/{}: revision {} accepted", table, name, change.revision)
        body = {
            "accepted": True,
            "change": change.id,
            "revision": change.revision,
            "in_force": await self._wait_applied(change.revision, _preferred_wait(request)),
        }
        return json_response(body, headers={"ETag": _etag(change.revision)})


def _rows_and_versions(tables: Tables, table: str) -> tuple[dict[str, Any], dict[str, Revision]]:
    if table == "routes":
        return tables.route_by_name, tables.route_version_by_name
    return tables.pool_by_name, tables.pool_version_by_name


def _row_body(row: Route | Pool, version: Revision) -> dict[str, Any]:
    return {**msgspec.to_builtins(row, str_keys=True), "version": version}


def _etag(version: Revision) -> str:
    return f'"{version}"'


def _expected_version(request: web.BaseRequest) -> Revision | None:
    """Returns the expected row version, ``None`` if the row must not exist.

    Raises ``LookupError`` if the request has no precondition, ``ValueError`` if it is malformed.
    """
    if request.headers.get("if-none-match") == "*":
        return None
    value = request.headers.get("if-match")
    if value is None:
        raise LookupError("If-Match with the row's ETag, or If-None-Match: *, is required")
    digits = value.strip().removeprefix('"').removesuffix('"')
    if not digits.isdigit():
        raise ValueError(f"If-Match must be an ETag of this API, not {value!r}")
    return Revision(int(digits))


def _preferred_wait(request: web.BaseRequest) -> timedelta:
    """Returns how long the caller waits for all members to apply the change, at most 60 s."""
    match = re.search(r"\bwait=(\d{1,3})\b", request.headers.get("prefer", ""))
    return timedelta(seconds=min(int(match.group(1)), 60) if match else 0)


def _decode_row(body: bytes, table: str, name: str) -> Route | Pool:
    """Returns the row in a request body. Its ``name`` is optional and ``version`` is ignored.

    Raises ``ValueError`` or ``msgspec.ValidationError`` that names the field.
    """
    fields = msgspec.json.decode(body, type=dict[str, Any])
    fields.pop("version", None)
    if fields.setdefault("name", name) != name:
        raise ValueError(f"$.name: is {fields['name']!r}, but the path says {name!r}")
    return msgspec.convert(fields, ROW_TYPE_BY_TABLE[table])


def _proposal_problem(error: ProposalError) -> web.Response:
    if isinstance(error, VersionConflict):
        headers = None if error.version is None else {"ETag": _etag(error.version)}
        row = None
        if error.current is not None and error.version is not None:
            row = _row_body(error.current, error.version)
        detail = "the row has another version"
        return problem(
            HTTPStatus.PRECONDITION_FAILED, detail, headers, outcome="not_run", current=row
        )
    if isinstance(error, DanglingReference):
        return problem(
            HTTPStatus.CONFLICT, error.message, outcome="not_run", names=list(error.names)
        )
    if isinstance(error, StoreOutage):
        return problem(
            HTTPStatus.SERVICE_UNAVAILABLE,
            error.message,
            {"Retry-After": "5"},
            outcome=error.outcome,
        )
    assert isinstance(error, MalformedProposal)
    return problem(HTTPStatus.BAD_REQUEST, error.message, outcome="not_run")


def _on_exception(request: web.BaseRequest, error: Exception) -> web.Response:
    _log.error("admin API request failed: {!r}", error)
    return problem(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error", outcome="unknown")
