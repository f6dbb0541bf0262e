"""Problem details (RFC 9457) for callers and operators."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any

import msgspec
from aiohttp import web

from hornbeamramp.jobs import NotRun, Unknown
from hornbeamramp.states import RefusalReason

__all__ = [
    "PROBLEM_TYPE",
    "json_response",
    "not_run_response",
    "problem",
    "problem_body",
    "unknown_response",
]

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"

STATUS_BY_REASON = {
    RefusalReason.MALFORMED: HTTPStatus.BAD_REQUEST,
    RefusalReason.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    RefusalReason.NEVER_RUNS: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.OVERLOAD: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_OWNER: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.HOME_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.SHUTTING_DOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.RESOLVED_ABSENT: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.EXPIRED: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalReason.CANCELLED: HTTPStatus.CONFLICT,
}


def json_response(
    document: Any,
    status: HTTPStatus = HTTPStatus.OK,
    headers: dict[str, str] | None = None,
    content_type: str = JSON_TYPE,
) -> web.Response:
    """Returns a response with a JSON document."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(document),
        headers=headers,
        content_type=content_type,
    )


def problem_body(status: HTTPStatus, detail: str, **extra: Any) -> bytes:
    """Returns a problem document; ``extra`` holds its additional members."""
    document = {"type": "about:blank", "title": status.phrase, "status": status, "detail": detail}
    return msgspec.json.encode({**document, **extra})


def problem(
    status: HTTPStatus,
    detail: str,
    headers: dict[str, str] | None = None,
    **extra: Any,
) -> web.Response:
    """Returns a response with a problem document; ``extra`` holds its additional members."""
    return web.Response(
        status=status,
        body=problem_body(status, detail, **extra),
        headers=headers,
        content_type=PROBLEM_TYPE,
    )


def not_run_response(outcome: NotRun) -> web.Response:
    """Returns the response for a job that did not run."""
    headers = _retry_after_headers(outcome.retry_after)
    return problem(
        STATUS_BY_REASON[outcome.reason],
        outcome.detail,
        headers,
        outcome="not_run",
        reason=outcome.reason.value,
        job=outcome.job_id,
    )


def unknown_response(outcome: Unknown) -> web.Response:
    """Returns the response for a job that may or may not have run."""
    return problem(HTTPStatus.BAD_GATEWAY, outcome.detail, outcome="unknown", job=outcome.job_id)


def _retry_after_headers(wait: timedelta | None) -> dict[str, str] | None:
    if wait is None:
        return None
    return {"Retry-After": str(max(1, round(wait.total_seconds())))}
