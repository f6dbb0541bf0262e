"""HTTP API for operators: routes, pools, status and metrics, behind a bearer token."""

import hmac
import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import logbook
import msgspec
from sanic import HTTPResponse, Request, Sanic
from sanic import json as json_response
from sanic import raw as raw_response
from sanic.exceptions import SanicException

from hornbeamramp.configuration import (
    ConfigurationStore,
    DanglingReference,
    MalformedProposal,
    ProposalError,
    StoreOutage,
    VersionConflict,
)
from hornbeamramp.http_server import new_app
from hornbeamramp.ids import ChangeId, Revision
from hornbeamramp.problems import http_problem, problem
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
) -> Sanic:
    """Returns the application that the listener for operators serves.

    `status`
        Returns the document of ``GET /v1/status``.
    `wait_applied`
        Waits up to the given time until all reachable members have applied a revision; tells for
        each data centre whether they have.
    """
    app = new_app(f"operators-{settings.vm}", settings.limits)
    api = _AdminApi(configuration, status, wait_applied)
    for table in ROW_TYPE_BY_TABLE:
        _add_table_routes(app, api, table)
    app.add_route(api.status, "/v1/status")
    app.add_route(api.metrics, "/metrics")
    app.register_middleware(_TokenCheck(token), "request")
    app.error_handler.add(Exception, _on_exception)
    return app


def _add_table_routes(app: Sanic, api: "_AdminApi", table: str) -> None:
    async def list_rows(request: Request) -> HTTPResponse:
        return api.list_rows(table)

    async def get_row(request: Request, name: str) -> HTTPResponse:
        return api.get_row(table, name)

    async def put_row(request: Request, name: str) -> HTTPResponse:
        return await api.put_row(request, table, name)

    async def delete_row(request: Request, name: str) -> HTTPResponse:
        return await api.delete_row(request, table, name)

    row_path = f"/v1/{table}/<name:str>"
    app.add_route(list_rows, f"/v1/{table}", name=f"list_{table}")
    app.add_route(get_row, row_path, name=f"get_{table}")
    app.add_route(put_row, row_path, methods=["PUT"], name=f"put_{table}")
    app.add_route(delete_row, row_path, methods=["DELETE"], name=f"delete_{table}")


class _TokenCheck:
    """Refuses requests without the bearer token. The comparison takes constant time."""

    def __init__(self, token: str) -> None:
        self._expected = f"Bearer {token}".encode()

    async def __call__(self, request: Request) -> HTTPResponse | None:
        # Sanic decodes bytes that are not UTF-8 to surrogate escapes.
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

    def list_rows(self, table: str) -> HTTPResponse:
        tables = self._configuration.tables
        rows, versions = _rows_and_versions(tables, table)
        items = [_row_body(rows[name], versions[name]) for name in sorted(rows)]
        return json_response({"revision": tables.revision, table: items})

    def get_row(self, table: str, name: str) -> HTTPResponse:
        rows, versions = _rows_and_versions(self._configuration.tables, table)
        if name not in rows:
            return problem(HTTPStatus.NOT_FOUND, f"no row {name!r} in {table}")
        headers = {"ETag": _etag(versions[name])}
        return json_response(_row_body(rows[name], versions[name]), headers=headers)

    async def put_row(self, request: Request, table: str, name: str) -> HTTPResponse:
        try:
            if_match = _expected_version(request)
            row = _decode_row(request.body, table, name)
        except (ValueError, msgspec.MsgspecError) as error:
            return problem(HTTPStatus.BAD_REQUEST, str(error), outcome="not_run")
        except LookupError as error:
            return problem(HTTPStatus.PRECONDITION_REQUIRED, str(error.args[0]), outcome="not_run")
        return await self._propose(request, table, name, row, if_match)

    async def delete_row(self, request: Request, table: str, name: str) -> HTTPResponse:
        try:
            if_match = _expected_version(request)
        except ValueError as error:
            return problem(HTTPStatus.BAD_REQUEST, str(error), outcome="not_run")
        except LookupError as error:
            return problem(HTTPStatus.PRECONDITION_REQUIRED, str(error.args[0]), outcome="not_run")
        return await self._propose(request, table, name, None, if_match)

    async def status(self, request: Request) -> HTTPResponse:
        return json_response(await self._status())

    async def metrics(self, request: Request) -> HTTPResponse:
        return raw_response(prometheus_text(), content_type="text/plain; version=0.0.4")

    async def _propose(
        self,
        request: Request,
        table: str,
        name: str,
        row: Route | Pool | None,
        if_match: Revision | None,
    ) -> HTTPResponse:
        change_id = ChangeId(request.headers.get(CHANGE_ID_HEADER) or str(request.id))
        request.ctx.proposed = True
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


def _expected_version(request: Request) -> Revision | None:
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


def _preferred_wait(request: Request) -> timedelta:
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


def _proposal_problem(error: ProposalError) -> HTTPResponse:
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


def _on_exception(request: Request, error: Exception) -> HTTPResponse:
    if isinstance(error, SanicException):
        outcome = "unknown" if getattr(request.ctx, "proposed", False) else "not_run"
        return http_problem(error, outcome)
    _log.error("admin API request failed: {!r}", error)
    return problem(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error", outcome="unknown")
